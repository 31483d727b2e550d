"""The key-value service through the JSON gateway of etcd v3."""

import base64
import collections.abc
import contextlib
import json

import attrs
import httpcore
import trio

from toucanhold.coordination import keyvalue, transfer

CALL_TIMEOUT_S = 2.0
WATCH_IDLE_TIMEOUT_S = 60.0
WATCH_LINE_LIMIT_BYTES = 8 * 1024 * 1024


@attrs.define(eq=False)
class EtcdClient(keyvalue.KeyValueClient):
    """A client of one gateway address.

    :ivar base_url: for example ``http://127.0.0.1:2379``
    :ivar client_name: sent as ``x-client`` so that the service's logs name the caller
    """

    base_url: str
    client_name: str
    call_timeout_s: float = CALL_TIMEOUT_S
    _pool: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: httpcore.AsyncConnectionPool(max_connections=16, retries=0), init=False
    )

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def read(self, prefix: str, min_mod_revision: int = 0) -> keyvalue.RangeResult:
        """See :class:`keyvalue.KeyValueClient`."""
        start, end = prefix_range(prefix)
        request = {"key": _encode(start), "range_end": _encode(end)}
        if min_mod_revision:
            request["min_mod_revision"] = str(min_mod_revision)
        answer = await self._call("/v3/kv/range", request)
        return keyvalue.RangeResult(_revision(answer), tuple(map(_item, answer.get("kvs", []))))

    async def read_key(self, key: str) -> keyvalue.Item | None:
        """See :class:`keyvalue.KeyValueClient`."""
        answer = await self._call("/v3/kv/range", {"key": _encode(key.encode())})
        items = answer.get("kvs", [])
        return _item(items[0]) if items else None

    async def commit(
        self,
        conditions: collections.abc.Sequence[keyvalue.Condition],
        writes: collections.abc.Sequence[keyvalue.Write],
    ) -> keyvalue.CommitResult:
        """See :class:`keyvalue.KeyValueClient`."""
        request = {
            "compare": [comparison for each in conditions for comparison in _comparisons(each)],
            "success": [_operation(write) for write in writes],
        }
        answer = await self._call("/v3/kv/txn", request)
        return keyvalue.CommitResult(bool(answer.get("succeeded")), _revision(answer))

    async def grant_lease(self, ttl_s: int) -> int:
        """See :class:`keyvalue.KeyValueClient`."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """See :class:`keyvalue.KeyValueClient`."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """See :class:`keyvalue.KeyValueClient`."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    @contextlib.asynccontextmanager
    async def watch(
        self, prefix: str, start_revision: int
    ) -> collections.abc.AsyncIterator[collections.abc.AsyncIterator[int]]:
        """See :class:`keyvalue.KeyValueClient`."""
        start, end = prefix_range(prefix)
        create = {
            "key": _encode(start),
            "range_end": _encode(end),
            "start_revision": str(start_revision),
        }
        request = self._request("/v3/watch", {"create_request": create}, WATCH_IDLE_TIMEOUT_S)
        with transfer.translated_errors():
            response = await self._pool.handle_async_request(request)
        try:
            yield _watch_revisions(response)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _call(self, path: str, body: dict) -> dict:
        with transfer.translated_errors(), trio.fail_after(self.call_timeout_s):
            request = self._request(path, body, self.call_timeout_s)
            response = await self._pool.handle_async_request(request)
            try:
                content = await response.aread()
            finally:
                await response.aclose()
        if response.status != 200:
            raise keyvalue.IndeterminateError(
                f"{path}: HTTP status {response.status}: {content[:200]!r}"
            )
        try:
            return json.loads(content)
        except ValueError as error:
            raise keyvalue.IndeterminateError(f"{path}: malformed answer") from error

    def _request(self, path: str, body: dict, timeout_s: float) -> httpcore.Request:
        content = json.dumps(body).encode()
        headers = [
            ("host", self.base_url.partition("://")[2]),
            ("content-type", "application/json"),
            ("content-length", str(len(content))),
            ("x-client", self.client_name),
        ]
        timeouts = dict.fromkeys(("connect", "write", "read", "pool"), timeout_s)
        timeouts["connect"] = min(timeout_s, self.call_timeout_s)
        return httpcore.Request(
            "POST",
            self.base_url + path,
            headers=headers,
            content=content,
            extensions={"timeout": timeouts},
        )


async def _watch_revisions(response: httpcore.Response) -> collections.abc.AsyncIterator[int]:
    buffer = bytearray()
    with transfer.translated_errors():
        async for chunk in response.aiter_stream():
            buffer += chunk
            if len(buffer) > WATCH_LINE_LIMIT_BYTES:
                raise keyvalue.IndeterminateError("a watch message exceeds its limit")
            *lines, rest = bytes(buffer).split(b"\n")
            buffer = bytearray(rest)
            for line in lines:
                if line.strip():
                    yield _watch_revision(line)
    raise keyvalue.IndeterminateError("the watch ended")


def _watch_revision(line: bytes) -> int:
    try:
        result = json.loads(line).get("result", {})
    except ValueError as error:
        raise keyvalue.IndeterminateError("malformed watch message") from error
    if result.get("canceled"):
        if result.get("compact_revision"):
            raise keyvalue.CompactedError("the watch's history was compacted")
        raise keyvalue.IndeterminateError("the watch was cancelled")
    return _revision(result)


def _comparisons(condition: keyvalue.Condition) -> collections.abc.Iterator[dict]:
    key = _encode(condition.key.encode())
    if condition.mod_revision is not None:
        revision = str(condition.mod_revision)
        yield {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision}
    if condition.create_revision is not None:
        revision = str(condition.create_revision)
        yield {"key": key, "target": "CREATE", "result": "EQUAL", "create_revision": revision}


def _operation(write: keyvalue.Write) -> dict:
    key = _encode(write.key.encode())
    if write.value is None:
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": _encode(write.value)}
    if write.lease:
        put["lease"] = str(write.lease)
    return {"request_put": put}


def _item(kv: dict) -> keyvalue.Item:
    return keyvalue.Item(
        key=base64.b64decode(kv["key"]).decode(),
        value=base64.b64decode(kv.get("value", "")),
        create_revision=int(kv.get("create_revision", 0)),
        mod_revision=int(kv.get("mod_revision", 0)),
        lease=int(kv.get("lease", 0)),
    )


def _revision(answer: dict) -> int:
    return int(answer.get("header", {}).get("revision", 0))


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def prefix_range(prefix: str) -> tuple[bytes, bytes]:
    """Return the first key of a prefix, and the first one after it; all keys for an empty one."""
    data = prefix.encode()
    if not data:
        return b"\0", b"\0"
    return data, data[:-1] + bytes([data[-1] + 1])
