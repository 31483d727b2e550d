"""The entry: one process that is directory, router, observer and, at times, planner."""

from __future__ import annotations

import functools
import logging
import uuid

import attrs
import trio

from toucanhold import application, codec, events, external, gauges, metrics, settings
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
VM_LIST_INTERVAL_S = 1.0
STORE_OUTCOMES_LIMIT_S = 30.0
# Callers count the time from when an answer reached them.
LATE_CALLERS_S = 0.5

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class EntryApplication(application.Application):
    """Builds an entry's components from its settings and owns them."""

    settings: settings.EntrySettings
    adapters: external.Adapters
    _stop_serving: trio.Event = attrs.field(factory=trio.Event, init=False)
    _servers_left: int = attrs.field(default=0, init=False)
    _all_served: trio.Event = attrs.field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        """Build the components; none does anything before :meth:`start`."""
        own = self.settings
        self.rng = own.new_rng()
        self.metrics = metrics.Metrics(own.entry)
        self.platform = rate_limit.RateLimitedClient(
            self.adapters.platform, own.platform_calls_per_s, 2 * own.platform_calls_per_s
        )
        self.backends = self.adapters.backends
        self.configuration = holder.ConfigurationHolder()
        self.store = store.ConfigurationStore(self.platform)
        self.reader = reading.ConfigurationReader(self.store, self.configuration)
        self.plans = plan.PlanHolder()
        self.view = view.View()
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
        nursery.start_soon(self.permit.run)
        nursery.start_soon(self.revisions.run)
        nursery.start_soon(self.holds.run)
        nursery.start_soon(self.configuration_follower.run)
        nursery.start_soon(self.plan_follower.run)
        nursery.start_soon(self.roster_follower.run)
        nursery.start_soon(self.entry_lease.run)
        nursery.start_soon(self.planner_lease.run)
        nursery.start_soon(self.router.run)
        nursery.start_soon(self.poller.run)
        nursery.start_soon(self._watch_vm_list)
        nursery.start_soon(self.planner.run)
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
        events.log(LOGGER, events.Event.ENTRY_STOPPING, in_flight=self.callers.in_flight)
        self.roster.set_own_state(roster.EntryState.STOPPING)
        self.callers.begin_stop()
        self.revisions.announce()
        async with trio.open_nursery() as nursery:
            # Another entry takes over planning at once, not after the last stream has ended.
            nursery.start_soon(self.planner_lease.release)
            nursery.start_soon(self.entry_lease.release)
            # Callers keep old answers of the directory and go on coming for that long.
            nursery.start_soon(trio.sleep, self.settings.directory_keep_s + LATE_CALLERS_S)
        self._stop_serving.set()
        await self._all_served.wait()
        unstored = await self.orders.finish(STORE_OUTCOMES_LIMIT_S)
        if unstored:
            events.log(LOGGER, events.Event.OUTCOMES_LOST, count=unstored)
        await self.router.release()

    async def clean_up(self) -> None:
        """See :class:`application.Application`."""
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self.adapters.close()
        events.log(LOGGER, events.Event.ENTRY_STOPPED, entry=self.settings.entry)

    def _build_membership(self) -> None:
        own = self.settings
        member = roster.Member(
            own.entry,
            own.availability_zone,
            own.callers_address,
            own.operators_address,
            own.peers_address,
            boot=uuid.uuid4().hex,
        )
        self.roster = roster.Roster(member)
        self.entry_lease = lease.LeasedKey(
            self.platform,
            roster.ENTRIES_PREFIX + own.entry,
            codec.to_json(member),
            roster.ENTRY_LEASE_TTL_S,
            self.rng,
        )

    def _build_peers(self) -> None:
        own = self.settings
        self.exchange = exchange.Exchange()
        self.facts = facts.FactTable(facts.EntryFact(self.roster.own, facts.new_incarnation()))
        self.revisions = revisions.RevisionExchange(
            self.exchange,
            self.configuration,
            self.reader,
            self.plans,
            self.roster,
            self.facts,
        )
        self.holds = holds.HoldSpreader(
            own.entry,
            self.exchange,
            self.configuration,
            self.store,
            self.reader.refresh,
            self.rng,
        )
        self.peers = streams.PeerStreams(
            handshake.Identity(own.entry, self.roster.own.boot),
            own.peers_address,
            own.peer_key,
            self.adapters.peers,
            self.exchange,
            self._peer_addresses,
            self.revisions.heartbeat,
            self.rng,
        )

        self.permit = permit.WorkPermit(
            self.configuration,
            self.reader,
            self.roster,
            self.revisions.heard_numbers,
            self.peers.drop_all,
            self.rng,
        )

    def _peer_addresses(self) -> set[str]:
        known = {member.peers_address for member in self.roster.members()}
        return (known | set(self.settings.peers)) - {self.settings.peers_address}

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
                entries=self._serving_entries,
                may_start=self.permit.may_start,
                rng=self.rng,
                max_in_flight=self.settings.max_requests_in_flight,
                exchange=self.exchange,
            )
        )
        self.orders = building.new_keeper(
            self.roster, self.router.dispatcher.serve, self.platform, self.settings.peer_key
        )

    def _serving_entries(self) -> list[str]:
        members = self.roster.members()
        return [each.entry for each in members if each.state is roster.EntryState.SERVING]

    def _build_followers(self) -> None:
        follower = functools.partial(following.PrefixFollower, self.platform, rng=self.rng)
        self.configuration_follower = follower(store.PREFIX, self.reader.refresh)
        self.plan_follower = follower(plan.PLAN_PREFIX, self._refresh_plan)
        self.roster_follower = follower(roster.ENTRIES_PREFIX, self._refresh_roster)

    def _build_interfaces(self) -> None:
        own = self.settings
        self.callers = callers_app.CallersApp(
            self.configuration,
            self.permit,
            self.router.dispatcher,
            self.orders,
            self._new_directory(),
            self.metrics,
            callers_reading.Limits(own.body_limit_bytes, own.default_timeout_s, own.max_timeout_s),
            own.max_requests_in_flight,
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
        operators_changes = changes.Changes(
            self.store,
            self.configuration,
            self.holds,
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
            own.operator_token,
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
        self._servers_left += 1
        await nursery.start(self._serve_until_stop, app, address)

    async def _serve_until_stop(self, app, address: str, *, task_status) -> None:
        await self.adapters.server.serve(app, address, self._stop_serving, task_status=task_status)
        self._servers_left -= 1
        if not self._servers_left:
            self._all_served.set()

    async def _watch_vm_list(self) -> None:
        while True:
            try:
                self.view.platform_leaving = await self.adapters.vm_list.read_leaving()
            except vms.VmListError as error:
                LOGGER.debug("the list of VMs: %s", error)
            await trio.sleep(VM_LIST_INTERVAL_S * self.rng.uniform(0.8, 1.2))

    async def _refresh_plan(self) -> int:
        result = await self.platform.read(plan.PLAN_PREFIX)
        for item in result.items:
            try:
                self.plans.apply(plan.from_item(item))
            except codec.CodecError as error:
                LOGGER.error("the stored plan %s is not readable: %s", item.key, error)
        return result.revision

    async def _refresh_roster(self) -> int:
        result = await self.platform.read(roster.ENTRIES_PREFIX)
        self.roster.replace_listed(result.items)
        self._forget_gone_entries()
        return result.revision

    def _forget_gone_entries(self) -> None:
        connected = self.exchange.connected()
        for fact in self.facts.others():
            entry = fact.member.entry
            if entry not in connected and not self.roster.is_listed(entry):
                self.facts.forget(entry)
                self.roster.forget(entry)
