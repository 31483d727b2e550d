"""Tracks the rate limits that backend servers name; entries announce them to each other."""

from __future__ import annotations

import collections.abc
import logging
import math

import attrs
import trio

from toucanhold import events
from toucanhold.registry import servers

# Changes are repeated to other entries for this long: notices may be lost, and hold only some of
# many limits.
REPEAT_PERIOD_S = 10.0
MAX_LIMITS = 4096
MAX_VERSION = 2**62

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class Limit:
    """A server's limit, as entries announce it to each other.

    :ivar born_ms: start of the server's process
    :ivar version: grows with each change that any entry sees; the highest version is in force
    :ivar rate_per_s: requests per second that the server takes from all entries together; None
        after the limit was lifted
    """

    server_id: str
    born_ms: int
    version: int
    rate_per_s: float | None

    @property
    def incarnation(self) -> tuple[str, int]:
        """See :attr:`servers.Server.incarnation`."""
        return self.server_id, self.born_ms

    @property
    def is_valid(self) -> bool:
        """Whether the version and the rate, if there is one, are within their bounds."""
        is_rate = self.rate_per_s is None or 0 <= self.rate_per_s < math.inf
        return is_rate and 0 <= self.version < MAX_VERSION

    def replaces(self, other: Limit) -> bool:
        """Return whether this is a later limit, or the lower one of two of the same version."""
        return (self.version, -self._strictness) > (other.version, -other._strictness)

    @property
    def _strictness(self) -> float:
        return math.inf if self.rate_per_s is None else self.rate_per_s


@attrs.define(eq=False)
class LimitTable:
    """Rate limits by server."""

    _limits: dict[tuple[str, int], Limit] = attrs.field(factory=dict, init=False)
    _learned_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)
    _limited_since_s: dict[tuple[str, int], float] = attrs.field(factory=dict, init=False)

    def observe(self, server: servers.Server, rate_per_s: float | None, sent_s: float) -> None:
        """Process the limit in an answer.

        :param rate_per_s: the named limit; None if the answer names none
        :param sent_s: trio clock time at which the answered request was sent
        """
        known = self._limits.get(server.incarnation)
        if rate_per_s == (known.rate_per_s if known is not None else None):
            return
        # Answers may overtake each other: an answer to an earlier request does not lift a limit.
        if rate_per_s is None and sent_s < self._learned_s[server.incarnation]:
            return
        version = known.version + 1 if known is not None else 1
        # A notice with a garbled version must not make this entry's own notices invalid.
        version = min(version, MAX_VERSION - 1)
        self._put(Limit(server.server_id, server.born_ms, version, rate_per_s), "")

    def merge(self, limit: Limit, entry: str) -> None:
        """Process a limit that another entry announces.

        :param entry: name of that entry
        """
        known = self._limits.get(limit.incarnation)
        if known is None or limit.replaces(known):
            self._put(limit, entry)

    def rate_per_s(self, server: servers.Server) -> float | None:
        """Return a server's limit in requests per second, or None if it has none."""
        known = self._limits.get(server.incarnation)
        return known.rate_per_s if known is not None else None

    def limited_since_s(self, server: servers.Server) -> float:
        """Return the trio clock time since which a server is known to have a limit."""
        return self._limited_since_s[server.incarnation]

    def limited(self) -> list[Limit]:
        """Return the limits in force."""
        return [limit for limit in self._limits.values() if limit.rate_per_s is not None]

    def to_announce(self, is_full: bool) -> list[Limit]:
        """Return the limits to announce to other entries, the latest first.

        :param is_full: whether to include all limits in force, besides recent changes
        """
        oldest_s = trio.current_time() - REPEAT_PERIOD_S
        return [
            limit
            for incarnation, limit in reversed(self._limits.items())
            if self._learned_s[incarnation] >= oldest_s
            or (is_full and limit.rate_per_s is not None)
        ]

    def retain(self, is_known: collections.abc.Callable[[tuple[str, int]], bool]) -> None:
        """Forget the limits of servers that are gone."""
        for incarnation in [each for each in self._limits if not is_known(each)]:
            self._forget(incarnation)

    def _put(self, limit: Limit, entry: str) -> None:
        incarnation = limit.incarnation
        previous = self._limits.pop(incarnation, None)
        if len(self._limits) >= MAX_LIMITS:
            self._forget(next(iter(self._limits)))
        self._limits[incarnation] = limit
        self._learned_s[incarnation] = trio.current_time()
        if limit.rate_per_s == (previous.rate_per_s if previous is not None else None):
            return
        if previous is None or previous.rate_per_s is None:
            self._limited_since_s[incarnation] = trio.current_time()
        is_lifted = limit.rate_per_s is None
        events.log(
            LOGGER,
            events.Event.SERVER_LIMIT_LIFTED if is_lifted else events.Event.SERVER_LIMIT_NAMED,
            server=limit.server_id,
            limit_per_s=limit.rate_per_s,
            reported_by=entry or None,
        )

    def _forget(self, incarnation: tuple[str, int]) -> None:
        del self._limits[incarnation]
        del self._learned_s[incarnation]
        self._limited_since_s.pop(incarnation, None)
