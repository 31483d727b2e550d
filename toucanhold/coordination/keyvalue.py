"""What the system asks of the platform's key-value service."""

import abc
import collections.abc
import contextlib

import attrs


class KeyValueError(Exception):
    """The key-value service did not do what was asked."""


class UnavailableError(KeyValueError):
    """The call certainly had no effect: it never reached the service."""


class IndeterminateError(KeyValueError):
    """The call may have taken effect; its answer was lost."""


class CompactedError(KeyValueError):
    """The history that a watch asked for is gone: read the present state instead."""


@attrs.frozen
class Item:
    """One stored key.

    :ivar create_revision: revision at which the key came into being
    :ivar mod_revision: revision of its last change
    :ivar lease: identifier of the lease it hangs on, 0 for none
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
    """A comparison of one key's revision; 0 stands for a key that does not exist.

    :ivar mod_revision: expected revision of the last change, or None
    :ivar create_revision: expected revision of the creation, or None
    """

    key: str
    mod_revision: int | None = None
    create_revision: int | None = None


@attrs.frozen
class Write:
    """A put, or a deletion where ``value`` is None."""

    key: str
    value: bytes | None
    lease: int = 0


@attrs.frozen
class CommitResult:
    """Whether all conditions held and the writes took effect, and the store's revision."""

    succeeded: bool
    revision: int


class KeyValueClient(abc.ABC):
    """Compare-and-swap, leases and watches of the platform's key-value service.

    Each method raises :class:`UnavailableError` or :class:`IndeterminateError`.
    """

    @abc.abstractmethod
    async def close(self) -> None:
        """Release connections."""

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
        """Do all ``writes`` in one revision if all ``conditions`` hold, else none."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: int) -> int:
        """Return the identifier of a new lease."""

    @abc.abstractmethod
    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; false where it has lapsed."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the keys on it."""

    @abc.abstractmethod
    def watch(
        self, prefix: str, start_revision: int
    ) -> contextlib.AbstractAsyncContextManager[collections.abc.AsyncIterator[int]]:
        """Yield the store's revision after each change under ``prefix``.

        A watch only wakes its reader, who then reads the present state: so late, doubled or lost
        events cannot bring back an old value.

        :raises CompactedError: when ``start_revision`` is no longer kept
        """
