"""Tests of probes of servers that may be paused."""

import unittest
import unittest.mock

import attrs
import trio

from standins import memory, replicas
from tests import clocked, test_replicas
from tests.platform import standins, test_platform_calls
from toucanhold import asgi
from toucanhold.coordination import mirror
from toucanhold.registry import registry
from toucanhold.replicas import ordering


class PausedServerTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_paused_server_that_ends_is_no_longer_probed(self):
        """Guards against endless probes of an address that is gone, or of its next owner."""
        for mode in ("dark", "restarted"):
            with self.subTest(mode):
                async with trio.open_nursery() as nursery:
                    cluster, node = await test_replicas.start_formed_cluster(nursery)
                    group = node.serving_groups("large")[0]
                    name = group.record.members[2].server_id
                    nursery.start_soon(cluster.fleet.pause, name, 60)
                    await trio.sleep(0.2)
                    node.planner.suspect(group.head.server_id)
                    await trio.sleep(0.8)
                    if mode == "dark":
                        await cluster.fleet.make_unreachable(name)
                    else:
                        await cluster.fleet.restart(name)
                    await trio.sleep(20)
                    probed = []
                    probe = cluster.fleet.probe

                    async def counting_probe(server, on_connected, probe=probe, probed=probed):
                        probed.append(server.incarnation)
                        return await probe(server, on_connected)

                    cluster.fleet.probe = counting_probe
                    await trio.sleep(10)
                    self.assertLessEqual(probed.count((name, 1)), 4)
                    self.assertEqual([], node.planner.order_sender.paused())
                    nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_pause_of_the_planner_does_not_count_as_one_of_a_server(self):
        """Guards against a sound group that is dissolved because the planner stood still."""
        async with trio.open_nursery() as nursery:
            cluster, node = await test_replicas.start_formed_cluster(nursery)
            before = set(node.group_table.groups)
            group = node.serving_groups("large")[0]
            name = group.record.members[2].server_id
            nursery.start_soon(cluster.fleet.pause, name, 1.3)
            await trio.sleep(0.1)
            node.planner.suspect(group.head.server_id)
            await trio.sleep(0.95)
            trio.lowlevel.current_clock().jump(1.6)
            await trio.sleep(1.0)
            self.assertEqual(before, set(node.group_table.groups))
            nursery.cancel_scope.cancel()

    @clocked.on_test_clock
    async def test_a_later_pause_is_measured_from_its_own_start(self):
        """Guards against a server that is dead at the first probe of its second pause."""
        async with trio.open_nursery() as nursery:
            platform = memory.MemoryPlatform()
            fleet = replicas.MemoryServers(
                platform.client("servers"), replicas.new_engine(), nursery
            )
            server = (await fleet.add("s1", "d0")).registration()
            server_registry = registry.Registry(
                mirror.Mirror(), replicas.REGISTRATIONS_PREFIX, replicas.decode_registration
            )
            sender = ordering.OrderSender(fleet, server_registry, lambda: 1)
            for _ in range(2):
                nursery.start_soon(fleet.pause, "s1", 1.0)
                await trio.sleep(0.1)
                await sender.probe(server)
                self.assertFalse(sender.is_unreachable(server.incarnation))
                # Another entry is the planner meanwhile.
                await trio.sleep(30)
            nursery.cancel_scope.cancel()


class AnsweredProbeTest(unittest.TestCase):
    @test_platform_calls.with_server_and_entry
    async def test_a_server_that_answers_that_another_was_meant_is_not_paused(
        self, scene, server_app, entry
    ):
        """Guards against groups that keep a member whose address another server has taken over."""

        class MisdirectingApp(standins.ServerApp):
            async def __call__(self, scope, receive, send):
                if scope["type"] == "http":
                    await asgi.respond(send, 421, [], b"")
                else:
                    await super().__call__(scope, receive, send)

        async with standins.serve_app(MisdirectingApp()) as address:
            server = attrs.evolve(scene.registered_servers["b0"], address=address)
            server_registry = registry.Registry(
                mirror.Mirror(), replicas.REGISTRATIONS_PREFIX, replicas.decode_registration
            )
            client = scene.gateway.server_client
            sender = ordering.OrderSender(client, server_registry, lambda: 1)
            self.assertIsNone(await sender.probe(server))
            self.assertEqual([], sender.paused())
            self.assertTrue(sender.is_unreachable(server.incarnation))
