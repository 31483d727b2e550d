"""Decides which order each engine is due, from the plan and the engines' reports."""

import collections.abc

import attrs
import trio

from toucanhold.backends import client
from toucanhold.configuration import holder, inventory
from toucanhold.observing import view
from toucanhold.planning import input_building, terms
from toucanhold.plans import plan

ORDER_REPEAT_INTERVAL_S = 5.0
LEAVE_DELAY_S = 3.0
UNKNOWN_OUTCOME_WAIT_S = 10.0


@attrs.frozen
class DueOrder:
    """An order to send and the VM whose engine is to receive it."""

    vm: inventory.Vm
    order: client.Order


@attrs.frozen
class SentOrder:
    """The last order that was sent to an engine.

    :ivar done_at_s: when its answer came or the attempt failed, on the monotonic clock
    :ivar has_known_outcome: false if the engine may or may not have received the order
    :ivar was_accepted: whether the engine accepted it
    """

    order: client.Order
    done_at_s: float
    has_known_outcome: bool
    was_accepted: bool = False


@attrs.frozen
class JoinCandidate:
    """A VM that may join its planned group now, and its latest report."""

    group: plan.Group
    vm: inventory.Vm
    report: client.Report

    @property
    def has_weights(self) -> bool:
        """Whether the VM has loaded the group's model and version already."""
        return (self.report.model, self.report.version) == (self.group.model, self.group.version)


@attrs.define(eq=False)
class OrderScheduler:
    """Compares the plan with engines' reports and returns the orders that are due."""

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.BackendView
    term_log: terms.TermLog
    _sent: dict[str, SentOrder] = attrs.field(factory=dict, init=False)
    _unplanned_since_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)

    def record_sent(
        self, due: DueOrder, has_known_outcome: bool, was_accepted: bool = False
    ) -> None:
        """Record that an order was sent, and with what result."""
        self._sent[due.vm.vm] = SentOrder(
            due.order, trio.current_time(), has_known_outcome, was_accepted
        )

    def due_orders(self, fencing: int) -> list[DueOrder]:
        """Return the orders to send now: leave orders, then joins by importance of the service.

        :param fencing: the planner's fencing number
        """
        now_s = trio.current_time()
        self._update_unplanned(now_s)
        leave_orders, join_candidates = [], []
        for vm in self.configuration.current.inventory.vms:
            report = self._current_report(vm, now_s)
            if report is None:
                continue
            planned_group = self.plans.group_of(vm.vm, vm.fabric_domain)
            if planned_group is not None and self._has_left_after_joining(
                vm, report, planned_group
            ):
                self.view.end_generation(*planned_group.generation_key)
            elif self._must_leave(vm, report, planned_group, now_s):
                leave_orders.append(
                    DueOrder(vm, client.LeaveOrder(self._order_fencing(vm, fencing)))
                )
            elif (
                planned_group and report.group is None and self._may_join(vm, report, planned_group)
            ):
                join_candidates.append(JoinCandidate(planned_group, vm, report))
        orders = leave_orders + [
            self._join_order(join, fencing)
            for join in self._within_load_limit(join_candidates, now_s)
        ]
        return [each for each in orders if not self._was_just_sent(each, now_s)]

    def _update_unplanned(self, now_s: float) -> None:
        planned_keys = {group.generation_key for group in self.plans.groups()}
        reported = {
            self._reported_generation(vm.vm) for vm in self.configuration.current.inventory.vms
        }
        self._unplanned_since_s = {
            generation_key: self._unplanned_since_s.get(generation_key, now_s)
            for generation_key in reported
            if generation_key is not None and generation_key not in planned_keys
        }

    def _current_report(self, vm: inventory.Vm, now_s: float) -> client.Report | None:
        if vm.kind is not inventory.VmKind.ENGINE:
            return None
        sent = self._sent.get(vm.vm)
        if sent is not None:
            # A report requested before the last order was answered may not show its effect.
            observation = self.view.observation(vm.vm)
            if observation is None or observation.asked_at_s <= sent.done_at_s:
                return None
            # An unanswered order may still be in transit, and an engine that ignores fencing would
            # obey it even after a newer one.
            ignores_fencing = vm.fencing is inventory.Fencing.IGNORED
            if (
                ignores_fencing
                and not sent.has_known_outcome
                and now_s - sent.done_at_s < UNKNOWN_OUTCOME_WAIT_S
            ):
                return None
        return self.view.fresh_report(vm.vm, now_s)

    def _order_fencing(self, vm: inventory.Vm, fencing: int) -> int:
        # Orders carry the revision of the domain's plan, which grows with each change. An engine
        # that checks fencing therefore refuses not only a former planner's orders but also a late
        # order of the current planner.
        return max(fencing, self.plans.domain(vm.fabric_domain).revision)

    def _must_leave(
        self,
        vm: inventory.Vm,
        report: client.Report,
        planned_group: plan.Group | None,
        now_s: float,
    ) -> bool:
        generation_key = (report.group, report.generation)
        if report.group is not None:
            is_planned = (
                planned_group is not None and planned_group.generation_key == generation_key
            )
            return not is_planned and self._may_leave(vm, report, now_s)
        sent = self._sent.get(vm.vm)
        if not report.loading or sent is None or not isinstance(sent.order, client.JoinOrder):
            return False
        # The VM is loading for a group that has been dropped since; the load can take minutes.
        return planned_group is None or planned_group.generation_key != (
            sent.order.group,
            sent.order.generation,
        )

    def _may_leave(self, vm: inventory.Vm, report: client.Report, now_s: float) -> bool:
        generation_key = (report.group, report.generation)
        former_group = self.plans.former_group(generation_key)
        members = (
            former_group.members if former_group else self._reporting_members(vm, generation_key)
        )
        if self._is_broken(members, generation_key, former_group, now_s):
            # Requests in flight cannot finish in a broken group: the sooner they fail, the sooner
            # they are completed elsewhere.
            return True
        # The first member leaves before the others. Once it has left, no request can reach the
        # group. If another member left first, an incomplete group could receive requests.
        if (
            report.rank != 0
            or now_s - self._unplanned_since_s.get(generation_key, now_s) < LEAVE_DELAY_S
        ):
            return False
        # A planned change never interrupts requests in flight on any member.
        return all(self._is_idle(member, now_s) for member in members)

    def _reporting_members(
        self, vm: inventory.Vm, generation_key: tuple[str, int]
    ) -> tuple[str, ...]:
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
        former_group: plan.Group | None,
        now_s: float,
    ) -> bool:
        ranks = set()
        for member in members:
            observation = self.view.observation(member)
            if observation is None or self.view.is_lost(member, now_s):
                return True
            if self._reported_generation(member) != generation_key:
                return True
            if former_group is not None and not former_group.expects_boot(
                member, observation.report.boot_id
            ):
                return True
            ranks.add(observation.report.rank)
        return ranks != set(range(len(members)))

    def _reported_generation(self, vm: str) -> tuple[str, int] | None:
        observation = self.view.observation(vm)
        if observation is None or observation.report.group is None:
            return None
        return (observation.report.group, observation.report.generation)

    def _is_idle(self, vm: str, now_s: float) -> bool:
        report = self.view.fresh_report(vm, now_s)
        return report is not None and report.running + report.waiting == 0

    def _has_left_after_joining(
        self, vm: inventory.Vm, report: client.Report, planned_group: plan.Group
    ) -> bool:
        # The engine accepted the order to join, but a later report shows neither the group nor a
        # load: it joined and left between two reports, as a first member does that connects to
        # another member too early. Another entry may have observed it in the group and treats the
        # generation as ended; if the engine rejoined, the group would look complete to the planner
        # and get no requests from that entry.
        sent = self._sent.get(vm.vm)
        if sent is None or not sent.was_accepted or not isinstance(sent.order, client.JoinOrder):
            return False
        is_same_generation = (
            sent.order.group,
            sent.order.generation,
        ) == planned_group.generation_key
        return is_same_generation and report.group is None and not report.loading

    def _may_join(self, vm: inventory.Vm, report: client.Report, planned_group: plan.Group) -> bool:
        # A member that has left never rejoins its old generation: it has lost the group's state,
        # although the group would look complete again.
        if (
            report.loading
            or planned_group.formed
            or self.view.is_ended(*planned_group.generation_key)
        ):
            return False
        if not planned_group.expects_boot(vm.vm, report.boot_id):
            return False
        if vm.fencing is inventory.Fencing.CHECKED:
            return True
        # An engine that ignores fencing would obey an earlier planner that resumes after a pause,
        # and leave its new group. Until no earlier planner can act, such an engine joins only
        # groups that were planned in the earlier planners' terms: their remaining orders follow the
        # same plan.
        oldest_fencing = min((term.fencing for term in self.term_log.predecessors()), default=None)
        return (
            oldest_fencing is None
            or planned_group.generation // input_building.GENERATIONS_PER_TERM <= oldest_fencing
        )

    def _within_load_limit(
        self, join_candidates: list[JoinCandidate], now_s: float
    ) -> list[JoinCandidate]:
        # The weight store serves all loads together at a fixed rate. If twenty ran at once, all
        # would finish late, including those of the most important service.
        rules = self.configuration.current.rules
        importance = {service.name: service.importance for service in rules.services}
        join_candidates.sort(
            key=lambda each: (-importance.get(each.group.service, 0), each.group.generation_key)
        )
        load_slots = rules.max_loading_vms or len(join_candidates) + 1
        load_slots -= self._loading_count(now_s, {join.vm.vm for join in join_candidates})
        selected = []
        for join in join_candidates:
            if join.has_weights:
                selected.append(join)
            elif load_slots > 0:
                selected.append(join)
                load_slots -= 1
        return selected

    def _loading_count(self, now_s: float, candidates: set[str]) -> int:
        vms = self.configuration.current.inventory.vms
        return sum(vm.vm not in candidates and self._is_loading(vm.vm, now_s) for vm in vms)

    def _is_loading(self, vm: str, now_s: float) -> bool:
        observation, sent = self.view.observation(vm), self._sent.get(vm)
        if observation is None or self.view.is_lost(vm, now_s):
            return False
        was_ordered = sent is not None and isinstance(sent.order, client.JoinOrder)
        return observation.report.loading or (
            was_ordered and observation.asked_at_s <= sent.done_at_s
        )

    def _join_order(self, join: JoinCandidate, fencing: int) -> DueOrder:
        vms = self.configuration.current.inventory.by_name()
        group, vm = join.group, join.vm
        order = client.JoinOrder(
            group=group.group,
            generation=group.generation,
            fencing=self._order_fencing(vm, fencing),
            rank=group.members.index(vm.vm),
            members=tuple(vms[member].address for member in group.members if member in vms),
            model=group.model,
            version=group.version,
        )
        return DueOrder(vm, order)

    def _was_just_sent(self, due: DueOrder, now_s: float) -> bool:
        sent = self._sent.get(due.vm.vm)
        if sent is None or now_s - sent.done_at_s >= ORDER_REPEAT_INTERVAL_S:
            return False
        return attrs.evolve(sent.order, fencing=0) == attrs.evolve(due.order, fencing=0)
