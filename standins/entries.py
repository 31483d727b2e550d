"""Complete entries in one process, wired as in production but with fakes at each interface.

For tests on trio's mock clock; nothing listens and no process is started.
"""

from __future__ import annotations

import collections.abc
import contextlib
import json

import attrs
import trio

from standins import memory
from toucanhold import entry, external, keyring, serving, settings
from toucanhold.backends import client
from toucanhold.coordination import vms

TOKEN = "stand-in-operator-token"
PEER_KEY = "stand-in-peer-key-0000"


@attrs.frozen
class ReceivedRequest:
    """A request that reached a backend server.

    :ivar received_at_s: time of arrival on trio's clock
    :ivar address: address of the server
    """

    received_at_s: float
    address: str
    request: client.ForwardedRequest


@attrs.define(eq=False)
class MemoryBackendClient(client.BackendClient):
    """Client of in-memory backend servers that execute every order and serve every request.

    :ivar reports: load reports by address; a server without one is unreachable
    :ivar received_requests: requests received, oldest first
    :ivar response_delay_s: time until the response to a request, seconds
    """

    reports: dict[str, client.Report] = attrs.field(factory=dict)
    received_requests: list[ReceivedRequest] = attrs.field(factory=list)
    response_delay_s: float = 0.0

    async def close(self) -> None:
        """See :class:`client.BackendClient`."""
        await trio.lowlevel.checkpoint()

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`."""
        await trio.lowlevel.checkpoint()
        if address not in self.reports:
            raise client.NotSentError(f"nothing listens on {address}")
        return self.reports[address]

    async def send_order(self, address: str, order: client.Order, timeout_s: float) -> None:
        """See :class:`client.BackendClient`."""
        report = await self.read_report(address, timeout_s)
        if isinstance(order, client.LeaveOrder):
            self.reports[address] = attrs.evolve(report, group=None, generation=0, model=None)
            return
        names = ("group", "generation", "rank", "model", "version")
        joined = {name: getattr(order, name) for name in names}
        self.reports[address] = attrs.evolve(report, **joined)

    @contextlib.asynccontextmanager
    async def forward(self, address: str, request: client.ForwardedRequest):
        """See :class:`client.BackendClient`."""
        await trio.lowlevel.checkpoint()
        self.received_requests.append(ReceivedRequest(trio.current_time(), address, request))
        await trio.sleep(self.response_delay_s)
        headers = [(b"content-type", b"application/json")]
        yield client.ForwardedResponse(200, headers, _single_chunk(b'{"ok":true}'))


async def _single_chunk(body: bytes) -> collections.abc.AsyncIterator[bytes]:
    yield body


class _NullHttpServer(serving.HttpServer):
    """An HTTP server that does not listen, as tests call the applications directly."""

    async def serve(self, app, address, stop, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """See :class:`serving.HttpServer`."""
        task_status.started()
        await stop.wait()


@attrs.define(eq=False)
class RunningEntry:
    """A running entry.

    :ivar scope: cancelling it kills the entry
    :ivar stop_requested: setting it stops the entry cleanly
    :ivar ended: set when the entry has stopped or was killed
    """

    app: entry.EntryApplication
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    stop_requested: trio.Event = attrs.field(factory=trio.Event)
    ended: trio.Event = attrs.field(factory=trio.Event)

    async def run(self, *, task_status: trio.TaskStatus) -> None:
        """Run until stopped or killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await self.app.start(nursery)
                task_status.started()
                await self.stop_requested.wait()
                await self.app.stop()
                nursery.cancel_scope.cancel()
        self.ended.set()


@attrs.frozen
class Response:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Return the body decoded from JSON."""
        return json.loads(self.body)


@attrs.define(eq=False)
class MemorySite:
    """Entries with a common key-value service, network and set of backend servers.

    :ivar peers: names of the entries that the settings of each entry list as peers
    :ivar extra_settings: further settings of all entries
    :ivar entries: running entries by name
    """

    nursery: trio.Nursery
    peers: tuple[str, ...]
    platform: memory.MemoryPlatform = attrs.field(factory=memory.MemoryPlatform)
    network: memory.MemoryNetwork = attrs.field(factory=memory.MemoryNetwork)
    backends: MemoryBackendClient = attrs.field(factory=MemoryBackendClient)
    extra_settings: dict[str, object] = attrs.field(factory=dict)
    entries: dict[str, RunningEntry] = attrs.field(factory=dict)

    async def start(self, *names: str) -> None:
        """Start entries."""
        for name in names:
            self.entries[name] = RunningEntry(self.new_entry(name))
            await self.nursery.start(self.entries[name].run)

    def new_entry(self, name: str) -> entry.EntryApplication:
        """Return an entry that has not started."""
        entry_settings = settings.EntrySettings(
            entry=name,
            availability_zone="zone-a",
            callers_address=f"{name}:1",
            operators_address=f"{name}:2",
            peers_address=f"{name}:3",
            platform_url="http://memory",
            operator_token=keyring.from_text(TOKEN),
            peer_key=keyring.from_text(PEER_KEY),
            peers=tuple(f"{each}:3" for each in self.peers if each != name),
            **({"seed": 1, "directory_keep_s": 1.0} | self.extra_settings),
        )
        return entry.EntryApplication(
            entry_settings,
            external.Adapters(
                platform=self.platform.client(name),
                vm_list=vms.EmptyVmList(),
                backends=self.backends,
                peers=self.network.transport(name),
                server=_NullHttpServer(),
            ),
        )

    async def kill(self, name: str) -> None:
        """Kill an entry without a clean shutdown."""
        running = self.entries.pop(name)
        running.scope.cancel()
        await running.ended.wait()

    async def stop(self, name: str) -> None:
        """Stop an entry cleanly."""
        running = self.entries.pop(name)
        running.stop_requested.set()
        await running.ended.wait()

    def app(self, name: str) -> entry.EntryApplication:
        """Return a running entry."""
        return self.entries[name].app

    async def call_operators(
        self, name: str, method: str, path: str, body: object = None
    ) -> Response:
        """Send a request to the operators' interface of an entry."""
        headers = {"authorization": f"Bearer {TOKEN}"}
        return await call(self.app(name).operators, method, f"/operators/v1/{path}", body, headers)

    async def request(self, name: str, method: str, path: str, body: object = None) -> Response:
        """Send a request to the callers' interface of an entry."""
        return await call(self.app(name).callers, method, path, body, {})


async def call(
    app: collections.abc.Callable,
    method: str,
    path: str,
    body: object,
    headers: collections.abc.Mapping[str, str],
) -> Response:
    """Call an ASGI application directly and return its complete response."""
    content = b"" if body is None else json.dumps(body).encode()
    pending_messages = [{"type": "http.request", "body": content, "more_body": False}]
    status, response_headers, response_body = 0, {}, bytearray()

    async def receive() -> dict:
        await trio.lowlevel.checkpoint()
        if pending_messages:
            return pending_messages.pop()
        return await trio.sleep_forever()

    async def send(message: dict) -> None:
        nonlocal status
        await trio.lowlevel.checkpoint()
        if message["type"] == "http.response.start":
            status = message["status"]
            response_headers.update(
                (key.decode(), value.decode()) for key, value in message["headers"]
            )
        else:
            response_body.extend(message.get("body", b""))

    raw_headers = [(key.lower().encode(), value.encode()) for key, value in headers.items()]
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": raw_headers,
    }
    await app(scope, receive, send)
    return Response(status, response_headers, bytes(response_body))
