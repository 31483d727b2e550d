"""Tests of the answers that callers get when an engine fails and no other one answers."""

import json
import unittest

import trio

from standins import backends, routers
from tests.clocked import on_test_clock

FAILURE = backends.StreamFaults(status=500, error_type="out_of_memory")
REFUSAL = backends.StreamFaults(status=503, error_type="not_serving")
CUT = backends.StreamFaults(cut_after=0)
STALL = backends.StreamFaults(stall_after=0)


class FailureAnswerTest(unittest.TestCase):
    """An engine's whole answer is not discarded for a retry that gets none."""

    async def _check_failure_is_answered(self, *faults, has_retries=True, is_left_alone=False):
        servers = [backends.Server(f"vm-{number}", is_warm=True) for number in range(2)]
        pending = list(faults)
        for server in servers:
            server.faults = pending
        async with routers.running(servers, entries=1, has_groups=True) as site:
            await trio.sleep(2)
            dispatcher = site.entries["entry-0"].router.dispatcher
            while not has_retries and dispatcher.retry_budget.try_acquire():
                pass
            if is_left_alone:
                servers[1].is_up = False
                await trio.sleep(2)
                servers[0].is_crash_trigger = lambda request: _end(servers[0])
            async with dispatcher.serve(site.request(timeout_s=5.0)) as answer:
                body = b"".join([chunk async for chunk in answer.chunks])
            self.assertEqual(500, answer.status)
            self.assertEqual("out_of_memory", json.loads(body)["error"]["type"])

    @on_test_clock
    async def test_it_is_forwarded_if_no_retry_is_left(self):
        await self._check_failure_is_answered(FAILURE, has_retries=False)

    @on_test_clock
    async def test_it_is_forwarded_if_all_attempts_fail(self):
        await self._check_failure_is_answered(*[FAILURE] * 4)

    @on_test_clock
    async def test_it_is_forwarded_if_the_next_connection_breaks(self):
        await self._check_failure_is_answered(FAILURE, CUT, CUT, CUT)

    @on_test_clock
    async def test_it_is_forwarded_if_the_next_engine_refuses_the_request(self):
        await self._check_failure_is_answered(FAILURE, REFUSAL, REFUSAL, REFUSAL)

    @on_test_clock
    async def test_it_is_forwarded_if_the_next_engine_is_silent_until_the_deadline(self):
        await self._check_failure_is_answered(FAILURE, STALL)

    @on_test_clock
    async def test_it_is_forwarded_if_no_server_is_left(self):
        await self._check_failure_is_answered(FAILURE, is_left_alone=True)


def _end(server):
    """End a server that still finishes the request that it runs."""
    server.is_up = False
    return False
