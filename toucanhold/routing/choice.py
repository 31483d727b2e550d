"""Choice of a backend server among the candidates."""

import abc
import collections
import collections.abc
import random

import attrs

from toucanhold.backends import client
from toucanhold.configuration import rules
from toucanhold.routing import candidates


@attrs.define(eq=False)
class InFlight:
    """Requests that this entry has in flight, by VM."""

    _counts: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def count(self, vm: str) -> int:
        """Return the number of requests in flight on ``vm``."""
        return self._counts[vm]

    def total(self) -> int:
        """Return the number of requests in flight."""
        return self._counts.total()

    def add(self, vm: str) -> None:
        """Count one more."""
        self._counts[vm] += 1

    def remove(self, vm: str) -> None:
        """Count one less."""
        self._counts[vm] -= 1
        if not self._counts[vm]:
            del self._counts[vm]


class ChoicePolicy(abc.ABC):
    """Chooses one candidate for a request."""

    @abc.abstractmethod
    def choose(
        self,
        service: rules.Service,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        """Return one of ``options``, or None where none has room."""


@attrs.define(eq=False)
class RoundRobin(ChoicePolicy):
    """The baseline: each candidate with room in turn."""

    in_flight: InFlight
    _turn: int = 0

    def choose(
        self,
        service: rules.Service,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        """See :class:`ChoicePolicy`."""
        ordered = sorted(options, key=lambda option: option.vm.vm)
        for offset in range(len(ordered)):
            option = ordered[(self._turn + offset) % len(ordered)]
            if self.in_flight.count(option.vm.vm) < limit(service, option):
                self._turn += offset + 1
                return option
        return None


@attrs.define(eq=False)
class LeastLoaded(ChoicePolicy):
    """The less loaded of two candidates drawn at random."""

    in_flight: InFlight
    rng: random.Random

    def choose(
        self,
        service: rules.Service,
        options: collections.abc.Sequence[candidates.Candidate],
    ) -> candidates.Candidate | None:
        """See :class:`ChoicePolicy`."""
        roomy = [each for each in options if self._load(each) < limit(service, each)]
        if not roomy:
            return None
        # Entries that all chose the least loaded by the same lagging reports would rush upon one
        # server; two random draws spread them.
        drawn = self.rng.sample(roomy, min(2, len(roomy)))
        return min(drawn, key=lambda each: self._load(each) / limit(service, each))

    def _load(self, option: candidates.Candidate) -> int:
        reported = option.report.running + option.report.waiting
        return max(self.in_flight.count(option.vm.vm), reported)


def limit(service: rules.Service, option: candidates.Candidate) -> int:
    """Return how many requests the candidate bears at once."""
    report = option.report
    if report.warmth is client.Warmth.COLD:
        return service.cold_requests if report.bearable is None else report.bearable
    return service.slots if report.slots is None else report.slots
