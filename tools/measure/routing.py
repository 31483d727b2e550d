"""Compares the routing policies with their baselines, on trio's test clock."""

import random
import statistics
import time

import attrs
import trio
import trio.testing

from standins import backends, routers
from tools.measure import table
from toucanhold.backends import client
from toucanhold.observing import view
from toucanhold.routing import requests, router

SERVERS = 6
SLOTS = 8
FIRST_TOKEN_S = 0.05
TOKEN_S = 0.1
MEAN_TOKENS = 10
REPORT_LAG_S = 0.5
DEADLINE_S = 5.0
WARM_UP_S = 15.0
RUN_S = 12.0
LOAD_FACTORS = (0.5, 0.9, 1.5)
SERVER_COUNTS = (3, 50, 500)
DECISIONS = 2000
POLICIES = {"baseline": router.build_baseline, "chosen": router.build_default}
CAPACITY_PER_S = SERVERS * SLOTS / (FIRST_TOKEN_S + TOKEN_S * (MEAN_TOKENS - 1))


@attrs.define
class Outcome:
    """Outcome of one request.

    :ivar first_token_s: time to the first token; infinite if none came
    :ivar refused_after_s: time to the refusal; infinite if not refused
    """

    workspace: str
    answered: bool = False
    first_token_s: float = float("inf")
    refused_after_s: float = float("inf")


def run(seed: int) -> list[table.Table]:
    """Run all measurements."""
    return [
        _load_table(seed),
        _fairness_table(seed),
        _cold_server_table(seed),
        _decision_cost_table(seed),
    ]


def _load_table(seed: int) -> table.Table:
    rows = []
    for name, build in POLICIES.items():
        for load in LOAD_FACTORS:
            rates = {"large-1": 0.4 * load, "large-2": 0.3 * load} | {
                f"small-{number}": 0.3 * load / 8 for number in range(8)
            }
            outcomes = _simulate(build, seed, rates)
            rows.append((name, f"{load:.0%}", *_summarize(outcomes)))
    columns = (
        "policy",
        "load",
        "goodput per s",
        "answered",
        "first token p50 s",
        "p95 s",
        "p99 s",
        "refusal p95 s",
    )
    note = (
        f"7 entries, {SERVERS} servers of {SLOTS} slots, capacity {CAPACITY_PER_S:.0f} requests"
        f" per s, reports {REPORT_LAG_S} s late, deadline {DEADLINE_S:.0f} s, {RUN_S:.0f} s on the"
        f" test clock, seed {seed}."
    )
    return table.Table("Goodput and first token under load", columns, tuple(rows), note)


def _fairness_table(seed: int) -> table.Table:
    rows = []
    for name, build in POLICIES.items():
        outcomes = _simulate(build, seed, {"large": 2.0, "small": 0.02})
        small = [each for each in outcomes if each.workspace == "small"]
        answered = sum(each.answered for each in small) / len(small)
        first_tokens_s = [each.first_token_s for each in small if each.answered]
        rows.append((name, len(small), f"{answered:.0%}", _quantile(first_tokens_s, 0.95)))
    columns = ("policy", "requests", "answered", "first token p95 s")
    note = f"One workspace offers 200% of capacity, the smallest 2%; seed {seed}."
    return table.Table("The smallest workspace beside a flood", columns, tuple(rows), note)


def _cold_server_table(seed: int) -> table.Table:
    rows = [
        (name, 2, _on_test_clock(_max_running_cold, build, seed))
        for name, build in POLICIES.items()
    ]
    columns = ("policy", "bearable", "most ever")
    note = f"7 entries flood 3 servers that restart every few seconds without warning; seed {seed}."
    return table.Table("Most requests at once on a cold server", columns, tuple(rows), note)


def _decision_cost_table(seed: int) -> table.Table:
    rows = []
    for name, build in POLICIES.items():
        rows.append(
            (name, *(_on_test_clock(_decision_us, build, size, seed) for size in SERVER_COUNTS))
        )
    columns = ("policy", *(f"{size} servers, us" for size in SERVER_COUNTS))
    note = (
        "Processor time to find the candidates and choose one, a new report of one server before"
        f" each choice; the least of 3 runs of {DECISIONS} choices, seed {seed}."
    )
    return table.Table("Cost of a choice", columns, tuple(rows), note)


def _on_test_clock(measurement, *arguments):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(measurement, *arguments, clock=clock)


def _simulate(build, seed: int, rates: dict[str, float]) -> list[Outcome]:
    return _on_test_clock(_generate_load, build, seed, rates)


async def _generate_load(build, seed: int, rates: dict[str, float]) -> list[Outcome]:
    rng = random.Random(seed)
    servers = [
        backends.Server(
            f"vm-{number}",
            is_warm=True,
            slots=SLOTS,
            first_token_s=FIRST_TOKEN_S,
            token_s=TOKEN_S,
            report_lag_s=REPORT_LAG_S,
        )
        for number in range(SERVERS)
    ]
    outcomes: list[Outcome] = []
    tokens = _token_counts(seed)
    async with routers.running(servers, build=build, seed=seed, token_count=tokens) as site:
        await trio.sleep(WARM_UP_S)
        request_rate_per_s = sum(rates.values()) * CAPACITY_PER_S
        end_s = trio.current_time() + RUN_S
        while trio.current_time() < end_s:
            await trio.sleep(rng.expovariate(request_rate_per_s))
            workspace = rng.choices(list(rates), list(rates.values()))[0]
            outcomes.append(Outcome(workspace))
            entry = rng.choice(list(site.entries.values()))
            site.nursery.start_soon(_send_request, site, entry, outcomes[-1])
        await trio.sleep(DEADLINE_S + 1)
    return outcomes


def _token_counts(seed: int):
    rng = random.Random(seed + 1)
    return lambda request: rng.randint(MEAN_TOKENS // 2, MEAN_TOKENS * 3 // 2)


async def _send_request(
    site: routers.RoutingSite, entry: routers.RoutingEntry, outcome: Outcome
) -> None:
    request = site.request(workspace=outcome.workspace, timeout_s=DEADLINE_S)
    began_s = trio.current_time()
    try:
        async with entry.router.dispatcher.serve(request) as response:
            async for _ in response.chunks:
                outcome.first_token_s = min(outcome.first_token_s, trio.current_time() - began_s)
        outcome.answered = True
    except requests.RequestError:
        outcome.refused_after_s = trio.current_time() - began_s


def _summarize(outcomes: list[Outcome]) -> tuple:
    answered = [each for each in outcomes if each.answered]
    first_tokens_s = [each.first_token_s for each in answered]
    refusals_s = [each.refused_after_s for each in outcomes if not each.answered]
    return (
        len(answered) / RUN_S,
        f"{len(answered) / len(outcomes):.1%}",
        *(_quantile(first_tokens_s, fraction) for fraction in (0.5, 0.95, 0.99)),
        _quantile(refusals_s, 0.95) if refusals_s else "none",
    )


def _quantile(values: list[float], fraction: float) -> float:
    if len(values) < 2:
        return float("nan")
    return statistics.quantiles(values, n=100)[round(fraction * 100) - 1]


async def _max_running_cold(build, seed: int) -> int:
    rng = random.Random(seed)
    servers = [backends.Server(f"vm-{n}", bearable=2, report_lag_s=0.5) for n in range(3)]
    async with routers.running(servers, build=build, seed=seed) as site:
        await trio.sleep(WARM_UP_S)
        for entry in list(site.entries.values()):
            site.start_callers(entry, 4, timeout_s=2)
        for _ in range(20):
            await trio.sleep(rng.uniform(0.5, 3))
            server = rng.choice(servers)
            server.is_warm = True
            await trio.sleep(rng.uniform(0.5, 3))
            server.restart()
    return max(server.max_running_cold for server in servers)


async def _decision_us(build, size: int, seed: int) -> float:
    rng = random.Random(seed)
    servers = [backends.Server(f"vm-{number}", is_warm=True) for number in range(size)]
    async with routers.running(servers, entries=1, build=build, seed=seed) as site:
        await trio.sleep(WARM_UP_S)
        entry = site.entries["entry-0"]
        return min(_time_decisions(entry, site.request(), servers, rng) for _ in range(3))


def _time_decisions(
    entry: routers.RoutingEntry,
    request: requests.CallerRequest,
    servers: list[backends.Server],
    rng: random.Random,
) -> float:
    now_s = trio.current_time()
    reports = [rng.choice(servers).report() for _ in range(DECISIONS)]
    spent_s = 0.0
    for number, report in enumerate(reports):
        _record_report(entry.view, report, now_s + number * 1e-9)
        began_s = time.process_time()
        options = entry.router.finder.find(request.service, now_s)
        entry.router.choice.choose(request, options)
        spent_s += time.process_time() - began_s
    return spent_s / DECISIONS * 1e6


def _record_report(
    fleet_view: view.BackendView, report: client.Report, requested_at_s: float
) -> None:
    fleet_view.record_report(report.vm, report, requested_at_s)
