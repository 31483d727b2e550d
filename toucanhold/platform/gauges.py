"""Counters and gauges of an entry on the users' platform, read at each scrape."""

from __future__ import annotations

import typing

from toucanhold import metrics

if typing.TYPE_CHECKING:
    from toucanhold.gateway import late_holdback, slot_shares
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

    if entry.late_holdback is not None:
        _register_late_holdback(entry, entry.late_holdback)
    if entry.slot_shares is not None:
        _register_slot_shares(entry, entry.slot_shares)
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


def _register_slot_shares(entry: entries.PlatformEntry, policy: slot_shares.SlotShares) -> None:
    def share() -> metrics.Observations:
        for model, value in policy.share_by_model().items():
            yield value, {"toucanhold.model": model}

    def left() -> metrics.Observations:
        yield policy.left_count, {}

    entry.metrics.add_gauge(
        "toucanhold.slots.share", "1", "Share of the free slots that this entry may use", share
    )
    entry.metrics.add_counter(
        "toucanhold.slots.left", "{decision}", "Servers left to other entries", left
    )
