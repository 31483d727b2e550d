"""Orders and probes of a planner whose processor handles fewer calls than it could send at once."""

import unittest

import attrs
import trio

from standins import replicas
from tests import clocked, replica_cluster
from toucanhold.replicas import orders
from toucanhold.routes import table

# Processor time of the planner for one call to a server.
CALL_S = 0.0015
# Loads are fast before the first request.
LARGE = table.Model("large", size=32, share=0.5, pace=1.0, load_s=1.6, warm_s=0.2)
SMALL = table.Model("small", size=8, share=0.5, pace=0.6, load_s=1.2, warm_s=0.2)


@attrs.define(eq=False)
class BusyServers(replicas.MemoryServers):
    """Servers whose client shares one processor among all calls in progress.

    :ivar outcomes: outcome of each order
    """

    outcomes: list[orders.OrderOutcome] = attrs.field(factory=list)
    _processor: trio.Lock = attrs.field(factory=trio.Lock, init=False)

    async def send(self, server, order, order_count, fence):
        """See :class:`orders.EngineClient`."""
        await self._work()
        outcome = await super().send(server, order, order_count, fence)
        self.outcomes.append(outcome)
        return outcome

    async def probe(self, server, on_connected):
        """See :class:`orders.EngineClient`."""
        await self._work()
        return await super().probe(server, on_connected)

    async def _work(self):
        async with self._processor:
            await trio.sleep(CALL_S)


class ControlCallsTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_fleet_of_a_thousand_servers_forms_its_groups_at_the_first_attempt(self):
        """Guards against sound servers taken for unreachable as the planner calls all at once."""
        async with trio.open_nursery() as nursery:
            cluster = replica_cluster.Cluster(
                nursery, replicas.new_engine(LARGE, SMALL), domains=15, per_domain=73
            )
            cluster.fleet = BusyServers(cluster.fleet.store, cluster.engine, nursery)
            await cluster.add_servers()
            node = cluster.start("entry-1")
            await cluster.wait_for(lambda: node.group_table.groups, 10)
            planned = set(node.group_table.groups)
            with trio.move_on_after(10):
                await cluster.wait_for(lambda: serving_count(node) == len(planned), 20)
            self.assertEqual(len(planned), serving_count(node))
            self.assertEqual(planned, set(node.group_table.groups))
            self.assertNotIn(orders.OrderOutcome.REFUSED, cluster.fleet.outcomes)
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()


def serving_count(node):
    return len(node.serving_groups("large")) + len(node.serving_groups("small"))
