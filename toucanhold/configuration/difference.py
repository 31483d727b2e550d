"""What differs between two configurations."""

from __future__ import annotations

import collections.abc
import enum

import attrs

from toucanhold.configuration import snapshot


class Kind(enum.Enum):
    """What a difference is about."""

    VM = "vm"
    SERVICE = "service"
    WORKSPACE = "workspace"
    AVAILABILITY_ZONE = "availability-zone"
    ZONE_OUT = "zone-out"
    PART = "part"


class Change(enum.Enum):
    """How the later configuration differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class Difference:
    """One thing that differs."""

    kind: Kind
    name: str
    change: Change

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}: {self.change.value}"


def between(old: snapshot.Configuration, new: snapshot.Configuration) -> tuple[Difference, ...]:
    """Return what is different in ``new``, ordered by kind and name."""
    differences = [
        *_compare(Kind.VM, old.inventory.by_name(), new.inventory.by_name()),
        *_compare(Kind.SERVICE, _named(old.rules.services), _named(new.rules.services)),
        *_compare(Kind.WORKSPACE, _named(old.rules.workspaces), _named(new.rules.workspaces)),
        *_compare(
            Kind.AVAILABILITY_ZONE,
            _named(old.rules.availability_zones),
            _named(new.rules.availability_zones),
        ),
        *_compare(Kind.ZONE_OUT, dict.fromkeys(old.zones_out), dict.fromkeys(new.zones_out)),
    ]
    return tuple(sorted(differences, key=lambda each: (each.kind.value, each.name)))


def parts_changed_since(number: int, new: snapshot.Configuration) -> tuple[Difference, ...]:
    """Return the parts that have changed since ``number``, where no more is known."""
    names = sorted(part.name for part in new.parts.values() if part.number > number)
    return tuple(Difference(Kind.PART, name, Change.CHANGED) for name in names)


def _named(values: collections.abc.Iterable) -> dict[str, object]:
    return {value.name: value for value in values}


def _compare(
    kind: Kind,
    old: collections.abc.Mapping[str, object],
    new: collections.abc.Mapping[str, object],
) -> collections.abc.Iterator[Difference]:
    for name in old.keys() - new.keys():
        yield Difference(kind, name, Change.REMOVED)
    for name in new.keys() - old.keys():
        yield Difference(kind, name, Change.ADDED)
    for name in old.keys() & new.keys():
        if old[name] != new[name]:
            yield Difference(kind, name, Change.CHANGED)
