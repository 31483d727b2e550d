"""Forecasts waits, so that requests that would wait in vain are refused at once."""

from __future__ import annotations

import collections
import collections.abc
import logging
import math

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import calls, outcomes, queueing, slot_rates
from toucanhold.registry import servers
from toucanhold.routes import table

# Callers honour a Retry-After of up to a third of the time that they have left when the answer
# reaches them; a longer one makes them return too early or not at all.
RETURN_FRACTION = 0.3
# Callers that are refused together return spread over the last part of that time.
EARLIEST_RETURN_FRACTION = 0.5
# A request with the same content that arrives later than this after the time to return is new.
MAX_RETURN_DELAY_S = 1.0
# Callers start with up to 15 percent less than their route's timeout. With less than this left, a
# request has been refused before, perhaps by another entry.
FIRST_TRY_FRACTION = 0.85
# Slots become free at random; a request waits unless so many standard deviations more than expected
# would still be too few. With two, returning requests displaced more on-time ones after a burst.
MARGIN_DEVIATIONS = 1.0
MAX_REMEMBERED = 10_000
LOG_INTERVAL_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class _Kind:
    """Requests of one service and model.

    :ivar last_return_s: trio clock time at which the last refused caller returns, by priority
    :ivar refusals: number of requests refused because of their expected wait
    :ivar returns: number of requests placed after they were refused
    """

    rate: slot_rates.SlotRate = attrs.field(factory=slot_rates.SlotRate)
    last_return_s: dict[int, float] = attrs.field(factory=dict)
    waiting: int = 0
    refusals: int = 0
    returns: int = 0
    logged_refusals: int = 0
    logged_returns: int = 0
    refusals_logged_s: float = -math.inf
    returns_logged_s: float = -math.inf


@attrs.define(eq=False)
class ExpectedWait(queueing.QueuePolicy, outcomes.AttemptObserver):
    """Forecasts waits by the rate at which this entry gets slots of a model.

    A request that was refused before is not refused again by forecast, and neither is one that may
    have run. A request that returns to this entry goes before others that are equally urgent and
    equally late.
    """

    _kinds: dict[tuple[str, str], _Kind] = attrs.field(
        factory=lambda: collections.defaultdict(_Kind), init=False
    )
    # Trio clock times until which refused requests are expected back, by fingerprint.
    _expected_until_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _returned: set[queueing.PlacementRequest] = attrs.field(factory=set, init=False)

    def expected_waits(self) -> collections.abc.Iterator[tuple[str, str, float]]:
        """Yield each service and model with the expected wait of a request that goes last."""
        now_s = trio.current_time()
        for (service, model), kind in self._kinds.items():
            rate_per_s = kind.rate.slots_per_s(now_s)
            yield service, model, kind.waiting / rate_per_s if rate_per_s else 0.0

    def refusals(self) -> collections.abc.Iterator[tuple[str, str, int]]:
        """Yield each service and model with its number of refusals by forecast."""
        for (service, model), kind in self._kinds.items():
            yield service, model, kind.refusals

    def order_key(self, request: queueing.PlacementRequest, now_s: float) -> float:
        """See :class:`queueing.QueuePolicy`."""
        return -1.0 if self._has_returned(request, now_s) else 0.0

    def expected_wait_s(self, request: queueing.PlacementRequest, ahead: int) -> float:
        """See :class:`queueing.QueuePolicy`."""
        now_s = trio.current_time()
        kind = self._kinds.get(_key(request.service, request.model))
        rate_per_s = kind.rate.slots_per_s(now_s) if kind is not None else 0.0
        if not rate_per_s or not self._may_refuse(request, now_s):
            return 0.0
        return max(0.0, ahead - MARGIN_DEVIATIONS * math.sqrt(ahead)) / rate_per_s

    def retry_after_s(self, request: queueing.PlacementRequest, proposed_s: float) -> float:
        """See :class:`queueing.QueuePolicy`."""
        now_s = trio.current_time()
        longest_s = RETURN_FRACTION * max(0.0, request.deadline_s - now_s)
        kind = self._kinds.get(_key(request.service, request.model))
        rate_per_s = kind.rate.slots_per_s(now_s) if kind is not None else 0.0
        if not rate_per_s:
            return min(proposed_s, longest_s)
        earliest_s = min(proposed_s, EARLIEST_RETURN_FRACTION * longest_s)
        # Callers that are less urgent do not delay the return of this one.
        last_return_s = max(
            (
                return_s
                for priority, return_s in kind.last_return_s.items()
                if priority <= request.priority
            ),
            default=-math.inf,
        )
        next_s = last_return_s + 1 / rate_per_s - now_s
        return max(earliest_s, next_s) if next_s <= longest_s else earliest_s

    def record_forecast_refusal(
        self, request: queueing.PlacementRequest, expected_wait_s: float
    ) -> None:
        """See :class:`queueing.QueuePolicy`."""
        now_s = trio.current_time()
        kind = self._kind(request.service, request.model)
        kind.refusals += 1
        if now_s < kind.refusals_logged_s + LOG_INTERVAL_S:
            return
        events.log(
            LOGGER,
            events.Event.REFUSED_BY_FORECAST,
            service=request.service.name,
            model=request.model,
            priority=request.priority,
            refusals=kind.refusals - kind.logged_refusals,
            expected_wait_s=round(expected_wait_s, 3),
            max_wait_s=round(request.max_wait_s, 3),
            slots_per_s=round(kind.rate.slots_per_s(now_s), 2),
            waiting=kind.waiting,
        )
        kind.refusals_logged_s, kind.logged_refusals = now_s, kind.refusals

    def record_refused(self, request: queueing.PlacementRequest, retry_after_s: float) -> None:
        """See :class:`queueing.QueuePolicy`."""
        if request.may_have_run:
            # Its caller gets no Retry-After.
            return
        return_s = trio.current_time() + retry_after_s
        kind = self._kinds.get(_key(request.service, request.model))
        if kind is not None:
            kind.last_return_s[request.priority] = return_s
        if not request.fingerprint:
            return
        self._expected_until_s.pop(request.fingerprint, None)
        if len(self._expected_until_s) >= MAX_REMEMBERED:
            del self._expected_until_s[next(iter(self._expected_until_s))]
        self._expected_until_s[request.fingerprint] = return_s + MAX_RETURN_DELAY_S

    def record_queued(self, request: queueing.PlacementRequest) -> None:
        """See :class:`queueing.QueuePolicy`."""
        self._kind(request.service, request.model).waiting += 1
        if self._has_returned(request, trio.current_time()):
            self._returned.add(request)
        # Other requests with the same content are not retries.
        self._expected_until_s.pop(request.fingerprint, None)

    def record_dequeued(self, request: queueing.PlacementRequest) -> None:
        """See :class:`queueing.QueuePolicy`."""
        self._kind(request.service, request.model).waiting -= 1
        self._returned.discard(request)

    def record_started(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        """See :class:`queueing.QueuePolicy`."""
        now_s = trio.current_time()
        kind = self._kind(request.service, request.model)
        kind.rate.record_started(now_s)
        if not self._has_returned(request, now_s):
            return
        self._expected_until_s.pop(request.fingerprint, None)
        kind.returns += 1
        if now_s >= kind.returns_logged_s + LOG_INTERVAL_S:
            events.log(
                LOGGER,
                events.Event.REFUSED_REQUEST_RETURNED,
                service=request.service.name,
                model=request.model,
                returns=kind.returns - kind.logged_returns,
            )
            kind.returns_logged_s, kind.logged_returns = now_s, kind.returns

    def record_ended(self, request: queueing.PlacementRequest, server: servers.Server) -> None:
        """See :class:`queueing.QueuePolicy`."""
        self._kind(request.service, request.model).rate.record_ended(trio.current_time())

    def on_served(self, attempt: outcomes.Attempt, elapsed_s: float) -> None:
        """See :class:`outcomes.AttemptObserver`."""
        kind = self._kind(attempt.service, attempt.model)
        kind.rate.record_served(trio.current_time(), elapsed_s)

    def on_not_run(self, attempt: outcomes.Attempt, error: calls.NotRunError) -> None:
        """See :class:`outcomes.AttemptObserver`."""
        kind = self._kind(attempt.service, attempt.model)
        kind.rate.record_not_run(trio.current_time())

    def _kind(self, service: table.Service, model: str) -> _Kind:
        return self._kinds[_key(service, model)]

    def _has_returned(self, request: queueing.PlacementRequest, now_s: float) -> bool:
        if request in self._returned:
            return True
        return self._expected_until_s.get(request.fingerprint, -math.inf) >= now_s

    def _may_refuse(self, request: queueing.PlacementRequest, now_s: float) -> bool:
        if request.may_have_run or self._has_returned(request, now_s):
            return False
        return request.route is None or (
            request.caller_time_s >= FIRST_TRY_FRACTION * request.route.timeout_s
        )


def _key(service: table.Service, model: str) -> tuple[str, str]:
    return service.name, service.model_key(model)
