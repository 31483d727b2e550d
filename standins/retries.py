"""Entries that share the retry limit of a service, on an in-memory key-value service."""

import bisect
import collections
import contextlib
import itertools
import random

import attrs
import trio

from standins import addresses, gateways, lending, memory
from toucanhold.coordination import mirror, watching
from toucanhold.gateway import budget, entries, limit_shares, retry_budget, retry_lending

SERVICE = "desk"
BOUND = retry_budget.RetryBound(ratio=0.2, slack=100.0, window_s=10.0)
START_S = 0.7
WATCH_DELAY_S = 0.15
FAILURE_AFTER_S = 0.05


@attrs.define(eq=False, slots=False)
class SiteEntry:
    """One process of an entry: its entry list, its part of shared limits, and loans.

    :ivar scope: cancelling it ends the process as a kill would
    """

    own: entries.Entry
    platform: memory.MemoryPlatform
    network: lending.LoanNetwork
    rng: random.Random
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self):
        """Build the components."""
        name = self.own.entry
        self.kv_mirror = mirror.Mirror()
        client = self.platform.client(name)
        self.entry_list = entries.EntryList(self.own, client, self.kv_mirror, self.rng)
        self.limit_shares = limit_shares.LimitShares(
            client, self.kv_mirror, self.entry_list, self.rng
        )
        self.retry_budget = retry_budget.RetryBudget(BOUND, self.limit_shares)
        self.cold_budget = budget.ColdBudget(1.5, 5, self.entry_list)
        self.retry_lending = retry_lending.RetryLending(
            self.entry_list,
            self.retry_budget,
            self.network.transport(self.own.lending_address),
            self.rng,
        )

    async def run(self):
        """Run until the scope is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.follow_store)
                nursery.start_soon(self.entry_list.run)
                nursery.start_soon(self.entry_list.run_expiry)
                nursery.start_soon(self.limit_shares.run)
                nursery.start_soon(self.lend)
                await trio.sleep_forever()

    async def follow_store(self):
        """Keep the mirror up to date."""
        source = self.platform.change_source(self.own.entry)
        await watching.ServiceWatch(source, self.kv_mirror, lambda: WATCH_DELAY_S, self.rng).run()

    async def lend(self):
        """Lend retries to other entries, and borrow from them."""
        await self.retry_lending.run()

    def record_request(self):
        """Count a caller's request."""
        self.retry_budget.record_request(SERVICE)

    async def retry(self):
        """Return whether a request is sent again after a failed attempt."""
        retry = await self.retry_budget.acquire(SERVICE, retry_budget.RetryCause.ANSWER_LOST)
        if retry is None:
            return False
        retry.settle()
        return True


@attrs.define(eq=False, slots=False)
class RetrySite:
    """Entries, their callers and what a service gets.

    :ivar entry_type: how an entry takes part in the limit
    :ivar requests_s: times of the callers' requests
    :ivar retries_s: times at which the service got a request once more
    """

    entry_count: int
    seed: int = 1
    entry_type: type[SiteEntry] = SiteEntry
    platform: memory.MemoryPlatform = attrs.field(factory=memory.MemoryPlatform)
    entries: dict[str, SiteEntry] = attrs.field(factory=dict)
    network: lending.LoanNetwork = attrs.field(init=False)
    requests_s: list[float] = attrs.field(factory=list)
    retries_s: list[float] = attrs.field(factory=list)
    _boots: itertools.count = attrs.field(factory=itertools.count, init=False)
    _nursery: trio.Nursery = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Connect the entries."""
        self.network = lending.LoanNetwork(random.Random(self.seed))

    @contextlib.asynccontextmanager
    async def running(self, start_delay_s=0.1):
        """Run the entries, which start one after the other."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for number in range(self.entry_count):
                self.start(f"e{number}")
                await trio.sleep(start_delay_s)
            yield self
            nursery.cancel_scope.cancel()

    def start(self, name):
        """Start a process of an entry."""
        number = next(self._boots)
        own = attrs.evolve(
            gateways.new_entry(name), boot=f"boot-{number}", lending_address=addresses.of(name)
        )
        rng = random.Random(f"{self.seed}/{number}")
        entry = self.entry_type(own, self.platform, self.network, rng)
        self.entries[name] = entry
        self._nursery.start_soon(entry.run)

    async def restart(self, name):
        """Kill the process of an entry and start another."""
        self.entries.pop(name).scope.cancel()
        await trio.sleep(START_S)
        self.start(name)

    async def send(self, per_s, duration_s, failing=None):
        """Send requests to all entries alike, whose first attempts fail.

        :param failing: names of the entries at which attempts fail; None for all
        """
        end_s = trio.current_time() + duration_s
        rng = random.Random(self.seed)
        while trio.current_time() < end_s:
            await trio.sleep(rng.expovariate(per_s))
            name = rng.choice(sorted(self.entries))
            self.requests_s.append(trio.current_time())
            entry = self.entries[name]
            entry.record_request()
            if failing is None or name in failing:
                self._nursery.start_soon(self._fail, entry)

    def retry_again_at(self, names, per_s):
        """Let attempts of earlier requests fail at a few entries until the site ends."""
        self._nursery.start_soon(self._fail_again, list(names), per_s)

    async def _fail_again(self, names, per_s):
        rng = random.Random(self.seed)
        while True:
            await trio.sleep(rng.expovariate(per_s))
            self._nursery.start_soon(self._fail, self.entries[rng.choice(names)])

    async def _fail(self, entry):
        await trio.sleep(FAILURE_AFTER_S)
        if not entry.scope.cancel_called and await entry.retry():
            self.retries_s.append(trio.current_time())

    def most_in_a_window(self):
        """Return the most retries in any window, as a part of the allowed."""
        most = 0.0
        window = collections.deque()
        for retried_s in self.retries_s:
            window.append(retried_s)
            while window[0] < retried_s - BOUND.window_s:
                window.popleft()
            most = max(most, len(window) / self.allowed(retried_s - BOUND.window_s))
        return most

    def allowed(self, start_s):
        """Return the retries allowed in a window, by the most requests in it or just before."""
        starts_s = (start_s - early_s for early_s in (0.0, BOUND.window_s / 2, BOUND.window_s))
        counts = [
            bisect.bisect_right(self.requests_s, each_s + BOUND.window_s)
            - bisect.bisect_left(self.requests_s, each_s)
            for each_s in starts_s
        ]
        return BOUND.ratio * max(counts) + BOUND.slack
