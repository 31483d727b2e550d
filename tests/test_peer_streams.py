"""Streams between entries: authentication, duplicates, silence, slow readers."""

import random
import unittest

import attrs
import msgpack
import trio
import trio.testing

from standins import memory
from toucanhold import keyring
from toucanhold.peers import exchange, frames, handshake, messages, streams

KEY = keyring.from_text("a-key-of-sixteen")


def run(test, *args):
    trio.run(test, *args, clock=trio.testing.MockClock(autojump_threshold=0))


@attrs.define(eq=False)
class Host:
    name: str
    exchange: exchange.Exchange
    streams: streams.PeerStreams


def new_host(network, name, names, key=KEY, boot="1", machine="") -> Host:
    found = exchange.Exchange()
    running = streams.PeerStreams(
        handshake.Identity(name, f"{name}-{boot}"),
        f"address-{name}",
        key,
        network.transport(machine or name),
        found,
        lambda: {f"address-{each}" for each in names},
        lambda peer: messages.Heartbeat(),
        random.Random(name),
    )
    return Host(name, found, running)


async def start(nursery, network, names) -> dict[str, Host]:
    hosts = {name: new_host(network, name, names) for name in names}
    for host in hosts.values():
        await nursery.start(host.streams.run)
    return hosts


class MeshTest(unittest.TestCase):
    def test_every_pair_keeps_exactly_one_stream(self):
        run(self._mesh)

    async def _mesh(self):
        names = [f"entry-{number}" for number in range(7)]
        async with trio.open_nursery() as nursery:
            hosts = await start(nursery, memory.MemoryNetwork(), names)
            await trio.sleep(5)
            for host in hosts.values():
                self.assertEqual(frozenset(names) - {host.name}, host.exchange.connected())
            heard = []
            hosts["entry-3"].exchange.subscribe(
                messages.Heartbeat, lambda entry, message: heard.append(message.configuration)
            )
            hosts["entry-0"].exchange.broadcast(messages.Heartbeat(7))
            await trio.sleep(0.01)
            self.assertEqual(1, heard.count(7))
            nursery.cancel_scope.cancel()

    def test_pair_connects_when_only_the_larger_name_can_dial(self):
        # Entry b can open connections to a, but not a to b (a one-sided packet filter). If only
        # the smaller name dialled, the two would never hear of each other.
        run(self._one_way, ("a", "b"))
        run(self._one_way, ("b", "a"))

    async def _one_way(self, refused):
        network = memory.MemoryNetwork()
        network.block_connections(*refused)
        async with trio.open_nursery() as nursery:
            hosts = await start(nursery, network, ["a", "b"])
            await trio.sleep(5)
            self.assertEqual({"b"}, hosts["a"].exchange.connected())
            self.assertEqual({"a"}, hosts["b"].exchange.connected())
            nursery.cancel_scope.cancel()

    def test_silent_peer_is_lost_in_time_and_comes_back(self):
        # A partition swallows every byte without an error. Neither TCP nor a broken stream tells;
        # only the missing heartbeats do. After the partition both meet again.
        run(self._silence)

    async def _silence(self):
        network = memory.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            hosts = await start(nursery, network, ["a", "b"])
            await trio.sleep(5)
            network.partition("a", "b")
            await trio.sleep(streams.HEARTBEAT_TIMEOUT_S + 0.1)
            self.assertEqual(frozenset(), hosts["a"].exchange.connected())
            network.heal()
            await trio.sleep(6)
            self.assertEqual({"b"}, hosts["a"].exchange.connected())
            nursery.cancel_scope.cancel()

    def test_restarted_peer_takes_the_place_of_its_old_stream(self):
        # Entry b is replaced by a new process of the same name while a still believes in the old
        # stream. The new one counts at once; the old one's end must not take it away.
        run(self._restart)

    async def _restart(self):
        network = memory.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            first = new_host(network, "a", [])
            await nursery.start(first.streams.run)
            second = new_host(network, "b", ["a"], boot="1", machine="b1")
            second.streams.address = "address-b1"
            await nursery.start(second.streams.run)
            await trio.sleep(1)
            network.partition("a", "b1")
            third = new_host(network, "b", ["a"], boot="2", machine="b2")
            third.streams.address = "address-b2"
            await nursery.start(third.streams.run)
            await trio.sleep(0.2)
            self.assertEqual({"a"}, third.exchange.connected())
            self.assertEqual({"b"}, first.exchange.connected())
            await trio.sleep(streams.HEARTBEAT_TIMEOUT_S + 0.5)
            self.assertEqual({"b"}, first.exchange.connected())
            nursery.cancel_scope.cancel()

    def test_peer_that_does_not_read_is_cut_and_blocks_nobody(self):
        outbox = exchange.Outbox()
        found = exchange.Exchange()
        found.attach("slow", outbox)
        for _ in range(exchange.OUTBOX_LIMIT_MESSAGES + 10):
            found.broadcast(messages.Heartbeat())
        self.assertTrue(outbox.overflowed.is_set())
        self.assertFalse(found.send("slow", messages.Heartbeat()))

    def test_mistake_in_a_handler_ends_no_stream(self):
        # One component's mistake when a peer connects must not take the entry down, nor keep the
        # other components from hearing of the peer.
        found, heard = exchange.Exchange(), []
        found.subscribe_connected(lambda peer: [][0])
        found.subscribe_connected(heard.append)
        with self.assertLogs("toucanhold.peers.exchange", "ERROR"):
            found.attach("b", exchange.Outbox())
        self.assertEqual(["b"], heard)


class HandshakeTest(unittest.TestCase):
    def test_wrong_key_is_refused_by_both_sides(self):
        run(self._wrong_key)

    async def _wrong_key(self):
        network = memory.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            good = new_host(network, "a", ["b"])
            bad = new_host(network, "b", ["a"], key=keyring.from_text("another-key-here"))
            await nursery.start(good.streams.run)
            await nursery.start(bad.streams.run)
            with self.assertLogs("toucanhold.peers.streams", "WARNING"):
                await trio.sleep(5)
            self.assertEqual(frozenset(), good.exchange.connected())
            self.assertEqual(frozenset(), bad.exchange.connected())
            nursery.cancel_scope.cancel()

    def test_recorded_handshake_proves_nothing_later(self):
        # A stranger has recorded what entry b once sent to a and sends it again. The listener's
        # new challenge is not covered by the old proof.
        run(self._replay)

    async def _replay(self):
        recorded = []
        near, far = trio.testing.memory_stream_pair()
        original_send = near.send_all

        async def record(data):
            recorded.append(data)
            await original_send(data)

        near.send_all = record
        await self._listen_to(far, lambda: self._dial(near))
        near, far = trio.testing.memory_stream_pair()

        async def replay():
            for data in recorded:
                await near.send_all(data)

        with self.assertRaises(handshake.HandshakeError):
            await self._listen_to(far, replay)

    async def _dial(self, stream):
        framed = frames.FrameStream(stream, 1024)
        await handshake.as_dialler(framed, handshake.Identity("b", "1"), KEY)

    async def _listen_to(self, stream, other_side):
        framed = frames.FrameStream(stream, 1024)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(other_side)
                await handshake.as_listener(framed, handshake.Identity("a", "1"), KEY)
        except* handshake.HandshakeError as group:
            raise group.exceptions[0] from None

    def test_own_words_reflected_prove_nothing(self):
        # A stranger without the key dials and sends back whatever the listener says: its hello as
        # a hello, its proof as a proof. The roles in the proof keep that from working.
        run(self._reflect)

    async def _reflect(self):
        near, far = trio.testing.memory_stream_pair()

        async def reflect():
            mirror = frames.FrameStream(near, 1024)
            hello = messages.Hello(1, "a", "1", bytes(32))
            await mirror.send([messages.encode(hello)])
            theirs = await mirror.receive()
            await mirror.send([theirs])

        with self.assertRaises(handshake.HandshakeError):
            await self._listen_to(far, reflect)

    def test_huge_first_frame_is_refused_before_it_is_read(self):
        run(self._huge)

    async def _huge(self):
        near, far = trio.testing.memory_stream_pair()
        await near.send_all((2**31).to_bytes(4))
        with self.assertRaises(frames.FrameError):
            await handshake.as_listener(
                frames.FrameStream(far, 1024), handshake.Identity("a", "1"), KEY
            )

    def test_number_in_place_of_bytes_is_refused(self):
        # A stranger needs no key for the first frame. A number where bytes belong would be taken
        # as a length, and a frame of forty bytes would make the entry allocate as many as it says.
        hello = {"protocol": 1, "entry": "b", "boot": "1", "challenge": 100_000_000}
        with self.assertRaises(messages.MessageError):
            messages.decode(msgpack.packb(("Hello", hello)))

    def test_other_protocol_version_is_refused(self):
        run(self._version)

    async def _version(self):
        near, far = trio.testing.memory_stream_pair()
        hello = messages.Hello(99, "b", "1", bytes(32))
        await frames.FrameStream(near, 1024).send([messages.encode(hello)])
        with self.assertRaisesRegex(handshake.HandshakeError, "protocol 99"):
            await handshake.as_listener(
                frames.FrameStream(far, 1024), handshake.Identity("a", "1"), KEY
            )
