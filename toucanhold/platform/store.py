"""The platform's store, as a key-value service of the product."""

from __future__ import annotations

import base64
import binascii
import collections
import collections.abc
import contextlib
import json
import socket
import urllib.parse

import attrs
import httpcore
import trio

from toucanhold.coordination import keyvalue, mirror, transfer, watching

# The store answers in 4 ms, in 240 ms when it is slow, and else not at all; a call that waits
# longer than this delays what could be tried on another connection.
CALL_TIMEOUT_S = 1.0
# How much later than asked a watch may return before its connection is taken for dead: twice what a
# slow store takes.
WATCH_MARGIN_S = 0.6
# A connection that went silent for good must not hold the kernel's buffers for minutes.
UNACKNOWLEDGED_LIMIT_MS = 3000
MAX_CONNECTIONS = 16


@attrs.define(eq=False)
class StoreClient(keyvalue.KeyValueClient, watching.ChangeSource):
    """Calls to the store at ``IP:port``.

    :ivar calls: number of calls by kind, each of which is paid for
    """

    address: str
    calls: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    _pool: httpcore.AsyncConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the pool; nothing is connected yet."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            retries=0,
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
            ],
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def read(self, prefix: str, min_mod_revision: int = 0) -> keyvalue.RangeResult:
        """Return the items under ``prefix``; pages are no snapshot.

        The revision is that of the first page, so a watch from there repeats what changed between
        the pages.
        """
        result = await self._read_pages(prefix, may_be_stale=False)
        kept = tuple(item for item in result.items if item.mod_revision >= min_mod_revision)
        return keyvalue.RangeResult(result.revision, kept)

    async def read_all(self, may_be_stale: bool) -> keyvalue.RangeResult:
        """See :class:`watching.ChangeSource`."""
        return await self._read_pages("", may_be_stale)

    async def _read_pages(self, prefix: str, may_be_stale: bool) -> keyvalue.RangeResult:
        items: list[keyvalue.Item] = []
        first_revision = 0
        after = ""
        while True:
            query = {"path_prefix": prefix} | ({"after": after} if after else {})
            if may_be_stale:
                query["serializable"] = "1"
            status, answer = await self._call("GET", "/kv-range", query=query)
            _expect(status, 200, answer)
            first_revision = first_revision or _number(answer, "store_revision")
            page = [_item(plain) for plain in _list(answer, "items")]
            items += page
            if not answer.get("has_more") or not page:
                break
            after = page[-1].key
        return keyvalue.RangeResult(first_revision, tuple(items))

    async def read_key(self, key: str) -> keyvalue.Item | None:
        """See :class:`keyvalue.KeyValueClient`."""
        status, answer = await self._call("GET", "/kv-key", query={"key": key})
        if status == 404:
            return None
        _expect(status, 200, answer)
        return _item(answer)

    async def read_changes(self, after_revision: int, wait_s: float) -> mirror.Changes:
        """See :class:`watching.ChangeSource`."""
        return await self._watch("", after_revision, wait_s)

    async def _watch(self, prefix: str, after_revision: int, wait_s: float) -> mirror.Changes:
        query = {
            "path_prefix": prefix,
            "after": str(after_revision),
            "wait_ms": str(int(wait_s * 1000)),
        }
        timeout_s = wait_s + WATCH_MARGIN_S
        status, answer = await self._call("GET", "/kv-watch", query=query, timeout_s=timeout_s)
        if status == 410:
            raise keyvalue.CompactedError(prefix)
        _expect(status, 200, answer)
        newest: dict[str, keyvalue.Item | mirror.Deletion] = {}
        for plain in _list(answer, "events"):
            change = _deletion(plain) if plain.get("tombstone") else _item(plain)
            newest[change.key] = change
        found = newest.values()
        return mirror.Changes(
            after_revision,
            max(after_revision, _number(answer, "store_revision")),
            tuple(change for change in found if isinstance(change, keyvalue.Item)),
            tuple(change for change in found if isinstance(change, mirror.Deletion)),
        )

    async def commit(
        self,
        conditions: collections.abc.Sequence[keyvalue.Condition],
        writes: collections.abc.Sequence[keyvalue.Write],
    ) -> keyvalue.CommitResult:
        """See :class:`keyvalue.KeyValueClient`."""
        body = {
            "precondition": [_precondition(condition) for condition in conditions],
            "puts": [_put(write) for write in writes if write.value is not None],
            "remove": [write.key for write in writes if write.value is None],
        }
        status, answer = await self._call("POST", "/kv-txn", body=body)
        if status == 412:
            return keyvalue.CommitResult(False, 0)
        _expect(status, 200, answer)
        return keyvalue.CommitResult(True, _number(answer, "revision"))

    async def grant_lease(self, ttl_s: int) -> int:
        """See :class:`keyvalue.KeyValueClient`."""
        status, answer = await self._call("POST", "/kv-lease", body={"ttl_ms": int(ttl_s * 1000)})
        _expect(status, 200, answer)
        return _number(answer, "lease")

    async def keep_alive(self, lease: int) -> bool:
        """See :class:`keyvalue.KeyValueClient`."""
        status, answer = await self._call("POST", f"/kv-keep/{lease}")
        if status == 404:
            return False
        _expect(status, 200, answer)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """See :class:`keyvalue.KeyValueClient`."""
        status, answer = await self._call("DELETE", f"/kv-lease-end/{lease}")
        if status != 404:
            _expect(status, 200, answer)

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[collections.abc.AsyncIterator[int]]:
        """See :class:`keyvalue.KeyValueClient`."""
        yield self._revisions(prefix, start_revision - 1)

    async def _revisions(
        self, prefix: str, after_revision: int
    ) -> collections.abc.AsyncIterator[int]:
        while True:
            changes = await self._watch(prefix, after_revision, watching.WATCH_WAIT_S)
            if not changes.is_empty:
                yield changes.revision
            after_revision = changes.revision

    async def _call(
        self,
        method: str,
        path: str,
        query: collections.abc.Mapping[str, str] | None = None,
        body: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, dict]:
        """Make one call.

        :raises keyvalue.UnavailableError: when it certainly did nothing
        :raises keyvalue.IndeterminateError: when it may have taken effect
        """
        self.calls[path.split("/")[1].removeprefix("kv-")] += 1
        target = path + ("?" + urllib.parse.urlencode(query) if query else "")
        content = json.dumps(body).encode() if body is not None else b""
        headers = [("host", self.address), ("content-length", str(len(content)))]
        if content:
            headers.append(("content-type", "application/json"))
        timeouts = {"connect": CALL_TIMEOUT_S, "pool": CALL_TIMEOUT_S}
        timeouts |= {"read": timeout_s, "write": CALL_TIMEOUT_S}
        with transfer.translated_errors(), trio.fail_after(timeout_s + CALL_TIMEOUT_S):
            response = await self._pool.request(
                method,
                f"http://{self.address}{target}",
                headers=headers,
                content=content,
                extensions={"timeout": timeouts},
            )
        if response.status in (429, 503):
            raise keyvalue.UnavailableError(f"{path}: refused with status {response.status}")
        return response.status, _plain(path, response.content)


def _expect(status: int, wanted: int, answer: dict) -> None:
    if status != wanted:
        raise keyvalue.IndeterminateError(f"status {status}: {answer}")


def _plain(path: str, content: bytes) -> dict:
    if not content:
        return {}
    try:
        answer = json.loads(content)
    except ValueError as error:
        raise keyvalue.IndeterminateError(f"{path}: malformed answer") from error
    if not isinstance(answer, dict):
        raise keyvalue.IndeterminateError(f"{path}: malformed answer")
    return answer


def _list(answer: dict, name: str) -> list[dict]:
    found = answer.get(name)
    if not isinstance(found, list):
        raise keyvalue.IndeterminateError(f"an answer without {name}")
    return [each for each in found if isinstance(each, dict)]


def _number(answer: dict, name: str) -> int:
    found = answer.get(name)
    if not isinstance(found, int):
        raise keyvalue.IndeterminateError(f"an answer without {name}")
    return found


def _item(plain: dict) -> keyvalue.Item:
    try:
        value = base64.b64decode(plain.get("value") or "")
    except (binascii.Error, ValueError, TypeError):
        # Another writer's bytes: readers of the key find them unreadable by themselves.
        value = b""
    return keyvalue.Item(
        key=str(plain.get("key", "")),
        value=value,
        # The wire's "revision" is that of the last change; "create_rev" that of the creation.
        create_revision=int(plain.get("create_rev") or 0),
        mod_revision=int(plain.get("revision") or 0),
        lease=int(plain.get("lease") or 0),
    )


def _deletion(plain: dict) -> mirror.Deletion:
    return mirror.Deletion(str(plain.get("key", "")), int(plain.get("revision") or 0))


def _precondition(condition: keyvalue.Condition) -> dict:
    revision = condition.mod_revision
    if revision is None and condition.create_revision == 0:
        revision = 0
    if revision is None:
        raise ValueError("the store compares only the revision of the last change")
    return {"key": condition.key, "revision": revision}


def _put(write: keyvalue.Write) -> dict:
    assert write.value is not None
    value = base64.b64encode(write.value).decode()
    return {"key": write.key, "value": value, "lease": write.lease}
