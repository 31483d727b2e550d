"""A model engine on one VM: joins groups by order, serves chat completions, can fall over."""

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

CHECK_INTERVAL_S = 0.2
CHECK_TIMEOUT_S = 0.5
CRASH_PROMPT = "crash-the-server"


@attrs.define
class Settings:
    """The settings of one engine."""

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
    """The faults in force; `late_answers` is the seconds by which load and order answers wait."""

    paused: bool = False
    slow_s: float = 0.0
    late_answers: float = 0.0
    cut_after_tokens: int | None = None
    wrong_request_id: int = 0


@attrs.frozen
class Group:
    """A place in a group, and the time from which the model is loaded."""

    group: str
    generation: int
    rank: int
    members: list[str]
    model: str
    version: str
    loaded_s: float


@attrs.define(eq=False)
class Run:
    """One run of a chat completion."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    resumed_from: int | None
    started_s: float | None = None
    finished: bool = False
    tokens: int = 0

    def token(self, index: int) -> str:
        """Return a token, a function of the model, the prompt and the index."""
        seed = f"{self.model}\0{self.prompt}\0{index}".encode()
        return f"t{index}-{hashlib.sha256(seed).hexdigest()[:6]} "

    def report(self) -> dict[str, typing.Any]:
        """Return the run as the history shows it; times are of the monotonic clock."""
        names = ("request_id", "started_s", "finished", "tokens", "resumed_from")
        return {name: getattr(self, name) for name in names}


def refusal(status: int, kind: str) -> serving.HttpError:
    """Return an error in the OpenAI shape."""
    return serving.HttpError(status, {"error": {"type": kind, "message": kind}})


class Engine:
    """The state of one engine, apart from HTTP."""

    def __init__(self, settings: Settings | None = None) -> None:
        self.settings = settings or Settings()
        self.runs: list[Run] = []
        self.orders: list[dict] = []
        self.overloads = self.crashes = self.max_running_cold = 0
        self.gone_until_s = 0.0
        self.request_scopes: set[trio.CancelScope] = set()
        self.run_scopes: set[trio.CancelScope] = set()
        self.slots = trio.CapacityLimiter(self.settings.slots)
        self._boot()
        self.warm = self.settings.warm

    def _boot(self) -> None:
        self.boot_id = uuid.uuid4().hex
        self.warm = self.leaving = False
        self.place: Group | None = None
        self.adapters: list[str] = []
        self.highest_fencing = self.completed = 0
        self.cold_since_s = 0.0

    def gone(self) -> bool:
        """Tell whether the engine has fallen over and is not back yet."""
        return trio.current_time() < self.gone_until_s

    def group(self) -> Group | None:
        """Return the joined group, once its model is loaded; update the warmth."""
        now_s = trio.current_time()
        if self.place is None or now_s < self.place.loaded_s:
            return None
        if now_s >= max(self.place.loaded_s, self.cold_since_s) + self.settings.warm_s:
            self.warm = True
        return self.place

    def load(self) -> dict[str, typing.Any]:
        """Return the load report."""
        place = self.group()
        slots = self.slots.statistics()
        return {
            "vm": self.settings.vm,
            "boot_id": self.boot_id,
            "warmth": "warm" if self.warm else "cold",
            "bearable": self.settings.bearable,
            "running": slots.borrowed_tokens,
            "waiting": slots.tasks_waiting,
            "slots": self.settings.slots,
            "group": place.group if place else None,
            "generation": place.generation if place else 0,
            "rank": place.rank if place else 0,
            "model": place.model if place else None,
            "version": place.version if place else "",
            "adapters": list(self.adapters),
            "loading": self.place is not None and place is None,
            "leaving": self.leaving,
            "highest_fencing": self.highest_fencing,
        }

    def history(self) -> dict[str, typing.Any]:
        """Return what has happened since the start, restarts included."""
        return {
            "runs": [run.report() for run in self.runs],
            "orders": self.orders,
            "max_running_cold": self.max_running_cold,
            "overloads": self.overloads,
            "crashes": self.crashes,
        }

    def order(self, order: dict[str, typing.Any]) -> None:
        """Carry out an order, or refuse it."""
        kind, fencing = order.get("order"), order.get("fencing", 0)
        stale = self.settings.fencing == "checked" and fencing < self.highest_fencing
        self.orders.append({"order": kind, "fencing": fencing, "accepted": not stale})
        if stale:
            data = {"error": "stale_fencing", "highest_fencing": self.highest_fencing}
            raise serving.HttpError(409, data)
        if kind == "join":
            names = [field.name for field in attrs.fields(Group)][:-1]
            if missing := [name for name in names if name not in order]:
                raise serving.HttpError(400, {"error": f"missing {missing}"})
            self.leave()
            loaded_s = trio.current_time() + self.settings.load_s
            self.place = Group(**{name: order[name] for name in names}, loaded_s=loaded_s)
        elif kind == "leave":
            self.leave()
        elif kind == "load_adapter" and order.get("adapter") not in self.adapters:
            self.adapters.append(order["adapter"])
        elif kind == "drain":
            self.leaving = True
        elif kind != "load_adapter":
            raise serving.HttpError(400, {"error": "unknown_order"})
        self.highest_fencing = max(self.highest_fencing, fencing)

    def leave(self) -> None:
        """Leave the group, if any: all runs are cut."""
        self.place = None
        self.adapters = []
        for scope in self.run_scopes:
            scope.cancel()

    def fall_over(self) -> None:
        """Cut every connection, lose all state and be gone for a while."""
        self.gone_until_s = trio.current_time() + self.settings.restart_s
        self._boot()
        for scope in self.request_scopes:
            scope.cancel()

    def turn_cold(self) -> None:
        """Become cold; the time and the requests until warm count anew."""
        self.warm, self.completed, self.cold_since_s = False, 0, trio.current_time()

    def new_run(self, request: dict, headers: abc.Mapping[str, str]) -> Run:
        """Check a chat request and return its run."""
        place = self.group()
        own = {
            "toucanhold-group": place.group if place else "",
            "toucanhold-generation": str(place.generation) if place else "",
        }
        if any(headers.get(name, value) != value for name, value in own.items()):
            raise refusal(409, "wrong_group")
        if place is None or place.rank != 0:
            raise refusal(409, "not_serving")
        if request.get("model") not in (place.model, *self.adapters):
            raise refusal(404, "model_not_found")
        messages = request.get("messages") or [{}]
        resumed = headers.get("last-event-id")
        return Run(
            request_id=headers.get("x-request-id") or uuid.uuid4().hex,
            model=request["model"],
            prompt=str(messages[-1].get("content", "")),
            max_tokens=int(request.get("max_tokens") or 8),
            resumed_from=int(resumed) if resumed else None,
        )

    async def generate(self, run: Run, emit: abc.Callable[[int, str], abc.Awaitable[None]]) -> None:
        """Run in a slot of this engine: wait for it, then emit the tokens in time."""
        async with self.slots:
            self._start(run)
            first = 0 if run.resumed_from is None else run.resumed_from + 1
            for index in range(first, run.max_tokens):
                settings = self.settings
                await trio.sleep(settings.first_token_s if index == first else settings.token_s)
                run.tokens += 1
                await emit(index, run.token(index))
                if CRASH_PROMPT in run.prompt:
                    self.crashes += 1
                    self.fall_over()
            await trio.lowlevel.checkpoint()
            self.completed += 1
            self.warm = self.warm or self.completed >= self.settings.warm_requests

    def _start(self, run: Run) -> None:
        run.started_s = time.monotonic()
        self.runs.append(run)
        self.group()
        running = self.slots.statistics().borrowed_tokens
        if not self.warm:
            self.max_running_cold = max(self.max_running_cold, running)
            if running > self.settings.bearable:
                self.overloads += 1
                self.fall_over()


class App(serving.App):
    """The HTTP interface of an engine, with faults."""

    def __init__(self, engine: Engine | None = None) -> None:
        self.engine = engine or Engine()
        self.faults = Faults()

    async def run(self) -> None:
        """Check the other members of the group while this engine is its rank 0."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                place = self.engine.group()
                if place is None or place.rank != 0 or self.faults.paused or self.engine.gone():
                    continue
                for address in place.members[1:]:
                    whole = await self._check(pool, address, place)
                    if not whole and self.engine.place is place:
                        self.engine.leave()

    async def _check(self, pool: httpcore.AsyncConnectionPool, address: str, place: Group) -> bool:
        """Tell whether a member is reachable and in the same group, or still loading."""
        with trio.move_on_after(CHECK_TIMEOUT_S):
            try:
                answer = await pool.request("GET", f"http://{address}/v1/load")
                load = json.loads(answer.content)
            except (httpcore.NetworkError, httpcore.ProtocolError, ValueError):
                return False
            same = (load["group"], load["generation"]) == (place.group, place.generation)
            return same or load["loading"]
        return False

    async def handle(self, exchange: serving.Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/standin/faults":
            self.set_faults(exchange.json())
            await exchange.respond(200, attrs.asdict(self.faults))
        elif exchange.path == "/standin/history":
            await exchange.respond(200, self.engine.history())
        else:
            with trio.CancelScope() as scope:
                self.engine.request_scopes.add(scope)
                try:
                    await self._handle(exchange)
                finally:
                    self.engine.request_scopes.discard(scope)
            if scope.cancelled_caught:
                raise serving.DropConnectionError

    def set_faults(self, settings: dict[str, typing.Any]) -> None:
        """Change the faults that are named; `turn_cold` and `leaving` act at once."""
        settings = dict(settings)
        if settings.pop("turn_cold", False):
            self.engine.turn_cold()
        self.engine.leaving = settings.pop("leaving", self.engine.leaving)
        try:
            self.faults = attrs.evolve(self.faults, **settings)
        except TypeError as reason:
            raise serving.HttpError(400, {"error": str(reason)}) from None

    async def _handle(self, exchange: serving.Exchange) -> None:
        if self.engine.gone():
            raise serving.DropConnectionError
        await self._hold()
        await trio.sleep(self.faults.slow_s)
        if exchange.path == "/health":
            await exchange.respond(200, {"status": "ok"})
        elif exchange.path == "/v1/load":
            await self._answer_late(exchange, self.engine.load())
        elif (exchange.method, exchange.path) == ("POST", "/v1/orders"):
            self.engine.order(exchange.json())
            await self._answer_late(exchange, {"accepted": True})
        elif (exchange.method, exchange.path) == ("POST", "/v1/chat/completions"):
            await self._chat(exchange)
        else:
            raise serving.not_found()

    async def _hold(self) -> None:
        while self.faults.paused:
            await trio.sleep(0.01)

    async def _answer_late(self, exchange: serving.Exchange, data: dict) -> None:
        await trio.sleep(self.faults.late_answers)
        await self._hold()
        await exchange.respond(200, data)

    async def _chat(self, exchange: serving.Exchange) -> None:
        request = exchange.json()
        run = self.engine.new_run(request, exchange.headers)
        answer = self._stream if request.get("stream") else self._complete
        scope = trio.CancelScope()
        self.engine.run_scopes.add(scope)

        async def leave() -> None:
            await exchange.wait_for_disconnect()
            if not run.finished:
                scope.cancel()

        try:
            with scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(leave)
                    await answer(exchange, run)
                    nursery.cancel_scope.cancel()
        except* serving.DropConnectionError:
            pass
        finally:
            self.engine.run_scopes.discard(scope)
        if not run.finished:
            raise serving.DropConnectionError

    def _answer_id(self, run: Run) -> str:
        if self.faults.wrong_request_id > 0:
            self.faults.wrong_request_id -= 1
            return run.request_id + "-other"
        return run.request_id

    async def _complete(self, exchange: serving.Exchange, run: Run) -> None:
        tokens = []

        async def emit(index: int, token: str) -> None:
            await self._hold()
            tokens.append(token)

        await self.engine.generate(run, emit)
        answer_id = self._answer_id(run)
        message = {"role": "assistant", "content": "".join(tokens)}
        data = {
            "id": answer_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": run.model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"completion_tokens": len(tokens)},
        }
        run.finished = True
        await exchange.respond(200, data, {"x-request-id": answer_id})

    async def _stream(self, exchange: serving.Exchange, run: Run) -> None:
        answer_id = ""
        cut_after, self.faults.cut_after_tokens = self.faults.cut_after_tokens, None

        async def send(prefix: str, delta: dict, reason: str | None) -> None:
            data = {
                "id": answer_id,
                "object": "chat.completion.chunk",
                "created": int(time.time()),
                "model": run.model,
                "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
            }
            await exchange.send_chunk(f"{prefix}data: {json.dumps(data)}\n\n".encode())

        async def start() -> None:
            nonlocal answer_id
            answer_id = self._answer_id(run)
            await exchange.start_response("text/event-stream", {"x-request-id": answer_id})

        async def emit(index: int, token: str) -> None:
            await self._hold()
            if not answer_id:
                await start()
            await send(f"id: {index}\n", {"content": token}, None)
            if run.tokens == cut_after:
                raise serving.DropConnectionError

        await self.engine.generate(run, emit)
        if not answer_id:
            await start()
        await send("", {}, "stop")
        await exchange.send_chunk(b"data: [DONE]\n\n")
        run.finished = True
        await exchange.finish_response()
