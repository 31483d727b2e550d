"""Defines the routes, services and workspaces of one version of the configuration."""

from __future__ import annotations

import enum
import random

import attrs
import trio


class Repeatability(enum.Enum):
    """Whether a request may be run more than once.

    ``IDEMPOTENT``: as a whole. ``RESUMABLE``: a stream may be continued on another backend server.
    ``ONCE``: not at all.
    """

    IDEMPOTENT = "idempotent"
    RESUMABLE = "resumable"
    ONCE = "once"


@attrs.frozen
class ServiceShare:
    """A service and its weight on a route."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """The target services and limits for requests of one host and path prefix.

    :ivar prefix: path prefix, which begins and ends with a slash
    :ivar service_shares: services that share the requests, with their weights
    :ivar is_stream: whether the response is an event stream
    :ivar max_attempts: maximum number of backend servers that one request may be sent to
    :ivar timeout_s: maximum time that a request may be kept waiting
    :ivar objective_s: latency objective up to the response, or up to a stream's first event
    :ivar gap_objective_s: objective for the longest gap between two events of a stream
    :ivar priority: 0 is the highest
    :ivar is_public: whether requests need no API key
    """

    name: str
    host: str
    prefix: str
    service_shares: tuple[ServiceShare, ...]
    repeatability: Repeatability
    is_stream: bool
    max_attempts: int
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    priority: int
    is_public: bool

    @property
    def may_repeat(self) -> bool:
        """Whether the request may be retried after another backend server may have run it."""
        return self.repeatability is not Repeatability.ONCE

    def draw_service(self, rng: random.Random) -> str:
        """Return a random service, by the weights of the route."""
        if len(self.service_shares) == 1:
            return self.service_shares[0].service
        weights = [share.weight for share in self.service_shares]
        return rng.choices(self.service_shares, weights)[0].service


@attrs.frozen
class Workspace:
    """The owner of an API key.

    :ivar priority: overrides the route's unless it is None; 0 is the highest
    """

    name: str
    priority: int | None


@attrs.frozen
class Model:
    """A model that groups of servers run.

    :ivar size: number of servers in a group
    :ivar share: relative share of the service's servers
    :ivar pace: factor by which all times of its groups are multiplied
    :ivar load_s: time to load it from the weight store
    :ivar warm_s: time to load it from the host's storage
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@attrs.frozen
class Engine:
    """Engine properties that all servers of a model service share.

    :ivar slots: maximum number of concurrent requests of a group
    :ivar memory_tokens: number of tokens that fit into a group's memory
    :ivar step_s: minimum time of one decode step, which generates one token per request
    :ivar step_per_request_s: additional step time per running request
    :ivar steps_per_pass: number of steps per pass
    :ivar prefill_tokens_per_s: prefill throughput
    :ivar prefill_step_tokens: maximum number of prompt tokens that one step prefills
    :ivar formation_time_s: time from the order to open a group until it serves
    :ivar loads_per_s: rate at which the weight store starts model loads
    :ivar max_concurrent_loads: model loads that the weight store serves at full speed at once
    """

    models: tuple[Model, ...]
    slots: int
    memory_tokens: int
    step_s: float
    steps_per_pass: int
    prefill_tokens_per_s: float
    formation_time_s: float
    loads_per_s: float
    max_concurrent_loads: int
    step_per_request_s: float = 0.0
    prefill_step_tokens: int = 0

    @property
    def full_step_s(self) -> float:
        """Time of one decode step when all slots are in use."""
        return self.step_s + self.slots * self.step_per_request_s

    def longest_pause_s(self, model: Model) -> float:
        """Return the longest gap in seconds between two stream events of a healthy group.

        Each step of a pass may also prefill up to ``prefill_step_tokens`` of waiting prompts.
        """
        prefill_s = 0.0
        if self.prefill_tokens_per_s > 0:
            prefill_s = self.prefill_step_tokens / self.prefill_tokens_per_s
        return model.pace * self.steps_per_pass * (self.full_step_s + prefill_s)

    def model(self, name: str) -> Model | None:
        """Return a model by name."""
        return next((model for model in self.models if model.name == name), None)


@attrs.frozen
class Service:
    """A set of interchangeable backend servers.

    :ivar cold_requests_per_s: request rate that a cold server can handle
    :ivar engine: engine properties of a model service; None for other services
    """

    name: str
    cold_requests_per_s: float
    engine: Engine | None = None

    def model_key(self, model: str) -> str:
        """Return the model; empty for services without models, whose callers may name any."""
        return model if self.engine is not None else ""


@attrs.frozen
class Limits:
    """Limits on the size of callers' requests and on the idle time of their connections."""

    header_bytes: int
    body_bytes: int
    idle_timeout_s: float


@attrs.frozen
class RouteTable:
    """One version of the configuration.

    :ivar version: grows with each change, not necessarily by 1
    :ivar routes: routes by host, then by path prefix
    :ivar services: services by name
    :ivar workspaces: workspaces by API key
    :ivar has_workspaces: whether API keys are required
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    has_workspaces: bool
    limits: Limits

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches ``path``, if any."""
        prefixes = self.routes.get(host)
        if not prefixes:
            return None
        # One look-up per slash of the path, so the cost does not grow with the number of routes.
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def model_services(self) -> list[Service]:
        """Return the model services."""
        return [service for service in self.services.values() if service.engine is not None]


@attrs.define(eq=False)
class RouteTableHolder:
    """Holds the current route table, or None until the first one is received."""

    table: RouteTable | None = None
    _received: trio.Event = attrs.field(factory=trio.Event, init=False)

    async def wait(self, timeout_s: float) -> RouteTable | None:
        """Return the current table; wait for the first one up to ``timeout_s`` if there is none."""
        with trio.move_on_after(timeout_s):
            await self._received.wait()
        return self.table

    def put(self, table: RouteTable) -> bool:
        """Replace the current table unless it is as new; return whether it was replaced."""
        # Delayed responses and re-reads may deliver an older version. Reverting to it would undo a
        # configuration that callers and backend servers have already seen.
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self._received.set()
        return True
