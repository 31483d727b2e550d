"""The entry process: directory, router and observer, and planner while it holds the lease."""

from __future__ import annotations

import functools
import logging
import uuid

import attrs
import trio

from toucanhold import (
    application,
    codec,
    events,
    external,
    gauges,
    lifetime,
    metrics,
    settings,
    supervision,
)
from toucanhold.callers import app as callers_app
from toucanhold.callers import directory
from toucanhold.callers import reading as callers_reading
from toucanhold.configuration import holder, reading, store
from toucanhold.coordination import following, lease, rate_limit, vms
from toucanhold.membership import facts, permit, roster
from toucanhold.observing import poller, view
from toucanhold.operators import app as operators_app
from toucanhold.operators import changes, status
from toucanhold.orders import building
from toucanhold.peers import exchange, handshake, holds, revisions, streams
from toucanhold.planning import peering, planner, preview, spreading
from toucanhold.plans import plan
from toucanhold.routing import router

PLANNER_LEASE_TTL_S = 4
VM_LIST_POLL_INTERVAL_S = 1.0
STORE_OUTCOMES_TIMEOUT_S = 30.0
# Last part of the time of a planned stop, in which the last answers are written and outcomes of
# orders are stored.
STOP_RESERVE_S = 5.0
LAST_ANSWERS_TIMEOUT_S = 0.5
CLEAN_UP_TIMEOUT_S = 1.0
# Callers count the lifetime of a directory answer from its arrival; this allows for its transfer.
DIRECTORY_EXPIRY_MARGIN_S = 0.5

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class EntryApplication(application.Application):
    """Builds the components of an entry from its settings and runs them.

    :ivar settings: settings of this entry
    :ivar adapters: adapters to the external systems
    """

    settings: settings.EntrySettings
    adapters: external.Adapters
    _stop_serving: trio.Event = attrs.field(factory=trio.Event, init=False)
    _running_servers: int = attrs.field(default=0, init=False)
    _all_servers_stopped: trio.Event = attrs.field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the components, which are inactive until :meth:`start`."""
        entry_settings = self.settings
        self.lifetime = lifetime.Lifetime(entry_settings.stop_grace_s, STOP_RESERVE_S)
        self.rng = entry_settings.new_rng()
        self.metrics = metrics.Metrics(entry_settings.entry)
        self.platform = rate_limit.RateLimitedClient(
            self.adapters.platform,
            entry_settings.platform_calls_per_s,
            2 * entry_settings.platform_calls_per_s,
        )
        self.backends = self.adapters.backends
        self.configuration = holder.ConfigurationHolder()
        self.store = store.ConfigurationStore(self.platform)
        self.reader = reading.ConfigurationReader(self.store, self.configuration)
        self.plans = plan.PlanHolder()
        self.view = view.BackendView()
        self.poller = poller.Poller(self.configuration, self.backends, self.view, self.rng)
        self._build_membership()
        self._build_peers()
        self._build_planner()
        self._build_routing()
        self._build_followers()
        self._build_interfaces()
        gauges.register(self)

    async def start(self, nursery: trio.Nursery) -> None:
        """See :class:`application.Application`."""
        await nursery.start(self.peers.run)
        for run in (
            self.permit.run,
            self.revisions.run,
            self.hold_broadcaster.run,
            self.configuration_follower.run,
            self.plan_follower.run,
            self.roster_follower.run,
            self.entry_lease.run,
            self.planner_lease.run,
            self.router.run,
            self.poller.run,
            self._poll_vm_list,
            self.planner.run,
        ):
            nursery.start_soon(supervision.keep_running, run)
        await nursery.start(self.orders.run)
        await self._serve(nursery, self.callers, self.settings.callers_address)
        await self._serve(nursery, self.operators, self.settings.operators_address)
        events.log(
            LOGGER,
            events.Event.ENTRY_STARTED,
            entry=self.settings.entry,
            callers=self.settings.callers_address,
            operators=self.settings.operators_address,
        )

    async def stop(self) -> None:
        """See :class:`application.Application`."""
        events.log(
            LOGGER,
            events.Event.ENTRY_STOPPING,
            in_flight=self.callers.in_flight,
            ends_in_s=round(self.lifetime.end_s - trio.current_time(), 3),
        )
        self.roster.set_own_state(roster.EntryState.STOPPING)
        self.callers.begin_stop()
        self.revisions.broadcast_heartbeat()
        # Callers keep sending requests here while they cache the directory's old answers.
        expired_s = trio.current_time() + self.settings.directory_keep_s + DIRECTORY_EXPIRY_MARGIN_S
        with self.lifetime.bounded(expired_s):
            async with trio.open_nursery() as nursery:
                # Another entry can take over planning now, instead of after the last stream.
                nursery.start_soon(self.planner_lease.release)
                nursery.start_soon(self.entry_lease.release)
                nursery.start_soon(trio.sleep_forever)
        self._stop_serving.set()
        with trio.move_on_at(self.lifetime.end_s + LAST_ANSWERS_TIMEOUT_S):
            await self._all_servers_stopped.wait()
        last_s = self.lifetime.kill_s - CLEAN_UP_TIMEOUT_S
        remaining_s = max(0.0, last_s - trio.current_time())
        unstored = await self.orders.drain(min(STORE_OUTCOMES_TIMEOUT_S, remaining_s))
        if unstored:
            events.log(LOGGER, events.Event.OUTCOMES_LOST, count=unstored)
        with trio.move_on_at(last_s):
            await self.router.release()

    async def clean_up(self) -> None:
        """See :class:`application.Application`."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + CLEAN_UP_TIMEOUT_S):
            await self.adapters.close()
        events.log(LOGGER, events.Event.ENTRY_STOPPED, entry=self.settings.entry)

    def _build_membership(self) -> None:
        entry_settings = self.settings
        member = roster.Member(
            entry_settings.entry,
            entry_settings.availability_zone,
            entry_settings.callers_address,
            entry_settings.operators_address,
            entry_settings.peers_address,
            boot=uuid.uuid4().hex,
        )
        self.roster = roster.Roster(member)
        self.entry_lease = lease.LeasedKey(
            self.platform,
            roster.ENTRIES_PREFIX + entry_settings.entry,
            codec.to_json(member),
            roster.ENTRY_LEASE_TTL_S,
            self.rng,
        )

    def _build_peers(self) -> None:
        entry_settings = self.settings
        self.exchange = exchange.Exchange()
        self.facts = facts.FactTable(facts.EntryFact(self.roster.own, facts.new_incarnation()))
        self.revisions = revisions.RevisionSync(
            self.exchange,
            self.configuration,
            self.reader,
            self.plans,
            self.roster,
            self.facts,
        )
        self.hold_broadcaster = holds.HoldBroadcaster(
            entry_settings.entry,
            self.exchange,
            self.configuration,
            self.store,
            self.reader.refresh,
            self.rng,
        )
        self.peers = streams.PeerStreams(
            handshake.Identity(entry_settings.entry, self.roster.own.boot),
            entry_settings.peers_address,
            entry_settings.peer_key,
            self.adapters.peers,
            self.exchange,
            self._peer_addresses,
            self.revisions.compose_heartbeat,
            self.rng,
        )

        self.permit = permit.WorkPermit(
            self.configuration,
            self.reader,
            self.roster,
            self.revisions.peer_numbers,
            self.peers.disconnect_all,
            self.rng,
        )

    def _peer_addresses(self) -> set[str]:
        member_addresses = {member.peers_address for member in self.roster.members()}
        return (member_addresses | set(self.settings.peers)) - {self.settings.peers_address}

    def _build_planner(self) -> None:
        self.planner_lease = lease.LeasedKey(
            self.platform,
            planner.PLANNER_KEY,
            self.settings.entry.encode(),
            PLANNER_LEASE_TTL_S,
            self.rng,
        )
        self.planner = planner.Planner(
            self.configuration,
            self.plans,
            self.view,
            spreading.Spreading(),
            self.platform,
            self.backends,
            self.planner_lease,
            self.settings.entry,
            self.settings.peers_address,
            peering.PeerProbe(self.exchange, self.adapters.peers),
            self.roster.own.boot,
        )
        peering.StepDownResponder(self.exchange, self.planner)
        peering.GenerationEndBroadcaster(self.exchange, self.view)

    def _build_routing(self) -> None:
        self.router = router.build_default(
            router.RouterDependencies(
                entry=self.settings.entry,
                availability_zone=self.settings.availability_zone,
                configuration=self.configuration,
                plans=self.plans,
                view=self.view,
                platform=self.platform,
                backends=self.backends,
                serving_entries=self._serving_entries,
                may_start=self.permit.may_start,
                rng=self.rng,
                max_in_flight=self.settings.max_requests_in_flight,
                exchange=self.exchange,
                lifetime=self.lifetime,
            )
        )
        self.orders = building.new_order_handler(
            self.roster, self.router.dispatcher.serve, self.platform, self.settings.peer_key
        )

    def _serving_entries(self) -> list[str]:
        members = self.roster.members()
        return [member.entry for member in members if member.state is roster.EntryState.SERVING]

    def _build_followers(self) -> None:
        follower = functools.partial(following.PrefixFollower, self.platform, rng=self.rng)
        self.configuration_follower = follower(store.PREFIX, self.reader.refresh)
        self.plan_follower = follower(plan.PLAN_PREFIX, self._refresh_plan)
        self.roster_follower = follower(roster.ENTRIES_PREFIX, self._refresh_roster)

    def _build_interfaces(self) -> None:
        entry_settings = self.settings
        self.callers = callers_app.CallersApp(
            self.configuration,
            self.permit,
            self.router.dispatcher,
            self.orders,
            self._new_directory(),
            self.metrics,
            callers_reading.RequestLimits(
                entry_settings.body_limit_bytes,
                entry_settings.default_timeout_s,
                entry_settings.max_timeout_s,
            ),
            entry_settings.max_requests_in_flight,
            self.lifetime,
        )
        self.status_composer = status.StatusComposer(
            self.roster,
            self.facts,
            self.configuration,
            self.plans,
            self.view,
            self.router.finder,
            self.planner,
            self.configuration_follower,
        )
        operators_changes = changes.ChangeCoordinator(
            self.store,
            self.configuration,
            self.hold_broadcaster,
            self.roster,
            self.facts,
            self.reader.refresh,
        )
        self.operators = operators_app.OperatorsApp(
            operators_changes,
            self.configuration,
            self.status_composer,
            preview.Previewer(self.planner.policy, self.planner.input_builder),
            self.metrics,
            entry_settings.operator_token,
        )

    def _new_directory(self) -> directory.Directory:
        return directory.Directory(
            self.roster,
            self.facts,
            self.settings.directory_keep_s,
            self.exchange.connected,
            self.permit.may_start,
            self.rng,
        )

    async def _serve(self, nursery: trio.Nursery, app, address: str) -> None:
        self._running_servers += 1
        await nursery.start(self._serve_until_stop, app, address)

    async def _serve_until_stop(self, app, address: str, *, task_status) -> None:
        await self.adapters.server.serve(app, address, self._stop_serving, task_status=task_status)
        self._running_servers -= 1
        if not self._running_servers:
            self._all_servers_stopped.set()

    async def _poll_vm_list(self) -> None:
        while True:
            try:
                self.view.platform_leaving = await self.adapters.vm_list.read_leaving()
            except vms.VmListError as error:
                LOGGER.debug("cannot read the list of VMs: %s", error)
            await trio.sleep(VM_LIST_POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    async def _refresh_plan(self) -> int:
        result = await self.platform.read(plan.PLAN_PREFIX)
        for item in result.items:
            try:
                self.plans.apply(plan.from_item(item))
            except codec.CodecError as error:
                LOGGER.error("cannot decode the stored plan %s: %s", item.key, error)
        return result.revision

    async def _refresh_roster(self) -> int:
        result = await self.platform.read(roster.ENTRIES_PREFIX)
        self.roster.replace_listed(result.items)
        self._remove_departed_entries()
        return result.revision

    def _remove_departed_entries(self) -> None:
        connected = self.exchange.connected()
        for fact in self.facts.others():
            entry = fact.member.entry
            if entry not in connected and not self.roster.is_listed(entry):
                self.facts.remove(entry)
                self.roster.remove(entry)
