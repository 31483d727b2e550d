"""The platform's store and one of its servers over HTTP on loopback, as far as tests need them."""

import base64
import contextlib
import json
import socket
import urllib.parse

import attrs
import httpcore
import trio

from toucanhold import asgi, serving

# A port that was found free is free again until it is listened on, and may be found twice.
_found_ports = set()


def free_address():
    """Return an address that nobody listens on and that was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _found_ports:
            _found_ports.add(port)
            return f"127.0.0.1:{port}"


@contextlib.asynccontextmanager
async def served(app, address=None):
    """Serve an ASGI application on loopback."""
    address = address or free_address()
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(serving.HypercornServer(10.0).serve, app, address, stop)
        try:
            yield address
        finally:
            nursery.cancel_scope.cancel()


@attrs.define(eq=False)
class StoreApp:
    """The store: items with revisions, a history, and faults.

    :ivar refuse: status that every call gets, or 0
    :ivar lose_answers: number of coming writes that are done and not answered
    """

    items: dict = attrs.field(factory=dict)
    revision: int = 1
    history: list = attrs.field(factory=list)
    oldest: int = 0
    page_size: int = 500
    refuse: int = 0
    lose_answers: int = 0
    leases: dict = attrs.field(factory=dict)
    changed: trio.Event = attrs.field(factory=trio.Event)

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
            return
        body = await asgi.read_body(receive, 10_000_000)
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode(), keep_blank_values=True))
        plain = json.loads(body) if body else {}
        if self.refuse:
            await asgi.respond(send, self.refuse, [], b"")
            return
        status, answer = await self._answer(scope["method"], scope["path"], query, plain)
        if self.lose_answers and scope["method"] != "GET":
            self.lose_answers -= 1
            await trio.sleep_forever()
        await asgi.respond_json(send, status, answer)

    def put(self, key, value, lease=0):
        self.revision += 1
        self._put(key, value, lease)
        self._wake()

    def forget_history(self):
        self.oldest = self.revision
        self.history.clear()

    async def _answer(self, method, path, query, plain):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item | {"store_revision": self.revision}
        if path == "/kv-range":
            return 200, self._range(query["path_prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._txn(plain)
        return self._lease(method, path, plain)

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[: self.page_size]]
        more = len(keys) > self.page_size
        return {"items": page, "has_more": more, "store_revision": self.revision}

    async def _watch(self, query):
        after = int(query["after"])
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while not (found := self._events(query["path_prefix"], after)):
                await self.changed.wait()
        if after < self.oldest:
            return 410, {}
        return 200, {"events": found or [], "store_revision": self.revision}

    def _events(self, prefix, after):
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def _txn(self, plain):
        for row in plain["precondition"]:
            current = self.items.get(row["key"], {"revision": 0})
            if current["revision"] != row["revision"]:
                return 412, {"items": [current]}
        self.revision += 1
        for put in plain["puts"]:
            self._put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in plain["remove"]:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append(event)
        self._wake()
        return 200, {"revision": self.revision}

    def _put(self, key, value, lease):
        created = self.items.get(key, {"create_rev": self.revision})["create_rev"]
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_rev": created,
            "lease": lease,
        }
        self.history.append(self.items[key])

    def _lease(self, method, path, plain):
        if path == "/kv-lease":
            number = 100 + len(self.leases)
            self.leases[number] = plain["ttl_ms"]
            return 200, {"lease": number, "ttl_ms": plain["ttl_ms"]}
        number = int(path.rpartition("/")[2])
        if number not in self.leases:
            return 404, {}
        if method == "DELETE":
            del self.leases[number]
        return 200, {"ttl_ms": 1000}

    def _wake(self):
        self.changed.set()
        self.changed = trio.Event()


@attrs.define(eq=False)
class WorkerApp:
    """One server: echoes requests, takes orders, and misbehaves as told.

    :ivar answer: called with the request's scope, body and ``send``; None for a plain answer
    """

    server_id: str = "i-1"
    answer: object = None
    requests: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    order_count: int = 0
    active: int = 0

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
            return
        body = await asgi.read_body(receive, 10_000_000)
        if scope["path"] == "/report":
            await asgi.respond_json(send, 200, {"seq": self.order_count, "busy": False})
            return
        if scope["path"] == "/order":
            await self._order(json.loads(body), send)
            return
        lines = {key.decode(): value.decode() for key, value in scope["headers"]}
        self.requests.append((scope, lines, body))
        self.active += 1
        try:
            if self.answer is not None:
                await self.answer(lines, receive, send)
            else:
                await asgi.respond(send, 200, self.seal(lines), b"answer")
        finally:
            self.active -= 1

    def seal(self, lines):
        return [
            (b"x-attempt-id", lines.get("x-attempt-id", "").encode()),
            (b"x-server-seal", b"seal-1"),
            (b"x-instance-load", b"1,0,6"),
        ]

    async def _order(self, plain, send):
        self.orders.append(plain)
        if plain["precondition"] != self.order_count:
            await asgi.respond(send, 409, [], b"")
            return
        self.order_count += 1
        await asgi.respond(send, 202, [], b"")


async def ask(address, method, target, headers=(), body=b""):
    """Send one request; return its status, headers and body."""
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        response = await pool.request(
            method, f"http://{address}{target}", headers=list(headers), content=body
        )
        found = {key.decode().lower(): value.decode() for key, value in response.headers}
        return response.status, found, response.content
