"""Orders and probes over links that lose packets."""

import unittest

import attrs
import trio

from standins import gateways, memory, replicas
from tests import clocked
from toucanhold.coordination import mirror
from toucanhold.registry import backoffs, registry, signals
from toucanhold.replicas import ordering, orders


@attrs.define(eq=False)
class LossyEngineClient(orders.EngineClient):
    """Engine client that loses the answers to the first probes.

    :ivar lost: number of answers still to be lost
    """

    delegate: replicas.MemoryServers
    lost: int

    async def send(self, server, order, order_count, fence):
        return await self.delegate.send(server, order, order_count, fence)

    async def probe(self, server, on_connected):
        if self.lost:
            self.lost -= 1
            await trio.sleep(1)
            return None
        return await self.delegate.probe(server, on_connected)


class ProbeTest(unittest.TestCase):
    async def _probe(self, nursery, lost):
        platform = memory.MemoryPlatform()
        fleet = replicas.MemoryServers(platform.client("servers"), replicas.new_engine(), nursery)
        server = (await fleet.add("s1", "d0")).registration()
        server_registry = registry.Registry(
            mirror.Mirror(), replicas.REGISTRATIONS_PREFIX, replicas.decode_registration
        )
        sender = ordering.OrderSender(LossyEngineClient(fleet, lost), server_registry, lambda: 1)
        start_s = trio.current_time()
        report = await sender.probe(server)
        return report, sender.is_unreachable(server.incarnation), trio.current_time() - start_s

    @clocked.on_test_clock
    async def test_one_lost_packet_does_not_end_a_group(self):
        """Guards against a healthy member that is considered dead after one lost answer."""
        async with trio.open_nursery() as nursery:
            report, is_unreachable, took_s = await self._probe(nursery, lost=1)
            self.assertIsNotNone(report)
            self.assertFalse(is_unreachable)
            self.assertLess(took_s, 0.2)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_server_that_never_answers_is_unreachable_after_the_probe_timeout(self):
        async with trio.open_nursery() as nursery:
            report, is_unreachable, took_s = await self._probe(nursery, lost=2)
            self.assertIsNone(report)
            self.assertTrue(is_unreachable)
            self.assertAlmostEqual(ordering.PROBE_TIMEOUT_S, took_s, delta=0.01)
            nursery.cancel_scope.cancel()


class PauseTest(unittest.TestCase):
    async def _new_sender(self, nursery):
        platform = memory.MemoryPlatform()
        fleet = replicas.MemoryServers(platform.client("servers"), replicas.new_engine(), nursery)
        server = (await fleet.add("s1", "d0")).registration()
        server_registry = registry.Registry(
            mirror.Mirror(), replicas.REGISTRATIONS_PREFIX, replicas.decode_registration
        )
        return fleet, server, ordering.OrderSender(fleet, server_registry, lambda: 1)

    @clocked.on_test_clock
    async def test_pauses_far_apart_are_not_added_up(self):
        """Guards against sound groups dissolved by an entry that is the planner once more."""
        async with trio.open_nursery() as nursery:
            fleet, server, sender = await self._new_sender(nursery)
            for _ in range(2):
                nursery.start_soon(fleet.pause, "s1", 1.2)
                await trio.sleep(0.1)
                self.assertIsNone(await sender.probe(server))
                self.assertFalse(sender.is_unreachable(server.incarnation))
                await trio.sleep(60)
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_server_that_dies_in_a_pause_is_no_longer_probed_as_paused(self):
        """Guards against probes of a dead server for ever."""
        async with trio.open_nursery() as nursery:
            fleet, server, sender = await self._new_sender(nursery)
            fleet.servers["s1"].mode = "paused"
            await sender.probe(server)
            self.assertEqual([server], sender.paused())
            fleet.servers["s1"].mode = "dark"
            await sender.probe(server)
            self.assertTrue(sender.is_unreachable(server.incarnation))
            self.assertEqual([], sender.paused())
            nursery.cancel_scope.cancel()


@attrs.define(eq=False)
class RefusingClient(orders.EngineClient):
    """Refuses every probe with a backoff, as the signals of its answers tell."""

    backoff_table: backoffs.BackoffTable
    sent: list = attrs.field(factory=list)

    async def send(self, server, order, order_count, fence):
        self.sent.append(order)
        return orders.OrderOutcome.BEGUN

    async def probe(self, server, on_connected):
        on_connected()
        self.backoff_table.observe(server, signals.Signals(backoff_s=1.0), trio.current_time())
        return None


class RefusedProbeTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_an_order_to_a_new_server_that_refuses_probes_is_deferred(self):
        """Guards against a refused probe that ends the planner's process."""
        table = backoffs.BackoffTable()
        engine_client = RefusingClient(table)
        server_registry = registry.Registry(
            mirror.Mirror(), replicas.REGISTRATIONS_PREFIX, replicas.decode_registration
        )
        sender = ordering.OrderSender(engine_client, server_registry, lambda: 1, table)
        server = gateways.new_servers(1)["b0"]
        for _ in range(3):
            outcome = await sender.send(server, orders.Stage("m0"))
            self.assertIs(orders.OrderOutcome.DEFERRED, outcome)
            await trio.sleep(1.1)
        self.assertEqual([], engine_client.sent)
        self.assertFalse(sender.is_unreachable(server.incarnation))
