"""The plan: one record for each fabric domain."""

import collections.abc
import logging

import attrs
import trio

from toucanhold import codec
from toucanhold.platform import keyvalue

PLAN_PREFIX = "toucanhold/plan/"

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Group:
    """A replica's VMs.

    :ivar group: unique name; it tells the fabric domain
    :ivar generation: grows with each new set of members; never used twice
    :ivar service: the service that it serves
    :ivar members: VM names by rank; rank 0 takes the requests
    """

    group: str
    generation: int
    service: str
    members: tuple[str, ...]


@attrs.frozen
class DomainPlan:
    """All groups of one fabric domain.

    Groups never cross a fabric domain, so the compare-and-swap of this one record decides about
    each of its VMs, and no VM can stand in two groups.

    :ivar fencing: the planner's fencing number
    :ivar last_generation: highest generation ever used in the domain
    """

    domain: str
    fencing: int = 0
    last_generation: int = 0
    groups: tuple[Group, ...] = ()


@attrs.frozen
class VersionedDomainPlan:
    """A domain's plan and the revision at which it was written; 0 if never."""

    plan: DomainPlan
    revision: int = 0


@attrs.define(eq=False)
class PlanHolder:
    """The plan as this entry knows it."""

    _domains: dict[str, VersionedDomainPlan] = attrs.field(factory=dict)
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def domain(self, name: str) -> VersionedDomainPlan:
        """Return one domain's plan, empty if there is none."""
        return self._domains.get(name) or VersionedDomainPlan(DomainPlan(name))

    def domains(self) -> tuple[VersionedDomainPlan, ...]:
        """Return all domains' plans."""
        return tuple(self._domains.values())

    def groups(self) -> collections.abc.Iterator[Group]:
        """Yield every group."""
        for versioned in self._domains.values():
            yield from versioned.plan.groups

    @property
    def revision(self) -> int:
        """The highest revision known."""
        return max((versioned.revision for versioned in self._domains.values()), default=0)

    def apply(self, versioned: VersionedDomainPlan) -> bool:
        """Take in a domain's plan; false where a later one is known."""
        # A late event must not revive a group whose VMs were given to another.
        if versioned.revision <= self.domain(versioned.plan.domain).revision:
            return False
        self._domains[versioned.plan.domain] = versioned
        self._changed.set()
        self._changed = trio.Event()
        return True

    async def wait_changed(self) -> None:
        """Return after the next change."""
        await self._changed.wait()


def from_item(item: keyvalue.Item) -> VersionedDomainPlan:
    """Decode a stored record.

    :raises codec.CodecError: when it is malformed
    """
    return VersionedDomainPlan(codec.from_json(item.value, DomainPlan), item.mod_revision)
