"""Encodes and decodes the msgpack datagrams that entries exchange."""

from __future__ import annotations

import enum

import attrs
import msgpack

from toucanhold import codec

DATAGRAM_LIMIT_BYTES = 32 * 1024
# Keeps a datagram below its limit; a server ID and its count take about 20 bytes.
MAX_SERVER_COUNTS = 1200


class NoticeError(Exception):
    """Raised for a datagram that is not a valid notice."""


class Kind(enum.Enum):
    """Which entries the counts of a notice cover.

    A report covers an entry and those that report to it, a summary the entries of a zone, and a
    digest all entries except its receiver and those that report to the receiver.
    """

    REPORT = "report"
    DIGEST = "digest"
    SUMMARY = "summary"


@attrs.frozen
class Notice:
    """A message from one entry to another.

    :ivar entry: name of the sender
    :ivar boot: boot ID of the sender, which distinguishes its restarts
    :ivar in_flight: server ID to the number of requests in flight
    :ivar silent: ID of each server that stopped sending, to the name of the entry that detected it
    :ivar crashes: pairs of a request's fingerprint and its number of lost connections
    """

    kind: Kind
    entry: str
    boot: str
    in_flight: dict[str, int]
    silent: dict[str, str]
    crashes: list[tuple[str, int]]


def encode(notice: Notice) -> bytes:
    """Return a notice as a datagram, with the ``MAX_SERVER_COUNTS`` largest counts at most."""
    if len(notice.in_flight) > MAX_SERVER_COUNTS:
        largest = sorted(notice.in_flight.items(), key=lambda item: -item[1])[:MAX_SERVER_COUNTS]
        notice = attrs.evolve(notice, in_flight=dict(largest))
    return msgpack.packb(codec.CONVERTER.unstructure(notice))


def decode(data: bytes) -> Notice:
    """Return the notice that a datagram contains.

    :raises NoticeError: if the datagram is not a valid notice
    """
    try:
        notice = codec.from_plain_tolerant(msgpack.unpackb(data), Notice)
    except (codec.CodecError, ValueError, msgpack.UnpackException) as error:
        raise NoticeError(f"the datagram is not a valid notice: {error!r}") from error
    if any(count < 0 for count in notice.in_flight.values()):
        raise NoticeError(f"negative count of requests in flight from entry {notice.entry}")
    return notice
