"""Counters and gauges of the optional policies, read at each scrape."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from toucanhold import metrics
    from toucanhold.gateway import (
        expected_wait,
        fair_shares,
        late_holdback,
        server_speed,
        slot_shares,
        trials,
    )
    from toucanhold.platform import policy_set


def register(target: metrics.Metrics, policies: policy_set.PolicySet) -> None:
    """Register the metrics of the policies that are on."""
    if policies.server_trials is not None:
        _register_server_trials(target, policies.server_trials)
    if policies.server_speed is not None:
        _register_server_speed(target, policies.server_speed)
    if policies.late_holdback is not None:
        _register_late_holdback(target, policies.late_holdback)
    if policies.slot_shares is not None:
        _register_slot_shares(target, policies.slot_shares)
    if policies.expected_wait is not None:
        _register_expected_wait(target, policies.expected_wait)
    if policies.fair_shares is not None:
        _register_fair_shares(target, policies.fair_shares)


def _register_server_trials(target: metrics.Metrics, policy: trials.ServerTrials) -> None:
    def suspended() -> metrics.Observations:
        yield len(policy.suspended()), {}

    def sent() -> metrics.Observations:
        yield policy.trial_count, {}

    target.add_gauge(
        "toucanhold.servers.suspended", "{server}", "Servers with trials only", suspended
    )
    target.add_counter("toucanhold.trials.sent", "{request}", "Trials at suspended servers", sent)


def _register_server_speed(target: metrics.Metrics, policy: server_speed.ServerSpeed) -> None:
    def slow() -> metrics.Observations:
        yield len(policy.slow_servers()), {}

    target.add_gauge("toucanhold.servers.slow", "{server}", "Servers slower than their peers", slow)


def _register_late_holdback(target: metrics.Metrics, policy: late_holdback.LateHoldback) -> None:
    def reserved() -> metrics.Observations:
        for model, slots in policy.reserved_slots().items():
            yield slots, {"toucanhold.model": model}

    def held() -> metrics.Observations:
        yield policy.held_count, {}

    target.add_gauge(
        "toucanhold.slots.reserved", "{slot}", "Slots kept for on-time requests", reserved
    )
    target.add_counter("toucanhold.requests.held", "{request}", "Late requests held back", held)


def _register_slot_shares(target: metrics.Metrics, policy: slot_shares.SlotShares) -> None:
    def share() -> metrics.Observations:
        for model, value in policy.share_by_model().items():
            yield value, {"toucanhold.model": model}

    def left() -> metrics.Observations:
        yield policy.left_count, {}

    target.add_gauge(
        "toucanhold.slots.share", "1", "Share of the free slots that this entry may use", share
    )
    target.add_counter("toucanhold.slots.left", "{decision}", "Servers left to other entries", left)


def _register_expected_wait(target: metrics.Metrics, policy: expected_wait.ExpectedWait) -> None:
    def refusals() -> metrics.Observations:
        for service, model, count in policy.refusals():
            yield count, {"toucanhold.service": service, "toucanhold.model": model}

    def waits() -> metrics.Observations:
        for service, model, wait_s in policy.expected_waits():
            yield wait_s, {"toucanhold.service": service, "toucanhold.model": model}

    target.add_counter(
        "toucanhold.requests.refused.forecast",
        "{request}",
        "Requests refused because of their expected wait",
        refusals,
    )
    target.add_gauge("toucanhold.wait.expected", "s", "Expected wait of a new request", waits)


def _register_fair_shares(target: metrics.Metrics, policy: fair_shares.FairShares) -> None:
    def held_back() -> metrics.Observations:
        yield policy.held_back_count(), {}

    target.add_gauge(
        "toucanhold.workspaces.held_back", "{workspace}", "Workspaces that wait longer", held_back
    )
