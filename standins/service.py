"""Serves a plain service on one VM: idempotent reads of records, and non-idempotent orders."""

import json
import typing
import uuid

import attrs
import trio

from standins import serving


@attrs.define
class Settings:
    """Settings of one service; each but ``vm`` is a command-line option.

    :ivar run_s: time to run an order, seconds
    :ivar warm: whether the service is warm from the start
    :ivar warm_s: time from the start until the service is warm, seconds
    :ivar bearable: number of concurrent requests that it reports to sustain while cold
    :ivar slots: number of orders that run concurrently
    """

    vm: str = "vm-1"
    run_s: float = 0.01
    warm: bool = False
    warm_s: float = 2.0
    bearable: int = 1
    slots: int = 8


@attrs.define
class Faults:
    """Injected faults.

    :ivar paused: whether requests hang
    :ivar slow_s: delay of each request, seconds
    :ivar cut_before_run: number of next orders whose connection is closed before they run
    :ivar cut_after_run: number of next orders whose connection is closed after they ran
    :ivar leaving: whether the load report says that the VM is leaving
    """

    paused: bool = False
    slow_s: float = 0.0
    cut_before_run: int = 0
    cut_after_run: int = 0
    leaving: bool = False


class App(serving.App):
    """ASGI application of a service, with its history and fault injection.

    :ivar orders: executed orders, oldest first
    :ivar records: number of records read
    :ivar started_s: start time on trio's clock
    """

    def __init__(self, settings: Settings | None = None) -> None:
        self.settings = settings or Settings()
        self.faults = Faults()
        self.orders: list[dict[str, typing.Any]] = []
        self.records = 0
        self.boot_id = uuid.uuid4().hex
        self.started_s: float | None = None
        self.slot_limiter = trio.CapacityLimiter(self.settings.slots)

    async def run(self) -> None:
        """Record the start time, from which the time until warm is counted."""
        self.started_s = trio.current_time()

    def load_report(self) -> dict[str, typing.Any]:
        """Return the load report."""
        started_s = trio.current_time() if self.started_s is None else self.started_s
        warm = self.settings.warm or trio.current_time() - started_s >= self.settings.warm_s
        return {
            "vm": self.settings.vm,
            "boot_id": self.boot_id,
            "warmth": "warm" if warm else "cold",
            "bearable": self.settings.bearable,
            "running": self.slot_limiter.borrowed_tokens,
            "waiting": self.slot_limiter.statistics().tasks_waiting,
            "slots": self.settings.slots,
            "leaving": self.faults.leaving,
        }

    async def handle(self, exchange: serving.Exchange) -> None:
        """Handle one HTTP request."""
        if exchange.path == "/standin/history":
            await exchange.respond(200, {"orders": self.orders, "records": self.records})
            return
        if exchange.path == "/standin/faults":
            try:
                self.faults = attrs.evolve(self.faults, **exchange.json())
            except TypeError as error:
                raise serving.HttpError(400, {"error": str(error)}) from None
            await exchange.respond(200, attrs.asdict(self.faults))
            return
        while self.faults.paused:
            await trio.sleep(0.01)
        await trio.sleep(self.faults.slow_s)
        if exchange.path == "/health":
            await exchange.respond(200, {"status": "ok"})
        elif exchange.path == "/v1/load":
            await exchange.respond(200, self.load_report())
        elif exchange.method == "GET" and exchange.path.startswith("/records/"):
            self.records += 1
            record = exchange.path.removeprefix("/records/")
            await exchange.respond(
                200, {"id": record, "vm": self.settings.vm}, self._request_id_headers(exchange)
            )
        elif exchange.method == "POST" and (
            exchange.path == "/publish" or exchange.path.startswith("/valves/")
        ):
            await self._run_order(exchange)
        else:
            raise serving.not_found()

    def _request_id_headers(self, exchange: serving.Exchange) -> dict[str, str]:
        return {k: v for k, v in exchange.headers.items() if k == "x-request-id"}

    async def _run_order(self, exchange: serving.Exchange) -> None:
        """Run an order in a slot; it continues when the client disconnects."""
        if self.faults.cut_before_run > 0:
            self.faults.cut_before_run -= 1
            raise serving.DropConnectionError
        is_cut_after_run = self.faults.cut_after_run > 0
        self.faults.cut_after_run -= is_cut_after_run
        try:
            body = json.loads(exchange.body or b"null")
        except ValueError:
            body = exchange.body.decode(errors="replace")
        async with self.slot_limiter:
            await trio.sleep(self.settings.run_s)
            order = {
                "key": exchange.headers.get("idempotency-key"),
                "request_id": exchange.headers.get("x-request-id"),
                "path": exchange.path,
                "body": body,
            }
            self.orders.append(order)
        if is_cut_after_run:
            raise serving.DropConnectionError
        await exchange.respond(
            200, {"done": True, "order": len(self.orders)}, self._request_id_headers(exchange)
        )
