"""Metrics that are read from an entry's components when a scraper asks."""

from __future__ import annotations

import collections
import typing

import trio

from toucanhold import metrics
from toucanhold.configuration import rules

if typing.TYPE_CHECKING:
    from toucanhold import entry as entries


def register(entry: entries.EntryApplication) -> None:
    """Add the gauges of ``entry`` to its metrics."""
    observe = entry.metrics.observe
    observe(
        "toucanhold.configuration.number",
        "{configuration}",
        "Number of the configuration in force",
        lambda: [(entry.configuration.current.number, {})],
    )
    observe(
        "toucanhold.plan.revision",
        "{revision}",
        "Highest revision of the plan known",
        lambda: [(entry.plans.revision, {})],
    )
    observe(
        "toucanhold.planner.lease_held",
        "1",
        "Whether this entry is the planner",
        lambda: [(int(entry.planner.leadership.is_held()), {})],
    )
    observe(
        "toucanhold.platform.answering",
        "1",
        "Whether the key-value service answers",
        lambda: [(int(entry.configuration_follower.answering), {})],
    )
    observe(
        "http.server.active_requests",
        "{request}",
        "Callers' requests in flight",
        lambda: [(entry.callers.in_flight, {})],
    )
    observe(
        "toucanhold.replicas.serving",
        "{replica}",
        "Groups or plain servers that may get work",
        lambda: _serving(entry),
    )
    observe(
        "toucanhold.replicas.wanted",
        "{replica}",
        "Groups or plain servers that the rules want",
        lambda: _wanted(entry),
    )
    observe(
        "toucanhold.backend_servers",
        "{server}",
        "Backend servers by warmth",
        lambda: _by_warmth(entry),
    )


def _serving(entry: entries.EntryApplication) -> metrics.Observed:
    now_s = trio.current_time()
    for service in entry.configuration.current.rules.services:
        yield len(entry.finder.find(service, now_s)), {"toucanhold.service": service.name}


def _wanted(entry: entries.EntryApplication) -> metrics.Observed:
    configuration = entry.configuration.current
    for service in configuration.rules.services:
        wanted = service.replicas
        if service.kind is rules.ServiceKind.PLAIN:
            wanted = sum(vm.service == service.name for vm in configuration.inventory.vms)
        yield wanted, {"toucanhold.service": service.name}


def _by_warmth(entry: entries.EntryApplication) -> metrics.Observed:
    now_s = trio.current_time()
    counts: collections.Counter[str] = collections.Counter()
    for vm in entry.configuration.current.inventory.vms:
        report = entry.view.fresh_report(vm.vm, now_s)
        counts["silent" if report is None else report.warmth.value] += 1
    for warmth, count in counts.items():
        yield count, {"toucanhold.warmth": warmth}
