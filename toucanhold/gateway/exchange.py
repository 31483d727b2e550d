"""Exchanges load, silent servers, rate limits and crashes between entries by UDP.

Each entry reports to an aggregator in its availability zone and receives a digest of all other
entries in return. Aggregators send summaries of their zones to each other. The number of datagrams
per entry therefore does not grow with the number of entries, and few of them cross zones, where
traffic is billed.

Outdated counts are worthless and newer ones follow shortly, so lost datagrams are not retransmitted
and never delay later ones, as they would on a TCP connection.
"""

from __future__ import annotations

import collections
import collections.abc
import errno
import logging
import random
import typing

import attrs
import trio

from toucanhold import notifier, supervision
from toucanhold.gateway import (
    crashes,
    draining,
    entries,
    hierarchy,
    load,
    notice_building,
    notices,
    rate_limiter,
    shared_counts,
    silence_reports,
)

if typing.TYPE_CHECKING:
    from toucanhold.gateway import server_speed, trials

REPORT_INTERVAL_S = 0.1
# Summaries alternate between the two aggregators of each other zone.
SUMMARY_INTERVAL_S = 0.15
# Limit on the digest traffic to an entry: reports, each answered by a digest, are sent less often
# if digests are long.
MAX_CONTROL_BYTES_PER_S = 8000
MAX_REPORT_INTERVAL_S = 0.3
# An entry without requests in flight changes nobody's decisions, and is most of a large fleet.
IDLE_REPORT_INTERVAL_S = 0.3
# An aggregator that has not answered reports for this long is skipped: it may be dead, paused or
# unreachable.
AGGREGATOR_TIMEOUT_S = 0.7
# Reported counts expire after this time, because an entry that died has no requests in flight.
REPORT_VALIDITY_S = 1.0
MAX_WARNED_SENDERS = 1000
UPSTREAM_SOURCE = "upstream"

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Exchange:
    """Sends this entry's load, silent servers and crashes, and merges those of others.

    :ivar on_silent: called with the ID of a server that another entry reports as silent, and with
        the name of that entry
    :ivar count_sources: further counts that entries add up; the rate limiter's table of counts
        holds the sums over the other entries
    :ivar server_trials: the policy that suspends servers; None if it is off
    :ivar server_speed: table of slow servers; None if they are not reported
    :ivar sent_bytes: bytes sent, by kind of notice and whether the receiver is in another
        availability zone
    :ivar notice_builder: builds the notices that it sends
    """

    entry_list: entries.EntryList
    load_tracker: load.LoadTracker
    rate_limiter: rate_limiter.RateLimiter
    draining_table: draining.DrainingTable
    crash_tracker: crashes.CrashTracker
    on_silent: collections.abc.Callable[[str, str], None]
    rng: random.Random
    count_sources: collections.abc.Sequence[shared_counts.CountSource] = ()
    server_trials: trials.ServerTrials | None = None
    server_speed: server_speed.ServerSpeed | None = None
    _wake_signal: notifier.Notifier = attrs.field(factory=notifier.Notifier, init=False)
    _is_urgent: bool = attrs.field(default=False, init=False)
    _silence_reports: silence_reports.SilenceReports = attrs.field(
        factory=silence_reports.SilenceReports, init=False
    )
    _aggregators: dict[str, list[entries.Entry]] = attrs.field(factory=dict, init=False)
    _aggregators_version: int = attrs.field(default=-1, init=False)
    _last_digest_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _last_report_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _interval_s: float = attrs.field(default=REPORT_INTERVAL_S, init=False)
    _last_summary_s: float = attrs.field(default=0.0, init=False)
    _summary_count: int = attrs.field(default=0, init=False)
    _has_reported_load: bool = attrs.field(default=False, init=False)
    _warned_senders: set[str] = attrs.field(factory=set, init=False)
    notice_builder: notice_building.NoticeBuilder = attrs.field(init=False)
    sent_bytes: collections.Counter[tuple[notices.Kind, bool]] = attrs.field(
        factory=collections.Counter, init=False
    )

    def __attrs_post_init__(self) -> None:
        """Build notices, and report the first request in flight at once."""
        self.notice_builder = notice_building.NoticeBuilder(
            self.entry_list,
            self.rate_limiter,
            self.draining_table,
            self.crash_tracker,
            self._silence_reports,
            self.rng,
            self.count_sources,
            self.server_trials,
            self.server_speed,
        )
        self.load_tracker.on_busy = self._wake_signal.notify_all

    @property
    def digest_age_s(self) -> float:
        """Age of the newest digest in seconds; 0 if this entry is the active aggregator."""
        newest_s = max(self._last_digest_s.values(), default=float("-inf"))
        return 0.0 if self.is_active_aggregator else trio.current_time() - newest_s

    def report_silent(self, server_id: str) -> None:
        """Notify all other entries of a silent server immediately."""
        # Until they are notified, they keep sending requests to it, whose callers wait in vain.
        if self._silence_reports.record(server_id, self.entry_list.own.entry, is_local=True):
            self._request_urgent_send()

    async def run(self) -> None:
        """Send and receive until cancelled."""
        host, _, port = self.entry_list.own.exchange_address.rpartition(":")
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as socket:
            await socket.bind((host, int(port)))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, socket)
                nursery.start_soon(self._send, socket)

    def upstream(self) -> list[entries.Entry]:
        """Return the aggregators to report to: the first that answers, and those ranked above it.

        The list is empty if this entry is the zone's highest-ranked aggregator.
        """
        self._refresh_aggregators()
        now_s = trio.current_time()
        aggregators = []
        for entry in self._higher_ranked_aggregators():
            aggregators.append(entry)
            if now_s - self._last_digest_s.get(entry.entry, float("-inf")) < AGGREGATOR_TIMEOUT_S:
                break
        return aggregators

    @property
    def is_active_aggregator(self) -> bool:
        """Whether this entry is an aggregator of its zone and none ranked above it answers."""
        upstream = self.upstream()
        return self._is_aggregator() and not self._answering_aggregator(upstream)

    def _higher_ranked_aggregators(self) -> list[entries.Entry]:
        own = self.entry_list.own
        ranked = self._aggregators.get(own.zone, [])
        return ranked[: ranked.index(own)] if own in ranked else ranked

    def _answering_aggregator(self, aggregators: list[entries.Entry]) -> entries.Entry | None:
        """Return the last aggregator of :meth:`upstream` if it answers, else None."""
        if not aggregators:
            return None
        candidate = aggregators[-1]
        age_s = trio.current_time() - self._last_digest_s.get(candidate.entry, float("-inf"))
        return candidate if age_s < AGGREGATOR_TIMEOUT_S else None

    def _refresh_aggregators(self) -> None:
        if self._aggregators_version != self.entry_list.version:
            self._aggregators_version = self.entry_list.version
            self._aggregators = hierarchy.aggregators(
                self.entry_list.own, self.entry_list.others(), self.entry_list.is_stopping
            )
            if not self._is_aggregator():
                self._forget_reports()

    def _is_aggregator(self) -> bool:
        own = self.entry_list.own
        return own in self._aggregators.get(own.zone, ())

    def _forget_reports(self) -> None:
        # The digests of this entry's aggregator include what other entries of the zone report.
        for name in self._last_report_s:
            self._remove_source(name)
        self._last_report_s.clear()

    async def _send(self, socket: trio.socket.SocketType) -> None:
        while True:
            if not self._is_urgent:
                await self._wake_signal.wait(self._next_interval_s() * self.rng.uniform(0.9, 1.1))
            is_urgent, self._is_urgent = self._is_urgent, False
            self.notice_builder.start_round()
            upstream = self.upstream()
            if upstream:
                counts = self.load_tracker.local_counts()
                self._has_reported_load = bool(counts)
                recent = self.rate_limiter.counts.local(self.notice_builder.own_counts())
                report = self.notice_builder.build(
                    notices.Kind.REPORT, counts, recent, is_upward=True
                )
                await self._send_to(socket, notices.Kind.REPORT, report, upstream)
            if self.is_active_aggregator:
                await self._send_summary(socket, is_urgent)
            if is_urgent:
                await self._send_digests(socket)

    def _next_interval_s(self) -> float:
        if (
            self.is_active_aggregator
            or self.load_tracker.own_counts
            or self._has_reported_load
            or not self.load_tracker.is_settled
        ):
            return self._interval_s
        # The first request in flight ends the wait.
        return max(self._interval_s, IDLE_REPORT_INTERVAL_S)

    async def _send_summary(self, socket: trio.socket.SocketType, is_urgent: bool) -> None:
        now_s = trio.current_time()
        if not is_urgent and now_s - self._last_summary_s < SUMMARY_INTERVAL_S:
            return
        self._last_summary_s = now_s
        self._summary_count += 1
        receivers = []
        for zone, ranked in self._aggregators.items():
            if zone != self.entry_list.own.zone:
                receivers += ranked if is_urgent else [ranked[self._summary_count % len(ranked)]]
        if receivers:
            counts = self.load_tracker.local_counts()
            recent = self.rate_limiter.counts.local(self.notice_builder.own_counts())
            summary = self.notice_builder.build(
                notices.Kind.SUMMARY, counts, recent, is_upward=True
            )
            await self._send_to(socket, notices.Kind.SUMMARY, summary, receivers)

    async def _send_digests(self, socket: trio.socket.SocketType) -> None:
        oldest_s = trio.current_time() - REPORT_VALIDITY_S
        by_name = {entry.entry: entry for entry in self.entry_list.others()}
        for name, reported_s in list(self._last_report_s.items()):
            if reported_s < oldest_s or name not in by_name:
                self._last_report_s.pop(name, None)
                continue
            await self._send_digest(socket, by_name[name])

    async def _send_digest(self, socket: trio.socket.SocketType, receiver: entries.Entry) -> None:
        counts = self.load_tracker.counts_without(receiver.entry)
        recent = self.rate_limiter.counts.without(receiver.entry, self.notice_builder.own_counts())
        digest = self.notice_builder.build(notices.Kind.DIGEST, counts, recent, is_upward=False)
        await self._send_to(socket, notices.Kind.DIGEST, digest, [receiver])

    async def _receive(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await socket.recvfrom(notices.DATAGRAM_LIMIT_BYTES)
            except OSError as error:
                # An ICMP error for a datagram sent earlier is raised by the next socket call.
                if error.errno not in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH):
                    raise
                continue
            await supervision.run(self._handle_datagram_and_reply, socket, data)

    async def _handle_datagram_and_reply(self, socket: trio.socket.SocketType, data: bytes) -> None:
        sender = self._handle_datagram(data)
        if sender is not None:
            await self._send_digest(socket, sender)

    def _handle_datagram(self, data: bytes) -> entries.Entry | None:
        """Process a datagram; return the sender if it must be sent a digest, else None."""
        try:
            notice = notices.decode(data)
        except notices.NoticeError as error:
            self._warn_once("unreadable", str(error))
            return None
        sender = self.entry_list.find(notice.entry, notice.boot)
        if sender is not None:
            self._merge_states(sender, notice)
            return self._merge_counts(sender, notice, len(data))
        departed = self.entry_list.find_departed(notice.entry, notice.boot)
        if departed is not None:
            # A stopping entry still serves callers, and only hears of others in a digest.
            self._merge_states(departed, notice)
            return None if notice.kind is notices.Kind.DIGEST else departed
        self._warn_once(f"{notice.entry}/{notice.boot}", "the sender is not in the list of entries")
        return None

    def _merge_states(self, sender: entries.Entry, notice: notices.Notice) -> None:
        for report in notice.crash_reports:
            self.crash_tracker.merge(report, sender.entry)
        for key, age_s in notice.sound.items():
            self.crash_tracker.merge_sound(key, age_s, sender.entry)
        for limit in notice.limits:
            self.rate_limiter.limit_table.merge(limit, sender.entry)
        for server in notice.draining:
            self.draining_table.merge(server, sender.entry)
        if self.server_trials is not None:
            for suspension in notice.suspended:
                self.server_trials.merge(suspension, sender.entry)
        if self.server_speed is not None:
            for slow_server in notice.slow:
                self.server_speed.merge(slow_server)
        self._handle_silence_reports(notice)

    def _merge_counts(
        self, sender: entries.Entry, notice: notices.Notice, size_bytes: int
    ) -> entries.Entry | None:
        """Process the counts of a notice; return the sender if it must be sent a digest."""
        match notice.kind:
            case notices.Kind.REPORT:
                self._refresh_aggregators()
                if not self._is_aggregator():
                    # The sender does not know yet, and may be the one that this entry reports to:
                    # each would add up what the other has got from it.
                    return None
                self._last_report_s[sender.entry] = trio.current_time()
                self._update_source(sender.entry, notice, is_local=True)
                return sender
            case notices.Kind.DIGEST:
                self._handle_digest(sender, notice, size_bytes)
            case notices.Kind.SUMMARY:
                self._handle_summary(sender, notice)
        return None

    def _handle_digest(
        self, sender: entries.Entry, notice: notices.Notice, size_bytes: int
    ) -> None:
        self._last_digest_s[sender.entry] = trio.current_time()
        if self._answering_aggregator(self.upstream()) != sender:
            return
        interval_s = size_bytes / MAX_CONTROL_BYTES_PER_S
        self._interval_s = min(MAX_REPORT_INTERVAL_S, max(REPORT_INTERVAL_S, interval_s))
        self._update_source(UPSTREAM_SOURCE, notice)

    def _handle_summary(self, sender: entries.Entry, notice: notices.Notice) -> None:
        if sender.zone == self.entry_list.own.zone:
            return
        if self.is_active_aggregator:
            self._remove_source(UPSTREAM_SOURCE)
            self._update_source(f"zone {sender.zone}", notice)
        else:
            # The aggregator's digest includes the other zones.
            self._remove_source(f"zone {sender.zone}")

    def _update_source(self, source: str, notice: notices.Notice, is_local: bool = False) -> None:
        self.load_tracker.update_source(source, notice.in_flight, REPORT_VALIDITY_S, is_local)
        self.rate_limiter.counts.update_source(source, notice.recent, REPORT_VALIDITY_S, is_local)

    def _remove_source(self, source: str) -> None:
        self.load_tracker.remove_source(source)
        self.rate_limiter.counts.remove_source(source)

    def _handle_silence_reports(self, notice: notices.Notice) -> None:
        is_local = notice.kind is notices.Kind.REPORT
        for server_id, reporter in notice.silent.items():
            if self._silence_reports.record(server_id, reporter, is_local):
                self.on_silent(server_id, reporter)
                if is_local or self._last_report_s:
                    self._request_urgent_send()

    def _request_urgent_send(self) -> None:
        self._is_urgent = True
        self._wake_signal.notify_all()

    def _warn_once(self, key: str, message: str) -> None:
        # Once per sender, so that a peer that repeats an invalid notice does not flood the log.
        if key in self._warned_senders:
            return
        if len(self._warned_senders) < MAX_WARNED_SENDERS:
            self._warned_senders.add(key)
            LOGGER.warning("ignored a notice (%s): %s", key, message)

    async def _send_to(
        self,
        socket: trio.socket.SocketType,
        kind: notices.Kind,
        data: bytes,
        receivers: list[entries.Entry],
    ) -> None:
        for entry in receivers:
            host, _, port = entry.exchange_address.rpartition(":")
            try:
                await socket.sendto(data, (host, int(port)))
            except OSError as error:
                LOGGER.debug("could not send a notice to entry %s: %s", entry.entry, error)
            self.sent_bytes[kind, entry.zone != self.entry_list.own.zone] += len(data)
