"""Groups as they stand in the key-value service."""

from __future__ import annotations

import enum
import logging

import attrs

from toucanhold import codec, events
from toucanhold.coordination import keyvalue, mirror
from toucanhold.registry import registry, servers

GROUPS_PREFIX = "toucanhold/groups/"

LOGGER = logging.getLogger(__name__)


class Phase(enum.Enum):
    """What a planner wants of a group."""

    SERVING = "serving"
    ENDING = "ending"


@attrs.frozen
class Member:
    """One start of one backend server."""

    server_id: str
    born_ms: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """What tells this start from others of the same name."""
        return self.server_id, self.born_ms


@attrs.frozen
class GroupRecord:
    """A group, written before any of its members hears of it.

    :ivar members: by rank; the first is the head, which gets the requests
    """

    group: str
    service: str
    model: str
    members: tuple[Member, ...]
    phase: Phase = Phase.SERVING


@attrs.frozen
class Group:
    """A record with the revisions that the key-value service gave it.

    :ivar epoch: the revision of its creation: later groups have a higher one, whoever plans them
    :ivar revision: the revision of its last change
    """

    record: GroupRecord
    epoch: int
    revision: int

    @property
    def name(self) -> str:
        """The group's name."""
        return self.record.group

    @property
    def head(self) -> Member:
        """The member that gets the requests."""
        return self.record.members[0]

    @property
    def is_ending(self) -> bool:
        """Whether it is to get no new work."""
        return self.record.phase is Phase.ENDING

    def is_open(self, server_registry: registry.Registry) -> bool:
        """Tell whether the head serves and no member is known to have started again since.

        A member whose registration has lapsed may only be cut off from the key-value service, and
        the group works on with it: where a fifth of all servers were cut off, nearly every group
        of sixteen was given up. The planner asks such members, and the group's streams tell
        within a fraction of a second if nothing moves.
        """
        if not server_registry.is_registered(self.head.incarnation):
            return False
        if not all(
            server_registry.may_be_alive(member.incarnation) for member in self.record.members
        ):
            return False
        head = server_registry.servers[self.head.server_id]
        return head.state_in(self.name, self.epoch) is servers.GroupState.OPEN


@attrs.define(eq=False)
class GroupTable:
    """All groups that the key-value service holds.

    :ivar groups: name to group
    :ivar version: grows with each change
    """

    kv_mirror: mirror.Mirror
    groups: dict[str, Group] = attrs.field(factory=dict, init=False)
    version: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Follow the records."""
        self.kv_mirror.listen(GROUPS_PREFIX, self._apply_changes)

    def put(self, group: Group) -> None:
        """Take in what this process has just written, ahead of the mirror."""
        current = self.groups.get(group.name)
        if current is None or current.revision < group.revision:
            self.groups[group.name] = group
            self.version += 1

    def remove(self, name: str) -> None:
        """Take in a deletion by this process."""
        self.groups.pop(name, None)
        self.version += 1

    def groups_by_server(self) -> dict[str, Group]:
        """Return which server belongs to which group."""
        return {
            member.server_id: group
            for group in self.groups.values()
            for member in group.record.members
        }

    def _apply_changes(self, keys: frozenset[str]) -> None:
        for key in keys:
            name = key.removeprefix(GROUPS_PREFIX)
            item = self.kv_mirror.items.get(key)
            if item is None:
                self.remove(name)
                continue
            try:
                self.put(decode(item))
            except codec.CodecError as error:
                events.log(LOGGER, events.Event.GROUP_UNREADABLE, group=name, reason=str(error))


def find_members(group: Group, server_registry: registry.Registry) -> list[servers.Server]:
    """Return what is known of a group's members, registered or lapsed."""
    found = (server_registry.find(member.incarnation) for member in group.record.members)
    return [server for server in found if server is not None]


def decode(item: keyvalue.Item) -> Group:
    """Read a stored record.

    :raises codec.CodecError: when it has another shape
    """
    record = codec.from_json(item.value, GroupRecord)
    if not record.members:
        raise codec.CodecError("a group without members")
    return Group(record, item.create_revision, item.mod_revision)


def encode(record: GroupRecord) -> bytes:
    """Return the bytes of a record."""
    return codec.to_json(record)
