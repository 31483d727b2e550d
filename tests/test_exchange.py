"""Load and findings between entries: sites of hundreds, in several availability zones."""

import collections
import random
import unittest

import attrs
import msgpack
import trio

from standins import gateways
from tests import clocked
from tests.platform import standins
from toucanhold.gateway import crashes, entries, exchange, health, load, notices, silence

LIMIT_S = 5


@attrs.define(eq=False, slots=False)
class Side:
    """One entry's half of the exchange."""

    name: str
    zone: str = "a"
    cores: float = 1.0

    def __attrs_post_init__(self):
        address = standins.free_address()
        own = entries.Entry(self.name, self.zone, "r", address, address, "b1", self.cores)
        self.listed = gateways.FixedEntryList(own)
        self.loads = load.LoadBoard()
        self.health = health.Health()
        self.crashes = crashes.CrashMemory()
        self.silent = []
        self.watch = silence.SilenceWatch(self.health, self.silent.append)
        self.exchange = exchange.Exchange(
            self.listed, self.loads, self.crashes, self._on_silent, random.Random(1)
        )
        self.scope = trio.CancelScope()

    def _on_silent(self, server_id, entry):
        if self.watch.confirm(server_id, entry):
            self.silent.append(server_id)

    async def run(self):
        with self.scope:
            await self.exchange.run()


def new_site(zones, entries_a_zone):
    """Return sides that know each other; the first two of each zone are the largest."""
    sides = [
        Side(f"{zone}{n}", zone, 3.0 - n if n < 2 else 0.5)
        for zone in zones
        for n in range(entries_a_zone)
    ]
    for side in sides:
        side.listed.other_entries += [each.listed.own for each in sides if each is not side]
    return sides


async def until(condition):
    with trio.fail_after(LIMIT_S):
        while not condition():
            await trio.sleep(0.01)


class ExchangeTest(unittest.TestCase):
    def test_two_entries_share_load_findings_and_lost_connections(self):
        trio.run(self._exchange)

    async def _exchange(self):
        one, two = new_site("a", 2)
        one.loads.add("s1")
        two.exchange.note_silent("s9")
        for _ in range(crashes.CRASHES_LIMIT):
            one.crashes.note("mark")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.run)
            nursery.start_soon(two.run)
            await until(lambda: two.loads.estimate("s1"))
            await until(lambda: one.silent)
            nursery.cancel_scope.cancel()
        self.assertTrue(one.health.is_avoided("s9"))
        self.assertTrue(two.crashes.is_dangerous("mark"))

    def test_every_entry_learns_the_total_of_all_zones(self):
        """Guards against heads that entries of several zones fill at once."""
        trio.run(self._total)

    async def _total(self):
        sides = new_site("abc", 5)
        async with trio.open_nursery() as nursery:
            for side in sides:
                side.loads.add("s1")
                nursery.start_soon(side.run)
            await until(lambda: all(side.loads.estimate("s1") == 15 for side in sides))
            for side in sides[1:]:
                side.loads.remove("s1")
            await until(lambda: all(side.loads.estimate("s1") == 1 for side in sides))
            nursery.cancel_scope.cancel()

    def test_the_second_aggregator_takes_over_from_a_dead_one(self):
        """Guards against a zone whose entries know nothing of each other once its hub is dead."""
        trio.run(self._take_over)

    async def _take_over(self):
        sides = new_site("ab", 5)
        async with trio.open_nursery() as nursery:
            for side in sides:
                nursery.start_soon(side.run)
            sides[3].loads.add("s1")
            await until(lambda: all(side.loads.estimate("s1") for side in sides))
            sides[0].scope.cancel()
            left = sides[1:]
            sides[3].loads.add("s1")
            await until(lambda: all(side.loads.estimate("s1") == 2 for side in left))
            self.assertTrue(sides[1].exchange.is_root)
            nursery.cancel_scope.cancel()

    def test_a_silent_server_is_told_to_all_zones_at_once(self):
        """Guards against callers that wait at a dead head which another entry has found."""
        trio.run(self._tell_everyone)

    async def _tell_everyone(self):
        sides = new_site("abc", 6)
        async with trio.open_nursery() as nursery:
            for side in sides:
                nursery.start_soon(side.run)
            await until(lambda: all(not each.exchange.is_root for each in sides[1:6]))
            await trio.sleep(0.5)
            sides[4].exchange.note_silent("s9")
            await until(lambda: all(side.silent for side in sides if side is not sides[4]))
            await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
        # Once each, however often it is repeated on the way.
        self.assertEqual({1}, {len(side.silent) for side in sides if side is not sides[4]})

    def test_bytes_of_others_harm_nobody(self):
        """Guards against entries that end, or count wrong, after a datagram of someone else."""
        trio.run(self._send_rubbish)

    async def _send_rubbish(self):
        one, two = new_site("a", 2)
        host, port = one.listed.own.exchange_address.split(":")
        good = {
            "kind": "report",
            "entry": two.name,
            "boot": "b1",
            "in_flight": {"s1": 2},
            "silent": {},
            "crashes": [],
        }
        bad = [
            b"",
            b"\xc1",
            b"x" * 60_000,
            *map(
                msgpack.packb,
                (
                    [1],
                    {"entry": 4},
                    good | {"in_flight": {"s1": -5}},
                    good | {"entry": "unknown", "in_flight": {"s1": 7}},
                    good | {"boot": "replaced", "in_flight": {"s1": 7}},
                    good | {"kind": "later"},
                ),
            ),
        ]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.run)
            await trio.sleep(0.05)
            with (
                trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as socket,
                self.assertLogs(exchange.LOGGER, "WARNING") as logs,
            ):
                for data in [*bad, *bad, msgpack.packb(good)]:
                    await socket.sendto(data, (host, int(port)))
                await until(lambda: one.loads.estimate("s1"))
                self.assertEqual(2, one.loads.estimate("s1"))
            nursery.cancel_scope.cancel()
        # One line each for what could not be read, an unknown entry and a replaced one.
        self.assertEqual(3, len(logs.output))

    @clocked.on_test_clock
    async def test_datagrams_of_an_entry_do_not_grow_with_the_site(self):
        """Guards against entries whose notices fill their links at hundreds of entries."""
        chosen = collections.Counter()
        for zones, size in (("abc", 3), ("abcde", 39)):
            known = [
                entries.Entry(f"{zone}{n}", zone, "r", "", f"{zone}{n}", "b")
                for zone in zones
                for n in range(size)
            ]
            side = Side("own", "a", 0.1)
            side.listed.other_entries = known
            chosen[size] = len(side.exchange.upstream())
        self.assertEqual({3: 2, 39: 2}, chosen)

    @clocked.on_test_clock
    async def test_an_entry_whose_aggregators_are_silent_speaks_for_itself_alone(self):
        """Guards against zones whose totals each entry replaces with its own counts."""
        sides = new_site("a", 4)
        self.assertEqual([True, True, False, False], [side.exchange.is_root for side in sides])

    def test_a_notice_of_very_many_servers_fits_a_datagram(self):
        counts = {f"i-{n:016x}": n % 7 for n in range(5000)}
        notice = notices.Notice(notices.Kind.DIGEST, "e1", "b1", counts, {}, [])
        data = notices.encode(notice)
        self.assertLess(len(data), notices.DATAGRAM_LIMIT_BYTES)
        self.assertEqual({6}, set(notices.decode(data).in_flight.values()) & {6})
