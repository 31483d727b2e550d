"""Serves the directory of entry addresses, the readiness check and the metrics over HTTP."""

from __future__ import annotations

import collections.abc
import random
import time
import urllib.parse

import attrs

from toucanhold import asgi, metrics
from toucanhold.gateway import entries, sharing

RESOLVE_PATH = "/resolve"
READY_PATH = "/ready"
METRICS_PATH = "/metrics"
# Some callers cache an answer for three times its TTL; an entry that stops keeps serving that long.
ADDRESS_TTL_S = 1
MAX_ADDRESSES = 64


@attrs.define(eq=False)
class DirectoryApp:
    """Answers callers with the addresses of entries that they may connect to.

    :ivar entry_list: the entries that are known to serve
    :ivar rng: shuffles the addresses so that callers spread over the entries
    """

    entry_list: entries.EntryList
    rng: random.Random

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one connection event of the ASGI server."""
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._respond(scope, send)

    async def _respond(self, scope: asgi.Scope, send: asgi.Send) -> None:
        if scope["path"] != RESOLVE_PATH:
            await asgi.respond(send, 404, [], b"")
            return
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        zone = query.get("zone", [""])[0]
        addresses = self.addresses(zone)
        if not addresses:
            await asgi.respond(send, 503, [], b"")
            return
        await asgi.respond_json(send, 200, {"addresses": addresses, "ttl_s": ADDRESS_TTL_S})

    def addresses(self, zone: str) -> list[str]:
        """Return up to ``MAX_ADDRESSES`` entry addresses for a caller in ``zone``, shuffled."""
        listed_entries = sharing.advertised(
            sharing.near_zone(self.entry_list.serving(), zone), zone, time.time()
        )
        self.rng.shuffle(listed_entries)
        return [entry.callers_address for entry in listed_entries[:MAX_ADDRESSES]]


@attrs.define(eq=False)
class ReadinessApp:
    """Serves the readiness check and the metrics of this entry.

    :ivar is_ready: returns whether this entry accepts requests
    :ivar metrics: served at ``/metrics``
    """

    is_ready: collections.abc.Callable[[], bool]
    metrics: metrics.Metrics

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one connection event of the ASGI server."""
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._respond(scope, send)

    async def _respond(self, scope: asgi.Scope, send: asgi.Send) -> None:
        if scope["path"] == METRICS_PATH:
            await self.metrics.load()
            content_type = (b"content-type", self.metrics.content_type)
            await asgi.respond(send, 200, [content_type], self.metrics.exposition())
        elif scope["path"] == READY_PATH:
            await asgi.respond(send, 200 if self.is_ready() else 503, [], b"")
        else:
            await asgi.respond(send, 404, [], b"")
