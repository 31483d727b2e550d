"""Records which backend servers are suspended; entries announce them to each other."""

from __future__ import annotations

import collections.abc
import math

import attrs
import trio

from toucanhold.registry import servers

# Key of the state: server ID, start of its process, epoch of its group.
Key = tuple[str, int, int]

# First time between a failure and the next trial; doubled with each further failure.
INITIAL_INTERVAL_S = 0.5
# The longest interval is 4 s: a dead head costs one caller a failed connection that often, and a
# server that has recovered is found within that time.
MAX_FAILURES = 4
MAX_VERSION = 2**31
# Changes are repeated to other entries for this long, as notices may be lost.
REPEAT_PERIOD_S = 2.0
# Suspensions that no trial has renewed for this long are no longer announced, and are forgotten
# later, so that entries do not keep passing each other those of groups that have ended.
ANNOUNCED_FOR_S = 30.0
RETENTION_S = 60.0
MAX_SUSPENSIONS = 4096


@attrs.frozen
class Suspension:
    """State of a server that refused requests, as entries announce it to each other.

    :ivar born_ms: start of the server's process
    :ivar epoch: epoch of its group; 0 without one
    :ivar version: grows with each change that any entry sees; the highest version is in force
    :ivar failures: consecutive failures, limited to ``MAX_FAILURES``; 0 after it served a request
    :ivar is_unreachable: whether the last failure was that no connection could be opened
    """

    server_id: str
    born_ms: int
    epoch: int
    version: int
    failures: int
    is_unreachable: bool = False

    @property
    def key(self) -> Key:
        """See :data:`Key`."""
        return self.server_id, self.born_ms, self.epoch

    @property
    def is_valid(self) -> bool:
        """Whether version and failures are within their bounds."""
        return 0 < self.version < MAX_VERSION and 0 <= self.failures <= MAX_FAILURES

    @property
    def interval_s(self) -> float:
        """Time from the last failure to the next trial."""
        return INITIAL_INTERVAL_S * 2 ** (self.failures - 1)

    def replaces(self, other: Suspension) -> bool:
        """Return whether this is a later state, or the stricter one of two of one version."""
        return (self.version, self.failures, self.is_unreachable) > (
            other.version,
            other.failures,
            other.is_unreachable,
        )


@attrs.frozen
class KnownSuspension:
    """A suspension as this entry knows it.

    :ivar changed_s: trio clock time at which this entry learned of this version
    :ivar since_s: trio clock time at which it learned that the server is suspended
    :ivar reported_by: entry that announced this version; empty if this entry made the change
    """

    suspension: Suspension
    changed_s: float
    since_s: float
    reported_by: str


def key_of(server: servers.Server) -> Key:
    """Return the key of a server's current process and group."""
    epoch = server.membership.epoch if server.membership is not None else 0
    return server.server_id, server.born_ms, epoch


@attrs.define(eq=False)
class SuspensionTable:
    """Suspended servers, and those whose suspension was lifted recently.

    :ivar on_change: called when a server is suspended or no longer suspended, with its new state
    """

    on_change: collections.abc.Callable[[KnownSuspension], None] = lambda known: None
    _known: dict[Key, KnownSuspension] = attrs.field(factory=dict, init=False)

    def find(self, server: servers.Server) -> KnownSuspension | None:
        """Return the suspension of a server, or None if it is not suspended."""
        known = self._known.get(key_of(server)) if self._known else None
        return known if known is not None and known.suspension.failures else None

    def lifted_s(self, server: servers.Server) -> float:
        """Return the trio clock time at which its suspension was lifted; -inf if it was not."""
        known = self._known.get(key_of(server)) if self._known else None
        is_lifted = known is not None and not known.suspension.failures
        return known.changed_s if is_lifted else -math.inf

    def suspended(self) -> list[Suspension]:
        """Return the suspensions in force."""
        return [known.suspension for known in self._known.values() if known.suspension.failures]

    def record_failure(self, key: Key, is_unreachable: bool, is_over: bool, sent_s: float) -> None:
        """Process that a server did not accept a request.

        :param is_over: whether its group will not serve again
        :param sent_s: trio clock time at which the request was sent
        """
        known = self._known.get(key)
        failures = known.suspension.failures if known is not None else 0
        # Of requests sent at about the same time, only the first one counts. Of those sent before a
        # trial was served, none does.
        is_outdated = known is not None and sent_s < known.changed_s
        if is_outdated and not (is_over and 0 < failures < MAX_FAILURES):
            return
        failures = MAX_FAILURES if is_over else min(MAX_FAILURES, failures + 1)
        self._change(key, failures, is_unreachable)

    def lift(self, key: Key) -> None:
        """End the suspension of a server, if it is suspended."""
        known = self._known.get(key)
        if known is not None and known.suspension.failures:
            self._change(key, 0, False)

    def merge(self, suspension: Suspension, entry: str) -> bool:
        """Process a state that another entry announces.

        :param entry: name of that entry
        :return: whether the state is new
        """
        known = self._known.get(suspension.key)
        if known is not None and not suspension.replaces(known.suspension):
            return False
        self._put(suspension, entry)
        return True

    def to_announce(self, is_full: bool) -> list[Suspension]:
        """Return the states to announce to other entries.

        :param is_full: whether to include all suspensions in force, besides recent changes
        """
        now_s = trio.current_time()
        return [
            known.suspension
            for known in self._known.values()
            if now_s - known.changed_s < REPEAT_PERIOD_S
            or (is_full and known.suspension.failures and now_s - known.changed_s < ANNOUNCED_FOR_S)
        ]

    def retain(self, is_known: collections.abc.Callable[[tuple[str, int]], bool]) -> None:
        """Forget servers that are gone and states that are no longer renewed."""
        now_s = trio.current_time()
        for key, known in list(self._known.items()):
            age_s = now_s - known.changed_s
            if age_s > RETENTION_S or (age_s > ANNOUNCED_FOR_S and not is_known(key[:2])):
                del self._known[key]

    def _change(self, key: Key, failures: int, is_unreachable: bool) -> None:
        known = self._known.get(key)
        version = known.suspension.version + 1 if known is not None else 1
        # A notice with a garbled version must not make this entry's own notices invalid.
        version = min(version, MAX_VERSION - 1)
        self._put(Suspension(*key, version, failures, is_unreachable), "")

    def _put(self, suspension: Suspension, entry: str) -> None:
        previous = self._known.pop(suspension.key, None)
        if len(self._known) >= MAX_SUSPENSIONS:
            del self._known[next(iter(self._known))]
        now_s = trio.current_time()
        was_suspended = previous is not None and previous.suspension.failures > 0
        since_s = previous.since_s if was_suspended else now_s
        known = KnownSuspension(suspension, now_s, since_s, entry)
        self._known[suspension.key] = known
        if was_suspended != (suspension.failures > 0):
            self.on_change(known)
