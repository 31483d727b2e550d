"""Test cluster of planner entries and in-memory servers, run on the test clock."""

import random

import attrs
import trio

from standins import memory, replicas
from toucanhold.coordination import lease, mirror, watching
from toucanhold.registry import registry
from toucanhold.replicas import plan, planner, records
from toucanhold.routes import table


@attrs.define(eq=False, slots=False)
class PlannerNode:
    """The planner and its dependencies, as one entry runs them."""

    name: str
    platform: memory.MemoryPlatform
    fleet: replicas.MemoryServers
    engine: table.Engine
    closed_zones: set = attrs.field(factory=set)

    def __attrs_post_init__(self):
        rng = random.Random(self.name)
        self.client = self.platform.change_source(self.name)
        self.kv_mirror = mirror.Mirror()
        self.watch = watching.ServiceWatch(self.client, self.kv_mirror, lambda: 0.02, rng)
        self.server_registry = registry.Registry(
            self.kv_mirror, replicas.REGISTRATIONS_PREFIX, replicas.decode_registration
        )
        self.group_table = records.GroupTable(self.kv_mirror)
        self.routes = table.RouteTableHolder(replicas.new_routes(self.engine))
        self.lease = lease.LeasedKey(
            self.client,
            plan.PLANNER_KEY,
            self.name.encode(),
            plan.PLANNER_LEASE_S,
            rng,
            is_acquisition_skipped=lambda: plan.PLANNER_KEY in self.kv_mirror.items,
        )
        self.planner = planner.Planner(
            self.kv_mirror,
            self.lease,
            plan.PlanWriter(self.client, self.kv_mirror, self.lease, self.group_table),
            self.group_table,
            self.server_registry,
            self.routes,
            self.fleet,
            lambda: frozenset(self.closed_zones),
            replicas.STALL_S,
        )
        self.scope = trio.CancelScope()

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.watch.run)
                nursery.start_soon(self.server_registry.run)
                nursery.start_soon(self.lease.run)
                nursery.start_soon(self.planner.run)

    def kill(self):
        self.scope.cancel()

    def serving_groups(self, model):
        return [
            group
            for group in self.group_table.groups.values()
            if group.record.model == model
            and not group.is_ending
            and group.is_open(self.server_registry)
        ]


@attrs.define(eq=False, slots=False)
class Cluster:
    """A key-value store, servers in fabric domains, and planner entries started on demand."""

    nursery: trio.Nursery
    engine: table.Engine = attrs.field(factory=replicas.new_engine)
    domains: int = 2
    per_domain: int = 9
    seed: int = 0

    def __attrs_post_init__(self):
        self.platform = memory.MemoryPlatform()
        self.fleet = replicas.MemoryServers(
            self.platform.client("servers"),
            self.engine,
            self.nursery,
            random.Random(self.seed),
        )
        self.nodes = {}

    async def add_servers(self):
        for number in range(self.domains * self.per_domain):
            domain = f"d{number // self.per_domain}"
            await self.fleet.add(f"s{number:02}", domain, "zone-" + "abc"[number // 9 % 3])

    def start(self, name):
        node = PlannerNode(name, self.platform, self.fleet, self.engine)
        self.nodes[name] = node
        self.nursery.start_soon(node.run)
        return node

    async def wait_for(self, condition, limit_s):
        with trio.fail_after(limit_s):
            while not condition():
                await trio.sleep(0.05)
