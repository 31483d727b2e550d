"""Gauges and counters that are read from the components of an entry at each scrape."""

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
class MetricSource:
    """The definition of a metric that is read at each scrape.

    :ivar name: name by OpenTelemetry's conventions
    :ivar unit: UCUM unit, such as ``{request}``
    :ivar description: help text
    :ivar read: returns the values of an entry with their attributes
    """

    name: str
    unit: str
    description: str
    read: collections.abc.Callable[[entries.EntryApplication], metrics.Observations]


def register(entry: entries.EntryApplication) -> None:
    """Add the gauges and counters to the metrics of ``entry``."""
    for gauge in GAUGES:
        read = functools.partial(gauge.read, entry)
        entry.metrics.add_gauge(gauge.name, gauge.unit, gauge.description, read)
    for counter in COUNTERS:
        read = functools.partial(counter.read, entry)
        entry.metrics.add_counter(counter.name, counter.unit, counter.description, read)


def _serving_replicas(entry: entries.EntryApplication) -> metrics.Observations:
    now_s = trio.current_time()
    for service in entry.configuration.current.rules.services:
        yield len(entry.finder.find(service, now_s)), {"toucanhold.service": service.name}


def _wanted_replicas(entry: entries.EntryApplication) -> metrics.Observations:
    configuration = entry.configuration.current
    for service in configuration.rules.services:
        wanted = service.replicas
        if service.kind is rules.ServiceKind.PLAIN:
            wanted = sum(vm.service == service.name for vm in configuration.inventory.vms)
        yield wanted, {"toucanhold.service": service.name}


def _servers_by_warmth(entry: entries.EntryApplication) -> metrics.Observations:
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


def _unlabelled(
    value: collections.abc.Callable[[entries.EntryApplication], float],
) -> collections.abc.Callable[[entries.EntryApplication], metrics.Observations]:
    return lambda entry: [(value(entry), {})]


GAUGES = (
    MetricSource(
        "toucanhold.configuration.number",
        "{configuration}",
        "Number of the configuration in force",
        _unlabelled(lambda entry: entry.configuration.current.number),
    ),
    MetricSource(
        "toucanhold.plan.revision",
        "{revision}",
        "Highest revision of the plan known",
        _unlabelled(lambda entry: entry.plans.revision),
    ),
    MetricSource(
        "toucanhold.planner.lease_held",
        "1",
        "Whether this entry is the planner",
        _unlabelled(lambda entry: int(entry.planner.planner_lease.is_held())),
    ),
    MetricSource(
        "toucanhold.platform.answering",
        "1",
        "Whether the key-value service answers",
        _unlabelled(lambda entry: int(entry.configuration_follower.is_answering)),
    ),
    MetricSource(
        "toucanhold.new_work.permitted",
        "1",
        "Whether this entry knows the configuration late enough to start new work",
        _unlabelled(lambda entry: int(entry.permit.may_start())),
    ),
    MetricSource(
        "http.server.active_requests",
        "{request}",
        "Callers' requests in flight",
        _unlabelled(lambda entry: entry.callers.in_flight),
    ),
    MetricSource(
        "toucanhold.replicas.serving",
        "{replica}",
        "Groups or plain servers that may get work",
        _serving_replicas,
    ),
    MetricSource(
        "toucanhold.replicas.wanted",
        "{replica}",
        "Groups or plain servers that the rules want",
        _wanted_replicas,
    ),
    MetricSource(
        "toucanhold.backend_servers", "{server}", "Backend servers by warmth", _servers_by_warmth
    ),
)

COUNTERS = (
    MetricSource(
        "toucanhold.platform.calls",
        "{call}",
        "Calls to the key-value service by kind",
        _platform_calls,
    ),
    MetricSource(
        "toucanhold.platform.calls_refused",
        "{call}",
        "Calls held back by the entry's own budget, by kind",
        _refused_platform_calls,
    ),
    MetricSource(
        "toucanhold.peers.sent",
        "By",
        "Bytes sent to other entries",
        _unlabelled(lambda entry: entry.peers.sent_bytes),
    ),
)
