"""Builds the optional policies of the request path that the settings switch on."""

from __future__ import annotations

import collections.abc
import typing

import attrs

from toucanhold.gateway import (
    entries,
    entry_shares,
    first_event_times,
    health,
    lateness,
    limits,
    load,
    outcomes,
    policies,
    queueing,
    selection,
    shared_counts,
)
from toucanhold.registry import registry, servers
from toucanhold.routes import table

# Importing all policies takes a tenth of the processor time of an entry's start, so each builder
# imports its own.
if typing.TYPE_CHECKING:
    from toucanhold.gateway import (
        expected_wait,
        fair_shares,
        late_holdback,
        server_speed,
        slot_shares,
        trials,
    )


@attrs.frozen(eq=False)
class Dependencies:
    """What policies observe.

    :ivar counts: counts of other entries
    :ivar find_usable: returns the servers of a service and model that may get requests
    """

    entry_list: entries.EntryList
    server_registry: registry.Registry
    load_tracker: load.LoadTracker
    health: health.Health
    limit_table: limits.LimitTable
    counts: shared_counts.SharedCounts
    find_usable: collections.abc.Callable[[table.Service, str], list[servers.Server]]


@attrs.define(eq=False)
class PolicySet:
    """The policies that are on; the others are None.

    :ivar queue: policies that order, delay and refuse requests
    :ivar selection: policies that influence which server gets a request
    :ivar observers: policies that observe attempts
    :ivar count_sources: policies whose counts other entries add up
    :ivar first_event_times: fixed unless expected-wait is on
    """

    active: collections.abc.Set[policies.Policy]
    dependencies: Dependencies
    queue: list[queueing.QueuePolicy] = attrs.field(factory=list, init=False)
    selection: list[selection.SelectionPolicy] = attrs.field(factory=list, init=False)
    observers: list[outcomes.AttemptObserver] = attrs.field(factory=list, init=False)
    count_sources: list[shared_counts.CountSource] = attrs.field(factory=list, init=False)
    server_trials: trials.ServerTrials | None = attrs.field(default=None, init=False)
    server_speed: server_speed.ServerSpeed | None = attrs.field(default=None, init=False)
    late_holdback: late_holdback.LateHoldback | None = attrs.field(default=None, init=False)
    slot_shares: slot_shares.SlotShares | None = attrs.field(default=None, init=False)
    expected_wait: expected_wait.ExpectedWait | None = attrs.field(default=None, init=False)
    fair_shares: fair_shares.FairShares | None = attrs.field(default=None, init=False)
    _shares: entry_shares.EntryShares = attrs.field(init=False)
    first_event_times: first_event_times.FirstEventTimes = attrs.field(
        factory=first_event_times.FirstEventTimes, init=False
    )

    def __attrs_post_init__(self) -> None:
        """Build the policies; those built first have the most weight in the order of the queue."""
        known = self.dependencies
        self._shares = entry_shares.EntryShares(known.entry_list, known.counts)
        builders = {
            policies.Policy.SERVER_TRIALS: self._build_server_trials,
            policies.Policy.SERVER_SPEED: self._build_server_speed,
            policies.Policy.LATE_HOLDBACK: self._build_late_holdback,
            policies.Policy.SLOT_SHARES: self._build_slot_shares,
            # Requests that return after a refusal go first only within a fair share.
            policies.Policy.FAIR_SHARES: self._build_fair_shares,
            policies.Policy.EXPECTED_WAIT: self._build_expected_wait,
        }
        for policy, build in builders.items():
            if policy in self.active:
                build()

    @property
    def min_initial_fraction(self) -> float:
        """Least fraction of a route's timeout that callers are assumed to start with."""
        return lateness.MIN_INITIAL_FRACTION if self.late_holdback is not None else 1.0

    def retain(self, is_known: collections.abc.Callable[[tuple[str, int]], bool]) -> None:
        """Forget servers that are gone."""
        for policy in (self.server_trials, self.server_speed):
            if policy is not None:
                policy.retain(is_known)
        if self.slot_shares is not None:
            known = self.dependencies.server_registry
            self.slot_shares.retain(lambda name: name in known.servers or name in known.lapsed)

    def _build_server_trials(self) -> None:
        from toucanhold.gateway import trial_turns, trials

        known = self.dependencies
        turns = trial_turns.TrialTurns(known.entry_list, known.counts)
        self.server_trials = trials.ServerTrials(
            known.health, known.load_tracker, known.limit_table, turns
        )
        self.selection.append(self.server_trials)
        self.observers.append(self.server_trials)
        self.count_sources.append(turns)

    def _build_server_speed(self) -> None:
        from toucanhold.gateway import server_speed

        known = self.dependencies
        self.server_speed = server_speed.ServerSpeed(
            known.server_registry, known.load_tracker, known.entry_list, known.counts
        )
        self.selection.append(self.server_speed)
        self.observers.append(self.server_speed.estimates)
        self.count_sources.append(self.server_speed)

    def _build_late_holdback(self) -> None:
        from toucanhold.gateway import late_holdback

        known = self.dependencies
        self.late_holdback = late_holdback.LateHoldback(
            self._shares, known.load_tracker, known.find_usable
        )
        self.queue.append(self.late_holdback)
        self.count_sources.append(self.late_holdback)

    def _build_slot_shares(self) -> None:
        from toucanhold.gateway import slot_shares

        self.slot_shares = slot_shares.SlotShares(self._shares, self.dependencies.load_tracker)
        self.queue.append(self.slot_shares)
        self.selection.append(self.slot_shares)
        self.count_sources.append(self.slot_shares)

    def _build_expected_wait(self) -> None:
        from toucanhold.gateway import expected_wait

        self.expected_wait = expected_wait.ExpectedWait()
        self.queue.append(self.expected_wait)
        self.observers += [self.expected_wait, self.first_event_times]

    def _build_fair_shares(self) -> None:
        from toucanhold.gateway import fair_shares

        self.fair_shares = fair_shares.FairShares(self.dependencies.counts)
        self.queue.append(self.fair_shares)
        self.count_sources.append(self.fair_shares)
