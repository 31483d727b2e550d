"""Serves calls: finds the route, selects a server, forwards the response and retries."""

from __future__ import annotations

import random

import attrs

from toucanhold import lifetime
from toucanhold.backends import answer_memory
from toucanhold.gateway import (
    admission,
    attempt,
    call_attempts,
    call_state,
    calls,
    crash_guard,
    crashes,
    first_event_times,
    health,
    outcomes,
    retry_budget,
    signatures,
    silence,
)
from toucanhold.routes import table

RETRY_AFTER_S = 1.0
# A small entry that starts has read a large configuration within this time of its first request. A
# caller that is sent away comes back later than that.
CONFIGURATION_WAIT_S = 1.0


@attrs.define(eq=False)
class Gateway:
    """Serves calls according to the newest route table.

    :ivar server_client: sends calls to backend servers
    :ivar attempt_observer: notified of the attempts on servers
    :ivar min_initial_fraction: least fraction of a route's timeout that callers start with
    :ivar first_event_times: decide how long requests may queue; fixed unless they observe attempts
    :ivar answer_memory: bounds what is held of unfinished answers
    :ivar lifetime: the time that this process has for answers
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
    answer_memory: answer_memory.AnswerMemory = attrs.field(factory=answer_memory.AnswerMemory)
    lifetime: lifetime.Lifetime = attrs.field(factory=lifetime.Lifetime)
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
        service = routes.services.get(route.draw_service(self.rng))
        if service is None:
            raise calls.CallError(calls.RefusalReason.NO_SERVER, retry_after_s=RETRY_AFTER_S)
        self.retry_budget.record_request(service.name)
        deadline_s = min(call.deadline_s, call.arrived_s + route.timeout_s)
        state = call_state.CallState(
            call, route, service, workspace, deadline_s, reply, self.lifetime
        )
        state.min_initial_fraction = self.min_initial_fraction
        state.queue_fraction = self.first_event_times.queue_fraction(service, call.model, route)
        with self.lifetime.bounded(deadline_s) as scope:
            try:
                return await self._run_attempts(state)
            except calls.CallError:
                if state.failure_answer is None:
                    raise
        if state.failure_answer is not None and not state.has_response_started:
            await attempt.forward_answer(state, state.failure_answer)
            return state.failure_answer.status
        assert scope.cancelled_caught
        is_stopped = scope.deadline < deadline_s
        decided_by = calls.Decider.STOP if is_stopped else calls.Decider.DEADLINE
        if state.has_response_started:
            raise calls.ResponseLostError("the time for the request is over", decided_by=decided_by)
        raise calls.CallError(
            calls.RefusalReason.DEADLINE_EXCEEDED,
            state.may_have_run,
            retry_after_s=0.0 if is_stopped else RETRY_AFTER_S,
            decided_by=decided_by,
        )

    async def _run_attempts(self, state: call_state.CallState) -> int:
        signature = signatures.of_call(state.call, state.workspace_name)
        guard = crash_guard.CrashGuard(self.crash_tracker, state.call.call_id, signature)
        try:
            return await call_attempts.CallAttempts(self, state, guard).run()
        finally:
            state.cancel_retry()
