"""Estimates the slots that on-time requests need, from their arrivals and the time they take."""

from __future__ import annotations

import collections
import math

import attrs
import trio

from toucanhold.gateway import arrival_rates
from toucanhold.routes import table

# Part of the share that is reserved until the rates are known.
UNKNOWN_RESERVE_FRACTION = 0.5
# Time after this entry's first request until the arrival rates count as known.
LEARNING_TIME_S = 1.0
# Ended requests after which the time that a slot is held counts as known.
MIN_HOLDS = 3
# Lower rates do not count while the time that a slot is held is unknown.
MIN_RATE_PER_S = 0.01
# Weight of the newest hold time in their mean.
HOLD_WEIGHT = 0.1
# Time after which other entries know of a request that this entry has started.
NOTICE_TIME_S = 0.3
# Requests that end sooner were refused, and tell nothing of the time that slots are held.
MIN_HOLD_S = 0.01
# A longer time without late requests earns no further credit; otherwise all entries would use
# theirs at once.
MAX_ACCRUAL_S = 1.0


@attrs.define
class Allowance:
    """What the late requests of one priority may use.

    :ivar slots: number of slots that they may hold, with a fraction
    :ivar credit: starts that fractions of a slot have added up to
    """

    credit: float
    slots: float = 0.0
    updated_s: float = attrs.field(factory=trio.current_time)

    def accrue(self, hold_s: float, spare_slots: float) -> None:
        """Add the starts that the time since the last call allows."""
        now_s = trio.current_time()
        rate_per_s = max(self.slots % 1 / hold_s, spare_slots / NOTICE_TIME_S)
        gained = rate_per_s * min(MAX_ACCRUAL_S, now_s - self.updated_s)
        self.credit = min(max(1.0, spare_slots), self.credit + gained)
        self.updated_s = now_s


@attrs.define(eq=False)
class ModelState:
    """What is known of the requests for one service and model.

    :ivar name: service and model, as in the counts that entries report
    :ivar since_s: trio clock time of this entry's first request of any model
    :ivar arrivals: rate of all requests
    :ivar on_time_arrivals: rates of the on-time requests by priority
    :ivar in_flight: requests that hold a slot, by priority and whether they were late
    :ivar started_sum_s: sum of the start times of the requests in flight
    :ivar hold_s: mean time that the ended requests held their slots
    :ivar share_slots: this entry's share of the slots
    :ivar spare_slots: this entry's share of the slots that are free beyond all entries' needs
    :ivar site_slots: slots of all servers
    :ivar site_spare_slots: slots of all servers that are free beyond all entries' needs
    :ivar allowances: by priority
    """

    service: table.Service
    model: str
    name: str
    since_s: float
    arrivals: arrival_rates.ArrivalRate = attrs.field(init=False)
    on_time_arrivals: dict[int, arrival_rates.ArrivalRate] = attrs.field(factory=dict)
    in_flight: collections.Counter[tuple[int, bool]] = attrs.field(factory=collections.Counter)
    started_sum_s: float = 0.0
    hold_s: float = 0.0
    hold_count: int = 0
    share_slots: float = 0.0
    spare_slots: float = 0.0
    site_slots: int = 0
    site_spare_slots: float = 0.0
    allowances: dict[int, Allowance] = attrs.field(factory=dict)
    refreshed_s: float = -math.inf
    logged_s: float = -math.inf

    def __attrs_post_init__(self) -> None:
        """Start to observe the arrivals."""
        self.arrivals = arrival_rates.ArrivalRate(self.since_s)

    @property
    def has_arrival_rates(self) -> bool:
        """Whether requests have been observed for long enough."""
        return trio.current_time() >= self.since_s + LEARNING_TIME_S

    def record_arrival(self, priority: int, is_late: bool) -> None:
        """Count a request that needs a slot."""
        self.arrivals.add()
        if is_late:
            return
        if priority not in self.on_time_arrivals:
            self.on_time_arrivals[priority] = arrival_rates.ArrivalRate(self.since_s)
        self.on_time_arrivals[priority].add()

    def record_hold(self, hold_s: float) -> None:
        """Process the time for which an ended request held its slot."""
        if hold_s < MIN_HOLD_S:
            return
        self.hold_count += 1
        self.hold_s += max(HOLD_WEIGHT, 1 / self.hold_count) * (hold_s - self.hold_s)

    def take_credit(self, priority: int) -> None:
        """Take a start from the credit of a priority."""
        allowance = self.allowances[priority]
        allowance.credit = max(0.0, allowance.credit - 1)
        self.limit_credits()

    def limit_credits(self) -> None:
        """Leave no priority more credit than a more urgent one, which would start later."""
        least = math.inf
        for _, allowance in sorted(self.allowances.items()):
            allowance.credit = least = min(least, allowance.credit)

    def expected_hold_s(self) -> float:
        """Return the expected time that a slot is held."""
        count = self.in_flight.total()
        # Short requests end first, and servers may become slower: requests in flight that have
        # already taken longer show that the mean of the ended ones is too low.
        age_s = trio.current_time() - self.started_sum_s / count if count else 0.0
        return max(self.hold_s if self.hold_count else LEARNING_TIME_S, age_s)

    @property
    def is_need_known(self) -> bool:
        """Whether arrivals and the time that slots are held have been observed for long enough."""
        return self.has_arrival_rates and self.hold_count >= MIN_HOLDS

    def need(self, priority: float = math.inf) -> float:
        """Return the slots that on-time requests at least as urgent as a priority need."""
        rate_per_s = sum(
            rate.per_s() for each, rate in self.on_time_arrivals.items() if each <= priority
        )
        need = rate_per_s * self.expected_hold_s()
        if self.is_need_known or (self.has_arrival_rates and rate_per_s < MIN_RATE_PER_S):
            return need
        return max(UNKNOWN_RESERVE_FRACTION * self.share_slots, need)

    def on_time_in_flight(self) -> int:
        """Return the number of on-time requests in flight."""
        return sum(count for (_, is_late), count in self.in_flight.items() if not is_late)

    def late_in_flight(self, priority: int) -> int:
        """Return the number of late requests in flight that are at least as urgent."""
        return sum(
            count
            for (each, is_late), count in self.in_flight.items()
            if is_late and each <= priority
        )
