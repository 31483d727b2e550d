"""The machine that plans loses the store again and again for a moment, and a worker leaves."""

import asyncio
import base64
import itertools
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as st  # noqa: E402

DRAIN_S = st.BOUNDS["drain_ms"] / 1000
CONTACT_S = st.BOUNDS["contact_ms"] / 1000
CUT_S = 1.3
GAP_S = 0.6
CUTS = 5
ROUNDS = 4
# The worker goes on for drain_ms and "a little longer (at times many seconds)".
LEAVES_AFTER_S = 11.0
ZONES = ("a", "a", "a", "b", "b", "c", "c")


async def play(record, folder, has_trouble):
    store = st.Store(record)
    tasks = [asyncio.create_task(store.expire_leases())]
    numbers = itertools.count()

    async def new_worker(zone):
        worker = st.Worker(store, record, f"i-{next(numbers)}", "desk", f"zone-{zone}", 12)
        await worker.start()
        worker.is_quiet = True
        worker.register()
        return worker

    workers = [await new_worker(zone) for zone in "abc"]
    all_workers = list(workers)
    store.put(
        "op/config", st.configuration(3, [st.route("/read/", "desk", "idempotent")], ["desk"])
    )
    net, servers, gates, entries = st.subnet(), [], {}, []
    for n, zone in enumerate(ZONES):
        gate = st.Gate()
        server, address = await st.serve_store(store, gate)
        servers.append(server)
        name = f"front-{zone}-{n}"
        gates[name] = gate
        entries.append(st.Entry(name, f"{net}.{n + 1}", f"zone-{zone}", address, folder, st.BOUNDS))
    sent, cuts, left = {}, [], {}
    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(5.0)
        tasks += [asyncio.create_task(load(entry, record, sent)) for entry in entries]
        for number in range(ROUNDS):
            zone = number % 3
            leaving, workers[zone] = workers[zone], await new_worker("abc"[zone])
            all_workers.append(workers[zone])
            await asyncio.sleep(random.uniform(4.0, 5.0))
            planner = base64.b64decode(store.items["toucanhold/planner"]["value"]).decode()
            gate = gates[planner]
            # Its watch returns once a second; the first cut comes in the middle of the next one.
            watches = gate.watches
            while gate.watches == watches:
                await asyncio.sleep(0.005)
            for cut in range(CUTS):
                await asyncio.sleep(GAP_S)
                if has_trouble:
                    gate.cut()
                    cuts.append((planner, time.monotonic()))
                    record.write(f"{planner} (plans): cut off from the store for {CUT_S:g} s")
                await asyncio.sleep(CUT_S)
                if has_trouble:
                    gate.heal()
                    record.write(f"{planner}: back")
                if not cut:
                    await asyncio.sleep(random.uniform(0.1, 0.3))
                    store.remove(f"servers/{leaving.server_id}")
                    left[leaving.server_id] = time.monotonic()
                    record.write(f"store: the entry of {leaving.server_id} is removed")
            await asyncio.sleep(LEAVES_AFTER_S - (CUTS - 1) * (CUT_S + GAP_S))
            leaving.leave()
            record.write(f"worker {leaving.server_id}: exits")
        return judge(all_workers, sent, cuts, left)
    finally:
        for task in tasks:
            task.cancel()
        for entry in entries:
            await entry.end()
        for server in servers:
            server.close()


def judge(workers, sent, cuts, left):
    breaches = []
    for worker in workers:
        left_s = left.get(worker.server_id, float("inf"))
        for arrived_s, attempt, target in worker.arrivals:
            name, sent_s = sent[attempt]
            # From contact_ms after its cut, the machine is in touch again.
            is_cut = any(
                name == cut and cut_s - 1 < sent_s < cut_s + CUT_S + CONTACT_S
                for cut, cut_s in cuts
            )
            if arrived_s > left_s + DRAIN_S and not is_cut:
                breaches.append(
                    f"DRAIN: {attempt} {target} sent to {name} reached {worker.server_id}"
                    f" {arrived_s - left_s:.2f} s after its entry was removed"
                )
    return breaches


async def load(entry, record, sent):
    running = set()
    for number in itertools.count():
        attempt = f"{entry.name}-{number}"
        sent[attempt] = entry.name, time.monotonic()
        task = asyncio.create_task(one(entry, attempt, record))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(0.1)


async def one(entry, attempt, record):
    status, headers, _ = await st.send(entry.addresses["front"], "GET", "/read/x", attempt)
    record.write(f"{entry.name}: {attempt} -> {status} {headers.get('x-server-seal', '-')}")


if __name__ == "__main__":
    st.run_case(FOLDER, play)
