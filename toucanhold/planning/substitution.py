"""Replaces lost members by recorded spares while the key-value service is unavailable."""

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
class OutageSubstitution:
    """Lets the last planner replace a lost member of a group by the recorded spare.

    Without compare-and-swap no new plan can be decided, so the substitute is a pure function of the
    plan record: the last accepted write reserved the spare, its rank and the generation number.
    Only engines that check fencing are eligible. Orders carry the last term's fencing number or the
    record's revision, so an engine that has received a newer order refuses them. Entries route to
    the substitute only when all its members report it, as with any group.

    :ivar last_term: fencing number of this entry's last term; 0 if this entry may not act on it
    """

    configuration: holder.ConfigurationHolder
    plans: plan.PlanHolder
    input_builder: input_building.PlacementInputBuilder
    kv_client: keyvalue.KeyValueClient
    planner_lease: lease.LeasedKey
    last_term: int = attrs.field(default=0, init=False)
    _held_at_s: float = attrs.field(default=float("-inf"), init=False)

    def record_held(self) -> None:
        """Record that this entry holds the planner lease now."""
        self.last_term, self._held_at_s = self.planner_lease.fencing, trio.current_time()

    def renounce(self) -> None:
        """Stop acting on the last term, because a successor exists."""
        self.last_term = 0

    async def may_act(self) -> bool:
        """Return whether this entry was the last planner and the key-value service is down."""
        if not self.last_term or trio.current_time() - self._held_at_s < SUBSTITUTE_AFTER_S:
            return False
        # A successor can be elected only through the service, whose planner key then shows it. Its
        # plan may arrive from a peer while the service is unreachable from here.
        if any(each.plan.fencing > self.last_term for each in self.plans.domains()):
            self.renounce()
            return False
        try:
            item = await self.kv_client.read_key(writing.PLANNER_KEY)
        except keyvalue.KeyValueError:
            return True
        if item is not None and item.create_revision > self.last_term:
            self.renounce()
        return False

    def substitute_lost_members(self) -> set[str]:
        """Set substitutes for broken groups and return the members of all substitutes.

        A group gets one only if it lost exactly one member and records a spare.
        """
        inputs = self.input_builder.build(0)
        for versioned in self.plans.domains():
            for group in versioned.plan.groups:
                lost = [vm for vm in group.members if inputs.has_left(vm, group)]
                if len(lost) == 1 and self._all_check_fencing(group, lost[0]):
                    if self.plans.set_substitute(group, plan.substitute(group, lost[0])):
                        _log_substitution(group, lost[0])
        return {vm for group in self.plans.substitutes() for vm in group.members}

    def _all_check_fencing(self, group: plan.Group, lost: str) -> bool:
        vms = self.configuration.current.inventory.by_name()
        members = {*group.members, group.spare} - {lost}
        return bool(group.spare) and all(
            vm in vms and vms[vm].fencing is inventory.Fencing.CHECKED for vm in members
        )


def adopt_complete_substitutes(
    input_builder: input_building.PlacementInputBuilder, plans: plan.PlanHolder
) -> None:
    """Set each substitute whose members all report it, so that this entry routes to it."""
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


def _log_substitution(group: plan.Group, lost: str) -> None:
    events.log(
        LOGGER,
        events.Event.MEMBER_SUBSTITUTED,
        group=group.group,
        vm=lost,
        spare=group.spare,
        reason="the key-value service does not answer",
    )
