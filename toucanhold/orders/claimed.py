"""Executes orders under idempotency keys chosen by callers, claimed in the key-value service."""

import collections.abc
import logging
import time
import uuid

import attrs
import trio

from toucanhold import events
from toucanhold.orders import claims, records, results, running
from toucanhold.routing import requests

MAX_UNSETTLED = 1000
ANSWER_MARGIN_S = 5.0
BUSY_RETRY_AFTER_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class _ClaimedOrder:
    """An order that this process has claimed, or is claiming, until its outcome is stored.

    :ivar key: key of the claim in the key-value service
    :ivar fingerprint: SHA-256 of the order's method, path and body
    :ivar record: the claim as written
    :ivar result: result returned to repeats; None while the order runs
    """

    key: str
    fingerprint: bytes
    record: records.ClaimRecord
    result: results.Result | None = None


@attrs.define(eq=False)
class ClaimedOrderExecutor:
    """Claims orders, sends them to a backend server and stores their outcomes.

    :ivar entry: name of this entry
    :ivar boot: unique to this process
    :ivar wall_clock: returns POSIX time in seconds; only used to tell whether an order may still
        be in progress or its outcome is unknown
    """

    entry: str
    boot: str
    runner: running.OrderRunner
    claims: claims.ClaimStore
    wall_clock: collections.abc.Callable[[], float] = time.time
    _orders: dict[str, _ClaimedOrder] = attrs.field(factory=dict, init=False)

    async def execute(self, request: requests.CallerRequest) -> results.Result:
        """Run an order and return its result, or return the result for a repeat of it."""
        key, fingerprint = records.claim_key(request), records.order_fingerprint(request)
        existing = self._orders.get(key)
        if existing is not None:
            return self._repeat_result(existing, fingerprint)
        if self.runner.pending_count >= MAX_UNSETTLED:
            # Outcomes that cannot be stored yet are held in memory; the limit bounds that memory.
            detail = f"{MAX_UNSETTLED} orders are running or their outcome is not stored yet"
            return results.refusal(requests.Problem.OVERLOADED, detail, BUSY_RETRY_AFTER_S)
        order = self._new_order(key, fingerprint, request)
        self._orders[key] = order
        return await self.runner.run_detached(self._run, request, order)

    def _repeat_result(self, existing: _ClaimedOrder, fingerprint: bytes) -> results.Result:
        if existing.fingerprint != fingerprint:
            return results.key_reused()
        if existing.result is None:
            return results.in_progress(existing.record.ends_at_s - self.wall_clock())
        return existing.result

    def _new_order(
        self, key: str, fingerprint: bytes, request: requests.CallerRequest
    ) -> _ClaimedOrder:
        remaining_s = max(0.0, request.deadline_s - trio.current_time())
        ends_at_s = self.wall_clock() + remaining_s + ANSWER_MARGIN_S
        attempt = uuid.uuid4().hex
        record = records.ClaimRecord(attempt, fingerprint, self.entry, self.boot, ends_at_s)
        return _ClaimedOrder(key, fingerprint, record)

    async def _run(
        self, request: requests.CallerRequest, future: results.ResultFuture, order: _ClaimedOrder
    ) -> None:
        try:
            claim = await self._claim(order, future)
            if claim is not None:
                await self._run_claimed(request, future, order, claim)
        finally:
            self._remove(order)

    def _remove(self, order: _ClaimedOrder) -> None:
        if self._orders.get(order.key) is order:
            del self._orders[order.key]

    async def _claim(
        self, order: _ClaimedOrder, future: results.ResultFuture
    ) -> claims.HeldClaim | None:
        try:
            outcome = await self.claims.claim(order.key, order.record)
        except claims.ClaimUnavailableError as error:
            detail = f"this request did not run; repeat it with the same idempotency key: {error}"
            # A repeat may claim the key again at once. A claim that may exist is still deleted.
            self._remove(order)
            future.set_result(
                results.refusal(requests.Problem.CLAIM_UNAVAILABLE, detail, error.retry_after_s)
            )
            if error.may_exist:
                await self.claims.abandon(order.key, order.record)
            return None
        if isinstance(outcome, claims.HeldClaim):
            return outcome
        now_s = self.wall_clock()
        future.set_result(
            results.from_record(outcome, order.fingerprint, self.boot, self.entry, now_s)
        )
        return None

    async def _run_claimed(
        self,
        request: requests.CallerRequest,
        future: results.ResultFuture,
        order: _ClaimedOrder,
        claim: claims.HeldClaim,
    ) -> None:
        result = await self.runner.send(request)
        future.set_result(result)
        record = results.to_record(order.record, result)
        order.result = results.replay_result(result, record)
        if record is None:
            await self.claims.release(claim)
        else:
            await self.claims.record_outcome(claim, record)
        events.log(
            LOGGER,
            events.Event.OUTCOME_STORED,
            request_id=request.request_id,
            claim=order.key,
            state="released" if record is None else record.state.value,
        )
