"""Writes, updates and deletes claims by compare-and-swap, also when responses are lost."""

import logging

import attrs
import trio

from toucanhold import events
from toucanhold.coordination import keyvalue
from toucanhold.orders import commits, leases, records

CLAIM_TIMEOUT_S = 3.0
# A service that refuses connections is unlikely to accept them within CLAIM_TIMEOUT_S, so the
# caller is refused early.
UNREACHABLE_TIMEOUT_S = 0.3
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_WRITE_DELAY_S = 60.0
MAX_ABANDONED = 200
FULL_RETRY_AFTER_S = 60.0

LOGGER = logging.getLogger(__name__)


class ClaimUnavailableError(Exception):
    """The key could not be claimed, so the order must not be sent.

    :ivar may_exist: whether an unused claim may have been written
    :ivar retry_after_s: time after which a repeat may succeed
    """

    def __init__(self, reason: str, may_exist: bool, retry_after_s: float) -> None:
        super().__init__(reason)
        self.may_exist = may_exist
        self.retry_after_s = retry_after_s


@attrs.frozen
class HeldClaim:
    """A claim that this entry holds.

    :ivar mod_revision: revision of the key-value service at which the claim was written
    :ivar has_pending_write: whether an earlier write of the claim may still take effect
    """

    key: str
    record: records.ClaimRecord
    mod_revision: int
    has_pending_write: bool = False


@attrs.define(eq=False)
class ClaimStore:
    """Stores the claims of orders in the key-value service."""

    client: keyvalue.KeyValueClient
    committer: commits.Committer
    leases: leases.ClaimLeases
    _abandoned: set[str] = attrs.field(factory=set, init=False)

    async def claim(self, key: str, record: records.ClaimRecord) -> HeldClaim | records.ClaimRecord:
        """Claim ``key``; if it is claimed already, return the stored record.

        :raises ClaimUnavailableError: when the key was not claimed and no record could be read
            within ``CLAIM_TIMEOUT_S``, or when too many claims are stored or abandoned
        """
        if len(self._abandoned) >= MAX_ABANDONED:
            # Each abandoned claim is read every few seconds; more of them would overload a
            # service that has just recovered. Nothing is written for the order refused here.
            raise ClaimUnavailableError(
                f"{MAX_ABANDONED} abandoned claims are not deleted yet", False, MAX_BACKOFF_S
            )
        if not self.leases.has_capacity():
            raise ClaimUnavailableError(
                "this entry has used up its share of stored claims", False, FULL_RETRY_AFTER_S
            )
        may_exist = False
        backoff_s = FIRST_BACKOFF_S
        started_at_s = trio.current_time()
        deadline_s = started_at_s + CLAIM_TIMEOUT_S
        while True:
            try:
                outcome = await self._claim_once(key, record)
                if isinstance(outcome, HeldClaim):
                    self.leases.count_claims(1)
                    return attrs.evolve(
                        outcome, has_pending_write=outcome.has_pending_write or may_exist
                    )
                if outcome is not None:
                    return outcome
                reason = "an earlier claim of the key was deleted during this call"
            except commits.QueueFullError as error:
                raise ClaimUnavailableError(str(error), may_exist, error.retry_after_s) from error
            except records.RecordError as error:
                raise ClaimUnavailableError(str(error), may_exist, MAX_BACKOFF_S) from error
            except keyvalue.UnavailableError as error:
                reason = str(error)
                if not may_exist:
                    deadline_s = min(deadline_s, started_at_s + UNREACHABLE_TIMEOUT_S)
            except keyvalue.IndeterminateError as error:
                may_exist, reason = True, str(error)
            if trio.current_time() + backoff_s >= deadline_s:
                raise ClaimUnavailableError(reason, may_exist, MAX_BACKOFF_S)
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
            # The write may have taken effect, or may do so later; only a read of the key shows it.
            # Writing again with the same attempt id is safe, since both writes claim for the same
            # attempt. An expired lease gives the same error, so the next try uses a new lease.
            self.leases.discard(lease)
            outcome = await self._read_back(key, record)
            if outcome is None:
                raise
            return outcome
        if result.succeeded:
            return HeldClaim(key, record, result.revision)
        return await self._read_back(key, record)

    async def _read_back(
        self, key: str, record: records.ClaimRecord
    ) -> HeldClaim | records.ClaimRecord | None:
        item = await self.client.read_key(key)
        if item is None:
            return None
        stored = records.decode(item.value)
        if stored.attempt == record.attempt:
            return HeldClaim(key, record, item.mod_revision)
        if stored.attempt in self._abandoned:
            # This entry wrote the claim and never sends an order under it, so the claim can be
            # deleted and the key claimed again without waiting for the claim's expiry.
            await self._delete(key, item.mod_revision)
            return None
        return stored

    async def read(self, key: str) -> records.ClaimRecord | None:
        """Return the record stored under ``key``, or None if there is none.

        :raises keyvalue.KeyValueError: when the key cannot be read
        :raises records.RecordError: when the record is malformed
        """
        item = await self.client.read_key(key)
        return None if item is None else records.decode(item.value)

    async def record_outcome(self, held: HeldClaim, record: records.ClaimRecord) -> None:
        """Store an order's outcome, retrying until it is written or the claim has expired."""
        await self._replace(held, records.encode(record))

    async def release(self, held: HeldClaim) -> None:
        """Delete the claim of an order that was never sent, retrying until it is deleted."""
        await self._replace(held, None)
        self.leases.count_claims(-1)
        if held.has_pending_write:
            await self.abandon(held.key, held.record)

    async def abandon(self, key: str, record: records.ClaimRecord) -> None:
        """Delete an unused claim that may exist, or may still be written, until neither can be."""
        # With an unused claim, every repeat would get "in progress" and then "unknown" for a day,
        # although the order never ran. A write whose response was lost may take effect later, so
        # one read is not enough: the key is read until no write can be delayed any longer.
        self._abandoned.add(record.attempt)
        deadline_s = trio.current_time() + MAX_WRITE_DELAY_S
        backoff_s = FIRST_BACKOFF_S
        while True:
            read_at_s = trio.current_time()
            try:
                await self._delete_own(key, record)
                if read_at_s >= deadline_s:
                    break
            except (keyvalue.KeyValueError, commits.QueueFullError, records.RecordError) as error:
                LOGGER.debug("abandoned claim %s: %s", key, error)
            await trio.sleep(backoff_s)
            backoff_s = min(MAX_BACKOFF_S * 4, backoff_s * 2)
        self._abandoned.discard(record.attempt)

    async def _delete_own(self, key: str, record: records.ClaimRecord) -> None:
        item = await self.client.read_key(key)
        if item is not None and records.decode(item.value).attempt == record.attempt:
            await self._delete(key, item.mod_revision)
            events.log(
                LOGGER,
                events.Event.CLAIM_RELEASED,
                claim=key,
                reason="the response to the write of the claim was lost",
            )

    async def _delete(self, key: str, mod_revision: int) -> None:
        condition = keyvalue.Condition(key, mod_revision=mod_revision)
        await self.committer.commit(commits.Commit(condition, keyvalue.Write(key, None)))

    async def _replace(self, held: HeldClaim, value: bytes | None) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                if await self._replace_once(held, value):
                    return
            except (keyvalue.KeyValueError, commits.QueueFullError) as error:
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
            self.leases.discard(lease)
            # The write took effect if the claim is no longer at its old revision: no other
            # process changes a held claim, so the change cannot be another process's write.
            item = await self.client.read_key(held.key)
            return item is None or item.mod_revision != held.mod_revision
        # The value was written by this call or by an earlier try, or the claim has expired.
        return True
