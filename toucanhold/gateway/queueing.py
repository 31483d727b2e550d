"""Defines requests that need a server, and the policies that order, delay and refuse them."""

from __future__ import annotations

import collections.abc
import math

import attrs
import trio

from toucanhold.registry import servers
from toucanhold.routes import table


@attrs.frozen(eq=False)
class PlacementRequest:
    """A request that needs a slot on a server.

    :ivar model: requested model; empty for services without models
    :ivar priority: 0 is the most urgent
    :ivar max_wait_s: maximum time in the queue
    :ivar latest_start_s: trio clock time after which the response misses its objective
    :ivar excluded: IDs of servers to use only if there are no others
    :ivar workspace: name of the caller's workspace; empty on public routes
    :ivar route: the request's route; None if it is not known
    :ivar fingerprint: hash of the request's content, equal for a caller's retries
    :ivar certain_latest_start_s: trio clock time after which the response certainly misses its
        objective, whatever part of the route's timeout the caller started with
    :ivar deadline_s: trio clock time at which the caller stops waiting
    :ivar caller_time_s: time that the caller would wait when the request arrived
    :ivar may_have_run: whether a server may have started to run it
    """

    service: table.Service
    model: str
    priority: int
    max_wait_s: float
    latest_start_s: float
    excluded: collections.abc.Set[str] = frozenset()
    workspace: str = ""
    route: table.Route | None = None
    fingerprint: str = ""
    certain_latest_start_s: float = math.inf
    deadline_s: float = math.inf
    caller_time_s: float = math.inf
    may_have_run: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """Service and model; requests with equal keys compete for the same servers."""
        return self.service.name, self.model

    def is_late(self, now_s: float) -> bool:
        """Return whether the response misses its objective even if the request starts now."""
        return self.latest_start_s < now_s


@attrs.define(eq=False)
class Waiter:
    """A queued request.

    :ivar arrival_number: grows with each request of this entry
    :ivar give_up_s: trio clock time until which it may wait
    :ivar decided: set when ``server`` has been assigned or the request is refused
    :ivar known_wait_s: time that it must still wait because of limits and backoffs of servers
    """

    request: PlacementRequest
    arrival_number: int
    give_up_s: float
    decided: trio.Event = attrs.field(factory=trio.Event)
    server: servers.Server | None = None
    known_wait_s: float = 0.0


class QueuePolicy:
    """Orders queued requests, and decides which may start now and which wait in vain.

    All methods are optional: by default, they have no effect.
    """

    def order_key(self, request: PlacementRequest, now_s: float) -> float:
        """Return a request's place among those equally urgent and equally late; lowest first."""
        return 0.0

    def may_start(self, request: PlacementRequest, now_s: float) -> bool:
        """Return whether a request may take a free slot now."""
        return True

    def expected_wait_s(self, request: PlacementRequest, ahead: int) -> float:
        """Return how long a request will wait at least.

        :param ahead: number of requests of this entry that go before it
        """
        return 0.0

    def retry_after_s(self, request: PlacementRequest, proposed_s: float) -> float:
        """Return the delay after which the caller of a refused request may return."""
        return proposed_s

    def record_queued(self, request: PlacementRequest) -> None:
        """Process that a request waits."""

    def record_dequeued(self, request: PlacementRequest) -> None:
        """Process that a request no longer waits, whether it was placed or not."""

    def record_started(self, request: PlacementRequest, server: servers.Server) -> None:
        """Process that a request takes a slot."""

    def record_ended(self, request: PlacementRequest, server: servers.Server) -> None:
        """Process that a request leaves its slot."""

    def record_forecast_refusal(self, request: PlacementRequest, expected_wait_s: float) -> None:
        """Process that a request is refused because of its expected wait."""

    def record_refused(self, request: PlacementRequest, retry_after_s: float) -> None:
        """Process that a request is refused; its caller may return after ``retry_after_s``."""
