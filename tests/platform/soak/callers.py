"""Callers of the soak, which keep connections, check each response and obey retry-after."""

import itertools
import json

import attrs
import httpcore
import trio

from tests.platform.soak import backends
from tests.platform.soak import site as sites

CALLERS = 8
DEADLINE_S = 4.0
REQUEST_INTERVAL_S = 0.15
KINDS = ("stream", "stream", "order", "lookup")
NOT_RUN_STATUSES = (429, 503, 408, 421)
CONNECTION_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
)


@attrs.define(eq=False)
class CallerRecord:
    """Results that callers received.

    :ivar refused_attempts: attempts that were reported not to have run
    :ivar order_attempts: attempts that were orders
    :ivar invalid_responses: descriptions of responses that no caller should receive
    :ivar outcomes: time, kind, outcome and entry of each attempt
    :ivar ends: time at which an attempt ended, and its outcome, by attempt
    """

    refused_attempts: list = attrs.field(factory=list)
    order_attempts: list = attrs.field(factory=list)
    invalid_responses: list = attrs.field(factory=list)
    outcomes: list = attrs.field(factory=list)
    ends: dict = attrs.field(factory=dict)

    def served_since(self, since_s, kind):
        """Return the numbers of attempts made and served since a time, for one kind."""
        kind_outcomes = [
            outcome
            for sent_at_s, outcome_kind, outcome, _ in self.outcomes
            if sent_at_s >= since_s and outcome_kind == kind
        ]
        return len(kind_outcomes), kind_outcomes.count("served")


@attrs.define(eq=False)
class Caller:
    """One caller, which sends one request at a time.

    :ivar key: API key of its workspace
    """

    site: sites.Site
    record: CallerRecord
    name: str
    key: str = sites.KEY
    attempt_numbers: itertools.count = attrs.field(factory=itertools.count)

    async def run(self):
        """Send requests until cancelled."""
        async with httpcore.AsyncConnectionPool(retries=0, keepalive_expiry=5) as pool:
            while True:
                await trio.sleep(self.site.rng.uniform(0.5, 1.5) * REQUEST_INTERVAL_S)
                addresses = await self._resolve()
                if not addresses:
                    continue
                kind = self.site.rng.choice(KINDS)
                retry_after_s = await self._send(pool, self.site.rng.choice(addresses), kind)
                if retry_after_s is not None:
                    await trio.sleep(min(retry_after_s, DEADLINE_S / 3))
                    await self._send(pool, self.site.rng.choice(addresses), kind)

    async def _resolve(self):
        for entry in self.site.rng.sample(self.site.entries, len(self.site.entries)):
            address = self.site.address(entry, "directory")
            try:
                with trio.fail_after(1):
                    async with httpcore.AsyncConnectionPool(retries=0) as pool:
                        response = await pool.request(
                            "GET", f"http://{address}/resolve?zone=zone-a"
                        )
            except (*CONNECTION_ERRORS, trio.TooSlowError):
                continue
            if response.status == 200:
                return json.loads(response.content)["addresses"]
        return []

    async def _send(self, pool, address, kind):
        attempt = f"{self.name}-{next(self.attempt_numbers)}"
        path = f"/{kind}/{attempt}"
        if kind == "order":
            self.record.order_attempts.append(attempt)
        outcome, retry_after_s = "lost", None
        started_at_s = trio.current_time()
        entry = self.site.entry_at(address)
        self.site.signal_record.entries[attempt] = entry, started_at_s
        with trio.move_on_after(DEADLINE_S):
            try:
                response = await self._request(pool, address, kind, attempt, path)
                outcome, retry_after_s = self._check_response(response, kind, attempt, path)
                self._record_signals(response, entry)
            except CONNECTION_ERRORS:
                pass
        self.record.outcomes.append((started_at_s, kind, outcome, entry))
        self.record.ends[attempt] = trio.current_time(), outcome
        return retry_after_s

    def _record_signals(self, response, entry):
        headers = {key.decode().lower(): value.decode() for key, value in response.headers}
        server = headers.get("x-server-seal")
        forwarded = trio.current_time(), entry, server, frozenset(headers)
        self.site.signal_record.forwarded.append(forwarded)

    async def _request(self, pool, address, kind, attempt, path):
        headers = request_headers(attempt, self.key)
        if kind == "stream":
            headers += [
                ("x-model", self.site.rng.choice(sites.MODELS).name),
                ("x-prompt-prefix", f"{backends.SYSTEM_PART}:40,{len(attempt):x}:100"),
            ]
        method = "GET" if kind == "lookup" else "POST"
        return await pool.request(method, f"http://{address}{path}", headers=headers)

    def _check_response(self, response, kind, attempt, path):
        headers = {key.decode().lower(): value.decode() for key, value in response.headers}
        if response.status in NOT_RUN_STATUSES:
            self.record.refused_attempts.append(attempt)
            return "refused", float(headers.get("retry-after", "nan"))
        if response.status != 200:
            if response.status in (400, 401, 403, 404):
                self.record.invalid_responses.append(f"{attempt}: status {response.status}")
            return f"status {response.status}", None
        expected = path.encode() if kind != "stream" else stream_body()
        if response.content != expected or "x-server-seal" not in headers:
            self.record.invalid_responses.append(
                f"{attempt}: a wrong answer, {response.content[:80]!r}"
            )
        return "served", None


def request_headers(attempt, key=sites.KEY, deadline_s=DEADLINE_S):
    """Return the headers that all requests have."""
    return [
        ("host", sites.HOST),
        ("x-attempt-id", attempt),
        ("x-deadline-remaining-ms", str(int(deadline_s * 1000))),
        ("x-credential", key),
    ]


def stream_body(is_long=False):
    """Return the whole body of a stream."""
    return b"".join(backends.event(n) for n in range(backends.event_count(is_long)))
