"""What servers of the soak say of themselves, and checks that entries heed it."""

import random

import attrs
import trio

# Requests that a server bears beyond its limit, over all entries that it has told.
OVERAGE, SLACK, WINDOW_S = 1.5, 5, 4.0
# Time from a server's first word of its limit after which it must be kept.
CONTACT_S = 3.0
# Time from an answer passed on to a caller after which its entry counts as told.
TOLD_S = 0.5
# Time after a server asked for rest in which requests may still be on their way to it.
ON_THE_WAY_S = 0.5
MAX_REQUESTS_IN_REST = 2
# Time after an entry has passed on that a server leaves, within which it may still send to it.
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
    """What servers said, what reached them, and what excuses entries.

    :ivar headers: headers that servers add to each answer, by server
    :ivar arrivals: time, server and attempt of each request that reached a server
    :ivar passed_on: time, entry, server and header names of each answer that a caller received
    :ivar entries: entry that an attempt was sent to, and when
    :ivar refusing: seconds of rest that servers ask for as they refuse all requests, by server
    :ivar rests: time, server, attempt and seconds of each rest asked for
    :ivar departures: time, server and start of its process of each departure
    :ivar disturbances: name of an entry or server, with the start and end of each disturbance
    """

    headers: dict = attrs.field(factory=dict)
    arrivals: list = attrs.field(factory=list)
    passed_on: list = attrs.field(factory=list)
    entries: dict = attrs.field(factory=dict)
    limits: list = attrs.field(factory=list)
    refusing: dict = attrs.field(factory=dict)
    rests: list = attrs.field(factory=list)
    departures: list = attrs.field(factory=list)
    disturbances: list = attrs.field(factory=list)

    def response_headers(self, server):
        """Return the headers that a server adds to each answer."""
        return [
            (name.encode(), value.encode()) for name, value in self.headers.get(server, {}).items()
        ]

    def refuse(self, server, attempt):
        """Record that a server refuses an attempt; return the rest in s, or None if it does not."""
        rest_s = self.refusing.get(server)
        if rest_s is not None:
            self.rests.append((trio.current_time(), server, attempt, rest_s))
        return rest_s

    def entry_of(self, attempt):
        """Return the entry that an attempt was sent to; None for orders and probes of entries."""
        return self.entries.get(attempt, (None, 0.0))[0]

    def begin_disturbance(self, name):
        """Record that a disturbance of an entry or server begins; return a record to end it."""
        disturbance = [name, trio.current_time(), float("inf")]
        self.disturbances.append(disturbance)
        return disturbance

    def is_excused(self, name, start_s, end_s):
        """Return whether an entry or server was disturbed within a time or shortly before."""
        return any(
            disturbed == name and began_s <= end_s and ended_s + CONTACT_S >= start_s
            for disturbed, began_s, ended_s in self.disturbances
        )

    def told_s(self, entry, server, header, since_s):
        """Return when an entry first passed on an answer with a header; infinity for never."""
        return min(
            (
                time_s
                for time_s, by_entry, by_server, names in self.passed_on
                if (by_entry, by_server) == (entry, server) and header in names
                if time_s >= since_s
            ),
            default=float("inf"),
        )


@attrs.define(eq=False)
class SignalInjector:
    """Lets servers say random things of themselves, in parallel to the faults.

    :ivar reserved_targets: names of targets that have a fault now, shared with the faults
    """

    site: object
    record: SignalRecord
    reserved_targets: set

    async def run(self, duration_s):
        """Start signals for ``duration_s``; return when all have ended."""
        rng = random.Random(f"signals {self.site.seed}")
        end_s = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(rng.choice((self._limit, self._rest, self._leave)), rng)
                await trio.sleep(rng.uniform(0.7, 3.0))

    def _choose(self, rng):
        """Return a server that says nothing of itself now; None if the one drawn does."""
        server = rng.choice(list(self.site.server_proxies))
        is_quiet = server not in self.record.headers and server not in self.record.refusing
        return server if is_quiet else None

    async def _rest(self, rng):
        if server := self._choose(rng):
            self.record.refusing[server] = round(rng.uniform(1.0, 4.0), 2)
            await trio.sleep(rng.uniform(1.0, 6.0))
            del self.record.refusing[server]

    async def _leave(self, rng):
        server = self._choose(rng)
        if not server or server in self.reserved_targets:
            return
        self.reserved_targets.add(server)
        born_ms = self.site.fleet.servers[server].born_ms
        self.record.departures.append((trio.current_time(), server, born_ms))
        self.record.headers[server] = {"server-leaving": "1"}
        await trio.sleep(rng.uniform(4.0, 7.0))
        self.record.departures.append((trio.current_time(), server, None))
        del self.record.headers[server]
        await self.site.fleet.restart(server)
        self.reserved_targets.discard(server)

    async def _limit(self, rng):
        server = self._choose(rng)
        if not server:
            return
        rate_per_s = round(rng.uniform(0.0, 2.0), 2)
        limit = Limit(server, rate_per_s, trio.current_time())
        self.record.limits.append(limit)
        self.record.headers[server] = {"server-limit": str(rate_per_s)}
        for _ in range(rng.randint(1, 3)):
            await trio.sleep(rng.uniform(2.0, 4.0))
            self.record.headers[server] = {"server-limit": rng.choice(UNREADABLE_VALUES)}
            await trio.sleep(rng.uniform(0.1, 0.5))
            self.record.headers[server] = {"server-limit": str(rate_per_s)}
        limit.until_s = trio.current_time()
        del self.record.headers[server]


def check(record):
    """Return descriptions of all cases in which entries did not heed what servers said."""
    violations = [text for limit in record.limits for text in _check_limit(record, limit)]
    violations += [text for rest in record.rests for text in _check_rest(record, *rest)]
    return violations + list(_check_departures(record))


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
    told_s = record.told_s(entry, limit.server, "server-limit", limit.since_s)
    return told_s <= end_s - TOLD_S and not record.is_excused(entry, start_s, end_s)


def _check_rest(record, told_s, server, attempt, rest_s):
    entry = record.entry_of(attempt)
    start_s, end_s = told_s + ON_THE_WAY_S, told_s + rest_s
    if any(name is None or record.is_excused(name, told_s, end_s) for name in (entry, server)):
        return
    count = sum(
        start_s < time_s < end_s and by_server == server and record.entry_of(by_attempt) == entry
        for time_s, by_server, by_attempt in record.arrivals
    )
    if count > MAX_REQUESTS_IN_REST:
        yield f"rest: {server} got {count} requests from {entry} within {rest_s} s of {told_s:.2f}"


def _check_departures(record):
    """Yield requests that callers sent too long after their entry had passed on a departure."""
    leaving_since_s = {}
    for since_s, server, born_ms in record.departures:
        if born_ms is not None:
            leaving_since_s[server] = since_s
            continue
        began_s, until_s = leaving_since_s.pop(server), since_s
        for time_s, by_server, attempt in record.arrivals:
            entry, sent_s = record.entries.get(attempt, (None, 0.0))
            if by_server != server or entry is None or not began_s < time_s < until_s:
                continue
            told_s = record.told_s(entry, server, "server-leaving", began_s)
            if sent_s > told_s + DRAIN_S and not record.is_excused(entry, told_s, time_s):
                yield f"departure: {attempt} reached {server} from {entry} at {time_s:.2f}"
