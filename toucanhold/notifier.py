"""Notification of waiting tasks."""

from __future__ import annotations

import attrs
import trio


@attrs.define(eq=False)
class Notifier:
    """Wakes all waiting tasks at each notification; a notification is not kept for later waits."""

    _event: trio.Event = attrs.field(factory=trio.Event, init=False)

    def notify_all(self) -> None:
        """Wake all tasks that are in :meth:`wait`."""
        event, self._event = self._event, trio.Event()
        event.set()

    async def wait(self, timeout_s: float) -> None:
        """Return at the next notification, or after ``timeout_s`` seconds."""
        # The process may have been suspended since the timeout was computed.
        with trio.move_on_after(max(0.0, timeout_s)):
            await self._event.wait()
