"""Callers of a soak: they keep connections, check each answer, and come back as they are told."""

import itertools
import json

import attrs
import httpcore
import trio

from tests.platform.soak import backends
from tests.platform.soak import site as sites

CALLERS = 8
DEADLINE_S = 4.0
PAUSE_S = 0.15
KINDS = ("stream", "stream", "order", "lookup")
PROMISES = (429, 503, 408, 421)
ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, OSError)


@attrs.define(eq=False)
class Record:
    """What callers got.

    :ivar promised: attempts that were said not to have run
    :ivar wrong: answers that no caller should get
    :ivar ends: outcome of each attempt with its time and kind
    """

    promised: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    wrong: list = attrs.field(factory=list)
    ends: list = attrs.field(factory=list)

    def served_since(self, since_s, kind):
        """Return how many attempts of a kind were made since a time, and how many were served."""
        found = [end for at_s, each, end in self.ends if at_s >= since_s and each == kind]
        return len(found), found.count("served")


@attrs.define(eq=False)
class Caller:
    """One caller."""

    site: sites.Site
    record: Record
    name: str
    numbers: itertools.count = attrs.field(factory=itertools.count)

    async def run(self):
        """Send requests until cancelled."""
        async with httpcore.AsyncConnectionPool(retries=0, keepalive_expiry=5) as pool:
            while True:
                await trio.sleep(self.site.rng.uniform(0.5, 1.5) * PAUSE_S)
                addresses = await self._resolve()
                if not addresses:
                    continue
                kind = self.site.rng.choice(KINDS)
                again_s = await self._send(pool, self.site.rng.choice(addresses), kind)
                if again_s is not None:
                    await trio.sleep(min(again_s, DEADLINE_S / 3))
                    await self._send(pool, self.site.rng.choice(addresses), kind)

    async def _resolve(self):
        for entry in self.site.rng.sample(self.site.entries, len(self.site.entries)):
            address = self.site.address(entry, "directory")
            try:
                with trio.fail_after(1):
                    async with httpcore.AsyncConnectionPool(retries=0) as pool:
                        answer = await pool.request("GET", f"http://{address}/resolve?zone=zone-a")
            except (*ERRORS, trio.TooSlowError):
                continue
            if answer.status == 200:
                return json.loads(answer.content)["addresses"]
        return []

    async def _send(self, pool, address, kind):
        attempt = f"{self.name}-{next(self.numbers)}"
        path = f"/{kind}/{attempt}"
        if kind == "order":
            self.record.orders.append(attempt)
        end, again_s = "lost", None
        began_s = trio.current_time()
        with trio.move_on_after(DEADLINE_S):
            try:
                answer = await self._ask(pool, address, kind, attempt, path)
                end, again_s = self._judge(answer, kind, attempt, path)
            except ERRORS:
                pass
        self.record.ends.append((began_s, kind, end))
        return again_s

    async def _ask(self, pool, address, kind, attempt, path):
        lines = [
            ("host", sites.HOST),
            ("x-attempt-id", attempt),
            ("x-deadline-remaining-ms", str(int(DEADLINE_S * 1000))),
            ("x-credential", sites.KEY),
        ]
        if kind == "stream":
            lines.append(("x-model", self.site.rng.choice(sites.MODELS).name))
        method = "GET" if kind == "lookup" else "POST"
        return await pool.request(method, f"http://{address}{path}", headers=lines)

    def _judge(self, answer, kind, attempt, path):
        lines = {key.decode().lower(): value.decode() for key, value in answer.headers}
        if answer.status in PROMISES:
            self.record.promised.append(attempt)
            return "refused", float(lines.get("retry-after", "nan"))
        if answer.status != 200:
            if answer.status in (400, 401, 403, 404):
                self.record.wrong.append(f"{attempt}: status {answer.status}")
            return f"status {answer.status}", None
        expected = path.encode() if kind != "stream" else _stream_body()
        if answer.content != expected or "x-server-seal" not in lines:
            self.record.wrong.append(f"{attempt}: a wrong answer, {answer.content[:80]!r}")
        return "served", None


def _stream_body():
    return b"".join(f"id: {n}\ndata: word-{n}\n\n".encode() for n in range(backends.EVENTS))
