"""Entries of one process whose links to all backend servers can be cut."""

import contextlib
import contextvars
import json
import random
import unittest.mock

import attrs
import httpcore
import trio

from tests.platform import standins
from toucanhold.backends import pacing
from toucanhold.platform import entry, settings

HOST = "links.example"
ZONES = ("zone-a", "zone-b")
PORTS = {"front": 8227, "ready": 8220, "directory": 8224}
INTERNAL_PORT = 7340
EVENTS = 8
EVENT_INTERVAL_S = 0.05
# Duration of a request that ends just before the last sixth of the grace period of a planned stop.
SLOW_S = 6.5
SLOW_TIMEOUT_MS = 8000
# How a cut shows: nothing arrives; or connections are reset and refused; or open ones go on.
CUTS = ("silent", "reset", "refuse")

_entry_name = contextvars.ContextVar("entry", default="")


@attrs.define(eq=False)
class Links:
    """The links from entries to backend servers.

    :ivar cuts: one of :data:`CUTS` by the name of an entry whose links are cut
    :ivar server_addresses: addresses of backend servers; links to others are never cut
    """

    cuts: dict = attrs.field(factory=dict)
    server_addresses: set = attrs.field(factory=set)
    _connect: object = pacing.connect

    def cut(self, name, how):
        """Cut an entry's links."""
        self.cuts[name] = how

    async def connect(self, host, port, timeout_s, read_interval):
        """Replace :func:`pacing.connect`."""
        name = _entry_name.get()
        if f"{host}:{port}" not in self.server_addresses:
            return await self._connect(host, port, timeout_s, read_interval)
        how = self.cuts.get(name)
        if how == "silent":
            await trio.sleep(timeout_s)
            raise httpcore.ConnectTimeout(f"no connection within {timeout_s} s")
        if how is not None:
            raise httpcore.ConnectError("refused") from ConnectionRefusedError()
        stream = await self._connect(host, port, timeout_s, read_interval)
        return _CutStream(stream, self, name)


@attrs.define(eq=False)
class _CutStream(httpcore.AsyncNetworkStream):
    stream: pacing.PacedStream
    links: Links
    name: str

    async def read(self, max_bytes, timeout=None):
        data = await self.stream.read(max_bytes)
        await self._wait_while_cut()
        return data

    async def write(self, buffer, timeout=None):
        await self._wait_while_cut()
        await self.stream.write(buffer)

    async def aclose(self):
        await self.stream.aclose()

    def get_extra_info(self, info):
        return self.stream.get_extra_info(info)

    async def _wait_while_cut(self):
        while (how := self.links.cuts.get(self.name)) == "silent":
            await trio.sleep(0.01)
        if how == "reset":
            raise httpcore.ReadError("connection reset")


@attrs.define(eq=False)
class Site:
    """A store, plain backend servers, and entries that know each other.

    :ivar entries: the entries by name
    :ivar backends: applications of the backend servers by server ID
    """

    subnet: str
    nursery: trio.Nursery
    links: Links = attrs.field(factory=Links)
    store: standins.StoreApp = attrs.field(factory=standins.StoreApp)
    entries: dict = attrs.field(factory=dict)
    backends: dict = attrs.field(factory=dict)

    def address(self, name, interface):
        number = 1 + list(self.entries).index(name)
        return f"127.{self.subnet}.{number}:{PORTS[interface]}"

    async def start(self, names, server_count):
        """Start everything and wait until all entries know each other and the servers."""
        store_address = await self._serve(self.store)
        for number in range(server_count):
            await self._start_server(f"b{number}", ZONES[number % len(ZONES)])
        self.store.put("op/config", json.dumps(_configuration()).encode())
        self.entries = dict.fromkeys(names)
        for number, name in enumerate(names):
            text = self._settings(name, ZONES[number % len(ZONES)], store_address)
            parsed = settings.parse(text)
            self.entries[name] = entry.PlatformEntry(parsed, lambda parsed=parsed: parsed)
            self.entries[name].rng = random.Random(number)
            token = _entry_name.set(name)
            await self.entries[name].start(self.nursery)
            _entry_name.reset(token)
        while not all(self._is_complete(each) for each in self.entries.values()):
            await trio.sleep(0.05)
        # Entries exchange a few notices.
        await trio.sleep(0.5)

    def _is_complete(self, running):
        return (
            running.routes.table is not None
            and len(running.entry_list.others()) == len(self.entries) - 1
            and len(running.server_registry.servers) == len(self.backends)
        )

    async def _start_server(self, name, zone):
        app = standins.ServerApp(name)
        app.handler = _respond(app)
        address = await self._serve(app)
        self.backends[name] = app
        self.links.server_addresses.add(address)
        registration = {"service": "desk", "address": address, "zone": zone, "slots": 12}
        registration |= {"state": "ready", "born": 1, "seq": 1, "cold_left_ms": 0}
        self.store.put(f"servers/{name}", json.dumps(registration).encode())

    async def _serve(self, app):
        address = standins.free_address()

        async def run(*, task_status):
            async with standins.serve_app(app, address):
                task_status.started()
                await trio.sleep_forever()

        await self.nursery.start(run)
        return address

    def _settings(self, name, zone, store_address):
        host = self.address(name, "front").rpartition(":")[0]
        listen = "\n".join(f'{each} = "{self.address(name, each)}"' for each in PORTS)
        return f"""
node = "{name}"
zone = "{zone}"
region = "here"
ip = "{host}"
internal_ports = [{INTERNAL_PORT}, {INTERNAL_PORT + 15}]
[listen]
{listen}
[bounds]
retry_ratio = 0.2
retry_slack = 132
[platform]
address = "{store_address}"
"""

    async def send(self, name, kind, attempt):
        """Send a request to an entry; return its status, its duration in s and its body."""
        deadline_ms = SLOW_TIMEOUT_MS if kind == "slow" else 3000
        headers = [
            ("host", HOST),
            ("x-attempt-id", attempt),
            ("x-deadline-remaining-ms", str(deadline_ms)),
        ]
        method = "GET" if kind == "lookup" else "POST"
        address = self.address(name, "front")
        started_s = trio.current_time()
        try:
            status, _, body = await standins.send_request(
                address, method, f"/{kind}/{attempt}", headers
            )
        except httpcore.RemoteProtocolError:
            status, body = 0, b""
        return status, trio.current_time() - started_s, body

    def runs(self, attempt):
        """Return how often backend servers ran an attempt."""
        return sum(
            headers["x-attempt-id"] == attempt
            for app in self.backends.values()
            for _, headers, _ in app.requests
        )


def _respond(app):
    async def respond(headers, receive, send):
        scope = app.requests[-1][0]
        if scope["path"].startswith("/slow/"):
            await trio.sleep(SLOW_S)
        if not scope["path"].startswith("/stream/"):
            await standins.asgi.respond(send, 200, app.seal(headers), b"answer")
            return
        lines = [*app.seal(headers), (b"content-type", b"text/event-stream")]
        await standins.asgi.start(send, 200, lines)
        for number in range(int(headers.get("last-event-id", -1)) + 1, EVENTS):
            await trio.sleep(EVENT_INTERVAL_S)
            await standins.asgi.write(send, _event(number), True)
        await standins.asgi.write(send, b"", False)

    return respond


def _event(number):
    return f"id: {number}\ndata: word-{number}\n\n".encode()


STREAM_BODY = b"".join(_event(number) for number in range(EVENTS))


def _configuration():
    def route(prefix, kind, **fields):
        return {
            "name": prefix.strip("/"),
            "host": HOST,
            "path_prefix": prefix,
            "service": "desk",
            "kind": kind,
            "timeout_ms": 3000,
            "goal_ms": 200,
            "gap_target_ms": 300,
            "priority": 1,
            "attempts": 2,
        } | fields

    routes = [
        route("/stream/", "streaming", resumable=True),
        route("/order/", "non_idempotent", attempts=1),
        route("/slow/", "non_idempotent", attempts=1, timeout_ms=SLOW_TIMEOUT_MS),
        route("/lookup/", "idempotent"),
    ]
    return {"version": 1, "routes": routes, "services": [{"name": "desk"}]}


@contextlib.asynccontextmanager
async def running(subnet, names, server_count=6):
    """Run a site and yield it."""
    async with trio.open_nursery() as nursery:
        site = Site(subnet, nursery)
        with unittest.mock.patch.object(pacing, "connect", site.links.connect):
            await site.start(names, server_count)
            yield site
            for entry_application in site.entries.values():
                await entry_application.clean_up()
            nursery.cancel_scope.cancel()
