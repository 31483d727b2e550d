"""Plays ways to blame parts of prompts for crashes of servers, at several entries."""

import collections
import contextlib
import heapq
import itertools
import random
import unittest.mock

import attrs
import trio
import trio.testing

from standins import gateways
from tools.measure import table
from toucanhold.gateway import (
    blame,
    call_state,
    calls,
    crash_guard,
    crash_records,
    crashes,
    signatures,
)

ENTRY_COUNTS = (7, 27, 195)
HEADS_PER_ENTRY = 2
REQUESTS_PER_HEAD_S = 4.0
DURATION_S = 90.0
CULPRITS_FROM_S = 10.0
CULPRITS_PER_S = 1.0
TOPICS_PER_HEAD = 12
FIRST_EVENT_S = 0.15
CRASH_AFTER_S = 0.08
WRITING_S = 1.0
EVENTS = 20
RESTART_S = 3.0
RESEND_S = 0.02
RETRY_S = 0.3
MAX_ATTEMPTS = 2
NOTICE_INTERVAL_S = 0.1
NOTICE_DELAY_S = (0.01, 0.15)
CONTACT_S = 3.0
AGGREGATORS = 3


@attrs.frozen
class Scenario:
    """What happens besides the requests of one or more crashing parts.

    :ivar crashing_parts: number of parts that crash servers, each with its own requests
    :ivar other_crashes_per_s: crashes for other reasons, per head and second
    :ivar mass_crash: fraction of the heads that crash at the same moment, 20 s into the run
    :ivar restarted: fraction of the entries that restart 25 s into the run
    :ivar cut: fraction of the entries without notices from 20 to 30 s into the run
    :ivar delay_factor: factor of the time that notices take
    """

    crashing_parts: int = 1
    other_crashes_per_s: float = 0.0
    mass_crash: float = 0.0
    restarted: float = 0.0
    cut: float = 0.0
    delay_factor: float = 1.0


SCENARIOS = {
    "one part": Scenario(),
    "three parts": Scenario(crashing_parts=3),
    "none, other crashes": Scenario(crashing_parts=0, other_crashes_per_s=0.02, mass_crash=0.4),
    "one, other crashes": Scenario(other_crashes_per_s=0.02, mass_crash=0.4),
    "one, restarts": Scenario(restarted=0.5),
    "one, cut": Scenario(cut=0.3),
    "one, late notices": Scenario(delay_factor=6.0),
}


def _blame_each_alone(suspects):
    return [suspect.key for suspect in suspects if suspect.count >= blame.CRASH_THRESHOLD]


@contextlib.contextmanager
def _patched(target, name, value):
    with unittest.mock.patch.object(target, name, value):
        yield


def _without_parts(call, workspace):
    return signatures.Signature(signatures.request_fingerprint(call, workspace))


POLICIES = {
    "whole requests": lambda: _patched(signatures, "of_call", _without_parts),
    "count crashes": lambda: _patched(crashes.CrashTracker, "clear", lambda self, key: None),
    "each suspect alone": lambda: _patched(blame, "culprits", _blame_each_alone),
    "long first block": lambda: _patched(blame, "PART_BLOCK_S", blame.REQUEST_BLOCK_S),
    "all lost suspected": lambda: _patched(crash_guard, "SOUND_EVENTS", EVENTS + 1),
    "no recent answers": lambda: _patched(crash_records, "RECENTLY_SOUND_S", 0.0),
    "as built": contextlib.nullcontext,
}


@attrs.define(eq=False, slots=False)
class _Request:
    """One sending by a caller.

    :ivar culprit: number of the crashing part in it; None for a sound request
    """

    number: int
    parts: tuple
    culprit: int | None
    entry: int = 0
    head: int = -1
    attempts: int = 0
    retries: int = 1
    first_event_s: float = float("inf")
    is_first: bool = True


@attrs.define(eq=False, slots=False)
class Model:
    """Entries, heads and callers as one queue of events."""

    entry_count: int
    scenario: Scenario
    seed: int

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.clock = trio.testing.MockClock()
        self.heads = self.entry_count * HEADS_PER_ENTRY
        self.entry_lists = []
        known = [gateways.new_entry(f"e{n}") for n in range(self.entry_count)]
        for own in known:
            others = [entry for entry in known if entry is not own]
            self.entry_lists.append(gateways.FixedEntryList(own, others))
        self.trackers = [crashes.CrashTracker(entry_list) for entry_list in self.entry_lists]
        self.running = collections.defaultdict(set)
        self.down_until_s = collections.Counter()
        self.events, self.order, self.numbers = [], itertools.count(), itertools.count()
        self.crash_times_s = collections.defaultdict(list)
        self.arrivals = collections.defaultdict(list)
        self.first_attempts = collections.defaultdict(list)
        self.restarted_s = collections.defaultdict(lambda: -100.0)

    def run(self):
        """Play the whole duration."""
        trio.run(self._run, clock=self.clock)

    async def _run(self):
        self.start_s = trio.current_time()
        self._at(0, self._send_sound)
        for number in range(self.scenario.crashing_parts):
            self._at(CULPRITS_FROM_S + number, lambda number=number: self._send_culprit(number))
        self._at(0, self._exchange)
        self._at(0.5, self._crash_for_other_reasons)
        self._at(20, self._crash_many)
        self._at(25, self._restart_entries)
        while self.events:
            at_s, _, action = heapq.heappop(self.events)
            if at_s > DURATION_S:
                return
            self.clock.jump(max(0.0, at_s - self.now_s))
            action()

    @property
    def now_s(self):
        """Time since the start."""
        return self.clock.current_time() - self.start_s

    def _at(self, at_s, action):
        heapq.heappush(self.events, (at_s, next(self.order), action))

    def _after(self, delay_s, action):
        self._at(self.now_s + delay_s, action)

    def _send_sound(self):
        topic = int(self.heads * TOPICS_PER_HEAD * self.rng.random() ** 2)
        parts = (f"system-{topic % 2}", f"topic-{topic}")
        self._send(_Request(next(self.numbers), parts, None))
        self._after(self.rng.expovariate(self.heads * REQUESTS_PER_HEAD_S), self._send_sound)

    def _send_culprit(self, number):
        topic = self.rng.randrange(self.heads * TOPICS_PER_HEAD)
        parts = (f"system-{topic % 2}", f"topic-{topic}", f"bad-{number}")
        self._send(_Request(next(self.numbers), parts, number))
        self._after(self.rng.expovariate(CULPRITS_PER_S), lambda: self._send_culprit(number))

    def _send(self, request):
        request.entry = self.rng.randrange(self.entry_count)
        self._attempt(request)

    def _guard(self, request):
        call = gateways.new_call(f"/{request.number}", shared_parts=request.parts)
        return crash_guard.CrashGuard(
            self.trackers[request.entry], call.call_id, signatures.of_call(call, "")
        )

    def _attempt(self, request):
        guard = self._guard(request)
        is_blocked = guard.is_blocked
        if request.is_first and request.culprit is None:
            self.first_attempts[is_blocked].append(self.now_s)
            request.is_first = False
        up = [h for h in self.rng.sample(range(self.heads), 6) if self._is_up(h)]
        if is_blocked or not up:
            return
        request.trial = guard.attempt()
        request.trial.__enter__()
        request.attempts += 1
        request.head = min(up, key=lambda head: len(self.running[head]))
        request.first_event_s = self.now_s + FIRST_EVENT_S
        self.running[request.head].add(request)
        attempts = request.attempts
        if request.culprit is not None:
            self.arrivals[request.culprit].append((self.now_s, request.entry))
            delay_s = FIRST_EVENT_S + CRASH_AFTER_S
            self._after(delay_s, lambda: self._end_culprit(request, attempts))
        else:
            self._after(FIRST_EVENT_S + WRITING_S, lambda: self._end_sound(request, attempts))

    def _is_up(self, head):
        return self.down_until_s[head] <= self.now_s

    def _end_culprit(self, request, attempts):
        if request in self.running[request.head] and request.attempts == attempts:
            self.crash_times_s[request.culprit].append(self.now_s)
            self._crash(request.head)

    def _end_sound(self, request, attempts):
        if request not in self.running[request.head] or request.attempts != attempts:
            return
        self.running[request.head].discard(request)
        request.trial.__exit__(None, None, None)
        self._guard(request).record_answer(200, call_state.AnswerProgress(EVENTS, WRITING_S))

    def _crash(self, head):
        lost, self.running[head] = self.running[head], set()
        self.down_until_s[head] = self.now_s + RESTART_S
        error = calls.ResponseLostError("crashed", is_connection_lost=True)
        for request in sorted(lost, key=lambda each: each.number):
            writing_s = max(0.0, self.now_s - request.first_event_s)
            progress = call_state.AnswerProgress(int(writing_s * EVENTS / WRITING_S), writing_s)
            request.trial.__exit__(None, None, None)
            self._guard(request).record_lost(f"h{head}", error, progress)
            if request.attempts < MAX_ATTEMPTS:
                self._after(RESEND_S, lambda request=request: self._attempt(request))
            elif request.retries:
                request.retries -= 1
                request.attempts = MAX_ATTEMPTS - 1
                self._after(RETRY_S, lambda request=request: self._send(request))

    def _crash_for_other_reasons(self):
        for head in range(self.heads):
            if self.rng.random() < self.scenario.other_crashes_per_s * 0.5 and self._is_up(head):
                self._crash(head)
        self._after(0.5, self._crash_for_other_reasons)

    def _crash_many(self):
        for head in self.rng.sample(range(self.heads), int(self.heads * self.scenario.mass_crash)):
            self._crash(head)

    def _restart_entries(self):
        count = int(self.entry_count * self.scenario.restarted)
        for number in self.rng.sample(range(self.entry_count), count):
            self.trackers[number] = crashes.CrashTracker(self.entry_lists[number])
            self.restarted_s[number] = self.now_s

    def _exchange(self):
        is_full = self.now_s < self.restarted_s[-1] or any(
            self.now_s - at_s < 1 for at_s in self.restarted_s.values()
        )
        is_full = is_full or int(self.now_s / NOTICE_INTERVAL_S) % 10 == 0
        for number in range(self.entry_count):
            aggregator = number % AGGREGATORS
            if number >= AGGREGATORS:
                self._notify(number, [aggregator], is_full)
                self._notify(aggregator, [number], is_full)
            else:
                others = [each for each in range(AGGREGATORS) if each != number]
                self._notify(number, others, is_full)
        self._after(NOTICE_INTERVAL_S, self._exchange)

    def _notify(self, sender, receivers, is_full):
        if any(self._is_cut(number) for number in (sender, *receivers)):
            return
        tracker = self.trackers[sender]
        reports, sound = tracker.to_announce(is_full), tracker.sound_to_announce()
        if reports or sound:
            reports.sort(key=lambda report: len(report.crashes), reverse=True)
            delay_s = self.rng.uniform(*NOTICE_DELAY_S) * self.scenario.delay_factor
            self._after(delay_s, lambda: self._merge(receivers, reports[:32], sound))

    def _merge(self, receivers, reports, sound):
        for number in receivers:
            for report in reports:
                self.trackers[number].merge(report, "e")
            for key, age_s in sound.items():
                self.trackers[number].merge_sound(key, age_s, "e")

    def _is_cut(self, number):
        count = int(self.entry_count * self.scenario.cut)
        return 20 <= self.now_s < 30 and number >= self.entry_count - count

    def late_arrivals(self):
        """Return the most requests with one part that were sent late, by undisturbed entries."""
        return max((self._late_arrivals(number) for number in self.crash_times_s), default=0)

    def _late_arrivals(self, number):
        times_s = self.crash_times_s[number]
        if len(times_s) < 5:
            return 0
        return sum(
            at_s > times_s[4] + CONTACT_S and not self._is_disturbed(entry, at_s)
            for at_s, entry in self.arrivals[number]
        )

    def _is_disturbed(self, entry, at_s):
        count = int(self.entry_count * self.scenario.cut)
        is_cut = entry >= self.entry_count - count and 20 <= at_s < 30 + CONTACT_S
        return is_cut or 0 <= at_s - self.restarted_s[entry] < CONTACT_S

    def refused_fraction(self):
        """Return the fraction of sound requests that were refused as crashing."""
        refused, sent = len(self.first_attempts[True]), len(self.first_attempts[False])
        return refused / max(1, refused + sent)


def run(seed: int) -> list[table.Table]:
    """Return, for each scenario, the crashes and refusals under each policy."""
    rows = []
    for entry_count, (name, scenario) in itertools.product(ENTRY_COUNTS, SCENARIOS.items()):
        for policy, patch in POLICIES.items():
            with patch():
                model = Model(entry_count, scenario, seed)
                model.run()
            crashed = sum(map(len, model.crash_times_s.values()))
            refused = f"{100 * model.refused_fraction():.2f}"
            rows.append((entry_count, name, policy, crashed, model.late_arrivals(), refused))
    columns = ("entries", "scenario", "policy", "crashes", "late", "refused_percent")
    note = (
        "Crashes by crashing parts in 80 s, the most requests with one part that undisturbed"
        " entries sent later than 3 s after its fifth crash, and sound requests refused."
    )
    return [table.Table("Blame for crashes", columns, tuple(rows), note)]
