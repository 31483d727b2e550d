"""A whole site in one process: entries, backend servers, platform, callers and operators."""

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
SAMPLE_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 20
MODEL = "writer"


@attrs.define
class Plan:
    """What the site consists of.

    :ivar entries: number of entries, spread over the availability zones
    :ivar zones: names of the availability zones; each is one fabric domain
    :ivar engines: number of engine VMs in each availability zone
    :ivar plain: name of the plain service, with one server in each availability zone
    :ivar ignoring: VMs whose engines do not check fencing numbers
    """

    entries: int = 3
    zones: tuple[str, ...] = ("a", "b")
    engines: int = 4
    drafts: str = "drafts"
    replicas: int = 2
    vms_per_replica: int = 2
    plain: str = "field"
    ignoring: tuple[str, ...] = ()
    seed: int = 1


@attrs.define(eq=False)
class Entry:
    """One process of an entry."""

    name: str
    process: int
    app: entry.EntryApplication
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    stop_requested: trio.Event = attrs.field(factory=trio.Event)
    handlers: trio.Nursery | None = None
    alive: bool = True
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
class _Server(serving.HttpServer):
    """Keeps an entry's applications so that requests reach them without sockets."""

    listening: dict[str, _Server]
    note_error: collections.abc.Callable[[Exception], None]
    open: int = 0
    app: object = None
    _idle: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, app, address: str, stop: trio.Event, *, task_status) -> None:
        own = _Server(self.listening, self.note_error, app=app)
        self.listening[address] = own
        task_status.started()
        try:
            await stop.wait()
        finally:
            del self.listening[address]
        while own.open:
            await own._idle.wait()

    async def handle(self, scope: dict, receive, send) -> None:
        self.open += 1
        try:
            await self.app(scope, receive, send)
        except Exception as error:
            # An HTTP server answers 500 and goes on.
            self.note_error(error)
        finally:
            self.open -= 1
            if not self.open:
                self._idle.set()
                self._idle = trio.Event()


@attrs.define(eq=False, slots=False)
class Site:
    """The bench. Use :func:`run` to get one."""

    plan: Plan
    nursery: trio.Nursery
    pauser: network.Pauser

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.plan.seed)
        self.history = history.History()
        self.network = network.Network()
        self.peers = _PeerNetwork()
        self.platform = platform.Platform(platform.RecordingStore(self.history))
        self.vm_list = _VmList()
        self.listening: dict[str, _Server] = {}
        self.entries: dict[str, Entry] = {}
        self.waiting_calls = 0
        self.servers: dict[str, servers.Server] = {}
        self.disturbed_s: dict[str, float] = {}
        for zone in self.plan.zones:
            names = [f"{zone}{number}" for number in range(1, self.plan.engines + 1)]
            for name in names:
                self._add_server(name, zone, f"fabric-{zone}")
            if self.plan.plain:
                self._add_server(f"{zone}s", zone, service=self.plan.plain)

    def _add_server(self, name: str, zone: str, domain: str = "", service: str = "") -> None:
        address = f"10.0.{ord(zone[-1])}.{len(self.servers) + 1}:8000"
        fencing = "ignored" if name in self.plan.ignoring else "checked"
        self.servers[name] = servers.Server(name, zone, address, self, domain, service, fencing)

    def server_at(self, address: str) -> servers.Server:
        """Return the server at an address."""
        return next(each for each in self.servers.values() if each.address == address)

    def zone_of(self, vm: str) -> str:
        """Return a VM's availability zone."""
        return self.servers[vm].availability_zone

    def names(self) -> list[str]:
        """Return the names of all entries that there should be."""
        return [f"entry-{number}" for number in range(1, self.plan.entries + 1)]

    def document(self) -> dict:
        """Return inventory and rules in the operators' form."""
        own = [
            {
                "vm": each.vm,
                "address": each.address,
                "availability_zone": each.availability_zone,
                "fabric_domain": each.fabric_domain,
                "accelerators": 0 if each.service else 1,
                "kind": "service" if each.service else "engine",
                "service": each.service,
                "fencing": each.fencing,
            }
            for each in self.servers.values()
        ]
        drafts = {"name": self.plan.drafts, "model": MODEL, "version": "1"}
        drafts |= {"replicas": self.plan.replicas, "vms_per_replica": self.plan.vms_per_replica}
        field_service = {"name": self.plan.plain, "kind": "plain", "importance": 10}
        field_service["non_idempotent"] = [{"method": "POST", "path": "/*"}]
        zones = [{"name": zone} for zone in self.plan.zones]
        found = [drafts, field_service] if self.plan.plain else [drafts]
        own_rules = {"availability_zones": zones, "services": found}
        return {"format_version": 1, "inventory": {"vms": own}, "rules": own_rules}

    def start(self, function, *arguments) -> None:
        """Start a task of the bench itself, whichever process's event brought it about."""
        network.start_as("", self.nursery, function, *arguments)

    # Entries

    def start_entry(self, name: str) -> None:
        """Start an entry's process."""
        former = self.entries.get(name)
        number = name.rpartition("-")[2]
        own = settings.EntrySettings(
            entry=name,
            availability_zone=self.plan.zones[(int(number) - 1) % len(self.plan.zones)],
            callers_address=f"10.1.0.{number}:7000",
            operators_address=f"10.1.0.{number}:7001",
            peers_address=f"10.1.0.{number}:7002",
            platform_url="http://memory",
            operator_token=keyring.from_text(TOKEN),
            peer_key=keyring.from_text("bench-peer-key-0000"),
            peers=tuple(f"10.1.0.{each[6:]}:7002" for each in self.names() if each != name),
            directory_keep_s=0.5,
            seed=self.plan.seed,
        )
        adapters = external.Adapters(
            platform=self.platform.client(name),
            vm_list=self.vm_list,
            backends=servers.MemoryBackends(self, name),
            peers=self.peers.transport(name),
            server=_Server(self.listening, functools.partial(self._note_error, name)),
        )
        process = former.process + 1 if former else 1
        new = Entry(name, process, entry.EntryApplication(own, adapters))
        self.entries[name] = new
        network.start_as(name, self.nursery, self._run_entry, new)

    async def _run_entry(self, own: Entry) -> None:
        self._note(own, "started")
        detail = ""
        with own.scope:
            try:
                async with trio.open_nursery() as own.handlers:
                    own.handlers.start_soon(self._sample, own)
                    await own.app.run_until(own.stop_requested.wait)
                    own.handlers.cancel_scope.cancel()
            except Exception as error:
                detail = repr(error.exceptions if hasattr(error, "exceptions") else error)
        if own.alive:
            self._note(own, "broke down" if detail else "stopped", detail)
        own.alive = False

    async def _sample(self, own: Entry) -> None:
        known = -1
        while True:
            current = own.app.configuration.current
            if current.number != known:
                known = current.number
                self.history.record(
                    history.InForce(own.name, own.process, known, current.zones_out)
                )
            with trio.move_on_after(SAMPLE_INTERVAL_S):
                await own.app.configuration.wait_changed()

    def _note(self, own: Entry, change: str, detail: str = "") -> None:
        self.history.record(history.EntryChanged(own.name, own.process, change, detail))

    def _note_error(self, name: str, error: Exception) -> None:
        self._note(self.entries[name], "broke off", repr(error))

    def kill_entry(self, name: str) -> None:
        """End an entry's process without warning: from now on it reaches nothing."""
        own = self.entries[name]
        if own.alive:
            own.alive = False
            self._note(own, "killed")
            self.platform.faults[name].mode = "down"
            own.scope.cancel()
            self.pauser.resume(name)

    def replace_entry(self, name: str) -> None:
        """Start a new process in a killed one's place."""
        if not self.entries[name].alive:
            self.platform.faults[name].mode = "up"
            self.start_entry(name)

    def pause_entry(self, name: str) -> None:
        """Stop an entry's tasks; the clock goes on."""
        if self.entries[name].alive:
            self._note(self.entries[name], "paused")
            self.pauser.pause(name)

    def resume_entry(self, name: str) -> None:
        """Let a paused entry go on."""
        if self.pauser.is_paused(name):
            self._note(self.entries[name], "resumed")
            self.pauser.resume(name)

    def stop_entry(self, name: str) -> None:
        """Begin a planned stop."""
        self._note(self.entries[name], "stopping")
        self.entries[name].stop_requested.set()

    async def slow(self, owner: str, scope: trio.CancelScope) -> None:
        """Give a process a fifth of its time until the scope is cancelled."""
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
        """Send one request to an entry; return status, headers, body, and whether it is whole."""
        own = self.listening.get(address)
        name = f"entry-{address.rpartition(':')[0].rpartition('.')[2]}"
        if own is None or not self.entries[name].alive:
            return 0, {}, b"", False
        connection = network.Connection(self.network, "caller", name, body)
        scope = network.http_scope(
            method, path, [(key.encode(), value.encode()) for key, value in headers.items()]
        )
        handlers = self.entries[name].handlers
        network.start_as(name, handlers, connection.serve, own.handle, scope)
        status, found, content, whole = 0, {}, bytearray(), False
        with contextlib.suppress(network.ConnectionCutError):
            while not whole:
                message = await connection.next_message()
                if message["type"] == "http.response.start":
                    status = message["status"]
                    found = {key.decode(): value.decode() for key, value in message["headers"]}
                    continue
                content += message["body"]
                whole = not message.get("more_body")
                if on_part is not None:
                    on_part()
        connection.leave()
        return status, found, bytes(content), whole

    async def call(self, sent: history.Sent) -> history.Answered:
        """Send a caller's request and record its answer."""
        self.history.record(sent)
        self.waiting_calls += 1
        parts = []

        def on_part() -> None:
            if not parts:
                self.history.record(history.FirstPart(sent.name, sent.entry))
            parts.append(1)

        method, path, body, headers = self._form(sent)
        address = self.entries[sent.entry].app.settings.callers_address
        answer = await self.request(address, method, path, body, headers, on_part)
        status, found, content, whole = answer
        outcome = ""
        if whole and status >= 400 and "problem" in found.get("content-type", ""):
            outcome = json.loads(content).get("outcome", "")
        request_id = found.get("x-request-id", "")
        answered = history.Answered(sent, status, whole, content, request_id, outcome)
        self.history.record(answered)
        self.waiting_calls -= 1
        return answered

    def _form(self, sent: history.Sent) -> tuple[str, str, bytes, dict[str, str]]:
        headers = {"toucanhold-timeout-s": str(REQUEST_TIMEOUT_S)}
        if sent.kind in ("chat", "stream"):
            messages = [{"role": "user", "content": sent.content}]
            body = {"model": self.plan.drafts, "messages": messages, "max_tokens": TOKENS}
            body["stream"] = sent.kind == "stream"
            return "POST", "/v1/chat/completions", json.dumps(body).encode(), headers
        prefix = f"/services/{self.plan.plain}"
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
        """Call an entry's operators' interface; status 0 without an answer."""
        address = self.entries[name].app.settings.operators_address
        content = b"" if body is None else json.dumps(body).encode()
        headers = {"authorization": f"Bearer {TOKEN}"}
        status, _, answer, whole = await self.request(
            address, method, f"/operators/v1/{path}", content, headers
        )
        return (status, json.loads(answer)) if whole else (0, {})

    async def set_zone(self, name: str, zone: str, out: bool) -> history.Commanded:
        """Take an availability zone out, or return it."""
        began_s = trio.current_time()
        self.history.record(history.Asked(name))
        path = f"availability-zones/{zone}"
        status, answer = await self.operate(name, "PUT", path, {"out": out})
        return self._commanded(name, status, began_s, answer, zone, out)

    async def apply(self, name: str, document: dict, expected: int) -> history.Commanded:
        """Replace inventory and rules."""
        began_s = trio.current_time()
        self.history.record(history.Asked(name))
        body = {"document": document, "expected": expected}
        status, answer = await self.operate(name, "PUT", "document", body)
        return self._commanded(name, status, began_s, answer)

    def _commanded(
        self, name: str, status: int, began_s: float, answer: dict, zone: str = "", out=False
    ) -> history.Commanded:
        number = answer.get("configuration", 0) if status == 200 else 0
        everywhere = status in (200, 202) and not answer.get("not_in_force")
        command = history.Commanded(name, status, began_s, number, zone, out, everywhere)
        self.history.record(command)
        return command

    def all_serving(self) -> bool:
        """Tell whether each live entry sees all replicas, and a server of each plain service."""
        for own in self.entries.values():
            if own.alive:
                seen = own.app.status_composer.compose()
                serving = {each.service: each.serving for each in seen.services}
                if serving.get(self.plan.drafts, 0) < self.plan.replicas:
                    return False
                if self.plan.plain and not serving.get(self.plan.plain):
                    return False
        return True

    async def wait(self, predicate: collections.abc.Callable[[], bool], timeout_s: float) -> bool:
        """Tell whether ``predicate`` came to hold in time."""
        with trio.move_on_after(timeout_s):
            while not predicate():
                await trio.sleep(SAMPLE_INTERVAL_S)
            return True
        return False


def run(plan: Plan, drive: collections.abc.Callable[[Site], collections.abc.Awaitable[None]]):
    """Run ``drive`` with a site on the test clock and return the site; the seed decides all."""
    # Only this makes the order of tasks that are ready at once the same in each run.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(plan.seed)
    pauser = network.Pauser()
    clock = trio.testing.MockClock(autojump_threshold=0)
    rng = random.Random(plan.seed)
    logging.disable(logging.CRITICAL)
    try:
        with mock.patch.object(uuid, "uuid4", lambda: uuid.UUID(int=rng.getrandbits(128))):
            return trio.run(_run, plan, drive, pauser, clock=clock, instruments=[pauser])
    finally:
        logging.disable(logging.NOTSET)


async def _run(plan: Plan, drive, pauser: network.Pauser) -> Site:
    async with trio.open_nursery() as nursery:
        site = Site(plan, nursery, pauser)
        await drive(site)
        for own in site.entries.values():
            site.kill_entry(own.name)
        for owner in list(site.servers):
            pauser.resume(owner)
        nursery.cancel_scope.cancel()
    return site


async def serve_first(site: Site) -> None:
    """Start all entries, apply the document, and wait until everything serves.

    :raises AssertionError: when the site does not come to serve
    """
    for name in site.names():
        site.start_entry(name)
    await trio.sleep(2)
    command = await site.apply("entry-1", site.document(), 0)
    assert command.status == 200, command
    assert await site.wait(site.all_serving, 30), "the site does not come to serve"
