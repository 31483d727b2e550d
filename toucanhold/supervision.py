"""Contains unexpected errors: one in the work for an item ends that work, never the process.

A process serves the requests of many callers. An error that no layer expected must not end them
all, so shared loops run the work for each item with :func:`call` or :func:`run`, and the tasks of
an application run with :func:`keep_running`. Expected errors are handled where they arise.
"""

from __future__ import annotations

import collections.abc
import functools
import logging
import traceback

import trio

from toucanhold import events

RESTART_DELAY_S = 0.5
MAX_TRACEBACK_LENGTH = 4000

LOGGER = logging.getLogger(__name__)


def call(function: collections.abc.Callable[..., object], *arguments: object) -> bool:
    """Call a function; return False if it raised an unexpected error, which is logged."""
    try:
        function(*arguments)
    except Exception as error:
        log_error(function, error)
        return False
    return True


async def run(
    function: collections.abc.Callable[..., collections.abc.Awaitable[object]], *arguments: object
) -> bool:
    """Run an async function; return False if it raised an unexpected error, which is logged."""
    has_failed = False
    try:
        await function(*arguments)
    except* Exception as errors:
        # Beside an error, a nursery may raise the cancellation of the caller's own scope, which is
        # passed on.
        log_error(function, errors)
        has_failed = True
    return not has_failed


async def keep_running(
    function: collections.abc.Callable[[], collections.abc.Awaitable[object]],
) -> None:
    """Run an async function until it returns, and again after each unexpected error."""
    while not await run(function):
        await trio.sleep(RESTART_DELAY_S)


def log_error(function: collections.abc.Callable, error: Exception) -> None:
    """Log an unexpected error that ended the work of ``function``."""
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    text = "".join(traceback.format_exception(error))
    events.log(
        LOGGER,
        events.Event.TASK_FAILED,
        task=_name(function),
        reason=repr(error),
        traceback=text[-MAX_TRACEBACK_LENGTH:],
    )


def _name(function: collections.abc.Callable) -> str:
    while isinstance(function, functools.partial):
        function = function.func
    return getattr(function, "__qualname__", repr(function))
