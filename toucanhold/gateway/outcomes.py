"""Defines observers of the attempts that this entry makes on servers."""

from __future__ import annotations

import collections.abc
import contextlib

import attrs
import trio

from toucanhold.gateway import calls
from toucanhold.registry import servers
from toucanhold.routes import table


@attrs.frozen(eq=False)
class Attempt:
    """One attempt of a request on one server.

    :ivar in_flight: requests that all entries had in flight at the server, with this one
    :ivar started_s: trio clock time at which it was sent
    :ivar is_resumed: whether it continues a stream
    :ivar is_trial: whether the server was suspended
    :ivar prompt_tokens: see :class:`calls.Call`
    :ivar output_tokens: see :class:`calls.Call`
    """

    server: servers.Server
    service: table.Service
    route: table.Route
    model: str
    in_flight: int
    started_s: float
    is_resumed: bool = False
    is_trial: bool = False
    prompt_tokens: int | None = None
    output_tokens: int | None = None


class AttemptObserver:
    """Observes attempts; each attempt ends with exactly one of the last three calls.

    All methods are optional: by default, they have no effect.
    """

    def on_first_event(self, attempt: Attempt, elapsed_s: float) -> None:
        """Process the first event of a stream, ``elapsed_s`` after the attempt started."""

    def on_pause(self, attempt: Attempt, pause_s: float) -> None:
        """Process the time between two consecutive pieces of a stream."""

    def on_served(self, attempt: Attempt, elapsed_s: float) -> None:
        """Process a complete response, ``elapsed_s`` after the attempt started."""

    def on_not_run(self, attempt: Attempt, error: calls.NotRunError) -> None:
        """Process that the server did not run the request."""

    def on_failed(self, attempt: Attempt) -> None:
        """Process a failed, lost or cancelled response."""


@attrs.define(eq=False)
class ObserverGroup(AttemptObserver):
    """Notifies several observers."""

    observers: collections.abc.Sequence[AttemptObserver] = ()

    def on_first_event(self, attempt: Attempt, elapsed_s: float) -> None:
        """See :class:`AttemptObserver`."""
        for observer in self.observers:
            observer.on_first_event(attempt, elapsed_s)

    def on_pause(self, attempt: Attempt, pause_s: float) -> None:
        """See :class:`AttemptObserver`."""
        for observer in self.observers:
            observer.on_pause(attempt, pause_s)

    def on_served(self, attempt: Attempt, elapsed_s: float) -> None:
        """See :class:`AttemptObserver`."""
        for observer in self.observers:
            observer.on_served(attempt, elapsed_s)

    def on_not_run(self, attempt: Attempt, error: calls.NotRunError) -> None:
        """See :class:`AttemptObserver`."""
        for observer in self.observers:
            observer.on_not_run(attempt, error)

    def on_failed(self, attempt: Attempt) -> None:
        """See :class:`AttemptObserver`."""
        for observer in self.observers:
            observer.on_failed(attempt)


@attrs.define(eq=False)
class ObservedAttempt:
    """An attempt with its observer."""

    attempt: Attempt
    observer: AttemptObserver
    _last_event_s: float | None = attrs.field(default=None, init=False)

    def record_event(self) -> None:
        """Process a piece of the stream."""
        now_s = trio.current_time()
        if self._last_event_s is None:
            self.observer.on_first_event(self.attempt, self._elapsed_s())
        else:
            self.observer.on_pause(self.attempt, now_s - self._last_event_s)
        self._last_event_s = now_s

    @contextlib.contextmanager
    def watch(self) -> collections.abc.Iterator[None]:
        """Notify the observer of how the attempt made within the context ends."""
        try:
            yield
        except calls.NotRunError as error:
            self.observer.on_not_run(self.attempt, error)
            raise
        except BaseException:
            self.observer.on_failed(self.attempt)
            raise
        self.observer.on_served(self.attempt, self._elapsed_s())

    def _elapsed_s(self) -> float:
        return trio.current_time() - self.attempt.started_s
