"""Tests of the policy that keeps slots free of late requests."""

import math
import statistics
import unittest

import attrs
import trio

from standins import gateways
from tests import clocked, slot_site
from toucanhold.gateway import call_state, late_holdback, lateness, queueing

ROUTE = attrs.evolve(gateways.STREAMS, timeout_s=6.0, objective_s=0.3)


def new_site(*counts, is_on=True, **fields):
    site = slot_site.Site(*counts, **fields)
    if is_on:
        for entry in site.entries:
            entry.holdback = late_holdback.LateHoldback(
                entry.shares, entry.loads, entry.selector.find_usable
            )
            entry.use(entry.holdback)
    return site


def new_request(is_late, priority=1):
    latest_s = trio.current_time() - 0.1 if is_late else math.inf
    return queueing.PlacementRequest(
        slot_site.SERVICE, "", priority, 1.5, latest_s, certain_latest_start_s=latest_s
    )


async def play_restart(is_on, **fields):
    """Play two seconds of late requests and eight of the usual arrivals.

    :return: fractions of new requests that were on time and of late ones that were served, as means
        of several runs, because trio's order of tasks varies
    """
    fractions = []
    for _ in range(3):
        site = new_site(7, 6, is_on=is_on, slots=24, **fields)
        async with site.running():
            site.nursery.start_soon(site.arrive, 2 * site.usual_rate_per_s / 0.5, 0.5, 2.0)
            await site.arrive(site.usual_rate_per_s, 8.0)
            await trio.sleep(slot_site.HOLD_S)
        fractions.append((site.on_time_fraction(), site.served_late_fraction()))
    return map(statistics.mean, zip(*fractions, strict=True))


class LatenessTest(unittest.TestCase):
    def _latest_start_after_s(self, remaining_s, **fields):
        call = gateways.new_call("/streams/1", remaining_s, **fields)
        state = call_state.CallState(call, ROUTE, slot_site.SERVICE, None, call.deadline_s, None)
        return lateness.certain_latest_start_s(state) - call.arrived_s

    @clocked.on_test_clock
    async def test_lower_initial_timeouts_do_not_make_requests_late(self):
        """Guards against holding back new requests whose callers start with less time."""
        for remaining_s, expected_s in ((6.0, 0.3), (5.1, 0.3), (4.9, 0.1), (4.0, -0.8)):
            self.assertAlmostEqual(expected_s, self._latest_start_after_s(remaining_s))

    @clocked.on_test_clock
    async def test_resumed_streams_are_on_time(self):
        """Guards against long pauses of streams that resume on another server or entry."""
        self.assertEqual(math.inf, self._latest_start_after_s(1.0, last_event_id=3))


class LateHoldbackTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_requests_after_a_restart_are_on_time(self):
        """Guards against late requests that make the usual requests after a restart late."""
        on_time_without, _ = await play_restart(False)
        on_time, served_late = await play_restart(True)
        self.assertGreater(on_time, on_time_without + 0.03)
        self.assertGreater(served_late, 0.75)

    @clocked.on_test_clock
    async def test_lost_notices_leave_shares_by_size(self):
        """Guards against entries that each reserve or use all slots while notices are lost."""
        on_time_without, _ = await play_restart(False, are_notices_lost=True)
        on_time, served_late = await play_restart(True, are_notices_lost=True)
        self.assertGreater(on_time, on_time_without + 0.1)
        self.assertGreater(served_late, 0.6)

    @clocked.on_test_clock
    async def test_many_entries_with_less_than_a_slot_serve_late_requests(self):
        """Guards against rounding that starves late requests where shares are below one slot."""
        site = new_site(80, 3, slots=6)
        async with site.running():
            await site.arrive(0.6 * site.capacity_per_s, 10.0, 2.0)
            await trio.sleep(slot_site.HOLD_S)
        self.assertGreater(site.served_late_fraction(), 0.95)

    @clocked.on_test_clock
    async def test_no_request_is_held_back_at_the_usual_load(self):
        """Guards against an effect of the policy where there is no contention."""
        site = new_site(7, 6)
        async with site.running():
            await site.arrive(site.usual_rate_per_s, 5.0)
        self.assertEqual(0, sum(entry.holdback.held_count for entry in site.entries))

    @clocked.on_test_clock
    async def test_late_requests_start_at_once_where_slots_are_free(self):
        """Guards against refusals of late requests while nobody needs the slots."""
        site = new_site(27, 2)
        async with site.running():
            await trio.sleep(0.5)
            for entry in site.entries:
                with trio.fail_after(0):
                    async with entry.admission.place(new_request(is_late=True)):
                        pass

    @clocked.on_test_clock
    async def test_requests_are_held_back_only_for_those_as_urgent(self):
        """Guards against urgent late requests that wait for less urgent on-time requests."""
        site = new_site(1, 1)
        policy, server = site.entries[0].holdback, site.servers["b0"]
        for _ in range(60):
            request = new_request(is_late=False, priority=2)
            policy.record_started(request, server)
            await trio.sleep(0.1)
            policy.record_ended(request, server)
        while policy.may_start(new_request(True, 2), trio.current_time()):
            policy.record_started(new_request(True, 2), server)
        self.assertTrue(policy.may_start(new_request(True, 0), trio.current_time()))

    @clocked.on_test_clock
    async def test_unknown_models_leave_no_state(self):
        """Guards against memory that grows with the model names that callers invent."""
        site = new_site(1, 0)
        policy = site.entries[0].holdback
        self.assertTrue(policy.may_start(new_request(is_late=True), trio.current_time()))
        self.assertEqual({}, policy.reserved_slots())

    @clocked.on_test_clock
    async def test_late_lookups_start_while_most_slots_are_free(self):
        """Guards against refusals at an idle site, where no entry's share reaches one slot."""
        for entry_count in (7, 27, 80, 195):
            site = new_site(entry_count, 3, slots=6)
            async with site.running():
                await trio.sleep(1.0)
                started = 0
                for entry in site.entries[:20]:
                    with trio.move_on_after(0.18):
                        async with entry.admission.place(new_request(is_late=True)):
                            started += 1
                            await trio.sleep(0.05)
                self.assertEqual(len(site.entries[:20]), started)

    @clocked.on_test_clock
    async def test_less_urgent_late_requests_do_not_start_first(self):
        """Guards against credit of one priority that a more urgent one does not have."""
        site = new_site(1, 1)
        policy, server = site.entries[0].holdback, site.servers["b0"]
        for _ in range(60):
            request = new_request(is_late=False, priority=0)
            policy.record_started(request, server)
            await trio.sleep(0.1)
            policy.record_ended(request, server)
        while policy.may_start(new_request(True, 0), trio.current_time()):
            policy.record_started(new_request(True, 0), server)
        for priority in (1, 2):
            self.assertFalse(policy.may_start(new_request(True, priority), trio.current_time()))

    @clocked.on_test_clock
    async def test_refused_attempts_do_not_shorten_the_time_that_slots_are_held(self):
        """Guards against slots that are not reserved because servers refuse requests at once."""
        site = new_site(1, 1)
        policy, server = site.entries[0].holdback, site.servers["b0"]
        for hold_s in [2.0] * 3 + [0.001] * 10:
            request = new_request(is_late=False)
            policy.record_started(request, server)
            await trio.sleep(hold_s)
            policy.record_ended(request, server)
        state = next(iter(policy._states.values()))
        self.assertAlmostEqual(2.0, state.hold_s)
