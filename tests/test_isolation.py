"""Tests of entries that lose the key-value service, their peers, or both."""

import unittest

import trio
import trio.testing

from standins import site as sites
from tests import test_holds, test_revisions
from tools import demo
from toucanhold.configuration import store
from toucanhold.coordination import keyvalue

NAMES = test_revisions.NAMES
CHAT = {"model": "drafts", "messages": []}


async def chat(site, name):
    return await site.request(name, "POST", "/v1/chat/completions", CHAT)


async def serving_site(site):
    await test_revisions.apply(site, replicas=2)
    await trio.sleep(10)


class IsolationTest(unittest.TestCase):
    async def assert_serves(self, site, *names):
        for name in names:
            answer = await chat(site, name)
            self.assertEqual(200, answer.status, (name, answer.body))

    async def assert_refuses(self, site, name):
        answer = await chat(site, name)
        self.assertEqual(503, answer.status, answer.body)
        self.assertEqual("did-not-run", answer.json()["outcome"])
        self.assertIn("retry-after", answer.headers)

    @test_revisions.on_test_clock
    async def test_isolated_entry_stops_new_work_and_finishes_requests_in_flight(self):
        # Entry 2 loses platform and peers without an error. It can no longer learn that a zone
        # was taken out of service, so within three seconds it must start no new work. Requests in
        # flight succeed, and it serves again when it is reconnected.
        async with test_revisions.running() as site:
            await serving_site(site)
            site.backends.response_delay_s = 5
            async with trio.open_nursery() as nursery:
                answers = []

                async def in_flight():
                    answers.append(await chat(site, "entry-2"))

                nursery.start_soon(in_flight)
                await trio.sleep(0.1)
                site.platform.set_mode("silent", "entry-2")
                site.network.isolate("entry-2", NAMES)
                await trio.sleep(3)
                await self.assert_refuses(site, "entry-2")
            self.assertEqual([200], [answer.status for answer in answers])
            site.backends.response_delay_s = 0
            await self.assert_serves(site, "entry-0", "entry-1")
            site.network.heal()
            await trio.sleep(5)
            await self.assert_serves(site, *NAMES)

    @test_revisions.on_test_clock
    async def test_queued_request_is_refused_once_the_entry_is_isolated(self):
        # All slots are in use, so the request is queued. If it were started when a slot becomes
        # free, it could go to an availability zone that was taken out of service long before.
        async with test_revisions.running() as site:
            await test_revisions.apply(site, replicas=1)
            await trio.sleep(10)
            site.backends.response_delay_s = 8
            async with trio.open_nursery() as nursery:
                for _ in range(48):
                    nursery.start_soon(chat, site, "entry-2")
                await trio.sleep(0.1)
                site.platform.set_mode("silent", "entry-2")
                site.network.isolate("entry-2", NAMES)
                with trio.fail_after(4):
                    await self.assert_refuses(site, "entry-2")

    @test_revisions.on_test_clock
    async def test_entries_serve_during_a_platform_outage(self):
        async with test_revisions.running() as site:
            await serving_site(site)
            site.platform.set_mode("silent")
            for _ in range(60):
                await trio.sleep(10)
                await self.assert_serves(site, *NAMES)

    @test_revisions.on_test_clock
    async def test_minority_stops_and_majority_serves_during_a_platform_outage(self):
        async with test_revisions.running() as site:
            await serving_site(site)
            site.platform.set_mode("down")
            site.network.isolate("entry-0", NAMES)
            await trio.sleep(3)
            await self.assert_refuses(site, "entry-0")
            await self.assert_serves(site, "entry-1", "entry-2")

    @test_revisions.on_test_clock
    async def test_two_connected_entries_of_five_stop_in_a_partition(self):
        # The platform is down and a partition separates two entries from three. A zone is taken
        # out of service on the larger side. The two are still connected to each other but cannot
        # learn of it: a connection to one peer must not be enough to continue.
        names = tuple(f"entry-{number}" for number in range(5))
        async with test_revisions.running(names) as site:
            await serving_site(site)
            site.platform.set_mode("down")
            for name in names[:2]:
                site.network.isolate(name, names[2:])
            await test_holds.take_out(site, "entry-4")
            await trio.sleep(3)
            for name in names[:2]:
                await self.assert_refuses(site, name)
            await self.assert_serves(site, *names[2:])

    @test_revisions.on_test_clock
    async def test_entry_without_peers_serves_and_sees_changes_despite_dead_watches(self):
        # Entry 2 reaches no peer. Its watches are dead without an error, while its other calls to
        # the platform succeed. It must keep serving, and put a take-out in force within three
        # seconds.
        async with test_revisions.running() as site:
            await serving_site(site)
            site.network.isolate("entry-2", NAMES)
            site.platform.faults["entry-2"].silent_watches = True
            await trio.sleep(30)
            await self.assert_serves(site, "entry-2")
            await test_holds.take_out(site, "entry-0")
            await trio.sleep(2)
            self.assertEqual({"zone-a"}, test_holds.zones_out(site, "entry-2"))
            await self.assert_serves(site, "entry-2")

    @test_revisions.on_test_clock
    async def test_loss_of_all_peers_refuses_nothing_while_the_platform_answers(self):
        async with test_revisions.running() as site:
            await serving_site(site)
            site.network.isolate("entry-2", NAMES)
            for _ in range(100):
                await trio.sleep(0.05)
                await self.assert_serves(site, "entry-2")

    @test_revisions.on_test_clock
    async def test_only_entry_serves_during_a_platform_outage(self):
        # No other entry exists that could have taken a zone out of service.
        async with test_revisions.running(("entry-0",)) as site:
            await serving_site(site)
            site.platform.set_mode("down")
            await trio.sleep(60)
            await self.assert_serves(site, "entry-0")

    @test_revisions.on_test_clock
    async def test_one_of_two_stops_when_it_loses_the_other_and_the_platform(self):
        # The other entry may be alive on the far side of a partition, where an operator may take
        # zones out of service.
        async with test_revisions.running(("entry-0", "entry-1")) as site:
            await serving_site(site)
            site.platform.set_mode("down")
            await trio.sleep(10)
            await self.assert_serves(site, "entry-0", "entry-1")
            await site.kill("entry-1")
            await trio.sleep(3)
            await self.assert_refuses(site, "entry-0")

    @test_revisions.on_test_clock
    async def test_planned_stops_during_an_outage_do_not_lose_the_majority(self):
        # Two of three entries stop as planned while the platform is down. They announced it, so
        # they must not count as entries that may be alive behind a partition.
        async with test_revisions.running() as site:
            await serving_site(site)
            site.platform.set_mode("down")
            await trio.sleep(5)
            await site.stop("entry-1")
            await site.stop("entry-2")
            await trio.sleep(5)
            await self.assert_serves(site, "entry-0")


class PauseTest(unittest.TestCase):
    def test_resumed_entry_refuses_work_until_it_has_current_data(self):
        # The process is paused for ten seconds and a request is the first task to run after that.
        # All its data is outdated, and heartbeats from before the pause are still in its sockets.
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._pause, clock, clock=clock)

    async def _pause(self, clock):
        async with test_revisions.running() as site:
            await serving_site(site)
            site.platform.set_mode("silent", "entry-2")
            clock.jump(10)
            answer = await chat(site, "entry-2")
            self.assertEqual(503, answer.status)
            self.assertIn("paused", answer.json()["detail"])
            await trio.sleep(3)
            answer = await chat(site, "entry-2")
            self.assertEqual(200, answer.status, answer.body)

    def test_process_paused_during_a_take_out_routes_nothing_to_the_zone(self):
        # A real process is paused, a zone is taken out of service, and requests arrive as soon as
        # the process is resumed.
        trio.run(self._take_out_during_pause)

    async def _take_out_during_pause(self):
        site = sites.new_site(sites.log_folder(), ("zone-a", "zone-b"), 2, "releases", 0, 3)
        async with sites.running(site):
            document = sites.document_for(site, demo.SERVICES)
            document["rules"]["services"][0]["replicas"] = 2
            document["rules"]["services"] = document["rules"]["services"][:1]
            body = {"document": document, "expected": 0}
            await site.call_operators("entry-0", "PUT", "document", body)
            await site.wait_status("entry-2", lambda seen: seen["services"][0]["serving"] == 2)
            site.process_group.pause("entry-2")
            await trio.sleep(2.5)
            await site.call_operators("entry-0", "PUT", "availability-zones/zone-a", {"out": True})
            site.process_group.resume("entry-2")
            async with trio.open_nursery() as nursery:
                for _ in range(10):
                    nursery.start_soon(self._chat, site)
            routed = [line for line in site.process_group.log_text("entry-2").splitlines()]
            routed = [line for line in routed if "REQUEST_ROUTED" in line or '"event":2001' in line]
            self.assertFalse([line for line in routed if "vm-zone-a" in line])

    async def _chat(self, site):
        url = f"http://{site.entry('entry-2').callers}/v1/chat/completions"
        answer = await sites.call("POST", url, {"model": "drafts", "messages": []})
        self.assertIn(answer.status, (200, 503))


class StoredRecordsTest(unittest.TestCase):
    @test_revisions.on_test_clock
    async def test_malformed_record_crashes_no_entry_and_changes_nothing(self):
        # Someone writes a malformed value to a configuration key by hand, and all entries read
        # it at the same time.
        async with test_revisions.running() as site:
            await serving_site(site)
            outsider = site.platform.client("outsider")
            await outsider.commit([], [keyvalue.Write(store.HEAD_KEY, b"{")])
            await trio.sleep(30)
            for name in NAMES:
                self.assertEqual(200, (await chat(site, name)).status)
                self.assertEqual(1, site.app(name).configuration.current.number)
            answer = await test_revisions.apply(site, expected=1)
            self.assertEqual(500, answer.status)
            self.assertEqual("unreadable", answer.json()["kind"])
