"""Defines the state that a backend server reports."""

from __future__ import annotations

import enum

import attrs


class GroupState(enum.Enum):
    """The state of a backend server in its group.

    ``JOINING``: loading the model. ``READY``: joined. ``OPEN``: the head accepts requests.
    ``CLOSING``: the head finishes running requests only. ``BROKEN``: the head lacked a member for
    too long.
    """

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


@attrs.frozen
class Membership:
    """The group that a backend server has joined.

    :ivar group: name of the group
    :ivar epoch: grows with each group that is formed
    :ivar rank: the server's place among the members; the head has rank 0
    """

    group: str
    epoch: int
    rank: int
    state: GroupState


@attrs.frozen
class Server:
    """One process of a backend server.

    :ivar server_id: name of the server, which may stay the same after a restart
    :ivar born_ms: start of the process in Unix milliseconds, which identifies it among restarts
    :ivar address: ``IP:port``; may be reused by another server later
    :ivar zone: availability zone
    :ivar slots: maximum number of concurrent requests
    :ivar is_leaving: whether it is draining: it finishes running requests and then exits
    :ivar cold_until_s: time on the run's clock until which it is cold and takes few requests; 0 if
        warm
    :ivar domain: fabric domain; empty for services without models
    :ivar model: model of its last group, which it has in memory; empty for none
    :ivar staged: models that are stored on its host
    :ivar order_count: number of orders it has begun since its start; None if it was not probed
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
        """Name and start time, which distinguish the process from others of the same name."""
        return self.server_id, self.born_ms

    def state_in(self, group: str, epoch: int) -> GroupState | None:
        """Return its state in the given group, or None if it is not a member."""
        membership = self.membership
        if membership is None or (membership.group, membership.epoch) != (group, epoch):
            return None
        return membership.state
