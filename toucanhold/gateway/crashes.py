"""Requests that crash the backend servers that run them."""

from __future__ import annotations

import hashlib

import attrs
import trio

from toucanhold.gateway import calls

# A worker that crashed is back after some seconds; the request comes again within its deadline,
# eight seconds at most, and perhaps once more. A minute covers several such rounds.
RETENTION_S = 60.0
# Lost connections also have innocent causes, mostly one at a time. After this many in a row for
# the very same request it is the request.
CRASH_THRESHOLD = 3
MAX_RECORDS = 10_000


def request_fingerprint(call: calls.Call, workspace: str) -> str:
    """Return what tells equal requests of one workspace, whatever their names."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method.encode(), call.target, workspace.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@attrs.define
class _CrashCount:
    count: int = 0
    last_s: float = 0.0


@attrs.define(eq=False)
class CrashTracker:
    """Connections that broke while a server ran a request, by request."""

    _records: dict[str, _CrashCount] = attrs.field(factory=dict, init=False)

    def record_crash(self, fingerprint: str, count: int = 1) -> None:
        """Count servers that were lost with a request."""
        self._evict_expired()
        record = self._records.setdefault(fingerprint, _CrashCount())
        record.count += count
        record.last_s = trio.current_time()

    def merge(self, fingerprint: str, count: int) -> None:
        """Take in what another entry has counted in all."""
        self._evict_expired()
        record = self._records.setdefault(fingerprint, _CrashCount())
        if count > record.count:
            record.count, record.last_s = count, trio.current_time()

    def clear(self, fingerprint: str) -> None:
        """Take note that a server answered the request."""
        self._records.pop(fingerprint, None)

    def is_blocked(self, fingerprint: str) -> bool:
        """Tell whether no server should get the request any more."""
        record = self._records.get(fingerprint)
        if record is None or trio.current_time() - record.last_s > RETENTION_S:
            return False
        return record.count >= CRASH_THRESHOLD

    def recent_counts(self, limit: int, max_age_s: float = RETENTION_S) -> list[tuple[str, int]]:
        """Return the newest counts, for other entries."""
        oldest_s = trio.current_time() - max_age_s
        newest = list(self._records.items())[-limit:]
        return [
            (fingerprint, record.count)
            for fingerprint, record in newest
            if record.last_s >= oldest_s
        ]

    def _evict_expired(self) -> None:
        oldest_s = trio.current_time() - RETENTION_S
        while self._records:
            fingerprint = next(iter(self._records))
            if len(self._records) <= MAX_RECORDS and self._records[fingerprint].last_s >= oldest_s:
                return
            del self._records[fingerprint]
