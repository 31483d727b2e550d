"""Workers leave without a report, each shortly after the store has cut the waiting watches."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

ZONES = ("gauteng-a", "gauteng-b", "gauteng-c")
HOST, KEY, SERVICE = "ficu95.example", "n2ctnfzs989anu6wsjnb", "wuno96b"
DRAIN_S = 2.0
# How much longer than drain_ms a worker serves before it exits.
LONGER_S = 0.22
CALM_S, BETWEEN_LEAVES_S, LEAVES = 5.0, 6.0, 6
# Time between the cut and the removal of the worker's entry.
CUT_BEFORE_S = 0.3


def configuration():
    routes = []
    for name, prefix, kind in (("r-read", "/cufi504/", "idempotent"), ("r-post", "/puxa403/", "")):
        route = {"name": name, "host": HOST, "path_prefix": prefix}
        route |= {"kind": kind or "non_idempotent", "timeout_ms": 800, "goal_ms": 150}
        route |= {"priority": 2, "service": SERVICE, "attempts": 2 if kind else 1}
        routes.append(route | {"public": False})
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 2000, "idle_timeout_ms": 15000}
    service = {"name": SERVICE, "health_path": "/health", "max_conns": 110, "protocol": "h1"}
    tenants = [{"name": "hule930", "api_keys": [KEY]}]
    fields = {"version": 7, "routes": routes, "services": [service], "limits": limits}
    return json.dumps(fields | {"tenants": tenants}).encode()


class LeavingWorker(standins.Worker):
    """A worker that never reports ``draining`` and exits after ``drain_ms`` and a little longer."""

    removed_s = None
    late = 0

    async def run(self, request, headers, writer):
        if self.removed_s is not None:
            after_s = self.record.now() - self.removed_s
            if after_s > DRAIN_S:
                self.late += 1
                attempt = request.header("x-attempt-id")
                self.record.line(f"late     {attempt} at {self.id}, {after_s:.3f} s after removal")
        await super().run(request, headers, writer)

    async def leave(self):
        self.store.remove([f"servers/{self.id}"])
        self.removed_s = self.record.now()
        self.record.show(f"store    servers/{self.id} is removed")
        await asyncio.sleep(DRAIN_S + LONGER_S)
        await self.stop()
        self.record.show(f"worker   {self.id} has exited; {self.late} requests came late")


async def client(record, entry, counts):
    """Send requests that may run only once, one after the other."""
    while True:
        await asyncio.sleep(0.015)
        headers = [("Host", HOST), ("X-Credential", KEY)]
        sent = await standins.send_request(
            record, entry.front, "POST", "/puxa403/2f", headers, b"order", timeout_s=1.5
        )
        counts["sent"] += 1
        if sent.status in (429, 503):
            counts["refused"] += 1
        elif sent.status != 200:
            counts["lost"] += 1
            record.show(f"lost     {sent.attempt}: {sent.status or sent.detail}")


async def start_worker(record, store, zone):
    worker = LeavingWorker(record, store, SERVICE, zone, work_s=0.045)
    await worker.start()
    worker.register()
    return worker


async def scenario(record, folder, trouble):
    store = standins.CuttingStore()
    await store.start()
    store.put("op/config", configuration())
    workers = [await start_worker(record, store, zone) for zone in ZONES]
    entries = [
        standins.Entry(record, folder, f"front-{zone}-1", host, zone, ZONES, store.address)
        for zone, host in zip(ZONES, standins.free_hosts(len(ZONES)))
    ]
    tasks = [asyncio.create_task(each.run()) for each in (store, *entries)]
    try:
        if not await standins.wait_ready(entries):
            return None
        counts = {"sent": 0, "refused": 0, "lost": 0}
        tasks += [
            asyncio.create_task(client(record, entry, counts)) for entry in entries for _ in "123"
        ]
        await asyncio.sleep(CALM_S)
        leaving = workers[:]
        for number in range(LEAVES):
            zone = ZONES[number % len(ZONES)]
            old, leaving = leaving[0], leaving[1:]
            leaving.append(await start_worker(record, store, zone))
            workers.append(leaving[-1])
            await asyncio.sleep(2.0)
            if trouble:
                store.cut_watches()
                record.show("store    the waiting watches are cut")
            await asyncio.sleep(CUT_BEFORE_S)
            tasks.append(asyncio.create_task(old.leave()))
            await asyncio.sleep(BETWEEN_LEAVES_S - 2.0 - CUT_BEFORE_S)
        late = sum(worker.late for worker in workers)
        record.show(f"{counts['sent']} requests sent, {counts['lost']} lost, {counts['refused']} refused")
        record.show(f"{late} requests reached a worker later than drain_ms after its removal")
        if counts["sent"] < 500 or any(entry.own_ends for entry in entries):
            return None
        return late == 0
    finally:
        for task in tasks:
            task.cancel()
        for entry in entries:
            await entry.stop()


standins.run_script(pathlib.Path(__file__).resolve().parent, scenario)
