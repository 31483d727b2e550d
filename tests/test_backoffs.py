"""Tests of backend servers that refuse requests and ask for a backoff."""

import collections
import unittest

import attrs
import trio

from standins import gateways
from tests import clocked
from toucanhold.registry import backoffs, signals
from toucanhold.replicas import ordering, orders

BACKOFF_S = 3.0
# Requests may be on their way to a server when it asks for a backoff.
ON_THE_WAY_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2


def largest_backoff_breach(scene, name, refusing_until_s):
    """Return the highest number of requests that a server got within a backoff it had asked for."""
    times_s = [time_s for time_s, server, _ in scene.server_client.received_calls if server == name]
    return max(
        sum(refused_s + ON_THE_WAY_S <= time_s < refused_s + BACKOFF_S for time_s in times_s)
        for refused_s in times_s
        if refused_s < refusing_until_s
    )


class BackoffTest(unittest.TestCase):
    async def _send(self, scene, duration_s):
        """Send twenty requests a second; return the number of each status."""
        statuses = collections.Counter()

        async def send(number):
            reply, _ = await scene.send(gateways.new_call("/orders/1", body=str(number).encode()))
            statuses[reply.status] += 1

        async with trio.open_nursery() as nursery:
            for number in range(int(20 * duration_s)):
                nursery.start_soon(send, number)
                await trio.sleep(0.05)
        return statuses

    @clocked.on_test_clock
    async def test_a_server_that_asks_for_a_backoff_gets_no_requests(self):
        """Guards against refusals that draw more requests, since they leave a server idle."""
        scene = gateways.GatewayFixture()
        behaviour = scene.server_client.behaviours["b0"]
        behaviour.is_refusing = True
        behaviour.signals = signals.Signals(backoff_s=BACKOFF_S)
        async with scene.running():
            statuses = await self._send(scene, 8)
            refusing_until_s = trio.current_time()
            behaviour.is_refusing = False
            behaviour.signals = signals.Signals()
            await self._send(scene, 6)
        self.assertEqual({200: 160}, statuses)
        breach = largest_backoff_breach(scene, "b0", refusing_until_s)
        self.assertLessEqual(breach, MAX_REQUESTS_IN_BACKOFF)
        self.assertIn("b0", dict(scene.server_client.executed_calls))

    @clocked.on_test_clock
    async def test_requests_are_refused_at_once_while_all_servers_back_off(self):
        """Guards against callers that wait for servers which have asked for a long backoff."""
        scene = gateways.GatewayFixture()
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].is_refusing = True
            scene.server_client.behaviours[name].signals = signals.Signals(backoff_s=BACKOFF_S)
        async with scene.running():
            await scene.send(gateways.new_call("/orders/1"))
            began_s = trio.current_time()
            _, error = await scene.send(gateways.new_call("/orders/1", body=b"2"))
            self.assertAlmostEqual(began_s, trio.current_time(), delta=0.01)
        self.assertFalse(error.may_have_run)
        self.assertGreaterEqual(error.retry_after_s, BACKOFF_S - 0.1)
        self.assertEqual(3, len(scene.server_client.received_calls))

    @clocked.on_test_clock
    async def test_queued_requests_are_refused_when_all_servers_ask_for_a_backoff(self):
        """Guards against callers that wait on in a queue that can no longer be served in time."""
        scene = gateways.GatewayFixture(gateways.new_servers(1, slots=1))
        scene.server_client.behaviours["b0"].response_delay_s = 0.1
        async with scene.running() as nursery:
            nursery.start_soon(scene.send, gateways.new_call("/orders/1"))
            nursery.start_soon(self._ask_for_backoff_after, scene, 0.05)
            await trio.sleep(0.01)
            began_s = trio.current_time()
            _, error = await scene.send(gateways.new_call("/orders/1", body=b"2"))
            self.assertLess(trio.current_time() - began_s, 0.1)
        self.assertFalse(error.may_have_run)

    async def _ask_for_backoff_after(self, scene, delay_s):
        await trio.sleep(delay_s)
        server = scene.registered_servers["b0"]
        scene.backoff_table.observe(
            server, signals.Signals(backoff_s=BACKOFF_S), trio.current_time()
        )

    @clocked.on_test_clock
    async def test_requests_wait_for_the_end_of_a_short_backoff(self):
        scene = gateways.GatewayFixture(gateways.new_servers(1))
        server = scene.registered_servers["b0"]
        scene.backoff_table.observe(server, signals.Signals(backoff_s=0.2), trio.current_time())
        async with scene.running():
            began_s = trio.current_time()
            reply, _ = await scene.send(gateways.new_call("/lookups/1"))
        self.assertEqual(200, reply.status)
        self.assertGreaterEqual(scene.server_client.received_calls[0][0], began_s + 0.2)

    @clocked.on_test_clock
    async def test_a_stream_is_not_resumed_at_a_server_with_a_backoff(self):
        """Guards against resumed streams that ignore backoffs."""
        scene = gateways.GatewayFixture()
        avoided = scene.registered_servers["b1"]
        scene.backoff_table.observe(
            avoided, signals.Signals(backoff_s=BACKOFF_S), trio.current_time()
        )
        scene.loads.add("b2")
        scene.server_client.behaviours["b0"].cut_after = 4
        async with scene.running():
            reply, _ = await scene.send(gateways.new_call("/streams/1"))
        self.assertTrue(reply.is_complete)
        self.assertEqual(["b0", "b2"], [name for _, name, _ in scene.server_client.received_calls])


class RecordingEngine(orders.EngineClient):
    """An engine client that records what reaches engines."""

    def __init__(self):
        self.received = []

    async def send(self, server, order, order_count, fence):
        self.received.append(order)
        return orders.OrderOutcome.BEGUN

    async def probe(self, server, on_connected):
        self.received.append("probe")
        return attrs.evolve(server, order_count=3)


@attrs.define(eq=False)
class RefusingEngine(RecordingEngine):
    """An engine client of engines that answer each probe with a backoff of ``backoff_s``."""

    backoff_table: backoffs.BackoffTable
    backoff_s: float

    async def probe(self, server, on_connected):
        on_connected()
        observed = signals.Signals(backoff_s=self.backoff_s)
        self.backoff_table.observe(server, observed, trio.current_time())


class PausedEngine(RecordingEngine):
    """An engine client of engines that accept connections and answer nothing."""

    async def probe(self, server, on_connected):
        on_connected()
        await trio.sleep_forever()


class ControlTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_server_with_a_backoff_gets_one_order_and_no_probes(self):
        """Guards against orders and probes that reach a server which asked for a backoff."""
        engine = RecordingEngine()
        backoff_table = backoffs.BackoffTable()
        sender = ordering.OrderSender(engine, None, lambda: 1, backoff_table)
        server = gateways.new_servers(1)["b0"]
        leave = orders.Leave("g1", 2)
        backoff_table.observe(server, signals.Signals(backoff_s=BACKOFF_S), trio.current_time())
        self.assertIs(orders.OrderOutcome.DEFERRED, await sender.send(server, leave))
        await trio.sleep(BACKOFF_S)
        self.assertIs(orders.OrderOutcome.BEGUN, await sender.send(server, leave))
        self.assertEqual(["probe", leave], engine.received)
        backoff_table.observe(server, signals.Signals(backoff_s=BACKOFF_S), trio.current_time())
        self.assertEqual(server, await sender.probe(server))
        outcomes = [await sender.send(server, leave) for _ in range(3)]
        deferred = orders.OrderOutcome.DEFERRED
        self.assertEqual([orders.OrderOutcome.BEGUN, deferred, deferred], outcomes)
        self.assertEqual(["probe", leave, leave], engine.received)
        self.assertFalse(sender.is_unreachable(server.incarnation))

    @clocked.on_test_clock
    async def test_a_server_that_answers_probes_with_backoffs_is_not_unreachable(self):
        """Guards against a sound group that is dissolved as a member answers with backoffs."""
        backoff_table = backoffs.BackoffTable()
        engine = RefusingEngine(backoff_table, backoff_s=1.0)
        sender = ordering.OrderSender(engine, None, lambda: 1, backoff_table)
        server = gateways.new_servers(1)["b0"]
        for _ in range(20):
            await sender.probe(server)
            self.assertFalse(sender.is_unreachable(server.incarnation))
            await trio.sleep(0.25)

    @clocked.on_test_clock
    async def test_a_backoff_ends_the_pause_before_it(self):
        """Guards against a group dissolved as two short pauses and a backoff count as one pause."""
        backoff_table = backoffs.BackoffTable()
        sender = ordering.OrderSender(PausedEngine(), None, lambda: 1, backoff_table)
        server = gateways.new_servers(1)["b0"]
        await sender.probe(server)
        backoff_table.observe(server, signals.Signals(backoff_s=BACKOFF_S), trio.current_time())
        await sender.probe(server)
        await trio.sleep(BACKOFF_S)
        await sender.probe(server)
        self.assertFalse(sender.is_unreachable(server.incarnation))
