"""Writes plan records, and reads them back when the outcome of a write is unknown."""

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
    """Writes domain plans; no other component changes the stored plan."""

    plans: plan.PlanHolder
    kv_client: keyvalue.KeyValueClient
    planner_lease: lease.LeasedKey
    _unconfirmed: set[str] = attrs.field(factory=set, init=False)
    _change_reasons: collections.abc.Mapping = attrs.field(factory=dict, init=False)

    def is_confirmed(self, domain: str) -> bool:
        """Return whether no write of a domain's record has an unknown outcome."""
        return domain not in self._unconfirmed

    async def read_back_unconfirmed(self) -> None:
        """Read back the record of each domain whose last write has an unknown outcome.

        :raises keyvalue.KeyValueError: when the key-value service does not answer
        """
        for domain in sorted(self._unconfirmed):
            await self._read_back(domain)

    async def write(
        self, domain_plan: plan.DomainPlan, reasons: collections.abc.Mapping | None = None
    ) -> bool:
        """Write one domain's plan and return whether it is now the stored one.

        :param domain_plan: the new plan; the writer sets its fencing number
        :param reasons: why groups are formed or ended, by generation key, for the log
        :raises keyvalue.KeyValueError: when the service does not answer; unless the write is known
            not to have taken effect, the domain then stays unconfirmed
        """
        fencing = self.planner_lease.fencing
        if not fencing:
            # A create revision of 0 would require that the planner key does not exist, which is the
            # case between terms.
            return False
        old = self.plans.domain(domain_plan.domain)
        new = attrs.evolve(domain_plan, fencing=fencing)
        # A planner that was paused beyond its lease would overwrite its successor's plan. The
        # service itself checks both conditions: this entry still holds the planner key, and the
        # record is the one that the decision was based on.
        conditions = [
            keyvalue.Condition(PLANNER_KEY, create_revision=fencing),
            keyvalue.Condition(plan.key_of(new.domain), mod_revision=old.revision),
        ]
        record = keyvalue.Write(plan.key_of(new.domain), codec.to_json(new))
        # Orders follow this entry's copy of the plan. While the outcome of a write is unknown, an
        # order from the old plan could undo the new one, so the domain's engines get no orders.
        self._unconfirmed.add(new.domain)
        self._change_reasons = reasons or {}
        try:
            result = await self.kv_client.commit(conditions, [record])
        except keyvalue.UnavailableError:
            self._unconfirmed.discard(new.domain)
            raise
        except keyvalue.IndeterminateError as error:
            events.log(LOGGER, events.Event.PLAN_UNCLEAR, domain=new.domain, reason=str(error))
            await self._read_back(new.domain)
            return self.plans.domain(new.domain).plan == new
        if not result.succeeded:
            await self._read_back(new.domain)
            return False
        self._apply(plan.VersionedDomainPlan(new, result.revision))
        return True

    async def _read_back(self, domain: str) -> None:
        item = await self.kv_client.read_key(plan.key_of(domain))
        if item is None:
            await self._restore(domain, 0)
            return
        try:
            self._apply(plan.from_item(item))
        except codec.CodecError as error:
            LOGGER.error("cannot decode the plan stored under %s: %s", item.key, error)
            await self._restore(domain, item.mod_revision)

    async def _restore(self, domain: str, mod_revision: int) -> None:
        # A deleted record would block its domain for ever, because every write would expect a
        # revision that no longer exists. The last known plan is therefore written again, so that
        # its groups continue.
        last_known = self.plans.domain(domain)
        if last_known.revision == mod_revision == 0:
            self._unconfirmed.discard(domain)
            return
        fencing = self.planner_lease.fencing
        if not fencing:
            return
        conditions = [
            keyvalue.Condition(PLANNER_KEY, create_revision=fencing),
            keyvalue.Condition(plan.key_of(domain), mod_revision=mod_revision),
        ]
        restored = attrs.evolve(last_known.plan, fencing=fencing)
        record = keyvalue.Write(plan.key_of(domain), codec.to_json(restored))
        result = await self.kv_client.commit(conditions, [record])
        if result.succeeded:
            events.log(LOGGER, events.Event.PLAN_RESTORED, domain=domain)
            self._apply(plan.VersionedDomainPlan(restored, result.revision))

    def _apply(self, versioned: plan.VersionedDomainPlan) -> None:
        old = self.plans.domain(versioned.plan.domain).plan
        if self.plans.apply(versioned):
            _log_changes(old, versioned.plan, self._change_reasons)
        self._unconfirmed.discard(versioned.plan.domain)


def _log_changes(
    old: plan.DomainPlan, new: plan.DomainPlan, reasons: collections.abc.Mapping
) -> None:
    new_keys = {group.generation_key for group in new.groups}
    old_keys = {group.generation_key for group in old.groups}
    for group in old.groups:
        if group.generation_key not in new_keys:
            events.log(
                LOGGER,
                events.Event.GROUP_ENDED,
                group=group.group,
                service=group.service,
                reason=reasons.get(group.generation_key, "decided by another planner"),
            )
    for group in new.groups:
        if group.generation_key not in old_keys:
            events.log(
                LOGGER,
                events.Event.GROUP_PLANNED,
                group=group.group,
                service=group.service,
                members=list(group.members),
                reason=reasons.get(group.generation_key, "decided by another planner"),
            )
