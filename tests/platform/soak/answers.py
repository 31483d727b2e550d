"""Long streams of the soak, and the check that planned work and pauses cost no answer."""

import random

import attrs
import httpcore
import trio

from tests.platform.soak import backends, callers, signals
from tests.platform.soak import site as sites

LONG_STREAMS_PER_S = 12.0
ATTEMPT_PREFIX = "long-"
# Entries end a request somewhat before its time is over.
DEADLINE_SLACK_S = 0.2
# An entry may end requests that still run in the last part of its grace time, unless they were sent
# late after its SIGTERM.
GRACE_FRACTION = 5 / 6
SENT_AFTER_STOP_S = 3.0
STALL_CHECK_INTERVAL_S = 0.02
# Two probes of a server, 0.35 s in all, fail if no connection is accepted for much of that time.
MIN_STALL_S = 0.2


@attrs.define(eq=False)
class LongCaller:
    """Sends streams that last for seconds at random entries, and checks each event.

    :ivar reserved_targets: names of targets that have a fault now; these entries get no streams,
        unless the fault is a planned stop and the seed has late streams
    """

    site: sites.Site
    record: callers.CallerRecord
    reserved_targets: set

    async def run(self, duration_s):
        """Send streams for ``duration_s``; return when all have ended."""
        rng = random.Random(f"long streams {self.site.seed}")
        end_s, number = trio.current_time() + duration_s, 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                await trio.sleep(rng.expovariate(LONG_STREAMS_PER_S))
                entries = [entry for entry in self.site.entries if self._may_get_streams(entry)]
                if not entries:
                    continue
                number += 1
                entry, model = rng.choice(entries), rng.choice(sites.MODELS).name
                nursery.start_soon(self._send, entry, model, f"{ATTEMPT_PREFIX}{number}", number)

    def _may_get_streams(self, entry):
        if entry in self.site.stopping:
            return sites.has_late_streams(self.site.seed)
        return entry not in self.reserved_targets

    async def _send(self, entry, model, attempt, number):
        sent_s = trio.current_time()
        self.site.signal_record.entries[attempt] = entry, sent_s
        deadline_s = sites.LONG_TIMEOUT_MS / 1000
        headers = [
            *callers.request_headers(attempt, deadline_s=deadline_s),
            ("x-model", model),
            ("x-prompt-prefix", f"{backends.SYSTEM_PART}:40,{number:x}:100"),
        ]
        url = f"http://{self.site.address(entry, 'front')}{backends.LONG_PATH_PREFIX}{attempt}"
        outcome = "lost"
        with trio.move_on_after(deadline_s):
            try:
                outcome = await self._receive(url, headers, attempt)
            except callers.CONNECTION_ERRORS:
                pass
        self.record.outcomes.append((sent_s, "long", outcome, entry))
        self.record.ends[attempt] = trio.current_time(), outcome

    async def _receive(self, url, headers, attempt):
        """Return the outcome of a stream, whose events must come once, in order."""
        expected, body = callers.stream_body(is_long=True), b""
        async with httpcore.AsyncConnectionPool(retries=0) as pool:
            async with pool.stream("POST", url, headers=headers) as response:
                if response.status != 200:
                    is_refused = response.status in callers.NOT_RUN_STATUSES
                    return "refused" if is_refused else f"status {response.status}"
                async for chunk in response.aiter_stream():
                    body += chunk
                    if not expected.startswith(body):
                        self.record.invalid_responses.append(f"{attempt}: {body[-80:]!r}")
                        return "wrong"
        if body != expected:
            self.record.invalid_responses.append(f"{attempt}: ends after {body[-40:]!r}")
            return "wrong"
        return "served"


async def record_stalls(site, log):
    """Record when this process stands still: no server accepts connections then, as in no pause."""
    while True:
        due_s = trio.current_time() + STALL_CHECK_INTERVAL_S
        await trio.sleep_until(due_s)
        now_s = trio.current_time()
        if now_s - due_s > MIN_STALL_S:
            log(f"the soak itself stood still for {now_s - due_s:.2f} s")
            site.stalls.append((due_s, now_s))


def check(site, ends, cuts):
    """Return descriptions of requests that ran on sound servers and got no whole answer.

    Planned work and pauses of servers excuse nothing.

    :param ends: time at which an attempt ended, and its outcome, by attempt
    :param cuts: cuts of the entries' links to the servers
    """
    violations = []
    for attempt, (end_s, outcome) in ends.items():
        runs = site.run_log.details.get(attempt)
        if outcome == "served" or not runs:
            continue
        entry, sent_s = site.signal_record.entries[attempt]
        last_run = max(runs, key=lambda run: min(run.end_s, end_s))
        planner = last_run.aborted_by
        if (
            _was_disturbed(site, entry, sent_s, end_s, cuts)
            or _is_stop_over(site, entry, sent_s, end_s)
            or (planner and _was_disturbed(site, planner, sent_s - signals.CONTACT_S, end_s, cuts))
            or end_s - sent_s >= _timeout_s(attempt) - DEADLINE_SLACK_S
            or not _is_sound(site, last_run, end_s)
        ):
            continue
        described = ", ".join(
            f"{run.server} {run.start_s:.2f} to {run.end_s:.2f} {run.ending.value} {run.aborted_by}"
            for run in runs
        )
        violations.append(
            f"lost: {attempt} at {entry}, {sent_s:.2f} to {end_s:.2f}: {outcome}; runs: {described}"
        )
    return violations


def _timeout_s(attempt):
    is_long = attempt.startswith(ATTEMPT_PREFIX)
    return (sites.LONG_TIMEOUT_MS if is_long else sites.TIMEOUT_MS) / 1000


def _was_disturbed(site, entry, start_s, end_s, cuts):
    """Return whether an entry or its links were disturbed within a time."""
    return (
        site.signal_record.has_outage(entry, start_s, end_s)
        or any(
            began_s <= end_s and ended_s + signals.CONTACT_S >= start_s
            for began_s, ended_s in site.stalls
        )
        or any(
            entry in cut.entries and cut.since_s <= end_s and cut.until_s >= start_s for cut in cuts
        )
    )


def _is_stop_over(site, entry, sent_s, end_s):
    """Return whether the entry's time for a planned stop was almost over at the end."""
    return any(
        stopped == entry
        and sent_s <= stop_s + SENT_AFTER_STOP_S
        and end_s >= stop_s + GRACE_FRACTION * site.grace_s
        for stopped, stop_s in site.stops
    )


def _is_sound(site, run, end_s):
    """Return whether neither a run's server nor a member of its group failed during the run."""
    return (
        run.ending is not backends.Ending.FAILED
        and not run.was_stalled
        and not any(
            site.signal_record.has_outage(name, run.start_s, min(run.end_s, end_s))
            for name in {run.server, *run.members}
        )
    )
