"""What a backend server tells of itself."""

from __future__ import annotations

import enum

import attrs


class GroupState(enum.Enum):
    """How far a backend server is in its group."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class Membership:
    """The group that a backend server has joined.

    :ivar epoch: grows with each formation; a group is told from its predecessors by it
    """

    group: str
    epoch: int
    rank: int
    state: GroupState


@attrs.frozen
class Server:
    """One start of one backend server.

    :ivar server_id: its name; may be the same after a restart
    :ivar born_ms: Unix time of its start, which tells its starts apart
    :ivar address: ``IP:port``; other servers get it again later
    :ivar slots: requests that it runs at once
    :ivar is_leaving: it finishes its work and ends
    :ivar cold_until_s: time of the run's clock until which it bears little; 0 when warm
    :ivar domain: its fabric domain; empty for plain services
    :ivar model: the model of its last group; empty for none
    :ivar staged: models that lie on its host
    :ivar order_count: orders that it has begun since its start; None where it was not asked
    """

    server_id: str
    born_ms: int
    service: str
    address: str
    zone: str
    slots: int = 1
    is_leaving: bool = False
    cold_until_s: float = 0.0
    domain: str = ""
    model: str = ""
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    order_count: int | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """What tells this start from earlier ones of the same name."""
        return self.server_id, self.born_ms

    def state_in(self, group: str, epoch: int) -> GroupState | None:
        """Return its state in one group, or None where it has not joined that."""
        membership = self.membership
        if membership is None or (membership.group, membership.epoch) != (group, epoch):
            return None
        return membership.state
