"""One run of the soak and its checks."""

import collections
import pathlib

import attrs
import httpcore
import trio

from standins import processes
from tests.platform.soak import (
    answers,
    callers,
    crashing,
    faults,
    links,
    pauses,
    retries,
    signals,
    strangers,
)
from tests.platform.soak import site as sites

FAULTS_S = 20.0
# The longest recovery here is 12 s, for a server that was skipped several times. Loads take under
# 1 s, an unreachable head is tolerated for 4.5 s, and leases expire after 3 s.
RECOVERY_S = 16.0
CHECK_WINDOW_S = 4.0
# Imports take seconds when many processes start on a loaded machine.
START_TIMEOUT_S = 60.0


@attrs.define(eq=False)
class Result:
    """Result of a run.

    :ivar violations: descriptions of violated guarantees; empty if the run passed
    :ivar faults: time in s and description of each fault
    :ivar outcome_counts: number of attempts by kind and outcome
    """

    seed: int
    violations: list
    faults: list
    outcome_counts: collections.Counter


def subnet(seed: int) -> str:
    """Return the middle two bytes of loopback addresses, distinct for seeds run in parallel."""
    return f"{64 + seed // 250 % 64}.{seed % 250}"


async def run(
    seed: int,
    folder: pathlib.Path,
    subnet: str,
    faults_s: float = FAULTS_S,
    has_signals: bool = True,
) -> Result:
    """Run one seed for ``faults_s`` of faults and the recovery after them.

    :param has_signals: whether servers also send signals, see :mod:`signals`, requests crash them,
        see :mod:`crashing`, entries lose their links to them, see :mod:`links`, and servers lose
        answers while entries restart in series, see :mod:`retries`
    """
    async with sites.running(seed, folder, subnet, has_signals) as site:
        caller_record, long_record = callers.CallerRecord(), callers.CallerRecord()
        injector = faults.FaultInjector(site, caller_record)
        link_injector = links.LinkInjector(site, injector.log)
        async with trio.open_nursery() as nursery:
            with trio.fail_after(START_TIMEOUT_S):
                await _wait_until_serving(site)
            for number in range(callers.CALLERS):
                nursery.start_soon(callers.Caller(site, caller_record, f"c{seed}-{number}").run)
            nursery.start_soon(answers.record_stalls, site, injector.log)
            await trio.sleep(2)
            if has_signals:
                signal_injector = signals.SignalInjector(
                    site, site.signal_record, injector.reserved_targets, injector.log
                )
                side_faults = [
                    signal_injector.run,
                    crashing.CrashingCaller(site).run,
                    crashing.CrashingPartCaller(site).run,
                    link_injector.run,
                    retries.LossInjector(site, injector).run,
                ]
                for run_side_fault in pauses.choose_side_faults(site, side_faults):
                    nursery.start_soon(run_side_fault, faults_s)
            if site.has_pauses:
                nursery.start_soon(
                    answers.LongCaller(site, long_record, injector.reserved_targets).run, faults_s
                )
                nursery.start_soon(pauses.PauseInjector(site, injector).run, faults_s)
            if strangers.has_strangers(site.seed):
                nursery.start_soon(strangers.StrangerInjector(site, injector.log).run, faults_s)
            await injector.run(faults_s)
            await trio.sleep(RECOVERY_S)
            since_s = trio.current_time()
            await trio.sleep(CHECK_WINDOW_S)
            violations = await _check_recovery(site, caller_record, since_s)
            nursery.cancel_scope.cancel()
        violations += _check_history(site, caller_record)
        violations += links.check(site, caller_record, link_injector.cuts)
        violations += [f"answer: {text}" for text in long_record.invalid_responses]
        if site.has_pauses:
            ends = caller_record.ends | long_record.ends
            violations += answers.check(site, ends, link_injector.cuts)
        outcome_counts = collections.Counter(
            f"{kind} {outcome}"
            for record in (caller_record, long_record)
            for _, kind, outcome, _ in record.outcomes
        )
        return Result(seed, violations, injector.events, outcome_counts)


async def _wait_until_serving(site):
    for entry in site.entries:
        await processes.wait_listening(site.address(entry, "front"))
    names = {model.name for model in sites.MODELS}
    while {head.model for head in site.fleet.serving_heads().values()} != names:
        await trio.sleep(0.2)


def _check_history(site, caller_record):
    violations = [f"group: {text}" for text in site.fleet.violations]
    violations += [f"answer: {text}" for text in caller_record.invalid_responses]
    violations += [f"process: {text}" for text in site.stop_failures]
    violations += signals.check(site.signal_record)
    violations += crashing.check(site, caller_record)
    violations += retries.check(site)
    order_attempts = set(caller_record.order_attempts)
    for attempt in order_attempts:
        if len(site.run_log.runs_by_attempt.get(attempt, ())) > 1:
            violations.append(f"order {attempt} ran twice: {site.run_log.runs_by_attempt[attempt]}")
    for attempt in caller_record.refused_attempts:
        # An idempotent request may have run before it was refused.
        if attempt in site.run_log.runs_by_attempt and attempt in order_attempts:
            violations.append(
                f"{attempt} was said not to have run: {site.run_log.runs_by_attempt[attempt]}"
            )
    for entry in site.entries:
        if not site.group.is_running(entry):
            violations.append(f"process: {entry} has ended by itself")
    return violations


async def _check_recovery(site, caller_record, since_s):
    violations = []
    for kind in set(callers.KINDS):
        sent, served = caller_record.served_since(since_s, kind)
        if not sent or served < 0.9 * sent:
            violations.append(f"recovery: {served} of {sent} {kind} requests served")
    newest_prefix = site.route_prefixes[-1]
    headers = [
        ("host", sites.HOST),
        ("x-credential", sites.KEY),
        ("x-deadline-remaining-ms", "2000"),
        ("x-attempt-id", "check"),
    ]
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        for entry in site.entries:
            url = f"http://{site.address(entry, 'front')}{newest_prefix}check"
            try:
                status = (await pool.request("GET", url, headers=headers)).status
            except callers.CONNECTION_ERRORS as error:
                status = repr(error)
            if status != 200:
                violations.append(f"configuration: {entry} answers {status} on the newest route")
    return violations
