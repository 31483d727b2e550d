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
from tests.platform import early_answers, standins
from toucanhold.backends import pacing
from toucanhold.gateway import calls, entries
from toucanhold.peers import frames, transport
from toucanhold.platform import servers
from toucanhold.tunnels import dialing, messages, relays, serving, streams

TIMEOUT_S = 10.0
BUSY_S = 0.5
# Either side of a tunnel may be the first to learn of a reset.
EARLY_EXCHANGES = 20
EARLY_CANCEL_S = 0.3
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
async def running(
    ending="close", is_registered=True, relay_dialer=dialing.DirectDialer, address=None
):
    """Run a scene; a server that listens already is named by its ``address``."""
    backend = Server(ending)
    async with trio.open_nursery() as nursery:
        peers = transport.TcpTransport()
        if address is None:
            address = standins.free_address()
            await nursery.start(peers.listen, address, backend.serve)
        server = attrs.evolve(gateways.new_servers(1)["b0"], address=address)
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


async def upload(scene):
    """Send a long request through the tunnel; return the body of the answer."""
    client = servers.PlatformServerClient(gateways.GatewayFixture().rate_limiter, scene.dialer)
    call = gateways.new_call("/", call_id="a-1", method="POST", body=early_answers.BODY)
    forwarded = calls.ForwardedCall(call, "", TIMEOUT_S, None, False)
    async with client.exchange(scene.server, forwarded) as response:
        return b"".join([chunk async for chunk in response.chunks])


async def cancel_later(scope):
    """Cancel a scope once the first bytes of a request have passed."""
    await trio.sleep(EARLY_CANCEL_S)
    scope.cancel()


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

    def test_a_reset_during_the_request_is_no_end_of_an_answer(self):
        """Guards against a tunnel that ends an answer in order, as a failed write hid the reset."""
        for ending in early_answers.BROKEN_ENDINGS:
            with self.subTest(ending=ending):
                server = early_answers.EarlyServer(early_answers.UNFRAMED, ending)
                trio.run(self._check_resets, server)

    async def _check_resets(self, server):
        async with early_answers.serving(server) as address, running(address=address) as scene:
            for count in range(1, EARLY_EXCHANGES + 1):
                with trio.fail_after(TIMEOUT_S), self.assertRaises(calls.ResponseLostError) as lost:
                    await upload(scene)
                self.assertIs(calls.Decider.SERVER, lost.exception.decided_by)
                self.assertTrue(lost.exception.is_connection_lost)
                self.assertEqual(count, server.request_count)

    def test_whole_early_answers_are_served(self):
        """Guards against sound answers that are lost because the request was not read first."""
        trio.run(self._check_whole_early_answer)

    async def _check_whole_early_answer(self):
        server = early_answers.EarlyServer(early_answers.UNFRAMED, early_answers.IN_ORDER)
        async with early_answers.serving(server) as address, running(address=address) as scene:
            with trio.fail_after(TIMEOUT_S):
                self.assertEqual(b"part", await upload(scene))

    def test_a_tunnel_lost_during_the_request_is_not_blamed_on_the_server(self):
        """Guards against a lost tunnel that looks like the end of an answer, or like a crash."""
        server = early_answers.EarlyServer(early_answers.UNFRAMED, early_answers.NONE)
        trio.run(self._check_lost_tunnel, server)

    async def _check_lost_tunnel(self, server):
        async with early_answers.serving(server) as address, running(address=address) as scene:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_later, scene.relay_scope)
                with trio.fail_after(TIMEOUT_S), self.assertRaises(calls.ResponseLostError) as lost:
                    await upload(scene)
            self.assertIs(calls.Decider.TUNNEL, lost.exception.decided_by)
            self.assertFalse(lost.exception.is_connection_lost)

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
