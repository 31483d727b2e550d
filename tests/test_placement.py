"""The chosen placement and the preview of changes."""

import collections
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from standins import planners
from toucanhold.backends import client
from toucanhold.configuration import rules
from toucanhold.planning import placement, preview, spreading
from toucanhold.plans import plan

POLICY = spreading.Spreading()


def service(name="drafts", **fields):
    given = {"model": f"{name}-model", "version": "1", "vms_per_replica": 2} | fields
    return rules.Service(name, **given)


def new_inputs(vms, services, plans=None, lost=(), zones_out=(), reports=None, **fields):
    other = {name: fields.pop(name) for name in ("availability_zones",) if name in fields}
    configuration = planners.new_configuration(vms, services, zones_out, **other)
    usable = frozenset(
        vm.vm for vm in vms if vm.vm not in lost and vm.availability_zone not in zones_out
    )
    seen = {vm.vm: client.Report(vm.vm, "1") for vm in vms} | (reports or {})
    return placement.PlacementInput(
        configuration, plans or {}, usable, frozenset(lost), seen, **fields
    )


def settle(inputs, formed=True):
    """Return the facts once the placement is carried out, and the placement."""
    placed = POLICY.place(inputs)
    plans = dict(inputs.plans) | {each.domain: each for each in placed.changed}
    return attrs.evolve(inputs, plans=form(plans) if formed else plans), placed


def form(plans):
    return {
        domain: attrs.evolve(
            each, groups=tuple(attrs.evolve(group, formed=True) for group in each.groups)
        )
        for domain, each in plans.items()
    }


def with_reports(inputs):
    """Return the facts once all members report their groups."""
    reports = dict(inputs.reports)
    for group in groups_of(inputs):
        for rank, member in enumerate(group.members):
            reports[member] = client.Report(
                member,
                reports[member].boot_id,
                warmth=client.Warmth.WARM,
                group=group.group,
                generation=group.generation,
                rank=rank,
                model=group.model,
                version=group.version,
            )
    return attrs.evolve(inputs, reports=reports)


def groups_of(inputs, name=None):
    groups = [group for each in inputs.plans.values() for group in each.groups]
    return [group for group in groups if name in (None, group.service)]


def zones_of(inputs, name):
    vms = inputs.vms
    return collections.Counter(
        vms[group.members[0]].availability_zone for group in groups_of(inputs, name)
    )


def started(vms, services, **fields):
    return with_reports(settle(new_inputs(vms, services, **fields))[0])


def lose(inputs, *names):
    return attrs.evolve(
        inputs, usable=inputs.usable - set(names), lost=inputs.lost | frozenset(names)
    )


class SpreadTest(unittest.TestCase):
    def test_replicas_stand_in_different_zones(self):
        after = started(planners.new_vms(3, 2, 4), [service(replicas=3)])
        self.assertEqual({"zone-0": 1, "zone-1": 1, "zone-2": 1}, zones_of(after, "drafts"))

    def test_single_replica_stands_where_no_hot_day_drains_it(self):
        zones = tuple(rules.AvailabilityZone(f"zone-{each}", each != 2) for each in range(3))
        vms = planners.new_vms(3, 1, 4)
        after = started(vms, [service()], availability_zones=zones)
        self.assertEqual({"zone-2": 1}, zones_of(after, "drafts"))

    def test_large_vms_are_left_to_those_who_need_them(self):
        small = planners.new_vms(1, 1, 2, accelerators=4)
        large = [
            attrs.evolve(vm, vm=f"a{vm.vm}", address=f"127.9.9.9:{index + 1}", accelerators=8)
            for index, vm in enumerate(small)
        ]
        services = [
            service("any", importance=9, accelerators_per_vm=4),
            service("large", importance=1, accelerators_per_vm=8),
        ]
        after = started(small + large, services)
        self.assertEqual(2, len(groups_of(after)))

    def test_sizes_are_packed_when_room_is_scarce(self):
        # Two fabric domains of four: the pairs share one, so that the four find room.
        services = [service("pair", importance=9, replicas=2), service("four", vms_per_replica=4)]
        after = started(planners.new_vms(1, 2, 4), services)
        self.assertEqual(3, len(groups_of(after)))

    def test_important_service_takes_the_place_of_a_lesser_one_but_not_of_an_equal(self):
        vms = planners.new_vms(1, 1, 4)
        first = started(vms, [service("old", replicas=2, importance=5)])
        for importance, expected in ((9, ["new", "old"]), (5, ["old", "old"])):
            services = [
                service("old", replicas=2, importance=5),
                service("new", importance=importance),
            ]
            inputs = new_inputs(vms, services, plans=first.plans, reports=first.reports)
            after, _ = settle(inputs)
            self.assertEqual(expected, sorted(group.service for group in groups_of(after)))


class FailureTest(unittest.TestCase):
    def test_spare_of_the_same_domain_takes_the_place_and_others_stay(self):
        before = started(planners.new_vms(3, 2, 5), [service(replicas=6)])
        victim = groups_of(before)[0]
        after, placed = settle(lose(before, victim.members[1]))
        self.assertEqual(1, len(placed.changed))
        kept = set(groups_of(before)) - {victim}
        self.assertTrue(kept <= set(groups_of(after)))
        (new,) = set(groups_of(after)) - kept
        self.assertIn(victim.members[0], new.members)
        self.assertGreater(new.generation, victim.generation)

    def test_two_broken_groups_of_a_domain_are_merged(self):
        before = started(planners.new_vms(1, 1, 4), [service(replicas=2)])
        first, second = groups_of(before)
        after, placed = settle(lose(before, first.members[0], second.members[1]))
        (merged,) = groups_of(after)
        self.assertEqual({first.members[1], second.members[0]}, set(merged.members))
        self.assertEqual(1, placed.shortfalls[0].placed)

    def test_vm_that_holds_the_model_goes_first(self):
        vms = planners.new_vms(1, 2, 3)
        loaded = {
            vm.vm: client.Report(vm.vm, "1", model="drafts-model", version="1")
            for vm in vms
            if vm.vm in ("vm-0-1-1", "vm-0-1-2")
        }
        after, _ = settle(new_inputs(vms, [service()], reports=loaded))
        self.assertEqual({"vm-0-1-1", "vm-0-1-2"}, set(groups_of(after)[0].members))

    def test_dark_domain_that_returns_moves_nothing_before_it_is_settled(self):
        # A fabric domain goes dark, its group is formed elsewhere; when it comes back the new
        # group would end at once for the sake of spread, and load its model a third time.
        before = started(planners.new_vms(2, 1, 4), [service(replicas=2)])
        dark = _vms_in(before, "zone-1")
        moved, _ = settle(lose(before, *dark))
        self.assertEqual({"zone-0": 2}, zones_of(moved, "drafts"))
        back = attrs.evolve(moved, usable=before.usable, lost=frozenset(), settled_s=5.0)
        back = with_reports(back)
        self.assertEqual((), POLICY.place(back).changed)
        moving, _ = settle(attrs.evolve(back, settled_s=1000.0), formed=False)
        self.assertEqual({"zone-0": 2, "zone-1": 1}, zones_of(moving, "drafts"))
        self.assertEqual((), POLICY.place(moving).changed)
        done, _ = settle(with_reports(attrs.evolve(moving, plans=form(moving.plans))))
        self.assertEqual({"zone-0": 1, "zone-1": 1}, zones_of(done, "drafts"))


class VersionTest(unittest.TestCase):
    def _changed(self, vms):
        before = started(vms, [service(replicas=2)])
        newer = service(replicas=2, version="2")
        return before, new_inputs(vms, [newer], plans=before.plans, reports=before.reports)

    def test_new_version_serves_before_the_old_one_leaves(self):
        before, inputs = self._changed(planners.new_vms(2, 1, 4))
        during, _ = settle(inputs, formed=False)
        self.assertEqual(["1", "1", "2"], sorted(group.version for group in groups_of(during)))
        self.assertEqual((), POLICY.place(during).changed)
        for _ in range(6):
            during, _ = settle(with_reports(attrs.evolve(during, plans=form(during.plans))))
            self.assertGreaterEqual(len(groups_of(during)), 2)
        self.assertEqual(["2", "2"], [group.version for group in groups_of(during)])

    def test_without_room_one_replica_is_replaced_at_a_time(self):
        before, inputs = self._changed(planners.new_vms(2, 1, 2))
        during, _ = settle(inputs, formed=False)
        self.assertEqual(["1", "2"], sorted(group.version for group in groups_of(during)))
        self.assertEqual((), POLICY.place(during).changed)


class ZoneTest(unittest.TestCase):
    def test_zone_out_is_replaced_and_comes_back_without_loading_anew(self):
        before = started(planners.new_vms(3, 1, 4), [service(replicas=3)])
        out = _zones_out(before, "zone-1")
        during, placed = settle(out)
        self.assertEqual((), placed.shortfalls)
        self.assertTrue(_places(before) <= _places(during))
        during = with_reports(during)
        back = attrs.evolve(
            during, configuration=before.configuration, usable=before.usable, settled_s=0.0
        )
        after, _ = settle(back)
        self.assertEqual({"zone-0": 1, "zone-1": 1, "zone-2": 1}, zones_of(after, "drafts"))
        self.assertTrue(_places(after) <= _places(during))

    def test_returned_cold_group_does_not_take_the_place_of_a_warm_one(self):
        before = started(planners.new_vms(2, 1, 4), [service(replicas=2)])
        during = with_reports(settle(_zones_out(before, "zone-1"))[0])
        cold = {
            name: attrs.evolve(report, warmth=client.Warmth.COLD)
            for name, report in during.reports.items()
            if name in _vms_in(during, "zone-1")
        }
        back = attrs.evolve(
            during,
            configuration=before.configuration,
            usable=before.usable,
            reports=during.reports | cold,
        )
        after, _ = settle(back)
        self.assertEqual({"zone-0": 2, "zone-1": 1}, zones_of(after, "drafts"))

    def test_preview_tells_what_falls_short_and_what_is_in_flight(self):
        services = [service("a", replicas=3, importance=9), service("b", replicas=3)]
        before = started(planners.new_vms(3, 1, 4), services)
        busy = _vms_in(before, "zone-1")[0]
        reports = dict(before.reports)
        reports[busy] = attrs.evolve(reports[busy], running=4)
        inputs = attrs.evolve(before, reports=reports)
        seen = preview.preview_without_zones(POLICY, inputs, ["zone-1"])
        self.assertTrue(seen.falls_short)
        self.assertEqual(
            [("a", 3, 3), ("b", 3, 1)],
            [(each.service, each.placed_now, each.placed_after) for each in seen.services],
        )
        self.assertEqual(4, seen.running)


@strategies.composite
def sites(draw):
    vms = planners.new_vms(draw(strategies.integers(1, 3)), draw(strategies.integers(1, 2)), 5)
    vms = [
        attrs.evolve(vm, accelerators=draw(strategies.sampled_from((4, 8))))
        for vm in vms[: draw(strategies.integers(1, len(vms)))]
    ]
    services = [
        service(
            f"s{index}",
            replicas=draw(strategies.integers(0, 4)),
            vms_per_replica=draw(strategies.integers(1, 4)),
            accelerators_per_vm=draw(strategies.sampled_from((4, 8))),
            importance=draw(strategies.integers(0, 2)),
        )
        for index in range(draw(strategies.integers(1, 3)))
    ]
    lost = [
        draw(strategies.sets(strategies.sampled_from([vm.vm for vm in vms]), max_size=4))
        for _ in range(3)
    ]
    return vms, services, lost


class AnySiteTest(unittest.TestCase):
    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(sites())
    def test_groups_are_disjoint_whole_and_stay(self, site):
        # Whatever dies and returns: no VM in two groups, no group across fabric domains, no
        # generation twice, and a second look at the same facts changes nothing.
        vms, services, rounds = site
        inputs = new_inputs(vms, services, generation_floor=7)
        used = set()
        for lost in rounds:
            inputs = attrs.evolve(inputs, usable=frozenset(inputs.vms) - lost, lost=frozenset(lost))
            known = {group.generation_key for group in groups_of(inputs)}
            inputs, _ = settle(inputs)
            new = {group.generation_key for group in groups_of(inputs)} - known
            self.assertFalse(new & used)
            used |= new
            self._check(inputs)
            inputs = with_reports(inputs)
            inputs = attrs.evolve(inputs, settled_s=0.0)
            self.assertEqual((), POLICY.place(inputs).changed)

    def _check(self, inputs):
        services = {each.name: each for each in inputs.configuration.rules.services}
        members = [member for group in groups_of(inputs) for member in group.members]
        self.assertEqual(len(members), len(set(members)))
        for group in groups_of(inputs):
            wanted = services[group.service]
            vms = [inputs.vms[member] for member in group.members]
            self.assertEqual(1, len({vm.fabric_domain for vm in vms}))
            self.assertEqual(wanted.vms_per_replica, len(vms))
            self.assertTrue(all(vm.accelerators >= wanted.accelerators_per_vm for vm in vms))
            self.assertTrue(set(group.members) <= inputs.usable)
        for each in inputs.plans.values():
            self.assertIsInstance(each, plan.DomainPlan)
            self.assertTrue(all(group.generation <= each.last_generation for group in each.groups))


def _places(inputs):
    return {group.generation_key for group in groups_of(inputs)}


def _vms_in(inputs, zone):
    return [vm.vm for vm in inputs.configuration.inventory.vms if vm.availability_zone == zone]


def _zones_out(inputs, *zones):
    configuration = attrs.evolve(inputs.configuration, zones_out=frozenset(zones))
    gone = {name for zone in zones for name in _vms_in(inputs, zone)}
    return attrs.evolve(inputs, configuration=configuration, usable=inputs.usable - gone)
