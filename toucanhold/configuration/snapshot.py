"""The configuration as numbered parts, and as the typed whole they make.

A change touches few parts, so a reader that knows number N needs only the parts with a higher one.
"""

from __future__ import annotations

import collections
import collections.abc
import functools

import attrs

from toucanhold import codec
from toucanhold.configuration import document, inventory, rules

RULES_PART = "rules"
ZONES_PART = "zones"
INVENTORY_PREFIX = "inventory/"


class SnapshotError(Exception):
    """Parts that do not make a configuration.

    :ivar number: number of that configuration; 0 where it is not known
    """

    def __init__(self, problem: str, number: int = 0) -> None:
        super().__init__(problem)
        self.number = number


@attrs.frozen
class Part:
    """One part.

    :ivar number: number of the change that wrote it
    :ivar body: JSON; empty when the part was deleted
    """

    name: str
    number: int
    body: bytes

    @functools.cached_property
    def decoded(self) -> inventory.Inventory | rules.Rules | ZonesOut | None:
        """What the body says; None for a deleted part or one of an unknown name.

        Decoded once: a change touches few parts, and with thousands of VMs decoding the others
        anew for each change would take more time than all else that an entry does for control.

        :raises SnapshotError: when the body is malformed
        """
        kind = _kind_of(self.name)
        if kind is None or not self.body:
            return None
        try:
            return codec.from_json(self.body, kind)
        except codec.CodecError as error:
            raise SnapshotError(f"part {self.name}: {error}", self.number) from error


@attrs.frozen
class Delta:
    """Parts that take a configuration to ``number``; complete for readers at ``base`` or later."""

    base: int
    number: int
    parts: tuple[Part, ...]


@attrs.frozen
class ResolvedHold:
    """A hold that has been made durable, or ended by a return.

    :ivar at_unix_s: when, by the wall clock of the entry that wrote it
    """

    hold: str
    at_unix_s: float


@attrs.frozen
class ZonesOut:
    """Availability zones taken out by operators, and the holds that are thereby settled."""

    zones: tuple[str, ...] = ()
    resolved: tuple[ResolvedHold, ...] = ()


@attrs.frozen
class Configuration:
    """What is in force.

    :ivar number: counts accepted changes; 0 before the first
    :ivar zones_out: availability zones that get no new work
    :ivar resolved_holds: identifiers of holds that this or an earlier configuration settled
    """

    number: int = 0
    inventory: inventory.Inventory = inventory.Inventory()
    rules: rules.Rules = rules.Rules()
    zones_out: frozenset[str] = frozenset()
    resolved_holds: frozenset[str] = frozenset()
    parts: collections.abc.Mapping[str, Part] = attrs.field(factory=dict, eq=False, repr=False)

    def merged(self, delta: Delta) -> Configuration:
        """Return the configuration at ``delta.number``.

        :raises SnapshotError: when the delta leaves a gap, is older, or is malformed
        """
        if delta.base > self.number:
            raise SnapshotError(f"a gap: have {self.number}, the delta starts at {delta.base}")
        if delta.number < self.number:
            raise SnapshotError(f"older: have {self.number}, got {delta.number}")
        parts = dict(self.parts) | {part.name: part for part in delta.parts}
        return from_parts(delta.number, parts)

    def delta_since(self, number: int) -> Delta:
        """Return what a reader at ``number`` lacks."""
        parts = tuple(part for part in self.parts.values() if part.number > number)
        return Delta(number, self.number, parts)

    def to_document(self) -> document.Document:
        """Return inventory and rules in the operators' form."""
        return document.Document(document.FORMAT_VERSION, self.inventory, self.rules)


def from_parts(number: int, parts: collections.abc.Mapping[str, Part]) -> Configuration:
    """Build the typed configuration.

    :raises SnapshotError: when a part is malformed
    """
    vms: list[inventory.Vm] = []
    new_rules, zones_out = rules.Rules(), ZonesOut()
    for part in parts.values():
        decoded = part.decoded
        if isinstance(decoded, rules.Rules):
            new_rules = decoded
        elif isinstance(decoded, ZonesOut):
            zones_out = decoded
        elif decoded is not None:
            vms += decoded.vms
    vms.sort(key=lambda vm: vm.vm)
    return Configuration(
        number,
        inventory.Inventory(tuple(vms)),
        new_rules,
        frozenset(zones_out.zones),
        frozenset(each.hold for each in zones_out.resolved),
        dict(parts),
    )


def _kind_of(name: str) -> type | None:
    if name.startswith(INVENTORY_PREFIX):
        return inventory.Inventory
    return {RULES_PART: rules.Rules, ZONES_PART: ZonesOut}.get(name)


def encode_parts(wanted: document.Document) -> dict[str, bytes]:
    """Return the part bodies of a document; the inventory is split by availability zone."""
    by_zone: dict[str, list[inventory.Vm]] = collections.defaultdict(list)
    for vm in sorted(wanted.inventory.vms, key=lambda vm: vm.vm):
        by_zone[vm.availability_zone].append(vm)
    bodies = {
        INVENTORY_PREFIX + zone: codec.to_json(inventory.Inventory(tuple(vms)))
        for zone, vms in by_zone.items()
    }
    bodies[RULES_PART] = codec.to_json(wanted.rules)
    return bodies
