"""Several entries that place requests on the same in-memory servers and exchange notices."""

import collections
import contextlib
import heapq
import itertools
import math
import random

import attrs
import trio

from standins import gateways
from toucanhold.gateway import (
    admission,
    budget,
    calls,
    entry_shares,
    health,
    limits,
    load,
    queueing,
    rate_limiter,
    selection,
    shared_counts,
    targets,
)
from toucanhold.registry import backoffs
from toucanhold.routes import table

SERVICE = table.Service("desk", 10.0)
NOTICE_INTERVAL_S = 0.1
NOTICE_DELAY_S = 0.15
VALIDITY_S = 1.0
OBJECTIVE_S = 0.3
FIRST_EVENT_S = 0.12
HOLD_S = 2.0


@attrs.define(eq=False, slots=False)
class Entry:
    """An entry's admission with its policies.

    :ivar is_alive: whether it sends notices
    :ivar sources: its sources of counts
    """

    name: str
    other_names: list[str]
    servers: dict
    cores: float = 1.0
    is_alive: bool = True

    def __attrs_post_init__(self):
        rng = random.Random(self.name)
        own = gateways.new_entry(self.name, cores=self.cores)
        others = [gateways.new_entry(name, cores=self.cores) for name in self.other_names]
        entry_list = gateways.FixedEntryList(own, others)
        self.loads = load.LoadTracker()
        self.limiter = rate_limiter.RateLimiter(limits.LimitTable(), entry_list, rng)
        self.shares = entry_shares.EntryShares(entry_list, self.limiter.counts)
        self.selector = targets.ServerSelector(
            gateways.FixedRegistry(self.servers),
            gateways.EmptyGroupTable(),
            self.loads,
            health.Health(),
            budget.ColdBudget(1.5, 5, entry_list),
            set(),
            self.limiter,
            backoffs.BackoffTable(),
            "zone-a",
            rng,
        )
        self.queue_policies, self.selection_policies, self.sources = [], [], []
        self.selector.policies = self.selection_policies
        self.admission = admission.Admission(self.selector, self.queue_policies)

    def use(self, policy):
        """Add a policy."""
        if isinstance(policy, queueing.QueuePolicy):
            self.queue_policies.append(policy)
        if isinstance(policy, selection.SelectionPolicy):
            self.selection_policies.append(policy)
        if isinstance(policy, shared_counts.CountSource):
            self.sources.append(policy)

    def counts(self):
        """Return the requests in flight and the counts that this entry reports."""
        recent = collections.Counter()
        for source in self.sources:
            recent.update(source.own_counts())
        return collections.Counter(self.loads.own_counts), recent


@attrs.define(eq=False)
class SlotQueue:
    """A server's slots, and the requests that wait there: late ones after the others."""

    free: int
    _waiting: list[tuple[bool, int, trio.Event]] = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    @contextlib.asynccontextmanager
    async def slot(self, is_late):
        """Hold a slot while the context is open."""
        if self.free:
            self.free -= 1
        else:
            granted = trio.Event()
            heapq.heappush(self._waiting, (is_late, next(self._numbers), granted))
            await granted.wait()
        try:
            yield
        finally:
            if self._waiting:
                heapq.heappop(self._waiting)[2].set()
            else:
                self.free += 1


@attrs.define(eq=False, slots=False)
class Site:
    """Entries and servers; a server runs as many requests as it has slots, the others wait there.

    :ivar are_notices_lost: whether no notice arrives
    :ivar outcomes: time of arrival and whether the first event was on time, of each new request
    :ivar late_times_s: time to the first event of each late request; infinity if it was refused
    :ivar refused_count: number of requests refused
    :ivar max_excess: most requests at a server beyond its slots
    :ivar idle_slot_s: slots that were free while requests waited, integrated over time
    """

    entry_count: int
    server_count: int
    slots: int = 15
    cores: float = 1.0
    are_notices_lost: bool = False

    def __attrs_post_init__(self):
        self.rng = random.Random(1)
        self.servers = gateways.new_servers(self.server_count, slots=self.slots)
        names = [f"e{number}" for number in range(self.entry_count)]
        self.entries = [
            Entry(name, [other for other in names if other != name], self.servers, self.cores)
            for name in names
        ]
        self.slot_queues = {name: SlotQueue(self.slots) for name in self.servers}
        self.present = collections.Counter()
        self.outcomes, self.late_times_s = [], []
        self.refused_count = self.max_excess = 0
        self.idle_slot_s = 0.0

    @contextlib.asynccontextmanager
    async def running(self):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for entry in self.entries:
                nursery.start_soon(entry.admission.run)
            nursery.start_soon(self._exchange)
            yield self
            nursery.cancel_scope.cancel()

    async def arrive(self, rate_per_s, duration_s, waited_s=None, entries=None):
        """Let requests arrive, evenly over time.

        :param waited_s: longest time that they have certainly waited elsewhere; None for new ones
        """
        start_s = trio.current_time()
        count = round(rate_per_s * duration_s)
        for number in range(count):
            await trio.sleep_until(start_s + number / rate_per_s)
            waited = self.rng.uniform(OBJECTIVE_S, waited_s) if waited_s else 0.0
            entry = self.rng.choice(entries or self.entries)
            self.nursery.start_soon(self._run_request, entry, waited)

    async def _run_request(self, entry, waited_s):
        arrived_s = trio.current_time()
        latest_s = arrived_s + 0.4 * OBJECTIVE_S - waited_s
        request = queueing.PlacementRequest(
            SERVICE, "", 1, 1.5, latest_s, certain_latest_start_s=arrived_s + OBJECTIVE_S - waited_s
        )
        first_s = math.inf
        try:
            async with entry.admission.place(request) as server:
                name = server.server_id
                self.present[name] += 1
                self.max_excess = max(self.max_excess, self.present[name] - self.slots)
                try:
                    async with self.slot_queues[name].slot(latest_s < trio.current_time()):
                        first_s = trio.current_time() + FIRST_EVENT_S - arrived_s
                        await trio.sleep(HOLD_S)
                finally:
                    self.present[name] -= 1
        except calls.CallError:
            self.refused_count += 1
        if waited_s:
            self.late_times_s.append(first_s)
        else:
            self.outcomes.append((arrived_s, first_s <= OBJECTIVE_S))

    async def _exchange(self):
        in_transit = collections.deque()
        while True:
            await trio.sleep(NOTICE_INTERVAL_S)
            self._measure_idle()
            reports = {each.name: each.counts() for each in self.entries if each.is_alive}
            in_transit.append((trio.current_time() + NOTICE_DELAY_S, reports))
            while in_transit and in_transit[0][0] <= trio.current_time():
                self._deliver(in_transit.popleft()[1])

    def _deliver(self, reports):
        if self.are_notices_lost:
            return
        totals = [
            sum(parts, collections.Counter()) for parts in zip(*reports.values(), strict=True)
        ]
        for entry in self.entries:
            own = reports.get(entry.name, (collections.Counter(), collections.Counter()))
            in_flight, recent = (total - part for total, part in zip(totals, own, strict=True))
            entry.loads.update_source("others", in_flight, VALIDITY_S)
            entry.limiter.counts.update_source("others", recent, VALIDITY_S)

    def _measure_idle(self):
        waiting = sum(entry.admission.queue_length for entry in self.entries)
        free = sum(self.slots - min(self.slots, self.present[name]) for name in self.servers)
        self.idle_slot_s += NOTICE_INTERVAL_S * min(waiting, free)

    @property
    def capacity_per_s(self):
        """Requests per second that the servers can serve."""
        return self.server_count * self.slots / HOLD_S

    @property
    def usual_rate_per_s(self):
        """The usual load: three quarters of what the servers can serve."""
        return 0.75 * self.capacity_per_s

    def on_time_fraction(self):
        """Return the fraction of on-time responses among the new requests."""
        return sum(is_on_time for _, is_on_time in self.outcomes) / len(self.outcomes)

    def served_late_fraction(self):
        """Return the fraction of the late requests that were served."""
        return sum(map(math.isfinite, self.late_times_s)) / len(self.late_times_s)
