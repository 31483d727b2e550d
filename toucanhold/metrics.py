"""Metrics of an entry.

OpenTelemetry is loaded for the first scrape only: importing it takes a sixth of an entry's start,
and after a failure of all entries the callers wait for that start.
"""

from __future__ import annotations

import collections.abc
import functools
import importlib
import math
import typing

import attrs
import trio

if typing.TYPE_CHECKING:
    from toucanhold import instruments

# About 1 MB; where nothing scrapes the metrics, the instruments are loaded when it is full.
MAX_PENDING_RECORDS = 2000

Observations = collections.abc.Iterable[tuple[float, dict[str, str]]]


@attrs.define(eq=False)
class Metrics:
    """Gauges, counters and request durations of one entry.

    :ivar entry: name of the entry, exported as ``service.instance.id``
    """

    entry: str
    # Calls that are repeated on the instruments once they are loaded.
    _pending: list[collections.abc.Callable[[instruments.Instruments], None]] = attrs.field(
        factory=list, init=False
    )
    _instruments: instruments.Instruments | None = attrs.field(default=None, init=False)

    @property
    def content_type(self) -> bytes:
        """Media type of :meth:`exposition`."""
        return _instruments_module().CONTENT_TYPE

    def add_gauge(
        self,
        name: str,
        unit: str,
        description: str,
        read: collections.abc.Callable[[], Observations],
    ) -> None:
        """Add a gauge that is read at each scrape.

        :param unit: UCUM unit
        :param read: returns the current values with their attributes
        """
        self._apply(lambda loaded: loaded.add_gauge(name, unit, description, read))

    def add_counter(
        self,
        name: str,
        unit: str,
        description: str,
        read: collections.abc.Callable[[], Observations],
    ) -> None:
        """Add a counter that is read at each scrape.

        :param unit: UCUM unit
        :param read: returns the totals since the start with their attributes
        """
        self._apply(lambda loaded: loaded.add_counter(name, unit, description, read))

    def new_timer(self, method: str, route: str) -> RequestTimer:
        """Return a timer for a request that starts now.

        :param method: HTTP method
        :param route: route of the request, not its path, so that the number of values is bounded
        """
        return RequestTimer(self, method, route, trio.current_time())

    async def load(self) -> None:
        """Load the instruments' libraries in a worker thread, so that streams go on meanwhile."""
        if self._instruments is None:
            await trio.to_thread.run_sync(_instruments_module)

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._load_instruments().exposition()

    def record(self, timer: RequestTimer, status: int, answer: str) -> None:
        """Record a finished request.

        :param status: HTTP status code
        :param answer: value of the ``toucanhold.answer`` attribute: how the answer ended
        """
        attributes = {
            "http.request.method": timer.method,
            "http.route": timer.route,
            "http.response.status_code": status,
            "toucanhold.answer": answer,
        }
        duration_s = trio.current_time() - timer.started_at_s
        first_event_s = timer.first_event_at_s - timer.started_at_s
        per_event_s = math.inf
        if timer.event_count > 1:
            per_event_s = (timer.last_event_at_s - timer.first_event_at_s) / (timer.event_count - 1)
        self._apply(
            lambda loaded: loaded.record(attributes, duration_s, first_event_s, per_event_s)
        )

    def _apply(self, call: collections.abc.Callable[[instruments.Instruments], None]) -> None:
        if self._instruments is not None:
            call(self._instruments)
            return
        self._pending.append(call)
        if len(self._pending) >= MAX_PENDING_RECORDS:
            self._load_instruments()

    def _load_instruments(self) -> instruments.Instruments:
        if self._instruments is None:
            self._instruments = _instruments_module().Instruments(self.entry)
            for call in self._pending:
                call(self._instruments)
            self._pending.clear()
        return self._instruments


@attrs.define(eq=False)
class RequestTimer:
    """Measures one request; the token times of a stream are recorded once, as their mean.

    :ivar started_at_s: when the request started, by trio's clock
    :ivar first_event_at_s: when the first events were forwarded; infinite before
    :ivar last_event_at_s: when the latest events were forwarded; infinite before
    :ivar event_count: number of forwarded events
    """

    metrics: Metrics
    method: str
    route: str
    started_at_s: float
    first_event_at_s: float = math.inf
    last_event_at_s: float = math.inf
    event_count: int = 0

    def record_events(self, count: int) -> None:
        """Record that ``count`` events of a stream are being forwarded now."""
        now_s = trio.current_time()
        if not self.event_count:
            self.first_event_at_s = now_s
        self.last_event_at_s = now_s
        self.event_count += count

    def finish(self, status: int, answer: str) -> None:
        """Record the request as finished now; see :meth:`Metrics.record`."""
        self.metrics.record(self, status, answer)


@functools.cache
def _instruments_module() -> typing.Any:
    return importlib.import_module("toucanhold.instruments")
