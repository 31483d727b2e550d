"""Routes, services and workspaces as one version of the configuration tells them."""

from __future__ import annotations

import enum
import random

import attrs


class Repeatability(enum.Enum):
    """What of a request may be done more than once."""

    IDEMPOTENT = "idempotent"
    RESUMABLE = "resumable"
    ONCE = "once"


@attrs.frozen
class ServiceShare:
    """A service and its weight in a route's split."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go.

    :ivar prefix: begins and ends with a slash
    :ivar is_stream: whether the answer is a series of events
    :ivar attempts: most backend servers that one request may be sent to
    :ivar timeout_s: longest time that a request may be kept waiting
    :ivar objective_s: time to the answer, or to a stream's first event
    :ivar gap_objective_s: longest pause between a stream's events
    :ivar rank: 0 is most urgent
    :ivar is_public: whether requests need no key
    """

    name: str
    host: str
    prefix: str
    split: tuple[ServiceShare, ...]
    repeatability: Repeatability
    is_stream: bool
    attempts: int
    timeout_s: float
    objective_s: float
    gap_objective_s: float
    rank: int
    is_public: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a second backend server may run the request after a first one perhaps did."""
        return self.repeatability is not Repeatability.ONCE

    def draw_service(self, rng: random.Random) -> str:
        """Return a service by the weights of the split."""
        if len(self.split) == 1:
            return self.split[0].service
        weights = [share.weight for share in self.split]
        return rng.choices(self.split, weights)[0].service


@attrs.frozen
class Workspace:
    """Who holds a key.

    :ivar rank: goes before the route's where it is not None; 0 is most urgent
    """

    name: str
    rank: int | None


@attrs.frozen
class Model:
    """A model that groups of ``size`` servers run.

    :ivar share: its part of the servers' work
    :ivar pace: factor on all times of its groups
    :ivar load_s: time to load it from the weight store
    :ivar warm_s: time to load it from the host
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@attrs.frozen
class Engine:
    """What servers of a model service have in common.

    :ivar slots: requests that a group runs at once
    :ivar memory_tokens: tokens that a group's memory holds
    :ivar step_s: least time of one step, each of which makes one token a request
    :ivar step_per_request_s: what each request adds to that
    :ivar stride: steps of one pass
    :ivar prefill_tokens_per_s: pace of reading prompts
    :ivar prefill_step_tokens: most tokens of prompts that are read in one step
    :ivar form_s: time from the order to open to serving
    :ivar loads_per_s: loads that the weight store lets begin in a second
    :ivar loads_at_once: loads that it serves at full pace
    """

    models: tuple[Model, ...]
    slots: int
    memory_tokens: int
    step_s: float
    stride: int
    prefill_tokens_per_s: float
    form_s: float
    loads_per_s: float
    loads_at_once: int
    step_per_request_s: float = 0.0
    prefill_step_tokens: int = 0

    @property
    def full_step_s(self) -> float:
        """Time of a step that makes a token for a request in each place."""
        return self.step_s + self.slots * self.step_per_request_s

    def longest_pause_s(self, model: Model) -> float:
        """Return the longest time between two events of a stream that a sound group makes.

        Each step of a pass may read as much of waiting prompts as a step reads at most.
        """
        reading_s = 0.0
        if self.prefill_tokens_per_s > 0:
            reading_s = self.prefill_step_tokens / self.prefill_tokens_per_s
        return model.pace * self.stride * (self.full_step_s + reading_s)

    def model(self, name: str) -> Model | None:
        """Return a model by name."""
        return next((model for model in self.models if model.name == name), None)


@attrs.frozen
class Service:
    """A set of equal backend servers.

    :ivar cold_requests_per_s: requests that a cold server bears
    :ivar engine: for model services
    """

    name: str
    cold_requests_per_s: float
    engine: Engine | None = None


@attrs.frozen
class Limits:
    """What callers may send, and how long their connections may stay idle."""

    header_bytes: int
    body_bytes: int
    idle_timeout_s: float


@attrs.frozen
class RouteTable:
    """One version of the configuration.

    :ivar version: grows, in uneven steps
    :ivar routes: host to prefix to route
    :ivar workspaces: key to who holds it
    :ivar has_workspaces: whether keys are asked for at all
    """

    version: int
    routes: dict[str, dict[str, Route]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    has_workspaces: bool
    limits: Limits

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins ``path``."""
        prefixes = self.routes.get(host)
        if not prefixes:
            return None
        # One look-up a slash of the path: the cost doesn't grow with the number of routes.
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
    """The newest table, or None before the first one is known."""

    table: RouteTable | None = None

    def put(self, table: RouteTable) -> bool:
        """Put ``table`` in force unless a newer one is; tell whether it is new."""
        # Late answers and re-reads may bring an older version; going back would undo what callers
        # and backend servers have already seen.
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        return True
