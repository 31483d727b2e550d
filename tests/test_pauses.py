"""Tests of callers' answers while sound backend servers pause."""

import random
import unittest

import attrs
import trio

from standins import gateways
from tests import clocked
from toucanhold.gateway import calls, retry_budget

SERVERS = 32
SLOTS = 6
STREAMS_PER_S = 80
EVENTS = 24
EVENT_INTERVAL_S = 0.05
# Pauses as (start, duration, fraction of the servers).
PAUSES = ((1.0, 1.2, 1.0), (3.5, 1.3, 1.0))
PARTIAL_PAUSES = ((1.0, 1.1, 0.6), (3.5, 1.3, 0.6))
END_S = 6.0
# Retries that a service tolerates in a window, whatever it is asked.
FEW_RETRIES = (0.0, 3.0, 12.0, 50.0)
AMPLE_RETRIES = 1000.0


@attrs.define
class Results:
    """What callers got.

    :ivar sent: number of requests sent
    :ivar refused: number of requests that were not sent to any server
    :ivar incomplete: requests that got no whole answer, and were not refused
    :ivar longest_gap_s: longest time between two events that a caller got
    """

    sent: int = 0
    refused: int = 0
    incomplete: list[tuple] = attrs.field(factory=list)
    longest_gap_s: float = 0.0


class PauseTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_streams_survive_a_pause_of_all_servers_with_few_retries(self):
        """Guards against streams ended for a retry that is then denied."""
        for retries in FEW_RETRIES:
            with self.subTest(retries=retries):
                results = await self._play(PAUSES, retries)
                self.assertEqual([], results.incomplete, results.sent)

    @clocked.on_test_clock
    async def test_streams_survive_a_pause_of_all_servers_with_ample_retries(self):
        """Guards against streams ended for a server that pauses as well."""
        results = await self._play(PAUSES, AMPLE_RETRIES)
        self.assertEqual([], results.incomplete, results.sent)

    @clocked.on_test_clock
    async def test_streams_survive_a_pause_of_most_servers_with_few_retries(self):
        """Guards against streams that were promised the same retry or slot and end without it."""
        for retries in (*FEW_RETRIES, AMPLE_RETRIES):
            with self.subTest(retries=retries):
                results = await self._play(PARTIAL_PAUSES, retries)
                self.assertEqual([], results.incomplete, results.sent)

    @clocked.on_test_clock
    async def test_streams_survive_a_pause_while_all_slots_are_in_use(self):
        """Guards against streams ended for a slot that another stream has taken."""
        results = await self._play(PARTIAL_PAUSES, AMPLE_RETRIES, slots=4)
        self.assertEqual([], results.incomplete, results.sent)

    async def _play(self, pauses, retries, slots=SLOTS):
        scene = gateways.GatewayFixture(gateways.new_servers(SERVERS, slots=slots))
        scene.gateway.retry_budget.bound = retry_budget.RetryBound(0.0, retries, 10.0)
        for name in scene.registered_servers:
            behaviour = scene.server_client.behaviours[name]
            behaviour.event_count, behaviour.event_interval_s = EVENTS, EVENT_INTERVAL_S
        results = Results()
        started_s = trio.current_time()
        async with scene.running(), trio.open_nursery() as nursery:
            nursery.start_soon(self._pause_servers, scene, pauses)
            while trio.current_time() < started_s + END_S:
                results.sent += 1
                nursery.start_soon(self._send, scene, results)
                await trio.sleep(1 / STREAMS_PER_S)
        self.assertEqual(0, sum(scene.server_client.active_calls.values()))
        self.assertEqual(0, sum(scene.loads.own_counts.values()))
        return results

    async def _pause_servers(self, scene, pauses):
        rng = random.Random(1)
        started_s = trio.current_time()
        for start_s, duration_s, fraction in pauses:
            await trio.sleep_until(started_s + start_s)
            for name in rng.sample(sorted(scene.registered_servers), round(fraction * SERVERS)):
                scene.server_client.behaviours[name].paused_until_s = (
                    started_s + start_s + duration_s
                )

    async def _send(self, scene, results):
        call = gateways.new_call("/streams/1", call_id=f"call-{results.sent}")
        reply, error = await scene.send(call)
        if isinstance(error, calls.CallError) and not error.may_have_run:
            results.refused += 1
        elif error is not None or reply.event_ids != list(range(1, EVENTS + 1)):
            results.incomplete.append((call.call_id, reply.status, len(reply.event_ids), error))
        times_s = reply.chunk_times_s
        for before_s, after_s in zip(times_s, times_s[1:], strict=False):
            results.longest_gap_s = max(results.longest_gap_s, after_s - before_s)
