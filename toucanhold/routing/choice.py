"""Choice of a backend server among the candidates."""

import abc
import collections.abc
import random

import attrs

from toucanhold.routing import affinity, candidates, requests, room

# How much fuller, as a part of its limit, a server with the prefix in its cache may be.
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
        """Return one of ``options``, or None where none has room."""


@attrs.define(eq=False)
class RoundRobin(ChoicePolicy):
    """The baseline: each candidate with room in turn."""

    room: room.RoomPolicy
    _turn: int = 0

    def choose(
        self,
        request: requests.CallerRequest,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        """See :class:`ChoicePolicy`."""
        ordered = sorted(options, key=lambda option: option.vm.vm)
        for offset in range(len(ordered)):
            option = ordered[(self._turn + offset) % len(ordered)]
            if self.room.load(request.service, option) < 1:
                self._turn += offset + 1
                return option
        return None


@attrs.define(eq=False)
class LeastLoaded(ChoicePolicy):
    """The less loaded of two candidates drawn at random, from all that have room."""

    room: room.RoomPolicy
    rng: random.Random

    def choose(
        self,
        request: requests.CallerRequest,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        """See :class:`ChoicePolicy`."""
        service = request.service
        roomy = [each for each in options if self.room.load(service, each) < 1]
        if not roomy:
            return None
        # Entries that all chose the least loaded by the same lagging reports would rush upon one
        # server; two random draws spread them.
        drawn = self.rng.sample(roomy, min(2, len(roomy)))
        return min(drawn, key=lambda each: self.room.load(service, each))


@attrs.define(eq=False)
class TwoChoices(ChoicePolicy):
    """Two random draws, unless a server with the prompt's prefix is hardly fuller.

    :ivar availability_zone: where this entry runs
    """

    room: room.RoomPolicy
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
            # Bounded, as a popular prefix would otherwise pile all its requests on one server.
            known = self._prefixes.preferred(request.service.name, request.prefix, options)
            if self._load(request, known) < min(1.0, load + AFFINITY_ALLOWANCE):
                return known
        if self._load(request, drawn) < 1:
            return drawn
        return self._any_with_room(request, options)

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

    def _any_with_room(
        self,
        request: requests.CallerRequest,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        roomy = [each for each in options if self._load(request, each) < 1]
        return self.rng.choice(roomy) if roomy else None

    def _load(self, request: requests.CallerRequest, option: candidates.Candidate) -> float:
        return self.room.load(request.service, option)
