"""Metrics that are read from an entry's components when a scraper asks."""

from __future__ import annotations

import collections
import collections.abc
import functools
import typing

import attrs
import trio

from toucanhold import metrics
from toucanhold.configuration import rules

if typing.TYPE_CHECKING:
    from toucanhold import entry as entries


@attrs.frozen
class Source:
    """A metric that is read, and how."""

    name: str
    unit: str
    description: str
    read: collections.abc.Callable[[entries.EntryApplication], metrics.Observations]


def register(entry: entries.EntryApplication) -> None:
    """Add the gauges and totals of ``entry`` to its metrics."""
    for gauge in GAUGES:
        read = functools.partial(gauge.read, entry)
        entry.metrics.add_gauge(gauge.name, gauge.unit, gauge.description, read)
    for total in TOTALS:
        read = functools.partial(total.read, entry)
        entry.metrics.add_counter(total.name, total.unit, total.description, read)


def _serving(entry: entries.EntryApplication) -> metrics.Observations:
    now_s = trio.current_time()
    for service in entry.configuration.current.rules.services:
        yield len(entry.finder.find(service, now_s)), {"toucanhold.service": service.name}


def _wanted(entry: entries.EntryApplication) -> metrics.Observations:
    configuration = entry.configuration.current
    for service in configuration.rules.services:
        wanted = service.replicas
        if service.kind is rules.ServiceKind.PLAIN:
            wanted = sum(vm.service == service.name for vm in configuration.inventory.vms)
        yield wanted, {"toucanhold.service": service.name}


def _by_warmth(entry: entries.EntryApplication) -> metrics.Observations:
    now_s = trio.current_time()
    counts: collections.Counter[str] = collections.Counter()
    for vm in entry.configuration.current.inventory.vms:
        report = entry.view.fresh_report(vm.vm, now_s)
        counts["silent" if report is None else report.warmth.value] += 1
    for warmth, count in counts.items():
        yield count, {"toucanhold.warmth": warmth}


def _platform_calls(entry: entries.EntryApplication) -> metrics.Observations:
    for kind, count in entry.platform.calls.items():
        yield count, {"toucanhold.call": kind}


def _refused_platform_calls(entry: entries.EntryApplication) -> metrics.Observations:
    for kind, count in entry.platform.refused.items():
        yield count, {"toucanhold.call": kind}


def _single(
    value: collections.abc.Callable[[entries.EntryApplication], float],
) -> collections.abc.Callable[[entries.EntryApplication], metrics.Observations]:
    return lambda entry: [(value(entry), {})]


GAUGES = (
    Source(
        "toucanhold.configuration.number",
        "{configuration}",
        "Number of the configuration in force",
        _single(lambda entry: entry.configuration.current.number),
    ),
    Source(
        "toucanhold.plan.revision",
        "{revision}",
        "Highest revision of the plan known",
        _single(lambda entry: entry.plans.revision),
    ),
    Source(
        "toucanhold.planner.lease_held",
        "1",
        "Whether this entry is the planner",
        _single(lambda entry: int(entry.planner.leadership.is_held())),
    ),
    Source(
        "toucanhold.platform.answering",
        "1",
        "Whether the key-value service answers",
        _single(lambda entry: int(entry.configuration_follower.is_answering)),
    ),
    Source(
        "toucanhold.new_work.permitted",
        "1",
        "Whether this entry knows the configuration late enough to start new work",
        _single(lambda entry: int(entry.permit.may_start())),
    ),
    Source(
        "http.server.active_requests",
        "{request}",
        "Callers' requests in flight",
        _single(lambda entry: entry.callers.in_flight),
    ),
    Source(
        "toucanhold.replicas.serving",
        "{replica}",
        "Groups or plain servers that may get work",
        _serving,
    ),
    Source(
        "toucanhold.replicas.wanted",
        "{replica}",
        "Groups or plain servers that the rules want",
        _wanted,
    ),
    Source("toucanhold.backend_servers", "{server}", "Backend servers by warmth", _by_warmth),
)

TOTALS = (
    Source(
        "toucanhold.platform.calls",
        "{call}",
        "Calls to the key-value service by kind",
        _platform_calls,
    ),
    Source(
        "toucanhold.platform.calls_refused",
        "{call}",
        "Calls held back by the entry's own budget, by kind",
        _refused_platform_calls,
    ),
    Source(
        "toucanhold.peers.sent",
        "By",
        "Bytes sent to other entries",
        _single(lambda entry: entry.peers.sent_bytes),
    ),
)
