"""Orders to the engines of model services."""

from __future__ import annotations

import abc
import enum

import attrs

from toucanhold.registry import servers


class OrderOutcome(enum.Enum):
    """What is known after an order was sent."""

    BEGUN = "begun"
    HOLDS = "holds"
    REFUSED = "refused"
    LOST = "lost"
    UNREACHABLE = "unreachable"


@attrs.frozen
class Join:
    """Load a model, if need be, and be a member of a group.

    :ivar members: names by rank; the first is the head
    """

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]


@attrs.frozen
class Open:
    """Let the head of a group take requests."""

    group: str
    epoch: int


@attrs.frozen
class Close:
    """Let the head of a group take no more requests.

    :ivar finishes_work: whether requests that run are finished first
    """

    group: str
    epoch: int
    finishes_work: bool


@attrs.frozen
class Leave:
    """Be no member of the group any more, at once."""

    group: str
    epoch: int


@attrs.frozen
class Stage:
    """Load a model onto the host, beside whatever the server does."""

    model: str


Order = Join | Open | Close | Leave | Stage


class EngineClient(abc.ABC):
    """The calls to engines."""

    @abc.abstractmethod
    async def send(
        self, server: servers.Server, order: Order, order_count: int, fence: int
    ) -> OrderOutcome:
        """Send an order that takes effect only if nothing else was ordered meanwhile.

        :param order_count: orders that the engine must have begun so far
        :param fence: grows with each planner
        """

    @abc.abstractmethod
    async def probe(self, server: servers.Server) -> servers.Server | None:
        """Return what the server says of itself now, or None where it does not answer."""
