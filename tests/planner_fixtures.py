"""In-memory fabric domain with engines and planners, for tests on a mock clock."""

import contextlib

import attrs
import trio
import trio.testing

from standins import fleet, memory, planners
from toucanhold.backends import client
from toucanhold.configuration import inventory, rules
from toucanhold.coordination import keyvalue
from toucanhold.planning import placement, terms
from toucanhold.plans import plan

DRAFTS = rules.Service("drafts", model="writer", version="1", replicas=1, vms_per_replica=2)


class FixedProbe(terms.PredecessorProbe):
    def __init__(self, ended):
        self.ended = ended

    async def has_ended(self, term):
        return term.entry in self.ended


@attrs.define(eq=False)
class Site:
    """One fabric domain, its engines, and entries that are started individually.

    :ivar nodes: started entries by name
    """

    nursery: trio.Nursery
    platform: memory.MemoryPlatform
    engines: fleet.MemoryFleet
    configuration: object
    probe: terms.PredecessorProbe
    policy: placement.PlacementPolicy
    nodes: dict = attrs.field(factory=dict)

    def start(self, name, **options):
        node = planners.new_node(
            name,
            self.platform,
            self.engines,
            self.configuration,
            self.policy,
            self.probe,
        )
        for key, value in options.items():
            setattr(node.backends, key, value)
        self.nodes[name] = node
        self.nursery.start_soon(node.run)
        return node

    def engine(self, index):
        return list(self.engines.engines.values())[index]

    def take_zone_out(self, zone):
        for node in self.nodes.values():
            current = node.configuration.current
            node.configuration.current = attrs.evolve(
                current, number=current.number + 1, zones_out=frozenset({zone})
            )


@contextlib.asynccontextmanager
async def running_site(
    vms=3, fencing=inventory.Fencing.CHECKED, services=(DRAFTS,), probe=None, **options
):
    fleet_options = options.pop("engines", {})
    policy = options.pop("policy", None) or placement.FirstFit()
    listed = planners.new_vms(1, 1, vms, fencing)
    async with trio.open_nursery() as nursery:
        yield Site(
            nursery,
            memory.MemoryPlatform(),
            fleet.new_fleet(listed, nursery, **fleet_options),
            planners.new_configuration(listed, services, **options),
            probe or terms.NoProbe(),
            policy,
        )
        nursery.cancel_scope.cancel()


async def wait_until(condition, limit_s=20.0):
    """Wait until ``condition()`` is true and return the seconds that it took.

    :raises AssertionError: after ``limit_s`` seconds
    """
    started_s = trio.current_time()
    while not condition():
        if trio.current_time() - started_s > limit_s:
            raise AssertionError(f"the condition did not hold within {limit_s} s")
        await trio.sleep(0.05)
    return trio.current_time() - started_s


def run(test):
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


def join_orders_of(engine):
    return [order for _, order in engine.executed_orders if isinstance(order, client.JoinOrder)]


def leave_times_s_of(engine):
    return [at_s for at_s, order in engine.executed_orders if isinstance(order, client.LeaveOrder)]


def engines(site):
    return list(site.engines.engines.values())


def is_formed(node):
    return any(group.formed for group in node.plans.groups())


def service_of_group(node, name):
    return next(group.service for group in node.plans.groups() if group.group == name)


def has_later_generation(node, before):
    return any(group.generation > before.generation for group in node.complete_groups())


def is_no_longer_planned(node, before):
    return before.generation_key not in [group.generation_key for group in node.plans.groups()]


async def delete_plan(site):
    key = plan.key_of("domain-0-0")
    await site.platform.client("operator").commit([], [keyvalue.Write(key, None)])


async def read_plan(site):
    return await site.platform.client("operator").read_key(plan.key_of("domain-0-0"))


def has_recorded_spare(node):
    return any(group.spare for group in node.plans.groups())


def address_of(site, name):
    return next(engine.vm.address for engine in engines(site) if engine.vm.vm == name)
