"""Which heads may get a request: a site of ninety groups, of which one changes at a time."""

import random
import unittest
from unittest import mock

import attrs

from standins import gateways, replicas
from tests import clocked
from toucanhold import codec
from toucanhold.coordination import keyvalue, mirror
from toucanhold.gateway import budget, health, load, targets
from toucanhold.registry import registry, servers
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
        self.copy = mirror.Mirror()
        known = registry.Registry(
            self.copy, replicas.REGISTRATIONS_PREFIX, replicas.decode_registration
        )
        self.board = records.GroupTable(self.copy)
        self.closed = set()
        cold = budget.ColdBudget(1.5, 5, gateways.FixedEntryList(gateways.new_entry("e1")))
        self.targets = targets.Targets(
            known,
            self.board,
            load.LoadBoard(),
            health.Health(),
            cold,
            self.closed,
            "zone-a",
            random.Random(1),
        )

    def _put(self, *heads, revision):
        before = self.copy.revision
        items = tuple(new_item(head, revision) for head in heads)
        self.copy.apply(mirror.Changes(before, revision, items))

    def _form(self, name, epoch):
        record = records.GroupRecord(
            f"g-{name}", replicas.SERVICE, "large", (records.Member(name, 1),)
        )
        self.board.put(records.Group(record, epoch, epoch))

    def _found(self):
        return [server.server_id for server in self.targets.find(SERVICE, "large")]

    @clocked.on_test_clock
    async def test_changes_of_heads_groups_and_zones_are_seen_at_once(self):
        """Guards against requests to heads that closed, left or are in a zone that is out."""
        self.copy.replace(keyvalue.RangeResult(1, ()))
        self._put(new_head("h1", 5), new_head("h2", 5, zone="zone-b"), revision=2)
        self.assertEqual([], self._found())
        self._form("h1", 5)
        self._form("h2", 5)
        self.assertEqual(["h1", "h2"], self._found())
        self.closed.add("zone-b")
        self.assertEqual(["h1"], self._found())
        self.closed.clear()
        self._put(new_head("h2", 5, servers.GroupState.CLOSING, "zone-b"), revision=3)
        self.assertEqual(["h1"], self._found())
        self._put(attrs.evolve(new_head("h1", 5), is_leaving=True), revision=4)
        self.assertEqual([], self._found())
        self._put(new_head("h1", 5), revision=5)
        self.board.remove("g-h1")
        self.assertEqual([], self._found())

    @clocked.on_test_clock
    async def test_a_choice_without_news_goes_through_no_members(self):
        """Guards against choices that each check a thousand members of ninety groups."""
        self.copy.replace(keyvalue.RangeResult(1, ()))
        heads = [new_head(f"h{n}", 5) for n in range(90)]
        self._put(*heads, revision=2)
        for head in heads:
            self._form(head.server_id, 5)
        self.assertEqual(90, len(self._found()))
        with mock.patch.object(records.Group, "is_open") as check:
            self._found()
        check.assert_not_called()
