"""Tests of calls that are sent to another server while their own is silent."""

import unittest

import trio

from standins import gateways
from tests import clocked
from toucanhold.gateway import calls, retry_budget

ALL_EVENTS = list(range(1, 11))
# The server of a stream pauses after this time; it has sent some events by then.
PAUSE_START_S = 0.2
PAUSE_S = 1.2
MAX_GAP_S = 0.4


class BackupTest(unittest.TestCase):
    async def _pause_server_of(self, scene, duration_s=PAUSE_S):
        """Pause the server of the only stream; return its name."""
        first = scene.server_client.received_calls[0][1]
        await trio.sleep(PAUSE_START_S)
        behaviour = scene.server_client.behaviours[first]
        behaviour.paused_until_s = trio.current_time() + duration_s
        return first

    async def _send_during_pause(self, scene, duration_s=PAUSE_S, path="/streams/1"):
        """Send a call whose server pauses; return the reply, the error and the server's name."""
        results = []
        load_before = sum(scene.loads.own_counts.values())

        async def send():
            results.extend(await scene.send(gateways.new_call(path)))

        async with scene.running(), trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.sleep(0.01)
            first = await self._pause_server_of(scene, duration_s)
        reply, error = results
        self.assertEqual(0, sum(scene.server_client.active_calls.values()))
        self.assertEqual(load_before, sum(scene.loads.own_counts.values()))
        return reply, error, first

    def _sent_retries(self, scene):
        return sum(scene.gateway.retry_budget.sent_counts.values())

    @clocked.on_test_clock
    async def test_the_backup_is_used_once_it_has_sent_an_event(self):
        """Guards against callers that wait for a silent server beside one that goes on."""
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        reply, error, first = await self._send_during_pause(scene, 10.0)
        self.assertIsNone(error)
        self.assertEqual(ALL_EVENTS, reply.event_ids)
        self.assertTrue(reply.is_complete)
        times_s = reply.chunk_times_s
        gaps_s = [after - before for before, after in zip(times_s, times_s[1:], strict=False)]
        self.assertLess(max(gaps_s), MAX_GAP_S)
        self.assertEqual(1, self._sent_retries(scene))
        _, _, resumed = scene.server_client.received_calls[1]
        self.assertEqual(calls.Urgency.RESUMED, resumed.urgency)
        self.assertIsNotNone(resumed.last_event_id)

    @clocked.on_test_clock
    async def test_a_server_that_goes_on_before_its_backup_keeps_the_stream(self):
        """Guards against an answer that is given up for one that has not begun."""
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        scene.server_client.behaviours["b0"].response_delay_s = 5.0
        scene.loads.add("b0")
        reply, error, first = await self._send_during_pause(scene)
        self.assertEqual(("b1", None), (first, error))
        self.assertEqual(2, len(scene.server_client.received_calls))
        self.assertEqual(ALL_EVENTS, reply.event_ids)
        self.assertEqual([("b1", "call-1")], scene.server_client.executed_calls)

    @clocked.on_test_clock
    async def test_a_backup_that_fails_leaves_the_stream_to_its_server(self):
        """Guards against a stream that ends because its backup fails."""
        for fault, value in (
            ("is_refusing", True),
            ("is_down", True),
            ("is_misdirected", True),
            ("is_answer_lost", True),
            ("status", 500),
        ):
            with self.subTest(fault):
                scene = gateways.GatewayFixture(gateways.new_servers(2))
                setattr(scene.server_client.behaviours["b0"], fault, value)
                scene.loads.add("b0")
                reply, error, first = await self._send_during_pause(scene)
                self.assertEqual(("b1", None), (first, error))
                self.assertIn("b0", [name for _, name, _ in scene.server_client.received_calls])
                self.assertEqual(ALL_EVENTS, reply.event_ids)
                self.assertTrue(reply.is_complete)

    @clocked.on_test_clock
    async def test_a_backup_goes_on_when_the_silent_server_breaks_off(self):
        """Guards against a second retry, or an end, for a stream that has a backup already."""
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        scene.server_client.behaviours["b0"].response_delay_s = 1.5
        scene.server_client.behaviours["b1"].breaks_off_after_pause = True
        scene.loads.add("b0")
        reply, error, first = await self._send_during_pause(scene, 0.5)
        self.assertEqual(("b1", None), (first, error))
        self.assertEqual(ALL_EVENTS, reply.event_ids)
        self.assertEqual(1, self._sent_retries(scene))

    @clocked.on_test_clock
    async def test_an_unused_backup_leaves_an_attempt_for_a_server_that_breaks_off_later(self):
        """Guards against a stream whose pause has used up the attempts of its route."""
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        scene.server_client.behaviours["b0"].response_delay_s = 1.0
        scene.server_client.behaviours["b1"].cut_after = 6
        scene.loads.add("b0")
        reply, error, first = await self._send_during_pause(scene, 0.5)
        self.assertEqual(("b1", None), (first, error))
        self.assertEqual(ALL_EVENTS, reply.event_ids)
        self.assertEqual(2, self._sent_retries(scene))

    @clocked.on_test_clock
    async def test_a_backup_without_a_connection_uses_no_retry(self):
        """Guards against retries held until the end of calls whose backups found no server."""
        scene = gateways.GatewayFixture(gateways.new_servers(3))
        scene.gateway.retry_budget.bound = retry_budget.RetryBound(0.0, 2.0, 10.0)
        for name in ("b0", "b2"):
            scene.server_client.behaviours[name].is_down = True
            scene.loads.add(name)
        held = []

        async def count_retries():
            await trio.sleep(0.9)
            held.append(scene.gateway.retry_budget.use("desk").retries)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_retries)
            _, error, first = await self._send_during_pause(scene)
        self.assertEqual(("b1", None), (first, error))
        self.assertEqual([0], held)
        self.assertEqual(0, self._sent_retries(scene))

    @clocked.on_test_clock
    async def test_a_call_has_no_more_attempts_than_its_route_allows(self):
        """Guards against one backup after the other while all servers stand still."""
        scene = gateways.GatewayFixture(gateways.new_servers(6))
        for behaviour in map(scene.server_client.behaviours.__getitem__, scene.registered_servers):
            behaviour.stall_after = 2
        async with scene.running():
            _, error = await scene.send(gateways.new_call("/streams/1"))
        self.assertEqual(2, len(scene.server_client.received_calls))
        self.assertIs(calls.Decider.DEADLINE, error.decided_by)

    @clocked.on_test_clock
    async def test_without_a_free_slot_a_stream_stays_with_its_server(self):
        """Guards against a stream that leaves its server for a queue."""
        scene = gateways.GatewayFixture(gateways.new_servers(2, slots=2))
        scene.loads.add("b0")
        scene.loads.add("b0")
        reply, error, _ = await self._send_during_pause(scene)
        self.assertIsNone(error)
        self.assertEqual(ALL_EVENTS, reply.event_ids)
        self.assertEqual(0, self._sent_retries(scene))

    @clocked.on_test_clock
    async def test_a_caller_that_leaves_frees_both_servers(self):
        """Guards against a backup that works on after its caller has left."""
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        for behaviour in map(scene.server_client.behaviours.__getitem__, scene.registered_servers):
            behaviour.stall_after = 2
        async with scene.running():
            with trio.move_on_after(1.0):
                await scene.send(gateways.new_call("/streams/1"))
            self.assertEqual(2, len(scene.server_client.received_calls))
            self.assertEqual(0, sum(scene.server_client.active_calls.values()))
            self.assertEqual(0, sum(scene.loads.own_counts.values()))

    @clocked.on_test_clock
    async def test_a_silent_server_that_goes_on_is_used_again_at_once(self):
        """Guards against sound servers that are avoided for seconds after a pause."""
        scene = gateways.GatewayFixture(gateways.new_servers(1))
        _, error, first = await self._send_during_pause(scene, 0.6)
        self.assertIsNone(error)
        self.assertEqual([first], scene.silent_servers)
        self.assertFalse(scene.health.is_avoided(first))


class FailureAnswerTest(unittest.TestCase):
    """A server's failure is an answer, which is kept until another server has a better one."""

    def _new_scene(self, retries):
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        scene.gateway.retry_budget.bound = retry_budget.RetryBound(0.0, retries, 10.0)
        scene.server_client.behaviours["b0"].status = 500
        scene.loads.add("b1")
        return scene

    @clocked.on_test_clock
    async def test_concurrent_failures_are_forwarded_if_their_retries_are_denied(self):
        """Guards against 502 in place of a server's answer, for want of a retry."""
        scene = self._new_scene(retries=3.0)
        replies = []

        async def send(number):
            call = gateways.new_call("/lookups/1", call_id=str(number), body=b"%d" % number)
            replies.append(await scene.send(call))

        async with scene.running(), trio.open_nursery() as nursery:
            for number in range(5):
                nursery.start_soon(send, number)
        self.assertEqual({200, 500}, {reply.status for reply, _ in replies})
        self.assertEqual([None] * 5, [error for _, error in replies])

    @clocked.on_test_clock
    async def test_a_failure_is_forwarded_if_the_next_server_gives_no_answer(self):
        """Guards against a server's answer that is lost with a failed retry."""
        for fault in ("is_refusing", "is_down", "is_answer_lost"):
            with self.subTest(fault):
                scene = self._new_scene(retries=100.0)
                setattr(scene.server_client.behaviours["b1"], fault, True)
                async with scene.running():
                    reply, error = await scene.send(gateways.new_call("/lookups/1"))
                self.assertEqual((500, None), (reply.status, error))
                self.assertTrue(reply.is_complete)

    @clocked.on_test_clock
    async def test_a_failure_is_forwarded_at_the_deadline(self):
        """Guards against a server's answer that is discarded when a retry takes too long."""
        scene = self._new_scene(retries=100.0)
        scene.server_client.behaviours["b1"].response_delay_s = 10.0
        async with scene.running():
            reply, error = await scene.send(gateways.new_call("/lookups/1"))
        self.assertEqual((500, None), (reply.status, error))
