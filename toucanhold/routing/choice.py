"""Policies that choose a backend server among the candidates."""

import abc
import collections.abc
import random

import attrs

from toucanhold.routing import affinity, candidates, capacity, requests

# Extra load, as a fraction of its limit, that a server with the cached prefix may have.
AFFINITY_ALLOWANCE = 0.25
OTHER_ZONE_PENALTY = 0.05


class ChoicePolicy(abc.ABC):
    """Chooses one candidate for a request."""

    @abc.abstractmethod
    def choose(
        self,
        request: requests.CallerRequest,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        """Return one of ``options``, or None if none has free capacity."""


@attrs.define(eq=False)
class RoundRobin(ChoicePolicy):
    """The baseline: round robin over the candidates with free capacity."""

    capacity: capacity.CapacityPolicy
    _next_index: int = 0

    def choose(
        self,
        request: requests.CallerRequest,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        """See :class:`ChoicePolicy`."""
        ordered = sorted(options, key=lambda candidate: candidate.vm.vm)
        for offset in range(len(ordered)):
            candidate = ordered[(self._next_index + offset) % len(ordered)]
            if self.capacity.load(request.service, candidate) < 1:
                self._next_index += offset + 1
                return candidate
        return None


@attrs.define(eq=False)
class LeastLoaded(ChoicePolicy):
    """Takes the less loaded of two random candidates with free capacity."""

    capacity: capacity.CapacityPolicy
    rng: random.Random

    def choose(
        self,
        request: requests.CallerRequest,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        """See :class:`ChoicePolicy`."""
        service = request.service
        with_capacity = [each for each in options if self.capacity.load(service, each) < 1]
        if not with_capacity:
            return None
        # With the same lagging reports, all entries would choose the same least loaded server;
        # two random draws spread them.
        drawn = self.rng.sample(with_capacity, min(2, len(with_capacity)))
        return min(drawn, key=lambda each: self.capacity.load(service, each))


@attrs.define(eq=False)
class TwoChoices(ChoicePolicy):
    """Power of two choices, with prefix affinity and a preference for the caller's zone.

    The server with the prompt's prefix in its cache is preferred unless it is much more loaded.

    :ivar availability_zone: the zone of this entry, for requests that name none
    """

    capacity: capacity.CapacityPolicy
    rng: random.Random
    availability_zone: str = ""
    _prefixes: affinity.PrefixMap = attrs.field(factory=affinity.PrefixMap, init=False)

    def choose(
        self,
        request: requests.CallerRequest,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        """See :class:`ChoicePolicy`."""
        if not options:
            return None
        drawn, load = self._better_of_two(request, options)
        if request.prefix and isinstance(options, candidates.CandidateSet):
            # Without a bound, all requests with a popular prefix would go to one server.
            preferred = self._prefixes.preferred_candidate(
                request.service.name, request.prefix, options
            )
            if self._load(request, preferred) < min(1.0, load + AFFINITY_ALLOWANCE):
                return preferred
        if self._load(request, drawn) < 1:
            return drawn
        return self._any_with_capacity(request, options)

    def _better_of_two(
        self,
        request: requests.CallerRequest,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> tuple[candidates.Candidate, float]:
        zone = request.availability_zone or self.availability_zone
        best, best_load = options[0], float("inf")
        for _ in range(2):
            each = options[int(self.rng.random() * len(options))]
            load = self._load(request, each)
            load += OTHER_ZONE_PENALTY * (each.vm.availability_zone != zone)
            if load < best_load:
                best, best_load = each, load
        return best, best_load

    def _any_with_capacity(
        self,
        request: requests.CallerRequest,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        with_capacity = [each for each in options if self._load(request, each) < 1]
        return self.rng.choice(with_capacity) if with_capacity else None

    def _load(self, request: requests.CallerRequest, candidate: candidates.Candidate) -> float:
        return self.capacity.load(request.service, candidate)
