"""Sends orders, each in a task of its own."""

import collections.abc
import contextlib
import logging

import attrs
import trio

from toucanhold.orders import results
from toucanhold.routing import dispatch, requests

LOGGER = logging.getLogger(__name__)


# Sends a request to one backend server, as :meth:`dispatch.Dispatcher.serve` does.
Serve = collections.abc.Callable[
    [requests.CallerRequest], contextlib.AbstractAsyncContextManager[dispatch.Answer]
]
Procedure = collections.abc.Callable[..., collections.abc.Awaitable[None]]


@attrs.define(eq=False)
class OrderRunner:
    """Runs orders' tasks: a caller who leaves does not cancel what was sent.

    :ivar count: number of orders that run or whose outcome is not stored yet
    """

    serve: Serve
    count: int = attrs.field(default=0, init=False)
    _ended: trio.Event = attrs.field(factory=trio.Event, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run orders' tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def wait_idle(self, limit_s: float) -> int:
        """Wait until every outcome is stored; return the number that is not."""
        with trio.move_on_after(limit_s):
            while self.count:
                await self._ended.wait()
        return self.count

    async def start(
        self, procedure: Procedure, request: requests.CallerRequest, *details: object
    ) -> results.Result:
        """Start ``procedure(request, reply, *details)`` and wait for its reply."""
        reply = results.Reply()
        self._nursery.start_soon(self._count, procedure, request, reply, *details)
        await reply.settled.wait()
        return reply.result

    async def send(self, request: requests.CallerRequest) -> results.Result:
        """Send an order to one backend server and return how it ended."""
        try:
            async with self.serve(request) as answer:
                body = b"".join([chunk async for chunk in answer.chunks])
                return results.Answered(answer.status, answer.headers, body)
        except requests.RequestError as error:
            return error
        except Exception as error:
            # As in _count, and the outcome is still recorded.
            LOGGER.exception("request %s: an order's task failed", request.request_id)
            return results.unknown(f"internal error: {error!r}")

    async def _count(
        self,
        procedure: Procedure,
        request: requests.CallerRequest,
        reply: results.Reply,
        *details: object,
    ) -> None:
        self.count += 1
        try:
            await procedure(request, reply, *details)
        except Exception as error:
            # One order's failure must end neither the others nor the entry. It may have been
            # sent, so it must not pass for a refusal either.
            LOGGER.exception("request %s: an order's task failed", request.request_id)
            reply.settle(results.unknown(f"internal error: {error!r}"))
        finally:
            self.count -= 1
            self._ended.set()
            self._ended = trio.Event()
