"""Random faults of the soak, which may overlap."""

import attrs
import trio

from standins import processes
from tests.platform.soak import callers
from tests.platform.soak import site as sites

BURST_CALLERS = 24
PROXY_MODES = ("silent", "one_way", "reset", "delay")


@attrs.define(eq=False)
class FaultInjector:
    """Injects random faults and reverts each of them.

    :ivar caller_record: results of the callers of a burst
    :ivar events: time in s and description of each fault, to trace failures
    :ivar reserved_targets: names of targets that have a fault now
    """

    site: sites.Site
    caller_record: callers.CallerRecord
    events: list = attrs.field(factory=list)
    reserved_targets: set = attrs.field(factory=set)

    async def run(self, duration_s):
        """Inject faults for ``duration_s``; return when all are reverted."""
        injections = (
            self._kill_entry,
            self._pause_entry,
            self._stop_entry,
            self._disturb_store_link,
            self._disturb_store_link,
            self._refuse_store_calls,
            self._drop_store_responses,
            self._isolate_server,
            self._isolate_server,
            self._disturb_server_link,
            self._announce_server_leaving,
            self._drop_orders,
            self._change_configuration,
            self._evacuate_zone,
        )
        if self.site.has_policies:
            injections += 2 * (self._slow_server, self._send_burst)
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(self.site.rng.choice(injections))
                await trio.sleep(self.site.rng.uniform(0.1, 2.5))

    def log(self, text):
        self.events.append((round(trio.current_time(), 2), text))

    def _reserve(self, names):
        """Reserve and return one of ``names`` without a current fault; None if there is none."""
        available = [name for name in names if name not in self.reserved_targets]
        if not available:
            return None
        name = self.site.rng.choice(available)
        self.reserved_targets.add(name)
        return name

    async def _kill_entry(self):
        if entry := self._reserve(self.site.entries):
            await self.restart_killed(entry, self.site.rng.uniform(0.1, 2))

    async def restart_killed(self, entry, down_s=0.1):
        """Kill the process of a reserved entry, and start another."""
        self.log(f"kill {entry}")
        if not self.site.group.is_running(entry):
            self.site.stop_failures.append(f"{entry} had ended by itself")
        disturbance = self.site.signal_record.begin_disturbance(entry)
        await self.site.group.kill(entry)
        await trio.sleep(down_s)
        await self.site.start_entry(entry)
        disturbance[-1] = trio.current_time()
        self.reserved_targets.discard(entry)

    async def _pause_entry(self):
        if entry := self._reserve(self.site.entries):
            duration_s = self.site.rng.uniform(0.2, 5)
            self.log(f"pause {entry} for {duration_s:.1f} s")
            disturbance = self.site.signal_record.begin_disturbance(entry)
            self.site.group.pause(entry)
            await trio.sleep(duration_s)
            self.site.group.resume(entry)
            disturbance[-1] = trio.current_time()
            self.reserved_targets.discard(entry)

    async def _stop_entry(self):
        if entry := self._reserve(self.site.entries):
            await self.stop(entry)

    async def stop(self, entry):
        """Stop the process of a reserved entry, and start another."""
        # A process that is still starting ends by the signal, without a graceful shutdown.
        await processes.wait_listening(self.site.address(entry, "front"))
        self.log(f"stop {entry}")
        disturbance = self.site.signal_record.begin_disturbance(entry, is_outage=False)
        began_s = trio.current_time()
        self.site.stops.append((entry, began_s))
        self.site.stopping.add(entry)
        status = await self.site.group.stop(entry)
        self.site.stopping.discard(entry)
        elapsed_s = trio.current_time() - began_s
        if status or elapsed_s > self.site.grace_s:
            self.site.stop_failures.append(f"{entry} ended with {status} after {elapsed_s:.1f} s")
        await self.site.start_entry(entry)
        disturbance[-1] = trio.current_time()
        self.reserved_targets.discard(entry)

    async def reload(self, entry):
        """Let the process of a reserved entry read its settings again."""
        # A process that is still starting ends by the signal.
        await processes.wait_listening(self.site.address(entry, "front"))
        self.log(f"reload {entry}")
        self.site.group.reload(entry)
        self.reserved_targets.discard(entry)

    async def _disturb_store_link(self):
        if entry := self._reserve([f"store of {name}" for name in self.site.entries]):
            proxy = self.site.store_proxies[entry.removeprefix("store of ")]
            await self._apply_proxy_mode(proxy, entry)

    async def _disturb_server_link(self):
        if name := self._reserve(self.site.server_proxies):
            await self._apply_proxy_mode(self.site.server_proxies[name], name)

    async def _apply_proxy_mode(self, proxy, name):
        mode = self.site.rng.choice(PROXY_MODES)
        duration_s = self.site.rng.uniform(0.3, 5)
        self.log(f"{name}: {mode} for {duration_s:.1f} s")
        disturbance = self.site.signal_record.begin_disturbance(
            name.removeprefix("store of "), is_outage=name in self.site.server_proxies
        )
        proxy.set_mode(mode)
        await trio.sleep(duration_s)
        proxy.set_mode("pass")
        disturbance[-1] = trio.current_time()
        self.reserved_targets.discard(name)

    async def _refuse_store_calls(self):
        if self._reserve(["store"]):
            duration_s = self.site.rng.uniform(0.3, 4)
            self.log(f"store refuses all for {duration_s:.1f} s")
            self.site.store.refusal_status = 503
            await trio.sleep(duration_s)
            self.site.store.refusal_status = 0
            self.reserved_targets.discard("store")

    async def _drop_store_responses(self):
        self.log("answers of the store are lost")
        self.site.store.responses_to_drop = self.site.rng.randint(1, 4)
        await trio.sleep(0)

    async def _isolate_server(self):
        if name := self._reserve(self.site.server_proxies):
            mode = self.site.rng.choice(("dark", "apart", "unlisted"))
            duration_s = self.site.rng.uniform(0.5, 8)
            self.log(f"{name}: {mode} for {duration_s:.1f} s")
            disturbance = self.site.signal_record.begin_disturbance(name)
            await self.site.fleet.make_unreachable(name, mode)
            if mode != "unlisted":
                self.site.server_proxies[name].set_mode("silent")
            await trio.sleep(duration_s)
            self.site.server_proxies[name].set_mode("pass")
            if mode == "dark":
                await self.site.fleet.restart(name)
            else:
                await self.site.fleet.reconnect(name)
            disturbance[-1] = trio.current_time()
            self.reserved_targets.discard(name)

    async def _announce_server_leaving(self):
        if name := self._reserve(self.site.server_proxies):
            self.log(f"{name} leaves")
            server = self.site.fleet.servers[name]
            server.is_leaving = True
            await self.site.fleet.register(server)
            await trio.sleep(4)
            self.site.signal_record.begin_outage(name)[-1] = trio.current_time()
            await self.site.fleet.restart(name)
            self.reserved_targets.discard(name)

    async def _drop_orders(self):
        self.site.fleet.order_loss_ratio = 0.4
        await trio.sleep(self.site.rng.uniform(0.5, 4))
        self.site.fleet.order_loss_ratio = 0.0

    async def _slow_server(self):
        if name := self._reserve(self.site.server_proxies):
            factor = self.site.rng.uniform(4, 12)
            duration_s = self.site.rng.uniform(2, 8)
            self.log(f"{name} is {factor:.1f} times as slow for {duration_s:.1f} s")
            self.site.slowdowns[name] = factor
            await trio.sleep(duration_s)
            del self.site.slowdowns[name]
            self.reserved_targets.discard(name)

    async def _send_burst(self):
        if name := self._reserve(["burst"]):
            duration_s = self.site.rng.uniform(1, 5)
            self.log(f"one workspace sends a burst for {duration_s:.1f} s")
            with trio.move_on_after(duration_s):
                async with trio.open_nursery() as nursery:
                    for number in range(BURST_CALLERS):
                        caller_name = f"burst{len(self.events)}-{number}"
                        caller = callers.Caller(
                            self.site, self.caller_record, caller_name, sites.BURST_KEY
                        )
                        nursery.start_soon(caller.run)
            self.reserved_targets.discard(name)

    async def _change_configuration(self):
        self.change_configuration()
        await trio.sleep(0)

    def change_configuration(self):
        """Store a new version of the configuration."""
        self.log("a new configuration")
        self.site.put_configuration()

    async def _evacuate_zone(self):
        zone = self._reserve(sites.ZONES[:1])
        if zone:
            self.log(f"{zone} is evacuated")
            key = f"op/evacuate/{zone}"
            self.site.store.put(key, b"{}")
            await trio.sleep(self.site.rng.uniform(1, 6))
            self.site.store.delete(key)
            self.reserved_targets.discard(zone)
