"""Tests of connections to backend servers through another entry."""

import contextlib
import random
import socket
import struct
import types
import unittest
import unittest.mock

import attrs
import httpcore
import trio

from standins import gateways
from tests import clocked
from tests.platform import standins
from toucanhold.backends import pacing
from toucanhold.gateway import entries
from toucanhold.peers import frames, transport
from toucanhold.tunnels import dialing, messages, relays, serving, streams

TIMEOUT_S = 10.0
BUSY_S = 0.5
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REQUEST = b"x" * (3 * streams.CHUNK_BYTES)
ANSWER = b"y" * (2 * streams.CHUNK_BYTES + 1)


@attrs.define(eq=False)
class CutDialer(dialing.DirectDialer):
    """Dialer of an entry that has lost its links to the servers."""

    async def connect(self, server, timeout_s):
        await trio.sleep(timeout_s)
        self.own_links.record_failed(server.server_id)
        raise dialing.DialError("cut", True)


@attrs.define(eq=False)
class FailingDialer(dialing.DirectDialer):
    """Dialer of an entry that reaches other servers, but not this one."""

    async def connect(self, server, timeout_s):
        await trio.sleep(timeout_s)
        self.own_links.record_sign("another server")
        raise dialing.DialError("dead", True)


@attrs.define(eq=False)
class BusyDialer(dialing.DirectDialer):
    """Dialer of an entry that is busy for some time before it connects."""

    async def connect(self, server, timeout_s):
        await trio.sleep(BUSY_S)
        return await super().connect(server, timeout_s)


@attrs.define(eq=False)
class Server:
    """Server that answers once it has read ``REQUEST``, then closes or resets its connection."""

    ending: str = "close"
    received: bytearray = attrs.field(factory=bytearray)
    has_been_left: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, stream):
        while len(self.received) < len(REQUEST):
            self.received += await stream.receive_some()
        if self.ending == "wait":
            await stream.receive_some()
            self.has_been_left.set()
            return
        await stream.send_all(ANSWER)
        if self.ending == "reset":
            # Let the answer arrive first.
            await trio.sleep(0.1)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.socket.close()


@attrs.define(eq=False)
class Scene:
    """A server, and an entry without links to it that reaches it through another entry."""

    backend: Server
    server: object
    dialer: dialing.RelayingDialer
    tunnel_server: serving.TunnelServer
    relay_scope: trio.CancelScope

    async def exchange(self):
        """Send ``REQUEST`` and return the answer."""
        connection = await self.dialer.connect(self.server, 1.0)
        await connection.stream.write(REQUEST)
        answer = bytearray()
        try:
            while data := await connection.stream.read(1000):
                answer += data
        finally:
            await connection.stream.aclose()
        return bytes(answer)


@contextlib.asynccontextmanager
async def running(ending="close", is_registered=True, relay_dialer=dialing.DirectDialer):
    backend = Server(ending)
    async with trio.open_nursery() as nursery:
        address = standins.free_address()
        peers = transport.TcpTransport()
        server = attrs.evolve(gateways.new_servers(1)["b0"], address=address)
        await nursery.start(peers.listen, address, backend.serve)
        known = {server.incarnation: server} if is_registered else {}
        server_registry = types.SimpleNamespace(find=known.get)
        tunnel_address = standins.free_address()
        tunnel_server = serving.TunnelServer(tunnel_address, peers, server_registry, relay_dialer())
        relay_scope = trio.CancelScope()

        async def run_relay(*, task_status):
            with relay_scope:
                await tunnel_server.run(task_status=task_status)

        await nursery.start(run_relay)
        relay = entries.Entry("relay", "z", "r", "", "", "b1", 1.0, tunnel_address)
        entry_list = types.SimpleNamespace(others=lambda: [relay])
        relay_table = relays.RelayTable(entry_list, random.Random(1))
        dialer = dialing.RelayingDialer(CutDialer(), relay_table, peers)
        yield Scene(backend, server, dialer, tunnel_server, relay_scope)
        nursery.cancel_scope.cancel()


class TunnelTest(unittest.TestCase):
    def _run(self, test, **fields):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                async with running(**fields) as scene:
                    await test(scene)

        trio.run(main)

    def test_answers_without_a_length_arrive_whole(self):
        async def test(scene):
            self.assertEqual(ANSWER, await scene.exchange())
            self.assertEqual(REQUEST, bytes(scene.backend.received))
            self.assertEqual({"relay": 1}, scene.dialer.relay_counts)
            await scene.tunnel_server.wait_idle()

        self._run(test)

    def test_an_entry_that_stops_finishes_its_tunnels_and_opens_no_more(self):
        """Guards against requests that are cut because an entry relays them late in its stop."""

        async def test(scene):
            open_connection = await scene.dialer.connect(scene.server, 1.0)
            scene.tunnel_server.lifetime.grace_s = 5.0
            scene.tunnel_server.lifetime.begin_stop()
            with self.assertRaises(dialing.DialError) as raised:
                await scene.dialer.connect(scene.server, 1.0)
            self.assertFalse(raised.exception.is_gone)
            await open_connection.stream.write(REQUEST)
            answer = b""
            while data := await open_connection.stream.read(1000):
                answer += data
            self.assertEqual(ANSWER, answer)
            await open_connection.stream.aclose()

        self._run(test)

    def test_busy_entries_are_waited_for(self):
        """Guards against requests that are refused because the entries that could help are busy."""

        async def test(scene):
            self.assertEqual(ANSWER, await scene.exchange())

        self._run(test, relay_dialer=BusyDialer)

    def test_a_dead_server_is_given_up_in_the_time_for_a_direct_connection(self):
        """Guards against requests that wait for other entries to try a server that is gone."""

        async def test(scene):
            started_s = trio.current_time()
            with self.assertRaises(dialing.DialError) as raised:
                await scene.dialer.connect(scene.server, 0.3)
            self.assertTrue(raised.exception.is_gone)
            self.assertLess(trio.current_time() - started_s, 0.45)

        self._run(test, relay_dialer=FailingDialer)

    @clocked.on_test_clock
    async def test_a_pause_of_the_process_does_not_show_that_a_server_is_gone(self):
        """Guards against reports of sound servers by an entry that was paused as it connected."""

        async def connect(host, port, timeout_s, read_interval):
            await trio.sleep(timeout_s)
            trio.lowlevel.current_clock().jump(pause_s)
            raise httpcore.ConnectTimeout(f"no connection within {timeout_s} s")

        server = gateways.new_servers(1)["b0"]
        relay_table = relays.RelayTable(types.SimpleNamespace(others=list), random.Random(1))
        for pause_s, is_gone in ((0.0, True), (1.0, False)):
            direct = dialing.DirectDialer()
            dialer = dialing.RelayingDialer(direct, relay_table, transport.TcpTransport())
            with (
                self.subTest(pause_s=pause_s),
                unittest.mock.patch.object(pacing, "connect", connect),
            ):
                with self.assertRaises(dialing.DialError) as raised:
                    await dialer.connect(server, 0.3)
                self.assertEqual(is_gone, raised.exception.is_gone)
                self.assertEqual(is_gone, direct.own_links.is_failing(server.server_id))

    def test_reset_answers_are_not_complete(self):
        """Guards against a tunnel that turns a server's reset into the end of its answer."""

        async def test(scene):
            with self.assertRaises(httpcore.ReadError):
                await scene.exchange()

        self._run(test, ending="reset")

    def test_answers_of_lost_tunnels_are_not_complete(self):
        """Guards against a stopped entry that ends or blames on the server what it passed on."""

        async def test(scene):
            connection = await scene.dialer.connect(scene.server, 1.0)
            await connection.stream.write(REQUEST)
            scene.relay_scope.cancel()
            with self.assertRaises(streams.TunnelLostError):
                await connection.stream.read(1000)
            await connection.stream.aclose()

        self._run(test, ending="wait")

    def test_the_server_learns_that_a_caller_has_left(self):
        """Guards against servers that work on requests whose callers have left."""

        async def test(scene):
            connection = await scene.dialer.connect(scene.server, 1.0)
            await connection.stream.write(REQUEST)
            await connection.stream.aclose()
            await scene.backend.has_been_left.wait()
            await scene.tunnel_server.wait_idle()

        self._run(test, ending="wait")

    def test_invalid_requests_do_not_stop_the_entry(self):
        """Guards against a malformed message that ends the process that receives it."""

        async def test(scene):
            invalid = [b"", b"x", messages.encode(messages.Opened())]
            for timeout_s in (float("nan"), -1.0, float("inf")):
                invalid.append(messages.encode(messages.Open("b0", 1, timeout_s)))
            for body in invalid:
                stream = await scene.dialer.transport.connect(scene.tunnel_server.address)
                await frames.FrameStream(stream, 1000).send([body])
                self.assertEqual(b"", await stream.receive_some())
                await stream.aclose()
            self.assertEqual(ANSWER, await scene.exchange())

        self._run(test)

    def test_only_registered_servers_are_connected(self):
        """Guards against entries that connect others to any address."""

        async def test(scene):
            with self.assertRaisesRegex(dialing.DialError, "no server b0 is registered"):
                await scene.dialer.connect(scene.server, 0.3)
            self.assertEqual(b"", bytes(scene.backend.received))

        self._run(test, is_registered=False)
