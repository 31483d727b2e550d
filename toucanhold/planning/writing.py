"""Writes plan records, and finds out what became of a write whose answer was lost."""

import collections.abc
import logging

import attrs

from toucanhold import codec, events
from toucanhold.coordination import keyvalue, lease
from toucanhold.plans import plan

PLANNER_KEY = "toucanhold/planner"

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class PlanWriter:
    """The only place that changes the stored plan."""

    plans: plan.PlanHolder
    store: keyvalue.KeyValueClient
    leadership: lease.LeasedKey
    _unclear: set[str] = attrs.field(factory=set, init=False)
    _reasons: collections.abc.Mapping = attrs.field(factory=dict, init=False)

    def is_clear(self, domain: str) -> bool:
        """Tell whether the stored record of a domain is known."""
        return domain not in self._unclear

    async def settle(self) -> None:
        """Read back each domain whose last write is unclear.

        :raises keyvalue.KeyValueError: when the service does not answer
        """
        for domain in sorted(self._unclear):
            await self._read_back(domain)

    async def write(
        self, domain_plan: plan.DomainPlan, reasons: collections.abc.Mapping | None = None
    ) -> bool:
        """Write one domain's plan; false where it does not stand.

        :param reasons: why groups are formed and end, by group and generation, for the log
        :raises keyvalue.KeyValueError: when that is not known; the domain is then unclear
        """
        fencing = self.leadership.fencing
        if not fencing:
            # Zero would ask for a planner's key that does not exist, which is true between terms.
            return False
        old = self.plans.domain(domain_plan.domain)
        new = attrs.evolve(domain_plan, fencing=fencing)
        # A planner that was paused past its lease would overwrite its successor's plan. Both
        # conditions are checked by the service itself: the planner's key is still this holder's,
        # and the record is the one that the decision was based on.
        conditions = [
            keyvalue.Condition(PLANNER_KEY, create_revision=fencing),
            keyvalue.Condition(plan.key_of(new.domain), mod_revision=old.revision),
        ]
        record = keyvalue.Write(plan.key_of(new.domain), codec.to_json(new))
        # Orders follow the plan as this entry knows it. While it is not known whether a write
        # took effect, an order by the old plan could undo the new one, so the domain gets none.
        self._unclear.add(new.domain)
        self._reasons = reasons or {}
        try:
            result = await self.store.commit(conditions, [record])
        except keyvalue.UnavailableError:
            self._unclear.discard(new.domain)
            raise
        except keyvalue.IndeterminateError as error:
            events.log(LOGGER, events.Event.PLAN_UNCLEAR, domain=new.domain, reason=str(error))
            await self._read_back(new.domain)
            return self.plans.domain(new.domain).plan == new
        if not result.succeeded:
            await self._read_back(new.domain)
            return False
        self._take(plan.VersionedDomainPlan(new, result.revision))
        return True

    async def _read_back(self, domain: str) -> None:
        item = await self.store.read_key(plan.key_of(domain))
        if item is None:
            await self._restore(domain, 0)
            return
        try:
            self._take(plan.from_item(item))
        except codec.CodecError as error:
            LOGGER.error("the stored plan %s is not readable: %s", item.key, error)
            await self._restore(domain, item.mod_revision)

    async def _restore(self, domain: str, mod_revision: int) -> None:
        # A record that vanished would block its domain for good: every write expects a revision
        # that is gone. The last known plan is written anew, so that its groups go on.
        known = self.plans.domain(domain)
        if known.revision == mod_revision == 0:
            self._unclear.discard(domain)
            return
        fencing = self.leadership.fencing
        if not fencing:
            return
        conditions = [
            keyvalue.Condition(PLANNER_KEY, create_revision=fencing),
            keyvalue.Condition(plan.key_of(domain), mod_revision=mod_revision),
        ]
        restored = attrs.evolve(known.plan, fencing=fencing)
        record = keyvalue.Write(plan.key_of(domain), codec.to_json(restored))
        result = await self.store.commit(conditions, [record])
        if result.succeeded:
            events.log(LOGGER, events.Event.PLAN_RESTORED, domain=domain)
            self._take(plan.VersionedDomainPlan(restored, result.revision))

    def _take(self, versioned: plan.VersionedDomainPlan) -> None:
        old = self.plans.domain(versioned.plan.domain).plan
        if self.plans.apply(versioned):
            _log_changes(old, versioned.plan, self._reasons)
        self._unclear.discard(versioned.plan.domain)


def _log_changes(
    old: plan.DomainPlan, new: plan.DomainPlan, reasons: collections.abc.Mapping
) -> None:
    planned = {group.place for group in new.groups}
    known = {group.place for group in old.groups}
    for group in old.groups:
        if group.place not in planned:
            events.log(
                LOGGER,
                events.Event.GROUP_ENDED,
                group=group.group,
                service=group.service,
                reason=reasons.get(group.place, "another planner's decision"),
            )
    for group in new.groups:
        if group.place not in known:
            events.log(
                LOGGER,
                events.Event.GROUP_PLANNED,
                group=group.group,
                service=group.service,
                members=list(group.members),
                reason=reasons.get(group.place, "another planner's decision"),
            )
