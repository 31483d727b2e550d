"""What orders meet, in memory on trio's clock: a key-value service and a sender, with faults."""

import collections
import contextlib
import random

import attrs
import trio

from toucanhold import keyring
from toucanhold.configuration import rules
from toucanhold.coordination import keyvalue
from toucanhold.membership import roster
from toucanhold.orders import building, handling
from toucanhold.routing import dispatch, requests

SERVICE = rules.Service("releases", rules.ServiceKind.PLAIN)
LATE_S = 5.0


@attrs.define(eq=False)
class FakeKeyValue(keyvalue.KeyValueClient):
    """A store in memory.

    :ivar faults: by number of the call: "unavailable", "lost-request", "lost-answer" or "late"
    :ivar down: every call fails before it has an effect
    :ivar latency_s: time of each call
    :ivar calls_per_s: what the store takes; what comes faster waits, and may time out
    """

    items: dict[str, keyvalue.Item] = attrs.field(factory=dict)
    leases: set[int] = attrs.field(factory=set)
    faults: dict[int, str] = attrs.field(factory=dict)
    down: bool = False
    latency_s: float = 0.005
    calls_per_s: float = float("inf")
    timeout_s: float = 2.0
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    revision: int = 1
    _late: list = attrs.field(factory=list)
    _free_at_s: float = 0.0

    async def close(self):
        """See :class:`keyvalue.KeyValueClient`."""

    async def read(self, prefix, min_mod_revision=0):
        """See :class:`keyvalue.KeyValueClient`."""
        found = tuple(item for key, item in self.items.items() if key.startswith(prefix))
        return await self._call("read", lambda: keyvalue.RangeResult(self.revision, found))

    async def read_key(self, key):
        """See :class:`keyvalue.KeyValueClient`."""
        return await self._call("read", lambda: self.items.get(key))

    async def commit(self, conditions, writes):
        """See :class:`keyvalue.KeyValueClient`."""
        return await self._call("write", lambda: self._commit(conditions, writes))

    async def grant_lease(self, ttl_s):
        """See :class:`keyvalue.KeyValueClient`."""
        return await self._call("grant", self._grant)

    async def keep_alive(self, lease):
        """See :class:`keyvalue.KeyValueClient`."""
        return lease in self.leases

    async def revoke_lease(self, lease):
        """See :class:`keyvalue.KeyValueClient`."""
        self.lapse(lease)

    def watch(self, prefix, start_revision):
        """Not needed here: nothing watches orders."""
        raise keyvalue.UnavailableError("no watches here")

    def lapse(self, lease):
        """End a lease and delete its keys."""
        self.leases.discard(lease)
        self.items = {key: item for key, item in self.items.items() if item.lease != lease}

    async def _call(self, kind, effect):
        number = self.calls.total()
        self.calls[kind] += 1
        await self._wait_served()
        self._arrive()
        fault = "unavailable" if self.down else self.faults.get(number)
        if fault == "unavailable":
            raise keyvalue.UnavailableError("down")
        if fault == "bug":
            raise ValueError("a fault of our own")
        if fault == "late":
            self._late.append((trio.current_time() + LATE_S, effect))
        if fault in ("lost-request", "late"):
            raise keyvalue.IndeterminateError(fault)
        result = effect()
        if fault == "lost-answer":
            raise keyvalue.IndeterminateError(fault)
        return result

    async def _wait_served(self):
        now_s = trio.current_time()
        self._free_at_s = max(now_s, self._free_at_s) + 1 / self.calls_per_s
        wait_s = self._free_at_s - now_s + self.latency_s
        if wait_s > self.timeout_s:
            await trio.sleep(self.timeout_s)
            raise keyvalue.IndeterminateError("no answer in time")
        await trio.sleep(wait_s)

    def _arrive(self):
        due = [effect for due_s, effect in self._late if due_s <= trio.current_time()]
        self._late = [late for late in self._late if late[0] > trio.current_time()]
        for effect in due:
            with contextlib.suppress(keyvalue.KeyValueError):
                effect()

    def _grant(self):
        self.leases.add(len(self.leases) + 1000)
        return len(self.leases) + 999

    def _commit(self, conditions, writes):
        if any(write.lease and write.lease not in self.leases for write in writes):
            raise keyvalue.IndeterminateError("HTTP status 404: requested lease not found")
        absent = keyvalue.Item("", b"")
        for condition in conditions:
            item = self.items.get(condition.key, absent)
            if condition.mod_revision not in (None, item.mod_revision):
                return keyvalue.CommitResult(False, self.revision)
            if condition.create_revision not in (None, item.create_revision):
                return keyvalue.CommitResult(False, self.revision)
        self.revision += 1
        for write in writes:
            former = self.items.pop(write.key, absent)
            if write.value is not None:
                created = former.create_revision or self.revision
                self.items[write.key] = keyvalue.Item(
                    write.key, write.value, created, self.revision, write.lease
                )
        return keyvalue.CommitResult(True, self.revision)


@attrs.define(eq=False)
class FakeSender:
    """Runs orders, and notes the ids of those that ran.

    :ivar behaviours: one for each sending: "ok", "not-sent", "lost-after-run", "lost-before-run"
    """

    runs: list[str] = attrs.field(factory=list)
    behaviours: list[str] = attrs.field(factory=list)
    run_s: float = 0.1
    body: bytes = b"done"

    @contextlib.asynccontextmanager
    async def serve(self, request):
        """See :class:`dispatch.Dispatcher`."""
        behaviour = self.behaviours.pop(0) if self.behaviours else "ok"
        if behaviour == "not-sent":
            raise requests.RequestError(
                requests.Problem.NO_CAPACITY, requests.Outcome.DID_NOT_RUN, "no server", 1.0
            )
        await trio.sleep(self.run_s)
        if behaviour != "lost-before-run":
            self.runs.append(request.request_id)
        if behaviour == "bug":
            raise ValueError("a fault of our own")
        if behaviour != "ok":
            raise requests.RequestError(
                requests.Problem.OUTCOME_UNKNOWN, requests.Outcome.UNKNOWN, "lost"
            )
        yield dispatch.Answer(200, ((b"content-type", b"text/plain"),), _once(self.body))


async def _once(body):
    yield body


@attrs.define(eq=False)
class FakeEntry:
    """An entry's keeper in a nursery of its own, so that it can be ended."""

    keeper: handling.OrderHandler
    scopes: list = attrs.field(factory=list)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run until killed."""
        with trio.CancelScope() as scope:
            self.scopes.append(scope)
            await self.keeper.run(task_status=task_status)

    def kill(self):
        """End everything at once."""
        for scope in self.scopes:
            scope.cancel()

    def issue(self):
        """Return a new order key."""
        return self.keeper.issued_executor.issue("growers", 1)[0]

    async def order(self, request):
        """Return (status, outcome, body); "dead" where the entry ended first."""
        result = ("dead", "unknown", b"")
        with trio.CancelScope() as scope:
            self.scopes.append(scope)
            try:
                async with self.keeper.serve(request) as answer:
                    body = b"".join([chunk async for chunk in answer.chunks])
                    result = (answer.status, "ran", body)
            except requests.RequestError as error:
                result = (error.problem.slug, error.outcome.value, error.retry_after_s)
        return result


def new_entry(name, store, sender, calls_per_s=1000.0, address="127.0.0.1:1"):
    """Return an entry that is not running."""
    boot = f"boot-of-{name}-{random.random()}"
    own = roster.Member(name, "zone-a", address, "", "", boot=boot)
    entries = roster.Roster(own)
    return FakeEntry(
        building.new_order_handler(
            entries,
            sender.serve,
            store,
            keyring.from_text("peer-key"),
            trio.current_time,
            calls_per_s,
        )
    )


def new_request(key="key-1", body=b"{}", timeout_s=10.0, **changes):
    """Return an order."""
    new_request.count += 1
    values = {
        "request_id": f"request-{new_request.count}",
        "workspace": "growers",
        "service": SERVICE,
        "method": "POST",
        "path": "/valves/7",
        "headers": (),
        "body": body,
        "deadline_s": trio.current_time() + timeout_s,
        "may_repeat": False,
        "idempotency_key": key,
    }
    return requests.CallerRequest(**(values | changes))


new_request.count = 0
