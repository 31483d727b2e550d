"""Which backend servers may get work now."""

import collections.abc

import attrs

from toucanhold.backends import client
from toucanhold.configuration import holder, inventory, rules
from toucanhold.observing import view
from toucanhold.planning import plan


@attrs.frozen
class Candidate:
    """A backend server that may serve a request.

    :ivar vm: the VM that takes the request: rank 0 of a group, or a plain service's VM
    :ivar group: the whole group; None for a plain service
    :ivar report: the latest report of ``vm``
    """

    vm: inventory.Vm
    report: client.Report
    group: plan.Group | None = None


@attrs.define(eq=False)
class CandidateFinder:
    """Filters the plan by what the members themselves report."""

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.View

    def find(self, service: rules.Service, now_s: float) -> list[Candidate]:
        """Return all candidates of a service."""
        vms = self.configuration.current.inventory.by_name()
        if service.kind is rules.ServiceKind.PLAIN:
            return list(self._plain(service, vms, now_s))
        return list(self._groups(service, vms, now_s))

    def _plain(
        self,
        service: rules.Service,
        vms: collections.abc.Mapping[str, inventory.Vm],
        now_s: float,
    ) -> collections.abc.Iterator[Candidate]:
        for vm in vms.values():
            if vm.service == service.name and self._may_work(vm):
                report = self.view.fresh_report(vm.vm, now_s)
                if report is not None:
                    yield Candidate(vm, report)

    def _groups(
        self,
        service: rules.Service,
        vms: collections.abc.Mapping[str, inventory.Vm],
        now_s: float,
    ) -> collections.abc.Iterator[Candidate]:
        for group in self.plans.groups():
            if group.service != service.name or not self._is_whole(group, service, vms, now_s):
                continue
            head = vms[group.members[0]]
            report = self.view.fresh_report(head.vm, now_s)
            if report is not None:
                yield Candidate(head, report, group)

    def _is_whole(
        self,
        group: plan.Group,
        service: rules.Service,
        vms: collections.abc.Mapping[str, inventory.Vm],
        now_s: float,
    ) -> bool:
        # The plan says who should serve, an order that was sent says nothing: only the members'
        # own fresh and equal reports show that the group exists. Without this a group that lost a
        # member, or that an old planner's order took apart, would get requests it cannot serve.
        if self.view.is_ended(*group.place):
            return False
        for member in group.members:
            if member not in vms or not self._may_work(vms[member]):
                return False
            report = self.view.fresh_report(member, now_s)
            if report is None or report.loading:
                return False
            if (report.group, report.generation) != group.place:
                return False
            if not group.expects_boot(member, report.boot_id):
                return False
            model = group.model or service.model, group.version or service.version
            if (report.model, report.version) != model:
                return False
        return True

    def _may_work(self, vm: inventory.Vm) -> bool:
        zones_out = self.configuration.current.zones_out
        return vm.availability_zone not in zones_out and not self.view.is_leaving(vm.vm)
