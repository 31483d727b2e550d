"""Orders and looks over links that lose packets."""

import unittest

import attrs
import trio

from standins import memory, replicas
from tests import clocked
from toucanhold.coordination import mirror
from toucanhold.registry import registry
from toucanhold.replicas import order_sender, orders


@attrs.define(eq=False)
class LossyEngines(orders.EngineClient):
    """Servers whose first answers are lost on the way.

    :ivar lost: answers still to be lost
    """

    inner: replicas.MemoryServers
    lost: int

    async def send(self, server, order, order_count, fence):
        return await self.inner.send(server, order, order_count, fence)

    async def probe(self, server):
        if self.lost:
            self.lost -= 1
            await trio.sleep(1)
            return None
        return await self.inner.probe(server)


class LookTest(unittest.TestCase):
    async def _look(self, nursery, lost):
        platform = memory.MemoryPlatform()
        fleet = replicas.MemoryServers(platform.client("servers"), replicas.new_engine(), nursery)
        server = (await fleet.add("s1", "d0")).state()
        known = registry.Registry(mirror.Mirror(), replicas.REGISTRATIONS_PREFIX, replicas.decode)
        sender = order_sender.OrderSender(LossyEngines(fleet, lost), known, lambda: 1)
        began_s = trio.current_time()
        found = await sender.probe(server)
        return found, sender.is_unreachable(server.incarnation), trio.current_time() - began_s

    @clocked.on_test_clock
    async def test_one_lost_packet_does_not_end_a_group(self):
        """Guards against a sound member taken for dead for one lost answer."""
        async with trio.open_nursery() as nursery:
            found, is_unreachable, took_s = await self._look(nursery, lost=1)
            self.assertIsNotNone(found)
            self.assertFalse(is_unreachable)
            self.assertLess(took_s, 0.2)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_server_that_stays_mute_is_unreachable_in_time(self):
        async with trio.open_nursery() as nursery:
            found, is_unreachable, took_s = await self._look(nursery, lost=2)
            self.assertIsNone(found)
            self.assertTrue(is_unreachable)
            self.assertAlmostEqual(order_sender.PROBE_TIMEOUT_S, took_s, delta=0.01)
            nursery.cancel_scope.cancel()
