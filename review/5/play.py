"""A worker drains, a machine is killed and starts again, and sends requests to that worker."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as st  # noqa: E402

OTHER_WORKERS = 600
STALE_S = 3.0
DRAIN_S = st.BOUNDS["drain_ms"] / 1000
CONTACT_S = st.BOUNDS["contact_ms"] / 1000
# The worker goes on for drain_ms and "a little longer (at times many seconds)".
LEAVES_AFTER_S = 14.0


async def play(record, folder, has_trouble):
    store = st.Store(record)
    # Serializable reads are answered by two replicas in turn, of which one is behind.
    store.lags_s = [0.0, STALE_S]
    server, address = await st.serve_store(store)
    tasks = [asyncio.create_task(store.expire_leases())]
    others = [
        st.Worker(store, record, f"i-0{n:04x}", "bulk", "zone-" + "abc"[n % 3])
        for n in range(OTHER_WORKERS)
    ]
    desks = [st.Worker(store, record, f"i-f{n}", "desk", "zone-" + "abc"[n]) for n in range(3)]
    for worker in [*others, *desks]:
        await worker.start()
        worker.register()
    routes = [
        st.route("/read/", "desk", "idempotent"),
        st.route("/order/", "desk", "non_idempotent"),
        st.route("/bulk/", "bulk", "idempotent"),
    ]
    store.put("op/config", st.configuration(3, routes, ["desk", "bulk"]))
    # All replicas hold the state before the machines start.
    await asyncio.sleep(STALE_S + 1.0)
    net = st.subnet()
    entries = [
        st.Entry(f"front-{zone}", f"{net}.{n + 1}", f"zone-{zone}", address, folder, st.BOUNDS)
        for n, zone in enumerate("abc")
    ]
    sent = {}
    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(3.0)
        tasks += [asyncio.create_task(load(entry, record, sent)) for entry in entries]
        await asyncio.sleep(4.0)
        return await drain(record, desks[0], entries, sent, has_trouble)
    finally:
        for task in tasks:
            task.cancel()
        for entry in entries:
            await entry.end()
        server.close()


async def drain(record, worker, entries, sent, has_trouble):
    acked_s = worker.register("draining")
    record.write(f"store: acknowledged that {worker.server_id} is draining")
    # The machine is in touch once contact_ms have passed since the kill and the start.
    touch_s = {entry.addresses["front"]: 0.0 for entry in entries}
    if has_trouble:
        await asyncio.sleep(0.3)
        killed = entries[0]
        await killed.kill()
        record.write(f"{killed.name}: killed")
        await asyncio.sleep(0.5)
        await killed.start()
        record.write(f"{killed.name}: started again")
        await killed.wait_ready()
        record.write(f"{killed.name}: ready")
        touch_s[killed.addresses["front"]] = time.monotonic() + CONTACT_S
    await asyncio.sleep(max(0.0, acked_s + LEAVES_AFTER_S - time.monotonic()))
    worker.leave()
    record.write(f"worker {worker.server_id}: exits")
    await asyncio.sleep(1.0)
    breaches = []
    for arrived_s, attempt, target in worker.arrivals:
        name, front, sent_s = sent[attempt]
        if arrived_s > acked_s + DRAIN_S and sent_s > touch_s[front]:
            breaches.append(
                f"DRAIN: {attempt} {target} by {name} reached {worker.server_id}"
                f" {arrived_s - acked_s:.2f} s after its leaving was acknowledged"
            )
    return breaches


async def load(entry, record, sent):
    """Send ten requests a second to one machine."""
    number = 0
    running = set()
    while True:
        number += 1
        attempt = f"{entry.name}-{number}"
        method, target = ("GET", "/read/x") if number % 2 else ("POST", "/order/x")
        front = entry.addresses["front"]
        sent[attempt] = entry.name, front, time.monotonic()
        task = asyncio.create_task(one(front, method, target, attempt, record))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(0.1)


async def one(front, method, target, attempt, record):
    status, headers, _ = await st.send(front, method, target, attempt)
    record.write(f"client: {attempt} {method} {target} -> {status} {headers.get('x-server-seal')}")


if __name__ == "__main__":
    st.run_case(FOLDER, play)
