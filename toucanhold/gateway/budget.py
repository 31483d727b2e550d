"""Limits that all entries share; each entry enforces its own share of them."""

from __future__ import annotations

import collections
import collections.abc
import enum
import logging

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import calls, entries, sharing
from toucanhold.registry import servers

BUCKETS_PER_WINDOW = 10
# Fraction of a limit that entries use. The rest is headroom, because the entries' windows are not
# aligned and shares are briefly inconsistent while entries join or leave.
USABLE_FRACTION = 0.7
# Fraction of the retry limit that is left to requests whose failed attempt was a trial.
TRIAL_FRACTION = 0.85

LOGGER = logging.getLogger(__name__)


@attrs.define
class _SlidingWindow:
    """Number of events in a sliding window, counted in buckets.

    :ivar bucket_s: length of a bucket; a window has ``BUCKETS_PER_WINDOW``
    """

    bucket_s: float
    _counts: collections.deque[list[float]] = attrs.field(factory=collections.deque)

    def add(self) -> None:
        bucket = trio.current_time() // self.bucket_s
        if not self._counts or self._counts[-1][0] != bucket:
            self._counts.append([bucket, 0])
        self._counts[-1][1] += 1

    def total(self) -> float:
        oldest = trio.current_time() // self.bucket_s - BUCKETS_PER_WINDOW
        while self._counts and self._counts[0][0] < oldest:
            self._counts.popleft()
        return sum(count for _, count in self._counts)


@attrs.frozen
class RetryBound:
    """Retries that a service tolerates over all entries.

    :ivar ratio: retries allowed per request
    :ivar slack: retries allowed in addition in each window
    :ivar window_s: length of the window
    """

    ratio: float
    slack: float
    window_s: float


@attrs.frozen
class RetryUse:
    """What an entry believes of a service's retries when it decides about one.

    :ivar share: this entry's share of all callers
    :ivar requests: requests of this entry's callers in the window
    :ivar retries: retries of this entry in the window
    :ivar allowed: most retries that this entry may have in the window
    """

    share: float
    requests: float
    retries: float
    allowed: float


class RetryCause(enum.Enum):
    """Why a request is sent to another server."""

    REFUSED = "refused"
    CONNECTION_LOST = "connection lost"
    ANSWER_LOST = "answer lost"


def retry_cause(error: calls.ExchangeError) -> RetryCause:
    """Return why a request is sent again after an attempt failed."""
    if isinstance(error, calls.NotRunError):
        return RetryCause.REFUSED
    if isinstance(error, calls.ResponseLostError) and error.is_connection_lost:
        return RetryCause.CONNECTION_LOST
    return RetryCause.ANSWER_LOST


@attrs.define(eq=False)
class Retry:
    """A retry that the budget allowed.

    :ivar believed: what the entry believed when it was allowed
    """

    retry_budget: RetryBudget
    service: str
    cause: RetryCause
    believed: RetryUse

    def log(self, request_id: str, server_id: str, is_sent: bool) -> None:
        """Log that the request is sent by this retry, or that no connection could be opened.

        It is logged before it is sent, so that the retries of a process that is killed are known.
        """
        events.log(
            LOGGER,
            events.Event.RETRY_SENT if is_sent else events.Event.RETRY_NOT_SENT,
            request_id=request_id,
            service=self.service,
            server=server_id,
            cause=self.cause.value,
            share=round(self.believed.share, 4),
            requests=self.believed.requests,
            retries=self.believed.retries,
            allowed=round(self.believed.allowed, 1),
        )

    def record_sent(self) -> None:
        """Record that a server has received the request by this retry, or may have."""
        self.retry_budget.sent_counts[self.service, self.cause] += 1


@attrs.define(eq=False)
class RetryBudget:
    """Limits this entry's retries to its share of each service's retry limit.

    :ivar share: returns this entry's share of all callers, from 0 to 1
    :ivar sent_counts: number of retries that were sent, by service and cause
    """

    bound: RetryBound
    share: collections.abc.Callable[[], float]
    sent_counts: collections.Counter[tuple[str, RetryCause]] = attrs.field(
        factory=collections.Counter, init=False
    )
    _requests: dict[str, _SlidingWindow] = attrs.field(factory=dict, init=False)
    _retries: dict[str, _SlidingWindow] = attrs.field(factory=dict, init=False)

    def record_request(self, service: str) -> None:
        """Count a request from a caller."""
        self._window(self._requests, service).add()

    def try_acquire(self, service: str, is_trial: bool = False) -> bool:
        """Consume one retry and return True, or return False if none is left.

        :param is_trial: whether the failed attempt was a trial at a suspended server. Its request
            served all callers, so it may also use a part of the headroom.
        """
        if not self._is_within(service, is_trial):
            return False
        self._window(self._retries, service).add()
        return True

    def has_remaining(self, service: str) -> bool:
        """Return whether a retry is left, without consuming it."""
        return self._is_within(service, is_trial=False)

    def use(self, service: str, is_trial: bool = False) -> RetryUse:
        """Return what this entry believes of the retries of a service.

        :param is_trial: see :meth:`try_acquire`
        """
        fraction = TRIAL_FRACTION if is_trial else USABLE_FRACTION
        requests = self._window(self._requests, service).total()
        share = self.share()
        return RetryUse(
            share,
            requests,
            self._window(self._retries, service).total(),
            fraction * (self.bound.ratio * requests + self.bound.slack * share),
        )

    def _is_within(self, service: str, is_trial: bool) -> bool:
        use = self.use(service, is_trial)
        return use.retries + 1 <= use.allowed

    def _window(self, windows: dict[str, _SlidingWindow], service: str) -> _SlidingWindow:
        if service not in windows:
            windows[service] = _SlidingWindow(self.bound.window_s / BUCKETS_PER_WINDOW)
        return windows[service]


@attrs.define(eq=False)
class ColdBudget:
    """Limits the requests per second that this entry sends to each cold server.

    :ivar overage: factor on the rate that a cold server tolerates
    :ivar slack: requests per second allowed in addition, over all entries
    :ivar entry_list: entries that share the limit
    """

    overage: float
    slack: float
    entry_list: entries.EntryList
    _quotas: dict[tuple[str, float], int] = attrs.field(factory=dict, init=False)
    _version: int = attrs.field(default=-1, init=False)
    _sent_times_s: dict[str, collections.deque[float]] = attrs.field(factory=dict, init=False)

    def may_send(self, server: servers.Server, max_requests_per_s: float) -> bool:
        """Return whether one more request may be sent to a cold server.

        :param max_requests_per_s: rate that the server tolerates from all entries together
        """
        total = USABLE_FRACTION * (max_requests_per_s * self.overage + self.slack)
        return len(self._recent_sends(server.server_id)) < self._quota(server, total)

    def record_request(self, server_id: str) -> None:
        """Count a request sent to a cold server."""
        self._recent_sends(server_id).append(trio.current_time())

    def _quota(self, server: servers.Server, total: float) -> int:
        if self._version != self.entry_list.version:
            self._version = self.entry_list.version
            self._quotas.clear()
        key = server.server_id, total
        if key not in self._quotas:
            self._quotas[key] = self._compute_quota(server, total)
        return self._quotas[key]

    def _compute_quota(self, server: servers.Server, total: float) -> int:
        # Most requests reach a server from entries in its own zone, so only these share the limit;
        # entries in other zones share it if the server's zone has none.
        own, others = self.entry_list.own, self.entry_list.others()
        zone_entries = [entry for entry in others if entry.zone == server.zone]
        if own.zone == server.zone:
            return sharing.quota(total, server.server_id, own, zone_entries)
        return 0 if zone_entries else sharing.quota(total, server.server_id, own, others)

    def _recent_sends(self, server_id: str) -> collections.deque[float]:
        sent_times_s = self._sent_times_s.setdefault(server_id, collections.deque())
        while sent_times_s and sent_times_s[0] < trio.current_time() - 1.0:
            sent_times_s.popleft()
        return sent_times_s
