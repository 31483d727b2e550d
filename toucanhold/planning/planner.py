"""The planner: forms groups, writes the plan, and gives engines their orders."""

import logging

import attrs
import trio

from toucanhold import codec, events
from toucanhold.backends import client
from toucanhold.configuration import holder, inventory
from toucanhold.observing import view
from toucanhold.planning import placement, plan
from toucanhold.platform import keyvalue, lease

PLANNER_KEY = "toucanhold/planner"
TICK_INTERVAL_S = 0.25
ORDER_TIMEOUT_S = 2.0
ORDER_REPEAT_S = 5.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Planner:
    """Plans while this entry holds the planner lease."""

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.View
    policy: placement.PlacementPolicy
    store: keyvalue.KeyValueClient
    backends: client.BackendClient
    leadership: lease.LeasedKey
    shortfalls: tuple[placement.Shortfall, ...] = ()
    _fencing: int = attrs.field(default=0, init=False)
    _ordered: dict[str, tuple[client.Order, float]] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            self._note_leadership()
            if self.leadership.is_held() and self.configuration.current.number:
                try:
                    await self._tick()
                except keyvalue.KeyValueError as error:
                    LOGGER.debug("planning is put off: %s", error)
            await trio.sleep(TICK_INTERVAL_S)

    def facts(self) -> placement.PlacementInput:
        """Return what a placement would rest on now."""
        now_s = trio.current_time()
        configuration = self.configuration.current
        usable = frozenset(
            vm.vm
            for vm in configuration.inventory.vms
            if vm.availability_zone not in configuration.zones_out
            and self.view.report_age_s(vm.vm, now_s) != float("inf")
            and not self.view.is_lost(vm.vm, now_s)
            and not self.view.is_leaving(vm.vm)
        )
        plans = {each.plan.domain: each.plan for each in self.plans.domains()}
        return placement.PlacementInput(configuration, plans, usable)

    async def _tick(self) -> None:
        decided = self.policy.place(self.facts())
        self._note_shortfalls(decided.shortfalls)
        for domain_plan in decided.changed:
            await self._write(domain_plan)
        async with trio.open_nursery() as nursery:
            for vm, order in self._due_orders():
                nursery.start_soon(self._send, vm, order)

    async def _write(self, domain_plan: plan.DomainPlan) -> None:
        fencing = self.leadership.fencing
        old = self.plans.domain(domain_plan.domain)
        new = attrs.evolve(domain_plan, fencing=fencing)
        # A planner that was paused past its lease would overwrite its successor's plan. Both
        # conditions are checked by the service itself: the planner's key is still this holder's,
        # and the record is the one that the decision was based on.
        conditions = [
            keyvalue.Condition(PLANNER_KEY, create_revision=fencing),
            keyvalue.Condition(plan.PLAN_PREFIX + new.domain, mod_revision=old.revision),
        ]
        write = keyvalue.Write(plan.PLAN_PREFIX + new.domain, codec.to_json(new))
        result = await self.store.commit(conditions, [write])
        if result.succeeded:
            self.plans.apply(plan.VersionedDomainPlan(new, result.revision))
            _log_changes(old.plan, new)

    def _due_orders(self) -> list[tuple[inventory.Vm, client.Order]]:
        now_s = trio.current_time()
        due = []
        for vm in self.configuration.current.inventory.vms:
            report = self.view.fresh_report(vm.vm, now_s)
            if vm.kind is not inventory.VmKind.ENGINE or report is None:
                continue
            order = self._order_for(vm, report)
            if order is None:
                self._ordered.pop(vm.vm, None)
                continue
            last, sent_at_s = self._ordered.get(vm.vm, (None, 0.0))
            if order != last or now_s - sent_at_s > ORDER_REPEAT_S:
                self._ordered[vm.vm] = (order, now_s)
                due.append((vm, order))
        return due

    def _order_for(self, vm: inventory.Vm, report: client.Report) -> client.Order | None:
        fencing = self.leadership.fencing
        group = self._planned_group(vm)
        if group is not None and (report.group, report.generation) == (
            group.group,
            group.generation,
        ):
            return None
        if report.group is not None:
            # Requests in flight finish first: a planned change never cuts them.
            return client.LeaveOrder(fencing) if report.running == 0 else None
        if group is None or report.loading:
            return None
        return self._join_order(group, vm, fencing)

    def _planned_group(self, vm: inventory.Vm) -> plan.Group | None:
        groups = self.plans.domain(vm.fabric_domain).plan.groups
        return next((group for group in groups if vm.vm in group.members), None)

    def _join_order(
        self, group: plan.Group, vm: inventory.Vm, fencing: int
    ) -> client.JoinOrder | None:
        configuration = self.configuration.current
        vms = configuration.inventory.by_name()
        service = configuration.rules.service(group.service)
        if service is None or any(member not in vms for member in group.members):
            return None
        return client.JoinOrder(
            group=group.group,
            generation=group.generation,
            fencing=fencing,
            rank=group.members.index(vm.vm),
            members=tuple(vms[member].address for member in group.members),
            model=service.model,
            version=service.version,
        )

    async def _send(self, vm: inventory.Vm, order: client.Order) -> None:
        if not self.leadership.is_held():
            return
        try:
            await self.backends.send_order(vm.address, order, ORDER_TIMEOUT_S)
        except client.BackendError as error:
            events.log(LOGGER, events.Event.ORDER_FAILED, vm=vm.vm, reason=str(error))
            return
        events.log(
            LOGGER, events.Event.ORDER_SENT, vm=vm.vm, order=order.order, fencing=order.fencing
        )

    def _note_leadership(self) -> None:
        fencing = self.leadership.fencing if self.leadership.is_held() else 0
        if fencing and fencing != self._fencing:
            events.log(LOGGER, events.Event.PLANNER_ELECTED, fencing=fencing)
        if self._fencing and not fencing:
            events.log(LOGGER, events.Event.PLANNER_LOST, fencing=self._fencing)
        self._fencing = fencing

    def _note_shortfalls(self, shortfalls: tuple[placement.Shortfall, ...]) -> None:
        for shortfall in set(shortfalls) - set(self.shortfalls):
            events.log(
                LOGGER,
                events.Event.SERVICE_SHORT,
                service=shortfall.service,
                wanted=shortfall.wanted,
                placed=shortfall.placed,
            )
        self.shortfalls = shortfalls


def _log_changes(old: plan.DomainPlan, new: plan.DomainPlan) -> None:
    for group in set(old.groups) - set(new.groups):
        events.log(LOGGER, events.Event.GROUP_ENDED, group=group.group, service=group.service)
    for group in set(new.groups) - set(old.groups):
        events.log(
            LOGGER,
            events.Event.GROUP_PLANNED,
            group=group.group,
            service=group.service,
            members=list(group.members),
        )
