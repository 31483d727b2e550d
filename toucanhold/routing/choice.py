"""Choice of a backend server among the candidates."""

import abc
import collections.abc
import random

import attrs

from toucanhold.routing import candidates, requests, room


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
