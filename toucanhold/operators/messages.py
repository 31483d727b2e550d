"""What operators' requests and answers carry."""

import attrs

from toucanhold.configuration import difference, document


@attrs.frozen
class ApplyRequest:
    """Replace inventory and rules.

    :ivar expected: number of the configuration that the operator saw
    """

    document: document.Document
    expected: int
    author: str = "operator"


@attrs.frozen
class ZoneRequest:
    """Take an availability zone out, or return it.

    :ivar force: take it out although the rules say that it may not be drained
    """

    out: bool
    author: str = "operator"
    force: bool = False


@attrs.frozen
class ChangeAnswer:
    """What became of a change.

    :ivar configuration: number of an accepted configuration that has the change; -1 where it is
        not accepted yet
    :ivar durable: whether the key-value service keeps the change; where it does not yet, it ends
        if all entries that have it in force end first
    :ivar in_force: entries that have acknowledged it
    :ivar not_in_force: known entries that have not acknowledged it yet
    """

    configuration: int
    durable: bool = True
    in_force: tuple[str, ...] = ()
    not_in_force: tuple[str, ...] = ()


@attrs.frozen
class ErrorAnswer:
    """Why nothing was done, or what is not known.

    :ivar kind: ``invalid``, ``conflict``, ``unavailable``, ``unknown``, ``unauthorized`` …
    :ivar mistakes: each mistake of a document
    :ivar differences: after a conflict, what is in force now and the operator did not see
    """

    kind: str
    detail: str
    mistakes: tuple[str, ...] = ()
    differences: tuple[difference.Difference, ...] = ()


@attrs.frozen
class ServiceStatus:
    """A service: groups or servers wanted, planned and serving."""

    service: str
    wanted: int
    planned: int
    serving: int


@attrs.frozen
class EntryStatus:
    """An entry and the configuration in force there; -1 where it is not known."""

    entry: str
    availability_zone: str
    callers_address: str
    state: str
    configuration: int


@attrs.frozen
class ZoneStatus:
    """An availability zone; requests in flight as this entry's reports show them."""

    availability_zone: str
    out: bool
    vms: int
    running: int


@attrs.frozen
class GroupStatus:
    """A group of the plan."""

    group: str
    service: str
    members: tuple[str, ...]
    serving: bool


@attrs.frozen
class StatusAnswer:
    """The system as one entry sees it."""

    entry: str
    configuration: int
    plan_revision: int
    is_planner: bool
    platform_answering: bool
    entries: tuple[EntryStatus, ...] = ()
    services: tuple[ServiceStatus, ...] = ()
    zones: tuple[ZoneStatus, ...] = ()
    groups: tuple[GroupStatus, ...] = ()
