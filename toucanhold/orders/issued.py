"""Issues order keys and executes orders under them without the key-value service."""

import collections.abc
import heapq
import itertools
import logging
import time

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import keyvalue
from toucanhold.membership import roster
from toucanhold.orders import claims, keys, records, results, running
from toucanhold.routing import requests

MAX_USED_KEYS = 50_000
MAX_KEPT_ANSWERS_BYTES = 4 * 1024 * 1024
MAX_KEYS_PER_REQUEST = 100
MAX_CONCURRENT_STORES = 64
FULL_RETRY_AFTER_S = 5.0
WRONG_ENTRY_RETRY_AFTER_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class _UsedKey:
    """An issued key whose order this process has run or is running.

    :ivar key: key of the claim under which the outcome is stored when this entry stops
    :ivar fingerprint: SHA-256 of the order's method, path and body
    :ivar expires_at_s: end of the key's validity on trio's clock
    :ivar ends_at_s: POSIX time of the order's deadline
    :ivar record: outcome of the order; None while it runs
    """

    key: str
    fingerprint: bytes
    expires_at_s: float
    ends_at_s: float
    record: records.ClaimRecord | None = None


@attrs.define(eq=False)
class IssuedKeyExecutor:
    """Executes orders whose key this process issued; used keys are kept in memory.

    An order runs at most once because no other process runs such a key, and this process forgets
    a used key only after the key has expired. The cost is that outcomes are lost when the process
    crashes: a repeat at another entry then gets "outcome unknown".

    :ivar claims: stores the outcomes when this entry stops
    :ivar wall_clock: returns POSIX time in seconds
    """

    roster: roster.Roster
    runner: running.OrderRunner
    claims: claims.ClaimStore
    signer: keys.KeySigner
    wall_clock: collections.abc.Callable[[], float] = time.time
    _used_keys: dict[str, _UsedKey] = attrs.field(factory=dict, init=False)
    _by_expiry: list[tuple[float, int, _UsedKey]] = attrs.field(factory=list, init=False)
    _tie_breakers: collections.abc.Iterator[int] = attrs.field(factory=itertools.count, init=False)
    _kept_body_bytes: int = attrs.field(default=0, init=False)

    def issue(self, workspace: str, count: int) -> list[str]:
        """Return ``count`` new keys, at most ``MAX_KEYS_PER_REQUEST``.

        Issued keys take no memory until they are used.
        """
        own = self.roster.own
        expires_at_s = trio.current_time() + keys.VALID_S
        return [
            self.signer.issue(own.entry, own.boot, workspace, expires_at_s)
            for _ in range(min(count, MAX_KEYS_PER_REQUEST))
        ]

    async def execute(self, request: requests.CallerRequest) -> results.Result:
        """Run an order and return its result, or return the result for a repeat of it."""
        try:
            key = self.signer.verify(request.idempotency_key, request.workspace)
        except keys.InvalidKeyError as error:
            return results.refusal(requests.Problem.MALFORMED, f"invalid order key: {error}")
        own = self.roster.own
        if (key.entry, key.boot) != (own.entry, own.boot):
            return await self._result_elsewhere(request, key)
        self._evict_expired()
        claim_key, fingerprint = records.claim_key(request), records.order_fingerprint(request)
        used = self._used_keys.get(claim_key)
        if used is not None:
            return self._repeat_result(used, fingerprint)
        if trio.current_time() >= key.expires_at_s:
            return results.outcome_unknown(
                "the order key has expired; it is no longer recorded whether its order ran"
            )
        if len(self._used_keys) >= MAX_USED_KEYS:
            # Forgetting a key that is still valid could run its order twice.
            detail = f"the limit of {MAX_USED_KEYS} used order keys is reached"
            return results.refusal(requests.Problem.OVERLOADED, detail, FULL_RETRY_AFTER_S)
        remaining_s = max(0.0, request.deadline_s - trio.current_time())
        used = _UsedKey(claim_key, fingerprint, key.expires_at_s, self.wall_clock() + remaining_s)
        self._used_keys[claim_key] = used
        return await self.runner.run_detached(self._run, request, used)

    async def persist_outcomes(self, timeout_s: float) -> int:
        """Store the outcomes of used keys so that other entries can answer repeats.

        :return: number of outcomes that could not be stored within ``timeout_s``
        """
        finished = [used for used in self._used_keys.values() if used.record is not None]
        unstored = {used.key for used in finished}
        # The latest outcomes are stored first, since their callers may still repeat them.
        pending = iter(reversed(finished))
        with trio.move_on_after(timeout_s):
            async with trio.open_nursery() as nursery:
                for _ in range(MAX_CONCURRENT_STORES):
                    nursery.start_soon(self._store_outcomes, pending, unstored)
        return len(unstored)

    async def _store_outcomes(
        self, pending: collections.abc.Iterator[_UsedKey], unstored: set[str]
    ) -> None:
        for used in pending:
            try:
                await self.claims.claim(used.key, used.record)
                unstored.discard(used.key)
            except claims.ClaimUnavailableError as error:
                LOGGER.debug("cannot store the outcome of claim %s: %s", used.key, error)

    def _repeat_result(self, used: _UsedKey, fingerprint: bytes) -> results.Result:
        if used.fingerprint != fingerprint:
            return results.key_reused()
        if used.record is None:
            return results.in_progress(used.ends_at_s - self.wall_clock())
        own = self.roster.own
        return results.from_record(used.record, fingerprint, own.boot, own.entry, self.wall_clock())

    async def _run(
        self, request: requests.CallerRequest, future: results.ResultFuture, used: _UsedKey
    ) -> None:
        own = self.roster.own
        result = results.outcome_unknown("the task of the order ended with an internal error")
        try:
            result = await self.runner.send(request)
        finally:
            claim = records.ClaimRecord(
                request.request_id, used.fingerprint, own.entry, own.boot, used.ends_at_s
            )
            used.record = self._within_answer_limit(results.to_record(claim, result))
            if used.record is None:
                del self._used_keys[used.key]
            else:
                heapq.heappush(self._by_expiry, (used.expires_at_s, next(self._tie_breakers), used))
        future.set_result(result)
        events.log(
            LOGGER,
            events.Event.ISSUED_KEY_USED,
            request_id=request.request_id,
            state="unused" if used.record is None else used.record.state.value,
        )

    def _within_answer_limit(
        self, record: records.ClaimRecord | None
    ) -> records.ClaimRecord | None:
        if record is None or record.answer is None or record.answer.body is None:
            return record
        size_bytes = len(record.answer.body)
        if self._kept_body_bytes + size_bytes > MAX_KEPT_ANSWERS_BYTES:
            return attrs.evolve(record, answer=attrs.evolve(record.answer, body=None))
        self._kept_body_bytes += size_bytes
        return record

    def _evict_expired(self) -> None:
        now_s = trio.current_time()
        while self._by_expiry and self._by_expiry[0][0] <= now_s:
            used = heapq.heappop(self._by_expiry)[2]
            del self._used_keys[used.key]
            if used.record.answer is not None and used.record.answer.body is not None:
                self._kept_body_bytes -= len(used.record.answer.body)

    async def _result_elsewhere(
        self, request: requests.CallerRequest, key: keys.IssuedKey
    ) -> results.Result:
        for member in self.roster.others():
            if (member.entry, member.boot) == (key.entry, key.boot):
                return results.refusal(
                    requests.Problem.WRONG_ENTRY,
                    f"this request did not run; only entry {key.entry} accepts this order key",
                    WRONG_ENTRY_RETRY_AFTER_S,
                    member.callers_address,
                )
        return await self._persisted_result(request)

    async def _persisted_result(self, request: requests.CallerRequest) -> results.Result:
        try:
            record = await self.claims.read(records.claim_key(request))
        except (keyvalue.KeyValueError, records.RecordError) as error:
            return results.outcome_unknown(
                "the process that issued the key is no longer listed; "
                f"cannot read its record: {error}"
            )
        if record is None:
            return results.outcome_unknown(
                "the process that issued the key is no longer listed, and no outcome is stored"
            )
        own = self.roster.own
        return results.from_record(
            record, records.order_fingerprint(request), own.boot, own.entry, self.wall_clock()
        )
