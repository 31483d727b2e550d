"""Datagrams between entries, as msgpack."""

from __future__ import annotations

import enum

import attrs
import msgpack

from toucanhold import codec

DATAGRAM_LIMIT_BYTES = 32 * 1024
# Keeps a datagram under its limit: a server's name and count take some 20 bytes.
MAX_SERVER_COUNTS = 1200


class NoticeError(Exception):
    """Bytes that are no notice."""


class Kind(enum.Enum):
    """What a notice sums up.

    A report covers an entry and those that report to it, a summary the entries of a zone, and a
    digest all entries but its receiver and those that report to it.
    """

    REPORT = "report"
    DIGEST = "digest"
    SUMMARY = "summary"


@attrs.frozen
class Notice:
    """What one entry sends another.

    :ivar entry: the sender
    :ivar boot: tells the sender's starts apart
    :ivar in_flight: requests by server
    :ivar silent: servers that stopped sending, each with the entry that found it
    :ivar crashes: lost connections by request
    """

    kind: Kind
    entry: str
    boot: str
    in_flight: dict[str, int]
    silent: dict[str, str]
    crashes: list[tuple[str, int]]


def encode(notice: Notice) -> bytes:
    """Return a datagram; of very many counts the largest."""
    if len(notice.in_flight) > MAX_SERVER_COUNTS:
        largest = sorted(notice.in_flight.items(), key=lambda item: -item[1])[:MAX_SERVER_COUNTS]
        notice = attrs.evolve(notice, in_flight=dict(largest))
    return msgpack.packb(codec.CONVERTER.unstructure(notice))


def decode(data: bytes) -> Notice:
    """Read a datagram.

    :raises NoticeError: when it holds no notice
    """
    try:
        notice = codec.from_plain_tolerant(msgpack.unpackb(data), Notice)
    except (codec.CodecError, ValueError, msgpack.UnpackException) as error:
        raise NoticeError(f"not a notice: {error!r}") from error
    if any(count < 0 for count in notice.in_flight.values()):
        raise NoticeError(f"negative counts from {notice.entry}")
    return notice
