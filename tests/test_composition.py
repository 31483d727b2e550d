"""Placement of groups on servers, and the models that spares preload."""

import collections
import unittest

import attrs
import hypothesis
from hypothesis import strategies

from standins import replicas
from toucanhold.registry import servers
from toucanhold.replicas import composition
from toucanhold.routes import table


def new_server(name, domain, model="", staged=()):
    zone = "zone-" + domain[-1]
    return servers.Server(
        name, 1, "writers", f"{name}:80", zone, 13, False, 0.0, domain, model, staged
    )


def new_domain(domain, count, model="", staged=()):
    names = [f"{domain}-{number}" for number in range(count)]
    return [new_server(name, domain, model, staged) for name in names]


def new_snapshot(free, counts=None, usable=None, engine=None, ending=None):
    engine = engine or replicas.new_engine()
    usable = usable if usable is not None else sum(map(len, free.values()))
    counts = counts or {}
    # These decisions depend on whether there are groups, not on their zones.
    zone_counts = {(model, "zone-z"): count for model, count in counts.items()}
    return composition.ServiceSnapshot(engine, free, counts, usable, zone_counts, {}, ending or {})


class StartTest(unittest.TestCase):
    def test_each_domain_of_nine_gets_both_models_and_keeps_two_spares(self):
        free = {f"d{number}": new_domain(f"d{number}", 9) for number in range(6)}
        planner = composition.PlacementPlanner(new_snapshot(free))
        chosen = planner.placements()
        found = collections.Counter((each.model, each.members[0].domain) for each in chosen)
        self.assertEqual(12, len(found))
        self.assertEqual({1}, set(found.values()))
        prepared = collections.Counter(each.model for each in planner.preloads())
        self.assertEqual({"large": 6, "small": 6}, prepared)

    def test_members_of_a_group_share_a_domain(self):
        free = {f"d{number}": new_domain(f"d{number}", 3) for number in range(8)}
        chosen = composition.PlacementPlanner(new_snapshot(free)).placements()
        self.assertTrue(chosen)
        for placement in chosen:
            self.assertEqual(1, len({member.domain for member in placement.members}))

    def test_one_model_of_single_servers_uses_all_but_the_spares(self):
        model = table.Model("one", 1, 1.0, 1.0, 10.0, 1.0)
        free = {"d0": new_domain("d0", 9)}
        snapshot = new_snapshot(free, engine=replicas.new_engine(model))
        self.assertEqual(7, len(composition.PlacementPlanner(snapshot).placements()))


class SmallDomainTest(unittest.TestCase):
    """Domains that have room for one large group at most."""

    ENGINE = replicas.new_engine(
        table.Model("large", 16, 0.5, 1.0, 16.0, 1.6), table.Model("small", 4, 0.5, 0.6, 12.0, 1.1)
    )

    def test_small_groups_leave_whole_domains_to_the_large_model(self):
        """Guards against small groups in every domain that leave no room for a large group."""
        free = {f"d{n}": new_domain(f"d{n}", 19) for n in range(5)}
        chosen = composition.PlacementPlanner(new_snapshot(free, engine=self.ENGINE)).placements()
        found = collections.Counter(each.model for each in chosen)
        self.assertEqual({"large": 2, "small": 12}, found)

    def test_empty_server_loads_the_model_whose_group_lacks_one_member(self):
        """Guards against fifteen idle servers whose missing sixteenth loads the other model."""
        free = {"d0": [*new_domain("d0", 15, "large"), new_server("new", "d0")]}
        snapshot = new_snapshot(free, {"large": 1, "small": 10}, 95, self.ENGINE)
        (preload,) = composition.PlacementPlanner(snapshot).preloads()
        self.assertEqual("large", preload.model)


class RepairTest(unittest.TestCase):
    def test_remaining_members_and_a_spare_with_the_model_form_a_group_at_once(self):
        free = {"d0": new_domain("d0", 3, "large") + [new_server("spare", "d0", "large")]}
        planner = composition.PlacementPlanner(new_snapshot(free, {"large": 5, "small": 6}, 54))
        (placement,) = planner.placements()
        self.assertEqual("large", placement.model)

    def test_no_group_is_formed_with_a_member_that_must_load_the_model_first(self):
        """Guards against ready members that wait 16 s for a member that loads the model."""
        free = {"d0": new_domain("d0", 3, "large") + [new_server("new", "d0")]}
        planner = composition.PlacementPlanner(new_snapshot(free, {"large": 5, "small": 6}, 54))
        self.assertEqual([], planner.placements())
        (preload,) = planner.preloads()
        self.assertEqual("new", preload.server.server_id)

    def test_remaining_members_keep_their_model_while_the_other_groups_are_in_a_closed_zone(self):
        """Guards against members that load the other model and leave their own unserved."""
        free = {"d0": [new_server("spare", "d0", "large")] + new_domain("d0", 3, "small")}
        snapshot = attrs.evolve(new_snapshot(free, {}, 9), zone_counts={("large", "zone-a"): 1})
        (placement,) = composition.PlacementPlanner(snapshot).placements()
        self.assertEqual("small", placement.model)

    def test_extra_groups_leave_spares_for_the_next_loss(self):
        free = {"d0": new_domain("d0", 4, "large")}
        snapshot = new_snapshot(free, {"large": 7, "small": 7}, 54)
        self.assertEqual([], composition.PlacementPlanner(snapshot).placements())

    def test_underprovisioned_model_is_placed_first(self):
        free = {"d0": new_domain("d0", 4, "large", ("large", "small"))}
        snapshot = new_snapshot(free, {"large": 6, "small": 1}, 54)
        (placement,) = composition.PlacementPlanner(snapshot).placements()
        self.assertEqual("small", placement.model)


class UnservedModelTest(unittest.TestCase):
    def test_spares_are_reloaded_for_a_model_that_has_no_group(self):
        """Guards against permanently refused callers while servers of the other model are idle."""
        free = {"d0": new_domain("d0", 4, "large") + [new_server("last", "d0", "small")]}
        planner = composition.PlacementPlanner(new_snapshot(free, {"large": 1}, 9))
        self.assertEqual([], planner.placements())
        prepared = [each.model for each in planner.preloads()]
        self.assertGreaterEqual(prepared.count("small"), 2)

    def test_no_more_spares_are_loaded_than_the_missing_group_needs(self):
        """Guards against spares of several domains that load for the same missing group."""
        free = {name: new_domain(name, 5, "large") for name in ("d0", "d1")}
        snapshot = new_snapshot(free, {"large": 1}, 13)
        found = composition.PlacementPlanner(snapshot).preloads()
        self.assertEqual(3, len(found))
        (domain,) = {each.server.domain for each in found}
        free[domain] = free[domain][3:]
        snapshot = new_snapshot(free, {"large": 1}, 13)
        loading = attrs.evolve(snapshot, loading_counts={domain: 3})
        self.assertEqual([], composition.PlacementPlanner(loading).preloads())

    def test_spares_in_a_closed_zone_are_not_reloaded(self):
        """Guards against model loads in a zone that gets no requests."""
        free = {name: new_domain(name, 5, "large") for name in ("da", "db")}
        snapshot = attrs.evolve(
            new_snapshot(free, {"large": 1}, 9), closed_zones=frozenset({"zone-a"})
        )
        found = composition.PlacementPlanner(snapshot).preloads()
        self.assertEqual({"zone-b"}, {each.server.zone for each in found})
        self.assertEqual(3, len(found))

    def test_spares_are_not_reloaded_while_a_group_is_being_torn_down(self):
        free = {"d0": new_domain("d0", 5, "large")}
        snapshot = new_snapshot(free, {"large": 1}, 13, ending={"d0": 1})
        self.assertEqual([], composition.PlacementPlanner(snapshot).preloads())


class DomainBoundaryTest(unittest.TestCase):
    def test_spares_of_several_domains_form_no_group(self):
        free = {f"d{n}": new_domain(f"d{n}", 1, "large") for n in range(6)}
        snapshot = new_snapshot(free, {"large": 2, "small": 6}, 54)
        self.assertEqual([], composition.PlacementPlanner(snapshot).placements())


class AnySnapshotTest(unittest.TestCase):
    @hypothesis.settings(deadline=None, max_examples=150, derandomize=True)
    @hypothesis.given(
        sizes=strategies.lists(strategies.integers(1, 40), min_size=1, max_size=6),
        models=strategies.lists(
            strategies.tuples(strategies.integers(1, 16), strategies.floats(0.05, 1.0)),
            min_size=1,
            max_size=3,
        ),
    )
    def test_no_server_is_in_two_groups_and_each_group_is_complete(self, sizes, models):
        engine = replicas.new_engine(
            *(
                table.Model(f"m{number}", size, share, 1.0, 10.0, 1.0)
                for number, (size, share) in enumerate(models)
            )
        )
        free = {f"d{n}": new_domain(f"d{n}", size) for n, size in enumerate(sizes)}
        chosen = composition.PlacementPlanner(new_snapshot(free, engine=engine)).placements()
        used = [member.server_id for each in chosen for member in each.members]
        self.assertEqual(len(used), len(set(used)))
        for placement in chosen:
            self.assertEqual(engine.model(placement.model).size, len(placement.members))
