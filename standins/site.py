"""Runs a whole site, stand-ins and entries, as separate processes for the demo and for tests."""

import collections.abc
import contextlib
import json
import pathlib
import tempfile

import attrs
import httpcore
import trio

from standins import processes

OPERATOR_TOKEN = "stand-in-operator-token"
PEER_KEY = "stand-in-peer-key-0000"
KEYVALUE_PROCESS = "keyvalue"
CALL_TIMEOUT_S = 30.0


@attrs.frozen
class VmSpec:
    """A VM of the site: an engine in a fabric domain, or the server of a plain service.

    :ivar address: ``IP:port`` of its backend server
    :ivar service: name of the plain service; empty for an engine
    """

    vm: str
    availability_zone: str
    address: str
    fabric_domain: str = ""
    service: str = ""


@attrs.frozen
class EntrySpec:
    """An entry's name and addresses.

    :ivar callers: ``IP:port`` for callers
    :ivar operators: ``IP:port`` for operators
    :ivar peers: ``IP:port`` for other entries
    """

    entry: str
    availability_zone: str
    callers: str
    operators: str
    peers: str


@attrs.frozen
class Response:
    """A complete HTTP response.

    :ivar headers: headers by lower-case name
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Return the body decoded from JSON."""
        return json.loads(self.body)


@attrs.define(eq=False)
class Site:
    """The processes of a site and their addresses, with methods to call them.

    :ivar process_group: the processes by name
    :ivar engine_options: further command-line arguments of the engine stand-ins
    :ivar service_options: further command-line arguments of the service stand-ins
    :ivar entry_variables: further environment variables of the entries
    :ivar is_one_engine_process: whether one process runs all engines; such a site has no plain
        services
    """

    process_group: processes.ProcessGroup
    vms: tuple[VmSpec, ...]
    entries: tuple[EntrySpec, ...]
    keyvalue_address: str
    engine_options: tuple[str, ...] = ()
    service_options: tuple[str, ...] = ()
    entry_variables: dict[str, str] = attrs.field(factory=dict)
    is_one_engine_process: bool = False

    async def start(self) -> None:
        """Start all processes and wait until they listen."""
        await self.start_keyvalue()
        if self.is_one_engine_process:
            await self._start_engines_together()
        else:
            for vm in self.vms:
                await self.start_vm(vm.vm)
        for each in self.entries:
            await self.start_entry(each.entry)
        for vm in self.vms:
            await processes.wait_listening(vm.address)
        for each in self.entries:
            await processes.wait_listening(each.callers)
            await processes.wait_listening(each.operators)

    async def start_keyvalue(self) -> None:
        """Start the key-value stand-in."""
        arguments = ["standins", "keyvalue", "--address", self.keyvalue_address]
        await self.process_group.start(KEYVALUE_PROCESS, arguments)
        await processes.wait_listening(self.keyvalue_address)

    async def start_vm(self, name: str) -> None:
        """Start the stand-in of one VM's backend server."""
        vm = self.vm(name)
        kind = "service" if vm.service else "engine"
        options = self.service_options if vm.service else self.engine_options
        arguments = ["standins", kind, "--vm", vm.vm, "--address", vm.address, *options]
        await self.process_group.start(vm.vm, arguments)

    async def _start_engines_together(self) -> None:
        arguments = ["standins", "engine", *self.engine_options]
        for vm in self.vms:
            arguments += ["--server", f"{vm.vm}={vm.address}"]
        await self.process_group.start("engines", arguments)

    async def start_entry(self, name: str) -> None:
        """Start an entry."""
        await self.process_group.start(name, ["toucanhold", "entry"], self.environment_of(name))

    def vm(self, name: str) -> VmSpec:
        """Return a VM by name."""
        return next(vm for vm in self.vms if vm.vm == name)

    def entry(self, name: str) -> EntrySpec:
        """Return an entry by name."""
        return next(each for each in self.entries if each.entry == name)

    def environment_of(self, name: str) -> dict[str, str]:
        """Return an entry's settings as environment variables."""
        spec = self.entry(name)
        peers = ",".join(each.peers for each in self.entries if each.entry != name)
        return {
            "TOUCANHOLD_ENTRY": spec.entry,
            "TOUCANHOLD_AVAILABILITY_ZONE": spec.availability_zone,
            "TOUCANHOLD_CALLERS_ADDRESS": spec.callers,
            "TOUCANHOLD_OPERATORS_ADDRESS": spec.operators,
            "TOUCANHOLD_PEERS_ADDRESS": spec.peers,
            "TOUCANHOLD_PEERS": peers,
            "TOUCANHOLD_PLATFORM_URL": f"http://{self.keyvalue_address}",
            "TOUCANHOLD_OPERATOR_TOKEN": OPERATOR_TOKEN,
            "TOUCANHOLD_PEER_KEY": PEER_KEY,
            "TOUCANHOLD_DIRECTORY_KEEP_S": "0.5",
            **self.entry_variables,
        }

    async def call_operators(
        self, name: str, method: str, path: str, body: object = None
    ) -> Response:
        """Send a request to the operators' interface of an entry."""
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = f"http://{self.entry(name).operators}/operators/v1/{path}"
        return await call(method, url, body, headers)

    async def status(self, name: str) -> dict:
        """Return an entry's status."""
        return (await self.call_operators(name, "GET", "status")).json()

    async def wait_status(
        self, name: str, predicate: collections.abc.Callable[[dict], bool], timeout_s: float = 15
    ) -> dict:
        """Return the status of an entry once ``predicate`` holds for it.

        :raises trio.TooSlowError: after ``timeout_s`` seconds
        """
        with trio.fail_after(timeout_s):
            while True:
                with contextlib.suppress(httpcore.NetworkError, httpcore.TimeoutException):
                    status = await self.status(name)
                    if predicate(status):
                        return status
                await trio.sleep(0.05)


def new_site(
    folder: pathlib.Path,
    zones: collections.abc.Sequence[str],
    engines_per_zone: int,
    service: str,
    services_per_zone: int,
    entries: int,
) -> Site:
    """Return a site that is not started; each availability zone is one fabric domain.

    :param folder: folder of the log files
    :param service: name of the plain service
    :param entries: number of entries
    """
    counts = len(zones) * (engines_per_zone + services_per_zone)
    addresses = iter(processes.free_addresses(counts + 3 * entries + 1))
    vms = []
    for zone in zones:
        for number in range(engines_per_zone):
            name = f"vm-{zone}-{number}"
            vms.append(VmSpec(name, zone, next(addresses), fabric_domain=f"fabric-{zone}"))
        for number in range(services_per_zone):
            vms.append(VmSpec(f"svc-{zone}-{number}", zone, next(addresses), service=service))
    specs = tuple(
        EntrySpec(f"entry-{number}", zones[number % len(zones)], *[next(addresses) for _ in "123"])
        for number in range(entries)
    )
    process_group = processes.ProcessGroup(folder)
    return Site(process_group, tuple(vms), specs, next(addresses))


def document_for(site: Site, services: collections.abc.Sequence[dict]) -> dict:
    """Return the inventory and rules of a site as an operators' document.

    :param services: services in the document's format
    """
    vms = [
        {
            "vm": vm.vm,
            "address": vm.address,
            "availability_zone": vm.availability_zone,
            "fabric_domain": vm.fabric_domain,
            "accelerators": 0 if vm.service else 1,
            "kind": "service" if vm.service else "engine",
            "service": vm.service,
            "fencing": "checked",
        }
        for vm in site.vms
    ]
    zones = sorted({vm.availability_zone for vm in site.vms})
    return {
        "format_version": 1,
        "inventory": {"vms": vms},
        "rules": {
            "availability_zones": [{"name": zone} for zone in zones],
            "services": list(services),
        },
    }


@contextlib.asynccontextmanager
async def running(site: Site) -> collections.abc.AsyncIterator[Site]:
    """Start a site and kill all of its processes afterwards."""
    async with site.process_group:
        await site.start()
        yield site


def log_folder() -> pathlib.Path:
    """Return a new temporary folder for log files."""
    return pathlib.Path(tempfile.mkdtemp(prefix="toucanhold-"))


async def call(
    method: str,
    url: str,
    body: object = None,
    headers: collections.abc.Mapping[str, str] | None = None,
) -> Response:
    """Send one request on its own connection and read the complete response.

    :raises httpcore.RemoteProtocolError: when the connection ends before the response does
    """
    content = b"" if body is None else json.dumps(body).encode()
    request_headers = {"content-type": "application/json", **(headers or {})}
    timeouts = dict.fromkeys(("connect", "write", "read", "pool"), CALL_TIMEOUT_S)
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        response = await pool.request(
            method, url, headers=request_headers, content=content, extensions={"timeout": timeouts}
        )
    response_headers = {key.decode().lower(): value.decode() for key, value in response.headers}
    return Response(response.status, response_headers, response.content)
