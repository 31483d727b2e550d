"""Tests of backend servers that turn requests away and ask for rest."""

import collections
import unittest

import trio

from standins import gateways
from tests import clocked
from toucanhold.registry import signals

REST_S = 3.0
# Requests that are on their way as a server asks for rest.
ON_THE_WAY_S = 0.5
MAX_REQUESTS_IN_REST = 2


def largest_rest_breach(scene, name, refusing_until_s):
    """Return the highest number of requests that a server got within a rest it had asked for."""
    times_s = [time_s for time_s, server, _ in scene.server_client.received_calls if server == name]
    return max(
        sum(told_s + ON_THE_WAY_S <= time_s < told_s + REST_S for time_s in times_s)
        for told_s in times_s
        if told_s < refusing_until_s
    )


class RestTest(unittest.TestCase):
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
    async def test_a_server_that_asks_for_rest_is_left_alone(self):
        """Guards against refusals that draw more requests, since they leave a server idle."""
        scene = gateways.GatewayFixture()
        behaviour = scene.server_client.behaviours["b0"]
        behaviour.is_refusing = True
        behaviour.signals = signals.Signals(rest_s=REST_S)
        async with scene.running():
            statuses = await self._send(scene, 8)
            refusing_until_s = trio.current_time()
            behaviour.is_refusing = False
            behaviour.signals = signals.Signals()
            await self._send(scene, 6)
        self.assertEqual({200: 160}, statuses)
        breach = largest_rest_breach(scene, "b0", refusing_until_s)
        self.assertLessEqual(breach, MAX_REQUESTS_IN_REST)
        self.assertIn("b0", dict(scene.server_client.executed_calls))
