"""Drives one group from its record to serving, and tears it down when it ends."""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import events, notifier
from toucanhold.registry import registry, servers
from toucanhold.replicas import ordering, orders, plan, records

# Retry interval of orders that have had no effect; a join with a loaded model takes 0.2 s.
ORDER_RETRY_S = 1.0
# Must exceed the longest model load (16 s) while several loads run concurrently.
FORMING_TIMEOUT_S = 45.0
# Added to the stall timeout after which a head without all its members breaks by itself.
STALL_MARGIN_S = 0.5
# Servers of an ending group that stay unreachable for this long are considered dead. Network
# partitions end sooner.
PARTITION_TIMEOUT_S = 60.0
CHECK_INTERVAL_S = 0.25
# Time to probe a head whose registration has lapsed before its group is ended.
LAPSED_HEAD_TIMEOUT_S = 0.6

LOGGER = logging.getLogger(__name__)

JOINED_STATES = (servers.GroupState.READY, servers.GroupState.OPEN, servers.GroupState.CLOSING)
ACTIVE_STATES = (servers.GroupState.OPEN, servers.GroupState.CLOSING)


@attrs.define(eq=False)
class GroupDriver:
    """Drives one group while this entry is the planner.

    Each step is decided from the group's record and the states that its servers report. A new
    planner can therefore take over at any point, and leaves complete groups as they are.

    :ivar name: name of the group
    :ivar changed: wakes the driver when a record or a registration has changed
    :ivar stall_s: returns the time after which a head that lacks a member breaks by itself
    """

    name: str
    group_table: records.GroupTable
    plan_writer: plan.PlanWriter
    server_registry: registry.Registry
    order_sender: ordering.OrderSender
    changed: notifier.Notifier
    stall_s: collections.abc.Callable[[], float]
    _started_at_s: float = attrs.field(factory=trio.current_time, init=False)
    _last_order_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _ending_since_s: float = attrs.field(default=0.0, init=False)
    _members_left_at_s: float = attrs.field(default=0.0, init=False)
    _head_missing_since_s: float | None = attrs.field(default=None, init=False)
    _has_served: bool = attrs.field(default=False, init=False)
    _departing: set[str] = attrs.field(factory=set, init=False)

    async def run(self) -> None:
        """Run until the group is removed or this entry is no longer the planner."""
        try:
            while (group := self.group_table.groups.get(self.name)) is not None:
                await self._step(group)
        except* ordering.NotPlannerError:
            # A nursery raises it as an exception group, which ended the process when only the
            # bare exception was caught.
            LOGGER.debug("%s: no longer the planner", self.name)

    async def _step(self, group: records.Group) -> None:
        self._record_departing(group)
        try:
            if group.is_ending:
                if await self._tear_down(group):
                    await self.plan_writer.remove(group)
                    events.log(LOGGER, events.Event.GROUP_REMOVED, group=self.name)
                    return
            elif reason := self._reason_to_end(group):
                events.log(
                    LOGGER,
                    events.Event.GROUP_ENDING,
                    group=self.name,
                    epoch=group.epoch,
                    model=group.record.model,
                    reason=reason,
                )
                await self.plan_writer.mark_ending(group, tuple(sorted(self._departing)))
                return
            else:
                await self._advance(group)
        except plan.PlanWriteError as error:
            LOGGER.debug("%s: %s", self.name, error)
            await trio.sleep(CHECK_INTERVAL_S)
        await self.changed.wait(CHECK_INTERVAL_S)

    def _record_departing(self, group: records.Group) -> None:
        for member in group.record.members:
            server = self.server_registry.find(member.incarnation)
            is_leaving = server is not None and server.is_leaving
            # Some servers do not announce that they leave: only their registrations are removed.
            if is_leaving or self.server_registry.works_unregistered(member.incarnation):
                self._departing.add(member.server_id)
            elif self.server_registry.is_registered(member.incarnation):
                self._departing.discard(member.server_id)
        self._departing.update(group.record.departing)

    def _reason_to_end(self, group: records.Group) -> str:
        if self._may_be_partitioned(group):
            return ""
        if self._is_head_missing(group):
            return f"the head {group.head.server_id} is no longer registered"
        for member in group.record.members:
            server = self.server_registry.find(member.incarnation)
            if server is None:
                return f"{member.server_id} is no longer registered"
            if server.is_leaving:
                return f"{member.server_id} is leaving"
            if self.order_sender.is_unreachable(member.incarnation):
                return f"{member.server_id} does not respond"
            membership = server.membership
            if membership is not None and membership.epoch > group.epoch:
                return f"{member.server_id} has joined a later group"
        if self._state(group.head, group) is servers.GroupState.BROKEN:
            return "the head reports that the group is broken"
        forming_s = trio.current_time() - self._started_at_s
        if not self._has_served and forming_s > FORMING_TIMEOUT_S:
            return f"the group was not formed within {FORMING_TIMEOUT_S:g} s"
        return ""

    def _is_head_missing(self, group: records.Group) -> bool:
        if self.server_registry.is_registered(group.head.incarnation):
            self._head_missing_since_s = None
            return False
        if self.server_registry.find(group.head.incarnation) is None:
            return True
        now_s = trio.current_time()
        self._head_missing_since_s = (
            self._head_missing_since_s if self._head_missing_since_s is not None else now_s
        )
        # Meanwhile the prober probes it together with other servers of its zone, which may be
        # partitioned as a whole.
        return now_s - self._head_missing_since_s > LAPSED_HEAD_TIMEOUT_S

    def _may_be_partitioned(self, group: records.Group) -> bool:
        """Return whether the group may be intact behind a partition from the planner."""
        head = self.server_registry.find(group.head.incarnation)
        if head is None or not self.order_sender.reachability.is_partitioned(head.zone):
            return False
        # A member that has restarted ends the group even behind a partition.
        return all(
            self.server_registry.may_be_alive(member.incarnation) for member in group.record.members
        )

    async def _advance(self, group: records.Group) -> None:
        states = {member: self._state(member, group) for member in group.record.members}
        missing = [member for member, state in states.items() if state is None]
        if missing:
            await self._join(group, missing)
        elif all(state in JOINED_STATES for state in states.values()):
            await self._open(group)

    async def _join(self, group: records.Group, missing: list[records.Member]) -> None:
        members = tuple(member.server_id for member in group.record.members)
        order = orders.Join(group.name, group.epoch, group.record.model, members)
        async with trio.open_nursery() as nursery:
            for member in missing:
                server = self.server_registry.find(member.incarnation)
                if server is not None and self._is_order_due(member.server_id):
                    nursery.start_soon(self.order_sender.send, server, order)

    async def _open(self, group: records.Group) -> None:
        # Only the planner checks the other members: each has reported that it is ready under this
        # group name, epoch and member list.
        state = self._state(group.head, group)
        if state is servers.GroupState.OPEN:
            if not self._has_served:
                self._has_served = True
                events.log(
                    LOGGER,
                    events.Event.GROUP_SERVES,
                    group=self.name,
                    epoch=group.epoch,
                    model=group.record.model,
                    head=group.head.server_id,
                    formed_in_s=round(trio.current_time() - self._started_at_s, 3),
                )
            return
        # A head whose registration has lapsed gets no requests; it is probed before the group ends.
        head = self.server_registry.servers.get(group.head.server_id)
        if state is servers.GroupState.READY and head is not None and self._is_order_due("open"):
            await self.order_sender.send(head, orders.Open(group.name, group.epoch))

    def _is_order_due(self, order_key: str) -> bool:
        now_s = trio.current_time()
        if now_s - self._last_order_s.get(order_key, float("-inf")) < ORDER_RETRY_S:
            return False
        self._last_order_s[order_key] = now_s
        return True

    async def _tear_down(self, group: records.Group) -> bool:
        """Take the next step of the teardown; return whether all servers are free."""
        self._ending_since_s = self._ending_since_s or trio.current_time()
        if self._has_head_restarted(group):
            return True
        head = self.server_registry.find(group.head.incarnation)
        if head is not None and not self.server_registry.is_registered(head.incarnation):
            # A lapsed registration no longer shows whether the head has closed its group.
            head = await self.order_sender.probe(head)
            if head is None and not self.order_sender.is_unreachable(group.head.incarnation):
                # It may be paused, and finishes its requests afterwards if its members stay.
                return False
        if head is None or self.order_sender.is_unreachable(head.incarnation):
            return await self._detach_and_await_stall(group)
        state = head.state_in(group.name, group.epoch)
        if state in ACTIVE_STATES:
            await self._close(group, head)
            return False
        if state in (None, servers.GroupState.BROKEN):
            return True
        return await self._detach_head(group, head)

    def _has_head_restarted(self, group: records.Group) -> bool:
        """Return whether the head has restarted since, so that its former process has ended."""
        head = self.server_registry.servers.get(group.head.server_id)
        return head is not None and head.incarnation != group.head.incarnation

    async def _close(self, group: records.Group, head: servers.Server) -> None:
        # A server that leaves accepts no more connections, but works for the running requests of
        # its group. If it has died instead, the head breaks by itself.
        is_complete = all(
            member.server_id in self._departing
            or (
                self.server_registry.find(member.incarnation) is not None
                and not self.order_sender.is_unreachable(member.incarnation)
            )
            for member in group.record.members
        )
        # Requests end at their deadlines. Without all its members the head cannot finish any, and
        # waiting would only keep the other members idle.
        if self._is_order_due(f"close {is_complete}"):
            order = orders.Close(group.name, group.epoch, finishes_work=is_complete)
            await self.order_sender.send(head, order)

    async def _detach_head(self, group: records.Group, head: servers.Server) -> bool:
        # An Open order whose answer was lost may still arrive. One more order increments the order
        # count, so the late one is refused.
        outcome = await self.order_sender.send(head, orders.Leave(group.name, group.epoch))
        return outcome in (orders.OrderOutcome.BEGUN, orders.OrderOutcome.HOLDS)

    async def _detach_and_await_stall(self, group: records.Group) -> bool:
        """Detach the other members from an unreachable head and wait until it breaks by itself.

        The planner cannot distinguish a dead head from a partitioned one with an open group. A head
        that lacks a member breaks after ``stall_s()``; its members may not be reused before that.

        :returns: whether the head has certainly broken or is considered dead
        """
        if (
            not self._members_left_at_s
            and self._is_order_due("take members")
            and await self._detach_members(group)
        ):
            self._members_left_at_s = trio.current_time()
        now_s = trio.current_time()
        if self._members_left_at_s:
            return now_s - self._members_left_at_s > self.stall_s() + STALL_MARGIN_S
        # If a whole zone is partitioned, the head and its members keep working as a group. If its
        # record were removed meanwhile, they would join other groups while it is still open.
        return now_s - self._ending_since_s > PARTITION_TIMEOUT_S

    async def _detach_members(self, group: records.Group) -> bool:
        """Order all members but the head to leave; return whether at least one has left."""
        outcomes: list[orders.OrderOutcome] = []

        async def detach(server: servers.Server) -> None:
            leave = orders.Leave(group.name, group.epoch)
            outcomes.append(await self.order_sender.send(server, leave))

        async with trio.open_nursery() as nursery:
            for member in group.record.members[1:]:
                server = self.server_registry.find(member.incarnation)
                if server is not None:
                    nursery.start_soon(detach, server)
        left = (orders.OrderOutcome.BEGUN, orders.OrderOutcome.HOLDS)
        return any(outcome in left for outcome in outcomes)

    def _state(self, member: records.Member, group: records.Group) -> servers.GroupState | None:
        server = self.server_registry.find(member.incarnation)
        return server.state_in(group.name, group.epoch) if server is not None else None
