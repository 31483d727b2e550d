"""Which backend servers may get work now."""

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
    :ivar fresh_until_s: when the oldest report that it rests on ceases to count
    """

    vm: inventory.Vm
    report: client.Report
    group: plan.Group | None = None
    fresh_until_s: float = math.inf


@attrs.frozen(eq=False)
class CandidateSet(collections.abc.Sequence):
    """The candidates of one service; good until the next await.

    :ivar by_vm: the candidates by the names of their VMs
    :ivar members: changes whenever a VM joins or leaves the set
    """

    options: tuple[Candidate, ...] = ()
    by_vm: collections.abc.Mapping[str, Candidate] = attrs.field(factory=dict)
    members: int = 0

    def __len__(self) -> int:
        return len(self.options)

    def __getitem__(self, index):
        return self.options[index]


NO_CANDIDATES = CandidateSet()


@attrs.frozen
class _Place:
    """A group of the plan or a plain service's VM, whatever its reports say."""

    head: inventory.Vm
    members: tuple[inventory.Vm, ...]
    group: plan.Group | None


@attrs.define(eq=False)
class _ServicePlaces:
    """The places of one service and what was found there last.

    :ivar changed: names of heads whose reports have changed since
    :ivar recheck_s: when the first report ceases to count
    """

    service: rules.Service
    places: dict[str, _Place] = attrs.field(factory=dict)
    changed: set[str] = attrs.field(factory=set)
    found: dict[str, Candidate] = attrs.field(factory=dict)
    options: CandidateSet = NO_CANDIDATES
    recheck_s: float = -math.inf


@attrs.frozen(eq=False)
class _Basis:
    """What all places were derived from."""

    configuration: snapshot.Configuration
    plan_changes: int
    platform_leaving: frozenset[str]

    def is_same(self, other: "_Basis | None") -> bool:
        """Tell without comparing configurations, which would cost more than it saves."""
        return (
            other is not None
            and self.configuration is other.configuration
            and self.plan_changes == other.plan_changes
            and self.platform_leaving == other.platform_leaving
        )


@attrs.define(eq=False)
class CandidateFinder:
    """Filters the plan by what the members themselves report.

    What was found is kept, and only places with a new or aged report are looked at again.

    :ivar may_start: whether this entry's configuration is late enough for new work
    """

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.View
    may_start: collections.abc.Callable[[], bool] = lambda: True
    _basis: _Basis | None = attrs.field(default=None, init=False)
    _services: dict[str, _ServicePlaces] = attrs.field(factory=dict, init=False)
    _places_of_vm: dict[str, list[tuple[_ServicePlaces, str]]] = attrs.field(
        factory=dict, init=False
    )
    _members: int = attrs.field(default=0, init=False)
    _distrusted_at_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Follow the reports."""
        self.view.subscribe(self._mark_changed)

    def find(self, service: rules.Service, now_s: float) -> CandidateSet:
        """Return all candidates of a service."""
        if not self.may_start():
            return ()
        self._follow_basis()
        known = self._services.get(service.name)
        if known is None:
            return NO_CANDIDATES
        if now_s > known.recheck_s:
            known.recheck_s = math.inf
            known.changed.update(known.places)
        if known.changed:
            for head in known.changed:
                self._look_again(known, known.places[head], now_s)
            known.changed.clear()
            known.options = CandidateSet(tuple(known.found.values()), known.found, self._members)
        return known.options

    def candidate_of(self, service: rules.Service, vm: str, now_s: float) -> Candidate | None:
        """Return the candidate whose requests go to ``vm`` or to the group that it is in."""
        self.find(service, now_s)
        for known, head in self._places_of_vm.get(vm, ()):
            if known.service.name == service.name:
                return known.found.get(head)
        return None

    def distrust(self, vm: str, now_s: float) -> None:
        """Hold a VM back until a report that is asked for after ``now_s``."""
        # Its connection broke: it may have restarted and be cold, and the last report cannot tell.
        self._distrusted_at_s[vm] = now_s
        self._mark_changed(vm)

    def is_held_back(self, service: rules.Service, now_s: float) -> bool:
        """Tell whether a place of the service only waits for its next report after a failure."""
        known = self._services.get(service.name)
        return known is not None and any(
            self._is_distrusted(member) and self.view.fresh_report(member.vm, now_s) is not None
            for place in known.places.values()
            for member in place.members
        )

    def _is_distrusted(self, vm: inventory.Vm) -> bool:
        observation = self.view.observation(vm.vm)
        distrusted_at_s = self._distrusted_at_s.get(vm.vm, -math.inf)
        return observation is None or observation.asked_at_s <= distrusted_at_s

    def _mark_changed(self, vm: str) -> None:
        for known, head in self._places_of_vm.get(vm, ()):
            known.changed.add(head)

    def _follow_basis(self) -> None:
        current = self.configuration.current
        basis = _Basis(current, self.plans.change_count, self.view.platform_leaving)
        if basis.is_same(self._basis):
            return
        self._basis = basis
        self._members += 1
        self._services = {each.name: _ServicePlaces(each) for each in current.rules.services}
        self._places_of_vm = {}
        vms = current.inventory.by_name()
        for vm in vms.values():
            if vm.service in self._services:
                self._add_place(vm.service, _Place(vm, (vm,), None))
        for group in self.plans.groups():
            if group.service in self._services and all(name in vms for name in group.members):
                members = tuple(vms[name] for name in group.members)
                self._add_place(group.service, _Place(members[0], members, group))

    def _add_place(self, service: str, place: _Place) -> None:
        known = self._services[service]
        known.places[place.head.vm] = place
        for member in place.members:
            self._places_of_vm.setdefault(member.vm, []).append((known, place.head.vm))

    def _look_again(self, known: _ServicePlaces, place: _Place, now_s: float) -> None:
        candidate = self._candidate(known.service, place, now_s)
        if (candidate is None) == (place.head.vm in known.found):
            self._members += 1
        if candidate is None:
            known.found.pop(place.head.vm, None)
        else:
            known.found[place.head.vm] = candidate
            known.recheck_s = min(known.recheck_s, candidate.fresh_until_s)

    def _candidate(self, service: rules.Service, place: _Place, now_s: float) -> Candidate | None:
        if place.group is not None and not self._is_whole(place.group, service, now_s):
            return None
        if not all(self._may_work(member, now_s) for member in place.members):
            return None
        asked_at_s = min(self.view.observation(vm.vm).asked_at_s for vm in place.members)
        report = self.view.observation(place.head.vm).report
        return Candidate(place.head, report, place.group, asked_at_s + view.FRESH_S)

    def _is_whole(self, group: plan.Group, service: rules.Service, now_s: float) -> bool:
        # The plan says who should serve, an order that was sent says nothing: only the members'
        # own fresh and equal reports show that the group exists. Without this a group that lost a
        # member, or that an old planner's order took apart, would get requests it cannot serve.
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

    def _may_work(self, vm: inventory.Vm, now_s: float) -> bool:
        zones_out = self.configuration.current.zones_out
        if vm.availability_zone in zones_out or self.view.is_leaving(vm.vm):
            return False
        return self.view.fresh_report(vm.vm, now_s) is not None and not self._is_distrusted(vm)
