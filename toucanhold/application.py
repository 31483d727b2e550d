"""An application: what it owns, in the order of starting and stopping."""

import abc
import collections.abc
import contextlib
import logging
import signal

import trio

LOGGER = logging.getLogger(__name__)


class Application(abc.ABC):
    """Owns components and runs them between its life-cycle hooks."""

    async def run(self) -> None:
        """Run until a stop signal."""
        asked_to_stop = trio.Event()
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_take_signals, signals, asked_to_stop)
                await self.run_until(asked_to_stop.wait)
                nursery.cancel_scope.cancel()

    async def run_until(
        self, wait_for_stop: collections.abc.Callable[[], collections.abc.Awaitable[None]]
    ) -> None:
        """Start, wait, stop, and clean up.

        :param wait_for_stop: returns when a planned stop is to begin
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self.clean_up)
            async with trio.open_nursery() as nursery:
                await self.start(nursery)
                await wait_for_stop()
                await self.stop()
                nursery.cancel_scope.cancel()

    @abc.abstractmethod
    async def start(self, nursery: trio.Nursery) -> None:
        """Start all tasks in ``nursery``; return when the application serves."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Stop gracefully; return when nothing is in flight."""

    @abc.abstractmethod
    async def clean_up(self) -> None:
        """Release what is left, also after a failure."""


async def _take_signals(signals, asked_to_stop: trio.Event) -> None:
    # All signals are taken, until the end. One that is left over when the receiver is closed would
    # be raised again with its default effect: a graceful stop that was asked for twice would end
    # the process by the signal and not with exit status 0.
    async for number in signals:
        LOGGER.debug("signal %s", number)
        asked_to_stop.set()
