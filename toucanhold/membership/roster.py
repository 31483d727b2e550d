"""The entries, as the key-value service lists them."""

import enum
import logging

import attrs

from toucanhold import codec
from toucanhold.platform import keyvalue

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
    """

    entry: str
    availability_zone: str
    callers_address: str
    operators_address: str
    peers_address: str
    state: EntryState = EntryState.SERVING


@attrs.define(eq=False)
class Roster:
    """The latest list of entries; kept as it is while the key-value service is silent."""

    own: Member
    _members: dict[str, Member] = attrs.field(factory=dict)

    def members(self) -> tuple[Member, ...]:
        """Return all known entries, this one among them, in name order."""
        known = self._members | {self.own.entry: self.own}
        return tuple(known[name] for name in sorted(known))

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
        self._members = members
