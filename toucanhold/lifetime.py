"""Owns the time that a process still has once a planned stop has begun."""

from __future__ import annotations

import collections.abc
import contextlib
import math

import attrs
import trio


@attrs.define(eq=False)
class Lifetime:
    """Bounds the work of a process that is stopping, so that the kill at its end cuts nothing.

    Work that may not be finished in time is not begun, and what is under way at the end is
    cancelled, so that its caller gets an answer before the kill.

    :ivar grace_s: time between the stop signal and the kill; a change does not concern a stop that
        has begun
    :ivar reserve_s: last part of it, kept for what follows the last answer
    :ivar kill_s: trio clock time of the kill; infinite before a stop
    :ivar end_s: trio clock time by which all answers must be complete; infinite before a stop
    """

    grace_s: float = math.inf
    reserve_s: float = 0.0
    kill_s: float = attrs.field(default=math.inf, init=False)
    end_s: float = attrs.field(default=math.inf, init=False)
    _scopes: set[trio.CancelScope] = attrs.field(factory=set, init=False)
    # Scopes of work that has not begun, with the times until which it may last.
    _waiting: dict[trio.CancelScope, float] = attrs.field(factory=dict, init=False)

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.kill_s < math.inf

    def begin_stop(self) -> None:
        """Begin a planned stop; no effect if one has begun."""
        if self.is_stopping:
            return
        self.kill_s = trio.current_time() + self.grace_s
        self.end_s = self.kill_s - min(self.reserve_s, self.grace_s / 2)
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, self.end_s)
        for scope, deadline_s in self._waiting.items():
            if not self.has_time_until(deadline_s):
                scope.cancel()

    def has_time_until(self, deadline_s: float) -> bool:
        """Return whether work that may last until ``deadline_s`` ends before this process."""
        return deadline_s <= self.end_s

    @contextlib.contextmanager
    def bounded(self, deadline_s: float = math.inf) -> collections.abc.Iterator[trio.CancelScope]:
        """Cancel the context at a deadline, or at the end of this process if that comes first.

        :param deadline_s: trio clock time
        """
        with trio.CancelScope(deadline=min(deadline_s, self.end_s)) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.remove(scope)

    @contextlib.contextmanager
    def waiting(self, deadline_s: float) -> collections.abc.Iterator[trio.CancelScope]:
        """Cancel the context if a stop begins that leaves no time for what the context waits for.

        :param deadline_s: trio clock time until which the work may last that follows
        """
        with trio.CancelScope() as scope:
            self._waiting[scope] = deadline_s
            try:
                yield scope
            finally:
                del self._waiting[scope]
