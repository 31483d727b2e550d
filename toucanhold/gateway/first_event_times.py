"""Learns how long requests take to their first event, and so how long they may wait for a slot."""

from __future__ import annotations

import collections
import logging
import math

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import call_state, outcomes
from toucanhold.routes import table

# Share of the recent requests whose first event must have come within the learned time.
COVERED_FRACTION = 0.9
MAX_SAMPLES = 64
# Samples of another load or another set of servers no longer apply.
MAX_SAMPLE_AGE_S = 30.0
# With fewer samples, nine in ten of them tell little more than the longest one.
MIN_SAMPLES = 10
# Bounds of the queue's part of an objective. Below, each request that queues would count as late;
# above, a request that starts last would miss its objective through any delay at its server.
MIN_QUEUE_FRACTION = 0.1
MAX_QUEUE_FRACTION = 0.8
# Smaller changes of the queue's part are not logged.
LOGGED_CHANGE = 0.1
LOG_INTERVAL_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class _Samples:
    """Times to the first event of one kind of request; ``times_s`` holds (observed, elapsed)."""

    times_s: collections.deque[tuple[float, float]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    logged_fraction: float = call_state.QUEUE_TIME_FRACTION
    logged_s: float = -math.inf

    def quantile_s(self, now_s: float) -> float | None:
        """Return the time that covers ``COVERED_FRACTION`` of the samples; None with too few."""
        while self.times_s and self.times_s[0][0] < now_s - MAX_SAMPLE_AGE_S:
            self.times_s.popleft()
        if len(self.times_s) < MIN_SAMPLES:
            return None
        elapsed_s = sorted(elapsed_s for _, elapsed_s in self.times_s)
        return elapsed_s[math.ceil(COVERED_FRACTION * len(elapsed_s)) - 1]


@attrs.define(eq=False)
class FirstEventTimes(outcomes.AttemptObserver):
    """Times to the first event, or to a buffered response, by service and model.

    Without observations, requests may queue for the fixed part of their objective.
    """

    _samples: dict[tuple[str, str, bool], _Samples] = attrs.field(factory=dict, init=False)

    def queue_fraction(self, service: table.Service, model: str, route: table.Route) -> float:
        """Return the part of a route's objective that a request may spend in the queue."""
        samples = self._samples.get(_key(service, model, route))
        if samples is None or route.objective_s <= 0:
            return call_state.QUEUE_TIME_FRACTION
        needed_s = samples.quantile_s(trio.current_time())
        if needed_s is None:
            return call_state.QUEUE_TIME_FRACTION
        fraction = 1 - needed_s / route.objective_s
        return min(MAX_QUEUE_FRACTION, max(MIN_QUEUE_FRACTION, fraction))

    def on_first_event(self, attempt: outcomes.Attempt, elapsed_s: float) -> None:
        """See :class:`outcomes.AttemptObserver`."""
        if attempt.route.is_stream and not attempt.is_resumed:
            self._record(attempt, elapsed_s)

    def on_served(self, attempt: outcomes.Attempt, elapsed_s: float) -> None:
        """See :class:`outcomes.AttemptObserver`."""
        if not attempt.route.is_stream:
            self._record(attempt, elapsed_s)

    def _record(self, observed: outcomes.Attempt, elapsed_s: float) -> None:
        engine = observed.service.engine
        if engine is not None and observed.in_flight > engine.slots:
            # The request also queued at the engine, which is no part of the time that it needs.
            return
        now_s = trio.current_time()
        key = _key(observed.service, observed.model, observed.route)
        samples = self._samples.setdefault(key, _Samples())
        samples.times_s.append((now_s, elapsed_s))
        if now_s < samples.logged_s + LOG_INTERVAL_S:
            return
        fraction = self.queue_fraction(observed.service, observed.model, observed.route)
        if abs(fraction - samples.logged_fraction) < LOGGED_CHANGE:
            return
        samples.logged_s, samples.logged_fraction = now_s, fraction
        events.log(
            LOGGER,
            events.Event.QUEUE_TIME_LEARNED,
            service=observed.service.name,
            model=observed.model,
            route=observed.route.name,
            queue_fraction=round(fraction, 2),
            objective_s=observed.route.objective_s,
            samples=len(samples.times_s),
        )


def _key(service: table.Service, model: str, route: table.Route) -> tuple[str, str, bool]:
    return service.name, service.model_key(model), route.is_stream
