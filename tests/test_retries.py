"""Tests of how the retries of requests are counted: what servers get, and nothing else."""

import unittest
import unittest.mock

import trio

from standins import gateways
from tests import clocked
from toucanhold.gateway import calls, retry_budget

SERVICE = "desk"
CAUSE = retry_budget.RetryCause.CONNECTION_LOST


def sent_count(scene):
    """Return the number of retries that servers have got, by the budget."""
    return sum(scene.gateway.retry_budget.sent_counts.values())


def arrivals_beyond_first(scene):
    """Return the number of times that a server received a call which another had received."""
    received = scene.server_client.received_calls
    return len(received) - len({forwarded.call.call_id for _, _, forwarded in received})


class CountedRetryTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_the_sum_of_counted_retries_is_what_servers_got(self):
        """Guards against a limit that is compared with decisions instead of arrivals."""
        scene = gateways.GatewayFixture(gateways.new_servers(4))
        scene.server_client.behaviours["b0"].is_answer_lost = True
        scene.server_client.behaviours["b1"].is_refusing = True
        async with scene.running() as nursery:
            for number in range(40):
                call = gateways.new_call("/lookups/1", call_id=f"call-{number}")
                nursery.start_soon(scene.send, call)
                await trio.sleep(0.01)
            await trio.sleep(5)
        self.assertGreater(sent_count(scene), 10)
        self.assertEqual(arrivals_beyond_first(scene), sent_count(scene))
        self.assertEqual(0, scene.gateway.retry_budget._state(SERVICE).ledger.pending)

    @clocked.on_test_clock
    async def test_servers_without_a_connection_cost_no_retries(self):
        scene = gateways.GatewayFixture(gateways.new_servers(3))
        scene.server_client.behaviours["b0"].is_down = True
        scene.server_client.behaviours["b1"].is_down = True
        async with scene.running():
            reply, _ = await scene.send(gateways.new_call("/lookups/1"))
        self.assertEqual(200, reply.status)
        self.assertEqual(0, sent_count(scene))

    @clocked.on_test_clock
    async def test_a_retry_without_room_at_any_server_is_given_back(self):
        """Guards against a limit that is used up by retries which nobody gets."""
        scene = gateways.GatewayFixture(gateways.new_servers(1, slots=1))
        scene.server_client.behaviours["b0"].is_answer_lost = True
        async with scene.running() as nursery:
            nursery.start_soon(scene.send, gateways.new_call("/lookups/1", call_id="first"))
            await trio.sleep(0.01)
            scene.server_client.behaviours["b0"].response_delay_s = 5.0
            nursery.start_soon(scene.send, gateways.new_call("/lookups/2", call_id="second"))
            await trio.sleep(8)
        use = scene.gateway.retry_budget.use(SERVICE)
        self.assertEqual(arrivals_beyond_first(scene), use.retries)

    @clocked.on_test_clock
    async def test_a_stream_whose_retry_finds_no_server_ends(self):
        """Guards against a stream that asks for a server again and again without a pause."""
        scene = gateways.GatewayFixture(gateways.new_servers(1))
        scene.server_client.behaviours["b0"].cut_after = 3
        async with scene.running() as nursery:
            nursery.start_soon(self._remove_servers, scene)
            _, error = await scene.send(gateways.new_call("/streams/1"))
        self.assertIsInstance(error, calls.ResponseLostError)
        self.assertEqual(0, scene.gateway.retry_budget._state(SERVICE).ledger.pending)

    async def _remove_servers(self, scene):
        await trio.sleep(0.1)
        scene.registered_servers.clear()

    @clocked.on_test_clock
    async def test_a_borrowed_retry_that_waited_too_long_is_not_sent(self):
        """Guards against a retry that is sent after the loan for it has ended."""
        scene = gateways.GatewayFixture(gateways.new_servers(2))
        scene.server_client.behaviours["b0"].is_answer_lost = True
        scene.loads.add("b1")
        budget = scene.gateway.retry_budget
        budget.limit_share = gateways.FixedLimitShare(0.0)
        lent = retry_budget.Retry(budget, SERVICE, CAUSE, budget.use(SERVICE), 0.0, 0.0)
        with unittest.mock.patch.object(type(budget), "acquire", return_value=lent):
            async with scene.running():
                _, error = await scene.send(gateways.new_call("/lookups/1"))
        self.assertTrue(error.may_have_run)
        self.assertEqual(1, len(scene.server_client.received_calls))
