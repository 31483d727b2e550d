"""The little of ASGI that both HTTP interfaces share."""

import collections.abc
import json
import typing

Scope = dict[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[dict]]
Send = collections.abc.Callable[[dict], collections.abc.Awaitable[None]]
Headers = collections.abc.Iterable[tuple[bytes, bytes]]


class BodyTooLargeError(Exception):
    """A request body exceeds its limit."""


class ClientDisconnectedError(Exception):
    """The client closed its connection before its request was whole."""


async def read_body(
    receive: Receive,
    limit_bytes: int,
    grow: collections.abc.Callable[[int], None] = lambda size_bytes: None,
) -> bytes:
    """Return the whole request body.

    :param grow: told the number of bytes that have arrived; may raise
    :raises BodyTooLargeError: as soon as it exceeds ``limit_bytes``
    :raises ClientDisconnectedError: when it ends early
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
        grow(len(chunk))
        if not message.get("more_body"):
            return bytes(body)


def header(scope: Scope, name: str) -> str:
    """Return a request header, or an empty string."""
    wanted = name.lower().encode()
    return next((value.decode("latin-1") for key, value in scope["headers"] if key == wanted), "")


async def start(send: Send, status: int, headers: Headers) -> None:
    """Send the head of a response."""
    await send({"type": "http.response.start", "status": status, "headers": list(headers)})


async def write(send: Send, chunk: bytes, more: bool) -> None:
    """Send a part of a response's body."""
    await send({"type": "http.response.body", "body": chunk, "more_body": more})


async def respond(send: Send, status: int, headers: Headers, body: bytes) -> None:
    """Send a whole response."""
    length = (b"content-length", str(len(body)).encode())
    await start(send, status, [*headers, length])
    await write(send, body, False)


async def respond_json(send: Send, status: int, value: object) -> None:
    """Send a JSON response."""
    body = json.dumps(value).encode()
    await respond(send, status, [(b"content-type", b"application/json")], body)


async def acknowledge_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start-up and shut-down messages."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
