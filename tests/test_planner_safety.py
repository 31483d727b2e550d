"""No VM in two groups, no partial group in service, whatever becomes of planner and engines."""

import contextlib
import unittest

import attrs
import trio
import trio.testing

from standins import fleet, memory, planners
from toucanhold.backends import client
from toucanhold.configuration import inventory, rules
from toucanhold.observing import view
from toucanhold.peers import exchange, messages, transport
from toucanhold.planning import peering, placement, plan, spreading, terms
from toucanhold.platform import keyvalue

DRAFTS = rules.Service("drafts", model="writer", version="1", replicas=1, vms_per_replica=2)


class KnownProbe(terms.PredecessorProbe):
    def __init__(self, ended):
        self.ended = ended

    async def has_ended(self, term):
        return term.entry in self.ended


@attrs.define(eq=False)
class Scene:
    """One fabric domain, its engines, and nodes started one by one."""

    nursery: trio.Nursery
    platform: memory.MemoryPlatform
    engines: fleet.MemoryFleet
    configuration: object
    probe: terms.PredecessorProbe
    policy: placement.PlacementPolicy
    nodes: dict = attrs.field(factory=dict)

    def start(self, name, **options):
        node = planners.new_node(
            name,
            self.platform,
            self.engines,
            self.configuration,
            self.policy,
            self.probe,
        )
        for key, value in options.items():
            setattr(node.backends, key, value)
        self.nodes[name] = node
        self.nursery.start_soon(node.run)
        return node

    def engine(self, index):
        return list(self.engines.engines.values())[index]

    def take_out(self, zone):
        for node in self.nodes.values():
            current = node.configuration.current
            node.configuration.current = attrs.evolve(
                current, number=current.number + 1, zones_out=frozenset({zone})
            )


@contextlib.asynccontextmanager
async def scene(
    vms=3, fencing=inventory.Fencing.CHECKED, services=(DRAFTS,), probe=None, **options
):
    fleet_options = options.pop("engines", {})
    policy = options.pop("policy", None) or placement.FirstFit()
    listed = planners.new_vms(1, 1, vms, fencing)
    async with trio.open_nursery() as nursery:
        yield Scene(
            nursery,
            memory.MemoryPlatform(),
            fleet.new_fleet(listed, nursery, **fleet_options),
            planners.new_configuration(listed, services, **options),
            probe or terms.NoProbe(),
            policy,
        )
        nursery.cancel_scope.cancel()


async def wait_until(condition, limit_s=20.0):
    """Return the seconds until ``condition`` holds."""
    started_s = trio.current_time()
    while not condition():
        if trio.current_time() - started_s > limit_s:
            raise AssertionError(f"not within {limit_s} s")
        await trio.sleep(0.05)
    return trio.current_time() - started_s


def run(test):
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


def joins_of(engine):
    return [order for _, order in engine.history if isinstance(order, client.JoinOrder)]


def leaves_of(engine):
    return [at_s for at_s, order in engine.history if isinstance(order, client.LeaveOrder)]


class PlannerChangeTest(unittest.TestCase):
    def test_engine_refuses_the_order_of_a_planner_that_was_paused(self):
        # The caller's group loses a member and half its answers. A planner is paused between its
        # look at the lease and its order; the lease lapses, another planner gives the VM to a new
        # group; the first wakes up and its order takes the VM out of that group again.
        async def test():
            async with scene() as site:
                gate = trio.Event()
                old = site.start("old", gate=gate)
                await wait_until(lambda: list(old.plans.groups()))
                site.platform.set_mode("down", "old")
                site.engine(0).mode = fleet.Mode.REFUSING
                new = site.start("new")
                await wait_until(new.whole_groups)
                gate.set()
                await trio.sleep(2)
                self.assertEqual(["domain-0-0"], [each.plan.domain for each in new.plans.domains()])
                self.assertEqual(1, len(new.whole_groups()))
                self.assertEqual(1, len(joins_of(site.engine(1))))

        run(test)

    def test_engine_that_obeys_anyone_waits_until_no_earlier_planner_can_act(self):
        # As before, but the engine ignores fencing numbers and would obey the planner that wakes.
        # So it gets no place in a new group before the bound on pauses has passed; what the old
        # planner ordered meanwhile is seen in its report and undone.
        async def test():
            async with scene(fencing=inventory.Fencing.IGNORED) as site:
                gate = trio.Event()
                old = site.start("old", gate=gate)
                await wait_until(lambda: list(old.plans.groups()))
                site.platform.set_mode("down", "old")
                site.engine(0).mode = fleet.Mode.REFUSING
                new = site.start("new")
                await wait_until(lambda: new.lease.is_held())
                await trio.sleep(terms.PAUSE_BOUND_S / 2)
                self.assertEqual([], joins_of(site.engine(1)))
                gate.set()
                await wait_until(new.whole_groups, terms.PAUSE_BOUND_S)
                first, second = joins_of(site.engine(1))
                self.assertLess(first.generation, second.generation)
                await trio.sleep(20)
                self.assertEqual(2, len(joins_of(site.engine(1))))

        run(test)

    def test_acknowledged_step_down_ends_the_wait(self):
        async def test():
            probe = KnownProbe({"old"})
            async with scene(fencing=inventory.Fencing.IGNORED, probe=probe) as site:
                old = site.start("old")
                await wait_until(old.whole_groups)
                old.scope.cancel()
                site.engine(0).mode = fleet.Mode.REFUSING
                new = site.start("new")
                waited_s = await wait_until(new.whole_groups)
                self.assertLess(waited_s, 10)

        run(test)

    def test_second_planner_finishes_the_group_that_the_first_began(self):
        async def test():
            async with scene(engines={"load_s": 8.0}) as site:
                first = site.start("first")
                await wait_until(lambda: joins_of(site.engine(1)))
                first.scope.cancel()
                second = site.start("second")
                await wait_until(second.whole_groups)
                self.assertEqual(1, len(joins_of(site.engine(0))))
                self.assertEqual(1, len(joins_of(site.engine(1))))

        run(test)

    def test_planner_that_has_seen_nothing_yet_tears_no_group_apart(self):
        # All groups of a site end at once and load anew. A new planner is elected before its first
        # polls have returned, takes silence for death and ends every group.
        async def test():
            async with scene() as site:
                old = site.start("old")
                await wait_until(old.whole_groups)
                before = old.whole_groups()
                old.scope.cancel()
                await trio.sleep(5)
                new = site.start("new", cut={engine.vm.address for engine in _engines(site)})
                await wait_until(lambda: new.lease.is_held())
                await trio.sleep(0.5)
                new.backends.cut.clear()
                await wait_until(new.whole_groups)
                self.assertEqual(before[0].generation, new.whole_groups()[0].generation)

        run(test)


class PlanWriteTest(unittest.TestCase):
    def test_lost_answer_of_a_plan_write_is_read_back(self):
        # A VM gets orders by a plan that no longer stands. The write of a new plan takes effect,
        # its answer is lost, and the watch that would bring the record comes late.
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(lambda: _is_formed(node))
                node.scope.cancel()
                await trio.sleep(0)
                (known,) = node.plans.domains()
                site.platform.faults["node"].lose_answers = 1
                emptied = attrs.evolve(known.plan, groups=())
                self.assertTrue(await node.planner.writer.write(emptied))
                self.assertEqual([], list(node.plans.groups()))
                self.assertTrue(node.planner.writer.is_clear("domain-0-0"))

        run(test)

    def test_domain_gets_no_orders_while_its_write_is_unclear(self):
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(lambda: _is_formed(node))
                faults = site.platform.faults["node"]
                faults.lose_kinds, faults.lose_requests = ("kv/txn", "kv/range"), 1000
                site.engine(0).mode = fleet.Mode.REFUSING
                await trio.sleep(2)
                self.assertFalse(node.planner.writer.is_clear("domain-0-0"))
                self.assertEqual([], leaves_of(site.engine(1)))
                faults.lose_requests = 0
                await wait_until(node.whole_groups)

        run(test)

    def test_write_between_two_terms_is_refused(self):
        # Two planners write. The lease's task sets the fencing number to zero while a tick waits,
        # and a condition on revision zero holds whenever nobody has the lease.
        async def test():
            async with scene() as site:
                node = site.start("node")
                node.scope.cancel()
                node.lease.fencing = 0
                self.assertFalse(await node.planner.writer.write(plan.DomainPlan("domain-0-0")))
                item = await site.platform.client("x").read_key(plan.key_of("domain-0-0"))
                self.assertIsNone(item)

        run(test)

    def test_plan_of_a_planner_without_the_lease_is_refused(self):
        async def test():
            async with scene() as site:
                old = site.start("old")
                await wait_until(lambda: _is_formed(old))
                old.scope.cancel()
                new = site.start("new")
                await wait_until(lambda: new.planner.term_log.has_begun)
                (known,) = old.plans.domains()
                emptied = attrs.evolve(known.plan, groups=())
                self.assertFalse(await old.planner.writer.write(emptied))
                self.assertEqual(1, len(list(new.plans.groups())))

        run(test)

    def test_vanished_record_is_restored_and_its_groups_go_on(self):
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(lambda: _is_formed(node))
                await _delete_plan(site)
                (before,) = node.whole_groups()
                site.engine(0).restart()
                await wait_until(lambda: _other_generation(node, before))
                self.assertIsNotNone(await _read_plan(site))

        run(test)

    def test_generation_is_not_reused_when_record_and_planner_are_both_lost(self):
        # Members of an old group would count for a new one of the same name and number.
        async def test():
            async with scene() as site:
                old = site.start("old")
                await wait_until(old.whole_groups)
                (before,) = old.whole_groups()
                old.scope.cancel()
                await _delete_plan(site)
                new = site.start("new")
                await wait_until(new.whole_groups)
                (after,) = new.whole_groups()
                self.assertGreater(after.generation, before.generation)

        run(test)


class GenerationTest(unittest.TestCase):
    def test_restarted_member_never_rejoins_its_generation(self):
        # A draft comes back cut or mixed up. A member restarts within one polling interval, is
        # ordered into the same generation again, and the group looks as if nothing had happened.
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(node.whole_groups)
                (before,) = node.whole_groups()
                restarted_at_s = trio.current_time()
                site.engine(1).restart()
                await wait_until(lambda: _other_generation(node, before))
                late = [
                    order.generation
                    for at_s, order in site.engine(1).history
                    if at_s > restarted_at_s and isinstance(order, client.JoinOrder)
                ]
                self.assertNotIn(before.generation, late)

        run(test)

    def test_restarted_member_put_back_by_someone_else_does_not_count(self):
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(node.whole_groups)
                site.platform.set_mode("down", "node")
                engine = site.engine(1)
                order = engine.place
                engine.restart()
                engine.obey(order)
                await trio.sleep(3)
                self.assertEqual([], node.whole_groups())

        run(test)

    def test_member_that_left_and_came_back_does_not_count(self):
        # Between two polls of the planner a member leaves and is put back by an order that came
        # late. This entry saw it outside; the requests it had there are gone.
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(node.whole_groups)
                site.platform.set_mode("down", "node")
                engine = site.engine(1)
                order, engine.place = engine.place, None
                await trio.sleep(1)
                engine.place = order
                await trio.sleep(3)
                self.assertEqual([], node.whole_groups())

        run(test)

    def test_entry_that_starts_late_does_not_take_a_restarted_member_for_a_whole_group(self):
        # The entry never saw the member before its restart; only the boot id on record tells.
        async def test():
            async with scene() as site:
                old = site.start("old")
                await wait_until(lambda: _is_formed(old))
                (before,) = old.whole_groups()
                old.scope.cancel()
                order = site.engine(1).place
                site.engine(1).restart()
                site.engine(1).obey(order)
                late = site.start("late")
                while not _other_generation(late, before):
                    self.assertEqual([], late.whole_groups())
                    await trio.sleep(0.05)

        run(test)

    def test_member_that_forgets_its_group_ends_the_generation(self):
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(node.whole_groups)
                (before,) = node.whole_groups()
                site.engine(0).place = None
                await wait_until(lambda: _other_generation(node, before))

        run(test)

    def test_forgetful_member_is_known_to_a_planner_that_never_saw_it_joined(self):
        # The first planner saw the group whole and wrote that down. Its successor knows only the
        # record and a member without a group: the group is over, not still being formed.
        async def test():
            async with scene() as site:
                old = site.start("old")
                await wait_until(lambda: _is_formed(old))
                (before,) = old.whole_groups()
                old.scope.cancel()
                site.engine(0).place = None
                new = site.start("new")
                await wait_until(lambda: _other_generation(new, before))
                joins = [order.generation for order in joins_of(site.engine(0))]
                self.assertEqual(1, joins.count(before.generation))

        run(test)

    def test_member_that_only_paused_keeps_its_generation(self):
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(node.whole_groups)
                (before,) = node.whole_groups()
                site.engine(1).mode = fleet.Mode.SILENT
                await trio.sleep(1.5)
                site.engine(1).mode = fleet.Mode.UP
                await trio.sleep(4)
                self.assertEqual([before.place], [group.place for group in node.whole_groups()])

        run(test)

    def test_refused_connection_ends_a_generation_sooner_than_silence(self):
        waits_s = {}

        async def test(mode):
            async with scene() as site:
                node = site.start("node")
                await wait_until(node.whole_groups)
                (before,) = node.whole_groups()
                site.engine(1).mode = mode
                waits_s[mode] = await wait_until(lambda: _planned_other(node, before))

        for mode in (fleet.Mode.REFUSING, fleet.Mode.SILENT):
            trio.run(test, mode, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLess(waits_s[fleet.Mode.REFUSING], 1.5)
        self.assertGreater(waits_s[fleet.Mode.SILENT], 2.0)


class LeaveTest(unittest.TestCase):
    def test_planned_leave_waits_for_requests_on_every_member_and_starts_at_the_first(self):
        # A draft is cut short though its zone was taken out in good order. The request is counted
        # on another member than the one that was looked at; or a member leaves before the first
        # one, which goes on taking requests for a group that is no longer whole.
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(node.whole_groups)
                (group,) = node.whole_groups()
                site.engine(1).running = 1
                site.take_out("zone-0")
                await trio.sleep(10)
                self.assertEqual([[], []], [leaves_of(site.engine(each)) for each in (0, 1)])
                site.engine(1).running = 0
                await wait_until(lambda: leaves_of(site.engine(1)))
                self.assertLess(leaves_of(site.engine(0))[0], leaves_of(site.engine(1))[0])

        run(test)

    def test_group_that_lost_a_member_is_disbanded_at_once(self):
        async def test():
            async with scene() as site:
                node = site.start("node")
                await wait_until(node.whole_groups)
                site.engine(0).running = 3
                site.engine(1).mode = fleet.Mode.REFUSING
                waited_s = await wait_until(lambda: leaves_of(site.engine(0)))
                self.assertLess(waited_s, 2)

        run(test)

    def test_engine_in_a_group_that_nobody_planned_is_ordered_to_leave(self):
        async def test():
            async with scene() as site:
                engine = site.engine(2)
                engine.place = client.JoinOrder("other/1", 1, 0, 1, (), "writer", "1")
                node = site.start("node")
                await wait_until(lambda: leaves_of(engine))
                self.assertNotIn("other/1", [group.group for group in node.whole_groups()])

        run(test)


class OrderTest(unittest.TestCase):
    def test_late_order_does_not_undo_a_newer_one(self):
        # An order to join is held up on its way, its group ends, the VM joins another, and then
        # the old order arrives. An engine that checks refuses it, since each order carries the
        # revision of the plan; one that does not gets no newer order until that time has passed.
        for fencing in inventory.Fencing:
            with self.subTest(fencing=fencing):
                run(lambda fencing=fencing: self._late_order(fencing))

    async def _late_order(self, fencing):
        async with scene(fencing=fencing) as site:
            site.engine(1).order_delay_s = 8.0
            node = site.start("node")
            await wait_until(lambda: list(node.plans.groups()))
            await trio.sleep(0.5)
            site.engine(1).order_delay_s = 0
            site.engine(0).mode = fleet.Mode.REFUSING
            await wait_until(node.whole_groups, 40)
            (group,) = node.whole_groups()
            await trio.sleep(20)
            self.assertEqual([group.place], [each.place for each in node.whole_groups()])

    def test_loads_are_bounded_and_the_most_important_go_first(self):
        async def test():
            services = (
                attrs.evolve(DRAFTS, name="a", importance=1),
                attrs.evolve(DRAFTS, name="b", importance=9),
                attrs.evolve(DRAFTS, name="c", importance=5),
            )
            options = {"services": services, "max_loading_vms": 2, "engines": {"load_s": 5.0}}
            async with scene(vms=6, **options) as site:
                node = site.start("node")
                most = 0
                while len(node.whole_groups()) < 3:
                    loading = sum(engine.report().loading for engine in _engines(site))
                    most = max(most, loading)
                    await trio.sleep(0.1)
                    if trio.current_time() > 60:
                        self.fail("not formed in time")
                self.assertEqual(2, most)
                first = {}
                for engine in _engines(site):
                    for at_s, order in engine.history:
                        service = _service_of(node, order.group)
                        first[service] = min(first.get(service, at_s), at_s)
                self.assertEqual(["b", "c", "a"], sorted(first, key=first.get))

        run(test)


def _engines(site):
    return list(site.engines.engines.values())


def _is_formed(node):
    return any(group.formed for group in node.plans.groups())


def _service_of(node, name):
    return next(group.service for group in node.plans.groups() if group.group == name)


def _other_generation(node, before):
    return any(group.generation > before.generation for group in node.whole_groups())


def _planned_other(node, before):
    return before.place not in [group.place for group in node.plans.groups()]


async def _delete_plan(site):
    key = plan.key_of("domain-0-0")
    await site.platform.client("operator").commit([], [keyvalue.Write(key, None)])


async def _read_plan(site):
    return await site.platform.client("operator").read_key(plan.key_of("domain-0-0"))


class PeersTest(unittest.TestCase):
    def _pair(self):
        near, far = exchange.Exchange(), exchange.Exchange()
        near.attach("far", _Wire(far, "near"))
        far.attach("near", _Wire(near, "far"))
        return near, far

    def test_departure_seen_by_one_entry_ends_the_generation_on_the_other(self):
        near, far = self._pair()
        views = view.View(), view.View()
        peering.EndingSpreader(near, views[0])
        peering.EndingSpreader(far, views[1])
        views[0].record("vm", client.Report("vm", "1", group="g/1", generation=1), 1.0)
        views[0].record("vm", client.Report("vm", "2"), 2.0)
        self.assertTrue(views[1].is_ended("g/1", 1))

    def test_planner_acknowledges_only_a_term_that_is_over(self):
        async def test():
            async with scene() as site:
                near, far = self._pair()
                old = site.start("old")
                await wait_until(lambda: old.planner.term_log.has_begun)
                peering.StepDownAnswerer(far, old.planner)
                probe = peering.PeerProbe(near, _Transport("nobody answers"))
                own = terms.Term(old.lease.fencing, "far", old.planner.process, "far:1")
                old.planner.entry, old.planner.peers_address = "far", "far:1"
                self.assertFalse(await _asked_twice(probe, own))
                restarted = attrs.evolve(own, fencing=1, process="before")
                self.assertTrue(await _asked_twice(probe, restarted))
                moved = attrs.evolve(restarted, fencing=2, peers_address="elsewhere:1")
                self.assertFalse(await _asked_twice(probe, moved))
                old.scope.cancel()
                await trio.sleep(5)
                self.assertTrue(await _asked_twice(probe, own))

        run(test)

    def test_only_a_refused_connection_shows_that_an_earlier_planner_is_gone(self):
        async def test():
            for cause, expected in ((ConnectionRefusedError(), True), (TimeoutError(), False)):
                probe = peering.PeerProbe(exchange.Exchange(), _Transport("failed", cause))
                term = terms.Term(1, "gone", "p", "127.0.0.1:1")
                self.assertEqual(expected, await probe.has_ended(term))

        run(test)


class _Wire:
    """An outbox that delivers at once."""

    def __init__(self, other, sender):
        self.other, self.sender = other, sender

    def put(self, body):
        self.other.deliver(self.sender, messages.decode(body))
        return True


class _Transport:
    def __init__(self, text, cause=None):
        self.text, self.cause = text, cause

    async def connect(self, address):
        raise transport.TransportError(self.text) from self.cause


async def _asked_twice(probe, term):
    await probe.has_ended(term)
    return await probe.has_ended(term)


class OutageTest(unittest.TestCase):
    def test_recorded_spare_takes_the_place_of_a_lost_member(self):
        # A replica stays down until the key-value service returns, perhaps for hours: nothing new
        # can be decided. The last accepted plan names a spare and reserves a generation for it.
        async def test():
            async with scene(policy=spreading.Spreading()) as site:
                node, other = site.start("node"), site.start("other")
                await wait_until(lambda: node.whole_groups() and _has_spare(node))
                (before,) = node.whole_groups()
                site.platform.set_mode("down")
                await trio.sleep(60)
                lost = site.engines.engines[_address(site, before.members[1])]
                lost.mode = fleet.Mode.SILENT
                for each in (node, other):
                    await wait_until(lambda each=each: _other_generation(each, before), 30)
                (during,) = other.whole_groups()
                self.assertNotIn(before.members[1], during.members)
                site.platform.set_mode("up")
                await trio.sleep(20)
                self.assertEqual([during.place], [each.place for each in other.whole_groups()])
                self.assertTrue(_is_formed(other))
                lost.mode = fleet.Mode.UP
                await wait_until(lambda: lost.place is None)

        run(test)

    def test_engine_that_knows_a_newer_plan_refuses_the_substitution(self):
        # The last planner is cut off from the service and takes that for an outage; another one
        # was elected and gave the spare to its own group. No VM leaves that group.
        async def test():
            async with scene(policy=spreading.Spreading()) as site:
                old = site.start("old")
                await wait_until(lambda: old.whole_groups() and _has_spare(old))
                (before,) = old.whole_groups()
                site.platform.set_mode("down", "old")
                new = site.start("new")
                await wait_until(lambda: new.planner.term_log.has_begun, 30)
                site.engines.engines[_address(site, before.members[0])].restart()
                await wait_until(lambda: _other_generation(new, before))
                (now,) = new.whole_groups()
                await trio.sleep(30)
                self.assertEqual([now.place], [each.place for each in new.whole_groups()])

        run(test)

    def test_engines_that_ignore_fencing_get_no_spare(self):
        async def test():
            ignored = inventory.Fencing.IGNORED
            async with scene(fencing=ignored, policy=spreading.Spreading()) as site:
                node = site.start("node")
                await wait_until(lambda: _is_formed(node))
                await trio.sleep(2)
                self.assertFalse(_has_spare(node))

        run(test)

    def test_planner_that_was_asked_to_step_down_substitutes_no_more(self):
        async def test():
            async with scene(policy=spreading.Spreading()) as site:
                node = site.start("node")
                await wait_until(lambda: node.whole_groups() and _has_spare(node))
                (before,) = node.whole_groups()
                fencing = node.lease.fencing
                site.platform.set_mode("down")
                await trio.sleep(6)
                node.planner.renounce(fencing)
                site.engines.engines[_address(site, before.members[1])].mode = fleet.Mode.SILENT
                await trio.sleep(60)
                self.assertEqual([], node.whole_groups())

        run(test)


def _has_spare(node):
    return any(group.spare for group in node.plans.groups())


def _address(site, name):
    return next(engine.vm.address for engine in _engines(site) if engine.vm.vm == name)
