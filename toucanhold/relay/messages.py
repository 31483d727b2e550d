"""What entries say to each other on a stream that passes changes on."""

from __future__ import annotations

import zlib

import attrs

from toucanhold import codec
from toucanhold.coordination import keyvalue, mirror

# Configurations of hundreds of routes shrink to a tenth; level 1 takes a millisecond for 100 KB.
COMPRESSION_LEVEL = 1
COMPRESSED = b"z"
PLAIN = b"p"
LEAST_COMPRESSED_BYTES = 400


class MessageError(Exception):
    """Bytes that are no message of this protocol."""


@attrs.frozen
class Subscribe:
    """Asks for what changes after a revision; 0 asks for everything."""

    revision: int


@attrs.frozen
class Snapshot:
    """All items as of one revision."""

    revision: int
    items: tuple[keyvalue.Item, ...]


@attrs.frozen
class Update:
    """What changed between two revisions."""

    changes: mirror.Changes


@attrs.frozen
class Status:
    """How far the sender's copy can be relied on; sent at an interval.

    :ivar is_answering: whether the service's last call was answered
    :ivar confirmed_s: seconds since the copy certainly held all that the service had
    :ivar failed_s: seconds since a call to the service last failed
    """

    is_answering: bool
    confirmed_s: float
    failed_s: float


Message = Subscribe | Snapshot | Update | Status
KINDS = {kind.__name__: kind for kind in (Subscribe, Snapshot, Update, Status)}


def encode(message: Message) -> bytes:
    """Return a frame's body."""
    data = codec.pack_tagged(type(message).__name__, message)
    if len(data) < LEAST_COMPRESSED_BYTES:
        return PLAIN + data
    return COMPRESSED + zlib.compress(data, COMPRESSION_LEVEL)


def decode(body: bytes) -> Message:
    """Return the message of a frame's body.

    :raises MessageError: when there is none in it
    """
    try:
        data = zlib.decompress(body[1:]) if body[:1] == COMPRESSED else body[1:]
        tag, plain = codec.unpack_tagged(data)
        return codec.from_plain_tolerant(plain, KINDS[tag])
    except (zlib.error, codec.CodecError, KeyError) as error:
        raise MessageError(f"not a message: {error!r}") from error
