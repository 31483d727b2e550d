"""Logs how attempts of a call end early, and which other servers it is sent to."""

from __future__ import annotations

import logging

from toucanhold import events
from toucanhold.gateway import call_state, calls, retry_budget, silence

LOGGER = logging.getLogger(__name__)


def log_backup(
    current: call_state.AttemptState,
    silent: call_state.AttemptState,
    found: silence.Silence,
) -> None:
    """Log that a call is also sent to another server.

    :param current: the attempt that starts
    :param silent: the attempt whose server is silent
    """
    state = current.call_state
    events.log(
        LOGGER,
        events.Event.BACKUP_SENT,
        request_id=state.call.call_id,
        server=current.server.server_id,
        silent_server=silent.server.server_id,
        silent_s=round(found.silent_s, 3),
        after_event=state.last_event_id,
        runs=state.attempt_count,
    )


def log_superseded(current: call_state.AttemptState) -> None:
    """Log that an attempt was cancelled because the answer of another one is used."""
    state = current.call_state
    events.log(
        LOGGER,
        events.Event.ATTEMPT_SUPERSEDED,
        request_id=state.call.call_id,
        server=current.server.server_id,
        decided_by=calls.Decider.ENTRY.value,
        was_silent=current.is_silent,
        after_event=state.last_event_id,
    )


def log_lost(
    current: call_state.AttemptState,
    error: calls.ResponseLostError,
    use: retry_budget.RetryUse,
) -> None:
    """Log that an attempt ended before its answer was complete.

    :param use: what this entry believes of the retries of the service
    """
    state = current.call_state
    events.log(
        LOGGER,
        events.Event.ATTEMPT_LOST,
        request_id=state.call.call_id,
        server=current.server.server_id,
        decided_by=error.decided_by.value,
        failure=str(error),
        after_event=state.last_event_id,
        attempts_left=state.attempts_left,
        retries_left=round(use.headroom + use.borrowed, 2),
        remaining_s=round(state.remaining_s, 3),
    )
