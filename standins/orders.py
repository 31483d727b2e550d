"""Fake key-value service, dispatcher and entries for tests of orders, with fault injection."""

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
# Delay of a write that takes effect after its call has failed.
LATE_EFFECT_DELAY_S = 5.0


@attrs.define(eq=False)
class FakeKeyValueClient(keyvalue.KeyValueClient):
    """In-memory key-value service.

    :ivar items: items by key
    :ivar leases: ids of the leases in force
    :ivar faults: faults by call number: ``unavailable``, ``lost-request``, ``lost-answer``,
        ``late`` (takes effect ``LATE_EFFECT_DELAY_S`` later) or ``bug`` (an unexpected error)
    :ivar is_down: whether every call fails before it has an effect
    :ivar latency_s: duration of each call, seconds
    :ivar calls_per_s: capacity; calls above it wait and may time out
    :ivar timeout_s: client's time-out of a call, seconds
    :ivar calls: number of calls by kind
    """

    items: dict[str, keyvalue.Item] = attrs.field(factory=dict)
    leases: set[int] = attrs.field(factory=set)
    faults: dict[int, str] = attrs.field(factory=dict)
    is_down: bool = False
    latency_s: float = 0.005
    calls_per_s: float = float("inf")
    timeout_s: float = 2.0
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    revision: int = 1
    _delayed_effects: list = attrs.field(factory=list)
    _idle_from_s: float = 0.0

    async def close(self):
        """See :class:`keyvalue.KeyValueClient`."""

    async def read(self, prefix, min_mod_revision=0):
        """See :class:`keyvalue.KeyValueClient`."""
        matching_items = tuple(item for key, item in self.items.items() if key.startswith(prefix))
        return await self._call("read", lambda: keyvalue.RangeResult(self.revision, matching_items))

    async def read_key(self, key):
        """See :class:`keyvalue.KeyValueClient`."""
        return await self._call("read", lambda: self.items.get(key))

    async def commit(self, conditions, writes):
        """See :class:`keyvalue.KeyValueClient`."""
        return await self._call("write", lambda: self._commit(conditions, writes))

    async def grant_lease(self, ttl_s):
        """See :class:`keyvalue.KeyValueClient`."""
        return await self._call("grant", self._grant_lease)

    async def keep_alive(self, lease):
        """See :class:`keyvalue.KeyValueClient`."""
        return lease in self.leases

    async def revoke_lease(self, lease):
        """See :class:`keyvalue.KeyValueClient`."""
        self.expire_lease(lease)

    def watch(self, prefix, start_revision):
        """Fail, as orders are never watched."""
        raise keyvalue.UnavailableError("the fake key-value service supports no watches")

    def expire_lease(self, lease):
        """Expire a lease and delete its keys."""
        self.leases.discard(lease)
        self.items = {key: item for key, item in self.items.items() if item.lease != lease}

    async def _call(self, kind, effect):
        call_number = self.calls.total()
        self.calls[kind] += 1
        await self._wait_for_capacity()
        self._apply_due_effects()
        fault = "unavailable" if self.is_down else self.faults.get(call_number)
        if fault == "unavailable":
            raise keyvalue.UnavailableError("the key-value service is down")
        if fault == "bug":
            raise ValueError("injected fault: unexpected error in the client")
        if fault == "late":
            self._delayed_effects.append((trio.current_time() + LATE_EFFECT_DELAY_S, effect))
        if fault in ("lost-request", "late"):
            raise keyvalue.IndeterminateError(fault)
        result = effect()
        if fault == "lost-answer":
            raise keyvalue.IndeterminateError(fault)
        return result

    async def _wait_for_capacity(self):
        now_s = trio.current_time()
        self._idle_from_s = max(now_s, self._idle_from_s) + 1 / self.calls_per_s
        wait_s = self._idle_from_s - now_s + self.latency_s
        if wait_s > self.timeout_s:
            await trio.sleep(self.timeout_s)
            raise keyvalue.IndeterminateError(f"no response within {self.timeout_s} s")
        await trio.sleep(wait_s)

    def _apply_due_effects(self):
        due = [effect for due_s, effect in self._delayed_effects if due_s <= trio.current_time()]
        self._delayed_effects = [
            delayed for delayed in self._delayed_effects if delayed[0] > trio.current_time()
        ]
        for effect in due:
            with contextlib.suppress(keyvalue.KeyValueError):
                effect()

    def _grant_lease(self):
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
            previous = self.items.pop(write.key, absent)
            if write.value is not None:
                created = previous.create_revision or self.revision
                self.items[write.key] = keyvalue.Item(
                    write.key, write.value, created, self.revision, write.lease
                )
        return keyvalue.CommitResult(True, self.revision)


@attrs.define(eq=False)
class FakeDispatcher:
    """Dispatcher that runs orders and records which ran.

    :ivar executed_ids: request ids of the orders that ran, in order
    :ivar behaviours: behaviours of the next requests, one for each: ``ok``, ``not-sent``,
        ``lost-after-run``, ``lost-before-run`` or ``bug`` (an unexpected error)
    :ivar processing_s: time that an order runs, seconds
    :ivar body: body of the response
    """

    executed_ids: list[str] = attrs.field(factory=list)
    behaviours: list[str] = attrs.field(factory=list)
    processing_s: float = 0.1
    body: bytes = b"done"

    @contextlib.asynccontextmanager
    async def serve(self, request):
        """See :class:`dispatch.Dispatcher`."""
        behaviour = self.behaviours.pop(0) if self.behaviours else "ok"
        if behaviour == "not-sent":
            raise requests.RequestError(
                requests.Problem.NO_CAPACITY, requests.Outcome.DID_NOT_RUN, "no server", 1.0
            )
        await trio.sleep(self.processing_s)
        if behaviour != "lost-before-run":
            self.executed_ids.append(request.request_id)
        if behaviour == "bug":
            raise ValueError("injected fault: unexpected error in the dispatcher")
        if behaviour != "ok":
            raise requests.RequestError(
                requests.Problem.OUTCOME_UNKNOWN, requests.Outcome.UNKNOWN, "lost"
            )
        yield dispatch.Answer(200, ((b"content-type", b"text/plain"),), _single_chunk(self.body))


async def _single_chunk(body):
    yield body


@attrs.define(eq=False)
class FakeEntry:
    """An entry reduced to its order handler, which can be killed.

    :ivar cancel_scopes: cancel scopes of its tasks
    """

    order_handler: handling.OrderHandler
    cancel_scopes: list = attrs.field(factory=list)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run the order handler until killed."""
        with trio.CancelScope() as scope:
            self.cancel_scopes.append(scope)
            await self.order_handler.run(task_status=task_status)

    def kill(self):
        """Cancel all tasks at once."""
        for scope in self.cancel_scopes:
            scope.cancel()

    def issue_key(self):
        """Return a new order key."""
        return self.order_handler.issued_executor.issue("growers", 1)[0]

    async def send_order(self, request):
        """Send an order to this entry and return (status, outcome, body).

        The status is the problem's slug, and the body the time to wait before a repetition in
        seconds, when the order fails; the status is ``dead`` when the entry is killed first.
        """
        result = ("dead", "unknown", b"")
        with trio.CancelScope() as scope:
            self.cancel_scopes.append(scope)
            try:
                async with self.order_handler.serve(request) as answer:
                    body = b"".join([chunk async for chunk in answer.chunks])
                    result = (answer.status, "ran", body)
            except requests.RequestError as error:
                result = (error.problem.slug, error.outcome.value, error.retry_after_s)
        return result


def new_entry(name, store, sender, calls_per_s=1000.0, address="127.0.0.1:1"):
    """Return an entry that is not running.

    :param store: the key-value service
    :param sender: the dispatcher
    :param calls_per_s: limit of the calls of all entries together to the key-value service
    :param address: address at which callers reach the entry
    """
    boot = f"boot-of-{name}-{random.random()}"
    own_member = roster.Member(name, "zone-a", address, "", "", boot=boot)
    entries = roster.Roster(own_member)
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
    """Return an order with a new request id.

    :param key: idempotency key
    :param timeout_s: time until the deadline, seconds
    :param changes: further fields of :class:`requests.CallerRequest`
    """
    new_request.count += 1
    field_values = {
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
    return requests.CallerRequest(**(field_values | changes))


new_request.count = 0
