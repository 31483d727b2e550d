"""Tests of the policy ``expected-wait``: learned queue times, forecasts and refusals."""

import unittest

import attrs
import trio

from standins import gateways, replicas
from tests import clocked
from toucanhold.gateway import attempt, first_event_times, outcomes

SERVICE = replicas.new_routes(replicas.new_engine()).services[replicas.SERVICE]
ROUTE = attrs.evolve(gateways.STREAMS, objective_s=0.4)


def new_attempt(route=ROUTE, **fields):
    server = gateways.new_servers(1)["b0"]
    now_s = trio.current_time()
    return outcomes.Attempt(server, SERVICE, route, "large", 1, now_s, **fields)


class FirstEventTimesTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_learned_queue_time_covers_nine_in_ten_first_events(self):
        times = first_event_times.FirstEventTimes()
        for tenth in range(1, 11):
            times.on_first_event(new_attempt(), 0.02 * tenth)
        self.assertAlmostEqual(1 - 0.18 / 0.4, times.queue_fraction(SERVICE, "large", ROUTE))

    @clocked.on_test_clock
    async def test_queue_time_stays_within_its_bounds(self):
        """Guards against a slow model whose requests all count as late from the start."""
        for elapsed_s, expected in ((3.0, 0.1), (0.001, 0.8)):
            times = first_event_times.FirstEventTimes()
            for _ in range(first_event_times.MIN_SAMPLES):
                times.on_first_event(new_attempt(), elapsed_s)
            self.assertEqual(expected, times.queue_fraction(SERVICE, "large", ROUTE))

    @clocked.on_test_clock
    async def test_too_few_old_and_resumed_samples_leave_the_fixed_queue_time(self):
        """Guards against a queue time that follows single requests or an earlier load."""
        times = first_event_times.FirstEventTimes()
        for _ in range(first_event_times.MIN_SAMPLES - 1):
            times.on_first_event(new_attempt(), 0.3)
        times.on_first_event(new_attempt(is_resumed=True), 0.3)
        times.on_served(new_attempt(), 2.0)
        fixed = attempt.QUEUE_TIME_FRACTION
        self.assertEqual(fixed, times.queue_fraction(SERVICE, "large", ROUTE))
        times.on_first_event(new_attempt(), 0.3)
        self.assertLess(times.queue_fraction(SERVICE, "large", ROUTE), fixed)
        await trio.sleep(first_event_times.MAX_SAMPLE_AGE_S + 1)
        self.assertEqual(fixed, times.queue_fraction(SERVICE, "large", ROUTE))

    @clocked.on_test_clock
    async def test_gateway_uses_the_learned_time_only_if_it_observes_attempts(self):
        """Guards against a change of the order of the queue while the policy is off."""
        for is_on, expected in ((False, attempt.QUEUE_TIME_FRACTION), (True, 0.8)):
            scene = gateways.GatewayFixture()
            observers = (scene.gateway.first_event_times,) if is_on else ()
            scene.gateway.attempt_observer = outcomes.ObserverGroup(observers)
            async with scene.running():
                for number in range(first_event_times.MIN_SAMPLES):
                    path = f"/lookups/{number}"
                    reply, _ = await scene.send(gateways.new_call(path))
                    self.assertEqual(200, reply.status)
            service = scene.routes.table.services["desk"]
            learned = scene.gateway.first_event_times
            fraction = learned.queue_fraction(service, "", gateways.LOOKUPS)
            self.assertAlmostEqual(expected, fraction)
