"""Whole entries in memory: the product's own wiring over fakes at each interface.

For tests on trio's test clock; nothing listens and no process is started.
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
class Forwarded:
    """A request that reached a backend server."""

    at_s: float
    address: str
    request: client.ForwardedRequest


@attrs.define(eq=False)
class MemoryBackends(client.BackendClient):
    """Backend servers that are warm, take every order and answer every request at once.

    :ivar reports: the load report by address; whoever is not listed does not answer
    :ivar delay_s: time that a request takes
    """

    reports: dict[str, client.Report] = attrs.field(factory=dict)
    forwarded: list[Forwarded] = attrs.field(factory=list)
    delay_s: float = 0.0

    async def close(self) -> None:
        """See :class:`client.BackendClient`."""
        await trio.lowlevel.checkpoint()

    async def read_report(self, address: str, timeout_s: float) -> client.Report:
        """See :class:`client.BackendClient`."""
        await trio.lowlevel.checkpoint()
        if address not in self.reports:
            raise client.NotSentError("nothing listens")
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
        self.forwarded.append(Forwarded(trio.current_time(), address, request))
        await trio.sleep(self.delay_s)
        headers = [(b"content-type", b"application/json")]
        yield client.ForwardedResponse(200, headers, _one_chunk(b'{"ok":true}'))


async def _one_chunk(body: bytes) -> collections.abc.AsyncIterator[bytes]:
    yield body


class _NoServer(serving.HttpServer):
    """Serves nobody: calls go to the applications directly."""

    async def serve(self, app, address, stop, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """See :class:`serving.HttpServer`."""
        task_status.started()
        await stop.wait()


@attrs.define(eq=False)
class RunningEntry:
    """An entry and what ends it."""

    app: entry.EntryApplication
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    stop_asked: trio.Event = attrs.field(factory=trio.Event)
    ended: trio.Event = attrs.field(factory=trio.Event)

    async def run(self, *, task_status: trio.TaskStatus) -> None:
        """Run until stopped or killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                await self.app.start(nursery)
                task_status.started()
                await self.stop_asked.wait()
                await self.app.stop()
                nursery.cancel_scope.cancel()
        self.ended.set()


@attrs.frozen
class Answer:
    """An HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


@attrs.define(eq=False)
class MemorySite:
    """Entries over one platform, one network and one set of backend servers.

    :ivar peers: the entries that each one has in its settings
    :ivar options: further settings of entries
    """

    nursery: trio.Nursery
    peers: tuple[str, ...]
    platform: memory.MemoryPlatform = attrs.field(factory=memory.MemoryPlatform)
    network: memory.MemoryNetwork = attrs.field(factory=memory.MemoryNetwork)
    backends: MemoryBackends = attrs.field(factory=MemoryBackends)
    options: dict[str, object] = attrs.field(factory=dict)
    entries: dict[str, RunningEntry] = attrs.field(factory=dict)

    async def start(self, *names: str) -> None:
        """Start entries."""
        for name in names:
            self.entries[name] = RunningEntry(self.new_entry(name))
            await self.nursery.start(self.entries[name].run)

    def new_entry(self, name: str) -> entry.EntryApplication:
        """Return an entry that has not started."""
        own = settings.EntrySettings(
            entry=name,
            availability_zone="zone-a",
            callers_address=f"{name}:1",
            operators_address=f"{name}:2",
            peers_address=f"{name}:3",
            platform_url="http://memory",
            operator_token=keyring.from_text(TOKEN),
            peer_key=keyring.from_text(PEER_KEY),
            peers=tuple(f"{each}:3" for each in self.peers if each != name),
            **({"seed": 1, "directory_keep_s": 1.0} | self.options),
        )
        return entry.EntryApplication(
            own,
            external.Adapters(
                platform=self.platform.client(name),
                vm_list=vms.EmptyVmList(),
                backends=self.backends,
                peers=self.network.transport(name),
                server=_NoServer(),
            ),
        )

    async def kill(self, name: str) -> None:
        """End an entry without warning."""
        running = self.entries.pop(name)
        running.scope.cancel()
        await running.ended.wait()

    async def stop(self, name: str) -> None:
        """End an entry as planned."""
        running = self.entries.pop(name)
        running.stop_asked.set()
        await running.ended.wait()

    def app(self, name: str) -> entry.EntryApplication:
        """Return a running entry."""
        return self.entries[name].app

    async def operate(self, name: str, method: str, path: str, body: object = None) -> Answer:
        """Call an entry's operators' interface."""
        headers = {"authorization": f"Bearer {TOKEN}"}
        return await call(self.app(name).operators, method, f"/operators/v1/{path}", body, headers)

    async def request(self, name: str, method: str, path: str, body: object = None) -> Answer:
        """Call an entry as a caller."""
        return await call(self.app(name).callers, method, path, body, {})


async def call(
    app: collections.abc.Callable,
    method: str,
    path: str,
    body: object,
    headers: collections.abc.Mapping[str, str],
) -> Answer:
    """Call an ASGI application directly and read its whole answer."""
    content = b"" if body is None else json.dumps(body).encode()
    incoming = [{"type": "http.request", "body": content, "more_body": False}]
    status, lines, parts = 0, {}, bytearray()

    async def receive() -> dict:
        await trio.lowlevel.checkpoint()
        if incoming:
            return incoming.pop()
        return await trio.sleep_forever()

    async def send(message: dict) -> None:
        nonlocal status
        await trio.lowlevel.checkpoint()
        if message["type"] == "http.response.start":
            status = message["status"]
            lines.update((key.decode(), value.decode()) for key, value in message["headers"])
        else:
            parts.extend(message.get("body", b""))

    raw = [(key.lower().encode(), value.encode()) for key, value in headers.items()]
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "query_string": b"",
        "headers": raw,
    }
    await app(scope, receive, send)
    return Answer(status, lines, bytes(parts))
