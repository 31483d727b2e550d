"""Backend servers that stop in the head of an answer and close, before entries as processes.

``python -m tests.platform.cut_heads`` cuts each kind of answer at each byte of its head, by FIN and
by RST, on both request paths and through tunnels, and prints a table.
"""

import argparse
import contextlib
import pathlib
import socket
import struct
import tempfile

import attrs
import h11
import trio

from standins import processes
from standins import site as sites
from tests import endless_site
from tests.platform import endless, endless_answers

RESET = struct.pack("ii", 1, 0)
BODY = b"the whole answer"
EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, 5))
FRAMINGS = {
    "length": (b"content-length: %d\r\n" % len(BODY), BODY),
    "chunks": (b"transfer-encoding: chunked\r\n", b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)),
    "neither": (b"", BODY),
    "stream": (b"content-type: text/event-stream\r\n", EVENTS),
    "chunked-stream": (
        b"content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
        b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS),
    ),
    "resumed-stream": (b"content-type: text/event-stream\r\n", EVENTS),
}
ENDS = ("fin", "rst")
CONCURRENCY = 20
# Longest ID of a request; heads with shorter ones are cut before their last byte at the latest.
ID_LENGTH = 32
CLOSE_DELAY_S = 0.01
ANSWER_TIMEOUT_S = 20.0


def answer(framing, call_id):
    """Return the head and the body of an answer."""
    line, body = FRAMINGS[framing]
    head = b"HTTP/1.1 200 OK\r\nx-attempt-id: %s\r\nx-server-seal: seal-1\r\n%s\r\n"
    return head % (call_id, line), body


@attrs.define(eq=False)
class CutServer(endless.EndlessServer):
    """A server that cuts each answer where the path of the request says."""

    async def _send_without_end(self, stream, request, index):
        target = request.split(b" ", 2)[1].decode()
        if "cut-" not in target:
            head, body = answer("length", endless.call_id(request))
            await stream.send_all(head + body)
            return
        _, framing, end, cut = target.rpartition("/")[2].split(".")
        head, body = answer(framing, endless.call_id(request))
        if framing == "resumed-stream" and b"last-event-id" not in request.lower():
            # Broken off in its second event, so that it is resumed; the resumed answer is cut.
            await stream.send_all(head + body[:22])
        else:
            await stream.send_all(head[: min(int(cut), len(head) - 1)])
        await trio.sleep(CLOSE_DELAY_S)
        if end == "rst":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


class PlatformSite(endless_answers.Site):
    """A store, cut servers and entries of the users' platform."""

    async def start(self):
        """Start everything."""
        self.store = endless_answers.backends.ExpiringStore()
        self.nursery.start_soon(self.store.run)
        self.store_address = await self._serve(self.store)
        addresses = [await start_server(self.nursery, CutServer("start", True)) for _ in range(3)]
        sound = [await self._serve(endless_answers.SoundServer())]
        self._put_servers("mixed", addresses)
        self._put_servers("once", addresses[:1])
        self._put_servers("sound", sound)
        self._put_configuration()
        unreachable = [address.rpartition(":")[2] for address in addresses + sound]
        for entry in self.entries:
            path = self.group.log_folder / f"{entry}.toml"
            path.write_text(self._settings(entry))
            variables = {endless_answers.settings.FILE_VARIABLE: str(path)}
            variables[endless_answers.unlinked_entry.PORTS_VARIABLE] = ",".join(unreachable)
            is_unlinked = self.has_tunnels and entry == "e1"
            module = "tests.platform.unlinked_entry" if is_unlinked else "toucanhold"
            await self.group.start(entry, [module, "platform"], variables)
        for entry in self.entries:
            await processes.wait_listening(self.address(entry))
        await self._wait_served()

    def request(self, framing, end, cut):
        """Return the entry's address and a request whose answer is cut."""
        kind = "stream" if "stream" in framing else "lookup"
        head = (
            f"GET /{kind}/cut-.{framing}.{end}.{cut} HTTP/1.1\r\nhost: {endless_answers.HOST}\r\n"
        )
        head += f"x-attempt-id: {framing}-{end}-{cut}\r\nx-deadline-remaining-ms: 6000\r\n\r\n"
        return self.address("e1"), head.encode()


class ProductSite(endless_site.Site):
    """An entry of the product's own interface, and cut servers."""

    async def start(self, nursery):
        """Start everything."""
        site = self.site
        await site.start_keyvalue()
        for vm in site.vms:
            port = int(vm.address.rpartition(":")[2])
            await start_server(nursery, CutServer("start", True, vm=vm.vm), port)
        entry = site.entries[0]
        await site.start_entry(entry.entry)
        await processes.wait_listening(entry.operators)
        body = {"document": sites.document_for(site, endless_site.SERVICES[1:]), "expected": 0}
        await site.call_operators(entry.entry, "PUT", "document", body)
        with trio.fail_after(30):
            while (await self.send("sound"))[0] != 200:
                await trio.sleep(0.1)

    def request(self, framing, end, cut):
        """Return the entry's address and a request whose answer is cut."""
        target = f"/services/{endless_site.SOUND_SERVICE}/records/cut-.{framing}.{end}.{cut}"
        head = f"GET {target} HTTP/1.1\r\nhost: a\r\ntoucanhold-timeout-s: 5\r\n\r\n"
        return self.site.entries[0].callers, head.encode()


async def start_server(nursery, server, port=0):
    """Serve on loopback; return the address."""
    listeners = await trio.open_tcp_listeners(port, host="127.0.0.1", backlog=512)
    nursery.start_soon(trio.serve_listeners, server.handle, listeners)
    return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"


@contextlib.asynccontextmanager
async def running_platform(folder, subnet, has_tunnels=False):
    """Run a site of the users' platform and yield it."""
    async with processes.ProcessGroup(pathlib.Path(folder)) as group:
        async with trio.open_nursery() as nursery:
            site = PlatformSite(group, nursery, subnet, has_tunnels)
            await site.start()
            yield site
            nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def running_product(folder):
    """Run a site of the product's own interface and yield it."""
    site = sites.new_site(pathlib.Path(folder), ("zone-a",), 0, endless_site.SOUND_SERVICE, 2, 1)
    async with site.process_group:
        async with trio.open_nursery() as nursery:
            small = ProductSite(site)
            await small.start(nursery)
            yield small
            nursery.cancel_scope.cancel()


async def read_answer(address, request):
    """Send a request; return its status, the body, and whether it looks complete."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    parser.send(h11.EndOfMessage())
    host, _, port = address.rpartition(":")
    status, body = 0, b""
    with trio.move_on_after(ANSWER_TIMEOUT_S):
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            await stream.send_all(request)
            while True:
                try:
                    event = parser.next_event()
                except h11.RemoteProtocolError:
                    return status, body, False
                if isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return status, body, True
                elif event is h11.NEED_DATA:
                    try:
                        parser.receive_data(await stream.receive_some())
                    except trio.BrokenResourceError:
                        return status, body, False
    return status, body, False


async def play(site, framing, step=1):
    """Cut one kind of answer at each byte of its head; return descriptions of false answers."""
    found, statuses = [], {}
    limiter = trio.CapacityLimiter(CONCURRENCY)

    async def check(end, cut):
        async with limiter:
            status, body, is_complete = await read_answer(*site.request(framing, end, cut))
        statuses[status] = statuses.get(status, 0) + 1
        if status == 200 and is_complete:
            found.append(f"{framing}, {end} at byte {cut}: status 200 with {body!r}")

    head, _ = answer(framing, b"x" * ID_LENGTH)
    cuts = sorted({*range(0, len(head), step), *line_ends(head)})
    async with trio.open_nursery() as nursery:
        for end in ENDS:
            for cut in cuts:
                nursery.start_soon(check, end, cut)
    return found, statuses


def line_ends(head):
    """Return the places before, in and after each line end of a head that is not complete."""
    places = {offset for offset in range(len(head)) if head[offset] in b"\r\n"}
    return {place + 1 for place in places if place + 1 < len(head)} | places


def main():
    """Play everything and print a table; return 1 if there was a false answer."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--step", type=int, default=1, help="cut at each such byte only")
    options = parser.parse_args()
    failures = 0

    async def play_all(number, running, framings):
        nonlocal failures
        with tempfile.TemporaryDirectory() as folder:
            async with running(folder) as site:
                for framing in framings:
                    found, statuses = await play(site, framing, options.step)
                    failures += len(found)
                    print(f"{number}; {framing}; {statuses}; {found or 'none'}", flush=True)

    print("site; framing; statuses; false answers")
    trio.run(play_all, "platform", lambda folder: running_platform(folder, "220.1"), FRAMINGS)
    trio.run(play_all, "tunnels", lambda folder: running_platform(folder, "220.2", True), FRAMINGS)
    plain = [name for name in FRAMINGS if "stream" not in name]
    trio.run(play_all, "product", running_product, plain)
    return 1 if failures else 0


if __name__ == "__main__":
    raise SystemExit(main())
