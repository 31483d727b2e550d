"""Keeps what this entry has observed of servers, to decide whether to suspend them."""

from __future__ import annotations

import collections.abc
import math

import attrs
import trio

from toucanhold.gateway import suspensions

LOG_INTERVAL_S = 1.0
MAX_SERVERS = 4096


@attrs.define
class ServerRecord:
    """What this entry has observed of one server; times are trio clock times.

    :ivar born_ms: start of the server's process
    :ivar answered_s: time of the last event or answer
    :ivar accepted_s: time at which the last request that it served was sent
    :ivar refused_s: time of the first of the recent unexplained refusals
    :ivar explained_s: time of the last refusal that the load explains
    :ivar unreachable_s: time at which it was suspended because no connection could be opened
    :ivar disputed_until_s: time until which failed connections do not suspend it
    :ivar suspended_key: key under which it is suspended; None if it is not
    """

    born_ms: int
    answered_s: float = -math.inf
    accepted_s: float = -math.inf
    refused_s: float = -math.inf
    explained_s: float = -math.inf
    unreachable_s: float = -math.inf
    disputed_until_s: float = -math.inf
    suspended_key: suspensions.Key | None = None
    _logged_s: dict[str, float] = attrs.field(factory=dict)

    def may_log(self, kind: str) -> bool:
        """Return whether a line of this kind may be logged now, and count it if so."""
        if trio.current_time() - self._logged_s.get(kind, -math.inf) < LOG_INTERVAL_S:
            return False
        self._logged_s[kind] = trio.current_time()
        return True


@attrs.define(eq=False)
class ServerRecords:
    """Records by server ID, for the latest process of each server.

    :ivar on_forget: called with the ID of a server whose record is dropped while it is suspended
    """

    on_forget: collections.abc.Callable[[str], None]
    _records: dict[str, ServerRecord] = attrs.field(factory=dict, init=False)

    def find(self, server_id: str) -> ServerRecord | None:
        """Return the record of a server, if there is one."""
        return self._records.get(server_id)

    def get(self, server_id: str, born_ms: int) -> ServerRecord:
        """Return the record of a server; start anew if its process is newer."""
        record = self._records.get(server_id)
        if record is None:
            if len(self._records) >= MAX_SERVERS:
                self._forget(next(iter(self._records)))
            record = self._records[server_id] = ServerRecord(born_ms)
        elif record.born_ms < born_ms:
            record = ServerRecord(born_ms, suspended_key=record.suspended_key)
            self._records[server_id] = record
        return record

    def retain(self, is_known: collections.abc.Callable[[tuple[str, int]], bool]) -> None:
        """Drop the records of processes that are gone."""
        for server_id, record in list(self._records.items()):
            if not is_known((server_id, record.born_ms)):
                self._forget(server_id)

    def _forget(self, server_id: str) -> None:
        if self._records.pop(server_id).suspended_key is not None:
            self.on_forget(server_id)
