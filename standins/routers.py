"""Real routing of several entries over in-memory backend servers, for tests on a mock clock."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import itertools
import random

import attrs
import trio

from standins import addresses, backends, memory
from toucanhold import codec
from toucanhold.backends import client
from toucanhold.configuration import holder, inventory, rules, snapshot
from toucanhold.observing import poller, view
from toucanhold.plans import plan
from toucanhold.routing import requests, router

SERVICE = "lookups"
REFUSED_PAUSE_S = 0.2
RouterBuilder = collections.abc.Callable[[router.RouterDependencies], router.Router]


@attrs.define(eq=False)
class RoutingEntry:
    """The routing of one entry and its dependencies."""

    name: str
    router: router.Router
    view: view.BackendView
    backends: backends.MemoryBackendClient
    _cancel_scopes: list[trio.CancelScope] = attrs.field(factory=list)

    def new_scope(self) -> trio.CancelScope:
        """Return a cancel scope that is cancelled when the entry is killed."""
        self._cancel_scopes.append(trio.CancelScope())
        return self._cancel_scopes[-1]

    def kill(self) -> None:
        """Cancel all of the entry's tasks at once, without a clean shutdown."""
        for scope in self._cancel_scopes:
            scope.cancel()

    def pause(self) -> None:
        """Pause the entry's connections to servers until :meth:`resume`."""
        self.backends.resume_event = trio.Event()

    def resume(self) -> None:
        """Resume after :meth:`pause`."""
        resume_event, self.backends.resume_event = self.backends.resume_event, None
        resume_event.set()


@attrs.define(eq=False)
class RoutingSite:
    """Entries, servers of one service, and the key-value service.

    :ivar build: makes an entry's router from its dependencies
    :ivar seed: seed of the entries' random number generators
    :ivar entries: running entries by name
    :ivar outcomes: number of requests by outcome: ``whole`` for a complete response, ``left`` for
        a caller that disconnected, else the slug of the problem
    :ivar token_count: returns the number of tokens that a server generates for a request
    :ivar has_groups: whether each server is rank 0 of a group, not a plain server
    """

    nursery: trio.Nursery
    servers: list[backends.Server]
    rules: rules.Rules
    build: RouterBuilder = router.build_default
    seed: int = 1
    platform: memory.MemoryPlatform = attrs.field(factory=memory.MemoryPlatform)
    entries: dict[str, RoutingEntry] = attrs.field(factory=dict)
    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    token_count: collections.abc.Callable = lambda request: 8
    has_groups: bool = False
    _numbers: itertools.count = attrs.field(factory=itertools.count, init=False)

    def add_entry(self, name: str) -> RoutingEntry:
        """Start an entry."""
        rng = random.Random(f"{self.seed}:{name}")
        observed_view = view.BackendView()
        backend_client = backends.MemoryBackendClient(
            {addresses.of(server.vm): server for server in self.servers},
            self.nursery,
            self.token_count,
        )
        configuration = holder.ConfigurationHolder(self._configuration())
        dependencies = router.RouterDependencies(
            entry=name,
            availability_zone="zone-a",
            configuration=configuration,
            plans=self._plans(),
            view=observed_view,
            platform=self.platform.client(name),
            backends=backend_client,
            serving_entries=lambda: sorted(self.entries),
            rng=rng,
        )
        entry = RoutingEntry(name, self.build(dependencies), observed_view, backend_client)
        self.entries[name] = entry
        report_poller = poller.Poller(configuration, backend_client, observed_view, rng)
        self.nursery.start_soon(self._run_entry, entry, report_poller)
        return entry

    def kill(self, name: str) -> None:
        """Kill an entry without a clean shutdown."""
        self.entries.pop(name).kill()

    def request(self, workspace: str = "w", timeout_s: float = 30, **fields):
        """Return an idempotent request for a stream."""
        return requests.CallerRequest(
            request_id=f"r{next(self._numbers)}",
            workspace=workspace,
            service=self.rules.services[0],
            method="GET",
            path="/",
            headers=(),
            body=b"",
            deadline_s=trio.current_time() + timeout_s,
            may_repeat=True,
            stream=True,
            **fields,
        )

    async def send_request(
        self, entry: RoutingEntry, disconnect_after_s: float = 1e9, **fields
    ) -> str:
        """Send one request through an entry; count and return its outcome.

        :param disconnect_after_s: time after which the caller disconnects, seconds
        :param fields: parameters of :meth:`request`
        """
        outcome = "left"
        with trio.move_on_after(disconnect_after_s):
            try:
                async with entry.router.dispatcher.serve(self.request(**fields)) as answer:
                    async for _ in answer.chunks:
                        pass
                outcome = "whole"
            except requests.RequestError as error:
                outcome = error.problem.slug
        self.outcomes[outcome] += 1
        return outcome

    async def send_requests(self, entry: RoutingEntry, pause_s: float = 0.01, **fields) -> None:
        """Send requests one after another until cancelled or until the entry is killed.

        :param pause_s: time between two requests, seconds; longer after a refused one
        """
        with entry.new_scope():
            while True:
                outcome = await self.send_request(entry, **fields)
                is_refused = outcome not in ("whole", "left")
                await trio.sleep(REFUSED_PAUSE_S if is_refused else pause_s)

    def start_callers(self, entry: RoutingEntry, callers: int, **fields) -> None:
        """Start callers that each send requests to an entry continuously."""
        for _ in range(callers):
            self.nursery.start_soon(lambda: self.send_requests(entry, **fields))

    def _plans(self) -> plan.PlanHolder:
        """Return a plan in which each server is its own group; an empty one without groups."""
        plans = plan.PlanHolder()
        if self.has_groups:
            groups = tuple(
                plan.Group(f"g-{server.vm}", 1, SERVICE, (server.vm,)) for server in self.servers
            )
            for server, group in zip(self.servers, groups, strict=True):
                server.report_template = client.Report(
                    server.vm, "", group=group.group, generation=1, model="", version=""
                )
            plans.apply(plan.VersionedDomainPlan(plan.DomainPlan("d", groups=groups), 1))
        return plans

    def _configuration(self) -> snapshot.Configuration:
        vms = tuple(
            inventory.Vm(
                server.vm,
                addresses.of(server.vm),
                "zone-a",
                kind=inventory.VmKind.ENGINE if self.has_groups else inventory.VmKind.SERVICE,
                service="" if self.has_groups else SERVICE,
            )
            for server in self.servers
        )
        parts = {
            snapshot.RULES_PART: snapshot.Part(snapshot.RULES_PART, 1, codec.to_json(self.rules)),
            "inventory/zone-a": snapshot.Part(
                "inventory/zone-a", 1, codec.to_json(inventory.Inventory(vms))
            ),
        }
        return snapshot.from_parts(1, parts)

    async def _run_entry(self, entry: RoutingEntry, report_poller: poller.Poller) -> None:
        with entry.new_scope():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(report_poller.run)
                nursery.start_soon(entry.router.run)


def plain_rules(**fields) -> rules.Rules:
    """Return rules with one plain service in one availability zone.

    :param fields: further fields of :class:`rules.Service`
    """
    service = rules.Service(SERVICE, rules.ServiceKind.PLAIN, **fields)
    return rules.Rules(services=(service,), availability_zones=(rules.AvailabilityZone("zone-a"),))


@contextlib.asynccontextmanager
async def running(
    servers: list[backends.Server], entries: int = 7, **fields
) -> collections.abc.AsyncIterator[RoutingSite]:
    """Run a site with a number of entries, and cancel all of its tasks afterwards.

    :param fields: further fields of :class:`RoutingSite`
    """
    fields.setdefault("rules", plain_rules())
    failure: Exception | None = None
    async with trio.open_nursery() as nursery:
        site = RoutingSite(nursery, servers, **fields)
        for number in range(entries):
            site.add_entry(f"entry-{number}")
        try:
            yield site
        except Exception as error:
            # The nursery would wrap an error raised here in an exception group.
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
