"""Runs each order at most once, whoever repeats it and wherever."""

import collections.abc
import contextlib
import logging
import time
import typing
import uuid

import attrs
import trio

from toucanhold import events
from toucanhold.orders import claims, records, results
from toucanhold.routing import dispatch, requests

MAX_UNSETTLED = 1000
ANSWER_MARGIN_S = 5.0
BUSY_RETRY_AFTER_S = 1.0

LOGGER = logging.getLogger(__name__)


class Sender(typing.Protocol):
    """Sends a request to one backend server; :class:`dispatch.Dispatcher` does."""

    def serve(
        self, request: requests.CallerRequest
    ) -> contextlib.AbstractAsyncContextManager[dispatch.Answer]:
        """See :meth:`dispatch.Dispatcher.serve`."""


@attrs.define(eq=False)
class _Order:
    """An order that this process has claimed, or is claiming, until its outcome is stored.

    :ivar result: what a repeat is told; None while it runs
    """

    key: str
    fingerprint: bytes
    record: records.ClaimRecord
    result: results.Result | None = None


@attrs.define(eq=False)
class OrderKeeper:
    """Claims, sends and records orders.

    Each order has a task of its own: a caller who leaves does not cancel what was sent.

    :ivar wall_clock: POSIX time; only tells "in progress" from "unknown"
    """

    entry: str
    boot: str
    sender: Sender
    claims: claims.ClaimStore
    wall_clock: collections.abc.Callable[[], float] = time.time
    _orders: dict[str, _Order] = attrs.field(factory=dict, init=False)
    _running: int = attrs.field(default=0, init=False)
    _ended: trio.Event = attrs.field(factory=trio.Event, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    @property
    def unsettled(self) -> int:
        """Number of orders that run or whose outcome is not stored yet."""
        return self._running

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run orders' tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.claims.committer.run)
            task_status.started()

    async def wait_settled(self, limit_s: float) -> int:
        """Wait until every outcome is stored; return the number that is not."""
        with trio.move_on_after(limit_s):
            while self._running:
                await self._ended.wait()
        return self._running

    @contextlib.asynccontextmanager
    async def serve(
        self, request: requests.CallerRequest
    ) -> collections.abc.AsyncIterator[dispatch.Answer]:
        """Give an order's answer, or a repeat's.

        :raises requests.RequestError: when there is none
        """
        result = await self._result(request)
        if isinstance(result, requests.RequestError):
            raise result
        yield dispatch.Answer(result.status, result.headers, _once(result.body))

    async def _result(self, request: requests.CallerRequest) -> results.Result:
        if not request.idempotency_key:
            return await self._start(self._run_once, request)
        key, fingerprint = records.key_of(request), records.fingerprint_of(request)
        known = self._orders.get(key)
        if known is not None:
            return self._repeat(known, fingerprint)
        if self._running >= MAX_UNSETTLED:
            # Outcomes that cannot be stored are held in memory; this bounds it.
            detail = f"{MAX_UNSETTLED} orders wait for their outcome to be stored"
            return results.refused(requests.Problem.OVERLOADED, detail, BUSY_RETRY_AFTER_S)
        order = self._new_order(key, fingerprint, request)
        self._orders[key] = order
        return await self._start(self._run_claimed, request, order)

    def _repeat(self, known: _Order, fingerprint: bytes) -> results.Result:
        if known.fingerprint != fingerprint:
            return results.key_reused()
        if known.result is None:
            return results.in_progress(known.record.ends_at_s - self.wall_clock())
        return known.result

    def _new_order(self, key: str, fingerprint: bytes, request: requests.CallerRequest) -> _Order:
        rest_s = max(0.0, request.deadline_s - trio.current_time())
        ends_at_s = self.wall_clock() + rest_s + ANSWER_MARGIN_S
        attempt = uuid.uuid4().hex
        record = records.ClaimRecord(attempt, fingerprint, self.entry, self.boot, ends_at_s)
        return _Order(key, fingerprint, record)

    async def _start(self, run, request: requests.CallerRequest, *details) -> results.Result:
        reply = results.Reply()
        self._nursery.start_soon(self._count, run, request, reply, *details)
        await reply.settled.wait()
        return reply.result

    async def _count(self, run, request, reply: results.Reply, *details) -> None:
        self._running += 1
        try:
            await run(request, reply, *details)
        except Exception as error:
            # One order's failure must end neither the others nor the entry. It may have been
            # sent, so it must not pass for a refusal either.
            LOGGER.exception("request %s: an order's task failed", request.request_id)
            reply.settle(results.unknown(f"internal error: {error!r}"))
        finally:
            self._running -= 1
            self._ended.set()
            self._ended = trio.Event()

    async def _run_once(self, request: requests.CallerRequest, reply: results.Reply) -> None:
        # Without a key, nobody can name this order again: whatever its caller sends later is an
        # order of its own. One attempt that is never repeated is therefore at most one run, and
        # there is nothing to claim.
        reply.settle(await self._send(request))

    async def _run_claimed(
        self, request: requests.CallerRequest, reply: results.Reply, order: _Order
    ) -> None:
        try:
            held = await self._claim(order, reply)
            if held is not None:
                await self._run_held(request, reply, order, held)
        finally:
            self._forget(order)

    def _forget(self, order: _Order) -> None:
        if self._orders.get(order.key) is order:
            del self._orders[order.key]

    async def _claim(self, order: _Order, reply: results.Reply) -> claims.HeldClaim | None:
        try:
            found = await self.claims.claim(order.key, order.record)
        except claims.ClaimUnavailableError as error:
            detail = f"this sending did not run; repeat it with the same key: {error}"
            # A repeat may claim anew at once; only the claim that may stand is still looked after.
            self._forget(order)
            reply.settle(
                results.refused(requests.Problem.CLAIM_UNAVAILABLE, detail, error.retry_after_s)
            )
            if error.may_stand:
                await self.claims.abandon(order.key, order.record)
            return None
        if isinstance(found, claims.HeldClaim):
            return found
        now_s = self.wall_clock()
        reply.settle(results.of_record(found, order.fingerprint, self.boot, self.entry, now_s))
        return None

    async def _run_held(
        self,
        request: requests.CallerRequest,
        reply: results.Reply,
        order: _Order,
        held: claims.HeldClaim,
    ) -> None:
        result = await self._send(request)
        reply.settle(result)
        record = _ended_record(order.record, result)
        order.result = _as_repeated(result, record)
        if record is None:
            await self.claims.release(held)
        else:
            await self.claims.record(held, record)
        events.log(
            LOGGER,
            events.Event.OUTCOME_STORED,
            request_id=request.request_id,
            claim=order.key,
            state="released" if record is None else record.state.value,
        )

    async def _send(self, request: requests.CallerRequest) -> results.Result:
        try:
            async with self.sender.serve(request) as answer:
                body = b"".join([chunk async for chunk in answer.chunks])
                return results.Answered(answer.status, answer.headers, body)
        except requests.RequestError as error:
            return error
        except Exception as error:
            # As in _count, and the outcome is still recorded.
            LOGGER.exception("request %s: an order's task failed", request.request_id)
            return results.unknown(f"internal error: {error!r}")


def _ended_record(
    claimed: records.ClaimRecord, result: results.Result
) -> records.ClaimRecord | None:
    """Return the record to store; None where the claim is to be released."""
    if isinstance(result, results.Answered):
        answer = records.keep(result.status, result.headers, result.body)
        return attrs.evolve(claimed, state=records.ClaimState.RAN, answer=answer)
    if result.outcome is requests.Outcome.DID_NOT_RUN:
        return None
    return attrs.evolve(claimed, state=records.ClaimState.UNKNOWN)


def _as_repeated(result: results.Result, record: records.ClaimRecord | None) -> results.Result:
    if record is not None and record.answer is not None:
        return results.of_answer(record.answer)
    return result


async def _once(body: bytes) -> collections.abc.AsyncIterator[bytes]:
    yield body
