"""A plain service on one VM: records to read, orders that are not idempotent."""

import json
import typing
import uuid

import attrs
import trio

from standins import serving


@attrs.define
class Settings:
    """The settings of one service."""

    vm: str = "vm-1"
    run_s: float = 0.01
    warm: bool = False
    warm_s: float = 2.0
    bearable: int = 1
    slots: int = 8


@attrs.define
class Faults:
    """The faults in force; the next so many orders are cut before or after their run."""

    paused: bool = False
    slow_s: float = 0.0
    cut_before_run: int = 0
    cut_after_run: int = 0
    leaving: bool = False


class App(serving.App):
    """The HTTP interface of a service, with its history and faults."""

    def __init__(self, settings: Settings | None = None) -> None:
        self.settings = settings or Settings()
        self.faults = Faults()
        self.orders: list[dict[str, typing.Any]] = []
        self.records = 0
        self.boot_id = uuid.uuid4().hex
        self.started_s: float | None = None
        self.slots = trio.CapacityLimiter(self.settings.slots)

    async def run(self) -> None:
        """Note the start, from which the time until warm counts."""
        self.started_s = trio.current_time()

    def load(self) -> dict[str, typing.Any]:
        """Return the load report."""
        started_s = trio.current_time() if self.started_s is None else self.started_s
        warm = self.settings.warm or trio.current_time() - started_s >= self.settings.warm_s
        return {
            "vm": self.settings.vm,
            "boot_id": self.boot_id,
            "warmth": "warm" if warm else "cold",
            "bearable": self.settings.bearable,
            "running": self.slots.borrowed_tokens,
            "waiting": self.slots.statistics().tasks_waiting,
            "slots": self.settings.slots,
            "leaving": self.faults.leaving,
        }

    async def handle(self, exchange: serving.Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/standin/history":
            await exchange.answer(200, {"orders": self.orders, "records": self.records})
            return
        if exchange.path == "/standin/faults":
            try:
                self.faults = attrs.evolve(self.faults, **exchange.json())
            except TypeError as reason:
                raise serving.AnswerError(400, {"error": str(reason)}) from None
            await exchange.answer(200, attrs.asdict(self.faults))
            return
        while self.faults.paused:
            await trio.sleep(0.01)
        await trio.sleep(self.faults.slow_s)
        if exchange.path == "/health":
            await exchange.answer(200, {"status": "ok"})
        elif exchange.path == "/v1/load":
            await exchange.answer(200, self.load())
        elif exchange.method == "GET" and exchange.path.startswith("/records/"):
            self.records += 1
            record = exchange.path.removeprefix("/records/")
            await exchange.answer(200, {"id": record, "vm": self.settings.vm}, self._echo(exchange))
        elif exchange.method == "POST" and (
            exchange.path == "/publish" or exchange.path.startswith("/valves/")
        ):
            await self._order(exchange)
        else:
            raise serving.not_found()

    def _echo(self, exchange: serving.Exchange) -> dict[str, str]:
        return {k: v for k, v in exchange.headers.items() if k == "x-request-id"}

    async def _order(self, exchange: serving.Exchange) -> None:
        """Run an order in a slot; the run goes on when the client leaves."""
        if self.faults.cut_before_run > 0:
            self.faults.cut_before_run -= 1
            raise serving.CutError
        cut_after = self.faults.cut_after_run > 0
        self.faults.cut_after_run -= cut_after
        try:
            body = json.loads(exchange.body or b"null")
        except ValueError:
            body = exchange.body.decode(errors="replace")
        async with self.slots:
            await trio.sleep(self.settings.run_s)
            order = {
                "key": exchange.headers.get("idempotency-key"),
                "request_id": exchange.headers.get("x-request-id"),
                "path": exchange.path,
                "body": body,
            }
            self.orders.append(order)
        if cut_after:
            raise serving.CutError
        await exchange.answer(200, {"done": True, "order": len(self.orders)}, self._echo(exchange))
