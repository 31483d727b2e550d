"""Times that a suspended VM cannot hide."""

from __future__ import annotations

import time

import attrs
import trio


@attrs.frozen
class Instant:
    """A moment.

    :ivar monotonic_s: by the clock of the run
    :ivar suspended_s: how long the VM had been suspended by then
    """

    monotonic_s: float
    suspended_s: float = 0.0

    def age_s(self) -> float:
        """Return the time since then, in seconds."""
        # The monotonic clock stands still while the VM is suspended: after an hour of it, what was
        # read before would look a second old. A VM that its host froze without telling it sees
        # that on no clock; its streams, which the peers have ended, still show it within seconds.
        current = now()
        return current.monotonic_s - self.monotonic_s + current.suspended_s - self.suspended_s


DISTANT_PAST = Instant(float("-inf"))


def now() -> Instant:
    """Return the present moment."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return Instant(trio.current_time(), boot_s - time.clock_gettime(time.CLOCK_MONOTONIC))
