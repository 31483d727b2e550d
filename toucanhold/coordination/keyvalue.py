"""Interface of the platform's key-value service: types, errors and the abstract client."""

import abc
import collections.abc
import contextlib

import attrs


class KeyValueError(Exception):
    """A call to the key-value service failed."""


class UnavailableError(KeyValueError):
    """The call certainly had no effect: it did not reach the service, or was refused."""


class IndeterminateError(KeyValueError):
    """The call may have taken effect, but no valid response to it arrived."""


class CompactedError(KeyValueError):
    """The history that a watch needs was compacted; read the current state instead."""


@attrs.frozen
class Item:
    """One stored key.

    :ivar create_revision: revision at which the key was created
    :ivar mod_revision: revision of its last change
    :ivar lease: identifier of the lease that the key is attached to, 0 for none
    """

    key: str
    value: bytes
    create_revision: int = 0
    mod_revision: int = 0
    lease: int = 0


@attrs.frozen
class RangeResult:
    """Items as of one revision of the store."""

    revision: int
    items: tuple[Item, ...] = ()


@attrs.frozen
class Condition:
    """Expected revisions of one key; 0 expects that the key does not exist.

    :ivar mod_revision: expected revision of the last change, or None
    :ivar create_revision: expected revision of the creation, or None
    """

    key: str
    mod_revision: int | None = None
    create_revision: int | None = None


@attrs.frozen
class Write:
    """A put, or a deletion where ``value`` is None.

    :ivar lease: identifier of the lease to attach the key to, 0 for none
    """

    key: str
    value: bytes | None
    lease: int = 0


@attrs.frozen
class CommitResult:
    """Result of a commit.

    :ivar succeeded: whether all conditions held and the writes took effect
    :ivar revision: the store's revision after the commit
    """

    succeeded: bool
    revision: int


class KeyValueClient(abc.ABC):
    """Compare-and-swap, leases and watches of the platform's key-value service.

    :raises UnavailableError: from each method, when the call certainly had no effect
    :raises IndeterminateError: from each method, when the call may have taken effect
    """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""

    @abc.abstractmethod
    async def read(self, prefix: str, min_mod_revision: int = 0) -> RangeResult:
        """Return the items under ``prefix`` that changed at ``min_mod_revision`` or later."""

    @abc.abstractmethod
    async def read_key(self, key: str) -> Item | None:
        """Return one item, or None where the key does not exist."""

    @abc.abstractmethod
    async def commit(
        self,
        conditions: collections.abc.Sequence[Condition],
        writes: collections.abc.Sequence[Write],
    ) -> CommitResult:
        """Apply all ``writes`` in one revision if all ``conditions`` hold, otherwise none."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: int) -> int:
        """Return the identifier of a new lease that expires ``ttl_s`` seconds after a renewal."""

    @abc.abstractmethod
    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the keys attached to it."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, start_revision: int
    ) -> contextlib.AbstractAsyncContextManager[collections.abc.AsyncIterator[int]]:
        """Yield the store's revision after each change under ``prefix``.

        A watch only signals that something changed; its reader then reads the current state. So
        late, duplicate or lost events cannot restore an old value.

        :raises CompactedError: when ``start_revision`` is no longer kept
        """
