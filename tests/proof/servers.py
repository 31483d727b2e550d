"""The stand-ins' backend servers in memory, recording what they run."""

import contextlib
import functools
import json
import random

import attrs
import trio

from standins import engine, service, serving
from tests.proof import history, network
from toucanhold import codec
from toucanhold.backends import client, http

DISTURBED_S = 15.0


@attrs.define(eq=False)
class _Exchange(serving.Exchange):
    async def abort(self) -> None:
        raise serving.DropConnectionError


@attrs.define(eq=False, slots=False)
class Server:
    """A VM with its backend server.

    :ivar alive: whether the VM runs; it answers nothing otherwise
    """

    vm: str
    availability_zone: str
    address: str
    site: "object"
    fabric_domain: str = ""
    service: str = ""
    fencing: str = "checked"
    alive: bool = True
    left_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.boot(warm=True)

    def boot(self, warm: bool = False) -> None:
        """Start its program anew."""
        self.alive = True
        rng: random.Random = self.site.rng
        if self.service:
            settings = service.Settings(self.vm, run_s=0.2, warm=warm, warm_s=5.0)
            self.app = _Service(self, settings)
        else:
            settings = engine.Settings(
                self.vm, self.fencing, load_s=rng.uniform(0.5, 1.5), token_s=0.05, warm_s=2.0
            )
            self.app = _EngineApp(self, _Engine(self, settings))
            network.start_as(self.vm, self.site.nursery, self._run)

    def turn_cold(self) -> None:
        """Lose the warmth without a restart."""
        if self.service:
            self.app.settings.warm, self.app.started_s = False, trio.current_time()
        else:
            self.app.engine.turn_cold()

    def set_leaving(self) -> None:
        """Report that it is about to go."""
        if self.service:
            self.app.faults.leaving = True
        else:
            self.app.engine.is_leaving = True

    def kill(self) -> None:
        """End its program; connections break."""
        self.alive = False
        if not self.service:
            self.app.engine.note_left()
        for scope in list(self._scopes):
            scope.cancel()

    async def _run(self) -> None:
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            await self.app.run()
        self._scopes.discard(scope)

    async def __call__(self, scope: dict, receive, send) -> None:
        """Serve one request as an ASGI application that may cut the connection."""
        body = (await receive())["body"]
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        exchange = _Exchange(scope["method"], scope["path"], headers, body, receive, send)
        with trio.CancelScope() as cancel_scope, contextlib.suppress(serving.DropConnectionError):
            self._scopes.add(cancel_scope)
            try:
                await self.app.handle(exchange)
            except serving.HttpError as error:
                await exchange.respond(error.status, error.data)
            finally:
                self._scopes.discard(cancel_scope)

    def place(self) -> tuple[str, int] | None:
        """Return the group and generation that it is in."""
        place = self.app.engine.loaded_place() if self.alive and not self.service else None
        return (place.group, place.generation) if place else None


class _Engine(engine.Engine):
    """Records runs and orders."""

    def __init__(self, server: Server, settings: engine.Settings) -> None:
        self.server = server
        super().__init__(settings)

    def note_left(self) -> None:
        """Note when its present group lost it."""
        place = self.place
        if place is not None:
            self.server.left_s[place.group, place.generation] = trio.current_time()

    def _boot(self) -> None:
        if hasattr(self, "place"):
            self.note_left()
        super()._boot()

    def leave(self) -> None:
        self.note_left()
        super().leave()

    def execute_order(self, order: dict) -> None:
        record = functools.partial(
            history.OrderReceived, self.server.vm, order["order"], order.get("fencing", 0)
        )
        cut = self._served_by_group() if order["order"] in ("join", "leave") else 0
        try:
            super().execute_order(order)
        except serving.HttpError:
            self.server.site.history.record(record(False))
            raise
        self.server.site.history.record(record(True, order.get("group", ""), cut))
        if order["order"] == "join":
            network.start_as(self.server.vm, self.server.site.nursery, self._load, self.place)

    def _served_by_group(self) -> int:
        """Return the requests that its group serves and could finish, were it let alone.

        None when the group is not whole, or when a member was hardly to be reached of late: to
        give up such a group is no planned stop.
        """
        place = self.place
        if place is None:
            return 0
        members = [self.server.site.server_at(address) for address in place.members]
        now_s, disturbed_s = trio.current_time(), self.server.site.disturbed_s
        for each in members:
            long_ago = now_s - disturbed_s.get(each.vm, -DISTURBED_S) >= DISTURBED_S
            if each.place() != (place.group, place.generation) or not long_ago:
                return 0
        return len(members[0].app.engine.run_scopes)

    async def _load(self, place: engine.GroupMembership) -> None:
        await trio.sleep_until(place.loaded_at_s)
        if self.place is place and self.server.alive:
            joined = history.Joined(self.server.vm, place.group, place.generation)
            self.server.site.history.record(joined)

    def _start_run(self, run: engine.CompletionRun) -> None:
        place, now_s = self.loaded_place(), trio.current_time()
        if place is None:
            raise serving.DropConnectionError
        servers = [self.server.site.server_at(address) for address in place.members]
        key = (place.group, place.generation)
        absent = [
            (server.vm, now_s - server.left_s.get(key, -float("inf")))
            for server in servers
            if server.place() != key
        ]
        self.server.site.history.record(
            history.RunStarted(
                self.server.vm,
                run.request_id,
                run.prompt,
                running=self.slot_limiter.statistics().borrowed_tokens,
                cold_for_s=None if self.is_warm else now_s - self.cold_since_s,
                bearable=self.settings.bearable,
                group=place.group,
                generation=place.generation,
                members=tuple(server.vm for server in servers),
                absent=tuple(absent),
            )
        )
        super()._start_run(run)

    async def generate(self, run: engine.CompletionRun, emit) -> None:
        async def emit_and_record(index: int, token: str) -> None:
            await emit(index, token)
            sent = history.TokenSent(self.server.vm, run.request_id, index)
            self.server.site.history.record(sent)

        try:
            await super().generate(run, emit_and_record)
        finally:
            whole = run.tokens >= run.max_tokens
            ended = history.RunEnded(self.server.vm, run.request_id, whole)
            self.server.site.history.record(ended)


class _EngineApp(engine.App):
    def __init__(self, server: Server, own: _Engine) -> None:
        super().__init__(own)
        self.server = server

    async def run(self) -> None:
        while True:
            await trio.sleep(engine.MEMBER_CHECK_INTERVAL_S)
            place = self.engine.loaded_place()
            if place is None or place.rank != 0 or self.engine.is_down():
                continue
            for address in place.members[1:]:
                other = self.server.site.server_at(address)
                if not self._is_whole(other, place) and self.engine.place is place:
                    self.engine.leave()

    def _is_whole(self, other: Server, place: engine.GroupMembership) -> bool:
        if not other.alive or self.server.site.pauser.is_paused(other.vm):
            return False
        own = other.app.engine
        return other.place() == (place.group, place.generation) or own.load_report()["loading"]


class _Service(service.App):
    def __init__(self, server: Server, settings: service.Settings) -> None:
        super().__init__(settings)
        self.server = server
        self.started_s = trio.current_time()
        self.running = 0

    async def handle(self, exchange: serving.Exchange) -> None:
        if exchange.path == "/v1/load":
            await super().handle(exchange)
            return
        self.running += 1
        request_id = exchange.headers.get("x-request-id", "")
        cold = self.load_report()["warmth"] == "cold"
        cold_for_s = trio.current_time() - self.started_s if cold else None
        if not (exchange.method == "POST" and self.faults.cut_before_run):
            self.server.site.history.record(
                history.RunStarted(
                    self.server.vm,
                    request_id,
                    exchange.body.decode() or exchange.path,
                    exchange.headers.get("idempotency-key", ""),
                    self.running,
                    cold_for_s,
                )
            )
        try:
            await super().handle(exchange)
        finally:
            self.running -= 1
            self.server.site.history.record(history.RunEnded(self.server.vm, request_id, True))


@attrs.define(eq=False)
class MemoryBackends(http.HttpBackendClient):
    """One entry's calls to backend servers; partitions hold them up."""

    site: object
    entry: str
    _checked: set[tuple[str, str]] = attrs.field(factory=set, init=False)

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`; without the cost of HTTP."""
        server: Server = self.site.server_at(address)
        with trio.move_on_after(timeout_s):
            await trio.sleep(network.LATENCY_S)
            await self.site.network.wait_open(self.entry, server.vm)
            if not server.alive or (not server.service and server.app.engine.is_down()):
                raise client.NotSentError(f"{server.vm} is down")
            while self.site.pauser.is_paused(server.vm):
                await trio.sleep(0.05)
            await trio.sleep(server.app.faults.slow_s)
            load = server.app.load_report() if server.service else server.app.engine.load_report()
            return codec.from_plain(load, client.Report)
        raise client.AnswerLostError(f"{server.vm}: no report in time")

    @contextlib.asynccontextmanager
    async def forward(self, address: str, request: client.ForwardedRequest):
        """See :class:`client.BackendClient`."""
        server: Server = self.site.server_at(address)
        with trio.move_on_after(request.timeout_s) as scope:
            await trio.sleep(network.LATENCY_S)
            await self.site.network.wait_open(self.entry, server.vm)
        if scope.cancelled_caught or not server.alive:
            raise client.NotSentError(f"cannot connect to {server.vm}")
        await self._check_boot(address, request)
        if request.guard is not None and not request.guard():
            raise client.NotSentError("stopped by its guard")
        connection = network.Connection(
            self.site.network, self.entry, server.vm, bytes(request.body)
        )
        headers = [*request.headers, (b"x-request-id", request.request_id.encode())]
        asgi = network.http_scope(request.method, request.path, headers)
        network.start_as(server.vm, self.site.nursery, connection.serve, server, asgi)
        try:
            head = await self._next(connection, request.timeout_s)
            chunks = self._parts(connection, request.timeout_s)
            yield client.ForwardedResponse(head["status"], tuple(head["headers"]), chunks)
        finally:
            connection.leave()

    async def _check_boot(self, address: str, request: client.ForwardedRequest) -> None:
        # An idle connection to the wanted boot was checked when it was new.
        wanted = (address, request.boot_id)
        if not request.boot_id or (wanted in self._checked and not request.fresh_connection):
            if not request.boot_id or self._boot_id(address) == request.boot_id:
                return
        try:
            report = await self.read_report(address, request.timeout_s)
        except client.BackendError as error:
            raise client.NotSentError(f"{address}: no load report: {error}") from error
        cold = request.warm_only and report.warmth is not client.Warmth.WARM
        if report.boot_id != request.boot_id or cold:
            raise client.NotSentError(f"{address}: has booted again, or turned cold")
        if not request.fresh_connection:
            self._checked.add(wanted)

    def _boot_id(self, address: str) -> str:
        server: Server = self.site.server_at(address)
        return server.app.boot_id if server.service else server.app.engine.boot_id

    async def _next(self, connection: network.Connection, timeout_s: float) -> dict:
        try:
            with trio.fail_after(timeout_s):
                return await connection.next_message()
        except (network.ConnectionCutError, trio.TooSlowError) as error:
            raise client.AnswerLostError(f"{connection.server}: {error!r}") from error

    async def _parts(self, connection: network.Connection, timeout_s: float):
        while True:
            message = await self._next(connection, timeout_s)
            yield message["body"]
            if not message.get("more_body"):
                return


def expected_chat(model: str, prompt: str, tokens: int) -> list[str]:
    """Return the tokens of a whole answer."""
    run = engine.CompletionRun("", model, prompt, tokens, None)
    return [run.token(index) for index in range(tokens)]


def tokens_of(body: bytes, stream: bool) -> list[str] | None:
    """Return the tokens in an answer's body; None where it is not whole."""
    if not stream:
        text = json.loads(body)["choices"][0]["message"]["content"]
        return text.split(" ")[:-1]
    if not body.endswith(b"data: [DONE]\n\n"):
        return None
    datas = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    deltas = [json.loads(data)["choices"][0]["delta"] for data in datas]
    return [delta["content"].strip() for delta in deltas if "content" in delta]
