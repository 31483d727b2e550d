"""Polls the status of an entry until a change has taken effect."""

import collections.abc

import trio

from toucanhold.cli import command
from toucanhold.operators import client, messages

POLL_INTERVAL_S = 0.25

Describe = collections.abc.Callable[[messages.StatusAnswer], str]
Predicate = collections.abc.Callable[[messages.StatusAnswer], bool]


async def wait_for_status(
    operator_command: command.Command,
    entry_client: client.OperatorsClient,
    is_done: Predicate,
    describe: Describe,
    timeout_s: float,
) -> messages.StatusAnswer | None:
    """Poll the status until it satisfies a predicate, and print each change of its description.

    :param is_done: whether the status is the one waited for
    :param describe: returns a line that describes the status
    :return: the status that satisfied the predicate; None after ``timeout_s``
    """
    last_line = ""
    with trio.move_on_after(timeout_s):
        while True:
            system_status = await entry_client.status()
            line = describe(system_status)
            if line != last_line:
                operator_command.print_progress(line)
                last_line = line
            if is_done(system_status):
                return system_status
            await trio.sleep(POLL_INTERVAL_S)
    return None
