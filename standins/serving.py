"""Serves the stand-ins' ASGI applications with hypercorn on trio."""

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


class DropConnectionError(Exception):
    """Raised by a handler to close the connection without a complete response."""


class HttpError(Exception):
    """Raised by a handler to respond with an error status and a JSON body."""

    def __init__(self, status: int, data: typing.Any) -> None:
        super().__init__(f"{status}: {data}")
        self.status = status
        self.data = data


@attrs.define(eq=False)
class Exchange:
    """One HTTP request and the methods to respond to it.

    :ivar headers: request headers by lower-case name
    :ivar body: complete request body
    :ivar receive: ASGI receive callable
    :ivar send: ASGI send callable
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    receive: collections.abc.Callable[[], collections.abc.Awaitable[dict]]
    send: collections.abc.Callable[[dict], collections.abc.Awaitable[None]]

    def json(self) -> dict[str, typing.Any]:
        """Return the body as a JSON object; an empty body is an empty object.

        :raises HttpError: when the body is not a JSON object
        """
        try:
            data = json.loads(self.body or b"{}")
        except ValueError:
            data = None
        if not isinstance(data, dict):
            raise HttpError(400, {"code": 3, "message": "the body is not a JSON object"})
        return data

    async def respond(
        self, status: int, data: typing.Any, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete JSON response."""
        body = json.dumps(data).encode()
        headers = {"content-length": str(len(body)), **(headers or {})}
        await self.start_response("application/json", headers, status)
        await self.send({"type": "http.response.body", "body": body})

    async def start_response(
        self, content_type: str, headers: dict[str, str] | None = None, status: int = 200
    ) -> None:
        """Send the status and headers of a response."""
        pairs = [("content-type", content_type), *(headers or {}).items()]
        raw = [(name.encode(), value.encode()) for name, value in pairs]
        await self.send({"type": "http.response.start", "status": status, "headers": raw})

    async def send_chunk(self, body: bytes) -> None:
        """Send a chunk of a streamed body."""
        await self.send({"type": "http.response.body", "body": body, "more_body": True})

    async def finish_response(self) -> None:
        """End a streamed body."""
        await self.send({"type": "http.response.body", "body": b""})

    async def wait_for_disconnect(self) -> None:
        """Wait until the client has closed the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass

    async def abort(self) -> None:
        """Close the connection at once, without completing the response.

        ASGI has no event for this, so hypercorn's connection is reached through ``send``:
        it is bound to an HTTPStream, whose ``send`` is bound to the H11Protocol, whose
        ``send`` is called here.
        """
        protocol = self.send.__self__.send.__self__
        await protocol.send(hypercorn.events.Closed())


class App(abc.ABC):
    """Base class of the stand-ins' ASGI applications.

    Subclasses implement :meth:`handle` and, if they have background work, :meth:`run`.
    """

    @abc.abstractmethod
    async def handle(self, exchange: Exchange) -> None:
        """Handle one HTTP request.

        :raises HttpError: to respond with an error
        :raises DropConnectionError: to close the connection
        """

    async def run(self) -> None:
        """Run the application's background work until cancelled; the default has none."""
        await trio.lowlevel.checkpoint()

    async def __call__(self, scope: dict, receive: typing.Any, send: typing.Any) -> None:
        """Serve one ASGI scope, HTTP or lifespan."""
        if scope["type"] == "lifespan":
            await self._handle_lifespan(receive, send)
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
            await self._respond(
                Exchange(scope["method"], scope["path"], headers, bytes(body), receive, send)
            )

    async def _respond(self, exchange: Exchange) -> None:
        """Handle one request; convert the handler's errors to responses or a closed connection."""
        try:
            await self.handle(exchange)
        except HttpError as error:
            await exchange.respond(error.status, error.data)
        except DropConnectionError:
            await exchange.abort()

    async def _handle_lifespan(self, receive: typing.Any, send: typing.Any) -> None:
        """Confirm the server's lifespan events until shutdown."""
        while True:
            event = await receive()
            await send({"type": event["type"] + ".complete"})
            if event["type"] == "lifespan.shutdown":
                return


def not_found() -> HttpError:
    """Return the error for a path or method that the stand-in does not support."""
    return HttpError(404, {"code": 5, "message": "not found"})


async def serve(
    app: App,
    address: str = "127.0.0.1:0",
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until cancelled; ``nursery.start`` returns the bound address.

    :param address: ``HOST:PORT``; port 0 for any free port
    :raises ValueError: when the address is not a loopback address
    """
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
