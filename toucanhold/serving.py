"""Serving an ASGI application with hypercorn."""

import abc
import collections.abc
import logging
import math
import socket

import attrs
import hypercorn.config
import hypercorn.trio
import trio

MAX_HEADER_BYTES = 32 * 1024
BACKLOG = 512
STALLED_CLIENT_TIMEOUT_S = 30


class ListenError(Exception):
    """An address could not be bound."""


class HttpServer(abc.ABC):
    """Serves ASGI applications."""

    @abc.abstractmethod
    async def serve(
        self,
        app: collections.abc.Callable,
        address: str,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until ``stop`` is set and every request in flight is finished.

        :param address: ``IP:port``
        :raises ListenError: when the address cannot be bound
        """


@attrs.frozen
class HypercornServer(HttpServer):
    """Serves with hypercorn.

    :ivar idle_timeout_s: time after which an idle connection is closed
    :ivar tls_files: PEM files of certificate and key; empty for plain HTTP
    """

    idle_timeout_s: float
    tls_files: tuple[str, str] = ("", "")

    async def serve(
        self,
        app: collections.abc.Callable,
        address: str,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See :class:`HttpServer`."""
        config = self._config()
        config.bind = [f"fd://{_listen(address).detach()}"]
        await hypercorn.trio.serve(
            app, config, shutdown_trigger=stop.wait, mode="asgi", task_status=task_status
        )

    def _config(self) -> hypercorn.config.Config:
        config = hypercorn.config.Config()
        config.certfile, config.keyfile = (name or None for name in self.tls_files)
        config.alpn_protocols = ["http/1.1"]
        config.keep_alive_timeout = self.idle_timeout_s
        # A cap here would cut streams in flight at a planned stop; each request has its own
        # deadline.
        config.graceful_timeout = math.inf
        config.h11_max_incomplete_size = MAX_HEADER_BYTES
        config.errorlog = logging.getLogger("toucanhold.http")
        config.accesslog = None
        config.include_server_header = False
        return config


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # hypercorn shields each write from cancellation. A caller that stops reading would hold
        # its task, and with it a planned stop, for ever; the kernel ends such a connection.
        timeout_ms = STALLED_CLIENT_TIMEOUT_S * 1000
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise ListenError(f"cannot listen on {address}: {error}") from error
    listener.setblocking(False)
    return listener
