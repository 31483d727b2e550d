"""Runs single attempts of a request on backend servers and forwards the answer."""

from __future__ import annotations

import logging
import typing

import attrs
import trio

from toucanhold import events
from toucanhold.backends import client, http
from toucanhold.routing import admission, relay, requests, resuming, sse, watchdog

if typing.TYPE_CHECKING:
    from toucanhold.routing import dispatch

MAX_ANSWER_BYTES = 16 * 1024 * 1024
RETRY_AFTER_S = 1.0
DRAIN_TIMEOUT_S = 1.0
FORWARDED_RESPONSE_HEADERS = (b"content-type",)
# Error types that engines document as refusals before a request was started.
NOT_STARTED_ERROR_TYPES = ("wrong_group", "not_serving", "model_not_found")
RETRYABLE_STATUSES = (429, 500, 502, 503, 504)

LOGGER = logging.getLogger(__name__)


class RetryableError(Exception):
    """An attempt failed and another one is safe.

    :ivar vm: the VM that the attempt ran on
    :ivar error: the answer to the caller if there is no further attempt
    :ivar has_begun: whether a part of the answer was forwarded to the caller
    """

    def __init__(self, vm: str, error: requests.RequestError, has_begun: bool) -> None:
        super().__init__(vm)
        self.vm = vm
        self.error = error
        self.has_begun = has_begun


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
    """Runs the attempts of one request, one after another.

    :ivar may_have_been_sent: whether any byte of the request may have left this entry
    :ivar failure_answer: answer with an engine's failure, for the caller if no other server answers
    """

    dispatcher: dispatch.Dispatcher
    request: requests.CallerRequest
    response_relay: relay.Relay
    stream_position: resuming.StreamPosition
    may_have_been_sent: bool = False
    failure_answer: BufferedAnswer | None = None
    _failed_vms: frozenset[str] = frozenset()
    _model_version: tuple[str | None, str] | None = None

    async def run(self) -> None:
        """Run one attempt.

        :raises RetryableError: when another attempt is safe
        :raises requests.RequestError: when the request must not be tried again
        """
        async with self.dispatcher.admission.place(self.request, self._failed_vms) as placement:
            self._check_version(placement)
            _log_routed(self.request, placement)
            watched_attempt = watchdog.WatchedAttempt(placement.candidate)
            if self.request.may_repeat:
                self.dispatcher.watchdog.add(watched_attempt)
            try:
                with watched_attempt.scope:
                    await self._send_and_forward(placement, watched_attempt)
            finally:
                self.dispatcher.watchdog.remove(watched_attempt)
            if watched_attempt.scope.cancelled_caught:
                raise self._record_failure(
                    placement, _lost_error(self.request, watched_attempt.reason)
                )

    def _check_version(self, placement: admission.Placement) -> None:
        # A stream resumed on another model or version would continue with a different text.
        report = placement.candidate.report
        version = (report.model, report.version)
        if self.stream_position.has_begun and version != self._model_version:
            placement.is_finished = True
            raise _lost_error(self.request, "no backend server of the same model version is left")
        self._model_version = version

    async def _send_and_forward(
        self, placement: admission.Placement, watched_attempt: watchdog.WatchedAttempt
    ) -> None:
        vm = placement.candidate.vm
        forwarded = self._build_forwarded_request(placement)
        was_sent_before, self.may_have_been_sent = self.may_have_been_sent, True
        try:
            async with self.dispatcher.backends.forward(vm.address, forwarded) as response:
                await self._forward_response(response, placement, watched_attempt)
        except client.NotSentError as error:
            placement.is_finished, self.may_have_been_sent = True, was_sent_before
            raise self._record_failure(placement, _not_run_error(str(error))) from error
        except (client.BackendError, sse.FramingError) as error:
            lost_error = _lost_error(self.request, str(error))
            if not self.request.may_repeat:
                self.dispatcher.finder.require_new_report(vm.vm, trio.current_time())
                raise lost_error from error
            raise self._record_failure(placement, lost_error) from error

    def _record_failure(
        self, placement: admission.Placement, error: requests.RequestError
    ) -> RetryableError | requests.RequestError:
        vm = placement.candidate.vm.vm
        self.dispatcher.finder.require_new_report(vm, trio.current_time())
        self._failed_vms |= {vm}
        if self.stream_position.has_begun and self.stream_position.last_event_id is None:
            # Without event ids, events that a second stream repeats cannot be recognised.
            return error
        return RetryableError(vm, error, self.stream_position.has_begun)

    async def _forward_response(
        self,
        response: client.ForwardedResponse,
        placement: admission.Placement,
        watched_attempt: watchdog.WatchedAttempt,
    ) -> None:
        if self.request.stream and response.status == 200:
            await self._forward_stream(response, placement, watched_attempt)
        else:
            body = await _read_body(response)
            placement.is_finished = True
            answer = BufferedAnswer(response.status, _forwarded_headers(response.headers), body)
            if placement.candidate.group is not None:
                self._check_engine_status(answer, placement)
            if self.stream_position.has_begun:
                raise self._record_failure(
                    placement, _lost_error(self.request, "the engine did not resume the stream")
                )
            answer.forward(self.response_relay)
        _log_finished(self.request, placement, response.status)

    def _check_engine_status(self, answer: BufferedAnswer, placement: admission.Placement) -> None:
        error_type = http.error_type(answer.body) if answer.status >= 400 else ""
        if error_type in NOT_STARTED_ERROR_TYPES:
            raise self._record_failure(
                placement, _not_run_error(f"the engine refused the request: {error_type}")
            )
        if answer.status in RETRYABLE_STATUSES:
            # Such a status does not prove that the engine had not started the request.
            self.failure_answer = answer
            raise self._record_failure(
                placement,
                _lost_error(self.request, f"the engine responded with HTTP status {answer.status}"),
            )

    async def _forward_stream(
        self,
        response: client.ForwardedResponse,
        placement: admission.Placement,
        watched_attempt: watchdog.WatchedAttempt,
    ) -> None:
        splitter = sse.EventSplitter()
        self.stream_position.begin_attempt()
        headers = _forwarded_headers(response.headers)
        async for chunk in response.chunks:
            watched_attempt.last_event_s = trio.current_time()
            for event in splitter.feed(chunk):
                if self.stream_position.accept(event):
                    self.response_relay.start(200, headers)
                    self.response_relay.put(event.raw)
                if self.stream_position.is_complete:
                    placement.is_finished = True
                    await _drain(response)
                    return
            if self.response_relay.is_full():
                watched_attempt.last_event_s = float("inf")
                await self.response_relay.wait_for_space()
        # By its framing alone, a stream that closes cleanly without its end marker looks complete.
        raise client.AnswerLostError("the stream ended before its end marker")

    def _build_forwarded_request(self, placement: admission.Placement) -> client.ForwardedRequest:
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
        )


async def _read_body(response: client.ForwardedResponse) -> bytes:
    body = bytearray()
    async for chunk in response.chunks:
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise client.AnswerLostError(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
    return bytes(body)


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
