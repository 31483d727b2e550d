"""Claiming, recording and releasing by compare-and-swap, also when answers are lost."""

import logging

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import keyvalue
from toucanhold.orders import commits, leases, records

CLAIM_TIMEOUT_S = 3.0
# A service that refuses connections will hardly take them in three seconds; the caller can be told
# at once.
REFUSED_TIMEOUT_S = 0.3
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
LATE_WRITE_LIMIT_S = 60.0
MAX_ABANDONED = 200
FULL_S = 60.0

LOGGER = logging.getLogger(__name__)


class ClaimUnavailableError(Exception):
    """The key was not claimed, and nothing may be sent.

    :ivar may_stand: whether a claim that nobody uses may have been written
    :ivar retry_after_s: when coming back may help
    """

    def __init__(self, reason: str, may_stand: bool, retry_after_s: float) -> None:
        super().__init__(reason)
        self.may_stand = may_stand
        self.retry_after_s = retry_after_s


@attrs.frozen
class HeldClaim:
    """A claim that this entry holds, and the revision at which it was written.

    :ivar late_write: whether an earlier write of it may yet arrive
    """

    key: str
    record: records.ClaimRecord
    mod_revision: int
    late_write: bool = False


@attrs.define(eq=False)
class ClaimStore:
    """The claims in the key-value service."""

    client: keyvalue.KeyValueClient
    committer: commits.Committer
    leases: leases.ClaimLeases
    _abandoned: set[str] = attrs.field(factory=set, init=False)

    async def claim(self, key: str, record: records.ClaimRecord) -> HeldClaim | records.ClaimRecord:
        """Claim ``key``; where it is claimed already, return the record that stands.

        :raises ClaimUnavailableError: when neither can be learnt in time
        """
        if len(self._abandoned) >= MAX_ABANDONED:
            # Each of these is looked for every few seconds; more would load a service that has
            # just come back. Nothing is written for the order refused here.
            raise ClaimUnavailableError("many claims are unclear", False, MAX_BACKOFF_S)
        if not self.leases.has_room():
            raise ClaimUnavailableError("the service holds too many claims", False, FULL_S)
        may_stand = False
        backoff_s = FIRST_BACKOFF_S
        began_at_s = trio.current_time()
        until_s = began_at_s + CLAIM_TIMEOUT_S
        while True:
            try:
                found = await self._claim_once(key, record)
                if isinstance(found, HeldClaim):
                    self.leases.note(1)
                    return attrs.evolve(found, late_write=found.late_write or may_stand)
                if found is not None:
                    return found
                reason = "the claim changed hands"
            except commits.BusyError as error:
                raise ClaimUnavailableError(str(error), may_stand, error.retry_after_s) from error
            except records.RecordError as error:
                raise ClaimUnavailableError(str(error), may_stand, MAX_BACKOFF_S) from error
            except keyvalue.UnavailableError as error:
                reason = str(error)
                if not may_stand:
                    until_s = min(until_s, began_at_s + REFUSED_TIMEOUT_S)
            except keyvalue.IndeterminateError as error:
                may_stand, reason = True, str(error)
            if trio.current_time() + backoff_s >= until_s:
                raise ClaimUnavailableError(reason, may_stand, MAX_BACKOFF_S)
            await trio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _claim_once(
        self, key: str, record: records.ClaimRecord
    ) -> HeldClaim | records.ClaimRecord | None:
        lease = await self.leases.current()
        absent = keyvalue.Condition(key, create_revision=0)
        write = keyvalue.Write(key, records.encode(record), lease)
        try:
            result = await self.committer.commit(commits.Commit(absent, write))
        except keyvalue.IndeterminateError:
            # The write may stand, or arrive late. Only the key's own value tells; writing again
            # with the same attempt id is safe, since either write claims for the same attempt.
            # A lease that the service no longer knows looks the same: the next try takes another.
            self.leases.forget(lease)
            found = await self._look(key, record)
            if found is None:
                raise
            return found
        if result.succeeded:
            return HeldClaim(key, record, result.revision)
        return await self._look(key, record)

    async def _look(
        self, key: str, record: records.ClaimRecord
    ) -> HeldClaim | records.ClaimRecord | None:
        item = await self.client.read_key(key)
        if item is None:
            return None
        found = records.decode(item.value)
        if found.attempt == record.attempt:
            return HeldClaim(key, record, item.mod_revision)
        if found.attempt in self._abandoned:
            # This entry wrote that claim, never sent anything under it and never will: the order
            # may be claimed anew instead of waiting for the claim to age.
            await self._delete(key, item.mod_revision)
            return None
        return found

    async def read(self, key: str) -> records.ClaimRecord | None:
        """Return the record under ``key``, or None.

        :raises keyvalue.KeyValueError: when it cannot be read
        :raises records.RecordError: when it is malformed
        """
        item = await self.client.read_key(key)
        return None if item is None else records.decode(item.value)

    async def record(self, held: HeldClaim, record: records.ClaimRecord) -> None:
        """Write an order's outcome, trying until it stands or the claim is gone."""
        await self._replace(held, records.encode(record))

    async def release(self, held: HeldClaim) -> None:
        """Delete the claim of an order that was never sent, trying until it is gone."""
        await self._replace(held, None)
        self.leases.note(-1)
        if held.late_write:
            await self.abandon(held.key, held.record)

    async def abandon(self, key: str, record: records.ClaimRecord) -> None:
        """Remove a claim that may stand, or may yet arrive, and under which nothing was sent."""
        # A claim that nobody uses would answer "in progress" and then "unknown" to every repeat
        # for a day, though the order never ran. A write whose answer was lost may still be on
        # its way, so one look is not enough: look until none can arrive any more.
        self._abandoned.add(record.attempt)
        until_s = trio.current_time() + LATE_WRITE_LIMIT_S
        backoff_s = FIRST_BACKOFF_S
        while True:
            looked_at_s = trio.current_time()
            try:
                await self._remove_own(key, record)
                if looked_at_s >= until_s:
                    break
            except (keyvalue.KeyValueError, commits.BusyError, records.RecordError) as error:
                LOGGER.debug("abandoned claim %s: %s", key, error)
            await trio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S * 4, backoff_s * 2)
        self._abandoned.discard(record.attempt)

    async def _remove_own(self, key: str, record: records.ClaimRecord) -> None:
        item = await self.client.read_key(key)
        if item is not None and records.decode(item.value).attempt == record.attempt:
            await self._delete(key, item.mod_revision)
            events.log(LOGGER, events.Event.CLAIM_RELEASED, claim=key, reason="its answer was lost")

    async def _delete(self, key: str, mod_revision: int) -> None:
        condition = keyvalue.Condition(key, mod_revision=mod_revision)
        await self.committer.commit(commits.Commit(condition, keyvalue.Write(key, None)))

    async def _replace(self, held: HeldClaim, value: bytes | None) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                if await self._replace_once(held, value):
                    return
            except (keyvalue.KeyValueError, commits.BusyError) as error:
                LOGGER.debug("claim %s not written: %s", held.key, error)
            await trio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _replace_once(self, held: HeldClaim, value: bytes | None) -> bool:
        lease = 0 if value is None else await self.leases.current()
        condition = keyvalue.Condition(held.key, mod_revision=held.mod_revision)
        write = keyvalue.Write(held.key, value, lease)
        try:
            await self.committer.commit(commits.Commit(condition, write))
        except keyvalue.IndeterminateError:
            self.leases.forget(lease)
            # Read back: the write took effect if the claim is no longer at its old revision.
            # Nobody else changes a claim that is held, so nobody's write is mistaken for it.
            item = await self.client.read_key(held.key)
            return item is None or item.mod_revision != held.mod_revision
        # Either it was written now, or an earlier try had been, or the claim has aged.
        return True
