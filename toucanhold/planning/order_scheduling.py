"""Which engine is due which order."""

import collections.abc

import attrs
import trio

from toucanhold.backends import client
from toucanhold.configuration import holder, inventory
from toucanhold.observing import view
from toucanhold.planning import input_building, terms
from toucanhold.plans import plan

ORDER_REPEAT_S = 5.0
QUIET_S = 3.0
SETTLE_S = 10.0


@attrs.frozen
class DueOrder:
    """An order and the VM whose engine is to get it."""

    vm: inventory.Vm
    order: client.Order


@attrs.frozen
class SentOrder:
    """An order that was sent.

    :ivar done_at_s: when its answer came or was given up
    :ivar clear: whether its outcome is known
    :ivar taken: whether the engine accepted it
    """

    order: client.Order
    done_at_s: float
    clear: bool
    taken: bool = False


@attrs.frozen
class Join:
    """A VM that may join its group now."""

    group: plan.Group
    vm: inventory.Vm
    report: client.Report

    @property
    def has_weights(self) -> bool:
        """Whether the VM holds the model already."""
        return (self.report.model, self.report.version) == (self.group.model, self.group.version)


@attrs.define(eq=False)
class OrderScheduler:
    """Compares the plan with what engines report."""

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.View
    term_log: terms.TermLog
    _sent: dict[str, SentOrder] = attrs.field(factory=dict, init=False)
    _unplanned_since_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)

    def note_sent(self, due: DueOrder, clear: bool, taken: bool = False) -> None:
        """Note that an order went out."""
        self._sent[due.vm.vm] = SentOrder(due.order, trio.current_time(), clear, taken)

    def due(self, fencing: int) -> list[DueOrder]:
        """Return the orders to send now, those of the most important services first.

        :param fencing: the planner's fencing number
        """
        now_s = trio.current_time()
        self._note_unplanned(now_s)
        leaves, joins = [], []
        for vm in self.configuration.current.inventory.vms:
            report = self._settled_report(vm, now_s)
            if report is None:
                continue
            wanted = self.plans.group_of(vm.vm, vm.fabric_domain)
            if wanted is not None and self._has_left(vm, report, wanted):
                self.view.end_generation(*wanted.generation_key)
            elif self._must_leave(vm, report, wanted, now_s):
                leaves.append(DueOrder(vm, client.LeaveOrder(self._number(vm, fencing))))
            elif wanted and report.group is None and self._may_join(vm, report, wanted):
                joins.append(Join(wanted, vm, report))
        due = leaves + [self._join_order(join, fencing) for join in self._affordable(joins, now_s)]
        return [each for each in due if not self._was_just_sent(each, now_s)]

    def _note_unplanned(self, now_s: float) -> None:
        planned = {group.generation_key for group in self.plans.groups()}
        seen = {self._reported_generation(vm.vm) for vm in self.configuration.current.inventory.vms}
        self._unplanned_since_s = {
            generation_key: self._unplanned_since_s.get(generation_key, now_s)
            for generation_key in seen
            if generation_key is not None and generation_key not in planned
        }

    def _settled_report(self, vm: inventory.Vm, now_s: float) -> client.Report | None:
        if vm.kind is not inventory.VmKind.ENGINE:
            return None
        sent = self._sent.get(vm.vm)
        if sent is not None:
            # A report asked for before the last order was answered does not show its effect.
            seen = self.view.observation(vm.vm)
            if seen is None or seen.asked_at_s <= sent.done_at_s:
                return None
            # An order without an answer may still be on its way, and an engine that ignores
            # fencing would obey it after a newer one.
            ignores = vm.fencing is inventory.Fencing.IGNORED
            if ignores and not sent.clear and now_s - sent.done_at_s < SETTLE_S:
                return None
        return self.view.fresh_report(vm.vm, now_s)

    def _number(self, vm: inventory.Vm, fencing: int) -> int:
        # The revision of the plan that the order carries out. It grows with each change of the
        # domain's plan, so an engine that checks it refuses not only an old planner's orders but
        # also a late order of the present one.
        return max(fencing, self.plans.domain(vm.fabric_domain).revision)

    def _must_leave(
        self, vm: inventory.Vm, report: client.Report, wanted: plan.Group | None, now_s: float
    ) -> bool:
        generation_key = (report.group, report.generation)
        if report.group is not None:
            planned = wanted is not None and wanted.generation_key == generation_key
            return not planned and self._may_leave(vm, report, now_s)
        sent = self._sent.get(vm.vm)
        if not report.loading or sent is None or not isinstance(sent.order, client.JoinOrder):
            return False
        # It loads for a group that was dropped meanwhile, which can take minutes.
        return wanted is None or wanted.generation_key != (sent.order.group, sent.order.generation)

    def _may_leave(self, vm: inventory.Vm, report: client.Report, now_s: float) -> bool:
        generation_key = (report.group, report.generation)
        former = self.plans.former(generation_key)
        members = former.members if former else self._cohort(vm, generation_key)
        if self._is_broken(members, generation_key, former, now_s):
            # What is in flight there cannot finish: the sooner it breaks off, the sooner it is
            # finished elsewhere.
            return True
        # The first member goes alone. Once it is out no request can reach the group, so the other
        # members may go; the other way round a group with members missing could get one.
        if report.rank != 0 or now_s - self._unplanned_since_s.get(generation_key, now_s) < QUIET_S:
            return False
        # A planned change never cuts requests in flight, on whichever member they run.
        return all(self._is_idle(member, now_s) for member in members)

    def _cohort(self, vm: inventory.Vm, generation_key: tuple[str, int]) -> tuple[str, ...]:
        return tuple(
            other.vm
            for other in self.configuration.current.inventory.vms
            if other.fabric_domain == vm.fabric_domain
            and self._reported_generation(other.vm) == generation_key
        )

    def _is_broken(
        self,
        members: collections.abc.Sequence[str],
        generation_key: tuple[str, int],
        former: plan.Group | None,
        now_s: float,
    ) -> bool:
        ranks = set()
        for member in members:
            seen = self.view.observation(member)
            if seen is None or self.view.is_lost(member, now_s):
                return True
            if self._reported_generation(member) != generation_key:
                return True
            if former is not None and not former.expects_boot(member, seen.report.boot_id):
                return True
            ranks.add(seen.report.rank)
        return ranks != set(range(len(members)))

    def _reported_generation(self, vm: str) -> tuple[str, int] | None:
        seen = self.view.observation(vm)
        if seen is None or seen.report.group is None:
            return None
        return (seen.report.group, seen.report.generation)

    def _is_idle(self, vm: str, now_s: float) -> bool:
        report = self.view.fresh_report(vm, now_s)
        return report is not None and report.running + report.waiting == 0

    def _has_left(self, vm: inventory.Vm, report: client.Report, wanted: plan.Group) -> bool:
        # It took the order, and a report asked for later shows no trace of it: it has joined and
        # left between two reports, as a first member does that looks for another one too early.
        # Some entry may have seen it there and will never again trust this generation; ordered
        # back into it, the group would look whole to the planner and serve nothing elsewhere.
        sent = self._sent.get(vm.vm)
        if sent is None or not sent.taken or not isinstance(sent.order, client.JoinOrder):
            return False
        same = (sent.order.group, sent.order.generation) == wanted.generation_key
        return same and report.group is None and not report.loading

    def _may_join(self, vm: inventory.Vm, report: client.Report, wanted: plan.Group) -> bool:
        # A member that has left never comes back into its old generation: what it held is gone,
        # though the group would look whole again.
        if report.loading or wanted.formed or self.view.is_ended(*wanted.generation_key):
            return False
        if not wanted.expects_boot(vm.vm, report.boot_id):
            return False
        if vm.fencing is inventory.Fencing.CHECKED:
            return True
        # An engine that ignores fencing would obey an earlier planner that wakes up, and leave
        # its new group. Until no earlier planner can act it joins only groups that were planned
        # in their time: whatever they still order follows the same plan.
        oldest = min((term.fencing for term in self.term_log.earlier()), default=None)
        return oldest is None or wanted.generation // input_building.GENERATIONS_PER_TERM <= oldest

    def _affordable(self, joins: list[Join], now_s: float) -> list[Join]:
        # The weight store gives all loads together a fixed rate. Twenty at once would all finish
        # late, the important service's among them.
        rules = self.configuration.current.rules
        importance = {service.name: service.importance for service in rules.services}
        joins.sort(
            key=lambda each: (-importance.get(each.group.service, 0), each.group.generation_key)
        )
        room = rules.max_loading_vms or len(joins) + 1
        room -= self._loading(now_s, {join.vm.vm for join in joins})
        chosen = []
        for join in joins:
            if join.has_weights:
                chosen.append(join)
            elif room > 0:
                chosen.append(join)
                room -= 1
        return chosen

    def _loading(self, now_s: float, joining: set[str]) -> int:
        vms = self.configuration.current.inventory.vms
        return sum(vm.vm not in joining and self._is_loading(vm.vm, now_s) for vm in vms)

    def _is_loading(self, vm: str, now_s: float) -> bool:
        seen, sent = self.view.observation(vm), self._sent.get(vm)
        if seen is None or self.view.is_lost(vm, now_s):
            return False
        ordered = sent is not None and isinstance(sent.order, client.JoinOrder)
        return seen.report.loading or (ordered and seen.asked_at_s <= sent.done_at_s)

    def _join_order(self, join: Join, fencing: int) -> DueOrder:
        vms = self.configuration.current.inventory.by_name()
        group, vm = join.group, join.vm
        order = client.JoinOrder(
            group=group.group,
            generation=group.generation,
            fencing=self._number(vm, fencing),
            rank=group.members.index(vm.vm),
            members=tuple(vms[member].address for member in group.members if member in vms),
            model=group.model,
            version=group.version,
        )
        return DueOrder(vm, order)

    def _was_just_sent(self, due: DueOrder, now_s: float) -> bool:
        sent = self._sent.get(due.vm.vm)
        if sent is None or now_s - sent.done_at_s >= ORDER_REPEAT_S:
            return False
        return attrs.evolve(sent.order, fencing=0) == attrs.evolve(due.order, fencing=0)
