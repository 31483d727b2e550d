"""Counters and gauges of an entry on the users' platform, read at each scrape."""

from __future__ import annotations

import typing

from toucanhold import metrics

if typing.TYPE_CHECKING:
    from toucanhold.gateway import late_holdback, server_speed, trials
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

    if entry.server_trials is not None:
        _register_server_trials(entry, entry.server_trials)
    if entry.server_speed is not None:
        _register_server_speed(entry, entry.server_speed)
    if entry.late_holdback is not None:
        _register_late_holdback(entry, entry.late_holdback)
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
    _register_group_load(entry)


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


def _register_late_holdback(
    entry: entries.PlatformEntry, policy: late_holdback.LateHoldback
) -> None:
    def reserved() -> metrics.Observations:
        for model, slots in policy.reserved_slots().items():
            yield slots, {"toucanhold.model": model}

    def held() -> metrics.Observations:
        yield policy.held_count, {}

    entry.metrics.add_gauge(
        "toucanhold.slots.reserved", "{slot}", "Slots kept for on-time requests", reserved
    )
    entry.metrics.add_counter(
        "toucanhold.requests.held", "{request}", "Late requests held back", held
    )


def _register_server_trials(entry: entries.PlatformEntry, policy: trials.ServerTrials) -> None:
    def suspended() -> metrics.Observations:
        yield len(policy.suspended()), {}

    def sent() -> metrics.Observations:
        yield policy.trial_count, {}

    entry.metrics.add_gauge(
        "toucanhold.servers.suspended", "{server}", "Servers with trials only", suspended
    )
    entry.metrics.add_counter(
        "toucanhold.trials.sent", "{request}", "Trials at suspended servers", sent
    )


def _register_server_speed(entry: entries.PlatformEntry, policy: server_speed.ServerSpeed) -> None:
    def slow_servers() -> metrics.Observations:
        yield len(policy.slow_servers()), {}

    entry.metrics.add_gauge(
        "toucanhold.servers.slow", "{server}", "Servers slower than their peers", slow_servers
    )
