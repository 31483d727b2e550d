"""Plans the groups of all model services: forms and repairs groups, and preloads spares."""

from __future__ import annotations

import collections
import collections.abc
import logging

import attrs
import trio

from toucanhold import events, notifier, supervision
from toucanhold.coordination import lease, mirror
from toucanhold.registry import backoffs, registry, servers
from toucanhold.replicas import (
    composition,
    conversion,
    demand,
    driver,
    ordering,
    orders,
    plan,
    preloading,
    probing,
    records,
)
from toucanhold.routes import table

PLAN_INTERVAL_S = 0.25
# After a cold start, all servers register within a second. Groups planned earlier would leave some
# servers of their domains unused.
ARRIVAL_SETTLE_S = 0.8
# Delay after a failed write.
WRITE_RETRY_S = 0.1
COUNT_INTERVAL_S = 1.0
TARGETS_LOG_INTERVAL_S = 10.0
# A conversion takes effect after some seconds, and the next one must be based on its result.
CONVERSION_INTERVAL_S = 10.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Planner:
    """Plans groups while this entry holds the planner lease.

    :ivar closed_zones: returns the availability zones that get no requests
    :ivar stall_s: time after which a head that lacks a member breaks by itself
    :ivar backoff_table: servers that asked for a backoff
    :ivar load: returns the slots in use and all slots by model of a service; None if groups do not
        follow the demand
    :ivar cores: processor cores of this VM, possibly a fraction
    """

    kv_mirror: mirror.Mirror
    planner_lease: lease.LeasedKey
    plan_writer: plan.PlanWriter
    group_table: records.GroupTable
    server_registry: registry.Registry
    routes: table.RouteTableHolder
    engine_client: orders.EngineClient
    closed_zones: collections.abc.Callable[[], frozenset[str]]
    stall_s: float
    backoff_table: backoffs.BackoffTable = attrs.field(factory=backoffs.BackoffTable)
    load: (
        collections.abc.Callable[[table.Service], tuple[dict[str, float], dict[str, float]]] | None
    ) = None
    cores: float = 1.0
    order_sender: ordering.OrderSender = attrs.field(init=False)
    prober: probing.Prober = attrs.field(init=False)
    preloader: preloading.Preloader = attrs.field(init=False)
    _changed: notifier.Notifier = attrs.field(factory=notifier.Notifier, init=False)
    _driven_groups: set[str] = attrs.field(factory=set, init=False)
    _last_arrival_s: float = attrs.field(default=0.0, init=False)
    _seen_incarnations: set[tuple[str, int]] = attrs.field(factory=set, init=False)
    _last_count_s: float = attrs.field(default=float("-inf"), init=False)
    _last_conversion_s: float = attrs.field(default=float("-inf"), init=False)
    _follows_demand: set[str] = attrs.field(factory=set, init=False)
    _targets_logged_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _demand_estimates: dict[str, demand.DemandEstimate] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to registrations, group records and the planner key."""
        self.order_sender = ordering.OrderSender(
            self.engine_client, self.server_registry, self._fence, self.backoff_table, self.cores
        )
        self.prober = probing.Prober(
            self.group_table, self.server_registry, self.order_sender, self._changed.notify_all
        )
        self.preloader = preloading.Preloader(
            self.kv_mirror, self.server_registry, self.order_sender
        )
        self.server_registry.add_listener(self._changed.notify_all)
        self.kv_mirror.add_listener(records.GROUPS_PREFIX, lambda keys: self._changed.notify_all())
        self.kv_mirror.add_listener(plan.PLANNER_KEY, lambda keys: self._changed.notify_all())

    def may_act(self) -> bool:
        """Return whether this entry is the planner and has seen all earlier planners' writes."""
        return bool(self._fence())

    def suspect(self, server_id: str) -> None:
        """Probe a head that stopped responding to this or another entry."""
        self.prober.suspect(server_id)
        self._changed.notify_all()

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            if self.may_act():
                events.log(LOGGER, events.Event.PLANNER_ELECTED, fencing=self.planner_lease.fencing)
                await self._plan_while_elected()
                events.log(LOGGER, events.Event.PLANNER_LOST)
            await self._changed.wait(PLAN_INTERVAL_S)

    async def _plan_while_elected(self) -> None:
        self._driven_groups.clear()
        self._demand_estimates.clear()
        # The previous planner may just have converted a group.
        self._last_conversion_s = trio.current_time()
        for group in self.group_table.groups.values():
            records.add_lapsed_members(group, self.server_registry)
        async with trio.open_nursery() as nursery:
            while self.may_act():
                self.prober.probe(nursery)
                await self._plan_services(nursery)
                self._start_drivers(nursery)
                self._log_counts()
                await self._changed.wait(PLAN_INTERVAL_S)
            nursery.cancel_scope.cancel()

    def _fence(self) -> int:
        if not self.planner_lease.is_held():
            return 0
        # The group table must hold all writes of earlier planners that precede this election. The
        # mirror has received them once it holds this election's planner key.
        item = self.kv_mirror.items.get(plan.PLANNER_KEY)
        if item is None or item.create_revision != self.planner_lease.fencing:
            return 0
        return self.planner_lease.fencing

    def _log_counts(self) -> None:
        now_s = trio.current_time()
        if self.routes.table is None or now_s - self._last_count_s < COUNT_INTERVAL_S:
            return
        self._last_count_s = now_s
        groups_by_server = self.group_table.groups_by_server()
        for service in self.routes.table.model_services():
            counts: collections.Counter[str] = collections.Counter()
            for server in self.server_registry.of_service(service.name):
                counts[self._server_status(server, groups_by_server.get(server.server_id))] += 1
            events.log(
                LOGGER, events.Event.SERVERS_COUNTED, service=service.name, counts=dict(counts)
            )

    def _server_status(self, server: servers.Server, group: records.Group | None) -> str:
        if group is not None:
            if group.is_ending:
                return "ending"
            state = "serving" if group.is_open(self.server_registry) else "forming"
            return f"{state} {group.record.model}"
        if server.is_leaving:
            return "leaving"
        if self.order_sender.is_unreachable(server.incarnation):
            return "unreachable"
        if preloading.is_loading(server):
            return "loading"
        return f"spare {server.model}" if server.model else "empty"

    def _start_drivers(self, nursery: trio.Nursery) -> None:
        for name in self.group_table.groups.keys() - self._driven_groups:
            self._driven_groups.add(name)
            nursery.start_soon(supervision.run, self._run_driver, name)

    async def _run_driver(self, name: str) -> None:
        group_driver = driver.GroupDriver(
            name,
            self.group_table,
            self.plan_writer,
            self.server_registry,
            self.order_sender,
            self._changed,
            lambda: self.stall_s,
        )
        try:
            await group_driver.run()
        finally:
            self._driven_groups.discard(name)

    async def _plan_services(self, nursery: trio.Nursery) -> None:
        routes = self.routes.table
        if routes is None or not self._is_settled():
            return
        for service in routes.model_services():
            await supervision.run(self._plan_service, service, nursery)

    async def _plan_service(self, service: table.Service, nursery: trio.Nursery) -> None:
        placement_planner = composition.PlacementPlanner(self._snapshot(service))
        self._record_targets(service, placement_planner)
        new_records = [
            self._new_record(service, placement) for placement in placement_planner.placements()
        ]
        for begin in range(0, len(new_records), plan.MAX_GROUPS_PER_WRITE):
            await self._create_groups(new_records[begin : begin + plan.MAX_GROUPS_PER_WRITE])
        self.preloader.order_preloads(
            service, placement_planner.preloads(), self._is_first_start(), nursery
        )
        self.preloader.order_spare_stagings(service, placement_planner.spare_stagings(), nursery)
        if self._may_convert(service):
            await self._apply_conversion(service, placement_planner.next_conversion(), nursery)

    def _record_targets(
        self, service: table.Service, placement_planner: composition.PlacementPlanner
    ) -> None:
        if not placement_planner.follows_demand:
            self._follows_demand.discard(service.name)
            return
        self._follows_demand.add(service.name)
        now_s = trio.current_time()
        logged_s = self._targets_logged_s.get(service.name, float("-inf"))
        if now_s - logged_s < TARGETS_LOG_INTERVAL_S:
            return
        self._targets_logged_s[service.name] = now_s
        events.log(
            LOGGER,
            events.Event.GROUP_TARGETS_SET,
            service=service.name,
            slots_in_use=_rounded(placement_planner.snapshot.slots_in_use),
            target_groups=_rounded(placement_planner.target_counts),
            groups=placement_planner.group_counts,
        )

    async def _create_groups(self, new_records: list[records.GroupRecord]) -> None:
        try:
            created = await self.plan_writer.create(new_records)
        except plan.PlanWriteError as error:
            LOGGER.debug("groups not written: %s", error)
            await trio.sleep(WRITE_RETRY_S)
            return
        for group in created:
            self._log_planned(group)

    def _is_first_start(self) -> bool:
        """Return whether no planner has ever formed a group."""
        return not self.group_table.groups and plan.PLAN_KEY not in self.kv_mirror.items

    def _is_settled(self) -> bool:
        arrived = {server.incarnation for server in self.server_registry.servers.values()}
        now_s = trio.current_time()
        # Wait only for the first registrations; once groups exist, a new server is used at once.
        if not self.group_table.groups and arrived - self._seen_incarnations:
            self._last_arrival_s = now_s
        self._seen_incarnations = arrived
        return bool(arrived) and now_s - self._last_arrival_s >= ARRIVAL_SETTLE_S

    def _snapshot(self, service: table.Service) -> composition.ServiceSnapshot:
        assert service.engine is not None
        closed = self.closed_zones()
        counts: collections.Counter[str] = collections.Counter()
        zone_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        domain_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        ending: collections.Counter[str] = collections.Counter()
        ending_members: dict[str, list[servers.Server]] = collections.defaultdict(list)
        groups: list[conversion.ServingGroup] = []
        for group in self.group_table.groups.values():
            head = self.server_registry.servers.get(group.head.server_id)
            if group.record.service != service.name or head is None:
                continue
            if group.is_ending:
                ending[head.domain] += 1
                ending_members[head.domain] += [
                    server
                    for server in records.find_members(group, self.server_registry)
                    if not self.order_sender.is_unreachable(server.incarnation)
                ]
                continue
            zone_counts[group.record.model, head.zone] += 1
            domain_counts[group.record.model, head.domain] += 1
            if head.zone not in closed:
                counts[group.record.model] += 1
                members = tuple(records.find_members(group, self.server_registry))
                groups.append(
                    conversion.ServingGroup(group.name, group.record.model, head.domain, members)
                )
        usable_servers = [each for each in self._usable_servers(service) if each.zone not in closed]
        return composition.ServiceSnapshot(
            service.engine,
            self._free_servers(service),
            counts,
            len(usable_servers),
            zone_counts,
            domain_counts,
            ending,
            self._loading_counts(service),
            closed,
            groups,
            ending_members,
            self._slots_in_use(service),
            self.load is not None and bool(self.group_table.groups),
            service.name in self._follows_demand,
        )

    def _loading_counts(self, service: table.Service) -> collections.Counter[str]:
        return collections.Counter(
            server.domain
            for server in self.server_registry.of_service(service.name)
            if preloading.is_loading(server)
        )

    def _slots_in_use(self, service: table.Service) -> dict[str, float]:
        if self.load is None:
            return {}
        estimate = self._demand_estimates.setdefault(service.name, demand.DemandEstimate())
        estimate.update(*self.load(service))
        return estimate.slots_in_use()

    def _may_convert(self, service: table.Service) -> bool:
        # Without this, each new planner would first return to the configured shares.
        return self.load is None or bool(self._demand_estimates[service.name].slots_in_use())

    def _usable_servers(self, service: table.Service) -> list[servers.Server]:
        return [
            server
            for server in self.server_registry.of_service(service.name)
            if not server.is_leaving and not self.order_sender.is_unreachable(server.incarnation)
        ]

    def _free_servers(self, service: table.Service) -> dict[str, list[servers.Server]]:
        groups_by_server = self.group_table.groups_by_server()
        free: dict[str, list[servers.Server]] = collections.defaultdict(list)
        for server in self._usable_servers(service):
            if server.server_id not in groups_by_server and not preloading.is_loading(server):
                free[server.domain].append(server)
        return free

    def _new_record(
        self, service: table.Service, placement: composition.Placement
    ) -> records.GroupRecord:
        members = tuple(
            records.Member(server.server_id, server.born_ms, server.address, server.zone)
            for server in placement.members
        )
        return records.GroupRecord(plan.new_group_name(), service.name, placement.model, members)

    def _log_planned(self, group: records.Group) -> None:
        events.log(
            LOGGER,
            events.Event.GROUP_PLANNED,
            group=group.name,
            epoch=group.epoch,
            model=group.record.model,
            members=[member.server_id for member in group.record.members],
        )

    async def _apply_conversion(
        self,
        service: table.Service,
        step: conversion.Conversion | None,
        nursery: trio.Nursery,
    ) -> None:
        if step is None:
            return
        for server in step.to_stage:
            self.preloader.order_staging(service, server, step.model.name, nursery)
        now_s = trio.current_time()
        is_due = now_s - self._last_conversion_s >= CONVERSION_INTERVAL_S
        if step.preempted and not step.to_stage and is_due:
            self._last_conversion_s = now_s
            for name in step.preempted:
                await self._preempt(name, step)

    async def _preempt(self, name: str, step: conversion.Conversion) -> None:
        group = self.group_table.groups.get(name)
        if group is None or group.is_ending:
            return
        events.log(
            LOGGER,
            events.Event.GROUP_ENDING,
            group=name,
            epoch=group.epoch,
            model=group.record.model,
            reason=f"the servers are needed for the underserved model {step.model.name}",
        )
        try:
            await self.plan_writer.mark_ending(group)
        except plan.PlanWriteError as error:
            LOGGER.debug("%s: not preempted: %s", name, error)


def _rounded(numbers: collections.abc.Mapping[str, float]) -> dict[str, float]:
    return {key: round(number, 1) for key, number in numbers.items()}
