"""One attempt after the other to get a request's answer from a backend server."""

from __future__ import annotations

import logging
import typing

import attrs
import trio

from toucanhold import events
from toucanhold.backends import client, http
from toucanhold.routing import gate, relay, requests, resuming, sse, watchdog

if typing.TYPE_CHECKING:
    from toucanhold.routing import dispatch

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
RETRY_AFTER_S = 1.0
FRAMING_END_S = 1.0
PASSED_ON_HEADERS = (b"content-type",)
# What engines publish as refusals of requests that they have not begun.
NOT_RUN_TYPES = ("wrong_group", "not_serving", "model_not_found")
RETRYABLE_STATUSES = (429, 500, 502, 503, 504)

LOGGER = logging.getLogger(__name__)


class RetryableError(Exception):
    """An attempt failed in a way that may be tried again.

    :ivar error: the answer if it is not
    :ivar has_begun: whether a part of the answer was passed on
    """

    def __init__(self, vm: str, error: requests.RequestError, has_begun: bool) -> None:
        super().__init__(vm)
        self.vm = vm
        self.error = error
        self.has_begun = has_begun


@attrs.define(eq=False)
class Attempt:
    """The attempts of one request.

    :ivar was_sent: whether a byte of it may have left
    """

    owner: dispatch.Dispatcher
    request: requests.CallerRequest
    passing: relay.Relay
    position: resuming.StreamPosition
    was_sent: bool = False
    _avoid: frozenset[str] = frozenset()
    _version: tuple[str | None, str] | None = None

    async def run(self) -> None:
        """Try once.

        :raises RetryableError: when another attempt is safe
        :raises requests.RequestError: when this is the final answer
        """
        async with self.owner.admission.place(self.request, self._avoid) as placement:
            self._check_version(placement)
            _log_routed(self.request, placement)
            watched = watchdog.WatchedAttempt(placement.candidate)
            if self.request.may_repeat:
                self.owner.watchdog.add(watched)
            try:
                with watched.scope:
                    await self._exchange(placement, watched)
            finally:
                self.owner.watchdog.remove(watched)
            if watched.scope.cancelled_caught:
                raise self._failed(placement, _lost(self.request, watched.reason))

    def _check_version(self, placement: gate.Placement) -> None:
        # The rest of a stream from another model or version would be another text.
        report = placement.candidate.report
        version = (report.model, report.version)
        if self.position.has_begun and version != self._version:
            placement.finished = True
            raise _lost(self.request, "no backend server of the same model version is left")
        self._version = version

    async def _exchange(self, placement: gate.Placement, watched: watchdog.WatchedAttempt) -> None:
        vm = placement.candidate.vm
        forwarded = self._forwarded(placement)
        sent_before, self.was_sent = self.was_sent, True
        try:
            async with self.owner.backends.forward(vm.address, forwarded) as response:
                await self._pass_on(response, placement, watched)
        except client.NotSentError as error:
            placement.finished, self.was_sent = True, sent_before
            raise self._failed(placement, _did_not_run(str(error))) from error
        except (client.BackendError, sse.FramingError) as error:
            lost = _lost(self.request, str(error))
            if not self.request.may_repeat:
                self.owner.finder.distrust(vm.vm, trio.current_time())
                raise lost from error
            raise self._failed(placement, lost) from error

    def _failed(
        self, placement: gate.Placement, error: requests.RequestError
    ) -> RetryableError | requests.RequestError:
        vm = placement.candidate.vm.vm
        self.owner.finder.distrust(vm, trio.current_time())
        self._avoid |= {vm}
        if self.position.has_begun and self.position.last_id is None:
            # Without numbers nobody can tell which events a second stream would repeat.
            return error
        return RetryableError(vm, error, self.position.has_begun)

    async def _pass_on(
        self,
        response: client.ForwardedResponse,
        placement: gate.Placement,
        watched: watchdog.WatchedAttempt,
    ) -> None:
        if self.request.stream and response.status == 200:
            await self._pass_stream(response, placement, watched)
        else:
            body = await _read_whole(response)
            placement.finished = True
            if placement.candidate.group is not None:
                self._check_engine_status(response.status, body, placement)
            if self.position.has_begun:
                raise self._failed(placement, _lost(self.request, "the stream was not resumed"))
            self.passing.start(response.status, _passed_on(response.headers))
            self.passing.put(body)
        _log_finished(self.request, placement, response.status)

    def _check_engine_status(self, status: int, body: bytes, placement: gate.Placement) -> None:
        kind = http.error_type(body) if status >= 400 else ""
        if kind in NOT_RUN_TYPES:
            raise self._failed(placement, _did_not_run(f"the engine refused: {kind}"))
        if status in RETRYABLE_STATUSES:
            # Nothing published says that the engine had not begun.
            raise self._failed(placement, _lost(self.request, f"the engine answered {status}"))

    async def _pass_stream(
        self,
        response: client.ForwardedResponse,
        placement: gate.Placement,
        watched: watchdog.WatchedAttempt,
    ) -> None:
        splitter = sse.EventSplitter()
        self.position.begin_attempt()
        headers = _passed_on(response.headers)
        async for chunk in response.chunks:
            watched.last_event_s = trio.current_time()
            for event in splitter.feed(chunk):
                if self.position.admits(event):
                    self.passing.start(200, headers)
                    self.passing.put(event.raw)
                if self.position.is_complete:
                    placement.finished = True
                    await _read_framing_end(response)
                    return
            if self.passing.is_full():
                watched.last_event_s = float("inf")
                await self.passing.wait_space()
        # A connection that closes cleanly before the end marker would look like a short answer.
        raise client.AnswerLostError("the stream ended before its end marker")

    def _forwarded(self, placement: gate.Placement) -> client.ForwardedRequest:
        request, chosen = self.request, placement.candidate
        warm = chosen.report.warmth is client.Warmth.WARM
        headers = list(request.headers)
        if chosen.group is not None:
            headers += [
                (b"toucanhold-group", chosen.group.group.encode()),
                (b"toucanhold-generation", str(chosen.group.generation).encode()),
            ]
        if self.position.last_id is not None:
            headers.append((b"last-event-id", str(self.position.last_id).encode()))
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
            boot_id=chosen.report.boot_id,
            warm_only=warm,
            guard=None if warm else placement.may_send,
        )


async def _read_whole(response: client.ForwardedResponse) -> bytes:
    body = bytearray()
    async for chunk in response.chunks:
        body += chunk
        if len(body) > ANSWER_LIMIT_BYTES:
            raise client.AnswerLostError("the answer exceeds its limit")
    return bytes(body)


async def _read_framing_end(response: client.ForwardedResponse) -> None:
    # The answer is whole already; this only lets its connection carry another request.
    with trio.move_on_after(FRAMING_END_S):
        try:
            async for _ in response.chunks:
                return
        except client.BackendError as error:
            LOGGER.debug("after the end marker: %s", error)


def _passed_on(headers: client.Headers) -> client.Headers:
    return tuple((key, value) for key, value in headers if key.lower() in PASSED_ON_HEADERS)


def _did_not_run(detail: str) -> requests.RequestError:
    return requests.RequestError(
        requests.Problem.NO_CAPACITY, requests.Outcome.DID_NOT_RUN, detail, RETRY_AFTER_S
    )


def _lost(request: requests.CallerRequest, detail: str) -> requests.RequestError:
    if request.may_repeat:
        return requests.RequestError(
            requests.Problem.BACKEND_FAILED, requests.Outcome.UNKNOWN, detail, RETRY_AFTER_S
        )
    return requests.RequestError(requests.Problem.OUTCOME_UNKNOWN, requests.Outcome.UNKNOWN, detail)


def _log_routed(request: requests.CallerRequest, placement: gate.Placement) -> None:
    chosen = placement.candidate
    fields: dict[str, typing.Any] = {
        "request_id": request.request_id,
        "workspace": request.workspace,
        "service": request.service.name,
        "vm": chosen.vm.vm,
        "warmth": chosen.report.warmth.value,
    }
    if chosen.group is not None:
        fields |= {"group": chosen.group.group, "generation": chosen.group.generation}
    events.log(LOGGER, events.Event.REQUEST_ROUTED, **fields)


def _log_finished(request: requests.CallerRequest, placement: gate.Placement, status: int) -> None:
    events.log(
        LOGGER,
        events.Event.REQUEST_FINISHED,
        request_id=request.request_id,
        vm=placement.candidate.vm.vm,
        status=status,
    )
