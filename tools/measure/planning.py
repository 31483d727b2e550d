"""Compares downtime, stranded accelerators and moves under spreading and first-fit placement."""

import collections
import logging
import random
import statistics

import attrs
import trio
import trio.testing

from standins import fleet, memory, planners
from tools.measure import sites, table
from toucanhold.backends import client
from toucanhold.configuration import inventory
from toucanhold.planning import placement, spreading
from toucanhold.plans import plan

SEEDS = 3
DURATION_S = 2400.0
SAMPLE_S = 0.5
LOAD_S = 20.0
FULL_RATE_LOADS = 8
WARM_UP_S = 120.0
FAILURE_INTERVAL_S = 75.0
ZONE_OUT_WINDOW_S = (600.0, 1200.0)
DOMAIN_OUTAGE_S = (1700.0, 1940.0)
OUTAGE_S = 900.0
POLICIES: dict[str, type[placement.PlacementPolicy]] = {
    "first fit": placement.FirstFit,
    "spreading": spreading.Spreading,
}


@attrs.define(eq=False)
class Tally:
    """Totals of one run.

    :ivar down_s: group-seconds by which the serving groups fell short of the wanted, by service
    :ivar zone_down_s: the part of it during the availability zone's absence
    :ivar stranded_s: accelerator-seconds on healthy VMs outside any serving group
    :ivar unavoidable_s: the part of ``stranded_s`` that no wanted group could use
    :ivar joins: join orders sent to engines
    :ivar loads: loads of model weights
    """

    down_s: collections.Counter = attrs.field(factory=collections.Counter)
    zone_down_s: float = 0.0
    stranded_s: float = 0.0
    unavoidable_s: float = 0.0
    failures: int = 0
    joins: int = 0
    loads: int = 0


@attrs.define(eq=False)
class Run:
    """A run of one site with VM failures, an absent zone and a fabric domain without power.

    :ivar zone_out: availability zone that is out now; empty for none
    """

    site: sites.Site
    policy: placement.PlacementPolicy
    rng: random.Random
    tally: Tally = attrs.field(factory=Tally)
    zone_out: str = ""

    async def run_outage(self) -> Tally:
        """Run VM failures during an outage of the key-value service, on the test clock."""
        async with trio.open_nursery() as nursery:
            vms = [attrs.evolve(vm, fencing=inventory.Fencing.CHECKED) for vm in self.site.vms()]
            platform = memory.MemoryPlatform()
            engines = fleet.new_fleet(vms, nursery, load_s=LOAD_S)
            configuration = planners.new_configuration(vms, self.site.services)
            node = planners.new_node("entry-0", platform, engines, configuration, self.policy)
            nursery.start_soon(node.run)
            await trio.sleep(WARM_UP_S)
            platform.set_mode("down")
            nursery.start_soon(self._fail_vms, list(engines.engines.values()))
            await self._sample(node, list(engines.engines.values()), OUTAGE_S)
            nursery.cancel_scope.cancel()
        return self.tally

    async def run(self) -> Tally:
        """Run all faults on the test clock."""
        async with trio.open_nursery() as nursery:
            store = fleet.WeightStore(FULL_RATE_LOADS)
            configuration = self.site.configuration(max_loading_vms=FULL_RATE_LOADS)
            engines = fleet.new_fleet(self.site.vms(), nursery, load_s=LOAD_S, store=store)
            node = planners.new_node(
                "entry-0", memory.MemoryPlatform(), engines, configuration, self.policy
            )
            nursery.start_soon(node.run)
            await trio.sleep(WARM_UP_S)
            counts_before = self._count_join_orders(engines), store.load_count
            nursery.start_soon(self._fail_vms, list(engines.engines.values()))
            nursery.start_soon(self._take_zone_out, node)
            nursery.start_soon(self._power_off_domain, list(engines.engines.values()))
            await self._sample(node, list(engines.engines.values()), DURATION_S)
            self.tally.joins = self._count_join_orders(engines) - counts_before[0]
            self.tally.loads = store.load_count - counts_before[1]
            nursery.cancel_scope.cancel()
        return self.tally

    async def _sample(self, node: planners.Node, engines: list, duration_s: float) -> None:
        until_s = trio.current_time() + duration_s
        while trio.current_time() < until_s:
            await trio.sleep(SAMPLE_S)
            serving = node.complete_groups()
            self._count_downtime(serving)
            self._count_stranded(serving, engines)

    def _count_downtime(self, serving: list[plan.Group]) -> None:
        counts = collections.Counter(group.service for group in serving)
        for service in self.site.services:
            missing = max(0, service.replicas - counts[service.name])
            self.tally.down_s[service.name] += missing * SAMPLE_S
            if self.zone_out:
                self.tally.zone_down_s += missing * SAMPLE_S

    def _count_stranded(self, serving: list[plan.Group], engines: list) -> None:
        used_vms = {member for group in serving for member in group.members}
        healthy = [
            engine
            for engine in engines
            if engine.reachability is fleet.Reachability.UP
            and engine.vm.availability_zone != self.zone_out
        ]
        idle_accelerators = sum(
            each.vm.accelerators for each in healthy if each.vm.vm not in used_vms
        )
        wanted_vms = sum(each.replicas * each.vms_per_replica for each in self.site.services)
        accelerator_counts = sorted((each.vm.accelerators for each in healthy), reverse=True)
        self.tally.stranded_s += idle_accelerators * SAMPLE_S
        self.tally.unavoidable_s += sum(accelerator_counts[wanted_vms:]) * SAMPLE_S

    async def _fail_vms(self, engines: list[fleet.MemoryEngine]) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.rng.expovariate(1 / FAILURE_INTERVAL_S))
                healthy = [
                    engine for engine in engines if engine.reachability is fleet.Reachability.UP
                ]
                self.tally.failures += 1
                nursery.start_soon(self._fail_vm, self.rng.choice(healthy))

    async def _fail_vm(self, engine: fleet.MemoryEngine) -> None:
        failure_draw = self.rng.random()
        if failure_draw < 0.5:
            engine.reachability = fleet.Reachability.REFUSING
            await trio.sleep(self.rng.uniform(10, 60))
            engine.restart()
        elif failure_draw < 0.75:
            engine.reachability = fleet.Reachability.SILENT
            await trio.sleep(self.rng.uniform(0.5, 12))
            engine.reachability = fleet.Reachability.UP
        else:
            engine.reachability = fleet.Reachability.SILENT
            await trio.sleep(self.rng.uniform(120, 600))
            engine.restart()

    async def _take_zone_out(self, node: planners.Node) -> None:
        await trio.sleep(ZONE_OUT_WINDOW_S[0])
        self.zone_out = "zone-1"
        _set_zones_out(node, {self.zone_out})
        await trio.sleep(ZONE_OUT_WINDOW_S[1] - ZONE_OUT_WINDOW_S[0])
        self.zone_out = ""
        _set_zones_out(node, set())

    async def _power_off_domain(self, engines: list[fleet.MemoryEngine]) -> None:
        await trio.sleep(DOMAIN_OUTAGE_S[0])
        powered_off = [engine for engine in engines if engine.vm.fabric_domain == "domain-2-0"]
        for engine in powered_off:
            engine.reachability = fleet.Reachability.SILENT
        await trio.sleep(DOMAIN_OUTAGE_S[1] - DOMAIN_OUTAGE_S[0])
        for engine in powered_off:
            engine.restart()

    def _count_join_orders(self, engines: fleet.MemoryFleet) -> int:
        return sum(
            isinstance(order, client.JoinOrder)
            for engine in engines.engines.values()
            for _, order in engine.executed_orders
        )


def run(seed: int) -> list[table.Table]:
    """Return the tables of both sites."""
    logging.disable(logging.CRITICAL)
    return [_site_table(site, seed) for site in sites.ALL]


def tally(site: sites.Site, policy: placement.PlacementPolicy, seed: int) -> Tally:
    """Run a site once and return its totals."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(Run(site, policy, random.Random(seed)).run, clock=clock)


def _site_table(site: sites.Site, seed: int) -> table.Table:
    names = [service.name for service in sorted(site.services, key=lambda each: -each.importance)]
    rows = []
    for label, policy in POLICIES.items():
        tallies = [tally(site, policy(), each) for each in range(seed, seed + SEEDS)]
        rows.append((label, *_metric_cells(tallies, site)))
    columns = (
        "policy",
        *(f"{name}_down_s" for name in names),
        "all_down_s",
        "weighted_down_s",
        "zone_out_down_s",
        "stranded_s",
        "unavoidable_s",
        "joins_per_failure",
        "loads_per_failure",
    )
    note = (
        f"Seeds {seed} to {seed + SEEDS - 1}, mean (least to most). {DURATION_S:.0f} s each: a VM"
        f" fails every {FAILURE_INTERVAL_S:.0f} s on average, one availability zone is out for"
        f" {ZONE_OUT_WINDOW_S[1] - ZONE_OUT_WINDOW_S[0]:.0f} s, one fabric domain dark for"
        f" {DOMAIN_OUTAGE_S[1] - DOMAIN_OUTAGE_S[0]:.0f} s; a load takes {LOAD_S:.0f} s or more."
        " Columns ending in down_s are group-seconds not serving against wanted; weighted by"
        " importance in one."
    )
    return table.Table(f"Placement at {site.name}", columns, tuple(rows), note)


def _metric_cells(tallies: list[Tally], site: sites.Site) -> list[str]:
    services = sorted(site.services, key=lambda each: -each.importance)
    metrics = [[each.down_s[service.name] for each in tallies] for service in services]
    metrics.append([sum(each.down_s.values()) for each in tallies])
    weights = {service.name: service.importance for service in services}
    metrics.append(
        [sum(weights[name] * down_s for name, down_s in each.down_s.items()) for each in tallies]
    )
    metrics.append([each.zone_down_s for each in tallies])
    metrics.append([each.stranded_s for each in tallies])
    metrics.append([each.unavoidable_s for each in tallies])
    metrics.append([each.joins / each.failures for each in tallies])
    metrics.append([each.loads / each.failures for each in tallies])
    return [format_spread(values) for values in metrics]


def format_spread(values: list[float]) -> str:
    """Return mean, minimum and maximum as text."""
    return f"{statistics.mean(values):.4g} ({min(values):.4g} to {max(values):.4g})"


def _set_zones_out(node: planners.Node, zones: set[str]) -> None:
    current = node.configuration.current
    node.configuration.current = attrs.evolve(
        current, number=current.number + 1, zones_out=frozenset(zones)
    )
