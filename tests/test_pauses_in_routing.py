"""Tests that routing gives up no answer of a backend server that only pauses."""

import contextlib
import logging
import unittest

import trio

from standins import backends, routers
from tests.clocked import on_test_clock
from toucanhold.observing import view
from toucanhold.routing import requests, sse, watchdog

TOKENS = 200
# Longer than the watchdog waits for a report, shorter than a lost server's silence.
PAUSE_S = 4.5


class Scene:
    """Streams of one entry at backend servers that pause."""

    def __init__(self, site):
        self.site = site
        self.entry = site.entries["entry-0"]
        self.whole, self.failures, self.outcomes = 0, [], []

    @property
    def budget(self):
        return self.entry.router.dispatcher.retry_budget

    @property
    def started_requests(self):
        return sum(server.started_requests for server in self.site.servers)

    def keep_retries(self, count):
        retries = 0
        while self.budget.try_acquire():
            retries += 1
        for _ in range(min(count, retries)):
            self.budget.release()

    def pause(self, *servers, duration_s=PAUSE_S):
        for server in servers:
            server.paused_until_s = trio.current_time() + duration_s

    async def read(self, timeout_s=60.0):
        body = bytearray()
        try:
            request = self.site.request(timeout_s=timeout_s)
            async with self.entry.router.dispatcher.serve(request) as answer:
                async for chunk in answer.chunks:
                    body += chunk
        except requests.RequestError as error:
            self.failures.append(str(error))
            self.outcomes.append(error.outcome)
            return
        events = list(sse.EventSplitter().feed(bytes(body)))
        tokens = [int(event.event_id) for event in events if event.event_id]
        is_whole = tokens == list(range(TOKENS)) and events[-1].is_end
        self.whole += is_whole
        if not is_whole:
            self.failures.append(f"status {answer.status}, {len(tokens)} tokens")


@contextlib.asynccontextmanager
async def running(count=3, has_groups=False, **fields):
    fields = {"is_warm": True, "token_s": 0.02, "slots": 8} | fields
    servers = [backends.Server(f"vm-{number}", **fields) for number in range(count)]
    async with routers.running(
        servers, entries=1, has_groups=has_groups, token_count=lambda request: TOKENS
    ) as site:
        await trio.sleep(2)
        yield Scene(site), servers


class PauseTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def _read_through_pause(self, scene, streams, *servers, **fields):
        async with trio.open_nursery() as nursery:
            for _ in range(streams):
                nursery.start_soon(scene.read)
            await trio.sleep(1)
            scene.pause(*servers, **fields)
        self.assertEqual((streams, []), (scene.whole, scene.failures))

    @on_test_clock
    async def test_streams_survive_a_pause_of_all_servers(self):
        """Guards against streams that are ended although no server can go on with them."""
        for retries in (0, 3, 10):
            with self.subTest(retries=retries):
                async with running() as (scene, servers):
                    scene.keep_retries(retries)
                    await self._read_through_pause(scene, 20, *servers)
                    self.assertEqual(20, scene.started_requests)

    @on_test_clock
    async def test_streams_survive_a_pause_without_retries(self):
        """Guards against streams that are ended before a retry is granted."""
        for retries in (0, 3):
            with self.subTest(retries=retries):
                async with running() as (scene, servers):
                    scene.keep_retries(retries)
                    await self._read_through_pause(scene, 20, *servers[:2])
                    self.assertLessEqual(scene.started_requests, 20 + retries + 2)

    @on_test_clock
    async def test_streams_survive_a_pause_while_all_other_slots_are_in_use(self):
        """Guards against streams that are ended before a server has room for them."""
        async with running(2, slots=4, token_s=0.2) as (scene, servers):
            await self._read_through_pause(scene, 8, servers[0], duration_s=9)

    @on_test_clock
    async def test_slow_stream_is_not_ended_without_a_retry(self):
        """Guards against streams that are ended because their next event takes long."""
        async with running(2, token_s=watchdog.STALL_TIMEOUT_S + 1) as (scene, _):
            scene.keep_retries(0)
            await scene.read(timeout_s=3600.0)
            self.assertEqual((1, []), (scene.whole, scene.failures))

    @on_test_clock
    async def test_stream_goes_on_at_another_server_during_a_long_pause(self):
        """Guards against callers that wait for a silent server although another one has room."""
        async with running(2) as (scene, servers):
            began_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scene.read)
                await trio.sleep(1)
                (silent,) = [server for server in servers if server.running]
                scene.pause(silent, duration_s=50)
            self.assertEqual((1, []), (scene.whole, scene.failures))
            self.assertLess(trio.current_time() - began_s, 15)
            self.assertEqual(0, scene.entry.router.in_flight.total())

    @on_test_clock
    async def test_server_that_goes_on_before_its_backup_is_used(self):
        """Guards against tokens that are lost or repeated where both servers send them."""
        async with running(2, first_token_s=3.0) as (scene, servers):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scene.read)
                await trio.sleep(4)
                (silent,) = [server for server in servers if server.running]
                scene.pause(silent, duration_s=5)
            self.assertEqual((1, []), (scene.whole, scene.failures))
            self.assertEqual(2, scene.started_requests)
            self.assertEqual(0, scene.entry.router.in_flight.total())

    @on_test_clock
    async def test_failing_backup_does_not_end_the_silent_attempt(self):
        """Guards against a failure that is forwarded although the silent server goes on."""
        for fault in (
            backends.StreamFaults(status=500, error_type="out_of_memory"),
            backends.StreamFaults(cut_after=0),
        ):
            with self.subTest(fault=fault):
                async with running(2, first_token_s=0.5) as (scene, servers):
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(scene.read)
                        await trio.sleep(0.2)
                        (silent,) = [server for server in servers if server.running]
                        for server in servers:
                            server.faults = [fault] * 9
                        scene.pause(silent, duration_s=12)
                    self.assertEqual((1, []), (scene.whole, scene.failures))
                    self.assertGreater(scene.started_requests, 1)

    @on_test_clock
    async def test_new_requests_wait_for_servers_that_pause(self):
        """Guards against requests that are refused because each server missed one poll."""
        async with running(1, slots=64) as (scene, servers):
            async with trio.open_nursery() as nursery:
                for pause_s in (1.1, 1.2, 1.3):
                    scene.pause(*servers, duration_s=pause_s)
                    for _ in range(40):
                        nursery.start_soon(scene.read)
                        await trio.sleep(0.1)
            self.assertEqual((120, []), (scene.whole, scene.failures))

    @on_test_clock
    async def test_queued_requests_wait_for_servers_that_pause(self):
        """Guards against a queue that is emptied because each server missed one poll."""
        async with running(2, slots=2) as (scene, servers):
            await self._read_through_pause(scene, 8, *servers, duration_s=2.0)

    @on_test_clock
    async def test_broken_stream_waits_for_servers_that_pause(self):
        """Guards against streams that are lost as their next server has missed one poll."""
        async with running(2) as (scene, servers):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scene.read)
                await trio.sleep(1)
                (broken,) = [server for server in servers if server.running]
                scene.pause(*servers, duration_s=2.0)
                await trio.sleep(1.8)
                for scope in broken.request_scopes:
                    scope.cancel()
            self.assertEqual((1, []), (scene.whole, scene.failures))

    @on_test_clock
    async def test_requests_do_not_wait_for_silent_servers(self):
        """Guards against callers that wait until their deadline for servers that are gone."""
        async with running() as (scene, servers):
            scene.pause(*servers, duration_s=600)
            await trio.sleep(1.6)
            began_s = trio.current_time()
            await scene.read(timeout_s=30)
            self.assertEqual([requests.Outcome.DID_NOT_RUN], scene.outcomes)
            self.assertLess(trio.current_time() - began_s, view.SILENT_AFTER_S + 2)

    @on_test_clock
    async def test_refused_backup_does_not_tell_that_a_lost_attempt_did_not_run(self):
        """Guards against callers that send an order of work twice, told that it did not run."""
        async with running(2, has_groups=True) as (scene, servers):
            scene.keep_retries(1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scene.read)
                await trio.sleep(0.04)
                (silent,) = [server for server in servers if server.running]
                (other,) = [server for server in servers if server is not silent]
                other.faults = [backends.StreamFaults(status=503, error_type="wrong_group")] * 9
                other.is_crash_trigger = lambda request: _pause_briefly(other)
                scene.pause(silent, duration_s=20)
                while not other.running:
                    await trio.sleep(0.1)
                for scope in silent.request_scopes:
                    scope.cancel()
            self.assertEqual([requests.Outcome.UNKNOWN], scene.outcomes)

    @on_test_clock
    async def test_request_that_silences_servers_is_not_sent_to_all(self):
        """Guards against a request that takes down one server after another without a reset."""
        async with running(6) as (scene, servers):
            for server in servers:
                server.is_crash_trigger = lambda request, server=server: _go_dark(server)
            scene.site.nursery.start_soon(lambda: scene.read(timeout_s=50))
            await trio.sleep(60)
            self.assertLessEqual(sum(server.paused_until_s > 0 for server in servers), 2)


def _pause_briefly(server):
    server.paused_until_s = trio.current_time() + 0.4
    return False


def _go_dark(server):
    server.paused_until_s = float("inf")
    return False
