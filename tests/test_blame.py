"""Tests of who is blamed for crashes, with thousands of suspects and several crashing parts."""

import itertools
import time
import unittest

import trio

from standins import gateways
from tests import clocked
from toucanhold.gateway import (
    blame,
    call_state,
    calls,
    crash_guard,
    crash_records,
    crashes,
    signatures,
)

ENTRIES = 7
SUSPECTS = 2000
MAX_DECISION_S = 1.0
CRASHED = calls.ResponseLostError("crashed", is_connection_lost=True)


def new_suspect(key, *servers, depth=0, is_blamed=False):
    return blame.Suspect(
        key, tuple((server, 0.0) for server in servers), len(servers), depth, is_blamed
    )


def new_fleet(entry_count=ENTRIES):
    """Return the crash trackers of entries that know each other."""
    known = [gateways.new_entry(f"e{number}") for number in range(entry_count)]
    others_of = ([other for other in known if other is not own] for own in known)
    lists = map(gateways.FixedEntryList, known, others_of)
    return [crashes.CrashTracker(entry_list) for entry_list in lists]


def share(trackers):
    """Let all entries hear of what the others know."""
    for sender, receiver in itertools.permutations(trackers, 2):
        for report in sender.to_announce(is_full=True):
            receiver.merge(report, "e")
        for key, age_s in sender.sound_to_announce().items():
            receiver.merge_sound(key, age_s, "e")


def new_guard(tracker, *parts):
    keys = tuple(signatures.PART_PREFIX + part for part in parts)
    return crash_guard.CrashGuard(tracker, "call-1", signatures.Signature("request", keys))


class CulpritsTest(unittest.TestCase):
    def test_what_was_lost_along_with_a_culprit_is_not_blamed(self):
        """Guards against sound requests that are refused since they shared servers with others."""
        culprit = new_suspect("part-bad", "s1", "s2", "s3", "s4")
        lost_along = new_suspect("part-topic", "s1", "s2", "s4")
        self.assertEqual(["part-bad"], blame.culprits([lost_along, culprit]))

    def test_several_parts_are_blamed_at_once(self):
        """Guards against one crashing part that hides another."""
        first = new_suspect("part-1", "s1", "s2", "s3", "s4")
        second = new_suspect("part-2", "s4", "s5", "s6", "s7")
        self.assertEqual({"part-1", "part-2"}, set(blame.culprits([first, second])))

    def test_a_part_that_culprits_share_is_not_blamed_in_their_place(self):
        """Guards against the first part of all prompts being blocked for two crashing ones."""
        blamed = [
            new_suspect("part-1", "s1", "s2", "s3", depth=1, is_blamed=True),
            new_suspect("part-2", "s4", "s5", "s6", depth=1, is_blamed=True),
        ]
        shared = new_suspect("part-system", "s1", "s2", "s3", "s4", "s5", "s6")
        self.assertEqual({"part-1", "part-2"}, set(blame.culprits([shared, *blamed])))

    def test_the_request_is_blamed_until_another_one_crashes_servers(self):
        """Guards against a part that is blocked because of one request that has it."""
        request = new_suspect("f00d", "s1", "s2", "s3", is_blamed=True)
        self.assertEqual(
            ["f00d"], blame.culprits([new_suspect("part-1", "s1", "s2", "s3"), request])
        )
        part = new_suspect("part-1", "s1", "s2", "s3", "s4")
        self.assertEqual(["part-1"], blame.culprits([part, request]))

    def test_crashes_that_others_explain_do_not_count(self):
        """Guards against a part that is blocked for two crashes of its own."""
        culprit = new_suspect("part-bad", "s1", "s2", "s3")
        other = new_suspect("part-topic", "s3", "s8", "s9", depth=5)
        self.assertEqual(1, len(blame.culprits([culprit, other])))

    def test_a_decision_among_thousands_of_suspects_does_not_hold_up_callers(self):
        """Guards against entries that stop answering while they decide whom to blame."""
        suspects = [
            new_suspect(f"f{number}", *(f"s{number + server}" for server in range(8)))
            for number in range(SUSPECTS)
        ]
        started_s = time.process_time()
        self.assertTrue(blame.culprits(suspects))
        self.assertLess(time.process_time() - started_s, MAX_DECISION_S)


class TrackerTest(unittest.TestCase):
    def _crash(self, tracker, key, *numbers):
        for number in numbers:
            tracker.record_crash(key, f"s{number}")

    @clocked.on_test_clock
    async def test_a_sound_answer_at_one_entry_clears_a_part_at_all(self):
        """Guards against an innocent part that stays blocked where nobody may try it."""
        fleet = new_fleet()
        self._crash(fleet[0], "part-1", 1, 2, 3)
        share(fleet)
        self.assertTrue(all(tracker.is_blocked("part-1") for tracker in fleet))
        await trio.sleep(1)
        fleet[3].clear("part-1")
        share(fleet)
        await trio.sleep(crash_records.RECENTLY_SOUND_S)
        share(fleet)
        self.assertFalse(any(tracker.is_blocked("part-1") for tracker in fleet))

    @clocked.on_test_clock
    async def test_an_entry_tells_of_an_earlier_answer_when_it_hears_of_crashes(self):
        """Guards against late reports of crashes that block a part answered since."""
        fleet = new_fleet(2)
        self._crash(fleet[0], "part-1", 1, 2, 3)
        await trio.sleep(0.5)
        fleet[1].clear("part-1")
        await trio.sleep(2 * crash_records.RECENTLY_SOUND_S)
        share(fleet)
        share(fleet)
        self.assertEqual([0, 0], [tracker.count("part-1") for tracker in fleet])

    @clocked.on_test_clock
    async def test_recent_crashes_are_announced_beside_records_without_any(self):
        """Guards against stored or answered suspects that hide later reports from notices."""
        for disturb in (
            lambda tracker: tracker.restore("part-old", 3, age_s=30.0),
            lambda tracker: tracker.merge(crashes.CrashReport("part-ok", [("s9", 5.0)]), "e2"),
        ):
            tracker = crashes.CrashTracker()
            await trio.sleep(10)
            tracker.clear("part-ok")
            self._crash(tracker, "part-1", 1)
            disturb(tracker)
            announced = [report.fingerprint for report in tracker.to_announce(is_full=False)]
            self.assertEqual(["part-1"], announced)

    @clocked.on_test_clock
    async def test_forgotten_suspects_leave_notices_valid(self):
        """Guards against notices that others drop since a suspect was forgotten and came again."""
        tracker = crashes.CrashTracker()
        self._crash(tracker, "part-1", 1)
        await trio.sleep(1)
        tracker.clear("part-1")
        for number in range(crashes.MAX_RECORDS):
            tracker.record_crash(f"f{number}", "s1")
        for number in range(crashes.MAX_SOUND_PARTS):
            tracker.clear(f"part-x{number}")
        self._crash(tracker, "part-1", 2)
        self.assertTrue(all(0 <= age_s < 5 for age_s in tracker.sound_to_announce().values()))

    @clocked.on_test_clock
    async def test_a_part_is_not_blocked_while_it_is_being_answered(self):
        """Guards against a zone's loss that blocks the part which most requests share."""
        tracker = crashes.CrashTracker()
        tracker.clear("part-system")
        await trio.sleep(0.1)
        self._crash(tracker, "part-system", *range(8))
        self.assertFalse(tracker.is_blocked("part-system"))
        await trio.sleep(crash_records.RECENTLY_SOUND_S)
        self.assertTrue(tracker.is_blocked("part-system"))

    @clocked.on_test_clock
    async def test_blocks_of_a_part_grow_with_each_crash(self):
        """Guards against a part that crashes a server every few seconds for ever."""
        tracker = crashes.CrashTracker()
        self._crash(tracker, "part-1", 1, 2, 3)
        for number, block_s in enumerate((2, 10, 50, 250, 1250, 6250), start=4):
            self.assertAlmostEqual(block_s, tracker.blocked_for_s("part-1"))
            await trio.sleep(block_s)
            self.assertFalse(tracker.is_blocked("part-1"))
            self._crash(tracker, "part-1", number)

    @clocked.on_test_clock
    async def test_entries_try_a_part_one_after_the_other(self):
        """Guards against a server that crashes for each entry when a block ends."""
        for entry_count in (ENTRIES, 195):
            fleet = new_fleet(entry_count)
            for tracker in fleet:
                self._crash(tracker, "part-1", 1, 2, 3)
            await trio.sleep(blame.PART_BLOCK_S)
            allowed = [sum(not each.is_blocked("part-1") for each in fleet)]
            for _ in range(8):
                await trio.sleep(1)
                allowed.append(sum(not each.is_blocked("part-1") for each in fleet))
            self.assertEqual((1, entry_count), (allowed[0], allowed[-1]))
            self.assertLessEqual(max(allowed[1:5]), entry_count * 0.75)

    @clocked.on_test_clock
    async def test_an_entry_makes_one_trial_at_a_time(self):
        """Guards against all waiting requests of a part that are sent when its block ends."""
        tracker = crashes.CrashTracker()
        self._crash(tracker, "part-1", 1, 2, 3)
        guards = [new_guard(tracker, "1") for _ in range(2)]
        await trio.sleep(blame.PART_BLOCK_S)
        with guards[0].attempt():
            self.assertTrue(guards[1].is_blocked)
        self.assertFalse(guards[1].is_blocked)


class GuardTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_answers_that_were_written_for_a_while_are_no_suspects(self):
        """Guards against long streams that are blamed for crashes which others cause."""
        for progress, count in (
            (call_state.AnswerProgress(), 1),
            (call_state.AnswerProgress(2, 0.1), 1),
            (call_state.AnswerProgress(2, 0.9), 1),
            (call_state.AnswerProgress(9, 0.9), 0),
        ):
            tracker = crashes.CrashTracker()
            new_guard(tracker, "1").record_lost("s1", CRASHED, progress)
            self.assertEqual([count] * 2, [tracker.count(key) for key in ("request", "part-1")])

    @clocked.on_test_clock
    async def test_only_certain_answers_clear_parts(self):
        """Guards against a cut-off answer or an error that makes a crashing part look sound."""
        for status, progress, count in (
            (200, call_state.AnswerProgress(3, 0.1), 0),
            (200, call_state.AnswerProgress(3, 0.1, is_end_certain=False), 1),
            (200, call_state.AnswerProgress(9, 0.9, is_end_certain=False), 0),
            (504, call_state.AnswerProgress(), 1),
            (404, call_state.AnswerProgress(), 1),
        ):
            tracker = crashes.CrashTracker()
            tracker.record_crash("part-1", "s1")
            await trio.sleep(0.1)
            new_guard(tracker, "1").record_answer(status, progress)
            self.assertEqual(count, tracker.count("part-1"), (status, progress))
