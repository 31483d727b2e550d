"""Orders under a caller's own key, claimed in the key-value service."""

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
class _Order:
    """An order that this process has claimed, or is claiming, until its outcome is stored.

    :ivar result: what a repeat is told; None while it runs
    """

    key: str
    fingerprint: bytes
    record: records.ClaimRecord
    result: results.Result | None = None


@attrs.define(eq=False)
class ClaimedOrderExecutor:
    """Claims, sends and records orders.

    :ivar wall_clock: POSIX time; only tells "in progress" from "unknown"
    """

    entry: str
    boot: str
    runner: running.OrderRunner
    claims: claims.ClaimStore
    wall_clock: collections.abc.Callable[[], float] = time.time
    _orders: dict[str, _Order] = attrs.field(factory=dict, init=False)

    async def result(self, request: requests.CallerRequest) -> results.Result:
        """Return how an order ended, or what its repeat is told."""
        key, fingerprint = records.key_of(request), records.fingerprint_of(request)
        known = self._orders.get(key)
        if known is not None:
            return self._repeat(known, fingerprint)
        if self.runner.count >= MAX_UNSETTLED:
            # Outcomes that cannot be stored are held in memory; this bounds it.
            detail = f"{MAX_UNSETTLED} orders wait for their outcome to be stored"
            return results.refused(requests.Problem.OVERLOADED, detail, BUSY_RETRY_AFTER_S)
        order = self._new_order(key, fingerprint, request)
        self._orders[key] = order
        return await self.runner.start(self._run, request, order)

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

    async def _run(
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
        result = await self.runner.send(request)
        reply.settle(result)
        record = results.to_record(order.record, result)
        order.result = results.as_repeated(result, record)
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
