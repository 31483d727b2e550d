"""ASGI helpers for reading request bodies and sending responses."""

import collections.abc
import json
import typing

Scope = dict[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[dict]]
Send = collections.abc.Callable[[dict], collections.abc.Awaitable[None]]
Headers = collections.abc.Iterable[tuple[bytes, bytes]]


class BodyTooLargeError(Exception):
    """A request body exceeds its size limit."""


class ClientDisconnectedError(Exception):
    """The client disconnected before it had sent the complete request."""


def announced_bytes(scope: Scope) -> int:
    """Return the size of the request's body by its header; 0 if there is none."""
    # The HTTP server has checked that it is a number.
    return int(header(scope, "content-length") or 0)


async def read_body(
    receive: Receive,
    limit_bytes: int,
    on_chunk: collections.abc.Callable[[int], None] = lambda size_bytes: None,
) -> bytes:
    """Return the complete request body.

    :param limit_bytes: maximum size of the body
    :param on_chunk: called with the size of each received chunk in bytes; may raise
    :raises BodyTooLargeError: as soon as the body exceeds ``limit_bytes``
    :raises ClientDisconnectedError: when the client disconnects before the end of the body
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise ClientDisconnectedError
        chunk = message.get("body", b"")
        body += chunk
        if len(body) > limit_bytes:
            raise BodyTooLargeError
        on_chunk(len(chunk))
        if not message.get("more_body"):
            return bytes(body)


def header(scope: Scope, name: str) -> str:
    """Return the first value of a request header, or an empty string.

    :param name: header name in any case
    """
    raw_name = name.lower().encode()
    return next((value.decode("latin-1") for key, value in scope["headers"] if key == raw_name), "")


async def start(send: Send, status: int, headers: Headers) -> None:
    """Send the status and headers of a response."""
    await send({"type": "http.response.start", "status": status, "headers": list(headers)})


async def write(send: Send, chunk: bytes, more: bool) -> None:
    """Send a chunk of a response body.

    :param more: whether further chunks follow
    """
    await send({"type": "http.response.body", "body": chunk, "more_body": more})


async def respond(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send a complete response; ``content-length`` is added to ``headers``."""
    length = (b"content-length", str(len(body)).encode())
    await start(send, status, [*headers, length])
    await write(send, body, False)


async def respond_json(send: Send, status: int, value: object) -> None:
    """Send a complete JSON response."""
    body = json.dumps(value).encode()
    await respond(send, status, [(b"content-type", b"application/json")], body)


async def acknowledge_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the lifespan messages of the server until it shuts down."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
