"""Messages between an entry that publishes changes and the entries that follow it."""

from __future__ import annotations

import zlib

import attrs

from toucanhold import codec
from toucanhold.coordination import keyvalue, mirror

# Level 1 compresses 100 KB in a millisecond, and configurations of hundreds of routes to a tenth.
COMPRESSION_LEVEL = 1
COMPRESSED_MARKER = b"z"
PLAIN_MARKER = b"p"
MIN_COMPRESSED_BYTES = 400
# A few compressed bytes could become any number.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


class MessageError(Exception):
    """A frame's body is not a message of this protocol."""


@attrs.frozen
class Subscribe:
    """Requests the changes after ``revision``; 0 requests a snapshot."""

    revision: int


@attrs.frozen
class Snapshot:
    """All items as of one revision."""

    revision: int
    items: tuple[keyvalue.Item, ...]


@attrs.frozen
class Update:
    """The changes between two revisions."""

    changes: mirror.Changes


@attrs.frozen
class Status:
    """How current the sender's mirror is; sent at an interval.

    :ivar is_answering: whether the service answers calls
    :ivar confirmed_s: seconds since the mirror last certainly held all items of the service
    :ivar failed_s: seconds since the service was last known to be away
    """

    is_answering: bool
    confirmed_s: float
    failed_s: float


Message = Subscribe | Snapshot | Update | Status
MESSAGE_TYPES = {kind.__name__: kind for kind in (Subscribe, Snapshot, Update, Status)}


def encode(message: Message) -> bytes:
    """Return the frame body of a message, compressed from ``MIN_COMPRESSED_BYTES`` on."""
    data = codec.pack_tagged(type(message).__name__, message)
    if len(data) < MIN_COMPRESSED_BYTES:
        return PLAIN_MARKER + data
    return COMPRESSED_MARKER + zlib.compress(data, COMPRESSION_LEVEL)


def decode(body: bytes) -> Message:
    """Return the message in a frame's body.

    :raises MessageError: when the body is not a message of this protocol
    """
    try:
        data = _decompress(body[1:]) if body[:1] == COMPRESSED_MARKER else body[1:]
        tag, plain = codec.unpack_tagged(data)
        return codec.from_plain_tolerant(plain, MESSAGE_TYPES[tag])
    except (zlib.error, codec.CodecError, KeyError) as error:
        raise MessageError(f"not a message: {error!r}") from error


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise MessageError(f"truncated, or longer than {MAX_MESSAGE_BYTES} bytes")
    return decompressed
