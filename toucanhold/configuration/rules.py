"""The operators' rules: services, workspaces and availability zones."""

import enum
import fnmatch

import attrs

# RFC 9110, section 9.2.2: a client may automatically retry all other methods.
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH", "CONNECT"})


class ServiceKind(enum.Enum):
    """Whether a service runs a model on engines, or is a plain HTTP service."""

    MODEL = "model"
    PLAIN = "plain"


@attrs.frozen
class CallPattern:
    """Selects calls of a plain service by method and path.

    :ivar method: HTTP method in capitals
    :ivar path: shell-style pattern, matched against the path below the service's own
    """

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a call matches this pattern."""
        return method == self.method and fnmatch.fnmatchcase(path, self.path)


@attrs.frozen
class Service:
    """A model or a plain service.

    :ivar name: the name that callers use; for a model, the ``model`` of a request
    :ivar kind: model or plain service
    :ivar model: name of the model that engines load
    :ivar version: version of the model
    :ivar replicas: wanted number of groups
    :ivar vms_per_replica: number of VMs in each group
    :ivar accelerators_per_vm: minimum number of accelerators of each of these VMs
    :ivar importance: priority when capacity is short; higher values are placed first
    :ivar cold_requests: concurrency limit of a cold backend server that does not report its own
    :ivar slots: concurrency limit of a warm backend server that does not report its own
    :ivar non_idempotent: calls that may run at most once
    :ivar idempotent: calls that may run more than once although their method is not idempotent
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
        # A call that no rule lists is retried only if its method is idempotent; otherwise a
        # publish could run twice. Treating it as an order only costs it the retry.
        return method not in NON_IDEMPOTENT_METHODS


@attrs.frozen
class AvailabilityZone:
    """An availability zone.

    :ivar drainable: whether operators may drain it, for example on a hot day
    """

    name: str
    drainable: bool = True


@attrs.frozen
class Workspace:
    """A customer's workspace.

    :ivar weight: share of contended capacity relative to other workspaces
    :ivar max_in_flight: maximum number of requests in flight per entry; 0 for no limit
    """

    name: str
    weight: float = 1.0
    max_in_flight: int = 0


@attrs.frozen
class Rules:
    """The operators' rules.

    :ivar max_loading_vms: maximum number of VMs that load a model from the weight store at the
        same time; 0 for no limit
    """

    services: tuple[Service, ...] = ()
    availability_zones: tuple[AvailabilityZone, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    max_loading_vms: int = 0

    def service(self, name: str) -> Service | None:
        """Return a service by name, or None."""
        return next((service for service in self.services if service.name == name), None)

    def workspace(self, name: str) -> Workspace:
        """Return a workspace by name; one that is not listed gets the default limits."""
        return next(
            (workspace for workspace in self.workspaces if workspace.name == name), Workspace(name)
        )
