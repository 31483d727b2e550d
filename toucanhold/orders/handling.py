"""Handles orders so that each runs at most once, whichever entry receives its repeats."""

import collections.abc
import contextlib

import attrs
import trio

from toucanhold import supervision
from toucanhold.orders import claimed, issued, keys, results, running
from toucanhold.routing import dispatch, requests


@attrs.define(eq=False)
class OrderHandler:
    """Passes each order to the executor for its kind of idempotency key.

    :ivar claimed_executor: executes orders under keys chosen by callers
    :ivar issued_executor: executes orders under keys issued by an entry
    """

    runner: running.OrderRunner
    claimed_executor: claimed.ClaimedOrderExecutor
    issued_executor: issued.IssuedKeyExecutor

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run the tasks of orders and the commits of claims until cancelled."""
        async with trio.open_nursery() as nursery:
            committer = self.claimed_executor.claims.committer
            nursery.start_soon(supervision.keep_running, committer.run)
            await nursery.start(self.runner.run)
            task_status.started()

    async def drain(self, timeout_s: float) -> int:
        """Wait for running orders and store all outcomes before a planned stop.

        :param timeout_s: time for both together
        :return: number of outcomes that are not stored
        """
        deadline_s = trio.current_time() + timeout_s
        unstored = await self.runner.wait_idle(timeout_s)
        return unstored + await self.issued_executor.persist_outcomes(
            deadline_s - trio.current_time()
        )

    @contextlib.asynccontextmanager
    async def serve(
        self, request: requests.CallerRequest
    ) -> collections.abc.AsyncIterator[dispatch.Answer]:
        """Yield the answer to an order, or the stored answer to a repeat of it.

        :raises requests.RequestError: when there is no answer, with the reason and whether the
            order ran
        """
        result = await self._execute(request)
        if isinstance(result, requests.RequestError):
            raise result
        yield dispatch.Answer(result.status, result.headers, _single_chunk(result.body))

    async def _execute(self, request: requests.CallerRequest) -> results.Result:
        if not request.idempotency_key:
            return await self.runner.run_detached(self._run_once, request)
        if keys.is_issued(request.idempotency_key):
            return await self.issued_executor.execute(request)
        return await self.claimed_executor.execute(request)

    async def _run_once(
        self, request: requests.CallerRequest, future: results.ResultFuture
    ) -> None:
        # An order without a key cannot be repeated: whatever its caller sends later is a new
        # order. A single attempt therefore runs at most once, and no claim is needed.
        future.set_result(await self.runner.send(request))


async def _single_chunk(body: bytes) -> collections.abc.AsyncIterator[bytes]:
    yield body
