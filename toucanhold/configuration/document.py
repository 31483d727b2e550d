"""Parsing and validation of configuration documents, the TOML or JSON files of operators."""

import collections
import collections.abc
import pathlib
import tomllib

import attrs

from toucanhold import codec, parsing
from toucanhold.configuration import inventory, rules

FORMAT_VERSION = 1
MAX_ACCELERATORS = 64


class DocumentError(Exception):
    """One validation error in a document.

    :ivar path: the field with the error, for example ``inventory.vms[3].address``
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path


class InvalidDocumentError(ExceptionGroup):
    """All validation errors of a document, each a :class:`DocumentError`."""

    def derive(self, excs: collections.abc.Sequence[Exception]) -> "InvalidDocumentError":
        """Return a group of the same type; called when the group is split."""
        return InvalidDocumentError(self.message, excs)


@attrs.frozen
class Document:
    """Inventory and rules, which an operator replaces together.

    :ivar format_version: version of the document's format, :data:`FORMAT_VERSION`
    """

    format_version: int
    inventory: inventory.Inventory
    rules: rules.Rules


def load(path: pathlib.Path) -> Document:
    """Read and validate a file.

    :param path: a file that ends in ``.toml``, or one in JSON
    :raises InvalidDocumentError: with every error; also when the file cannot be read
    """
    try:
        return parse(path.read_bytes(), path.suffix)
    except OSError as error:
        raise InvalidDocumentError(
            "document cannot be read", [DocumentError(str(path), str(error))]
        ) from error


def parse(data: bytes, suffix: str) -> Document:
    """Parse and validate the bytes of a document.

    :param suffix: ``.toml`` for TOML; all else is read as JSON
    :raises InvalidDocumentError: with every error
    """
    try:
        plain = tomllib.loads(data.decode()) if suffix == ".toml" else parsing.load_json(data)
    except (ValueError, RecursionError) as error:
        problem = DocumentError("document", str(error))
        raise InvalidDocumentError("document is not valid TOML or JSON", [problem]) from error
    return from_plain(plain)


def from_plain(plain: object) -> Document:
    """Build a validated document from decoded TOML or JSON.

    :param plain: maps, lists and scalars
    :raises InvalidDocumentError: with every error
    """
    try:
        errors = list(_integer_errors("", plain))
    except RecursionError:
        errors = [DocumentError("document", "is nested too deeply")]
    if errors:
        raise InvalidDocumentError("invalid document", errors)
    try:
        document = codec.from_plain(plain, Document)
    except codec.CodecError as error:
        errors = [_structure_error(text) for text in str(error).split("; ")]
        raise InvalidDocumentError("document has unexpected fields or types", errors) from error
    validate(document)
    return document


def validate(document: Document) -> None:
    """Check that names are unique, references resolve and numbers are in range.

    :raises InvalidDocumentError: with every error
    """
    errors = [
        *_version_errors(document),
        *_zone_errors(document),
        *_vm_errors(document),
        *_service_errors(document),
        *_workspace_errors(document),
        *_loading_errors(document),
    ]
    if errors:
        raise InvalidDocumentError("invalid document", errors)


DocumentErrors = collections.abc.Iterator[DocumentError]


def _integer_errors(path: str, plain: object) -> DocumentErrors:
    # TOML promises 64 bits. Python reads longer integers, but refuses to print very long ones.
    if isinstance(plain, int) and not -(2**63) <= plain < 2**63:
        yield DocumentError(path, f"must fit into 64 bits, got {plain.bit_length()} bits")
    children: collections.abc.Iterable[tuple[str, object]] = ()
    if isinstance(plain, dict):
        children = ((f"{path}.{key}".lstrip("."), value) for key, value in plain.items())
    elif isinstance(plain, list):
        children = ((f"{path}[{index}]", value) for index, value in enumerate(plain))
    for child_path, value in children:
        yield from _integer_errors(child_path, value)


def _structure_error(text: str) -> DocumentError:
    problem, _, path = text.partition(" @ $")
    return DocumentError(path.lstrip(".") or "document", problem)


def _version_errors(document: Document) -> DocumentErrors:
    if document.format_version != FORMAT_VERSION:
        yield DocumentError("format_version", f"must be {FORMAT_VERSION}")


def _zone_errors(document: Document) -> DocumentErrors:
    names = [zone.name for zone in document.rules.availability_zones]
    yield from _name_errors("rules.availability_zones", "name", names)


def _vm_errors(document: Document) -> DocumentErrors:
    vms = document.inventory.vms
    yield from _name_errors("inventory.vms", "vm", [vm.vm for vm in vms])
    yield from _name_errors("inventory.vms", "address", [vm.address for vm in vms])
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
            yield DocumentError(f"{path}.fabric_domain", "must be set for an engine")
        if vm.kind is inventory.VmKind.SERVICE:
            service = services.get(vm.service)
            if service is None or service.kind is not rules.ServiceKind.PLAIN:
                yield DocumentError(f"{path}.service", f"unknown plain service {vm.service!r}")


def _service_errors(document: Document) -> DocumentErrors:
    services = document.rules.services
    yield from _name_errors("rules.services", "name", [service.name for service in services])
    vms_per_domain = collections.Counter(
        vm.fabric_domain for vm in document.inventory.vms if vm.kind is inventory.VmKind.ENGINE
    )
    largest_domain_vms = max(vms_per_domain.values(), default=0)
    for index, service in enumerate(services):
        path = f"rules.services[{index}]"
        if service.replicas < 0:
            yield DocumentError(f"{path}.replicas", f"must be 0 or more, got {service.replicas}")
        if service.cold_requests < 0:
            yield DocumentError(
                f"{path}.cold_requests", f"must be 0 or more, got {service.cold_requests}"
            )
        if service.slots < 1:
            yield DocumentError(f"{path}.slots", f"must be 1 or more, got {service.slots}")
        if service.kind is not rules.ServiceKind.MODEL:
            continue
        if not service.model:
            yield DocumentError(f"{path}.model", "must be set for a model service")
        if service.vms_per_replica < 1:
            yield DocumentError(
                f"{path}.vms_per_replica", f"must be 1 or more, got {service.vms_per_replica}"
            )
        elif service.replicas and service.vms_per_replica > largest_domain_vms:
            yield DocumentError(
                f"{path}.vms_per_replica",
                f"{service.vms_per_replica} VMs exceed the largest fabric domain, "
                f"{largest_domain_vms} VMs",
            )


def _workspace_errors(document: Document) -> DocumentErrors:
    workspaces = document.rules.workspaces
    yield from _name_errors(
        "rules.workspaces", "name", [workspace.name for workspace in workspaces]
    )
    for index, workspace in enumerate(workspaces):
        if not workspace.weight > 0:
            yield DocumentError(
                f"rules.workspaces[{index}].weight", f"must be above 0, got {workspace.weight}"
            )
        if workspace.max_in_flight < 0:
            yield DocumentError(
                f"rules.workspaces[{index}].max_in_flight",
                f"must be 0 or more, got {workspace.max_in_flight}",
            )


def _loading_errors(document: Document) -> DocumentErrors:
    if document.rules.max_loading_vms < 0:
        yield DocumentError(
            "rules.max_loading_vms", f"must be 0 or more, got {document.rules.max_loading_vms}"
        )


def _name_errors(path: str, field: str, values: collections.abc.Sequence[str]) -> DocumentErrors:
    first_index: dict[str, int] = {}
    for index, value in enumerate(values):
        if not value:
            yield DocumentError(f"{path}[{index}].{field}", "must not be empty")
        elif value in first_index:
            yield DocumentError(
                f"{path}[{index}].{field}",
                f"{value!r} is already used at {path}[{first_index[value]}]",
            )
        first_index.setdefault(value, index)


def _is_address(text: str) -> bool:
    try:
        parsing.ip_address(text)
    except parsing.ParseError:
        return False
    return True
