"""Commits of claims to the key-value service: one call each, or several in one call."""

import abc
import collections
import collections.abc

import attrs
import trio

from toucanhold.coordination import keyvalue
from toucanhold.orders import limits

MAX_WAITING = 256
MAX_COMBINED = 32
WORKERS = 2


class BusyError(Exception):
    """Too many commits wait; this one was not sent.

    :ivar retry_after_s: when there may be room
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"too many claims wait; room in {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s


@attrs.frozen
class Commit:
    """One compare-and-swap of one key."""

    condition: keyvalue.Condition
    write: keyvalue.Write


class Committer(abc.ABC):
    """Sends compare-and-swaps within this entry's share of the platform's write rate."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Work until cancelled."""

    @abc.abstractmethod
    async def commit(self, commit: Commit) -> keyvalue.CommitResult:
        """Send one compare-and-swap.

        :raises BusyError: when it was not sent because too many wait
        :raises keyvalue.KeyValueError: see :class:`keyvalue.KeyValueClient`
        """


@attrs.define(eq=False)
class SingleCommitter(Committer):
    """The baseline: one call each."""

    client: keyvalue.KeyValueClient
    bucket: limits.TokenBucket
    _waiting: int = attrs.field(default=0, init=False)

    async def run(self) -> None:
        """See :class:`Committer`."""
        await trio.sleep_forever()

    async def commit(self, commit: Commit) -> keyvalue.CommitResult:
        """See :class:`Committer`."""
        if self._waiting >= MAX_WAITING:
            raise BusyError(MAX_WAITING / self.bucket.rate_per_s())
        self._waiting += 1
        try:
            await self.bucket.take()
        finally:
            self._waiting -= 1
        return await self.client.commit([commit.condition], [commit.write])


@attrs.define(eq=False)
class _Waiting:
    commit: Commit
    settled: trio.Event = attrs.field(factory=trio.Event)
    result: keyvalue.CommitResult | None = None
    error: keyvalue.KeyValueError | None = None


@attrs.define(eq=False)
class BatchingCommitter(Committer):
    """Puts together what has gathered while earlier calls were under way."""

    client: keyvalue.KeyValueClient
    bucket: limits.TokenBucket
    workers: int = WORKERS
    _waiting: collections.deque[_Waiting] = attrs.field(factory=collections.deque, init=False)
    _arrived: trio.Event = attrs.field(factory=trio.Event, init=False)

    async def run(self) -> None:
        """See :class:`Committer`."""
        async with trio.open_nursery() as nursery:
            for _ in range(self.workers):
                nursery.start_soon(self._work)

    async def commit(self, commit: Commit) -> keyvalue.CommitResult:
        """See :class:`Committer`."""
        if len(self._waiting) >= MAX_WAITING:
            raise BusyError(max(1.0, MAX_WAITING / MAX_COMBINED / self.bucket.rate_per_s()))
        waiting = _Waiting(commit)
        self._waiting.append(waiting)
        self._arrived.set()
        await waiting.settled.wait()
        if waiting.error is not None:
            raise waiting.error
        return waiting.result

    async def _work(self) -> None:
        while True:
            await self._arrived.wait()
            await self.bucket.take()
            batch = self._take_batch()
            if batch:
                await self._commit_all(batch)

    def _take_batch(self) -> list[_Waiting]:
        batch: dict[str, _Waiting] = {}
        kept: list[_Waiting] = []
        while self._waiting and len(batch) < MAX_COMBINED:
            waiting = self._waiting.popleft()
            # The service refuses a transaction that writes one key twice.
            if waiting.commit.write.key in batch:
                kept.append(waiting)
            else:
                batch[waiting.commit.write.key] = waiting
        self._waiting.extendleft(reversed(kept))
        if not self._waiting:
            self._arrived = trio.Event()
        return list(batch.values())

    async def _commit_all(self, batch: list[_Waiting]) -> None:
        result = await self._commit_together(batch)
        if result is None or result.succeeded or len(batch) == 1:
            return
        # A transaction fails whole when one of its conditions does, for example that of a
        # repeated key. Alone, each of the others still gets its own answer.
        for waiting in batch:
            await self.bucket.take()
            await self._commit_together([waiting])

    async def _commit_together(self, batch: list[_Waiting]) -> keyvalue.CommitResult | None:
        conditions = [waiting.commit.condition for waiting in batch]
        writes = [waiting.commit.write for waiting in batch]
        try:
            result = await self.client.commit(conditions, writes)
        except keyvalue.UnavailableError as error:
            _fail(batch, keyvalue.UnavailableError, error)
            return None
        except Exception as error:
            # Whatever failed here, the write may have left, and the worker must go on for all
            # later orders.
            _fail(batch, keyvalue.UnclearError, error)
            return None
        if result.succeeded or len(batch) == 1:
            for waiting in batch:
                waiting.result = result
                waiting.settled.set()
        return result


def _fail(batch: list[_Waiting], kind: type[keyvalue.KeyValueError], error: Exception) -> None:
    for waiting in batch:
        # Each waiter raises an error of its own: one object raised in several tasks would mix
        # their tracebacks.
        waiting.error = kind(str(error) or repr(error))
        waiting.settled.set()
