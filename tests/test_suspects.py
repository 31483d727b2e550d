"""Requests that crash backend servers are found out by two crashes; innocent ones are served."""

import contextlib
import logging
import unittest

import attrs
import trio
import trio.testing

from standins import backends, routers
from toucanhold.peers import exchange, messages
from toucanhold.routing import requests, suspects

SETTLED_S = 15
CRASHER = b"crash-the-server"


def on_test_clock(check, *arguments):
    return trio.run(check, *arguments, clock=trio.testing.MockClock(autojump_threshold=0))


def new_server(number):
    return backends.Server(
        f"vm-{number}",
        bearable=8,
        warm_after_requests=1,
        warm=True,
        crashes=lambda request: request.body == CRASHER,
    )


@contextlib.asynccontextmanager
async def running(servers, entries):
    """A fleet whose entries hear each other."""
    async with routers.running(servers, entries=entries) as fleet:
        for entry in list(fleet.entries.values()):
            connect(fleet, entry)
        await trio.sleep(SETTLED_S)
        yield fleet


def connect(fleet, entry):
    """Connect an entry to those that are connected already."""
    own = entry.router.tracker.table.exchange
    for other in fleet.entries.values():
        theirs = other.router.tracker.table.exchange
        if other is not entry and entry.name not in theirs.connected():
            _pipe(fleet, own, entry.name, theirs, other.name)
            _pipe(fleet, theirs, other.name, own, entry.name)


def _pipe(fleet, source, source_name, target, target_name):
    outbox = exchange.Outbox()

    async def pump():
        while True:
            for body in await outbox.take():
                await trio.sleep(0.001)
                target.deliver(source_name, messages.decode(body))

    fleet.nursery.start_soon(pump)
    source.attach(target_name, outbox)


async def ask(fleet, entry, body, timeout_s=30.0):
    """Return how a request ended."""
    request = attrs.evolve(fleet.request(timeout_s=timeout_s), body=body)
    try:
        async with entry.router.dispatcher.serve(request) as answer:
            async for _ in answer.chunks:
                pass
    except requests.RequestError as error:
        return error.problem.slug, error.outcome.value
    return "whole", "ran"


class Innocents:
    """Callers whose requests crash nothing."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.ends = []

    async def keep_asking(self, entry, number):
        count = 0
        while True:
            count += 1
            self.ends.append(await ask(self.fleet, entry, b"innocent %d %d" % (number, count)))
            await trio.sleep(0.05)

    def start(self, callers_per_entry):
        for number, entry in enumerate(list(self.fleet.entries.values()) * callers_per_entry):
            self.fleet.nursery.start_soon(self.keep_asking, entry, number)

    def lost(self):
        return [end for end in self.ends if end != ("whole", "ran")]


def restarts(servers):
    return sum(server.restarts for server in servers)


class CrasherTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_two_crashes_in_the_fleet_however_often_it_is_sent(self):
        # A caller sends a request that crashes each server which runs it, and sends it again at
        # every entry, one after another. Without a memory of it each sending costs three servers.
        on_test_clock(self._resend)

    async def _resend(self):
        servers = [new_server(number) for number in range(8)]
        async with running(servers, 3) as fleet:
            innocents = Innocents(fleet)
            innocents.start(3)
            ends = []
            for _ in range(3):
                for entry in fleet.entries.values():
                    ends.append(await ask(fleet, entry, CRASHER))
                    await trio.sleep(0.5)
            self.assertEqual(2, restarts(servers))
            self.assertEqual(("refused-for-good", "unknown"), ends[0])
            self.assertEqual({("refused-for-good", "did-not-run")}, set(ends[1:]))
            await self._check_later_entry(fleet)
            await trio.sleep(30)
            self.assertEqual([], innocents.lost())
            self.assertGreater(len(innocents.ends), 500)
        self.assertEqual(2, restarts(servers))

    async def _check_later_entry(self, fleet):
        later = fleet.add_entry("entry-later")
        connect(fleet, later)
        await trio.sleep(SETTLED_S)
        refused = await ask(fleet, later, CRASHER)
        self.assertEqual(("refused-for-good", "did-not-run"), refused)

    def test_sent_at_three_entries_at_once(self):
        # All three send before any can know. Each crash is counted before anything is retried.
        on_test_clock(self._at_once)

    async def _at_once(self):
        servers = [new_server(number) for number in range(8)]
        async with running(servers, 3) as fleet:
            async with trio.open_nursery() as nursery:
                for entry in fleet.entries.values():
                    nursery.start_soon(ask, fleet, entry, CRASHER)
            self.assertLessEqual(restarts(servers), 3)
            for entry in fleet.entries.values():
                self.assertEqual("refused-for-good", (await ask(fleet, entry, CRASHER))[0])
            self.assertLessEqual(restarts(servers), 3)

    def test_innocents_in_flight_with_it_are_served_and_cleared(self):
        on_test_clock(self._company)

    async def _company(self):
        servers = [new_server(number) for number in range(3)]
        async with running(servers, 1) as fleet:
            (entry,) = fleet.entries.values()
            ends = {}

            async def send(body):
                ends[body] = await ask(fleet, entry, body)

            async with trio.open_nursery() as nursery:
                for number in range(9):
                    nursery.start_soon(send, b"innocent %d" % number)
                await trio.sleep(0.01)
                nursery.start_soon(send, CRASHER)
            self.assertEqual("refused-for-good", ends.pop(CRASHER)[0])
            self.assertEqual({("whole", "ran")}, set(ends.values()))
            self.assertEqual(2, restarts(servers))
            table = entry.router.tracker.table
            self.assertEqual(1, len(table._suspects))

    def test_domain_that_goes_dark_condemns_nobody(self):
        # Five of eight servers lose power at once, twice, with the same requests in flight both
        # times. Their callers are served in the end and nobody is refused for good.
        on_test_clock(self._dark)

    async def _dark(self):
        servers = [new_server(number) for number in range(8)]
        async with running(servers, 2) as fleet:
            ends = []

            async def send(entry, body):
                # An entry retries within a budget; its callers do the rest.
                for _ in range(5):
                    end = await ask(fleet, entry, body)
                    if end != ("backend-failed", "unknown"):
                        break
                    await trio.sleep(1)
                ends.append(end)

            for _ in range(2):
                async with trio.open_nursery() as nursery:
                    for entry in fleet.entries.values():
                        for number in range(10):
                            nursery.start_soon(send, entry, b"draft %d" % number)
                    await trio.sleep(0.05)
                    for server in servers[:5]:
                        server.restart()
                await trio.sleep(5)
            self.assertEqual({("whole", "ran")}, set(ends))
            for entry in fleet.entries.values():
                table = entry.router.tracker.table
                self.assertFalse([each for each in table._suspects if table.is_quarantined(each)])

    def test_cut_connection_of_a_living_server_is_no_death(self):
        on_test_clock(self._cut)

    async def _cut(self):
        servers = [new_server(number) for number in range(2)]
        async with running(servers, 1) as fleet:
            (entry,) = fleet.entries.values()

            async def cut():
                for _ in range(2):
                    await trio.sleep(0.03)
                    for scope in [each for server in servers for each in server.scopes]:
                        scope.cancel()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(cut)
                await ask(fleet, entry, b"unlucky")
            await trio.sleep(5)
            self.assertEqual(("whole", "ran"), await ask(fleet, entry, b"unlucky"))
            self.assertEqual(0, restarts(servers))


class TableTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_list_is_bounded_ages_and_forgets_the_condemned_last(self):
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

    def test_deaths_in_company_alone_condemn_nobody(self):
        on_test_clock(self._company)

    async def _company(self):
        table = suspects.SuspectTable(exchange.Exchange())
        for number in range(5):
            for each in (b"one", b"two"):
                incident = table.add(each, (f"vm-{number}", "b"), 1, False)
                table.set_verdict(each, incident, suspects.Verdict.DIED)
        self.assertFalse(table.is_quarantined(b"one"))
        self.assertTrue(table.is_suspect(b"one"))
