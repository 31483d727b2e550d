"""Tracks whether this entry reaches backend servers over its own links.

This module does no I/O. An entry that has lost its links to the servers cannot tell a dead server
from its own cut by one failed connection. Several servers that fail without a success in between
point to the entry's own links, and so does silence if no other server is heard from.
"""

from __future__ import annotations

import collections.abc
import logging

import attrs
import trio

from toucanhold import events

# Servers that fail alone, or as the members of one group, may be down themselves.
MIN_FAILED_SERVERS = 3
# Without new failures, such as at an entry without callers, the state is unknown after this time.
FAILURE_VALIDITY_S = 5.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class ServerLinks:
    """Outcomes of this entry's own connections to backend servers."""

    _failing: dict[str, float] = attrs.field(factory=dict, init=False)
    _relayed: set[str] = attrs.field(factory=set, init=False)
    _failed_since_success: set[str] = attrs.field(factory=set, init=False)
    _last_failure_s: float = attrs.field(default=float("-inf"), init=False)
    _cut_since_s: float | None = attrs.field(default=None, init=False)
    _newest_sign: tuple[str, float] = attrs.field(default=("", float("-inf")), init=False)
    _newest_other_sign: tuple[str, float] = attrs.field(default=("", float("-inf")), init=False)

    @property
    def are_cut(self) -> bool:
        """Whether connections to several servers have failed since the last that was opened."""
        return (
            len(self._failed_since_success) >= MIN_FAILED_SERVERS
            and trio.current_time() - self._last_failure_s < FAILURE_VALIDITY_S
        )

    def has_failed_with_others(self, server_id: str) -> bool:
        """Return whether connections to other servers have failed since the last that was opened.

        :param server_id: server whose own failures do not count
        """
        is_recent = trio.current_time() - self._last_failure_s < FAILURE_VALIDITY_S
        return is_recent and not self._failed_since_success <= {server_id}

    def is_failing(self, server_id: str) -> bool:
        """Return whether the last connection to a server failed, or all links appear to be cut."""
        return server_id in self._failing or self.are_cut

    def failing_count(self) -> int:
        """Return the number of servers to which the last connection failed."""
        return len(self._failing)

    def record_opened(self, server_id: str) -> None:
        """Record that a connection to a server was opened."""
        self.record_sign(server_id)
        self._failing.pop(server_id, None)
        self._relayed.discard(server_id)
        self._failed_since_success.clear()
        if self._cut_since_s is not None:
            events.log(
                LOGGER,
                events.Event.SERVER_LINKS_BACK,
                server=server_id,
                after_s=round(trio.current_time() - self._cut_since_s, 3),
            )
            self._cut_since_s = None

    def record_failed(self, server_id: str) -> None:
        """Record that a connection to a server was refused or not opened in time."""
        self._last_failure_s = trio.current_time()
        self._failing[server_id] = self._last_failure_s
        self._failed_since_success.add(server_id)
        if self._cut_since_s is None and self.are_cut:
            self._cut_since_s = self._last_failure_s
            events.log(
                LOGGER,
                events.Event.SERVER_LINKS_LOST,
                servers=len(self._failed_since_success),
                last_sign_s=round(trio.current_time() - self._newest_sign[1], 3),
            )

    def record_relayed(self, server_id: str) -> bool:
        """Record that another entry connected to a server after this one had failed.

        :return: whether this is the first time since this entry last connected itself
        """
        is_first = server_id not in self._relayed
        self._failing.setdefault(server_id, trio.current_time())
        self._relayed.add(server_id)
        return is_first

    def record_sign(self, server_id: str) -> None:
        """Record that a server has sent something over this entry's own links."""
        if self._newest_sign[0] != server_id:
            self._newest_other_sign = self._newest_sign
        self._newest_sign = server_id, trio.current_time()

    def has_sign_of_others(self, server_id: str, since_s: float) -> bool:
        """Return whether any server but the given one has sent something since a time.

        :param since_s: trio clock time
        """
        sign = self._newest_sign
        if sign[0] == server_id:
            sign = self._newest_other_sign
        return sign[1] >= since_s

    def retain(self, is_known: collections.abc.Callable[[str], bool]) -> None:
        """Forget servers that are no longer registered.

        :param is_known: returns whether a server ID is registered
        """
        self._failing = {name: at_s for name, at_s in self._failing.items() if is_known(name)}
        self._relayed = set(filter(is_known, self._relayed))
