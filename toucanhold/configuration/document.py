"""The file that operators write: inventory and rules, as TOML or JSON."""

import collections
import collections.abc
import ipaddress
import json
import pathlib
import tomllib

import attrs

from toucanhold import codec
from toucanhold.configuration import inventory, rules

FORMAT_VERSION = 1
MAX_ACCELERATORS = 64


class DocumentError(Exception):
    """One mistake in a document.

    :ivar path: where it stands, for example ``inventory.vms[3].address``
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path


class InvalidDocumentError(ExceptionGroup):
    """All mistakes of a document, each a :class:`DocumentError`."""

    def derive(self, excs: collections.abc.Sequence[Exception]) -> "InvalidDocumentError":
        """Keep the type when the group is split."""
        return InvalidDocumentError(self.message, excs)


@attrs.frozen
class Document:
    """What an operator applies as a whole."""

    format_version: int
    inventory: inventory.Inventory
    rules: rules.Rules


def load(path: pathlib.Path) -> Document:
    """Read and check a file.

    :raises InvalidDocumentError: naming every mistake
    """
    try:
        return parse(path.read_bytes(), path.suffix)
    except OSError as error:
        raise InvalidDocumentError("cannot read", [DocumentError(str(path), str(error))]) from error


def parse(data: bytes, suffix: str) -> Document:
    """Parse and check the bytes of a document.

    :param suffix: ``.toml`` or ``.json``
    :raises InvalidDocumentError: naming every mistake
    """
    try:
        plain = tomllib.loads(data.decode()) if suffix == ".toml" else json.loads(data)
    except ValueError as error:
        problem = DocumentError("document", str(error))
        raise InvalidDocumentError("not readable", [problem]) from error
    return from_plain(plain)


def from_plain(plain: object) -> Document:
    """Turn decoded TOML or JSON into a checked document.

    :raises InvalidDocumentError: naming every mistake
    """
    try:
        document = codec.from_plain(plain, Document)
    except codec.CodecError as error:
        mistakes = [_shape_error(text) for text in str(error).split("; ")]
        raise InvalidDocumentError("wrong shape", mistakes) from error
    validate(document)
    return document


def validate(document: Document) -> None:
    """Check that a document is consistent.

    :raises InvalidDocumentError: naming every mistake
    """
    mistakes = [
        *_version_mistakes(document),
        *_zone_mistakes(document),
        *_vm_mistakes(document),
        *_service_mistakes(document),
        *_workspace_mistakes(document),
        *_loading_mistakes(document),
    ]
    if mistakes:
        raise InvalidDocumentError("invalid document", mistakes)


Mistakes = collections.abc.Iterator[DocumentError]


def _shape_error(text: str) -> DocumentError:
    problem, _, path = text.partition(" @ $")
    return DocumentError(path.lstrip(".") or "document", problem)


def _version_mistakes(document: Document) -> Mistakes:
    if document.format_version != FORMAT_VERSION:
        yield DocumentError("format_version", f"must be {FORMAT_VERSION}")


def _zone_mistakes(document: Document) -> Mistakes:
    names = [zone.name for zone in document.rules.availability_zones]
    yield from _repeated("rules.availability_zones", "name", names)


def _vm_mistakes(document: Document) -> Mistakes:
    vms = document.inventory.vms
    yield from _repeated("inventory.vms", "vm", [vm.vm for vm in vms])
    yield from _repeated("inventory.vms", "address", [vm.address for vm in vms])
    zones = {zone.name for zone in document.rules.availability_zones}
    services = {service.name: service for service in document.rules.services}
    for index, vm in enumerate(vms):
        path = f"inventory.vms[{index}]"
        if not _is_address(vm.address):
            yield DocumentError(f"{path}.address", f"{vm.address!r} is not IP:port")
        if vm.availability_zone not in zones:
            yield DocumentError(
                f"{path}.availability_zone", f"unknown availability zone {vm.availability_zone!r}"
            )
        if not 0 <= vm.accelerators <= MAX_ACCELERATORS:
            yield DocumentError(f"{path}.accelerators", f"must be 0 to {MAX_ACCELERATORS}")
        if vm.kind is inventory.VmKind.ENGINE and not vm.fabric_domain:
            yield DocumentError(f"{path}.fabric_domain", "an engine needs one")
        if vm.kind is inventory.VmKind.SERVICE:
            service = services.get(vm.service)
            if service is None or service.kind is not rules.ServiceKind.PLAIN:
                yield DocumentError(f"{path}.service", f"unknown plain service {vm.service!r}")


def _service_mistakes(document: Document) -> Mistakes:
    services = document.rules.services
    yield from _repeated("rules.services", "name", [service.name for service in services])
    sizes = collections.Counter(
        vm.fabric_domain for vm in document.inventory.vms if vm.kind is inventory.VmKind.ENGINE
    )
    largest = max(sizes.values(), default=0)
    for index, service in enumerate(services):
        path = f"rules.services[{index}]"
        if service.replicas < 0:
            yield DocumentError(f"{path}.replicas", "must be 0 or more")
        if service.cold_requests < 0:
            yield DocumentError(f"{path}.cold_requests", "must be 0 or more")
        if service.slots < 1:
            yield DocumentError(f"{path}.slots", "must be 1 or more")
        if service.kind is not rules.ServiceKind.MODEL:
            continue
        if not service.model:
            yield DocumentError(f"{path}.model", "a model service needs one")
        if service.vms_per_replica < 1:
            yield DocumentError(f"{path}.vms_per_replica", "must be 1 or more")
        elif service.replicas and service.vms_per_replica > largest:
            yield DocumentError(
                f"{path}.vms_per_replica",
                f"{service.vms_per_replica} VMs exceed the largest fabric domain, {largest} VMs",
            )


def _workspace_mistakes(document: Document) -> Mistakes:
    workspaces = document.rules.workspaces
    yield from _repeated("rules.workspaces", "name", [workspace.name for workspace in workspaces])
    for index, workspace in enumerate(workspaces):
        if not workspace.weight > 0:
            yield DocumentError(f"rules.workspaces[{index}].weight", "must be above 0")
        if workspace.max_in_flight < 0:
            yield DocumentError(f"rules.workspaces[{index}].max_in_flight", "must be 0 or more")


def _loading_mistakes(document: Document) -> Mistakes:
    if document.rules.max_loading_vms < 0:
        yield DocumentError("rules.max_loading_vms", "must be 0 or more")


def _repeated(path: str, field: str, values: collections.abc.Sequence[str]) -> Mistakes:
    seen: dict[str, int] = {}
    for index, value in enumerate(values):
        if not value:
            yield DocumentError(f"{path}[{index}].{field}", "must not be empty")
        elif value in seen:
            yield DocumentError(
                f"{path}[{index}].{field}", f"{value!r} stands already at {path}[{seen[value]}]"
            )
        seen.setdefault(value, index)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdigit() and 0 < int(port) < 65536
