"""Client of the platform's store, as the key-value service of this system."""

from __future__ import annotations

import base64
import binascii
import collections
import collections.abc
import contextlib
import json
import logging
import socket
import urllib.parse

import attrs
import httpcore
import trio

from toucanhold import network, parsing
from toucanhold.coordination import http_errors, keyvalue, mirror, watching

# The store answers in 4 ms, in 240 ms when it is slow, and otherwise not at all; waiting longer
# only delays the retry on another connection.
CALL_TIMEOUT_S = 1.0
# Time after a watch's requested wait until its connection is considered dead: twice the response
# time of a slow store.
WATCH_MARGIN_S = 0.6
# A dead connection must not occupy the kernel's send buffers for minutes.
UNACKNOWLEDGED_LIMIT_MS = 3000
MAX_CONNECTIONS = 16

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class StoreClient(keyvalue.KeyValueClient, watching.ChangeSource):
    """Client of the store.

    :ivar address: ``IP:port`` of the store
    :ivar calls: number of calls by kind; the platform charges for each call
    :ivar on_answer: called after each call that the store answered and did not refuse
    """

    address: str
    on_answer: collections.abc.Callable[[], None] = lambda: None
    calls: collections.Counter[str] = attrs.field(factory=collections.Counter, init=False)
    _pool: httpcore.AsyncConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the connection pool; connections open with the first calls."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            retries=0,
            network_backend=network.PoolBackend(),
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
            ],
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def read(self, prefix: str, min_mod_revision: int = 0) -> keyvalue.RangeResult:
        """See :class:`keyvalue.KeyValueClient`; the pages read do not form a snapshot.

        The result has the revision of the first page, so a watch from there reports again what
        changed between the pages.
        """
        result = await self._read_pages(prefix, may_be_stale=False)
        matching = tuple(item for item in result.items if item.mod_revision >= min_mod_revision)
        return keyvalue.RangeResult(result.revision, matching)

    async def read_all(self, may_be_stale: bool) -> keyvalue.RangeResult:
        """See :class:`watching.ChangeSource`."""
        return await self._read_pages("", may_be_stale)

    async def _read_pages(self, prefix: str, may_be_stale: bool) -> keyvalue.RangeResult:
        items: list[keyvalue.Item] = []
        first_revision = 0
        last_key = ""
        while True:
            query = {"path_prefix": prefix} | ({"after": last_key} if last_key else {})
            if may_be_stale:
                query["serializable"] = "1"
            status, response_fields = await self._call("GET", "/kv-range", query=query)
            _check_status(status, 200, response_fields)
            first_revision = first_revision or _get_int(response_fields, "store_revision")
            page = list(_parse_readable(response_fields, "items"))
            items += page
            if not response_fields.get("has_more") or not response_fields["items"]:
                break
            if not page or page[-1].key <= last_key:
                raise keyvalue.IndeterminateError("expected a page of keys after the last one")
            last_key = page[-1].key
        return keyvalue.RangeResult(first_revision, tuple(items))

    async def read_key(self, key: str) -> keyvalue.Item | None:
        """See :class:`keyvalue.KeyValueClient`."""
        status, response_fields = await self._call("GET", "/kv-key", query={"key": key})
        if status == 404:
            return None
        _check_status(status, 200, response_fields)
        try:
            return _parse_item(response_fields)
        except parsing.ParseError as error:
            raise keyvalue.IndeterminateError(f"{key}: {error}") from error

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
        status, response_fields = await self._call(
            "GET", "/kv-watch", query=query, timeout_s=timeout_s
        )
        if status == 410:
            raise keyvalue.CompactedError(prefix)
        _check_status(status, 200, response_fields)
        latest_by_key: dict[str, keyvalue.Item | mirror.Deletion] = {}
        for change in _parse_readable(response_fields, "events"):
            latest_by_key[change.key] = change
        newest_changes = latest_by_key.values()
        return mirror.Changes(
            after_revision,
            max(after_revision, _get_int(response_fields, "store_revision")),
            tuple(change for change in newest_changes if isinstance(change, keyvalue.Item)),
            tuple(change for change in newest_changes if isinstance(change, mirror.Deletion)),
        )

    async def commit(
        self,
        conditions: collections.abc.Sequence[keyvalue.Condition],
        writes: collections.abc.Sequence[keyvalue.Write],
    ) -> keyvalue.CommitResult:
        """See :class:`keyvalue.KeyValueClient`."""
        body = {
            "precondition": [_encode_condition(condition) for condition in conditions],
            "puts": [_encode_put(write) for write in writes if write.value is not None],
            "remove": [write.key for write in writes if write.value is None],
        }
        status, response_fields = await self._call("POST", "/kv-txn", body=body)
        if status == 412:
            return keyvalue.CommitResult(False, 0)
        _check_status(status, 200, response_fields)
        return keyvalue.CommitResult(True, _get_int(response_fields, "revision"))

    async def grant_lease(self, ttl_s: int) -> int:
        """See :class:`keyvalue.KeyValueClient`."""
        status, response_fields = await self._call(
            "POST", "/kv-lease", body={"ttl_ms": int(ttl_s * 1000)}
        )
        _check_status(status, 200, response_fields)
        return _get_int(response_fields, "lease")

    async def keep_alive(self, lease: int) -> bool:
        """See :class:`keyvalue.KeyValueClient`."""
        status, response_fields = await self._call("POST", f"/kv-keep/{lease}")
        if status == 404:
            return False
        _check_status(status, 200, response_fields)
        return True

    async def revoke_lease(self, lease: int) -> None:
        """See :class:`keyvalue.KeyValueClient`."""
        status, response_fields = await self._call("DELETE", f"/kv-lease-end/{lease}")
        if status != 404:
            _check_status(status, 200, response_fields)

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
        """Make one call and return its HTTP status and its JSON object, empty without a body.

        :param timeout_s: longest wait for the response
        :raises keyvalue.UnavailableError: when the call certainly had no effect
        :raises keyvalue.IndeterminateError: when the call may have taken effect
        """
        self.calls[path.split("/")[1].removeprefix("kv-")] += 1
        target = path + ("?" + urllib.parse.urlencode(query) if query else "")
        content = json.dumps(body).encode() if body is not None else b""
        headers = [("host", self.address), ("content-length", str(len(content)))]
        if content:
            headers.append(("content-type", "application/json"))
        timeouts = {"connect": CALL_TIMEOUT_S, "pool": CALL_TIMEOUT_S}
        timeouts |= {"read": timeout_s, "write": CALL_TIMEOUT_S}
        with http_errors.translated_errors(), trio.fail_after(timeout_s + CALL_TIMEOUT_S):
            response = await self._pool.request(
                method,
                f"http://{self.address}{target}",
                headers=headers,
                content=content,
                extensions={"timeout": timeouts},
            )
        if response.status in (429, 503):
            raise keyvalue.UnavailableError(f"{path}: refused with status {response.status}")
        response_fields = _parse_object(path, response.content)
        self.on_answer()
        return response.status, response_fields


def _check_status(status: int, expected_status: int, response_fields: dict) -> None:
    if status != expected_status:
        raise keyvalue.IndeterminateError(
            f"expected status {expected_status}, got {status}: {response_fields}"
        )


def _parse_object(path: str, content: bytes) -> dict:
    if not content:
        return {}
    try:
        response_fields = parsing.load_json(content)
    except parsing.ParseError as error:
        raise keyvalue.IndeterminateError(f"{path}: {error}") from error
    if not isinstance(response_fields, dict):
        raise keyvalue.IndeterminateError(f"{path}: expected a JSON object as response")
    return response_fields


def _get_objects(response_fields: dict, name: str) -> list[dict]:
    objects = response_fields.get(name)
    if not isinstance(objects, list):
        raise keyvalue.IndeterminateError(
            f"expected a list in {name}, got {type(objects).__name__}"
        )
    return [fields for fields in objects if isinstance(fields, dict)]


def _get_int(response_fields: dict, name: str) -> int:
    try:
        return parsing.whole(response_fields.get(name))
    except parsing.ParseError as error:
        raise keyvalue.IndeterminateError(f"{name}: {error}") from error


def _parse_readable(
    response_fields: dict, name: str
) -> collections.abc.Iterator[keyvalue.Item | mirror.Deletion]:
    """Yield items and deletions; one that cannot be read must not hide the others."""
    for fields in _get_objects(response_fields, name):
        try:
            yield _parse_deletion(fields) if fields.get("tombstone") else _parse_item(fields)
        except parsing.ParseError as error:
            LOGGER.warning("an item of the store cannot be read: %s", error)


def _parse_item(fields: dict) -> keyvalue.Item:
    try:
        value = base64.b64decode(fields.get("value") or "")
    except (binascii.Error, ValueError, TypeError):
        # Written by another client; readers of the key report an undecodable value themselves.
        value = b""
    return keyvalue.Item(
        key=parsing.text(fields.get("key")),
        value=value,
        # The store's "revision" is that of the last change, "create_rev" that of the creation.
        create_revision=parsing.whole(fields.get("create_rev", 0)),
        mod_revision=parsing.whole(fields.get("revision", 0)),
        lease=parsing.whole(fields.get("lease", 0)),
    )


def _parse_deletion(fields: dict) -> mirror.Deletion:
    return mirror.Deletion(
        parsing.text(fields.get("key")), parsing.whole(fields.get("revision", 0))
    )


def _encode_condition(condition: keyvalue.Condition) -> dict:
    revision = condition.mod_revision
    if revision is None and condition.create_revision == 0:
        revision = 0
    if revision is None:
        raise ValueError("the store can compare only the revision of the last change")
    return {"key": condition.key, "revision": revision}


def _encode_put(write: keyvalue.Write) -> dict:
    assert write.value is not None
    value = base64.b64encode(write.value).decode()
    return {"key": write.key, "value": value, "lease": write.lease}
