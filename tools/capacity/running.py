"""Measures processor and memory use of idle entries by the number of VMs and of entries."""

import collections.abc
import os
import pathlib

import attrs
import trio

from standins import site as sites
from tools.capacity import slopes

SAMPLE_WINDOW_S = 10.0
SETTLE_S = 4.0
VM_COUNTS = (24, 48, 96, 192)
ENTRY_COUNTS = (1, 3, 5, 7)
BASELINE_VMS = 12
ZONES = ("zone-a", "zone-b", "zone-c")


@attrs.frozen
class Usage:
    """Resource use of one entry.

    :ivar cpu: share of a core
    :ivar resident_kb: resident memory, interpreter and libraries included
    """

    cpu: float
    resident_kb: float


def measure() -> collections.abc.Iterator[slopes.Slope]:
    """Yield the slopes over the number of VMs, then over the number of entries."""
    by_vms = [(size, trio.run(_measure_entry_usage, size, 1)) for size in VM_COUNTS]
    yield from _fit_usage(by_vms, "VM, one entry")
    by_entries = [
        (size, trio.run(_measure_entry_usage, BASELINE_VMS, size)) for size in ENTRY_COUNTS
    ]
    yield from _fit_usage(by_entries, f"entry, {BASELINE_VMS} VMs")


def _fit_usage(
    points: collections.abc.Sequence[tuple[int, Usage]], item: str
) -> collections.abc.Iterator[slopes.Slope]:
    cpu = [(size, usage.cpu * 100) for size, usage in points]
    yield slopes.fit_line(f"processor, per {item}", "% of a core", cpu)
    memory = [(size, usage.resident_kb) for size, usage in points]
    yield slopes.fit_line(f"resident memory, per {item}", "KB", memory)


async def _measure_entry_usage(vms: int, entries: int) -> Usage:
    site = sites.new_site(sites.log_folder(), ZONES, vms // len(ZONES), "releases", 0, entries)
    site.is_one_engine_process = True
    service = {
        "name": "drafts",
        "model": "writer",
        "version": "1",
        "replicas": vms // 2,
        "vms_per_replica": 2,
    }
    async with sites.running(site):
        body = {"document": sites.document_for(site, [service]), "expected": 0}
        await site.call_operators("entry-0", "PUT", "document", body)
        await site.wait_status("entry-0", _all_serving, 60)
        await trio.sleep(SETTLE_S)
        # Choose an entry that is not the planner where possible: planning is measured separately.
        name = f"entry-{entries - 1}"
        return await _measure_usage(site.process_group.pid(name))


def _all_serving(status: dict) -> bool:
    return all(service["serving"] >= service["wanted"] for service in status["services"])


async def _measure_usage(pid: int) -> Usage:
    before_s = _cpu_s(pid)
    await trio.sleep(SAMPLE_WINDOW_S)
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    resident_kb = pages * os.sysconf("SC_PAGE_SIZE") / 1024
    return Usage((_cpu_s(pid) - before_s) / SAMPLE_WINDOW_S, resident_kb)


def _cpu_s(pid: int) -> float:
    # The process name in the second field may contain spaces, so the fields after it are counted.
    # User and system time are fields 14 and 15.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
