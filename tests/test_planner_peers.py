"""Messages between planners, and substitutions while the key-value service is unavailable."""

import unittest

import attrs
import trio
import trio.testing

from standins import fleet
from tests import planner_fixtures
from toucanhold.backends import client
from toucanhold.configuration import inventory
from toucanhold.observing import view
from toucanhold.peers import exchange, messages, transport
from toucanhold.planning import peering, spreading
from toucanhold.plans import plan


class PeersTest(unittest.TestCase):
    def _connected_pair(self):
        near, far = exchange.Exchange(), exchange.Exchange()
        near.attach("far", _ImmediateOutbox(far, "near"))
        far.attach("near", _ImmediateOutbox(near, "far"))
        return near, far

    def test_departure_observed_by_one_entry_ends_the_generation_on_the_other(self):
        near, far = self._connected_pair()
        views = view.BackendView(), view.BackendView()
        peering.GenerationEndBroadcaster(near, views[0])
        peering.GenerationEndBroadcaster(far, views[1])
        views[0].record_report("vm", client.Report("vm", "1", group="g/1", generation=1), 1.0)
        views[0].record_report("vm", client.Report("vm", "2"), 2.0)
        self.assertTrue(views[1].is_ended("g/1", 1))

    def test_planner_acknowledges_only_a_term_that_is_over(self):
        async def test():
            async with planner_fixtures.running_site() as site:
                near, far = self._connected_pair()
                old = site.start("old")
                await planner_fixtures.wait_until(lambda: old.planner.term_log.is_term_recorded)
                peering.StepDownResponder(far, old.planner)
                probe = peering.PeerProbe(near, _FailingTransport("nobody answers"))
                own = plan.Term(old.lease.fencing, "far", old.planner.process, "far:1")
                old.planner.entry, old.planner.peers_address = "far", "far:1"
                self.assertFalse(await _probe_twice(probe, own))
                restarted = attrs.evolve(own, fencing=1, process="before")
                self.assertTrue(await _probe_twice(probe, restarted))
                moved = attrs.evolve(restarted, fencing=2, peers_address="elsewhere:1")
                self.assertFalse(await _probe_twice(probe, moved))
                old.scope.cancel()
                await trio.sleep(5)
                self.assertTrue(await _probe_twice(probe, own))

        planner_fixtures.run(test)

    def test_only_a_refused_connection_shows_that_an_earlier_planner_has_ended(self):
        async def test():
            for cause, expected in ((ConnectionRefusedError(), True), (TimeoutError(), False)):
                probe = peering.PeerProbe(exchange.Exchange(), _FailingTransport("failed", cause))
                term = plan.Term(1, "gone", "p", "127.0.0.1:1")
                self.assertEqual(expected, await probe.has_ended(term))

        planner_fixtures.run(test)


class OutageTest(unittest.TestCase):
    def test_recorded_spare_replaces_a_lost_member_during_an_outage(self):
        # During an outage of the key-value service no new plan can be decided, so a broken replica
        # could stay down for hours. The last accepted plan names a spare and reserves a generation
        # for it.
        async def test():
            async with planner_fixtures.running_site(policy=spreading.Spreading()) as site:
                node, other = site.start("node"), site.start("other")
                await planner_fixtures.wait_until(
                    lambda: node.complete_groups() and planner_fixtures.has_recorded_spare(node)
                )
                (before,) = node.complete_groups()
                site.platform.set_mode("down")
                await trio.sleep(60)
                lost = site.engines.engines[planner_fixtures.address_of(site, before.members[1])]
                lost.reachability = fleet.Reachability.SILENT
                for each in (node, other):
                    await planner_fixtures.wait_until(
                        lambda each=each: planner_fixtures.has_later_generation(each, before), 30
                    )
                (during,) = other.complete_groups()
                self.assertNotIn(before.members[1], during.members)
                site.platform.set_mode("up")
                await trio.sleep(20)
                self.assertEqual(
                    [during.generation_key],
                    [each.generation_key for each in other.complete_groups()],
                )
                self.assertTrue(planner_fixtures.is_formed(other))
                lost.reachability = fleet.Reachability.UP
                await planner_fixtures.wait_until(lambda: lost.join_order is None)

        planner_fixtures.run(test)

    def test_engine_with_a_newer_plan_refuses_the_substitution(self):
        # The last planner loses its connection to the service and takes that for an outage, while a
        # successor was elected and put the spare into a group of its own. No VM may leave that
        # group.
        async def test():
            async with planner_fixtures.running_site(policy=spreading.Spreading()) as site:
                old = site.start("old")
                await planner_fixtures.wait_until(
                    lambda: old.complete_groups() and planner_fixtures.has_recorded_spare(old)
                )
                (before,) = old.complete_groups()
                site.platform.set_mode("down", "old")
                new = site.start("new")
                await planner_fixtures.wait_until(lambda: new.planner.term_log.is_term_recorded, 30)
                site.engines.engines[planner_fixtures.address_of(site, before.members[0])].restart()
                await planner_fixtures.wait_until(
                    lambda: planner_fixtures.has_later_generation(new, before)
                )
                (now,) = new.complete_groups()
                await trio.sleep(30)
                self.assertEqual(
                    [now.generation_key], [each.generation_key for each in new.complete_groups()]
                )

        planner_fixtures.run(test)

    def test_engines_that_ignore_fencing_get_no_spare(self):
        async def test():
            ignored = inventory.Fencing.IGNORED
            async with planner_fixtures.running_site(
                fencing=ignored, policy=spreading.Spreading()
            ) as site:
                node = site.start("node")
                await planner_fixtures.wait_until(lambda: planner_fixtures.is_formed(node))
                await trio.sleep(2)
                self.assertFalse(planner_fixtures.has_recorded_spare(node))

        planner_fixtures.run(test)

    def test_planner_that_renounced_its_term_makes_no_substitution(self):
        async def test():
            async with planner_fixtures.running_site(policy=spreading.Spreading()) as site:
                node = site.start("node")
                await planner_fixtures.wait_until(
                    lambda: node.complete_groups() and planner_fixtures.has_recorded_spare(node)
                )
                (before,) = node.complete_groups()
                fencing = node.lease.fencing
                site.platform.set_mode("down")
                await trio.sleep(6)
                node.planner.renounce(fencing)
                site.engines.engines[
                    planner_fixtures.address_of(site, before.members[1])
                ].reachability = fleet.Reachability.SILENT
                await trio.sleep(60)
                self.assertEqual([], node.complete_groups())

        planner_fixtures.run(test)


class _ImmediateOutbox:
    """An outbox that delivers each message immediately."""

    def __init__(self, other, sender):
        self.other, self.sender = other, sender

    def put(self, body):
        self.other.deliver(self.sender, messages.decode(body))
        return True


class _FailingTransport:
    def __init__(self, text, cause=None):
        self.text, self.cause = text, cause

    async def connect(self, address):
        raise transport.TransportError(self.text) from self.cause


async def _probe_twice(probe, term):
    await probe.has_ended(term)
    return await probe.has_ended(term)
