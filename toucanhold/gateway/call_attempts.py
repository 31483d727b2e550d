"""Runs the attempts of one call until a server has answered it."""

from __future__ import annotations

import contextlib
import functools
import logging
import math
import typing

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import (
    admission,
    attempt,
    attempt_logs,
    call_state,
    calls,
    crash_guard,
    lateness,
    outcomes,
    queueing,
    retry_budget,
    silence,
)

if typing.TYPE_CHECKING:
    from toucanhold.gateway import gateway

# Fraction of its remaining time that a request may spend in the queue. A late response is worth
# less to the caller; beyond this wait, a refusal with a retry delay serves the caller better.
MAX_WAIT_FRACTION = 0.3
# Minimum time left for an attempt on another server to be worthwhile.
MIN_REMAINING_S = 0.05
# Servers per call that may refuse the connection without a retry of the shared budget: nothing
# reached them. A whole zone that restarts would otherwise use up the budget within a second.
MAX_FREE_CONNECTS = 3
# Times that a request queues again for a retry that it has been granted.
MAX_UNPLACED = 3
RETRY_AFTER_S = 1.0
# Backups of one call that may fail. Each that is refused uses a retry.
MAX_FAILED_BACKUPS = 3
# Time between two looks for a free slot. Comparing all servers takes most of the time of a look.
BACKUP_INTERVAL_S = 0.06
# Silence after which a call is sent to another server although no server is heard from. Before
# that, retries would be spent on servers that pause as well.
MAX_GENERAL_SILENCE_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class CallAttempts:
    """The attempts of one call.

    :ivar gateway: what the attempts of all calls share
    """

    gateway: gateway.Gateway
    state: call_state.CallState
    guard: crash_guard.CrashGuard

    async def run(self) -> int:
        """Send the call to servers until one has answered.

        :return: HTTP status of the response
        :raises calls.CallError: if no response has started
        :raises calls.ResponseLostError: if a response has started, but cannot be completed
        """
        while True:
            self._refuse_if_unwanted()
            try:
                status = await self._run_attempt()
            except calls.ExchangeError as error:
                await self._check_retry(error)
            else:
                # Without a status, the request became unwanted while it was queued.
                if status is not None:
                    return status

    def _refuse_if_unwanted(self) -> None:
        if self.state.ends_too_late:
            # Other entries can take it now.
            raise calls.CallError(
                calls.RefusalReason.STOPPING, retry_after_s=0.0, decided_by=calls.Decider.STOP
            )
        refusal_s = self.guard.refusal_s()
        if refusal_s:
            self._raise_failure(calls.RefusalReason.CRASHES_SERVERS, refusal_s)

    async def _run_attempt(self) -> int | None:
        """Send the call to a server once there is one, and to a backup while it is silent.

        :return: HTTP status of the response; None if the request was blocked while it was queued,
            or there is no time for it any more
        :raises calls.ExchangeError: the failure of the last attempt that was under way
        """
        with contextlib.ExitStack() as stack:
            placement = await self._place()
            if placement is None:
                return None
            stack.enter_context(placement)
            if self.guard.is_blocked or self.state.ends_too_late:
                return None
            self._renew_retry()
            race = call_state.AttemptRace()
            retry, self.state.retry = self.state.retry, None
            current = self._new_attempt(race, placement, retry)
            async with trio.open_nursery() as nursery:
                # The slot becomes free when this attempt ends, even if a backup goes on.
                with stack.pop_all():
                    await self._run_in_race(current, nursery)
                if race.status is not None:
                    nursery.cancel_scope.cancel()
        if race.status is None:
            assert race.error is not None
            raise race.error
        return race.status

    async def _place(self) -> admission.Placement | None:
        """Return a slot; None if a stop has begun and leaves no time for the call."""
        state, placement = self.state, None
        # A call that a server may have run is better sent again than lost.
        deadline_s = -math.inf if state.may_have_run else state.deadline_s
        try:
            with state.lifetime.waiting(deadline_s):
                placement = await self.gateway.admission.acquire(self._placement_request())
            return placement
        except calls.CallError as error:
            if self.state.has_response_started:
                raise calls.ResponseLostError(str(error), decided_by=error.decided_by) from error
            if self.state.may_have_run:
                raise calls.CallError(calls.RefusalReason.RESPONSE_LOST, True) from error
            raise

    def _new_attempt(
        self,
        race: call_state.AttemptRace,
        placement: admission.Placement,
        retry: retry_budget.Retry | None,
    ) -> call_state.AttemptState:
        server, state = placement.server, self.state
        may_wait = self.gateway.admission.may_wait_at(state.service, server)
        selector = self.gateway.admission.server_selector
        placed = outcomes.Attempt(
            server,
            state.service,
            state.route,
            state.call.model,
            selector.load_tracker.estimate(server.server_id),
            trio.current_time(),
            state.has_response_started,
            selector.is_suspended(server),
            state.call.prompt_tokens,
            state.call.output_tokens,
        )
        observed = outcomes.ObservedAttempt(placed, self.gateway.attempt_observer)
        return call_state.AttemptState(state, server, race, observed, may_wait, retry)

    async def _run_in_race(self, current: call_state.AttemptState, nursery: trio.Nursery) -> None:
        race = current.race
        race.attempts.append(current)
        try:
            with current.scope, self.guard.attempt():
                race.status = await attempt.run_attempt(
                    current,
                    self.gateway.server_client,
                    self.gateway.silence_detector,
                    self.gateway.health,
                    functools.partial(self._may_fail_over, current),
                    functools.partial(self._handle_silence, current, nursery),
                    self.gateway.answer_memory,
                )
                self.guard.record_answer(race.status, current.progress)
        except calls.ExchangeError as error:
            if not current.scope.cancel_called:
                self._record_failure(current, error)
                race.error = error
        finally:
            race.attempts.remove(current)
        if current.scope.cancel_called:
            self._record_superseded(current)

    def _record_failure(self, current: call_state.AttemptState, error: calls.ExchangeError) -> None:
        server_id = current.server.server_id
        current.record_failure()
        if isinstance(error, calls.NotRunError):
            self._avoid_if_gone(server_id, error)
        elif isinstance(error, calls.ResponseLostError):
            use = self.gateway.retry_budget.use(self.state.service.name, current.is_trial)
            attempt_logs.log_lost(current, error, use)
            current.record_unused_response()
            self.gateway.health.record_outcome(server_id, is_failure=True)
            self.guard.record_lost(server_id, error, current.progress)

    def _record_superseded(self, current: call_state.AttemptState) -> None:
        current.record_unused_response()
        attempt_logs.log_superseded(current)
        if current.is_silent:
            server_id = current.server.server_id
            self.state.excluded.add(server_id)
            self.gateway.health.record_outcome(server_id, is_failure=True)

    def _avoid_if_gone(self, server_id: str, error: calls.NotRunError) -> None:
        if error.is_gone:
            self.gateway.health.avoid(server_id, str(error))
            self.gateway.silence_detector.on_silent(server_id)
        if error.at_fault:
            # The head names the group member that prevents it from serving, so its failure is
            # permanent.
            self.gateway.health.avoid(
                server_id, f"group member {error.at_fault} prevents the head from serving"
            )
            self.gateway.silence_detector.on_silent(server_id)

    def _handle_silence(
        self, current: call_state.AttemptState, nursery: trio.Nursery, found: silence.Silence
    ) -> None:
        """Start a backup if a retry and a sound server's slot are free."""
        current.is_silent = True
        race = current.race
        if (
            race.status is not None
            or race.is_backup_starting
            or not race.is_silent()
            or not self._may_back_up(race, found)
        ):
            return
        race.is_backup_starting = True
        nursery.start_soon(self._run_backup, current, nursery, found)

    def _may_back_up(self, race: call_state.AttemptRace, found: silence.Silence) -> bool:
        state, now_s = self.state, trio.current_time()
        if (
            state.attempt_count >= state.route.max_attempts
            or race.failed_backups >= MAX_FAILED_BACKUPS
            or now_s < race.next_backup_s
            or state.remaining_s < MIN_REMAINING_S
            or self.guard.is_blocked
        ):
            return False
        race.next_backup_s = now_s + BACKUP_INTERVAL_S
        if found.may_be_general and found.silent_s < MAX_GENERAL_SILENCE_S:
            return False
        if not self.gateway.retry_budget.has_remaining(state.service.name):
            return False
        return self.gateway.admission.has_sound_server(self._backup_request(race, found))

    async def _run_backup(
        self, silent: call_state.AttemptState, nursery: trio.Nursery, found: silence.Silence
    ) -> None:
        race = silent.race
        try:
            retry = await self.gateway.retry_budget.acquire(
                self.state.service.name, retry_budget.RetryCause.ANSWER_LOST, silent.is_trial
            )
            if retry is None:
                return
            # The server may have gone on, or failed, while other entries were asked for a retry.
            placement = None
            if race.attempts and race.is_silent():
                # If few servers are silent, this would send all streams of one to the same server.
                preferred = found.heard_servers if found.is_widespread else frozenset()
                placement = self.gateway.admission.try_acquire(
                    self._backup_request(race, found), preferred
                )
            if placement is None:
                retry.cancel()
                return
            with placement:
                # The silent servers may have received the call, so this one's retry counts.
                self.state.has_arrived = True
                current = self._new_attempt(race, placement, retry)
                attempt_logs.log_backup(current, silent, found)
                race.is_backup_starting = False
                await self._run_in_race(current, nursery)
            if race.status is not None:
                nursery.cancel_scope.cancel()
            elif not current.scope.cancel_called:
                race.failed_backups += 1
        finally:
            race.is_backup_starting = False

    def _backup_request(
        self, race: call_state.AttemptRace, found: silence.Silence
    ) -> queueing.PlacementRequest:
        request = self._placement_request()
        in_use = {other.server.server_id for other in race.attempts}
        return attrs.evolve(request, excluded=request.excluded | in_use | found.quiet_servers)

    def _placement_request(self) -> queueing.PlacementRequest:
        state = self.state
        priority = state.route.priority
        if state.workspace is not None and state.workspace.priority is not None:
            priority = state.workspace.priority
        now_s = trio.current_time()
        max_wait_s = MAX_WAIT_FRACTION * state.remaining_s
        latest_start_s = state.latest_start_s
        if state.has_response_started:
            # Callers abandon a stream after a pause of two seconds.
            max_wait_s = min(max_wait_s, 1.0)
            latest_start_s = now_s + call_state.QUEUE_TIME_FRACTION * state.route.gap_objective_s
        return queueing.PlacementRequest(
            state.service,
            state.call.model,
            priority,
            max_wait_s,
            latest_start_s,
            frozenset(state.excluded),
            state.workspace_name,
            state.route,
            self.guard.signature.request,
            lateness.certain_latest_start_s(state),
            state.deadline_s,
            state.call.deadline_s - state.call.arrived_s,
            state.may_have_run,
        )

    def _may_fail_over(self, current: call_state.AttemptState) -> bool:
        state = self.state
        if state.attempts_left <= 0 or not self.gateway.retry_budget.has_remaining(
            state.service.name
        ):
            return False
        return self.gateway.admission.has_capacity(
            state.service, state.call.model, state.excluded | {current.server.server_id}
        )

    async def _check_retry(self, error: calls.ExchangeError) -> None:
        """Return if the call may be retried on another server, and consume a retry.

        :raises calls.CallError: if it may not and no response has started
        :raises calls.ResponseLostError: if it may not and a response has started
        """
        reason = await self._retry_denial_reason(error)
        events.log(
            LOGGER,
            events.Event.CALL_RESENT if not reason else events.Event.RETRY_DENIED,
            request_id=self.state.call.call_id,
            server=self.state.last_server_id,
            failure=str(error),
            runs=self.state.attempt_count,
            after_event=self.state.last_event_id,
            reason=reason or None,
        )
        if reason:
            decided_by = getattr(error, "decided_by", calls.Decider.SERVER)
            self._raise_failure(calls.RefusalReason.RESPONSE_LOST, RETRY_AFTER_S, decided_by)

    async def _retry_denial_reason(self, error: calls.ExchangeError) -> str:
        """Return why the call may not be retried; if it may, consume a retry and return ""."""
        state = self.state
        if isinstance(error, calls.ResponseLostError):
            if not state.route.may_repeat:
                return "the request may have run, and its route allows no repeat"
            if state.attempts_left <= 0:
                return "the maximum number of attempts of the route is reached"
        if state.remaining_s < MIN_REMAINING_S:
            return "too little time remains before the deadline"
        if isinstance(error, calls.NotRunError) and not error.was_sent:
            state.failed_connects += 1
            if state.failed_connects <= MAX_FREE_CONNECTS:
                return ""
        if state.retry is not None:
            state.unplaced_count += 1
            return "" if state.unplaced_count <= MAX_UNPLACED else "no server had room for it"
        state.retry = await self.gateway.retry_budget.acquire(
            state.service.name, retry_budget.retry_cause(error), state.was_trial
        )
        return "" if state.retry is not None else "the retry budget of the service is used up"

    def _renew_retry(self) -> None:
        """Replace a retry that was borrowed and has waited for a server for too long.

        :raises calls.CallError: if none is left
        """
        state = self.state
        if state.retry is None or state.retry.may_begin:
            return
        cause = state.retry.cause
        state.cancel_retry()
        state.retry = self.gateway.retry_budget.try_acquire(
            state.service.name, cause, state.was_trial
        )
        if state.retry is None:
            self._raise_failure(calls.RefusalReason.NO_SERVER, RETRY_AFTER_S)

    def _raise_failure(
        self,
        reason: calls.RefusalReason,
        retry_after_s: float,
        decided_by: calls.Decider = calls.Decider.ENTRY,
    ) -> typing.NoReturn:
        """Raise the error that describes how far the call has progressed.

        :raises calls.ResponseLostError: if a response has started
        :raises calls.CallError: if not; with RESPONSE_LOST if the call may have run
        """
        if self.state.has_response_started:
            raise calls.ResponseLostError(reason.value, decided_by=decided_by)
        if self.state.may_have_run:
            lost = calls.RefusalReason.RESPONSE_LOST
            raise calls.CallError(lost, may_have_run=True, decided_by=decided_by)
        if reason is calls.RefusalReason.RESPONSE_LOST:
            reason = calls.RefusalReason.NO_SERVER
        raise calls.CallError(reason, retry_after_s=retry_after_s, decided_by=decided_by)
