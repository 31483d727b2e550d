"""Random fault sequences against servers, orders, planners and the key-value store."""

import logging
import random
import unittest
import unittest.mock

import trio

from tests import clocked, replica_cluster
from toucanhold.registry import servers
from toucanhold.replicas import driver

SEEDS = range(12)
# Sequences in which some servers are partitioned from the key-value store only.
STORE_PARTITION_SEEDS = range(100, 108)
MUTANT_SEEDS = range(60)
FAULTS_PER_RUN = 12
# Loads take 16 s, six at a time, and the planner waits 4.5 s for a partitioned head to break.
RECOVERY_S = 90


class FaultSequence:
    """A seeded sequence of random faults against one cluster."""

    def __init__(self, cluster, seed, extra_faults=()):
        self.cluster = cluster
        self.extra_faults = extra_faults
        self.rng = random.Random(seed)
        self.disabled = []

    async def run(self):
        faults = (
            self._kill_server,
            self._kill_server,
            self._partition_server,
            self._return_server,
            self._drain_server,
            self._lose_orders,
            self._replace_planner,
            self._stop_store_answers,
            *(getattr(self, name) for name in self.extra_faults),
        )
        for _ in range(FAULTS_PER_RUN):
            await self.rng.choice(faults)()
            await trio.sleep(self.rng.uniform(0.1, 4))
            self.check_open_groups()
        await self._end_all_faults()

    def check_open_groups(self):
        """Run a request in every group that entries would send requests to."""
        for node in self.cluster.nodes.values():
            for group in node.group_table.groups.values():
                if not group.is_ending and group.is_open(node.server_registry):
                    size = self.cluster.engine.model(group.record.model).size
                    self.cluster.fleet.check_request(group.head.server_id, size)

    def _healthy_servers(self):
        return [name for name, each in self.cluster.fleet.servers.items() if each.mode == "up"]

    async def _kill_server(self):
        await self._disable("dark")

    async def _partition_server(self):
        await self._disable("apart")

    async def cut_server_off_from_the_store(self):
        await self._disable("unlisted")

    async def _disable(self, mode):
        if len(self.disabled) < 5:
            name = self.rng.choice(self._healthy_servers())
            self.disabled.append(name)
            await self.cluster.fleet.make_unreachable(name, mode)
            for node in self.cluster.nodes.values():
                node.planner.suspect(name)

    async def _return_server(self):
        if self.disabled:
            name = self.disabled.pop(0)
            if self.cluster.fleet.servers[name].mode != "dark":
                await self.cluster.fleet.reconnect(name)
            else:
                await self.cluster.fleet.restart(name)

    async def _drain_server(self):
        server = self.cluster.fleet.servers[self.rng.choice(self._healthy_servers())]
        server.is_leaving = True
        await self.cluster.fleet.register(server)
        await trio.sleep(3)
        await self.cluster.fleet.restart(server.name)

    async def _lose_orders(self):
        self.cluster.fleet.order_loss_ratio = self.rng.choice((0.0, 0.3, 0.6))

    async def _replace_planner(self):
        for node in self.cluster.nodes.values():
            node.kill()
        self.cluster.nodes.clear()
        self.cluster.start(f"entry-{self.rng.random()}")

    async def _stop_store_answers(self):
        name = next(iter(self.cluster.nodes))
        self.cluster.platform.set_mode("silent", name)
        await trio.sleep(self.rng.uniform(0.5, 5))
        self.cluster.platform.set_mode("up", name)

    async def _end_all_faults(self):
        self.cluster.fleet.order_loss_ratio = 0.0
        while self.disabled:
            await self._return_server()


class SequenceTest(unittest.TestCase):
    @clocked.on_test_clock
    async def test_no_server_is_in_two_groups_and_everything_serves_again(self):
        """Guards against a server in two groups, and models that stay unserved."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self._run(seed)

    @clocked.on_test_clock
    async def test_everything_serves_again_after_servers_were_partitioned_from_the_store(self):
        """Guards against the same if servers are partitioned from the key-value store only."""
        for seed in STORE_PARTITION_SEEDS:
            with self.subTest(seed=seed):
                await self._run(seed, ("cut_server_off_from_the_store",) * 3)

    async def _run(self, seed, extra_faults=()):
        async with trio.open_nursery() as nursery:
            cluster = replica_cluster.Cluster(nursery, seed=seed)
            await cluster.add_servers()
            cluster.start("entry-1")
            await trio.sleep(40)
            sequence = FaultSequence(cluster, seed, extra_faults)
            await sequence.run()
            await trio.sleep(RECOVERY_S)
            sequence.check_open_groups()
            (node,) = cluster.nodes.values()
            self.assertEqual([], cluster.fleet.violations)
            self.assertGreaterEqual(len(node.serving_groups("large")), 1)
            self.assertGreaterEqual(len(node.serving_groups("small")), 2)
            nursery.cancel_scope.cancel()


class MutantTest(unittest.TestCase):
    """Checks that the fault sequences detect the violations that a missing safeguard causes."""

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    @clocked.on_test_clock
    async def test_opening_before_all_are_ready_is_caught(self):
        states = tuple(servers.GroupState)
        await self._assert_violation_found(
            unittest.mock.patch.object(driver, "JOINED_STATES", states)
        )

    @clocked.on_test_clock
    async def test_reusing_the_members_of_a_head_that_may_still_serve_is_caught(self):
        margin = unittest.mock.patch.object(driver, "STALL_MARGIN_S", -100.0)
        await self._assert_violation_found(margin)

    async def _assert_violation_found(self, mutation):
        # Group names, and thus the order of tasks, are random, so the seed that shows the violation
        # varies.
        with mutation:
            for seed in MUTANT_SEEDS:
                if await self._violations(seed):
                    return
        self.fail("no sequence shows that the safeguard is missing")

    async def _violations(self, seed):
        async with trio.open_nursery() as nursery:
            cluster = replica_cluster.Cluster(nursery, seed=seed)
            await cluster.add_servers()
            cluster.start("entry-1")
            await trio.sleep(40)
            await FaultSequence(cluster, seed).run()
            await trio.sleep(30)
            nursery.cancel_scope.cancel()
        return cluster.fleet.violations
