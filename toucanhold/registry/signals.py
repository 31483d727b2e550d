"""Defines the signals on their load and life cycle that backend servers add to answers."""

from __future__ import annotations

import abc
import collections.abc

import attrs

from toucanhold.registry import servers


@attrs.frozen
class Signals:
    """Signals of a server in one answer.

    :ivar rate_limit_per_s: requests per second that the server takes from all entries together;
        None if it names no limit
    :ivar is_rate_limit_unreadable: whether it names a limit that cannot be read
    :ivar backoff_s: time for which the server asks this entry to send nothing; 0 for none
    :ivar is_leaving: whether the server is draining
    """

    rate_limit_per_s: float | None = None
    is_rate_limit_unreadable: bool = False
    backoff_s: float = 0.0
    is_leaving: bool = False


class ServerObserver(abc.ABC):
    """Observes orders and probes to servers, and the signals in all their answers."""

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
    """Notifies several observers."""

    observers: collections.abc.Sequence[ServerObserver]

    def record_control_call(self, server: servers.Server) -> None:
        """See :class:`ServerObserver`."""
        for observer in self.observers:
            observer.record_control_call(server)

    def observe(self, server: servers.Server, observed: Signals, sent_s: float) -> None:
        """See :class:`ServerObserver`."""
        for observer in self.observers:
            observer.observe(server, observed, sent_s)
