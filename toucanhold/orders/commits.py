"""Commits claims to the key-value service, one per call or several in one transaction."""

import abc
import collections
import collections.abc

import attrs
import trio

from toucanhold.coordination import keyvalue
from toucanhold.orders import limits

MAX_QUEUED_COMMITS = 256
MAX_BATCH_SIZE = 32
MAX_CONCURRENT_CALLS = 2


class QueueFullError(Exception):
    """The queue of commits is full, and this commit was not sent.

    :ivar retry_after_s: estimated time until the queue accepts commits again
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"the queue of claim writes is full; retry in {retry_after_s:.1f} s")
        self.retry_after_s = retry_after_s


@attrs.frozen
class Commit:
    """A compare-and-swap of one key: ``write`` takes effect if ``condition`` holds."""

    condition: keyvalue.Condition
    write: keyvalue.Write


class Committer(abc.ABC):
    """Sends compare-and-swaps within this entry's share of the key-value service's write rate."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Send queued commits until cancelled."""

    @abc.abstractmethod
    async def commit(self, commit: Commit) -> keyvalue.CommitResult:
        """Send one compare-and-swap and return its result.

        :raises QueueFullError: when the commit was not sent because the queue is full
        :raises keyvalue.KeyValueError: see :class:`keyvalue.KeyValueClient`
        """


@attrs.define(eq=False)
class SingleCommitter(Committer):
    """Sends each commit in a call of its own; the baseline of measurements."""

    client: keyvalue.KeyValueClient
    bucket: limits.TokenBucket
    _queued_count: int = attrs.field(default=0, init=False)

    async def run(self) -> None:
        """See :class:`Committer`."""
        await trio.sleep_forever()

    async def commit(self, commit: Commit) -> keyvalue.CommitResult:
        """See :class:`Committer`."""
        if self._queued_count >= MAX_QUEUED_COMMITS:
            raise QueueFullError(MAX_QUEUED_COMMITS / self.bucket.rate_per_s())
        self._queued_count += 1
        try:
            await self.bucket.acquire()
        finally:
            self._queued_count -= 1
        return await self.client.commit([commit.condition], [commit.write])


@attrs.define(eq=False)
class _QueuedCommit:
    commit: Commit
    done: trio.Event = attrs.field(factory=trio.Event)
    result: keyvalue.CommitResult | None = None
    error: keyvalue.KeyValueError | None = None


@attrs.define(eq=False)
class BatchingCommitter(Committer):
    """Combines the commits queued during earlier calls into one transaction.

    :ivar workers: number of concurrent calls
    """

    client: keyvalue.KeyValueClient
    bucket: limits.TokenBucket
    workers: int = MAX_CONCURRENT_CALLS
    _queue: collections.deque[_QueuedCommit] = attrs.field(factory=collections.deque, init=False)
    _queue_filled: trio.Event = attrs.field(factory=trio.Event, init=False)

    async def run(self) -> None:
        """See :class:`Committer`."""
        async with trio.open_nursery() as nursery:
            for _ in range(self.workers):
                nursery.start_soon(self._run_worker)

    async def commit(self, commit: Commit) -> keyvalue.CommitResult:
        """See :class:`Committer`."""
        if len(self._queue) >= MAX_QUEUED_COMMITS:
            raise QueueFullError(
                max(1.0, MAX_QUEUED_COMMITS / MAX_BATCH_SIZE / self.bucket.rate_per_s())
            )
        queued = _QueuedCommit(commit)
        self._queue.append(queued)
        self._queue_filled.set()
        await queued.done.wait()
        if queued.error is not None:
            raise queued.error
        return queued.result

    async def _run_worker(self) -> None:
        while True:
            await self._queue_filled.wait()
            await self.bucket.acquire()
            batch = self._next_batch()
            if batch:
                await self._commit_batch(batch)

    def _next_batch(self) -> list[_QueuedCommit]:
        batch: dict[str, _QueuedCommit] = {}
        deferred: list[_QueuedCommit] = []
        while self._queue and len(batch) < MAX_BATCH_SIZE:
            queued = self._queue.popleft()
            # The service rejects a transaction that writes a key twice.
            if queued.commit.write.key in batch:
                deferred.append(queued)
            else:
                batch[queued.commit.write.key] = queued
        self._queue.extendleft(reversed(deferred))
        if not self._queue:
            self._queue_filled = trio.Event()
        return list(batch.values())

    async def _commit_batch(self, batch: list[_QueuedCommit]) -> None:
        result = await self._commit_transaction(batch)
        if result is None or result.succeeded or len(batch) == 1:
            return
        # A transaction fails as a whole when one of its conditions does not hold, for example
        # because a key is claimed already. Sent alone, each commit gets its own result.
        for queued in batch:
            await self.bucket.acquire()
            await self._commit_transaction([queued])

    async def _commit_transaction(self, batch: list[_QueuedCommit]) -> keyvalue.CommitResult | None:
        conditions = [queued.commit.condition for queued in batch]
        writes = [queued.commit.write for queued in batch]
        try:
            result = await self.client.commit(conditions, writes)
        except keyvalue.UnavailableError as error:
            _fail_batch(batch, keyvalue.UnavailableError, error)
            return None
        except Exception as error:
            # After an unexpected error the write may have been sent, so its outcome is unclear.
            # The worker must survive, since all later orders depend on it.
            _fail_batch(batch, keyvalue.IndeterminateError, error)
            return None
        if result.succeeded or len(batch) == 1:
            for queued in batch:
                queued.result = result
                queued.done.set()
        return result


def _fail_batch(
    batch: list[_QueuedCommit], error_class: type[keyvalue.KeyValueError], cause: Exception
) -> None:
    for queued in batch:
        # Each task raises an error object of its own, since one object raised in several tasks
        # would mix their tracebacks.
        queued.error = error_class(str(cause) or repr(cause))
        queued.done.set()
