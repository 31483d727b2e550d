"""Faults of a soak, drawn one after the other; they overlap."""

import attrs
import trio

from standins import processes
from tests.platform.soak import site as sites

STORE_MODES = ("silent", "one_way", "reset", "delay")


@attrs.define(eq=False)
class Faults:
    """Brings about faults, and takes each back.

    :ivar told: what was done and when, for whoever traces a failure
    """

    site: sites.Site
    told: list = attrs.field(factory=list)
    busy: set = attrs.field(factory=set)

    async def run(self, for_s):
        """Begin faults for ``for_s`` seconds; return when all are over."""
        kinds = (
            self._kill_entry,
            self._pause_entry,
            self._stop_entry,
            self._cut_entry_from_store,
            self._cut_entry_from_store,
            self._silence_store,
            self._lose_answers,
            self._lose_server,
            self._lose_server,
            self._disturb_server,
            self._let_server_leave,
            self._lose_orders,
            self._configure,
            self._evacuate,
        )
        end_s = trio.current_time() + for_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(self.site.rng.choice(kinds))
                await trio.sleep(self.site.rng.uniform(0.1, 2.5))

    def _tell(self, text):
        self.told.append((round(trio.current_time(), 2), text))

    def _take(self, names):
        """Return one of ``names`` with no fault on it, or None."""
        free = [name for name in names if name not in self.busy]
        if not free:
            return None
        name = self.site.rng.choice(free)
        self.busy.add(name)
        return name

    async def _kill_entry(self):
        if entry := self._take(self.site.entries):
            self._tell(f"kill {entry}")
            await self.site.group.kill(entry)
            await trio.sleep(self.site.rng.uniform(0.1, 2))
            await self.site.start_entry(entry)
            self.busy.discard(entry)

    async def _pause_entry(self):
        if entry := self._take(self.site.entries):
            for_s = self.site.rng.uniform(0.2, 5)
            self._tell(f"pause {entry} for {for_s:.1f} s")
            self.site.group.pause(entry)
            await trio.sleep(for_s)
            self.site.group.resume(entry)
            self.busy.discard(entry)

    async def _stop_entry(self):
        if entry := self._take(self.site.entries):
            # One that is still starting ends by the signal itself, and has nothing to finish.
            await processes.wait_listening(self.site.address(entry, "front"))
            self._tell(f"stop {entry}")
            began_s = trio.current_time()
            status = await self.site.group.stop(entry)
            took_s = trio.current_time() - began_s
            if status or took_s > sites.GRACE_S:
                self.site.entry_ends.append(f"{entry} ended with {status} after {took_s:.1f} s")
            await self.site.start_entry(entry)
            self.busy.discard(entry)

    async def _cut_entry_from_store(self):
        if entry := self._take([f"store of {name}" for name in self.site.entries]):
            proxy = self.site.store_proxies[entry.removeprefix("store of ")]
            await self._set(proxy, entry)

    async def _disturb_server(self):
        if name := self._take(self.site.server_proxies):
            await self._set(self.site.server_proxies[name], name)

    async def _set(self, proxy, name):
        mode = self.site.rng.choice(STORE_MODES)
        for_s = self.site.rng.uniform(0.3, 5)
        self._tell(f"{name}: {mode} for {for_s:.1f} s")
        proxy.set_mode(mode)
        await trio.sleep(for_s)
        proxy.set_mode("pass")
        self.busy.discard(name)

    async def _silence_store(self):
        if self._take(["store"]):
            for_s = self.site.rng.uniform(0.3, 4)
            self._tell(f"store refuses all for {for_s:.1f} s")
            self.site.store.refusal_status = 503
            await trio.sleep(for_s)
            self.site.store.refusal_status = 0
            self.busy.discard("store")

    async def _lose_answers(self):
        self._tell("answers of the store are lost")
        self.site.store.responses_to_drop = self.site.rng.randint(1, 4)
        await trio.sleep(0)

    async def _lose_server(self):
        if name := self._take(self.site.server_proxies):
            mode = self.site.rng.choice(("dark", "apart", "unlisted"))
            for_s = self.site.rng.uniform(0.5, 8)
            self._tell(f"{name}: {mode} for {for_s:.1f} s")
            await self.site.fleet.darken(name, mode)
            if mode != "unlisted":
                self.site.server_proxies[name].set_mode("silent")
            await trio.sleep(for_s)
            self.site.server_proxies[name].set_mode("pass")
            if mode == "dark":
                await self.site.fleet.restart(name)
            else:
                await self.site.fleet.reconnect(name)
            self.busy.discard(name)

    async def _let_server_leave(self):
        if name := self._take(self.site.server_proxies):
            self._tell(f"{name} leaves")
            server = self.site.fleet.servers[name]
            server.is_leaving = True
            await self.site.fleet.publish(server)
            await trio.sleep(4)
            await self.site.fleet.restart(name)
            self.busy.discard(name)

    async def _lose_orders(self):
        self.site.fleet.lose_share = 0.4
        await trio.sleep(self.site.rng.uniform(0.5, 4))
        self.site.fleet.lose_share = 0.0

    async def _configure(self):
        self._tell("a new configuration")
        self.site.configure()
        await trio.sleep(0)

    async def _evacuate(self):
        zone = self._take(sites.ZONES[:1])
        if zone:
            self._tell(f"{zone} is evacuated")
            key = f"op/evacuate/{zone}"
            self.site.store.put(key, b"{}")
            await trio.sleep(self.site.rng.uniform(1, 6))
            self.site.store.delete(key)
            self.busy.discard(zone)
