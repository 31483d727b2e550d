"""Admission control: requests wait here for a backend server with free capacity."""

import abc
import collections.abc
import contextlib

import attrs
import trio

from toucanhold.routing import candidates, capacity, choice, cold, requests

MAX_WAITING = 64
RECHECK_INTERVAL_S = 0.02
FULL_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Placement:
    """Capacity for one request, reserved on a backend server.

    :ivar is_finished: whether the backend server has certainly stopped working on the request
    :ivar on_silent: called when the backend server is silent, possibly more than once
    """

    candidate: candidates.Candidate
    _request: requests.CallerRequest
    _capacity: capacity.CapacityPolicy
    is_finished: bool = False
    on_silent: collections.abc.Callable[[], None] = lambda: None

    def may_send(self) -> bool:
        """Tell whether the request may still be sent there."""
        return self._capacity.may_send(self._request.service, self.candidate)


class AdmissionPolicy(abc.ABC):
    """Reserves capacity on one backend server for each admitted request."""

    @abc.abstractmethod
    def place(
        self, request: requests.CallerRequest, avoid: frozenset[str]
    ) -> contextlib.AbstractAsyncContextManager[Placement]:
        """Reserve capacity on a backend server while the context is open.

        :param avoid: names of VMs on which this request has failed
        :raises requests.RequestError: when there is no capacity before the deadline; at once where
            that can be foreseen
        """

    def expected_duration_s(self, request: requests.CallerRequest) -> float:
        """Return the mean duration of such requests once placed, in seconds; 0 if unknown."""
        return 0.0


@attrs.define(eq=False)
class FirstComeQueue(AdmissionPolicy):
    """The baseline: polls for free capacity, with a bounded number of waiting requests."""

    finder: candidates.CandidateFinder
    policy: choice.ChoicePolicy
    in_flight: capacity.InFlightCounts
    capacity: capacity.CapacityPolicy
    cold_policy: cold.ColdPolicy
    _waiting: int = attrs.field(default=0, init=False)

    @contextlib.asynccontextmanager
    async def place(self, request: requests.CallerRequest, avoid: frozenset[str]):
        """See :class:`AdmissionPolicy`."""
        candidate = await self._wait_for_capacity(request, avoid)
        placement = Placement(candidate, request, self.capacity)
        try:
            yield placement
        finally:
            self.in_flight.remove(candidate.vm.vm)
            if not placement.is_finished:
                self.cold_policy.record_unfinished_end(candidate.vm.vm, candidate.report.boot_id)

    async def _wait_for_capacity(
        self, request: requests.CallerRequest, avoid: frozenset[str]
    ) -> candidates.Candidate:
        if self._waiting >= MAX_WAITING:
            raise _refusal_error(f"the queue is full: {MAX_WAITING} requests are waiting")
        self._waiting += 1
        try:
            while trio.current_time() < request.deadline_s:
                candidate = self._choose(request, avoid)
                if candidate is not None:
                    self.in_flight.add(candidate.vm.vm)
                    return candidate
                await trio.sleep(RECHECK_INTERVAL_S)
        finally:
            self._waiting -= 1
        raise _refusal_error("no backend server had free capacity before the deadline")

    def _choose(
        self, request: requests.CallerRequest, avoid: frozenset[str]
    ) -> candidates.Candidate | None:
        options = self.finder.find(request.service, trio.current_time())
        if not options:
            raise _refusal_error(f"no backend server serves {request.service.name!r} now")
        preferred = [candidate for candidate in options if candidate.vm.vm not in avoid]
        return self.policy.choose(request, preferred or options)


def _refusal_error(detail: str) -> requests.RequestError:
    return requests.RequestError(
        requests.Problem.NO_CAPACITY,
        requests.Outcome.DID_NOT_RUN,
        detail,
        FULL_RETRY_AFTER_S,
    )
