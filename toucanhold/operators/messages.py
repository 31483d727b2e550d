"""Messages of the operators' interface."""

import attrs

from toucanhold.configuration import difference, document


@attrs.frozen
class ApplyRequest:
    """Replaces the inventory and the rules.

    :ivar expected: number of the configuration that the operator saw; the change conflicts if
        another one is in force
    :ivar author: recorded with the change
    """

    document: document.Document
    expected: int
    author: str = "operator"


@attrs.frozen
class ZoneRequest:
    """Takes an availability zone out of service, or returns it.

    :ivar out: true to take it out, false to return it
    :ivar author: recorded with the change
    :ivar force: take it out even if the rules do not allow draining it
    """

    out: bool
    author: str = "operator"
    force: bool = False


@attrs.frozen
class ChangeAnswer:
    """The state of a change when the response was sent.

    :ivar configuration: number of an accepted configuration that contains the change; -1 if it is
        not accepted yet
    :ivar durable: whether the key-value service stores the change; until then it is lost if all
        entries where it is in force end
    :ivar in_force: entries that have acknowledged the change
    :ivar not_in_force: known entries that have not acknowledged it yet
    """

    configuration: int
    durable: bool = True
    in_force: tuple[str, ...] = ()
    not_in_force: tuple[str, ...] = ()


@attrs.frozen
class ErrorAnswer:
    """Why a request was refused or failed, or that its outcome is unknown.

    :ivar kind: ``invalid``, ``conflict``, ``unavailable``, ``unknown``, ``unauthorized`` …
    :ivar detail: description for the operator
    :ivar mistakes: the mistakes of a document or a request body
    :ivar differences: after a conflict, changes in force that the operator had not seen
    """

    kind: str
    detail: str
    mistakes: tuple[str, ...] = ()
    differences: tuple[difference.Difference, ...] = ()


@attrs.frozen
class ServiceStatus:
    """A service.

    :ivar wanted: number of replicas, or of servers of a plain service, that the rules demand
    :ivar planned: number of them in the plan
    :ivar serving: number of them that can serve requests now
    """

    service: str
    wanted: int
    planned: int
    serving: int


@attrs.frozen
class EntryStatus:
    """An entry.

    :ivar configuration: number of the configuration in force there; -1 if unknown
    """

    entry: str
    availability_zone: str
    callers_address: str
    state: str
    configuration: int


@attrs.frozen
class ZoneStatus:
    """An availability zone.

    :ivar out: whether it is taken out of service
    :ivar vms: number of its VMs in the inventory
    :ivar running: requests that its VMs run, by the load reports of the entry that answers
    """

    availability_zone: str
    out: bool
    vms: int
    running: int


@attrs.frozen
class GroupStatus:
    """A group of the plan.

    :ivar members: names of its VMs
    :ivar serving: whether it can serve requests now
    """

    group: str
    service: str
    members: tuple[str, ...]
    serving: bool


@attrs.frozen
class StatusAnswer:
    """The state of the system as seen by one entry.

    :ivar entry: the entry that answers
    :ivar configuration: number of the configuration in force there
    :ivar is_planner: whether this entry holds the planner lease
    :ivar platform_answering: whether the key-value service answered this entry's last call
    """

    entry: str
    configuration: int
    plan_revision: int
    is_planner: bool
    platform_answering: bool
    entries: tuple[EntryStatus, ...] = ()
    services: tuple[ServiceStatus, ...] = ()
    zones: tuple[ZoneStatus, ...] = ()
    groups: tuple[GroupStatus, ...] = ()
