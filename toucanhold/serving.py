"""HTTP servers for ASGI applications."""

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
LISTEN_BACKLOG = 512
STALLED_CLIENT_TIMEOUT_S = 30


class ListenError(Exception):
    """The server cannot listen on its address."""


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
        """Serve until ``stop`` is set and all requests in flight have finished.

        :param app: ASGI application
        :param address: ``IP:port``
        :param stop: set to stop gracefully
        :param task_status: started when the server listens
        :raises ListenError: when it cannot listen on the address
        """


@attrs.frozen
class HypercornServer(HttpServer):
    """Serves ASGI applications with hypercorn.

    :ivar idle_timeout_s: time after which an idle connection is closed, in seconds
    :ivar tls_files: paths of the PEM files of certificate and key; empty for plain HTTP
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
        # A limit would cut off the streams in flight at a planned stop. Each request has its own
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
        # hypercorn shields each write from cancellation. A caller that stops reading would block
        # its task, and thereby a planned stop, for ever. The kernel closes such connections.
        timeout_ms = STALLED_CLIENT_TIMEOUT_S * 1000
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except OSError as error:
        listener.close()
        raise ListenError(f"cannot listen on {address}: {error}") from error
    listener.setblocking(False)
    return listener
