"""Detects heads whose streams have all stopped sending events."""

from __future__ import annotations

import collections
import collections.abc
import logging
import math

import attrs
import trio

from toucanhold import events, notifier, supervision
from toucanhold.gateway import health, server_links

MIN_CHECK_INTERVAL_S = 0.02
# Time by which a check may be late because this process was paused or busy. What servers sent
# meanwhile is not read yet, so nothing is concluded from that check, nor until it has been read.
MAX_CHECK_DELAY_S = 0.04
# Reading it takes as long as the pause at most, and no longer than this.
MAX_CATCH_UP_S = 0.2
# Streams of healthy heads pause for less with every engine, unless long prompts are prefilled
# between their steps.
STARTED_SILENCE_S = 0.2
# Network delay between a head and the entry, on top of a healthy head's longest pause.
TRANSIT_DELAY_S = 0.03
# Groups that span domains and slow servers pause for longer between events. A head is considered
# silent only after this multiple of its own mean pause. Otherwise every long prompt at a head would
# move all its streams, and with them the load that made it slow.
MEAN_PAUSE_FACTOR = 4.0
# Callers abandon a stream after about twice this, even if the engine's figures allow longer pauses.
MAX_STARTED_SILENCE_S = 1.0
# Weight of the newest pause in the moving average, which covers about ten events, or half a second
# of one stream.
EWMA_WEIGHT = 0.1
# Before its first event, a request may also be queued at the server, for longer if all slots are in
# use. Callers wait for two seconds or more.
FIRST_EVENT_SILENCE_S = 0.7
QUEUED_FIRST_EVENT_SILENCE_S = 1.5
# Silence that is sufficient after another entry has reported the server. With sixty entries, most
# have at most one stream at a head, and it has not started yet.
CONFIRMED_SILENCE_S = 0.15
# The same for heads with longer pauses, as a fraction of their longest pause. With a smaller
# fraction, two entries that mistake one long pause for silence would confirm each other.
CONFIRMED_PAUSE_FRACTION = 0.7
# Time for which another entry's report is valid and the reported server is avoided.
CONFIRMATION_VALIDITY_S = 1.0
# Time for any other server to send something, which shows that this entry's own links work.
MAX_UNCONFIRMED_S = 0.5

# Other quiet servers from which on a pause of all is likelier than as many failures.
MIN_QUIET_SERVERS = 3
# Part of a server's silence for which others must have been silent too, to be as doubtful.
QUIET_FRACTION = 0.5

LOGGER = logging.getLogger(__name__)


@attrs.define
class _PauseEstimate:
    """Moving average of the pauses between events of all streams at one server."""

    mean_s: float = STARTED_SILENCE_S / MEAN_PAUSE_FACTOR

    def record(self, pause_s: float) -> None:
        self.mean_s += EWMA_WEIGHT * (pause_s - self.mean_s)

    def silence_limit_s(self, longest_pause_s: float) -> float:
        min_limit_s = max(STARTED_SILENCE_S, longest_pause_s + TRANSIT_DELAY_S)
        return min(MAX_STARTED_SILENCE_S, max(min_limit_s, MEAN_PAUSE_FACTOR * self.mean_s))


@attrs.frozen
class Silence:
    """What is known when a server is found silent.

    :ivar silent_s: time since the server sent anything
    :ivar heard_servers: IDs of other servers whose streams have sent something in the last part of
        that time
    :ivar quiet_servers: IDs of other servers whose streams have not
    """

    silent_s: float
    heard_servers: frozenset[str] = frozenset()
    quiet_servers: frozenset[str] = frozenset()

    @property
    def is_widespread(self) -> bool:
        """Whether servers without streams here may well be silent too."""
        return len(self.quiet_servers) >= MIN_QUIET_SERVERS

    @property
    def may_be_general(self) -> bool:
        """Whether it may be this entry's links, or a pause of all servers."""
        return self.is_widespread and not self.heard_servers


@attrs.define(eq=False)
class WatchedStream:
    """A stream from a server, monitored for silence.

    :ivar on_silent: called at each check at which the server is silent
    :ivar longest_pause_s: longest pause between two events of a healthy head that prefills long
        prompts between them; 0 if unknown
    :ivar is_behind_others: whether the server may admit many other requests first
    :ivar has_started: whether the server has sent anything
    :ivar last_activity_s: trio clock time of the last data, or of the request before the first
    """

    server_id: str
    on_silent: collections.abc.Callable[[Silence], None]
    longest_pause_s: float = 0.0
    is_behind_others: bool = False
    has_started: bool = False
    last_activity_s: float = attrs.field(factory=trio.current_time)
    _pause_estimate: _PauseEstimate | None = None
    _on_event: collections.abc.Callable[[str], None] | None = None

    def record_event(self) -> None:
        """Record that the server has sent data."""
        now_s = trio.current_time()
        if self.has_started and self._pause_estimate is not None:
            self._pause_estimate.record(now_s - self.last_activity_s)
        self.has_started = True
        self.last_activity_s = now_s
        if self._on_event is not None:
            self._on_event(self.server_id)

    def attach(
        self,
        pause_estimate: _PauseEstimate,
        on_event: collections.abc.Callable[[str], None],
    ) -> None:
        """Add this stream's pauses to the estimate of its server.

        :param on_event: called with the server's ID whenever it has sent something
        """
        self._pause_estimate = pause_estimate
        self._on_event = on_event


@attrs.define(eq=False)
class SilenceDetector:
    """Monitors all streams of this entry.

    A group that has lost a member still accepts requests but makes no progress. Its registration
    shows this only seconds later. Its streams show it within a third of a second, at no cost.

    False positives cascade: the streams of a healthy head that is considered silent restart on
    other heads, which prefill the prompts again, pause for longer themselves, and are considered
    silent next.

    If the links of this entry are cut, all its streams stop as well. A silent server is therefore
    avoided and reported only once another server has sent something.

    :ivar on_silent: called with the ID of a server that has fallen silent
    :ivar own_links: the links of this entry to the servers; None if they are not tracked
    """

    health: health.Health
    on_silent: collections.abc.Callable[[str], None]
    own_links: server_links.ServerLinks | None = None
    _pause_estimates: dict[str, _PauseEstimate] = attrs.field(factory=dict, init=False)
    _confirmed_until_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _unconfirmed_since_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _silent_since_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _caught_up_s: float = attrs.field(default=-math.inf, init=False)
    _check_requested: notifier.Notifier = attrs.field(factory=notifier.Notifier, init=False)
    _streams: dict[str, list[WatchedStream]] = attrs.field(
        factory=lambda: collections.defaultdict(list), init=False
    )

    def add(self, stream: WatchedStream) -> None:
        """Start monitoring a stream."""
        stream.attach(
            self._pause_estimates.setdefault(stream.server_id, _PauseEstimate()),
            self._record_event,
        )
        if not self._streams:
            self._check_requested.notify_all()
        self._streams[stream.server_id].append(stream)

    def remove(self, stream: WatchedStream) -> None:
        """Stop monitoring a stream."""
        streams = self._streams[stream.server_id]
        streams.remove(stream)
        if not streams:
            del self._streams[stream.server_id]
            self._silent_since_s.pop(stream.server_id, None)

    def confirm(self, server_id: str, entry: str) -> bool:
        """Process another entry's report that a server is silent.

        :param entry: name of the reporting entry
        :return: False if this entry has received events from the server recently, so that the
            report is ignored
        """
        now_s = trio.current_time()
        streams = self._streams.get(server_id, ())
        silence_limit_s = _confirmed_silence_limit_s(streams)
        if any(
            stream.has_started and now_s - stream.last_activity_s < silence_limit_s
            for stream in streams
        ):
            return False
        self.health.avoid(
            server_id, f"entry {entry} reported the server as silent", CONFIRMATION_VALIDITY_S
        )
        self._confirmed_until_s[server_id] = now_s + CONFIRMATION_VALIDITY_S
        self._check_requested.notify_all()
        return True

    async def run(self) -> None:
        """Check the streams when a server may have been silent for too long, until cancelled."""
        while True:
            check_at_s = max(self._next_check_s(), self._caught_up_s)
            await self._check_requested.wait(check_at_s - trio.current_time())
            now_s = trio.current_time()
            if now_s >= check_at_s + MAX_CHECK_DELAY_S:
                self._ignore_pause(now_s, now_s - check_at_s)
            elif now_s >= self._caught_up_s:
                self._check_streams(now_s)
                self._confirm_silent_servers(now_s)

    def _ignore_pause(self, now_s: float, pause_s: float) -> None:
        self._caught_up_s = now_s + min(pause_s, MAX_CATCH_UP_S)
        for server_id in self._unconfirmed_since_s:
            self._unconfirmed_since_s[server_id] += pause_s

    def _next_check_s(self) -> float:
        """Return the trio clock time before which no server can be considered silent."""
        now_s = trio.current_time()
        if self._unconfirmed_since_s:
            return now_s + MIN_CHECK_INTERVAL_S
        if not self._streams:
            return math.inf
        # No limit is shorter, so a stream that is added meanwhile is checked in time.
        next_check_s = now_s + CONFIRMED_SILENCE_S
        for server_id, streams in self._streams.items():
            limit_s = self._silence_limit_s(server_id, streams, now_s)
            next_check_s = min(next_check_s, _last_activity_s(streams) + limit_s)
        return max(next_check_s, now_s + MIN_CHECK_INTERVAL_S)

    def _check_streams(self, now_s: float) -> None:
        silent_servers = {}
        for server_id, streams in self._streams.items():
            silent_s = now_s - _last_activity_s(streams)
            if silent_s > self._silence_limit_s(server_id, streams, now_s):
                silent_servers[server_id] = silent_s
        if not silent_servers:
            return
        last_heard_s = {
            server_id: _last_activity_s(streams)
            for server_id, streams in self._streams.items()
            if any(stream.has_started for stream in streams)
        }
        for server_id, silent_s in silent_servers.items():
            self._handle_silent_server(server_id, silent_s, last_heard_s)

    def _silence_limit_s(self, server_id: str, streams: list[WatchedStream], now_s: float) -> float:
        if self._confirmed_until_s.get(server_id, 0.0) > now_s:
            return _confirmed_silence_limit_s(streams)
        if any(stream.has_started for stream in streams):
            return self._pause_estimates[server_id].silence_limit_s(_longest_pause_s(streams))
        if all(stream.is_behind_others for stream in streams):
            return QUEUED_FIRST_EVENT_SILENCE_S
        return FIRST_EVENT_SILENCE_S

    def _handle_silent_server(
        self, server_id: str, silent_s: float, last_heard_s: dict[str, float]
    ) -> None:
        streams = self._streams[server_id]
        now_s = trio.current_time()
        self._silent_since_s.setdefault(server_id, now_s - silent_s)
        is_known = self.health.is_avoided(server_id) or server_id in self._unconfirmed_since_s
        if not is_known:
            events.log(
                LOGGER,
                events.Event.HEAD_SILENT,
                server=server_id,
                streams=len(streams),
                silent_s=round(silent_s, 3),
                usual_s=round(self._pause_estimates[server_id].mean_s, 3),
            )
            self._unconfirmed_since_s[server_id] = now_s
        heard_since_s = now_s - QUIET_FRACTION * silent_s
        others = {name: heard_s for name, heard_s in last_heard_s.items() if name != server_id}
        heard = frozenset(name for name, heard_s in others.items() if heard_s >= heard_since_s)
        silence = Silence(silent_s, heard, frozenset(others) - heard)
        for stream in list(streams):
            supervision.call(stream.on_silent, silence)

    def _record_event(self, server_id: str) -> None:
        since_s = self._silent_since_s.pop(server_id, None)
        if since_s is None:
            return
        self._unconfirmed_since_s.pop(server_id, None)
        self.health.stop_avoiding(server_id)
        silent_s = round(trio.current_time() - since_s, 3)
        events.log(LOGGER, events.Event.HEAD_RESUMED, server=server_id, silent_s=silent_s)

    def _confirm_silent_servers(self, now_s: float) -> None:
        for server_id, since_s in list(self._unconfirmed_since_s.items()):
            is_expired = now_s - since_s > MAX_UNCONFIRMED_S
            is_confirmed = self._has_sign_of_others(server_id, since_s, is_expired)
            if not is_confirmed and not is_expired:
                continue
            del self._unconfirmed_since_s[server_id]
            if is_confirmed and not self._has_resumed(server_id, since_s):
                self.health.avoid(server_id, "all streams of the server are silent")
                self._confirmed_until_s.pop(server_id, None)
                self.on_silent(server_id)

    def _has_sign_of_others(self, server_id: str, since_s: float, is_expired: bool) -> bool:
        """Return whether another server was heard from, or at least no link seems to be cut."""
        if self.own_links is None or self.own_links.has_sign_of_others(server_id, since_s):
            return True
        return is_expired and not self.own_links.has_failed_with_others(server_id)

    def _has_resumed(self, server_id: str, since_s: float) -> bool:
        streams = self._streams.get(server_id, ())
        return any(stream.last_activity_s > since_s and stream.has_started for stream in streams)


def _last_activity_s(streams: list[WatchedStream]) -> float:
    """Return when the server last sent anything, or got a request if it has sent nothing."""
    started = [stream for stream in streams if stream.has_started]
    return max(stream.last_activity_s for stream in started or streams)


def _longest_pause_s(streams: collections.abc.Iterable[WatchedStream]) -> float:
    return max((stream.longest_pause_s for stream in streams), default=0.0)


def _confirmed_silence_limit_s(streams: collections.abc.Iterable[WatchedStream]) -> float:
    longest_s = min(MAX_STARTED_SILENCE_S, _longest_pause_s(streams))
    return max(CONFIRMED_SILENCE_S, CONFIRMED_PAUSE_FRACTION * longest_s)
