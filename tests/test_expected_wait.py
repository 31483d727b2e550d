"""Tests of the policy ``expected-wait``: learned queue times, forecasts and refusals."""

import collections
import unittest
from unittest import mock

import attrs
import trio

from standins import gateways, replicas
from tests import clocked
from toucanhold.gateway import (
    admission,
    call_state,
    calls,
    expected_wait,
    first_event_times,
    outcomes,
    queueing,
    slot_rates,
)

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
        fixed = call_state.QUEUE_TIME_FRACTION
        self.assertEqual(fixed, times.queue_fraction(SERVICE, "large", ROUTE))
        times.on_first_event(new_attempt(), 0.3)
        self.assertLess(times.queue_fraction(SERVICE, "large", ROUTE), fixed)
        await trio.sleep(first_event_times.MAX_SAMPLE_AGE_S + 1)
        self.assertEqual(fixed, times.queue_fraction(SERVICE, "large", ROUTE))

    @clocked.on_test_clock
    async def test_gateway_uses_the_learned_time_only_if_it_observes_attempts(self):
        """Guards against a change of the order of the queue while the policy is off."""
        for is_on, expected in ((False, call_state.QUEUE_TIME_FRACTION), (True, 0.8)):
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
            recorder = mock.Mock(wraps=queueing.QueuePolicy())
            scene.gateway.admission.policies = [recorder]
            await self._send_twice(scene)
            requests = [call.args[0] for call in recorder.record_started.call_args_list]
            self.assertEqual([False, True], [request.may_have_run for request in requests])
            for request in requests:
                arrived_s = request.deadline_s - request.caller_time_s
                allowed_s = request.latest_start_s - arrived_s
                self.assertAlmostEqual(expected * gateways.LOOKUPS.objective_s, allowed_s)

    async def _send_twice(self, scene):
        scene.server_client.behaviours["b0"].is_answer_lost = True
        for name in ("b1", "b2"):
            scene.loads.add(name)
        async with scene.running():
            await scene.send(gateways.new_call("/lookups/1", gateways.LOOKUPS.timeout_s))


@attrs.define(eq=False, slots=False)
class Site:
    """Callers, an admission and in-memory servers, each with six slots held for two seconds.

    :ivar started: arrival and start of each placed request
    :ivar refused: time, arrival and Retry-After of each refusal
    """

    is_on: bool = True
    server_count: int = 4
    held_s: float = 2.0
    timeout_s: float = 7.0
    started: list = attrs.field(factory=list)
    refused: list = attrs.field(factory=list)
    given_up: int = 0
    emptied_s: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.scene = gateways.GatewayFixture(gateways.new_servers(self.server_count))
        self.servers = self.scene.registered_servers
        self.policy = expected_wait.ExpectedWait()
        self.admission = admission.Admission(
            self.scene.gateway.admission.server_selector, [self.policy] if self.is_on else []
        )
        self.service = self.scene.routes.table.services["desk"]
        self.route = attrs.evolve(ROUTE, timeout_s=self.timeout_s)
        self.lost = {name: trio.Event() for name in self.servers}

    def new_request(self, number, arrived_s, **fields):
        now_s = trio.current_time()
        deadline_s = arrived_s + self.timeout_s
        field_values = {
            "max_wait_s": 0.3 * (deadline_s - now_s),
            "latest_start_s": arrived_s + 0.16,
            "route": self.route,
            "fingerprint": f"request-{number}",
            "deadline_s": deadline_s,
            "caller_time_s": deadline_s - now_s,
        }
        return queueing.PlacementRequest(self.service, "", 1, **(field_values | fields))

    async def attempt(self, number, arrived_s):
        async with self.admission.place(self.new_request(number, arrived_s)) as server:
            started_s = trio.current_time()
            self.started.append((arrived_s, started_s))
            if not self.admission.queue_length:
                self.emptied_s.append(started_s)
            name = server.server_id
            with trio.move_on_after(self.held_s * (0.5 + number * 7 % 10 / 10)):
                await self.lost[name].wait()
                return
            placed = outcomes.Attempt(server, self.service, self.route, "", 1, started_s)
            self.policy.on_served(placed, trio.current_time() - started_s)

    async def call(self, number):
        arrived_s = trio.current_time()
        for is_last in (False, True):
            try:
                await self.attempt(number, arrived_s)
                return
            except calls.CallError as error:
                now_s = trio.current_time()
                self.refused.append((now_s, arrived_s, error.retry_after_s))
                self.given_up += is_last
                third_s = (arrived_s + self.timeout_s - now_s) / 3
                await trio.sleep(min(error.retry_after_s, third_s))

    def lose(self, names):
        for name in names:
            del self.servers[name]
            self.lost[name].set()

    def restore(self, names):
        self.servers |= {name: gateways.new_servers(self.server_count)[name] for name in names}
        self.lost |= {name: trio.Event() for name in names}

    async def run(self, *phases, changes=()):
        """Run phases of (duration, arrivals per second) and changes of (time, function, names)."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.admission.run)
            for at_s, function, names in changes:
                nursery.start_soon(self._change_at, at_s, function, names)
            number = 0
            async with trio.open_nursery() as callers:
                for duration_s, rate_per_s in phases:
                    for _ in range(round(duration_s * rate_per_s)):
                        callers.start_soon(self.call, number)
                        number += 1
                        await trio.sleep(1 / rate_per_s)
            nursery.cancel_scope.cancel()

    async def _change_at(self, at_s, function, names):
        await trio.sleep(at_s)
        function(names)

    def cleared_s(self, since_s):
        """Return when the queue was first empty after a time."""
        return min(at_s for at_s in self.emptied_s if at_s > since_s)

    @property
    def last_refusal_s(self):
        return max(at_s for at_s, _, _ in self.refused)

    @property
    def late(self):
        return len(self.started) - self.on_time

    @property
    def forecast_refusals(self):
        return sum(count for _, _, count in self.policy.refusals())

    @property
    def on_time(self):
        return sum(started_s <= arrived_s + 0.16 for arrived_s, started_s in self.started)


class LoadTest(unittest.TestCase):
    # 24 slots, each held for 1.9 s on average, serve 12.6 requests per second.
    BURST = (6.0, 9.6), (14.0, 20.2), (16.0, 9.6)

    @clocked.on_test_clock
    async def test_burst_beyond_what_the_servers_can_handle(self):
        """Guards against refusals that cost on-time answers, or that outlast the backlog."""
        before, after = Site(is_on=False), Site()
        await before.run(*self.BURST)
        burst_end_s = trio.current_time() + 20.0
        await after.run(*self.BURST)
        self.assertGreater(after.forecast_refusals, 10)
        self.assertGreater(after.on_time, 0.95 * before.on_time)
        self.assertLess(after.given_up, 1.1 * before.given_up)
        self.assertLess(after.last_refusal_s, after.cleared_s(burst_end_s))
        for at_s, arrived_s, retry_after_s in after.refused:
            self.assertLessEqual(retry_after_s, (arrived_s + after.timeout_s - at_s) / 3)

    @clocked.on_test_clock
    async def test_servers_lost_during_the_burst_and_back_after_it(self):
        """Guards against refusals by the rate of a loss once the servers have returned."""
        site = Site()
        half = ("b0", "b1")
        await site.run(*self.BURST, changes=((10, site.lose, half), (21, site.restore, half)))
        self.assertGreater(site.forecast_refusals, 10)
        self.assertLess(site.last_refusal_s, site.cleared_s(21.0))

    @clocked.on_test_clock
    async def test_loss_of_all_servers_is_no_reason_for_a_forecast(self):
        """Guards against callers sent away by a rate of zero while servers return in a second."""
        site = Site()
        names = tuple(site.servers)
        await site.run(
            (6.0, 9.6), (3.0, 9.6), changes=((6, site.lose, names), (7, site.restore, names))
        )
        self.assertEqual((0, 0), (site.forecast_refusals, len(site.refused)))

    @clocked.on_test_clock
    async def test_entry_that_has_just_started_refuses_nothing_by_forecast(self):
        """Guards against refusals of the backlog after a restart of all entries."""
        site = Site()
        counts = []

        def check(site):
            counts.append((site.forecast_refusals, site.admission.queue_length > 50))

        await site.run((6.0, 60.0), changes=((slot_rates.MIN_BUSY_S, check, site),))
        self.assertEqual([(0, True)], counts)

    @clocked.on_test_clock
    async def test_forming_group_keeps_requests_waiting(self):
        """Guards against refusals of requests that a new group would serve within a second."""
        site = Site()
        selector = site.admission.server_selector
        with mock.patch.object(type(selector), "has_forming_group", return_value=True):
            await site.run((6.0, 9.6), (4.0, 24.0))
        self.assertEqual(0, site.forecast_refusals)

    @clocked.on_test_clock
    async def test_free_slots_that_another_policy_holds_back_cause_no_refusal(self):
        """Guards against refusals while a server has room, and of those that just time out."""
        site = Site()
        holdback = mock.Mock(wraps=queueing.QueuePolicy())
        holdback.may_start = lambda request, now_s: False
        site.admission.policies = [site.policy, holdback]
        with mock.patch.object(slot_rates.SlotRate, "slots_per_s", return_value=0.1):
            site.policy.record_queued(site.new_request(0, 0.0))
            await site.run((1.0, 20.0))
        self.assertEqual((0, 40), (site.forecast_refusals, len(site.refused)))

    @clocked.on_test_clock
    async def test_wait_that_just_ends_is_no_refusal_by_forecast(self):
        """Guards against a count of refusals by forecast that includes all others."""
        site = Site(server_count=0)
        waiter = queueing.Waiter(site.new_request(1, 0.0), 1, trio.current_time() - 0.01)
        self.assertFalse(site.admission._reject_by_forecast(waiter, 0, {}))

    @clocked.on_test_clock
    async def test_fast_plain_service_refuses_nothing_at_a_usual_load(self):
        """Guards against forecasts from the few requests that one entry sees of a service."""
        site = Site(server_count=3, held_s=0.045, timeout_s=1.0)
        await site.run((20.0, 13.6))
        self.assertEqual([], site.refused)


class ExpectedWaitTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_returned_request_goes_first_and_is_not_refused_again(self):
        """Guards against callers that return as told and are sent away a second time."""
        site = Site()
        await site.run((6.0, 9.6))
        first, other = (site.new_request(n, trio.current_time()) for n in (1000, 1001))
        policy = site.policy
        policy.record_started(first, None)
        with mock.patch.object(slot_rates.SlotRate, "slots_per_s", return_value=1.0):
            self.assertGreater(policy.expected_wait_s(first, 100), first.max_wait_s)
            policy.record_refused(first, 1.0)
            await trio.sleep(1.0)
            again = site.new_request(1000, trio.current_time())
            policy.record_queued(again)
            await trio.sleep(1.9)
            now_s = trio.current_time()
            self.assertLess(policy.order_key(again, now_s), policy.order_key(other, now_s))
            self.assertEqual(0.0, policy.expected_wait_s(again, 100))
            started = site.new_request(1002, now_s, may_have_run=True)
            elsewhere = site.new_request(1003, now_s, caller_time_s=5.0)
            for request in (started, elsewhere):
                self.assertEqual(0.0, policy.expected_wait_s(request, 100))

    @clocked.on_test_clock
    async def test_refused_callers_return_spread_within_a_third_of_their_time(self):
        """Guards against callers that return all at once, too early or not at all."""
        site = Site()
        request = site.new_request(1, trio.current_time())
        self.assertAlmostEqual(2.1, site.policy.retry_after_s(request, 5.0))
        site.policy.record_queued(request)
        delays_s = []
        with mock.patch.object(slot_rates.SlotRate, "slots_per_s", return_value=10.0):
            for _ in range(20):
                delays_s.append(site.policy.retry_after_s(request, 5.0))
                site.policy.record_refused(request, delays_s[-1])
        self.assertLessEqual(max(delays_s), 2.1)
        self.assertEqual(2, max(collections.Counter(round(d, 2) for d in delays_s).values()))

    def test_rate_follows_a_loss_and_a_return_of_servers(self):
        """Guards against forecasts by servers that are gone, or that ignore those that return."""
        rate = slot_rates.SlotRate()
        for tenth in range(80):
            rate.record_started(tenth / 10)
            if tenth >= 20:
                rate.record_ended(tenth / 10)
                rate.record_served(tenth / 10, 2.0)
        self.assertAlmostEqual(10.0, rate.slots_per_s(8.0), delta=2.0)
        for _ in range(15):
            rate.record_ended(8.0)
        self.assertGreater(rate.slots_per_s(8.0 + slot_rates.PERIOD_S), 8.0)
        self.assertLess(rate.slots_per_s(8.0 + 2 * slot_rates.PERIOD_S), 4.0)
        for _ in range(15):
            rate.record_started(10.0)
        self.assertGreater(rate.slots_per_s(10.0), 9.0)
        for _ in range(20):
            rate.record_ended(10.0)
        self.assertEqual(0.0, rate.slots_per_s(10.0))
