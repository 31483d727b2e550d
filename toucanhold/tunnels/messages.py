"""Messages that open a tunnel through another entry.

After them, each frame has a kind, its first byte, and bytes of the connection to the server.
The last frame says how the server's side of it has ended: an answer whose length is not given ends
with its connection, and must not look complete if the connection or the tunnel is lost.
"""

from __future__ import annotations

import attrs

from toucanhold import codec

# Kinds of frames: bytes; the server has closed its connection; the connection to it was lost.
DATA = b"d"
END = b"e"
LOST = b"l"


class MessageError(Exception):
    """A frame's body is not the expected message."""


@attrs.frozen
class Open:
    """Requests a connection to a backend server.

    :ivar born_ms: start of the server's process
    :ivar timeout_s: time within which it must be open
    """

    server_id: str
    born_ms: int
    timeout_s: float


@attrs.frozen
class Opened:
    """The connection is open."""


@attrs.frozen
class Failed:
    """The connection could not be opened.

    :ivar is_confirmed: whether the server is the cause, as the entry that tried reaches others
    """

    reason: str
    is_confirmed: bool


Message = Open | Opened | Failed
MESSAGE_TYPES = {kind.__name__: kind for kind in (Open, Opened, Failed)}


def encode(message: Message) -> bytes:
    """Return the frame body of a message."""
    return codec.pack_tagged(type(message).__name__, message)


def decode(body: bytes) -> Message:
    """Return the message in a frame's body.

    :raises MessageError: when the body is not a message of this protocol
    """
    try:
        tag, plain = codec.unpack_tagged(body)
        return codec.from_plain_tolerant(plain, MESSAGE_TYPES[tag])
    except (codec.CodecError, KeyError) as error:
        raise MessageError(f"not a message of a tunnel: {error!r}") from error
