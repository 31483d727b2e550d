"""Admission: a request waits here for a backend server with room."""

import abc
import contextlib

import attrs
import trio

from toucanhold.routing import candidates, choice, cold, requests, room

MAX_WAITING = 64
RECHECK_INTERVAL_S = 0.02
FULL_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Placement:
    """Room for one request on a backend server.

    :ivar finished: whether the backend server has certainly ended its work on the request
    """

    candidate: candidates.Candidate
    _request: requests.CallerRequest
    _room: room.RoomPolicy
    finished: bool = False

    def may_send(self) -> bool:
        """Tell whether the request may still be sent there."""
        return self._room.may_send(self._request.service, self.candidate)


class AdmissionPolicy(abc.ABC):
    """Gives each admitted request one backend server."""

    @abc.abstractmethod
    def place(
        self, request: requests.CallerRequest, avoid: frozenset[str]
    ) -> contextlib.AbstractAsyncContextManager[Placement]:
        """Hold room on a backend server while the context is open.

        :param avoid: VMs that this request has failed on
        :raises requests.RequestError: at once, when there will be no room in time
        """

    def expected_duration_s(self, request: requests.CallerRequest) -> float:
        """Return how long such a request takes once it is placed; 0 if unknown."""
        return 0.0


@attrs.define(eq=False)
class PlainQueue(AdmissionPolicy):
    """The baseline: whoever asks first when there is room gets it; a bounded number may wait."""

    finder: candidates.CandidateFinder
    policy: choice.ChoicePolicy
    in_flight: room.InFlight
    room: room.RoomPolicy
    cold: cold.ColdPolicy
    _waiting: int = attrs.field(default=0, init=False)

    @contextlib.asynccontextmanager
    async def place(self, request: requests.CallerRequest, avoid: frozenset[str]):
        """See :class:`AdmissionPolicy`."""
        chosen = await self._wait_for_room(request, avoid)
        placement = Placement(chosen, request, self.room)
        try:
            yield placement
        finally:
            self.in_flight.remove(chosen.vm.vm)
            if not placement.finished:
                self.cold.note_unclean_end(chosen.vm.vm, chosen.report.boot_id)

    async def _wait_for_room(
        self, request: requests.CallerRequest, avoid: frozenset[str]
    ) -> candidates.Candidate:
        if self._waiting >= MAX_WAITING:
            raise _refusal("the queue is full")
        self._waiting += 1
        try:
            while trio.current_time() < request.deadline_s:
                chosen = self._try(request, avoid)
                if chosen is not None:
                    self.in_flight.add(chosen.vm.vm)
                    return chosen
                await trio.sleep(RECHECK_INTERVAL_S)
        finally:
            self._waiting -= 1
        raise _refusal("no backend server had room before the deadline")

    def _try(
        self, request: requests.CallerRequest, avoid: frozenset[str]
    ) -> candidates.Candidate | None:
        options = self.finder.find(request.service, trio.current_time())
        if not options:
            raise _refusal(f"no backend server serves {request.service.name!r} now")
        preferred = [option for option in options if option.vm.vm not in avoid]
        return self.policy.choose(request, preferred or options)


def _refusal(detail: str) -> requests.RequestError:
    return requests.RequestError(
        requests.Problem.NO_CAPACITY,
        requests.Outcome.DID_NOT_RUN,
        detail,
        FULL_RETRY_AFTER_S,
    )
