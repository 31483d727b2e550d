"""The planner: forms groups, writes the plan and sends orders to engines."""

import logging
import uuid

import attrs
import trio

from toucanhold import events, supervision
from toucanhold.backends import client
from toucanhold.configuration import holder
from toucanhold.coordination import keyvalue, lease
from toucanhold.observing import view
from toucanhold.planning import (
    input_building,
    order_scheduling,
    placement,
    substitution,
    terms,
    writing,
)
from toucanhold.plans import plan

PLANNER_KEY = writing.PLANNER_KEY
TICK_INTERVAL_S = 0.25
ORDER_TIMEOUT_S = 2.0
LEASE_MARGIN_S = 0.5

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Planner:
    """Plans while this entry holds the planner lease.

    :ivar entry: this entry's name
    :ivar peers_address: ``IP:port`` at which this entry accepts peers' connections
    :ivar probe: determines whether earlier planners can still act
    :ivar process: identifier of this process; a restarted entry has another
    :ivar shortfalls: services short of replicas, as of the last decision
    """

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    view: view.BackendView
    policy: placement.PlacementPolicy
    kv_client: keyvalue.KeyValueClient
    backends: client.BackendClient
    planner_lease: lease.LeasedKey
    entry: str = ""
    peers_address: str = ""
    probe: terms.PredecessorProbe = attrs.field(factory=terms.NoProbe)
    process: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    shortfalls: tuple[placement.Shortfall, ...] = ()
    input_builder: input_building.PlacementInputBuilder = attrs.field(init=False)
    plan_writer: writing.PlanWriter = attrs.field(init=False)
    term_log: terms.TermLog = attrs.field(init=False)
    order_scheduler: order_scheduling.OrderScheduler = attrs.field(init=False)
    outage_substitution: substitution.OutageSubstitution = attrs.field(init=False)
    _logged_fencing: int = attrs.field(default=0, init=False)
    _sending_count: int = attrs.field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the planner's components."""
        self.input_builder = input_building.PlacementInputBuilder(
            self.configuration, self.plans, self.view
        )
        self.plan_writer = writing.PlanWriter(self.plans, self.kv_client, self.planner_lease)
        self.term_log = terms.TermLog(
            self.kv_client,
            self.planner_lease,
            self.entry,
            self.process,
            self.peers_address,
            self.probe,
        )
        self.order_scheduler = order_scheduling.OrderScheduler(
            self.configuration, self.plans, self.view, self.term_log
        )
        self.outage_substitution = substitution.OutageSubstitution(
            self.configuration, self.plans, self.input_builder, self.kv_client, self.planner_lease
        )

    async def run(self) -> None:
        """Plan until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervision.keep_running, self.term_log.run)
            while True:
                self._log_leadership_change()
                self.view.prune_ended({group.group for group in self.plans.groups()})
                substitution.adopt_complete_substitutes(self.input_builder, self.plans)
                if self.configuration.current.number:
                    await self._plan_or_substitute()
                await trio.sleep(TICK_INTERVAL_S)

    def placement_input(self) -> placement.PlacementInput:
        """Return the inputs of a placement decision now."""
        return self.input_builder.build(self.planner_lease.fencing)

    def renounce(self, fencing: int) -> None:
        """Stop acting on the term ``fencing``, unless its lease is still held."""
        if self.outage_substitution.last_term <= fencing and not self.planner_lease.is_held():
            self.outage_substitution.renounce()

    def can_act(self, fencing: int) -> bool:
        """Return whether this entry may still send an order of the term ``fencing``."""
        holds_lease = self.planner_lease.is_held() and self.planner_lease.fencing == fencing
        return holds_lease or self._sending_count > 0

    async def _plan_or_substitute(self) -> None:
        try:
            if self.planner_lease.is_held():
                self.outage_substitution.record_held()
                await self._tick()
            elif await self.outage_substitution.may_act():
                await self._substitute()
        except keyvalue.KeyValueError as error:
            LOGGER.debug("planning postponed to the next tick: %s", error)

    async def _substitute(self) -> None:
        vms = self.outage_substitution.substitute_lost_members()
        last_term = self.outage_substitution.last_term
        async with trio.open_nursery() as nursery:
            for due in self.order_scheduler.due_orders(last_term):
                if due.vm.vm in vms:
                    nursery.start_soon(supervision.run, self._deliver, due, ORDER_TIMEOUT_S)

    async def _tick(self) -> None:
        fencing = self.planner_lease.fencing
        await self.term_log.record_term()
        await self.plan_writer.read_back_unconfirmed()
        inputs = self.placement_input()
        placed = self.policy.place(inputs)
        self._log_new_shortfalls(placed.shortfalls)
        for domain_plan in placed.changed:
            old = self.plans.domain(domain_plan.domain).plan
            reasons = {group.generation_key: inputs.reason_to_end(group) for group in old.groups}
            new = set(domain_plan.groups) - set(old.groups)
            reasons |= {group.generation_key: inputs.reason_to_form(group) for group in new}
            await self.plan_writer.write(domain_plan, reasons)
        await self._record_formed(inputs.complete_generations)
        if not self.term_log.is_term_recorded:
            return
        async with trio.open_nursery() as nursery:
            for due in self.order_scheduler.due_orders(fencing):
                if self.plan_writer.is_confirmed(due.vm.fabric_domain):
                    nursery.start_soon(supervision.run, self._send, due, fencing)

    async def _record_formed(self, complete: frozenset[tuple[str, int]]) -> None:
        for versioned in self.plans.domains():
            old = versioned.plan
            groups = tuple(
                attrs.evolve(group, formed=group.formed or group.generation_key in complete)
                for group in old.groups
            )
            if groups != old.groups and await self.plan_writer.write(
                attrs.evolve(old, groups=groups)
            ):
                _log_formed(old, groups)

    async def _send(self, due: order_scheduling.DueOrder, fencing: int) -> None:
        # A tick can take seconds when the store is slow, and a process can be paused anywhere. The
        # lease is therefore checked again just before the order is sent, with a margin for its
        # delivery.
        remaining_s = self.planner_lease.remaining_s()
        if remaining_s < LEASE_MARGIN_S or self.planner_lease.fencing != fencing:
            return
        await self._deliver(due, min(ORDER_TIMEOUT_S, remaining_s))

    async def _deliver(self, due: order_scheduling.DueOrder, timeout_s: float) -> None:
        vm, order = due.vm, due.order
        has_known_outcome, was_accepted = True, False
        self._sending_count += 1
        try:
            await self.backends.send_order(vm.address, order, timeout_s)
            was_accepted = True
        except client.BackendError as error:
            has_known_outcome = isinstance(error, client.NotSentError | client.OrderRefusedError)
            events.log(LOGGER, events.Event.ORDER_FAILED, vm=vm.vm, reason=str(error))
            return
        finally:
            self._sending_count -= 1
            self.order_scheduler.record_sent(due, has_known_outcome, was_accepted)
        events.log(
            LOGGER, events.Event.ORDER_SENT, vm=vm.vm, order=order.order, fencing=order.fencing
        )

    def _log_leadership_change(self) -> None:
        fencing = self.planner_lease.fencing if self.planner_lease.is_held() else 0
        if fencing and fencing != self._logged_fencing:
            events.log(LOGGER, events.Event.PLANNER_ELECTED, fencing=fencing)
        if self._logged_fencing and not fencing:
            events.log(LOGGER, events.Event.PLANNER_LOST, fencing=self._logged_fencing)
        self._logged_fencing = fencing

    def _log_new_shortfalls(self, shortfalls: tuple[placement.Shortfall, ...]) -> None:
        for shortfall in set(shortfalls) - set(self.shortfalls):
            events.log(
                LOGGER,
                events.Event.SERVICE_SHORT,
                service=shortfall.service,
                wanted=shortfall.wanted,
                placed=shortfall.placed,
            )
        self.shortfalls = shortfalls


def _log_formed(old: plan.DomainPlan, groups: tuple[plan.Group, ...]) -> None:
    for before, after in zip(old.groups, groups, strict=True):
        if after.formed and not before.formed:
            events.log(LOGGER, events.Event.GROUP_FORMED, group=after.group, service=after.service)
