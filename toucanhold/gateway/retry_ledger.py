"""Accounts for the requests and retries of one service at one entry.

The limit of a service bounds the retries of all entries in every window. Each entry keeps its own
part of the bound in each window that is still open, so that the sum holds whatever the entries know
of each other:

    retries from a time on <= ratio * requests within a window of that time / 2 + its slack

The requests before the window count half, because servers usually fail after some time of normal
traffic: the first retries would have to wait for further requests otherwise. Those within it count
half as well, because an entry that has just started has no others.
"""

from __future__ import annotations

import collections
import itertools
import math

import attrs

BUCKETS_PER_WINDOW = 50
# Older ones are discarded beyond this, also while there are no retries.
MAX_REQUEST_BUCKETS = 4 * BUCKETS_PER_WINDOW
# Requests of two windows count, half each.
REQUEST_WEIGHT = 0.5


@attrs.frozen
class Allowance:
    """The part of a service's limit that an entry may use.

    :ivar ratio: retries per request of this entry's callers
    :ivar slack: retries in addition in each window
    """

    ratio: float
    slack: float


@attrs.define(eq=False)
class RetryLedger:
    """Requests, retries and lent retries, counted in buckets of time.

    All times are seconds on a clock that also runs while the VM is suspended. A retry is pending
    from the decision until the server has received it, and counts in every window meanwhile.

    :ivar window_s: length of a window
    :ivar pending: number of retries that a server may still receive
    """

    window_s: float
    pending: float = attrs.field(default=0.0, init=False)
    _requests: collections.Counter[int] = attrs.field(factory=collections.Counter, init=False)
    _retries: collections.defaultdict[int, float] = attrs.field(
        factory=lambda: collections.defaultdict(float), init=False
    )

    # The last result of `headroom`, and what it was computed for; cleared by each change.
    _cached: tuple[tuple, float] = attrs.field(default=((), 0.0), init=False)

    def record_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._clear_cached()
        bucket = self._bucket(now_s)
        if len(self._requests) > MAX_REQUEST_BUCKETS:
            self._discard_older(bucket - BUCKETS_PER_WINDOW)
        self._requests[bucket] += 1

    def add_pending(self, amount: float) -> None:
        """Count a retry, or a part of one, that a server may receive at any time from now on."""
        self._clear_cached()
        self.pending += amount

    def cancel_pending(self, amount: float) -> None:
        """Discard a pending retry that no server receives."""
        self._clear_cached()
        self.pending -= amount

    def settle_pending(self, amount: float, now_s: float) -> None:
        """Count a pending retry that a server has received by now, or never will."""
        self._clear_cached()
        self.pending -= amount
        self._retries[self._bucket(now_s)] += amount

    def lend(self, amount: float, until_s: float) -> None:
        """Count retries that another entry may make until ``until_s``."""
        self._clear_cached()
        self._retries[self._bucket(until_s)] += amount

    def take_back(self, amount: float, until_s: float) -> None:
        """Discard lent retries that the other entry did not make and no longer will."""
        self._clear_cached()
        bucket = self._bucket(until_s)
        self._retries[bucket] = max(0.0, self._retries[bucket] - amount)

    def requests(self, now_s: float) -> int:
        """Return the number of requests in the window that ends now."""
        oldest = self._bucket(now_s) - BUCKETS_PER_WINDOW
        return sum(count for bucket, count in self._requests.items() if bucket >= oldest)

    def retries(self, now_s: float) -> float:
        """Return the number of retries in the window that ends now, with pending and lent ones."""
        oldest = self._bucket(now_s) - BUCKETS_PER_WINDOW
        counted = (amount for bucket, amount in self._retries.items() if bucket >= oldest)
        return self.pending + sum(counted)

    def headroom(self, now_s: float, allowance: Allowance, ahead_s: float = 0.0) -> float:
        """Return how many more retries may be made now; negative if too many were.

        :param ahead_s: time for which the retries may still be delayed
        """
        newest = self._bucket(now_s)
        last_start = newest + math.ceil(ahead_s * BUCKETS_PER_WINDOW / self.window_s)
        key = newest, last_start, allowance
        if self._cached[0] != key:
            self._cached = key, self._compute_headroom(newest, last_start, allowance)
        return self._cached[1]

    def _compute_headroom(self, newest: int, last_start: int, allowance: Allowance) -> float:
        self._discard_older(newest - BUCKETS_PER_WINDOW)
        first_start = newest - BUCKETS_PER_WINDOW
        oldest = first_start - BUCKETS_PER_WINDOW
        counts = (self._requests.get(bucket, 0) for bucket in range(oldest, newest + 1))
        requests_until = [0, *itertools.accumulate(counts)]
        retries = self.pending
        retries += sum(amount for bucket, amount in self._retries.items() if bucket > last_start)
        headroom = math.inf
        for start in range(last_start, first_start - 1, -1):
            retries += self._retries.get(start, 0.0)
            # Without the first bucket, of which the windows that begin within it hold only a part.
            first = max(oldest, start + 1 - BUCKETS_PER_WINDOW)
            end = min(newest + 1, start + BUCKETS_PER_WINDOW)
            requests = requests_until[end - oldest] - requests_until[first - oldest]
            if start <= newest:
                requests -= self._requests.get(start, 0)
            allowed = allowance.ratio * REQUEST_WEIGHT * requests + allowance.slack
            headroom = min(headroom, allowed - retries)
        return headroom

    def _clear_cached(self) -> None:
        self._cached = (), 0.0

    def _bucket(self, time_s: float) -> int:
        return math.floor(time_s * BUCKETS_PER_WINDOW / self.window_s)

    def _discard_older(self, first_start: int) -> None:
        for bucket in [each for each in self._retries if each < first_start]:
            del self._retries[bucket]
        for bucket in [each for each in self._requests if each < first_start - BUCKETS_PER_WINDOW]:
            del self._requests[bucket]
