"""Comparison of two configurations."""

from __future__ import annotations

import collections.abc
import enum

import attrs

from toucanhold.configuration import snapshot


class Kind(enum.Enum):
    """The kind of object that a difference concerns."""

    VM = "vm"
    SERVICE = "service"
    WORKSPACE = "workspace"
    AVAILABILITY_ZONE = "availability-zone"
    ZONE_OUT = "zone-out"
    PART = "part"


class Change(enum.Enum):
    """What happened to an object between the older and the newer configuration."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class Difference:
    """An object that differs between two configurations.

    :ivar name: name of the VM, service, workspace, availability zone or part
    """

    kind: Kind
    name: str
    change: Change

    def __str__(self) -> str:
        return f"{self.kind.value} {self.name}: {self.change.value}"


def between(old: snapshot.Configuration, new: snapshot.Configuration) -> tuple[Difference, ...]:
    """Return what ``new`` adds, removes and changes, ordered by kind and name."""
    differences = [
        *_compare(Kind.VM, old.inventory.by_name(), new.inventory.by_name()),
        *_compare(Kind.SERVICE, _by_name(old.rules.services), _by_name(new.rules.services)),
        *_compare(Kind.WORKSPACE, _by_name(old.rules.workspaces), _by_name(new.rules.workspaces)),
        *_compare(
            Kind.AVAILABILITY_ZONE,
            _by_name(old.rules.availability_zones),
            _by_name(new.rules.availability_zones),
        ),
        *_compare(Kind.ZONE_OUT, dict.fromkeys(old.zones_out), dict.fromkeys(new.zones_out)),
    ]
    return tuple(sorted(differences, key=lambda item: (item.kind.value, item.name)))


def parts_changed_since(number: int, new: snapshot.Configuration) -> tuple[Difference, ...]:
    """Return the parts of ``new`` that were written after configuration ``number``.

    This is the coarser form for a configuration ``number`` that is no longer in the history.
    """
    names = sorted(part.name for part in new.parts.values() if part.number > number)
    return tuple(Difference(Kind.PART, name, Change.CHANGED) for name in names)


def _by_name(values: collections.abc.Iterable) -> dict[str, object]:
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
