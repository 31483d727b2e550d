"""Reading and changing the configuration in the key-value service."""

from __future__ import annotations

import collections.abc
import logging
import time
import typing
import uuid

import attrs
import trio

from toucanhold import codec, events
from toucanhold.configuration import document, holds, snapshot
from toucanhold.coordination import keyvalue

PREFIX = "toucanhold/configuration/"
HEAD_KEY = PREFIX + "head"
PART_PREFIX = PREFIX + "part/"
COMMIT_ATTEMPTS = 5
READ_BACK_ATTEMPTS = 20
READ_BACK_INTERVAL_S = 0.25
# An entry that was cut off for longer than this can bring back a hold that was settled: its
# availability zone is out once more until an operator returns it. Dropping a hold would be worse.
RESOLVED_KEEP_S = 7 * 24 * 3600

LOGGER = logging.getLogger(__name__)

T = typing.TypeVar("T")


class StoreError(Exception):
    """A change of the configuration was not accepted."""


class ConflictError(StoreError):
    """Another operator's change came first; nothing of this one took effect."""


class ServiceUnavailableError(StoreError):
    """The key-value service could not be asked; nothing took effect."""


class UnreadableError(StoreError):
    """What is stored is malformed; nothing took effect."""


class UnknownOutcomeError(StoreError):
    """It could not be learnt whether the change took effect."""


@attrs.frozen
class Head:
    """The record that each change replaces by compare-and-swap.

    :ivar number: counts accepted changes
    :ivar attempt: unique to the change; tells a writer whose answer was lost what became of it
    :ivar author: who made the change
    """

    number: int
    attempt: str
    author: str


@attrs.frozen
class StoredPart:
    """A part as it lies in the key-value service."""

    number: int
    body: str


@attrs.frozen
class _StoredHead:
    number: int = 0
    attempt: str = ""
    revision: int = 0


@attrs.define(eq=False)
class ConfigurationStore:
    """The configuration's home in the key-value service."""

    client: keyvalue.KeyValueClient

    async def read_delta(self, known: int, known_revision: int) -> tuple[snapshot.Delta, int]:
        """Return what changed since ``known_revision``, and the revision read.

        :param known: number of the configuration that the caller has
        :param known_revision: the store's revision at which it was read; 0 for none
        :raises keyvalue.KeyValueError: when the service does not answer
        :raises snapshot.SnapshotError: when what is stored is malformed
        """
        result = await self.client.read(PREFIX, known_revision + 1 if known_revision else 0)
        number, parts = known, []
        for item in result.items:
            if item.key == HEAD_KEY:
                number = _head(item).number
            else:
                parts.append(_part(item))
        base = known if known_revision else 0
        return snapshot.Delta(base, number, tuple(parts)), result.revision

    async def apply(self, wanted: document.Document, expected: int, author: str) -> int:
        """Replace inventory and rules.

        :param expected: number of the configuration that the operator saw
        :return: the number of the new configuration
        :raises ConflictError: when the configuration in force is another by now
        """

        def change(current: snapshot.Configuration) -> dict[str, bytes]:
            if current.number != expected:
                raise ConflictError(
                    f"configuration {expected} was expected, {current.number} is accepted"
                )
            bodies = snapshot.encode_parts(wanted)
            gone = {
                name: b""
                for name, part in current.parts.items()
                if name.startswith(snapshot.INVENTORY_PREFIX) and part.body and name not in bodies
            }
            return bodies | gone

        return await self._change(change, author)

    async def make_durable(self, wanted: collections.abc.Sequence[holds.Hold]) -> int:
        """Take out the availability zones of holds; those settled meanwhile are left alone.

        Unlike :meth:`apply` it starts from whatever is accepted: it touches nothing else, so two
        operators who take out different availability zones both get their way. Any number of
        entries may do it with the same hold, at any time: only the first changes anything.
        """

        def change(current: snapshot.Configuration) -> dict[str, bytes]:
            due = [hold for hold in wanted if hold.hold not in current.resolved_holds]
            zones = current.zones_out | {hold.availability_zone for hold in due}
            return _zones_body(current, zones, [hold.hold for hold in due])

        return await self._change(change, wanted[0].author)

    async def return_zone(
        self, zone: str, settled: collections.abc.Sequence[holds.Hold], author: str
    ) -> int:
        """Return an availability zone, and settle the holds on it.

        :param settled: the holds on this availability zone that the operator could know of
        """

        def change(current: snapshot.Configuration) -> dict[str, bytes]:
            return _zones_body(current, current.zones_out - {zone}, [hold.hold for hold in settled])

        return await self._change(change, author)

    async def _change(
        self,
        change: collections.abc.Callable[[snapshot.Configuration], dict[str, bytes]],
        author: str,
    ) -> int:
        attempt = uuid.uuid4().hex
        for _ in range(COMMIT_ATTEMPTS):
            current, head = await self._read_current()
            if head.attempt == attempt:
                # A commit judged not to have taken effect arrived late after all.
                return head.number
            bodies = {
                name: body
                for name, body in change(current).items()
                if name not in current.parts or current.parts[name].body != body
            }
            if not bodies and current.number:
                return current.number
            successor = Head(current.number + 1, attempt, author)
            if await self._commit(successor, head.revision, bodies):
                events.log(
                    LOGGER,
                    events.Event.CONFIGURATION_ACCEPTED,
                    configuration=successor.number,
                    author=author,
                    parts=sorted(bodies),
                )
                return successor.number
        raise ConflictError("too many changes at the same time; try again")

    async def _read_current(self) -> tuple[snapshot.Configuration, _StoredHead]:
        try:
            result = await self.client.read(PREFIX)
        except keyvalue.KeyValueError as error:
            raise ServiceUnavailableError(f"nothing was changed: {error}") from error
        try:
            return _current(result)
        except snapshot.SnapshotError as error:
            raise UnreadableError(f"nothing was changed: {error}") from error

    async def _commit(self, head: Head, head_revision: int, bodies: dict[str, bytes]) -> bool:
        writes = [keyvalue.Write(HEAD_KEY, codec.to_json(head))]
        for name, body in bodies.items():
            stored = StoredPart(head.number, body.decode())
            writes.append(keyvalue.Write(PART_PREFIX + name, codec.to_json(stored)))
        condition = keyvalue.Condition(HEAD_KEY, mod_revision=head_revision)
        try:
            return (await self.client.commit([condition], writes)).succeeded
        except keyvalue.UnavailableError as error:
            raise ServiceUnavailableError(f"nothing was changed: {error}") from error
        except keyvalue.IndeterminateError:
            return await self._read_back(head, head_revision)

    async def _read_back(self, head: Head, head_revision: int) -> bool:
        # A write whose answer was lost may have taken effect: "failed" would be a lie and a blind
        # retry could overwrite a later change. Both show in the head: it carries this attempt, or
        # it still has the old revision, or a third party's change came between. In the last case
        # this attempt may lie below it, which the parts' numbers tell.
        for _ in range(READ_BACK_ATTEMPTS):
            await trio.sleep(READ_BACK_INTERVAL_S)
            try:
                result = await self.client.read(PREFIX)
                return self._judge(result, head, head_revision)
            except (keyvalue.KeyValueError, snapshot.SnapshotError) as error:
                LOGGER.debug("reading back: %s", error)
        raise UnknownOutcomeError("the key-value service does not tell whether it took effect")

    def _judge(self, result: keyvalue.RangeResult, head: Head, head_revision: int) -> bool:
        stored = {item.key: item for item in result.items}
        found = stored.get(HEAD_KEY)
        if found is not None and _head(found).attempt == head.attempt:
            return True
        if (found.mod_revision if found else 0) == head_revision:
            # The write can still be on its way. Its condition names the old head, as that of the
            # next try does, so only one of them takes effect, and both carry the same attempt.
            return False
        raise UnknownOutcomeError("another change followed; see status for what is in force")


def _current(result: keyvalue.RangeResult) -> tuple[snapshot.Configuration, _StoredHead]:
    head, parts = _StoredHead(), {}
    for item in result.items:
        if item.key == HEAD_KEY:
            found = _head(item)
            head = _StoredHead(found.number, found.attempt, item.mod_revision)
        else:
            part = _part(item)
            parts[part.name] = part
    return snapshot.from_parts(head.number, parts), head


def _head(item: keyvalue.Item) -> Head:
    return _decoded(item, Head)


def _part(item: keyvalue.Item) -> snapshot.Part:
    stored = _decoded(item, StoredPart)
    return snapshot.Part(item.key.removeprefix(PART_PREFIX), stored.number, stored.body.encode())


def _decoded(item: keyvalue.Item, kind: type[T]) -> T:
    try:
        return codec.from_json(item.value, kind)
    except codec.CodecError as error:
        raise snapshot.SnapshotError(f"{item.key}: {error}") from error


def _zones_body(
    current: snapshot.Configuration,
    zones: frozenset[str],
    settled: collections.abc.Sequence[str],
) -> dict[str, bytes]:
    now_s = time.time()
    known: tuple[snapshot.ResolvedHold, ...] = ()
    if snapshot.ZONES_PART in current.parts:
        body = current.parts[snapshot.ZONES_PART].body
        known = codec.from_json(body, snapshot.ZonesOut).resolved
    fresh = [hold for hold in settled if hold not in current.resolved_holds]
    if not fresh and zones == current.zones_out:
        return {}
    kept = [each for each in known if now_s - each.at_unix_s < RESOLVED_KEEP_S]
    resolved = (*kept, *(snapshot.ResolvedHold(hold, now_s) for hold in fresh))
    return {snapshot.ZONES_PART: codec.to_json(snapshot.ZonesOut(tuple(sorted(zones)), resolved))}
