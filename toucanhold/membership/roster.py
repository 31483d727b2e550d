"""The entries, as the key-value service lists them."""

import enum
import logging

import attrs

from toucanhold import codec
from toucanhold.coordination import keyvalue

ENTRIES_PREFIX = "toucanhold/entries/"
ENTRY_LEASE_TTL_S = 6

LOGGER = logging.getLogger(__name__)


class EntryState(enum.Enum):
    """Whether callers should be sent to an entry."""

    SERVING = "serving"
    STOPPING = "stopping"


@attrs.frozen
class Member:
    """An entry.

    :ivar entry: unique name
    :ivar availability_zone: where it runs
    :ivar callers_address: ``IP:port`` for callers
    :ivar operators_address: ``IP:port`` for operators
    :ivar peers_address: ``IP:port`` for other entries
    :ivar boot: unique to its process: a restarted entry has the same name and another boot
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
    """The entries as the key-value service lists them and as peers name them.

    While the key-value service is silent its last list is kept.
    """

    own: Member
    _listed: dict[str, Member] = attrs.field(factory=dict)
    _heard: dict[str, Member] = attrs.field(factory=dict)

    def members(self) -> tuple[Member, ...]:
        """Return all known entries, this one among them, in name order."""
        known = self._listed | {self.own.entry: self.own}
        for entry, member in self._heard.items():
            known[entry] = _latest(known.get(entry), member)
        return tuple(known[name] for name in sorted(known))

    def others(self) -> tuple[Member, ...]:
        """Return all known entries but this one."""
        return tuple(member for member in self.members() if member.entry != self.own.entry)

    def set_own_state(self, state: EntryState) -> None:
        """Change what this entry says of itself."""
        self.own = attrs.evolve(self.own, state=state)

    def replace(self, items: tuple[keyvalue.Item, ...]) -> None:
        """Take in the stored records."""
        members = {}
        for item in items:
            try:
                member = codec.from_json(item.value, Member)
            except codec.CodecError as error:
                LOGGER.warning("malformed entry record %s: %s", item.key, error)
                continue
            members[member.entry] = member
        self._listed = members

    def is_listed(self, entry: str) -> bool:
        """Tell whether the key-value service's last list has an entry."""
        return entry in self._listed

    def update_from_peer(self, member: Member) -> None:
        """Take in what an entry says of itself."""
        if member.entry != self.own.entry:
            self._heard[member.entry] = member

    def forget(self, entry: str) -> None:
        """Drop what was heard of an entry that is gone."""
        self._heard.pop(entry, None)


def _latest(listed: Member | None, heard: Member) -> Member:
    # The list lags behind what an entry says itself, but outlives it: after a restart the list
    # may already have the new process while a peer's word is still of the old one.
    if listed is None or listed.boot == heard.boot:
        return heard
    return listed if heard.state is EntryState.STOPPING else heard
