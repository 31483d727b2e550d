"""Orders under keys that an entry issued: they need no call to the key-value service."""

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
MAX_STORED_AT_ONCE = 64
FULL_RETRY_AFTER_S = 5.0
ELSEWHERE_RETRY_AFTER_S = 1.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class _UsedKey:
    """An order key that this process has run, or runs.

    :ivar key: key of the claim that stands for it if this entry is stopped
    :ivar record: None while it runs
    """

    key: str
    fingerprint: bytes
    expires_at_s: float
    ends_at_s: float
    record: records.ClaimRecord | None = None


@attrs.define(eq=False)
class IssuedKeyExecutor:
    """Runs orders whose key this process issued; the claims are its own memory.

    That is at most once because no other process ever runs such a key, and this one forgets a
    key only when it is too old to be run. What it costs: with the process goes the knowledge,
    and a repeat elsewhere is told "unknown".
    """

    roster: roster.Roster
    runner: running.OrderRunner
    claims: claims.ClaimStore
    signer: keys.KeySigner
    wall_clock: collections.abc.Callable[[], float] = time.time
    _used: dict[str, _UsedKey] = attrs.field(factory=dict, init=False)
    _by_age: list[tuple[float, int, _UsedKey]] = attrs.field(factory=list, init=False)
    _ids: collections.abc.Iterator[int] = attrs.field(factory=itertools.count, init=False)
    _kept_bytes: int = attrs.field(default=0, init=False)

    def issue(self, workspace: str, count: int) -> list[str]:
        """Return new keys; nothing is kept of them until they are used."""
        own = self.roster.own
        expires_at_s = trio.current_time() + keys.VALID_S
        return [
            self.signer.issue(own.entry, own.boot, workspace, expires_at_s)
            for _ in range(min(count, MAX_KEYS_PER_REQUEST))
        ]

    async def result(self, request: requests.CallerRequest) -> results.Result:
        """Return how an order ended, or what its repeat is told."""
        try:
            key = self.signer.read(request.idempotency_key, request.workspace)
        except keys.InvalidKeyError as error:
            return results.refused(requests.Problem.MALFORMED, f"the order key: {error}")
        own = self.roster.own
        if (key.entry, key.boot) != (own.entry, own.boot):
            return await self._elsewhere(request, key)
        self._forget_expired()
        claim_key, fingerprint = records.key_of(request), records.fingerprint_of(request)
        used = self._used.get(claim_key)
        if used is not None:
            return self._repeat(used, fingerprint)
        if trio.current_time() >= key.expires_at_s:
            return results.unknown("the order key has expired; whether it ever ran is forgotten")
        if len(self._used) >= MAX_USED_KEYS:
            # Forgetting one that can still be presented would run it twice.
            detail = f"{MAX_USED_KEYS} order keys are in use"
            return results.refused(requests.Problem.OVERLOADED, detail, FULL_RETRY_AFTER_S)
        rest_s = max(0.0, request.deadline_s - trio.current_time())
        used = _UsedKey(claim_key, fingerprint, key.expires_at_s, self.wall_clock() + rest_s)
        self._used[claim_key] = used
        return await self.runner.start(self._run, request, used)

    async def hand_over(self, limit_s: float) -> int:
        """Store what is known of used keys, so that it outlives this process; return the rest."""
        ended = [used for used in self._used.values() if used.record is not None]
        rest = {used.key for used in ended}
        # The newest first: these are the ones whose callers may still repeat them.
        waiting = iter(reversed(ended))
        with trio.move_on_after(limit_s):
            async with trio.open_nursery() as nursery:
                for _ in range(MAX_STORED_AT_ONCE):
                    nursery.start_soon(self._store_all, waiting, rest)
        return len(rest)

    async def _store_all(self, waiting: collections.abc.Iterator[_UsedKey], rest: set[str]) -> None:
        for used in waiting:
            try:
                await self.claims.claim(used.key, used.record)
                rest.discard(used.key)
            except claims.ClaimUnavailableError as error:
                LOGGER.debug("the outcome of %s is not stored: %s", used.key, error)

    def _repeat(self, used: _UsedKey, fingerprint: bytes) -> results.Result:
        if used.fingerprint != fingerprint:
            return results.key_reused()
        if used.record is None:
            return results.in_progress(used.ends_at_s - self.wall_clock())
        own = self.roster.own
        return results.of_record(used.record, fingerprint, own.boot, own.entry, self.wall_clock())

    async def _run(
        self, request: requests.CallerRequest, reply: results.Reply, used: _UsedKey
    ) -> None:
        own = self.roster.own
        result = results.unknown("internal error")
        try:
            result = await self.runner.send(request)
        finally:
            claimed = records.ClaimRecord(
                request.request_id, used.fingerprint, own.entry, own.boot, used.ends_at_s
            )
            used.record = self._bounded(results.to_record(claimed, result))
            if used.record is None:
                del self._used[used.key]
            else:
                heapq.heappush(self._by_age, (used.expires_at_s, next(self._ids), used))
        reply.settle(result)
        events.log(
            LOGGER,
            events.Event.ISSUED_KEY_USED,
            request_id=request.request_id,
            state="unused" if used.record is None else used.record.state.value,
        )

    def _bounded(self, record: records.ClaimRecord | None) -> records.ClaimRecord | None:
        if record is None or record.answer is None or record.answer.body is None:
            return record
        size_bytes = len(record.answer.body)
        if self._kept_bytes + size_bytes > MAX_KEPT_ANSWERS_BYTES:
            return attrs.evolve(record, answer=attrs.evolve(record.answer, body=None))
        self._kept_bytes += size_bytes
        return record

    def _forget_expired(self) -> None:
        now_s = trio.current_time()
        while self._by_age and self._by_age[0][0] <= now_s:
            used = heapq.heappop(self._by_age)[2]
            del self._used[used.key]
            if used.record.answer is not None and used.record.answer.body is not None:
                self._kept_bytes -= len(used.record.answer.body)

    async def _elsewhere(
        self, request: requests.CallerRequest, key: keys.IssuedKey
    ) -> results.Result:
        for member in self.roster.others():
            if (member.entry, member.boot) == (key.entry, key.boot):
                return results.refused(
                    requests.Problem.WRONG_ENTRY,
                    f"this sending did not run; only {key.entry} runs this key",
                    ELSEWHERE_RETRY_AFTER_S,
                    member.callers_address,
                )
        return await self._handed_over(request)

    async def _handed_over(self, request: requests.CallerRequest) -> results.Result:
        try:
            record = await self.claims.read(records.key_of(request))
        except (keyvalue.KeyValueError, records.RecordError) as error:
            return results.unknown(f"the process that issued the key is gone: {error}")
        if record is None:
            return results.unknown("the process that issued the key is gone, with what it knew")
        own = self.roster.own
        return results.of_record(
            record, records.fingerprint_of(request), own.boot, own.entry, self.wall_clock()
        )
