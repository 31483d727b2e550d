"""Tests of backend servers that say in their answers that they leave."""

import unittest

import attrs
import trio

from standins import gateways, replicas
from tests import clocked
from toucanhold import codec
from toucanhold.coordination import keyvalue, mirror
from toucanhold.gateway import departures
from toucanhold.registry import registry, signals

SERVER = gateways.new_servers(1)["b0"]
LEAVING = signals.Signals(is_leaving=True)


def new_item(server, revision):
    key = replicas.REGISTRATIONS_PREFIX + server.server_id
    return keyvalue.Item(key, codec.to_json(server), revision, revision)


class DepartureTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_leaving_server_gets_no_more_requests(self):
        """Guards against requests to a server whose leaving the key-value service has not told."""
        scene = gateways.GatewayFixture()
        scene.server_client.behaviours["b0"].signals = LEAVING
        scene.loads.add("b1")
        scene.loads.add("b2")
        async with scene.running():
            for number in range(20):
                call = gateways.new_call("/lookups/1", body=str(number).encode())
                reply, _ = await scene.send(call)
                self.assertEqual(200, reply.status)
        names = [name for _, name, _ in scene.server_client.received_calls]
        self.assertEqual(["b0"], [name for name in names if name == "b0"])

    @clocked.on_test_clock
    async def test_a_refusal_also_tells_that_a_server_leaves(self):
        scene = gateways.GatewayFixture()
        scene.server_client.behaviours["b0"].signals = LEAVING
        scene.server_client.behaviours["b0"].is_refusing = True
        scene.loads.add("b1")
        scene.loads.add("b2")
        async with scene.running():
            await scene.send(gateways.new_call("/lookups/1"))
        self.assertTrue(scene.registered_servers["b0"].is_leaving)


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.kv_mirror = mirror.Mirror()
        self.registry = registry.Registry(
            self.kv_mirror, replicas.REGISTRATIONS_PREFIX, replicas.decode_registration
        )

    def _put(self, server, revision):
        item = new_item(server, revision)
        self.kv_mirror.apply(mirror.Changes(self.kv_mirror.revision, revision, (item,)))

    @clocked.on_test_clock
    async def test_a_heartbeat_does_not_bring_a_leaving_server_back(self):
        """Guards against registrations that overrule what a server says in its answers."""
        self.kv_mirror.replace(keyvalue.RangeResult(1, ()))
        self._put(SERVER, 2)
        table = departures.DepartureTable(self.registry)
        version = self.registry.version
        table.observe(SERVER, LEAVING, trio.current_time())
        self.assertGreater(self.registry.version, version)
        self.assertTrue(self.registry.servers["b0"].is_leaving)
        self._put(attrs.evolve(SERVER, slots=7), 3)
        self.assertTrue(self.registry.servers["b0"].is_leaving)
        self._put(attrs.evolve(SERVER, born_ms=2), 4)
        self.assertFalse(self.registry.servers["b0"].is_leaving)

    @clocked.on_test_clock
    async def test_departures_are_told_for_a_while_and_forgotten_with_the_server(self):
        """Guards against entries that tell each other of departures for ever."""
        table = departures.DepartureTable(self.registry)
        table.observe(SERVER, LEAVING, trio.current_time())
        self.assertEqual([departures.Departure("b0", 1)], table.to_tell())
        await trio.sleep(2 * departures.REPEAT_PERIOD_S + 0.1)
        table.merge(departures.Departure("b0", 1), "e2")
        self.assertEqual([], table.to_tell())
        table.retain(lambda incarnation: False)
        self.assertEqual({}, table._learned_s)
