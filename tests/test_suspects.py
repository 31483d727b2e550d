"""Tests that a request is refused after two crashes and that unrelated requests are served."""

import contextlib
import logging
import unittest

import attrs
import trio
import trio.testing

from standins import backends, routers
from toucanhold.peers import exchange, messages
from toucanhold.routing import requests, suspects

SETTLE_TIME_S = 15
CRASHER = b"crash-the-server"


def on_test_clock(check, *arguments):
    return trio.run(check, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


def new_server(number):
    return backends.Server(
        f"vm-{number}",
        bearable=8,
        warm_after_requests=1,
        is_warm=True,
        is_crash_trigger=lambda request: request.body == CRASHER,
    )


@contextlib.asynccontextmanager
async def running(servers, entries):
    """Run a fleet whose entries exchange messages."""
    async with routers.running(servers, entries=entries) as fleet:
        for entry in list(fleet.entries.values()):
            connect(fleet, entry)
        await trio.sleep(SETTLE_TIME_S)
        yield fleet


def connect(fleet, entry):
    """Connect an entry to all other entries of the fleet."""
    own = entry.router.tracker.suspect_table.exchange
    for other in fleet.entries.values():
        theirs = other.router.tracker.suspect_table.exchange
        if other is not entry and entry.name not in theirs.connected():
            _pipe(fleet, own, entry.name, theirs, other.name)
            _pipe(fleet, theirs, other.name, own, entry.name)


def _pipe(fleet, source, source_name, target, target_name):
    outbox = exchange.Outbox()

    async def pump():
        while True:
            for body in await outbox.pop_all():
                await trio.sleep(0.001)
                target.deliver(source_name, messages.decode(body))

    fleet.nursery.start_soon(pump)
    source.attach(target_name, outbox)


async def send_request(fleet, entry, body, timeout_s=30.0):
    """Send a request and return its problem's slug and its outcome."""
    request = attrs.evolve(fleet.request(timeout_s=timeout_s), body=body)
    try:
        async with entry.router.dispatcher.serve(request) as answer:
            async for _ in answer.chunks:
                pass
    except requests.RequestError as error:
        return error.problem.slug, error.outcome.value
    return "whole", "ran"


class HarmlessCallers:
    """Callers whose requests do not crash servers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.outcomes = []

    async def send_repeatedly(self, entry, number):
        count = 0
        while True:
            count += 1
            self.outcomes.append(
                await send_request(self.fleet, entry, b"innocent %d %d" % (number, count))
            )
            await trio.sleep(0.05)

    def start(self, callers_per_entry):
        for number, entry in enumerate(list(self.fleet.entries.values()) * callers_per_entry):
            self.fleet.nursery.start_soon(self.send_repeatedly, entry, number)

    def failed(self):
        return [outcome for outcome in self.outcomes if outcome != ("whole", "ran")]


def restarts(servers):
    return sum(server.restarts for server in servers)


class CrasherTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_repeated_request_crashes_only_two_servers_of_the_fleet(self):
        # A caller sends a request that crashes every server that runs it to all entries, one after
        # another. If entries did not remember it, each attempt would crash three servers.
        on_test_clock(self._send_to_every_entry)

    async def _send_to_every_entry(self):
        servers = [new_server(number) for number in range(8)]
        async with running(servers, 3) as fleet:
            harmless = HarmlessCallers(fleet)
            harmless.start(3)
            outcomes = []
            for _ in range(3):
                for entry in fleet.entries.values():
                    outcomes.append(await send_request(fleet, entry, CRASHER))
                    await trio.sleep(0.5)
            self.assertEqual(2, restarts(servers))
            self.assertEqual(("refused-for-good", "unknown"), outcomes[0])
            self.assertEqual({("refused-for-good", "did-not-run")}, set(outcomes[1:]))
            await self._check_later_entry(fleet)
            await trio.sleep(30)
            self.assertEqual([], harmless.failed())
            self.assertGreater(len(harmless.outcomes), 500)
        self.assertEqual(2, restarts(servers))

    async def _check_later_entry(self, fleet):
        later = fleet.add_entry("entry-later")
        connect(fleet, later)
        await trio.sleep(SETTLE_TIME_S)
        refused = await send_request(fleet, later, CRASHER)
        self.assertEqual(("refused-for-good", "did-not-run"), refused)

    def test_request_sent_to_three_entries_at_once(self):
        # All three entries send it before any crash. Each crash is recorded before any retry.
        on_test_clock(self._send_at_once)

    async def _send_at_once(self):
        servers = [new_server(number) for number in range(8)]
        async with running(servers, 3) as fleet:
            async with trio.open_nursery() as nursery:
                for entry in fleet.entries.values():
                    nursery.start_soon(send_request, fleet, entry, CRASHER)
            self.assertLessEqual(restarts(servers), 3)
            for entry in fleet.entries.values():
                self.assertEqual("refused-for-good", (await send_request(fleet, entry, CRASHER))[0])
            self.assertLessEqual(restarts(servers), 3)

    def test_entries_isolate_suspected_requests_at_the_same_moment(self):
        """Guards against a harmless request that shares its isolated server with the crasher."""
        for bodies in ((CRASHER, b"innocent"), (b"innocent", CRASHER)):
            on_test_clock(self._isolate_at_once, bodies)

    async def _isolate_at_once(self, bodies):
        servers = [new_server(number) for number in range(4)]
        for server in servers:
            server.first_token_s, server.report_lag_s = 1.0, 1.0
        async with running(servers, 2) as fleet:
            outcomes = {}

            async def send(entry, body):
                outcomes[body] = await send_request(fleet, entry, body)

            sent = list(zip(fleet.entries.values(), bodies, strict=True))
            for entry, body in sent:
                request = attrs.evolve(fleet.request(), body=body)
                table = entry.router.tracker.suspect_table
                fingerprint = suspects.fingerprint_of(request)
                incident = table.add(fingerprint, ("vm-gone", "boot"), 2, False)
                table.set_verdict(fingerprint, incident, suspects.Verdict.DIED)
            await trio.sleep(1)
            async with trio.open_nursery() as nursery:
                for entry, body in sent:
                    nursery.start_soon(send, entry, body)
            self.assertEqual("refused-for-good", outcomes[CRASHER][0])
            self.assertEqual(("whole", "ran"), outcomes[b"innocent"])
            self.assertEqual(1, restarts(servers))

    def test_concurrent_harmless_requests_are_served_and_cleared(self):
        on_test_clock(self._concurrent_requests)

    async def _concurrent_requests(self):
        servers = [new_server(number) for number in range(3)]
        async with running(servers, 1) as fleet:
            (entry,) = fleet.entries.values()
            outcomes = {}

            async def send(body):
                outcomes[body] = await send_request(fleet, entry, body)

            async with trio.open_nursery() as nursery:
                for number in range(9):
                    nursery.start_soon(send, b"innocent %d" % number)
                await trio.sleep(0.01)
                nursery.start_soon(send, CRASHER)
            self.assertEqual("refused-for-good", outcomes.pop(CRASHER)[0])
            self.assertEqual({("whole", "ran")}, set(outcomes.values()))
            self.assertEqual(2, restarts(servers))
            table = entry.router.tracker.suspect_table
            self.assertEqual(1, len(table._suspects))

    def test_domain_failure_quarantines_no_request(self):
        # Five of eight servers fail at once, twice, with the same requests in flight both times.
        # All callers are eventually served and no request is refused permanently.
        on_test_clock(self._fail_domain)

    async def _fail_domain(self):
        servers = [new_server(number) for number in range(8)]
        async with running(servers, 2) as fleet:
            outcomes = []

            async def send(entry, body):
                # The entry's retry budget is limited, so callers retry as well.
                for _ in range(5):
                    outcome = await send_request(fleet, entry, body)
                    if outcome != ("backend-failed", "unknown"):
                        break
                    await trio.sleep(1)
                outcomes.append(outcome)

            for _ in range(2):
                async with trio.open_nursery() as nursery:
                    for entry in fleet.entries.values():
                        for number in range(10):
                            nursery.start_soon(send, entry, b"draft %d" % number)
                    await trio.sleep(0.05)
                    for server in servers[:5]:
                        server.restart()
                await trio.sleep(5)
            self.assertEqual({("whole", "ran")}, set(outcomes))
            for entry in fleet.entries.values():
                table = entry.router.tracker.suspect_table
                self.assertFalse([each for each in table._suspects if table.is_quarantined(each)])

    def test_broken_connection_to_a_live_server_is_no_failure(self):
        on_test_clock(self._break_connections)

    async def _break_connections(self):
        servers = [new_server(number) for number in range(2)]
        async with running(servers, 1) as fleet:
            (entry,) = fleet.entries.values()

            async def break_connections():
                for _ in range(2):
                    await trio.sleep(0.03)
                    for scope in [each for server in servers for each in server.request_scopes]:
                        scope.cancel()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(break_connections)
                await send_request(fleet, entry, b"unlucky")
            await trio.sleep(5)
            self.assertEqual(("whole", "ran"), await send_request(fleet, entry, b"unlucky"))
            self.assertEqual(0, restarts(servers))


class TableTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_table_is_bounded_expires_and_evicts_quarantined_requests_last(self):
        on_test_clock(self._bounds)

    async def _bounds(self):
        table = suspects.SuspectTable(exchange.Exchange())
        for boot in (("vm-1", "b1"), ("vm-2", "b2")):
            table.set_verdict(b"bad", table.add(b"bad", boot, 1, True), suspects.Verdict.DIED)
        for number in range(suspects.MAX_SUSPECTS + 50):
            await trio.sleep(0.1)
            table.add(b"%d" % number, (f"vm-{number}", "b"), 3, False)
        self.assertEqual(suspects.MAX_SUSPECTS, len(table._suspects))
        self.assertTrue(table.is_quarantined(b"bad"))
        await trio.sleep(suspects.RETENTION_S + 1)
        self.assertFalse(table.is_quarantined(b"bad"))
        self.assertFalse(table.is_suspect(b"1049"))

    def test_failures_with_concurrent_requests_do_not_quarantine(self):
        on_test_clock(self._concurrent_requests)

    async def _concurrent_requests(self):
        table = suspects.SuspectTable(exchange.Exchange())
        for number in range(5):
            for each in (b"one", b"two"):
                incident = table.add(each, (f"vm-{number}", "b"), 1, False)
                table.set_verdict(each, incident, suspects.Verdict.DIED)
        self.assertFalse(table.is_quarantined(b"one"))
        self.assertTrue(table.is_suspect(b"one"))

    def test_cleared_request_keeps_no_caller_waiting_for_a_verdict(self):
        """Guards against a wait until the deadline, with all other isolated requests behind it."""
        on_test_clock(self._clear_while_waiting)

    async def _clear_while_waiting(self):
        shared = exchange.Exchange()
        table = suspects.SuspectTable(shared)
        news = messages.IncidentNews(b"one", "vm-1", "b", 1, False, "pending")
        shared.deliver("peer", news)
        (incident,) = table.incidents(b"one")
        shared.deliver("peer", messages.ClearedNews(b"one"))
        shared.deliver("peer", attrs.evolve(news, verdict="died"))
        with trio.fail_after(1):
            await incident.settled.wait()
        self.assertTrue(table.is_suspect(b"one"))
