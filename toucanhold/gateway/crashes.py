"""Requests that crash the backend servers that run them."""

from __future__ import annotations

import hashlib

import attrs
import trio

from toucanhold.gateway import calls

# A worker that crashed is back after some seconds; the request comes again within its deadline,
# eight seconds at most, and perhaps once more. A minute covers several such rounds.
MEMORY_S = 60.0
# Lost connections also have innocent causes, mostly one at a time. After this many in a row for
# the very same request it is the request.
CRASHES_LIMIT = 3
MAX_REMEMBERED = 10_000


def fingerprint(call: calls.Call, workspace: str) -> str:
    """Return what tells equal requests of one workspace, whatever their names."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (call.method.encode(), call.target, workspace.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@attrs.define
class _Record:
    count: int = 0
    last_s: float = 0.0


@attrs.define(eq=False)
class CrashTracker:
    """Connections that broke while a server ran a request, by request."""

    _records: dict[str, _Record] = attrs.field(factory=dict, init=False)

    def note(self, mark: str, count: int = 1) -> None:
        """Count servers that were lost with a request."""
        self._forget_old()
        record = self._records.setdefault(mark, _Record())
        record.count += count
        record.last_s = trio.current_time()

    def merge(self, mark: str, count: int) -> None:
        """Take in what another entry has counted in all."""
        self._forget_old()
        record = self._records.setdefault(mark, _Record())
        if count > record.count:
            record.count, record.last_s = count, trio.current_time()

    def clear(self, mark: str) -> None:
        """Take note that a server answered the request."""
        self._records.pop(mark, None)

    def is_dangerous(self, mark: str) -> bool:
        """Tell whether no server should get the request any more."""
        record = self._records.get(mark)
        if record is None or trio.current_time() - record.last_s > MEMORY_S:
            return False
        return record.count >= CRASHES_LIMIT

    def recent(self, limit: int, max_age_s: float = MEMORY_S) -> list[tuple[str, int]]:
        """Return the newest counts, for other entries."""
        oldest_s = trio.current_time() - max_age_s
        newest = list(self._records.items())[-limit:]
        return [(mark, record.count) for mark, record in newest if record.last_s >= oldest_s]

    def _forget_old(self) -> None:
        oldest_s = trio.current_time() - MEMORY_S
        while self._records:
            mark = next(iter(self._records))
            if len(self._records) <= MAX_REMEMBERED and self._records[mark].last_s >= oldest_s:
                return
            del self._records[mark]
