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
class Surroundings:
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


def chosen(around: Surroundings) -> Router:
    """Return routing with the chosen policies."""
    leased = _leased_slots(around)
    in_flight = room.InFlight()
    finder = _finder(around)
    shares = cold.SlotShares(leased, around.view)
    limits = room.EstimatedRoom(in_flight, shares, around.view, lambda: len(around.entries()))
    isolations = isolation.Isolations(around.exchange)
    usable = isolation.IsolatingRoom(limits, isolations)
    policy = choice.TwoChoices(usable, around.rng, around.availability_zone)
    queue = fairqueue.FairQueue(
        around.configuration,
        finder,
        around.view,
        policy,
        in_flight,
        usable,
        shares,
        around.max_in_flight,
    )
    watch = watching.SuspectWatch(
        suspects.SuspectTable(around.exchange),
        deaths.DeathWatch(around.view, around.plans),
        around.view,
        in_flight,
    )
    admission = isolation.IsolatingAdmission(
        queue, finder, in_flight, limits, shares, watch, isolations
    )
    dispatcher = dispatch.Dispatcher(
        admission,
        finder,
        watching.WatchingBackends(around.backends, watch),
        watchdog.Watchdog(around.view),
    )
    return Router(leased, in_flight, finder, shares, usable, policy, queue, dispatcher, watch)


def baseline(around: Surroundings) -> Router:
    """Return routing with the baseline of each policy, for measurements side by side."""
    leased = _leased_slots(around)
    in_flight = room.InFlight()
    finder = _finder(around)
    whole = cold.WholeLimit()
    limits = room.ReportedRoom(in_flight, whole)
    policy = choice.RoundRobin(limits)
    admission = gate.PlainQueue(finder, policy, in_flight, limits, whole)
    dispatcher = dispatch.Dispatcher(
        admission, finder, around.backends, watchdog.Watchdog(around.view)
    )
    return Router(leased, in_flight, finder, whole, limits, policy, admission, dispatcher)


def _leased_slots(around: Surroundings) -> slots.LeasedSlots:
    return slots.LeasedSlots(around.platform, around.entry, around.entries, around.rng)


def _finder(around: Surroundings) -> candidates.CandidateFinder:
    return candidates.CandidateFinder(
        around.configuration, around.plans, around.view, around.may_start
    )
