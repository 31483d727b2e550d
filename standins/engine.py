"""Simulates a model engine on one VM: it executes orders, serves chat completions and can crash."""

import hashlib
import json
import time
import typing
import uuid
from collections import abc

import attrs
import httpcore
import trio

from standins import serving

MEMBER_CHECK_INTERVAL_S = 0.2
MEMBER_CHECK_TIMEOUT_S = 0.5
CRASH_PROMPT = "crash-the-server"


@attrs.define
class Settings:
    """Settings of one engine; each but ``vm`` is a command-line option.

    :ivar fencing: whether orders with an old fencing number are refused (``checked``) or executed
        (``ignored``)
    :ivar load_s: time to load a model, seconds
    :ivar first_token_s: time to the first token, seconds
    :ivar token_s: time to each further token, seconds
    :ivar warm: whether the engine is warm from the start
    :ivar warm_s: time from loading until the engine is warm, seconds
    :ivar warm_requests: number of completed requests after which it is warm
    :ivar bearable: number of concurrent requests that it sustains while cold; more crash it
    :ivar slots: number of requests that run concurrently
    :ivar restart_s: downtime after a crash, seconds
    """

    vm: str = "vm-1"
    fencing: str = attrs.field(
        default="checked", validator=attrs.validators.in_(("checked", "ignored"))
    )
    load_s: float = 0.2
    first_token_s: float = 0.02
    token_s: float = 0.005
    warm: bool = False
    warm_s: float = 2.0
    warm_requests: int = 20
    bearable: int = 1
    slots: int = 8
    restart_s: float = 1.0


@attrs.define
class Faults:
    """Injected faults.

    :ivar paused: whether requests and running streams hang
    :ivar slow_s: delay of each request, seconds
    :ivar late_answers: delay of responses to load and order requests, seconds
    :ivar cut_after_tokens: number of tokens after which the next stream's connection is closed
    :ivar wrong_request_id: number of next completions with another request's id
    """

    paused: bool = False
    slow_s: float = 0.0
    late_answers: float = 0.0
    cut_after_tokens: int | None = None
    wrong_request_id: int = 0


@attrs.frozen
class GroupMembership:
    """Membership of a group, as ordered.

    :ivar members: addresses of the group's members by rank
    :ivar loaded_at_s: time on trio's clock at which the model is loaded
    """

    group: str
    generation: int
    rank: int
    members: list[str]
    model: str
    version: str
    loaded_at_s: float


@attrs.define(eq=False)
class CompletionRun:
    """One run of a chat completion.

    :ivar resumed_from: id of the last event that the client received before, if it resumes
    :ivar started_s: start time on the monotonic clock
    :ivar finished: whether the response was generated completely
    :ivar tokens: number of tokens generated
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    resumed_from: int | None
    started_s: float | None = None
    finished: bool = False
    tokens: int = 0

    def token(self, index: int) -> str:
        """Return a token, determined by the model, the prompt and the index."""
        seed = f"{self.model}\0{self.prompt}\0{index}".encode()
        return f"t{index}-{hashlib.sha256(seed).hexdigest()[:6]} "

    def report(self) -> dict[str, typing.Any]:
        """Return the run's entry in the history; times are on the monotonic clock."""
        names = ("request_id", "started_s", "finished", "tokens", "resumed_from")
        return {name: getattr(self, name) for name in names}


def openai_error(status: int, error_type: str) -> serving.HttpError:
    """Return an error whose body has the format of the OpenAI API."""
    return serving.HttpError(status, {"error": {"type": error_type, "message": error_type}})


class Engine:
    """State and behaviour of one engine, without HTTP.

    :ivar orders: received orders, oldest first, refused ones included
    :ivar overloads: number of times that a cold engine got more requests than it sustains
    :ivar max_running_cold: highest number of concurrent requests while cold
    :ivar down_until_s: end of the downtime after a crash, on trio's clock
    :ivar request_scopes: cancel scopes of all HTTP requests
    :ivar run_scopes: cancel scopes of the completions
    :ivar place: the ordered group membership, whose model may still be loading
    :ivar completed_requests: number of completed requests since the engine turned cold
    :ivar cold_since_s: time on trio's clock from which the time until warm is counted
    """

    def __init__(self, settings: Settings | None = None) -> None:
        self.settings = settings or Settings()
        self.runs: list[CompletionRun] = []
        self.orders: list[dict] = []
        self.overloads = self.crashes = self.max_running_cold = 0
        self.down_until_s = 0.0
        self.request_scopes: set[trio.CancelScope] = set()
        self.run_scopes: set[trio.CancelScope] = set()
        self.slot_limiter = trio.CapacityLimiter(self.settings.slots)
        self._boot()
        self.is_warm = self.settings.warm

    def _boot(self) -> None:
        self.boot_id = uuid.uuid4().hex
        self.is_warm = self.is_leaving = False
        self.place: GroupMembership | None = None
        self.adapters: list[str] = []
        self.highest_fencing = self.completed_requests = 0
        self.cold_since_s = 0.0

    def is_down(self) -> bool:
        """Return whether the engine has crashed and not restarted yet."""
        return trio.current_time() < self.down_until_s

    def loaded_place(self) -> GroupMembership | None:
        """Return the group membership, or None until its model is loaded; update the warmth."""
        now_s = trio.current_time()
        if self.place is None or now_s < self.place.loaded_at_s:
            return None
        if now_s >= max(self.place.loaded_at_s, self.cold_since_s) + self.settings.warm_s:
            self.is_warm = True
        return self.place

    def load_report(self) -> dict[str, typing.Any]:
        """Return the load report."""
        place = self.loaded_place()
        slot_statistics = self.slot_limiter.statistics()
        return {
            "vm": self.settings.vm,
            "boot_id": self.boot_id,
            "warmth": "warm" if self.is_warm else "cold",
            "bearable": self.settings.bearable,
            "running": slot_statistics.borrowed_tokens,
            "waiting": slot_statistics.tasks_waiting,
            "slots": self.settings.slots,
            "group": place.group if place else None,
            "generation": place.generation if place else 0,
            "rank": place.rank if place else 0,
            "model": place.model if place else None,
            "version": place.version if place else "",
            "adapters": list(self.adapters),
            "loading": self.place is not None and place is None,
            "leaving": self.is_leaving,
            "highest_fencing": self.highest_fencing,
        }

    def history(self) -> dict[str, typing.Any]:
        """Return the history since the process started, across simulated restarts."""
        return {
            "runs": [run.report() for run in self.runs],
            "orders": self.orders,
            "max_running_cold": self.max_running_cold,
            "overloads": self.overloads,
            "crashes": self.crashes,
        }

    def execute_order(self, order: dict[str, typing.Any]) -> None:
        """Execute an order.

        :raises serving.HttpError: when the fencing number is old or the order is invalid
        """
        order_kind, fencing = order.get("order"), order.get("fencing", 0)
        is_stale = self.settings.fencing == "checked" and fencing < self.highest_fencing
        self.orders.append({"order": order_kind, "fencing": fencing, "accepted": not is_stale})
        if is_stale:
            data = {"error": "stale_fencing", "highest_fencing": self.highest_fencing}
            raise serving.HttpError(409, data)
        if order_kind == "join":
            field_names = [field.name for field in attrs.fields(GroupMembership)][:-1]
            if missing := [name for name in field_names if name not in order]:
                raise serving.HttpError(400, {"error": f"missing {missing}"})
            self.leave()
            loaded_at_s = trio.current_time() + self.settings.load_s
            self.place = GroupMembership(
                **{name: order[name] for name in field_names}, loaded_at_s=loaded_at_s
            )
        elif order_kind == "leave":
            self.leave()
        elif order_kind == "load_adapter" and order.get("adapter") not in self.adapters:
            self.adapters.append(order["adapter"])
        elif order_kind == "drain":
            self.is_leaving = True
        elif order_kind != "load_adapter":
            raise serving.HttpError(400, {"error": "unknown_order"})
        self.highest_fencing = max(self.highest_fencing, fencing)

    def leave(self) -> None:
        """Leave the group, if any, and abort all completions."""
        self.place = None
        self.adapters = []
        for scope in self.run_scopes:
            scope.cancel()

    def crash(self) -> None:
        """Close every connection, lose all state and be down for the restart time."""
        self.down_until_s = trio.current_time() + self.settings.restart_s
        self._boot()
        for scope in self.request_scopes:
            scope.cancel()

    def turn_cold(self) -> None:
        """Become cold; the time and the number of requests until warm start again."""
        self.is_warm, self.completed_requests, self.cold_since_s = False, 0, trio.current_time()

    def new_run(self, request: dict, headers: abc.Mapping[str, str]) -> CompletionRun:
        """Validate a chat request and return its run.

        :raises serving.HttpError: when this engine does not serve the group or the model
        """
        place = self.loaded_place()
        expected_headers = {
            "toucanhold-group": place.group if place else "",
            "toucanhold-generation": str(place.generation) if place else "",
        }
        if any(headers.get(name, value) != value for name, value in expected_headers.items()):
            raise openai_error(409, "wrong_group")
        if place is None or place.rank != 0:
            raise openai_error(409, "not_serving")
        if request.get("model") not in (place.model, *self.adapters):
            raise openai_error(404, "model_not_found")
        messages = request.get("messages") or [{}]
        last_event_id = headers.get("last-event-id")
        return CompletionRun(
            request_id=headers.get("x-request-id") or uuid.uuid4().hex,
            model=request["model"],
            prompt=str(messages[-1].get("content", "")),
            max_tokens=int(request.get("max_tokens") or 8),
            resumed_from=int(last_event_id) if last_event_id else None,
        )

    async def generate(
        self, run: CompletionRun, emit: abc.Callable[[int, str], abc.Awaitable[None]]
    ) -> None:
        """Wait for a slot, then generate the tokens at the engine's pace.

        :param emit: called with the index and the text of each token
        """
        async with self.slot_limiter:
            self._start_run(run)
            first_index = 0 if run.resumed_from is None else run.resumed_from + 1
            for index in range(first_index, run.max_tokens):
                settings = self.settings
                await trio.sleep(
                    settings.first_token_s if index == first_index else settings.token_s
                )
                run.tokens += 1
                await emit(index, run.token(index))
                if CRASH_PROMPT in run.prompt:
                    self.crashes += 1
                    self.crash()
            await trio.lowlevel.checkpoint()
            self.completed_requests += 1
            self.is_warm = self.is_warm or self.completed_requests >= self.settings.warm_requests

    def _start_run(self, run: CompletionRun) -> None:
        run.started_s = time.monotonic()
        self.runs.append(run)
        self.loaded_place()
        running = self.slot_limiter.statistics().borrowed_tokens
        if not self.is_warm:
            self.max_running_cold = max(self.max_running_cold, running)
            if running > self.settings.bearable:
                self.overloads += 1
                self.crash()


class App(serving.App):
    """ASGI application of an engine, with fault injection."""

    def __init__(self, engine: Engine | None = None) -> None:
        self.engine = engine or Engine()
        self.faults = Faults()

    async def run(self) -> None:
        """Check the other members while this engine is rank 0; leave the group if one fails."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await trio.sleep(MEMBER_CHECK_INTERVAL_S)
                place = self.engine.loaded_place()
                if place is None or place.rank != 0 or self.faults.paused or self.engine.is_down():
                    continue
                for address in place.members[1:]:
                    is_available = await self._is_member_available(pool, address, place)
                    if not is_available and self.engine.place is place:
                        self.engine.leave()

    async def _is_member_available(
        self, pool: httpcore.AsyncConnectionPool, address: str, place: GroupMembership
    ) -> bool:
        """Return whether a member is reachable and in the same group, or still loading."""
        with trio.move_on_after(MEMBER_CHECK_TIMEOUT_S):
            try:
                response = await pool.request("GET", f"http://{address}/v1/load")
                report = json.loads(response.content)
            except (httpcore.NetworkError, httpcore.ProtocolError, ValueError):
                return False
            is_same_group = (report["group"], report["generation"]) == (
                place.group,
                place.generation,
            )
            return is_same_group or report["loading"]
        return False

    async def handle(self, exchange: serving.Exchange) -> None:
        """Handle one HTTP request."""
        if exchange.path == "/standin/faults":
            self.set_faults(exchange.json())
            await exchange.respond(200, attrs.asdict(self.faults))
        elif exchange.path == "/standin/history":
            await exchange.respond(200, self.engine.history())
        else:
            with trio.CancelScope() as scope:
                self.engine.request_scopes.add(scope)
                try:
                    await self._handle_request(exchange)
                finally:
                    self.engine.request_scopes.discard(scope)
            if scope.cancelled_caught:
                raise serving.DropConnectionError

    def set_faults(self, settings: dict[str, typing.Any]) -> None:
        """Change the named faults; ``turn_cold`` and ``leaving`` act at once.

        :raises serving.HttpError: when a fault is unknown
        """
        settings = dict(settings)
        if settings.pop("turn_cold", False):
            self.engine.turn_cold()
        self.engine.is_leaving = settings.pop("leaving", self.engine.is_leaving)
        try:
            self.faults = attrs.evolve(self.faults, **settings)
        except TypeError as error:
            raise serving.HttpError(400, {"error": str(error)}) from None

    async def _handle_request(self, exchange: serving.Exchange) -> None:
        if self.engine.is_down():
            raise serving.DropConnectionError
        await self._wait_while_paused()
        await trio.sleep(self.faults.slow_s)
        if exchange.path == "/health":
            await exchange.respond(200, {"status": "ok"})
        elif exchange.path == "/v1/load":
            await self._respond_late(exchange, self.engine.load_report())
        elif (exchange.method, exchange.path) == ("POST", "/v1/orders"):
            self.engine.execute_order(exchange.json())
            await self._respond_late(exchange, {"accepted": True})
        elif (exchange.method, exchange.path) == ("POST", "/v1/chat/completions"):
            await self._run_completion(exchange)
        else:
            raise serving.not_found()

    async def _wait_while_paused(self) -> None:
        while self.faults.paused:
            await trio.sleep(0.01)

    async def _respond_late(self, exchange: serving.Exchange, data: dict) -> None:
        await trio.sleep(self.faults.late_answers)
        await self._wait_while_paused()
        await exchange.respond(200, data)

    async def _run_completion(self, exchange: serving.Exchange) -> None:
        request = exchange.json()
        run = self.engine.new_run(request, exchange.headers)
        respond = self._respond_streamed if request.get("stream") else self._respond_whole
        scope = trio.CancelScope()
        self.engine.run_scopes.add(scope)

        async def cancel_on_disconnect() -> None:
            await exchange.wait_for_disconnect()
            if not run.finished:
                scope.cancel()

        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(cancel_on_disconnect)
                    await respond(exchange, run)
                    nursery.cancel_scope.cancel()
        except* serving.DropConnectionError:
            pass
        finally:
            self.engine.run_scopes.discard(scope)
        if not run.finished:
            raise serving.DropConnectionError

    def _response_id(self, run: CompletionRun) -> str:
        if self.faults.wrong_request_id > 0:
            self.faults.wrong_request_id -= 1
            return run.request_id + "-other"
        return run.request_id

    async def _respond_whole(self, exchange: serving.Exchange, run: CompletionRun) -> None:
        tokens = []

        async def emit(index: int, token: str) -> None:
            await self._wait_while_paused()
            tokens.append(token)

        await self.engine.generate(run, emit)
        response_id = self._response_id(run)
        message = {"role": "assistant", "content": "".join(tokens)}
        data = {
            "id": response_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": run.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"completion_tokens": len(tokens)},
        }
        run.finished = True
        await exchange.respond(200, data, {"x-request-id": response_id})

    async def _respond_streamed(self, exchange: serving.Exchange, run: CompletionRun) -> None:
        response_id = ""
        cut_after, self.faults.cut_after_tokens = self.faults.cut_after_tokens, None

        async def send(prefix: str, delta: dict, reason: str | None) -> None:
            data = {
                "id": response_id,
                "object": "chat.completion.chunk",
                "created": int(time.time()),
                "model": run.model,
                "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
            }
            await exchange.send_chunk(f"{prefix}data: {json.dumps(data)}\n\n".encode())

        async def start() -> None:
            nonlocal response_id
            response_id = self._response_id(run)
            await exchange.start_response("text/event-stream", {"x-request-id": response_id})

        async def emit(index: int, token: str) -> None:
            await self._wait_while_paused()
            if not response_id:
                await start()
            await send(f"id: {index}\n", {"content": token}, None)
            if run.tokens == cut_after:
                raise serving.DropConnectionError

        await self.engine.generate(run, emit)
        if not response_id:
            await start()
        await send("", {}, "stop")
        await exchange.send_chunk(b"data: [DONE]\n\n")
        run.finished = True
        await exchange.finish_response()
