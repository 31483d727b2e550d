"""The list of entries, from the key-value service and from peers."""

import enum
import logging

import attrs

from toucanhold import codec
from toucanhold.coordination import keyvalue

ENTRIES_PREFIX = "toucanhold/entries/"
ENTRY_LEASE_TTL_S = 6

LOGGER = logging.getLogger(__name__)


class EntryState(enum.Enum):
    """Whether an entry accepts new callers."""

    SERVING = "serving"
    STOPPING = "stopping"


@attrs.frozen
class Member:
    """The membership record of an entry.

    :ivar entry: unique name
    :ivar availability_zone: availability zone in which it runs
    :ivar callers_address: ``IP:port`` for callers
    :ivar operators_address: ``IP:port`` for operators
    :ivar peers_address: ``IP:port`` for other entries
    :ivar state: whether it accepts new callers
    :ivar boot: identifier of its process; a restarted entry has the same name and another boot
    """

    entry: str
    availability_zone: str
    callers_address: str
    operators_address: str
    peers_address: str
    state: EntryState = EntryState.SERVING
    boot: str = ""


@attrs.define(eq=False)
class Roster:
    """The known entries, from the list of the key-value service and from peers' own records.

    While the key-value service does not answer, its last list is kept.

    :ivar own: this entry's membership record
    """

    own: Member
    _listed_members: dict[str, Member] = attrs.field(factory=dict)
    _peer_members: dict[str, Member] = attrs.field(factory=dict)

    def members(self) -> tuple[Member, ...]:
        """Return all known entries, including this one, in name order."""
        members_by_name = self._listed_members | {self.own.entry: self.own}
        for entry, member in self._peer_members.items():
            members_by_name[entry] = _later_member(members_by_name.get(entry), member)
        return tuple(members_by_name[name] for name in sorted(members_by_name))

    def others(self) -> tuple[Member, ...]:
        """Return all known entries but this one."""
        return tuple(member for member in self.members() if member.entry != self.own.entry)

    def set_own_state(self, state: EntryState) -> None:
        """Set the state in this entry's own record."""
        self.own = attrs.evolve(self.own, state=state)

    def replace_listed(self, items: tuple[keyvalue.Item, ...]) -> None:
        """Replace the list of the key-value service; malformed records are skipped and logged."""
        members = {}
        for item in items:
            try:
                member = codec.from_json(item.value, Member)
            except codec.CodecError as error:
                LOGGER.warning("ignoring malformed entry record %s: %s", item.key, error)
                continue
            members[member.entry] = member
        self._listed_members = members

    def is_listed(self, entry: str) -> bool:
        """Return whether the key-value service's last list has an entry of this name."""
        return entry in self._listed_members

    def update_from_peer(self, member: Member) -> None:
        """Store the record that an entry publishes about itself, received from a peer."""
        if member.entry != self.own.entry:
            self._peer_members[member.entry] = member

    def remove(self, entry: str) -> None:
        """Remove the record from peers of an entry that has ended."""
        self._peer_members.pop(entry, None)


def _later_member(listed: Member | None, from_peer: Member) -> Member:
    # For the same process the list lags behind the record that the entry itself publishes. After a
    # restart, however, the list may already have the new process while peers still have the old
    # one.
    if listed is None or listed.boot == from_peer.boot:
        return from_peer
    return listed if from_peer.state is EntryState.STOPPING else from_peer
