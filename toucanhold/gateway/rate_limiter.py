"""Decides how many requests this entry may send to a backend server that limits them.

A limit applies to all entries together. From the notices of the others, each entry knows how many
requests all of them have recently sent to the server, and which share of the demand for its model
is its own. The first gives the rate at which all may send now, the second this entry's share of it.
Entries without demand therefore leave the limit to the others. Errors in the shares are corrected:
the rate grows if too few requests reach the server, and falls if too many do.
"""

from __future__ import annotations

import collections
import collections.abc
import logging
import math
import random

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import entries, limits, shared_counts, sharing
from toucanhold.registry import servers, signals
from toucanhold.routes import table

# Period over which requests are counted.
WINDOW_S = 5.0
BUCKET_S = 0.5
# The newest buckets, of which other entries may not have heard.
SETTLE_BUCKETS = 2
# Time in which a difference from the limit is corrected. Entries learn of each other's requests
# within half a second; a correction that is not much slower than that overshoots.
CORRECTION_S = 2.5
# Bounds of the rate of all entries, as fractions of the limit.
MIN_RATE_FRACTION = 0.25
MAX_RATE_FRACTION = 1.5
# Added to the upper bound, so that low limits are used soon after a pause.
EXTRA_RATE_PER_S = 1.0
# Even a server with a limit of zero is tried: only an answer shows that it has lifted its limit.
MIN_REQUESTS_PER_WINDOW = 1.0
# Credit accrues for at most this time without a request; otherwise all entries would use theirs at
# once when demand sets in.
MAX_ACCRUAL_S = 1.0
USE_LOG_INTERVAL_S = 1.0

SENT_PREFIX = "sent/"
DEMAND_PREFIX = "demand/"

LOGGER = logging.getLogger(__name__)


@attrs.define
class _RecentEvents:
    """Number of events within ``WINDOW_S``, counted in buckets."""

    _counts: collections.deque[tuple[int, int]] = attrs.field(factory=collections.deque)

    def add(self) -> None:
        bucket = _current_bucket()
        count = self._counts.pop()[1] if self._counts and self._counts[-1][0] == bucket else 0
        self._counts.append((bucket, count + 1))

    def total(self) -> int:
        oldest = _current_bucket() - round(WINDOW_S / BUCKET_S)
        while self._counts and self._counts[0][0] < oldest:
            self._counts.popleft()
        return sum(count for _, count in self._counts)

    def settled_total(self) -> int:
        """Return the number without the newest events, which other entries may not know yet."""
        total = self.total()
        newest = _current_bucket() - SETTLE_BUCKETS
        return total - sum(count for bucket, count in self._counts if bucket > newest)


@attrs.define
class _Credit:
    """Requests that this entry may send to a server; sending takes one."""

    amount: float
    updated_s: float = attrs.field(factory=trio.current_time)

    def accrue(self, rate_per_s: float) -> None:
        now_s = trio.current_time()
        gained = rate_per_s * min(MAX_ACCRUAL_S, now_s - self.updated_s)
        self.amount = min(max(1.0, rate_per_s * BUCKET_S), self.amount + gained)
        self.updated_s = now_s


def site_rate_per_s(limit_per_s: float, sent: int) -> float:
    """Return the rate at which all entries together may send to a server now.

    :param limit_per_s: the server's limit
    :param sent: requests sent to it within ``WINDOW_S``
    """
    allowed = max(MIN_REQUESTS_PER_WINDOW, limit_per_s * WINDOW_S)
    rate_per_s = limit_per_s + (allowed - sent) / CORRECTION_S
    max_rate_per_s = MAX_RATE_FRACTION * limit_per_s + EXTRA_RATE_PER_S
    return max(MIN_RATE_FRACTION * limit_per_s, min(max_rate_per_s, rate_per_s))


@attrs.define(eq=False)
class RateLimiter(signals.ServerObserver, shared_counts.CountSource):
    """Limits this entry's requests to its share of the limits that servers name.

    :ivar limit_table: limits that servers name
    :ivar entry_list: entries that share the limits
    :ivar counts: recent requests and demand of other entries
    """

    limit_table: limits.LimitTable
    entry_list: entries.EntryList
    rng: random.Random
    counts: shared_counts.SharedCounts = attrs.field(factory=shared_counts.SharedCounts, init=False)
    _sent: dict[str, _RecentEvents] = attrs.field(factory=dict, init=False)
    _demand: dict[str, _RecentEvents] = attrs.field(factory=dict, init=False)
    _credits: dict[tuple[str, int], _Credit] = attrs.field(factory=dict, init=False)
    _use_logged_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _size_share: tuple[int, float] = attrs.field(default=(-1, 1.0), init=False)

    def observe(self, server: servers.Server, observed: signals.Signals, sent_s: float) -> None:
        """See :class:`signals.ServerObserver`."""
        if not observed.is_rate_limit_unreadable:
            self.limit_table.observe(server, observed.rate_limit_per_s, sent_s)

    def record_control_call(self, server: servers.Server) -> None:
        """See :class:`signals.ServerObserver`."""
        self._sent.setdefault(server.server_id, _RecentEvents()).add()

    def record_demand(self, service: table.Service, model: str) -> None:
        """Count a request that any server of a service and model may serve."""
        key = _demand_key(service.name, service.model_key(model))
        self._demand.setdefault(key, _RecentEvents()).add()

    def record_request(self, server: servers.Server) -> None:
        """Count a request of this entry to a server."""
        self._sent.setdefault(server.server_id, _RecentEvents()).add()
        limit_per_s = self.limit_table.rate_per_s(server)
        if limit_per_s is not None:
            self._credit(server).amount -= 1
            self._log_use(server, limit_per_s)

    def may_send(self, server: servers.Server) -> bool:
        """Return whether one more request may be sent to a server."""
        limit_per_s = self.limit_table.rate_per_s(server)
        if limit_per_s is None:
            return True
        credit = self._credit(server)
        credit.accrue(self._own_rate_per_s(server, limit_per_s))
        return credit.amount >= 1

    def sustained_rate_per_s(self, server: servers.Server) -> float:
        """Return the rate at which this entry may send to a server for long, at most.

        :return: infinity if the server has no limit
        """
        limit_per_s = self.limit_table.rate_per_s(server)
        if limit_per_s is None:
            return math.inf
        recent = self._demand.get(_demand_key(server.service, server.model))
        if recent is None or not recent.settled_total():
            return limit_per_s
        return limit_per_s * self._demand_share(_demand_key(server.service, server.model))

    def own_counts(self) -> dict[str, int]:
        """See :class:`shared_counts.CountSource`: requests to limited servers, and demand."""
        limited = self.limit_table.limited()
        if not limited:
            return {}
        sent = {
            SENT_PREFIX + limit.server_id: self._sent[limit.server_id].total()
            for limit in limited
            if limit.server_id in self._sent
        }
        demand = {key: recent.total() for key, recent in self._demand.items()}
        return {key: count for key, count in (sent | demand).items() if count}

    def retain(self, is_known: collections.abc.Callable[[tuple[str, int]], bool]) -> None:
        """Forget servers that are gone."""
        self.limit_table.retain(is_known)
        for incarnation in [each for each in self._credits if not is_known(each)]:
            del self._credits[incarnation]
        for server_id in [each for each, recent in self._sent.items() if not recent.total()]:
            del self._sent[server_id]
            self._use_logged_s.pop(server_id, None)
        for key in [each for each, recent in self._demand.items() if not recent.total()]:
            del self._demand[key]

    def _own_rate_per_s(self, server: servers.Server, limit_per_s: float) -> float:
        if not self._is_settled(server):
            return self._share_by_size() * MIN_RATE_FRACTION * limit_per_s
        share = self._demand_share(_demand_key(server.service, server.model))
        return share * site_rate_per_s(limit_per_s, self._sent_by_all(server.server_id))

    def _is_settled(self, server: servers.Server) -> bool:
        """Return whether other entries have had time to report requests sent before the limit."""
        if not self.entry_list.others():
            return True
        settled_s = self.limit_table.limited_since_s(server) + SETTLE_BUCKETS * BUCKET_S
        return trio.current_time() >= settled_s

    def _sent_by_all(self, server_id: str) -> int:
        own = self._sent[server_id].total() if server_id in self._sent else 0
        return own + self.counts.others(SENT_PREFIX + server_id)

    def _demand_share(self, key: str) -> float:
        recent = self._demand.get(key)
        settled = recent.settled_total() if recent is not None else 0
        # Until others know of its demand, an entry takes no larger share than its size gives it.
        if not settled or not self.counts.has_sources:
            return self._share_by_size()
        return settled / (settled + self.counts.others(key))

    def _share_by_size(self) -> float:
        if not self.entry_list.may_use_parts:
            return 0.0
        if self._size_share[0] != self.entry_list.version:
            share = sharing.share(self.entry_list.own, self.entry_list.sharing())
            self._size_share = self.entry_list.version, share
        return self._size_share[1]

    def _credit(self, server: servers.Server) -> _Credit:
        credit = self._credits.get(server.incarnation)
        if credit is None:
            # Entries that learn of a limit together would otherwise send together.
            credit = self._credits[server.incarnation] = _Credit(self.rng.random())
        return credit

    def _log_use(self, server: servers.Server, limit_per_s: float) -> None:
        now_s = trio.current_time()
        last_logged_s = self._use_logged_s.get(server.server_id, float("-inf"))
        if now_s - last_logged_s < USE_LOG_INTERVAL_S:
            return
        self._use_logged_s[server.server_id] = now_s
        events.log(
            LOGGER,
            events.Event.LIMITED_SERVER_USED,
            server=server.server_id,
            limit_per_s=limit_per_s,
            window_s=WINDOW_S,
            placed=self._sent[server.server_id].total(),
            placed_by_others=self.counts.others(SENT_PREFIX + server.server_id),
            share=round(self._demand_share(_demand_key(server.service, server.model)), 3),
        )


def _demand_key(service: str, model: str) -> str:
    return f"{DEMAND_PREFIX}{service}/{model}"


def _current_bucket() -> int:
    return int(trio.current_time() // BUCKET_S)
