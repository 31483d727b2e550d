"""The spreading placement policy and the preview of changes."""

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
    other_rules = {name: fields.pop(name) for name in ("availability_zones",) if name in fields}
    configuration = planners.new_configuration(vms, services, zones_out, **other_rules)
    usable = frozenset(
        vm.vm for vm in vms if vm.vm not in lost and vm.availability_zone not in zones_out
    )
    seen = {vm.vm: client.Report(vm.vm, "1") for vm in vms} | (reports or {})
    return placement.PlacementInput(
        configuration, plans or {}, usable, frozenset(lost), seen, **fields
    )


def apply_placement(inputs, formed=True):
    """Return the inputs after the placement has been applied, and the placement."""
    placed = POLICY.place(inputs)
    plans = dict(inputs.plans) | {each.domain: each for each in placed.changed}
    return attrs.evolve(inputs, plans=mark_formed(plans) if formed else plans), placed


def mark_formed(plans):
    return {
        domain: attrs.evolve(
            each, groups=tuple(attrs.evolve(group, formed=True) for group in each.groups)
        )
        for domain, each in plans.items()
    }


def with_reports(inputs):
    """Return the inputs after all members have reported their groups."""
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


def new_formed_inputs(vms, services, **fields):
    return with_reports(apply_placement(new_inputs(vms, services, **fields))[0])


def with_lost(inputs, *names):
    return attrs.evolve(
        inputs,
        usable_vms=inputs.usable_vms - set(names),
        lost_vms=inputs.lost_vms | frozenset(names),
    )


class SpreadTest(unittest.TestCase):
    def test_replicas_are_placed_in_different_zones(self):
        after = new_formed_inputs(planners.new_vms(3, 2, 4), [service(replicas=3)])
        self.assertEqual({"zone-0": 1, "zone-1": 1, "zone-2": 1}, zones_of(after, "drafts"))

    def test_single_replica_is_placed_in_a_zone_that_is_not_drainable(self):
        zones = tuple(rules.AvailabilityZone(f"zone-{each}", each != 2) for each in range(3))
        vms = planners.new_vms(3, 1, 4)
        after = new_formed_inputs(vms, [service()], availability_zones=zones)
        self.assertEqual({"zone-2": 1}, zones_of(after, "drafts"))

    def test_large_vms_stay_free_for_services_that_need_them(self):
        small = planners.new_vms(1, 1, 2, accelerators=4)
        large = [
            attrs.evolve(vm, vm=f"a{vm.vm}", address=f"127.9.9.9:{index + 1}", accelerators=8)
            for index, vm in enumerate(small)
        ]
        services = [
            service("any", importance=9, accelerators_per_vm=4),
            service("large", importance=1, accelerators_per_vm=8),
        ]
        after = new_formed_inputs(small + large, services)
        self.assertEqual(2, len(groups_of(after)))

    def test_groups_are_packed_when_capacity_is_scarce(self):
        # With two fabric domains of four VMs, both groups of two must share one domain to leave
        # room for the group of four.
        services = [service("pair", importance=9, replicas=2), service("four", vms_per_replica=4)]
        after = new_formed_inputs(planners.new_vms(1, 2, 4), services)
        self.assertEqual(3, len(groups_of(after)))

    def test_service_preempts_a_less_important_one_but_not_an_equal_one(self):
        vms = planners.new_vms(1, 1, 4)
        first = new_formed_inputs(vms, [service("old", replicas=2, importance=5)])
        for importance, expected in ((9, ["new", "old"]), (5, ["old", "old"])):
            services = [
                service("old", replicas=2, importance=5),
                service("new", importance=importance),
            ]
            inputs = new_inputs(vms, services, plans=first.plans, reports=first.reports)
            after, _ = apply_placement(inputs)
            self.assertEqual(expected, sorted(group.service for group in groups_of(after)))


class FailureTest(unittest.TestCase):
    def test_spare_of_the_same_domain_replaces_a_lost_member_and_other_groups_stay(self):
        before = new_formed_inputs(planners.new_vms(3, 2, 5), [service(replicas=6)])
        victim = groups_of(before)[0]
        after, placed = apply_placement(with_lost(before, victim.members[1]))
        self.assertEqual(1, len(placed.changed))
        kept = set(groups_of(before)) - {victim}
        self.assertTrue(kept <= set(groups_of(after)))
        (new,) = set(groups_of(after)) - kept
        self.assertIn(victim.members[0], new.members)
        self.assertGreater(new.generation, victim.generation)

    def test_two_broken_groups_of_a_domain_are_merged(self):
        before = new_formed_inputs(planners.new_vms(1, 1, 4), [service(replicas=2)])
        first, second = groups_of(before)
        after, placed = apply_placement(with_lost(before, first.members[0], second.members[1]))
        (merged,) = groups_of(after)
        self.assertEqual({first.members[1], second.members[0]}, set(merged.members))
        self.assertEqual(1, placed.shortfalls[0].placed)

    def test_vms_that_have_loaded_the_model_are_preferred(self):
        vms = planners.new_vms(1, 2, 3)
        loaded = {
            vm.vm: client.Report(vm.vm, "1", model="drafts-model", version="1")
            for vm in vms
            if vm.vm in ("vm-0-1-1", "vm-0-1-2")
        }
        after, _ = apply_placement(new_inputs(vms, [service()], reports=loaded))
        self.assertEqual({"vm-0-1-1", "vm-0-1-2"}, set(groups_of(after)[0].members))

    def test_domain_that_becomes_reachable_again_moves_no_group_until_settled(self):
        # A fabric domain becomes unreachable and its group is formed elsewhere. When the domain is
        # reachable again, the new group would end at once for the sake of spread, and its model
        # would be loaded a third time.
        before = new_formed_inputs(planners.new_vms(2, 1, 4), [service(replicas=2)])
        unreachable = _vms_in(before, "zone-1")
        moved, _ = apply_placement(with_lost(before, *unreachable))
        self.assertEqual({"zone-0": 2}, zones_of(moved, "drafts"))
        recovered = attrs.evolve(
            moved, usable_vms=before.usable_vms, lost_vms=frozenset(), settled_s=5.0
        )
        recovered = with_reports(recovered)
        self.assertEqual((), POLICY.place(recovered).changed)
        moving, _ = apply_placement(attrs.evolve(recovered, settled_s=1000.0), formed=False)
        self.assertEqual({"zone-0": 2, "zone-1": 1}, zones_of(moving, "drafts"))
        self.assertEqual((), POLICY.place(moving).changed)
        done, _ = apply_placement(
            with_reports(attrs.evolve(moving, plans=mark_formed(moving.plans)))
        )
        self.assertEqual({"zone-0": 1, "zone-1": 1}, zones_of(done, "drafts"))


class VersionTest(unittest.TestCase):
    def _with_new_version(self, vms):
        before = new_formed_inputs(vms, [service(replicas=2)])
        newer = service(replicas=2, version="2")
        return before, new_inputs(vms, [newer], plans=before.plans, reports=before.reports)

    def test_new_version_serves_before_the_old_one_leaves(self):
        before, inputs = self._with_new_version(planners.new_vms(2, 1, 4))
        during, _ = apply_placement(inputs, formed=False)
        self.assertEqual(["1", "1", "2"], sorted(group.version for group in groups_of(during)))
        self.assertEqual((), POLICY.place(during).changed)
        for _ in range(6):
            during, _ = apply_placement(
                with_reports(attrs.evolve(during, plans=mark_formed(during.plans)))
            )
            self.assertGreaterEqual(len(groups_of(during)), 2)
        self.assertEqual(["2", "2"], [group.version for group in groups_of(during)])

    def test_without_room_one_replica_is_replaced_at_a_time(self):
        before, inputs = self._with_new_version(planners.new_vms(2, 1, 2))
        during, _ = apply_placement(inputs, formed=False)
        self.assertEqual(["1", "2"], sorted(group.version for group in groups_of(during)))
        self.assertEqual((), POLICY.place(during).changed)


class ZoneTest(unittest.TestCase):
    def test_returned_zone_resumes_its_groups_without_reloading(self):
        before = new_formed_inputs(planners.new_vms(3, 1, 4), [service(replicas=3)])
        out = _with_zones_out(before, "zone-1")
        during, placed = apply_placement(out)
        self.assertEqual((), placed.shortfalls)
        self.assertTrue(_generation_keys(before) <= _generation_keys(during))
        during = with_reports(during)
        recovered = attrs.evolve(
            during, configuration=before.configuration, usable_vms=before.usable_vms, settled_s=0.0
        )
        after, _ = apply_placement(recovered)
        self.assertEqual({"zone-0": 1, "zone-1": 1, "zone-2": 1}, zones_of(after, "drafts"))
        self.assertTrue(_generation_keys(after) <= _generation_keys(during))

    def test_returned_cold_group_does_not_replace_a_warm_one(self):
        before = new_formed_inputs(planners.new_vms(2, 1, 4), [service(replicas=2)])
        during = with_reports(apply_placement(_with_zones_out(before, "zone-1"))[0])
        cold = {
            name: attrs.evolve(report, warmth=client.Warmth.COLD)
            for name, report in during.reports.items()
            if name in _vms_in(during, "zone-1")
        }
        recovered = attrs.evolve(
            during,
            configuration=before.configuration,
            usable_vms=before.usable_vms,
            reports=during.reports | cold,
        )
        after, _ = apply_placement(recovered)
        self.assertEqual({"zone-0": 2, "zone-1": 1}, zones_of(after, "drafts"))

    def test_preview_reports_shortfalls_and_requests_in_flight(self):
        services = [service("a", replicas=3, importance=9), service("b", replicas=3)]
        before = new_formed_inputs(planners.new_vms(3, 1, 4), services)
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
def site_cases(draw):
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
    @hypothesis.given(site_cases())
    def test_groups_are_disjoint_complete_and_stable(self, site):
        # Whichever VMs fail and recover: no VM is in two groups, no group spans fabric domains, no
        # generation is used twice, and a second decision on the same inputs changes nothing.
        vms, services, rounds = site
        inputs = new_inputs(vms, services, generation_floor=7)
        used = set()
        for lost in rounds:
            inputs = attrs.evolve(
                inputs, usable_vms=frozenset(inputs.vms) - lost, lost_vms=frozenset(lost)
            )
            known = {group.generation_key for group in groups_of(inputs)}
            inputs, _ = apply_placement(inputs)
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
            self.assertTrue(set(group.members) <= inputs.usable_vms)
        for each in inputs.plans.values():
            self.assertIsInstance(each, plan.DomainPlan)
            self.assertTrue(all(group.generation <= each.last_generation for group in each.groups))


def _generation_keys(inputs):
    return {group.generation_key for group in groups_of(inputs)}


def _vms_in(inputs, zone):
    return [vm.vm for vm in inputs.configuration.inventory.vms if vm.availability_zone == zone]


def _with_zones_out(inputs, *zones):
    configuration = attrs.evolve(inputs.configuration, zones_out=frozenset(zones))
    gone = {name for zone in zones for name in _vms_in(inputs, zone)}
    return attrs.evolve(inputs, configuration=configuration, usable_vms=inputs.usable_vms - gone)
