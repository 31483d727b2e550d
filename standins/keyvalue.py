"""A subset of the published etcd v3 JSON gateway, held in memory.

While the whole store is down (faults with mode "down" and no `only_from`) leases do not
expire, and all are renewed when it is up again, as etcd does when a leader takes over.
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
WRITES = ("put", "deleterange", "txn", "lease/grant", "lease/revoke")
ANSWERS_TO_LOSE = ("put", "txn", "lease/grant")
RESULTS = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
TARGETS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
    "LEASE": "lease",
}
FIELDS = {
    "range": "key range_end min_mod_revision limit serializable keys_only count_only",
    "put": "key value lease",
    "delete_range": "key range_end",
    "txn": "compare success failure",
    "compare": "target result key version create_revision mod_revision value lease",
    "watch": "key range_end start_revision",
}


def error(code: int, message: str) -> serving.AnswerError:
    """Return the gateway's answer for a gRPC status code."""
    status = {5: 404}.get(code, 400)
    return serving.AnswerError(status, {"error": message, "code": code, "message": message})


def encode(data: bytes) -> str:
    """Return bytes as base64 text."""
    return base64.b64encode(data).decode()


def decode(request: dict, field: str) -> bytes:
    """Return a base64 field as bytes, empty when absent."""
    try:
        return base64.b64decode(request.get(field, ""), validate=True)
    except (TypeError, ValueError, binascii.Error):
        raise error(3, f"illegal base64 data in {field}") from None


def integer(request: dict, field: str) -> int:
    """Return an int64 field given as a string or a number, 0 when absent."""
    try:
        return int(request.get(field) or 0)
    except (TypeError, ValueError):
        raise error(3, f"{field} is not an integer") from None


def compact(data: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return a message as protobuf JSON: int64 as strings, bytes in base64, no zero values."""
    message = {}
    for name, value in data.items():
        if not value:
            continue
        if isinstance(value, bytes):
            value = encode(value)
        elif isinstance(value, int) and not isinstance(value, bool):
            value = str(value)
        message[name] = value
    return message


def check_fields(request: typing.Any, kind: str) -> dict:
    """Refuse a request with fields that this subset does not have."""
    if not isinstance(request, dict):
        raise error(3, f"{kind}: not an object")
    unknown = set(request) - set(FIELDS[kind].split())
    if unknown:
        raise error(3, f"{kind}: unknown fields {sorted(unknown)}")
    return request


def matches(key: bytes, start: bytes, end: bytes) -> bool:
    """Tell whether a key is in a range: one key, [start, end), or all from start on."""
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

    def message(self) -> dict[str, typing.Any]:
        """Return the key-value message."""
        return compact(attrs.asdict(self))


@attrs.define
class Lease:
    """A lease, its end and its keys."""

    ttl_s: int
    expires_s: float
    keys: set[bytes] = attrs.field(factory=set)


class Store:
    """Keys, leases, one revision counter and a bounded history of events."""

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
        return compact({"cluster_id": 1, "member_id": 1, "revision": self.revision, "raft_term": 2})

    def call(self, kind: str, request: dict) -> dict[str, typing.Any]:
        """Handle one request of a kind such as "put" or "lease/grant"."""
        self.expire()
        call = getattr(self, kind.replace("/", "_"))
        answer = call(request)
        return answer if "result" in answer else {"header": self.header(), **answer}

    def range(self, request: dict) -> dict:
        """Read the keys of a range in key order."""
        check_fields(request, "range")
        start, end = decode(request, "key"), decode(request, "range_end")
        found = self._find(start, end)
        least = integer(request, "min_mod_revision")
        pairs = [pair for pair in found if pair.mod_revision >= least]
        limit = integer(request, "limit") or len(pairs)
        shown = [] if request.get("count_only") else pairs[:limit]
        if request.get("keys_only"):
            shown = [attrs.evolve(pair, value=b"") for pair in shown]
        more = len(pairs) > limit
        kvs = [pair.message() for pair in shown]
        return compact({"kvs": kvs, "more": more, "count": len(found)})

    def put(self, request: dict) -> dict:
        """Write one key."""
        self._check("request_put", request)
        self._check_lease(request)
        self._put(request)
        self._commit()
        return {}

    def deleterange(self, request: dict) -> dict:
        """Delete the keys of a range."""
        self._check("request_delete_range", request)
        answer = self._delete(request)
        self._commit()
        return answer

    def txn(self, request: dict) -> dict:
        """Run the one or the other list of operations, as one revision."""
        check_fields(request, "txn")
        for branch in ("success", "failure"):
            self._check_branch(request.get(branch, []))
        succeeded = all([self._compare(compare) for compare in request.get("compare", [])])
        operations = request.get("success" if succeeded else "failure", [])
        for operation in operations:
            self._check_lease(operation.get("request_put", {}))
        answers = [self._run(*next(iter(operation.items()))) for operation in operations]
        self._commit()
        for answer in answers:
            next(iter(answer.values()))["header"] = {"revision": str(self.revision)}
        return compact({"succeeded": succeeded, "responses": answers})

    def lease_grant(self, request: dict) -> dict:
        """Make a lease."""
        ttl_s = integer(request, "TTL")
        lease_id = integer(request, "ID") or next(self._lease_ids)
        if ttl_s <= 0:
            raise error(11, "etcdserver: too small lease TTL")
        if lease_id in self.leases:
            raise error(9, "etcdserver: lease already exists")
        self.leases[lease_id] = Lease(ttl_s, trio.current_time() + ttl_s)
        return compact({"ID": lease_id, "TTL": ttl_s})

    def lease_keepalive(self, request: dict) -> dict:
        """Renew a lease; an unknown one has no TTL in the answer."""
        lease_id = integer(request, "ID")
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_s = trio.current_time() + lease.ttl_s
        ttl_s = 0 if lease is None else lease.ttl_s
        return {"result": {"header": self.header(), **compact({"ID": lease_id, "TTL": ttl_s})}}

    def lease_revoke(self, request: dict) -> dict:
        """End a lease and delete its keys."""
        if integer(request, "ID") not in self.leases:
            raise error(5, "etcdserver: requested lease not found")
        self._end_lease(integer(request, "ID"))
        return {}

    def lease_timetolive(self, request: dict) -> dict:
        """Tell the rest of a lease's time; -1 for an unknown one."""
        lease_id = integer(request, "ID")
        lease = self.leases.get(lease_id)
        if lease is None:
            return compact({"ID": lease_id, "TTL": -1})
        rest_s = int(lease.expires_s - trio.current_time())
        keys = [encode(key) for key in sorted(lease.keys)] if request.get("keys") else []
        return compact({"ID": lease_id, "TTL": rest_s, "grantedTTL": lease.ttl_s, "keys": keys})

    def expire(self) -> None:
        """End the leases whose time is over."""
        now_s = trio.current_time()
        for lease_id in [key for key, lease in self.leases.items() if lease.expires_s <= now_s]:
            self._end_lease(lease_id)

    def renew_leases(self) -> None:
        """Give every lease its whole time again."""
        for lease in self.leases.values():
            lease.expires_s = trio.current_time() + lease.ttl_s

    def events_from(self, revision: int, start: bytes, end: bytes) -> list[tuple[int, list[dict]]]:
        """Return the events of a range by revision, from a revision on."""
        found = []
        for past, events in self.history:
            if past >= revision:
                shown = [
                    compact({"type": kind, "kv": pair.message()})
                    for kind, pair in events
                    if matches(pair.key, start, end)
                ]
                if shown:
                    found.append((past, shown))
        return found

    def _find(self, start: bytes, end: bytes) -> list[KeyValue]:
        if not end:
            return [self.pairs[start]] if start in self.pairs else []
        return [self.pairs[key] for key in sorted(self.pairs) if matches(key, start, end)]

    def _run(self, kind: str, request: dict) -> dict[str, dict]:
        if kind == "request_put":
            self._put(request)
            return {"response_put": {}}
        if kind == "request_range":
            return {"response_range": self.range(request)}
        return {"response_delete_range": self._delete(request)}

    def _check(self, kind: str, request: dict) -> None:
        """Refuse an operation that is wrong whatever the store holds."""
        check_fields(request, kind.removeprefix("request_"))
        if not decode(request, "key"):
            raise error(3, "etcdserver: key is not provided")
        if len(decode(request, "value")) > VALUE_LIMIT_BYTES:
            raise error(3, "etcdserver: request is too large")

    def _check_branch(self, operations: list[dict]) -> None:
        if len(operations) > OPERATIONS_LIMIT:
            raise error(3, "etcdserver: too many operations in txn request")
        for operation in operations:
            for kind, request in operation.items():
                if kind not in ("request_put", "request_range", "request_delete_range"):
                    raise error(3, f"txn: unknown operation {kind}")
                self._check(kind, request)
            if len(operation) != 1:
                raise error(3, "txn: an operation has one request")
        puts = [decode(op["request_put"], "key") for op in operations if "request_put" in op]
        deletes = [op["request_delete_range"] for op in operations if "request_delete_range" in op]
        ranges = [(decode(each, "key"), decode(each, "range_end")) for each in deletes]
        deleted = any(matches(key, start, end) for key in puts for start, end in ranges)
        if len(set(puts)) < len(puts) or deleted:
            raise error(3, "etcdserver: duplicate key given in txn request")

    def _check_lease(self, request: dict) -> None:
        lease_id = integer(request, "lease")
        if lease_id and lease_id not in self.leases:
            raise error(5, "etcdserver: requested lease not found")

    def _compare(self, compare: dict) -> bool:
        check_fields(compare, "compare")
        target, result = compare.get("target", "VERSION"), compare.get("result", "EQUAL")
        if target not in TARGETS or result not in RESULTS:
            raise error(3, f"compare: unknown target {target} or result {result}")
        key, field = decode(compare, "key"), TARGETS[target]
        if target == "VALUE" and key not in self.pairs:
            return False
        wanted = decode(compare, field) if target == "VALUE" else integer(compare, field)
        return RESULTS[result](getattr(self.pairs.get(key, KeyValue(key)), field), wanted)

    def _put(self, request: dict) -> None:
        key, lease_id = decode(request, "key"), integer(request, "lease")
        former = self.pairs.get(key, KeyValue(key))
        revision = self.revision + 1
        self._detach(former)
        if lease_id:
            self.leases[lease_id].keys.add(key)
        created = former.create_revision or revision
        value = decode(request, "value")
        pair = KeyValue(key, value, created, revision, former.version + 1, lease_id)
        self.pairs[key] = pair
        self._events.append(("PUT", pair))

    def _delete(self, request: dict) -> dict:
        found = self._find(decode(request, "key"), decode(request, "range_end"))
        for pair in found:
            self._detach(pair)
            del self.pairs[pair.key]
            self._events.append(("DELETE", KeyValue(pair.key, mod_revision=self.revision + 1)))
        return compact({"deleted": len(found)})

    def _detach(self, pair: KeyValue) -> None:
        if pair.lease in self.leases:
            self.leases[pair.lease].keys.discard(pair.key)

    def _end_lease(self, lease_id: int) -> None:
        for key in sorted(self.leases[lease_id].keys):
            self._delete({"key": encode(key)})
        del self.leases[lease_id]
        self._commit()

    def _commit(self) -> None:
        """Make one revision of the events since the last one, if any."""
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
    """The faults in force, for all clients or for those named."""

    mode: str = attrs.field(default="up", validator=attrs.validators.in_(("up", "down", "slow")))
    delay_s: float = 0.5
    lose_answers: int = 0
    lose_requests: int = 0
    only_from: list[str] = attrs.field(factory=list)

    def hit(self, client: str) -> bool:
        """Tell whether a client is subject to the faults."""
        return not self.only_from or client in self.only_from

    def down_for(self, client: str) -> bool:
        """Tell whether the store is down for a client."""
        return self.mode == "down" and self.hit(client)


class App(serving.App):
    """The gateway over a store, with faults."""

    def __init__(self, store: Store | None = None) -> None:
        self.store = store or Store()
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._last_calls_s: dict[str, float] = {}
        self._watches: dict[trio.CancelScope, str] = {}

    async def run(self) -> None:
        """Expire leases in time."""
        while True:
            if self.faults.mode != "down" or self.faults.only_from:
                self.store.expire()
            await trio.sleep(0.02)

    def set_faults(self, **settings: typing.Any) -> None:
        """Replace the faults; cut the watches of the clients for which the store is down."""
        former = self.faults
        self.faults = Faults(**settings)
        if former.mode == "down" and not former.only_from:
            self.store.renew_leases()
        for scope, client in self._watches.items():
            if self.faults.down_for(client):
                scope.cancel()

    async def handle(self, exchange: serving.Exchange) -> None:
        """Answer one request."""
        if exchange.path == "/standin/faults" and exchange.method == "POST":
            try:
                self.set_faults(**exchange.json())
            except (TypeError, ValueError) as reason:
                raise error(3, str(reason)) from None
            await exchange.answer(200, attrs.asdict(self.faults))
        elif exchange.path == "/standin/calls":
            now_s = trio.current_time()
            last_ago_s = {kind: now_s - last_s for kind, last_s in self._last_calls_s.items()}
            await exchange.answer(200, {"counts": dict(self.calls), "last_ago_s": last_ago_s})
        elif exchange.method == "POST" and exchange.path.startswith("/v3/"):
            await self._call(exchange)
        else:
            raise serving.not_found()

    async def _call(self, exchange: serving.Exchange) -> None:
        kind = exchange.path.removeprefix("/v3/").removeprefix("kv/")
        client = exchange.headers.get("x-client", "")
        self.calls[kind] += 1
        self._last_calls_s[kind] = trio.current_time()
        if self.faults.mode == "slow" and self.faults.hit(client):
            await trio.sleep(self.faults.delay_s)
        if self.faults.down_for(client):
            raise serving.CutError
        if kind == "watch":
            await self._watch(exchange, client)
            return
        if not hasattr(Store, kind.replace("/", "_")) or kind.split("/")[0] not in (
            "range put deleterange txn lease".split()
        ):
            raise serving.not_found()
        if kind in WRITES and self.faults.lose_requests > 0 and self.faults.hit(client):
            self.faults.lose_requests -= 1
            raise serving.CutError
        answer = self.store.call(kind, exchange.json())
        if kind in ANSWERS_TO_LOSE and self.faults.lose_answers > 0 and self.faults.hit(client):
            self.faults.lose_answers -= 1
            raise serving.CutError
        await exchange.answer(200, answer)

    async def _watch(self, exchange: serving.Exchange, client: str) -> None:
        request = check_fields(exchange.json().get("create_request"), "watch")
        start, end = decode(request, "key"), decode(request, "range_end")
        first = integer(request, "start_revision") or self.store.revision + 1
        await exchange.start("application/json")
        ended = False
        async with trio.open_nursery() as nursery:
            self._watches[nursery.cancel_scope] = client

            async def leave() -> None:
                await exchange.wait_for_disconnect()
                nursery.cancel_scope.cancel()

            nursery.start_soon(leave)
            try:
                await self._send_events(exchange, first, start, end)
                ended = True
            finally:
                del self._watches[nursery.cancel_scope]
            nursery.cancel_scope.cancel()
        if not ended:
            raise serving.CutError
        await exchange.finish()

    async def _send_events(
        self, exchange: serving.Exchange, following: int, start: bytes, end: bytes
    ) -> None:
        async def send(**fields: typing.Any) -> None:
            result = {"header": self.store.header(), **fields}
            await exchange.send_part(json.dumps({"result": result}).encode() + b"\n")

        await send(created=True)
        while following >= self.store.compact_revision:
            changed, latest = self.store.changed, self.store.revision
            for _, events in self.store.events_from(following, start, end):
                await send(events=events)
            following = max(following, latest + 1)
            await changed.wait()
        await send(canceled=True, compact_revision=str(self.store.compact_revision))
