"""Stand-ins of the second review: the platform's store, plain workers and clients, over loopback.

They follow the users' pages (PROTOCOL.md, DEPLOY.md) and need only Python's own library. The entries
are the project's own program, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "review.example"
KEY = "review-key"
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
READ_LIMIT = 4 * 1024 * 1024

_taken_ports = set()


def free_port(host, count=1):
    """Return the first of some consecutive ports that are free for TCP and UDP."""
    while True:
        first = random.randint(20000, 45000)
        ports = range(first, first + count)
        if _taken_ports & {(host, port) for port in ports}:
            continue
        try:
            for port in ports:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        _taken_ports.update((host, port) for port in ports)
        return first


class Record:
    """Writes what was sent, answered and run to a file, with times since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._started_s

    def write(self, text):
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


async def read_message(reader):
    """Return the first line, headers and body of a message with a length; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


def message(first, headers, body):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"content-length: {len(body)}", "", ""]).encode() + body


class Gate:
    """The way of one machine to the store.

    :ivar is_cut: whether nothing gets through in either direction, without a reset
    :ivar watches: number of watches that were answered
    """

    def __init__(self):
        self.watches = 0
        self._open = asyncio.Event()
        self._open.set()

    @property
    def is_cut(self):
        return not self._open.is_set()

    def cut(self):
        self._open.clear()

    def heal(self):
        self._open.set()

    async def passing(self):
        await self._open.wait()


class Store:
    """The platform's metadata store: items, revisions, watches, leases, and stale reads.

    :ivar lags_s: how old the answers to serializable reads are: one for each replica that answers
        them, in turn
    """

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.log = []
        self.leases = {}
        self.lags_s = [0.0]
        self.serializable_reads = 0
        self._next_lease = 1000
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write an item for the operator or a worker; the return is the acknowledgement."""
        self.revision += 1
        self._set(key, value, lease)
        self._notify()
        return time.monotonic()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._unset(key)
            self._notify()

    def _set(self, key, value, lease):
        created = self.items[key]["create_rev"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "create_rev": created,
            "lease": lease,
        }
        self.log.append((time.monotonic(), self.revision, key, self.items[key]))

    def _unset(self, key):
        del self.items[key]
        self.log.append((time.monotonic(), self.revision, key, None))

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def state_before(self, lag_s):
        """Return the items and the revision as they were some seconds ago."""
        until_s = time.monotonic() - lag_s
        items, revision = {}, 1
        for written_s, changed_at, key, item in self.log:
            if written_s > until_s:
                break
            revision = changed_at
            items.pop(key, None)
            if item is not None:
                items[key] = item
        return items, revision

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, end_s) in list(self.leases.items()):
                if end_s < time.monotonic():
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def serve(self, reader, writer, gate=None):
        gate = gate or Gate()
        try:
            while (request := await read_message(reader)) is not None:
                await gate.passing()
                first, _, body = request
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await self._answer(
                    method, path, fields, json.loads(body) if body else {}
                )
                content = json.dumps(answer).encode()
                headers = {"content-type": "application/json"}
                await gate.passing()
                writer.write(message(f"HTTP/1.1 {status} -", headers, content))
                await writer.drain()
                gate.watches += path == "/kv-watch"
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, fields):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            found = {"store_revision": self.revision} | (item or {})
            return (200 if item else 404), found
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(fields)
        if path == "/kv-lease":
            self._next_lease += 1
            ttl_ms = fields["ttl_ms"]
            self.leases[self._next_lease] = ttl_ms, time.monotonic() + ttl_ms / 1000
            return 200, {"lease": self._next_lease, "ttl_ms": ttl_ms}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        ttl_ms, _ = self.leases[lease]
        if path.startswith("/kv-keep/"):
            self.leases[lease] = ttl_ms, time.monotonic() + ttl_ms / 1000
        else:
            self._end_lease(lease)
        return 200, {"ttl_ms": ttl_ms}

    def _range(self, query):
        items, revision, lag_s = self.items, self.revision, 0.0
        if query.get("serializable") == "1":
            lag_s = self.lags_s[self.serializable_reads % len(self.lags_s)]
            self.serializable_reads += 1
            if lag_s:
                items, revision = self.state_before(lag_s)
        after = query.get("after", "")
        keys = sorted(key for key in items if key.startswith(query["path_prefix"]) and key > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(items[key]["value"]) + 200
            if page and size > PAGE_BYTES:
                break
            page.append(items[key])
        has_more = len(page) < len(keys)
        self.record.write(
            f"store: range after {after!r}, serializable={query.get('serializable', '0')}:"
            f" {len(page)} items, has_more={has_more}, as of {lag_s:g} s ago, revision {revision}"
        )
        return {"items": page, "has_more": has_more, "store_revision": revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["path_prefix"]
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                item or {"key": key, "revision": revision, "tombstone": True}
                for _, revision, key, item in self.log
                if revision > after and key.startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _commit(self, fields):
        for row in fields["precondition"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [
                    self.items[r["key"]] for r in fields["precondition"] if r["key"] in self.items
                ]
                return 412, {"items": rows}
        leases = {put["lease"] for put in fields["puts"]} - {0}
        if not leases <= self.leases.keys():
            return 404, {}
        self.revision += 1
        for put in fields["puts"]:
            self._set(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in fields["remove"]:
            if key in self.items:
                self._unset(key)
        self._notify()
        return 200, {"revision": self.revision}


class Worker:
    """A plain worker, which answers each request that is meant for it after its work.

    :ivar arrivals: time, attempt and path of each request that it ran
    """

    def __init__(self, store, record, server_id, service, zone, slots=6, work_s=0.02):
        self.store, self.record = store, record
        self.server_id, self.service, self.zone = server_id, service, zone
        self.slots, self.work_s = slots, work_s
        self.born_ms = int(time.time() * 1000)
        self.address = ""
        self.running = 0
        self.arrivals = []
        self.is_quiet = False
        self._server = None
        self._sequence = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_LIMIT, backlog=512
        )
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def register(self, state="ready"):
        """Write the registration; return the time of the store's acknowledgement."""
        self._sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self.born_ms,
        }
        return self.store.put(f"servers/{self.server_id}", json.dumps(fields).encode())

    def leave(self):
        """Exit: remove the registration and stop listening."""
        self.store.remove(f"servers/{self.server_id}")
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                first, headers, body = request
                writer.write(await self._answer(first, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, first, headers, body):
        method, target, _ = first.split(" ")
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-target-instance", self.server_id) != self.server_id:
            return message("HTTP/1.1 421 -", {"x-not-executed": "1"}, b"")
        if target == "/health":
            return message("HTTP/1.1 200 -", {"x-instance-id": self.server_id}, b"")
        if not attempt:
            return message("HTTP/1.1 400 -", {"x-not-executed": "1"}, b"")
        self.arrivals.append((time.monotonic(), attempt, target))
        if not self.is_quiet:
            self.record.write(f"worker {self.server_id}: runs {attempt} {method} {target}")
        self.running += 1
        await asyncio.sleep(self.work_s)
        self.running -= 1
        answer_headers = {
            "x-attempt-id": attempt,
            "x-server-seal": f"seal.{self.server_id}.{attempt}",
            "x-instance-load": f"{self.running},0,{self.slots}",
        }
        return message("HTTP/1.1 200 -", answer_headers, f"{self.server_id} {target}".encode())


class Engines:
    """The model workers of one service, and what they began to do, in order.

    :ivar joins: for each join that a worker took: time, worker, new group, the group it was in, and
        the state of that group's head, as far as it was in that group
    """

    def __init__(self):
        self.workers = {}
        self.joins = []

    def head_state(self, group):
        """Return the state of a group's head, empty if the head is in that group no longer."""
        head = self.workers[group["members"][0]]
        current = head.group
        is_same = current and (current["name"], current["epoch"]) == (group["name"], group["epoch"])
        return current["state"] if is_same else ""


class EngineWorker(Worker):
    """A worker of a model service: takes orders, and as the head of an open group serves streams.

    All models are staged on its host, so a join takes ``warm_s``. While a member is not in its
    group, its streams stand still; it breaks after ``stall_s``.
    """

    def __init__(self, engines, *arguments, domain, warm_s=0.3, form_s=0.3, stall_s=4.0, **others):
        super().__init__(*arguments, **others)
        self.engines, self.domain, self.warm_s, self.form_s = engines, domain, warm_s, form_s
        self.stall_s = stall_s
        self.group = None
        self.model = ""
        self.orders_begun = 0
        self.newest_epoch = 0
        self.streams = 0
        engines.workers[self.server_id] = self

    def said_fields(self):
        models = [{"name": self.model, "version": 1, "adapters": []}] if self.model else []
        fields = {"stage": "both", "domain": self.domain, "models": models, "staged": ["m0"]}
        if self.group is not None:
            fields["group"] = {k: v for k, v in self.group.items() if k != "members"}
        return fields

    def register(self, state="ready"):
        self._sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self.born_ms,
        }
        value = json.dumps(fields | self.said_fields()).encode()
        return self.store.put(f"servers/{self.server_id}", value)

    def is_whole(self):
        """Return whether all members of this worker's group are in it."""
        group = self.group["name"], self.group["epoch"]
        others = [self.engines.workers[name].group for name in self.group["members"]]
        return all(other and (other["name"], other["epoch"]) == group for other in others)

    async def break_when_stalled(self):
        """As a head, break once a member has been missing for ``stall_s``."""
        missing_since_s = None
        while True:
            await asyncio.sleep(0.05)
            is_active = self.group is not None and self.group["state"] in ("open", "closing")
            if not is_active or self.is_whole():
                missing_since_s = None
                continue
            missing_since_s = missing_since_s or time.monotonic()
            if time.monotonic() - missing_since_s > self.stall_s:
                self._set_state("broken")

    async def heartbeat(self, interval_s=1.2):
        """Write the registration again if it is not what this worker wrote last."""
        while True:
            await asyncio.sleep(interval_s)
            item = self.store.items.get(f"servers/{self.server_id}")
            value = json.loads(base64.b64decode(item["value"])) if item else {}
            if value.get("seq") != self._sequence or value.get("born") != self.born_ms:
                self.record.write(f"worker {self.server_id}: writes its entry again")
                self.register()

    def _set_state(self, state):
        self.group = self.group | {"state": state}
        self.record.write(
            f"worker {self.server_id}: {state} in {self.group['name']} epoch {self.group['epoch']}"
        )
        self.register()

    def _is_in(self, order):
        return self.group is not None and (self.group["name"], self.group["epoch"]) == (
            order.get("group"),
            order.get("epoch"),
        )

    def _is_in_open(self, group):
        return (
            self.group is not None
            and (self.group["name"], self.group["epoch"]) == (group["name"], group["epoch"])
            and self.group["state"] in ("open", "closing")
        )

    def _take_order(self, order):
        """Return the status of the answer to an order."""
        if order.get("precondition", self.orders_begun) != self.orders_begun:
            return 409
        op = order["op"]
        if op == "join":
            return self._join(order)
        if op == "stage":
            return 200
        if not self._is_in(order):
            return 200 if op == "leave" else 409
        state = self.group["state"]
        if op == "leave":
            self.orders_begun += 1
            self.group = None
            self.register()
            return 202
        if op == "open":
            if state != "ready" or self.group["rank"]:
                return 200 if state == "open" else 409
            self.orders_begun += 1
            asyncio.create_task(self._change_later(self.form_s, self.group, "ready", "open"))
            return 202
        if op == "close":
            if state not in ("open", "closing"):
                return 200 if state == "ready" else 409
            self.orders_begun += 1
            self._set_state("closing")
            asyncio.create_task(self._finish_closing(self.group, order.get("mode")))
            return 202
        return 400

    def _join(self, order):
        if order["epoch"] < self.newest_epoch:
            return 412
        if self._is_in(order):
            return 200 if self.group["members"] == order["members"] else 412
        if self.group is not None:
            entry = (
                time.monotonic(),
                self.server_id,
                order["group"],
                self.group,
                self.engines.head_state(self.group),
            )
            self.engines.joins.append(entry)
            self.record.write(
                f"worker {self.server_id}: takes a join of {order['group']} while in"
                f" {self.group['name']}, whose head is {entry[-1] or 'elsewhere'}"
            )
        self.orders_begun += 1
        self.newest_epoch = order["epoch"]
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": order["members"].index(self.server_id),
            "state": "joining",
            "members": order["members"],
        }
        delay_s = 0.2 if self.model == order["model"] else self.warm_s
        self.model = order["model"]
        self.register()
        asyncio.create_task(self._change_later(delay_s, self.group, "joining", "ready"))
        return 202

    async def _change_later(self, delay_s, group, expected, state):
        await asyncio.sleep(delay_s)
        if self.group is not None and self.group == group and self.group["state"] == expected:
            self._set_state(state)

    async def _finish_closing(self, group, mode):
        while mode == "wait" and self.streams:
            await asyncio.sleep(0.05)
        if self.group == group:
            self._set_state("ready")

    async def _answer(self, first, headers, body):
        method, target, _ = first.split(" ")
        if headers.get("x-target-instance", self.server_id) != self.server_id:
            return message("HTTP/1.1 421 -", {"x-not-executed": "1"}, b"")
        if target == "/report":
            fields = self.said_fields() | {"busy": False, "seq": self.orders_begun}
            fields |= {"queued": 0, "active": self.streams, "kv_used": 0, "kv_total": 90000}
            fields |= {"born": self.born_ms}
            return message("HTTP/1.1 200 -", {}, json.dumps(fields).encode())
        if target == "/order":
            order = json.loads(body)
            status = self._take_order(order)
            self.record.write(f"worker {self.server_id}: order {json.dumps(order)} -> {status}")
            return message(f"HTTP/1.1 {status} -", {}, b"")
        return message("HTTP/1.1 421 -", {"x-not-executed": "1"}, b"")

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                first, headers, body = request
                is_open = self.group is not None and self.group["state"] == "open"
                is_stream = headers.get("x-model") and is_open
                if is_stream and headers.get("x-target-instance") == self.server_id:
                    await self._stream(headers, writer)
                    break
                writer.write(await self._answer(first, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _stream(self, headers, writer, events=20, pause_s=0.05):
        """Serve one stream; it ends early if the head leaves its group."""
        attempt, group = headers["x-attempt-id"], self.group
        self.record.write(f"worker {self.server_id}: runs {attempt} in {group['name']}")
        self.arrivals.append((time.monotonic(), attempt, group["name"]))
        lines = ["HTTP/1.1 200 -", f"x-attempt-id: {attempt}"]
        lines += [f"x-server-seal: seal.{self.server_id}", "content-type: text/event-stream"]
        writer.write("\r\n".join([*lines, "transfer-encoding: chunked", "", ""]).encode())
        self.streams += 1
        try:
            for number in range(int(headers.get("last-event-id", "-1")) + 1, events):
                await asyncio.sleep(pause_s)
                while self._is_in_open(group) and not self.is_whole():
                    await asyncio.sleep(pause_s)
                if not self._is_in_open(group):
                    self.record.write(f"worker {self.server_id}: cuts {attempt}, its group is over")
                    return
                event = f"id: {number}\ndata: word\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.streams -= 1


async def send(address, method, target, attempt, deadline_ms=2500, body=b"", headers=()):
    """Send one request on a new connection; return its status, headers and body.

    The status is 0 where the connection ended without an answer.
    """
    host, _, port = address.rpartition(":")
    lines = {
        "host": HOST,
        "x-attempt-id": attempt,
        "x-deadline-remaining-ms": str(deadline_ms),
        "x-credential": KEY,
    } | dict(headers)
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(message(f"{method} {target} HTTP/1.1", lines, body))
            await writer.drain()
            answer = await read_message(reader)
            if answer is None:
                return 0, {}, b""
            first, answer_headers, content = answer
            return int(first.split(" ")[1]), answer_headers, content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Entry:
    """One machine of the system, whose process runs the deploy file's command.

    :ivar store_address: where it reaches the store
    """

    def __init__(self, name, host, zone, store_address, folder, bounds):
        self.name, self.host, self.zone = name, host, zone
        self.store_address, self.folder, self.bounds = store_address, folder, bounds
        ports = {name: free_port(host) for name in ("front", "ready", "directory")}
        self.addresses = {name: f"{host}:{port}" for name, port in ports.items()}
        self.internal = free_port(host, 16)
        self.process = None
        self.started_s = 0.0

    async def start(self):
        path = pathlib.Path(self.folder) / f"{self.name}.toml"
        path.write_text(self._settings())
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables = kept | role.get("env", {})
        variables |= {"TOUCANHOLD_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        log = open(pathlib.Path(self.folder) / f"{self.name}.log", "ab")
        self.started_s = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=variables, stdout=log, stderr=log
        )

    async def is_ready(self):
        status, _, _ = await send(self.addresses["ready"], "GET", "/ready", "", 500)
        return status == 200

    async def wait_ready(self, timeout_s=20.0):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready after {timeout_s} s")

    async def kill(self):
        """Kill the process, as a machine's process is killed."""
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()

    def _settings(self):
        listen = "\n".join(f'{name} = "{address}"' for name, address in self.addresses.items())
        bounds = "\n".join(f"{name} = {json.dumps(value)}" for name, value in self.bounds.items())
        return f"""node = "{self.name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory"]
ip = "{self.host}"
zone = "{self.zone}"
region = "here"
internal_ports = [{self.internal}, {self.internal + 15}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[listen]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
[bounds]
{bounds}
[platform]
address = "{self.store_address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRunError(Exception):
    """The case could not be played."""


BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 132,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "stall_ms": 4000,
    "ttl_max_s": 5,
}


def route(prefix, service, kind, **others):
    return {
        "name": prefix.strip("/").replace("/", "-"),
        "host": HOST,
        "path_prefix": prefix,
        "service": service,
        "kind": kind,
        "attempts": 2 if kind == "idempotent" else 1,
        "timeout_ms": 2000,
        "goal_ms": 200,
        "priority": 1,
    } | others


def configuration(version, routes, services, **others):
    fields = {
        "version": version,
        "routes": routes,
        "services": [each if isinstance(each, dict) else {"name": each} for each in services],
        "tenants": [{"name": "tenant", "api_keys": [KEY]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 5000,
            "idle_timeout_ms": 15000,
        },
    }
    return json.dumps(fields | others).encode()


def subnet():
    """Return the first three numbers of loopback addresses for the machines of one run."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


async def serve_store(store, gate=None):
    """Serve the store on one more address, behind a gate; return the server and its address."""
    gate = gate or Gate()

    async def serve(reader, writer):
        await store.serve(reader, writer, gate)

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=READ_LIMIT)
    return server, "%s:%d" % server.sockets[0].getsockname()[:2]


def run_case(folder, play):
    """Play a case within 115 s; exit with 1 if the rule was broken, 0 if not, 2 if it cannot run.

    :param play: coroutine function; takes the record, a temporary folder and whether there is
        trouble, and returns the breaches as texts
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"TROUBLE={int(has_trouble)}")

    async def limited():
        # A stop ends the processes that the case started, too.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(115):
            return await play(record, temporary, has_trouble)

    with tempfile.TemporaryDirectory() as temporary:
        try:
            breaches = asyncio.run(limited())
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            record.write(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            sys.exit(2)
    for breach in breaches[:40]:
        record.write(f"BREACH {breach}")
    verdict = f"{len(breaches)} breaches" if breaches else "the rule held"
    record.write(verdict)
    print(verdict)
    sys.exit(1 if breaches else 0)
