"""Measures an entry's processor time per request and per token; each process is separate."""

import collections.abc
import json
import os
import pathlib

import attrs
import trio

from standins import site as sites
from tools.measure import table

ENGINES = 4
TOKENS = 200
TOKEN_S = 0.02
STREAMS = (4, 32, 128, 256)
PLAIN_REQUESTS = 400
IDLE_S = 3.0
SERVICE = {"name": "drafts", "model": "writer", "version": "1", "replicas": ENGINES, "slots": 80}
PLAIN = {"name": "lookups", "kind": "plain"}


@attrs.frozen
class LoadCost:
    """Cost of one run.

    :ivar cpu_s: the entry's processor time beyond what it uses without callers
    :ivar elapsed_s: wall-clock time
    :ivar durations_s: wall-clock time of each stream
    :ivar reads: number of socket reads in which the callers received their streams
    """

    cpu_s: float
    elapsed_s: float
    durations_s: list[float]
    reads: int


def run(seed: int) -> list[table.Table]:
    """Run all measurements."""
    return trio.run(_measure)


async def _measure() -> list[table.Table]:
    site = sites.new_site(sites.log_folder(), ("zone-a",), ENGINES, "lookups", 1, 1)
    site.engine_options = ("--warm", "--slots", "80", "--token-s", str(TOKEN_S), "--load-s", "0.1")
    site.service_options = ("--warm", "--slots", "80")
    async with sites.running(site):
        body = {"document": sites.document_for(site, [SERVICE, PLAIN]), "expected": 0}
        await site.call_operators("entry-0", "PUT", "document", body)
        await site.wait_status("entry-0", lambda status: _serving(status) >= ENGINES)
        pid = site.process_group.pid("entry-0")
        idle_cpu_share = await _idle_cpu_share(pid)
        rows = [
            await _stream_row(site.entries[0].callers, pid, count, idle_cpu_share)
            for count in STREAMS
        ]
        cost_us = await _plain_cost_us(site.entries[0].callers, pid, idle_cpu_share)
    ideal_s = TOKENS * TOKEN_S
    streams = table.Table(
        "An entry's cost of streamed tokens",
        ("streams", "tokens per s", "processor us per token", "tokens per read", "added delay s"),
        tuple(rows),
        f"{ENGINES} engines as processes, {TOKENS} tokens {TOKEN_S} s apart a stream; the delay is"
        f" the mean time of a stream beyond {ideal_s:.1f} s, engines' own included.",
    )
    plain = table.Table(
        "An entry's cost of a plain request",
        ("requests", "processor us per request"),
        ((PLAIN_REQUESTS, cost_us),),
        "One caller, one connection, one request after the other.",
    )
    return [streams, plain]


def _serving(status: dict) -> int:
    return sum(each["serving"] for each in status["services"] if each["service"] == "drafts")


async def _stream_row(address: str, pid: int, count: int, idle_cpu_share: float) -> tuple:
    cost = await _measure_cost(pid, idle_cpu_share, [lambda: _read_stream(address)] * count)
    tokens = count * TOKENS
    delay_s = sum(cost.durations_s) / count - TOKENS * TOKEN_S
    return (
        count,
        tokens / cost.elapsed_s,
        cost.cpu_s / tokens * 1e6,
        tokens / cost.reads,
        delay_s,
    )


async def _plain_cost_us(address: str, pid: int, idle_cpu_share: float) -> float:
    cost = await _measure_cost(pid, idle_cpu_share, [lambda: _read_plain(address)])
    return cost.cpu_s / PLAIN_REQUESTS * 1e6


async def _measure_cost(
    pid: int, idle_cpu_share: float, jobs: list[collections.abc.Callable]
) -> LoadCost:
    durations_s: list[float] = []
    reads = 0

    async def run_job(job) -> None:
        nonlocal reads
        began_s = trio.current_time()
        job_reads = await job()
        reads += job_reads
        durations_s.append(trio.current_time() - began_s)

    before_s, began_s = _process_cpu_s(pid), trio.current_time()
    async with trio.open_nursery() as nursery:
        for job in jobs:
            nursery.start_soon(run_job, job)
    elapsed_s = trio.current_time() - began_s
    cpu_s = _process_cpu_s(pid) - before_s - idle_cpu_share * elapsed_s
    return LoadCost(cpu_s, elapsed_s, durations_s, reads)


async def _idle_cpu_share(pid: int) -> float:
    before_s = _process_cpu_s(pid)
    await trio.sleep(IDLE_S)
    return (_process_cpu_s(pid) - before_s) / IDLE_S


def _process_cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _connect(address: str) -> trio.SocketStream:
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def _read_stream(address: str) -> int:
    content = json.dumps(
        {
            "model": SERVICE["name"],
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": "Summarise table 3."}],
        }
    ).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(content)}\r\n\r\n"
    )
    async with await _connect(address) as stream:
        await stream.send_all(head.encode() + content)
        reads, tail = 0, b""
        while b"[DONE]" not in tail:
            chunk = await stream.receive_some()
            if not chunk or b"HTTP/1.1 5" in chunk or b"HTTP/1.1 4" in chunk:
                raise RuntimeError(f"expected a stream up to [DONE], received {chunk[:200]!r}")
            reads, tail = reads + 1, (tail + chunk)[-64:]
    return reads


async def _read_plain(address: str) -> int:
    head = f"GET /services/lookups/records/7 HTTP/1.1\r\nhost: {address}\r\n\r\n".encode()
    async with await _connect(address) as stream:
        for _ in range(PLAIN_REQUESTS):
            await stream.send_all(head)
            chunk = b""
            while b"}" not in chunk:
                chunk += await stream.receive_some()
    return PLAIN_REQUESTS
