"""Several entries' real routing over backend servers in memory, on trio's test clock."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import itertools
import random

import attrs
import trio

from standins import backends, memory
from toucanhold import codec
from toucanhold.backends import client
from toucanhold.configuration import holder, inventory, rules, snapshot
from toucanhold.observing import poller, view
from toucanhold.plans import plan
from toucanhold.routing import requests, router

SERVICE = "lookups"
REFUSED_PAUSE_S = 0.2
Builder = collections.abc.Callable[[router.RouterDependencies], router.Router]


@attrs.define(eq=False)
class Entry:
    """One entry's routing and what it rests on."""

    name: str
    router: router.Router
    view: view.BackendView
    backends: backends.MemoryBackends
    _scopes: list[trio.CancelScope] = attrs.field(factory=list)

    def new_scope(self) -> trio.CancelScope:
        """Return a scope that ends with the entry."""
        self._scopes.append(trio.CancelScope())
        return self._scopes[-1]

    def end(self) -> None:
        """End everything at once, without a goodbye."""
        for scope in self._scopes:
            scope.cancel()

    def pause(self) -> None:
        """Send and hear nothing until :meth:`wake`."""
        self.backends.awake = trio.Event()

    def wake(self) -> None:
        """Go on."""
        awake, self.backends.awake = self.backends.awake, None
        awake.set()


@attrs.define(eq=False)
class Fleet:
    """Entries, servers of one plain service, and the key-value service."""

    nursery: trio.Nursery
    servers: list[backends.Server]
    rules: rules.Rules
    build: Builder = router.build_default
    seed: int = 1
    platform: memory.MemoryPlatform = attrs.field(factory=memory.MemoryPlatform)
    entries: dict[str, Entry] = attrs.field(factory=dict)
    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    tokens: collections.abc.Callable = lambda request: 8
    as_groups: bool = False
    _numbers: itertools.count = attrs.field(factory=itertools.count, init=False)

    def add_entry(self, name: str) -> Entry:
        """Start an entry."""
        rng = random.Random(f"{self.seed}:{name}")
        seen = view.BackendView()
        clients = backends.MemoryBackends(
            {server.vm + ":1": server for server in self.servers}, self.nursery, self.tokens
        )
        configuration = holder.ConfigurationHolder(self._configuration())
        around = router.RouterDependencies(
            entry=name,
            availability_zone="zone-a",
            configuration=configuration,
            plans=self._plans(),
            view=seen,
            platform=self.platform.client(name),
            backends=clients,
            serving_entries=lambda: sorted(self.entries),
            rng=rng,
        )
        entry = Entry(name, self.build(around), seen, clients)
        self.entries[name] = entry
        polling = poller.Poller(configuration, clients, seen, rng)
        self.nursery.start_soon(self._run, entry, polling)
        return entry

    def kill(self, name: str) -> None:
        """End an entry at once; it says goodbye to nobody."""
        self.entries.pop(name).end()

    def request(self, workspace: str = "w", timeout_s: float = 30, **fields):
        """Return an idempotent streamed request."""
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

    async def ask(self, entry: Entry, leave_after_s: float = 1e9, **fields) -> str:
        """Send one request through an entry; return and count how it ended."""
        outcome = "left"
        with trio.move_on_after(leave_after_s):
            try:
                async with entry.router.dispatcher.serve(self.request(**fields)) as answer:
                    async for _ in answer.chunks:
                        pass
                outcome = "whole"
            except requests.RequestError as error:
                outcome = error.problem.slug
        self.outcomes[outcome] += 1
        return outcome

    async def keep_asking(self, entry: Entry, pause_s: float = 0.01, **fields) -> None:
        """Send one request after the other until cancelled or the entry dies."""
        with entry.new_scope():
            while True:
                outcome = await self.ask(entry, **fields)
                refused = outcome not in ("whole", "left")
                await trio.sleep(REFUSED_PAUSE_S if refused else pause_s)

    def flood(self, entry: Entry, callers: int, **fields) -> None:
        """Let several callers keep asking one entry."""
        for _ in range(callers):
            self.nursery.start_soon(lambda: self.keep_asking(entry, **fields))

    def _plans(self) -> plan.PlanHolder:
        """Return a plan in which each server is a group of its own, if they are groups."""
        plans = plan.PlanHolder()
        if self.as_groups:
            groups = tuple(
                plan.Group(f"g-{server.vm}", 1, SERVICE, (server.vm,)) for server in self.servers
            )
            for server, group in zip(self.servers, groups, strict=True):
                server.template = client.Report(
                    server.vm, "", group=group.group, generation=1, model="", version=""
                )
            plans.apply(plan.VersionedDomainPlan(plan.DomainPlan("d", groups=groups), 1))
        return plans

    def _configuration(self) -> snapshot.Configuration:
        vms = tuple(
            inventory.Vm(
                server.vm,
                server.vm + ":1",
                "zone-a",
                kind=inventory.VmKind.ENGINE if self.as_groups else inventory.VmKind.SERVICE,
                service="" if self.as_groups else SERVICE,
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

    async def _run(self, entry: Entry, polling: poller.Poller) -> None:
        with entry.new_scope():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(polling.run)
                nursery.start_soon(entry.router.run)


def plain_rules(**fields) -> rules.Rules:
    """Return rules with one plain service."""
    service = rules.Service(SERVICE, rules.ServiceKind.PLAIN, **fields)
    return rules.Rules(services=(service,), availability_zones=(rules.AvailabilityZone("zone-a"),))


@contextlib.asynccontextmanager
async def running(
    servers: list[backends.Server], entries: int = 7, **fields
) -> collections.abc.AsyncIterator[Fleet]:
    """Run a fleet, and end all of it afterwards."""
    fields.setdefault("rules", plain_rules())
    failure: Exception | None = None
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, servers, **fields)
        for number in range(entries):
            fleet.add_entry(f"entry-{number}")
        try:
            yield fleet
        except Exception as error:
            # Raised in here, the nursery would wrap it in a group.
            failure = error
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
