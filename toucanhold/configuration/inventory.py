"""The inventory of VMs, as the operators' asset register lists them."""

import enum

import attrs


class VmKind(enum.Enum):
    """What runs on a VM."""

    ENGINE = "engine"
    SERVICE = "service"


class Fencing(enum.Enum):
    """Whether an engine refuses orders with an outdated fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@attrs.frozen
class Vm:
    """A VM with its backend server.

    :ivar vm: unique name
    :ivar address: ``IP:port`` of its backend server
    :ivar availability_zone: name of its availability zone
    :ivar fabric_domain: name of its fabric domain, which all VMs of a replica share; empty for
        plain services
    :ivar accelerators: number of accelerators
    :ivar kind: whether it runs a model engine or a plain service
    :ivar service: name of the plain service that it runs; empty for an engine
    :ivar fencing: whether its engine checks fencing numbers
    """

    vm: str
    address: str
    availability_zone: str
    fabric_domain: str = ""
    accelerators: int = 0
    kind: VmKind = VmKind.ENGINE
    service: str = ""
    fencing: Fencing = Fencing.IGNORED


@attrs.frozen
class Inventory:
    """All VMs of the site, or those of one availability zone in a stored part."""

    vms: tuple[Vm, ...] = ()

    def by_name(self) -> dict[str, Vm]:
        """Return the VMs keyed by name."""
        return {vm.vm: vm for vm in self.vms}
