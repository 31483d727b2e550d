"""Plays ways to divide the retry limit of a service among entries that come, go and are cut off."""

import collections
import random

import attrs
import trio
import trio.testing

from standins import retries
from tools.measure import table
from toucanhold.coordination import lease, mirror
from toucanhold.gateway import sharing

ENTRY_COUNTS = (7, 9, 27, 195, 390)
REQUESTS_PER_ENTRY_S = 3.0
SETTLE_S = 6.0
STEADY_S = 12.0
FAILING_S = 24.0
FEED_INTERVAL_S = 0.15
ALLOCATOR_KEY = "allocator"
ALLOCATOR_LEASE_S = 3
ALLOCATOR_DELAY_S = 0.005


@attrs.frozen
class Scenario:
    """What happens while servers lose answers.

    :ivar is_gathered: whether attempts fail at a ninth of the entries only
    :ivar restarted: fraction of the entries that restart, one after the other
    :ivar killed: fraction of the entries that are killed at once, twice
    :ivar cut: fraction of the entries that are cut off from the store
    :ivar loss: fraction of the datagrams between entries that are lost
    """

    is_gathered: bool = False
    restarted: float = 0.0
    killed: float = 0.0
    cut: float = 0.0
    loss: float = 0.0


SCENARIOS = {
    "all entries": Scenario(),
    "a few entries": Scenario(is_gathered=True),
    "a few, lost datagrams": Scenario(is_gathered=True, loss=0.3),
    "restarts in turn": Scenario(restarted=1.0),
    "killed twice": Scenario(killed=0.6),
    "cut off": Scenario(cut=0.45),
    "cut off, killed": Scenario(cut=0.45, killed=0.6),
}


class ListedParts(retries.SiteEntry):
    """Parts by the list of entries, of which 0.7 is used: the design before."""

    USABLE_FRACTION = 0.7

    def __attrs_post_init__(self):
        """Count nothing yet."""
        super().__attrs_post_init__()
        self.started_s = trio.current_time()
        self.requests_s = collections.deque()
        self.retries_s = collections.deque()

    def record_request(self):
        """See :class:`retries.SiteEntry`."""
        self.requests_s.append(trio.current_time())

    async def retry(self):
        """See :class:`retries.SiteEntry`."""
        oldest_s = trio.current_time() - retries.BOUND.window_s
        for times_s in (self.requests_s, self.retries_s):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()
        part = sharing.share(self.own, self.entry_list.others())
        allowed = retries.BOUND.ratio * len(self.requests_s) + retries.BOUND.slack * part
        if len(self.retries_s) + 1 > self.USABLE_FRACTION * allowed:
            return False
        self.retries_s.append(trio.current_time())
        return True


class WaitingParts(ListedParts):
    """The same, but a process makes no retries in the first window after its start."""

    async def retry(self):
        """See :class:`retries.SiteEntry`."""
        if trio.current_time() < self.started_s + retries.BOUND.window_s:
            return False
        return await super().retry()


class OwnShares(retries.SiteEntry):
    """Shares of the slack with one holder each, without loans."""

    async def lend(self):
        """See :class:`retries.SiteEntry`."""
        self.retry_budget.has_lenders = False
        await trio.sleep_forever()


class OneAllocator(retries.SiteEntry):
    """One entry grants every retry while it holds a lease; it hears of all requests at once."""

    def __attrs_post_init__(self):
        """Try to become the allocator."""
        super().__attrs_post_init__()
        self.client = self.platform.client(self.own.entry)
        self.lease = lease.LeasedKey(
            self.client,
            ALLOCATOR_KEY,
            self.own.entry.encode(),
            ALLOCATOR_LEASE_S,
            self.rng,
            is_acquisition_skipped=lambda: ALLOCATOR_KEY in self.kv_mirror.items,
        )
        self.allocator_since_s = None
        self.granted_s = collections.deque()

    async def run(self):
        """See :class:`retries.SiteEntry`."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.lease.run)
            await super().run()
            nursery.cancel_scope.cancel()

    def grant(self):
        """Return whether one more retry may be made by any entry."""
        now_s = trio.current_time()
        if not self.lease.is_held():
            self.allocator_since_s = None
            return False
        if self.allocator_since_s is None:
            self.allocator_since_s = now_s
        window_s = retries.BOUND.window_s
        if now_s < self.allocator_since_s + window_s:
            return False
        while self.granted_s and self.granted_s[0] < now_s - window_s:
            self.granted_s.popleft()
        if len(self.granted_s) + 1 > self.site.allowed(now_s - window_s):
            return False
        self.granted_s.append(now_s)
        return True

    async def retry(self):
        """See :class:`retries.SiteEntry`."""
        item = self.kv_mirror.items.get(ALLOCATOR_KEY)
        allocator = self.site.entries.get(item.value.decode()) if item is not None else None
        await trio.sleep(ALLOCATOR_DELAY_S)
        return isinstance(allocator, OneAllocator) and allocator.grant()


DESIGNS = {
    "parts by the list": ListedParts,
    "parts, wait at start": WaitingParts,
    "shares, no loans": OwnShares,
    "one allocator": OneAllocator,
    "as built": retries.SiteEntry,
}


@attrs.define(eq=False, slots=False)
class FedSite(retries.RetrySite):
    """A site whose mirrors are fed by one reader of the store, so that hundreds fit."""

    _fed: dict = attrs.field(factory=dict, init=False)
    _items: dict = attrs.field(factory=dict, init=False)
    _revision: int = attrs.field(default=0, init=False)

    def start(self, name):
        """See :class:`retries.RetrySite`."""
        super().start(name)
        entry = self.entries[name]
        entry.site = self
        entry.follow_store = trio.sleep_forever

    async def feed(self):
        """Apply the changes of the store to all mirrors that can be reached."""
        client = self.platform.client("feed")
        while True:
            result = await client.read("")
            changes = self._changes(result)
            for entry in list(self.entries.values()):
                if self.platform.faults[entry.own.entry].mode != "up":
                    continue
                if self._fed.get(entry) == changes.after:
                    entry.kv_mirror.apply(changes)
                else:
                    entry.kv_mirror.replace(result)
                self._fed[entry] = result.revision
            await trio.sleep(FEED_INTERVAL_S)

    def _changes(self, result):
        items = {item.key: item for item in result.items}
        changed = tuple(item for key, item in items.items() if self._items.get(key) != item)
        deleted = tuple(
            mirror.Deletion(key, result.revision) for key in self._items if key not in items
        )
        changes = mirror.Changes(self._revision, result.revision, changed, deleted)
        self._items, self._revision = items, result.revision
        return changes


def play(design, scenario, entry_count, seed):
    """Return the most retries in a window as a part of the allowed, and messages by entry."""
    played = trio.run(
        _play,
        DESIGNS[design],
        scenario,
        entry_count,
        seed,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    return played


async def _play(entry_type, scenario, entry_count, seed):
    rng = random.Random(seed)
    site = FedSite(entry_count, seed=seed, entry_type=entry_type)
    site.network.loss = scenario.loss
    async with site.running(start_delay_s=0.5 / entry_count):
        site._nursery.start_soon(site.feed)
        await trio.sleep(SETTLE_S)
        names = sorted(site.entries)
        few = names[: max(2, entry_count // 9)]
        per_s = REQUESTS_PER_ENTRY_S * entry_count
        await site.send(per_s, STEADY_S, failing=())
        if scenario.is_gathered:
            site.retry_again_at(few, per_s)
        async with trio.open_nursery() as nursery:
            failing = () if scenario.is_gathered else None
            nursery.start_soon(site.send, per_s, FAILING_S, failing)
            nursery.start_soon(_disturb, site, scenario, names, rng)
    sent = site.network.sent_counts
    busiest = max(sent.values(), default=0) / (SETTLE_S + STEADY_S + FAILING_S)
    return site.most_in_a_window(), busiest


async def _disturb(site, scenario, names, rng):
    await trio.sleep(4)
    cut = rng.sample(names, round(scenario.cut * len(names)))
    if cut:
        site.platform.set_mode("silent", *cut)
    async with trio.open_nursery() as nursery:
        for name in names[: round(scenario.restarted * len(names))]:
            nursery.start_soon(site.restart, name)
            await trio.sleep(4 / len(names))
        for _ in range(2 if scenario.killed else 0):
            for name in rng.sample(names, round(scenario.killed * len(names))):
                if name in site.entries:
                    nursery.start_soon(site.restart, name)
            await trio.sleep(4)


def measure(entry_count, seed, designs=tuple(DESIGNS)):
    """Return the rows of one number of entries, a row for each scenario."""
    rows = []
    for name, scenario in SCENARIOS.items():
        played = [play(design, scenario, entry_count, seed) for design in designs]
        cells = [round(most, 2) for most, _ in played]
        rows.append((entry_count, name, *cells, round(played[-1][1], 1)))
    return rows


def run(seed):
    """Return the table of all designs, scenarios and numbers of entries."""
    rows = [row for entry_count in ENTRY_COUNTS for row in measure(entry_count, seed)]
    yield table.Table(
        "Most retries in any window, as a part of the allowed",
        ("entries", "failures at", *DESIGNS, "datagrams/s, busiest entry as built"),
        tuple(rows),
        f"Seed {seed}; {retries.BOUND.slack:.0f} retries in 10 s and "
        f"{retries.BOUND.ratio} of the requests; over 1.00 breaks the limit.",
    )
