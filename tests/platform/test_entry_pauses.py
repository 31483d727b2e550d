"""Tests of callers' answers while backend servers pause and entries change."""

import collections
import random
import unittest

import attrs
import trio
import trio.testing

from tests.platform import entry_links, entry_pauses
from toucanhold.platform import entry

NAMES = ("entry-a1", "entry-b1", "entry-a2", "entry-b2")
SERVICES = ("desk", "shop")
SERVERS = 16
SLOTS = 10
EVENTS = 12
EVENT_INTERVAL_S = 0.1
# Entries keep each other listed for so long after they have first reached the store.
SETTLE_S = 1.5
END_S = 3.2
CHANGES_END_S = 4.0
# Streams, idempotent and other requests that are sent at each tick.
TICK_S = 0.1
KINDS = ("stream",) * 8 + ("lookup", "order")
# Pauses of servers as (start, duration).
PAUSES = ((0.55, 1.2), (2.25, 1.3))
FEW_RETRIES = (0.02, 12)
AMPLE_RETRIES = (0.2, 1000)
CONFIGURATION_INTERVAL_S = 0.35
RELOAD_INTERVAL_S = 0.15
# Entries are stopped at these times.
STOPS = ((0.2, NAMES[0]), (0.9, NAMES[1]))
TIMEOUT_S = 60
# The test clock advances once nothing has happened for this long.
AUTOJUMP_S = 0.001


@attrs.define
class Figures:
    """What callers got.

    :ivar lost: answers that are not whole, of requests that a server has run
    :ivar refused: number of requests that no server has run
    :ivar repeats: number of runs beyond the first of each request, by service
    :ivar runs: number of requests that have run, by service
    """

    sent: int = 0
    lost: list = attrs.field(factory=list)
    refused: int = 0
    repeats: collections.Counter = attrs.field(factory=collections.Counter)
    runs: collections.Counter = attrs.field(factory=collections.Counter)
    longest_gap_s: float = 0.0


class EntryPauseTest(unittest.TestCase):
    def test_answers_are_whole_while_all_servers_pause_and_few_retries_are_left(self):
        """Guards against answers ended for a retry that is then denied."""
        self._check("94.0", 1.0, FEW_RETRIES)

    def test_answers_are_whole_while_all_servers_pause_and_retries_are_ample(self):
        """Guards against answers ended for a server that pauses as well."""
        self._check("94.1", 1.0, AMPLE_RETRIES)

    def test_answers_are_whole_while_most_servers_pause_and_few_retries_are_left(self):
        """Guards against answers that were promised the same retry and end without it."""
        self._check("94.2", 0.6, FEW_RETRIES)

    def test_answers_are_whole_while_most_servers_pause_and_retries_are_ample(self):
        """Guards against answers that end while they are moved to other servers."""
        self._check("94.3", 0.6, AMPLE_RETRIES)

    def _check(self, subnet, fraction, retries):
        clock = trio.testing.MockClock(autojump_threshold=AUTOJUMP_S)
        figures = trio.run(self._play, subnet, fraction, retries, clock=clock)
        self.assertEqual([], figures.lost, figures)
        ratio, slack = retries
        for service, count in figures.repeats.items():
            self.assertLessEqual(count, ratio * figures.runs[service] + slack, service)

    async def _play(self, subnet, fraction, retries):
        fields = {
            "bounds": "retry_ratio = {}\nretry_slack = {}".format(*retries),
            "services": SERVICES,
            "slots": SLOTS,
            "event_count": EVENTS,
            "event_interval_s": EVENT_INTERVAL_S,
            "new_server_app": entry_pauses.PausingServerApp,
        }
        with trio.fail_after(TIMEOUT_S):
            async with entry_links.running(subnet, NAMES, SERVERS, **fields) as site:
                site.put_configuration(self._configuration(2))
                await trio.sleep(SETTLE_S)
                callers = entry_pauses.Callers(site, random.Random(1))
                async with trio.open_nursery() as nursery, trio.open_nursery() as changes:
                    changes.start_soon(self._change_configuration, site)
                    changes.start_soon(self._reload, site)
                    nursery.start_soon(self._pause_servers, site, fraction)
                    for start_s, name in STOPS:
                        nursery.start_soon(self._restart, site, callers, start_s, name)
                    for _ in range(round(END_S / TICK_S)):
                        for kind in KINDS:
                            nursery.start_soon(callers.send, kind)
                        await trio.sleep(TICK_S)
                    await trio.sleep(CHANGES_END_S - END_S)
                    changes.cancel_scope.cancel()
                await callers.close()
                return self._figures(site, callers)

    async def _pause_servers(self, site, fraction):
        rng = random.Random(2)
        started_s = trio.current_time()
        for start_s, duration_s in PAUSES:
            await trio.sleep_until(started_s + start_s)
            for name in rng.sample(sorted(site.backends), round(fraction * SERVERS)):
                site.backends[name].paused_until_s = started_s + start_s + duration_s

    async def _restart(self, site, callers, start_s, name):
        await trio.sleep(start_s)

        async def stop():
            await site.stop_entry(name)
            site.start_entry(name)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            # Callers keep addresses from the directory for so long.
            await trio.sleep(entry.CALLER_DRAIN_S / 2)
            callers.leaving.add(name)

    async def _change_configuration(self, site):
        version = 2
        while True:
            await trio.sleep(CONFIGURATION_INTERVAL_S)
            version += 3
            site.put_configuration(self._configuration(version))

    def _configuration(self, version):
        return entry_links.configuration(
            version,
            SERVICES,
            weights=(1, 1 + version % 2),
            timeout_ms=entry_pauses.DEADLINE_MS + 100 * (version % 4),
            prefixes=(f"/extra-{version}/",),
        )

    async def _reload(self, site):
        while True:
            for name in NAMES:
                await trio.sleep(RELOAD_INTERVAL_S)
                site.entries[name]._reload()

    def _figures(self, site, callers):
        figures = Figures(len(callers.answers))
        runs = collections.Counter()
        for name, app in site.backends.items():
            for _, headers, _ in app.requests:
                service, attempt = site.server_services[name], headers["x-attempt-id"]
                figures.repeats[service] += attempt in runs
                figures.runs[service] += attempt not in runs
                runs[attempt] += 1
        whole_bodies = {"stream": entry_links.stream_body(EVENTS)}
        for answer in callers.answers:
            if answer.kind == "order":
                self.assertLessEqual(runs[answer.attempt], 1, answer)
            figures.longest_gap_s = max(figures.longest_gap_s, answer.longest_gap_s)
            if not runs[answer.attempt]:
                figures.refused += 1
                self.assertEqual((503, True), (answer.status, answer.is_whole), answer)
                continue
            body = whole_bodies.get(answer.kind, b"answer")
            if (answer.status, answer.is_whole, answer.body) != (200, True, body):
                figures.lost.append(
                    (answer.attempt, answer.entry, answer.status, answer.body[-20:], answer.error)
                )
        return figures
