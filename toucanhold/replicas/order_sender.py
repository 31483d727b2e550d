"""Giving orders so that a late or doubled one can do no harm."""

from __future__ import annotations

import collections
import collections.abc
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.registry import registry, servers
from toucanhold.replicas import orders, reachability

# A server that does not answer is not asked again, nor used in a new group, for this long; a
# registration lapses after three heartbeats of 1.2 s.
UNREACHABLE_PERIOD_S = 4.0

# A report is answered in milliseconds, but a lost packet is sent again only after 0.2 to 1 s. A
# second question on a connection of its own, this much later, outlives that: where links lose one
# packet in forty, nearly half of all looks at groups of sixteen missed a sound member.
SECOND_PROBE_DELAY_S = 0.12
PROBE_TIMEOUT_S = 0.4

# Part of the timeout in which other servers that were asked at the same moment are noted as well.
PROBE_SETTLE_S = 0.05

# Reports tell what was true up to 0.2 s ago.
MAX_REPORT_AGE_S = 0.25

LOGGER = logging.getLogger(__name__)


class NotPlannerError(Exception):
    """This entry is not, or no longer, the planner."""


@attrs.define(eq=False)
class OrderSender:
    """Gives orders to servers, one at a time each, while this entry is the planner.

    :ivar fence: returns the planner's fencing number; 0 where it may not act
    """

    engine_client: orders.EngineClient
    server_registry: registry.Registry
    fence: collections.abc.Callable[[], int]
    reachability: reachability.Reachability = attrs.field(
        factory=reachability.Reachability, init=False
    )
    _order_counts: dict[tuple[str, int], int] = attrs.field(factory=dict, init=False)
    _unreachable_until_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    _locks: dict[str, trio.Lock] = attrs.field(
        factory=lambda: collections.defaultdict(trio.Lock), init=False
    )

    def is_unreachable(self, incarnation: tuple[str, int]) -> bool:
        """Tell whether a server did not answer a moment ago."""
        return trio.current_time() < self._unreachable_until_s.get(incarnation, 0.0)

    async def send(self, server: servers.Server, order: orders.Order) -> orders.OrderOutcome:
        """Give one order; one that is refused for its count is given again with others.

        :raises NotPlannerError: when this entry may not give orders now
        """
        async with self._locks[server.server_id]:
            if server.incarnation not in self._order_counts and await self.probe(server) is None:
                return orders.OrderOutcome.UNREACHABLE
            outcome = await self._send_once(server, order)
            if outcome is orders.OrderOutcome.REFUSED:
                # One more order may have begun than its answer told: a late one, or one that was
                # done so fast that its answer says only that its effect holds. Whatever the
                # number, an order that begins moves the count past all that came before it.
                self._order_counts[server.incarnation] += 1
                outcome = await self._send_once(server, order)
            if outcome is orders.OrderOutcome.REFUSED:
                outcome = await self._send_after_probe(server, order)
            return outcome

    async def _send_after_probe(
        self, server: servers.Server, order: orders.Order
    ) -> orders.OrderOutcome:
        # A report tells the count as it was a moment ago; asked at once it brings back the number
        # that has just been refused, and the group waits a second for the next try.
        await trio.sleep(MAX_REPORT_AGE_S)
        if await self.probe(server) is None:
            return orders.OrderOutcome.UNREACHABLE
        return await self._send_once(server, order)

    async def probe(self, server: servers.Server) -> servers.Server | None:
        """Ask a server for its present state; None where it does not answer."""
        report = await self._probe_twice(server)
        self.reachability.record_probe(server, report is not None)
        if report is None:
            # Servers that were asked together are judged together.
            await trio.sleep(PROBE_SETTLE_S)
        if report is None or report.incarnation != server.incarnation:
            self._mark_unreachable(server.incarnation)
            return None
        self._unreachable_until_s.pop(server.incarnation, None)
        self._order_counts[server.incarnation] = report.order_count or 0
        return report

    async def _probe_twice(self, server: servers.Server) -> servers.Server | None:
        report: list[servers.Server] = []
        with trio.move_on_after(PROBE_TIMEOUT_S - PROBE_SETTLE_S):
            async with trio.open_nursery() as nursery:

                async def probe_once(delay_s: float) -> None:
                    await trio.sleep(delay_s)
                    answer = await self.engine_client.probe(server)
                    if answer is not None:
                        report.append(answer)
                        nursery.cancel_scope.cancel()

                for delay_s in (0.0, SECOND_PROBE_DELAY_S):
                    nursery.start_soon(probe_once, delay_s)
        return report[0] if report else None

    async def _send_once(self, server: servers.Server, order: orders.Order) -> orders.OrderOutcome:
        # The process may have been paused since the decision; another planner acts by then.
        fence = self.fence()
        if not fence:
            raise NotPlannerError(server.server_id)
        count = self._order_counts[server.incarnation]
        outcome = await self.engine_client.send(server, order, count, fence)
        done_at_once = isinstance(order, orders.Leave) and outcome is orders.OrderOutcome.HOLDS
        if outcome is orders.OrderOutcome.BEGUN or done_at_once:
            self._order_counts[server.incarnation] = count + 1
        if outcome is orders.OrderOutcome.UNREACHABLE:
            self._mark_unreachable(server.incarnation)
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
        return outcome

    def _mark_unreachable(self, incarnation: tuple[str, int]) -> None:
        self._unreachable_until_s[incarnation] = trio.current_time() + UNREACHABLE_PERIOD_S
