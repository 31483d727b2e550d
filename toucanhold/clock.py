"""Points in time whose age includes the time for which the VM was suspended."""

from __future__ import annotations

import time

import attrs
import trio


@attrs.frozen
class Instant:
    """A point in time.

    :ivar monotonic_s: trio's clock, in seconds
    :ivar suspended_s: total time for which the VM had been suspended since its boot, in seconds
    """

    monotonic_s: float
    suspended_s: float = 0.0

    def age_s(self) -> float:
        """Return the time that has passed since then, in seconds."""
        # The monotonic clock stops while the VM is suspended: after an hour of suspension, older
        # data would seem a second old. If the host freezes the VM without notifying the guest, no
        # clock shows it; the entry then notices within seconds that its peers closed its streams.
        current = now()
        return current.monotonic_s - self.monotonic_s + current.suspended_s - self.suspended_s


DISTANT_PAST = Instant(float("-inf"))


def now() -> Instant:
    """Return the current point in time."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return Instant(trio.current_time(), boot_s - time.clock_gettime(time.CLOCK_MONOTONIC))


def elapsed_s() -> float:
    """Return the time since some fixed point, with that for which the VM was suspended."""
    current = now()
    return current.monotonic_s + current.suspended_s
