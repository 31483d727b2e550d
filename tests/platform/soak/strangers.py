"""Other writers, clients and watches that fail: nothing of this may cost an entry its process."""

import json

import attrs
import trio

from tests.platform import endless
from tests.platform.soak import backends
from tests.platform.soak import site as sites

FIRST_SEED = 3000
# Values that some readers accept and that no sound writer leaves.
VALUES = (
    b'{"slots": NaN, "state": "ready"}',
    b'{"born": 1e999, "state": "ready"}',
    b"[" * 5000,
    b"\xff\x00",
    b'{"state": "ready", "service": "desk", "address": "nowhere", "zone": "zone-a", "slots": 4}',
    b'{"entry": "e", "boot": "b", "exchange_address": "x:y", "count": 1e999}',
)
KEYS = ("servers/stranger", "servers/a\r\nb", "toucanhold/entries/stranger/1")
KEYS += ("toucanhold/limit-shares/16/03", "toucanhold/crashes/k", "toucanhold/groups/g0")
REQUESTS = (
    b"GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade, http2-settings\r\nupgrade: h2c\r\n"
    b"http2-settings: A\r\n\r\n",
    b"GET /lookup/1 HTTP/1.1\r\nhost: soak.example\r\nlast-event-id: " + b"9" * 5000 + b"\r\n\r\n",
    bytes(range(256)),
)


def has_strangers(seed):
    """Return whether a seed is played with strangers; lower seeds keep the play that they had."""
    return seed >= FIRST_SEED


@attrs.define(eq=False)
class StrangerInjector:
    """Writes unreadable items, sends bytes that are no requests, and cuts watches."""

    site: sites.Site
    log: object

    async def run(self, duration_s):
        """Inject for ``duration_s``."""
        rng = self.site.rng
        injections = (self._write, self._send, self._cut_watches, self._serve_without_end)
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(rng.choice(injections))
                await trio.sleep(rng.uniform(0.1, 1.0))

    async def _write(self):
        key, value = self.site.rng.choice(KEYS), self.site.rng.choice(VALUES)
        self.log(f"a stranger writes {key!r}")
        self.site.store.put(key, value)
        await trio.sleep(self.site.rng.uniform(0.5, 4))
        self.site.store.delete(key)

    async def _send(self):
        host, _, port = self.site.address(
            self.site.rng.choice(self.site.entries), "front"
        ).rpartition(":")
        with trio.move_on_after(1):
            try:
                async with await trio.open_tcp_stream(host, int(port)) as stream:
                    await stream.send_all(self.site.rng.choice(REQUESTS))
                    await stream.receive_some()
            except (OSError, trio.BrokenResourceError):
                pass

    async def _cut_watches(self):
        entry = self.site.rng.choice(self.site.entries)
        proxy = self.site.store_proxies[entry]
        if proxy.mode == "pass":
            self.log(f"the store's connections of {entry} are cut")
            proxy.set_mode("reset")
            proxy.set_mode("pass")
        await trio.lowlevel.checkpoint()

    async def _serve_without_end(self):
        place = self.site.rng.choice(sorted(endless.PLACES))
        server = endless.EndlessServer(place, self.site.rng.random() < 0.3)
        self.log(f"a server sends bytes without end: {place}")
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, server.handle, 0)
            address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            fields = {"service": backends.PLAIN_SERVICE, "address": address, "zone": sites.ZONES[0]}
            fields |= {"slots": 2, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1}
            self.site.store.put("servers/endless", json.dumps(fields).encode())
            await trio.sleep(self.site.rng.uniform(0.3, 2))
            self.site.store.delete("servers/endless")
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
