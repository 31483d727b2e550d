"""Runs suspected requests alone on a backend server."""

import collections.abc
import contextlib

import attrs
import trio

from toucanhold.configuration import rules
from toucanhold.observing import view
from toucanhold.routing import (
    admission,
    candidates,
    capacity,
    cold,
    incidents,
    requests,
    reservations,
)

CHECK_INTERVAL_S = 0.05
RETRY_AFTER_S = 1.0
CONFLICT_STATUS = 409
FIRST_SERVER_ERROR_STATUS = 500


@attrs.define(eq=False)
class IsolatingCapacity(capacity.CapacityPolicy):
    """Wraps another policy and reports reserved backend servers as full."""

    inner: capacity.CapacityPolicy
    reservations: reservations.ReservationTable

    def load(self, service: rules.Service, candidate: candidates.Candidate) -> float:
        """See :class:`capacity.CapacityPolicy`."""
        if self.reservations.is_reserved(candidate.vm.vm):
            return 1.0
        return self.inner.load(service, candidate)

    def may_send(self, service: rules.Service, candidate: candidates.Candidate) -> bool:
        """See :class:`capacity.CapacityPolicy`."""
        return self.inner.may_send(service, candidate)


@attrs.define(eq=False)
class IsolatingAdmission(admission.AdmissionPolicy):
    """Wraps another policy; suspected requests run isolated or are refused.

    :ivar inner: places all other requests
    :ivar capacity: the load of candidates, regardless of isolation
    """

    inner: admission.AdmissionPolicy
    finder: candidates.CandidateFinder
    in_flight: capacity.InFlightCounts
    capacity: capacity.CapacityPolicy
    cold_policy: cold.ColdPolicy
    tracker: incidents.IncidentTracker
    reservations: reservations.ReservationTable
    _isolating_services: set[str] = attrs.field(factory=set, init=False)

    def expected_duration_s(self, request: requests.CallerRequest) -> float:
        """See :class:`admission.AdmissionPolicy`."""
        return self.inner.expected_duration_s(request)

    @contextlib.asynccontextmanager
    async def place(self, request: requests.CallerRequest, avoid: frozenset[str]):
        """See :class:`admission.AdmissionPolicy`."""
        tracked = self.tracker.tracked_request(request)
        if self.tracker.suspect_table.is_empty() or not await self._must_isolate(tracked):
            async with self.inner.place(request, avoid) as placement:
                with self.tracker.track(tracked, placement, False):
                    yield placement
            return
        async with contextlib.AsyncExitStack() as stack:
            placement = await stack.enter_async_context(self._place_isolated(tracked, avoid))
            is_isolated = placement is not None
            if not is_isolated:
                placement = await stack.enter_async_context(self.inner.place(request, avoid))
            with self.tracker.track(tracked, placement, is_isolated) as attempt:
                yield placement
            if placement.is_finished and _is_completed(attempt.status):
                self.tracker.suspect_table.clear(tracked.fingerprint)

    async def _must_isolate(self, tracked: incidents.TrackedRequest) -> bool:
        table = self.tracker.suspect_table
        if tracked.is_isolated or table.may_be_quarantined(tracked.fingerprint):
            # It may have caused two failures. Deciding before the verdicts are in could crash a
            # third server, or refuse a request whose isolated server turns out to be alive.
            for incident in table.incidents(tracked.fingerprint):
                with trio.move_on_at(tracked.request.deadline_s):
                    await incident.settled.wait()
        if table.is_quarantined(tracked.fingerprint):
            raise _refused_for_good_error(tracked)
        if not table.is_suspect(tracked.fingerprint):
            return False
        if tracked.is_isolated:
            raise _lost_twice_error()
        return True

    @contextlib.asynccontextmanager
    async def _place_isolated(self, tracked: incidents.TrackedRequest, avoid: frozenset[str]):
        """Reserve an idle backend server; yields None if isolation is no longer needed."""
        candidate = await self._wait_for_isolation(tracked, avoid)
        if candidate is None:
            yield None
            return
        vm = candidate.vm.vm
        placement = admission.Placement(candidate, tracked.request, self.capacity)
        self.in_flight.add(vm)
        try:
            yield placement
        finally:
            self.in_flight.remove(vm)
            self._finish_isolation(tracked, vm)
            if not placement.is_finished:
                self.cold_policy.record_unfinished_end(vm, candidate.report.boot_id)

    async def _wait_for_isolation(
        self, tracked: incidents.TrackedRequest, avoid: frozenset[str]
    ) -> candidates.Candidate | None:
        service = tracked.request.service
        await self._acquire_turn(tracked)
        vm, isolated_candidate = "", None
        try:
            while trio.current_time() < tracked.request.deadline_s:
                # Meanwhile another entry may lose the same request.
                if not await self._must_isolate(tracked):
                    return None
                options = self.finder.find(service, trio.current_time())
                if not options:
                    # There is no server to isolate; the inner policy refuses the request at once.
                    return None
                candidate = next((each for each in options if each.vm.vm == vm), None)
                if candidate is not None and self._is_idle(service, candidate):
                    isolated_candidate = candidate
                    return isolated_candidate
                if candidate is None or not self.reservations.is_own(vm):
                    # The server is gone, another entry reserved it first, or long streams kept it
                    # busy for the whole reservation.
                    self._end_isolation(vm)
                    vm = self._begin_isolation(service, options, avoid)
                await trio.sleep(CHECK_INTERVAL_S)
            raise _no_capacity_error()
        finally:
            if isolated_candidate is None:
                self._finish_isolation(tracked, vm)

    async def _acquire_turn(self, tracked: incidents.TrackedRequest) -> None:
        # One at a time per service: if twenty unrelated requests were in flight on a crashed
        # server, reserving a server for each would leave none for all other requests.
        name = tracked.request.service.name
        while name in self._isolating_services:
            if trio.current_time() >= tracked.request.deadline_s:
                raise _no_capacity_error()
            await trio.sleep(CHECK_INTERVAL_S)
        self._isolating_services.add(name)

    def _begin_isolation(
        self,
        service: rules.Service,
        options: collections.abc.Sequence[candidates.Candidate],
        avoid: frozenset[str],
    ) -> str:
        usable = [each for each in options if not self.reservations.is_reserved(each.vm.vm)]
        usable = [each for each in usable if each.vm.vm not in avoid] or usable
        if not usable:
            return ""
        vm = min(usable, key=lambda each: self.capacity.load(service, each)).vm.vm
        self.reservations.begin(vm)
        return vm

    def _finish_isolation(self, tracked: incidents.TrackedRequest, vm: str) -> None:
        self._isolating_services.discard(tracked.request.service.name)
        self._end_isolation(vm)

    def _end_isolation(self, vm: str) -> None:
        if vm:
            self.reservations.end(vm)

    def _is_idle(self, service: rules.Service, candidate: candidates.Candidate) -> bool:
        confirmed_at_s = self.reservations.confirmed_at_s(candidate.vm.vm)
        if confirmed_at_s is None:
            return False
        if self.in_flight.count(candidate.vm.vm) or self.capacity.load(service, candidate) >= 1:
            return False
        # An earlier report does not include the requests that peers sent since.
        is_report_current = candidate.fresh_until_s - view.FRESH_S > confirmed_at_s
        return is_report_current and not candidate.report.running and not candidate.report.waiting


def _is_completed(status: int | None) -> bool:
    return status is not None and status != CONFLICT_STATUS and status < FIRST_SERVER_ERROR_STATUS


def _refused_for_good_error(tracked: incidents.TrackedRequest) -> requests.RequestError:
    outcome = requests.Outcome.UNKNOWN if tracked.loss_count else requests.Outcome.DID_NOT_RUN
    return requests.RequestError(
        requests.Problem.REFUSED_FOR_GOOD,
        outcome,
        "backend servers failed each time the request ran",
    )


def _lost_twice_error() -> requests.RequestError:
    return requests.RequestError(
        requests.Problem.BACKEND_FAILED,
        requests.Outcome.UNKNOWN,
        "the answer was lost twice, once during an isolated run",
        RETRY_AFTER_S,
    )


def _no_capacity_error() -> requests.RequestError:
    return requests.RequestError(
        requests.Problem.NO_CAPACITY,
        requests.Outcome.DID_NOT_RUN,
        "no backend server became idle for an isolated run before the deadline",
        RETRY_AFTER_S,
    )
