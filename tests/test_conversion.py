"""A model that starves beside another one: large groups that a domain can hold once, or twice.

The pattern: losses come one by one. Survivors of a large group hold its model, small groups hold
the rest of the domain, and no spare is left that could fill the large group up.
"""

import collections
import unittest

import trio

from standins import replicas
from tests import clocked, replica_scenes
from toucanhold.registry import servers
from toucanhold.replicas import composition, conversion
from toucanhold.routes import table

# Domain, size of the large and of the small model.
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


class Domains:
    """Domains in which small groups fill what a broken large group leaves."""

    def __init__(self, per_domain, large, small, domains=2):
        self.engine = new_engine(large, small)
        self.size = {"large": large, "small": small}
        self.free = {}
        self.groups = []
        self.ending = {}
        for number in range(domains):
            self._fill(f"d{number}", per_domain)

    def _fill(self, domain, per_domain):
        survivors = self.size["large"] - 1
        groups = (per_domain - survivors) // self.size["small"]
        self.free[domain] = new_servers(domain, survivors, "large")
        for number in range(groups):
            members = tuple(new_servers(domain, self.size["small"], "small", f"{number}-"))
            self.groups.append(
                conversion.ServingGroup(f"{domain}-g{number}", "small", domain, members)
            )
        left = per_domain - survivors - groups * self.size["small"]
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

    def placement_planner(self):
        placement_planner = composition.PlacementPlanner(self.snapshot())
        self.formed = placement_planner.placements()
        return placement_planner

    def stage(self, chosen):
        """Let hosts load the model that a step wants there."""
        names = {server.server_id for server in chosen.to_stage}
        for domain, free in self.free.items():
            self.free[domain] = [_staged(each, names, chosen.model.name) for each in free]
        for number, group in enumerate(self.groups):
            members = tuple(_staged(each, names, chosen.model.name) for each in group.members)
            self.groups[number] = conversion.ServingGroup(
                group.name, group.model, group.domain, members
            )

    def preempt(self, chosen, is_apart):
        """Take groups apart: their members are free once that is done."""
        for group in [each for each in self.groups if each.name in chosen.preempted]:
            self.groups.remove(group)
            if is_apart:
                self.free[group.domain] += group.members
                self.ending.pop(group.domain, None)
            else:
                self.ending.setdefault(group.domain, []).extend(group.members)


def _staged(server, names, model):
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


class StarvationTest(unittest.TestCase):
    def test_a_starved_large_model_gets_a_group_for_as_few_as_possible(self):
        """Guards against callers who are refused for good beside survivors that lack one server."""
        for per_domain, large, small in SIZES:
            with self.subTest(per_domain=per_domain):
                site = Domains(per_domain, large, small, domains=3)
                chosen = site.placement_planner().next_conversion()
                self.assertEqual("large", chosen.model.name)
                self.assertEqual(1, len(chosen.to_stage))
                spares = (per_domain - large + 1) % small
                self.assertEqual(0 if spares else 1, len(chosen.preempted))
                site.stage(chosen)
                again = site.placement_planner().next_conversion()
                if spares:
                    self.assertNotEqual(chosen.domain, again and again.domain)
                else:
                    self.assertEqual((chosen.domain, ()), (again.domain, again.to_stage))
                    site.preempt(again, is_apart=True)
                    site.placement_planner()
                self.assertEqual("large", site.formed[0].model)
                self.assertEqual(chosen.domain, site.formed[0].members[0].domain)

    def test_freed_servers_wait_for_the_group_that_they_are_freed_for(self):
        """Guards against small groups that form again of servers freed for the large one."""
        site = Domains(37, 16, 4, domains=2)
        site.free["d0"] = [each for each in site.free["d0"] if each.model == "large"][:-3]
        site.free["d0"] += new_servers("d0", 4, "small", "freed-")
        site.free["d1"].clear()
        staged = [each for each in site.groups if each.domain == "d0"][0]
        step = conversion.Conversion(site.engine.models[0], "d0", staged.members, (staged.name,))
        site.stage(step)
        site.preempt(step, is_apart=False)
        site.placement_planner()
        self.assertEqual([], [each.model for each in site.formed])
        site.groups.append(staged)
        site.ending.clear()
        site.free["d0"] += [_staged(each, {each.server_id}, "large") for each in staged.members]
        site.groups.remove(staged)
        site.placement_planner()
        self.assertEqual("large", site.formed[0].model)

    def test_a_starved_small_model_gets_servers_of_a_large_group(self):
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
        chosen = conversion.next_conversion(capacity)
        self.assertEqual(
            ("small", 3, 1), (chosen.model.name, len(chosen.to_stage), len(chosen.preempted))
        )

    def test_no_group_is_given_up_where_the_other_model_would_starve_next(self):
        """Guards against two models that take each other's servers by turns."""
        engine = new_engine(4, 3)
        group = conversion.ServingGroup("g", "small", "d0", tuple(new_servers("d0", 3, "small")))
        free = {"d0": new_servers("d0", 3, "large")}
        capacity = conversion.CapacitySnapshot(
            engine, {"large": 1.0, "small": 1.0}, {"small": 1}, free, [group], {}
        )
        self.assertIsNone(conversion.next_conversion(capacity))

    def test_models_that_are_both_short_are_left_alone(self):
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

    def test_one_model_alone_never_starves(self):
        engine = replicas.new_engine(table.Model("one", 1, 1.0, 1.0, 10.0, 1.0))
        capacity = conversion.CapacitySnapshot(engine, {"one": 5.0}, {}, {"d0": []}, [], {})
        self.assertIsNone(conversion.next_conversion(capacity))


class StarvedSiteTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_a_model_without_a_group_serves_again_within_twenty_seconds(self):
        """Guards against callers who are refused from the first losses to the end of the day."""
        async with trio.open_nursery() as nursery:
            scene = replica_scenes.Scene(nursery, new_engine(16, 4), domains=2, per_domain=20)
            await scene.add_servers()
            node = scene.start("entry-1")
            await scene.wait_for(lambda: node.serving("large"), 60)
            await trio.sleep(25)
            while groups := node.serving("large"):
                await scene.fleet.darken(groups[0].record.members[-1].server_id)
                await trio.sleep(8)
            begin_s = trio.current_time()
            await scene.wait_for(lambda: node.serving("large"), 20)
            self.assertLess(trio.current_time() - begin_s, 20)
            self.assertTrue(node.serving("small"))
            self.assertEqual([], scene.fleet.broken)
            nursery.cancel_scope.cancel()
