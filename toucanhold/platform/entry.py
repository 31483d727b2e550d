"""Builds, starts and stops the components of an entry on the users' platform."""

from __future__ import annotations

import collections.abc
import logging
import random
import signal
import uuid

import attrs
import trio

from toucanhold import application, events, intake, lifetime, metrics, serving, supervision
from toucanhold.coordination import lease, mirror, watching
from toucanhold.gateway import (
    admission,
    budget,
    crash_store,
    crashes,
    draining,
    entries,
    exchange,
    gateway,
    health,
    hierarchy,
    limit_shares,
    limits,
    load,
    outcomes,
    policies,
    rate_limiter,
    retry_budget,
    retry_lending,
    server_links,
    silence,
    targets,
)
from toucanhold.peers import transport
from toucanhold.platform import (
    configuration,
    directory,
    front,
    gauges,
    policy_set,
    registrations,
    servers,
    settings,
    store,
)
from toucanhold.registry import backoffs, registry, signals
from toucanhold.relay import following, publishing
from toucanhold.replicas import plan, planner, records
from toucanhold.routes import table
from toucanhold.tunnels import dialing, relays
from toucanhold.tunnels import serving as tunnel_serving

# Servers that change together do so within this time; each return of a watch is a paid call.
BATCH_DELAY_S = 0.15
# The planner waits for reports of joining servers, so this delay adds to the start of a group.
PLANNER_BATCH_DELAY_S = 0.05
METRICS_PORT = 9464
# Callers cache an address for up to three times its TTL; the rest is a margin.
CALLER_DRAIN_S = 3.2 * directory.ADDRESS_TTL_S
IDLE_TIMEOUT_S = 75.0
CLEAN_UP_TIMEOUT_S = 0.1
# Last part of the time of a planned stop, in which the last answers are written and the process
# exits.
STOP_RESERVE_S = 0.4
LAST_ANSWERS_TIMEOUT_S = 0.1

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class PlatformEntry(application.Application):
    """Builds an entry's components from its settings and owns them.

    :ivar settings: settings in force; a reload replaces their bounds only
    :ivar reload: reads the settings file again
    :ivar closed_zones: availability zones that the operators have evacuated
    """

    settings: settings.PlatformSettings
    reload: collections.abc.Callable[[], settings.PlatformSettings]
    _stop_http_servers: trio.Event = attrs.field(factory=trio.Event, init=False)
    _running_http_servers: int = attrs.field(default=0, init=False)
    _all_http_servers_stopped: trio.Event = attrs.field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the components; none of them runs before :meth:`start`."""
        entry_settings = self.settings
        self.lifetime = lifetime.Lifetime(entry_settings.bounds.grace_s, STOP_RESERVE_S)
        self.rng = random.Random()
        self.metrics = metrics.Metrics(entry_settings.entry)
        self.client_limits = serving.ClientLimits(
            intake.Intake(entry_settings.request_memory_bytes, entry_settings.max_connections)
        )
        self.store = store.StoreClient(entry_settings.store_address)
        self.kv_mirror = mirror.Mirror()
        self.server_registry = registry.Registry(
            self.kv_mirror, registrations.PREFIX, registrations.decode
        )
        self.group_table = records.GroupTable(self.kv_mirror)
        self.routes = table.RouteTableHolder()
        self.closed_zones: set[str] = set()
        self.kv_mirror.add_listener(configuration.PREFIX, self._apply_operator_settings)
        self.entry_list = entries.EntryList(self._own_entry(), self.store, self.kv_mirror, self.rng)
        self.limit_table = limits.LimitTable()
        self.rate_limiter = rate_limiter.RateLimiter(self.limit_table, self.entry_list, self.rng)
        self.server_registry.add_listener(self._forget_servers)
        self.backoff_table = backoffs.BackoffTable()
        self.draining_table = draining.DrainingTable(self.server_registry)
        observer = signals.ObserverGroup(
            (self.rate_limiter, self.backoff_table, self.draining_table)
        )
        self.server_links = server_links.ServerLinks()
        peers = transport.TcpTransport()
        self._build_tunnels(peers)
        self.server_client = servers.PlatformServerClient(observer, self.dialer, self.server_links)
        self._build_relay(peers)
        self._build_planner()
        self._build_retries()
        self._build_gateway()
        gauges.register(self)

    async def start(self, nursery: trio.Nursery) -> None:
        """See :class:`application.Application`."""
        entry_settings = self.settings
        await nursery.start(self.publisher.run)
        await nursery.start(self.tunnel_server.run)
        for run in (
            self.follower.run,
            self.server_registry.run,
            self.entry_list.run,
            self.entry_list.run_expiry,
            self.planner_lease.run,
            self.planner.run,
            self.gateway.admission.run,
            self.gateway.silence_detector.run,
            self.exchange.run,
            self.crash_store.run,
            self.limit_shares.run,
            self.retry_lending.run,
            self._reload_on_signal,
        ):
            nursery.start_soon(supervision.keep_running, run)
        front_app = front.FrontApp(self.gateway, self.metrics)
        streams_server = serving.HypercornServer(IDLE_TIMEOUT_S, limits=self.client_limits)
        await self._serve(nursery, streams_server, front_app, entry_settings.callers_address)
        short_server = serving.ShortAnswerServer(IDLE_TIMEOUT_S, self.client_limits)
        directory_app = directory.DirectoryApp(self.entry_list, self.rng)
        await self._serve(nursery, short_server, directory_app, entry_settings.directory_address)
        readiness_app = directory.ReadinessApp(self.is_ready, self.metrics)
        await self._serve(nursery, short_server, readiness_app, entry_settings.readiness_address)
        host = entry_settings.callers_address.rpartition(":")[0]
        await self._serve(nursery, short_server, readiness_app, f"{host}:{METRICS_PORT}")
        events.log(
            LOGGER,
            events.Event.ENTRY_STARTED,
            entry=entry_settings.entry,
            boot=self.entry_list.own.boot,
            callers=entry_settings.callers_address,
        )

    async def stop(self) -> None:
        """See :class:`application.Application`."""
        events.log(
            LOGGER,
            events.Event.ENTRY_STOPPING,
            in_flight=self.gateway.in_flight,
            ends_in_s=round(self.lifetime.end_s - trio.current_time(), 3),
        )
        # Callers cache the directory's answers and keep connecting for that long.
        drained_s = trio.current_time() + CALLER_DRAIN_S
        with self.lifetime.bounded(drained_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.planner_lease.release)
                nursery.start_soon(self.entry_list.deregister)
                nursery.start_soon(trio.sleep_forever)
        self._stop_http_servers.set()
        with trio.move_on_at(self.lifetime.end_s + LAST_ANSWERS_TIMEOUT_S):
            await self._all_http_servers_stopped.wait()
        # Tunnels of entries that are gone end by themselves only later.
        with self.lifetime.bounded():
            await self.tunnel_server.wait_idle()

    async def clean_up(self) -> None:
        """See :class:`application.Application`."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + CLEAN_UP_TIMEOUT_S):
            await self.store.close()
        events.log(LOGGER, events.Event.ENTRY_STOPPED, entry=self.settings.entry)

    def is_ready(self) -> bool:
        """Return whether this entry accepts new callers: it has routes and is not stopping."""
        return not self.lifetime.is_stopping and self.routes.table is not None

    def _forget_servers(self) -> None:
        def is_known(incarnation: tuple[str, int]) -> bool:
            return self.server_registry.find(incarnation) is not None

        self.rate_limiter.retain(is_known)
        self.draining_table.retain(is_known)
        self.policies.retain(is_known)
        self.server_links.retain(self._is_server_known)

    def _is_server_known(self, server_id: str) -> bool:
        registry = self.server_registry
        return server_id in registry.servers or server_id in registry.lapsed

    def _own_entry(self) -> entries.Entry:
        entry_settings = self.settings
        return entries.Entry(
            entry_settings.entry,
            entry_settings.zone,
            entry_settings.region,
            entry_settings.callers_address,
            entry_settings.exchange_address,
            uuid.uuid4().hex[:12],
            entry_settings.cores,
            entry_settings.tunnel_address,
            entry_settings.lending_address,
        )

    def _build_tunnels(self, peers: transport.PeerTransport) -> None:
        direct = dialing.DirectDialer(self.server_links)
        relay_table = relays.RelayTable(self.entry_list, self.rng)
        self.dialer = dialing.RelayingDialer(direct, relay_table, peers)
        self.tunnel_server = tunnel_serving.TunnelServer(
            self.settings.tunnel_address, peers, self.server_registry, direct, self.lifetime
        )

    def _build_relay(self, peers: transport.PeerTransport) -> None:
        watch = watching.ServiceWatch(self.store, self.kv_mirror, self._batch_delay_s, self.rng)
        self.store.on_answer = watch.outage_detector.record_answer
        self.hierarchy = hierarchy.Hierarchy(self.entry_list, self._planner_name)
        self.publisher = publishing.Publisher(
            self.kv_mirror, self.entry_list.own.exchange_address, peers
        )
        self.follower = following.Follower(
            self.kv_mirror, watch, peers, self.hierarchy.sources, self.rng
        )

    def _planner_name(self) -> str:
        item = self.kv_mirror.items.get(plan.PLANNER_KEY)
        return item.value.decode(errors="replace") if item is not None else ""

    def _is_planner_candidate(self) -> bool:
        # If every entry tried, each change of planner would cost as many calls as there are
        # entries. Entries that follow others would also learn of the free lease later.
        return self.follower.is_watching and plan.PLANNER_KEY not in self.kv_mirror.items

    def _build_planner(self) -> None:
        self.planner_lease = lease.LeasedKey(
            self.store,
            plan.PLANNER_KEY,
            self.settings.entry.encode(),
            plan.PLANNER_LEASE_S,
            self.rng,
            is_acquisition_skipped=lambda: not self._is_planner_candidate(),
        )
        self.planner = planner.Planner(
            self.kv_mirror,
            self.planner_lease,
            plan.PlanWriter(self.store, self.kv_mirror, self.planner_lease, self.group_table),
            self.group_table,
            self.server_registry,
            self.routes,
            self.server_client,
            lambda: frozenset(self.closed_zones),
            self.settings.bounds.stall_s,
            self.backoff_table,
            self._model_load if self._is_on(policies.Policy.GROUP_DEMAND) else None,
            self.settings.cores,
        )

    def _is_on(self, policy: policies.Policy) -> bool:
        return policy in self.settings.policies

    def _model_load(self, service: table.Service) -> tuple[dict[str, float], dict[str, float]]:
        return self.server_selector.model_load(service)

    def _build_retries(self) -> None:
        self.limit_shares = limit_shares.LimitShares(
            self.store, self.kv_mirror, self.entry_list, self.rng
        )
        bound = _retry_bound(self.settings.bounds)
        self.retry_budget = retry_budget.RetryBudget(bound, self.limit_shares)
        transport = retry_lending.UdpTransport(self.settings.lending_address)
        self.retry_lending = retry_lending.RetryLending(
            self.entry_list, self.retry_budget, transport, self.rng
        )

    def _build_gateway(self) -> None:
        bounds = self.settings.bounds
        self.health = health.Health()
        self.load_tracker = load.LoadTracker()
        self.crash_tracker = crashes.CrashTracker(self.entry_list)
        self.crash_store = crash_store.CrashStore(
            self.store, self.kv_mirror, self.crash_tracker, self.rng
        )
        self._build_policies()
        self._build_exchange()
        self.silence_detector = silence.SilenceDetector(
            self.health, self._on_silent_server, self.server_links
        )
        self.cold_budget = budget.ColdBudget(
            bounds.cold_overage, bounds.cold_slack, self.entry_list
        )
        self.server_selector = targets.ServerSelector(
            self.server_registry,
            self.group_table,
            self.load_tracker,
            self.health,
            self.cold_budget,
            self.closed_zones,
            self.rate_limiter,
            self.backoff_table,
            self.settings.zone,
            self.rng,
            self.policies.selection,
        )
        self.gateway = gateway.Gateway(
            self.routes,
            self.server_client,
            admission.Admission(self.server_selector, self.policies.queue),
            self.retry_budget,
            self.health,
            self.crash_tracker,
            self.silence_detector,
            self.rng,
            outcomes.ObserverGroup(self.policies.observers),
            self.policies.min_initial_fraction,
            self.policies.first_event_times,
            lifetime=self.lifetime,
        )

    def _build_exchange(self) -> None:
        self.exchange = exchange.Exchange(
            self.entry_list,
            self.load_tracker,
            self.rate_limiter,
            self.draining_table,
            self.crash_tracker,
            self._on_silence_report,
            self.rng,
            self.policies.count_sources,
            self.policies.server_trials,
            self.policies.server_speed,
        )

    def _build_policies(self) -> None:
        self.policies = policy_set.PolicySet(
            self.settings.policies,
            policy_set.Dependencies(
                self.entry_list,
                self.server_registry,
                self.load_tracker,
                self.health,
                self.limit_table,
                self.rate_limiter.counts,
                lambda service, model: self.server_selector.find_usable(service, model),
            ),
        )

    async def _reload_on_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            # The settings may have changed since they were read, with a signal that was ignored.
            supervision.call(self._reload, True)
            async for _ in signals:
                # While no receiver is open, a signal would end the process.
                supervision.call(self._reload)

    def _reload(self, only_if_changed: bool = False) -> None:
        try:
            new_settings = self.reload()
        except settings.SettingsError as error:
            events.log(LOGGER, events.Event.SETTINGS_REFUSED, reason=str(error))
            return
        if only_if_changed and new_settings.bounds == self.settings.bounds:
            return
        # Addresses are fixed for the life of the process; only the bounds can be reloaded.
        self.settings = attrs.evolve(self.settings, bounds=new_settings.bounds)
        self._apply_bounds(new_settings.bounds)
        events.log(LOGGER, events.Event.SETTINGS_RELOADED, bounds=attrs.asdict(new_settings.bounds))

    def _apply_bounds(self, bounds: settings.Bounds) -> None:
        self.retry_budget.bound = _retry_bound(bounds)
        self.cold_budget.overage, self.cold_budget.slack = bounds.cold_overage, bounds.cold_slack
        self.planner.stall_s = bounds.stall_s
        self.lifetime.grace_s = bounds.grace_s

    def _on_silent_server(self, server_id: str) -> None:
        self.exchange.report_silent(server_id)
        self.planner.suspect(server_id)

    def _on_silence_report(self, server_id: str, entry_name: str) -> None:
        if self.silence_detector.confirm(server_id, entry_name):
            self.planner.suspect(server_id)

    def _batch_delay_s(self) -> float:
        return PLANNER_BATCH_DELAY_S if self.planner.may_act() else BATCH_DELAY_S

    def _apply_operator_settings(self, keys: frozenset[str]) -> None:
        if configuration.CONFIGURATION_KEY in keys:
            self._apply_configuration()
        prefix = configuration.EVACUATE_PREFIX
        closed = {item.key.removeprefix(prefix) for item in self.kv_mirror.items_under(prefix)}
        for zone in closed - self.closed_zones:
            events.log(
                LOGGER,
                events.Event.ZONE_CLOSED,
                availability_zone=zone,
                revision=self.kv_mirror.revision,
            )
        for zone in self.closed_zones - closed:
            events.log(
                LOGGER,
                events.Event.ZONE_OPENED,
                availability_zone=zone,
                revision=self.kv_mirror.revision,
            )
        self.closed_zones.clear()
        self.closed_zones.update(closed)

    def _apply_configuration(self) -> None:
        item = self.kv_mirror.items.get(configuration.CONFIGURATION_KEY)
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
                routes=sum(len(prefixes) for prefixes in routes.routes.values()),
            )

    async def _serve(
        self, nursery: trio.Nursery, server: serving.HttpServer, app, address: str
    ) -> None:
        self._running_http_servers += 1
        await nursery.start(self._serve_until_stop, server, app, address)

    async def _serve_until_stop(
        self, server: serving.HttpServer, app, address: str, *, task_status
    ) -> None:
        await server.serve(app, address, self._stop_http_servers, task_status=task_status)
        self._running_http_servers -= 1
        if not self._running_http_servers:
            self._all_http_servers_stopped.set()


def _retry_bound(bounds: settings.Bounds) -> retry_budget.RetryBound:
    return retry_budget.RetryBound(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
