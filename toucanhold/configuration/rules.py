"""The operators' rules: services, workspaces and availability zones."""

import enum
import fnmatch

import attrs

# RFC 9110, section 9.2.2: a client may repeat all other methods by itself.
UNSAFE_TO_REPEAT = frozenset({"POST", "PATCH", "CONNECT"})


class ServiceKind(enum.Enum):
    """How a service is reached."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen
class CallPattern:
    """Calls of a plain service.

    :ivar method: HTTP method
    :ivar path: shell-style pattern of the path below the service
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a call falls under this pattern."""
        return method == self.method and fnmatch.fnmatchcase(path, self.path)


@attrs.frozen
class Service:
    """A model or a plain service.

    :ivar name: the name callers use; for a model, the ``model`` of a request
    :ivar model: the model that engines load
    :ivar version: the model's version
    :ivar replicas: wanted number of groups
    :ivar vms_per_replica: VMs in each group
    :ivar accelerators_per_vm: accelerators each of these VMs must have
    :ivar importance: higher goes first when capacity falls short
    :ivar cold_requests: requests a cold backend server bears at once, where it does not report it
    :ivar slots: requests a warm backend server runs at once, where it does not report it
    :ivar non_idempotent: calls that may run at most once
    :ivar idempotent: calls that may run more than once although their method does not say so
    """

    name: str
    kind: ServiceKind = ServiceKind.MODEL
    model: str = ""
    version: str = ""
    replicas: int = 1
    vms_per_replica: int = 1
    accelerators_per_vm: int = 0
    importance: int = 0
    cold_requests: int = 1
    slots: int = 8
    non_idempotent: tuple[CallPattern, ...] = ()
    idempotent: tuple[CallPattern, ...] = ()

    def may_repeat(self, method: str, path: str) -> bool:
        """Tell whether a call may run more than once."""
        if any(pattern.matches(method, path) for pattern in self.non_idempotent):
            return False
        if any(pattern.matches(method, path) for pattern in self.idempotent):
            return True
        # A call that the rules forgot would otherwise be retried on the word of nobody, and a
        # publish run twice. Taken for an order it loses no more than a retry.
        return method not in UNSAFE_TO_REPEAT


@attrs.frozen
class AvailabilityZone:
    """An availability zone and whether it may be drained on a hot day."""

    name: str
    drainable: bool = True


@attrs.frozen
class Workspace:
    """A customer's workspace.

    :ivar weight: share of contended capacity relative to other workspaces
    :ivar max_in_flight: most requests in flight per entry; 0 for no limit
    """

    name: str
    weight: float = 1.0
    max_in_flight: int = 0


@attrs.frozen
class Rules:
    """All rules.

    :ivar max_loading_vms: VMs that may load a model from the weight store at once; 0 for no limit
    """

    services: tuple[Service, ...] = ()
    availability_zones: tuple[AvailabilityZone, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    max_loading_vms: int = 0

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return next((service for service in self.services if service.name == name), None)

    def workspace(self, name: str) -> Workspace:
        """Return a workspace by name; one that is not listed has the defaults."""
        return next((each for each in self.workspaces if each.name == name), Workspace(name))
