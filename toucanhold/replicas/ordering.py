"""Sends orders to engines such that delayed or duplicated orders have no effect."""

from __future__ import annotations

import collections
import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.registry import backoffs, registry, servers
from toucanhold.replicas import orders, reachability

# How long a server that did not answer is considered unreachable and not used in new groups. A
# registration lapses after three missed heartbeats of 1.2 s.
UNREACHABLE_PERIOD_S = 4.0

# Servers answer a probe within milliseconds, but TCP retransmits a lost packet only after 0.2 to
# 1 s. A second probe on its own connection, sent after this delay, avoids that wait: without it, at
# a packet loss of one in forty, nearly half of all probes of groups of sixteen missed a healthy
# member.
SECOND_PROBE_DELAY_S = 0.12
PROBE_TIMEOUT_S = 0.4

# Part of the probe timeout left for the results of other servers that were probed at the same time.
PROBE_SETTLE_S = 0.05

# A server that accepts connections and answers nothing may only be paused. Its group goes on with
# its work afterwards. Callers abandon a stream after two seconds without an event.
MAX_PAUSE_S = 2.0

# Servers report their state as it was up to 0.2 s ago.
MAX_REPORT_AGE_S = 0.25

# Orders and probes in progress per core of this VM. With more than the processor keeps up with,
# all would exceed their timeouts, and sound servers would be considered unreachable.
CALLS_PER_CORE = 32
MIN_CALLS = 4

LOGGER = logging.getLogger(__name__)


class NotPlannerError(Exception):
    """This entry is not, or no longer, the planner."""


@attrs.define
class _Pause:
    """A server that accepted connections and left its last probes unanswered.

    :ivar since_s: trio clock time of the first of these probes
    :ivar last_s: trio clock time at which the last one timed out
    """

    server: servers.Server
    since_s: float
    last_s: float


@attrs.define(eq=False)
class OrderSender:
    """Sends orders to servers, one at a time per server, while this entry is the planner.

    Orders and probes beyond :data:`CALLS_PER_CORE` wait, in order; their timeouts begin afterwards.

    :ivar fence: returns the planner's fencing number, or 0 if this entry may not send orders
    :ivar backoff_table: servers that asked for a backoff; each gets at most one order in it, which
        its group may need, and no probes
    :ivar cores: processor cores of this VM, possibly a fraction
    :ivar reachability: the results of recent probes, by availability zone
    """

    engine_client: orders.EngineClient
    server_registry: registry.Registry
    fence: collections.abc.Callable[[], int]
    backoff_table: backoffs.BackoffTable = attrs.field(factory=backoffs.BackoffTable)
    cores: float = 1.0
    reachability: reachability.Reachability = attrs.field(
        factory=reachability.Reachability, init=False
    )
    _order_counts: dict[tuple[str, int], int] = attrs.field(factory=dict, init=False)
    _unreachable_until_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    _paused: dict[tuple[str, int], _Pause] = attrs.field(factory=dict, init=False)
    _locks: dict[str, trio.Lock] = attrs.field(
        factory=lambda: collections.defaultdict(trio.Lock), init=False
    )
    _calls: trio.CapacityLimiter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set the number of calls in progress for this VM."""
        self._calls = trio.CapacityLimiter(max(MIN_CALLS, int(self.cores * CALLS_PER_CORE)))

    def is_unreachable(self, incarnation: tuple[str, int]) -> bool:
        """Return whether a server failed to answer in the last :data:`UNREACHABLE_PERIOD_S`."""
        until_s = self._unreachable_until_s.get(incarnation)
        return until_s is not None and trio.current_time() < until_s

    async def send(self, server: servers.Server, order: orders.Order) -> orders.OrderOutcome:
        """Send one order, and retry with another order count if the engine refuses it.

        :raises NotPlannerError: if this entry may not send orders now
        """
        async with self._locks[server.server_id]:
            if self.backoff_table.remaining_s(server):
                return await self._send_during_backoff(server, order)
            if server.incarnation not in self._order_counts:
                report = await self.probe(server)
                if server.incarnation not in self._order_counts:
                    # A server that refuses the probe with a backoff is returned without a count.
                    outcomes = orders.OrderOutcome
                    outcome = outcomes.UNREACHABLE if report is None else outcomes.DEFERRED
                    _log_answer(server, order, None, outcome)
                    return outcome
            outcome = await self._send_once(server, order)
            if outcome is orders.OrderOutcome.REFUSED:
                # The engine may have begun one more order than its answers showed: a delayed one,
                # or one that completed so fast that the answer said only that its effect holds.
                # Any order that begins moves the count past all earlier orders.
                self._order_counts[server.incarnation] += 1
                outcome = await self._send_once(server, order)
            if outcome is orders.OrderOutcome.REFUSED:
                outcome = await self._send_after_probe(server, order)
            return outcome

    async def _send_during_backoff(
        self, server: servers.Server, order: orders.Order
    ) -> orders.OrderOutcome:
        is_count_known = server.incarnation in self._order_counts
        if not is_count_known or not self.backoff_table.allow_one_order(server):
            _log_answer(server, order, None, orders.OrderOutcome.DEFERRED)
            return orders.OrderOutcome.DEFERRED
        return await self._send_once(server, order)

    async def _send_after_probe(
        self, server: servers.Server, order: orders.Order
    ) -> orders.OrderOutcome:
        # Reports lag behind: an immediate probe would return the order count that has just been
        # refused, and the group would wait a second for the next attempt.
        await trio.sleep(MAX_REPORT_AGE_S)
        if self.backoff_table.remaining_s(server):
            return orders.OrderOutcome.DEFERRED
        if await self.probe(server) is None:
            return orders.OrderOutcome.UNREACHABLE
        return await self._send_once(server, order)

    async def probe(self, server: servers.Server) -> servers.Server | None:
        """Return the server's current state, or None if it does not answer or has restarted.

        A server with a backoff is not probed: it has answered recently, and is returned as known.
        One that may be paused is not considered unreachable for :data:`MAX_PAUSE_S`.
        """
        if self.backoff_table.remaining_s(server):
            self._paused.pop(server.incarnation, None)
            return server
        async with self._calls:
            report, is_unanswered = await self._probe_twice(server)
        if report is None and self.backoff_table.remaining_s(server):
            # It has answered, with the backoff.
            self._paused.pop(server.incarnation, None)
            return server
        self.reachability.record_probe(server, report is not None or is_unanswered)
        if report is None:
            # Wait until all servers that were probed together have their results recorded.
            await trio.sleep(PROBE_SETTLE_S)
        if is_unanswered and self._may_be_paused(server):
            return None
        pause = self._paused.pop(server.incarnation, None)
        if report is None or report.incarnation != server.incarnation:
            self._mark_unreachable(server.incarnation)
            return None
        if pause is not None:
            paused_s = round(trio.current_time() - pause.since_s, 3)
            events.log(
                LOGGER, events.Event.SERVER_RESUMED, server=server.server_id, paused_s=paused_s
            )
        self._unreachable_until_s.pop(server.incarnation, None)
        self._order_counts[server.incarnation] = report.order_count or 0
        return report

    def paused(self) -> list[servers.Server]:
        """Return the servers that may be paused."""
        return [pause.server for pause in self._paused.values()]

    def _may_be_paused(self, server: servers.Server) -> bool:
        now_s = trio.current_time()
        pause = self._paused.get(server.incarnation)
        if pause is None or now_s - pause.last_s > MAX_PAUSE_S:
            # A server that was not probed meanwhile may have gone on and paused again.
            pause = _Pause(server, now_s - PROBE_TIMEOUT_S, now_s)
            self._paused[server.incarnation] = pause
        pause.last_s = now_s
        return now_s - pause.since_s < MAX_PAUSE_S

    async def _probe_twice(self, server: servers.Server) -> tuple[servers.Server | None, bool]:
        """Return the server's state, if it has answered, and whether it may still answer."""
        reports: list[servers.Server] = []
        unanswered: set[float] = set()
        with trio.move_on_after(PROBE_TIMEOUT_S - PROBE_SETTLE_S) as scope:
            async with trio.open_nursery() as nursery:

                async def probe_once(delay_s: float) -> None:
                    await trio.sleep(delay_s)
                    answer = await self.engine_client.probe(server, lambda: unanswered.add(delay_s))
                    unanswered.discard(delay_s)
                    if answer is not None:
                        reports.append(answer)
                        nursery.cancel_scope.cancel()

                for delay_s in (0.0, SECOND_PROBE_DELAY_S):
                    nursery.start_soon(probe_once, delay_s)
        if reports:
            return reports[0], False
        return None, scope.cancelled_caught and bool(unanswered)

    async def _send_once(self, server: servers.Server, order: orders.Order) -> orders.OrderOutcome:
        async with self._calls:
            # The process may have been paused since the decision, and another planner elected.
            fence = self.fence()
            if not fence:
                raise NotPlannerError(server.server_id)
            count = self._order_counts[server.incarnation]
            outcome = await self.engine_client.send(server, order, count, fence)
        is_already_done = isinstance(order, orders.Leave) and outcome is orders.OrderOutcome.HOLDS
        if outcome is orders.OrderOutcome.BEGUN or is_already_done:
            self._order_counts[server.incarnation] = count + 1
        if outcome is orders.OrderOutcome.UNREACHABLE:
            self._mark_unreachable(server.incarnation)
        _log_answer(server, order, count, outcome)
        return outcome

    def _mark_unreachable(self, incarnation: tuple[str, int]) -> None:
        self._unreachable_until_s[incarnation] = trio.current_time() + UNREACHABLE_PERIOD_S


def _log_answer(
    server: servers.Server, order: orders.Order, count: int | None, outcome: orders.OrderOutcome
) -> None:
    events.log(
        LOGGER,
        events.Event.ORDER_ANSWERED,
        server=server.server_id,
        order=type(order).__name__.lower(),
        group=getattr(order, "group", None),
        epoch=getattr(order, "epoch", None),
        expected_orders=count,
        outcome=outcome.value,
    )
