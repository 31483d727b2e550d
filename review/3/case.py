"""Entries are stopped in turn by SIGTERM while clients with cached addresses send long streams."""

import asyncio
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

ZONES = ("gauteng-a", "gauteng-b", "gauteng-c")
HOST, KEY, SERVICE, MODEL = "ficu95.example", "n2ctnfzs989anu6wsjnb", "huvo11a", "daka510000"
GRACE_S = 8.0
# Some clients keep an answer of the directory three times as long as it says.
KEEP_FACTOR = 3
# A long answer: 80 events, one each 70 ms, of the 8 s that the client waits.
EVENTS, EVENT_S, DEADLINE_S = 80, 0.07, 8.0
ENGINE = {"slots": 13, "kv_capacity": 1235000, "stride": 6, "step_ms": 6.45, "per_seq_ms": 0.1934}
ENGINE |= {"read_per_s": 56100.0, "chunk": 2048, "loads_per_s": 5.5, "loads_at_once": 8}
ENGINE |= {"form_ms": 300.0, "keeps": 1, "report_lag_ms": 200.0}
ENGINE["models"] = [
    {"name": MODEL, "size": 3, "share": 1.0, "pace": 1.0, "load_s": 12.0, "warm_s": 1.1}
]
CLIENTS = 12


def configuration():
    route = {"name": "r-draft", "host": HOST, "path_prefix": "/lohu930/", "kind": "streaming"}
    route |= {"timeout_ms": 8000, "goal_ms": 400, "gap_target_ms": 250, "priority": 1}
    route |= {"service": SERVICE, "attempts": 2, "public": False, "sticky": True}
    route |= {"resumable": True}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    service = {"name": SERVICE, "health_path": "/health", "max_conns": 474, "protocol": "h1"}
    service |= {"cold_start_s": 3.0, "cold_per_s": 36.0, "engine": ENGINE}
    tenants = [{"name": "hule930", "api_keys": [KEY]}]
    fields = {"version": 7, "routes": [route], "services": [service], "limits": limits}
    return json.dumps(fields | {"tenants": tenants}).encode()


async def resolve(record, entry, zone):
    """Ask an entry where to connect; return the addresses and for how long they may be kept."""
    reader, writer = await asyncio.open_connection(entry.host, standins.DIRECTORY)
    target = f"/resolve?name={HOST}&region=gauteng&zone={zone}"
    writer.write(f"GET {target} HTTP/1.1\r\nHost: {entry.host}\r\n\r\n".encode())
    response = await standins.read_body(reader, await standins.read_head(reader))
    writer.close()
    fields = json.loads(response.body)
    return fields["addresses"], fields["ttl_s"] * KEEP_FACTOR


async def send_stream(record, address):
    """Send a request for a long answer; return whether it came whole."""
    headers = [("Host", HOST), ("X-Credential", KEY), ("X-Model", MODEL)]
    headers += [("X-Token-Usage", "1420,480"), ("X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:1380")]
    sent_s = time.monotonic()
    outcome = await standins.send_request(
        record, address, "POST", f"/lohu930/{EVENTS}/", headers, b"prompt", timeout_s=DEADLINE_S
    )
    outcome.sent_s = sent_s
    outcome.is_whole = outcome.status == 200 and f" {EVENTS}\n".encode() in outcome.body
    return outcome


async def cached_client(record, stopping, other, zone, started_s, delay_s, results):
    """Renew the cached answer ``delay_s`` after the start, and use it until it ends."""
    await asyncio.sleep(delay_s)
    addresses, keep_s = await resolve(record, other, zone)
    resolved_s = time.monotonic()
    if stopping.front not in addresses:
        return
    await asyncio.sleep(resolved_s + keep_s - 0.01 - time.monotonic())
    after_s = time.monotonic() - started_s
    outcome = await send_stream(record, stopping.front)
    took_s = time.monotonic() - outcome.sent_s
    record.line(f"ended    {outcome.attempt} sent {after_s:.3f} s after the start, took {took_s:.3f} s")
    results.append((outcome, after_s, took_s))


async def stop_in_turn(record, entries, workers, trouble):
    """Stop one entry after the other; return the streams that the rule counts as lost."""
    lost, sent = [], 0
    for number, stopping in enumerate(entries):
        other, zone = entries[(number + 1) % len(entries)], stopping.zone
        started_s, results = time.monotonic(), []
        killing = None
        if trouble:
            stopping.signal(signal.SIGTERM)
            killing = asyncio.create_task(kill_later(stopping, stopping.process))
        clients = [
            cached_client(record, stopping, other, zone, started_s, 0.01 * each, results)
            for each in range(CLIENTS)
        ]
        await asyncio.gather(*clients)
        if killing is not None:
            await killing
        for outcome, after_s, took_s in results:
            has_run = any(outcome.attempt in worker.runs for worker in workers)
            sent += 1
            # Sent later than 3 s after the SIGTERM, passed on to a worker, and ended without a
            # complete answer before its deadline and its route's timeout.
            if after_s > 3.0 and has_run and not outcome.is_whole and took_s < DEADLINE_S - 0.1:
                lost.append(outcome.attempt)
                record.show(
                    f"lost     {outcome.attempt} sent {after_s:.3f} s after the SIGTERM, "
                    f"ended after {took_s:.3f} s: {outcome.status or outcome.detail}"
                )
        if not await standins.wait_ready(entries):
            return None
        await asyncio.sleep(2.0)
    record.show(f"{sent} long streams sent to the entries in turn, {len(lost)} of them lost")
    return lost if sent else None


async def kill_later(entry, process):
    """Do what the platform does ``grace_s`` after a SIGTERM."""
    try:
        async with asyncio.timeout(GRACE_S):
            await process.wait()
    except TimeoutError:
        entry.record.show(f"process  {entry.name} still runs after grace_s and gets SIGKILL")
        process.kill()


async def scenario(record, folder, trouble):
    store = standins.Store()
    await store.start()
    store.put("op/config", configuration())
    workers = [
        standins.GroupWorker(record, store, SERVICE, zone, f"d-{zone}", ENGINE, EVENT_S)
        for zone in ZONES
        for _ in range(6)
    ]
    for worker in workers:
        await worker.start()
        worker.register()
    entries = [
        standins.Entry(record, folder, f"front-{zone}-1", host, zone, ZONES, store.address)
        for zone, host in zip(ZONES, standins.free_hosts(len(ZONES)))
    ]
    tasks = [asyncio.create_task(each.run()) for each in (store, *entries)]
    try:
        if not await standins.wait_ready(entries):
            return None
        await asyncio.sleep(6.0)
        first = await asyncio.gather(*(send_stream(record, entry.front) for entry in entries))
        if not all(outcome.is_whole for outcome in first):
            return None
        lost = await stop_in_turn(record, entries, workers, trouble)
        if lost is None or any(entry.own_ends for entry in entries):
            return None
        return not lost
    finally:
        for task in tasks:
            task.cancel()
        for entry in entries:
            await entry.stop()


standins.run_script(pathlib.Path(__file__).resolve().parent, scenario)
