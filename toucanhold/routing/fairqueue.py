"""Admission in fair shares, with queues that know each request's deadline."""

import collections
import contextlib
import math

import attrs
import trio

from toucanhold.configuration import holder, rules
from toucanhold.observing import view
from toucanhold.routing import (
    candidates,
    choice,
    cold,
    fairness,
    gate,
    rates,
    requests,
    room,
)

MAX_WAITING = 256
MAX_WAIT_S = 2.0
LONGEST_WAIT_S = 3.0
DEFAULT_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


@attrs.define(eq=False)
class _Waiter:
    """A request that waits; either ``chosen`` or ``refusal`` is set before ``decided``."""

    request: requests.CallerRequest
    decided: trio.Event = attrs.field(factory=trio.Event)
    chosen: candidates.Candidate | None = None
    refusal: requests.RequestError | None = None


@attrs.define(eq=False)
class _Queue:
    """Waiting requests of one service and adapter."""

    service: rules.Service
    adapter: str
    order: fairness.FairOrder[_Waiter] = attrs.field(factory=fairness.FairOrder)
    rate: rates.ServiceRate = attrs.field(factory=rates.ServiceRate)


@attrs.define(eq=False)
class FairQueue(gate.AdmissionPolicy):
    """Starts requests in fair order among workspaces, the most important services first.

    Nothing is looked at again at an interval: a finished request and each new report offer the one
    backend server whose room has changed.

    :ivar max_in_flight: most requests that this entry has in flight
    """

    configuration: holder.ConfigurationHolder
    finder: candidates.CandidateFinder
    view: view.View
    policy: choice.ChoicePolicy
    in_flight: room.InFlight
    room: room.RoomPolicy
    cold: cold.ColdPolicy
    max_in_flight: int = 2000
    _queues: dict[tuple[str, str], _Queue] = attrs.field(factory=dict, init=False)
    _by_workspace: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    _waiting: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Follow the reports."""
        self.view.subscribe(self._offer_vm)

    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return self._waiting

    @contextlib.asynccontextmanager
    async def place(self, request: requests.CallerRequest, avoid: frozenset[str]):
        """See :class:`gate.AdmissionPolicy`."""
        queue = self._queue(request)
        if request.adapter and not len(queue.order) and not self._options(queue):
            # Callers choose the names of adapters; a queue for each would fill the memory.
            self._queues.pop((request.service.name, request.adapter), None)
            raise _refusal(_nobody(queue), DEFAULT_RETRY_AFTER_S)
        chosen = self._start_now(queue, request, avoid)
        if chosen is None:
            chosen = await self._wait(queue, request)
        placement = gate.Placement(chosen, request, self.room)
        started_s = trio.current_time()
        try:
            yield placement
        finally:
            if placement.finished:
                now_s = trio.current_time()
                queue.rate.note_finished(now_s, now_s - started_s)
            else:
                self.cold.note_unclean_end(chosen.vm.vm, chosen.report.boot_id)
            self._release(chosen, request)

    def expected_duration_s(self, request: requests.CallerRequest) -> float:
        """See :class:`gate.AdmissionPolicy`."""
        return self._queue(request).rate.duration_s

    def _queue(self, request: requests.CallerRequest) -> _Queue:
        key = (request.service.name, request.adapter)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _Queue(request.service, request.adapter)
        queue.service = request.service
        return queue

    def _start_now(
        self, queue: _Queue, request: requests.CallerRequest, avoid: frozenset[str]
    ) -> candidates.Candidate | None:
        options = self._options(queue)
        if not options and not self._may_return(queue):
            raise _refusal(_nobody(queue), DEFAULT_RETRY_AFTER_S)
        if not options or len(queue.order) or not self._has_budget(request.workspace):
            return None
        preferred = [each for each in options if each.vm.vm not in avoid] if avoid else options
        chosen = self.policy.choose(request, preferred or options)
        if chosen is not None:
            queue.order.charge(request.workspace, self._weight(request.workspace))
            self._count(chosen, request)
        return chosen

    async def _wait(self, queue: _Queue, request: requests.CallerRequest) -> candidates.Candidate:
        now_s = trio.current_time()
        wait_s = self._expected_wait_s(queue, request.workspace, now_s)
        # Waiting for an answer that cannot come in time would keep the caller from asking another
        # entry, and take a place from a request that can still be served.
        if wait_s > min(MAX_WAIT_S, request.deadline_s - now_s - queue.rate.duration_s):
            raise _refusal(f"the queue takes {wait_s:.1f} s", wait_s)
        self._make_space(queue, request.workspace, wait_s)
        waiter = _Waiter(request)
        queue.order.push(request.workspace, self._weight(request.workspace), waiter)
        self._waiting += 1
        latest_start_s = request.deadline_s - queue.rate.duration_s / 2
        if wait_s:
            # The computed wait was wrong; the caller should not pay for it up to its deadline.
            latest_start_s = min(latest_start_s, now_s + LONGEST_WAIT_S)
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
            raise _refusal(
                "no backend server had room in time",
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

    def _make_space(self, queue: _Queue, workspace: str, wait_s: float) -> None:
        if len(queue.order) < MAX_WAITING:
            return
        longest = queue.order.longest()
        if longest == workspace:
            raise _refusal("the workspace fills the queue", wait_s, requests.Problem.OVERLOADED)
        # A workspace that fills the queue must not keep the others out of it.
        loser = queue.order.newest(longest)
        queue.order.remove(longest, loser)
        self._refuse(loser, "displaced by a workspace with fewer requests", wait_s)

    def _refuse(self, waiter: _Waiter, detail: str, retry_after_s: float) -> None:
        self._waiting -= 1
        waiter.refusal = _refusal(detail, retry_after_s, requests.Problem.OVERLOADED)
        waiter.decided.set()

    def _expected_wait_s(self, queue: _Queue, workspace: str, now_s: float) -> float:
        per_second = queue.rate.per_second(now_s)
        if not per_second:
            return 0.0
        weight = self._weight(workspace)
        part = weight / queue.order.active_weight(workspace, weight)
        # By its own part alone: others that come later may start earlier, so the length of the
        # whole queue would promise too much.
        return (queue.order.waiting(workspace) + 1) / (per_second * part)

    def _release(self, chosen: candidates.Candidate, request: requests.CallerRequest) -> None:
        had_budget = self.in_flight.total() < self.max_in_flight
        self.in_flight.remove(chosen.vm.vm)
        self._by_workspace[request.workspace] -= 1
        if not self._by_workspace[request.workspace]:
            del self._by_workspace[request.workspace]
        if not self._waiting:
            return
        for queue in self._queues.values():
            queue.order.make_ready(request.workspace)
        self._offer_vm(chosen.vm.vm)
        if not had_budget:
            self._offer_all()

    def _offer_vm(self, vm: str) -> None:
        if not self._waiting:
            return
        now_s = trio.current_time()
        for queue in self._ordered_queues():
            if len(queue.order):
                option = self.finder.candidate_of(queue.service, vm, now_s)
                if option is not None:
                    self._offer(queue, option)
                elif not self._options(queue) and not self._may_return(queue):
                    self._refuse_all(queue)

    def _offer_all(self) -> None:
        for queue in self._ordered_queues():
            while len(queue.order) and self.in_flight.total() < self.max_in_flight:
                options = self._options(queue)
                if not any([self._offer(queue, option) for option in options]):
                    break

    def _ordered_queues(self) -> list[_Queue]:
        return sorted(self._queues.values(), key=lambda queue: -queue.service.importance)

    def _offer(self, queue: _Queue, option: candidates.Candidate) -> int:
        if queue.adapter and queue.adapter not in option.report.adapters:
            return 0
        started = 0
        while self.in_flight.total() < self.max_in_flight:
            if self.room.load(queue.service, option) >= 1:
                break
            if not self._start_next(queue, option):
                break
            started += 1
        return started

    def _start_next(self, queue: _Queue, option: candidates.Candidate) -> bool:
        blocked = []
        waiter = None
        while (head := queue.order.pop()) is not None:
            if self._has_budget(head[0]):
                waiter = head[1]
                break
            blocked.append(head)
        for workspace, each in reversed(blocked):
            queue.order.put_back(workspace, each)
        if waiter is None:
            return False
        queue.order.make_ready(waiter.request.workspace)
        self._waiting -= 1
        self._count(option, waiter.request)
        waiter.chosen = option
        waiter.decided.set()
        return True

    def _refuse_all(self, queue: _Queue) -> None:
        while (head := queue.order.pop()) is not None:
            queue.order.make_ready(head[0])
            self._waiting -= 1
            head[1].refusal = _refusal(_nobody(queue), DEFAULT_RETRY_AFTER_S)
            head[1].decided.set()

    def _options(self, queue: _Queue):
        options = self.finder.find(queue.service, trio.current_time())
        if queue.adapter:
            return [each for each in options if queue.adapter in each.report.adapters]
        return options

    def _may_return(self, queue: _Queue) -> bool:
        # After a broken connection a server gets nothing until its next report, some tenths of a
        # second later: a stream that broke on the last server is worth that wait.
        return self.finder.is_held_back(queue.service, trio.current_time())

    def _count(self, chosen: candidates.Candidate, request: requests.CallerRequest) -> None:
        self.in_flight.add(chosen.vm.vm)
        self._by_workspace[request.workspace] += 1

    def _has_budget(self, workspace: str) -> bool:
        if self.in_flight.total() >= self.max_in_flight:
            return False
        limit = self._workspace(workspace).max_in_flight
        return not limit or self._by_workspace[workspace] < limit

    def _weight(self, workspace: str) -> float:
        return self._workspace(workspace).weight

    def _workspace(self, name: str) -> rules.Workspace:
        return self.configuration.current.rules.workspace(name)


def _nobody(queue: _Queue) -> str:
    wanted = f"{queue.service.name}:{queue.adapter}" if queue.adapter else queue.service.name
    return f"no backend server serves {wanted!r} now"


def _refusal(
    detail: str,
    retry_after_s: float,
    problem: requests.Problem = requests.Problem.NO_CAPACITY,
) -> requests.RequestError:
    if not retry_after_s or not math.isfinite(retry_after_s):
        retry_after_s = DEFAULT_RETRY_AFTER_S
    return requests.RequestError(
        problem, requests.Outcome.DID_NOT_RUN, detail, min(retry_after_s, MAX_RETRY_AFTER_S)
    )
