"""Substitutions during an outage of the key-value service, decided beforehand in the plan."""

import logging

import attrs
import trio

from toucanhold import events
from toucanhold.configuration import holder, inventory
from toucanhold.coordination import keyvalue, lease
from toucanhold.planning import input_building, writing
from toucanhold.plans import plan

SUBSTITUTE_AFTER_S = 10.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class Substitution:
    """Lets the last planner put a group's recorded spare in the place of a lost member.

    Without a compare-and-swap nothing new can be decided, so this is a pure function of the record:
    the spare, its place and the generation number were reserved by the last accepted write. Only
    engines that check fencing take part. Orders carry the last term's number or the record's
    revision, so an engine that has seen a newer order refuses them; and entries route to the
    substitute only when all its members report it, as to any group.

    :ivar last_term: fencing number of this entry's last term, 0 where it may not act on it
    """

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    input_builder: input_building.PlacementInputBuilder
    store: keyvalue.KeyValueClient
    leadership: lease.LeasedKey
    last_term: int = attrs.field(default=0, init=False)
    _held_at_s: float = attrs.field(default=float("-inf"), init=False)

    def note_held(self) -> None:
        """Note that this entry holds the lease now."""
        self.last_term, self._held_at_s = self.leadership.fencing, trio.current_time()

    def renounce(self) -> None:
        """Never act on the last term again: a successor has asked about it."""
        self.last_term = 0

    async def may_act(self) -> bool:
        """Tell whether this entry was the last planner and the service does not answer."""
        if not self.last_term or trio.current_time() - self._held_at_s < SUBSTITUTE_AFTER_S:
            return False
        # A successor needs the service, whose record then shows it. Its plan may come by a peer.
        if any(each.plan.fencing > self.last_term for each in self.plans.domains()):
            self.renounce()
            return False
        try:
            item = await self.store.read_key(writing.PLANNER_KEY)
        except keyvalue.KeyValueError:
            return True
        if item is not None and item.create_revision > self.last_term:
            self.renounce()
        return False

    def decide(self) -> set[str]:
        """Put substitutes in the place of broken groups; return the VMs that they consist of."""
        known = self.input_builder.build(0)
        for versioned in self.plans.domains():
            for group in versioned.plan.groups:
                lost = [vm for vm in group.members if known.has_left(vm, group)]
                if len(lost) == 1 and self._all_check(group, lost[0]):
                    if self.plans.set_substitute(group, plan.substitute(group, lost[0])):
                        _log(group, lost[0])
        return {vm for group in self.plans.substitutes() for vm in group.members}

    def _all_check(self, group: plan.Group, lost: str) -> bool:
        vms = self.configuration.current.inventory.by_name()
        members = {*group.members, group.spare} - {lost}
        return bool(group.spare) and all(
            vm in vms and vms[vm].fencing is inventory.Fencing.CHECKED for vm in members
        )


def adopt_complete_substitutes(
    input_builder: input_building.PlacementInputBuilder, plans: plan.PlanHolder
) -> None:
    """Route to each substitute whose members all report it."""
    now_s = trio.current_time()
    for versioned in plans.domains():
        for group in versioned.plan.groups:
            if not group.spare or plans.substitute_of(group) is not None:
                continue
            if input_builder.is_complete(group, now_s):
                continue
            for member in group.members:
                substitute = plan.substitute(group, member)
                if input_builder.is_complete(substitute, now_s):
                    plans.set_substitute(group, substitute)


def _log(group: plan.Group, lost: str) -> None:
    events.log(
        LOGGER,
        events.Event.MEMBER_SUBSTITUTED,
        group=group.group,
        vm=lost,
        spare=group.spare,
        reason="the key-value service does not answer",
    )
