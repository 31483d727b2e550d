"""Counters and gauges of an entry on the users' platform, read at each scrape."""

from __future__ import annotations

import collections
import typing

from toucanhold import metrics
from toucanhold.gateway import signatures
from toucanhold.platform import policy_gauges

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
    _register_clients(entry)
    _register_retries(entry)
    _register_server_links(entry)
    _register_crashes(entry)
    _register_group_load(entry)
    policy_gauges.register(entry.metrics, entry.policies)


def _register_clients(entry: entries.PlatformEntry) -> None:
    clients = entry.client_limits.clients

    def evicted() -> metrics.Observations:
        for reason, count in entry.client_limits.evicted_counts().items():
            yield count, {"toucanhold.reason": reason}

    def held() -> metrics.Observations:
        yield clients.held_bytes, {}

    def open_connections() -> metrics.Observations:
        yield clients.connection_count, {}

    entry.metrics.add_counter(
        "toucanhold.clients.evicted",
        "{connection}",
        "Connections of clients closed for want of room",
        evicted,
    )
    entry.metrics.add_gauge("toucanhold.clients.held", "By", "Memory held for clients", held)
    entry.metrics.add_gauge(
        "toucanhold.clients.connections", "{connection}", "Connections of clients", open_connections
    )


def _register_retries(entry: entries.PlatformEntry) -> None:
    def retries_sent() -> metrics.Observations:
        for (service, cause), count in entry.retry_budget.sent_counts.items():
            yield count, {"toucanhold.service": service, "toucanhold.cause": cause.value}

    def borrowed_retries() -> metrics.Observations:
        for service, amount in entry.retry_budget.borrowed_counts.items():
            yield amount, {"toucanhold.service": service}

    def limit_shares() -> metrics.Observations:
        window_s = entry.settings.bounds.retry_window_s
        yield len(entry.limit_shares.usable(window_s)), {}

    entry.metrics.add_counter(
        "toucanhold.retries.borrowed",
        "{request}",
        "Requests sent to another server on loan from other entries",
        borrowed_retries,
    )
    entry.metrics.add_gauge(
        "toucanhold.limit_shares.held", "{share}", "Usable shares of limits", limit_shares
    )
    entry.metrics.add_counter(
        "toucanhold.retries.sent", "{request}", "Requests sent to another server", retries_sent
    )


def _register_server_links(entry: entries.PlatformEntry) -> None:
    def failing_servers() -> metrics.Observations:
        yield entry.server_links.failing_count(), {}

    def cut_links() -> metrics.Observations:
        yield int(entry.server_links.are_cut), {}

    def connections_relayed() -> metrics.Observations:
        for relay, count in entry.dialer.relay_counts.items():
            yield count, {"toucanhold.entry": relay}

    def open_tunnels() -> metrics.Observations:
        yield entry.tunnel_server.open_count, {}

    entry.metrics.add_counter(
        "toucanhold.connections.relayed",
        "{connection}",
        "Connections to servers through another entry",
        connections_relayed,
    )
    entry.metrics.add_gauge(
        "toucanhold.tunnels.open", "{tunnel}", "Tunnels of other entries through this", open_tunnels
    )
    entry.metrics.add_gauge(
        "toucanhold.servers.unreached",
        "{server}",
        "Servers to which the last connection of this entry failed",
        failing_servers,
    )
    entry.metrics.add_gauge(
        "toucanhold.server_links.cut",
        "1",
        "Whether this entry connects to no backend server",
        cut_links,
    )


def _register_crashes(entry: entries.PlatformEntry) -> None:
    def blocked_requests() -> metrics.Observations:
        blocked = collections.Counter(map(signatures.is_part, entry.crash_tracker.blocked_keys()))
        for kind, is_part in (("request", False), ("part", True)):
            yield blocked[is_part], {"toucanhold.kind": kind}

    def omitted_crash_reports() -> metrics.Observations:
        yield entry.exchange.notice_builder.omitted_crash_reports, {}

    entry.metrics.add_gauge(
        "toucanhold.requests.blocked", "{request}", "Crashing requests and parts", blocked_requests
    )
    entry.metrics.add_counter(
        "toucanhold.crash_reports.omitted",
        "{report}",
        "Crash reports left out of notices",
        omitted_crash_reports,
    )


def _register_group_load(entry: entries.PlatformEntry) -> None:
    def by_model(index: int) -> metrics.Observations:
        table = entry.routes.table
        for service in table.model_services() if table is not None else ():
            load = entry.server_selector.model_load(service)
            for model, count in load[index].items():
                yield count, {"toucanhold.service": service.name, "toucanhold.model": model}

    entry.metrics.add_gauge(
        "toucanhold.group.slots_used", "{slot}", "Slots in use, by model", lambda: by_model(0)
    )
    entry.metrics.add_gauge(
        "toucanhold.group.slots", "{slot}", "Slots of open groups, by model", lambda: by_model(1)
    )
