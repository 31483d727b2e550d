"""VMs, availability zones and accelerators, as the operators' asset register lists them."""

import enum

import attrs


class VmKind(enum.Enum):
    """What runs on a VM."""

    ENGINE = "engine"
    SERVICE = "service"


class Fencing(enum.Enum):
    """Whether an engine refuses orders that carry an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@attrs.frozen
class Vm:
    """A VM with its backend server.

    :ivar vm: unique name
    :ivar address: ``IP:port`` of its backend server
    :ivar availability_zone: name of its availability zone
    :ivar fabric_domain: VMs of one replica share a fabric domain; empty for plain services
    :ivar accelerators: number of accelerators
    :ivar kind: model engine or plain service
    :ivar service: the plain service that it runs; empty for an engine
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
    """All VMs."""

    vms: tuple[Vm, ...] = ()

    def by_name(self) -> dict[str, Vm]:
        """Return the VMs keyed by name."""
        return {vm.vm: vm for vm in self.vms}
