"""Tests of the responses that callers get while backend servers fail, stop or are overloaded."""

import unittest

import attrs
import trio

from standins import gateways
from tests import clocked
from toucanhold.gateway import calls
from toucanhold.routes import table


class RouteTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_longest_prefix_wins(self):
        scene = gateways.GatewayFixture()
        narrow = attrs.evolve(gateways.LOOKUPS, name="narrow", prefix="/lookups/old/")
        routes = scene.new_table(1, gateways.LOOKUPS, narrow)
        self.assertEqual("narrow", routes.find(gateways.HOST, "/lookups/old/1").name)
        self.assertEqual("lookups", routes.find(gateways.HOST, "/lookups/older").name)
        self.assertIsNone(routes.find(gateways.HOST, "/lookup"))
        self.assertIsNone(routes.find("other.example", "/lookups/1"))

    @clocked.on_test_clock
    async def test_older_version_never_replaces_a_newer_one(self):
        scene = gateways.GatewayFixture()
        self.assertTrue(scene.routes.put(scene.new_table(7, gateways.LOOKUPS)))
        self.assertFalse(scene.routes.put(scene.new_table(6, gateways.ORDERS)))
        self.assertEqual(7, scene.routes.table.version)

    @clocked.on_test_clock
    async def test_revoked_key_is_refused_immediately(self):
        scene = gateways.GatewayFixture()
        private = attrs.evolve(gateways.LOOKUPS, is_public=False)
        keys = {"k1": table.Workspace("council", None)}
        scene.routes.put(scene.new_table(2, private, keys=keys))
        async with scene.running():
            reply, error = await scene.send(gateways.new_call("/lookups/1", key="k1"))
            self.assertEqual((200, None), (reply.status, error))
            self.assertEqual("council", scene.server_client.received_calls[0][2].workspace)
            scene.routes.put(scene.new_table(3, private, keys={}))
            _, error = await scene.send(gateways.new_call("/lookups/1", key="k1"))
            self.assertIs(calls.RefusalReason.UNKNOWN_KEY, error.reason)

    @clocked.on_test_clock
    async def test_without_a_configuration_callers_get_a_retry_delay(self):
        scene = gateways.GatewayFixture()
        scene.routes.table = None
        _, error = await scene.send(gateways.new_call("/lookups/1"))
        self.assertIs(calls.RefusalReason.NO_CONFIGURATION, error.reason)
        self.assertGreater(error.retry_after_s, 0)

    @clocked.on_test_clock
    async def test_requests_wait_for_the_configuration_of_an_entry_that_starts(self):
        """Guards against callers that are sent away by each entry when all restart at once."""
        scene = gateways.GatewayFixture()
        routes = scene.routes.table
        scene.gateway.routes = table.RouteTableHolder()
        async with scene.running() as nursery:
            nursery.start_soon(self._configure_after, scene, routes, 0.1)
            reply, error = await scene.send(gateways.new_call("/lookups/1"))
        self.assertEqual((200, None), (reply.status, error))

    async def _configure_after(self, scene, routes, delay_s):
        await trio.sleep(delay_s)
        scene.gateway.routes.put(routes)


class NonIdempotentTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_order_with_a_lost_response_is_not_retried(self):
        """Guards against an order that runs twice, or is wrongly reported as not run."""
        scene = gateways.GatewayFixture()
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].is_answer_lost = True
        async with scene.running():
            _, error = await scene.send(gateways.new_call("/orders/1"))
        self.assertEqual(1, len(scene.server_client.executed_calls))
        self.assertTrue(error.may_have_run)

    @clocked.on_test_clock
    async def test_order_that_a_server_has_not_run_is_retried_on_another(self):
        scene = gateways.GatewayFixture()
        scene.server_client.behaviours["b0"].is_refusing = True
        scene.server_client.behaviours["b1"].is_refusing = True
        async with scene.running():
            reply, error = await scene.send(gateways.new_call("/orders/1"))
        self.assertEqual((200, None), (reply.status, error))
        self.assertEqual([("b2", "call-1")], scene.server_client.executed_calls)

    @clocked.on_test_clock
    async def test_order_that_times_out_is_reported_as_possibly_run(self):
        """Guards against a false "not run" if the route's timeout expires during the work."""
        scene = gateways.GatewayFixture()
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].response_delay_s = 10.0
        async with scene.running():
            started_s = trio.current_time()
            _, error = await scene.send(gateways.new_call("/orders/1"))
            self.assertAlmostEqual(1.2, trio.current_time() - started_s, delta=0.01)
        self.assertTrue(error.may_have_run)
        self.assertIs(calls.RefusalReason.DEADLINE_EXCEEDED, error.reason)


class LookupTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_lookup_with_a_lost_response_is_retried_on_another_server(self):
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        scene.server_client.behaviours["b0"].is_answer_lost = True
        scene.loads.add("b1")
        async with scene.running():
            reply, error = await scene.send(gateways.new_call("/lookups/1"))
        self.assertEqual((200, None), (reply.status, error))

    @clocked.on_test_clock
    async def test_lookup_with_a_server_error_is_retried_on_another_server(self):
        """Guards against an error that is forwarded while another server could respond."""
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        scene.server_client.behaviours["b0"].status = 500
        scene.loads.add("b1")
        async with scene.running():
            reply, error = await scene.send(gateways.new_call("/lookups/1"))
        self.assertEqual((200, None), (reply.status, error))
        self.assertEqual(["b0", "b1"], [name for name, _ in scene.server_client.executed_calls])

    @clocked.on_test_clock
    async def test_error_of_the_last_server_is_forwarded_to_the_caller(self):
        scene = gateways.GatewayFixture()
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].status = 500
        async with scene.running():
            lookup, _ = await scene.send(gateways.new_call("/lookups/1"))
            self.assertEqual(2, len(scene.server_client.executed_calls))
            order, _ = await scene.send(gateways.new_call("/orders/1"))
        self.assertEqual((500, 500), (lookup.status, order.status))
        self.assertEqual(3, len(scene.server_client.executed_calls))

    @clocked.on_test_clock
    async def test_attempts_stay_within_the_routes_limit(self):
        scene = gateways.GatewayFixture()
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].is_answer_lost = True
        async with scene.running():
            _, error = await scene.send(gateways.new_call("/lookups/1"))
        self.assertEqual(2, len(scene.server_client.executed_calls))
        self.assertTrue(error.may_have_run)

    @clocked.on_test_clock
    async def test_retries_stay_within_their_budget(self):
        """Guards against retries that double the load on a failing service."""
        scene = gateways.GatewayFixture(retry_slack=10.0)
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].is_answer_lost = True
        async with scene.running():
            for number in range(50):
                await scene.send(gateways.new_call("/lookups/1", body=str(number).encode()))
        self.assertLessEqual(len(scene.server_client.executed_calls), 50 + 0.7 * (0.2 * 50 + 10))

    @clocked.on_test_clock
    async def test_failed_connections_use_no_shared_retries(self):
        """Guards against callers that are refused because a zone's servers restart together."""
        scene = gateways.GatewayFixture(gateways.new_servers(6), retry_slack=0.0)
        for name in ("b0", "b1", "b2"):
            scene.server_client.behaviours[name].is_down = True
        replies = []
        async with scene.running():
            for number in range(20):
                call = gateways.new_call("/lookups/1", body=str(number).encode())
                replies.append((await scene.send(call))[0])
        self.assertEqual({200}, {reply.status for reply in replies})

    @clocked.on_test_clock
    async def test_a_call_gives_up_after_a_few_failed_connections(self):
        """Guards against a call that tries dead servers until its deadline."""
        scene = gateways.GatewayFixture(gateways.new_servers(6), retry_slack=0.0)
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].is_down = True
        async with scene.running():
            began_s = trio.current_time()
            _, error = await scene.send(gateways.new_call("/lookups/1"))
        self.assertIs(calls.RefusalReason.NO_SERVER, error.reason)
        self.assertLess(trio.current_time() - began_s, 0.1)

    @clocked.on_test_clock
    async def test_failing_server_gets_fewer_requests(self):
        scene = gateways.GatewayFixture()
        scene.server_client.behaviours["b0"].status = 500
        async with scene.running():
            for number in range(30):
                await scene.send(gateways.new_call("/orders/1", body=str(number).encode()))
        is_failure = sum(name == "b0" for name, _ in scene.server_client.executed_calls)
        self.assertLess(is_failure, 6)


class StreamTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_interrupted_stream_resumes_on_another_server(self):
        """Guards against lost or duplicate events if a stream is interrupted within an event."""
        scene = gateways.GatewayFixture()
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].cut_after = 4
        async with scene.running() as nursery:
            nursery.start_soon(self._stop_interrupting, scene)
            reply, error = await scene.send(gateways.new_call("/streams/1"))
        self.assertIsNone(error)
        self.assertEqual(list(range(1, 11)), reply.event_ids)
        self.assertTrue(reply.is_complete)
        urgencies = [forwarded.urgency for _, _, forwarded in scene.server_client.received_calls]
        self.assertEqual([calls.Urgency.IN_TIME, calls.Urgency.RESUMED], urgencies)

    async def _stop_interrupting(self, scene):
        await trio.sleep(0.25)
        for behaviour in scene.server_client.behaviours.values():
            behaviour.cut_after = None

    @clocked.on_test_clock
    async def test_silent_stream_resumes_on_another_server_within_the_allowed_pause(self):
        """Guards against callers that wait for a head which has stopped sending events."""
        scene = gateways.GatewayFixture()
        async with scene.running() as nursery:
            nursery.start_soon(self._silence_after, scene, 3)
            reply, error = await scene.send(gateways.new_call("/streams/1"))
        self.assertIsNone(error)
        self.assertEqual(list(range(1, 11)), reply.event_ids)
        pauses = [b - a for a, b in zip(reply.chunk_times_s, reply.chunk_times_s[1:], strict=False)]
        self.assertLess(max(pauses), 0.4)
        self.assertEqual(1, len(scene.silent_servers))
        self.assertEqual(0, sum(scene.server_client.active_calls.values()))

    async def _silence_after(self, scene, events):
        await trio.sleep(0.01)
        (_, name, _), *_ = scene.server_client.received_calls
        scene.server_client.behaviours[name].stall_after = events

    @clocked.on_test_clock
    async def test_stream_that_cannot_resume_is_not_marked_complete(self):
        scene = gateways.GatewayFixture()
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].cut_after = 2
        async with scene.running():
            reply, error = await scene.send(gateways.new_call("/streams/1"))
        self.assertIsInstance(error, calls.ResponseLostError)
        self.assertFalse(reply.is_complete)
        self.assertEqual([1, 2, 3, 4], reply.event_ids)

    @clocked.on_test_clock
    async def test_caller_that_disconnects_frees_the_server_immediately(self):
        scene = gateways.GatewayFixture()
        async with scene.running():
            with trio.move_on_after(0.2):
                await scene.send(gateways.new_call("/streams/1"))
            self.assertEqual(0, sum(scene.server_client.active_calls.values()))
            self.assertEqual(0, sum(scene.loads.own_counts.values()))
            self.assertEqual(0, scene.gateway.in_flight)


class CrashTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_request_is_refused_after_crashing_three_servers(self):
        """Guards against a request whose retries crash one server after another."""
        scene = gateways.GatewayFixture()
        for name in scene.registered_servers:
            scene.server_client.behaviours[name].is_answer_lost = True
        async with scene.running():
            for _ in range(4):
                _, error = await scene.send(gateways.new_call("/lookups/1", body=b"poison"))
        self.assertEqual(3, len(scene.server_client.executed_calls))
        self.assertIs(calls.RefusalReason.CRASHES_SERVERS, error.reason)
        self.assertFalse(error.may_have_run)


class AdmissionTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_urgent_requests_go_first_when_capacity_returns(self):
        scene = gateways.GatewayFixture(gateways.new_servers(1, slots=1))
        scene.server_client.behaviours["b0"].event_count = 2
        async with scene.running() as nursery:
            for name in ("lookups/first", "lookups/ordinary", "streams/urgent"):
                nursery.start_soon(scene.send, gateways.new_call(f"/{name}"))
                await trio.sleep(0.005)
            await trio.sleep(1)
        sent = [forwarded.call.path for _, _, forwarded in scene.server_client.received_calls]
        self.assertEqual(["/lookups/first", "/streams/urgent", "/lookups/ordinary"], sent)

    @clocked.on_test_clock
    async def test_under_overload_responses_are_on_time_or_refused(self):
        """Guards against a queue in arrival order that makes every response late."""
        scene = gateways.GatewayFixture(gateways.new_servers(1, slots=1))
        durations_s = []

        async def ask(number):
            started_s = trio.current_time()
            call = gateways.new_call("/lookups/1", timeout_s=1.2, call_id=str(number))
            reply, _ = await scene.send(call)
            if reply.is_complete:
                durations_s.append(trio.current_time() - started_s)

        async with scene.running() as nursery:
            for number in range(330):
                nursery.start_soon(ask, number)
                await trio.sleep(0.015)
            await trio.sleep(1.5)
        on_time = sum(duration_s <= gateways.LOOKUPS.objective_s for duration_s in durations_s)
        self.assertGreater(len(durations_s), 140)
        self.assertGreater(on_time / len(durations_s), 0.8)

    @clocked.on_test_clock
    async def test_dead_server_is_tried_with_exponential_backoff(self):
        """Guards against a dead head that stays registered and exhausts the retry budget."""
        scene = gateways.GatewayFixture()
        attempts = []
        for number in range(300):
            if not scene.health.is_avoided("b0"):
                attempts.append(number)
                scene.health.avoid("b0", "no connection")
            await trio.sleep(0.1)
        self.assertLessEqual(len(attempts), 5)
        scene.health.record_outcome("b0", is_failure=False)
        await trio.sleep(13)
        scene.health.avoid("b0", "no connection")
        await trio.sleep(1.6)
        self.assertFalse(scene.health.is_avoided("b0"))

    @clocked.on_test_clock
    async def test_closed_zone_gets_no_requests_and_callers_are_refused_promptly(self):
        scene = gateways.GatewayFixture()
        scene.closed_zones.add("zone-a")
        async with scene.running():
            started_s = trio.current_time()
            _, error = await scene.send(gateways.new_call("/lookups/1"))
            self.assertLess(trio.current_time() - started_s, 0.5)
        self.assertEqual([], scene.server_client.received_calls)
        self.assertFalse(error.may_have_run)
        self.assertGreater(error.retry_after_s, 0)

    @clocked.on_test_clock
    async def test_cold_server_gets_no_more_requests_than_its_limit(self):
        """Guards against a server that crashes under twenty callers right after its start."""
        cold = attrs.evolve(gateways.new_servers(1, slots=100)["b0"], cold_until_s=1e9)
        scene = gateways.GatewayFixture({"b0": cold})
        async with scene.running() as nursery:
            for number in range(40):
                call = gateways.new_call("/lookups/1", call_id=str(number))
                nursery.start_soon(scene.send, call)
            await trio.sleep(0.9)
            self.assertLessEqual(len(scene.server_client.received_calls), 20)
            self.assertGreater(len(scene.server_client.received_calls), 5)
