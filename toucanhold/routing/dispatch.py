"""Serves one request: place it, send it, pass its answer on, try again where that is safe."""

import collections.abc
import contextlib
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.backends import client
from toucanhold.routing import (
    attempts,
    budget,
    candidates,
    gate,
    relay,
    requests,
    resuming,
    watchdog,
)

MAX_ATTEMPTS = 4

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Answer:
    """An answer for the caller.

    :ivar chunks: its body; raises :class:`requests.RequestError` when it breaks off
    """

    status: int
    headers: client.Headers
    chunks: collections.abc.AsyncIterator[bytes]


@attrs.define(eq=False)
class Dispatcher:
    """Serves requests of all kinds."""

    admission: gate.AdmissionPolicy
    finder: candidates.CandidateFinder
    backends: client.BackendClient
    watchdog: watchdog.Watchdog
    retries: budget.RetryBudget = attrs.field(factory=budget.RetryBudget)

    @contextlib.asynccontextmanager
    async def serve(self, request: requests.CallerRequest) -> collections.abc.AsyncIterator[Answer]:
        """Give the answer to a request; leaving the context cancels it.

        :raises requests.RequestError: when no backend server answered
        """
        passing = relay.Relay()
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run, request, passing)
            try:
                await passing.wait_head()
                yield Answer(passing.status, passing.headers, passing.chunks())
            except Exception as error:
                # Raised in here, the nursery would wrap it in a group.
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _run(self, request: requests.CallerRequest, passing: relay.Relay) -> None:
        """Serve until the answer is whole, has failed for good, or its time is over."""
        position = resuming.StreamPosition()
        error: requests.RequestError | None = None
        sent = False
        with trio.move_on_at(request.deadline_s) as scope:
            attempt = attempts.Attempt(self, request, passing, position)
            try:
                error = await self._try_until_done(attempt)
            finally:
                sent = attempt.was_sent
        if scope.cancelled_caught:
            error = _too_late(request, sent)
        passing.end(error)

    async def _try_until_done(self, attempt: attempts.Attempt) -> requests.RequestError | None:
        self.retries.note_request()
        unclear: requests.RequestError | None = None
        for number in range(1, MAX_ATTEMPTS + 1):
            try:
                await attempt.run()
                return None
            except requests.RequestError as error:
                return _truthful(error, unclear)
            except attempts.RetryableError as failure:
                reason = self._why_not_again(attempt.request, failure, number)
                events.log(
                    LOGGER,
                    events.Event.REQUEST_RETRIED if not reason else events.Event.RETRY_DENIED,
                    request_id=attempt.request.request_id,
                    vm=failure.vm,
                    attempt=number,
                    reason=reason or failure.error.detail,
                )
                if reason:
                    return _truthful(failure.error, unclear)
                if failure.error.outcome is not requests.Outcome.DID_NOT_RUN:
                    unclear = failure.error
        raise AssertionError("unreachable")

    def _why_not_again(
        self, request: requests.CallerRequest, failure: attempts.RetryableError, number: int
    ) -> str:
        if number == MAX_ATTEMPTS:
            return "too many attempts"
        least_s = self.admission.expected_duration_s(request) / 2
        if not failure.has_begun and trio.current_time() + least_s >= request.deadline_s:
            return "another attempt cannot meet the deadline"
        if not self.retries.take():
            return "the retry budget is empty"
        return ""


def _truthful(
    last: requests.RequestError, unclear: requests.RequestError | None
) -> requests.RequestError:
    # A second attempt that did not run says nothing about the first, which perhaps did.
    if unclear is not None and last.outcome is requests.Outcome.DID_NOT_RUN:
        return unclear
    return last


def _too_late(request: requests.CallerRequest, sent: bool) -> requests.RequestError:
    # Once a byte has left, nobody here knows whether the backend server ran the request.
    outcome = requests.Outcome.UNKNOWN if sent else requests.Outcome.DID_NOT_RUN
    problem = requests.Problem.DEADLINE
    if sent and not request.may_repeat:
        problem = requests.Problem.OUTCOME_UNKNOWN
    return requests.RequestError(problem, outcome, "the deadline has passed")
