"""Pauses of sound servers, beside planned work on the entries."""

import random

import attrs
import trio

from tests.platform.soak import faults
from tests.platform.soak import site as sites

MIN_PAUSE_S, MAX_PAUSE_S = 1.0, 1.3
MAX_SERIES = 3
# With all side faults at once, few requests reach sound servers from sound entries.
SIDE_FAULT_PROBABILITY = 1 / 3


def choose_side_faults(site, side_faults):
    """Return the faults that are played in parallel to the others: all, or some beside pauses."""
    if not site.has_pauses:
        return side_faults
    rng = random.Random(f"side faults {site.seed}")
    return [fault for fault in side_faults if rng.random() < SIDE_FAULT_PROBABILITY]


@attrs.define(eq=False)
class PauseInjector:
    """Lets one, some or all servers of a service stand still, in series that may overlap.

    :ivar injector: carries out planned work, and logs the faults of the run
    """

    site: sites.Site
    injector: faults.FaultInjector

    async def run(self, duration_s):
        """Begin pauses for ``duration_s``; return when all are over."""
        rng = random.Random(f"pauses {self.site.seed}")
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(self._pause_in_series, rng)
                nursery.start_soon(self._work, rng, rng.uniform(0.0, 2.0))
                await trio.sleep(rng.uniform(1.0, 4.0))

    async def _pause_in_series(self, rng):
        is_plain = rng.random() < 0.2
        for _ in range(rng.randint(1, MAX_SERIES)):
            names = [
                name
                for name, server in self.site.fleet.servers.items()
                if name.startswith(sites.PLAIN_PREFIX) is is_plain and server.mode == "up"
            ]
            if not names:
                return
            count = rng.choice((1, rng.randint(1, len(names)), len(names)))
            duration_s = rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            paused = sorted(rng.sample(names, count))
            self.injector.log(f"{', '.join(paused)} pause for {duration_s:.2f} s")
            async with trio.open_nursery() as nursery:
                for name in paused:
                    nursery.start_soon(self.site.fleet.pause, name, duration_s)
            await trio.sleep(rng.uniform(0.1, 0.8))

    async def _work(self, rng, delay_s):
        """Change the configuration, or reload or stop an entry."""
        work = rng.choice((None, self.injector.reload, self.injector.stop))
        entry = rng.choice(self.site.entries)
        await trio.sleep(delay_s)
        if work is None:
            self.injector.change_configuration()
        elif entry not in self.injector.reserved_targets:
            self.injector.reserved_targets.add(entry)
            await work(entry)
