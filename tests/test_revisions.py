"""Entries get newer configurations and plans from their peers and never apply older ones."""

import contextlib
import functools
import unittest

import trio
import trio.testing

from standins import entries, memory
from toucanhold.backends import client
from toucanhold.configuration import holder, snapshot
from toucanhold.plans import plan

ZONES = ("zone-a", "zone-b")
NAMES = tuple(f"entry-{number}" for number in range(3))


def document(replicas=1):
    vms = [
        {
            "vm": f"vm-{zone}-{number}",
            "address": f"127.0.0.1:{index * 10 + number + 1}",
            "availability_zone": zone,
            "fabric_domain": f"fabric-{zone}",
        }
        for index, zone in enumerate(ZONES)
        for number in range(2)
    ]
    service = {"name": "drafts", "model": "writer", "replicas": replicas, "vms_per_replica": 2}
    zones = [{"name": zone} for zone in ZONES]
    rules = {"availability_zones": zones, "services": [service]}
    return {"format_version": 1, "inventory": {"vms": vms}, "rules": rules}


@contextlib.asynccontextmanager
async def running(names=NAMES, started=None):
    async with trio.open_nursery() as nursery:
        site = entries.MemorySite(nursery, names)
        for vm in document()["inventory"]["vms"]:
            site.backends.reports[vm["address"]] = client.Report(
                vm["vm"], "boot-1", client.Warmth.WARM
            )
        await site.start(*(names if started is None else started))
        yield site
        nursery.cancel_scope.cancel()


def on_test_clock(test):
    @functools.wraps(test)
    def run(self):
        trio.run(test, self, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


async def apply(site, name="entry-0", expected=0, replicas=1):
    body = {"document": document(replicas), "expected": expected}
    return await site.call_operators(name, "PUT", "document", body)


class RevisionsTest(unittest.TestCase):
    @on_test_clock
    async def test_entry_without_platform_gets_changes_from_peers(self):
        # Only entry 2 is cut off from the key-value service. An operator's change reaches the
        # other two by their watches; entry 2 must detect the higher number in their heartbeats.
        async with running() as site:
            await trio.sleep(2)
            site.platform.set_mode("silent", "entry-2")
            await apply(site)
            await trio.sleep(2)
            self.assertEqual(1, site.app("entry-2").configuration.current.number)
            groups = list(site.app("entry-2").plans.groups())
            self.assertEqual(["drafts"], [group.service for group in groups])

    @on_test_clock
    async def test_entry_started_in_an_outage_serves_after_sync_with_peers(self):
        # The key-value service is down for all entries. A replaced entry starts with only its
        # settings. It must refuse requests as not run until it has configuration and plan from
        # its peers, and serve them after that.
        async with running(started=NAMES[:2]) as site:
            await apply(site)
            await trio.sleep(5)
            site.platform.set_mode("down")
            site.network.isolate("entry-2", NAMES)
            await site.start("entry-2")
            await trio.sleep(3)
            chat = {"model": "drafts", "messages": []}
            answer = await site.request("entry-2", "POST", "/v1/chat/completions", chat)
            self.assertEqual(503, answer.status)
            self.assertEqual("did-not-run", answer.json()["outcome"])
            site.network.heal()
            await trio.sleep(6)
            answer = await site.request("entry-2", "POST", "/v1/chat/completions", chat)
            self.assertEqual(200, answer.status, answer.body)

    @on_test_clock
    async def test_dead_watches_do_not_delay_changes(self):
        # The watches of all entries have failed undetected and report no change until the next
        # regular read, 20 s later. The entry that accepts the change reads it itself, and its
        # peers must detect the number in its heartbeats.
        async with running() as site:
            await apply(site)
            await trio.sleep(2)
            for faults in site.platform.faults.values():
                faults.silent_watches = True
            await apply(site, expected=1, replicas=2)
            await trio.sleep(1)
            for name in NAMES:
                self.assertEqual(2, site.app(name).configuration.current.number)

    @on_test_clock
    async def test_any_entry_reports_the_configuration_of_all(self):
        # Entries 0 and 2 cannot reach each other; entry 1 must forward the facts of each.
        async with running() as site:
            site.network.partition("entry-0", "entry-2")
            await trio.sleep(4)
            await apply(site)
            await trio.sleep(3)
            for name in NAMES:
                status = (await site.call_operators(name, "GET", "status")).json()
                numbers = {each["entry"]: each["configuration"] for each in status["entries"]}
                self.assertEqual(dict.fromkeys(NAMES, 1), numbers)

    @on_test_clock
    async def test_entry_synced_by_peers_reads_correctly_after_its_outage(self):
        # Entry 2 read configuration 1 itself, got number 2 from peers during its outage, and
        # afterwards reads from the store's revision of number 1 again. It must end with the same
        # configuration as all others.
        async with running() as site:
            await apply(site)
            await trio.sleep(2)
            site.platform.set_mode("down", "entry-2")
            await apply(site, expected=1, replicas=2)
            await trio.sleep(3)
            self.assertEqual(2, site.app("entry-2").configuration.current.number)
            zone = {"out": True}
            answer = await site.call_operators("entry-0", "PUT", "availability-zones/zone-b", zone)
            self.assertEqual(200, answer.status)
            site.platform.set_mode("up", "entry-2")
            await trio.sleep(5)
            synced = site.app("entry-2").configuration.current
            self.assertEqual(site.app("entry-0").configuration.current, synced)
            self.assertEqual({"zone-b"}, synced.zones_out)
            self.assertEqual(2, synced.rules.services[0].replicas)

    @on_test_clock
    async def test_stopping_entry_is_removed_from_all_address_lists_at_once(self):
        # Callers must not be sent to a stopping entry. The key-value service does not respond, so
        # its peers learn of the stop only from the entry itself, over their streams.
        async with running() as site:
            await apply(site)
            await trio.sleep(3)
            site.platform.set_mode("silent")
            site.entries["entry-2"].stop_requested.set()
            await trio.sleep(0.05)
            answer = await site.request("entry-0", "GET", "/toucanhold/v1/addresses")
            addresses = [each["address"] for each in answer.json()["addresses"]]
            self.assertNotIn("entry-2:1", addresses)
            self.assertEqual(2, len(addresses))


class RevisionOrderTest(unittest.TestCase):
    def test_older_delta_is_never_applied(self):
        # A peer's delta arrives after a later configuration was read from the key-value service.
        newer = snapshot.Delta(0, 5, (_zones_part(5, "zone-a"),))
        older = snapshot.Delta(0, 4, (_zones_part(4, "zone-b"),))
        config_holder = holder.ConfigurationHolder()
        self.assertTrue(config_holder.apply(newer, "platform"))
        self.assertFalse(config_holder.apply(older, "peer"))
        self.assertEqual({"zone-a"}, config_holder.current.zones_out)

    def test_delta_with_a_gap_is_rejected(self):
        config_holder = holder.ConfigurationHolder()
        with self.assertRaises(snapshot.SnapshotError):
            config_holder.apply(snapshot.Delta(3, 5, ()), "peer")
        self.assertEqual(0, config_holder.current.number)

    def test_older_plan_of_a_domain_is_never_applied(self):
        plans = plan.PlanHolder()
        group = plan.Group("g", 2, "drafts", ("vm-1",))
        plans.apply(plan.VersionedDomainPlan(plan.DomainPlan("d", groups=(group,)), 9))
        self.assertFalse(plans.apply(plan.VersionedDomainPlan(plan.DomainPlan("d"), 8)))
        self.assertEqual([group], list(plans.groups()))


def _zones_part(number, zone):
    return snapshot.Part(snapshot.ZONES_PART, number, b'{"zones":["%s"]}' % zone.encode())


class MemoryPlatformTest(unittest.TestCase):
    @on_test_clock
    async def test_leases_do_not_expire_while_the_service_is_down(self):
        platform = memory.MemoryPlatform()
        own = platform.client("entry-0")
        lease = await own.grant_lease(4)
        platform.set_mode("down")
        await trio.sleep(60)
        platform.set_mode("up")
        self.assertTrue(await own.keep_alive(lease))
