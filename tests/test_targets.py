"""Tests of the selection of heads at a site with ninety groups, one of which changes."""

import random
import unittest
from unittest import mock

import attrs

from standins import gateways, replicas
from tests import clocked
from toucanhold import codec
from toucanhold.coordination import keyvalue, mirror
from toucanhold.gateway import budget, health, limits, load, rate_limiter, targets
from toucanhold.registry import backoffs, registry, servers
from toucanhold.replicas import records

SERVICE = replicas.new_routes(replicas.new_engine()).services[replicas.SERVICE]


def new_item(server, revision):
    key = replicas.REGISTRATIONS_PREFIX + server.server_id
    return keyvalue.Item(key, codec.to_json(server), revision, revision)


def new_head(name, epoch, state=servers.GroupState.OPEN, zone="zone-a"):
    membership = servers.Membership(f"g-{name}", epoch, 0, state)
    return servers.Server(
        name, 1, replicas.SERVICE, f"{name}:80", zone, domain="d0", membership=membership
    )


class HeadsTest(unittest.TestCase):
    def setUp(self):
        self.kv_mirror = mirror.Mirror()
        server_registry = registry.Registry(
            self.kv_mirror, replicas.REGISTRATIONS_PREFIX, replicas.decode_registration
        )
        self.group_table = records.GroupTable(self.kv_mirror)
        self.closed_zones = set()
        entry_list = gateways.FixedEntryList(gateways.new_entry("e1"))
        cold = budget.ColdBudget(1.5, 5, entry_list)
        self.server_selector = targets.ServerSelector(
            server_registry,
            self.group_table,
            load.LoadTracker(),
            health.Health(),
            cold,
            self.closed_zones,
            rate_limiter.RateLimiter(limits.LimitTable(), entry_list, random.Random(1)),
            backoffs.BackoffTable(),
            "zone-a",
            random.Random(1),
        )

    def _put(self, *heads, revision):
        before = self.kv_mirror.revision
        items = tuple(new_item(head, revision) for head in heads)
        self.kv_mirror.apply(mirror.Changes(before, revision, items))

    def _add_group(self, name, epoch):
        record = records.GroupRecord(
            f"g-{name}", replicas.SERVICE, "large", (records.Member(name, 1),)
        )
        self.group_table.put(records.Group(record, epoch, epoch))

    def _candidate_ids(self):
        return [
            server.server_id for server in self.server_selector.find_candidates(SERVICE, "large")
        ]

    @clocked.on_test_clock
    async def test_changes_of_heads_groups_and_zones_apply_immediately(self):
        """Guards against requests to heads that closed, left or are in a closed zone."""
        self.kv_mirror.replace(keyvalue.RangeResult(1, ()))
        self._put(new_head("h1", 5), new_head("h2", 5, zone="zone-b"), revision=2)
        self.assertEqual([], self._candidate_ids())
        self._add_group("h1", 5)
        self._add_group("h2", 5)
        self.assertEqual(["h1", "h2"], self._candidate_ids())
        self.closed_zones.add("zone-b")
        self.assertEqual(["h1"], self._candidate_ids())
        self.closed_zones.clear()
        self._put(new_head("h2", 5, servers.GroupState.CLOSING, "zone-b"), revision=3)
        self.assertEqual(["h1"], self._candidate_ids())
        self._put(attrs.evolve(new_head("h1", 5), is_leaving=True), revision=4)
        self.assertEqual([], self._candidate_ids())
        self._put(new_head("h1", 5), revision=5)
        self.group_table.remove("g-h1")
        self.assertEqual([], self._candidate_ids())

    @clocked.on_test_clock
    async def test_a_group_forms_until_its_head_is_open(self):
        """Guards against requests that are refused although a group is about to serve them."""
        self.kv_mirror.replace(keyvalue.RangeResult(1, ()))
        self._put(new_head("h1", 5, servers.GroupState.JOINING), revision=2)
        self.assertFalse(self.server_selector.has_forming_group(SERVICE, "large"))
        self._add_group("h1", 5)
        self.assertTrue(self.server_selector.has_forming_group(SERVICE, "large"))
        self.assertFalse(self.server_selector.has_forming_group(SERVICE, "small"))
        self._put(new_head("h1", 5), revision=3)
        self.assertFalse(self.server_selector.has_forming_group(SERVICE, "large"))

    @clocked.on_test_clock
    async def test_a_selection_without_changes_checks_no_members(self):
        """Guards against selections that each check a thousand members of ninety groups."""
        self.kv_mirror.replace(keyvalue.RangeResult(1, ()))
        heads = [new_head(f"h{n}", 5) for n in range(90)]
        self._put(*heads, revision=2)
        for head in heads:
            self._add_group(head.server_id, 5)
        self.assertEqual(90, len(self._candidate_ids()))
        with mock.patch.object(records.Group, "is_open") as is_open:
            self._candidate_ids()
        is_open.assert_not_called()
