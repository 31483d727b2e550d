"""Compares the cost of polling a load report with that of relaying it between entries."""

import time

import attrs
import trio

from standins import site as sites
from tools.measure import table
from toucanhold import codec
from toucanhold.backends import client, http

POLLS = 2000
REPORTS_PER_BATCH = 50
BATCH_COUNT = 200
POLL_TIMEOUT_S = 5.0


@attrs.frozen
class RelayedReport:
    """A report and its age, as a message between entries could carry it."""

    report: client.Report
    age_s: float


@attrs.frozen
class RelayedReports:
    """A batch of relayed reports."""

    reports: tuple[RelayedReport, ...]


def run(seed: int) -> list[table.Table]:
    """Return processor time in us and payload in bytes per report, polled and relayed."""
    poll_us, report = trio.run(_measure_polling)
    encode_us, decode_us, size_bytes = _measure_relaying(report)
    rows = (
        ("polled, at the poller", poll_us, 0.0),
        ("passed on, at the sender", encode_us, size_bytes),
        ("passed on, at the receiver", decode_us, size_bytes),
    )
    note = (
        f"Processor time of the entry's side: {POLLS} polls of one engine stand-in over HTTP on"
        f" kept connections; {BATCH_COUNT} batches of {REPORTS_PER_BATCH} reports in msgpack."
        " One run."
    )
    return [table.Table("Cost of a load report", ("way", "cpu_us", "payload_bytes"), rows, note)]


async def _measure_polling() -> tuple[float, client.Report]:
    site = sites.new_site(sites.log_folder(), ("zone-a",), 1, "none", 0, 0)
    backends = http.HttpBackendClient()
    async with sites.running(site):
        address = site.vms[0].address
        report = await backends.read_report(address, POLL_TIMEOUT_S)
        started_s = time.process_time()
        for _ in range(POLLS):
            report = await backends.read_report(address, POLL_TIMEOUT_S)
        used_s = time.process_time() - started_s
        await backends.close()
    return used_s / POLLS * 1e6, report


def _measure_relaying(report: client.Report) -> tuple[float, float, float]:
    batch = RelayedReports(tuple(RelayedReport(report, 0.25) for _ in range(REPORTS_PER_BATCH)))
    started_s = time.process_time()
    for _ in range(BATCH_COUNT):
        body = codec.pack_tagged("RelayedReports", batch)
    encoded_s = time.process_time()
    for _ in range(BATCH_COUNT):
        codec.from_plain_tolerant(codec.unpack_tagged(body)[1], RelayedReports)
    decoded_s = time.process_time()
    reports = REPORTS_PER_BATCH * BATCH_COUNT
    encode_us = (encoded_s - started_s) / reports * 1e6
    return encode_us, (decoded_s - encoded_s) / reports * 1e6, len(body) / REPORTS_PER_BATCH
