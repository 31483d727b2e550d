"""Signals in the answers of the soak's servers, and checks that entries act on them."""

import collections.abc
import random

import attrs
import trio

# Requests that a server bears beyond its limit, from all entries that know the limit.
OVERAGE, SLACK, WINDOW_S = 1.5, 5, 4.0
# Time after a server first named its limit from which it must be kept.
CONTACT_S = 3.0
# Time after a caller received a limit from which its entry must keep it.
KNOWN_S = 0.5
# Time after a server asked for a backoff in which requests may still be on their way to it.
ON_THE_WAY_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
# Time after an entry has forwarded a draining flag in which it may still send to the server.
DRAIN_S = 2.0
UNREADABLE_VALUES = ("", "nan", "-1", "1e9", "much")


@attrs.define
class Limit:
    """A limit that a server names from one time to another."""

    server: str
    rate_per_s: float
    since_s: float
    until_s: float = float("inf")


@attrs.define(eq=False)
class SignalRecord:
    """Signals of servers, requests that reached them, and disturbances that excuse entries.

    :ivar headers: headers that servers add to each answer, by server
    :ivar arrivals: time, server and attempt of each request that reached a server
    :ivar forwarded: time, entry, server and header names of each answer that a caller received
    :ivar entries: entry that an attempt was sent to, and when
    :ivar refusing: seconds of backoff that servers which refuse all requests ask for, by server
    :ivar backoffs: time, server, attempt and seconds of each backoff asked for
    :ivar draining: server, start and end of each period in which it was draining
    :ivar disturbances: name of an entry or server, with the start and end of each disturbance
    :ivar outages: name of an entry or server, with the start and end of each time in which it was
        killed or stood still, or its links were disturbed, except pauses of servers
    """

    headers: dict = attrs.field(factory=dict)
    arrivals: list = attrs.field(factory=list)
    forwarded: list = attrs.field(factory=list)
    entries: dict = attrs.field(factory=dict)
    limits: list = attrs.field(factory=list)
    refusing: dict = attrs.field(factory=dict)
    backoffs: list = attrs.field(factory=list)
    draining: list = attrs.field(factory=list)
    disturbances: list = attrs.field(factory=list)
    outages: list = attrs.field(factory=list)

    def response_headers(self, server):
        """Return the headers that a server adds to each answer."""
        return [
            (name.encode(), value.encode()) for name, value in self.headers.get(server, {}).items()
        ]

    def refuse(self, server, attempt):
        """Record that a server refuses an attempt; return the backoff in s, None if it accepts."""
        backoff_s = self.refusing.get(server)
        if backoff_s is not None:
            self.backoffs.append((trio.current_time(), server, attempt, backoff_s))
        return backoff_s

    def entry_of(self, attempt):
        """Return the entry that an attempt was sent to; None for orders and probes of entries."""
        return self.entries.get(attempt, (None, 0.0))[0]

    def begin_disturbance(self, name, is_outage=True):
        """Record that a disturbance of an entry or server begins; return a record to end it."""
        disturbance = self.begin_outage(name) if is_outage else _period(name)
        self.disturbances.append(disturbance)
        return disturbance

    def begin_outage(self, name):
        """Record that an outage of an entry or server begins; return a record to end it."""
        outage = _period(name)
        self.outages.append(outage)
        return outage

    def has_outage(self, name, start_s, end_s):
        """Return whether an entry or server had an outage within a time."""
        return any(
            by_name == name and began_s <= end_s and ended_s >= start_s
            for by_name, began_s, ended_s in self.outages
        )

    def is_excused(self, name, start_s, end_s):
        """Return whether an entry or server was disturbed within a time or shortly before."""
        return any(
            disturbed == name and began_s <= end_s and ended_s + CONTACT_S >= start_s
            for disturbed, began_s, ended_s in self.disturbances
        )

    def last_restart_s(self, server, until_s):
        """Return when a server last came back from a disturbance; -infinity for never."""
        return max(
            (
                ended_s
                for name, _, ended_s in self.disturbances
                if name == server and ended_s <= until_s
            ),
            default=float("-inf"),
        )

    def first_forwarded_s(self, entry, server, header, since_s):
        """Return when an entry first forwarded an answer with a header; infinity for never."""
        return min(
            (
                time_s
                for time_s, by_entry, by_server, names in self.forwarded
                if (by_entry, by_server) == (entry, server) and header in names
                if time_s >= since_s
            ),
            default=float("inf"),
        )


@attrs.define(eq=False)
class SignalInjector:
    """Adds random signals to the answers of servers, in parallel to the faults.

    :ivar reserved_targets: names of targets that have a fault now, shared with the faults
    :ivar log: adds a description to the faults of the run
    """

    site: object
    record: SignalRecord
    reserved_targets: set
    log: collections.abc.Callable

    async def run(self, duration_s):
        """Start signals for ``duration_s``; return when all have ended."""
        rng = random.Random(f"signals {self.site.seed}")
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(
                    rng.choice((self._limit, self._ask_for_backoff, self._drain)), rng
                )
                await trio.sleep(rng.uniform(0.7, 3.0))

    def _choose(self, rng):
        """Return a random server, or None if it sends signals already."""
        server = rng.choice(list(self.site.server_proxies))
        is_quiet = server not in self.record.headers and server not in self.record.refusing
        return server if is_quiet else None

    async def _ask_for_backoff(self, rng):
        if server := self._choose(rng):
            self.record.refusing[server] = round(rng.uniform(1.0, 4.0), 2)
            self.log(f"{server} asks for {self.record.refusing[server]} s of backoff")
            await trio.sleep(rng.uniform(1.0, 6.0))
            del self.record.refusing[server]

    async def _drain(self, rng):
        server = self._choose(rng)
        if not server or server in self.reserved_targets:
            return
        self.reserved_targets.add(server)
        self.log(f"{server} is draining")
        period = [server, trio.current_time(), float("inf")]
        self.record.draining.append(period)
        self.record.headers[server] = {"server-leaving": "1"}
        await trio.sleep(rng.uniform(4.0, 7.0))
        period[-1] = trio.current_time()
        del self.record.headers[server]
        # Heads without a member stall, also if nobody knew that it was draining.
        outage = self.record.begin_outage(server)
        await self.site.fleet.make_unreachable(server, "dark")
        await trio.sleep(rng.uniform(0.1, 0.5))
        await self.site.fleet.restart(server)
        outage[-1] = trio.current_time()
        self.reserved_targets.discard(server)

    async def _limit(self, rng):
        server = self._choose(rng)
        if not server:
            return
        rate_per_s = round(rng.uniform(0.0, 2.0), 2)
        limit = Limit(server, rate_per_s, trio.current_time())
        self.log(f"{server} takes {rate_per_s} requests a second")
        self.record.limits.append(limit)
        self.record.headers[server] = {"server-limit": str(rate_per_s)}
        for _ in range(rng.randint(1, 3)):
            await trio.sleep(rng.uniform(2.0, 4.0))
            self.record.headers[server] = {"server-limit": rng.choice(UNREADABLE_VALUES)}
            await trio.sleep(rng.uniform(0.1, 0.5))
            self.record.headers[server] = {"server-limit": str(rate_per_s)}
        limit.until_s = trio.current_time()
        del self.record.headers[server]


def _period(name):
    return [name, trio.current_time(), float("inf")]


def check(record):
    """Return descriptions of all cases in which entries did not act on signals."""
    violations = [text for limit in record.limits for text in _check_limit(record, limit)]
    violations += [text for backoff in record.backoffs for text in _check_backoff(record, *backoff)]
    return violations + list(_check_draining(record))


def _check_limit(record, limit):
    bound = OVERAGE * limit.rate_per_s * WINDOW_S + SLACK
    arrivals = [each for each in record.arrivals if each[1] == limit.server]
    for end_s, _, _ in arrivals:
        start_s = end_s - WINDOW_S
        if not limit.since_s + CONTACT_S <= end_s <= limit.until_s or record.is_excused(
            limit.server, start_s, end_s
        ):
            continue
        counted = [
            attempt
            for time_s, _, attempt in arrivals
            if start_s < time_s <= end_s
            and _is_bound(record, record.entry_of(attempt), limit, start_s, end_s)
        ]
        if len(counted) > bound:
            yield (
                f"limit: {limit.server} got {len(counted)} requests in {WINDOW_S:g} s until "
                f"{end_s:.2f}, allowed {bound:g} at {limit.rate_per_s} a second"
            )


def _is_bound(record, entry, limit, start_s, end_s):
    known_s = record.first_forwarded_s(entry, limit.server, "server-limit", limit.since_s)
    return known_s <= end_s - KNOWN_S and not record.is_excused(entry, start_s, end_s)


def _check_backoff(record, known_s, server, attempt, backoff_s):
    entry = record.entry_of(attempt)
    start_s, end_s = known_s + ON_THE_WAY_S, known_s + backoff_s
    if any(name is None or record.is_excused(name, known_s, end_s) for name in (entry, server)):
        return
    count = sum(
        start_s < time_s < end_s and by_server == server and record.entry_of(by_attempt) == entry
        for time_s, by_server, by_attempt in record.arrivals
    )
    if count > MAX_REQUESTS_IN_BACKOFF:
        yield (
            f"backoff: {server} got {count} requests from {entry} within {backoff_s} s "
            f"of {known_s:.2f}"
        )


def _check_draining(record):
    """Yield requests that callers sent too long after their entry had forwarded the flag."""
    for server, began_s, until_s in record.draining:
        for time_s, by_server, attempt in record.arrivals:
            entry, sent_s = record.entries.get(attempt, (None, 0.0))
            if by_server != server or entry is None or not began_s < time_s < until_s:
                continue
            # A crash starts a new process, whose flag the entry does not know yet.
            since_s = max(began_s, record.last_restart_s(server, time_s))
            known_s = record.first_forwarded_s(entry, server, "server-leaving", since_s)
            if sent_s > known_s + DRAIN_S and not record.is_excused(entry, known_s, time_s):
                yield f"draining: {attempt} reached {server} from {entry} at {time_s:.2f}"
