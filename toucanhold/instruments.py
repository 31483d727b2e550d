"""OpenTelemetry instruments and their exposition in the Prometheus text format."""

import collections.abc
import math

import attrs
import prometheus_client
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
class Instruments:
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
        """Add a gauge that is read at each scrape; see :meth:`metrics.Metrics.add_gauge`."""
        self._meter.create_observable_gauge(name, [_callback(read)], unit, description)

    def add_counter(
        self,
        name: str,
        unit: str,
        description: str,
        read: collections.abc.Callable[[], Observations],
    ) -> None:
        """Add a counter that is read at each scrape; see :meth:`metrics.Metrics.add_counter`."""
        self._meter.create_observable_counter(name, [_callback(read)], unit, description)

    def record(
        self,
        attributes: dict[str, str | int],
        duration_s: float,
        first_event_s: float,
        per_event_s: float,
    ) -> None:
        """Record a finished request.

        :param attributes: attributes of its duration
        :param first_event_s: time to the first event; infinite without one
        :param per_event_s: mean time between events; infinite with fewer than two
        """
        self._request_duration_s.record(duration_s, attributes)
        route = {"http.route": attributes["http.route"]}
        if math.isfinite(first_event_s):
            self._time_to_first_token_s.record(first_event_s, route)
        if math.isfinite(per_event_s):
            self._time_per_token_s.record(per_event_s, route)

    def exposition(self) -> bytes:
        """Return all metrics in the text format of :data:`CONTENT_TYPE`."""
        return prometheus_client.generate_latest(self._registry)


def _callback(
    read: collections.abc.Callable[[], Observations],
) -> collections.abc.Callable[[api.CallbackOptions], list[api.Observation]]:
    def callback(options: api.CallbackOptions) -> list[api.Observation]:
        return [api.Observation(value, attributes) for value, attributes in read()]

    return callback


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
