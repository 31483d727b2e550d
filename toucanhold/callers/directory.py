"""The directory: selects the entries to which callers send requests."""

import collections.abc
import hashlib
import random

import attrs
import trio

from toucanhold.membership import facts, roster

MAX_ADDRESSES = 8
UNREACHABLE_AFTER_S = 3.0
KEEP_TIME_JITTER = 0.25


@attrs.define(eq=False)
class Directory:
    """Selects the entries that a caller should use, from the roster and the peers' states.

    :ivar keep_s: longest time in seconds for which callers may cache a response
    :ivar connected_peers: returns the names of the entries to which a peer stream is open
    :ivar is_ready: returns whether this entry accepts requests
    :ivar rng: source of the jitter of cache times
    """

    roster: roster.Roster
    facts: facts.FactTable
    keep_s: float
    connected_peers: collections.abc.Callable[[], frozenset[str]]
    is_ready: collections.abc.Callable[[], bool]
    rng: random.Random
    _disconnected_since_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def lookup(self, caller: str = "", availability_zone: str = "") -> dict:
        """Return the JSON response: addresses in the order to try, and how long to cache them.

        :param caller: a string that identifies the caller; it determines the order of entries
        :param availability_zone: the caller's availability zone, whose entries come first; empty
            if unknown
        """
        chosen = sorted(
            self._usable_members(),
            key=lambda member: (
                member.availability_zone != availability_zone,
                _rendezvous_hash(caller, member.entry),
            ),
        )
        addresses = [
            {"address": member.callers_address, "availability_zone": member.availability_zone}
            for member in chosen[:MAX_ADDRESSES]
        ]
        # Without jitter, callers that started at the same time would refresh at the same time.
        keep_s = self.keep_s * self.rng.uniform(1 - KEEP_TIME_JITTER, 1)
        return {"addresses": addresses, "keep_s": round(keep_s, 3)}

    def _usable_members(self) -> list[roster.Member]:
        self._update_disconnected()
        others = [member for member in self.roster.others() if self._is_usable(member)]
        own = self.roster.own
        if own.state is roster.EntryState.SERVING and self.is_ready():
            return [own, *others]
        return others

    def _is_usable(self, member: roster.Member) -> bool:
        if member.state is not roster.EntryState.SERVING:
            return False
        peer_fact = self.facts.get(member.entry)
        if (
            peer_fact is not None
            and peer_fact.member.boot == member.boot
            and not peer_fact.configuration
        ):
            return False
        # The platform's list drops a dead entry only when its lease expires, and not at all during
        # a platform outage, so entries without a peer stream are left out here. An entry without
        # any peer stream is itself partitioned and leaves no entry out.
        disconnected_since_s = self._disconnected_since_s.get(member.entry)
        is_unreachable = (
            disconnected_since_s is not None
            and trio.current_time() - disconnected_since_s >= UNREACHABLE_AFTER_S
        )
        return not is_unreachable or not self.connected_peers()

    def _update_disconnected(self) -> None:
        connected_peers, now_s = self.connected_peers(), trio.current_time()
        disconnected = {member.entry for member in self.roster.others()} - connected_peers
        self._disconnected_since_s = {
            entry: self._disconnected_since_s.get(entry, now_s) for entry in disconnected
        }


def _rendezvous_hash(caller: str, entry: str) -> bytes:
    # Rendezvous hashing gives each caller its own order of entries. This spreads the load, and
    # when an entry fails, its callers spread over all other entries instead of one successor.
    return hashlib.blake2b(f"{caller}\0{entry}".encode(), digest_size=8).digest()
