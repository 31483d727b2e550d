"""Bounds that all entries keep together, of which each uses its part."""

from __future__ import annotations

import collections
import collections.abc

import attrs
import trio

from toucanhold.gateway import entries, sharing
from toucanhold.registry import servers

BUCKETS = 10
# The part of the bound that entries use: their counts begin and end at different moments, and
# entries that come and go briefly change the parts.
USED_PART = 0.7


@attrs.define
class _Window:
    """Counts by moment over a sliding window."""

    bucket_s: float
    _counts: collections.deque[list[float]] = attrs.field(factory=collections.deque)

    def add(self) -> None:
        number = trio.current_time() // self.bucket_s
        if not self._counts or self._counts[-1][0] != number:
            self._counts.append([number, 0])
        self._counts[-1][1] += 1

    def total(self) -> float:
        oldest = trio.current_time() // self.bucket_s - BUCKETS
        while self._counts and self._counts[0][0] < oldest:
            self._counts.popleft()
        return sum(count for _, count in self._counts)


@attrs.frozen
class RetryBound:
    """Repeats that a service bears: a share of its requests, and some more."""

    ratio: float
    slack: float
    window_s: float


@attrs.define(eq=False)
class RetryBudget:
    """This entry's part of the repeats to each service.

    :ivar share: returns this entry's part of all callers
    """

    bound: RetryBound
    share: collections.abc.Callable[[], float]
    _requests: dict[str, _Window] = attrs.field(factory=dict, init=False)
    _repeats: dict[str, _Window] = attrs.field(factory=dict, init=False)

    def note_request(self, service: str) -> None:
        """Count a caller's request."""
        self._window(self._requests, service).add()

    def take(self, service: str) -> bool:
        """Use one repeat, or tell that there is none left."""
        if not self.is_left(service):
            return False
        self._window(self._repeats, service).add()
        return True

    def is_left(self, service: str) -> bool:
        """Tell whether a repeat is left."""
        repeats = self._window(self._repeats, service).total()
        requests = self._window(self._requests, service).total()
        slack = self.bound.slack * self.share()
        return repeats + 1 <= USED_PART * (self.bound.ratio * requests + slack)

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        if service not in windows:
            windows[service] = _Window(self.bound.window_s / BUCKETS)
        return windows[service]


@attrs.define(eq=False)
class ColdBudget:
    """This entry's part of the requests that cold servers bear in a second.

    :ivar overage: factor on what a server says that it bears
    :ivar slack: requests a second beyond that, over all entries
    :ivar listed: the entries that share the bound
    """

    overage: float
    slack: float
    listed: entries.EntryList
    _quotas: dict[tuple[str, float], int] = attrs.field(factory=dict, init=False)
    _version: int = attrs.field(default=-1, init=False)
    _sent_s: dict[str, collections.deque[float]] = attrs.field(factory=dict, init=False)

    def may_send(self, server: servers.Server, bears_per_s: float) -> bool:
        """Tell whether one more request may go to a cold server."""
        total = USED_PART * (bears_per_s * self.overage + self.slack)
        return len(self._recent(server.server_id)) < self._quota(server, total)

    def note(self, server_id: str) -> None:
        """Count a request that is sent to a cold server."""
        self._recent(server_id).append(trio.current_time())

    def _quota(self, server: servers.Server, total: float) -> int:
        if self._version != self.listed.version:
            self._version = self.listed.version
            self._quotas.clear()
        key = server.server_id, total
        if key not in self._quotas:
            self._quotas[key] = self._new_quota(server, total)
        return self._quotas[key]

    def _new_quota(self, server: servers.Server, total: float) -> int:
        # Most requests reach a server from entries of its zone.
        own, others = self.listed.own, self.listed.others()
        near = [entry for entry in others if entry.zone == server.zone]
        if own.zone == server.zone:
            return sharing.quota(total, server.server_id, own, near)
        return 0 if near else sharing.quota(total, server.server_id, own, others)

    def _recent(self, server_id: str) -> collections.deque[float]:
        sent = self._sent_s.setdefault(server_id, collections.deque())
        while sent and sent[0] < trio.current_time() - 1.0:
            sent.popleft()
        return sent
