"""Counters and gauges of an entry on the users' platform, read at each scrape."""

from __future__ import annotations

import typing

from toucanhold import metrics

if typing.TYPE_CHECKING:
    from toucanhold.platform import entry as entries


def register(entry: entries.PlatformEntry) -> None:
    """Register metrics of control traffic by kind, of queueing, and of the load data's age."""

    def store_calls() -> metrics.Observations:
        for kind, count in entry.store.calls.items():
            yield count, {"toucanhold.call": kind}

    def notice_bytes() -> metrics.Observations:
        for (kind, is_other_zone), count in entry.exchange.sent_bytes.items():
            zone = "other" if is_other_zone else "own"
            yield count, {"toucanhold.notice": kind.value, "toucanhold.zone": zone}

    def requests_sent() -> metrics.Observations:
        for is_other_zone, count in entry.server_selector.placement_counts.items():
            yield count, {"toucanhold.zone": "other" if is_other_zone else "own"}

    def waiting() -> metrics.Observations:
        yield entry.gateway.admission.queue_length, {}

    def load_age() -> metrics.Observations:
        yield entry.exchange.digest_age_s, {}

    def limited_servers() -> metrics.Observations:
        yield len(entry.limit_table.limited()), {}

    entry.metrics.add_counter("toucanhold.store.calls", "{call}", "Calls to the store", store_calls)
    entry.metrics.add_counter(
        "toucanhold.notices.sent", "By", "Datagrams to other entries", notice_bytes
    )
    entry.metrics.add_counter(
        "toucanhold.requests.placed", "{request}", "Requests placed on servers", requests_sent
    )
    entry.metrics.add_gauge("toucanhold.requests.waiting", "{request}", "Waiting for room", waiting)
    entry.metrics.add_gauge("toucanhold.load.age", "s", "Age of the last load digest", load_age)
    entry.metrics.add_gauge(
        "toucanhold.servers.limited", "{server}", "Servers that name a limit", limited_servers
    )
    _register_forecasts(entry)


def _register_forecasts(entry: entries.PlatformEntry) -> None:
    def forecast_refusals() -> metrics.Observations:
        for service, model, count in entry.expected_wait.refusals():
            yield count, {"toucanhold.service": service, "toucanhold.model": model}

    def expected_waits() -> metrics.Observations:
        for service, model, wait_s in entry.expected_wait.expected_waits():
            yield wait_s, {"toucanhold.service": service, "toucanhold.model": model}

    entry.metrics.add_counter(
        "toucanhold.requests.refused.forecast",
        "{request}",
        "Requests refused because of their expected wait",
        forecast_refusals,
    )
    entry.metrics.add_gauge(
        "toucanhold.wait.expected", "s", "Expected wait of a new request", expected_waits
    )
