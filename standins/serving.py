"""Serving of the stand-ins' ASGI apps with hypercorn on trio."""

import abc
import collections.abc
import functools
import json
import logging
import typing

import attrs
import hypercorn.config
import hypercorn.events
import hypercorn.trio
import trio


class CutError(Exception):
    """Raised by a handler to close the connection without (the rest of) an answer."""


class AnswerError(Exception):
    """Raised by a handler to answer with an error status and a JSON body."""

    def __init__(self, status: int, data: typing.Any) -> None:
        super().__init__(f"{status}: {data}")
        self.status = status
        self.data = data


@attrs.define(eq=False)
class Exchange:
    """One HTTP request and the way to answer it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    receive: collections.abc.Callable[[], collections.abc.Awaitable[dict]]
    send: collections.abc.Callable[[dict], collections.abc.Awaitable[None]]

    def json(self) -> dict[str, typing.Any]:
        """Return the body as a JSON object; an empty body is an empty object."""
        try:
            data = json.loads(self.body or b"{}")
        except ValueError:
            data = None
        if not isinstance(data, dict):
            raise AnswerError(400, {"code": 3, "message": "the body is not a JSON object"})
        return data

    async def answer(
        self, status: int, data: typing.Any, headers: dict[str, str] | None = None
    ) -> None:
        """Send a whole JSON answer."""
        body = json.dumps(data).encode()
        headers = {"content-length": str(len(body)), **(headers or {})}
        await self.start("application/json", headers, status)
        await self.send({"type": "http.response.body", "body": body})

    async def start(
        self, content_type: str, headers: dict[str, str] | None = None, status: int = 200
    ) -> None:
        """Send the status and headers of an answer."""
        pairs = [("content-type", content_type), *(headers or {}).items()]
        raw = [(name.encode(), value.encode()) for name, value in pairs]
        await self.send({"type": "http.response.start", "status": status, "headers": raw})

    async def send_part(self, body: bytes) -> None:
        """Send a part of a streamed body."""
        await self.send({"type": "http.response.body", "body": body, "more_body": True})

    async def finish(self) -> None:
        """End a streamed body."""
        await self.send({"type": "http.response.body", "body": b""})

    async def wait_for_disconnect(self) -> None:
        """Wait until the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def cut(self) -> None:
        """Close the connection at once, without an answer.

        ASGI has no event for this, so hypercorn's connection is found behind `send`
        (its HTTPStream, then its H11Protocol, then its TCPServer).
        """
        protocol = self.send.__self__.send.__self__
        await protocol.send(hypercorn.events.Closed())


class App(abc.ABC):
    """Base of the stand-ins' ASGI apps: subclasses give `handle` and, if needed, `run`."""

    @abc.abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""

    async def run(self) -> None:
        """Run the app's background work until cancelled; most have none."""
        await trio.lowlevel.checkpoint()

    async def __call__(self, scope: dict, receive: typing.Any, send: typing.Any) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await self._live(receive, send)
        elif scope["type"] == "http":
            body = bytearray()
            more = True
            while more:
                event = await receive()
                if event["type"] == "http.disconnect":
                    return
                body += event.get("body", b"")
                more = event.get("more_body", False)
            headers = {name.decode().lower(): value.decode() for name, value in scope["headers"]}
            await self._answer(
                Exchange(scope["method"], scope["path"], headers, bytes(body), receive, send)
            )

    async def _answer(self, exchange: Exchange) -> None:
        """Handle one request and turn the handlers' errors into answers and cuts."""
        try:
            await self.handle(exchange)
        except AnswerError as error:
            await exchange.answer(error.status, error.data)
        except CutError:
            await exchange.cut()

    async def _live(self, receive: typing.Any, send: typing.Any) -> None:
        """Answer the server's start and end of life events."""
        while True:
            event = await receive()
            await send({"type": event["type"] + ".complete"})
            if event["type"] == "lifespan.shutdown":
                return


def not_found() -> AnswerError:
    """Return the error for a path or method that the stand-in does not have."""
    return AnswerError(404, {"code": 5, "message": "not found"})


async def serve(
    app: App,
    address: str = "127.0.0.1:0",
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an app until cancelled; `nursery.start` returns the bound address."""
    if not address.startswith("127."):
        raise ValueError(f"stand-ins serve on 127.0.0.0/8 only, not {address}")
    config = hypercorn.config.Config()
    config.bind = [address]
    config.errorlog = logging.getLogger("standins.hypercorn")
    config.errorlog.setLevel(logging.ERROR)
    config.graceful_timeout = 0.1
    config.keep_alive_timeout = 600
    config.keep_alive_max_requests = 1_000_000_000
    async with trio.open_nursery() as nursery:
        start = functools.partial(hypercorn.trio.serve, app, config, mode="asgi")
        bound = await nursery.start(start)
        nursery.start_soon(app.run)
        task_status.started(bound[0].removeprefix("http://"))
