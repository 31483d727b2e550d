"""Stand-ins of the platform, its store, workers and clients, for the scripts of this review.

They use the standard library only and speak what PROTOCOL.md and DEPLOY.md describe. All of them
run in one process; the entries are separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import collections
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
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.2
# Time after which the platform starts a process again that has ended.
RESTART_DELAY_S = 1.0
FRONT, READY, CONTROL, DIRECTORY, INTERNAL = 8227, 8220, 8229, 8224, 7340
USED_PORTS = (FRONT, READY, CONTROL, DIRECTORY, INTERNAL, INTERNAL + 1, INTERNAL + 2, 9464)

REASONS = {200: "OK", 202: "Accepted", 403: "Forbidden", 404: "Not Found", 409: "Conflict"}
REASONS |= {410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request"}
REASONS |= {500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """What was sent, answered and run, one line each with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def line(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")

    def show(self, text):
        self.line(text)
        print(f"{self.now():8.3f} {text}", flush=True)

    def close(self):
        self._file.close()


class Message:
    """A request or a response that was read."""

    def __init__(self, first, headers, body=b""):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name, default=""):
        return next((value for key, value in self.headers if key == name), default)


async def read_head(reader):
    """Return the start of a message, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message):
    """Read a body by its length or chunks; to the end of the connection for a response."""
    if "chunked" in message.header("transfer-encoding"):
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        while (await reader.readuntil(b"\r\n")).strip():
            pass
    elif message.header("content-length"):
        message.body = await reader.readexactly(int(message.header("content-length")))
    elif message.first.startswith("HTTP/"):
        message.body = await reader.read()
    return message


def answer(status, headers=(), body=b""):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self, host="127.0.0.1", port=0):
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                await read_body(reader, request)
                if not await self.respond(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def respond(self, request, reader, writer):
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store: items, a watchable history and leases."""

    def __init__(self):
        super().__init__()
        self.items, self.history, self.leases = {}, collections.deque(), {}
        self.revision, self.calls = 1, collections.Counter()
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write an item, as the operator, the workers and other writers do."""
        self.revision += 1
        self._put(key, value, lease)
        self._notify()
        return self.revision

    def remove(self, keys):
        self.revision += 1
        self._remove(keys)
        self._notify()

    async def run(self):
        """Let leases end."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end < now]:
                self._end_lease(lease)

    def _put(self, key, value, lease):
        created = self.items.get(key, {"create_rev": self.revision})["create_rev"]
        encoded = base64.b64encode(value).decode()
        item = {"key": key, "value": encoded, "revision": self.revision}
        self.items[key] = item | {"create_rev": created, "lease": lease}
        self.history.append(self.items[key])

    def _remove(self, keys):
        for key in keys:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.remove(keys)

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        fields = json.loads(request.body) if request.body else {}
        self.calls[path.split("/")[1]] += 1
        status, content = await self._dispatch(method, path, query, fields)
        body = json.dumps(content).encode()
        writer.write(answer(status, [("Content-Type", "application/json")], body))
        await writer.drain()
        return True

    async def _dispatch(self, method, path, query, fields):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            current = {"store_revision": self.revision}
            return (404, current) if item is None else (200, item | current)
        if path == "/kv-range":
            return 200, self._range(query["path_prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(fields)
        if path == "/kv-lease":
            self.revision += 1
            lease = 70000 + self.revision
            self.leases[lease] = (fields["ttl_ms"], time.monotonic() + fields["ttl_ms"] / 1000)
            return 200, {"lease": lease, "ttl_ms": fields["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {"ttl_ms": ttl_ms}

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key] for key in keys[:500]]
        return {"items": page, "has_more": len(keys) > 500, "store_revision": self.revision}

    async def _watch(self, query):
        prefix, after = query["path_prefix"], int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[::-1], "store_revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _commit(self, fields):
        rows = fields.get("precondition", [])
        written = [put["key"] for put in fields.get("puts", [])] + list(fields.get("remove", []))
        if any(key.startswith(("op/", "servers/")) for key in written):
            return 403, {}
        current = [self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in rows]
        if any(item["revision"] != row["revision"] for item, row in zip(current, rows)):
            return 412, {"items": current}
        if any(put.get("lease") and put["lease"] not in self.leases for put in fields["puts"]):
            return 404, {}
        self.revision += 1
        for put in fields.get("puts", []):
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        self._remove(fields.get("remove", []))
        self._notify()
        return 200, {"revision": self.revision}


class CuttingStore(Store):
    """A store that can cut the watches that are waiting."""

    def __init__(self):
        super().__init__()
        self._cut = asyncio.Event()

    def cut_watches(self):
        self._cut.set()
        self._cut = asyncio.Event()

    async def respond(self, request, reader, writer):
        if not request.first.startswith("GET /kv-watch"):
            return await super().respond(request, reader, writer)
        response = asyncio.create_task(super().respond(request, reader, writer))
        cut = asyncio.create_task(self._cut.wait())
        try:
            await asyncio.wait((response, cut), return_when=asyncio.FIRST_COMPLETED)
            # A watch that is cut ends with its connection.
            return response.done() and await response
        finally:
            response.cancel()
            cut.cancel()


class Worker(HttpServer):
    """A worker of a plain service, which registers itself."""

    def __init__(self, record, store, service, zone, slots=6, work_s=0.03):
        super().__init__()
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.slots, self.work_s = slots, work_s
        self.id = "i-" + os.urandom(5).hex()
        self.state, self.running, self.runs = "ready", 0, collections.Counter()

    def registration(self):
        fields = {"service": self.service, "address": self.address, "zone": self.zone}
        fields |= {"version": "v1", "slots": self.slots, "state": self.state}
        return fields | {"cold_left_ms": 0, "seq": 1, "born": int(time.time() * 1000)}

    def register(self):
        self.store.put(f"servers/{self.id}", json.dumps(self.registration()).encode())

    async def respond(self, request, reader, writer):
        headers = [("X-Instance-Id", self.id), ("X-Instance-Load", f"{self.running},0,{self.slots}")]
        if request.header("x-target-instance", self.id) != self.id:
            writer.write(answer(421, headers))
        elif request.first.startswith("GET /health "):
            writer.write(answer(200 if self.state == "ready" else 503, headers))
        else:
            await self.run(request, headers, writer)
        await writer.drain()
        return True

    async def run(self, request, headers, writer):
        attempt = request.header("x-attempt-id")
        headers += [("X-Attempt-Id", attempt)]
        if self.running >= self.slots:
            writer.write(answer(503, [*headers, ("X-Not-Executed", "1")]))
            return
        self.running += 1
        self.runs[attempt] += 1
        self.record.line(f"run      {attempt} at {self.id}: {request.first}")
        await asyncio.sleep(self.work_s)
        self.running -= 1
        body = f"the answer to {attempt}".encode()
        writer.write(answer(200, [*headers, ("X-Server-Seal", "seal." + attempt)], body))


class GroupWorker(HttpServer):
    """A worker of a model service, which joins groups and serves streams as the head of one."""

    def __init__(self, record, store, service, zone, domain, engine, event_s):
        super().__init__()
        self.record, self.store, self.service, self.zone = record, store, service, zone
        self.domain, self.engine, self.event_s = domain, engine, event_s
        self.id = "i-" + os.urandom(5).hex()
        self.born = int(time.time() * 1000)
        self.staged, self.model, self.group, self.order_count = [], "", None, 0
        self.running, self.runs = 0, collections.Counter()
        self._tasks = set()

    def models(self):
        return [{"name": self.model, "version": 1, "adapters": []}] if self.model else []

    def state(self):
        fields = {"stage": "both", "models": self.models(), "domain": self.domain}
        return fields | {"staged": self.staged, "group": self.group, "born": self.born}

    def register(self):
        fields = {"service": self.service, "address": self.address, "zone": self.zone}
        fields |= {"version": "v1", "slots": self.engine["slots"], "state": "ready"}
        fields |= {"cold_left_ms": 0, "seq": 1} | self.state()
        self.store.put(f"servers/{self.id}", json.dumps(fields).encode())

    async def respond(self, request, reader, writer):
        headers = [("X-Instance-Id", self.id)]
        path = request.first.split(" ")[1]
        if request.header("x-target-instance", self.id) != self.id:
            writer.write(answer(421, headers))
        elif path == "/health":
            writer.write(answer(200, headers))
        elif path == "/report":
            body = json.dumps(self.state() | self.load()).encode()
            writer.write(answer(200, [*headers, ("Content-Type", "application/json")], body))
        elif path == "/order":
            writer.write(answer(self._order(json.loads(request.body)), headers))
        elif self.group is None or self.group["state"] != "open":
            writer.write(answer(421, headers))
        elif self.running >= self.engine["slots"]:
            writer.write(answer(503, [*headers, ("X-Not-Executed", "1")]))
        else:
            await self._stream(request, headers, writer)
        await writer.drain()
        return True

    def load(self):
        fields = {"busy": False, "seq": self.order_count, "queued": 0, "active": self.running}
        return fields | {"kv_used": 0, "kv_total": self.engine["kv_capacity"], "handles": 0}

    def _order(self, order):
        if order.get("precondition", self.order_count) != self.order_count:
            return 409
        operation = order["op"]
        is_own = self.group is not None and (self.group["name"], self.group["epoch"]) == (
            order.get("group"),
            order.get("epoch"),
        )
        if operation == "stage":
            if order["model"] in self.staged:
                return 200
            self._start(self._stage(order["model"]))
        elif operation == "join":
            if self.group is not None and order["epoch"] < self.group["epoch"]:
                return 412
            if is_own:
                return 200
            rank = order["members"].index(self.id)
            self.group = {"name": order["group"], "epoch": order["epoch"], "rank": rank}
            self.group["state"] = "joining"
            self._start(self._join(order["model"], dict(self.group)))
        elif operation == "open":
            if not is_own or self.group["state"] not in ("ready", "open"):
                return 409
            if self.group["state"] == "open":
                return 200
            self._start(self._open(dict(self.group)))
        elif operation in ("close", "leave"):
            if not is_own:
                return 200
            if operation == "leave":
                self.group = None
            elif self.group["state"] == "open":
                self.group["state"] = "ready"
            self.register()
        self.order_count += 1
        return 202

    def _start(self, action):
        task = asyncio.create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _model(self, name):
        return next(model for model in self.engine["models"] if model["name"] == name)

    async def _stage(self, model):
        # Before the first request, loads take a tenth of the time.
        await asyncio.sleep(self._model(model)["load_s"] / 10)
        self.staged = [model]
        self.register()

    async def _join(self, model, group):
        self.register()
        if self.model != model:
            await asyncio.sleep(self._model(model)["load_s"] / 10)
        else:
            await asyncio.sleep(0.2)
        self.model, self.staged = model, [model]
        if self.group == group:
            self.group = group | {"state": "ready"}
        self.register()

    async def _open(self, group):
        await asyncio.sleep(self.engine["form_ms"] / 1000)
        if self.group == group:
            self.group = group | {"state": "open"}
        self.register()

    async def _pause(self):
        await asyncio.sleep(self.event_s)

    async def _stream(self, request, headers, writer):
        """Send as many events as the path names, and stop when the connection closes."""
        attempt = request.header("x-attempt-id")
        count = int(request.first.split(" ")[1].rstrip("/").rpartition("/")[2])
        first = int(request.header("last-event-id", "0")) + 1
        self.record.line(f"run      {attempt} at {self.id}: events {first} to {count}")
        self.running += 1
        self.runs[attempt] += 1
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"X-Attempt-Id: {attempt}", f"X-Server-Seal: seal.{attempt}"]
        lines += [f"{name}: {value}" for name, value in headers]
        number = first
        try:
            writer.write(("\r\n".join([*lines, "Transfer-Encoding: chunked"]) + "\r\n\r\n").encode())
            for number in range(first, count + 1):
                await self._pause()
                if writer.is_closing() or writer.transport.is_closing():
                    raise ConnectionResetError
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            self.record.line(f"complete {attempt} at {self.id}")
        except ConnectionError:
            self.record.line(f"left     {attempt} at {self.id}: its caller closed at event {number}")
            raise
        finally:
            self.running -= 1


def free_hosts(count):
    """Return loopback hosts on which all ports of an entry are free."""
    while True:
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        hosts = [f"{prefix}.{number}" for number in range(1, count + 1)]
        try:
            for host in hosts:
                for port in USED_PORTS:
                    with socket.socket() as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return hosts


class Entry:
    """One machine: starts its process again whenever it ends, as the platform does."""

    def __init__(self, record, folder, name, host, zone, zones, store_address, bounds=None):
        self.record, self.name, self.host, self.zone = record, name, host, zone
        self.own_ends, self.exit_codes, self.starts = 0, [], 0
        self.process, self._is_stopped, self._is_ended_by_test = None, False, False
        self.settings_path = pathlib.Path(folder, f"{name}.toml")
        self.log_path = pathlib.Path(folder, f"{name}.log")
        settings = settings_text(name, host, zone, zones, store_address, bounds or {})
        self.settings_path.write_text(settings)

    @property
    def front(self):
        return f"{self.host}:{FRONT}"

    async def run(self):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables |= role["env"] | {"TOUCANHOLD_SETTINGS": str(self.settings_path)}
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        while not self._is_stopped:
            with open(self.log_path, "ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    *role["run"].split(), cwd=ROOT, env=variables, stdout=log, stderr=log
                )
            self.starts += 1
            self.record.line(f"process  {self.name} started")
            code = await self.process.wait()
            if self._is_stopped:
                return
            self.exit_codes.append(code)
            if not self._is_ended_by_test:
                self.own_ends += 1
                self.record.show(f"process  {self.name} ended by itself, exit status {code}")
            self._is_ended_by_test = False
            await asyncio.sleep(RESTART_DELAY_S)

    def signal(self, number):
        self._is_ended_by_test = number in (signal.SIGTERM, signal.SIGKILL)
        self.record.show(f"process  {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def last_error(self):
        """Return the last line of the last error that ended the process."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        found = (line for line in reversed(lines) if "Error: " in line and line[:1] != "{")
        return next(found, "").strip(" |")

    async def stop(self):
        self._is_stopped = True
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def settings_text(name, host, zone, zones, store_address, bounds):
    """Return a settings file with the bounds of the pages' smallest deployments."""
    all_bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000}
    all_bounds |= {"catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200}
    all_bounds |= {"config_apply_ms": 2000, "rollback_slack_ms": 250, "skew_max_ms": 5000}
    all_bounds |= {"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 136}
    all_bounds |= {"cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12}
    all_bounds |= {"pass_ms": 120, "retry_after_s": 0, "stall_ms": 6000, "ttl_max_s": 5} | bounds
    lines = [f'node = "{name}"', 'role = "entry"', 'machine_class = "front"']
    lines += ['serves = ["front","directory"]', f'ip = "{host}"', f'zone = "{zone}"']
    lines += ['region = "gauteng"', f"internal_ports = [{INTERNAL},{INTERNAL + 15}]", "seeds = []"]
    lines += ["bootstrap = true", f"heartbeat_ms = {int(HEARTBEAT_S * 1000)}", "[zones]"]
    lines += [f'{each} = "gauteng"' for each in zones]
    lines += ["[listen]", f'front = "{host}:{FRONT}"', f'ready = "{host}:{READY}"']
    lines += [f'control = "{host}:{CONTROL}"', f'directory = "{host}:{DIRECTORY}"']
    lines += ["[limits]", "cpu_share = 0.537", "cores = 2", "memory_mb = 300", "max_fds = 4100"]
    lines += ["[bounds]"] + [f"{key} = {value}" for key, value in all_bounds.items()]
    lines += ["[platform]", f'address = "{store_address}"', 'form = "kv"', "writes_per_s = 400"]
    lines += ["reads_per_s = 2000", "history_s = 20", "value_bytes = 1048576", "ttl_min_ms = 1000"]
    return "\n".join(lines) + "\n"


def new_attempt():
    """Return an id for a request."""
    return os.urandom(8).hex()


class Outcome:
    """How one request of a client ended: a status, or 0 for none."""

    def __init__(self, status=0, headers=(), body=b"", detail=""):
        self.status, self.headers, self.body, self.detail = status, headers, body, detail


async def send_request(record, address, method, path, headers, body=b"", timeout_s=2.5):
    """Send one request on a connection of its own and return its outcome."""
    attempt = new_attempt()
    lines = [f"{method} {path} HTTP/1.1", f"X-Attempt-Id: {attempt}"]
    lines += [f"X-Deadline-Remaining-Ms: {int(timeout_s * 1000)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    host, _, port = address.rpartition(":")
    record.line(f"sent     {attempt} to {address}: {method} {path}")
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
        async with asyncio.timeout(timeout_s):
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            response = await read_body(reader, await read_head(reader))
        status = int(response.first.split(" ")[1])
        outcome = Outcome(status, response.headers, response.body)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        outcome = Outcome(detail=repr(error))
    finally:
        if writer is not None:
            writer.close()
    record.line(f"answered {attempt} {outcome.status or 'no answer: ' + outcome.detail}")
    outcome.attempt = attempt
    return outcome


async def is_ready(entry):
    """Ask as the platform does whether an entry is ready."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(entry.host, READY)
            writer.write(f"GET /ready HTTP/1.1\r\nHost: {entry.host}\r\n\r\n".encode())
            response = await read_head(reader)
            writer.close()
        return " 200 " in response.first
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return False


async def wait_ready(entries, timeout_s=20.0):
    """Wait until all entries are ready; return whether they are."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if all([await is_ready(entry) for entry in entries]):
            return True
        await asyncio.sleep(0.2)
    return False


def run_script(folder, scenario, timeout_s=110.0):
    """Run ``scenario(record, work_folder, trouble)`` and exit as run.sh has to.

    The scenario returns whether the rule held, or None if the case could not run.
    """
    record = Record(pathlib.Path(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE") != "0"

    async def bounded(work_folder):
        async with asyncio.timeout(timeout_s):
            return await scenario(record, work_folder, trouble)

    held = None
    with tempfile.TemporaryDirectory() as work_folder:
        try:
            held = asyncio.run(bounded(work_folder))
        except TimeoutError:
            record.show("the case did not end in time")
        except Exception:
            # An error of the script is no broken rule.
            traceback.print_exc()
    record.show({True: "the rule held", False: "the rule was broken"}.get(held, "could not run"))
    record.close()
    sys.exit({True: 0, False: 1}.get(held, 2))
