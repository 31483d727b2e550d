"""Estimates the demand for each model and derives how many groups of it to aim at.

The configured shares of the models are the work expected at the start. Where callers ask for one
model far more than that, its groups run full while the servers of the other model are idle.
"""

from __future__ import annotations

import collections.abc
import math

import attrs
import trio

from toucanhold.routes import table

# Changing a group's model takes up to 16 s, so waves of demand of a few seconds are smoothed out.
SMOOTHING_S = 5.0
# Weight of the first observation, before which nothing was observed.
FIRST_WEIGHT = 0.01
# A new planner observes for this long before it departs from the configured shares.
MIN_OBSERVATION_S = 3.0
# Demand is uneven if, with the configured shares, one model's groups would be this many times as
# busy as another's ...
UNEVEN_RATIO = 1.5
# ... and use more than this fraction of their slots. Idle models need no further groups.
BUSY_FRACTION = 0.5
# Factor on both once the targets follow the demand. Otherwise, a short dip would return them to the
# configured shares, and groups would be ended for it.
KEPT_FACTOR = 0.75
# A model without requests counts as hardly used, not as unknown.
MIN_SLOTS_IN_USE = 0.01
# If more than this fraction of a model's slots is in use, requests wait that are not counted.
SATURATED_FRACTION = 0.9
# Demand of such a model, relative to its slots in use.
SATURATED_FACTOR = 1.25
# Groups beyond those that the demand fills: one may be lost at any moment.
SPARE_GROUPS = 1


@attrs.define(eq=False)
class DemandEstimate:
    """Smoothed number of requests by model of one service, in the unit of slots in use."""

    _weighted_sums: dict[str, float] = attrs.field(factory=dict, init=False)
    _weight: float = attrs.field(default=0.0, init=False)
    _started_s: float = attrs.field(factory=trio.current_time, init=False)
    _updated_s: float = attrs.field(factory=trio.current_time, init=False)

    def update(
        self,
        slots_in_use: collections.abc.Mapping[str, float],
        slots: collections.abc.Mapping[str, float],
    ) -> None:
        """Add an observation.

        :param slots_in_use: slots in use now, by model
        :param slots: slots of the open groups, by model
        """
        now_s = trio.current_time()
        decay = math.exp((self._updated_s - now_s) / SMOOTHING_S)
        gain = max(1 - decay, FIRST_WEIGHT)
        self._weight = decay * self._weight + gain
        self._updated_s = now_s
        for model, used in slots_in_use.items():
            is_saturated = used > SATURATED_FRACTION * slots[model]
            observed = used * SATURATED_FACTOR if is_saturated else used
            self._weighted_sums[model] = (
                decay * self._weighted_sums.get(model, 0.0) + gain * observed
            )

    def slots_in_use(self) -> dict[str, float]:
        """Return the smoothed slots in use by model; empty until enough was observed."""
        if trio.current_time() - self._started_s < MIN_OBSERVATION_S:
            return {}
        return {model: total / self._weight for model, total in self._weighted_sums.items()}


def target_counts(
    engine: table.Engine,
    server_count: float,
    share_counts: collections.abc.Mapping[str, float],
    slots_in_use: collections.abc.Mapping[str, float],
    was_followed: bool = False,
) -> dict[str, float] | None:
    """Return the numbers of groups with which all models would be equally busy.

    Unevenness is measured at the configured shares, not at the present groups: otherwise, groups
    that follow the demand would make it look even, and would be changed back.

    :param server_count: servers to divide among groups
    :param share_counts: numbers of groups by model at the configured shares
    :param slots_in_use: smoothed slots in use, by model
    :param was_followed: whether the demand was uneven before
    :return: numbers of groups by model, or None if the demand is unknown or not uneven
    """
    slots_in_use = {model: max(used, MIN_SLOTS_IN_USE) for model, used in slots_in_use.items()}
    if not _is_uneven(engine, share_counts, slots_in_use, was_followed):
        return None
    floors = {
        model.name: math.ceil(slots_in_use[model.name] / engine.slots) + SPARE_GROUPS
        for model in engine.models
    }
    needed = sum(slots_in_use[model.name] * model.size for model in engine.models)
    targets = {
        model.name: max(floors[model.name], server_count * slots_in_use[model.name] / needed)
        for model in engine.models
    }
    # Floors of one model take servers from the others, never below their own floors.
    excess = sum(targets[model.name] * model.size for model in engine.models) - server_count
    for model in sorted(engine.models, key=lambda each: floors[each.name] - targets[each.name]):
        reduction = max(0.0, min(excess / model.size, targets[model.name] - floors[model.name]))
        targets[model.name] -= reduction
        excess -= reduction * model.size
    return targets


def _is_uneven(
    engine: table.Engine,
    share_counts: collections.abc.Mapping[str, float],
    slots_in_use: collections.abc.Mapping[str, float],
    was_followed: bool,
) -> bool:
    if len(engine.models) < 2 or not all(each.name in slots_in_use for each in engine.models):
        return False
    used_fractions = [
        slots_in_use[model.name] / (share_counts[model.name] * engine.slots)
        for model in engine.models
    ]
    busiest = max(used_fractions)
    factor = KEPT_FACTOR if was_followed else 1.0
    return busiest > factor * BUSY_FRACTION and busiest >= factor * UNEVEN_RATIO * min(
        used_fractions
    )
