"""Measures configuration changes, calls to the platform and heartbeats, with 7 entries."""

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
HEARTBEAT_RUN_S = 120.0
HELD_EVENT, IN_FORCE_EVENT = 4005, 4001
ZONE = "zone-a"


def run(seed: int) -> list[table.Table]:
    """Return the tables; real processes are timed, so the seed fixes only the jitter."""
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
        changing = await _calls_during(site, _time_healthy_changes, site, rows)
        await _set_faults(site, mode="slow", delay_s=SLOW_S)
        await _time_zone_changes(site, rows, "slow", with_return=True)
        await _set_faults(site, mode="down")
        await trio.sleep(2)
        await _time_zone_changes(site, rows, "out", with_return=False)
    return [_in_force_table(rows, seed), _calls_table(idle, changing, seed)]


async def _time_healthy_changes(site: sites.Site, rows: list) -> None:
    await _time_zone_changes(site, rows, "healthy", with_return=True)


async def _time_zone_changes(site: sites.Site, rows: list, mode: str, with_return: bool) -> None:
    out_ms, return_ms = [], []
    for number in range(CHANGES):
        name = f"entry-{number % ENTRIES}"
        out_ms += await _in_force_delays_ms(site, name, True, HELD_EVENT)
        if with_return:
            return_ms += await _in_force_delays_ms(site, name, False, IN_FORCE_EVENT)
    rows.append((mode, "take out", len(out_ms), *_percentiles(out_ms)))
    if return_ms:
        rows.append((mode, "return", len(return_ms), *_percentiles(return_ms)))


async def _in_force_delays_ms(site: sites.Site, name: str, out: bool, event: int) -> list[float]:
    """Return the time in ms from the operator's call to each entry's log line."""
    log_lengths = {
        each.entry: len(site.process_group.log_text(each.entry)) for each in site.entries
    }
    sent_s = time.time()
    path = f"availability-zones/{ZONE}"
    response = await site.call_operators(name, "PUT", path, {"out": out})
    if response.status not in (200, 202):
        raise RuntimeError(f"{path}: {response.body!r}")
    await trio.sleep(0.3)
    delays_ms = []
    for each in site.entries:
        lines = site.process_group.log_text(each.entry)[log_lengths[each.entry] :].splitlines()
        times_s = [_time_s(line) for line in map(json.loads, lines) if line.get("event") == event]
        delays_ms.append(
            (min(times_s) - sent_s) * 1000 if not out else (times_s[0] - sent_s) * 1000
        )
    return delays_ms


def _time_s(line: dict) -> float:
    return datetime.datetime.fromisoformat(line["time"]).timestamp()


async def _set_faults(site: sites.Site, **faults: object) -> None:
    await sites.call("POST", f"http://{site.keyvalue_address}/standin/faults", faults)


async def _calls_during(site: sites.Site, operation, *args) -> dict[str, float]:
    url = f"http://{site.keyvalue_address}/standin/calls"
    counts_before, start_s = (await sites.call("GET", url)).json()["counts"], trio.current_time()
    await operation(*args)
    counts_after, took_s = (await sites.call("GET", url)).json()[
        "counts"
    ], trio.current_time() - start_s
    return {
        kind: (count - counts_before.get(kind, 0)) / took_s for kind, count in counts_after.items()
    }


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


def _percentiles(values: list[float]) -> tuple[float, float, float]:
    ordered = sorted(values)
    last = len(ordered) - 1
    return tuple(round(ordered[int(fraction * last)], 1) for fraction in (0.5, 0.95, 1.0))


@attrs.frozen
class _Host:
    streams: streams.PeerStreams


def _heartbeats(seed: int) -> table.Table:
    rows = []
    for count in PEER_COUNTS:
        clock = trio.testing.MockClock(autojump_threshold=0)
        rows.append(trio.run(_measure_heartbeats, count, seed, clock=clock))
    columns = ("entries", "sent_bytes_per_peer_s", "cpu_us_per_peer_s", "sent_bytes_per_entry_s")
    note = (
        f"{HEARTBEAT_RUN_S:g} s of the test clock after all are connected, nothing changes; "
        f"streams in memory, so without the kernel's share; seed {seed}."
    )
    return table.Table("Heartbeats between entries", columns, tuple(rows), note)


async def _measure_heartbeats(count: int, seed: int) -> tuple[int, float, float, float]:
    network = memory.MemoryNetwork()
    names = [f"entry-{number}" for number in range(count)]
    async with trio.open_nursery() as nursery:
        hosts = [_new_host(network, name, names, seed) for name in names]
        for host in hosts:
            await nursery.start(host.streams.run)
        await trio.sleep(10)
        before_bytes = sum(host.streams.sent_bytes for host in hosts)
        before_s = time.process_time()
        await trio.sleep(HEARTBEAT_RUN_S)
        cpu_s = time.process_time() - before_s
        sent_bytes = sum(host.streams.sent_bytes for host in hosts) - before_bytes
        nursery.cancel_scope.cancel()
    pairs_s = count * (count - 1) * HEARTBEAT_RUN_S
    bytes_per_entry_s = sent_bytes / count / HEARTBEAT_RUN_S
    return (
        count,
        round(sent_bytes / pairs_s, 1),
        round(cpu_s * 1e6 / pairs_s),
        round(bytes_per_entry_s, 1),
    )


def _new_host(network: memory.MemoryNetwork, name: str, names: list[str], seed: int) -> _Host:
    member = roster.Member(name, "zone-a", f"{name}:1", f"{name}:2", f"{name}:3", boot=name)
    peer_exchange, configuration = exchange.Exchange(), holder.ConfigurationHolder()
    fact_table = facts.FactTable(facts.EntryFact(member, 1))
    reader = reading.ConfigurationReader(
        store.ConfigurationStore(memory.MemoryPlatform().client(name)), configuration
    )
    revision_sync = revisions.RevisionSync(
        peer_exchange, configuration, reader, plan.PlanHolder(), roster.Roster(member), fact_table
    )
    return _Host(
        streams.PeerStreams(
            handshake.Identity(name, name),
            member.peers_address,
            keyring.from_text("a-key-of-sixteen"),
            network.transport(name),
            peer_exchange,
            lambda: {f"{each}:3" for each in names},
            revision_sync.compose_heartbeat,
            random.Random(f"{seed}:{name}"),
        )
    )
