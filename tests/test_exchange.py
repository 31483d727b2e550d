"""What entries tell each other by datagram."""

import random
import unittest
import unittest.mock

import attrs
import msgpack
import trio

from tests.platform import standins
from toucanhold.gateway import crashes, entries, exchange, health, load, silence

SLOW_INTERVAL_S = 5.0


@attrs.define(eq=False)
class FixedList:
    """Entries that are always there."""

    own: entries.Entry
    known: list = attrs.field(factory=list)

    def others(self):
        return list(self.known)


@attrs.define(eq=False, slots=False)
class Side:
    """One entry's half of the exchange."""

    name: str

    def __attrs_post_init__(self):
        address = standins.free_address()
        self.listed = FixedList(entries.Entry(self.name, "zone-a", "r", address, address, "b1"))
        self.loads = load.LoadBoard()
        self.health = health.Health()
        self.crashes = crashes.CrashMemory()
        self.silent = []
        self.watch = silence.SilenceWatch(self.health, self.silent.append)
        self.exchange = exchange.Exchange(
            self.listed, self.loads, self.crashes, self._hear_silent, random.Random(1)
        )

    def _hear_silent(self, server_id, entry):
        if self.watch.hear(server_id, entry):
            self.silent.append(server_id)


class ExchangeTest(unittest.TestCase):
    def test_entries_hear_what_the_others_have_in_flight_and_avoid(self):
        trio.run(self._exchange)

    async def _exchange(self):
        one, two = Side("e1"), Side("e2")
        one.listed.known.append(two.listed.own)
        two.listed.known.append(one.listed.own)
        one.loads.add("s1")
        one.exchange.note_silent("s9")
        for _ in range(crashes.CRASHES_LIMIT):
            one.crashes.note("mark")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.exchange.run)
            nursery.start_soon(two.exchange.run)
            with trio.fail_after(5):
                while not two.loads.estimate("s1"):
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        self.assertTrue(two.health.is_avoided("s9"))
        self.assertIn("s9", two.silent)
        self.assertTrue(two.crashes.is_dangerous("mark"))

    def test_bytes_of_others_harm_nobody(self):
        trio.run(self._send_rubbish)

    async def _send_rubbish(self):
        side = Side("e1")
        host, port = side.listed.own.exchange_address.split(":")
        good = ["e2", "b", {"s1": 2}, [], []]
        names = ("entry", "boot", "in_flight", "silent", "crashes")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(side.exchange.run)
            await trio.sleep(0.05)
            with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as socket:
                for data in (b"", b"\xc1", msgpack.packb([1]), msgpack.packb({"entry": 4})):
                    await socket.sendto(data, (host, int(port)))
                await socket.sendto(
                    msgpack.packb(dict(zip(names, good, strict=True))), (host, int(port))
                )
            with trio.fail_after(5):
                while side.loads.estimate("s1") != 2:
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()

    def test_a_silent_server_is_told_to_all_others_at_once(self):
        """A head dies that sixty entries send to; most have no stream there that has begun.

        The first to notice tells all others before its next round.
        """
        with unittest.mock.patch.object(exchange, "SEND_INTERVAL_S", SLOW_INTERVAL_S):
            trio.run(self._tell_everyone)

    async def _tell_everyone(self):
        sides = [Side(f"e{n}") for n in range(20)]
        for side in sides:
            side.listed.known += [each.listed.own for each in sides if each is not side]
        async with trio.open_nursery() as nursery:
            for side in sides:
                nursery.start_soon(side.exchange.run)
            await trio.sleep(0.15)
            sides[0].exchange.note_silent("s9")
            # In turn it would take three rounds.
            with trio.fail_after(2 * SLOW_INTERVAL_S):
                while not all(side.silent for side in sides[1:]):
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    def test_sixty_entries_cost_as_much_as_seven(self):
        side = Side("e00")
        for number in range(1, 60):
            other = attrs.evolve(side.listed.own, entry=f"e{number:02}")
            side.listed.known.append(other)
        heard = [entry.entry for _ in range(9) for entry in side.exchange._next_receivers()]
        self.assertEqual(63, len(heard))
        self.assertEqual(59, len(set(heard)))
