"""Serves one call: find its route, place it, send it, pass the answer on."""

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
    budget,
    calls,
    crashes,
    health,
    silence,
)
from toucanhold.routes import table

# A request that waits gets its answer late, for a part of its worth; past this part of its time
# the caller is better told when to come back.
PATIENCE_PART = 0.3
# What may be left over of a request's time for another server to be worth while.
LEAST_REMAINING_S = 0.05
COME_BACK_S = 1.0
# Retries of a request that crashes servers do harm until the servers' work has moved on.
CRASHING_COME_BACK_S = 30.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Gateway:
    """Serves calls by the newest routes.

    :ivar in_flight: calls that have no final answer yet
    """

    routes: table.RouteTableHolder
    servers: calls.ServerClient
    admission: admission.Admission
    retries: budget.RetryBudget
    health: health.Health
    crashes: crashes.CrashTracker
    silence: silence.SilenceDetector
    rng: random.Random
    in_flight: int = attrs.field(default=0, init=False)

    async def serve(self, call: calls.Call, reply: calls.Reply) -> int:
        """Give a call its answer; cancel to leave it.

        :return: the status of a server's answer
        :raises calls.CallError: when the answer is this system's own; nothing was replied yet
        :raises calls.ResponseLostError: when an answer broke off after its beginning
        """
        self.in_flight += 1
        try:
            routes = self.routes.table
            if routes is None:
                reason = calls.RefusalReason.NO_CONFIGURATION
                raise calls.CallError(reason, retry_after_s=COME_BACK_S)
            route, workspace = self._admit(routes, call)
            return await self._serve_in_time(routes, route, workspace, call, reply)
        finally:
            self.in_flight -= 1

    def _admit(
        self, routes: table.RouteTable, call: calls.Call
    ) -> tuple[table.Route, table.Workspace | None]:
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

    async def _serve_in_time(
        self,
        routes: table.RouteTable,
        route: table.Route,
        workspace: table.Workspace | None,
        call: calls.Call,
        reply: calls.Reply,
    ) -> int:
        service = routes.services[route.draw_service(self.rng)]
        self.retries.note_request(service.name)
        deadline_s = min(call.deadline_s, call.arrived_s + route.timeout_s)
        run = attempt.Run(call, route, service, workspace, deadline_s, reply)
        status = 0
        with trio.move_on_at(deadline_s) as scope:
            status = await self._try_servers(run)
        if scope.cancelled_caught:
            if run.has_replied:
                raise calls.ResponseLostError("the time for the request is over")
            raise calls.CallError(
                calls.RefusalReason.DEADLINE_EXCEEDED, run.may_have_run, retry_after_s=COME_BACK_S
            )
        return status

    async def _try_servers(self, run: attempt.Run) -> int:
        mark = crashes.fingerprint(run.call, run.workspace_name)
        avoid: set[str] = set()
        while True:
            if self.crashes.is_dangerous(mark):
                reason = calls.RefusalReason.CRASHES_SERVERS
                self._give_up(run, reason, CRASHING_COME_BACK_S)
            try:
                status = await self._try_one(run, avoid)
            except calls.NotRunError as error:
                self._note_not_run(run, avoid, error)
                self._check_again(run, error)
            except calls.ResponseLostError as error:
                avoid.add(run.server_id)
                run.note_lost()
                self.health.note(run.server_id, failed=True)
                if error.is_connection_lost:
                    self.crashes.note(mark)
                self._check_again(run, error)
            else:
                self.crashes.clear(mark)
                return status

    async def _try_one(self, run: attempt.Run, avoid: set[str]) -> int:
        route = run.route
        rank = route.rank
        if run.workspace is not None and run.workspace.rank is not None:
            rank = run.workspace.rank
        patience_s = PATIENCE_PART * (run.deadline_s - trio.current_time())
        timely_until_s = run.timely_until_s
        if run.has_replied:
            # The caller gives a stream up after a pause of two seconds.
            patience_s = min(patience_s, 1.0)
            timely_until_s = trio.current_time() + attempt.WAITING_PART * route.gap_objective_s
        try:
            placing = self.admission.place(
                run.service, run.call.model, rank, patience_s, timely_until_s, frozenset(avoid)
            )
            async with placing as server:
                may_move = functools.partial(self._may_move, run, avoid | {server.server_id})
                return await attempt.run_on(
                    run, server, self.servers, self.silence, self.health, may_move
                )
        except calls.CallError as error:
            if run.has_replied:
                raise calls.ResponseLostError(str(error)) from error
            if run.may_have_run:
                raise calls.CallError(calls.RefusalReason.RESPONSE_LOST, True) from error
            raise

    def _may_move(self, run: attempt.Run, avoid: set[str]) -> bool:
        if run.runs >= run.route.attempts + run.fruitless or not self.retries.is_left(
            run.service.name
        ):
            return False
        return self.admission.has_room(run.service, run.call.model, avoid)

    def _note_not_run(self, run: attempt.Run, avoid: set[str], error: calls.NotRunError) -> None:
        avoid.add(run.server_id)
        if error.is_gone:
            self.health.avoid(run.server_id, str(error))
            self.silence.on_silent(run.server_id)
        if error.faulty_member:
            # The head names the member that keeps it from working: it has broken for good.
            self.health.avoid(run.server_id, f"{error.faulty_member} is at fault")
            self.silence.on_silent(run.server_id)

    def _check_again(self, run: attempt.Run, error: calls.ExchangeError) -> None:
        """Return if the call may go to another server.

        :raises calls.CallError: when it may not
        """
        reason = self._why_not_again(run, error)
        events.log(
            LOGGER,
            events.Event.CALL_RESENT if not reason else events.Event.RETRY_DENIED,
            request_id=run.call.call_id,
            server=run.server_id,
            failure=str(error),
            runs=run.runs,
            after_event=run.last_event_id,
            reason=reason or None,
        )
        if reason:
            self._give_up(run, calls.RefusalReason.RESPONSE_LOST, COME_BACK_S)

    def _why_not_again(self, run: attempt.Run, error: calls.ExchangeError) -> str:
        if isinstance(error, calls.ResponseLostError):
            if not run.route.may_repeat:
                return "it may have run, and may run only once"
            if run.runs >= run.route.attempts + run.fruitless:
                return "it has been sent to as many servers as its route allows"
        if run.deadline_s - trio.current_time() < LEAST_REMAINING_S:
            return "its time is over"
        if not self.retries.take(run.service.name):
            return "the budget of retries is used up"
        return ""

    def _give_up(self, run: attempt.Run, reason: calls.RefusalReason, retry_after_s: float) -> None:
        if run.has_replied:
            raise calls.ResponseLostError(reason.value)
        if run.may_have_run:
            raise calls.CallError(calls.RefusalReason.RESPONSE_LOST, may_have_run=True)
        if reason is calls.RefusalReason.RESPONSE_LOST:
            reason = calls.RefusalReason.NO_SERVER
        raise calls.CallError(reason, retry_after_s=retry_after_s)
