"""Runs the stand-in backend servers in memory and records what they do."""

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

DISTURBANCE_WINDOW_S = 15.0


@attrs.define(eq=False)
class _Exchange(serving.Exchange):
    async def abort(self) -> None:
        raise serving.DropConnectionError


@attrs.define(eq=False, slots=False)
class Server:
    """A VM and its backend server.

    :ivar service: name of a plain service; empty for an engine
    :ivar is_alive: whether the VM runs; it does not respond otherwise
    :ivar left_at_s: time at which it left a group, by group and generation
    """

    vm: str
    availability_zone: str
    address: str
    site: "object"
    fabric_domain: str = ""
    service: str = ""
    fencing: str = "checked"
    is_alive: bool = True
    left_at_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _scopes: set[trio.CancelScope] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.boot(warm=True)

    def boot(self, warm: bool = False) -> None:
        """Start the VM's program."""
        self.is_alive = True
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
        """Turn cold without a restart."""
        if self.service:
            self.app.settings.warm, self.app.started_s = False, trio.current_time()
        else:
            self.app.engine.turn_cold()

    def set_leaving(self) -> None:
        """Report that the VM is about to leave."""
        if self.service:
            self.app.faults.leaving = True
        else:
            self.app.engine.is_leaving = True

    def kill(self) -> None:
        """Terminate the program and break its connections."""
        self.is_alive = False
        if not self.service:
            self.app.engine.record_departure()
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

    def membership(self) -> tuple[str, int] | None:
        """Return the group and generation that the VM is in; None for no group."""
        membership = self.app.engine.loaded_place() if self.is_alive and not self.service else None
        return (membership.group, membership.generation) if membership else None


class _Engine(engine.Engine):
    """An engine that records runs and orders."""

    def __init__(self, server: Server, settings: engine.Settings) -> None:
        self.server = server
        super().__init__(settings)

    def record_departure(self) -> None:
        """Record the time at which it leaves its current group."""
        membership = self.place
        if membership is not None:
            self.server.left_at_s[membership.group, membership.generation] = trio.current_time()

    def _boot(self) -> None:
        if hasattr(self, "place"):
            self.record_departure()
        super()._boot()

    def leave(self) -> None:
        self.record_departure()
        super().leave()

    def execute_order(self, order: dict) -> None:
        new_event = functools.partial(
            history.OrderReceived, self.server.vm, order["order"], order.get("fencing", 0)
        )
        cut_requests = self._interruptible_requests() if order["order"] in ("join", "leave") else 0
        try:
            super().execute_order(order)
        except serving.HttpError:
            self.server.site.history.record(new_event(False))
            raise
        self.server.site.history.record(new_event(True, order.get("group", ""), cut_requests))
        if order["order"] == "join":
            network.start_as(self.server.vm, self.server.site.nursery, self._load, self.place)

    def _interruptible_requests(self) -> int:
        """Return the number of requests that its group runs and could finish without the order.

        The number is 0 if the group is incomplete or a member was disturbed recently, since
        replacing such a group is not a planned stop.
        """
        membership = self.place
        if membership is None:
            return 0
        members = [self.server.site.server_at(address) for address in membership.members]
        now_s, disturbed_at_s = trio.current_time(), self.server.site.disturbed_at_s
        for member in members:
            is_undisturbed = (
                now_s - disturbed_at_s.get(member.vm, -DISTURBANCE_WINDOW_S) >= DISTURBANCE_WINDOW_S
            )
            if (
                member.membership() != (membership.group, membership.generation)
                or not is_undisturbed
            ):
                return 0
        return len(members[0].app.engine.run_scopes)

    async def _load(self, membership: engine.GroupMembership) -> None:
        await trio.sleep_until(membership.loaded_at_s)
        if self.place is membership and self.server.is_alive:
            joined = history.Joined(self.server.vm, membership.group, membership.generation)
            self.server.site.history.record(joined)

    def _start_run(self, run: engine.CompletionRun) -> None:
        membership, now_s = self.loaded_place(), trio.current_time()
        if membership is None:
            raise serving.DropConnectionError
        servers = [self.server.site.server_at(address) for address in membership.members]
        group_key = (membership.group, membership.generation)
        absent_members = [
            (server.vm, now_s - server.left_at_s.get(group_key, -float("inf")))
            for server in servers
            if server.membership() != group_key
        ]
        self.server.site.history.record(
            history.RunStarted(
                self.server.vm,
                run.request_id,
                run.prompt,
                running=self.slot_limiter.statistics().borrowed_tokens,
                cold_for_s=None if self.is_warm else now_s - self.cold_since_s,
                bearable=self.settings.bearable,
                group=membership.group,
                generation=membership.generation,
                members=tuple(server.vm for server in servers),
                absent_members=tuple(absent_members),
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
            is_complete = run.tokens >= run.max_tokens
            ended = history.RunEnded(self.server.vm, run.request_id, is_complete)
            self.server.site.history.record(ended)


class _EngineApp(engine.App):
    def __init__(self, server: Server, memory_engine: _Engine) -> None:
        super().__init__(memory_engine)
        self.server = server

    async def run(self) -> None:
        while True:
            await trio.sleep(engine.MEMBER_CHECK_INTERVAL_S)
            membership = self.engine.loaded_place()
            if membership is None or membership.rank != 0 or self.engine.is_down():
                continue
            for address in membership.members[1:]:
                other = self.server.site.server_at(address)
                if not self._is_present(other, membership) and self.engine.place is membership:
                    self.engine.leave()

    def _is_present(self, other: Server, membership: engine.GroupMembership) -> bool:
        if not other.is_alive or self.server.site.pauser.is_paused(other.vm):
            return False
        other_engine = other.app.engine
        return (
            other.membership() == (membership.group, membership.generation)
            or other_engine.load_report()["loading"]
        )


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
    """One entry's calls to backend servers; a network partition delays them."""

    site: object
    entry: str
    _verified_boots: set[tuple[str, str]] = attrs.field(factory=set, init=False)

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`; skips HTTP to save time."""
        server: Server = self.site.server_at(address)
        with trio.move_on_after(timeout_s):
            await trio.sleep(network.LATENCY_S)
            await self.site.network.wait_connected(self.entry, server.vm)
            if not server.is_alive or (not server.service and server.app.engine.is_down()):
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
            await self.site.network.wait_connected(self.entry, server.vm)
        if scope.cancelled_caught or not server.is_alive:
            raise client.NotSentError(f"cannot connect to {server.vm}")
        await self._check_boot(address, request)
        if request.guard is not None and not request.guard():
            raise client.NotSentError("stopped by its guard")
        connection = network.Connection(
            self.site.network, self.entry, server.vm, bytes(request.body)
        )
        headers = [*request.headers, (b"x-request-id", request.request_id.encode())]
        asgi_scope = network.http_scope(request.method, request.path, headers)
        network.start_as(server.vm, self.site.nursery, connection.serve, server, asgi_scope)
        try:
            head = await self._next_message(connection, request.timeout_s)
            chunks = self._body_chunks(connection, request.timeout_s)
            yield client.ForwardedResponse(head["status"], tuple(head["headers"]), chunks)
        finally:
            connection.close_client()

    async def _check_boot(self, address: str, request: client.ForwardedRequest) -> None:
        # An idle connection to this boot was verified when it was opened.
        boot_key = (address, request.boot_id)
        if not request.boot_id or (
            boot_key in self._verified_boots and not request.fresh_connection
        ):
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
            self._verified_boots.add(boot_key)

    def _boot_id(self, address: str) -> str:
        server: Server = self.site.server_at(address)
        return server.app.boot_id if server.service else server.app.engine.boot_id

    async def _next_message(self, connection: network.Connection, timeout_s: float) -> dict:
        try:
            with trio.fail_after(timeout_s):
                return await connection.next_message()
        except (network.ConnectionCutError, trio.TooSlowError) as error:
            raise client.AnswerLostError(f"{connection.server}: {error!r}") from error

    async def _body_chunks(self, connection: network.Connection, timeout_s: float):
        while True:
            message = await self._next_message(connection, timeout_s)
            yield message["body"]
            if not message.get("more_body"):
                return


def expected_chat(model: str, prompt: str, tokens: int) -> list[str]:
    """Return the tokens of a complete chat response."""
    run = engine.CompletionRun("", model, prompt, tokens, None)
    return [run.token(index) for index in range(tokens)]


def extract_tokens(body: bytes, stream: bool) -> list[str] | None:
    """Return the tokens in a response body; None if a stream is incomplete."""
    if not stream:
        text = json.loads(body)["choices"][0]["message"]["content"]
        return text.split(" ")[:-1]
    if not body.endswith(b"data: [DONE]\n\n"):
        return None
    payloads = [line[6:] for line in body.split(b"\n") if line.startswith(b"data: {")]
    deltas = [json.loads(payload)["choices"][0]["delta"] for payload in payloads]
    return [delta["content"].strip() for delta in deltas if "content" in delta]
