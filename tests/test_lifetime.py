"""Tests of what callers get from an entry that is stopping, by the state of their requests."""

import unittest

import attrs
import trio
import trio.testing

from standins import gateways
from tests import clocked
from toucanhold import lifetime
from toucanhold.gateway import calls

GRACE_S = 4.0
RESERVE_S = 0.4
LONG_TIMEOUT_S = 30.0
LONG_ROUTES = tuple(
    attrs.evolve(route, timeout_s=LONG_TIMEOUT_S)
    for route in (gateways.LOOKUPS, gateways.ORDERS, gateways.STREAMS)
)
LONG_PATHS = ("/lookups/1", "/orders/1", "/streams/1")


class LifetimeTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_all_is_bounded_by_the_end_of_a_stop(self):
        process = lifetime.Lifetime(GRACE_S, RESERVE_S)
        self.assertTrue(process.has_time_until(trio.current_time() + 1e6))
        began_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_for_end, process, began_s)
            await trio.testing.wait_all_tasks_blocked()
            process.begin_stop()
            self.assertTrue(process.has_time_until(began_s + GRACE_S - RESERVE_S))
            self.assertFalse(process.has_time_until(began_s + GRACE_S))
            await self._wait_for_end(process, began_s)

    async def _wait_for_end(self, process, began_s):
        with process.bounded() as scope:
            await trio.sleep_forever()
        self.assertTrue(scope.cancelled_caught)
        self.assertAlmostEqual(GRACE_S - RESERVE_S, trio.current_time() - began_s)

    @clocked.on_test_clock
    async def test_a_stop_is_measured_from_its_first_signal(self):
        """Guards against a second signal, or a reload, that makes an entry answer past its kill."""
        process = lifetime.Lifetime(GRACE_S, RESERVE_S)
        began_s = trio.current_time()
        process.begin_stop()
        await trio.sleep(1.0)
        process.grace_s = 10 * GRACE_S
        process.begin_stop()
        self.assertAlmostEqual(began_s + GRACE_S, process.kill_s)

    @clocked.on_test_clock
    async def test_a_short_time_is_not_all_kept_for_the_clean_up(self):
        process = lifetime.Lifetime(0.4, 5.0)
        process.begin_stop()
        self.assertAlmostEqual(trio.current_time() + 0.2, process.end_s)


class StoppingGatewayTest(unittest.TestCase):
    def setUp(self):
        self._build(gateways.new_servers(3))

    def _build(self, servers):
        self.scene = gateways.GatewayFixture(servers)
        self.process = self.scene.gateway.lifetime
        self.process.grace_s, self.process.reserve_s = GRACE_S, RESERVE_S
        self.behaviours = [self.scene.server_client.behaviours[name] for name in servers]

    @property
    def sent_count(self):
        return len(self.scene.server_client.received_calls)

    def _use_long_routes(self):
        self.scene.routes.put(self.scene.new_table(2, *LONG_ROUTES))

    async def _send(self, path, timeout_s=LONG_TIMEOUT_S, **fields):
        return await self.scene.send(gateways.new_call(path, timeout_s, **fields))

    @clocked.on_test_clock
    async def test_what_may_outlast_the_process_is_refused_before_it_is_sent(self):
        """Guards against requests that a stopping entry passes on and has no time to answer."""
        self._use_long_routes()
        async with self.scene.running():
            self.process.begin_stop()
            for path in LONG_PATHS:
                started_s = trio.current_time()
                reply, error = await self._send(path)
                self.assertIs(calls.RefusalReason.STOPPING, error.reason)
                self.assertEqual((False, 0.0), (error.may_have_run, error.retry_after_s))
                self.assertEqual((0, started_s), (reply.status, trio.current_time()))
        self.assertEqual(0, self.sent_count)

    @clocked.on_test_clock
    async def test_what_ends_in_time_is_served_until_the_end(self):
        async with self.scene.running():
            self.process.begin_stop()
            for _ in range(10):
                reply, error = await self._send("/orders/1")
                self.assertEqual((200, None), (reply.status, error))
                await trio.sleep(0.2)
            await trio.sleep_until(self.process.end_s - 0.5)
            reply, error = await self._send("/orders/1", timeout_s=0.4)
            self.assertEqual((200, None), (reply.status, error))

    @clocked.on_test_clock
    async def test_a_body_that_arrived_slowly_has_only_the_rest_of_its_time(self):
        """Guards against requests that begin late because their bodies arrived slowly."""
        self._use_long_routes()
        async with self.scene.running():
            call = gateways.new_call("/orders/1", timeout_s=3.0)
            self.process.begin_stop()
            await trio.sleep(2.0)
            reply, error = await self.scene.send(call)
            self.assertEqual((200, None), (reply.status, error))
            call = attrs.evolve(call, deadline_s=call.deadline_s + 1.0)
            _, error = await self.scene.send(call)
            self.assertIs(calls.RefusalReason.STOPPING, error.reason)

    @clocked.on_test_clock
    async def test_what_is_queued_when_a_stop_begins_is_not_sent_too_late(self):
        """Guards against requests that wait for a slot although there is no time for them."""
        self._build(gateways.new_servers(1, slots=1))
        self._use_long_routes()
        self.behaviours[0].response_delay_s = 0.3
        async with self.scene.running() as nursery:
            results = []
            for number in range(2):
                nursery.start_soon(self._record, f"/lookups/{number}", results)
                await trio.testing.wait_all_tasks_blocked(0.001)
            self.assertEqual(1, self.scene.gateway.admission.queue_length)
            self.process.begin_stop()
            await trio.testing.wait_all_tasks_blocked(0.001)
            ((_, error),) = results
            self.assertIs(calls.RefusalReason.STOPPING, error.reason)
            await trio.sleep(1.0)
        self.assertEqual(200, results[1][0].status)
        self.assertEqual(1, self.sent_count)

    async def _record(self, path, results):
        results.append(await self._send(path))

    @clocked.on_test_clock
    async def test_what_a_server_still_runs_is_answered_at_the_end(self):
        """Guards against callers of orders who get no answer, or a false "not run", at a kill."""
        self._use_long_routes()
        for behaviour in self.behaviours:
            behaviour.response_delay_s = 10.0
        async with self.scene.running() as nursery:
            results = []
            for path in ("/lookups/1", "/orders/1"):
                nursery.start_soon(self._record, path, results)
            await trio.sleep(0.1)
            self.process.begin_stop()
            await trio.sleep_until(self.process.end_s + 0.01)
        self.assertEqual(2, len(results))
        for _, error in results:
            self.assertTrue(error.may_have_run)
            self.assertIs(calls.Decider.STOP, error.decided_by)

    @clocked.on_test_clock
    async def test_a_stream_under_way_ends_before_the_kill(self):
        self._use_long_routes()
        for behaviour in self.behaviours:
            behaviour.event_count = 1000
        async with self.scene.running() as nursery:
            results = []
            nursery.start_soon(self._record, "/streams/1", results)
            await trio.sleep(1.0)
            self.process.begin_stop()
            await trio.sleep_until(self.process.end_s + 0.01)
        ((reply, error),) = results
        self.assertIsInstance(error, calls.ResponseLostError)
        self.assertIs(calls.Decider.STOP, error.decided_by)
        self.assertFalse(reply.is_complete)

    @clocked.on_test_clock
    async def test_a_stream_that_is_resumed_during_a_stop_has_until_its_end(self):
        """Guards against servers that are given more time than the entry has left."""
        self._use_long_routes()
        for behaviour in self.behaviours:
            behaviour.cut_after = 8
        async with self.scene.running() as nursery:
            results = []
            nursery.start_soon(self._record, "/streams/1", results)
            await trio.sleep(0.1)
            self.process.begin_stop()
            await trio.sleep(2.0)
        ((reply, error),) = results
        self.assertIsNone(error)
        self.assertEqual(list(range(1, 11)), reply.event_ids)
        sent_s, _, forwarded = self.scene.server_client.received_calls[1]
        self.assertLessEqual(sent_s + forwarded.remaining_s, self.process.end_s + 0.001)
