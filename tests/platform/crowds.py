"""Crowds of clients that do not behave, before an entry as a process of its own.

``python -m tests.platform.crowds`` plays each crowd before both request paths, and before the other
listeners, and prints a table.
"""

import argparse
import collections.abc
import contextlib
import os
import pathlib
import socket
import tempfile

import attrs
import trio

from standins import processes
from standins import site as sites
from tests import endless_site
from tests.platform import endless_answers
from toucanhold import asgi

# Limits of the tests' own settings. The bounds below are those of the VM.
VM_MEMORY_MB = 96
VM_DESCRIPTORS = 400
REQUEST_MEMORY_MB = 16
MAX_CONNECTIONS = 150
BODY_BYTES = 2 * 1024 * 1024
HEAD_BYTES = 12 * 1024
LARGE_ANSWER_BYTES = 256 * 1024

PIECE_BYTES = 64 * 1024
CROWD_S = 6.0
SAMPLE_INTERVAL_S = 0.02
# A caller with this much time is answered, however busy the machine.
ANSWER_TIMEOUT_S = 30.0
LEFTOVER_TIMEOUT_S = 40.0
LEFTOVER_DESCRIPTORS = 12


@attrs.frozen
class Target:
    """A listener of an entry, and requests that it knows.

    :ivar get: target of a request without a body
    :ivar large: target of a request with a large answer
    :ivar post: target of a request with a body
    """

    address: str
    get: bytes
    large: bytes
    post: bytes
    host: bytes = endless_answers.HOST.encode()

    def head(self, method, target, more=b""):
        """Return the head of a request, without the empty line at its end."""
        lines = b"%s %s HTTP/1.1\r\nhost: %s\r\nx-attempt-id: crowd\r\n%s"
        return lines % (method, target, self.host, more)


Behaviour = collections.abc.Callable[[trio.SocketStream, Target], collections.abc.Awaitable[None]]


async def send_pieces(stream, data, piece_bytes=PIECE_BYTES):
    """Send data in pieces, with a pause after each."""
    for start in range(0, len(data), piece_bytes):
        await stream.send_all(data[start : start + piece_bytes])
        await trio.sleep(0.01)


async def send_without_end(stream, data):
    """Send the same bytes again and again."""
    while True:
        await stream.send_all(data)


def chunk(size_bytes):
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (size_bytes, b"x" * size_bytes)


def body_by_length(length_bytes, sent_bytes, is_in_pieces=False):
    """Return a behaviour: announce a body, send a part of it, and stay."""

    async def behave(stream, target):
        line = b"content-length: %d\r\n\r\n" % length_bytes
        await stream.send_all(target.head(b"POST", target.post, line))
        if is_in_pieces:
            await send_pieces(stream, b"x" * sent_bytes)
        else:
            await stream.send_all(b"x" * sent_bytes)

    return behave


def body_in_chunks(chunk_bytes):
    """Return a behaviour: send a body but for its last chunk, and stay."""

    async def behave(stream, target):
        await start_chunks(stream, target)
        for _ in range(BODY_BYTES // chunk_bytes):
            await stream.send_all(chunk(chunk_bytes))

    return behave


def chunks_without_end(chunk_bytes):
    """Return a behaviour: send chunks until the connection is closed."""

    async def behave(stream, target):
        await start_chunks(stream, target)
        one = chunk(chunk_bytes)
        await send_without_end(stream, one * max(1, PIECE_BYTES // len(one)))

    return behave


async def start_chunks(stream, target):
    """Send the head of a request whose body comes in chunks."""
    line = b"transfer-encoding: chunked\r\n\r\n"
    await stream.send_all(target.head(b"POST", target.post, line))


async def half_head(stream, target):
    """Send a long head but for its end, and stay."""
    await stream.send_all(target.head(b"GET", target.get, b"x-filler: " + b"x" * HEAD_BYTES))


async def slow_head(stream, target):
    """Send a head byte by byte."""
    head = target.head(b"GET", target.get, b"x-filler: " + b"x" * HEAD_BYTES)
    await send_pieces(stream, head, 1)


async def unread_answers(stream, target):
    """Send many requests with large answers, and read nothing."""
    await stream.send_all((target.head(b"GET", target.large) + b"\r\n") * 400)


async def pipelined_requests(stream, target):
    """Send requests without end, and read all answers."""
    requests = (target.head(b"GET", target.get) + b"\r\n") * 50
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_without_end, stream, requests)
        async for _ in stream:
            pass
        nursery.cancel_scope.cancel()


async def pipelined_garbage(stream, target):
    """Send requests that have no route without end, and read all answers."""
    await pipelined_requests(stream, attrs.evolve(target, get=b"/nowhere/1"))


async def expect_nothing(stream, target):
    """Ask to continue, and send nothing more."""
    line = b"expect: 100-continue\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
    await stream.send_all(target.head(b"POST", target.post, line))


async def trailers_without_end(stream, target):
    """End a body, and send trailers until the connection is closed."""
    await start_chunks(stream, target)
    await stream.send_all(b"1\r\nx\r\n0\r\n")
    await send_without_end(stream, b"a: b\r\n" * 1000)


async def chunk_extensions(stream, target):
    """Send chunks with long extensions until the connection is closed."""
    await start_chunks(stream, target)
    await send_without_end(stream, (b"1;" + b"e" * 4000 + b"\r\nx\r\n") * 16)


async def idle(stream, target):
    """Send nothing."""


async def half_closed_body(stream, target):
    """Send half of a body, and close the sending side."""
    await body_by_length(BODY_BYTES, BODY_BYTES // 2)(stream, target)
    await stream.send_eof()


async def answered_and_closed(stream, target):
    """Send a request, read the answer, and close the connection."""
    await stream.send_all(target.head(b"GET", target.get) + b"\r\n")
    answer = b""
    while not answer.partition(b"\r\n\r\n")[2]:
        answer += await stream.receive_some()
    await stream.aclose()


async def reset_in_a_body(stream, target):
    """Send half of a body, and reset the connection."""
    await body_by_length(BODY_BYTES, BODY_BYTES // 2)(stream, target)
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    await stream.aclose()


@attrs.frozen
class Crowd:
    """Clients that all do the same at once.

    :ivar connections: number of clients
    :ivar interval_s: time between the arrivals of two clients
    """

    connections: int
    behave: Behaviour
    interval_s: float = 0.0


CROWDS = {
    "bodies by length": Crowd(60, body_by_length(BODY_BYTES, BODY_BYTES - 1)),
    "bodies in pieces": Crowd(60, body_by_length(BODY_BYTES, BODY_BYTES - 1, is_in_pieces=True)),
    "bodies in chunks": Crowd(60, body_in_chunks(PIECE_BYTES)),
    "bodies in one chunk": Crowd(60, body_in_chunks(BODY_BYTES)),
    "chunks without end": Crowd(10, chunks_without_end(PIECE_BYTES)),
    "small chunks without end": Crowd(40, chunks_without_end(16)),
    "tiny chunks without end": Crowd(150, chunks_without_end(1)),
    "bodies announced too long": Crowd(60, body_by_length(10**9, BODY_BYTES)),
    "half heads": Crowd(1500, half_head),
    "slow heads": Crowd(200, slow_head),
    "unread answers": Crowd(60, unread_answers),
    "pipelined requests": Crowd(20, pipelined_requests),
    "pipelined garbage": Crowd(20, pipelined_garbage),
    "expected to continue": Crowd(300, expect_nothing),
    "trailers without end": Crowd(20, trailers_without_end),
    "chunk extensions": Crowd(20, chunk_extensions),
    "idle connections": Crowd(600, idle),
    "half-closed bodies": Crowd(60, half_closed_body),
    "closed connections": Crowd(300, answered_and_closed, interval_s=0.015),
    "reset bodies": Crowd(60, reset_in_a_body),
}
# What listeners that answer short requests, or talk with other entries, can be sent.
SHORT_CROWDS = (
    "bodies by length",
    "tiny chunks without end",
    "half heads",
    "unread answers",
    "idle connections",
    "closed connections",
)


@attrs.define
class Outcome:
    """What one play showed.

    :ivar peak_kb: largest resident memory of the entry
    :ivar peak_descriptors: most descriptors that it had open
    :ivar left_descriptors: descriptors that it had open beyond those before the crowd, once the
        crowd had gone, without connections to backend servers that it keeps for later requests
    :ivar is_alive: whether the process runs
    :ivar during: status of an ordinary request beside the crowd; 0 if it was not answered
    :ivar after: the same, once the crowd had gone
    """

    before_kb: int = 0
    peak_kb: int = 0
    peak_descriptors: int = 0
    left_descriptors: int = 0
    is_alive: bool = False
    during: int = 0
    after: int = 0

    def violations(self):
        """Return descriptions of what must not be."""
        found = []
        if not self.is_alive:
            found.append("the process has ended")
        if self.peak_kb >= VM_MEMORY_MB * 1024:
            found.append(f"memory reached {self.peak_kb // 1024} of {VM_MEMORY_MB} MB")
        if self.peak_descriptors > VM_DESCRIPTORS:
            found.append(f"{self.peak_descriptors} of {VM_DESCRIPTORS} descriptors were open")
        if self.left_descriptors > LEFTOVER_DESCRIPTORS:
            found.append(f"{self.left_descriptors} descriptors were left open")
        if self.during != 200:
            found.append(f"an ordinary request beside the crowd got status {self.during}")
        if self.after != 200:
            found.append(f"an ordinary request after the crowd got status {self.after}")
        return found


class LargeAnswerServer(endless_answers.SoundServer):
    """Answers at once; requests for a large answer get one."""

    async def __call__(self, scope, receive, send):
        if "/large" in scope.get("path", ""):
            await asgi.read_body(receive, 2 * BODY_BYTES)
            headers = {key.decode(): value.decode() for key, value in scope["headers"]}
            await asgi.respond(send, 200, self.seal(headers), b"x" * LARGE_ANSWER_BYTES)
            return
        await super().__call__(scope, receive, send)


class PlatformSite(endless_answers.Site):
    """A store, a server and an entry of the users' platform, on a small VM."""

    def target(self, interface="front"):
        """Return one of the entry's listeners."""
        address = self.address("e1", interface)
        if interface == "front":
            return Target(address, b"/probe/1", b"/probe/large", b"/probe/body")
        get = {"ready": b"/ready", "directory": b"/resolve?name=a&region=here&zone=zone-a"}
        target = get.get(interface, b"/")
        return Target(address, target, target + b"&x=" + b"x" * HEAD_BYTES, target)

    async def start(self):
        """Start everything."""
        self.store = endless_answers.backends.ExpiringStore()
        self.nursery.start_soon(self.store.run)
        self.store_address = await self._serve(self.store)
        self._put_servers("sound", [await self._serve(LargeAnswerServer())])
        self._put_configuration()
        path = self.group.log_folder / "e1.toml"
        path.write_text(self._settings("e1"))
        variables = {endless_answers.settings.FILE_VARIABLE: str(path)}
        await self.group.start("e1", ["toucanhold", "platform"], variables)
        await processes.wait_listening(self.address("e1"))
        await self._wait_served()

    def _settings(self, entry):
        limits = f"[limits]\nmemory_mb = {VM_MEMORY_MB}\nmax_fds = {VM_DESCRIPTORS}"
        return super()._settings(entry).replace("[limits]", limits)

    def _put_configuration(self):
        route = {"name": "probe", "host": endless_answers.HOST, "path_prefix": "/probe/"}
        route |= {"kind": "idempotent", "attempts": 1, "timeout_ms": 8000, "goal_ms": 500}
        route |= {"service": "sound", "priority": 1, "public": True, "gap_target_ms": 500}
        limits = {"max_body_bytes": BODY_BYTES, "max_header_bytes": 16 * 1024}
        limits |= {"header_timeout_ms": 5000, "idle_timeout_ms": 15000}
        fields = {"version": 1, "routes": [route], "services": [{"name": "sound"}]}
        self.store.put(
            "op/config", endless_answers.json.dumps(fields | {"limits": limits}).encode()
        )

    def pid(self):
        """Return the entry's process id."""
        return self.group.pid("e1")

    def is_alive(self):
        """Return whether the entry runs."""
        return self.group.is_running("e1")

    def server_ports(self):
        """Return the ports of backend servers whose connections are kept."""
        return set()

    async def request(self):
        """Send an ordinary request; return its status."""
        return (await self.send("sound"))[0]


class ProductSite(endless_site.Site):
    """An entry of the product's own interface, on a small VM."""

    def target(self, interface="callers"):
        """Return one of the entry's listeners."""
        address = getattr(self.site.entries[0], interface)
        if interface != "callers":
            target = b"/operators/v1/status"
            return Target(address, target, target + b"?x=" + b"x" * HEAD_BYTES, target)
        records = b"/services/notes/records/"
        return Target(address, records + b"1", records + b"x" * HEAD_BYTES, records + b"body")

    def pid(self):
        """Return the entry's process id."""
        return self.site.process_group.pid(self.site.entries[0].entry)

    def server_ports(self):
        """Return the ports of backend servers whose connections are kept."""
        return {int(vm.address.rpartition(":")[2]) for vm in self.site.vms}

    def is_alive(self):
        """Return whether the entry runs."""
        return self.site.process_group.is_running(self.site.entries[0].entry)

    async def request(self):
        """Send an ordinary request; return its status."""
        return (await self.send("sound"))[0]

    async def start_small(self):
        """Start everything but servers in trouble."""
        site = self.site
        await site.start()
        body = {"document": sites.document_for(site, endless_site.SERVICES[1:]), "expected": 0}
        await site.call_operators(site.entries[0].entry, "PUT", "document", body)
        with trio.fail_after(30):
            while await self.request() != 200:
                await trio.sleep(0.1)


@contextlib.asynccontextmanager
async def running_platform(folder, subnet):
    """Run an entry of the users' platform and yield its site."""
    async with processes.ProcessGroup(pathlib.Path(folder)) as group:
        async with trio.open_nursery() as nursery:
            site = PlatformSite(group, nursery, subnet)
            await site.start()
            yield site
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def running_product(folder):
    """Run an entry of the product's own interface and yield its site."""
    site = sites.new_site(pathlib.Path(folder), ("zone-a",), 0, endless_site.SOUND_SERVICE, 1, 1)
    site.service_options = ("--warm",)
    site.entry_variables = {
        "TOUCANHOLD_BODY_LIMIT_BYTES": str(BODY_BYTES),
        "TOUCANHOLD_REQUEST_MEMORY_MB": str(REQUEST_MEMORY_MB),
        "TOUCANHOLD_MAX_CONNECTIONS": str(MAX_CONNECTIONS),
    }
    async with site.process_group:
        small = ProductSite(site)
        await small.start_small()
        yield small


def descriptor_count(pid):
    """Return the number of descriptors that a process has open."""
    return len(list(pathlib.Path(f"/proc/{pid}/fd").iterdir()))


def kept_connection_count(pid, server_ports):
    """Return the number of connections to backend servers that a process keeps open."""
    links = []
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        # The process may have closed it since it was listed.
        with contextlib.suppress(FileNotFoundError):
            links.append(os.readlink(path))
    inodes = {link[len("socket:[") : -1] for link in links if link.startswith("socket:[")}
    rows = [
        line.split() for line in pathlib.Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    ]
    remote_ports = [int(row[2].rpartition(":")[2], 16) for row in rows if row[9] in inodes]
    return sum(port in server_ports for port in remote_ports)


async def play(site, target, crowd):
    """Let a crowd come and go before a listener; return the outcome."""
    for _ in range(5):
        await site.request()
    outcome = Outcome(before_kb=endless_answers.resident_kb(site.pid()))
    kept_before = kept_connection_count(site.pid(), site.server_ports())
    before_descriptors = descriptor_count(site.pid()) - kept_before

    async def sample():
        while site.is_alive():
            outcome.peak_kb = max(outcome.peak_kb, endless_answers.resident_kb(site.pid()))
            open_count = descriptor_count(site.pid())
            outcome.peak_descriptors = max(outcome.peak_descriptors, open_count)
            await trio.sleep(SAMPLE_INTERVAL_S)

    async with trio.open_nursery() as sampling:
        sampling.start_soon(sample)
        async with trio.open_nursery() as clients:
            for _ in range(crowd.connections):
                clients.start_soon(_run_client, crowd, target)
                await trio.sleep(crowd.interval_s)
            await trio.sleep(CROWD_S)
            outcome.during = await _answer_status(site)
            clients.cancel_scope.cancel()
        outcome.after = await _answer_status(site)
        with trio.move_on_after(LEFTOVER_TIMEOUT_S):
            while site.is_alive():
                kept = kept_connection_count(site.pid(), site.server_ports())
                outcome.left_descriptors = descriptor_count(site.pid()) - kept - before_descriptors
                if outcome.left_descriptors <= LEFTOVER_DESCRIPTORS:
                    break
                await trio.sleep(0.2)
        sampling.cancel_scope.cancel()
    outcome.is_alive = site.is_alive()
    return outcome


async def _run_client(crowd, target):
    host, _, port = target.address.rpartition(":")
    with contextlib.suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await crowd.behave(stream, target)
            await trio.sleep_forever()


async def _answer_status(site):
    """Return the status of an ordinary request; refusals that ask to come back are obeyed."""
    status = 0
    with trio.move_on_after(ANSWER_TIMEOUT_S):
        while status != 200 and site.is_alive():
            status = await site.request()
            await trio.sleep(0.1)
    return status


async def play_platform(name, subnet, interface="front"):
    """Play a crowd before an entry of the users' platform."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_platform(folder, subnet) as site:
            return await play(site, site.target(interface), CROWDS[name])


async def play_product(name, interface="callers"):
    """Play a crowd before an entry of the product's own interface."""
    with tempfile.TemporaryDirectory() as folder:
        async with running_product(folder) as site:
            return await play(site, site.target(interface), CROWDS[name])


def main():
    """Play all crowds and print a table; return 1 if anything was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--crowd", choices=sorted(CROWDS), action="append")
    parser.add_argument("--path", choices=("platform", "product"), action="append")
    options = parser.parse_args()
    failures = count = 0
    print("path; listener; crowd; MB before; MB at most; descriptors; left; violations")
    for path in options.path or ("platform", "product"):
        listeners = ("front", "ready", "directory", "between")
        if path == "product":
            listeners = ("callers", "operators", "peers")
        for listener in listeners:
            names = CROWDS if listener in ("front", "callers") else SHORT_CROWDS
            for name in [each for each in names if each in (options.crowd or names)]:
                count += 1
                if path == "platform":
                    outcome = trio.run(play_platform, name, f"210.{count}", listener)
                else:
                    outcome = trio.run(play_product, name, listener)
                failures += bool(outcome.violations())
                print(
                    f"{path}; {listener}; {name}; {outcome.before_kb // 1024};"
                    f" {outcome.peak_kb // 1024}; {outcome.peak_descriptors};"
                    f" {outcome.left_descriptors}; {outcome.violations() or 'none'}",
                    flush=True,
                )
    print(f"{count - failures} of {count} without a violation")
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(main())
