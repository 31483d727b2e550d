"""The life cycle of an application: start, run, graceful stop and clean-up."""

import abc
import collections.abc
import contextlib
import logging
import signal

import trio

from toucanhold import lifetime

LOGGER = logging.getLogger(__name__)


class Application(abc.ABC):
    """Base class of applications, which implement the three life-cycle hooks.

    :ivar lifetime: the time that this process has for answers
    """

    lifetime: lifetime.Lifetime

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        stop_requested = trio.Event()
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_signals, signals, stop_requested)
                await self.run_until(stop_requested.wait)
                nursery.cancel_scope.cancel()

    async def run_until(
        self, wait_for_stop: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    ) -> None:
        """Run the life cycle: start, wait for the stop request, stop gracefully, clean up.

        :param wait_for_stop: returns when a graceful stop is requested
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self.clean_up)
            async with trio.open_nursery() as nursery:
                await self.start(nursery)
                await wait_for_stop()
                self.lifetime.begin_stop()
                await self.stop()
                nursery.cancel_scope.cancel()

    @abc.abstractmethod
    async def start(self, nursery: trio.Nursery) -> None:
        """Start all tasks in ``nursery``; return when the application accepts requests."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Stop gracefully; return when no request is in flight, or the time for answers is over."""

    @abc.abstractmethod
    async def clean_up(self) -> None:
        """Release the remaining resources; called after a failure too."""

    async def _receive_signals(self, signals, stop_requested: trio.Event) -> None:
        # Signals are received until the end. One that is pending when the receiver is closed is
        # raised again with its default effect: after a second stop signal the process would be
        # killed by it instead of exiting with status 0.
        async for number in signals:
            LOGGER.debug("received signal %s", number)
            # The time of a stop counts from its signal, which may come before the start is over.
            self.lifetime.begin_stop()
            stop_requested.set()
