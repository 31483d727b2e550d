"""Holds the attempts of a request that are under way at the same time."""

import attrs
import trio

from toucanhold.routing import watchdog


@attrs.define(eq=False)
class AttemptRace:
    """The attempts of a request that are under way at the same time.

    A silent server may go on at any moment, so its attempt is cancelled only when another server
    has sent what the caller waits for.

    :ivar attempts: the attempts under way; more than one while a server is silent
    :ivar backup_scope: cancelled when a backup that waits for a server is not needed any more;
        None while none waits
    :ivar is_answered: whether the answer was forwarded completely
    :ivar error: why the attempts failed; None if none did
    """

    attempts: list[watchdog.WatchedAttempt] = attrs.field(factory=list)
    backup_scope: trio.CancelScope | None = None
    is_answered: bool = False
    error: Exception | None = None

    def claim(self, attempt: watchdog.WatchedAttempt) -> None:
        """Use the answer of one attempt from here on, and cancel the others."""
        for other in self.attempts:
            if other is not attempt:
                other.scope.cancel()
        if self.backup_scope is not None:
            self.backup_scope.cancel()

    def has_others(self, attempt: watchdog.WatchedAttempt) -> bool:
        """Return whether another attempt may still get an answer."""
        return any(
            other is not attempt and not other.scope.cancel_called for other in self.attempts
        )

    def is_silent(self) -> bool:
        """Return whether the servers of all attempts are silent."""
        return all(attempt.is_silent for attempt in self.attempts)
