"""Tests of planned stops of entries as processes, with requests that last as long as the stop."""

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
        trio.run(self._stop_one, "61.1", lambda site: None)

    async def _stop_one(self, subnet, disturb):
        async with stopped_entries.running(subnet, ["e1"], GRACE_S, TIMEOUTS_S) as site:
            async with trio.open_nursery() as nursery:
                scope = await nursery.start(send_until_cancelled, site, "e1")
                await trio.sleep(BEFORE_STOP_S)
                disturb(site)
                began_s, ended_s = await site.stop("e1")
                scope.cancel()
            self._check(site, began_s, ended_s)

    def _check(self, site, began_s, ended_s):
        self.assertEqual([], site.violations(began_s))
        self.assertEqual({"e1": 0}, site.exit_statuses)
        self.assertLessEqual(ended_s - began_s, site.grace_s)
        answered = [each for each in site.requests if each.status == 200 and each.is_whole]
        self.assertGreater(len(answered), 30)


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
