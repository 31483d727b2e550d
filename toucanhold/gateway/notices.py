"""Encodes and decodes the msgpack datagrams that entries exchange."""

from __future__ import annotations

import enum
import math

import attrs
import msgpack

from toucanhold import codec, parsing
from toucanhold.gateway import (
    crashes,
    draining,
    limits,
    slow_reports,
    suspensions,
    workspace_use,
)

DATAGRAM_LIMIT_BYTES = 32 * 1024
# Keep a datagram below its limit; a server ID and its count take about 20 bytes.
MAX_SERVER_COUNTS = 1100
MAX_RECENT_COUNTS = 150
MAX_COUNT = 2**31


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
    :ivar crashes: empty; entries of earlier versions require the field
    :ivar recent: counts that entries add up, as each :class:`shared_counts.CountSource` returns
        them
    :ivar limits: limits that servers have named or lifted
    :ivar draining: servers whose answers say that they are draining
    :ivar suspended: servers that were suspended, or are no longer
    :ivar slow: servers that take longer than others of their kind, or no longer do
    :ivar crash_reports: servers that crashed during a request or on a part of prompts
    :ivar sound: keys of parts that others may suspect, and seconds since a sound answer on each
    """

    kind: Kind
    entry: str
    boot: str
    in_flight: dict[str, int]
    silent: dict[str, str]
    crashes: list[tuple[str, int]]
    recent: dict[str, int] = attrs.field(factory=dict)
    limits: list[limits.Limit] = attrs.field(factory=list)
    draining: list[draining.DrainingServer] = attrs.field(factory=list)
    suspended: list[suspensions.Suspension] = attrs.field(factory=list)
    slow: list[slow_reports.SlowServer] = attrs.field(factory=list)
    crash_reports: list[crashes.CrashReport] = attrs.field(factory=list)
    sound: dict[str, float] = attrs.field(factory=dict)


def encode(notice: Notice) -> bytes:
    """Return a notice as a datagram, with the largest counts at most."""
    notice = attrs.evolve(
        notice,
        in_flight=_largest(notice.in_flight, MAX_SERVER_COUNTS),
        recent=_limit_recent(notice.recent),
    )
    return msgpack.packb(codec.CONVERTER.unstructure(notice))


def _limit_recent(counts: dict[str, int]) -> dict[str, int]:
    """Return at most ``MAX_RECENT_COUNTS`` counts; the use of workspaces is dropped first.

    It is by far the most numerous and largest, and only approximate in any case.
    """
    if len(counts) <= MAX_RECENT_COUNTS:
        return counts
    by_rank = sorted(counts.items(), key=lambda item: (workspace_use.is_cell(item[0]), -item[1]))
    return dict(by_rank[:MAX_RECENT_COUNTS])


def _largest(counts: dict[str, int], max_count: int) -> dict[str, int]:
    if len(counts) <= max_count:
        return counts
    return dict(sorted(counts.items(), key=lambda item: -item[1])[:max_count])


def decode(data: bytes) -> Notice:
    """Return the notice that a datagram contains.

    :raises NoticeError: if the datagram is not a valid notice
    """
    try:
        notice = codec.from_plain_tolerant(parsing.load_msgpack(data), Notice)
    except (codec.CodecError, parsing.ParseError) as error:
        raise NoticeError(f"the datagram is not a valid notice: {error!r}") from error
    counts = (*notice.in_flight.values(), *notice.recent.values())
    if not all(0 <= count <= MAX_COUNT for count in counts):
        raise NoticeError(f"counts of requests out of bounds from entry {notice.entry}")
    if not all(limit.is_valid for limit in notice.limits):
        raise NoticeError(f"limits from entry {notice.entry} that are no rates: {notice.limits}")
    if not all(suspension.is_valid for suspension in notice.suspended):
        raise NoticeError(f"invalid suspensions from entry {notice.entry}: {notice.suspended}")
    if not all(server.is_valid for server in notice.slow):
        raise NoticeError(f"slowdowns from entry {notice.entry} out of bounds: {notice.slow}")
    if not all(report.is_valid for report in notice.crash_reports):
        raise NoticeError(f"invalid crashes from entry {notice.entry}: {notice.crash_reports}")
    if not all(0 <= age_s < math.inf for age_s in notice.sound.values()):
        raise NoticeError(f"invalid ages of answers from entry {notice.entry}: {notice.sound}")
    return notice
