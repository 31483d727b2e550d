"""Limits the requests of all entries to cold servers; each entry enforces its own share."""

from __future__ import annotations

import collections

import attrs
import trio

from toucanhold.gateway import entries, sharing
from toucanhold.registry import servers

# Fraction of the limit that entries use. The rest is headroom, because shares are briefly
# inconsistent while entries join or leave.
USABLE_FRACTION = 0.7


@attrs.define(eq=False)
class ColdBudget:
    """Limits the requests per second that this entry sends to each cold server.

    :ivar overage: factor on the rate that a cold server tolerates
    :ivar slack: requests per second allowed in addition, over all entries
    :ivar entry_list: entries that share the limit
    """

    overage: float
    slack: float
    entry_list: entries.EntryList
    _quotas: dict[tuple[str, float], int] = attrs.field(factory=dict, init=False)
    _version: int = attrs.field(default=-1, init=False)
    _sent_times_s: dict[str, collections.deque[float]] = attrs.field(factory=dict, init=False)

    def may_send(self, server: servers.Server, max_requests_per_s: float) -> bool:
        """Return whether one more request may be sent to a cold server.

        :param max_requests_per_s: rate that the server tolerates from all entries together
        """
        if not self.entry_list.may_use_parts:
            return False
        total = USABLE_FRACTION * (max_requests_per_s * self.overage + self.slack)
        return len(self._recent_sends(server.server_id)) < self._quota(server, total)

    def record_request(self, server_id: str) -> None:
        """Count a request sent to a cold server."""
        self._recent_sends(server_id).append(trio.current_time())

    def _quota(self, server: servers.Server, total: float) -> int:
        if self._version != self.entry_list.version:
            self._version = self.entry_list.version
            self._quotas.clear()
        key = server.server_id, total
        if key not in self._quotas:
            self._quotas[key] = self._compute_quota(server, total)
        return self._quotas[key]

    def _compute_quota(self, server: servers.Server, total: float) -> int:
        # Most requests reach a server from entries in its own zone, so only these share the limit;
        # entries in other zones share it if the server's zone has none.
        own, others = self.entry_list.own, self.entry_list.sharing()
        zone_entries = [entry for entry in others if entry.zone == server.zone]
        if own.zone == server.zone:
            return sharing.quota(total, server.server_id, own, zone_entries)
        return 0 if zone_entries else sharing.quota(total, server.server_id, own, others)

    def _recent_sends(self, server_id: str) -> collections.deque[float]:
        sent_times_s = self._sent_times_s.setdefault(server_id, collections.deque())
        while sent_times_s and sent_times_s[0] < trio.current_time() - 1.0:
            sent_times_s.popleft()
        return sent_times_s
