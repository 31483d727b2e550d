"""No VM is in two groups, whatever happens to the planner and its writes."""

import unittest

import attrs
import trio
import trio.testing

from standins import fleet
from tests import planner_fixtures
from toucanhold.configuration import inventory
from toucanhold.planning import terms
from toucanhold.plans import plan


class PlannerChangeTest(unittest.TestCase):
    def test_engine_refuses_the_order_of_a_planner_that_was_paused(self):
        # A planner is paused between its check of the lease and its order. The lease expires and
        # another planner assigns the VM to a new group. When the first planner resumes, its order
        # would take the VM out of that group, and requests in flight there would fail.
        async def test():
            async with planner_fixtures.running_site() as site:
                order_gate = trio.Event()
                old = site.start("old", order_gate=order_gate)
                await planner_fixtures.wait_until(lambda: list(old.plans.groups()))
                site.platform.set_mode("down", "old")
                site.engine(0).reachability = fleet.Reachability.REFUSING
                new = site.start("new")
                await planner_fixtures.wait_until(new.complete_groups)
                order_gate.set()
                await trio.sleep(2)
                self.assertEqual(["domain-0-0"], [each.plan.domain for each in new.plans.domains()])
                self.assertEqual(1, len(new.complete_groups()))
                self.assertEqual(1, len(planner_fixtures.join_orders_of(site.engine(1))))

        planner_fixtures.run(test)

    def test_engine_that_ignores_fencing_waits_until_no_earlier_planner_can_act(self):
        # As above, but the engine ignores fencing numbers and would obey the resumed planner.
        # Therefore it joins no new group before the longest possible pause has passed. What the old
        # planner ordered in the meantime shows in the engine's report and is undone.
        async def test():
            async with planner_fixtures.running_site(fencing=inventory.Fencing.IGNORED) as site:
                order_gate = trio.Event()
                old = site.start("old", order_gate=order_gate)
                await planner_fixtures.wait_until(lambda: list(old.plans.groups()))
                site.platform.set_mode("down", "old")
                site.engine(0).reachability = fleet.Reachability.REFUSING
                new = site.start("new")
                await planner_fixtures.wait_until(lambda: new.lease.is_held())
                await trio.sleep(terms.MAX_PAUSE_S / 2)
                self.assertEqual([], planner_fixtures.join_orders_of(site.engine(1)))
                order_gate.set()
                await planner_fixtures.wait_until(new.complete_groups, terms.MAX_PAUSE_S)
                first, second = planner_fixtures.join_orders_of(site.engine(1))
                self.assertLess(first.generation, second.generation)
                await trio.sleep(20)
                self.assertEqual(2, len(planner_fixtures.join_orders_of(site.engine(1))))

        planner_fixtures.run(test)

    def test_acknowledged_step_down_ends_the_wait(self):
        async def test():
            probe = planner_fixtures.FixedProbe({"old"})
            async with planner_fixtures.running_site(
                fencing=inventory.Fencing.IGNORED, probe=probe
            ) as site:
                old = site.start("old")
                await planner_fixtures.wait_until(old.complete_groups)
                old.scope.cancel()
                site.engine(0).reachability = fleet.Reachability.REFUSING
                new = site.start("new")
                waited_s = await planner_fixtures.wait_until(new.complete_groups)
                self.assertLess(waited_s, 10)

        planner_fixtures.run(test)

    def test_second_planner_completes_the_group_that_the_first_started(self):
        async def test():
            async with planner_fixtures.running_site(engines={"load_s": 8.0}) as site:
                first = site.start("first")
                await planner_fixtures.wait_until(
                    lambda: planner_fixtures.join_orders_of(site.engine(1))
                )
                first.scope.cancel()
                second = site.start("second")
                await planner_fixtures.wait_until(second.complete_groups)
                self.assertEqual(1, len(planner_fixtures.join_orders_of(site.engine(0))))
                self.assertEqual(1, len(planner_fixtures.join_orders_of(site.engine(1))))

        planner_fixtures.run(test)

    def test_new_planner_without_reports_ends_no_group(self):
        # A new planner is elected before its first polls return. If it took missing reports for
        # dead VMs, it would end every group of the site, and all models would load again.
        async def test():
            async with planner_fixtures.running_site() as site:
                old = site.start("old")
                await planner_fixtures.wait_until(old.complete_groups)
                before = old.complete_groups()
                old.scope.cancel()
                await trio.sleep(5)
                new = site.start(
                    "new",
                    unreachable_addresses={
                        engine.vm.address for engine in planner_fixtures.engines(site)
                    },
                )
                await planner_fixtures.wait_until(lambda: new.lease.is_held())
                await trio.sleep(0.5)
                new.backends.unreachable_addresses.clear()
                await planner_fixtures.wait_until(new.complete_groups)
                self.assertEqual(before[0].generation, new.complete_groups()[0].generation)

        planner_fixtures.run(test)


class PlanWriteTest(unittest.TestCase):
    def test_lost_answer_of_a_plan_write_is_read_back(self):
        # The write of a new plan takes effect, but its answer is lost and the watch that would
        # deliver the record is late. VMs would get orders from an outdated plan.
        async def test():
            async with planner_fixtures.running_site() as site:
                node = site.start("node")
                await planner_fixtures.wait_until(lambda: planner_fixtures.is_formed(node))
                node.scope.cancel()
                await trio.sleep(0)
                (known,) = node.plans.domains()
                site.platform.faults["node"].lose_answers = 1
                emptied = attrs.evolve(known.plan, groups=())
                self.assertTrue(await node.planner.plan_writer.write(emptied))
                self.assertEqual([], list(node.plans.groups()))
                self.assertTrue(node.planner.plan_writer.is_confirmed("domain-0-0"))

        planner_fixtures.run(test)

    def test_domain_gets_no_orders_while_its_write_is_unconfirmed(self):
        async def test():
            async with planner_fixtures.running_site() as site:
                node = site.start("node")
                await planner_fixtures.wait_until(lambda: planner_fixtures.is_formed(node))
                faults = site.platform.faults["node"]
                faults.lose_kinds, faults.lose_requests = ("kv/txn", "kv/range"), 1000
                site.engine(0).reachability = fleet.Reachability.REFUSING
                await trio.sleep(2)
                self.assertFalse(node.planner.plan_writer.is_confirmed("domain-0-0"))
                self.assertEqual([], planner_fixtures.leave_times_s_of(site.engine(1)))
                faults.lose_requests = 0
                await planner_fixtures.wait_until(node.complete_groups)

        planner_fixtures.run(test)

    def test_write_between_two_terms_is_refused(self):
        # The lease's task sets the fencing number to 0 while a tick waits. A condition on create
        # revision 0 holds whenever no entry has the lease, so two planners could write.
        async def test():
            async with planner_fixtures.running_site() as site:
                node = site.start("node")
                node.scope.cancel()
                node.lease.fencing = 0
                self.assertFalse(
                    await node.planner.plan_writer.write(plan.DomainPlan("domain-0-0"))
                )
                item = await site.platform.client("x").read_key(plan.key_of("domain-0-0"))
                self.assertIsNone(item)

        planner_fixtures.run(test)

    def test_plan_of_a_planner_without_the_lease_is_refused(self):
        async def test():
            async with planner_fixtures.running_site() as site:
                old = site.start("old")
                await planner_fixtures.wait_until(lambda: planner_fixtures.is_formed(old))
                old.scope.cancel()
                new = site.start("new")
                await planner_fixtures.wait_until(lambda: new.planner.term_log.is_term_recorded)
                (known,) = old.plans.domains()
                emptied = attrs.evolve(known.plan, groups=())
                self.assertFalse(await old.planner.plan_writer.write(emptied))
                self.assertEqual(1, len(list(new.plans.groups())))

        planner_fixtures.run(test)

    def test_deleted_record_is_restored_and_its_groups_continue(self):
        async def test():
            async with planner_fixtures.running_site() as site:
                node = site.start("node")
                await planner_fixtures.wait_until(lambda: planner_fixtures.is_formed(node))
                await planner_fixtures.delete_plan(site)
                (before,) = node.complete_groups()
                site.engine(0).restart()
                await planner_fixtures.wait_until(
                    lambda: planner_fixtures.has_later_generation(node, before)
                )
                self.assertIsNotNone(await planner_fixtures.read_plan(site))

        planner_fixtures.run(test)

    def test_generation_is_not_reused_when_record_and_planner_are_both_lost(self):
        # Otherwise members of the old group would count as members of a new one of the same name
        # and generation.
        async def test():
            async with planner_fixtures.running_site() as site:
                old = site.start("old")
                await planner_fixtures.wait_until(old.complete_groups)
                (before,) = old.complete_groups()
                old.scope.cancel()
                await planner_fixtures.delete_plan(site)
                new = site.start("new")
                await planner_fixtures.wait_until(new.complete_groups)
                (after,) = new.complete_groups()
                self.assertGreater(after.generation, before.generation)

        planner_fixtures.run(test)
