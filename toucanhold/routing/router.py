"""Builds the routing components of an entry."""

from __future__ import annotations

import collections.abc
import random

import attrs
import trio

from toucanhold import lifetime, supervision
from toucanhold.backends import client
from toucanhold.configuration import holder
from toucanhold.coordination import keyvalue
from toucanhold.observing import view
from toucanhold.peers import exchange
from toucanhold.plans import plan
from toucanhold.routing import (
    admission,
    candidates,
    capacity,
    choice,
    cold,
    dispatch,
    failures,
    fairqueue,
    incidents,
    isolation,
    reservations,
    slots,
    suspects,
    watchdog,
)


@attrs.frozen
class RouterDependencies:
    """The components and settings that routing depends on.

    :ivar entry: this entry's name
    :ivar availability_zone: this entry's zone
    :ivar serving_entries: returns the names of all serving entries
    :ivar max_in_flight: largest number of requests that this entry has in flight
    :ivar may_start: returns whether this entry's configuration is recent enough for new work
    :ivar lifetime: the time that this process has for answers
    """

    entry: str
    availability_zone: str
    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.BackendView
    platform: keyvalue.KeyValueClient
    backends: client.BackendClient
    serving_entries: collections.abc.Callable[[], collections.abc.Sequence[str]]
    rng: random.Random
    max_in_flight: int = 2000
    may_start: collections.abc.Callable[[], bool] = lambda: True
    exchange: exchange.Exchange = attrs.field(factory=exchange.Exchange)
    lifetime: lifetime.Lifetime = attrs.field(factory=lifetime.Lifetime)


@attrs.frozen
class Router:
    """The routing components of one entry.

    :ivar tracker: None if lost requests are not tracked
    """

    slots: slots.LeasedSlots
    in_flight: capacity.InFlightCounts
    finder: candidates.CandidateFinder
    cold_policy: cold.ColdPolicy
    capacity: capacity.CapacityPolicy
    choice: choice.ChoicePolicy
    admission: admission.AdmissionPolicy
    dispatcher: dispatch.Dispatcher
    tracker: incidents.IncidentTracker | None = None

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervision.keep_running, self.slots.run)
            nursery.start_soon(supervision.keep_running, self.dispatcher.watchdog.run)
            if self.tracker is not None:
                nursery.start_soon(supervision.keep_running, self.tracker.run)

    async def release(self) -> None:
        """Release this entry's slots; no request may be in flight any more."""
        await self.slots.release()


def build_default(dependencies: RouterDependencies) -> Router:
    """Return a router with the default policies."""
    leased = _leased_slots(dependencies)
    in_flight = capacity.InFlightCounts()
    finder = _finder(dependencies)
    shared_limit = cold.SharedLimit(leased, dependencies.view)

    def count_entries() -> int:
        # An entry that is stopping is listed no more, and still sends requests.
        return len({*dependencies.serving_entries(), dependencies.entry})

    capacity_policy = capacity.EstimatedCapacity(
        in_flight, shared_limit, dependencies.view, count_entries
    )
    reserved = reservations.ReservationTable(dependencies.entry, dependencies.exchange)
    usable = isolation.IsolatingCapacity(capacity_policy, reserved)
    policy = choice.TwoChoices(usable, dependencies.rng, dependencies.availability_zone)
    queue = fairqueue.FairQueue(
        dependencies.configuration,
        finder,
        dependencies.view,
        policy,
        in_flight,
        usable,
        shared_limit,
        dependencies.max_in_flight,
    )
    tracker = incidents.IncidentTracker(
        suspects.SuspectTable(dependencies.exchange),
        failures.FailureDetector(dependencies.view, dependencies.plans),
        dependencies.view,
        in_flight,
    )
    admission_policy = isolation.IsolatingAdmission(
        queue, finder, in_flight, capacity_policy, shared_limit, tracker, reserved
    )
    dispatcher = dispatch.Dispatcher(
        admission_policy,
        finder,
        incidents.TrackingBackendClient(dependencies.backends, tracker),
        watchdog.Watchdog(dependencies.view),
        lifetime=dependencies.lifetime,
    )
    return Router(
        leased, in_flight, finder, shared_limit, usable, policy, queue, dispatcher, tracker
    )


def build_baseline(dependencies: RouterDependencies) -> Router:
    """Return a router with the baseline policies, for comparison measurements."""
    leased = _leased_slots(dependencies)
    in_flight = capacity.InFlightCounts()
    finder = _finder(dependencies)
    unshared_limit = cold.UnsharedLimit()
    capacity_policy = capacity.ReportedCapacity(in_flight, unshared_limit)
    policy = choice.RoundRobin(capacity_policy)
    admission_policy = admission.FirstComeQueue(
        finder, policy, in_flight, capacity_policy, unshared_limit
    )
    dispatcher = dispatch.Dispatcher(
        admission_policy,
        finder,
        dependencies.backends,
        watchdog.Watchdog(dependencies.view),
        lifetime=dependencies.lifetime,
    )
    return Router(
        leased,
        in_flight,
        finder,
        unshared_limit,
        capacity_policy,
        policy,
        admission_policy,
        dispatcher,
    )


def _leased_slots(dependencies: RouterDependencies) -> slots.LeasedSlots:
    return slots.LeasedSlots(
        dependencies.platform, dependencies.entry, dependencies.serving_entries, dependencies.rng
    )


def _finder(dependencies: RouterDependencies) -> candidates.CandidateFinder:
    return candidates.CandidateFinder(
        dependencies.configuration, dependencies.plans, dependencies.view, dependencies.may_start
    )
