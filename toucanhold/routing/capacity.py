"""Estimates the load of candidates and limits what this entry sends to them."""

from __future__ import annotations

import abc
import collections
import collections.abc

import attrs

from toucanhold.backends import client
from toucanhold.configuration import rules
from toucanhold.observing import view
from toucanhold.routing import candidates, cold

# A report may describe the engine's load this long before it was requested.
REPORT_LAG_S = 1.0


@attrs.define(eq=False)
class InFlightCounts:
    """Counts the requests that this entry has in flight, by VM."""

    _counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _total: int = attrs.field(default=0, init=False)

    def count(self, vm: str) -> int:
        """Return the number of requests in flight on ``vm``."""
        return self._counts[vm]

    def total(self) -> int:
        """Return the number of requests in flight."""
        return self._total

    def add(self, vm: str) -> None:
        """Count a request that is sent to ``vm``."""
        self._counts[vm] += 1
        self._total += 1

    def remove(self, vm: str) -> None:
        """Remove a request that ended on ``vm``."""
        self._counts[vm] -= 1
        self._total -= 1
        if not self._counts[vm]:
            del self._counts[vm]


class CapacityPolicy(abc.ABC):
    """Computes the load of a candidate relative to what this entry may send to it."""

    @abc.abstractmethod
    def load(self, service: rules.Service, candidate: candidates.Candidate) -> float:
        """Return the load as a fraction of the limit; below 1, one more request may be sent."""

    @abc.abstractmethod
    def may_send(self, service: rules.Service, candidate: candidates.Candidate) -> bool:
        """Tell whether a request that was placed on this candidate may still be sent."""


@attrs.define(eq=False)
class ReportedCapacity(CapacityPolicy):
    """The baseline: the larger of this entry's requests in flight and the reported load."""

    in_flight: InFlightCounts
    cold_policy: cold.ColdPolicy

    def load(self, service: rules.Service, candidate: candidates.Candidate) -> float:
        """See :class:`CapacityPolicy`."""
        limit = _limit(service, candidate, self.cold_policy)
        reported_count = candidate.report.running + candidate.report.waiting
        used = max(self.in_flight.count(candidate.vm.vm), reported_count)
        return used / limit if limit > 0 else 1.0

    def may_send(self, service: rules.Service, candidate: candidates.Candidate) -> bool:
        """See :class:`CapacityPolicy`."""
        return _may_send(service, candidate, self.cold_policy, self.in_flight)


@attrs.define(eq=False)
class EstimatedCapacity(CapacityPolicy):
    """Corrects the reported load for requests that were sent or ended since the report.

    :ivar count_entries: returns the number of serving entries
    """

    in_flight: InFlightCounts
    cold_policy: cold.ColdPolicy
    view: view.BackendView
    count_entries: collections.abc.Callable[[], int]
    _snapshots: dict[str, _ReportSnapshot] = attrs.field(factory=dict, init=False)
    _own_total: int = attrs.field(default=0, init=False)
    _reported_total: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the reports."""
        self.view.subscribe(self._on_report)

    def load(self, service: rules.Service, candidate: candidates.Candidate) -> float:
        """See :class:`CapacityPolicy`."""
        limit = _limit(service, candidate, self.cold_policy)
        if limit <= 0:
            return 1.0
        own_count = self.in_flight.count(candidate.vm.vm)
        if candidate.report.warmth is client.Warmth.COLD:
            # The limit is this entry's own share, so that requests of other entries do not count.
            return own_count / limit
        if own_count < max(1, limit // self.count_entries()):
            # Otherwise other entries could keep a server full and starve this one: they see at
            # once when their own requests end, this entry only in the next report.
            return min(self._estimate(candidate, own_count) / limit, 0.99)
        return self._estimate(candidate, own_count) / limit

    def may_send(self, service: rules.Service, candidate: candidates.Candidate) -> bool:
        """See :class:`CapacityPolicy`."""
        return _may_send(service, candidate, self.cold_policy, self.in_flight)

    def _estimate(self, candidate: candidates.Candidate, own_count: int) -> float:
        reported_count = candidate.report.running + candidate.report.waiting
        snapshot = self._snapshots.get(candidate.vm.vm)
        sent_since = own_count - snapshot.own_count if snapshot else own_count
        # Seven entries that each see eight free slots would send 56 requests. The requests that
        # other entries have sent since the report are estimated from this entry's usual share.
        return reported_count + (
            sent_since / self._own_fraction() if sent_since > 0 else sent_since
        )

    def _own_fraction(self) -> float:
        fraction = (self._own_total + 1) / (self._reported_total + self.count_entries())
        return min(1.0, max(fraction, 1 / self.count_entries()))

    def _on_report(self, vm: str) -> None:
        observation = self.view.observation(vm)
        previous = self._snapshots.pop(vm, _ReportSnapshot())
        now = _ReportSnapshot()
        if observation is not None:
            now = self._build_snapshot(observation, previous)
            self._snapshots[vm] = now
        self._own_total += now.own_count - previous.own_count
        self._reported_total += now.reported_count - previous.reported_count

    def _build_snapshot(
        self, observation: view.Observation, previous: _ReportSnapshot
    ) -> _ReportSnapshot:
        # A report may lag behind and not include this entry's latest requests. Treating them as
        # included would let this entry send as many again.
        report, asked_at_s = observation.report, observation.asked_at_s
        counts = [each for each in previous.counts if each[0] >= asked_at_s - REPORT_LAG_S]
        counts.append((asked_at_s, self.in_flight.count(report.vm)))
        own_count = min(own_count for _, own_count in counts)
        return _ReportSnapshot(own_count, report.running + report.waiting, tuple(counts))


@attrs.frozen
class _ReportSnapshot:
    """The load in a report, and this entry's requests in flight at that time.

    :ivar own_count: fewest of this entry's requests that the report may include
    :ivar reported_count: running and waiting requests in the report
    :ivar counts: monotonic time and own requests in flight at each of the latest reports
    """

    own_count: int = 0
    reported_count: int = 0
    counts: tuple[tuple[float, int], ...] = ()


def _limit(
    service: rules.Service, candidate: candidates.Candidate, cold_policy: cold.ColdPolicy
) -> int:
    report = candidate.report
    if report.warmth is client.Warmth.COLD:
        bearable = service.cold_requests if report.bearable is None else report.bearable
        return cold_policy.request_limit(candidate.vm.vm, report.boot_id, bearable)
    return service.slots if report.slots is None else report.slots


def _may_send(
    service: rules.Service,
    candidate: candidates.Candidate,
    cold_policy: cold.ColdPolicy,
    in_flight: InFlightCounts,
) -> bool:
    if candidate.report.warmth is client.Warmth.WARM:
        return True
    return in_flight.count(candidate.vm.vm) <= _limit(service, candidate, cold_policy)
