"""Tests of the entry list with hundreds of records, few of which change at a time."""

import random
import unittest
from unittest import mock

import trio

from standins import gateways, memory
from tests import clocked
from toucanhold import codec
from toucanhold.coordination import keyvalue, mirror
from toucanhold.gateway import entries


def new_item(name, revision, boot="b1", value=None):
    entry = entries.Entry(name, "zone-a", "r", "10.1.0.1:80", "10.1.0.1:7340", boot)
    key = f"{entries.ENTRIES_PREFIX}{name}/{boot}"
    return keyvalue.Item(key, value or codec.to_json(entry), revision, revision)


class EntryListTest(unittest.TestCase):
    def setUp(self):
        self.kv_mirror = mirror.Mirror()
        client = memory.MemoryPlatform().client("own")
        own = gateways.new_entry("own")
        self.entry_list = entries.EntryList(own, client, self.kv_mirror, random.Random(1))

    def _boots_by_name(self):
        return {entry.entry: entry.boot for entry in self.entry_list.others()}

    @clocked.on_test_clock
    async def test_one_change_decodes_one_record(self):
        """Guards against entries that decode all records whenever one changes."""
        items = tuple(new_item(f"e{n}", n + 1) for n in range(195))
        self.kv_mirror.replace(keyvalue.RangeResult(195, items))
        with mock.patch.object(codec, "from_json", wraps=codec.from_json) as decode:
            self.kv_mirror.apply(mirror.Changes(195, 196, (new_item("e195", 196),)))
            self.entry_list._refresh_others()
        self.assertEqual(1, decode.call_count)
        self.assertEqual(196, len(self.entry_list.others()))

    @clocked.on_test_clock
    async def test_the_newest_record_of_a_restarted_entry_is_used(self):
        self.kv_mirror.replace(keyvalue.RangeResult(1, (new_item("e1", 1),)))
        self.kv_mirror.apply(mirror.Changes(1, 2, (new_item("e1", 2, "b2"),)))
        self.assertEqual({"e1": "b2"}, self._boots_by_name())
        old = mirror.Deletion(f"{entries.ENTRIES_PREFIX}e1/b1", 3)
        self.kv_mirror.apply(mirror.Changes(2, 3, (), (old,)))
        self.assertEqual({"e1": "b2"}, self._boots_by_name())
        self.assertIsNone(self.entry_list.find("e1", "b1"))
        self.assertEqual("b2", self.entry_list.find("e1", "b2").boot)

    @clocked.on_test_clock
    async def test_an_invalid_record_does_not_affect_others(self):
        """Guards against an entry that exits or loses the others because of an invalid record."""
        invalid = new_item("e2", 2, value=b"\xff")
        with self.assertLogs(entries.LOGGER, "WARNING"):
            self.kv_mirror.replace(keyvalue.RangeResult(2, (new_item("e1", 1), invalid)))
        self.assertEqual({"e1": "b1"}, self._boots_by_name())

    @clocked.on_test_clock
    async def test_entries_that_left_are_known_while_they_may_still_serve(self):
        """Guards against dropped notices of stopping entries, and against those of dead ones."""
        self.kv_mirror.replace(keyvalue.RangeResult(2, (new_item("e1", 1), new_item("e2", 2))))
        self.assertIsNone(self.entry_list.find_departed("e1", "b1"))
        deleted = tuple(
            mirror.Deletion(f"{entries.ENTRIES_PREFIX}{name}/b1", 4) for name in ("e1", "e2")
        )
        await trio.sleep(2 * entries.LAPSE_GRACE_S)
        self.kv_mirror.apply(mirror.Changes(2, 4, (), deleted))
        self.assertEqual("e1", self.entry_list.find_departed("e1", "b1").entry)
        self.assertIsNone(self.entry_list.find_departed("e1", "b2"))
        self.kv_mirror.apply(mirror.Changes(4, 5, (new_item("e2", 5, "b2"),)))
        self.assertIsNone(self.entry_list.find_departed("e2", "b1"))
        await trio.sleep(entries.DEPARTED_VALIDITY_S)
        self.assertIsNone(self.entry_list.find_departed("e1", "b1"))
