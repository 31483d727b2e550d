"""Streams between entries: authentication, duplicates, partitions and slow readers."""

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
    peer_exchange = exchange.Exchange()
    peer_streams = streams.PeerStreams(
        handshake.Identity(name, f"{name}-{boot}"),
        f"address-{name}",
        key,
        network.transport(machine or name),
        peer_exchange,
        lambda: {f"address-{each}" for each in names},
        lambda peer: messages.Heartbeat(),
        random.Random(name),
    )
    return Host(name, peer_exchange, peer_streams)


async def start(nursery, network, names) -> dict[str, Host]:
    hosts = {name: new_host(network, name, names) for name in names}
    for host in hosts.values():
        await nursery.start(host.streams.run)
    return hosts


class MeshTest(unittest.TestCase):
    def test_every_pair_keeps_exactly_one_stream(self):
        run(self._connect_all)

    async def _connect_all(self):
        names = [f"entry-{number}" for number in range(7)]
        async with trio.open_nursery() as nursery:
            hosts = await start(nursery, memory.MemoryNetwork(), names)
            await trio.sleep(5)
            for host in hosts.values():
                self.assertEqual(frozenset(names) - {host.name}, host.exchange.connected())
            received = []
            hosts["entry-3"].exchange.subscribe(
                messages.Heartbeat, lambda entry, message: received.append(message.configuration)
            )
            hosts["entry-0"].exchange.broadcast(messages.Heartbeat(7))
            await trio.sleep(0.01)
            self.assertEqual(1, received.count(7))
            nursery.cancel_scope.cancel()

    def test_pair_connects_when_only_the_larger_name_can_dial(self):
        # Entry b can connect to a, but not a to b, for example because of a packet filter. If only
        # the entry with the smaller name dialled, the two would never connect.
        run(self._connect_one_way, ("a", "b"))
        run(self._connect_one_way, ("b", "a"))

    async def _connect_one_way(self, refused):
        network = memory.MemoryNetwork()
        network.block_connections(*refused)
        async with trio.open_nursery() as nursery:
            hosts = await start(nursery, network, ["a", "b"])
            await trio.sleep(5)
            self.assertEqual({"b"}, hosts["a"].exchange.connected())
            self.assertEqual({"a"}, hosts["b"].exchange.connected())
            nursery.cancel_scope.cancel()

    def test_silent_peer_is_detected_and_reconnects(self):
        # A partition drops all bytes without an error, so it is detected only by the missing
        # heartbeats. The entries must reconnect after the partition.
        run(self._partition)

    async def _partition(self):
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

    def test_stream_of_a_restarted_peer_replaces_the_old_one(self):
        # Entry b is replaced by a new process of the same name while a still keeps the stream to
        # the old one. The new stream must replace it at once, and the end of the old stream must
        # not disconnect the new one.
        run(self._restart)

    async def _restart(self):
        network = memory.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            host_a = new_host(network, "a", [])
            await nursery.start(host_a.streams.run)
            old_b = new_host(network, "b", ["a"], boot="1", machine="b1")
            old_b.streams.address = "address-b1"
            await nursery.start(old_b.streams.run)
            await trio.sleep(1)
            network.partition("a", "b1")
            new_b = new_host(network, "b", ["a"], boot="2", machine="b2")
            new_b.streams.address = "address-b2"
            await nursery.start(new_b.streams.run)
            await trio.sleep(0.2)
            self.assertEqual({"a"}, new_b.exchange.connected())
            self.assertEqual({"b"}, host_a.exchange.connected())
            await trio.sleep(streams.HEARTBEAT_TIMEOUT_S + 0.5)
            self.assertEqual({"b"}, host_a.exchange.connected())
            nursery.cancel_scope.cancel()

    def test_peer_that_does_not_read_is_disconnected_and_blocks_no_one(self):
        outbox = exchange.Outbox()
        peer_exchange = exchange.Exchange()
        peer_exchange.attach("slow", outbox)
        for _ in range(exchange.OUTBOX_LIMIT_MESSAGES + 10):
            peer_exchange.broadcast(messages.Heartbeat())
        self.assertTrue(outbox.overflowed.is_set())
        self.assertFalse(peer_exchange.send("slow", messages.Heartbeat()))

    def test_error_in_a_connected_handler_is_contained(self):
        # An error in one component's handler when a peer connects must not end the entry and must
        # not keep other components from being notified.
        peer_exchange, received = exchange.Exchange(), []
        peer_exchange.subscribe_connected(lambda peer: [][0])
        peer_exchange.subscribe_connected(received.append)
        with self.assertLogs("toucanhold.peers.exchange", "ERROR"):
            peer_exchange.attach("b", exchange.Outbox())
        self.assertEqual(["b"], received)


class HandshakeTest(unittest.TestCase):
    def test_wrong_key_is_refused_by_both_sides(self):
        run(self._use_wrong_key)

    async def _use_wrong_key(self):
        network = memory.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            host_a = new_host(network, "a", ["b"])
            host_b = new_host(network, "b", ["a"], key=keyring.from_text("another-key-here"))
            await nursery.start(host_a.streams.run)
            await nursery.start(host_b.streams.run)
            with self.assertLogs("toucanhold.peers.streams", "WARNING"):
                await trio.sleep(5)
            self.assertEqual(frozenset(), host_a.exchange.connected())
            self.assertEqual(frozenset(), host_b.exchange.connected())
            nursery.cancel_scope.cancel()

    def test_replayed_handshake_is_refused(self):
        # An attacker replays the recorded bytes that entry b sent to a. The old proof does not
        # cover the listener's new challenge, so it must be refused.
        run(self._replay)

    async def _replay(self):
        recorded = []
        dialler_end, listener_end = trio.testing.memory_stream_pair()
        original_send = dialler_end.send_all

        async def record(data):
            recorded.append(data)
            await original_send(data)

        dialler_end.send_all = record
        await self._listen_to(listener_end, lambda: self._dial(dialler_end))
        dialler_end, listener_end = trio.testing.memory_stream_pair()

        async def replay():
            for data in recorded:
                await dialler_end.send_all(data)

        with self.assertRaises(handshake.HandshakeError):
            await self._listen_to(listener_end, replay)

    async def _dial(self, stream):
        frame_stream = frames.FrameStream(stream, 1024)
        await handshake.run_as_dialler(frame_stream, handshake.Identity("b", "1"), KEY)

    async def _listen_to(self, stream, other_side):
        frame_stream = frames.FrameStream(stream, 1024)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(other_side)
                await handshake.run_as_listener(frame_stream, handshake.Identity("a", "1"), KEY)
        except* handshake.HandshakeError as group:
            raise group.exceptions[0] from None

    def test_reflected_handshake_is_refused(self):
        # An attacker without the key dials, claims the listener's own name and sends the listener's
        # hello back in place of a proof. Proofs cover the role so that they cannot be reflected.
        run(self._reflect)

    async def _reflect(self):
        dialler_end, listener_end = trio.testing.memory_stream_pair()

        async def reflect():
            reflecting_stream = frames.FrameStream(dialler_end, 1024)
            hello = messages.Hello(1, "a", "1", bytes(32))
            await reflecting_stream.send([messages.encode(hello)])
            listener_hello = await reflecting_stream.receive()
            await reflecting_stream.send([listener_hello])

        with self.assertRaises(handshake.HandshakeError):
            await self._listen_to(listener_end, reflect)

    def test_huge_first_frame_is_refused_before_it_is_read(self):
        run(self._send_huge_frame)

    async def _send_huge_frame(self):
        dialler_end, listener_end = trio.testing.memory_stream_pair()
        await dialler_end.send_all((2**31).to_bytes(4))
        with self.assertRaises(frames.FrameError):
            await handshake.run_as_listener(
                frames.FrameStream(listener_end, 1024), handshake.Identity("a", "1"), KEY
            )

    def test_number_instead_of_bytes_is_refused(self):
        # The first frame needs no key. If a number in place of bytes were taken as a length, a
        # frame of forty bytes would make the entry allocate that many bytes.
        hello = {"protocol": 1, "entry": "b", "boot": "1", "challenge": 100_000_000}
        with self.assertRaises(messages.MessageError):
            messages.decode(msgpack.packb(("Hello", hello)))

    def test_other_protocol_version_is_refused(self):
        run(self._send_other_version)

    async def _send_other_version(self):
        dialler_end, listener_end = trio.testing.memory_stream_pair()
        hello = messages.Hello(99, "b", "1", bytes(32))
        await frames.FrameStream(dialler_end, 1024).send([messages.encode(hello)])
        with self.assertRaisesRegex(handshake.HandshakeError, "protocol 99"):
            await handshake.run_as_listener(
                frames.FrameStream(listener_end, 1024), handshake.Identity("a", "1"), KEY
            )
