"""Waking tasks that wait for news."""

from __future__ import annotations

import attrs
import trio


@attrs.define(eq=False)
class Signal:
    """Wakes all that wait, each time there is news."""

    _event: trio.Event = attrs.field(factory=trio.Event, init=False)

    def wake(self) -> None:
        """Wake all waiting tasks."""
        event, self._event = self._event, trio.Event()
        event.set()

    async def wait(self, limit_s: float) -> None:
        """Return at the next news, or after ``limit_s`` seconds."""
        with trio.move_on_after(limit_s):
            await self._event.wait()
