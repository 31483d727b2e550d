"""Backend servers in memory, on trio's clock: they lag, restart, fall over and are counted."""

from __future__ import annotations

import collections.abc
import contextlib
import itertools
import json

import attrs
import trio

from toucanhold.backends import client

NETWORK_S = 0.0015
CRASH_S = 0.03


@attrs.define
class StreamFaults:
    """Faults of the coming streams; each strikes once.

    :ivar cut_after: events after which the connection breaks
    :ivar stall_after: events after which nothing comes any more
    :ivar skip_at: number of an event that is left out
    :ivar end_after: events after which the stream ends cleanly, but without its end marker
    :ivar status: HTTP status of a refusal, with ``error_type``
    """

    cut_after: int | None = None
    stall_after: int | None = None
    skip_at: int | None = None
    end_after: int | None = None
    status: int = 200
    error_type: str = ""


@attrs.define(eq=False)
class Server:
    """One plain server or rank 0 of a model's group.

    :ivar bearable: requests it bears at once while cold
    :ivar report_lag_s: age of the load that its reports tell
    :ivar unnoticed_s: time until it notices that a client has left
    :ivar max_running_cold: most requests that ran at once while it was cold
    :ivar crashes: tells whether a request makes it restart
    """

    vm: str
    bearable: int = 1
    slots: int = 8
    warm: bool = False
    first_token_s: float = 0.05
    token_s: float = 0.01
    report_lag_s: float = 0.0
    unnoticed_s: float = 0.0
    warm_after_requests: int = 0
    adapters: tuple[str, ...] = ()
    template: client.Report | None = None
    faults: list[StreamFaults] = attrs.field(factory=list)
    crashes: collections.abc.Callable[[client.ForwardedRequest], bool] = lambda request: False
    restarts: int = attrs.field(default=0, init=False)
    running: int = attrs.field(default=0, init=False)
    waiting: int = attrs.field(default=0, init=False)
    completed: int = attrs.field(default=0, init=False)
    max_running_cold: int = attrs.field(default=0, init=False)
    max_running: int = attrs.field(default=0, init=False)
    started: int = attrs.field(default=0, init=False)
    is_up: bool = attrs.field(default=True, init=False)
    boot_id: str = attrs.field(default="", init=False)
    scopes: set[trio.CancelScope] = attrs.field(factory=set, init=False)
    _boots: itertools.count = attrs.field(factory=itertools.count, init=False)
    _places: trio.CapacityLimiter = attrs.field(default=None, init=False)
    _load: list[tuple[float, int, int]] = attrs.field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Boot for the first time."""
        self.boot_id = f"{self.vm}-boot-{next(self._boots)}"
        self._places = trio.CapacityLimiter(self.slots)

    def restart(self) -> None:
        """Cut all requests and be cold, at once and without warning."""
        self.restarts += 1
        self.boot_id = f"{self.vm}-boot-{next(self._boots)}"
        self.warm, self.completed = False, 0
        for scope in self.scopes:
            scope.cancel()

    def report(self) -> client.Report:
        """Return a load report whose numbers lag behind."""
        running, waiting = self._lagging_load()
        template = self.template or client.Report(self.vm, "")
        return attrs.evolve(
            template,
            vm=self.vm,
            boot_id=self.boot_id,
            warmth=client.Warmth.WARM if self.warm else client.Warmth.COLD,
            bearable=self.bearable,
            running=running,
            waiting=waiting,
            slots=self.slots,
            adapters=self.adapters,
        )

    @contextlib.asynccontextmanager
    async def running_one(self) -> collections.abc.AsyncIterator[None]:
        """Hold a place of work."""
        self.waiting += 1
        self._note_load()
        try:
            await self._places.acquire_on_behalf_of(token := object())
        finally:
            self.waiting -= 1
        self.running += 1
        self.started += 1
        self.max_running = max(self.max_running, self.running)
        if not self.warm:
            self.max_running_cold = max(self.max_running_cold, self.running)
        self._note_load()
        try:
            yield
            self.completed += 1
            if self.warm_after_requests and self.completed >= self.warm_after_requests:
                self.warm = True
        finally:
            self.running -= 1
            self._places.release_on_behalf_of(token)
            self._note_load()

    def _note_load(self) -> None:
        if self.report_lag_s:
            self._load.append((trio.current_time(), self.running, self.waiting))

    def _lagging_load(self) -> tuple[int, int]:
        if not self.report_lag_s:
            return self.running, self.waiting
        then_s = trio.current_time() - self.report_lag_s
        while len(self._load) > 1 and self._load[1][0] <= then_s:
            del self._load[0]
        if not self._load or self._load[0][0] > then_s:
            return 0, 0
        return self._load[0][1:]


@attrs.define(eq=False)
class MemoryBackends(client.BackendClient):
    """One entry's connections to servers in memory.

    :ivar servers: by address
    :ivar awake: an entry that is paused sends nothing until this is set again
    """

    servers: collections.abc.Mapping[str, Server]
    nursery: trio.Nursery
    tokens: collections.abc.Callable[[client.ForwardedRequest], int] = lambda request: 8
    awake: trio.Event | None = None

    async def close(self) -> None:
        """See :class:`client.BackendClient`."""

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`."""
        await self._pause()
        await trio.sleep(NETWORK_S)
        server = self.servers[address]
        if not server.is_up:
            raise client.NotSentError("down")
        report = server.report()
        await trio.sleep(NETWORK_S)
        return report

    async def send_order(self, address: str, order: client.Order, timeout_s: float) -> None:
        """See :class:`client.BackendClient`."""

    @contextlib.asynccontextmanager
    async def forward(
        self, address: str, request: client.ForwardedRequest
    ) -> collections.abc.AsyncIterator[client.ForwardedResponse]:
        """See :class:`client.BackendClient`."""
        server = self.servers[address]
        await self._pause()
        if not server.is_up or request.boot_id not in ("", server.boot_id):
            raise client.NotSentError("down or booted again")
        if request.guard is not None and not request.guard():
            raise client.NotSentError("no longer allowed")
        run = _Run(server, self.tokens(request), request)
        self.nursery.start_soon(run.work)
        try:
            with trio.fail_after(request.timeout_s):
                await run.began.wait()
            if run.cut:
                raise client.AnswerLostError("cut")
            yield client.ForwardedResponse(run.faults.status, run.headers(), run.chunks())
        except trio.TooSlowError as error:
            raise client.AnswerLostError("no answer in time") from error
        finally:
            run.leave()

    async def _pause(self) -> None:
        if self.awake is not None:
            await self.awake.wait()


class _Run:
    """One request on a server; it goes on for a while after its client has left."""

    def __init__(self, server: Server, tokens: int, request: client.ForwardedRequest) -> None:
        self.server = server
        self.tokens = tokens
        self.request = request
        self.began = trio.Event()
        self.faults = server.faults.pop(0) if server.faults else StreamFaults()
        resumed = dict(request.headers).get(b"last-event-id")
        self.first = int(resumed) + 1 if resumed else 0
        self.cut = self.left = False
        self._scope = trio.CancelScope()
        self._send, self._receive = trio.open_memory_channel[bytes](tokens + 3)

    def headers(self) -> client.Headers:
        return (
            (b"content-type", b"text/event-stream"),
            (b"x-request-id", self.request.request_id.encode()),
        )

    def leave(self) -> None:
        self.left = True
        self._scope.deadline = trio.current_time() + self.server.unnoticed_s

    async def work(self) -> None:
        self.server.scopes.add(self._scope)
        finished = False
        try:
            with self._scope, contextlib.suppress(ConnectionError):
                await trio.sleep(NETWORK_S)
                async with self.server.running_one():
                    if self.server.crashes(self.request):
                        await trio.sleep(CRASH_S)
                        self.server.restart()
                    await self._emit_all()
                    finished = True
        finally:
            self.server.scopes.discard(self._scope)
            self.cut = not finished
            self.began.set()
            self._send.close()

    async def _emit_all(self) -> None:
        if self.faults.status != 200:
            body = json.dumps({"error": {"type": self.faults.error_type}})
            self._send.send_nowait(body.encode())
            return
        for index in range(self.first, self.tokens):
            first = index == self.first
            await trio.sleep(self.server.first_token_s if first else self.server.token_s)
            if index == self.faults.cut_after:
                raise ConnectionError
            if index == self.faults.stall_after:
                await trio.sleep_forever()
            if index == self.faults.end_after:
                return
            if index != self.faults.skip_at:
                self._send.send_nowait(b"id: %d\ndata: t%d\n\n" % (index, index))
            self.began.set()
        self._send.send_nowait(b'data: {"finish_reason": "stop"}\n\n')
        self._send.send_nowait(b"data: [DONE]\n\n")

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        async for chunk in self._receive:
            yield chunk
        if self.cut:
            raise client.AnswerLostError("cut")
