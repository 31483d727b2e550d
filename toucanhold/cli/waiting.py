"""Waiting with an operator until a change has its effect."""

import collections.abc

import trio

from toucanhold.cli import command
from toucanhold.operators import client, messages

POLL_INTERVAL_S = 0.25

Describe = collections.abc.Callable[[messages.StatusAnswer], str]
Predicate = collections.abc.Callable[[messages.StatusAnswer], bool]


async def wait_until(
    asked: command.Command,
    entry: client.OperatorsClient,
    done: Predicate,
    describe: Describe,
    timeout_s: float,
) -> messages.StatusAnswer | None:
    """Poll the status until ``done``, telling each change; None when the time is over."""
    told = ""
    with trio.move_on_after(timeout_s):
        while True:
            seen = await entry.status()
            line = describe(seen)
            if line != told:
                asked.progress(line)
                told = line
            if done(seen):
                return seen
            await trio.sleep(POLL_INTERVAL_S)
    return None
