"""The planner: forms groups, keeps them whole, and holds spares ready."""

from __future__ import annotations

import collections
import collections.abc
import logging

import attrs
import trio

from toucanhold import events, notifier
from toucanhold.coordination import lease, mirror
from toucanhold.registry import registry, servers
from toucanhold.replicas import (
    composition,
    conversion,
    driver,
    ordering,
    orders,
    plan,
    probing,
    records,
)
from toucanhold.routes import table

TICK_S = 0.25
# Registrations of a whole site arrive within a second of its start; groups planned before that
# would leave the rest of their domains over.
SETTLE_S = 0.8
# Pause after a write that failed.
WRITE_AGAIN_S = 0.1
# How often a spare is told again what to load.
PREPARE_AGAIN_S = 2.0
COUNT_INTERVAL_S = 1.0
SPARE_PREFIX = "spare-"
# A host that has not loaded a model by now is told again: the longest load, with several at once.
STAGE_AGAIN_S = 30.0
# A conversion takes some seconds to show; the next one is decided on what it brought.
CONVERT_AGAIN_S = 10.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Planner:
    """Plans while this entry holds the lease.

    :ivar closed_zones: returns the availability zones that get no work
    :ivar stall_s: time after which a head that lacks a member breaks by itself
    """

    source: mirror.Mirror
    held: lease.LeasedKey
    plan: plan.Plan
    board: records.GroupBoard
    known: registry.Registry
    routes: table.RouteTableHolder
    engines: orders.EngineClient
    closed_zones: collections.abc.Callable[[], frozenset[str]]
    stall_s: float
    orderer: ordering.Orderer = attrs.field(init=False)
    prober: probing.Prober = attrs.field(init=False)
    _news: notifier.Notifier = attrs.field(factory=notifier.Notifier, init=False)
    _driven: set[str] = attrs.field(factory=set, init=False)
    _prepared_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    _last_arrival_s: float = attrs.field(default=0.0, init=False)
    _seen: set[tuple[str, int]] = attrs.field(factory=set, init=False)
    _counted_s: float = attrs.field(default=float("-inf"), init=False)
    _has_formed: bool = attrs.field(default=False, init=False)
    _staged_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    _converted_s: float = attrs.field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        """Follow what the planner decides from."""
        self.orderer = ordering.Orderer(self.engines, self.known, self._fence)
        self.prober = probing.Prober(self.board, self.known, self.orderer, self._news.notify_all)
        self.known.listen(self._news.notify_all)
        self.source.add_listener(records.GROUPS_PREFIX, lambda keys: self._news.notify_all())
        self.source.add_listener(plan.PLANNER_KEY, lambda keys: self._news.notify_all())

    def may_act(self) -> bool:
        """Tell whether this entry is the planner and has seen all that was written before."""
        return bool(self._fence())

    def suspect(self, server_id: str) -> None:
        """Take note that a head has fallen silent, seen by this or another entry."""
        self.prober.suspect(server_id)
        self._news.notify_all()

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            if self.may_act():
                events.log(LOGGER, events.Event.PLANNER_ELECTED, fencing=self.held.fencing)
                await self._lead()
                events.log(LOGGER, events.Event.PLANNER_LOST)
            await self._news.wait(TICK_S)

    async def _lead(self) -> None:
        self._driven.clear()
        async with trio.open_nursery() as nursery:
            while self.may_act():
                self.prober.probe(nursery)
                await self._form(nursery)
                self._drive(nursery)
                self._log_counts()
                await self._news.wait(TICK_S)
            nursery.cancel_scope.cancel()

    def _fence(self) -> int:
        if not self.held.is_held():
            return 0
        # Writes of an earlier planner that came before this one's election must be on the board.
        item = self.source.items.get(plan.PLANNER_KEY)
        if item is None or item.create_revision != self.held.fencing:
            return 0
        return self.held.fencing

    def _log_counts(self) -> None:
        now_s = trio.current_time()
        if self.routes.table is None or now_s - self._counted_s < COUNT_INTERVAL_S:
            return
        self._counted_s = now_s
        occupied = self.board.occupied()
        for service in self.routes.table.engines():
            counts: collections.Counter[str] = collections.Counter()
            for server in self.known.of_service(service.name):
                counts[self._occupation(server, occupied.get(server.server_id))] += 1
            events.log(
                LOGGER, events.Event.SERVERS_COUNTED, service=service.name, counts=dict(counts)
            )

    def _occupation(self, server: servers.Server, group: records.Group | None) -> str:
        if group is not None:
            if group.is_ending:
                return "ending"
            state = "serving" if group.is_open(self.known) else "forming"
            return f"{state} {group.record.model}"
        if server.is_leaving:
            return "leaving"
        if self.orderer.is_unreachable(server.incarnation):
            return "unreachable"
        if _is_loading(server):
            return "loading"
        return f"spare {server.model}" if server.model else "empty"

    def _drive(self, nursery: trio.Nursery) -> None:
        for name in self.board.groups.keys() - self._driven:
            self._driven.add(name)
            nursery.start_soon(self._drive_one, name)

    async def _drive_one(self, name: str) -> None:
        one = driver.Driver(
            name, self.board, self.plan, self.known, self.orderer, self._news, self.stall_s
        )
        try:
            await one.run()
        finally:
            self._driven.discard(name)

    async def _form(self, nursery: trio.Nursery) -> None:
        routes = self.routes.table
        if routes is None or not self._is_settled():
            return
        for service in routes.engines():
            composer = composition.Composer(self._situation(service))
            drafts = [self._draft(service, each) for each in composer.formations()]
            for begin in range(0, len(drafts), plan.MAX_GROUPS_A_WRITE):
                await self._write(drafts[begin : begin + plan.MAX_GROUPS_A_WRITE])
            self._prepare(service, composer.preparations(), nursery)
            await self._convert(composer.next_conversion(), nursery)

    async def _write(self, drafts: list[records.GroupRecord]) -> None:
        try:
            created = await self.plan.create(drafts)
        except plan.PlanWriteError as error:
            LOGGER.debug("groups not written: %s", error)
            await trio.sleep(WRITE_AGAIN_S)
            return
        for group in created:
            self._log_planned(group)
        self._has_formed = True

    def _is_settled(self) -> bool:
        arrived = {server.incarnation for server in self.known.servers.values()}
        now_s = trio.current_time()
        # Only the first arrivals are waited for; later a new server is used at once.
        if not self.board.groups and arrived - self._seen:
            self._last_arrival_s = now_s
        self._seen = arrived
        return bool(arrived) and now_s - self._last_arrival_s >= SETTLE_S

    def _situation(self, service: table.Service) -> composition.Situation:
        assert service.engine is not None
        closed = self.closed_zones()
        counts: collections.Counter[str] = collections.Counter()
        zone_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        domain_counts: collections.Counter[tuple[str, str]] = collections.Counter()
        ending: collections.Counter[str] = collections.Counter()
        ending_members: dict[str, list[servers.Server]] = collections.defaultdict(list)
        groups: list[conversion.ServingGroup] = []
        for group in self.board.groups.values():
            head = self.known.servers.get(group.head.server_id)
            if group.record.service != service.name or head is None:
                continue
            if group.is_ending:
                ending[head.domain] += 1
                ending_members[head.domain] += records.members_of(group, self.known)
                continue
            zone_counts[group.record.model, head.zone] += 1
            domain_counts[group.record.model, head.domain] += 1
            if head.zone not in closed:
                counts[group.record.model] += 1
                members = tuple(records.members_of(group, self.known))
                groups.append(
                    conversion.ServingGroup(group.name, group.record.model, head.domain, members)
                )
        loading = collections.Counter(
            server.domain for server in self.known.of_service(service.name) if _is_loading(server)
        )
        usable = [each for each in self._usable(service) if each.zone not in closed]
        return composition.Situation(
            service.engine,
            self._free(service),
            counts,
            len(usable),
            zone_counts,
            domain_counts,
            ending,
            loading,
            closed,
            groups,
            ending_members,
        )

    def _usable(self, service: table.Service) -> list[servers.Server]:
        return [
            server
            for server in self.known.of_service(service.name)
            if not server.is_leaving and not self.orderer.is_unreachable(server.incarnation)
        ]

    def _free(self, service: table.Service) -> dict[str, list[servers.Server]]:
        occupied = self.board.occupied()
        free: dict[str, list[servers.Server]] = collections.defaultdict(list)
        for server in self._usable(service):
            if server.server_id not in occupied and not _is_loading(server):
                free[server.domain].append(server)
        return free

    def _draft(
        self, service: table.Service, formation: composition.Formation
    ) -> records.GroupRecord:
        members = tuple(
            records.Member(server.server_id, server.born_ms) for server in formation.members
        )
        return records.GroupRecord(plan.new_group_name(), service.name, formation.model, members)

    def _log_planned(self, group: records.Group) -> None:
        events.log(
            LOGGER,
            events.Event.GROUP_PLANNED,
            group=group.name,
            epoch=group.epoch,
            model=group.record.model,
            members=[member.server_id for member in group.record.members],
        )

    def _prepare(
        self,
        service: table.Service,
        preparations: list[composition.Preparation],
        nursery: trio.Nursery,
    ) -> None:
        assert service.engine is not None
        now_s = trio.current_time()
        loading = sum(map(_is_loading, self.known.of_service(service.name)))
        for each in preparations:
            incarnation = each.server.incarnation
            if loading >= service.engine.loads_at_once and self._has_formed:
                return
            if now_s - self._prepared_s.get(incarnation, float("-inf")) < PREPARE_AGAIN_S:
                continue
            loading += 1
            self._prepared_s[incarnation] = now_s
            events.log(
                LOGGER,
                events.Event.SPARE_PREPARED,
                server=each.server.server_id,
                model=each.model,
            )
            nursery.start_soon(self._prepare_one, each)

    async def _convert(self, chosen: conversion.Conversion | None, nursery: trio.Nursery) -> None:
        if chosen is None:
            return
        now_s = trio.current_time()
        for server in chosen.staging:
            if now_s - self._staged_s.get(server.incarnation, float("-inf")) < STAGE_AGAIN_S:
                continue
            self._staged_s[server.incarnation] = now_s
            events.log(
                LOGGER,
                events.Event.STAGING_ORDERED,
                server=server.server_id,
                model=chosen.model.name,
                domain=chosen.domain,
            )
            nursery.start_soon(self._order, server, orders.Stage(chosen.model.name))
        is_due = now_s - self._converted_s >= CONVERT_AGAIN_S
        if chosen.given_up and not chosen.staging and is_due:
            self._converted_s = now_s
            for name in chosen.given_up:
                await self._give_up(name, chosen)

    async def _give_up(self, name: str, chosen: conversion.Conversion) -> None:
        group = self.board.groups.get(name)
        if group is None or group.is_ending:
            return
        events.log(
            LOGGER,
            events.Event.GROUP_ENDING,
            group=name,
            epoch=group.epoch,
            model=group.record.model,
            reason=f"{chosen.model.name} starves, and its group takes these servers",
        )
        try:
            await self.plan.mark_ending(group)
        except plan.PlanWriteError as error:
            LOGGER.debug("%s is not given up: %s", name, error)

    async def _prepare_one(self, preparation: composition.Preparation) -> None:
        server = preparation.server
        # A group of its own that nobody opens: joining another one later takes 0.2 s, which takes
        # seconds where the model only lies on the host.
        group = f"{SPARE_PREFIX}{server.server_id}"
        epoch = max(1, self.source.revision)
        order = orders.Join(group, epoch, preparation.model, (server.server_id,))
        await self._order(server, order)

    async def _order(self, server: servers.Server, order: orders.Order) -> None:
        try:
            await self.orderer.send(server, order)
        except ordering.NotPlannerError:
            LOGGER.debug("%s: no longer the planner", server.server_id)


def _is_loading(server: servers.Server) -> bool:
    membership = server.membership
    return (
        membership is not None
        and membership.group.startswith(SPARE_PREFIX)
        and membership.state is servers.GroupState.JOINING
    )
