"""Runs each order at most once, whoever repeats it and wherever."""

import collections.abc
import contextlib

import attrs
import trio

from toucanhold.orders import claimed, issued, keys, results, running
from toucanhold.routing import dispatch, requests


@attrs.define(eq=False)
class OrderHandler:
    """Serves orders by the kind of their key."""

    runner: running.OrderRunner
    claimed: claimed.ClaimedOrderExecutor
    issued: issued.IssuedKeyExecutor

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.claimed.claims.committer.run)
            await nursery.start(self.runner.run)
            task_status.started()

    async def drain(self, limit_s: float) -> int:
        """Store every outcome before a planned stop ends; return the number that is not."""
        deadline_s = trio.current_time() + limit_s
        unsettled = await self.runner.wait_idle(limit_s)
        return unsettled + await self.issued.hand_over(deadline_s - trio.current_time())

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
            return await self.runner.start(self._run_once, request)
        if keys.is_issued(request.idempotency_key):
            return await self.issued.result(request)
        return await self.claimed.result(request)

    async def _run_once(self, request: requests.CallerRequest, reply: results.Reply) -> None:
        # Without a key, nobody can name this order again: whatever its caller sends later is an
        # order of its own. One attempt that is never repeated is therefore at most one run, and
        # there is nothing to claim.
        reply.settle(await self.runner.send(request))


async def _once(body: bytes) -> collections.abc.AsyncIterator[bytes]:
    yield body
