"""The configuration as numbered parts, and the typed configuration that is built from them.

A change writes few parts, so a reader at number N needs only the parts with a higher number.
"""

from __future__ import annotations

import collections
import collections.abc
import functools

import attrs

from toucanhold import codec, parsing
from toucanhold.configuration import document, inventory, rules

RULES_PART = "rules"
ZONES_PART = "zones"
INVENTORY_PREFIX = "inventory/"


class SnapshotError(Exception):
    """A delta or its parts do not give a valid configuration.

    :ivar number: number of that configuration; 0 if it is not known
    """

    def __init__(self, problem: str, number: int = 0) -> None:
        super().__init__(problem)
        self.number = number


@attrs.frozen
class Part:
    """A separately stored part of the configuration.

    :ivar name: :data:`RULES_PART`, :data:`ZONES_PART`, or :data:`INVENTORY_PREFIX` and the name of
        an availability zone
    :ivar number: number of the configuration that wrote it
    :ivar body: JSON; empty if the part was deleted
    """

    name: str
    number: int
    body: bytes

    @functools.cached_property
    def decoded(self) -> inventory.Inventory | rules.Rules | ZonesOut | None:
        """The decoded body; None for a deleted part or one with an unknown name.

        The value is cached: a change writes few parts, and with thousands of VMs decoding the
        unchanged ones again would take more time than all other control work of an entry.

        :raises SnapshotError: when the body is malformed
        """
        kind = _type_of_part(self.name)
        if kind is None or not self.body:
            return None
        try:
            decoded = codec.from_json(self.body, kind)
            for vm in decoded.vms if isinstance(decoded, inventory.Inventory) else ():
                parsing.ip_address(vm.address)
            return decoded
        except (codec.CodecError, parsing.ParseError) as error:
            raise SnapshotError(f"part {self.name}: {error}", self.number) from error


@attrs.frozen
class Delta:
    """The parts that changed between two configurations.

    :ivar base: it can be merged into a configuration with this number or a higher one
    :ivar number: number of the resulting configuration
    """

    base: int
    number: int
    parts: tuple[Part, ...]


@attrs.frozen
class ResolvedHold:
    """A hold that was made durable, or ended by returning its availability zone to service.

    :ivar hold: identifier of the hold
    :ivar at_unix_s: when it was resolved, in Unix seconds by the clock of the entry that wrote it
    """

    hold: str
    at_unix_s: float


@attrs.frozen
class ZonesOut:
    """Availability zones taken out of service by operators, and the holds resolved by it.

    :ivar zones: sorted names
    :ivar resolved: resolved holds within their retention period
    """

    zones: tuple[str, ...] = ()
    resolved: tuple[ResolvedHold, ...] = ()


@attrs.frozen
class Configuration:
    """A complete configuration.

    :ivar number: number of accepted changes; 0 before the first
    :ivar inventory: all VMs, ordered by name
    :ivar rules: services, workspaces and availability zones
    :ivar zones_out: names of availability zones that get no new work
    :ivar resolved_holds: identifiers of holds that this or an earlier configuration resolved
    :ivar parts: the stored parts, deleted ones included, by name
    """

    number: int = 0
    inventory: inventory.Inventory = inventory.Inventory()
    rules: rules.Rules = rules.Rules()
    zones_out: frozenset[str] = frozenset()
    resolved_holds: frozenset[str] = frozenset()
    parts: collections.abc.Mapping[str, Part] = attrs.field(factory=dict, eq=False, repr=False)

    def merged(self, delta: Delta) -> Configuration:
        """Return the configuration that ``delta`` leads to.

        :raises SnapshotError: when the delta leaves a gap, is older, or is malformed
        """
        if delta.base > self.number:
            raise SnapshotError(
                f"gap between configuration {self.number} and the delta's base {delta.base}"
            )
        if delta.number < self.number:
            raise SnapshotError(
                f"delta to {delta.number} is older than configuration {self.number}"
            )
        parts = dict(self.parts) | {part.name: part for part in delta.parts}
        return from_parts(delta.number, parts)

    def delta_since(self, number: int) -> Delta:
        """Return the delta for a reader at configuration ``number``."""
        parts = tuple(part for part in self.parts.values() if part.number > number)
        return Delta(number, self.number, parts)

    def to_document(self) -> document.Document:
        """Return inventory and rules as an operator's document."""
        return document.Document(document.FORMAT_VERSION, self.inventory, self.rules)


def from_parts(number: int, parts: collections.abc.Mapping[str, Part]) -> Configuration:
    """Build a configuration from all its parts.

    :param number: number of the configuration
    :param parts: the parts by name
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
        frozenset(resolved.hold for resolved in zones_out.resolved),
        dict(parts),
    )


def _type_of_part(name: str) -> type | None:
    if name.startswith(INVENTORY_PREFIX):
        return inventory.Inventory
    return {RULES_PART: rules.Rules, ZONES_PART: ZonesOut}.get(name)


def encode_parts(new_document: document.Document) -> dict[str, bytes]:
    """Encode a document as JSON part bodies by part name; each availability zone has its own."""
    by_zone: dict[str, list[inventory.Vm]] = collections.defaultdict(list)
    for vm in sorted(new_document.inventory.vms, key=lambda vm: vm.vm):
        by_zone[vm.availability_zone].append(vm)
    bodies = {
        INVENTORY_PREFIX + zone: codec.to_json(inventory.Inventory(tuple(vms)))
        for zone, vms in by_zone.items()
    }
    bodies[RULES_PART] = codec.to_json(new_document.rules)
    return bodies
