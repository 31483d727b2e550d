"""Serves a subset of the etcd v3 JSON gateway from an in-memory store.

While the whole store is down (faults with mode "down" and no `only_from`), leases do not
expire. When it is up again, all leases are renewed, as etcd does after a leader election.
"""

import base64
import binascii
import collections
import itertools
import json
import operator
import typing

import attrs
import trio

from standins import serving

VALUE_LIMIT_BYTES = 1_048_576
OPERATIONS_LIMIT = 128
WRITE_KINDS = ("put", "deleterange", "txn", "lease/grant", "lease/revoke")
LOSABLE_RESPONSE_KINDS = ("put", "txn", "lease/grant")
COMPARE_OPERATORS = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
COMPARE_TARGETS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
    "LEASE": "lease",
}
SUPPORTED_FIELDS = {
    "range": "key range_end min_mod_revision limit serializable keys_only count_only",
    "put": "key value lease",
    "delete_range": "key range_end",
    "txn": "compare success failure",
    "compare": "target result key version create_revision mod_revision value lease",
    "watch": "key range_end start_revision",
}


def grpc_error(code: int, message: str) -> serving.HttpError:
    """Return the gateway's HTTP error for a gRPC status code."""
    status = {5: 404}.get(code, 400)
    return serving.HttpError(status, {"error": message, "code": code, "message": message})


def encode_base64(data: bytes) -> str:
    """Return bytes as base64 text."""
    return base64.b64encode(data).decode()


def decode_base64(request: dict, field: str) -> bytes:
    """Return a base64 field as bytes, empty when absent.

    :raises serving.HttpError: when the field is not valid base64
    """
    try:
        return base64.b64decode(request.get(field, ""), validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise grpc_error(3, f"illegal base64 data in {field}") from None


def parse_integer(request: dict, field: str) -> int:
    """Return an int64 field given as a string or a number, 0 when absent.

    :raises serving.HttpError: when the field is not an integer
    """
    try:
        return int(request.get(field) or 0)
    except (TypeError, ValueError):
        raise grpc_error(3, f"{field} is not an integer: {request[field]!r}") from None


def to_protobuf_json(data: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return a message as protobuf JSON: int64 as strings, bytes in base64, no zero values."""
    message = {}
    for name, value in data.items():
        if not value:
            continue
        if isinstance(value, bytes):
            value = encode_base64(value)
        elif isinstance(value, int) and not isinstance(value, bool):
            value = str(value)
        message[name] = value
    return message


def check_fields(request: typing.Any, kind: str) -> dict:
    """Return the request after checking that it has only supported fields.

    :param kind: message kind, a key of :data:`SUPPORTED_FIELDS`
    :raises serving.HttpError: when it is not an object or has an unsupported field
    """
    if not isinstance(request, dict):
        raise grpc_error(3, f"{kind}: expected an object, got {type(request).__name__}")
    unknown = set(request) - set(SUPPORTED_FIELDS[kind].split())
    if unknown:
        raise grpc_error(3, f"{kind}: unknown fields {sorted(unknown)}")
    return request


def is_in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in a range.

    :param end: exclusive end; empty for the single key ``start``, a zero byte for no end
    """
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


@attrs.frozen
class KeyValue:
    """One key with its value and revisions."""

    key: bytes
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0

    def to_message(self) -> dict[str, typing.Any]:
        """Return the key-value message as protobuf JSON."""
        return to_protobuf_json(attrs.asdict(self))


@attrs.define
class Lease:
    """A lease.

    :ivar expires_at_s: time of expiry on trio's clock
    :ivar keys: keys attached to the lease
    """

    ttl_s: int
    expires_at_s: float
    keys: set[bytes] = attrs.field(factory=set)


class Store:
    """Keys, leases, a revision counter and a bounded history of events.

    Each public method named like a request kind handles that kind; see :meth:`call`.

    :ivar history: events by revision, oldest first, of the last ``history_revisions`` revisions
    :ivar compact_revision: oldest revision from which a watch can start
    :ivar changed: set at the next commit and then replaced
    """

    def __init__(self, history_revisions: int = 10_000) -> None:
        self.revision = 1
        self.pairs: dict[bytes, KeyValue] = {}
        self.leases: dict[int, Lease] = {}
        self.history: collections.deque[tuple[int, list]] = collections.deque()
        self.history_revisions = history_revisions
        self.compact_revision = 0
        self.changed = trio.Event()
        self._lease_ids = itertools.count(7_587_000_000_000_001)
        self._events: list[tuple[str, KeyValue]] = []

    def header(self) -> dict[str, str]:
        """Return a response header with the current revision."""
        return to_protobuf_json(
            {"cluster_id": 1, "member_id": 1, "revision": self.revision, "raft_term": 2}
        )

    def call(self, kind: str, request: dict) -> dict[str, typing.Any]:
        """Handle one request of a kind such as "put" or "lease/grant".

        :raises serving.HttpError: when the request is invalid
        """
        self.expire()
        call = getattr(self, kind.replace("/", "_"))
        answer = call(request)
        return answer if "result" in answer else {"header": self.header(), **answer}

    def range(self, request: dict) -> dict:
        """Read the keys of a range in key order."""
        check_fields(request, "range")
        start, end = decode_base64(request, "key"), decode_base64(request, "range_end")
        matching_pairs = self._pairs_in_range(start, end)
        min_mod_revision = parse_integer(request, "min_mod_revision")
        pairs = [pair for pair in matching_pairs if pair.mod_revision >= min_mod_revision]
        limit = parse_integer(request, "limit") or len(pairs)
        returned = [] if request.get("count_only") else pairs[:limit]
        if request.get("keys_only"):
            returned = [attrs.evolve(pair, value=b"") for pair in returned]
        more = len(pairs) > limit
        kvs = [pair.to_message() for pair in returned]
        return to_protobuf_json({"kvs": kvs, "more": more, "count": len(matching_pairs)})

    def put(self, request: dict) -> dict:
        """Write one key."""
        self._check_operation("request_put", request)
        self._check_lease(request)
        self._put(request)
        self._commit()
        return {}

    def deleterange(self, request: dict) -> dict:
        """Delete the keys of a range."""
        self._check_operation("request_delete_range", request)
        answer = self._delete(request)
        self._commit()
        return answer

    def txn(self, request: dict) -> dict:
        """Run the success or the failure operations, as one revision."""
        check_fields(request, "txn")
        for branch in ("success", "failure"):
            self._check_branch(request.get(branch, []))
        succeeded = all([self._compare(compare) for compare in request.get("compare", [])])
        operations = request.get("success" if succeeded else "failure", [])
        for operation in operations:
            self._check_lease(operation.get("request_put", {}))
        responses = [self._execute(*next(iter(operation.items()))) for operation in operations]
        self._commit()
        for answer in responses:
            next(iter(answer.values()))["header"] = {"revision": str(self.revision)}
        return to_protobuf_json({"succeeded": succeeded, "responses": responses})

    def lease_grant(self, request: dict) -> dict:
        """Grant a lease."""
        ttl_s = parse_integer(request, "TTL")
        lease_id = parse_integer(request, "ID") or next(self._lease_ids)
        if ttl_s <= 0:
            raise grpc_error(11, "etcdserver: too small lease TTL")
        if lease_id in self.leases:
            raise grpc_error(9, "etcdserver: lease already exists")
        self.leases[lease_id] = Lease(ttl_s, trio.current_time() + ttl_s)
        return to_protobuf_json({"ID": lease_id, "TTL": ttl_s})

    def lease_keepalive(self, request: dict) -> dict:
        """Renew a lease; the response has no TTL for an unknown lease."""
        lease_id = parse_integer(request, "ID")
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_at_s = trio.current_time() + lease.ttl_s
        ttl_s = 0 if lease is None else lease.ttl_s
        return {
            "result": {"header": self.header(), **to_protobuf_json({"ID": lease_id, "TTL": ttl_s})}
        }

    def lease_revoke(self, request: dict) -> dict:
        """Revoke a lease and delete its keys."""
        if parse_integer(request, "ID") not in self.leases:
            raise grpc_error(5, "etcdserver: requested lease not found")
        self._end_lease(parse_integer(request, "ID"))
        return {}

    def lease_timetolive(self, request: dict) -> dict:
        """Return the remaining time of a lease, seconds; -1 for an unknown lease."""
        lease_id = parse_integer(request, "ID")
        lease = self.leases.get(lease_id)
        if lease is None:
            return to_protobuf_json({"ID": lease_id, "TTL": -1})
        remaining_s = int(lease.expires_at_s - trio.current_time())
        keys = [encode_base64(key) for key in sorted(lease.keys)] if request.get("keys") else []
        return to_protobuf_json(
            {"ID": lease_id, "TTL": remaining_s, "grantedTTL": lease.ttl_s, "keys": keys}
        )

    def expire(self) -> None:
        """Revoke expired leases."""
        now_s = trio.current_time()
        for lease_id in [key for key, lease in self.leases.items() if lease.expires_at_s <= now_s]:
            self._end_lease(lease_id)

    def renew_leases(self) -> None:
        """Renew every lease for its full time to live."""
        for lease in self.leases.values():
            lease.expires_at_s = trio.current_time() + lease.ttl_s

    def events_since(self, revision: int, start: bytes, end: bytes) -> list[tuple[int, list[dict]]]:
        """Return the events of a key range as (revision, events), from ``revision`` on."""
        matching_events = []
        for event_revision, events in self.history:
            if event_revision >= revision:
                revision_events = [
                    to_protobuf_json({"type": kind, "kv": pair.to_message()})
                    for kind, pair in events
                    if is_in_range(pair.key, start, end)
                ]
                if revision_events:
                    matching_events.append((event_revision, revision_events))
        return matching_events

    def _pairs_in_range(self, start: bytes, end: bytes) -> list[KeyValue]:
        if not end:
            return [self.pairs[start]] if start in self.pairs else []
        return [self.pairs[key] for key in sorted(self.pairs) if is_in_range(key, start, end)]

    def _execute(self, kind: str, request: dict) -> dict[str, dict]:
        if kind == "request_put":
            self._put(request)
            return {"response_put": {}}
        if kind == "request_range":
            return {"response_range": self.range(request)}
        return {"response_delete_range": self._delete(request)}

    def _check_operation(self, kind: str, request: dict) -> None:
        """Validate what does not depend on the contents of the store."""
        check_fields(request, kind.removeprefix("request_"))
        if not decode_base64(request, "key"):
            raise grpc_error(3, "etcdserver: key is not provided")
        if len(decode_base64(request, "value")) > VALUE_LIMIT_BYTES:
            raise grpc_error(3, "etcdserver: request is too large")

    def _check_branch(self, operations: list[dict]) -> None:
        if len(operations) > OPERATIONS_LIMIT:
            raise grpc_error(3, "etcdserver: too many operations in txn request")
        for operation in operations:
            for kind, request in operation.items():
                if kind not in ("request_put", "request_range", "request_delete_range"):
                    raise grpc_error(3, f"txn: unknown operation {kind}")
                self._check_operation(kind, request)
            if len(operation) != 1:
                raise grpc_error(
                    3, f"txn: expected one request per operation, got {len(operation)}"
                )
        puts = [decode_base64(op["request_put"], "key") for op in operations if "request_put" in op]
        deletes = [op["request_delete_range"] for op in operations if "request_delete_range" in op]
        ranges = [
            (decode_base64(deletion, "key"), decode_base64(deletion, "range_end"))
            for deletion in deletes
        ]
        deleted = any(is_in_range(key, start, end) for key in puts for start, end in ranges)
        if len(set(puts)) < len(puts) or deleted:
            raise grpc_error(3, "etcdserver: duplicate key given in txn request")

    def _check_lease(self, request: dict) -> None:
        lease_id = parse_integer(request, "lease")
        if lease_id and lease_id not in self.leases:
            raise grpc_error(5, "etcdserver: requested lease not found")

    def _compare(self, compare: dict) -> bool:
        check_fields(compare, "compare")
        target, result = compare.get("target", "VERSION"), compare.get("result", "EQUAL")
        if target not in COMPARE_TARGETS or result not in COMPARE_OPERATORS:
            raise grpc_error(3, f"compare: unknown target {target} or result {result}")
        key, field = decode_base64(compare, "key"), COMPARE_TARGETS[target]
        if target == "VALUE" and key not in self.pairs:
            return False
        wanted = (
            decode_base64(compare, field) if target == "VALUE" else parse_integer(compare, field)
        )
        return COMPARE_OPERATORS[result](getattr(self.pairs.get(key, KeyValue(key)), field), wanted)

    def _put(self, request: dict) -> None:
        key, lease_id = decode_base64(request, "key"), parse_integer(request, "lease")
        previous = self.pairs.get(key, KeyValue(key))
        revision = self.revision + 1
        self._detach(previous)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        created = previous.create_revision or revision
        value = decode_base64(request, "value")
        pair = KeyValue(key, value, created, revision, previous.version + 1, lease_id)
        self.pairs[key] = pair
        self._events.append(("PUT", pair))

    def _delete(self, request: dict) -> dict:
        matching_pairs = self._pairs_in_range(
            decode_base64(request, "key"), decode_base64(request, "range_end")
        )
        for pair in matching_pairs:
            self._detach(pair)
            del self.pairs[pair.key]
            self._events.append(("DELETE", KeyValue(pair.key, mod_revision=self.revision + 1)))
        return to_protobuf_json({"deleted": len(matching_pairs)})

    def _detach(self, pair: KeyValue) -> None:
        if pair.lease in self.leases:
            self.leases[pair.lease].keys.discard(pair.key)

    def _end_lease(self, lease_id: int) -> None:
        for key in sorted(self.leases[lease_id].keys):
            self._delete({"key": encode_base64(key)})
        del self.leases[lease_id]
        self._commit()

    def _commit(self) -> None:
        """Commit the pending events, if any, as one revision."""
        if not self._events:
            return
        self.revision += 1
        self.history.append((self.revision, self._events))
        self._events = []
        if len(self.history) > self.history_revisions:
            self.history.popleft()
            self.compact_revision = self.history[0][0]
        self.changed.set()
        self.changed = trio.Event()


@attrs.define
class Faults:
    """Injected faults, for all clients or for the named ones.

    :ivar mode: ``up``, ``down`` (connections are closed without a response) or ``slow``
    :ivar delay_s: delay of each call while the mode is ``slow``, seconds
    :ivar lose_answers: number of next writes that take effect but get no response
    :ivar lose_requests: number of next writes that have no effect and get no response
    :ivar only_from: names of the affected clients; empty for all
    """

    mode: str = attrs.field(default="up", validator=attrs.validators.in_(("up", "down", "slow")))
    delay_s: float = 0.5
    lose_answers: int = 0
    lose_requests: int = 0
    only_from: list[str] = attrs.field(factory=list)

    def applies_to(self, client: str) -> bool:
        """Return whether a client is affected by the faults."""
        return not self.only_from or client in self.only_from

    def is_down_for(self, client: str) -> bool:
        """Return whether the store is down for a client."""
        return self.mode == "down" and self.applies_to(client)


class App(serving.App):
    """ASGI application of the JSON gateway, with fault injection.

    :ivar calls: number of calls by request kind
    """

    def __init__(self, store: Store | None = None) -> None:
        self.store = store or Store()
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._last_call_times_s: dict[str, float] = {}
        self._watch_clients: dict[trio.CancelScope, str] = {}

    async def run(self) -> None:
        """Revoke expired leases periodically, unless the whole store is down."""
        while True:
            if self.faults.mode != "down" or self.faults.only_from:
                self.store.expire()
            await trio.sleep(0.02)

    def set_faults(self, **settings: typing.Any) -> None:
        """Replace the injected faults and close the watches of clients that see the store down.

        :raises TypeError: when a fault is unknown
        :raises ValueError: when the mode is unknown
        """
        previous = self.faults
        self.faults = Faults(**settings)
        if previous.mode == "down" and not previous.only_from:
            self.store.renew_leases()
        for scope, client in self._watch_clients.items():
            if self.faults.is_down_for(client):
                scope.cancel()

    async def handle(self, exchange: serving.Exchange) -> None:
        """Handle one HTTP request."""
        if exchange.path == "/standin/faults" and exchange.method == "POST":
            try:
                self.set_faults(**exchange.json())
            except (TypeError, ValueError) as reason:
                raise grpc_error(3, str(reason)) from None
            await exchange.respond(200, attrs.asdict(self.faults))
        elif exchange.path == "/standin/calls":
            now_s = trio.current_time()
            last_ago_s = {kind: now_s - last_s for kind, last_s in self._last_call_times_s.items()}
            await exchange.respond(200, {"counts": dict(self.calls), "last_ago_s": last_ago_s})
        elif exchange.method == "POST" and exchange.path.startswith("/v3/"):
            await self._call(exchange)
        else:
            raise serving.not_found()

    async def _call(self, exchange: serving.Exchange) -> None:
        kind = exchange.path.removeprefix("/v3/").removeprefix("kv/")
        client = exchange.headers.get("x-client", "")
        self.calls[kind] += 1
        self._last_call_times_s[kind] = trio.current_time()
        if self.faults.mode == "slow" and self.faults.applies_to(client):
            await trio.sleep(self.faults.delay_s)
        if self.faults.is_down_for(client):
            raise serving.DropConnectionError
        if kind == "watch":
            await self._watch(exchange, client)
            return
        if not hasattr(Store, kind.replace("/", "_")) or kind.split("/")[0] not in (
            "range put deleterange txn lease".split()
        ):
            raise serving.not_found()
        if kind in WRITE_KINDS and self.faults.lose_requests > 0 and self.faults.applies_to(client):
            self.faults.lose_requests -= 1
            raise serving.DropConnectionError
        answer = self.store.call(kind, exchange.json())
        if (
            kind in LOSABLE_RESPONSE_KINDS
            and self.faults.lose_answers > 0
            and self.faults.applies_to(client)
        ):
            self.faults.lose_answers -= 1
            raise serving.DropConnectionError
        await exchange.respond(200, answer)

    async def _watch(self, exchange: serving.Exchange, client: str) -> None:
        request = check_fields(exchange.json().get("create_request"), "watch")
        start, end = decode_base64(request, "key"), decode_base64(request, "range_end")
        first = parse_integer(request, "start_revision") or self.store.revision + 1
        await exchange.start_response("application/json")
        is_finished = False
        async with trio.open_nursery() as nursery:
            self._watch_clients[nursery.cancel_scope] = client

            async def cancel_on_disconnect() -> None:
                await exchange.wait_for_disconnect()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_disconnect)
            try:
                await self._send_events(exchange, first, start, end)
                is_finished = True
            finally:
                del self._watch_clients[nursery.cancel_scope]
            nursery.cancel_scope.cancel()
        if not is_finished:
            raise serving.DropConnectionError
        await exchange.finish_response()

    async def _send_events(
        self, exchange: serving.Exchange, next_revision: int, start: bytes, end: bytes
    ) -> None:
        async def send(**fields: typing.Any) -> None:
            result = {"header": self.store.header(), **fields}
            await exchange.send_chunk(json.dumps({"result": result}).encode() + b"\n")

        await send(created=True)
        while next_revision >= self.store.compact_revision:
            changed, latest = self.store.changed, self.store.revision
            for _, events in self.store.events_since(next_revision, start, end):
                await send(events=events)
            next_revision = max(next_revision, latest + 1)
            await changed.wait()
        await send(canceled=True, compact_revision=str(self.store.compact_revision))
