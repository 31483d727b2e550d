"""Measures orders by claim method: rate and calls, outages, seeded faults, processor time."""

import collections
import collections.abc
import random
import statistics
import time

import attrs
import trio
import trio.testing

from standins import orders
from tools.measure import table
from toucanhold.orders import commits, limits
from toucanhold.routing import requests

ENTRIES = 7
PLATFORM_CALLS_PER_S = 300.0
CLAIM_CALLS_PER_S = 200.0
OFFERED_PER_S = (20, 100, 300, 1000)
RATE_RUN_S = 5.0
OUTAGE_S = 60.0
OUTAGE_ORDERS_PER_S = 5.0
FAULT_RUNS = 10
FAULT_ORDERS = 60
FAULT_RUN_S = 120.0
RECOVERY_S = 120.0
ORDERS_PER_COST_RUN = 2000

SINGLE, COMBINED, ISSUED, NO_KEY = "one call each", "combined", "issued keys", "no key"


def run(seed: int) -> list[table.Table]:
    """Return all tables."""
    return [
        _rates_table(seed),
        _outage_table(seed),
        _majority_table(seed),
        _faults_table(seed),
        _cost_table(),
    ]


def _on_test_clock(measure: collections.abc.Callable, *arguments: object):
    return trio.run(measure, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


@attrs.define(eq=False)
class _Site:
    """Entries that share a store and a backend server."""

    store: orders.FakeKeyValueClient
    sender: orders.FakeDispatcher
    entries: list[orders.FakeEntry]
    nursery: trio.Nursery

    async def add(self, name: str, claim_method: str = COMBINED) -> orders.FakeEntry:
        entry = orders.new_entry(name, self.store, self.sender, CLAIM_CALLS_PER_S)
        if claim_method == SINGLE:
            bucket = limits.TokenBucket(lambda: CLAIM_CALLS_PER_S / ENTRIES, 28)
            claims = entry.order_handler.claimed_executor.claims
            claims.committer = commits.SingleCommitter(self.store, bucket)
        await self.nursery.start(entry.run)
        for other in self.entries:
            other.order_handler.issued_executor.roster.update_from_peer(
                entry.order_handler.issued_executor.roster.own
            )
            entry.order_handler.issued_executor.roster.update_from_peer(
                other.order_handler.issued_executor.roster.own
            )
        self.entries.append(entry)
        return entry


async def _run_with_site(claim_method: str, body: collections.abc.Callable) -> object:
    async with trio.open_nursery() as nursery:
        store = orders.FakeKeyValueClient(calls_per_s=PLATFORM_CALLS_PER_S)
        site = _Site(store, orders.FakeDispatcher(processing_s=0.01), [], nursery)
        for number in range(ENTRIES):
            await site.add(f"entry-{number}", claim_method)
        result = await body(site)
        nursery.cancel_scope.cancel()
    return result


def _key(site: _Site, entry: orders.FakeEntry, claim_method: str, number: int) -> str:
    if claim_method == ISSUED:
        return entry.issue_key()
    return "" if claim_method == NO_KEY else f"order-{number}"


async def _generate_orders(
    site: _Site, claim_method: str, per_s: float, for_s: float, rng: random.Random
):
    """Send orders at exponential intervals; return outcome and duration in s of each order."""
    order_results: list[tuple[str, float]] = []

    async def send(number: int) -> None:
        entry = rng.choice(site.entries)
        request = orders.new_request(_key(site, entry, claim_method, number), timeout_s=30)
        started_s = trio.current_time()
        status, outcome, _ = await entry.send_order(request)
        order_results.append((outcome if status != 200 else "ran", trio.current_time() - started_s))

    until_s = trio.current_time() + for_s
    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < until_s:
            nursery.start_soon(send, number)
            number += 1
            await trio.sleep(rng.expovariate(per_s))
    return order_results


def _rates_table(seed: int) -> table.Table:
    rows = []
    for claim_method in (SINGLE, COMBINED, ISSUED, NO_KEY):
        for per_s in OFFERED_PER_S:
            rows.append(_on_test_clock(_rate, claim_method, per_s, seed))
    return table.Table(
        "Order rate by way of claiming",
        ("way", "offered_per_s", "run_per_s", "refused", "unknown", "calls_per_order")
        + ("p50_ms", "p99_ms"),
        tuple(rows),
        f"{ENTRIES} entries, {RATE_RUN_S:.0f} s of test clock each, seed {seed}; the platform "
        f"takes {PLATFORM_CALLS_PER_S:.0f} calls a second in 5 ms each, of which orders may use "
        f"{CLAIM_CALLS_PER_S:.0f}; a run takes 10 ms; one run each.",
    )


async def _rate(claim_method: str, per_s: float, seed: int) -> tuple:
    async def body(site: _Site) -> tuple:
        order_results = await _generate_orders(
            site, claim_method, per_s, RATE_RUN_S, random.Random(seed)
        )
        elapsed_s = trio.current_time()
        await trio.sleep(30)
        outcomes = collections.Counter(outcome for outcome, _ in order_results)
        times_ms = sorted(1000 * seconds for outcome, seconds in order_results if outcome == "ran")
        calls = site.store.calls.total() / max(1, outcomes["ran"])
        p99_ms = times_ms[int(len(times_ms) * 0.99)] if times_ms else 0.0
        median_ms = statistics.median(times_ms) if times_ms else 0.0
        ran_per_s = outcomes["ran"] / max(RATE_RUN_S, elapsed_s)
        refused, unknown = outcomes["did-not-run"], outcomes["unknown"]
        return claim_method, per_s, ran_per_s, refused, unknown, calls, median_ms, p99_ms

    return await _run_with_site(claim_method, body)


def _outage_table(seed: int) -> table.Table:
    rows = []
    for claim_method in (COMBINED, ISSUED, NO_KEY):
        rows.append(_on_test_clock(_outage_row, claim_method, seed))
    return table.Table(
        "Orders through a platform outage",
        ("way", "sent", "ran", "refused", "unknown", "ran_twice", "calls"),
        tuple(rows),
        f"{OUTAGE_ORDERS_PER_S:.0f} orders a second for {OUTAGE_S:.0f} s without a platform, "
        f"seed {seed}; 'combined' stands for claims by compare-and-swap, which are refused.",
    )


async def _outage_row(claim_method: str, seed: int) -> tuple:
    async def body(site: _Site) -> tuple:
        site.store.is_down = True
        rng = random.Random(seed)
        order_results = await _generate_orders(
            site, claim_method, OUTAGE_ORDERS_PER_S, OUTAGE_S, rng
        )
        count = collections.Counter(outcome for outcome, _ in order_results)
        repeat_count = len(site.sender.executed_ids) - len(set(site.sender.executed_ids))
        calls = site.store.calls.total()
        return (
            claim_method,
            len(order_results),
            count["ran"],
            count["did-not-run"],
            count["unknown"],
            repeat_count,
            calls,
        )

    return await _run_with_site(claim_method, body)


def _majority_table(seed: int) -> table.Table:
    """Simulate claims that are held in the memory of a majority of entries."""
    rows = []
    for replaced_every_s in (600.0, 60.0, 10.0, 5.0):
        rng = random.Random(seed)
        repeated_runs = sum(_runs_twice_with_majority(rng, replaced_every_s) for _ in range(20_000))
        frames_per_order = 2 * (ENTRIES // 2)
        rows.append((replaced_every_s, 20_000, repeated_runs, frames_per_order))
    return table.Table(
        "Claims in the memory of a majority of entries (a model)",
        ("replaced_every_s", "repeated_orders", "ran_twice", "frames_per_order"),
        tuple(rows),
        f"Each order is claimed at {ENTRIES // 2 + 1} of {ENTRIES} entries and repeated once "
        f"within 60 s at any entry; entries are replaced in turn and keep nothing; seed {seed}.",
    )


def _runs_twice_with_majority(rng: random.Random, replaced_every_s: float) -> bool:
    """Return whether a repeat finds a majority of entries that have lost the claim."""
    holders = set(rng.sample(range(ENTRIES), ENTRIES // 2 + 1))
    sent_s = rng.uniform(0, ENTRIES * replaced_every_s)
    repeated_s = sent_s + rng.uniform(0, 60)
    first, last = int(sent_s / replaced_every_s), int(repeated_s / replaced_every_s)
    replaced = {turn % ENTRIES for turn in range(first + 1, last + 1)}
    # The repeat runs if the entries without the claim form a majority.
    return ENTRIES - len(holders - replaced) >= ENTRIES // 2 + 1


def _faults_table(seed: int) -> table.Table:
    total: collections.Counter[str] = collections.Counter()
    for claim_method in (COMBINED, ISSUED):
        for number in range(FAULT_RUNS):
            counts = _on_test_clock(_fault_run, claim_method, seed * 1000 + number)
            total.update({(claim_method, name): count for name, count in counts.items()})
    names = ("orders", "sendings", "ran", "doubled", "false_did_not_run", "lost", "end_unknown")
    rows = [
        (claim_method, *(total[claim_method, name] for name in names))
        for claim_method in (COMBINED, ISSUED)
    ]
    return table.Table(
        "Orders under faults",
        ("way", *names),
        tuple(rows),
        f"{FAULT_RUNS} runs of {FAULT_ORDERS} orders each from seed {seed * 1000}: entries killed "
        "and replaced, outages, lost answers, late writes, runs lost before and after they ran, "
        "keys repeated at several entries at once. Lost: never ran though repeated after all "
        "faults, and not told 'unknown'. Unknown at the end: the truthful answer where nobody "
        "can know.",
    )


async def _fault_run(claim_method: str, seed: int) -> collections.Counter:
    async def body(site: _Site) -> collections.Counter:
        rng = random.Random(seed)
        site.sender.behaviours = rng.choices(
            ("ok", "not-sent", "lost-after-run", "lost-before-run"), (8, 1, 1, 1), k=10_000
        )
        check = _OrderCheck(site, claim_method, rng)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_make_faults, site, rng)
            async with trio.open_nursery() as callers:
                for number in range(FAULT_ORDERS):
                    callers.start_soon(check.order, number)
            nursery.cancel_scope.cancel()
        return check.count()

    return await _run_with_site(claim_method, body)


async def _make_faults(site: _Site, rng: random.Random) -> None:
    kinds = ("unavailable", "lost-request", "lost-answer", "late")
    while trio.current_time() < FAULT_RUN_S:
        await trio.sleep(rng.uniform(0, 4))
        fault = rng.choice(("calls", "calls", "outage", "kill"))
        if fault == "calls":
            first = site.store.calls.total()
            for number in range(first, first + rng.randrange(1, 30)):
                site.store.faults[number] = rng.choice(kinds)
        elif fault == "outage":
            site.store.is_down = True
            await trio.sleep(rng.uniform(0, 10))
            site.store.is_down = False
        else:
            killed_entry = site.entries.pop(rng.randrange(len(site.entries)))
            killed_entry.kill()
            name = killed_entry.order_handler.issued_executor.roster.own.entry
            for other in site.entries:
                other.order_handler.issued_executor.roster.remove(name)
            await site.add(name)
    site.store.faults.clear()


@attrs.define(eq=False)
class _OrderCheck:
    """Sends each order several times and compares the reported outcomes with the actual runs.

    :ivar ids: request ids by order key, and the ids of refused requests under ``refused``
    :ivar final_outcomes: last outcome by order key
    :ivar false: did-not-run refusals of requests that had run
    """

    site: _Site
    claim_method: str
    rng: random.Random
    ids: dict[str, set[str]] = attrs.field(factory=lambda: collections.defaultdict(set))
    final_outcomes: dict[str, str] = attrs.field(factory=dict)
    false: int = 0

    async def order(self, number: int) -> None:
        await trio.sleep(self.rng.uniform(0, FAULT_RUN_S))
        issuing_entry = self.rng.choice(self.site.entries)
        key = issuing_entry.issue_key() if self.claim_method == ISSUED else f"order-{number}"
        for _ in range(self.rng.randrange(1, 4)):
            async with trio.open_nursery() as nursery:
                for _ in range(self.rng.randrange(1, 4)):
                    nursery.start_soon(self.send, key, issuing_entry)
            await trio.sleep(self.rng.expovariate(0.3))
        await trio.sleep_until(FAULT_RUN_S + RECOVERY_S)
        for _ in range(10):
            self.final_outcomes[key] = await self.send(key, issuing_entry)
            if self.final_outcomes[key] in ("ran", "unknown"):
                break
            await trio.sleep(15)

    async def send(self, key: str, issuing_entry: orders.FakeEntry) -> str:
        entry = self.rng.choice(self.site.entries)
        if (
            self.claim_method == ISSUED
            and issuing_entry in self.site.entries
            and self.rng.random() < 0.7
        ):
            entry = issuing_entry
        request = orders.new_request(key)
        self.ids[key].add(request.request_id)
        status, outcome, _ = await entry.send_order(request)
        if outcome == requests.Outcome.DID_NOT_RUN.value:
            # count() checks again at the end, since a refused order must not run later either.
            self.false += request.request_id in self.site.sender.executed_ids
            self.ids["refused"].add(request.request_id)
        return "ran" if status == 200 else outcome

    def count(self) -> collections.Counter:
        ran = set(self.site.sender.executed_ids)
        refused = self.ids.pop("refused", set())
        runs_of = {key: len(ids & ran) for key, ids in self.ids.items()}
        return collections.Counter(
            orders=len(self.ids),
            sendings=sum(map(len, self.ids.values())),
            ran=sum(1 for count in runs_of.values() if count),
            doubled=sum(1 for count in runs_of.values() if count > 1),
            false_did_not_run=len(refused & ran),
            lost=sum(
                1
                for key, end in self.final_outcomes.items()
                if not runs_of[key] and end != "unknown"
            ),
            end_unknown=sum(1 for end in self.final_outcomes.values() if end == "unknown"),
        )


def _cost_table() -> table.Table:
    rows = []
    for claim_method in (NO_KEY, ISSUED, COMBINED):
        costs_us = [trio.run(_cost_us, claim_method) for _ in range(5)]
        rows.append((claim_method, statistics.median(costs_us), min(costs_us), max(costs_us)))
    return table.Table(
        "Processor time of an order at its entry",
        ("way", "median_us", "least_us", "most_us"),
        tuple(rows),
        f"5 runs of {ORDERS_PER_COST_RUN} orders, 20 at a time, without HTTP; the fakes' "
        "own work is included.",
    )


async def _cost_us(claim_method: str) -> float:
    async with trio.open_nursery() as nursery:
        store = orders.FakeKeyValueClient(latency_s=0.0)
        site = _Site(store, orders.FakeDispatcher(processing_s=0.0), [], nursery)
        entry = await site.add("entry-0")
        entry.order_handler.claimed_executor.claims.committer.bucket.rate_per_s = lambda: 1e6
        keys = iter(
            [_key(site, entry, claim_method, number) for number in range(ORDERS_PER_COST_RUN)]
        )

        async def send() -> None:
            for key in keys:
                await entry.send_order(orders.new_request(key))

        started_s = time.process_time()
        async with trio.open_nursery() as callers:
            for _ in range(20):
                callers.start_soon(send)
        await entry.order_handler.runner.wait_idle(10)
        elapsed_s = time.process_time() - started_s
        nursery.cancel_scope.cancel()
    return 1e6 * elapsed_s / ORDERS_PER_COST_RUN
