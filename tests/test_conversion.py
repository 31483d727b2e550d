"""Conversion of servers to an underserved model, in domains with room for one or two large groups.

Servers are lost one by one. The remaining members of a large group keep its model, small groups
occupy the rest of the domain, and no spare is left to complete the large group.
"""

import collections
import random
import unittest

import attrs
import trio

from standins import replicas
from tests import clocked, replica_cluster
from toucanhold.registry import servers
from toucanhold.replicas import composition, conversion
from toucanhold.routes import table

# Servers per domain, group size of the large model, group size of the small model.
SIZES = ((9, 4, 3), (11, 6, 3), (20, 16, 4), (37, 16, 4), (73, 32, 8))


def new_engine(large, small):
    return replicas.new_engine(
        table.Model("large", large, 0.5, 1.0, 16.0, 1.6),
        table.Model("small", small, 0.5, 0.6, 12.0, 1.1),
    )


def new_servers(domain, count, model, prefix=""):
    return [
        servers.Server(
            f"{domain}-{prefix}{model}{n}",
            1,
            "writers",
            "a:80",
            "zone-a",
            domain=domain,
            model=model,
            staged=(model,),
        )
        for n in range(count)
    ]


class DomainFixture:
    """Domains where a large group lacks one member and small groups occupy the other servers."""

    def __init__(self, per_domain, large, small, domains=2):
        self.engine = new_engine(large, small)
        self.size = {"large": large, "small": small}
        self.free = {}
        self.groups = []
        self.ending = {}
        for number in range(domains):
            self._fill(f"d{number}", per_domain)

    def _fill(self, domain, per_domain):
        remaining_members = self.size["large"] - 1
        groups = (per_domain - remaining_members) // self.size["small"]
        self.free[domain] = new_servers(domain, remaining_members, "large")
        for number in range(groups):
            members = tuple(new_servers(domain, self.size["small"], "small", f"{number}-"))
            self.groups.append(
                conversion.ServingGroup(f"{domain}-g{number}", "small", domain, members)
            )
        left = per_domain - remaining_members - groups * self.size["small"]
        self.free[domain] += new_servers(domain, left, "small", "spare-")

    def snapshot(self):
        counts = collections.Counter(group.model for group in self.groups)
        usable = sum(map(len, self.free.values())) + sum(len(each.members) for each in self.groups)
        return composition.ServiceSnapshot(
            self.engine,
            self.free,
            counts,
            usable,
            {("small", "zone-a"): counts["small"]},
            {},
            {domain: 1 for domain in self.ending},
            {},
            frozenset(),
            self.groups,
            self.ending,
        )

    def new_planner(self):
        planner = composition.PlacementPlanner(self.snapshot())
        self.placements = planner.placements()
        return planner

    def stage_model(self, step):
        """Mark the step's model as staged on the hosts of ``to_stage``."""
        names = {server.server_id for server in step.to_stage}
        for domain, free in self.free.items():
            self.free[domain] = [_with_staged_model(each, names, step.model.name) for each in free]
        for number, group in enumerate(self.groups):
            members = tuple(
                _with_staged_model(each, names, step.model.name) for each in group.members
            )
            self.groups[number] = conversion.ServingGroup(
                group.name, group.model, group.domain, members
            )

    def preempt_groups(self, step, is_torn_down):
        """End the preempted groups; their members are free once the groups are torn down."""
        for group in [each for each in self.groups if each.name in step.preempted]:
            self.groups.remove(group)
            if is_torn_down:
                self.free[group.domain] += group.members
                self.ending.pop(group.domain, None)
            else:
                self.ending.setdefault(group.domain, []).extend(group.members)


def _with_staged_model(server, names, model):
    if server.server_id not in names:
        return server
    return servers.Server(
        server.server_id,
        1,
        "writers",
        "a:80",
        "zone-a",
        domain=server.domain,
        model=server.model,
        staged=(model,),
    )


class UnderservedModelTest(unittest.TestCase):
    def test_underserved_large_model_gets_a_group_with_the_fewest_preempted_groups(self):
        """Guards against permanently refused callers where a group lacks only one server."""
        for per_domain, large, small in SIZES:
            with self.subTest(per_domain=per_domain):
                fixture = DomainFixture(per_domain, large, small, domains=3)
                step = fixture.new_planner().next_conversion()
                self.assertEqual("large", step.model.name)
                self.assertEqual(1, len(step.to_stage))
                spares = (per_domain - large + 1) % small
                self.assertEqual(0 if spares else 1, len(step.preempted))
                fixture.stage_model(step)
                next_step = fixture.new_planner().next_conversion()
                if spares:
                    self.assertNotEqual(step.domain, next_step and next_step.domain)
                else:
                    self.assertEqual((step.domain, ()), (next_step.domain, next_step.to_stage))
                    fixture.preempt_groups(next_step, is_torn_down=True)
                    fixture.new_planner()
                self.assertEqual("large", fixture.placements[0].model)
                self.assertEqual(step.domain, fixture.placements[0].members[0].domain)

    def test_a_model_without_a_group_gets_one_of_two_groups_of_the_other(self):
        """Guards against a model that nobody serves while the other one has a group to spare."""
        # With one group of each, the small model is further below its target than the large one.
        for slots_in_use in ({}, {"large": 1.0, "small": 9.0}):
            with self.subTest(slots_in_use=slots_in_use):
                fixture = DomainFixture(9, 4, 3, domains=1)
                snapshot = attrs.evolve(fixture.snapshot(), slots_in_use=slots_in_use)
                planner = composition.PlacementPlanner(snapshot)
                self.assertEqual(bool(slots_in_use), planner.follows_demand)
                self.assertEqual([], planner.placements())
                step = planner.next_conversion()
                self.assertIsNotNone(step)
                self.assertEqual(("large", 1), (step.model.name, len(step.to_stage)))
                fixture.stage_model(step)
                step = fixture.new_planner().next_conversion()
                self.assertEqual(1, len(step.preempted))
                fixture.preempt_groups(step, is_torn_down=True)
                fixture.new_planner()
                self.assertEqual(["large"], [each.model for each in fixture.placements])

    def test_freed_servers_are_reserved_for_the_group_that_they_are_freed_for(self):
        """Guards against small groups that re-form from servers freed for the large group."""
        fixture = DomainFixture(37, 16, 4, domains=2)
        fixture.free["d0"] = [each for each in fixture.free["d0"] if each.model == "large"][:-3]
        fixture.free["d0"] += new_servers("d0", 4, "small", "freed-")
        fixture.free["d1"].clear()
        staged = [each for each in fixture.groups if each.domain == "d0"][0]
        step = conversion.Conversion(fixture.engine.models[0], "d0", staged.members, (staged.name,))
        fixture.stage_model(step)
        fixture.preempt_groups(step, is_torn_down=False)
        fixture.new_planner()
        self.assertEqual([], [each.model for each in fixture.placements])
        fixture.groups.append(staged)
        fixture.ending.clear()
        fixture.free["d0"] += [
            _with_staged_model(each, {each.server_id}, "large") for each in staged.members
        ]
        fixture.groups.remove(staged)
        fixture.new_planner()
        self.assertEqual("large", fixture.placements[0].model)

    def test_underserved_small_model_gets_servers_of_a_large_group(self):
        engine = new_engine(4, 3)
        groups = [
            conversion.ServingGroup(
                f"g{n}", "large", f"d{n}", tuple(new_servers(f"d{n}", 4, "large"))
            )
            for n in range(4)
        ]
        capacity = conversion.CapacitySnapshot(
            engine, {"large": 4.0, "small": 5.0}, {"large": 4}, {}, groups, {}
        )
        step = conversion.next_conversion(capacity)
        self.assertEqual(
            ("small", 3, 1), (step.model.name, len(step.to_stage), len(step.preempted))
        )

    def test_no_group_is_preempted_if_the_other_model_would_be_underserved_next(self):
        """Guards against two models that repeatedly preempt each other's groups."""
        engine = new_engine(4, 3)
        group = conversion.ServingGroup("g", "small", "d0", tuple(new_servers("d0", 3, "small")))
        free = {"d0": new_servers("d0", 3, "large")}
        capacity = conversion.CapacitySnapshot(
            engine, {"large": 1.0, "small": 1.0}, {"small": 1}, free, [group], {}
        )
        self.assertIsNone(conversion.next_conversion(capacity))

    def test_models_that_are_both_underprovisioned_are_not_converted(self):
        for large in (1, 2, 3):
            capacity = conversion.CapacitySnapshot(
                new_engine(6, 3),
                {"large": 4.0, "small": 8.0},
                {"large": large, "small": 5 * large - 3},
                {"d0": new_servers("d0", 9, "large")},
                [],
                {},
            )
            self.assertIsNone(conversion.underserved_model(capacity) if large > 1 else None)

    def test_single_model_is_never_underserved(self):
        engine = replicas.new_engine(table.Model("one", 1, 1.0, 1.0, 10.0, 1.0))
        capacity = conversion.CapacitySnapshot(engine, {"one": 5.0}, {}, {"d0": []}, [], {})
        self.assertIsNone(conversion.next_conversion(capacity))


def _all_models_serve(node):
    return all(node.serving_groups(model.name) for model in node.engine.models)


class UnservedModelClusterTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_both_models_serve_after_random_losses_in_one_domain(self):
        """Guards against a model that stays without a group after all servers are back."""
        for seed in (1, 7, 16):
            with self.subTest(seed=seed):
                async with trio.open_nursery() as nursery:
                    await self._serve_after_losses(nursery, seed)
                    nursery.cancel_scope.cancel()

    async def _serve_after_losses(self, nursery, seed):
        cluster = replica_cluster.Cluster(nursery, new_engine(4, 3), 1, 9, seed)
        await cluster.add_servers()
        node = cluster.start("entry-1")
        await cluster.wait_for(lambda: _all_models_serve(node), 60)
        await self._lose_servers(cluster, node, random.Random(seed))
        await cluster.wait_for(lambda: _all_models_serve(node), 60)
        self.assertEqual([], cluster.fleet.violations)

    async def _lose_servers(self, cluster, node, rng):
        """Lose and restart servers one after the other; return when all are back."""
        await trio.sleep(rng.uniform(1, 5))
        down = []
        for _ in range(16):
            if rng.random() < 0.6 and len(down) < 7:
                name = rng.choice([name for name in cluster.fleet.servers if name not in down])
                down.append(name)
                await cluster.fleet.make_unreachable(name, "dark")
                node.planner.suspect(name)
            elif down:
                await cluster.fleet.restart(down.pop(0))
            await trio.sleep(rng.uniform(0.1, 3))
        for name in down:
            await cluster.fleet.restart(name)

    @clocked.on_test_clock
    async def test_model_without_a_group_serves_again_within_twenty_seconds(self):
        """Guards against callers who are refused from the first lost servers onwards."""
        async with trio.open_nursery() as nursery:
            cluster = replica_cluster.Cluster(nursery, new_engine(16, 4), domains=2, per_domain=20)
            await cluster.add_servers()
            node = cluster.start("entry-1")
            await cluster.wait_for(lambda: node.serving_groups("large"), 60)
            await trio.sleep(25)
            while groups := node.serving_groups("large"):
                await cluster.fleet.make_unreachable(groups[0].record.members[-1].server_id)
                await trio.sleep(8)
            start_s = trio.current_time()
            await cluster.wait_for(lambda: node.serving_groups("large"), 20)
            self.assertLess(trio.current_time() - start_s, 20)
            self.assertTrue(node.serving_groups("small"))
            self.assertEqual([], cluster.fleet.violations)
            nursery.cancel_scope.cancel()
