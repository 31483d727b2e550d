"""Servers of the soak that lose answers while entries restart in series, and the retries' check."""

import collections
import random

import attrs
import httpcore
import trio

from tests.platform.soak import callers
from tests.platform.soak import site as sites

LOST_FRACTION = 0.95
LOST_S = 12.0
RESTART_AFTER_S = 4.0
RESTART_GAP_S = 0.3
LOOKUPS_PER_S = 20.0
ATTEMPT_PREFIX = "retried-"


@attrs.define(eq=False)
class LossInjector:
    """Lets plain servers lose answers, and restarts one entry after the other meanwhile.

    :ivar injector: restarts the entries
    """

    site: sites.Site
    injector: object

    async def run(self, duration_s):
        """Begin within ``duration_s``; return when the losses are over and all entries run."""
        rng = random.Random(f"retries {self.site.seed}")
        await trio.sleep(rng.uniform(0.0, max(0.0, duration_s - LOST_S)))
        self.injector.log(f"plain servers lose answers for {LOST_S} s")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restart_in_series, rng)
            with trio.move_on_after(min(LOST_S, duration_s)):
                self.site.lost_fraction = LOST_FRACTION
                await self._send_lookups(rng)
            self.site.lost_fraction = 0.0

    async def _restart_in_series(self, rng):
        await trio.sleep(RESTART_AFTER_S)
        async with trio.open_nursery() as nursery:
            for entry in rng.sample(self.site.entries, len(self.site.entries)):
                await trio.sleep(RESTART_GAP_S * rng.uniform(0.5, 1.5))
                if entry not in self.injector.reserved_targets:
                    self.injector.reserved_targets.add(entry)
                    nursery.start_soon(self.injector.restart_killed, entry)

    async def _send_lookups(self, rng):
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(rng.expovariate(LOOKUPS_PER_S))
                attempt = f"{ATTEMPT_PREFIX}{number}"
                nursery.start_soon(self._send, rng.choice(self.site.entries), attempt)
                number += 1

    async def _send(self, entry, attempt):
        self.site.signal_record.entries[attempt] = entry, trio.current_time()
        url = f"http://{self.site.address(entry, 'front')}/lookup/{attempt}"
        with trio.move_on_after(callers.DEADLINE_S):
            try:
                async with httpcore.AsyncConnectionPool(retries=0) as pool:
                    await pool.request("GET", url, headers=callers.request_headers(attempt))
            except callers.CONNECTION_ERRORS:
                pass


def check(site):
    """Return descriptions of windows with more retries than the plain servers tolerate."""
    requests_s, retries_s = [], []
    received = collections.Counter()
    for time_s, server, attempt in sorted(site.signal_record.arrivals):
        if not server.startswith(sites.PLAIN_PREFIX) or attempt not in site.signal_record.entries:
            continue
        received[attempt] += 1
        if received[attempt] > 1:
            retries_s.append(time_s)
        else:
            requests_s.append(site.signal_record.entries[attempt][1])
    for end_s in retries_s:
        start_s = end_s - sites.RETRY_WINDOW_S
        retries = _count(retries_s, start_s, end_s)
        requests = max(
            _count(requests_s, start_s - early_s, end_s - early_s)
            for early_s in (0.0, sites.RETRY_WINDOW_S / 2, sites.RETRY_WINDOW_S)
        )
        allowed = sites.RETRY_RATIO * requests + site.retry_slack
        if retries > allowed:
            yield f"retries: {retries} from {start_s:.2f} s, {allowed} allowed"
            return


def _count(times_s, start_s, end_s):
    return sum(start_s <= time_s <= end_s for time_s in times_s)
