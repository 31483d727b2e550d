"""Runs each order in a task of its own, independent of its caller's connection."""

import collections.abc
import contextlib
import logging

import attrs
import trio

from toucanhold.orders import results
from toucanhold.routing import dispatch, requests

LOGGER = logging.getLogger(__name__)


# Sends a request to one backend server, like :meth:`dispatch.Dispatcher.serve`.
ServeRequest = collections.abc.Callable[
    [requests.CallerRequest], contextlib.AbstractAsyncContextManager[dispatch.Answer]
]
OrderTask = collections.abc.Callable[..., collections.abc.Awaitable[None]]


@attrs.define(eq=False)
class OrderRunner:
    """Runs the tasks of orders; an order continues when its caller disconnects.

    :ivar serve: sends a request to one backend server
    :ivar pending_count: number of orders that are running or whose outcome is not stored yet
    """

    serve: ServeRequest
    pending_count: int = attrs.field(default=0, init=False)
    _order_ended: trio.Event = attrs.field(factory=trio.Event, init=False)
    _nursery: trio.Nursery | None = attrs.field(default=None, init=False)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run the tasks of orders until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def wait_idle(self, timeout_s: float) -> int:
        """Wait until all outcomes are stored, at most for ``timeout_s``.

        :return: number of orders whose outcome is not stored
        """
        with trio.move_on_after(timeout_s):
            while self.pending_count:
                await self._order_ended.wait()
        return self.pending_count

    async def run_detached(
        self, task: OrderTask, request: requests.CallerRequest, *args: object
    ) -> results.Result:
        """Start ``task(request, future, *args)`` and wait for the future's result.

        The task continues when the caller of this method is cancelled.
        """
        future = results.ResultFuture()
        self._nursery.start_soon(self._run_counted, task, request, future, *args)
        await future.done.wait()
        return future.result

    async def send(self, request: requests.CallerRequest) -> results.Result:
        """Send an order to one backend server and return its result."""
        try:
            async with self.serve(request) as answer:
                body = b"".join([chunk async for chunk in answer.chunks])
                return results.BufferedAnswer(answer.status, answer.headers, body)
        except requests.RequestError as error:
            return error
        except Exception as error:
            # The order may have run, as in _run_counted; its outcome is still recorded.
            LOGGER.exception("request %s: sending the order failed", request.request_id)
            return results.outcome_unknown(f"internal error: {error!r}")

    async def _run_counted(
        self,
        task: OrderTask,
        request: requests.CallerRequest,
        future: results.ResultFuture,
        *args: object,
    ) -> None:
        self.pending_count += 1
        try:
            await task(request, future, *args)
        except Exception as error:
            # A failing order must not end other orders or the entry. The order may have been
            # sent, so its caller must not be told that it did not run.
            LOGGER.exception("request %s: the task of the order failed", request.request_id)
            future.set_result(results.outcome_unknown(f"internal error: {error!r}"))
        finally:
            self.pending_count -= 1
            self._order_ended.set()
            self._order_ended = trio.Event()
