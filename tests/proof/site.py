"""Simulates a site in one process: entries, backend servers, platform, callers, operators."""

from __future__ import annotations

import collections.abc
import contextlib
import functools
import json
import logging
import random
import uuid
from unittest import mock

import attrs
import trio
import trio.testing

from standins import memory
from tests.proof import history, network, platform, servers
from toucanhold import entry, external, keyring, serving, settings
from toucanhold.coordination import vms
from toucanhold.peers import transport

TOKEN = "bench-operator-token"
TOKENS = 12
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 20
MODEL = "writer"


@attrs.define
class SiteLayout:
    """Composition of a site.

    :ivar entries: number of entries, spread over the availability zones
    :ivar zones: names of the availability zones; each is one fabric domain
    :ivar engines: number of engine VMs in each availability zone
    :ivar model_service: name of the service that runs a model
    :ivar plain_service: name of the plain service, with one server in each availability zone
    :ivar fencing_ignored_vms: VMs whose engines do not check fencing numbers
    """

    entries: int = 3
    zones: tuple[str, ...] = ("a", "b")
    engines: int = 4
    model_service: str = "drafts"
    replicas: int = 2
    vms_per_replica: int = 2
    plain_service: str = "field"
    fencing_ignored_vms: tuple[str, ...] = ()
    seed: int = 1


@attrs.define(eq=False)
class EntryProcess:
    """One process of an entry.

    :ivar process_number: number of processes of this entry so far
    :ivar handlers: nursery of the tasks that serve requests
    """

    name: str
    process_number: int
    app: entry.EntryApplication
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    stop_requested: trio.Event = attrs.field(factory=trio.Event)
    handlers: trio.Nursery | None = None
    is_alive: bool = True
    slow_scope: trio.CancelScope | None = None


class _VmList(vms.VmList):
    def __init__(self) -> None:
        self.leaving: frozenset[str] = frozenset()

    async def read_leaving(self) -> frozenset[str]:
        await trio.lowlevel.checkpoint()
        return self.leaving


class _PeerNetwork(memory.MemoryNetwork):
    def listen(
        self, address: str, name: str, handler: transport.StreamHandler, nursery: trio.Nursery
    ) -> None:
        super().listen(address, name, functools.partial(_accept, name, handler), nursery)


async def _accept(owner: str, handler: transport.StreamHandler, stream: trio.abc.Stream) -> None:
    network.OWNER.set(owner)
    await trio.lowlevel.checkpoint()
    await handler(stream)


@attrs.define(eq=False)
class _MemoryHttpServer(serving.HttpServer):
    """Registers an entry's applications by address, so that requests need no sockets."""

    servers_by_address: dict[str, _MemoryHttpServer]
    report_error: collections.abc.Callable[[Exception], None]
    open_requests: int = 0
    app: object = None
    _requests_finished: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, app, address: str, stop: trio.Event, *, task_status) -> None:
        server = _MemoryHttpServer(self.servers_by_address, self.report_error, app=app)
        self.servers_by_address[address] = server
        task_status.started()
        try:
            await stop.wait()
        finally:
            del self.servers_by_address[address]
        while server.open_requests:
            await server._requests_finished.wait()

    async def handle(self, scope: dict, receive, send) -> None:
        self.open_requests += 1
        try:
            await self.app(scope, receive, send)
        except Exception as error:
            # Like an HTTP server, keep running after an error in the application.
            self.report_error(error)
        finally:
            self.open_requests -= 1
            if not self.open_requests:
                self._requests_finished.set()
                self._requests_finished = trio.Event()


@attrs.define(eq=False, slots=False)
class Site:
    """A simulated site; :func:`run` creates it.

    :ivar pending_calls: number of callers' requests without a complete response
    :ivar disturbed_at_s: time of the last disturbance by process
    """

    layout: SiteLayout
    nursery: trio.Nursery
    pauser: network.Pauser

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.layout.seed)
        self.history = history.History()
        self.network = network.Network()
        self.peers = _PeerNetwork()
        self.platform = platform.Platform(platform.RecordingStore(self.history))
        self.vm_list = _VmList()
        self.servers_by_address: dict[str, _MemoryHttpServer] = {}
        self.entries: dict[str, EntryProcess] = {}
        self.pending_calls = 0
        self.servers: dict[str, servers.Server] = {}
        self.disturbed_at_s: dict[str, float] = {}
        for zone in self.layout.zones:
            names = [f"{zone}{number}" for number in range(1, self.layout.engines + 1)]
            for name in names:
                self._add_server(name, zone, f"fabric-{zone}")
            if self.layout.plain_service:
                self._add_server(f"{zone}s", zone, service=self.layout.plain_service)

    def _add_server(self, name: str, zone: str, domain: str = "", service: str = "") -> None:
        address = f"10.0.{ord(zone[-1])}.{len(self.servers) + 1}:8000"
        fencing = "ignored" if name in self.layout.fencing_ignored_vms else "checked"
        self.servers[name] = servers.Server(name, zone, address, self, domain, service, fencing)

    def server_at(self, address: str) -> servers.Server:
        """Return the backend server at an address.

        :raises StopIteration: if there is none
        """
        return next(server for server in self.servers.values() if server.address == address)

    def zone_of(self, vm: str) -> str:
        """Return a VM's availability zone."""
        return self.servers[vm].availability_zone

    def entry_names(self) -> list[str]:
        """Return the names of all entries, running or not."""
        return [f"entry-{number}" for number in range(1, self.layout.entries + 1)]

    def document(self) -> dict:
        """Return inventory and rules in the operators' JSON format."""
        vms_of_site = [
            {
                "vm": server.vm,
                "address": server.address,
                "availability_zone": server.availability_zone,
                "fabric_domain": server.fabric_domain,
                "accelerators": 0 if server.service else 1,
                "kind": "service" if server.service else "engine",
                "service": server.service,
                "fencing": server.fencing,
            }
            for server in self.servers.values()
        ]
        model_service = {"name": self.layout.model_service, "model": MODEL, "version": "1"}
        model_service |= {
            "replicas": self.layout.replicas,
            "vms_per_replica": self.layout.vms_per_replica,
        }
        field_service = {"name": self.layout.plain_service, "kind": "plain", "importance": 10}
        field_service["non_idempotent"] = [{"method": "POST", "path": "/*"}]
        zones = [{"name": zone} for zone in self.layout.zones]
        services = [model_service, field_service] if self.layout.plain_service else [model_service]
        rules = {"availability_zones": zones, "services": services}
        return {"format_version": 1, "inventory": {"vms": vms_of_site}, "rules": rules}

    def start(self, function, *arguments) -> None:
        """Start a task that belongs to no simulated process, whichever process the caller is in."""
        network.start_as("", self.nursery, function, *arguments)

    # Entries

    def start_entry(self, name: str) -> None:
        """Start a process of an entry."""
        previous = self.entries.get(name)
        number = name.rpartition("-")[2]
        entry_settings = settings.EntrySettings(
            entry=name,
            availability_zone=self.layout.zones[(int(number) - 1) % len(self.layout.zones)],
            callers_address=f"10.1.0.{number}:7000",
            operators_address=f"10.1.0.{number}:7001",
            peers_address=f"10.1.0.{number}:7002",
            platform_url="http://memory",
            operator_token=keyring.from_text(TOKEN),
            peer_key=keyring.from_text("bench-peer-key-0000"),
            peers=tuple(
                f"10.1.0.{other[6:]}:7002" for other in self.entry_names() if other != name
            ),
            directory_keep_s=0.5,
            seed=self.layout.seed,
        )
        adapters = external.Adapters(
            platform=self.platform.client(name),
            vm_list=self.vm_list,
            backends=servers.MemoryBackends(self, name),
            peers=self.peers.transport(name),
            server=_MemoryHttpServer(
                self.servers_by_address, functools.partial(self._record_request_error, name)
            ),
        )
        process = previous.process_number + 1 if previous else 1
        new_process = EntryProcess(name, process, entry.EntryApplication(entry_settings, adapters))
        self.entries[name] = new_process
        network.start_as(name, self.nursery, self._run_entry, new_process)

    async def _run_entry(self, entry_process: EntryProcess) -> None:
        self._record_change(entry_process, "started")
        detail = ""
        with entry_process.scope:
            try:
                async with trio.open_nursery() as entry_process.handlers:
                    entry_process.handlers.start_soon(self._record_configurations, entry_process)
                    await entry_process.app.run_until(entry_process.stop_requested.wait)
                    entry_process.handlers.cancel_scope.cancel()
            except Exception as error:
                detail = repr(error.exceptions if hasattr(error, "exceptions") else error)
        if entry_process.is_alive:
            self._record_change(entry_process, "broke down" if detail else "stopped", detail)
        entry_process.is_alive = False

    async def _record_configurations(self, entry_process: EntryProcess) -> None:
        last_number = -1
        while True:
            current = entry_process.app.configuration.current
            if current.number != last_number:
                last_number = current.number
                self.history.record(
                    history.ConfigurationApplied(
                        entry_process.name,
                        entry_process.process_number,
                        last_number,
                        current.zones_out,
                    )
                )
            with trio.move_on_after(POLL_INTERVAL_S):
                await entry_process.app.configuration.wait_changed()

    def _record_change(self, entry_process: EntryProcess, change: str, detail: str = "") -> None:
        self.history.record(
            history.EntryChanged(entry_process.name, entry_process.process_number, change, detail)
        )

    def _record_request_error(self, name: str, error: Exception) -> None:
        self._record_change(self.entries[name], "broke off", repr(error))

    def kill_entry(self, name: str) -> None:
        """Terminate an entry's process without warning; it can no longer reach the platform."""
        entry_process = self.entries[name]
        if entry_process.is_alive:
            entry_process.is_alive = False
            self._record_change(entry_process, "killed")
            self.platform.faults[name].mode = "down"
            entry_process.scope.cancel()
            self.pauser.resume(name)

    def replace_entry(self, name: str) -> None:
        """Start a new process for an entry that is not alive."""
        if not self.entries[name].is_alive:
            self.platform.faults[name].mode = "up"
            self.start_entry(name)

    def pause_entry(self, name: str) -> None:
        """Suspend an entry's tasks while the clock advances."""
        if self.entries[name].is_alive:
            self._record_change(self.entries[name], "paused")
            self.pauser.pause(name)

    def resume_entry(self, name: str) -> None:
        """Resume a paused entry."""
        if self.pauser.is_paused(name):
            self._record_change(self.entries[name], "resumed")
            self.pauser.resume(name)

    def stop_entry(self, name: str) -> None:
        """Request a graceful shutdown of an entry."""
        self._record_change(self.entries[name], "stopping")
        self.entries[name].stop_requested.set()

    async def run_slowed(self, owner: str, scope: trio.CancelScope) -> None:
        """Limit a process to a fifth of its time until the scope is cancelled."""
        with scope:
            while True:
                self.pauser.pause(owner)
                await trio.sleep(0.2)
                self.pauser.resume(owner)
                await trio.sleep(0.05)
        self.pauser.resume(owner)

    # Callers and operators

    async def request(
        self, address: str, method: str, path: str, body: bytes, headers: dict, on_part=None
    ) -> tuple[int, dict[str, str], bytes, bool]:
        """Send a request to an entry; return status, headers, body, and whether it is complete.

        :param on_part: called after each part of the body
        """
        server = self.servers_by_address.get(address)
        name = f"entry-{address.rpartition(':')[0].rpartition('.')[2]}"
        if server is None or not self.entries[name].is_alive:
            return 0, {}, b"", False
        connection = network.Connection(self.network, "caller", name, body)
        scope = network.http_scope(
            method, path, [(key.encode(), value.encode()) for key, value in headers.items()]
        )
        handlers = self.entries[name].handlers
        network.start_as(name, handlers, connection.serve, server.handle, scope)
        status, response_headers, content, is_complete = 0, {}, bytearray(), False
        with contextlib.suppress(network.ConnectionCutError):
            while not is_complete:
                message = await connection.next_message()
                if message["type"] == "http.response.start":
                    status = message["status"]
                    response_headers = {
                        key.decode(): value.decode() for key, value in message["headers"]
                    }
                    continue
                content += message["body"]
                is_complete = not message.get("more_body")
                if on_part is not None:
                    on_part()
        connection.close_client()
        return status, response_headers, bytes(content), is_complete

    async def call(self, sent: history.RequestSent) -> history.ResponseReceived:
        """Send a caller's request and record its response."""
        self.history.record(sent)
        self.pending_calls += 1
        parts = []

        def on_part() -> None:
            if not parts:
                self.history.record(history.FirstPartReceived(sent.name, sent.entry))
            parts.append(1)

        method, path, body, headers = self._build_request(sent)
        address = self.entries[sent.entry].app.settings.callers_address
        response = await self.request(address, method, path, body, headers, on_part)
        status, response_headers, content, is_complete = response
        outcome = ""
        if is_complete and status >= 400 and "problem" in response_headers.get("content-type", ""):
            outcome = json.loads(content).get("outcome", "")
        request_id = response_headers.get("x-request-id", "")
        received = history.ResponseReceived(sent, status, is_complete, content, request_id, outcome)
        self.history.record(received)
        self.pending_calls -= 1
        return received

    def _build_request(self, sent: history.RequestSent) -> tuple[str, str, bytes, dict[str, str]]:
        headers = {"toucanhold-timeout-s": str(REQUEST_TIMEOUT_S)}
        if sent.kind in ("chat", "stream"):
            messages = [{"role": "user", "content": sent.content}]
            body = {"model": self.layout.model_service, "messages": messages, "max_tokens": TOKENS}
            body["stream"] = sent.kind == "stream"
            return "POST", "/v1/chat/completions", json.dumps(body).encode(), headers
        prefix = f"/services/{self.layout.plain_service}"
        if sent.kind == "lookup":
            return "GET", f"{prefix}/records/{sent.content}", b"", headers
        if sent.key:
            headers["idempotency-key"] = sent.key
        path, _, _ = sent.content.partition(" ")
        body = json.dumps(sent.content).encode()
        return "POST", f"{prefix}/valves/{path.replace('/', '-')}", body, headers

    async def operate(
        self, name: str, method: str, path: str, body: object = None
    ) -> tuple[int, dict]:
        """Call an entry's operators' API; the status is 0 without a response."""
        address = self.entries[name].app.settings.operators_address
        content = b"" if body is None else json.dumps(body).encode()
        headers = {"authorization": f"Bearer {TOKEN}"}
        status, _, response, is_complete = await self.request(
            address, method, f"/operators/v1/{path}", content, headers
        )
        return (status, json.loads(response)) if is_complete else (0, {})

    async def set_zone(self, name: str, zone: str, out: bool) -> history.ChangeCompleted:
        """Take an availability zone out (``out``) or return it."""
        requested_at_s = trio.current_time()
        self.history.record(history.ChangeRequested(name))
        path = f"availability-zones/{zone}"
        status, response = await self.operate(name, "PUT", path, {"out": out})
        return self._record_change_result(name, status, requested_at_s, response, zone, out)

    async def apply(self, name: str, document: dict, expected: int) -> history.ChangeCompleted:
        """Replace inventory and rules.

        :param expected: number of the configuration that is replaced
        """
        requested_at_s = trio.current_time()
        self.history.record(history.ChangeRequested(name))
        body = {"document": document, "expected": expected}
        status, response = await self.operate(name, "PUT", "document", body)
        return self._record_change_result(name, status, requested_at_s, response)

    def _record_change_result(
        self,
        name: str,
        status: int,
        requested_at_s: float,
        response: dict,
        zone: str = "",
        out=False,
    ) -> history.ChangeCompleted:
        number = response.get("configuration", 0) if status == 200 else 0
        is_in_force_everywhere = status in (200, 202) and not response.get("not_in_force")
        change = history.ChangeCompleted(
            name, status, requested_at_s, number, zone, out, is_in_force_everywhere
        )
        self.history.record(change)
        return change

    def all_serving(self) -> bool:
        """Return whether each live entry sees all replicas and a server of the plain service."""
        for entry_process in self.entries.values():
            if entry_process.is_alive:
                status = entry_process.app.status_composer.compose()
                serving = {service.service: service.serving for service in status.services}
                if serving.get(self.layout.model_service, 0) < self.layout.replicas:
                    return False
                if self.layout.plain_service and not serving.get(self.layout.plain_service):
                    return False
        return True

    async def wait_until(
        self, predicate: collections.abc.Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait for ``predicate`` to hold; return False after ``timeout_s``."""
        with trio.move_on_after(timeout_s):
            while not predicate():
                await trio.sleep(POLL_INTERVAL_S)
            return True
        return False


def run(
    layout: SiteLayout, drive: collections.abc.Callable[[Site], collections.abc.Awaitable[None]]
):
    """Run ``drive`` with a site on the test clock and return the site.

    The seed of the layout determines the whole run.
    """
    # trio shuffles the tasks that are ready at once; only this makes their order reproducible.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(layout.seed)
    pauser = network.Pauser()
    clock = trio.testing.MockClock(autojump_threshold=0)
    rng = random.Random(layout.seed)
    logging.disable(logging.CRITICAL)
    try:
        with mock.patch.object(uuid, "uuid4", lambda: uuid.UUID(int=rng.getrandbits(128))):
            return trio.run(_run, layout, drive, pauser, clock=clock, instruments=[pauser])
    finally:
        logging.disable(logging.NOTSET)


async def _run(layout: SiteLayout, drive, pauser: network.Pauser) -> Site:
    async with trio.open_nursery() as nursery:
        site = Site(layout, nursery, pauser)
        await drive(site)
        for entry_process in site.entries.values():
            site.kill_entry(entry_process.name)
        for owner in list(site.servers):
            pauser.resume(owner)
        nursery.cancel_scope.cancel()
    return site


async def start_serving(site: Site) -> None:
    """Start all entries, apply the document, and wait until everything serves.

    :raises AssertionError: if the site does not serve within 30 s
    """
    for name in site.entry_names():
        site.start_entry(name)
    await trio.sleep(2)
    change = await site.apply("entry-1", site.document(), 0)
    assert change.status == 200, change
    assert await site.wait_until(site.all_serving, 30), "the site does not come to serve"
