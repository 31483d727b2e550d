"""Entries reduced to observing and planning, on an in-memory key-value service."""

import collections.abc
import random

import attrs
import trio

from standins import fleet, memory
from toucanhold.configuration import holder, inventory, rules, snapshot
from toucanhold.coordination import following, lease
from toucanhold.observing import poller, view
from toucanhold.planning import placement, planner, terms
from toucanhold.plans import plan

LEASE_TTL_S = 4


@attrs.define(eq=False)
class Node:
    """The observing and planning components of one entry.

    :ivar lease: the planner's lease
    :ivar backends: this entry's client of the engines
    :ivar scope: cancelling it ends the entry as a crash would
    """

    name: str
    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.BackendView
    poller: poller.Poller
    follower: following.PrefixFollower
    lease: lease.LeasedKey
    planner: planner.Planner
    backends: fleet.MemoryFleet
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Run until the scope is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.poller.run)
                nursery.start_soon(self.follower.run)
                nursery.start_soon(self.lease.run)
                nursery.start_soon(self.planner.run)

    def complete_groups(self) -> list[plan.Group]:
        """Return the groups to which this entry would route requests."""
        now_s = trio.current_time()
        return [
            group
            for group in self.plans.groups()
            if self.planner.input_builder.is_complete(group, now_s)
            and not self._has_member_in_closed_zone(group)
        ]

    def _has_member_in_closed_zone(self, group: plan.Group) -> bool:
        current = self.configuration.current
        vms = current.inventory.by_name()
        return any(vms[member].availability_zone in current.zones_out for member in group.members)


def new_node(
    name: str,
    platform: memory.MemoryPlatform,
    engines: fleet.MemoryFleet,
    configuration: snapshot.Configuration,
    policy: placement.PlacementPolicy,
    probe: terms.PredecessorProbe | None = None,
    seed: int = 1,
) -> Node:
    """Return an entry that is not started, with its own client of the engines.

    :param probe: checks whether the previous planner has ended; without one it is unknown
    """
    rng = random.Random(f"{seed}:{name}")
    store = platform.client(name)
    configuration_holder = holder.ConfigurationHolder(configuration)
    plans, observed_view, backends = plan.PlanHolder(), view.BackendView(), engines.new_client()
    planner_lease = lease.LeasedKey(store, planner.PLANNER_KEY, name.encode(), LEASE_TTL_S, rng)
    node_planner = planner.Planner(
        configuration_holder,
        plans,
        observed_view,
        policy,
        store,
        backends,
        planner_lease,
        name,
        f"{name}:1",
        probe or _NO_PROBE,
    )

    async def refresh() -> int:
        result = await store.read(plan.PLAN_PREFIX)
        for item in result.items:
            plans.apply(plan.from_item(item))
        return result.revision

    follower = following.PrefixFollower(store, plan.PLAN_PREFIX, refresh, rng)
    report_poller = poller.Poller(configuration_holder, backends, observed_view, rng)
    return Node(
        name,
        configuration_holder,
        plans,
        observed_view,
        report_poller,
        follower,
        planner_lease,
        node_planner,
        backends,
    )


def new_configuration(
    vms: collections.abc.Iterable[inventory.Vm],
    services: collections.abc.Iterable[rules.Service],
    zones_out: collections.abc.Iterable[str] = (),
    number: int = 1,
    **other_rules,
) -> snapshot.Configuration:
    """Return a configuration whose availability zones are those of the VMs.

    All zones are drainable, unless ``other_rules`` replaces them.

    :param zones_out: names of closed availability zones
    :param other_rules: further fields of :class:`rules.Rules`
    """
    vms = tuple(vms)
    zones = tuple(
        rules.AvailabilityZone(name) for name in sorted({vm.availability_zone for vm in vms})
    )
    rule_values = {"services": tuple(services), "availability_zones": zones} | other_rules
    return snapshot.Configuration(
        number, inventory.Inventory(vms), rules.Rules(**rule_values), frozenset(zones_out)
    )


def new_vms(
    zones: int,
    domains: int,
    vms_per_domain: int,
    fencing: inventory.Fencing = inventory.Fencing.CHECKED,
    accelerators: int = 1,
) -> list[inventory.Vm]:
    """Return the VMs of engines, the same number in each fabric domain of each zone.

    :param domains: number of fabric domains in each availability zone
    :param accelerators: number of accelerators of each VM
    """
    return [
        inventory.Vm(
            vm=f"vm-{zone}-{domain}-{index}",
            address=f"127.0.{zone}.{domain}:{1000 + index}",
            availability_zone=f"zone-{zone}",
            fabric_domain=f"domain-{zone}-{domain}",
            accelerators=accelerators,
            fencing=fencing,
        )
        for zone in range(zones)
        for domain in range(domains)
        for index in range(vms_per_domain)
    ]


_NO_PROBE = terms.NoProbe()
