"""Tests of admission: fair shares, deadlines and immediate refusals."""

import unittest

import trio
import trio.testing

from standins import backends, routers
from toucanhold.configuration import rules
from toucanhold.routing import fairness, requests


def on_test_clock(check, *arguments):
    """Run an async check on trio's test clock."""
    return trio.run(check, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


def rules_with(*workspaces, **fields):
    """Return rules with one plain service and the given workspaces."""
    plain = routers.plain_rules(**fields)
    return rules.Rules(plain.services, plain.availability_zones, workspaces)


def warm_server(**fields):
    """Return a warm server that runs two requests at once, each for half a second."""
    return backends.Server("vm-0", is_warm=True, slots=2, first_token_s=0.43, **fields)


class FairOrderTest(unittest.TestCase):
    def test_turns_follow_the_weights(self):
        order = fairness.FairOrder()
        for number in range(60):
            order.push("heavy", 1.0, number)
            order.push("light", 2.0, number)
        popped = []
        for _ in range(30):
            workspace, _ = order.pop()
            order.mark_ready(workspace)
            popped.append(workspace)
        self.assertEqual(20, popped.count("light"))

    def test_idle_workspace_earns_no_credit(self):
        # One workspace has run alone for a long time when another sends its first request. The new
        # one is next, but must not block the first until it has received as much service.
        order = fairness.FairOrder()
        for _ in range(100):
            order.charge("old", 1.0)
        for number in range(10):
            order.push("old", 1.0, number)
            order.push("new", 1.0, number)
        popped = []
        for _ in range(6):
            workspace, _ = order.pop()
            order.mark_ready(workspace)
            popped.append(workspace)
        self.assertEqual(3, popped.count("new"))
        self.assertEqual("new", popped[0])

    def test_idle_workspaces_are_evicted(self):
        # Callers name a new workspace with each request. Memory must stay bounded, and workspaces
        # with queued requests must keep their place.
        order = fairness.FairOrder()
        order.push("waiting", 1.0, "first")
        for number in range(5 * fairness.MAX_IDLE_WORKSPACES):
            order.charge(f"made-up-{number}", 1.0)
        self.assertLessEqual(len(order._workspaces), fairness.MAX_IDLE_WORKSPACES + 1)
        self.assertEqual(("waiting", "first"), order.pop())


class FairQueueTest(unittest.TestCase):
    def test_unknown_adapters_leave_no_queues_behind(self):
        on_test_clock(self._unknown_adapters)

    async def _unknown_adapters(self):
        async with routers.running([warm_server()], entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            for number in range(50):
                answer = await site.send_request(entry, adapter=f"made-up-{number}")
                self.assertEqual("no-capacity", answer)
            self.assertEqual({}, entry.router.admission._queues)

    def test_an_entry_that_stops_last_serves_its_callers(self):
        """Guards against callers who get a 500 once no entry is listed as serving."""
        on_test_clock(self._serve_unlisted)

    async def _serve_unlisted(self):
        async with routers.running([warm_server()], entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            self.assertEqual("whole", await site.send_request(entry))
            site.entries.clear()
            self.assertEqual("whole", await site.send_request(entry))

    def test_small_workspace_is_served_while_a_large_one_floods(self):
        # 40 callers of one workspace and one of another share two slots. First come, first served
        # would give the small workspace a fortieth; its fair share is half of the slots.
        on_test_clock(self._flood)

    async def _flood(self):
        async with routers.running([warm_server()], entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            site.start_callers(entry, 40, workspace="large")
            await trio.sleep(5)
            began_s = trio.current_time()
            for _ in range(20):
                self.assertEqual("whole", await site.send_request(entry, workspace="small"))
            self.assertLess(trio.current_time() - began_s, 20 * 1.1)

    def test_workspace_does_not_exceed_its_limit_in_flight(self):
        on_test_clock(self._limit)

    async def _limit(self):
        server = backends.Server("vm-0", is_warm=True, slots=8, first_token_s=0.43)
        limited = rules_with(rules.Workspace("capped", max_in_flight=2))
        async with routers.running([server], entries=1, rules=limited) as site:
            await trio.sleep(2)
            site.start_callers(site.entries["entry-0"], 6, workspace="capped")
            await trio.sleep(5)
            self.assertEqual(2, server.max_running)
            site.start_callers(site.entries["entry-0"], 3, workspace="other")
            await trio.sleep(5)
        self.assertEqual(5, server.max_running)

    def test_request_that_cannot_be_served_in_time_is_refused_at_once(self):
        # Two slots, half a second per request, and a queue that takes seconds. A caller with one
        # second left must be refused at once, with a time to retry; while queued, it could not
        # ask another entry.
        on_test_clock(self._refuse)

    async def _refuse(self):
        async with routers.running([warm_server()], entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            site.start_callers(entry, 20, workspace="large")
            await trio.sleep(5)
            began_s = trio.current_time()
            with self.assertRaises(requests.RequestError) as raised:
                request = site.request(workspace="large", timeout_s=1)
                async with entry.router.dispatcher.serve(request):
                    pass
            self.assertEqual(began_s, trio.current_time())
            self.assertIs(requests.Outcome.DID_NOT_RUN, raised.exception.outcome)
            self.assertTrue(0.5 < raised.exception.retry_after_s < 10)

    def test_deadline_that_passes_while_waiting_ends_the_wait(self):
        # No request has finished yet, so no wait can be estimated; the deadline ends the wait.
        on_test_clock(self._deadline)

    async def _deadline(self):
        server = backends.Server("vm-0", is_warm=True, slots=1, first_token_s=100)
        async with routers.running([server], entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            site.start_callers(entry, 1, timeout_s=300)
            await trio.sleep(1)
            began_s = trio.current_time()
            self.assertEqual("deadline", await site.send_request(entry, timeout_s=3))
            self.assertAlmostEqual(3, trio.current_time() - began_s, delta=0.1)
            self.assertEqual(0, entry.router.admission.waiting())

    def test_caller_that_disconnects_is_removed_from_the_queue_at_once(self):
        on_test_clock(self._disconnect)

    async def _disconnect(self):
        server = backends.Server("vm-0", is_warm=True, slots=1, first_token_s=100)
        async with routers.running([server], entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            site.start_callers(entry, 1, timeout_s=300)
            await trio.sleep(1)
            self.assertEqual(
                "left", await site.send_request(entry, disconnect_after_s=1, timeout_s=60)
            )
            self.assertEqual(0, entry.router.admission.waiting())
            self.assertEqual(1, entry.router.in_flight.total())

    def test_requests_wait_for_the_first_report_of_an_entry_that_starts(self):
        """Guards against refusals at an entry that has started and asked no server yet."""
        on_test_clock(self._send_at_start)

    async def _send_at_start(self):
        server = backends.Server("vm-0", is_warm=True)
        async with routers.running([server], entries=1) as site:
            self.assertEqual("whole", await site.send_request(site.entries["entry-0"]))

    def test_waiting_requests_are_refused_when_the_last_server_is_lost(self):
        # All queued requests are refused when the server is lost, not at their deadlines.
        on_test_clock(self._lose_server)

    async def _lose_server(self):
        server = backends.Server("vm-0", is_warm=True, slots=1, first_token_s=100)
        async with routers.running([server], entries=1) as site:
            entry = site.entries["entry-0"]
            await trio.sleep(2)
            site.start_callers(entry, 1, timeout_s=300)
            await trio.sleep(1)
            server.is_up = False
            began_s = trio.current_time()
            self.assertEqual("no-capacity", await site.send_request(entry, timeout_s=60))
            self.assertLess(trio.current_time() - began_s, 2)
