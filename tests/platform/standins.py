"""Minimal fakes of the platform's store and of a backend server, over HTTP on loopback."""

import base64
import contextlib
import json
import socket
import urllib.parse

import attrs
import httpcore
import trio

from toucanhold import asgi, serving

# Ports already returned. A free port stays free until it is listened on, so the kernel may offer it
# twice.
_returned_ports = set()


def free_address():
    """Return a loopback address that is free and was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _returned_ports:
            _returned_ports.add(port)
            return f"127.0.0.1:{port}"


@contextlib.asynccontextmanager
async def serve_app(app, address=None):
    """Serve an ASGI application on loopback and yield its address."""
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
    """Key-value store with revisions, a watchable history, leases and faults.

    :ivar oldest_revision: revision up to which the history was compacted
    :ivar refusal_status: HTTP status returned to every call; 0 for none
    :ivar responses_to_drop: number of next writes that take effect without a response
    """

    items: dict = attrs.field(factory=dict)
    revision: int = 1
    history: list = attrs.field(factory=list)
    oldest_revision: int = 0
    page_size: int = 500
    refusal_status: int = 0
    responses_to_drop: int = 0
    leases: dict = attrs.field(factory=dict)
    changed: trio.Event = attrs.field(factory=trio.Event)

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
            return
        body = await asgi.read_body(receive, 10_000_000)
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode(), keep_blank_values=True))
        request_data = json.loads(body) if body else {}
        if self.refusal_status:
            await asgi.respond(send, self.refusal_status, [], b"")
            return
        status, response_data = await self._dispatch(
            scope["method"], scope["path"], query, request_data
        )
        if self.responses_to_drop and scope["method"] != "GET":
            self.responses_to_drop -= 1
            await trio.sleep_forever()
        await asgi.respond_json(send, status, response_data)

    def put(self, key, value, lease=0):
        self.revision += 1
        self._store_item(key, value, lease)
        self._notify_watchers()

    def compact_history(self):
        self.oldest_revision = self.revision
        self.history.clear()

    async def _dispatch(self, method, path, query, request_data):
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
            return self._commit(request_data)
        return self._lease(method, path, request_data)

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[: self.page_size]]
        has_more = len(keys) > self.page_size
        return {"items": page, "has_more": has_more, "store_revision": self.revision}

    async def _watch(self, query):
        after = int(query["after"])
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while not (matching_events := self._events(query["path_prefix"], after)):
                await self.changed.wait()
        if after < self.oldest_revision:
            return 410, {}
        return 200, {"events": matching_events or [], "store_revision": self.revision}

    def _events(self, prefix, after):
        return [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def _commit(self, request_data):
        for condition in request_data["precondition"]:
            current_item = self.items.get(condition["key"], {"revision": 0})
            if current_item["revision"] != condition["revision"]:
                return 412, {"items": [current_item]}
        self.revision += 1
        for put in request_data["puts"]:
            self._store_item(put["key"], base64.b64decode(put["value"]), put["lease"])
        self._remove_items(request_data["remove"])
        self._notify_watchers()
        return 200, {"revision": self.revision}

    def _remove_items(self, keys):
        for key in keys:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "tombstone": True}
                self.history.append(event)

    def _store_item(self, key, value, lease):
        create_revision = self.items.get(key, {"create_rev": self.revision})["create_rev"]
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_rev": create_revision,
            "lease": lease,
        }
        self.history.append(self.items[key])

    def _lease(self, method, path, request_data):
        if path == "/kv-lease":
            self.revision += 1
            lease_id = 100 + self.revision
            self.leases[lease_id] = request_data["ttl_ms"]
            return 200, {"lease": lease_id, "ttl_ms": request_data["ttl_ms"]}
        lease_id = int(path.rpartition("/")[2])
        if lease_id not in self.leases:
            return 404, {}
        if method == "DELETE":
            del self.leases[lease_id]
            self.revision += 1
            self._remove_items(
                [key for key, item in self.items.items() if item["lease"] == lease_id]
            )
            self._notify_watchers()
        return 200, {"ttl_ms": 1000}

    def _notify_watchers(self):
        self.changed.set()
        self.changed = trio.Event()


@attrs.define(eq=False)
class ServerApp:
    """Backend server that records requests and accepts orders.

    :ivar handler: called with the request's headers, ``receive`` and ``send``; None for a default
        response
    :ivar order_count: number of accepted orders, the next order's precondition
    :ivar active: number of requests in progress
    :ivar signals: headers that it adds to each answer
    """

    server_id: str = "i-1"
    handler: object = None
    requests: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    order_count: int = 0
    active: int = 0
    signals: list = attrs.field(factory=list)

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
            return
        body = await asgi.read_body(receive, 10_000_000)
        send = self._with_signals(send)
        if scope["path"] == "/report":
            await asgi.respond_json(send, 200, {"seq": self.order_count, "busy": False})
            return
        if scope["path"] == "/order":
            await self._order(json.loads(body), send)
            return
        request_headers = {key.decode(): value.decode() for key, value in scope["headers"]}
        self.requests.append((scope, request_headers, body))
        self.active += 1
        try:
            if self.handler is not None:
                await self.handler(request_headers, receive, send)
            else:
                await asgi.respond(send, 200, self.seal(request_headers), b"answer")
        finally:
            self.active -= 1

    def _with_signals(self, send):
        async def send_with_signals(message):
            if message["type"] == "http.response.start":
                message = message | {"headers": [*message["headers"], *self.signals]}
            await send(message)

        return send_with_signals

    def seal(self, request_headers):
        return [
            (b"x-attempt-id", request_headers.get("x-attempt-id", "").encode()),
            (b"x-server-seal", b"seal-1"),
            (b"x-instance-load", b"1,0,6"),
        ]

    async def _order(self, request_data, send):
        self.orders.append(request_data)
        if request_data["precondition"] != self.order_count:
            await asgi.respond(send, 409, [], b"")
            return
        self.order_count += 1
        await asgi.respond(send, 202, [], b"")


async def send_request(address, method, target, headers=(), body=b""):
    """Send one request; return status, headers and body of the response."""
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        response = await pool.request(
            method, f"http://{address}{target}", headers=list(headers), content=body
        )
        lines = response.headers
        response_headers = {key.decode().lower(): value.decode("latin-1") for key, value in lines}
        return response.status, response_headers, response.content
