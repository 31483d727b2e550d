"""Configuration, peers and the platform's calls, at the number of entries of today."""

import datetime
import json
import random
import time

import attrs
import trio
import trio.testing

from standins import memory
from standins import site as sites
from tools.measure import table
from toucanhold import keyring
from toucanhold.configuration import holder, reading, store
from toucanhold.membership import facts, roster
from toucanhold.peers import exchange, handshake, revisions, streams
from toucanhold.plans import plan

ENTRIES = 7
CHANGES = 10
IDLE_S = 20.0
SLOW_S = 1.0
PEER_COUNTS = (3, 7, 20)
PEERS_S = 120.0
HELD, IN_FORCE = 4005, 4001
ZONE = "zone-a"


def run(seed: int) -> list[table.Table]:
    """Return the tables; the times are those of real processes, so the seed fixes only jitter."""
    return [*trio.run(_measure_site, seed), _heartbeats(seed)]


async def _measure_site(seed: int) -> list[table.Table]:
    site = sites.new_site(sites.log_folder(), (ZONE, "zone-b"), 2, "releases", 0, ENTRIES)
    site.entry_variables["TOUCANHOLD_SEED"] = str(seed)
    async with sites.running(site):
        body = {"document": sites.document_for(site, ()), "expected": 0}
        await site.call_operators("entry-0", "PUT", "document", body)
        await trio.sleep(5)
        idle = await _calls_during(site, trio.sleep, IDLE_S)
        rows = []
        changing = await _calls_during(site, _change_healthy, site, rows)
        await _set_faults(site, mode="slow", delay_s=SLOW_S)
        await _change(site, rows, "slow", both=True)
        await _set_faults(site, mode="down")
        await trio.sleep(2)
        await _change(site, rows, "out", both=False)
    return [_in_force_table(rows, seed), _calls_table(idle, changing, seed)]


async def _change_healthy(site: sites.Site, rows: list) -> None:
    await _change(site, rows, "healthy", both=True)


async def _change(site: sites.Site, rows: list, mode: str, both: bool) -> None:
    out_ms, back_ms = [], []
    for number in range(CHANGES):
        name = f"entry-{number % ENTRIES}"
        out_ms += await _delays(site, name, True, HELD)
        if both:
            back_ms += await _delays(site, name, False, IN_FORCE)
    rows.append((mode, "take out", len(out_ms), *_spread(out_ms)))
    if back_ms:
        rows.append((mode, "return", len(back_ms), *_spread(back_ms)))


async def _delays(site: sites.Site, name: str, out: bool, event: int) -> list[float]:
    """Return for each entry the time from the operator's call to its log line."""
    before = {each.entry: len(site.process_group.log_text(each.entry)) for each in site.entries}
    sent_s = time.time()
    path = f"availability-zones/{ZONE}"
    answer = await site.call_operators(name, "PUT", path, {"out": out})
    if answer.status not in (200, 202):
        raise RuntimeError(f"{path}: {answer.body!r}")
    await trio.sleep(0.3)
    found = []
    for each in site.entries:
        lines = site.process_group.log_text(each.entry)[before[each.entry] :].splitlines()
        times_s = [_time_s(line) for line in map(json.loads, lines) if line.get("event") == event]
        found.append((min(times_s) - sent_s) * 1000 if not out else (times_s[0] - sent_s) * 1000)
    return found


def _time_s(line: dict) -> float:
    return datetime.datetime.fromisoformat(line["time"]).timestamp()


async def _set_faults(site: sites.Site, **faults: object) -> None:
    await sites.call("POST", f"http://{site.keyvalue_address}/standin/faults", faults)


async def _calls_during(site: sites.Site, work, *args) -> dict[str, float]:
    url = f"http://{site.keyvalue_address}/standin/calls"
    before, start_s = (await sites.call("GET", url)).json()["counts"], trio.current_time()
    await work(*args)
    after, took_s = (await sites.call("GET", url)).json()["counts"], trio.current_time() - start_s
    return {kind: (count - before.get(kind, 0)) / took_s for kind, count in after.items()}


def _in_force_table(rows: list, seed: int) -> table.Table:
    columns = ("platform", "change", "samples", "p50_ms", "p95_ms", "max_ms")
    note = (
        f"From the operator's call to each entry's log line; {ENTRIES} entries, {CHANGES} changes "
        f"each; slow: {SLOW_S} s a call; seed {seed}."
    )
    return table.Table("Time until a change is in force", columns, tuple(rows), note)


def _calls_table(idle: dict, changing: dict, seed: int) -> table.Table:
    kinds = sorted(idle.keys() | changing.keys())
    rows = tuple(
        (kind, round(idle.get(kind, 0.0), 2), round(changing.get(kind, 0.0), 2)) for kind in kinds
    )
    note = f"{ENTRIES} entries together; changes one after another; seed {seed}."
    columns = ("kind", "idle_per_s", "changing_per_s")
    return table.Table("Calls to the key-value service", columns, rows, note)


def _spread(values: list[float]) -> tuple[float, float, float]:
    ordered = sorted(values)
    last = len(ordered) - 1
    return tuple(round(ordered[int(part * last)], 1) for part in (0.5, 0.95, 1.0))


@attrs.frozen
class _Host:
    streams: streams.PeerStreams


def _heartbeats(seed: int) -> table.Table:
    rows = []
    for count in PEER_COUNTS:
        clock = trio.testing.MockClock(autojump_threshold=0)
        rows.append(trio.run(_beat, count, seed, clock=clock))
    columns = ("entries", "sent_bytes_per_peer_s", "cpu_us_per_peer_s", "sent_bytes_per_entry_s")
    note = (
        f"{PEERS_S:g} s of the test clock after all are connected, nothing changes; streams in "
        f"memory, so without the kernel's share; seed {seed}."
    )
    return table.Table("Heartbeats between entries", columns, tuple(rows), note)


async def _beat(count: int, seed: int) -> tuple[int, float, float, float]:
    network = memory.MemoryNetwork()
    names = [f"entry-{number}" for number in range(count)]
    async with trio.open_nursery() as nursery:
        hosts = [_new_host(network, name, names, seed) for name in names]
        for host in hosts:
            await nursery.start(host.streams.run)
        await trio.sleep(10)
        before_bytes = sum(host.streams.sent_bytes for host in hosts)
        before_s = time.process_time()
        await trio.sleep(PEERS_S)
        cpu_s = time.process_time() - before_s
        sent_bytes = sum(host.streams.sent_bytes for host in hosts) - before_bytes
        nursery.cancel_scope.cancel()
    pairs_s = count * (count - 1) * PEERS_S
    per_entry = sent_bytes / count / PEERS_S
    return count, round(sent_bytes / pairs_s, 1), round(cpu_s * 1e6 / pairs_s), round(per_entry, 1)


def _new_host(network: memory.MemoryNetwork, name: str, names: list[str], seed: int) -> _Host:
    member = roster.Member(name, "zone-a", f"{name}:1", f"{name}:2", f"{name}:3", boot=name)
    found, held = exchange.Exchange(), holder.ConfigurationHolder()
    known = facts.FactTable(facts.EntryFact(member, 1))
    reader = reading.ConfigurationReader(
        store.ConfigurationStore(memory.MemoryPlatform().client(name)), held
    )
    words = revisions.RevisionSync(
        found, held, reader, plan.PlanHolder(), roster.Roster(member), known
    )
    return _Host(
        streams.PeerStreams(
            handshake.Identity(name, name),
            member.peers_address,
            keyring.from_text("a-key-of-sixteen"),
            network.transport(name),
            found,
            lambda: {f"{each}:3" for each in names},
            words.compose_heartbeat,
            random.Random(f"{seed}:{name}"),
        )
    )
