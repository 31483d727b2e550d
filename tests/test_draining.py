"""Tests of backend servers whose answers say that they are draining."""

import unittest

import attrs
import trio

from standins import gateways, replicas
from tests import clocked
from toucanhold import codec
from toucanhold.coordination import keyvalue, mirror
from toucanhold.gateway import draining
from toucanhold.registry import registry, signals

SERVER = gateways.new_servers(1)["b0"]
LEAVING = signals.Signals(is_leaving=True)


def new_item(server, revision):
    key = replicas.REGISTRATIONS_PREFIX + server.server_id
    return keyvalue.Item(key, codec.to_json(server), revision, revision)


class DrainingTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_draining_server_gets_no_more_requests(self):
        """Guards against requests to a draining server whose registration does not say so yet."""
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
    async def test_a_refusal_also_says_that_a_server_is_draining(self):
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
    async def test_a_heartbeat_does_not_bring_a_draining_server_back(self):
        """Guards against registrations that override a draining flag in an answer."""
        self.kv_mirror.replace(keyvalue.RangeResult(1, ()))
        self._put(SERVER, 2)
        table = draining.DrainingTable(self.registry)
        version = self.registry.version
        table.observe(SERVER, LEAVING, trio.current_time())
        self.assertGreater(self.registry.version, version)
        self.assertTrue(self.registry.servers["b0"].is_leaving)
        self._put(attrs.evolve(SERVER, slots=7), 3)
        self.assertTrue(self.registry.servers["b0"].is_leaving)
        self._put(attrs.evolve(SERVER, born_ms=2), 4)
        self.assertFalse(self.registry.servers["b0"].is_leaving)

    @clocked.on_test_clock
    async def test_announcements_before_the_registrations_are_kept(self):
        """Guards against an entry that starts and forgets which servers were announced to it."""
        self.kv_mirror.replace(keyvalue.RangeResult(1, ()))
        table = draining.DrainingTable(self.registry)
        names = ("b0", "b1")
        for name in names:
            table.merge(draining.DrainingServer(name, 1), "e2")
        for revision, name in enumerate(names, start=2):
            self._put(attrs.evolve(SERVER, server_id=name), revision)
        self.assertEqual([True, True], [self.registry.servers[name].is_leaving for name in names])

    @clocked.on_test_clock
    async def test_draining_servers_are_announced_for_a_while_and_forgotten_when_gone(self):
        """Guards against entries that repeat each other's announcements for ever."""
        table = draining.DrainingTable(self.registry)
        table.observe(SERVER, LEAVING, trio.current_time())
        self.assertEqual([draining.DrainingServer("b0", 1)], table.to_announce())
        await trio.sleep(2 * draining.REPEAT_PERIOD_S + 0.1)
        table.merge(draining.DrainingServer("b0", 1), "e2")
        self.assertEqual([], table.to_announce())
        table.retain(lambda incarnation: False)
        self.assertEqual({}, table._learned_s)
