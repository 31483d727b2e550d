"""Tells callers where to connect, and the platform whether this entry is ready."""

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
# Some callers keep an answer three times as long; an entry that stops serves them for that time.
KEEP_S = 1
MAX_ADDRESSES = 64


@attrs.define(eq=False)
class DirectoryApp:
    """Answers callers that ask where to connect."""

    listed: entries.EntryList
    rng: random.Random

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one connection event of the ASGI server."""
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._answer(scope, send)

    async def _answer(self, scope: asgi.Scope, send: asgi.Send) -> None:
        if scope["path"] != RESOLVE_PATH:
            await asgi.respond(send, 404, [], b"")
            return
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        zone = query.get("zone", [""])[0]
        addresses = self.addresses(zone)
        if not addresses:
            await asgi.respond(send, 503, [], b"")
            return
        await asgi.respond_json(send, 200, {"addresses": addresses, "ttl_s": KEEP_S})

    def addresses(self, zone: str) -> list[str]:
        """Return where a caller of a zone may connect, in no order."""
        chosen = sharing.advertised(
            sharing.near_zone(self.listed.serving(), zone), zone, time.time()
        )
        self.rng.shuffle(chosen)
        return [entry.callers_address for entry in chosen[:MAX_ADDRESSES]]


@attrs.define(eq=False)
class ReadinessApp:
    """Tells whether this entry takes requests, and gives its metrics.

    :ivar is_ready: whether it does
    """

    is_ready: collections.abc.Callable[[], bool]
    metrics: metrics.Metrics

    async def __call__(self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        """Serve one connection event of the ASGI server."""
        if scope["type"] == "lifespan":
            await asgi.acknowledge_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._answer(scope, send)

    async def _answer(self, scope: asgi.Scope, send: asgi.Send) -> None:
        if scope["path"] == METRICS_PATH:
            content_type = (b"content-type", metrics.CONTENT_TYPE)
            await asgi.respond(send, 200, [content_type], self.metrics.exposition())
        elif scope["path"] == READY_PATH:
            await asgi.respond(send, 200 if self.is_ready() else 503, [], b"")
        else:
            await asgi.respond(send, 404, [], b"")
