"""Runs single attempts of a request on backend servers and forwards the answer."""

from __future__ import annotations

import contextlib
import functools
import logging
import typing

import attrs
import trio

from toucanhold import events
from toucanhold.backends import answer_memory, client, http
from toucanhold.routing import admission, arrivals, races, relay, requests, resuming, sse, watchdog

if typing.TYPE_CHECKING:
    from toucanhold.routing import dispatch

MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Events that are forwarded before other tasks may run.
MAX_BATCH_EVENTS = 32
RETRY_AFTER_S = 1.0
DRAIN_TIMEOUT_S = 1.0
FORWARDED_RESPONSE_HEADERS = (b"content-type",)
# Error types that engines document as refusals before a request was started.
NOT_STARTED_ERROR_TYPES = ("wrong_group", "not_serving", "model_not_found")
LOST_ERRORS = (
    client.BackendError,
    sse.FramingError,
    answer_memory.AnswerMemoryError,
    arrivals.EndlessAnswerError,
)
RETRYABLE_STATUSES = (429, 500, 502, 503, 504)

LOGGER = logging.getLogger(__name__)


class RetryableError(Exception):
    """An attempt failed and another one is safe.

    :ivar vm: the VM that the attempt ran on
    :ivar error: the answer to the caller if there is no further attempt
    :ivar was_sent: whether the backend server may have received a part of the request
    """

    def __init__(self, vm: str, error: requests.RequestError, was_sent: bool) -> None:
        super().__init__(vm)
        self.vm = vm
        self.error = error
        self.was_sent = was_sent


@attrs.frozen
class BufferedAnswer:
    """A whole answer of a server that is not a stream."""

    status: int
    headers: client.Headers
    body: bytes

    def forward(self, response_relay: relay.Relay) -> None:
        """Send it to the caller, who has received nothing yet."""
        response_relay.start(self.status, self.headers)
        response_relay.put(self.body)


@attrs.define(eq=False)
class AttemptRunner:
    """Runs the attempts of one request: one after another, and backups of a silent one beside it.

    :ivar attempt_count: number of attempts that have started, without the free ones
    :ivar free_connects: number of attempts that reached no server and were repeated without a retry
    :ivar sent_count: number of attempts in which any byte of the request may have left this entry
    :ivar failure_answer: answer with an engine's failure, for the caller if no other server answers
    """

    dispatcher: dispatch.Dispatcher
    request: requests.CallerRequest
    response_relay: relay.Relay
    stream_position: resuming.StreamPosition
    attempt_count: int = 0
    free_connects: int = 0
    sent_count: int = 0
    failure_answer: BufferedAnswer | None = None
    _failed_vms: frozenset[str] = frozenset()
    _model_version: tuple[str | None, str] | None = None
    _race: races.AttemptRace = attrs.field(factory=races.AttemptRace)

    @property
    def has_begun(self) -> bool:
        """Whether a part of the answer was forwarded to the caller."""
        return self.stream_position.has_begun

    @property
    def can_resume(self) -> bool:
        """Whether another server can go on with the answer."""
        # Without event ids, events that a second stream repeats cannot be recognised.
        return not self.has_begun or self.stream_position.last_event_id is not None

    async def run(self) -> None:
        """Run one attempt, and backups while its server is silent.

        :raises RetryableError: when another attempt is safe
        :raises requests.RequestError: when the request must not be tried again
        """
        race = self._race = races.AttemptRace()
        self.attempt_count += 1
        async with trio.open_nursery() as nursery:
            try:
                async with self.dispatcher.admission.place(
                    self.request, self._failed_vms
                ) as placement:
                    self._check_version(placement)
                    await self._run_in_race(placement, nursery)
            except (RetryableError, requests.RequestError) as error:
                # Raised inside the nursery, it would be wrapped in an exception group.
                self._record_race_error(error)
        if not race.is_answered and race.error is not None:
            raise race.error

    def _check_version(self, placement: admission.Placement) -> None:
        # A stream resumed on another model or version would continue with a different text.
        if self.has_begun and _model_version(placement) != self._model_version:
            placement.is_finished = True
            raise _lost_error(self.request, "no backend server of the same model version is left")

    async def _run_in_race(self, placement: admission.Placement, nursery: trio.Nursery) -> None:
        race = self._race
        _log_routed(self.request, placement)
        attempt = watchdog.WatchedAttempt(
            placement.candidate, functools.partial(self._handle_silence, placement, nursery)
        )
        race.attempts.append(attempt)
        if self.request.may_repeat:
            self.dispatcher.watchdog.add(attempt)
        try:
            with attempt.scope:
                await self._send_and_forward(placement, attempt)
                race.is_answered = True
        finally:
            self.dispatcher.watchdog.remove(attempt)
            race.attempts.remove(attempt)
        if attempt.reason and attempt.scope.cancelled_caught:
            raise self._record_failure(placement, _lost_error(self.request, attempt.reason))
        if attempt.scope.cancelled_caught:
            self._log_superseded(attempt)

    def _handle_silence(
        self, placement: admission.Placement, nursery: trio.Nursery, reason: str
    ) -> None:
        """Start a backup if a retry is free."""
        race = self._race
        placement.on_silent()
        if race.backup_scope is not None or not race.is_silent():
            return
        if self.stream_position.is_complete or not self.can_resume:
            return
        if self.dispatcher.retry_denied_reason(self):
            return
        race.backup_scope = trio.CancelScope()
        nursery.start_soon(self._run_backup, placement.candidate.vm.vm, nursery, reason)

    async def _run_backup(self, silent_vm: str, nursery: trio.Nursery, reason: str) -> None:
        try:
            async with contextlib.AsyncExitStack() as stack:
                placement = await self._place_backup(stack)
                if placement is None:
                    return
                self.attempt_count += 1
                self._log_backup(placement, silent_vm, reason)
                await self._run_in_race(placement, nursery)
        except (RetryableError, requests.RequestError) as error:
            self._record_race_error(error)

    def _record_race_error(self, error: RetryableError | requests.RequestError) -> None:
        # That one attempt did not run does not prove that the others did not either.
        outcome = error.error.outcome if isinstance(error, RetryableError) else error.outcome
        if self._race.error is None or outcome is not requests.Outcome.DID_NOT_RUN:
            self._race.error = error

    async def _place_backup(self, stack: contextlib.AsyncExitStack) -> admission.Placement | None:
        """Reserve a server; return None if there is none, or another attempt goes on before."""
        race, placement = self._race, None
        in_use = {attempt.candidate.vm.vm for attempt in race.attempts}
        placing = self.dispatcher.admission.place(self.request, self._failed_vms | in_use)
        try:
            with race.backup_scope as scope:
                reserved = await stack.enter_async_context(placing)
                self._check_version(reserved)
                reserved.is_finished = scope.cancel_called
                placement = None if scope.cancel_called else reserved
        except requests.RequestError:
            pass
        finally:
            race.backup_scope = None
            if placement is None:
                self.dispatcher.retry_budget.release()
        return placement

    async def _send_and_forward(
        self, placement: admission.Placement, attempt: watchdog.WatchedAttempt
    ) -> None:
        vm = placement.candidate.vm
        arrival = arrivals.AnswerArrival(self.request.deadline_s, self._may_retry)
        forwarded = self._build_forwarded_request(placement, arrival)
        self.sent_count += 1
        try:
            with self.dispatcher.answer_memory.hold() as held:
                async with self.dispatcher.backends.forward(vm.address, forwarded) as response:
                    await self._forward_response(response, placement, attempt, arrival, held)
        except client.NotSentError as error:
            placement.is_finished = True
            self.sent_count -= 1
            not_run_error = _not_run_error(str(error))
            raise self._record_failure(placement, not_run_error, was_sent=False) from error
        except LOST_ERRORS as error:
            lost_error = _lost_error(self.request, str(error))
            if not self.request.may_repeat:
                self.dispatcher.finder.require_new_report(vm.vm, trio.current_time())
                raise lost_error from error
            raise self._record_failure(placement, lost_error) from error

    def _may_retry(self) -> bool:
        return self.request.may_repeat and self.can_resume and self.dispatcher.may_retry(self)

    def _record_failure(
        self, placement: admission.Placement, error: requests.RequestError, was_sent: bool = True
    ) -> RetryableError | requests.RequestError:
        vm = placement.candidate.vm.vm
        self.dispatcher.finder.require_new_report(vm, trio.current_time())
        self._failed_vms |= {vm}
        return RetryableError(vm, error, was_sent) if self.can_resume else error

    async def _forward_response(
        self,
        response: client.ForwardedResponse,
        placement: admission.Placement,
        attempt: watchdog.WatchedAttempt,
        arrival: arrivals.AnswerArrival,
        held: answer_memory.HeldAnswer,
    ) -> None:
        is_stream = self.request.stream and response.status == 200
        arrival.end_head(is_stream)
        if is_stream:
            await self._forward_stream(response, placement, attempt, arrival, held)
        else:
            body = await _read_body(response, held)
            await trio.lowlevel.checkpoint_if_cancelled()
            placement.is_finished = True
            answer = BufferedAnswer(response.status, _forwarded_headers(response.headers), body)
            if placement.candidate.group is not None:
                self._check_not_refused(answer, placement)
            if placement.candidate.group is not None or self._race.has_others(attempt):
                self._check_status(answer, placement)
            if self.has_begun:
                raise self._record_failure(
                    placement, _lost_error(self.request, "the engine did not resume the stream")
                )
            self._race.claim(attempt)
            answer.forward(self.response_relay)
        _log_finished(self.request, placement, response.status)

    def _check_not_refused(self, answer: BufferedAnswer, placement: admission.Placement) -> None:
        error_type = http.error_type(answer.body) if answer.status >= 400 else ""
        if error_type in NOT_STARTED_ERROR_TYPES:
            raise self._record_failure(
                placement, _not_run_error(f"the engine refused the request: {error_type}")
            )

    def _check_status(self, answer: BufferedAnswer, placement: admission.Placement) -> None:
        if answer.status in RETRYABLE_STATUSES:
            # Such a status does not prove that the server had not started the request.
            self.failure_answer = answer
            raise self._record_failure(
                placement,
                _lost_error(self.request, f"the server responded with HTTP status {answer.status}"),
            )

    async def _forward_stream(
        self,
        response: client.ForwardedResponse,
        placement: admission.Placement,
        attempt: watchdog.WatchedAttempt,
        arrival: arrivals.AnswerArrival,
        held: answer_memory.HeldAnswer,
    ) -> None:
        splitter = sse.EventSplitter()
        try:
            await self._forward_events(response, placement, attempt, arrival, held, splitter)
        finally:
            # Errors refer to it.
            splitter.clear()

    async def _forward_events(
        self,
        response: client.ForwardedResponse,
        placement: admission.Placement,
        attempt: watchdog.WatchedAttempt,
        arrival: arrivals.AnswerArrival,
        held: answer_memory.HeldAnswer,
        splitter: sse.EventSplitter,
    ) -> None:
        position = self.stream_position.of_new_attempt()
        headers = _forwarded_headers(response.headers)
        async for chunk in response.chunks:
            await trio.lowlevel.checkpoint_if_cancelled()
            for number, event in enumerate(splitter.feed(chunk), 1):
                if not number % MAX_BATCH_EVENTS:
                    await trio.lowlevel.checkpoint()
                is_new = position.accept(event) if event.has_content else position.has_begun
                arrival.record_event(event, is_new, 2 + (position.last_event_id or 0))
                if event.has_content:
                    attempt.record_event()
                if is_new:
                    self._race.claim(attempt)
                    self.stream_position = position
                    self._model_version = _model_version(placement)
                    self.response_relay.start(200, headers)
                    self.response_relay.put(event.raw)
                if position.is_complete:
                    placement.is_finished = True
                    await _drain(response)
                    return
            arrival.record_rest(splitter)
            held.resize(splitter.buffered_bytes)
            if splitter.has_partial_event:
                attempt.expect_event()
            if self.response_relay.is_full():
                attempt.last_event_s = float("inf")
                await self.response_relay.wait_for_space()
        # By its framing alone, a stream that closes cleanly without its end marker looks complete.
        raise client.AnswerLostError("the stream ended before its end marker")

    def _build_forwarded_request(
        self, placement: admission.Placement, arrival: arrivals.AnswerArrival
    ) -> client.ForwardedRequest:
        request, candidate = self.request, placement.candidate
        is_warm = candidate.report.warmth is client.Warmth.WARM
        headers = list(request.headers)
        if candidate.group is not None:
            headers += [
                (b"toucanhold-group", candidate.group.group.encode()),
                (b"toucanhold-generation", str(candidate.group.generation).encode()),
            ]
        if self.stream_position.last_event_id is not None:
            headers.append((b"last-event-id", str(self.stream_position.last_event_id).encode()))
        if request.idempotency_key:
            headers.append((b"idempotency-key", request.idempotency_key.encode()))
        return client.ForwardedRequest(
            request.method,
            request.path,
            headers,
            request.body,
            request.request_id,
            max(0.001, request.deadline_s - trio.current_time()),
            fresh_connection=not request.may_repeat,
            boot_id=candidate.report.boot_id,
            warm_only=is_warm,
            guard=None if is_warm else placement.may_send,
            on_read=arrival.record_read,
        )

    def _log_backup(self, placement: admission.Placement, silent_vm: str, reason: str) -> None:
        events.log(
            LOGGER,
            events.Event.BACKUP_SENT,
            request_id=self.request.request_id,
            vm=placement.candidate.vm.vm,
            silent_vm=silent_vm,
            attempt=self.attempt_count,
            after_event=self.stream_position.last_event_id,
            reason=reason,
        )

    def _log_superseded(self, attempt: watchdog.WatchedAttempt) -> None:
        events.log(
            LOGGER,
            events.Event.ATTEMPT_SUPERSEDED,
            request_id=self.request.request_id,
            vm=attempt.candidate.vm.vm,
            was_silent=attempt.is_silent,
            after_event=self.stream_position.last_event_id,
        )


async def _read_body(response: client.ForwardedResponse, held: answer_memory.HeldAnswer) -> bytes:
    if (response.length_bytes or 0) > MAX_ANSWER_BYTES:
        raise client.AnswerLostError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
    async for chunk in response.chunks:
        held.append(chunk)
        if len(held.body) > MAX_ANSWER_BYTES:
            raise client.AnswerLostError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
    return bytes(held.body)


async def _drain(response: client.ForwardedResponse) -> None:
    # The answer is complete; reading to the end of the body lets the connection be reused.
    with trio.move_on_after(DRAIN_TIMEOUT_S):
        try:
            async for _ in response.chunks:
                return
        except client.BackendError as error:
            LOGGER.debug("the connection failed after the end marker: %s", error)


def _forwarded_headers(headers: client.Headers) -> client.Headers:
    return tuple(
        (key, value) for key, value in headers if key.lower() in FORWARDED_RESPONSE_HEADERS
    )


def _model_version(placement: admission.Placement) -> tuple[str | None, str]:
    return placement.candidate.report.model, placement.candidate.report.version


def _not_run_error(detail: str) -> requests.RequestError:
    return requests.RequestError(
        requests.Problem.NO_CAPACITY, requests.Outcome.DID_NOT_RUN, detail, RETRY_AFTER_S
    )


def _lost_error(request: requests.CallerRequest, detail: str) -> requests.RequestError:
    if request.may_repeat:
        return requests.RequestError(
            requests.Problem.BACKEND_FAILED, requests.Outcome.UNKNOWN, detail, RETRY_AFTER_S
        )
    return requests.RequestError(requests.Problem.OUTCOME_UNKNOWN, requests.Outcome.UNKNOWN, detail)


def _log_routed(request: requests.CallerRequest, placement: admission.Placement) -> None:
    candidate = placement.candidate
    fields: dict[str, typing.Any] = {
        "request_id": request.request_id,
        "workspace": request.workspace,
        "service": request.service.name,
        "vm": candidate.vm.vm,
        "warmth": candidate.report.warmth.value,
    }
    if candidate.group is not None:
        fields |= {"group": candidate.group.group, "generation": candidate.group.generation}
    events.log(LOGGER, events.Event.REQUEST_ROUTED, **fields)


def _log_finished(
    request: requests.CallerRequest, placement: admission.Placement, status: int
) -> None:
    events.log(
        LOGGER,
        events.Event.REQUEST_FINISHED,
        request_id=request.request_id,
        vm=placement.candidate.vm.vm,
        status=status,
    )
