"""Service while an availability zone leaves and returns, and while all entries are replaced.

Everything runs as processes: 7 entries, engines and plain servers in three availability zones.
Callers ask the directory, keep its answer for as long as it says, and connect themselves.
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
BEFORE_S = 8.0
OUT_S = 10.0
AFTER_S = 8.0
PATIENCE_S = 30.0
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
UNREACHED = (httpcore.ConnectError, httpcore.ConnectTimeout)


@attrs.frozen
class Result:
    """How one request ended.

    :ivar verdict: ``whole``, ``refused`` (did not run), ``unknown`` or ``torn``
    """

    kind: str
    key: str
    phase: str
    verdict: str
    duration_s: float


@attrs.define(eq=False)
class Load:
    """Callers that send requests at a fixed rate, whatever comes back."""

    site: sites.Site
    rng: random.Random
    phase: str = "before"
    results: list[Result] = attrs.field(factory=list)
    _addresses: list[str] = attrs.field(factory=list, init=False)
    _kept_until_s: float = attrs.field(default=float("-inf"), init=False)

    async def run(self, stop: trio.Event) -> None:
        """Send until ``stop``, then wait for what is under way."""
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
            with trio.fail_after(PATIENCE_S):
                verdict = await self._send_somewhere(number, kind)
        duration_s = trio.current_time() - started_s
        self.results.append(Result(kind, f"key-{number}", phase, verdict, duration_s))

    async def _send_somewhere(self, number: int, kind: str) -> str:
        while True:
            address = self.rng.choice(await self._known_addresses())
            try:
                return await self._send(address, number, kind)
            except UNREACHED:
                # Nobody listens there any more: nothing ran, and the directory knows better.
                self._kept_until_s = float("-inf")

    async def _send(self, address: str, number: int, kind: str) -> str:
        if kind in ("stream", "chat"):
            body = {
                "model": MODEL["name"],
                "stream": kind == "stream",
                "max_tokens": TOKENS,
                "messages": [{"role": "user", "content": f"question {number}"}],
            }
            answer = await sites.call("POST", f"http://{address}/v1/chat/completions", body)
            return _verdict(answer, _is_whole(answer, kind))
        url = f"http://{address}/services/{PLAIN['name']}"
        if kind == "lookup":
            answer = await sites.call("GET", f"{url}/records/{number}")
        else:
            key = {"idempotency-key": f"key-{number}"}
            answer = await sites.call("POST", f"{url}/publish", {"release": number}, key)
        return _verdict(answer, answer.status == 200)

    async def _known_addresses(self) -> list[str]:
        while trio.current_time() >= self._kept_until_s:
            asked = self.rng.choice(self.site.entries).callers
            with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                answer = await sites.call("GET", f"http://{asked}/toucanhold/v1/addresses")
                found = answer.json()
                self._addresses = [each["address"] for each in found["addresses"]]
                self._kept_until_s = trio.current_time() + found["keep_s"]
        return self._addresses


def run(seed: int) -> list[table.Table]:
    """Run both measurements."""
    tables = []
    for title, disturb in (
        ("An availability zone leaves and returns under load", _zone_out_and_back),
        ("All seven entries replaced one after another under load", _replace_entries),
    ):
        tables.append(trio.run(_measure, title, disturb, seed))
    return tables


async def _measure(title: str, disturb, seed: int) -> table.Table:
    site = sites.new_site(
        sites.log_folder(), ZONES, ENGINES_PER_ZONE, PLAIN["name"], 1, entries=ENTRIES
    )
    site.engine_options = ("--warm", "--load-s", "0.5", "--slots", "16")
    site.service_options = ("--warm", "--slots", "16")
    async with sites.running(site):
        body = {"document": sites.document_for(site, [MODEL, PLAIN]), "expected": 0}
        await site.call_operators("entry-0", "PUT", "document", body)
        for each in site.entries:
            await site.wait_status(each.entry, _all_serving, 30)
        load, stop = Load(site, random.Random(seed)), trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, stop)
            note = await disturb(site, load)
            stop.set()
        runs = await _order_runs(site)
    return _table(title, load.results, runs, f"Seed {seed}. {note}")


def _all_serving(status: dict) -> bool:
    return all(each["serving"] >= each["wanted"] for each in status["services"])


async def _zone_out_and_back(site: sites.Site, load: Load) -> str:
    await trio.sleep(BEFORE_S)
    load.phase = "out"
    commanded = datetime.datetime.now(datetime.UTC)
    path = f"availability-zones/{ZONES[1]}"
    await site.call_operators("entry-3", "PUT", path, {"out": True})
    await trio.sleep(OUT_S)
    last_s = _last_new_work_s(site, ZONES[1], commanded)
    load.phase = "after"
    await site.call_operators("entry-5", "PUT", path, {"out": False})
    await trio.sleep(AFTER_S)
    return f"{ZONES[1]} got its last new work {last_s:.3f} s after the operator's command."


async def _replace_entries(site: sites.Site, load: Load) -> str:
    load.phase = "replacing"
    statuses = []
    for each in site.entries:
        statuses.append(await site.process_group.stop(each.entry))
        await site.start_entry(each.entry)
        await site.wait_status(each.entry, _all_serving, 30)
    return f"Exit statuses {sorted(set(statuses))}."


def _last_new_work_s(site: sites.Site, zone: str, commanded: datetime.datetime) -> float:
    vms = {vm.vm for vm in site.vms if vm.availability_zone == zone}
    last_s = 0.0
    for each in site.entries:
        for line in site.process_group.log_text(each.entry).splitlines():
            fields = json.loads(line) if line.startswith("{") else {}
            if fields.get("name") == "REQUEST_ROUTED" and fields["vm"] in vms:
                at = datetime.datetime.fromisoformat(fields["time"])
                last_s = max(last_s, (at - commanded).total_seconds())
    return last_s


async def _order_runs(site: sites.Site) -> collections.Counter:
    runs: collections.Counter[str] = collections.Counter()
    for vm in site.vms:
        if vm.service:
            history = await sites.call("GET", f"http://{vm.address}/standin/history")
            runs.update(each["key"] for each in history.json()["orders"])
    return runs


def _is_whole(answer: sites.Response, kind: str) -> bool:
    if answer.status != 200:
        return False
    if kind == "chat":
        text = answer.json()["choices"][0]["message"]["content"]
    else:
        if not answer.body.endswith(b"data: [DONE]\n\n"):
            return False
        events = [line for line in answer.body.decode().splitlines() if line.startswith("data: {")]
        chunks = (json.loads(event.removeprefix("data: ")) for event in events)
        text = "".join(each["choices"][0]["delta"].get("content", "") for each in chunks)
    numbers = [word.partition("-")[0] for word in text.split()]
    return numbers == [f"t{number}" for number in range(TOKENS)]


def _verdict(answer: sites.Response, whole: bool) -> str:
    if whole:
        return "whole"
    try:
        outcome = answer.json()["outcome"]
    except (ValueError, KeyError, TypeError):
        return "torn"
    return "refused" if outcome == "did-not-run" else "unknown"


def _table(title: str, results: list[Result], runs: collections.Counter, note: str) -> table.Table:
    rows = []
    for phase in dict.fromkeys(result.phase for result in results):
        chosen = [result for result in results if result.phase == phase]
        counts = collections.Counter(result.verdict for result in chosen)
        times = sorted(result.duration_s for result in chosen if result.verdict == "whole")
        rows.append(
            (
                phase,
                len(chosen),
                *(counts[verdict] for verdict in ("whole", "refused", "unknown", "torn")),
                statistics.median(times),
                times[int(0.95 * (len(times) - 1))],
                times[-1],
            )
        )
    doubled = sum(count > 1 for count in runs.values())
    orders = [result for result in results if result.kind == "order"]
    lost = sum(each.verdict == "whole" and not runs[each.key] for each in orders)
    lies = sum(each.verdict == "refused" and runs[each.key] > 0 for each in orders)
    note += f" Orders: {len(orders)}, run twice {doubled}, answered without a run {lost},"
    note += f" refused although they ran {lies}."
    titles = ("phase", "requests", "whole", "refused", "unknown", "torn", "p50 s", "p95 s", "max s")
    return table.Table(title, titles, tuple(rows), note)
