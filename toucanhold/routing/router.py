"""An entry's routing: its components, built to fit each other."""

from __future__ import annotations

import collections.abc
import random

import attrs
import trio

from toucanhold.backends import client
from toucanhold.configuration import holder
from toucanhold.coordination import keyvalue
from toucanhold.observing import view
from toucanhold.peers import exchange
from toucanhold.plans import plan
from toucanhold.routing import (
    candidates,
    choice,
    cold,
    deaths,
    dispatch,
    fairqueue,
    gate,
    isolation,
    room,
    slots,
    suspects,
    watchdog,
    watching,
)


@attrs.frozen
class RouterDependencies:
    """What routing rests on.

    :ivar entry: this entry's name
    :ivar availability_zone: where this entry runs
    :ivar entries: returns the names of all entries that serve
    :ivar max_in_flight: most requests that this entry has in flight
    :ivar may_start: whether this entry's configuration is late enough for new work
    """

    entry: str
    availability_zone: str
    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.View
    platform: keyvalue.KeyValueClient
    backends: client.BackendClient
    entries: collections.abc.Callable[[], collections.abc.Sequence[str]]
    rng: random.Random
    max_in_flight: int = 2000
    may_start: collections.abc.Callable[[], bool] = lambda: True
    exchange: exchange.Exchange = attrs.field(factory=exchange.Exchange)


@attrs.frozen
class Router:
    """The components of routing."""

    slots: slots.LeasedSlots
    in_flight: room.InFlight
    finder: candidates.CandidateFinder
    cold: cold.ColdPolicy
    room: room.RoomPolicy
    choice: choice.ChoicePolicy
    admission: gate.AdmissionPolicy
    dispatcher: dispatch.Dispatcher
    watch: watching.SuspectWatch | None = None

    async def run(self) -> None:
        """Do the background work until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.slots.run)
            nursery.start_soon(self.dispatcher.watchdog.run)
            if self.watch is not None:
                nursery.start_soon(self.watch.run)

    async def release(self) -> None:
        """Give back what this entry holds; nothing may be in flight any more."""
        await self.slots.release()


def build_default(dependencies: RouterDependencies) -> Router:
    """Return routing with the chosen policies."""
    leased = _leased_slots(dependencies)
    in_flight = room.InFlight()
    finder = _finder(dependencies)
    shares = cold.SlotShares(leased, dependencies.view)
    limits = room.EstimatedRoom(
        in_flight, shares, dependencies.view, lambda: len(dependencies.entries())
    )
    isolations = isolation.Isolations(dependencies.exchange)
    usable = isolation.IsolatingRoom(limits, isolations)
    policy = choice.TwoChoices(usable, dependencies.rng, dependencies.availability_zone)
    queue = fairqueue.FairQueue(
        dependencies.configuration,
        finder,
        dependencies.view,
        policy,
        in_flight,
        usable,
        shares,
        dependencies.max_in_flight,
    )
    watch = watching.SuspectWatch(
        suspects.SuspectTable(dependencies.exchange),
        deaths.DeathWatch(dependencies.view, dependencies.plans),
        dependencies.view,
        in_flight,
    )
    admission = isolation.IsolatingAdmission(
        queue, finder, in_flight, limits, shares, watch, isolations
    )
    dispatcher = dispatch.Dispatcher(
        admission,
        finder,
        watching.WatchingBackends(dependencies.backends, watch),
        watchdog.Watchdog(dependencies.view),
    )
    return Router(leased, in_flight, finder, shares, usable, policy, queue, dispatcher, watch)


def build_baseline(dependencies: RouterDependencies) -> Router:
    """Return routing with the baseline of each policy, for measurements side by side."""
    leased = _leased_slots(dependencies)
    in_flight = room.InFlight()
    finder = _finder(dependencies)
    whole = cold.WholeLimit()
    limits = room.ReportedRoom(in_flight, whole)
    policy = choice.RoundRobin(limits)
    admission = gate.PlainQueue(finder, policy, in_flight, limits, whole)
    dispatcher = dispatch.Dispatcher(
        admission, finder, dependencies.backends, watchdog.Watchdog(dependencies.view)
    )
    return Router(leased, in_flight, finder, whole, limits, policy, admission, dispatcher)


def _leased_slots(dependencies: RouterDependencies) -> slots.LeasedSlots:
    return slots.LeasedSlots(
        dependencies.platform, dependencies.entry, dependencies.entries, dependencies.rng
    )


def _finder(dependencies: RouterDependencies) -> candidates.CandidateFinder:
    return candidates.CandidateFinder(
        dependencies.configuration, dependencies.plans, dependencies.view, dependencies.may_start
    )
