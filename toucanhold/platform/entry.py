"""The entry on the users' platform: its parts, and the order of starting and stopping them."""

from __future__ import annotations

import collections.abc
import logging
import random
import signal
import uuid

import attrs
import trio

from toucanhold import application, events, metrics, serving
from toucanhold.coordination import lease, mirror, watching
from toucanhold.gateway import (
    admission,
    budget,
    crashes,
    entries,
    exchange,
    gateway,
    health,
    hierarchy,
    load,
    sharing,
    silence,
    targets,
)
from toucanhold.peers import transport
from toucanhold.platform import (
    configuration,
    directory,
    front,
    gauges,
    registrations,
    servers,
    settings,
    store,
)
from toucanhold.registry import registry
from toucanhold.relay import following, publishing
from toucanhold.replicas import plan, planner, records
from toucanhold.routes import table

# Changes of some servers at once come within this time; each return of a watch is paid for.
GATHER_S = 0.15
# The planner waits for reports of servers that join, which delay the group by this much.
PLANNER_GATHER_S = 0.05
METRICS_PORT = 9464
# Callers keep an address for up to three times the directory's word, and then some.
LATE_CALLERS_S = 3.2 * directory.KEEP_S
IDLE_TIMEOUT_S = 75.0

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class PlatformEntry(application.Application):
    """Builds an entry's components from its settings and owns them.

    :ivar reload: reads the settings again
    """

    settings: settings.PlatformSettings
    reload: collections.abc.Callable[[], settings.PlatformSettings]
    _stop_serving: trio.Event = attrs.field(factory=trio.Event, init=False)
    _servers_left: int = attrs.field(default=0, init=False)
    _all_served: trio.Event = attrs.field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the components; none does anything before :meth:`start`."""
        own = self.settings
        self.rng = random.Random()
        self.metrics = metrics.Metrics(own.entry)
        self.store = store.StoreClient(own.store_address)
        self.mirror = mirror.Mirror()
        self.registry = registry.Registry(self.mirror, registrations.PREFIX, registrations.decode)
        self.board = records.GroupBoard(self.mirror)
        self.routes = table.RouteTableHolder()
        self.closed_zones: set[str] = set()
        self.mirror.listen(configuration.PREFIX, self._apply_operator_settings)
        self.entries = entries.EntryList(self._own_entry(), self.store, self.mirror, self.rng)
        self.servers = servers.PlatformServerClient()
        self._build_relay()
        self._build_planner()
        self._build_gateway()
        gauges.register(self)

    async def start(self, nursery: trio.Nursery) -> None:
        """See :class:`application.Application`."""
        own = self.settings
        await nursery.start(self.publisher.run)
        for run in (
            self.follower.run,
            self.registry.run,
            self.entries.run,
            self.entries.run_expiry,
            self.planner_lease.run,
            self.planner.run,
            self.gateway.admission.run,
            self.gateway.silence.run,
            self.exchange.run,
            self._reload_on_signal,
        ):
            nursery.start_soon(run)
        callers = front.FrontApp(self.gateway, self.metrics, lambda: self.entries.is_stopping)
        await self._serve(nursery, callers, own.callers_address)
        asked = directory.DirectoryApp(self.entries, self.rng)
        await self._serve(nursery, asked, own.directory_address)
        readiness = directory.ReadinessApp(self.is_ready, self.metrics)
        await self._serve(nursery, readiness, own.readiness_address)
        host = own.callers_address.rpartition(":")[0]
        await self._serve(nursery, readiness, f"{host}:{METRICS_PORT}")
        events.log(
            LOGGER,
            events.Event.ENTRY_STARTED,
            entry=own.entry,
            boot=self.entries.own.boot,
            callers=own.callers_address,
        )

    async def stop(self) -> None:
        """See :class:`application.Application`."""
        events.log(LOGGER, events.Event.ENTRY_STOPPING, in_flight=self.gateway.in_flight)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.planner_lease.release)
            nursery.start_soon(self.entries.deregister)
            # Callers keep old answers of the directory and go on coming for that long.
            nursery.start_soon(trio.sleep, LATE_CALLERS_S)
        self._stop_serving.set()
        await self._all_served.wait()

    async def clean_up(self) -> None:
        """See :class:`application.Application`."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self.store.close()
        events.log(LOGGER, events.Event.ENTRY_STOPPED, entry=self.settings.entry)

    def is_ready(self) -> bool:
        """Tell whether new callers may come."""
        return not self.entries.is_stopping and self.routes.table is not None

    def _own_entry(self) -> entries.Entry:
        own = self.settings
        return entries.Entry(
            own.entry,
            own.zone,
            own.region,
            own.callers_address,
            own.exchange_address,
            uuid.uuid4().hex[:12],
            own.cores,
        )

    def _build_relay(self) -> None:
        peers = transport.TcpTransport()
        watch = watching.ServiceWatch(self.store, self.mirror, self._gather_s, self.rng)
        self.hierarchy = hierarchy.Hierarchy(self.entries, self._planner_name)
        self.publisher = publishing.Publisher(self.mirror, self.entries.own.exchange_address, peers)
        self.follower = following.Follower(
            self.mirror, watch, peers, self.hierarchy.sources, self.rng
        )

    def _planner_name(self) -> str:
        item = self.mirror.items.get(plan.PLANNER_KEY)
        return item.value.decode(errors="replace") if item is not None else ""

    def _is_planner_wanted(self) -> bool:
        # Where all entries tried, each change of planner would cost as many calls as there are
        # entries. Those that follow others learn of it late, too.
        return self.follower.is_watching and plan.PLANNER_KEY not in self.mirror.items

    def _build_planner(self) -> None:
        self.planner_lease = lease.LeasedKey(
            self.store,
            plan.PLANNER_KEY,
            self.settings.entry.encode(),
            plan.PLANNER_LEASE_S,
            self.rng,
            is_taken=lambda: not self._is_planner_wanted(),
        )
        self.planner = planner.Planner(
            self.mirror,
            self.planner_lease,
            plan.Plan(self.store, self.mirror, self.planner_lease, self.board),
            self.board,
            self.registry,
            self.routes,
            self.servers,
            lambda: frozenset(self.closed_zones),
            self.settings.bounds.stall_s,
        )

    def _build_gateway(self) -> None:
        bounds = self.settings.bounds
        self.health = health.Health()
        self.loads = load.LoadTracker()
        self.crashes = crashes.CrashTracker()
        self.exchange = exchange.Exchange(
            self.entries, self.loads, self.crashes, self._on_silent_elsewhere, self.rng
        )
        self.silence = silence.SilenceDetector(self.health, self._note_silent)
        self.cold = budget.ColdBudget(bounds.cold_overage, bounds.cold_slack, self.entries)
        self.targets = targets.ServerSelector(
            self.registry,
            self.board,
            self.loads,
            self.health,
            self.cold,
            self.closed_zones,
            self.settings.zone,
            self.rng,
        )
        self.gateway = gateway.Gateway(
            self.routes,
            self.servers,
            admission.Admission(self.targets),
            budget.RetryBudget(_retry_bound(bounds), self._share),
            self.health,
            self.crashes,
            self.silence,
            self.rng,
        )

    async def _reload_on_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                self._reload()

    def _reload(self) -> None:
        try:
            found = self.reload()
        except settings.SettingsError as error:
            events.log(LOGGER, events.Event.SETTINGS_REFUSED, reason=str(error))
            return
        # Addresses hold for the life of a process; the bounds may change under it.
        self.settings = attrs.evolve(self.settings, bounds=found.bounds)
        self._put_bounds_in_force(found.bounds)
        events.log(LOGGER, events.Event.SETTINGS_RELOADED, bounds=attrs.asdict(found.bounds))

    def _put_bounds_in_force(self, bounds: settings.Bounds) -> None:
        self.gateway.retries.bound = _retry_bound(bounds)
        self.cold.overage, self.cold.slack = bounds.cold_overage, bounds.cold_slack
        self.planner.stall_s = bounds.stall_s

    def _note_silent(self, server_id: str) -> None:
        self.exchange.report_silent(server_id)
        self.planner.suspect(server_id)

    def _share(self) -> float:
        return sharing.share(self.entries.own, self.entries.others())

    def _on_silent_elsewhere(self, server_id: str, entry_name: str) -> None:
        if self.silence.confirm(server_id, entry_name):
            self.planner.suspect(server_id)

    def _gather_s(self) -> float:
        return PLANNER_GATHER_S if self.planner.may_act() else GATHER_S

    def _apply_operator_settings(self, keys: frozenset[str]) -> None:
        if configuration.CONFIGURATION_KEY in keys:
            self._apply_configuration()
        prefix = configuration.EVACUATE_PREFIX
        closed = {item.key.removeprefix(prefix) for item in self.mirror.under(prefix)}
        for zone in closed - self.closed_zones:
            events.log(
                LOGGER,
                events.Event.ZONE_CLOSED,
                availability_zone=zone,
                revision=self.mirror.revision,
            )
        for zone in self.closed_zones - closed:
            events.log(
                LOGGER,
                events.Event.ZONE_OPENED,
                availability_zone=zone,
                revision=self.mirror.revision,
            )
        self.closed_zones.clear()
        self.closed_zones.update(closed)

    def _apply_configuration(self) -> None:
        item = self.mirror.items.get(configuration.CONFIGURATION_KEY)
        if item is None:
            return
        try:
            routes = configuration.decode(item)
        except configuration.ConfigurationError as error:
            events.log(
                LOGGER,
                events.Event.ROUTES_UNREADABLE,
                revision=item.mod_revision,
                reason=str(error),
            )
            return
        if self.routes.put(routes):
            events.log(
                LOGGER,
                events.Event.ROUTES_IN_FORCE,
                version=routes.version,
                revision=item.mod_revision,
                routes=sum(len(each) for each in routes.routes.values()),
            )

    async def _serve(self, nursery: trio.Nursery, app, address: str) -> None:
        self._servers_left += 1
        await nursery.start(self._serve_until_stop, app, address)

    async def _serve_until_stop(self, app, address: str, *, task_status) -> None:
        server = serving.HypercornServer(IDLE_TIMEOUT_S)
        await server.serve(app, address, self._stop_serving, task_status=task_status)
        self._servers_left -= 1
        if not self._servers_left:
            self._all_served.set()


def _retry_bound(bounds: settings.Bounds) -> budget.RetryBound:
    return budget.RetryBound(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
