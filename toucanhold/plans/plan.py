"""The plan: one record for each fabric domain."""

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
    """One holder's time as planner.

    :ivar fencing: its fencing number
    :ivar entry: the entry that held the lease
    :ivar process: identifier of the entry's process; a restarted entry has another
    :ivar peers_address: where that process takes peers' connections
    """

    fencing: int
    entry: str
    process: str
    peers_address: str


@attrs.frozen
class Group:
    """A replica's VMs.

    :ivar group: unique name; it tells the fabric domain
    :ivar generation: grows with each new set of members; never used twice
    :ivar service: the service that it serves
    :ivar members: VM names by rank; rank 0 takes the requests
    :ivar boots: boot ids of the members when they were chosen; empty where not recorded
    :ivar model: the model that it loads; empty for the service's present one
    :ivar version: the model's version
    :ivar spare: the VM that may take a lost member's place while nothing can be decided
    :ivar spare_boot: the spare's boot id
    :ivar formed: all members have joined; from now on a member that is missing ends the generation
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
        """Group and generation, as members report them."""
        return (self.group, self.generation)

    def expects_boot(self, vm: str, boot_id: str) -> bool:
        """Tell whether a member still runs the process that was chosen."""
        # An engine that restarts between two reports and is ordered into the same generation
        # again looks like one that never left; its boot id tells the two apart on every entry.
        return not self.boots or self.boots[self.members.index(vm)] == boot_id


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

    def group_of(self, vm: str) -> Group | None:
        """Return the group that a VM is to be in."""
        return next((group for group in self.groups if vm in group.members), None)


@attrs.frozen
class VersionedDomainPlan:
    """A domain's plan and the revision at which it was written; 0 if never."""

    plan: DomainPlan
    revision: int = 0


@attrs.define(eq=False)
class PlanHolder:
    """The plan as this entry knows it.

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
        """Yield every group."""
        for versioned in self._domains.values():
            for group in versioned.plan.groups:
                yield self._substitutes.get(group.generation_key, group)

    def group_of(self, vm: str, domain: str) -> Group | None:
        """Return the group that a VM of ``domain`` is to be in, substitutes considered."""
        groups = (
            self._substitutes.get(group.generation_key, group)
            for group in self.domain(domain).plan.groups
        )
        return next((group for group in groups if vm in group.members), None)

    def set_substitute(self, group: Group, substitute: Group) -> bool:
        """Let ``substitute`` stand for a group until its record changes; false if one does."""
        if group.generation_key in self._substitutes:
            return False
        self._substitutes[group.generation_key] = substitute
        self._signal()
        return True

    def substitute_of(self, group: Group) -> Group | None:
        """Return what stands for a group."""
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
        """The highest revision known."""
        return max((versioned.revision for versioned in self._domains.values()), default=0)

    def apply(self, versioned: VersionedDomainPlan) -> bool:
        """Take in a domain's plan; false where a later one is known."""
        # A late event must not revive a group whose VMs were given to another.
        old = self.domain(versioned.plan.domain)
        if versioned.revision <= old.revision:
            return False
        self._domains[versioned.plan.domain] = versioned
        self._keep_former(old.plan, versioned.plan)
        self._signal()
        return True

    def _signal(self) -> None:
        self.change_count += 1
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self) -> None:
        """Return after the next change."""
        await self._changed.wait()

    def _keep_former(self, old: DomainPlan, new: DomainPlan) -> None:
        planned = {group.generation_key for group in new.groups}
        for group in old.groups:
            if group.generation_key not in planned:
                self._former_groups[group.generation_key] = group
                self._substitutes.pop(group.generation_key, None)
        while len(self._former_groups) > FORMER_GROUPS_KEPT:
            del self._former_groups[next(iter(self._former_groups))]


def substitute(group: Group, lost: str) -> Group:
    """Return the group in which the spare has taken the place of ``lost``.

    A pure function of the record: each member has a generation number of its own, reserved when the
    group was formed, so that no two sets of members ever share one.
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

    :raises codec.CodecError: when it is malformed
    """
    return VersionedDomainPlan(codec.from_json(item.value, DomainPlan), item.mod_revision)
