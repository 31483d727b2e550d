"""Load and findings, exchanged between entries by datagram.

Each entry reports to an aggregator of its availability zone and gets a digest of all others in
return. Aggregators send each other summaries of their zones. So the datagrams that an entry sends
and receives do not grow with the number of entries, and few of them cross zones, which is paid for.

Late counts are worth nothing and the next ones follow at once, so nothing is sent twice or waits
behind a lost packet.
"""

from __future__ import annotations

import collections
import collections.abc
import errno
import logging
import random

import attrs
import trio

from toucanhold import notifier
from toucanhold.gateway import crashes, entries, findings, hierarchy, load, notices

REPORT_INTERVAL_S = 0.1
# Summaries go to the two aggregators of each other zone in turn.
SUMMARY_INTERVAL_S = 0.15
# Control traffic of an entry; where digests are long, reports are sent less often.
CONTROL_BYTES_PER_S = 8000
MAX_REPORT_INTERVAL_S = 0.3
# An aggregator that leaves reports unanswered for so long is passed over: it may be dead, paused
# or cut off.
ANSWER_LIMIT_S = 0.7
# What an entry reported counts for so long; one that died has nothing in flight.
VALID_S = 1.0
CRASHES_LIMIT = 16
# Old counts of lost connections are repeated in one notice out of so many, for restarted entries.
FULL_CRASHES_EVERY = 10
RECENT_CRASH_S = 3.0
MAX_WARNED = 1000
UPSTREAM = "upstream"

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Exchange:
    """Sends what this entry knows, and takes in what others send.

    :ivar on_silent: called with a server that another entry found silent, and that entry's name
    :ivar sent_bytes: by kind of notice, and whether the receiver is in another availability zone
    """

    listed: entries.EntryList
    loads: load.LoadBoard
    crashes: crashes.CrashMemory
    on_silent: collections.abc.Callable[[str, str], None]
    rng: random.Random
    _urgent: notifier.Notifier = attrs.field(factory=notifier.Notifier, init=False)
    _is_urgent: bool = attrs.field(default=False, init=False)
    _findings: findings.Findings = attrs.field(factory=findings.Findings, init=False)
    _aggregators: dict[str, list[entries.Entry]] = attrs.field(factory=dict, init=False)
    _known_version: int = attrs.field(default=-1, init=False)
    _answered_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _reporters_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _interval_s: float = attrs.field(default=REPORT_INTERVAL_S, init=False)
    _summarized_s: float = attrs.field(default=0.0, init=False)
    _turn: int = attrs.field(default=0, init=False)
    _sent: int = attrs.field(default=0, init=False)
    _warned: set[str] = attrs.field(factory=set, init=False)
    sent_bytes: collections.Counter[tuple[notices.Kind, bool]] = attrs.field(
        factory=collections.Counter, init=False
    )

    @property
    def digest_age_s(self) -> float:
        """Age of the newest answer of an aggregator, in seconds; 0 where this entry is one."""
        newest_s = max(self._answered_s.values(), default=float("-inf"))
        return 0.0 if self.is_root else trio.current_time() - newest_s

    def note_silent(self, server_id: str) -> None:
        """Tell all others of a silent server at once."""
        # Until they know it, they go on sending to it, and their callers wait in vain.
        if self._findings.note(server_id, self.listed.own.entry, is_local=True):
            self._wake()

    async def run(self) -> None:
        """Send and receive until cancelled."""
        host, _, port = self.listed.own.exchange_address.rpartition(":")
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as socket:
            await socket.bind((host, int(port)))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, socket)
                nursery.start_soon(self._send, socket)

    def upstream(self) -> list[entries.Entry]:
        """Return the aggregators to report to: the first that answers, and those before it.

        Empty where this entry is the zone's first aggregator.
        """
        self._refresh_aggregators()
        now_s = trio.current_time()
        chosen = []
        for entry in self._superiors():
            chosen.append(entry)
            if now_s - self._answered_s.get(entry.entry, float("-inf")) < ANSWER_LIMIT_S:
                break
        return chosen

    @property
    def is_root(self) -> bool:
        """Whether this entry sums up its zone: an aggregator, and none before it answers."""
        upstream = self.upstream()
        own = self.listed.own
        return own in self._aggregators[own.zone] and not self._answering(upstream)

    def _superiors(self) -> list[entries.Entry]:
        own = self.listed.own
        ranked = self._aggregators.get(own.zone, [])
        return ranked[: ranked.index(own)] if own in ranked else ranked

    def _answering(self, chosen: list[entries.Entry]) -> entries.Entry | None:
        if not chosen:
            return None
        last = chosen[-1]
        age_s = trio.current_time() - self._answered_s.get(last.entry, float("-inf"))
        return last if age_s < ANSWER_LIMIT_S else None

    def _refresh_aggregators(self) -> None:
        if self._known_version != self.listed.version:
            self._known_version = self.listed.version
            self._aggregators = hierarchy.aggregators(self.listed.own, self.listed.others())

    async def _send(self, socket: trio.socket.SocketType) -> None:
        while True:
            if not self._is_urgent:
                await self._urgent.wait(self._interval_s * self.rng.uniform(0.9, 1.1))
            is_urgent, self._is_urgent = self._is_urgent, False
            self._sent += 1
            upstream = self.upstream()
            if upstream:
                report = self._notice(notices.Kind.REPORT, self.loads.local(), is_upward=True)
                await self._send_all(socket, notices.Kind.REPORT, report, upstream)
            if self.is_root:
                await self._send_summary(socket, is_urgent)
            if is_urgent:
                await self._send_digests(socket)

    async def _send_summary(self, socket: trio.socket.SocketType, is_urgent: bool) -> None:
        now_s = trio.current_time()
        if not is_urgent and now_s - self._summarized_s < SUMMARY_INTERVAL_S:
            return
        self._summarized_s = now_s
        self._turn += 1
        receivers = []
        for zone, ranked in self._aggregators.items():
            if zone != self.listed.own.zone:
                receivers += ranked if is_urgent else [ranked[self._turn % len(ranked)]]
        if receivers:
            summary = self._notice(notices.Kind.SUMMARY, self.loads.local(), is_upward=True)
            await self._send_all(socket, notices.Kind.SUMMARY, summary, receivers)

    async def _send_digests(self, socket: trio.socket.SocketType) -> None:
        oldest_s = trio.current_time() - VALID_S
        by_name = {entry.entry: entry for entry in self.listed.others()}
        for name, reported_s in list(self._reporters_s.items()):
            if reported_s < oldest_s or name not in by_name:
                del self._reporters_s[name]
                continue
            await self._send_digest(socket, by_name[name])

    async def _send_digest(self, socket: trio.socket.SocketType, to: entries.Entry) -> None:
        counts = self.loads.without(to.entry)
        digest = self._notice(notices.Kind.DIGEST, counts, is_upward=False)
        await self._send_all(socket, notices.Kind.DIGEST, digest, [to])

    def _notice(self, kind: notices.Kind, counts: dict[str, int], is_upward: bool) -> bytes:
        own = self.listed.own
        is_full = self._sent % FULL_CRASHES_EVERY == 0
        max_age_s = crashes.MEMORY_S if is_full else RECENT_CRASH_S
        return notices.encode(
            notices.Notice(
                kind,
                own.entry,
                own.boot,
                counts,
                self._findings.local() if is_upward else self._findings.all(),
                self.crashes.recent(CRASHES_LIMIT, max_age_s),
            )
        )

    async def _receive(self, socket: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await socket.recvfrom(notices.DATAGRAM_LIMIT_BYTES)
            except OSError as error:
                # A refused datagram comes back as an error of the next call.
                if error.errno not in (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH):
                    raise
                continue
            sender = self._take(data)
            if sender is not None:
                await self._send_digest(socket, sender)

    def _take(self, data: bytes) -> entries.Entry | None:
        """Take in a datagram; return the sender where it is owed a digest."""
        try:
            notice = notices.decode(data)
        except notices.NoticeError as error:
            self._warn("unreadable", str(error))
            return None
        sender = self.listed.find(notice.entry, notice.boot)
        if sender is None:
            self._warn(f"{notice.entry}/{notice.boot}", "a notice from an entry that is not listed")
            return None
        for mark, count in notice.crashes:
            self.crashes.merge(mark, count)
        self._take_findings(notice)
        match notice.kind:
            case notices.Kind.REPORT:
                self._reporters_s[sender.entry] = trio.current_time()
                self.loads.put(sender.entry, notice.in_flight, VALID_S, is_local=True)
                return sender
            case notices.Kind.DIGEST:
                self._take_digest(sender, notice, len(data))
            case notices.Kind.SUMMARY:
                self._take_summary(sender, notice)
        return None

    def _take_digest(self, sender: entries.Entry, notice: notices.Notice, size_bytes: int) -> None:
        self._answered_s[sender.entry] = trio.current_time()
        if self._answering(self.upstream()) != sender:
            return
        wanted_s = size_bytes / CONTROL_BYTES_PER_S
        self._interval_s = min(MAX_REPORT_INTERVAL_S, max(REPORT_INTERVAL_S, wanted_s))
        self.loads.put(UPSTREAM, notice.in_flight, VALID_S)

    def _take_summary(self, sender: entries.Entry, notice: notices.Notice) -> None:
        if sender.zone == self.listed.own.zone:
            return
        if self.is_root:
            self.loads.drop(UPSTREAM)
            self.loads.put(f"zone {sender.zone}", notice.in_flight, VALID_S)
        else:
            # The digest covers the other zones.
            self.loads.drop(f"zone {sender.zone}")

    def _take_findings(self, notice: notices.Notice) -> None:
        is_local = notice.kind is notices.Kind.REPORT
        for server_id, finder in notice.silent.items():
            if self._findings.note(server_id, finder, is_local):
                self.on_silent(server_id, finder)
                if is_local or self._reporters_s:
                    self._wake()

    def _wake(self) -> None:
        self._is_urgent = True
        self._urgent.notify_all()

    def _warn(self, key: str, text: str) -> None:
        # Once a sender: a peer in a loop must not fill the log.
        if key in self._warned:
            return
        if len(self._warned) < MAX_WARNED:
            self._warned.add(key)
            LOGGER.warning("a notice was passed over: %s: %s", key, text)

    async def _send_all(
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
                LOGGER.debug("notice to %s not sent: %s", entry.entry, error)
            self.sent_bytes[kind, entry.zone != self.listed.own.zone] += len(data)
