"""Admits requests in fair shares among workspaces, with queues that respect deadlines."""

import collections
import contextlib
import math

import attrs
import trio

from toucanhold.configuration import holder, rules
from toucanhold.observing import view
from toucanhold.routing import (
    admission,
    candidates,
    capacity,
    choice,
    cold,
    fairness,
    rates,
    requests,
)

MAX_WAITING = 256
MAX_EXPECTED_WAIT_S = 2.0
MAX_ACTUAL_WAIT_S = 3.0
DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


@attrs.define(eq=False)
class _Waiter:
    """A queued request; either ``chosen`` or ``refusal`` is set before ``decided``."""

    request: requests.CallerRequest
    decided: trio.Event = attrs.field(factory=trio.Event)
    chosen: candidates.Candidate | None = None
    refusal: requests.RequestError | None = None


@attrs.define(eq=False)
class _Queue:
    """Queued requests of one service and adapter."""

    service: rules.Service
    adapter: str
    order: fairness.FairOrder[_Waiter] = attrs.field(factory=fairness.FairOrder)
    rate: rates.CompletionRate = attrs.field(factory=rates.CompletionRate)


@attrs.define(eq=False)
class FairQueue(admission.AdmissionPolicy):
    """Starts requests in fair order among workspaces, the most important services first.

    There is no polling: a finished request or a new report of a backend server dispatches queued
    requests to that server.

    :ivar max_in_flight: largest number of requests that this entry has in flight
    """

    configuration: holder.ConfigurationHolder
    finder: candidates.CandidateFinder
    view: view.BackendView
    policy: choice.ChoicePolicy
    in_flight: capacity.InFlightCounts
    capacity: capacity.CapacityPolicy
    cold_policy: cold.ColdPolicy
    max_in_flight: int = 2000
    _queues: dict[tuple[str, str], _Queue] = attrs.field(factory=dict, init=False)
    _in_flight_by_workspace: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _waiting: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the reports."""
        self.view.subscribe(self._dispatch_to_vm)

    def waiting(self) -> int:
        """Return the number of queued requests."""
        return self._waiting

    @contextlib.asynccontextmanager
    async def place(self, request: requests.CallerRequest, avoid: frozenset[str]):
        """See :class:`admission.AdmissionPolicy`."""
        queue = self._queue(request)
        if request.adapter and not len(queue.order) and not self._candidates(queue):
            # Callers choose adapter names; a queue for each unknown name would exhaust memory.
            self._queues.pop((request.service.name, request.adapter), None)
            raise _refusal_error(_no_server_detail(queue), DEFAULT_RETRY_AFTER_S)
        chosen = self._try_start(queue, request, avoid)
        if chosen is None:
            chosen = await self._wait_in_queue(queue, request)
        placement = admission.Placement(chosen, request, self.capacity)
        started_s = trio.current_time()
        try:
            yield placement
        finally:
            if placement.is_finished:
                now_s = trio.current_time()
                queue.rate.record_finished(now_s, now_s - started_s)
            else:
                self.cold_policy.record_unfinished_end(chosen.vm.vm, chosen.report.boot_id)
            self._release(chosen, request)

    def expected_duration_s(self, request: requests.CallerRequest) -> float:
        """See :class:`admission.AdmissionPolicy`."""
        return self._queue(request).rate.duration_s

    def _queue(self, request: requests.CallerRequest) -> _Queue:
        key = (request.service.name, request.adapter)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue(request.service, request.adapter)
        queue.service = request.service
        return queue

    def _try_start(
        self, queue: _Queue, request: requests.CallerRequest, avoid: frozenset[str]
    ) -> candidates.Candidate | None:
        options = self._candidates(queue)
        if not options and not self._may_recover(queue):
            raise _refusal_error(_no_server_detail(queue), DEFAULT_RETRY_AFTER_S)
        if not options or len(queue.order) or not self._has_quota(request.workspace):
            return None
        preferred = [each for each in options if each.vm.vm not in avoid] if avoid else options
        chosen = self.policy.choose(request, preferred or options)
        if chosen is not None:
            queue.order.charge(request.workspace, self._weight(request.workspace))
            self._record_start(chosen, request)
        return chosen

    async def _wait_in_queue(
        self, queue: _Queue, request: requests.CallerRequest
    ) -> candidates.Candidate:
        now_s = trio.current_time()
        wait_s = self._expected_wait_s(queue, request.workspace, now_s)
        # Queueing a request that cannot be served in time would keep its caller from trying
        # another entry, and take the place of a request that can still be served.
        if wait_s > min(MAX_EXPECTED_WAIT_S, request.deadline_s - now_s - queue.rate.duration_s):
            raise _refusal_error(
                f"the expected wait in the queue, {wait_s:.1f} s, is too long", wait_s
            )
        self._evict_if_full(queue, request.workspace, wait_s)
        waiter = _Waiter(request)
        queue.order.push(request.workspace, self._weight(request.workspace), waiter)
        self._waiting += 1
        latest_start_s = request.deadline_s - queue.rate.duration_s / 2
        if wait_s:
            # The estimate may be too low; the caller should not then wait until its deadline.
            latest_start_s = min(latest_start_s, now_s + MAX_ACTUAL_WAIT_S)
        try:
            with trio.move_on_at(latest_start_s):
                await waiter.decided.wait()
        except BaseException:
            self._withdraw(queue, waiter)
            raise
        if waiter.chosen is not None:
            return waiter.chosen
        if waiter.refusal is None:
            self._withdraw(queue, waiter)
            raise _refusal_error(
                "no backend server had free capacity in time",
                self._expected_wait_s(queue, request.workspace, trio.current_time()),
                requests.Problem.DEADLINE,
            )
        raise waiter.refusal

    def _withdraw(self, queue: _Queue, waiter: _Waiter) -> None:
        if waiter.chosen is not None:
            self._release(waiter.chosen, waiter.request)
        elif waiter.refusal is None:
            queue.order.remove(waiter.request.workspace, waiter)
            self._waiting -= 1

    def _evict_if_full(self, queue: _Queue, workspace: str, wait_s: float) -> None:
        if len(queue.order) < MAX_WAITING:
            return
        most_backlogged = queue.order.most_backlogged()
        if most_backlogged == workspace:
            raise _refusal_error(
                "the queue is full, mostly with requests of this workspace",
                wait_s,
                requests.Problem.OVERLOADED,
            )
        # A workspace that fills the queue must not keep other workspaces out.
        evicted = queue.order.newest(most_backlogged)
        queue.order.remove(most_backlogged, evicted)
        self._refuse(
            evicted,
            "removed from the full queue in favour of a workspace with fewer requests",
            wait_s,
        )

    def _refuse(self, waiter: _Waiter, detail: str, retry_after_s: float) -> None:
        self._waiting -= 1
        waiter.refusal = _refusal_error(detail, retry_after_s, requests.Problem.OVERLOADED)
        waiter.decided.set()

    def _expected_wait_s(self, queue: _Queue, workspace: str, now_s: float) -> float:
        requests_per_second = queue.rate.completions_per_second(now_s)
        if not requests_per_second:
            return 0.0
        weight = self._weight(workspace)
        share = weight / queue.order.backlogged_weight(workspace, weight)
        # Based on this workspace's share alone: requests of others that arrive later may start
        # earlier, so the length of the whole queue would give too short an estimate.
        return (queue.order.waiting(workspace) + 1) / (requests_per_second * share)

    def _release(self, chosen: candidates.Candidate, request: requests.CallerRequest) -> None:
        had_quota = self.in_flight.total() < self.max_in_flight
        self.in_flight.remove(chosen.vm.vm)
        self._in_flight_by_workspace[request.workspace] -= 1
        if not self._in_flight_by_workspace[request.workspace]:
            del self._in_flight_by_workspace[request.workspace]
        if not self._waiting:
            return
        for queue in self._queues.values():
            queue.order.mark_ready(request.workspace)
        self._dispatch_to_vm(chosen.vm.vm)
        if not had_quota:
            self._dispatch_to_all()

    def _dispatch_to_vm(self, vm: str) -> None:
        if not self._waiting:
            return
        now_s = trio.current_time()
        for queue in self._queues_by_importance():
            if len(queue.order):
                candidate = self.finder.candidate_of(queue.service, vm, now_s)
                if candidate is not None:
                    self._dispatch_to(queue, candidate)
                elif not self._candidates(queue) and not self._may_recover(queue):
                    self._refuse_all(queue)

    def _dispatch_to_all(self) -> None:
        for queue in self._queues_by_importance():
            while len(queue.order) and self.in_flight.total() < self.max_in_flight:
                options = self._candidates(queue)
                if not any([self._dispatch_to(queue, candidate) for candidate in options]):
                    break

    def _queues_by_importance(self) -> list[_Queue]:
        return sorted(self._queues.values(), key=lambda queue: -queue.service.importance)

    def _dispatch_to(self, queue: _Queue, candidate: candidates.Candidate) -> int:
        if queue.adapter and queue.adapter not in candidate.report.adapters:
            return 0
        started = 0
        while self.in_flight.total() < self.max_in_flight:
            if self.capacity.load(queue.service, candidate) >= 1:
                break
            if not self._start_next_waiter(queue, candidate):
                break
            started += 1
        return started

    def _start_next_waiter(self, queue: _Queue, candidate: candidates.Candidate) -> bool:
        blocked = []
        waiter = None
        while (next_item := queue.order.pop()) is not None:
            if self._has_quota(next_item[0]):
                waiter = next_item[1]
                break
            blocked.append(next_item)
        for workspace, each in reversed(blocked):
            queue.order.push_front(workspace, each)
        if waiter is None:
            return False
        queue.order.mark_ready(waiter.request.workspace)
        self._waiting -= 1
        self._record_start(candidate, waiter.request)
        waiter.chosen = candidate
        waiter.decided.set()
        return True

    def _refuse_all(self, queue: _Queue) -> None:
        while (next_item := queue.order.pop()) is not None:
            queue.order.mark_ready(next_item[0])
            self._waiting -= 1
            next_item[1].refusal = _refusal_error(_no_server_detail(queue), DEFAULT_RETRY_AFTER_S)
            next_item[1].decided.set()

    def _candidates(self, queue: _Queue):
        options = self.finder.find(queue.service, trio.current_time())
        if queue.adapter:
            return [each for each in options if queue.adapter in each.report.adapters]
        return options

    def _may_recover(self, queue: _Queue) -> bool:
        # After a broken connection a server gets no requests until its next report, some tenths of
        # a second later: resuming a stream that broke on the last server is worth that wait.
        return self.finder.is_awaiting_report(queue.service, trio.current_time())

    def _record_start(self, chosen: candidates.Candidate, request: requests.CallerRequest) -> None:
        self.in_flight.add(chosen.vm.vm)
        self._in_flight_by_workspace[request.workspace] += 1

    def _has_quota(self, workspace: str) -> bool:
        if self.in_flight.total() >= self.max_in_flight:
            return False
        limit = self._workspace(workspace).max_in_flight
        return not limit or self._in_flight_by_workspace[workspace] < limit

    def _weight(self, workspace: str) -> float:
        return self._workspace(workspace).weight

    def _workspace(self, name: str) -> rules.Workspace:
        return self.configuration.current.rules.workspace(name)


def _no_server_detail(queue: _Queue) -> str:
    wanted = f"{queue.service.name}:{queue.adapter}" if queue.adapter else queue.service.name
    return f"no backend server serves {wanted!r} now"


def _refusal_error(
    detail: str,
    retry_after_s: float,
    problem: requests.Problem = requests.Problem.NO_CAPACITY,
) -> requests.RequestError:
    if not retry_after_s or not math.isfinite(retry_after_s):
        retry_after_s = DEFAULT_RETRY_AFTER_S
    return requests.RequestError(
        problem, requests.Outcome.DID_NOT_RUN, detail, min(retry_after_s, MAX_RETRY_AFTER_S)
    )
