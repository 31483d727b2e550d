"""Writing groups so that only the present planner's writes take effect, in their order."""

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
# The shortest lease that survives one lost renewal: it is renewed four times in this time.
PLANNER_LEASE_S = 2

# The key-value service takes 32 rows in one write; two are conditions and one the plan's mark.
MAX_GROUPS_PER_WRITE = 24

LOGGER = logging.getLogger(__name__)


class PlanWriteError(Exception):
    """A change of the plan was not written, or perhaps not."""


@attrs.define(eq=False)
class PlanWriter:
    """Writes of one planner.

    Each write moves the plan's key on from the revision that the writer has seen. So a write whose
    answer was lost cannot take effect any more once a later one has, and none of an earlier
    planner can: two groups could otherwise come to share a server.
    """

    kv_client: keyvalue.KeyValueClient
    kv_mirror: mirror.Mirror
    planner_lease: lease.LeasedKey
    group_table: records.GroupTable
    _last_written_revision: int | None = attrs.field(default=None, init=False)
    _lock: trio.Lock = attrs.field(factory=trio.Lock, init=False)

    async def create(self, drafts: list[records.GroupRecord]) -> list[records.Group]:
        """Write new groups, at most :data:`MAX_GROUPS_PER_WRITE`.

        :raises PlanWriteError: when that failed
        """
        async with self._lock:
            # A write that was taken for lost may have taken effect since the decision.
            groups_by_server = self.group_table.groups_by_server()
            members = [member for draft in drafts for member in draft.members]
            if any(member.server_id in groups_by_server for member in members):
                raise PlanWriteError("a server has been taken meanwhile")
            revision = await self._write([self._put_write(draft) for draft in drafts])
        groups = [records.Group(draft, revision, revision) for draft in drafts]
        for group in groups:
            self.group_table.put(group)
        return groups

    async def mark_ending(self, group: records.Group) -> None:
        """Let no entry send new work to a group.

        :raises PlanWriteError: when that failed
        """
        record = attrs.evolve(group.record, phase=records.Phase.ENDING)
        async with self._lock:
            revision = await self._write([self._put_write(record)])
        self.group_table.put(records.Group(record, group.epoch, revision))

    async def remove(self, group: records.Group) -> None:
        """Delete a group whose servers are free.

        :raises PlanWriteError: when that failed
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
        mark = keyvalue.Write(PLAN_KEY, uuid.uuid4().hex.encode())
        self._last_written_revision = None
        try:
            result = await self.kv_client.commit(conditions, [mark, *writes])
        except keyvalue.KeyValueError as error:
            events.log(LOGGER, events.Event.PLAN_WRITE_FAILED, reason=str(error))
            raise PlanWriteError(str(error)) from error
        if not result.succeeded:
            raise PlanWriteError("the plan has changed meanwhile")
        self._last_written_revision = result.revision
        return result.revision

    def _expected_revision(self) -> int:
        # The mirror's revision is that of the groups on the board; a read of its own could be
        # ahead of them, and the write would then rest on groups that nobody here has seen.
        if self._last_written_revision is not None:
            return self._last_written_revision
        item = self.kv_mirror.items.get(PLAN_KEY)
        return item.mod_revision if item is not None else 0

    def _put_write(self, record: records.GroupRecord) -> keyvalue.Write:
        return keyvalue.Write(records.GROUPS_PREFIX + record.group, records.encode(record))


def new_group_name() -> str:
    """Return a name that no other group has or had."""
    return "g" + uuid.uuid4().hex[:12]
