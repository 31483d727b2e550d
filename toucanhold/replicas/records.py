"""Stores group records in the key-value service and keeps a local table of them."""

from __future__ import annotations

import enum
import logging

import attrs

from toucanhold import codec, events, parsing
from toucanhold.coordination import keyvalue, mirror
from toucanhold.registry import registry, servers

GROUPS_PREFIX = "toucanhold/groups/"

LOGGER = logging.getLogger(__name__)


class Phase(enum.Enum):
    """The state that the planner has requested for a group."""

    SERVING = "serving"
    ENDING = "ending"


@attrs.frozen
class Member:
    """One process of a backend server.

    :ivar server_id: name of the server, which may stay the same after a restart
    :ivar born_ms: start of the process, in Unix milliseconds
    :ivar address: ``IP:port``; empty in records of earlier versions
    :ivar zone: availability zone
    """

    server_id: str
    born_ms: int
    address: str = ""
    zone: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start time, which distinguish the process from others of the same name."""
        return self.server_id, self.born_ms

    @property
    def has_address(self) -> bool:
        """Whether there is an address that can be connected to."""
        try:
            return bool(parsing.name(self.server_id) and parsing.ip_address(self.address))
        except parsing.ParseError:
            return False


@attrs.frozen
class GroupRecord:
    """A group as stored, written before any of its members receives an order.

    :ivar group: name of the group
    :ivar service: name of the model service
    :ivar model: name of the model
    :ivar members: members by rank; the first is the head, which receives the requests
    :ivar departing: names of the members that were about to stop when the group began to end
    """

    group: str
    service: str
    model: str
    members: tuple[Member, ...]
    phase: Phase = Phase.SERVING
    departing: tuple[str, ...] = ()


@attrs.frozen
class Group:
    """A group record with its revisions in the key-value service.

    :ivar epoch: revision at its creation; higher for later groups, whichever planner creates them
    :ivar revision: revision of its last change
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
        """The member that receives the requests."""
        return self.record.members[0]

    @property
    def is_ending(self) -> bool:
        """Whether the group may get no new requests."""
        return self.record.phase is Phase.ENDING

    def is_open(self, server_registry: registry.Registry) -> bool:
        """Return whether the head accepts requests and no member is known to have restarted.

        A member with a lapsed registration does not close the group, as it may only be partitioned
        from the key-value service: otherwise, with a fifth of all servers partitioned, nearly every
        group of sixteen was torn down. The planner probes such members, and the group's streams
        show within a fraction of a second if it stalls.
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
    """Local table of all groups in the key-value service.

    :ivar groups: groups by name
    :ivar version: grows with each change
    """

    kv_mirror: mirror.Mirror
    groups: dict[str, Group] = attrs.field(factory=dict, init=False)
    version: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the group records."""
        self.kv_mirror.add_listener(GROUPS_PREFIX, self._apply_changes)

    def put(self, group: Group) -> None:
        """Add or update a group unless a newer revision of it is known.

        Also used for this process's own writes, before the mirror receives them.
        """
        current = self.groups.get(group.name)
        if current is None or current.revision < group.revision:
            self.groups[group.name] = group
            self.version += 1

    def remove(self, name: str) -> None:
        """Remove a group whose record was deleted."""
        self.groups.pop(name, None)
        self.version += 1

    def groups_by_server(self) -> dict[str, Group]:
        """Return the group of each member, by server id."""
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
    """Return the members of a group that the registry knows, registered or lapsed."""
    members = (server_registry.find(member.incarnation) for member in group.record.members)
    return [server for server in members if server is not None]


def add_lapsed_members(group: Group, server_registry: registry.Registry) -> None:
    """Add the members that the registry never saw, so that the planner can probe them."""
    for member in group.record.members:
        if member.has_address and server_registry.find(member.incarnation) is None:
            server_registry.add_lapsed(
                servers.Server(
                    member.server_id,
                    member.born_ms,
                    group.record.service,
                    member.address,
                    member.zone,
                )
            )


def decode(item: keyvalue.Item) -> Group:
    """Decode a stored group record.

    :raises codec.CodecError: if the value is malformed or lists no members
    """
    record = codec.from_json(item.value, GroupRecord)
    if not record.members:
        raise codec.CodecError("group record has no members; expected at least one")
    return Group(record, item.create_revision, item.mod_revision)


def encode(record: GroupRecord) -> bytes:
    """Encode a group record as JSON."""
    return codec.to_json(record)
