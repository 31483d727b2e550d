"""Zones are taken out at once and stay out, even if the key-value service fails."""

import unittest

import trio

from tests import test_revisions as support
from toucanhold.configuration import holder, holds, snapshot, store

NAMES = support.NAMES


async def take_out(site, name, zone="zone-a", **fields):
    path = f"availability-zones/{zone}"
    return await site.call_operators(name, "PUT", path, {"out": True, **fields})


async def return_zone(site, name, zone="zone-a"):
    return await site.call_operators(name, "PUT", f"availability-zones/{zone}", {"out": False})


def zones_out(site, name):
    return set(site.app(name).configuration.current.zones_out)


class TakeOutTest(unittest.TestCase):
    @support.on_test_clock
    async def test_zone_is_out_everywhere_within_three_seconds_while_the_platform_is_slow(self):
        # Each call of the key-value service takes 1.9 s, and a change takes three calls. The peers
        # must put the hold in force at once, and the zone's VMs must get no request after that.
        async with support.running() as site:
            await support.apply(site, replicas=2)
            await trio.sleep(10)
            site.platform.set_mode("slow")
            for faults in site.platform.faults.values():
                faults.delay_s = 1.9
            start_s = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(take_out, site, "entry-0")
                await trio.sleep(0.1)
                for name in NAMES:
                    self.assertEqual({"zone-a"}, zones_out(site, name))
                chat = {"model": "drafts", "messages": []}
                for name in NAMES * 5:
                    answer = await site.request(name, "POST", "/v1/chat/completions", chat)
                    self.assertEqual(200, answer.status)
            addresses = {
                each.address
                for each in site.backends.received_requests
                if each.received_at_s >= start_s + 0.1
            }
            self.assertEqual({"127.0.0.1:11"}, addresses)

    @support.on_test_clock
    async def test_answer_reports_durability_and_entries_in_force(self):
        async with support.running() as site:
            await support.apply(site)
            await trio.sleep(3)
            answer = await take_out(site, "entry-0")
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.json()["durable"])
            self.assertEqual(list(NAMES), answer.json()["in_force"])
            site.platform.set_mode("down")
            site.network.isolate("entry-2", NAMES)
            answer = await take_out(site, "entry-1", "zone-b")
            self.assertEqual(202, answer.status)
            expected = {
                "configuration": -1,
                "durable": False,
                "in_force": ["entry-0", "entry-1"],
                "not_in_force": ["entry-2"],
            }
            self.assertEqual(expected, answer.json())

    @support.on_test_clock
    async def test_hold_survives_replacement_of_all_entries_and_becomes_durable(self):
        # The key-value service is down. Entry 0 receives the request and broadcasts the hold, then
        # all entries are replaced, one by one. When the service has recovered, the replacements
        # must make the hold durable and resolve it.
        async with support.running() as site:
            await support.apply(site)
            await trio.sleep(3)
            site.platform.set_mode("down")
            await take_out(site, "entry-0")
            for name in NAMES:
                await site.kill(name)
                await trio.sleep(3)
                await site.start(name)
                await trio.sleep(6)
            for name in NAMES:
                self.assertEqual({"zone-a"}, zones_out(site, name))
            site.platform.set_mode("up")
            await trio.sleep(12)
            for name in NAMES:
                configuration = site.app(name).configuration
                self.assertEqual((2, ()), (configuration.accepted.number, configuration.holds()))
                self.assertEqual({"zone-a"}, configuration.accepted.zones_out)

    @support.on_test_clock
    async def test_outdated_hold_does_not_take_out_a_returned_zone(self):
        # Entry 2 was cut off while a hold became durable and the zone was returned. It reconnects
        # and sends the outdated hold, which must not take the zone out again.
        async with support.running() as site:
            await support.apply(site)
            await trio.sleep(3)
            site.platform.set_mode("down")
            await take_out(site, "entry-0")
            site.network.isolate("entry-2", NAMES)
            site.platform.set_mode("up", "entry-0", "entry-1")
            await trio.sleep(10)
            answer = await return_zone(site, "entry-1")
            self.assertEqual(200, answer.status, answer.body)
            self.assertEqual({"zone-a"}, zones_out(site, "entry-2"))
            site.network.heal()
            await trio.sleep(10)
            for name in NAMES:
                self.assertEqual(set(), zones_out(site, name))
            site.platform.set_mode("up")
            await trio.sleep(10)
            for name in NAMES:
                self.assertEqual(set(), zones_out(site, name))

    @support.on_test_clock
    async def test_return_is_refused_while_it_cannot_be_made_durable(self):
        async with support.running() as site:
            await support.apply(site)
            await trio.sleep(3)
            site.platform.set_mode("down")
            await take_out(site, "entry-0")
            answer = await return_zone(site, "entry-0")
            self.assertEqual((503, "unavailable"), (answer.status, answer.json()["kind"]))
            self.assertEqual({"zone-a"}, zones_out(site, "entry-0"))

    @support.on_test_clock
    async def test_concurrent_operators_take_both_zones_out(self):
        async with support.running() as site:
            await support.apply(site)
            await trio.sleep(3)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(take_out, site, "entry-0", "zone-a")
                nursery.start_soon(take_out, site, "entry-1", "zone-b")
            await trio.sleep(1)
            for name in NAMES:
                configuration = site.app(name).configuration
                self.assertEqual({"zone-a", "zone-b"}, configuration.accepted.zones_out)

    @support.on_test_clock
    async def test_lost_answer_of_the_platform_does_not_repeat_a_take_out(self):
        # The write took effect and its response was lost; meanwhile another operator returned the
        # zone. The writer must detect that its hold is resolved and must not take the zone out.
        async with support.running(("entry-0",)) as site:
            await support.apply(site)
            await trio.sleep(2)
            site.platform.faults["entry-0"].lose_answers = 1
            site.platform.faults["entry-0"].lose_kinds = ("kv/txn",)
            hold = holds.new_hold("zone-a", "operator", "entry-0")
            other_store = store.ConfigurationStore(site.platform.client("operator-2"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._make_durable, site, hold)
                await trio.sleep(0.1)
                await other_store.return_zone("zone-a", (hold,), "operator-2")
            await site.app("entry-0").store.make_durable((hold,))
            result = await other_store.read_delta(0, 0)
            configuration = snapshot.Configuration().merged(result[0])
            self.assertEqual(frozenset(), configuration.zones_out)

    async def _make_durable(self, site, hold):
        try:
            await site.app("entry-0").store.make_durable((hold,))
        except store.UnknownOutcomeError:
            pass

    @support.on_test_clock
    async def test_zone_that_may_not_be_drained_needs_force(self):
        async with support.running() as site:
            body = support.document()
            body["rules"]["availability_zones"][0]["drainable"] = False
            await site.call_operators(
                "entry-0", "PUT", "document", {"document": body, "expected": 0}
            )
            await trio.sleep(2)
            answer = await take_out(site, "entry-0")
            self.assertEqual((409, "not-drainable"), (answer.status, answer.json()["kind"]))
            self.assertEqual(set(), zones_out(site, "entry-1"))
            answer = await take_out(site, "entry-0", force=True)
            self.assertEqual(200, answer.status)


class HolderTest(unittest.TestCase):
    def test_hold_takes_effect_without_a_new_configuration_number(self):
        config_holder = holder.ConfigurationHolder()
        config_holder.apply(snapshot.Delta(0, 3, ()), "platform")
        hold = holds.new_hold("zone-a", "operator", "entry-0")
        self.assertTrue(config_holder.add_hold(hold, "operator"))
        self.assertFalse(config_holder.add_hold(hold, "peer"))
        self.assertEqual(
            (3, {"zone-a"}), (config_holder.current.number, config_holder.current.zones_out)
        )
        self.assertEqual(frozenset(), config_holder.accepted.zones_out)

    def test_hold_ends_only_with_a_configuration_that_resolves_it(self):
        config_holder = holder.ConfigurationHolder()
        hold = holds.new_hold("zone-a", "operator", "entry-0")
        config_holder.add_hold(hold, "operator")
        config_holder.apply(snapshot.Delta(0, 1, (_zones(1, "other"),)), "platform")
        self.assertEqual({"zone-a"}, config_holder.current.zones_out)
        config_holder.apply(snapshot.Delta(1, 2, (_zones(2, hold.hold),)), "platform")
        self.assertEqual(frozenset(), config_holder.current.zones_out)
        self.assertFalse(config_holder.add_hold(hold, "late peer"))


def _zones(number, resolved_hold):
    body = b'{"zones":[],"resolved":[{"hold":"%s","at_unix_s":1}]}' % resolved_hold.encode()
    return snapshot.Part(snapshot.ZONES_PART, number, body)
