"""Writes group records such that only the current planner's writes take effect, in order."""

from __future__ import annotations

import logging
import uuid

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import keyvalue, lease, mirror
from toucanhold.replicas import records

PLANNER_KEY = "toucanhold/planner"
PLAN_KEY = "toucanhold/plan"
# Lease time to live. It is renewed four times in this period; a shorter lease would lapse after one
# lost renewal.
PLANNER_LEASE_S = 2

# The key-value service accepts 32 rows per commit; two are conditions and one is the plan key.
MAX_GROUPS_PER_WRITE = 24

LOGGER = logging.getLogger(__name__)


class PlanWriteError(Exception):
    """A group record was not written, or it is unknown whether it was."""


@attrs.define(eq=False)
class PlanWriter:
    """Writes the group records of one planner.

    Each commit also updates :data:`PLAN_KEY`, on condition that its revision is the one that the
    writer has seen. A commit whose answer was lost can thus not take effect after a later one, nor
    can any commit of an earlier planner. Otherwise two groups could share a server.
    """

    kv_client: keyvalue.KeyValueClient
    kv_mirror: mirror.Mirror
    planner_lease: lease.LeasedKey
    group_table: records.GroupTable
    _last_written_revision: int | None = attrs.field(default=None, init=False)
    _lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)

    async def create(self, new_records: list[records.GroupRecord]) -> list[records.Group]:
        """Write new groups, at most :data:`MAX_GROUPS_PER_WRITE`.

        :raises PlanWriteError: if the commit failed or a member already belongs to a group
        """
        async with self._lock:
            # A commit that seemed to have failed may have taken effect since the decision.
            groups_by_server = self.group_table.groups_by_server()
            members = [member for record in new_records for member in record.members]
            if any(member.server_id in groups_by_server for member in members):
                raise PlanWriteError("a server already belongs to another group")
            revision = await self._write([self._put_write(record) for record in new_records])
        groups = [records.Group(record, revision, revision) for record in new_records]
        for group in groups:
            self.group_table.put(group)
        return groups

    async def mark_ending(self, group: records.Group, departing: tuple[str, ...] = ()) -> None:
        """Mark a group as ending, so that no entry sends it new requests.

        :param departing: names of the members that are about to stop
        :raises PlanWriteError: if the commit failed
        """
        record = attrs.evolve(group.record, phase=records.Phase.ENDING, departing=departing)
        async with self._lock:
            revision = await self._write([self._put_write(record)])
        self.group_table.put(records.Group(record, group.epoch, revision))

    async def remove(self, group: records.Group) -> None:
        """Delete the record of a group whose servers are free.

        :raises PlanWriteError: if the commit failed
        """
        async with self._lock:
            await self._write([keyvalue.Write(records.GROUPS_PREFIX + group.name, None)])
        self.group_table.remove(group.name)

    async def _write(self, writes: list[keyvalue.Write]) -> int:
        if not self.planner_lease.is_held():
            raise PlanWriteError("this entry is not the planner")
        conditions = [
            keyvalue.Condition(PLANNER_KEY, mod_revision=self.planner_lease.fencing),
            keyvalue.Condition(PLAN_KEY, mod_revision=self._expected_revision()),
        ]
        plan_key_write = keyvalue.Write(PLAN_KEY, uuid.uuid4().hex.encode())
        self._last_written_revision = None
        try:
            result = await self.kv_client.commit(conditions, [plan_key_write, *writes])
        except keyvalue.KeyValueError as error:
            events.log(LOGGER, events.Event.PLAN_WRITE_FAILED, reason=str(error))
            raise PlanWriteError(str(error)) from error
        if not result.succeeded:
            raise PlanWriteError("the plan or the planner has changed since the last read")
        self._last_written_revision = result.revision
        return result.revision

    def _expected_revision(self) -> int:
        # The mirror's revision matches the group table. A separate read could be ahead of it, and
        # the commit would then rely on groups that this process has not seen.
        if self._last_written_revision is not None:
            return self._last_written_revision
        item = self.kv_mirror.items.get(PLAN_KEY)
        return item.mod_revision if item is not None else 0

    def _put_write(self, record: records.GroupRecord) -> keyvalue.Write:
        return keyvalue.Write(records.GROUPS_PREFIX + record.group, records.encode(record))


def new_group_name() -> str:
    """Return a random name that is unique over time."""
    return "g" + uuid.uuid4().hex[:12]
