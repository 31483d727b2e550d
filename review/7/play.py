"""The machine that plans is cut off from the store, and the configuration changes."""

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

APPLY_S = st.BOUNDS["config_apply_ms"] / 1000
CUT_S = 5.0
ROUND_S = 12.0
ROUNDS = 5
SERVICES = ("desk-a", "desk-b")
ZONES = ("a", "a", "a", "b", "b", "c", "c")


async def play(record, folder, has_trouble):
    store = st.Store(record)
    tasks = [asyncio.create_task(store.expire_leases())]
    workers = []
    for service in SERVICES:
        for zone in "abc":
            workers.append(
                st.Worker(store, record, f"i-{service}-{zone}", service, f"zone-{zone}", 12)
            )
            await workers[-1].start()
            workers[-1].is_quiet = True
            workers[-1].register()
    versions = itertools.count(3, 4)
    services = itertools.cycle(SERVICES)

    def change():
        version, service = next(versions), next(services)
        routes = [st.route("/read/", service, "idempotent")]
        acked_s = store.put("op/config", st.configuration(version, routes, SERVICES))
        record.write(f"store: acknowledged version {version}: /read/ goes to {service}")
        return acked_s, service

    changes = [change()]
    net, servers, gates, entries = st.subnet(), [], {}, []
    for n, zone in enumerate(ZONES):
        gate = st.Gate()
        server, address = await st.serve_store(store, gate)
        servers.append(server)
        name = f"front-{zone}-{n}"
        gates[name] = gate
        entries.append(st.Entry(name, f"{net}.{n + 1}", f"zone-{zone}", address, folder, st.BOUNDS))
    # Attempt: machine, when it was sent, and the worker that answered.
    sent = {}
    cuts = []
    try:
        for entry in entries:
            await entry.start()
        for entry in entries:
            await entry.wait_ready()
        await asyncio.sleep(5.0)
        tasks += [asyncio.create_task(load(entry, record, sent)) for entry in entries]
        for _ in range(ROUNDS):
            await asyncio.sleep(random.uniform(1.0, 2.0))
            item = store.items["toucanhold/planner"]
            planner = base64.b64decode(item["value"]).decode()
            # Its watch returns once a second; it is cut off within a tenth of a second after that.
            watches = gates[planner].watches
            while gates[planner].watches == watches:
                await asyncio.sleep(0.005)
            await asyncio.sleep(random.uniform(0.0, 0.1))
            if has_trouble:
                gates[planner].cut()
                cuts.append((planner, time.monotonic()))
                record.write(f"{planner} (plans): cut off from the store for {CUT_S:g} s")
            await asyncio.sleep(random.uniform(0.0, 0.05))
            changes.append(change())
            await asyncio.sleep(CUT_S)
            if has_trouble:
                gates[planner].heal()
                record.write(f"{planner}: back")
            await asyncio.sleep(ROUND_S - CUT_S - 2.0)
        return judge(workers, changes, sent, cuts)
    finally:
        for task in tasks:
            task.cancel()
        for entry in entries:
            await entry.end()
        for server in servers:
            server.close()


def judge(workers, changes, sent, cuts):
    breaches = []
    for worker in workers:
        for arrived_s, attempt, target in worker.arrivals:
            name, sent_s = sent[attempt]
            acked_s, service = [each for each in changes if each[0] < sent_s][-1]
            # A version that came between may be in force already.
            newer = {other for changed_s, other in changes if sent_s <= changed_s <= arrived_s}
            is_cut = any(
                name == cut and cut_s - 1 < sent_s < cut_s + CUT_S + st.BOUNDS["contact_ms"] / 1000
                for cut, cut_s in cuts
            )
            is_old = worker.service != service and worker.service not in newer
            if is_old and sent_s > acked_s + APPLY_S and not is_cut:
                breaches.append(
                    f"CONFIG: {attempt} {target} sent to {name} {sent_s - acked_s:.2f} s after the"
                    f" acknowledgement was run by {worker.service}, not {service}"
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
        await asyncio.sleep(0.08)


async def one(entry, attempt, record):
    status, headers, _ = await st.send(entry.addresses["front"], "GET", "/read/x", attempt)
    record.write(f"{entry.name}: {attempt} -> {status} {headers.get('x-server-seal', '-')}")


if __name__ == "__main__":
    st.run_case(FOLDER, play)
