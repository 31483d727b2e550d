"""Measures time and memory of one placement decision."""

import time
import tracemalloc

import attrs
import trio

from standins import planners
from tools.measure import planning, table
from toucanhold.backends import client
from toucanhold.configuration import holder, rules
from toucanhold.observing import view
from toucanhold.planning import input_building, placement
from toucanhold.plans import plan

DECISION_SIZES = (100, 1_000, 12_000)


def run(seed: int) -> list[table.Table]:
    """Return the cost of a decision; the seed has no effect."""
    kinds = ("first_ms", "steady_ms", "failure_ms", "peak_kb")
    columns = ["vms", "facts_ms"]
    columns += [
        f"{label.replace(' ', '_')}_{kind}" for label in planning.POLICIES for kind in kinds
    ]
    rows = []
    for size in DECISION_SIZES:
        costs = [_decision(size, policy()) for policy in planning.POLICIES.values()]
        rows.append((size, costs[0][-1], *(cell for cost in costs for cell in cost[:-1])))
    note = (
        "Time of one placement: from nothing (first), with nothing to do (steady), and after one"
        " VM's loss (failure); the memory that the first takes at its peak; time to gather the"
        " facts. Groups of 8 VMs, fabric domains of 16, 11 availability zones, one run each."
    )
    plot = table.Plot("vms", tuple(each for each in columns if each.endswith("_ms")), True)
    title = "Cost of a placement decision"
    return [table.Table(title, tuple(columns), tuple(rows), note, plot)]


def _decision(size: int, policy: placement.PlacementPolicy) -> tuple[float, ...]:
    vms = planners.new_vms(11, max(1, round(size / 11 / 16)), 16)
    groups = len(vms) // 8
    services = [
        rules.Service(
            f"s{index}",
            model="m",
            version="1",
            replicas=max(1, int(groups * 0.95) // 10),
            vms_per_replica=8,
            importance=index,
        )
        for index in range(10)
    ]
    configuration = planners.new_configuration(vms, services)
    reports_by_vm = {vm.vm: client.Report(vm.vm, "1") for vm in vms}
    placement_input = placement.PlacementInput(
        configuration, {}, frozenset(reports_by_vm), reports=reports_by_vm
    )
    first_s, placement_result = _timed(policy, placement_input)
    peak_kb = _peak_kb(policy, placement_input)
    plans = {each.domain: each for each in placement_result.changed}
    steady = attrs.evolve(placement_input, plans=plans)
    steady_s, _ = _timed(policy, steady)
    lost = next(iter(plans.values())).groups[0].members[0]
    failed = attrs.evolve(
        steady, usable_vms=placement_input.usable_vms - {lost}, lost_vms=frozenset({lost})
    )
    failure_s, _ = _timed(policy, failed)
    input_build_s = _input_build_s(configuration, placement_result)
    return (first_s * 1e3, steady_s * 1e3, failure_s * 1e3, peak_kb, input_build_s * 1e3)


def _timed(policy: placement.PlacementPolicy, placement_input: placement.PlacementInput):
    started_s = time.perf_counter()
    placement_result = policy.place(placement_input)
    return time.perf_counter() - started_s, placement_result


def _peak_kb(policy: placement.PlacementPolicy, placement_input: placement.PlacementInput) -> float:
    tracemalloc.start()
    policy.place(placement_input)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak_bytes / 1024


def _input_build_s(configuration, placement_result: placement.Placement) -> float:
    async def build_input() -> float:
        plans, fleet_view = plan.PlanHolder(), view.BackendView()
        for revision, each in enumerate(placement_result.changed, 1):
            plans.apply(plan.VersionedDomainPlan(each, revision))
        for vm in configuration.inventory.vms:
            fleet_view.record_report(vm.vm, client.Report(vm.vm, "1"), trio.current_time())
        input_builder = input_building.PlacementInputBuilder(
            holder.ConfigurationHolder(configuration), plans, fleet_view
        )
        started_s = time.perf_counter()
        input_builder.build(1)
        return time.perf_counter() - started_s

    return trio.run(build_input)
