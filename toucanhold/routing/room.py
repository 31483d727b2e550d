"""How much more work a candidate may get from this entry."""

from __future__ import annotations

import abc
import collections
import collections.abc

import attrs

from toucanhold.backends import client
from toucanhold.configuration import rules
from toucanhold.observing import view
from toucanhold.routing import candidates, cold

REPORT_LAG_S = 1.0


@attrs.define(eq=False)
class InFlight:
    """Requests that this entry has in flight, by VM."""

    _counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _total: int = attrs.field(default=0, init=False)

    def count(self, vm: str) -> int:
        """Return the number of requests in flight on ``vm``."""
        return self._counts[vm]

    def total(self) -> int:
        """Return the number of requests in flight."""
        return self._total

    def add(self, vm: str) -> None:
        """Count one more."""
        self._counts[vm] += 1
        self._total += 1

    def remove(self, vm: str) -> None:
        """Count one less."""
        self._counts[vm] -= 1
        self._total -= 1
        if not self._counts[vm]:
            del self._counts[vm]


class RoomPolicy(abc.ABC):
    """Tells how full a candidate is, as far as this entry may fill it."""

    @abc.abstractmethod
    def load(self, service: rules.Service, option: candidates.Candidate) -> float:
        """Return the load relative to the limit; below 1 there is room for one more."""

    @abc.abstractmethod
    def may_send(self, service: rules.Service, option: candidates.Candidate) -> bool:
        """Tell whether a request that was given room there may still be sent."""


@attrs.define(eq=False)
class ReportedRoom(RoomPolicy):
    """The baseline: the larger of own requests in flight and reported load."""

    in_flight: InFlight
    cold: cold.ColdPolicy

    def load(self, service: rules.Service, option: candidates.Candidate) -> float:
        """See :class:`RoomPolicy`."""
        limit = _limit(service, option, self.cold)
        reported = option.report.running + option.report.waiting
        used = max(self.in_flight.count(option.vm.vm), reported)
        return used / limit if limit > 0 else 1.0

    def may_send(self, service: rules.Service, option: candidates.Candidate) -> bool:
        """See :class:`RoomPolicy`."""
        return _may_send(service, option, self.cold, self.in_flight)


@attrs.define(eq=False)
class EstimatedRoom(RoomPolicy):
    """Corrects the reported load for what has happened since the report.

    :ivar entries: returns the number of entries that serve
    """

    in_flight: InFlight
    cold: cold.ColdPolicy
    view: view.View
    entries: collections.abc.Callable[[], int]
    _seen: dict[str, _Seen] = attrs.field(factory=dict, init=False)
    _own_total: int = attrs.field(default=0, init=False)
    _reported_total: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Follow the reports."""
        self.view.subscribe(self._take_in)

    def load(self, service: rules.Service, option: candidates.Candidate) -> float:
        """See :class:`RoomPolicy`."""
        limit = _limit(service, option, self.cold)
        if limit <= 0:
            return 1.0
        own = self.in_flight.count(option.vm.vm)
        if option.report.warmth is client.Warmth.COLD:
            # The share is this entry's alone: what others run there has been taken off already.
            return own / limit
        if own < max(1, limit // self.entries()):
            # Servers that others keep full would otherwise never have room for this entry: they
            # see their own requests end at once, this entry only in the next report.
            return min(self._estimate(option, own) / limit, 0.99)
        return self._estimate(option, own) / limit

    def may_send(self, service: rules.Service, option: candidates.Candidate) -> bool:
        """See :class:`RoomPolicy`."""
        return _may_send(service, option, self.cold, self.in_flight)

    def _estimate(self, option: candidates.Candidate, own: int) -> float:
        reported = option.report.running + option.report.waiting
        seen = self._seen.get(option.vm.vm)
        since = own - seen.own if seen else own
        # Seven entries that each see eight free places would send 56 requests. Others have sent
        # since the report too: as much as this entry, by the shares that reports show.
        return reported + (since / self._own_part() if since > 0 else since)

    def _own_part(self) -> float:
        part = (self._own_total + 1) / (self._reported_total + self.entries())
        return min(1.0, max(part, 1 / self.entries()))

    def _take_in(self, vm: str) -> None:
        observation = self.view.observation(vm)
        last = self._seen.pop(vm, _Seen())
        now = _Seen()
        if observation is not None:
            now = self._new_seen(observation, last)
            self._seen[vm] = now
        self._own_total += now.own - last.own
        self._reported_total += now.reported - last.reported

    def _new_seen(self, observation: view.Observation, last: _Seen) -> _Seen:
        # An engine may report the load of a moment ago, when requests that this entry has sent
        # since were not there; taking them as included would let as many again be sent.
        report, asked_at_s = observation.report, observation.asked_at_s
        counts = [each for each in last.counts if each[0] >= asked_at_s - REPORT_LAG_S]
        counts.append((asked_at_s, self.in_flight.count(report.vm)))
        own = min(own for _, own in counts)
        return _Seen(own, report.running + report.waiting, tuple(counts))


@attrs.frozen
class _Seen:
    """A report and what this entry had in flight then.

    :ivar own: fewest own requests in flight that the report may rest on
    :ivar reported: the load that it told
    :ivar counts: times and own requests in flight at the latest reports
    """

    own: int = 0
    reported: int = 0
    counts: tuple[tuple[float, int], ...] = ()


def _limit(
    service: rules.Service, option: candidates.Candidate, cold_policy: cold.ColdPolicy
) -> int:
    report = option.report
    if report.warmth is client.Warmth.COLD:
        bearable = service.cold_requests if report.bearable is None else report.bearable
        return cold_policy.share(option.vm.vm, report.boot_id, bearable)
    return service.slots if report.slots is None else report.slots


def _may_send(
    service: rules.Service,
    option: candidates.Candidate,
    cold_policy: cold.ColdPolicy,
    in_flight: InFlight,
) -> bool:
    if option.report.warmth is client.Warmth.WARM:
        return True
    return in_flight.count(option.vm.vm) <= _limit(service, option, cold_policy)
