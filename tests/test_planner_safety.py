"""No VM in two groups, whatever becomes of the planner and its writes."""

import unittest

import attrs
import trio
import trio.testing

from standins import fleet
from tests import scenes
from toucanhold.configuration import inventory
from toucanhold.planning import terms
from toucanhold.plans import plan


class PlannerChangeTest(unittest.TestCase):
    def test_engine_refuses_the_order_of_a_planner_that_was_paused(self):
        # The caller's group loses a member and half its answers. A planner is paused between its
        # look at the lease and its order; the lease lapses, another planner gives the VM to a new
        # group; the first wakes up and its order takes the VM out of that group again.
        async def test():
            async with scenes.scene() as site:
                gate = trio.Event()
                old = site.start("old", gate=gate)
                await scenes.wait_until(lambda: list(old.plans.groups()))
                site.platform.set_mode("down", "old")
                site.engine(0).mode = fleet.Mode.REFUSING
                new = site.start("new")
                await scenes.wait_until(new.whole_groups)
                gate.set()
                await trio.sleep(2)
                self.assertEqual(["domain-0-0"], [each.plan.domain for each in new.plans.domains()])
                self.assertEqual(1, len(new.whole_groups()))
                self.assertEqual(1, len(scenes.joins_of(site.engine(1))))

        scenes.run(test)

    def test_engine_that_obeys_anyone_waits_until_no_earlier_planner_can_act(self):
        # As before, but the engine ignores fencing numbers and would obey the planner that wakes.
        # So it gets no place in a new group before the bound on pauses has passed; what the old
        # planner ordered meanwhile is seen in its report and undone.
        async def test():
            async with scenes.scene(fencing=inventory.Fencing.IGNORED) as site:
                gate = trio.Event()
                old = site.start("old", gate=gate)
                await scenes.wait_until(lambda: list(old.plans.groups()))
                site.platform.set_mode("down", "old")
                site.engine(0).mode = fleet.Mode.REFUSING
                new = site.start("new")
                await scenes.wait_until(lambda: new.lease.is_held())
                await trio.sleep(terms.MAX_PAUSE_S / 2)
                self.assertEqual([], scenes.joins_of(site.engine(1)))
                gate.set()
                await scenes.wait_until(new.whole_groups, terms.MAX_PAUSE_S)
                first, second = scenes.joins_of(site.engine(1))
                self.assertLess(first.generation, second.generation)
                await trio.sleep(20)
                self.assertEqual(2, len(scenes.joins_of(site.engine(1))))

        scenes.run(test)

    def test_acknowledged_step_down_ends_the_wait(self):
        async def test():
            probe = scenes.KnownProbe({"old"})
            async with scenes.scene(fencing=inventory.Fencing.IGNORED, probe=probe) as site:
                old = site.start("old")
                await scenes.wait_until(old.whole_groups)
                old.scope.cancel()
                site.engine(0).mode = fleet.Mode.REFUSING
                new = site.start("new")
                waited_s = await scenes.wait_until(new.whole_groups)
                self.assertLess(waited_s, 10)

        scenes.run(test)

    def test_second_planner_finishes_the_group_that_the_first_began(self):
        async def test():
            async with scenes.scene(engines={"load_s": 8.0}) as site:
                first = site.start("first")
                await scenes.wait_until(lambda: scenes.joins_of(site.engine(1)))
                first.scope.cancel()
                second = site.start("second")
                await scenes.wait_until(second.whole_groups)
                self.assertEqual(1, len(scenes.joins_of(site.engine(0))))
                self.assertEqual(1, len(scenes.joins_of(site.engine(1))))

        scenes.run(test)

    def test_planner_that_has_seen_nothing_yet_tears_no_group_apart(self):
        # All groups of a site end at once and load anew. A new planner is elected before its first
        # polls have returned, takes silence for death and ends every group.
        async def test():
            async with scenes.scene() as site:
                old = site.start("old")
                await scenes.wait_until(old.whole_groups)
                before = old.whole_groups()
                old.scope.cancel()
                await trio.sleep(5)
                new = site.start("new", cut={engine.vm.address for engine in scenes.engines(site)})
                await scenes.wait_until(lambda: new.lease.is_held())
                await trio.sleep(0.5)
                new.backends.cut.clear()
                await scenes.wait_until(new.whole_groups)
                self.assertEqual(before[0].generation, new.whole_groups()[0].generation)

        scenes.run(test)


class PlanWriteTest(unittest.TestCase):
    def test_lost_answer_of_a_plan_write_is_read_back(self):
        # A VM gets orders by a plan that no longer stands. The write of a new plan takes effect,
        # its answer is lost, and the watch that would bring the record comes late.
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(lambda: scenes.is_formed(node))
                node.scope.cancel()
                await trio.sleep(0)
                (known,) = node.plans.domains()
                site.platform.faults["node"].lose_answers = 1
                emptied = attrs.evolve(known.plan, groups=())
                self.assertTrue(await node.planner.writer.write(emptied))
                self.assertEqual([], list(node.plans.groups()))
                self.assertTrue(node.planner.writer.is_confirmed("domain-0-0"))

        scenes.run(test)

    def test_domain_gets_no_orders_while_its_write_is_unclear(self):
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(lambda: scenes.is_formed(node))
                faults = site.platform.faults["node"]
                faults.lose_kinds, faults.lose_requests = ("kv/txn", "kv/range"), 1000
                site.engine(0).mode = fleet.Mode.REFUSING
                await trio.sleep(2)
                self.assertFalse(node.planner.writer.is_confirmed("domain-0-0"))
                self.assertEqual([], scenes.leaves_of(site.engine(1)))
                faults.lose_requests = 0
                await scenes.wait_until(node.whole_groups)

        scenes.run(test)

    def test_write_between_two_terms_is_refused(self):
        # Two planners write. The lease's task sets the fencing number to zero while a tick waits,
        # and a condition on revision zero holds whenever nobody has the lease.
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                node.scope.cancel()
                node.lease.fencing = 0
                self.assertFalse(await node.planner.writer.write(plan.DomainPlan("domain-0-0")))
                item = await site.platform.client("x").read_key(plan.key_of("domain-0-0"))
                self.assertIsNone(item)

        scenes.run(test)

    def test_plan_of_a_planner_without_the_lease_is_refused(self):
        async def test():
            async with scenes.scene() as site:
                old = site.start("old")
                await scenes.wait_until(lambda: scenes.is_formed(old))
                old.scope.cancel()
                new = site.start("new")
                await scenes.wait_until(lambda: new.planner.term_log.is_term_recorded)
                (known,) = old.plans.domains()
                emptied = attrs.evolve(known.plan, groups=())
                self.assertFalse(await old.planner.writer.write(emptied))
                self.assertEqual(1, len(list(new.plans.groups())))

        scenes.run(test)

    def test_vanished_record_is_restored_and_its_groups_go_on(self):
        async def test():
            async with scenes.scene() as site:
                node = site.start("node")
                await scenes.wait_until(lambda: scenes.is_formed(node))
                await scenes.delete_plan(site)
                (before,) = node.whole_groups()
                site.engine(0).restart()
                await scenes.wait_until(lambda: scenes.other_generation(node, before))
                self.assertIsNotNone(await scenes.read_plan(site))

        scenes.run(test)

    def test_generation_is_not_reused_when_record_and_planner_are_both_lost(self):
        # Members of an old group would count for a new one of the same name and number.
        async def test():
            async with scenes.scene() as site:
                old = site.start("old")
                await scenes.wait_until(old.whole_groups)
                (before,) = old.whole_groups()
                old.scope.cancel()
                await scenes.delete_plan(site)
                new = site.start("new")
                await scenes.wait_until(new.whole_groups)
                (after,) = new.whole_groups()
                self.assertGreater(after.generation, before.generation)

        scenes.run(test)
