"""Measures service while an availability zone is drained and while all entries are replaced.

Everything runs as processes: 7 entries, engines and plain servers in three availability zones.
Callers query the directory, cache its response for the time that it states, and connect directly.
"""

import collections
import collections.abc
import contextlib
import datetime
import json
import random
import statistics

import attrs
import httpcore
import trio

from standins import site as sites
from tools.measure import table

ZONES = ("zone-a", "zone-b", "zone-c")
ENTRIES = 7
ENGINES_PER_ZONE = 4
REQUEST_INTERVAL_S = 0.04
TOKENS = 20
BASELINE_S = 8.0
ZONE_OUT_S = 10.0
RECOVERY_S = 8.0
REQUEST_TIMEOUT_S = 30.0
MODEL = {
    "name": "drafts",
    "model": "writer",
    "version": "1",
    "replicas": 5,
    "vms_per_replica": 2,
    "importance": 5,
}
PLAIN = {
    "name": "releases",
    "kind": "plain",
    "importance": 10,
    "non_idempotent": [{"method": "POST", "path": "/publish"}],
}
KINDS = ("stream", "chat", "lookup", "order")
CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout)


@attrs.frozen
class Result:
    """How one request ended.

    :ivar key: idempotency key of an order
    :ivar verdict: ``whole``, ``refused`` (did not run), ``unknown`` or ``torn`` (incomplete)
    """

    kind: str
    key: str
    phase: str
    verdict: str
    duration_s: float


@attrs.define(eq=False)
class LoadGenerator:
    """Sends requests at a fixed rate, whatever the responses (an open loop).

    :ivar phase: label of the results that are recorded now
    """

    site: sites.Site
    rng: random.Random
    phase: str = "before"
    results: list[Result] = attrs.field(factory=list)
    _addresses: list[str] = attrs.field(factory=list, init=False)
    _addresses_expire_s: float = attrs.field(default=float("-inf"), init=False)

    async def run(self, stop: trio.Event) -> None:
        """Send requests until ``stop``, then wait for those in flight."""
        number = 0
        async with trio.open_nursery() as nursery:
            while not stop.is_set():
                number += 1
                nursery.start_soon(self._request, number, self.rng.choice(KINDS), self.phase)
                await trio.sleep(REQUEST_INTERVAL_S)

    async def _request(self, number: int, kind: str, phase: str) -> None:
        started_s = trio.current_time()
        verdict = "torn"
        with contextlib.suppress(trio.TooSlowError, httpcore.NetworkError, httpcore.ProtocolError):
            with trio.fail_after(REQUEST_TIMEOUT_S):
                verdict = await self._send_to_any_entry(number, kind)
        duration_s = trio.current_time() - started_s
        self.results.append(Result(kind, f"key-{number}", phase, verdict, duration_s))

    async def _send_to_any_entry(self, number: int, kind: str) -> str:
        while True:
            address = self.rng.choice(await self._current_addresses())
            try:
                return await self._send(address, number, kind)
            except CONNECT_ERRORS:
                # No process listens there, so nothing ran; query the directory again.
                self._addresses_expire_s = float("-inf")

    async def _send(self, address: str, number: int, kind: str) -> str:
        if kind in ("stream", "chat"):
            body = {
                "model": MODEL["name"],
                "stream": kind == "stream",
                "max_tokens": TOKENS,
                "messages": [{"role": "user", "content": f"question {number}"}],
            }
            response = await sites.call("POST", f"http://{address}/v1/chat/completions", body)
            return _verdict(response, _is_complete(response, kind))
        url = f"http://{address}/services/{PLAIN['name']}"
        if kind == "lookup":
            response = await sites.call("GET", f"{url}/records/{number}")
        else:
            key = {"idempotency-key": f"key-{number}"}
            response = await sites.call("POST", f"{url}/publish", {"release": number}, key)
        return _verdict(response, response.status == 200)

    async def _current_addresses(self) -> list[str]:
        while trio.current_time() >= self._addresses_expire_s:
            directory_address = self.rng.choice(self.site.entries).callers
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                response = await sites.call(
                    "GET", f"http://{directory_address}/toucanhold/v1/addresses"
                )
                directory = response.json()
                self._addresses = [item["address"] for item in directory["addresses"]]
                self._addresses_expire_s = trio.current_time() + directory["keep_s"]
        return self._addresses


def run(seed: int) -> list[table.Table]:
    """Run both measurements."""
    tables = []
    for title, operation in (
        ("An availability zone leaves and returns under load", _drain_and_restore_zone),
        ("All seven entries replaced one after another under load", _replace_entries),
    ):
        tables.append(trio.run(_measure_operation, title, operation, seed))
    return tables


async def _measure_operation(title: str, operation, seed: int) -> table.Table:
    site = sites.new_site(
        sites.log_folder(), ZONES, ENGINES_PER_ZONE, PLAIN["name"], 1, entries=ENTRIES
    )
    site.engine_options = ("--warm", "--load-s", "0.5", "--slots", "16")
    site.service_options = ("--warm", "--slots", "16")
    async with sites.running(site):
        body = {"document": sites.document_for(site, [MODEL, PLAIN]), "expected": 0}
        await site.call_operators("entry-0", "PUT", "document", body)
        for entry in site.entries:
            await site.wait_status(entry.entry, _all_serving, 30)
        load_generator, stop = LoadGenerator(site, random.Random(seed)), trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load_generator.run, stop)
            note = await operation(site, load_generator)
            stop.set()
        runs_by_key = await _count_order_runs(site)
    return _table(title, load_generator.results, runs_by_key, f"Seed {seed}. {note}")


def _all_serving(status: dict) -> bool:
    return all(service["serving"] >= service["wanted"] for service in status["services"])


async def _drain_and_restore_zone(site: sites.Site, load_generator: LoadGenerator) -> str:
    await trio.sleep(BASELINE_S)
    load_generator.phase = "out"
    commanded_at = datetime.datetime.now(datetime.UTC)
    path = f"availability-zones/{ZONES[1]}"
    await site.call_operators("entry-3", "PUT", path, {"out": True})
    await trio.sleep(ZONE_OUT_S)
    last_s = _last_new_work_s(site, ZONES[1], commanded_at)
    load_generator.phase = "after"
    await site.call_operators("entry-5", "PUT", path, {"out": False})
    await trio.sleep(RECOVERY_S)
    return f"{ZONES[1]} got its last new work {last_s:.3f} s after the operator's command."


async def _replace_entries(site: sites.Site, load_generator: LoadGenerator) -> str:
    load_generator.phase = "replacing"
    statuses = []
    for entry in site.entries:
        statuses.append(await site.process_group.stop(entry.entry))
        await site.start_entry(entry.entry)
        await site.wait_status(entry.entry, _all_serving, 30)
    return f"Exit statuses {sorted(set(statuses))}."


def _last_new_work_s(site: sites.Site, zone: str, commanded_at: datetime.datetime) -> float:
    vms = {vm.vm for vm in site.vms if vm.availability_zone == zone}
    last_s = 0.0
    for entry in site.entries:
        for line in site.process_group.log_text(entry.entry).splitlines():
            fields = json.loads(line) if line.startswith("{") else {}
            if fields.get("name") == "REQUEST_ROUTED" and fields["vm"] in vms:
                routed_at = datetime.datetime.fromisoformat(fields["time"])
                last_s = max(last_s, (routed_at - commanded_at).total_seconds())
    return last_s


async def _count_order_runs(site: sites.Site) -> collections.Counter:
    runs_by_key: collections.Counter[str] = collections.Counter()
    for vm in site.vms:
        if vm.service:
            history = await sites.call("GET", f"http://{vm.address}/standin/history")
            runs_by_key.update(order["key"] for order in history.json()["orders"])
    return runs_by_key


def _is_complete(response: sites.Response, kind: str) -> bool:
    if response.status != 200:
        return False
    if kind == "chat":
        text = response.json()["choices"][0]["message"]["content"]
    else:
        if not response.body.endswith(b"data: [DONE]\n\n"):
            return False
        events = [
            line for line in response.body.decode().splitlines() if line.startswith("data: {")
        ]
        chunks = (json.loads(event.removeprefix("data: ")) for event in events)
        text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    numbers = [word.partition("-")[0] for word in text.split()]
    return numbers == [f"t{number}" for number in range(TOKENS)]


def _verdict(response: sites.Response, is_complete: bool) -> str:
    if is_complete:
        return "whole"
    try:
        outcome = response.json()["outcome"]
    except (ValueError, KeyError, TypeError):
        return "torn"
    return "refused" if outcome == "did-not-run" else "unknown"


def _table(
    title: str, results: list[Result], runs_by_key: collections.Counter, note: str
) -> table.Table:
    rows = []
    for phase in dict.fromkeys(result.phase for result in results):
        phase_results = [result for result in results if result.phase == phase]
        counts = collections.Counter(result.verdict for result in phase_results)
        durations_s = sorted(
            result.duration_s for result in phase_results if result.verdict == "whole"
        )
        rows.append(
            (
                phase,
                len(phase_results),
                *(counts[verdict] for verdict in ("whole", "refused", "unknown", "torn")),
                statistics.median(durations_s),
                durations_s[int(0.95 * (len(durations_s) - 1))],
                durations_s[-1],
            )
        )
    run_twice = sum(count > 1 for count in runs_by_key.values())
    orders = [result for result in results if result.kind == "order"]
    unrun_orders = sum(order.verdict == "whole" and not runs_by_key[order.key] for order in orders)
    false_refusals = sum(
        order.verdict == "refused" and runs_by_key[order.key] > 0 for order in orders
    )
    note += f" Orders: {len(orders)}, run twice {run_twice}, answered without a run {unrun_orders},"
    note += f" refused although they ran {false_refusals}."
    columns = (
        "phase",
        "requests",
        "whole",
        "refused",
        "unknown",
        "torn",
        "p50 s",
        "p95 s",
        "max s",
    )
    return table.Table(title, columns, tuple(rows), note)
