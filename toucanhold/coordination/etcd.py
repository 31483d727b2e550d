"""Client of the key-value service through the JSON gateway of etcd v3."""

import base64
import collections.abc
import contextlib
import json

import attrs
import httpcore
import trio

from toucanhold import network, parsing
from toucanhold.coordination import http_errors, keyvalue

CALL_TIMEOUT_S = 2.0
WATCH_IDLE_TIMEOUT_S = 60.0
WATCH_LINE_LIMIT_BYTES = 8 * 1024 * 1024


@attrs.define(eq=False)
class EtcdClient(keyvalue.KeyValueClient):
    """Client of one gateway address.

    :ivar base_url: for example ``http://127.0.0.1:2379``
    :ivar client_name: sent as ``x-client`` so that the service's logs name the caller
    :ivar call_timeout_s: longest duration of a call other than a watch
    """

    base_url: str
    client_name: str
    call_timeout_s: float = CALL_TIMEOUT_S
    _pool: httpcore.AsyncConnectionPool = attrs.field(
        factory=lambda: httpcore.AsyncConnectionPool(
            max_connections=16, retries=0, network_backend=network.PoolBackend()
        ),
        init=False,
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
        response_fields = await self._call("/v3/kv/range", request)
        return keyvalue.RangeResult(
            _parse_revision(response_fields),
            tuple(map(_parse_item, _parse_items(response_fields))),
        )

    async def read_key(self, key: str) -> keyvalue.Item | None:
        """See :class:`keyvalue.KeyValueClient`."""
        response_fields = await self._call("/v3/kv/range", {"key": _encode(key.encode())})
        items = _parse_items(response_fields)
        return _parse_item(items[0]) if items else None

    async def commit(
        self,
        conditions: collections.abc.Sequence[keyvalue.Condition],
        writes: collections.abc.Sequence[keyvalue.Write],
    ) -> keyvalue.CommitResult:
        """See :class:`keyvalue.KeyValueClient`."""
        request = {
            "compare": [
                comparison
                for condition in conditions
                for comparison in _encode_condition(condition)
            ],
            "success": [_encode_write(write) for write in writes],
        }
        response_fields = await self._call("/v3/kv/txn", request)
        return keyvalue.CommitResult(
            bool(response_fields.get("succeeded")), _parse_revision(response_fields)
        )

    async def grant_lease(self, ttl_s: int) -> int:
        """See :class:`keyvalue.KeyValueClient`."""
        response_fields = await self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return _parse_number(response_fields, "ID")

    async def keep_alive(self, lease: int) -> bool:
        """See :class:`keyvalue.KeyValueClient`."""
        response_fields = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return _parse_number(_parse_fields(response_fields, "result"), "TTL", "0") > 0

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
        with http_errors.translated_errors():
            response = await self._pool.handle_async_request(request)
        try:
            yield _watch_revisions(response)
        finally:
            with trio.CancelScope(shield=True):
                await response.aclose()

    async def _call(self, path: str, body: dict) -> dict:
        with http_errors.translated_errors(), trio.fail_after(self.call_timeout_s):
            request = self._request(path, body, self.call_timeout_s)
            response = await self._pool.handle_async_request(request)
            try:
                content = await response.aread()
            finally:
                await response.aclose()
        if response.status != 200:
            raise keyvalue.IndeterminateError(
                f"{path}: expected HTTP status 200, got {response.status}: {content[:200]!r}"
            )
        return _parse_object(content)

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
    with http_errors.translated_errors():
        async for chunk in response.aiter_stream():
            buffer += chunk
            if len(buffer) > WATCH_LINE_LIMIT_BYTES:
                raise keyvalue.IndeterminateError(
                    f"watch message exceeds {WATCH_LINE_LIMIT_BYTES} bytes"
                )
            *lines, rest = bytes(buffer).split(b"\n")
            buffer = bytearray(rest)
            for line in lines:
                if line.strip():
                    yield _parse_watch_line(line)
    raise keyvalue.IndeterminateError("the service closed the watch's stream")


def _parse_watch_line(line: bytes) -> int:
    result = _parse_fields(_parse_object(line), "result")
    if result.get("canceled"):
        if result.get("compact_revision"):
            raise keyvalue.CompactedError("the history that the watch needs was compacted")
        raise keyvalue.IndeterminateError("the service cancelled the watch")
    return _parse_revision(result)


def _encode_condition(condition: keyvalue.Condition) -> collections.abc.Iterator[dict]:
    key = _encode(condition.key.encode())
    if condition.mod_revision is not None:
        revision = str(condition.mod_revision)
        yield {"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision}
    if condition.create_revision is not None:
        revision = str(condition.create_revision)
        yield {"key": key, "target": "CREATE", "result": "EQUAL", "create_revision": revision}


def _encode_write(write: keyvalue.Write) -> dict:
    key = _encode(write.key.encode())
    if write.value is None:
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": _encode(write.value)}
    if write.lease:
        put["lease"] = str(write.lease)
    return {"request_put": put}


def _parse_object(content: bytes) -> dict:
    try:
        response_fields = parsing.load_json(content)
    except parsing.ParseError as error:
        raise keyvalue.IndeterminateError(f"the response is {error}") from error
    if not isinstance(response_fields, dict):
        raise keyvalue.IndeterminateError("expected a JSON object as response")
    return response_fields


def _parse_fields(response_fields: dict, name: str) -> dict:
    fields = response_fields.get(name, {})
    if not isinstance(fields, dict):
        raise keyvalue.IndeterminateError(f"expected an object in {name}")
    return fields


def _parse_items(response_fields: dict) -> list[dict]:
    items = response_fields.get("kvs", [])
    if not isinstance(items, list) or not all(isinstance(item, dict) for item in items):
        raise keyvalue.IndeterminateError("expected a list of objects in kvs")
    return items


def _parse_item(kv: dict) -> keyvalue.Item:
    try:
        key = base64.b64decode(kv["key"]).decode()
        value = base64.b64decode(kv.get("value", ""))
    except (ValueError, TypeError, KeyError) as error:
        raise keyvalue.IndeterminateError(f"expected key and value in base64: {error}") from error
    return keyvalue.Item(
        key=key,
        value=value,
        create_revision=_parse_number(kv, "create_revision", "0"),
        mod_revision=_parse_number(kv, "mod_revision", "0"),
        lease=_parse_number(kv, "lease", "0"),
    )


def _parse_revision(response_fields: dict) -> int:
    return _parse_number(_parse_fields(response_fields, "header"), "revision", "0")


def _parse_number(fields: dict, name: str, default: str = "") -> int:
    # The gateway writes 64-bit numbers as texts.
    number = parsing.digits(str(fields.get(name, default)))
    if number is None:
        raise keyvalue.IndeterminateError(f"expected a number in {name}")
    return number


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def prefix_range(prefix: str) -> tuple[bytes, bytes]:
    """Return the key range ``[start, end)`` of a prefix; an empty prefix covers all keys."""
    data = prefix.encode()
    if not data:
        return b"\0", b"\0"
    return data, data[:-1] + bytes([data[-1] + 1])
