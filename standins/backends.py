"""In-memory backend servers with delayed reports, restarts, crashes and load counters.

For tests on trio's mock clock.
"""

from __future__ import annotations

import collections.abc
import contextlib
import itertools
import json

import attrs
import trio

from toucanhold.backends import client

NETWORK_DELAY_S = 0.0015
CRASH_DELAY_S = 0.03


@attrs.define
class StreamFaults:
    """Faults injected into one stream.

    :ivar cut_after: number of events after which the connection breaks
    :ivar stall_after: number of events after which the stream stalls
    :ivar skip_at: id of an event that is left out
    :ivar end_after: number of events after which the stream ends without its end marker
    :ivar status: HTTP status of the response; other than 200 with an error of ``error_type``
    """

    cut_after: int | None = None
    stall_after: int | None = None
    skip_at: int | None = None
    end_after: int | None = None
    status: int = 200
    error_type: str = ""


@attrs.define(eq=False)
class Server:
    """One plain server, or rank 0 of a model's group.

    :ivar bearable: number of concurrent requests that it reports to sustain while cold
    :ivar slots: number of requests that run concurrently
    :ivar first_token_s: time to the first token, seconds
    :ivar token_s: time to each further token, seconds
    :ivar report_lag_s: age of the load in its reports, seconds
    :ivar disconnect_detection_s: time until it notices that a client has disconnected, seconds
    :ivar warm_after_requests: number of completed requests after which it is warm; 0 for never
    :ivar report_template: load report whose other fields are taken over
    :ivar faults: faults of the next streams, one for each
    :ivar is_crash_trigger: returns whether a request crashes the server
    :ivar max_running: highest number of concurrent requests
    :ivar max_running_cold: highest number of concurrent requests while cold
    :ivar completed_requests: number of requests completed since the last restart
    :ivar request_scopes: cancel scopes of the requests in progress
    :ivar paused_until_s: time on trio's clock until which it accepts connections and sends nothing
    """

    vm: str
    bearable: int = 1
    slots: int = 8
    is_warm: bool = False
    first_token_s: float = 0.05
    token_s: float = 0.01
    report_lag_s: float = 0.0
    disconnect_detection_s: float = 0.0
    warm_after_requests: int = 0
    adapters: tuple[str, ...] = ()
    report_template: client.Report | None = None
    faults: list[StreamFaults] = attrs.field(factory=list)
    is_crash_trigger: collections.abc.Callable[[client.ForwardedRequest], bool] = (
        lambda request: False
    )
    restarts: int = attrs.field(default=0, init=False)
    running: int = attrs.field(default=0, init=False)
    waiting: int = attrs.field(default=0, init=False)
    completed_requests: int = attrs.field(default=0, init=False)
    max_running_cold: int = attrs.field(default=0, init=False)
    max_running: int = attrs.field(default=0, init=False)
    started_requests: int = attrs.field(default=0, init=False)
    is_up: bool = attrs.field(default=True, init=False)
    boot_id: str = attrs.field(default="", init=False)
    request_scopes: set[trio.CancelScope] = attrs.field(factory=set, init=False)
    paused_until_s: float = attrs.field(default=0.0, init=False)
    _boots: itertools.count = attrs.field(factory=itertools.count, init=False)
    _slot_limiter: trio.CapacityLimiter = attrs.field(default=None, init=False)
    _load_history: list[tuple[float, int, int]] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Set the first boot id."""
        self.boot_id = f"{self.vm}-boot-{next(self._boots)}"
        self._slot_limiter = trio.CapacityLimiter(self.slots)

    async def wait_while_paused(self) -> None:
        """Wait until the server is not paused."""
        while trio.current_time() < self.paused_until_s:
            await trio.sleep_until(self.paused_until_s)

    def restart(self) -> None:
        """Restart at once: break all requests and become cold."""
        self.restarts += 1
        self.boot_id = f"{self.vm}-boot-{next(self._boots)}"
        self.is_warm, self.completed_requests = False, 0
        for scope in self.request_scopes:
            scope.cancel()

    def report(self) -> client.Report:
        """Return a load report with the load of ``report_lag_s`` ago."""
        running, waiting = self._delayed_load()
        report_template = self.report_template or client.Report(self.vm, "")
        return attrs.evolve(
            report_template,
            vm=self.vm,
            boot_id=self.boot_id,
            warmth=client.Warmth.WARM if self.is_warm else client.Warmth.COLD,
            bearable=self.bearable,
            running=running,
            waiting=waiting,
            slots=self.slots,
            adapters=self.adapters,
        )

    @contextlib.asynccontextmanager
    async def use_slot(self) -> collections.abc.AsyncIterator[None]:
        """Wait for a slot and occupy it, counting the request."""
        self.waiting += 1
        self._record_load()
        try:
            await self._slot_limiter.acquire_on_behalf_of(borrower := object())
        finally:
            self.waiting -= 1
        self.running += 1
        self.started_requests += 1
        self.max_running = max(self.max_running, self.running)
        if not self.is_warm:
            self.max_running_cold = max(self.max_running_cold, self.running)
        self._record_load()
        try:
            yield
            self.completed_requests += 1
            if self.warm_after_requests and self.completed_requests >= self.warm_after_requests:
                self.is_warm = True
        finally:
            self.running -= 1
            self._slot_limiter.release_on_behalf_of(borrower)
            self._record_load()

    def _record_load(self) -> None:
        if self.report_lag_s:
            self._load_history.append((trio.current_time(), self.running, self.waiting))

    def _delayed_load(self) -> tuple[int, int]:
        if not self.report_lag_s:
            return self.running, self.waiting
        reported_at_s = trio.current_time() - self.report_lag_s
        while len(self._load_history) > 1 and self._load_history[1][0] <= reported_at_s:
            del self._load_history[0]
        if not self._load_history or self._load_history[0][0] > reported_at_s:
            return 0, 0
        return self._load_history[0][1:]


@attrs.define(eq=False)
class MemoryBackendClient(client.BackendClient):
    """One entry's client of in-memory servers.

    :ivar servers: servers by address
    :ivar nursery: runs the requests on the servers
    :ivar token_count: returns the number of tokens that a server generates for a request
    :ivar resume_event: while the entry is paused, calls wait for this event; None otherwise
    """

    servers: collections.abc.Mapping[str, Server]
    nursery: trio.Nursery
    token_count: collections.abc.Callable[[client.ForwardedRequest], int] = lambda request: 8
    resume_event: trio.Event | None = None

    async def close(self) -> None:
        """See :class:`client.BackendClient`."""

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`."""
        await self._wait_while_paused()
        await trio.sleep(NETWORK_DELAY_S)
        server = self.servers[address]
        if not server.is_up:
            raise client.ConnectRefusedError(f"{address}: connection refused")
        with trio.move_on_after(timeout_s) as scope:
            await server.wait_while_paused()
        if scope.cancelled_caught:
            raise client.AnswerLostError(f"{address}: no answer within {timeout_s} s")
        report = server.report()
        await trio.sleep(NETWORK_DELAY_S)
        return report

    async def send_order(self, address: str, order: client.Order, timeout_s: float) -> None:
        """See :class:`client.BackendClient`."""

    @contextlib.asynccontextmanager
    async def forward(
        self, address: str, request: client.ForwardedRequest
    ) -> collections.abc.AsyncIterator[client.ForwardedResponse]:
        """See :class:`client.BackendClient`."""
        server = self.servers[address]
        await self._wait_while_paused()
        if not server.is_up:
            raise client.ConnectRefusedError(f"{address}: connection refused")
        if request.boot_id not in ("", server.boot_id):
            raise client.NotSentError(f"{address}: the server has restarted")
        if request.guard is not None and not request.guard():
            raise client.NotSentError(f"{address}: the guard no longer permits the request")
        run = _RequestRun(server, self.token_count(request), request)
        self.nursery.start_soon(run.run)
        try:
            with trio.fail_after(request.timeout_s):
                await run.response_started.wait()
            if run.is_connection_lost:
                raise client.AnswerLostError(f"{address}: the connection was lost")
            yield client.ForwardedResponse(run.faults.status, run.headers(), run.chunks())
        except trio.TooSlowError as error:
            raise client.AnswerLostError(
                f"{address}: no response within {request.timeout_s} s"
            ) from error
        finally:
            run.disconnect()

    async def _wait_while_paused(self) -> None:
        if self.resume_event is not None:
            await self.resume_event.wait()


class _RequestRun:
    """One request on a server; it continues until the server notices a disconnected client."""

    def __init__(self, server: Server, token_count: int, request: client.ForwardedRequest) -> None:
        self.server = server
        self.token_count = token_count
        self.request = request
        self.response_started = trio.Event()
        self.faults = server.faults.pop(0) if server.faults else StreamFaults()
        last_event_id = dict(request.headers).get(b"last-event-id")
        self.first_index = int(last_event_id) + 1 if last_event_id else 0
        self.is_connection_lost = self.has_client_left = False
        self._scope = trio.CancelScope()
        self._send, self._receive = trio.open_memory_channel[bytes](token_count + 3)

    def headers(self) -> client.Headers:
        return (
            (b"content-type", b"text/event-stream"),
            (b"x-request-id", self.request.request_id.encode()),
        )

    def disconnect(self) -> None:
        self.has_client_left = True
        self._scope.deadline = trio.current_time() + self.server.disconnect_detection_s

    async def run(self) -> None:
        self.server.request_scopes.add(self._scope)
        is_finished = False
        try:
            with self._scope, contextlib.suppress(ConnectionError):
                await trio.sleep(NETWORK_DELAY_S)
                async with self.server.use_slot():
                    if self.server.is_crash_trigger(self.request):
                        await trio.sleep(CRASH_DELAY_S)
                        self.server.restart()
                    await self._send_events()
                    is_finished = True
        finally:
            self.server.request_scopes.discard(self._scope)
            self.is_connection_lost = not is_finished
            self.response_started.set()
            self._send.close()

    async def _send_events(self) -> None:
        await self.server.wait_while_paused()
        if self.faults.status != 200:
            body = json.dumps({"error": {"type": self.faults.error_type}})
            self._send.send_nowait(body.encode())
            return
        for index in range(self.first_index, self.token_count):
            is_first = index == self.first_index
            await trio.sleep(self.server.first_token_s if is_first else self.server.token_s)
            await self.server.wait_while_paused()
            if index == self.faults.cut_after:
                raise ConnectionError
            if index == self.faults.stall_after:
                await trio.sleep_forever()
            if index == self.faults.end_after:
                return
            if index != self.faults.skip_at:
                self._send.send_nowait(b"id: %d\ndata: t%d\n\n" % (index, index))
            self.response_started.set()
        self._send.send_nowait(b'data: {"finish_reason": "stop"}\n\n')
        self._send.send_nowait(b"data: [DONE]\n\n")

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        async for chunk in self._receive:
            yield chunk
        if self.is_connection_lost:
            raise client.AnswerLostError("the connection was lost")
