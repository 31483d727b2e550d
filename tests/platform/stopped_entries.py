"""Entries as processes that are stopped, and callers that send until the process is gone."""

import contextlib
import itertools
import json
import math
import pathlib
import tempfile

import attrs
import httpcore
import trio

from standins import processes
from tests.platform import standins
from toucanhold import asgi
from toucanhold.platform import settings

HOST = "stops.example"
PORTS = {"front": 8227, "ready": 8220, "directory": 8224}
INTERNAL_PORT = 7340
EVENT_INTERVAL_S = 0.1
SERVERS = 4
SLOTS = 400
LOSS_SLACK_S = 0.2
# Requests sent until this time after SIGTERM may be cut in the last part of the grace time.
EXCUSED_SENT_S, EXCUSED_FRACTION = 3.0, 5 / 6
TIMEOUT_SLACK_S = 0.05
NOT_RUN_STATUSES = (408, 421, 429, 503)
CONNECTION_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


@attrs.define(eq=False)
class Run:
    """A run of a request at a backend server; ``end_s`` is infinite while it goes on."""

    begin_s: float
    end_s: float = math.inf
    is_whole: bool = False


@attrs.define(eq=False)
class WorkingServer(standins.ServerApp):
    """Backend server that works for the time that a request's path names, or until its deadline.

    :ivar runs: all runs by attempt, shared by the servers of a site
    """

    runs: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.handler = self._work

    async def _work(self, headers, receive, send):
        path = self.requests[-1][0]["path"]
        run = Run(trio.current_time())
        self.runs.setdefault(headers["x-attempt-id"], []).append(run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            with trio.move_on_after(int(headers["x-deadline-remaining-ms"]) / 1000) as scope:
                await self._answer(path, headers, send)
                run.is_whole = True
            if scope.cancelled_caught and not path.startswith("/stream"):
                await asgi.respond(send, 504, self.seal(headers), b"")
                run.is_whole = True
            nursery.cancel_scope.cancel()
        run.end_s = trio.current_time()

    async def _answer(self, path, headers, send):
        _, kind, duration, _ = path.split("/")
        if not kind.startswith("stream"):
            await trio.sleep(float(duration))
            await asgi.respond(send, 200, self.seal(headers), path.encode())
            return
        lines = [*self.seal(headers), (b"content-type", b"text/event-stream")]
        await asgi.start(send, 200, lines)
        for number in range(int(headers.get("last-event-id", -1)) + 1, event_count(duration)):
            await trio.sleep(EVENT_INTERVAL_S)
            await asgi.write(send, f"id: {number}\ndata: word\n\n".encode(), True)
        await asgi.write(send, b"", False)


async def _cancel_on_disconnect(receive, scope):
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


def event_count(duration):
    """Return the number of events of a stream that lasts for a time, in seconds."""
    return round(float(duration) / EVENT_INTERVAL_S)


@attrs.define(eq=False)
class DisturbedStore(standins.StoreApp):
    """A store that may be slow or silent.

    :ivar delay_s: time after which it answers; infinite for never
    """

    delay_s: float = 0.0

    async def __call__(self, scope, receive, send):
        if scope["type"] == "http":
            await trio.sleep(self.delay_s)
        await super().__call__(scope, receive, send)


@attrs.define(eq=False)
class Request:
    """A request of a caller, and what it got.

    :ivar entry: name of the entry that got it
    :ivar read_s: time at which its last byte was sent; infinite before
    :ivar status: HTTP status; 0 without an answer
    :ivar is_whole: whether the answer is complete
    """

    entry: str
    kind: str
    attempt: str
    timeout_s: float
    sent_s: float
    read_s: float = math.inf
    status: int = 0
    is_whole: bool = False
    end_s: float = math.inf
    error: str = ""


@attrs.define(eq=False)
class Site:
    """A store, backend servers, and entries as processes.

    :ivar timeouts_s: timeout of each kind of request
    """

    subnet: str
    folder: pathlib.Path
    nursery: trio.Nursery
    group: processes.ProcessGroup
    grace_s: float
    timeouts_s: dict
    store: DisturbedStore = attrs.field(factory=DisturbedStore)
    servers: list = attrs.field(factory=list)
    runs: dict = attrs.field(factory=dict)
    requests: list = attrs.field(factory=list)
    exit_statuses: dict = attrs.field(factory=dict)
    names: list = attrs.field(factory=list)
    store_address: str = ""
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def address(self, name, interface="front"):
        return f"127.{self.subnet}.{1 + self.names.index(name)}:{PORTS[interface]}"

    async def start(self, names):
        self.names += names
        self.store_address = await self._serve(self.store)
        self.put_configuration()
        for number in range(SERVERS):
            server = WorkingServer(f"b{number}", runs=self.runs)
            registration = {"service": "desk", "zone": "zone-a", "slots": SLOTS, "state": "ready"}
            registration |= {"address": await self._serve(server), "born": 1, "seq": 1}
            self.store.put(f"servers/b{number}", json.dumps(registration).encode())
            self.servers.append(server)
        for name in names:
            await self.start_entry(name)
        await trio.sleep(0.5)

    def put_configuration(self, version=1, timeout_factor=1.0):
        routes = [
            {
                "name": kind,
                "host": HOST,
                "path_prefix": f"/{kind}/",
                "service": "desk",
                "kind": _route_kind(kind),
                "timeout_ms": int(timeout_s * timeout_factor * 1000),
                "goal_ms": 400,
                "gap_target_ms": 300,
                "priority": 1,
                "attempts": 1 if _route_kind(kind) == "non_idempotent" else 2,
                "resumable": kind.startswith("stream-resumable"),
            }
            for kind, timeout_s in self.timeouts_s.items()
        ]
        fields = {"version": version, "routes": routes, "services": [{"name": "desk"}]}
        self.store.put("op/config", json.dumps(fields).encode())

    def write_settings(self, name, grace_s):
        """Write an entry's settings file and return its path."""
        path = self.folder / f"{name}.toml"
        path.write_text(self._settings(name, grace_s))
        return path

    async def start_entry(self, name):
        path = self.write_settings(name, self.grace_s)
        await self.group.start(
            name, ["toucanhold", "platform"], {settings.FILE_VARIABLE: str(path)}
        )
        await processes.wait_listening(self.address(name))
        await self.wait_served(name)

    async def wait_served(self, name):
        """Wait until an entry serves requests."""
        while True:
            request = await self.send(name, next(iter(self.timeouts_s)), 0.1)
            self.requests.remove(request)
            if request.status == 200:
                return
            await trio.sleep(0.1)

    async def stop(self, name):
        """Stop an entry as the platform does: SIGTERM, and SIGKILL once its time is over.

        :return: trio clock times of SIGTERM and of the end of the process
        """
        began_s = trio.current_time()
        self.group.terminate(name)
        with trio.move_on_after(self.grace_s):
            self.exit_statuses[name] = await self.group.wait(name)
        if name not in self.exit_statuses:
            self.exit_statuses[name] = "killed"
            await self.group.kill(name)
        return began_s, trio.current_time()

    async def send(self, name, kind, duration_s, pool=None, body_s=0.0):
        """Send a request and record what its caller gets.

        :param pool: connections to use; None for a new one
        :param body_s: time for which the body arrives
        """
        timeout_s = self.timeouts_s[kind]
        attempt = f"{kind}-{next(self._numbers)}"
        request = Request(name, kind, attempt, timeout_s, trio.current_time())
        self.requests.append(request)
        async with contextlib.AsyncExitStack() as stack:
            if pool is None:
                pool = await stack.enter_async_context(httpcore.AsyncConnectionPool(retries=0))
            with trio.move_on_after(timeout_s + 2.0):
                try:
                    await self._exchange(request, name, duration_s, pool, body_s)
                except CONNECTION_ERRORS as error:
                    request.error = repr(error)
        request.end_s = trio.current_time()
        return request

    async def _exchange(self, request, name, duration_s, pool, body_s):
        headers = [
            ("host", HOST),
            ("x-attempt-id", request.attempt),
            ("x-deadline-remaining-ms", str(int(request.timeout_s * 1000))),
        ]
        content = b""
        if body_s:
            headers.append(("content-length", "2"))
            content = _slow_body(request, body_s)
        else:
            request.read_s = request.sent_s
        path = f"/{request.kind}/{duration_s}/{request.attempt}"
        url = f"http://{self.address(name)}{path}"
        async with pool.stream("POST", url, headers=headers, content=content) as response:
            request.status = response.status
            async for _ in response.aiter_stream():
                pass
        request.is_whole = True

    def violations(self, name, began_s):
        """Return descriptions of requests without the answer that they must get from an entry.

        :param began_s: trio clock time of its SIGTERM
        """
        return [
            f"{problem}: {request.attempt}, sent {request.sent_s - began_s:.2f}, ended "
            f"{request.end_s - began_s:.2f}, status {request.status}, {request.error}"
            for request in self.requests
            if request.entry == name and (problem := self._problem(request, began_s))
        ]

    def _problem(self, request, began_s):
        runs = self.runs.get(request.attempt, [])
        if request.status in NOT_RUN_STATUSES and runs:
            return "promised not to run, but ran"
        if request.kind.startswith("slow") and len(runs) > 1:
            return "ran more than once"
        if request.is_whole:
            return ""
        if not runs:
            is_read = request.end_s - request.read_s > LOSS_SLACK_S
            return "read, not passed on, and no answer" if is_read else ""
        is_over = request.end_s - request.sent_s >= request.timeout_s - TIMEOUT_SLACK_S
        work_until_s = began_s + EXCUSED_FRACTION * self.grace_s
        is_excused = (
            request.kind.startswith("stream")
            and request.sent_s <= began_s + EXCUSED_SENT_S
            and any(run.begin_s <= work_until_s <= run.end_s for run in runs)
        )
        return "" if is_over or is_excused else "passed on, and no answer"

    async def _serve(self, app):
        address = standins.free_address()

        async def run(*, task_status):
            async with standins.serve_app(app, address):
                task_status.started()
                await trio.sleep_forever()

        await self.nursery.start(run)
        return address

    def _settings(self, name, grace_s):
        host = self.address(name).rpartition(":")[0]
        listen = "\n".join(f'{each} = "{self.address(name, each)}"' for each in PORTS)
        return f"""
node = "{name}"
zone = "zone-a"
region = "here"
ip = "{host}"
internal_ports = [{INTERNAL_PORT}, {INTERNAL_PORT + 15}]
[listen]
{listen}
[bounds]
grace_s = {grace_s}
retry_slack = 132
[platform]
address = "{self.store_address}"
"""


def _route_kind(kind):
    if kind.startswith("stream"):
        return "streaming"
    return "non_idempotent" if kind.startswith("slow") else "idempotent"


async def _slow_body(request, body_s):
    yield b"a"
    await trio.sleep(body_s)
    yield b"b"
    request.read_s = trio.current_time()


@contextlib.asynccontextmanager
async def running(subnet, names, grace_s, timeouts_s):
    """Run a site and yield it; its processes end with the context."""
    with tempfile.TemporaryDirectory() as folder:
        async with processes.ProcessGroup(pathlib.Path(folder)) as group:
            async with trio.open_nursery() as nursery:
                site = Site(subnet, pathlib.Path(folder), nursery, group, grace_s, timeouts_s)
                await site.start(names)
                yield site
                nursery.cancel_scope.cancel()
