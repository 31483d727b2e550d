"""Finds the backend servers that may receive requests now."""

import collections.abc
import math

import attrs

from toucanhold.backends import client
from toucanhold.configuration import holder, inventory, rules, snapshot
from toucanhold.observing import view
from toucanhold.plans import plan


@attrs.frozen
class Candidate:
    """A backend server that may serve a request.

    :ivar vm: the VM that takes the request: rank 0 of a group, or a plain service's VM
    :ivar report: the latest report of ``vm``
    :ivar group: the whole group; None for a plain service
    :ivar fresh_until_s: monotonic time at which the oldest report behind it expires
    """

    vm: inventory.Vm
    report: client.Report
    group: plan.Group | None = None
    fresh_until_s: float = math.inf


@attrs.frozen(eq=False)
class CandidateSet(collections.abc.Sequence):
    """The candidates of one service; valid only until the next await.

    :ivar by_vm: the candidates by VM name
    :ivar membership_version: changes whenever a VM joins or leaves the set
    """

    options: tuple[Candidate, ...] = ()
    by_vm: collections.abc.Mapping[str, Candidate] = attrs.field(factory=dict)
    membership_version: int = 0

    def __len__(self) -> int:
        return len(self.options)

    def __getitem__(self, index):
        return self.options[index]


NO_CANDIDATES = CandidateSet()


@attrs.frozen
class _ServingUnit:
    """A group of the plan or a plain service's VM, whether or not it is available.

    :ivar head: the VM that takes the requests
    :ivar group: None for a plain service
    """

    head: inventory.Vm
    members: tuple[inventory.Vm, ...]
    group: plan.Group | None


@attrs.define(eq=False)
class _ServiceState:
    """The serving units of one service and their cached candidates.

    :ivar units: serving units by the VM name of their head
    :ivar stale_heads: heads of units that must be evaluated again
    :ivar candidates_by_head: candidates by the VM name of their head
    :ivar recheck_at_s: monotonic time at which the first report expires
    """

    service: rules.Service
    units: dict[str, _ServingUnit] = attrs.field(factory=dict)
    stale_heads: set[str] = attrs.field(factory=set)
    candidates_by_head: dict[str, Candidate] = attrs.field(factory=dict)
    options: CandidateSet = NO_CANDIDATES
    recheck_at_s: float = -math.inf


@attrs.frozen(eq=False)
class _Basis:
    """The inputs from which the serving units were derived."""

    configuration: snapshot.Configuration
    plan_changes: int
    platform_leaving: frozenset[str]

    def is_same(self, other: "_Basis | None") -> bool:
        """Compare configurations by identity: comparing contents would cost more than it saves."""
        return (
            other is not None
            and self.configuration is other.configuration
            and self.plan_changes == other.plan_changes
            and self.platform_leaving == other.platform_leaving
        )


@attrs.define(eq=False)
class CandidateFinder:
    """Filters the plan by the reports of the group members.

    Candidates are cached; only units with a new or an expired report are evaluated again.

    :ivar may_start: returns whether this entry's configuration is recent enough for new work
    """

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.BackendView
    may_start: collections.abc.Callable[[], bool] = lambda: True
    _basis: _Basis | None = attrs.field(default=None, init=False)
    _services: dict[str, _ServiceState] = attrs.field(factory=dict, init=False)
    _units_by_vm: dict[str, list[tuple[_ServiceState, str]]] = attrs.field(factory=dict, init=False)
    _membership_version: int = attrs.field(default=0, init=False)
    _report_required_after_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the reports."""
        self.view.subscribe(self._mark_stale)

    def find(self, service: rules.Service, now_s: float) -> CandidateSet:
        """Return all candidates of a service at the monotonic time ``now_s``."""
        if not self.may_start():
            return ()
        self._rebuild_if_changed()
        state = self._services.get(service.name)
        if state is None:
            return NO_CANDIDATES
        if now_s > state.recheck_at_s:
            state.recheck_at_s = math.inf
            state.stale_heads.update(state.units)
        if state.stale_heads:
            for head in state.stale_heads:
                self._refresh_unit(state, state.units[head], now_s)
            state.stale_heads.clear()
            state.options = CandidateSet(
                tuple(state.candidates_by_head.values()),
                state.candidates_by_head,
                self._membership_version,
            )
        return state.options

    def candidate_of(self, service: rules.Service, vm: str, now_s: float) -> Candidate | None:
        """Return the candidate that consists of ``vm`` or of the group that contains it."""
        self.find(service, now_s)
        for state, head in self._units_by_vm.get(vm, ()):
            if state.service.name == service.name:
                return state.candidates_by_head.get(head)
        return None

    def require_new_report(self, vm: str, now_s: float) -> None:
        """Exclude a VM until there is a report that was requested after ``now_s``."""
        # Its connection broke: it may have restarted cold, which the last report cannot show.
        self._report_required_after_s[vm] = now_s
        self._mark_stale(vm)

    def is_awaiting_report(self, service: rules.Service, now_s: float) -> bool:
        """Tell whether a VM of the service is excluded only until its next report."""
        state = self._services.get(service.name)
        return state is not None and any(
            self._is_awaiting_report(member, now_s)
            for unit in state.units.values()
            for member in unit.members
        )

    def _is_awaiting_report(self, vm: inventory.Vm, now_s: float) -> bool:
        if self.view.fresh_report(vm.vm, now_s) is not None:
            return self._needs_new_report(vm)
        # A server that missed a poll may only pause; an entry that starts has asked none yet.
        return not self._is_leaving(vm) and not self.view.is_silent(vm.vm, now_s)

    def _needs_new_report(self, vm: inventory.Vm) -> bool:
        observation = self.view.observation(vm.vm)
        required_after_s = self._report_required_after_s.get(vm.vm, -math.inf)
        return observation is None or observation.asked_at_s <= required_after_s

    def _mark_stale(self, vm: str) -> None:
        for state, head in self._units_by_vm.get(vm, ()):
            state.stale_heads.add(head)

    def _rebuild_if_changed(self) -> None:
        current = self.configuration.current
        basis = _Basis(current, self.plans.change_count, self.view.platform_leaving)
        if basis.is_same(self._basis):
            return
        self._basis = basis
        self._membership_version += 1
        self._services = {each.name: _ServiceState(each) for each in current.rules.services}
        self._units_by_vm = {}
        vms = current.inventory.by_name()
        for vm in vms.values():
            if vm.service in self._services:
                self._add_unit(vm.service, _ServingUnit(vm, (vm,), None))
        for group in self.plans.groups():
            if group.service in self._services and all(name in vms for name in group.members):
                members = tuple(vms[name] for name in group.members)
                self._add_unit(group.service, _ServingUnit(members[0], members, group))

    def _add_unit(self, service: str, unit: _ServingUnit) -> None:
        state = self._services[service]
        state.units[unit.head.vm] = unit
        for member in unit.members:
            self._units_by_vm.setdefault(member.vm, []).append((state, unit.head.vm))

    def _refresh_unit(self, state: _ServiceState, unit: _ServingUnit, now_s: float) -> None:
        candidate = self._evaluate_unit(state.service, unit, now_s)
        if (candidate is None) == (unit.head.vm in state.candidates_by_head):
            self._membership_version += 1
        if candidate is None:
            state.candidates_by_head.pop(unit.head.vm, None)
        else:
            state.candidates_by_head[unit.head.vm] = candidate
            state.recheck_at_s = min(state.recheck_at_s, candidate.fresh_until_s)

    def _evaluate_unit(
        self, service: rules.Service, unit: _ServingUnit, now_s: float
    ) -> Candidate | None:
        if unit.group is not None and not self._is_group_complete(unit.group, service, now_s):
            return None
        if not all(self._is_usable(member, now_s) for member in unit.members):
            return None
        asked_at_s = min(self.view.observation(vm.vm).asked_at_s for vm in unit.members)
        report = self.view.observation(unit.head.vm).report
        return Candidate(unit.head, report, unit.group, asked_at_s + view.FRESH_S)

    def _is_group_complete(self, group: plan.Group, service: rules.Service, now_s: float) -> bool:
        # Neither the plan nor an order that was sent proves that a group exists; only fresh and
        # matching reports of all members do. Otherwise a group that lost a member, or that an
        # outdated planner's order split, would get requests that it cannot serve.
        if self.view.is_ended(*group.generation_key):
            return False
        for member in group.members:
            report = self.view.fresh_report(member, now_s)
            if report is None or report.loading:
                return False
            if (report.group, report.generation) != group.generation_key:
                return False
            if not group.expects_boot(member, report.boot_id):
                return False
            model = group.model or service.model, group.version or service.version
            if (report.model, report.version) != model:
                return False
        return True

    def _is_usable(self, vm: inventory.Vm, now_s: float) -> bool:
        if self._is_leaving(vm):
            return False
        return self.view.fresh_report(vm.vm, now_s) is not None and not self._needs_new_report(vm)

    def _is_leaving(self, vm: inventory.Vm) -> bool:
        zones_out = self.configuration.current.zones_out
        return vm.availability_zone in zones_out or self.view.is_leaving(vm.vm)
