"""Defines what backend servers say of themselves beside their answers."""

from __future__ import annotations

import abc
import collections.abc

import attrs

from toucanhold.registry import servers


@attrs.frozen
class Signals:
    """What one answer says of the server that sent it.

    :ivar rate_limit_per_s: requests per second that the server takes from all entries together;
        None if it names no limit
    :ivar is_rate_limit_unreadable: whether it names a limit that cannot be read
    :ivar rest_s: for how long the server wants no requests from this entry, in seconds
    :ivar is_leaving: whether the server is leaving and wants no new requests
    """

    rate_limit_per_s: float | None = None
    is_rate_limit_unreadable: bool = False
    rest_s: float = 0.0
    is_leaving: bool = False


class ServerObserver(abc.ABC):
    """Is told what is sent to servers besides callers' requests, and what servers say."""

    @abc.abstractmethod
    def record_control_call(self, server: servers.Server) -> None:
        """Count an order or a probe that is sent to a server."""

    @abc.abstractmethod
    def observe(self, server: servers.Server, observed: Signals, sent_s: float) -> None:
        """Process the signals of one answer.

        :param server: the server that answered
        :param sent_s: trio clock time at which the answered request was sent
        """


@attrs.frozen
class ObserverGroup(ServerObserver):
    """Tells several observers."""

    observers: collections.abc.Sequence[ServerObserver]

    def record_control_call(self, server: servers.Server) -> None:
        """See :class:`ServerObserver`."""
        for observer in self.observers:
            observer.record_control_call(server)

    def observe(self, server: servers.Server, observed: Signals, sent_s: float) -> None:
        """See :class:`ServerObserver`."""
        for observer in self.observers:
            observer.observe(server, observed, sent_s)
