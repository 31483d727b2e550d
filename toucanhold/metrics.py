"""OpenTelemetry metrics of an entry, exposed in the Prometheus text format."""

import collections.abc
import math

import attrs
import prometheus_client
import trio
from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import view

SERVICE_NAME = "toucanhold"
CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST.encode()
DURATION_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
FIRST_TOKEN_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.98, 1.25, 2.5, 5.0, 10.0)
TOKEN_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.048, 0.06, 0.1, 0.25, 1.0)

Observations = collections.abc.Iterable[tuple[float, dict[str, str]]]


@attrs.define(eq=False)
class Metrics:
    """The instruments of one entry.

    :ivar entry: name of the entry, exported as ``service.instance.id``
    """

    entry: str
    _registry: prometheus_client.CollectorRegistry = attrs.field(init=False)
    _meter: api.Meter = attrs.field(init=False)
    _request_duration_s: api.Histogram = attrs.field(init=False)
    _time_to_first_token_s: api.Histogram = attrs.field(init=False)
    _time_per_token_s: api.Histogram = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the instruments; names follow OpenTelemetry's conventions where there are any."""
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            registry=self._registry, scope_info_enabled=False
        )
        attributes = {"service.name": SERVICE_NAME, "service.instance.id": self.entry}
        provider = sdk.MeterProvider(
            [reader], resources.Resource(attributes), shutdown_on_exit=False, views=_views()
        )
        self._meter = provider.get_meter(SERVICE_NAME)
        self._request_duration_s = self._meter.create_histogram(
            "http.server.request.duration", "s", "Time to answer callers' requests"
        )
        self._time_to_first_token_s = self._meter.create_histogram(
            "gen_ai.server.time_to_first_token", "s", "Time to a stream's first event"
        )
        self._time_per_token_s = self._meter.create_histogram(
            "gen_ai.server.time_per_output_token", "s", "Mean time between a stream's events"
        )

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

        def callback(options: api.CallbackOptions) -> list[api.Observation]:
            return [api.Observation(value, attributes) for value, attributes in read()]

        self._meter.create_observable_gauge(name, [callback], unit, description)

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

        def callback(options: api.CallbackOptions) -> list[api.Observation]:
            return [api.Observation(value, attributes) for value, attributes in read()]

        self._meter.create_observable_counter(name, [callback], unit, description)

    def new_timer(self, method: str, route: str) -> "RequestTimer":
        """Return a timer for a request that starts now.

        :param method: HTTP method
        :param route: route of the request, not its path, so that the number of values is bounded
        """
        return RequestTimer(self, method, route, trio.current_time())

    def exposition(self) -> bytes:
        """Return all metrics in the text format of :data:`CONTENT_TYPE`."""
        return prometheus_client.generate_latest(self._registry)

    def record(self, timer: "RequestTimer", status: int, answer: str) -> None:
        """Record a finished request.

        :param status: HTTP status code
        :param answer: value of the ``toucanhold.answer`` attribute: how the answer ended
        """
        now_s = trio.current_time()
        attributes = {
            "http.request.method": timer.method,
            "http.route": timer.route,
            "http.response.status_code": status,
            "toucanhold.answer": answer,
        }
        self._request_duration_s.record(now_s - timer.started_at_s, attributes)
        if math.isfinite(timer.first_event_at_s):
            route = {"http.route": timer.route}
            self._time_to_first_token_s.record(timer.first_event_at_s - timer.started_at_s, route)
            if timer.event_count > 1:
                streamed_s = timer.last_event_at_s - timer.first_event_at_s
                self._time_per_token_s.record(streamed_s / (timer.event_count - 1), route)


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


def _views() -> list[view.View]:
    buckets = {
        "http.server.request.duration": DURATION_BUCKETS_S,
        "gen_ai.server.time_to_first_token": FIRST_TOKEN_BUCKETS_S,
        "gen_ai.server.time_per_output_token": TOKEN_BUCKETS_S,
    }
    return [
        view.View(
            instrument_name=name,
            aggregation=view.ExplicitBucketHistogramAggregation(list(bounds)),
        )
        for name, bounds in buckets.items()
    ]
