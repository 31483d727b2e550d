"""Runs async test methods on trio's test clock."""

import functools

import trio
import trio.testing


def on_test_clock(function):
    """Run an async test method on a clock that skips waits."""

    @functools.wraps(function)
    def run(self):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(function, self, clock=clock)

    return run
