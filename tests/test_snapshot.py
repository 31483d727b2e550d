"""Tests of merging configuration deltas and of creating them."""

import unittest

from tools.capacity import state
from toucanhold import codec
from toucanhold.configuration import snapshot


def _zones_part(number: int, *zones: str) -> snapshot.Part:
    body = codec.to_json(snapshot.ZonesOut(zones))
    return snapshot.Part(snapshot.ZONES_PART, number, body)


class MergeTest(unittest.TestCase):
    def setUp(self):
        self.configuration = state.sample_configuration(50)

    def test_change_keeps_the_other_parts(self):
        merged = self.configuration.merged(snapshot.Delta(1, 2, (_zones_part(2, "zone-1"),)))
        self.assertEqual(frozenset({"zone-1"}), merged.zones_out)
        self.assertEqual(self.configuration.inventory, merged.inventory)
        name = f"{snapshot.INVENTORY_PREFIX}zone-1"
        self.assertIs(self.configuration.parts[name].decoded, merged.parts[name].decoded)

    def test_deleted_part_removes_its_vms(self):
        part = snapshot.Part(f"{snapshot.INVENTORY_PREFIX}zone-1", 2, b"")
        merged = self.configuration.merged(snapshot.Delta(1, 2, (part,)))
        zones = {vm.availability_zone for vm in merged.inventory.vms}
        self.assertNotIn("zone-1", zones)
        self.assertEqual(10, len(zones))

    def test_gap_older_delta_and_malformed_parts_raise_snapshot_error(self):
        for delta in (
            snapshot.Delta(2, 3, ()),
            snapshot.Delta(0, 0, ()),
            snapshot.Delta(1, 2, (snapshot.Part(snapshot.RULES_PART, 2, b"{"),)),
            snapshot.Delta(1, 2, (snapshot.Part(snapshot.RULES_PART, 2, b'{"services": 3}'),)),
        ):
            with self.subTest(delta=delta), self.assertRaises(snapshot.SnapshotError):
                self.configuration.merged(delta)

    def test_delta_has_only_the_parts_changed_since(self):
        merged = self.configuration.merged(snapshot.Delta(1, 2, (_zones_part(2, "zone-1"),)))
        delta = merged.delta_since(1)
        self.assertEqual([snapshot.ZONES_PART], [part.name for part in delta.parts])
        self.assertEqual(merged, self.configuration.merged(delta))
        from_scratch = snapshot.Configuration().merged(merged.delta_since(0))
        self.assertEqual(merged, from_scratch)
