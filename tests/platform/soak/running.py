"""One run of the soak, and what it checks."""

import collections
import pathlib

import attrs
import httpcore
import trio

from standins import processes
from tests.platform.soak import callers, faults
from tests.platform.soak import site as sites

FAULTS_S = 20.0
# Loads take under a second here, a head that cannot be reached is outlasted for 4.5 s, leases for
# 3 s, and a server that was passed over several times comes back after 12 s.
RECOVERY_S = 16.0
CHECKED_S = 4.0
# Imports take seconds where many processes start beside other work.
START_LIMIT_S = 60.0


@attrs.define(eq=False)
class Result:
    """What a run has shown.

    :ivar violations: promises that were broken; empty for a good run
    """

    seed: int
    violations: list
    faults: list
    ends: collections.Counter


def subnet(seed: int) -> str:
    """Return two numbers of loopback addresses that no other seed beside this one has."""
    return f"{64 + seed // 250 % 64}.{seed % 250}"


async def run(seed: int, folder: pathlib.Path, subnet: str, faults_s: float = FAULTS_S) -> Result:
    """Play one seed."""
    async with sites.running(seed, folder, subnet) as site:
        record = callers.Record()
        drawn = faults.Faults(site)
        async with trio.open_nursery() as nursery:
            with trio.fail_after(START_LIMIT_S):
                await _wait_until_all_serve(site)
            for number in range(callers.CALLERS):
                nursery.start_soon(callers.Caller(site, record, f"c{seed}-{number}").run)
            await trio.sleep(2)
            await drawn.run(faults_s)
            await trio.sleep(RECOVERY_S)
            since_s = trio.current_time()
            await trio.sleep(CHECKED_S)
            violations = await _check_recovery(site, record, since_s)
            nursery.cancel_scope.cancel()
        violations += _check_history(site, record)
        ends = collections.Counter(f"{kind} {end}" for _, kind, end in record.ends)
        return Result(seed, violations, drawn.told, ends)


async def _wait_until_all_serve(site):
    for entry in site.entries:
        await processes.wait_listening(site.address(entry, "front"))
    names = {model.name for model in sites.MODELS}
    while {head.model for head in site.fleet.serving_heads().values()} != names:
        await trio.sleep(0.2)


def _check_history(site, record):
    found = [f"group: {text}" for text in site.fleet.violations]
    found += [f"answer: {text}" for text in record.wrong]
    found += [f"process: {text}" for text in site.entry_ends]
    orders = set(record.orders)
    for attempt in orders:
        if len(site.runs.begun.get(attempt, ())) > 1:
            found.append(f"order {attempt} ran twice: {site.runs.begun[attempt]}")
    for attempt in record.promised:
        # What may be repeated may have run before it was refused.
        if attempt in site.runs.begun and attempt in orders:
            found.append(f"{attempt} was said not to have run: {site.runs.begun[attempt]}")
    for entry in site.entries:
        if not site.group.is_running(entry):
            found.append(f"process: {entry} has ended by itself")
    return found


async def _check_recovery(site, record, since_s):
    found = []
    for kind in set(callers.KINDS):
        made, served = record.served_since(since_s, kind)
        if not made or served < 0.9 * made:
            found.append(f"recovery: {served} of {made} {kind} requests served")
    newest = site.routes[-1]
    lines = [
        ("host", sites.HOST),
        ("x-credential", sites.KEY),
        ("x-deadline-remaining-ms", "2000"),
        ("x-attempt-id", "check"),
    ]
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        for entry in site.entries:
            url = f"http://{site.address(entry, 'front')}{newest}check"
            try:
                status = (await pool.request("GET", url, headers=lines)).status
            except callers.ERRORS as error:
                status = repr(error)
            if status != 200:
                found.append(f"configuration: {entry} answers {status} on the newest route")
    return found
