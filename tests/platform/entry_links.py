"""Entries of one process whose links to all backend servers can be cut."""

import collections
import collections.abc
import contextlib
import contextvars
import itertools
import json
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
INTERNAL_PORTS = 16
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

    :ivar bounds: lines of the settings' section of that name
    :ivar services: backend servers belong to them in turn
    :ivar slots: number of slots of each backend server
    :ivar event_count: number of events of a stream
    :ivar event_interval_s: time between two of them
    :ivar new_server_app: returns the application of the backend server with an ID
    :ivar entries: the entries by name
    :ivar backends: applications of the backend servers by server ID
    :ivar server_services: names of their services by server ID
    """

    subnet: str
    nursery: trio.Nursery
    bounds: str = "retry_ratio = 0.2\nretry_slack = 132"
    services: tuple = ("desk",)
    slots: int = 12
    event_count: int = EVENTS
    event_interval_s: float = EVENT_INTERVAL_S
    new_server_app: collections.abc.Callable = standins.ServerApp
    links: Links = attrs.field(factory=Links)
    store: standins.StoreApp = attrs.field(factory=standins.StoreApp)
    entries: dict = attrs.field(factory=dict)
    backends: dict = attrs.field(factory=dict)
    server_services: dict = attrs.field(factory=dict)
    _store_address: str = attrs.field(default="", init=False)
    _stop_requests: dict = attrs.field(factory=dict, init=False)
    _stopped: dict = attrs.field(factory=dict, init=False)
    _start_counts: collections.Counter = attrs.field(factory=collections.Counter, init=False)

    def address(self, name, interface):
        number = 1 + list(self.entries).index(name)
        return f"127.{self.subnet}.{number}:{PORTS[interface]}"

    async def start(self, names, server_count):
        """Start everything and wait until all entries know each other and the servers."""
        self._store_address = await self._serve(self.store)
        for number in range(server_count):
            service = self.services[number // len(ZONES) % len(self.services)]
            await self._start_server(f"b{number}", ZONES[number % len(ZONES)], service)
        self.put_configuration(configuration(services=self.services))
        self.entries = dict.fromkeys(names)
        for name in names:
            self.start_entry(name)
        while not all(self._is_complete(each) for each in self.entries.values()):
            await trio.sleep(0.05)
        # Entries exchange a few notices.
        await trio.sleep(0.5)

    def put_configuration(self, fields):
        """Put a configuration into the store."""
        self.store.put("op/config", json.dumps(fields).encode())

    def start_entry(self, name):
        """Start an entry, or a new process of one that has stopped."""
        # An entry's datagram sockets close with its process, which all entries share here.
        port = INTERNAL_PORT + INTERNAL_PORTS * self._start_counts[name]
        self._start_counts[name] += 1

        def read_settings():
            return settings.parse(self._settings(name, port))

        application = entry.PlatformEntry(read_settings(), read_settings)
        application.rng.seed(list(self.entries).index(name))
        self.entries[name] = application
        self._stop_requests[name], self._stopped[name] = trio.Event(), trio.Event()
        token = _entry_name.set(name)
        self.nursery.start_soon(
            self._run_entry, application, self._stop_requests[name], self._stopped[name]
        )
        _entry_name.reset(token)

    async def stop_entry(self, name):
        """Stop an entry as SIGTERM does; return when its process would have ended."""
        self._stop_requests[name].set()
        await self._stopped[name].wait()

    async def _run_entry(self, application, stop_request, stopped):
        await application.run_until(stop_request.wait)
        stopped.set()

    def _is_complete(self, running):
        return (
            running.routes.table is not None
            and len(running.entry_list.others()) == len(self.entries) - 1
            and len(running.server_registry.servers) == len(self.backends)
        )

    async def _start_server(self, name, zone, service):
        app = self.new_server_app(name)
        app.handler = _respond(app, self.event_count, self.event_interval_s)
        address = await self._serve(app)
        self.backends[name], self.server_services[name] = app, service
        self.links.server_addresses.add(address)
        registration = {"service": service, "address": address, "zone": zone, "slots": self.slots}
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

    def _settings(self, name, internal_port):
        zone = ZONES[list(self.entries).index(name) % len(ZONES)]
        host = self.address(name, "front").rpartition(":")[0]
        listen = "\n".join(f'{each} = "{self.address(name, each)}"' for each in PORTS)
        return f"""
node = "{name}"
zone = "{zone}"
region = "here"
ip = "{host}"
internal_ports = [{internal_port}, {internal_port + INTERNAL_PORTS - 1}]
[listen]
{listen}
[bounds]
{self.bounds}
[platform]
address = "{self._store_address}"
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


def _respond(app, event_count, event_interval_s):
    async def respond(headers, receive, send):
        scope = app.requests[-1][0]
        if scope["path"].startswith("/slow/"):
            await trio.sleep(SLOW_S)
        if not scope["path"].startswith("/stream/"):
            await standins.asgi.respond(send, 200, app.seal(headers), b"answer")
            return
        lines = [*app.seal(headers), (b"content-type", b"text/event-stream")]
        await standins.asgi.start(send, 200, lines)
        for number in range(int(headers.get("last-event-id", -1)) + 1, event_count):
            await trio.sleep(event_interval_s)
            await standins.asgi.write(send, _event(number), True)
        await standins.asgi.write(send, b"", False)

    return respond


def _event(number):
    return f"id: {number}\ndata: word-{number}\n\n".encode()


def stream_body(event_count=EVENTS):
    """Return the body of a whole stream."""
    return b"".join(_event(number) for number in range(event_count))


def configuration(version=1, services=("desk",), weights=(1,), timeout_ms=3000, prefixes=()):
    """Return a configuration.

    :param weights: how requests are split among the services
    :param prefixes: path prefixes of additional routes
    """
    split = [
        {"service": name, "weight": weight}
        for name, weight in zip(services, itertools.cycle(weights), strict=False)
    ]

    def route(prefix, kind, **fields):
        return {
            "name": prefix.strip("/"),
            "host": HOST,
            "path_prefix": prefix,
            "split": split,
            "kind": kind,
            "timeout_ms": timeout_ms,
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
        *(route(prefix, "idempotent") for prefix in prefixes),
    ]
    service_fields = [{"name": name} for name in services]
    return {"version": version, "routes": routes, "services": service_fields}


@contextlib.asynccontextmanager
async def running(subnet, names, server_count=6, **fields):
    """Run a site and yield it.

    :param fields: further fields of the site
    """
    async with trio.open_nursery() as nursery:
        site = Site(subnet, nursery, **fields)
        with unittest.mock.patch.object(pacing, "connect", site.links.connect):
            await site.start(names, server_count)
            yield site
            nursery.cancel_scope.cancel()
