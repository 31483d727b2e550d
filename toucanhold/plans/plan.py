"""Records of the plan, one for each fabric domain, and this entry's copy of them."""

import collections.abc
import logging

import attrs
import trio

from toucanhold import codec
from toucanhold.coordination import keyvalue

PLAN_PREFIX = "toucanhold/plan/"
FORMER_GROUPS_KEPT = 1000

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Term:
    """The period for which one entry holds the planner lease without a break.

    :ivar fencing: fencing number of the term
    :ivar entry: name of the entry that held the lease
    :ivar process: identifier of the entry's process; a restarted entry has another
    :ivar peers_address: ``IP:port`` at which that process accepts peers' connections
    """

    fencing: int
    entry: str
    process: str
    peers_address: str


@attrs.frozen
class Group:
    """The VMs that together run one replica.

    :ivar group: unique name, made of the fabric domain and the generation
    :ivar generation: grows with each new set of members; never used twice in a domain
    :ivar service: name of the service
    :ivar members: VM names by rank; rank 0 receives the requests
    :ivar boots: boot ids of the members when they were selected, by rank; empty if not recorded
    :ivar model: the model to load; empty for the service's current one
    :ivar version: the model's version; empty for the service's current one
    :ivar formed: whether all members have joined; once set, a missing member ends the generation
    :ivar spare: the VM that may replace a lost member while the key-value service is unavailable;
        empty if there is none
    :ivar spare_boot: the spare's boot id
    """

    group: str
    generation: int
    service: str
    members: tuple[str, ...]
    boots: tuple[str, ...] = ()
    model: str = ""
    version: str = ""
    formed: bool = False
    spare: str = ""
    spare_boot: str = ""

    @property
    def generation_key(self) -> tuple[str, int]:
        """Name and generation of the group, as its members report them."""
        return (self.group, self.generation)

    def expects_boot(self, vm: str, boot_id: str) -> bool:
        """Return whether ``boot_id`` is that of the process selected as member.

        :param vm: name of a member
        """
        # An engine that restarts between two reports and is ordered into the same generation again
        # looks like one that never left. Only its boot id distinguishes the two on every entry.
        return not self.boots or self.boots[self.members.index(vm)] == boot_id


@attrs.frozen
class DomainPlan:
    """All groups of one fabric domain.

    Groups never span fabric domains, so the compare-and-swap of this one record covers each of the
    domain's VMs, and no VM can be in two groups.

    :ivar domain: name of the fabric domain
    :ivar fencing: fencing number of the planner that wrote the record
    :ivar last_generation: highest generation used or reserved in the domain so far
    :ivar groups: the planned groups
    """

    domain: str
    fencing: int = 0
    last_generation: int = 0
    groups: tuple[Group, ...] = ()

    def group_of(self, vm: str) -> Group | None:
        """Return the group that a VM is planned to be in, or None."""
        return next((group for group in self.groups if vm in group.members), None)


@attrs.frozen
class VersionedDomainPlan:
    """A domain's plan and the store's revision at which it was written; 0 if it never was."""

    plan: DomainPlan
    revision: int = 0


@attrs.define(eq=False)
class PlanHolder:
    """This entry's copy of the plan.

    :ivar change_count: number of changes applied; grows whenever a cached derivation is stale
    """

    change_count: int = attrs.field(default=0, init=False)
    _domains: dict[str, VersionedDomainPlan] = attrs.field(factory=dict)
    _substitutes: dict[tuple[str, int], Group] = attrs.field(factory=dict)
    _former_groups: dict[tuple[str, int], Group] = attrs.field(factory=dict)
    _changed: trio.Event = attrs.field(factory=trio.Event)

    def domain(self, name: str) -> VersionedDomainPlan:
        """Return one domain's plan, empty if there is none."""
        return self._domains.get(name) or VersionedDomainPlan(DomainPlan(name))

    def domains(self) -> tuple[VersionedDomainPlan, ...]:
        """Return all domains' plans."""
        return tuple(self._domains.values())

    def groups(self) -> collections.abc.Iterator[Group]:
        """Yield every planned group, or its substitute if one is set."""
        for versioned in self._domains.values():
            for group in versioned.plan.groups:
                yield self._substitutes.get(group.generation_key, group)

    def group_of(self, vm: str, domain: str) -> Group | None:
        """Return the group, or substitute, that a VM of ``domain`` is planned to be in, or None."""
        groups = (
            self._substitutes.get(group.generation_key, group)
            for group in self.domain(domain).plan.groups
        )
        return next((group for group in groups if vm in group.members), None)

    def set_substitute(self, group: Group, substitute: Group) -> bool:
        """Set a group's substitute until the group leaves the plan; false if one is set already."""
        if group.generation_key in self._substitutes:
            return False
        self._substitutes[group.generation_key] = substitute
        self._notify_changed()
        return True

    def substitute_of(self, group: Group) -> Group | None:
        """Return the substitute that is set for a group, or None."""
        return self._substitutes.get(group.generation_key)

    def substitutes(self) -> tuple[Group, ...]:
        """Return all substitutes."""
        return tuple(self._substitutes.values())

    def former_group(self, generation_key: tuple[str, int]) -> Group | None:
        """Return a group that was planned until recently, or None.

        The last ``FORMER_GROUPS_KEPT`` groups that left the plan are kept.
        """
        return self._former_groups.get(generation_key)

    @property
    def revision(self) -> int:
        """The highest revision among all domains' plans; 0 without any."""
        return max((versioned.revision for versioned in self._domains.values()), default=0)

    def apply(self, versioned: VersionedDomainPlan) -> bool:
        """Store a domain's plan; false if the same or a later revision is stored already."""
        # A delayed event must not restore a group whose VMs were assigned to another one.
        old = self.domain(versioned.plan.domain)
        if versioned.revision <= old.revision:
            return False
        self._domains[versioned.plan.domain] = versioned
        self._retain_former(old.plan, versioned.plan)
        self._notify_changed()
        return True

    def _notify_changed(self) -> None:
        self.change_count += 1
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Return after the next change."""
        await self._changed.wait()

    def _retain_former(self, old: DomainPlan, new: DomainPlan) -> None:
        planned_keys = {group.generation_key for group in new.groups}
        for group in old.groups:
            if group.generation_key not in planned_keys:
                self._former_groups[group.generation_key] = group
                self._substitutes.pop(group.generation_key, None)
        while len(self._former_groups) > FORMER_GROUPS_KEPT:
            del self._former_groups[next(iter(self._former_groups))]


def substitute(group: Group, lost: str) -> Group:
    """Return the group in which the spare replaces the member ``lost``.

    The result depends on the record alone. A generation number was reserved for each member when
    the group was formed, so that no two sets of members ever share a number.
    """
    rank = group.members.index(lost)
    generation = group.generation + 1 + rank
    members, boots = list(group.members), list(group.boots)
    members[rank] = group.spare
    if boots:
        boots[rank] = group.spare_boot
    return attrs.evolve(
        group,
        group=f"{group.group.rpartition('/')[0]}/{generation}",
        generation=generation,
        members=tuple(members),
        boots=tuple(boots),
        formed=False,
        spare="",
        spare_boot="",
    )


def key_of(domain: str) -> str:
    """Return the key of a domain's record."""
    return PLAN_PREFIX + domain


def from_item(item: keyvalue.Item) -> VersionedDomainPlan:
    """Decode a stored record.

    :raises codec.CodecError: when the record is malformed
    """
    return VersionedDomainPlan(codec.from_json(item.value, DomainPlan), item.mod_revision)
