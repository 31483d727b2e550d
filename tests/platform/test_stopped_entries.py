"""Tests of planned stops of entries as processes, with requests that last as long as the stop."""

import math
import random
import unittest

import httpcore
import trio

from tests.platform import stopped_entries

GRACE_S = 8.0
TIMEOUTS_S = {
    "lookup": 0.8,
    "stream": 8.0,
    "stream-resumable": 6.0,
    "slow": 8.0,
    "slow-order": 1.5,
}
# Kind, duration and time for which the body arrives, in seconds.
REQUESTS = (
    ("lookup", 0.05, 0.0),
    ("stream", 7.0, 0.0),
    ("stream", 5.5, 1.0),
    ("stream-resumable", 5.5, 0.0),
    ("stream-resumable", 2.0, 2.5),
    ("slow", 6.5, 0.0),
    ("slow", 5.5, 2.0),
    ("slow", 1.0, 6.0),
    ("slow-order", 0.8, 0.0),
    ("slow-order", 0.3, 0.7),
)
BEFORE_STOP_S = 1.0
NEW_CALLER_INTERVAL_S = 0.04
KEPT_CONNECTIONS = 8


class StoppedEntryTest(unittest.TestCase):
    maxDiff = None

    def test_a_stop_cuts_no_request_that_was_passed_on(self):
        """Guards against requests that a stopping entry passes on and has no time to answer."""
        trio.run(self._stop_one)

    async def _stop_one(self):
        async with stopped_entries.running("61.1", ["e1"], GRACE_S, TIMEOUTS_S) as site:
            await self._stop(site, "e1", BEFORE_STOP_S)

    def test_stops_in_series_cut_nothing_beside_other_planned_work(self):
        """Guards against a stop that a silent store, a reload or a configuration prolongs."""
        trio.run(self._stop_in_series)

    async def _stop_in_series(self):
        names = ["e1", "e2", "e3"]
        async with stopped_entries.running("61.2", names, GRACE_S, TIMEOUTS_S) as site:
            async with trio.open_nursery() as nursery:
                for number, name in enumerate(names):
                    nursery.start_soon(self._stop, site, name, BEFORE_STOP_S + 1.5 * number)
                await trio.sleep(BEFORE_STOP_S + 0.5)
                site.put_configuration(version=2, timeout_factor=2.0)
                site.store.delay_s = 0.4
                # The first entry is stopping: its time stays what it was at its signal.
                site.write_settings("e1", 10 * GRACE_S)
                for name in names:
                    site.group.reload(name)
                await trio.sleep(1.0)
                site.store.delay_s = math.inf

    async def _stop(self, site, name, delay_s):
        async with trio.open_nursery() as nursery:
            scope = await nursery.start(send_until_cancelled, site, name)
            await trio.sleep(delay_s)
            began_s, ended_s = await site.stop(name)
            scope.cancel()
        self.assertEqual([], site.violations(name, began_s))
        self.assertEqual(0, site.exit_statuses[name])
        self.assertLessEqual(ended_s - began_s, GRACE_S)
        own = [request for request in site.requests if request.entry == name]
        self.assertGreater(sum(each.status == 200 and each.is_whole for each in own), 30)


async def send_until_cancelled(site, name, *, task_status):
    """Send requests on new and kept connections until cancelled; then wait for their answers."""
    rng = random.Random(7)
    async with trio.open_nursery() as nursery:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as sending:
                for _ in range(KEPT_CONNECTIONS):
                    sending.start_soon(_send_on_kept_connection, site, name, rng, scope, nursery)
                task_status.started(scope)
                while True:
                    nursery.start_soon(_send_one, site, name, rng)
                    await trio.sleep(NEW_CALLER_INTERVAL_S)


async def _send_one(site, name, rng):
    kind, duration_s, body_s = rng.choice(REQUESTS)
    await site.send(name, kind, duration_s, body_s=body_s)


async def _send_on_kept_connection(site, name, rng, scope, nursery):
    async def run():
        async with httpcore.AsyncConnectionPool(max_connections=1, retries=0) as pool:
            while not scope.cancel_called:
                kind, duration_s, body_s = rng.choice(REQUESTS)
                await site.send(name, kind, duration_s, pool, body_s)
                await trio.sleep(0.02)

    nursery.start_soon(run)
    await trio.sleep_forever()
