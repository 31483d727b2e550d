"""Entries reduced to observing and planning, on an in-memory platform."""

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
    """One entry's observing and planning parts.

    :ivar scope: cancelling it ends the entry as a crash does
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

    def whole_groups(self) -> list[plan.Group]:
        """Return the groups that this entry would route to."""
        now_s = trio.current_time()
        return [
            group
            for group in self.plans.groups()
            if self.planner.input_builder.is_complete(group, now_s) and not self._is_out(group)
        ]

    def _is_out(self, group: plan.Group) -> bool:
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
    """Return an entry that has not started."""
    rng = random.Random(f"{seed}:{name}")
    store = platform.client(name)
    known = holder.ConfigurationHolder(configuration)
    plans, seen, backends = plan.PlanHolder(), view.BackendView(), engines.seen_from()
    held = lease.LeasedKey(store, planner.PLANNER_KEY, name.encode(), LEASE_TTL_S, rng)
    own = planner.Planner(
        known, plans, seen, policy, store, backends, held, name, f"{name}:1", probe or _NO_PROBE
    )

    async def refresh() -> int:
        result = await store.read(plan.PLAN_PREFIX)
        for item in result.items:
            plans.apply(plan.from_item(item))
        return result.revision

    follower = following.PrefixFollower(store, plan.PLAN_PREFIX, refresh, rng)
    polling = poller.Poller(known, backends, seen, rng)
    return Node(name, known, plans, seen, polling, follower, held, own, backends)


def new_configuration(
    vms: collections.abc.Iterable[inventory.Vm],
    services: collections.abc.Iterable[rules.Service],
    zones_out: collections.abc.Iterable[str] = (),
    number: int = 1,
    **other_rules,
) -> snapshot.Configuration:
    """Return a configuration; its zones are those of the VMs, all drainable by default."""
    vms = tuple(vms)
    zones = tuple(
        rules.AvailabilityZone(name) for name in sorted({vm.availability_zone for vm in vms})
    )
    given = {"services": tuple(services), "availability_zones": zones} | other_rules
    return snapshot.Configuration(
        number, inventory.Inventory(vms), rules.Rules(**given), frozenset(zones_out)
    )


def new_vms(
    zones: int,
    domains: int,
    vms_per_domain: int,
    fencing: inventory.Fencing = inventory.Fencing.CHECKED,
    accelerators: int = 1,
) -> list[inventory.Vm]:
    """Return engines, evenly spread over zones and their fabric domains."""
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
