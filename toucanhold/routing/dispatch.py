"""Serves one request: place it, send it, pass its answer on, try again where that is safe."""

import collections.abc
import contextlib
import logging
import typing

import attrs
import trio

from toucanhold import events
from toucanhold.backends import client
from toucanhold.routing import candidates, gate, requests, sse

MAX_ATTEMPTS = 3
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
RETRY_AFTER_S = 1.0
PASSED_ON_HEADERS = (b"content-type",)

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Answer:
    """An answer for the caller.

    :ivar chunks: its body; raises :class:`requests.RequestError` when it breaks off
    """

    status: int
    headers: client.Headers
    chunks: collections.abc.AsyncIterator[bytes]


class _RetryableError(Exception):
    """An attempt failed in a way that may be tried again.

    :ivar error: the answer if it is not
    """

    def __init__(self, vm: str, error: requests.RequestError) -> None:
        super().__init__(vm)
        self.vm = vm
        self.error = error


@attrs.define(eq=False)
class Dispatcher:
    """Serves requests of all kinds."""

    admission: gate.AdmissionPolicy
    finder: candidates.CandidateFinder
    backends: client.BackendClient

    @contextlib.asynccontextmanager
    async def serve(self, request: requests.CallerRequest) -> collections.abc.AsyncIterator[Answer]:
        """Give the answer to a request; leaving the context cancels it.

        :raises requests.RequestError: when no backend server answered
        """
        async with contextlib.AsyncExitStack() as stack:
            answer = await self._first_good_attempt(request, stack)
            yield answer

    async def _first_good_attempt(
        self, request: requests.CallerRequest, stack: contextlib.AsyncExitStack
    ) -> Answer:
        avoid: frozenset[str] = frozenset()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            trial = contextlib.AsyncExitStack()
            try:
                async with trial:
                    answer = await self._attempt(request, avoid, trial)
                    stack.push_async_exit(trial.pop_all())
                    return answer
            except _RetryableError as failure:
                avoid |= {failure.vm}
                out_of_time = trio.current_time() >= request.deadline_s
                if attempt == MAX_ATTEMPTS or out_of_time:
                    raise failure.error from failure
                events.log(
                    LOGGER,
                    events.Event.REQUEST_RETRIED,
                    request_id=request.request_id,
                    vm=failure.vm,
                    attempt=attempt,
                    reason=failure.error.detail,
                )
        raise AssertionError("unreachable")

    async def _attempt(
        self,
        request: requests.CallerRequest,
        avoid: frozenset[str],
        stack: contextlib.AsyncExitStack,
    ) -> Answer:
        placement = await stack.enter_async_context(self.admission.place(request, avoid))
        chosen = placement.candidate
        _log_routed(request, chosen)
        forwarded = _forwarded(request, placement)
        try:
            response = await stack.enter_async_context(
                self.backends.forward(chosen.vm.address, forwarded)
            )
            if response.status == 409 and chosen.group is not None:
                # The engine's group or generation is not the planned one: it did not run.
                placement.finished = True
                raise _RetryableError(chosen.vm.vm, _did_not_run("the group has changed"))
            if request.stream and response.status == 200:
                return Answer(
                    200, _passed_on(response.headers), _stream(request, response, placement)
                )
            body = await _read_whole(response)
        except client.NotSentError as error:
            placement.finished = True
            self.finder.distrust(chosen.vm.vm, trio.current_time())
            raise _RetryableError(chosen.vm.vm, _did_not_run(str(error))) from error
        except client.BackendError as error:
            self.finder.distrust(chosen.vm.vm, trio.current_time())
            lost = _lost(request, str(error))
            raise (_RetryableError(chosen.vm.vm, lost) if request.may_repeat else lost) from error
        placement.finished = True
        _log_finished(request, chosen, response.status)
        return Answer(response.status, _passed_on(response.headers), _once(body))


async def _stream(
    request: requests.CallerRequest,
    response: client.ForwardedResponse,
    placement: gate.Placement,
) -> collections.abc.AsyncIterator[bytes]:
    splitter = sse.EventSplitter()
    try:
        async for chunk in response.chunks:
            for event in splitter.feed(chunk):
                yield event.raw
                if event.is_end:
                    placement.finished = True
                    return
    except (client.BackendError, sse.FramingError) as error:
        raise _lost(request, str(error)) from error
    # A connection that closes cleanly before the end marker would look like a short answer.
    raise _lost(request, "the stream ended before its end marker")


async def _read_whole(response: client.ForwardedResponse) -> bytes:
    body = bytearray()
    async for chunk in response.chunks:
        body += chunk
        if len(body) > ANSWER_LIMIT_BYTES:
            raise client.AnswerLostError("the answer exceeds its limit")
    return bytes(body)


async def _once(body: bytes) -> collections.abc.AsyncIterator[bytes]:
    yield body


def _forwarded(
    request: requests.CallerRequest, placement: gate.Placement
) -> client.ForwardedRequest:
    chosen = placement.candidate
    warm = chosen.report.warmth is client.Warmth.WARM
    headers = list(request.headers)
    if chosen.group is not None:
        headers += [
            (b"toucanhold-group", chosen.group.group.encode()),
            (b"toucanhold-generation", str(chosen.group.generation).encode()),
        ]
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


def _log_routed(request: requests.CallerRequest, chosen: candidates.Candidate) -> None:
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


def _log_finished(
    request: requests.CallerRequest, chosen: candidates.Candidate, status: int
) -> None:
    events.log(
        LOGGER,
        events.Event.REQUEST_FINISHED,
        request_id=request.request_id,
        vm=chosen.vm.vm,
        status=status,
    )
