"""Serves calls: finds the route, selects a server, forwards the response and retries."""

from __future__ import annotations

import functools
import logging
import random

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import (
    admission,
    attempt,
    calls,
    crash_guard,
    crashes,
    first_event_times,
    health,
    lateness,
    outcomes,
    queueing,
    retry_budget,
    signatures,
    silence,
)
from toucanhold.registry import servers
from toucanhold.routes import table

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
# A small entry that starts has read a large configuration within this time of its first request. A
# caller that is sent away comes back later than that.
CONFIGURATION_WAIT_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Gateway:
    """Serves calls according to the newest route table.

    :ivar server_client: sends calls to backend servers
    :ivar attempt_observer: notified of the attempts on servers
    :ivar min_initial_fraction: least fraction of a route's timeout that callers start with
    :ivar first_event_times: decide how long requests may queue; fixed unless they observe attempts
    :ivar in_flight: number of calls without a final response
    """

    routes: table.RouteTableHolder
    server_client: calls.ServerClient
    admission: admission.Admission
    retry_budget: retry_budget.RetryBudget
    health: health.Health
    crash_tracker: crashes.CrashTracker
    silence_detector: silence.SilenceDetector
    rng: random.Random
    attempt_observer: outcomes.AttemptObserver = attrs.field(factory=outcomes.ObserverGroup)
    min_initial_fraction: float = 1.0
    first_event_times: first_event_times.FirstEventTimes = attrs.field(
        factory=first_event_times.FirstEventTimes
    )
    in_flight: int = attrs.field(default=0, init=False)

    async def serve(self, call: calls.Call, reply: calls.Reply) -> int:
        """Serve a call and write the response to ``reply``; cancel it if the caller disconnects.

        :return: HTTP status of the server's response
        :raises calls.CallError: if the call is refused; nothing was written to ``reply``
        :raises calls.ResponseLostError: if the response was interrupted after it had started
        """
        self.in_flight += 1
        try:
            routes = self.routes.table or await self.routes.wait(CONFIGURATION_WAIT_S)
            if routes is None:
                reason = calls.RefusalReason.NO_CONFIGURATION
                raise calls.CallError(reason, retry_after_s=RETRY_AFTER_S)
            route, workspace = self._admit(routes, call)
            return await self._serve_until_deadline(routes, route, workspace, call, reply)
        finally:
            self.in_flight -= 1

    def _admit(
        self, routes: table.RouteTable, call: calls.Call
    ) -> tuple[table.Route, table.Workspace | None]:
        """Return the call's route and, if the route requires a key, the workspace of its key.

        :raises calls.CallError: if there is no route, the key is unknown or the body is too large
        """
        route = routes.find(call.host, call.path)
        if route is None:
            raise calls.CallError(calls.RefusalReason.NO_ROUTE)
        if len(call.body) > routes.limits.body_bytes:
            raise calls.CallError(calls.RefusalReason.BODY_TOO_LARGE)
        workspace = None
        if routes.has_workspaces and not route.is_public:
            workspace = routes.workspaces.get(call.key) if call.key is not None else None
            if workspace is None:
                raise calls.CallError(calls.RefusalReason.UNKNOWN_KEY)
        return route, workspace

    async def _serve_until_deadline(
        self,
        routes: table.RouteTable,
        route: table.Route,
        workspace: table.Workspace | None,
        call: calls.Call,
        reply: calls.Reply,
    ) -> int:
        service = routes.services[route.draw_service(self.rng)]
        self.retry_budget.record_request(service.name)
        deadline_s = min(call.deadline_s, call.arrived_s + route.timeout_s)
        state = attempt.CallState(call, route, service, workspace, deadline_s, reply)
        state.min_initial_fraction = self.min_initial_fraction
        state.queue_fraction = self.first_event_times.queue_fraction(service, call.model, route)
        status = 0
        with trio.move_on_at(deadline_s) as scope:
            try:
                status = await self._run_attempts(state)
            finally:
                state.cancel_retry()
        if scope.cancelled_caught:
            if state.has_response_started:
                raise calls.ResponseLostError(
                    "the time for the request is over", decided_by=calls.Decider.DEADLINE
                )
            raise calls.CallError(
                calls.RefusalReason.DEADLINE_EXCEEDED,
                state.may_have_run,
                retry_after_s=RETRY_AFTER_S,
                decided_by=calls.Decider.DEADLINE,
            )
        return status

    async def _run_attempts(self, state: attempt.CallState) -> int:
        signature = signatures.of_call(state.call, state.workspace_name)
        guard = crash_guard.CrashGuard(self.crash_tracker, state.call.call_id, signature)
        excluded: set[str] = set()
        while True:
            self._refuse_if_blocked(state, guard)
            try:
                status = await self._run_attempt(state, excluded, guard)
            except calls.NotRunError as error:
                self._handle_not_run(state, excluded, error)
                await self._check_retry(state, error)
            except calls.ResponseLostError as error:
                excluded.add(state.server_id)
                self._log_lost(state, error)
                state.record_lost_response()
                self.health.record_outcome(state.server_id, is_failure=True)
                guard.record_lost(state.server_id, error, state.progress)
                await self._check_retry(state, error)
            else:
                if status is None:
                    continue
                guard.record_answer(status, state.progress)
                return status

    async def _run_attempt(
        self, state: attempt.CallState, excluded: set[str], guard: crash_guard.CrashGuard
    ) -> int | None:
        """Send the call to a server once there is one.

        :return: HTTP status of the response; None if the request was blocked while it was queued
        """
        try:
            placement = self.admission.place(
                self._placement_request(state, excluded, guard.signature.request)
            )
            async with placement as server:
                if guard.is_blocked:
                    return None
                self._renew_retry(state)
                state.may_wait_at_server = self.admission.may_wait_at(state.service, server)
                may_fail_over = functools.partial(
                    self._may_fail_over, state, excluded | {server.server_id}
                )
                with guard.attempt():
                    return await attempt.run_attempt(
                        state,
                        server,
                        self.server_client,
                        self.silence_detector,
                        self.health,
                        may_fail_over,
                        self._observed_attempt(state, server),
                    )
        except calls.CallError as error:
            if state.has_response_started:
                raise calls.ResponseLostError(str(error), decided_by=error.decided_by) from error
            if state.may_have_run:
                raise calls.CallError(calls.RefusalReason.RESPONSE_LOST, True) from error
            raise

    def _refuse_if_blocked(self, state: attempt.CallState, guard: crash_guard.CrashGuard) -> None:
        refusal_s = guard.refusal_s()
        if refusal_s:
            self._raise_failure(state, calls.RefusalReason.CRASHES_SERVERS, refusal_s)

    def _placement_request(
        self, state: attempt.CallState, excluded: set[str], fingerprint: str
    ) -> queueing.PlacementRequest:
        priority = state.route.priority
        if state.workspace is not None and state.workspace.priority is not None:
            priority = state.workspace.priority
        now_s = trio.current_time()
        max_wait_s = MAX_WAIT_FRACTION * (state.deadline_s - now_s)
        latest_start_s = state.latest_start_s
        if state.has_response_started:
            # Callers abandon a stream after a pause of two seconds.
            max_wait_s = min(max_wait_s, 1.0)
            latest_start_s = now_s + attempt.QUEUE_TIME_FRACTION * state.route.gap_objective_s
        return queueing.PlacementRequest(
            state.service,
            state.call.model,
            priority,
            max_wait_s,
            latest_start_s,
            frozenset(excluded),
            state.workspace_name,
            state.route,
            fingerprint,
            lateness.certain_latest_start_s(state),
            state.deadline_s,
            state.call.deadline_s - state.call.arrived_s,
            state.may_have_run,
        )

    def _observed_attempt(
        self, state: attempt.CallState, server: servers.Server
    ) -> outcomes.ObservedAttempt:
        selector = self.admission.server_selector
        state.is_trial = selector.is_suspended(server)
        placed = outcomes.Attempt(
            server,
            state.service,
            state.route,
            state.call.model,
            selector.load_tracker.estimate(server.server_id),
            trio.current_time(),
            state.has_response_started,
            state.is_trial,
            state.call.prompt_tokens,
            state.call.output_tokens,
        )
        return outcomes.ObservedAttempt(placed, self.attempt_observer)

    def _may_fail_over(self, state: attempt.CallState, excluded: set[str]) -> bool:
        if (
            state.attempt_count >= state.route.max_attempts + state.extra_attempts
            or not self.retry_budget.has_remaining(state.service.name)
        ):
            return False
        return self.admission.has_capacity(state.service, state.call.model, excluded)

    def _handle_not_run(
        self, state: attempt.CallState, excluded: set[str], error: calls.NotRunError
    ) -> None:
        excluded.add(state.server_id)
        if error.is_gone:
            self.health.avoid(state.server_id, str(error))
            self.silence_detector.on_silent(state.server_id)
        if error.at_fault:
            # The head names the group member that prevents it from serving, so its failure is
            # permanent.
            self.health.avoid(
                state.server_id, f"group member {error.at_fault} prevents the head from serving"
            )
            self.silence_detector.on_silent(state.server_id)

    def _log_lost(self, state: attempt.CallState, error: calls.ResponseLostError) -> None:
        use = self.retry_budget.use(state.service.name, state.is_trial)
        events.log(
            LOGGER,
            events.Event.ATTEMPT_LOST,
            request_id=state.call.call_id,
            server=state.server_id,
            decided_by=error.decided_by.value,
            failure=str(error),
            after_event=state.last_event_id,
            attempts_left=state.route.max_attempts + state.extra_attempts - state.attempt_count,
            retries_left=round(use.headroom + use.borrowed, 2),
            remaining_s=round(state.deadline_s - trio.current_time(), 3),
        )

    async def _check_retry(self, state: attempt.CallState, error: calls.ExchangeError) -> None:
        """Return if the call may be retried on another server, and consume a retry.

        :raises calls.CallError: if it may not and no response has started
        :raises calls.ResponseLostError: if it may not and a response has started
        """
        reason = await self._retry_denial_reason(state, error)
        events.log(
            LOGGER,
            events.Event.CALL_RESENT if not reason else events.Event.RETRY_DENIED,
            request_id=state.call.call_id,
            server=state.server_id,
            failure=str(error),
            runs=state.attempt_count,
            after_event=state.last_event_id,
            reason=reason or None,
        )
        if reason:
            decided_by = getattr(error, "decided_by", calls.Decider.SERVER)
            reason = calls.RefusalReason.RESPONSE_LOST
            self._raise_failure(state, reason, RETRY_AFTER_S, decided_by)

    async def _retry_denial_reason(
        self, state: attempt.CallState, error: calls.ExchangeError
    ) -> str:
        """Return why the call may not be retried; if it may, consume a retry and return ""."""
        if isinstance(error, calls.ResponseLostError):
            if not state.route.may_repeat:
                return "the request may have run, and its route allows no repeat"
            if state.attempt_count >= state.route.max_attempts + state.extra_attempts:
                return "the maximum number of attempts of the route is reached"
        if state.deadline_s - trio.current_time() < MIN_REMAINING_S:
            return "too little time remains before the deadline"
        if isinstance(error, calls.NotRunError) and not error.was_sent:
            state.failed_connects += 1
            if state.failed_connects <= MAX_FREE_CONNECTS:
                return ""
        if state.retry is not None:
            state.unplaced_count += 1
            return "" if state.unplaced_count <= MAX_UNPLACED else "no server had room for it"
        state.retry = await self.retry_budget.acquire(
            state.service.name, retry_budget.retry_cause(error), state.is_trial
        )
        return "" if state.retry is not None else "the retry budget of the service is used up"

    def _renew_retry(self, state: attempt.CallState) -> None:
        """Replace a retry that was borrowed and has waited for a server for too long.

        :raises calls.CallError: if none is left
        """
        if state.retry is None or state.retry.may_begin:
            return
        cause = state.retry.cause
        state.cancel_retry()
        state.retry = self.retry_budget.try_acquire(state.service.name, cause, state.is_trial)
        if state.retry is None:
            raise calls.CallError(calls.RefusalReason.NO_SERVER, retry_after_s=RETRY_AFTER_S)

    def _raise_failure(
        self,
        state: attempt.CallState,
        reason: calls.RefusalReason,
        retry_after_s: float,
        decided_by: calls.Decider = calls.Decider.ENTRY,
    ) -> None:
        """Raise the error that describes how far the call has progressed.

        :raises calls.ResponseLostError: if a response has started
        :raises calls.CallError: if not; with RESPONSE_LOST if the call may have run
        """
        if state.has_response_started:
            raise calls.ResponseLostError(reason.value, decided_by=decided_by)
        if state.may_have_run:
            lost = calls.RefusalReason.RESPONSE_LOST
            raise calls.CallError(lost, may_have_run=True, decided_by=decided_by)
        if reason is calls.RefusalReason.RESPONSE_LOST:
            reason = calls.RefusalReason.NO_SERVER
        raise calls.CallError(reason, retry_after_s=retry_after_s, decided_by=decided_by)
