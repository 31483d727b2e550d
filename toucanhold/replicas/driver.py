"""One group's way from its record to serving, and back to free servers."""

from __future__ import annotations

import logging

import attrs
import trio

from toucanhold import events, notifier
from toucanhold.registry import registry, servers
from toucanhold.replicas import ordering, orders, plan, records

# Orders without an effect are given again after this time; joins of loaded models take 0.2 s.
ORDER_AGAIN_S = 1.0
# Above the longest load (16 s) with several loads at once.
FORMING_LIMIT_S = 45.0
# Streams of a planned ending may finish for this long: most take under 3 s.
FINISH_LIMIT_S = 5.0
# Added to the time after which a head without its members breaks by itself.
STALL_MARGIN_S = 0.5
# Servers of a group that nobody has reached for so long are taken for dead. Cuts are over sooner.
CUT_LIMIT_S = 60.0
CHECK_INTERVAL_S = 0.25
# Until then a head whose registration has lapsed was asked.
HEAD_ASKED_S = 0.6

LOGGER = logging.getLogger(__name__)

JOINED = (servers.GroupState.READY, servers.GroupState.OPEN, servers.GroupState.CLOSING)
WORKING = (servers.GroupState.OPEN, servers.GroupState.CLOSING)


@attrs.define(eq=False)
class Driver:
    """Drives one group while this entry is the planner.

    It decides anew from the record and from what the servers report, so it can begin anywhere: a
    new planner adopts what its predecessor left, whole groups without touching them.

    :ivar stall_s: time after which a head that lacks a member breaks by itself
    """

    name: str
    board: records.GroupBoard
    plan: plan.Plan
    known: registry.Registry
    orderer: ordering.Orderer
    news: notifier.Notifier
    stall_s: float
    _begun_s: float = attrs.field(factory=trio.current_time, init=False)
    _ordered_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _ending_s: float = attrs.field(default=0.0, init=False)
    _left_s: float = attrs.field(default=0.0, init=False)
    _missing_s: float | None = attrs.field(default=None, init=False)
    _has_served: bool = attrs.field(default=False, init=False)

    async def run(self) -> None:
        """Drive until the group is removed, or this entry is no longer the planner."""
        try:
            while (group := self.board.groups.get(self.name)) is not None:
                await self._step(group)
        except* ordering.NotPlannerError:
            # Raised in a nursery of orders it comes as a group; as such it once ended the process.
            LOGGER.debug("%s: no longer the planner", self.name)

    async def _step(self, group: records.Group) -> None:
        try:
            if group.is_ending:
                if await self._is_taken_apart(group):
                    await self.plan.remove(group)
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
                await self.plan.mark_ending(group)
                return
            else:
                await self._advance(group)
        except plan.PlanWriteError as error:
            LOGGER.debug("%s: %s", self.name, error)
            await trio.sleep(CHECK_INTERVAL_S)
        await self.news.wait(CHECK_INTERVAL_S)

    def _reason_to_end(self, group: records.Group) -> str:
        if self._is_behind_cut(group):
            return ""
        if self._is_head_missing(group):
            return f"the head {group.head.server_id} is gone"
        for member in group.record.members:
            server = self.known.find(member.incarnation)
            if server is None:
                return f"{member.server_id} is gone"
            if server.is_leaving:
                return f"{member.server_id} is leaving"
            if self.orderer.is_unreachable(member.incarnation):
                return f"{member.server_id} does not answer"
            membership = server.membership
            if membership is not None and membership.epoch > group.epoch:
                return f"{member.server_id} has joined a later group"
        if self._state(group.head, group) is servers.GroupState.BROKEN:
            return "the head has broken"
        forming_s = trio.current_time() - self._begun_s
        if not self._has_served and forming_s > FORMING_LIMIT_S:
            return "it was not formed in time"
        return ""

    def _is_head_missing(self, group: records.Group) -> bool:
        if self.known.is_present(group.head.incarnation):
            self._missing_s = None
            return False
        if self.known.find(group.head.incarnation) is None:
            return True
        now_s = trio.current_time()
        self._missing_s = self._missing_s if self._missing_s is not None else now_s
        # It is asked meanwhile, with others of its zone, which may be cut off as a whole.
        return now_s - self._missing_s > HEAD_ASKED_S

    def _is_behind_cut(self, group: records.Group) -> bool:
        """Tell whether what is missing of a group may only be out of the planner's reach."""
        head = self.known.find(group.head.incarnation)
        if head is None or not self.orderer.reach.is_cut_off(head.zone):
            return False
        # A member that has started again ends the group wherever it is.
        return all(self.known.may_live(member.incarnation) for member in group.record.members)

    async def _advance(self, group: records.Group) -> None:
        states = {member: self._state(member, group) for member in group.record.members}
        missing = [member for member, state in states.items() if state is None]
        if missing:
            await self._join(group, missing)
        elif all(state in JOINED for state in states.values()):
            await self._open(group)

    async def _join(self, group: records.Group, missing: list[records.Member]) -> None:
        members = tuple(member.server_id for member in group.record.members)
        order = orders.Join(group.name, group.epoch, group.record.model, members)
        async with trio.open_nursery() as nursery:
            for member in missing:
                server = self.known.find(member.incarnation)
                if server is not None and self._is_due(member.server_id):
                    nursery.start_soon(self.orderer.send, server, order)

    async def _open(self, group: records.Group) -> None:
        # Nobody but the planner checks the other members: each has reported by now that it is
        # ready under this very name, epoch and list.
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
                    formed_in_s=round(trio.current_time() - self._begun_s, 3),
                )
            return
        # A head whose registration has lapsed gets no requests; it is asked before the group ends.
        head = self.known.servers.get(group.head.server_id)
        if state is servers.GroupState.READY and head is not None and self._is_due("open"):
            await self.orderer.send(head, orders.Open(group.name, group.epoch))

    def _is_due(self, what: str) -> bool:
        now_s = trio.current_time()
        if now_s - self._ordered_s.get(what, float("-inf")) < ORDER_AGAIN_S:
            return False
        self._ordered_s[what] = now_s
        return True

    async def _is_taken_apart(self, group: records.Group) -> bool:
        """Do the next thing towards free servers; tell whether they are."""
        self._ending_s = self._ending_s or trio.current_time()
        if self._is_head_dead(group):
            return True
        head = await self._ask_if_lapsed(self.known.find(group.head.incarnation))
        if head is None or self.orderer.is_unreachable(head.incarnation):
            return await self._wait_for_stall(group)
        state = head.state_in(group.name, group.epoch)
        if state in WORKING:
            await self._close(group, head)
            return False
        if state in (None, servers.GroupState.BROKEN):
            return True
        return await self._leave_head(group, head)

    async def _ask_if_lapsed(self, head: servers.Server | None) -> servers.Server | None:
        # A lapsed registration no longer tells that the head has closed its group.
        if head is None or self.known.is_present(head.incarnation):
            return head
        return await self.orderer.look(head)

    def _is_head_dead(self, group: records.Group) -> bool:
        """Tell whether the head has certainly ended: it has started again since."""
        head = self.known.servers.get(group.head.server_id)
        return head is not None and head.incarnation != group.head.incarnation

    async def _close(self, group: records.Group, head: servers.Server) -> None:
        is_whole = all(
            self.known.find(member.incarnation) is not None
            and not self.orderer.is_unreachable(member.incarnation)
            for member in group.record.members
        )
        in_time = trio.current_time() - self._ending_s < FINISH_LIMIT_S
        # Without all its members the head finishes nothing; to wait would hold the others idle.
        finishes_work = is_whole and in_time
        if self._is_due(f"close {finishes_work}"):
            order = orders.Close(group.name, group.epoch, finishes_work)
            await self.orderer.send(head, order)

    async def _leave_head(self, group: records.Group, head: servers.Server) -> bool:
        # An order to open whose answer was lost may still be carried out. One more order moves
        # the count on that the late one expects.
        outcome = await self.orderer.send(head, orders.Leave(group.name, group.epoch))
        return outcome in (orders.OrderOutcome.BEGUN, orders.OrderOutcome.HOLDS)

    async def _wait_for_stall(self, group: records.Group) -> bool:
        """Take the other members from a head that cannot be asked, and let it break by itself.

        Nobody can tell from here whether the head is dead or only cut off with its group open. A
        head that lacks a member breaks after a known time; until then its members stay its own.
        """
        if not self._left_s and self._is_due("take members") and await self._take_members(group):
            self._left_s = trio.current_time()
        now_s = trio.current_time()
        if self._left_s:
            return now_s - self._left_s > self.stall_s + STALL_MARGIN_S
        # Where a whole zone is cut off, head and members work on as a group. Once they are reached
        # again they would join other groups beside it, if its record were gone by then.
        return now_s - self._ending_s > CUT_LIMIT_S

    async def _take_members(self, group: records.Group) -> bool:
        """Tell all members but the head to leave; return whether one has left."""
        outcomes: list[orders.OrderOutcome] = []

        async def take(server: servers.Server) -> None:
            leave = orders.Leave(group.name, group.epoch)
            outcomes.append(await self.orderer.send(server, leave))

        async with trio.open_nursery() as nursery:
            for member in group.record.members[1:]:
                server = self.known.find(member.incarnation)
                if server is not None:
                    nursery.start_soon(take, server)
        taken = (orders.OrderOutcome.BEGUN, orders.OrderOutcome.HOLDS)
        return any(outcome in taken for outcome in outcomes)

    def _state(self, member: records.Member, group: records.Group) -> servers.GroupState | None:
        server = self.known.find(member.incarnation)
        return server.state_in(group.name, group.epoch) if server is not None else None
