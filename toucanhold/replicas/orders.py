"""Defines the orders to the engines of model services and the client that sends them."""

from __future__ import annotations

import abc
import collections.abc
import enum

import attrs

from toucanhold.registry import servers


class OrderOutcome(enum.Enum):
    """The result of sending an order.

    ``BEGUN``: the engine has begun to carry it out. ``HOLDS``: its effect is already in place.
    ``REFUSED``: the engine rejected it, for example for its order count. ``LOST``: the answer is
    missing, so the order may or may not take effect. ``UNREACHABLE``: the engine did not get it.
    ``DEFERRED``: it was not sent because of the server's backoff, or of what may be a cut between
    this entry and the server.
    """

    BEGUN = "begun"
    HOLDS = "holds"
    REFUSED = "refused"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    DEFERRED = "deferred"


@attrs.frozen
class Join:
    """Join a group, and load the model first if it is not loaded.

    :ivar members: server names by rank; the first is the head
    """

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]


@attrs.frozen
class Open:
    """Make the head of a group accept requests."""

    group: str
    epoch: int


@attrs.frozen
class Close:
    """Make the head of a group stop accepting requests.

    :ivar finishes_work: whether running requests are finished first
    """

    group: str
    epoch: int
    finishes_work: bool


@attrs.frozen
class Leave:
    """Leave the group at once."""

    group: str
    epoch: int


@attrs.frozen
class Stage:
    """Load a model onto the server's host while the server keeps working."""

    model: str


Order = Join | Open | Close | Leave | Stage


class EngineClient(abc.ABC):
    """Client for the calls to engines."""

    @abc.abstractmethod
    async def send(
        self, server: servers.Server, order: Order, order_count: int, fence: int
    ) -> OrderOutcome:
        """Send an order that takes effect only if the engine has begun no other order since.

        :param order_count: number of orders that the engine must have begun so far
        :param fence: fencing number, which grows with each planner
        """

    @abc.abstractmethod
    async def probe(
        self, server: servers.Server, on_connected: collections.abc.Callable[[], None]
    ) -> servers.Server | None:
        """Return the server's current state, or None if it does not answer.

        :param on_connected: called once the server's VM has accepted a connection
        """
