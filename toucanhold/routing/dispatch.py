"""Serves a request: places it, sends it, forwards its answer and retries where that is safe."""

from __future__ import annotations

import collections.abc
import contextlib
import logging

import attrs
import trio

from toucanhold import events, lifetime
from toucanhold.backends import answer_memory, client
from toucanhold.routing import (
    admission,
    attempts,
    budget,
    candidates,
    relay,
    requests,
    resuming,
    watchdog,
)

MAX_ATTEMPTS = 4
# Servers per request that may be out of reach without a retry of the budget: nothing reached them.
# A whole zone that restarts would otherwise use up the budget within a second.
MAX_FREE_CONNECTS = 3

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Answer:
    """An answer for the caller.

    :ivar status: HTTP status
    :ivar chunks: the body; raises :class:`requests.RequestError` if it cannot be completed
    """

    status: int
    headers: client.Headers
    chunks: collections.abc.AsyncIterator[bytes]


@attrs.define(eq=False)
class Dispatcher:
    """Serves requests, with retries.

    :ivar retry_budget: limits the retries of all requests together
    :ivar answer_memory: bounds what is held of unfinished answers
    :ivar lifetime: the time that this process has for answers
    """

    admission: admission.AdmissionPolicy
    finder: candidates.CandidateFinder
    backends: client.BackendClient
    watchdog: watchdog.Watchdog
    retry_budget: budget.RetryBudget = attrs.field(factory=budget.RetryBudget)
    answer_memory: answer_memory.AnswerMemory = attrs.field(factory=answer_memory.AnswerMemory)
    lifetime: lifetime.Lifetime = attrs.field(factory=lifetime.Lifetime)

    @contextlib.asynccontextmanager
    async def serve(self, request: requests.CallerRequest) -> collections.abc.AsyncIterator[Answer]:
        """Provide the answer to a request; leaving the context cancels the request.

        :raises requests.RequestError: when no backend server answered
        """
        response_relay = relay.Relay()
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run, request, response_relay)
            try:
                await response_relay.wait_for_headers()
                yield Answer(response_relay.status, response_relay.headers, response_relay.chunks())
            except Exception as error:
                # Raised inside the nursery, it would be wrapped in an exception group.
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _run(self, request: requests.CallerRequest, response_relay: relay.Relay) -> None:
        """Serve until the answer is complete, has finally failed or its time is over."""
        error: requests.RequestError | None = None
        attempt = attempts.AttemptRunner(self, request, response_relay, resuming.StreamPosition())
        with self.lifetime.bounded(request.deadline_s) as scope:
            error = await self._run_attempts(attempt)
        if scope.cancelled_caught:
            is_stopped = scope.deadline < request.deadline_s
            detail = "this entry stops" if is_stopped else "the deadline has passed"
            error = _deadline_error(request, attempt.sent_count > 0, detail)
        if error is not None and attempt.failure_answer is not None and not response_relay.status:
            attempt.failure_answer.forward(response_relay)
            error = None
        response_relay.end(error)

    async def _run_attempts(self, attempt: attempts.AttemptRunner) -> requests.RequestError | None:
        self.retry_budget.record_request()
        earlier_error: requests.RequestError | None = None
        while True:
            try:
                await attempt.run()
                return None
            except requests.RequestError as error:
                return _error_for_all_attempts(error, earlier_error)
            except attempts.RetryableError as failure:
                reason = "" if _is_free(attempt, failure) else self.retry_denied_reason(attempt)
                events.log(
                    LOGGER,
                    events.Event.REQUEST_RETRIED if not reason else events.Event.RETRY_DENIED,
                    request_id=attempt.request.request_id,
                    vm=failure.vm,
                    attempt=attempt.attempt_count + attempt.free_connects,
                    reason=reason or failure.error.detail,
                )
                if reason:
                    return _error_for_all_attempts(failure.error, earlier_error)
                if failure.error.outcome is not requests.Outcome.DID_NOT_RUN:
                    earlier_error = failure.error

    def retry_denied_reason(self, attempt: attempts.AttemptRunner) -> str:
        """Return why there may be no further attempt; if there may, consume a retry, return ""."""
        reason = self._exclusion_reason(attempt)
        if not reason and not self.retry_budget.try_acquire():
            reason = "the retry budget is used up"
        return reason

    def may_retry(self, attempt: attempts.AttemptRunner) -> bool:
        """Return whether there may be a further attempt, without consuming a retry."""
        return not self._exclusion_reason(attempt) and self.retry_budget.has_remaining

    def _exclusion_reason(self, attempt: attempts.AttemptRunner) -> str:
        if attempt.attempt_count >= MAX_ATTEMPTS:
            return f"the limit of {MAX_ATTEMPTS} attempts is reached"
        request = attempt.request
        min_duration_s = self.admission.expected_duration_s(request) / 2
        if not attempt.has_begun and trio.current_time() + min_duration_s >= request.deadline_s:
            return "another attempt cannot meet the deadline"
        return ""


def _is_free(attempt: attempts.AttemptRunner, failure: attempts.RetryableError) -> bool:
    """Return whether another attempt needs no retry, and count it if so."""
    if failure.was_sent or attempt.free_connects >= MAX_FREE_CONNECTS:
        return False
    attempt.free_connects += 1
    attempt.attempt_count -= 1
    return True


def _error_for_all_attempts(
    last: requests.RequestError, earlier_error: requests.RequestError | None
) -> requests.RequestError:
    # A later attempt that did not run does not prove that an earlier one did not either.
    if earlier_error is not None and last.outcome is requests.Outcome.DID_NOT_RUN:
        return earlier_error
    return last


def _deadline_error(
    request: requests.CallerRequest, may_have_been_sent: bool, detail: str
) -> requests.RequestError:
    # Once a byte was sent, this entry cannot know whether the backend server ran the request.
    outcome = requests.Outcome.UNKNOWN if may_have_been_sent else requests.Outcome.DID_NOT_RUN
    problem = requests.Problem.DEADLINE
    if may_have_been_sent and not request.may_repeat:
        problem = requests.Problem.OUTCOME_UNKNOWN
    return requests.RequestError(problem, outcome, detail)
