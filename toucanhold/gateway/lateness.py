"""Determines from when on a response certainly misses its objective."""

from __future__ import annotations

import math

from toucanhold.gateway import call_state

# Callers start with between this fraction of the route's timeout and all of it.
MIN_INITIAL_FRACTION = 0.85


def certain_latest_start_s(state: call_state.CallState) -> float:
    """Return the trio clock time after which an attempt certainly starts too late.

    A caller that returns sends its remaining time, which shows the shortest time that it can have
    waited. The objective counts in full, because the time to the first event is not known.

    :return: infinity for streams that resume: their first event may have been on time
    """
    if state.has_response_started or state.call.last_event_id is not None:
        return math.inf
    call, route = state.call, state.route
    remaining_s = call.deadline_s - call.arrived_s
    waited_before_s = max(0.0, MIN_INITIAL_FRACTION * route.timeout_s - remaining_s)
    return call.arrived_s + route.objective_s - waited_before_s
