"""The directory: which entries callers should use."""

import collections.abc
import hashlib
import random

import attrs
import trio

from toucanhold.membership import facts, roster

MAX_ADDRESSES = 8
SILENT_S = 3.0
KEEP_JITTER = 0.25


@attrs.define(eq=False)
class Directory:
    """Answers callers' questions for addresses.

    :ivar keep_s: longest time that callers may keep an answer
    :ivar connected: returns the names of the peers that a stream is up to
    :ivar is_ready: tells whether this entry takes requests
    """

    roster: roster.Roster
    facts: facts.FactTable
    keep_s: float
    connected: collections.abc.Callable[[], frozenset[str]]
    is_ready: collections.abc.Callable[[], bool]
    rng: random.Random
    _silent_since_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def answer(self, caller: str = "", availability_zone: str = "") -> dict:
        """Return the JSON answer: addresses in the order to try, and how long to keep it.

        :param caller: anything that tells callers apart
        :param availability_zone: where the caller is; empty where it does not say
        """
        chosen = sorted(
            self._usable(),
            key=lambda member: (
                member.availability_zone != availability_zone,
                _rank(caller, member.entry),
            ),
        )
        addresses = [
            {"address": member.callers_address, "availability_zone": member.availability_zone}
            for member in chosen[:MAX_ADDRESSES]
        ]
        # Callers that started together would otherwise ask again together, for ever.
        keep_s = self.keep_s * self.rng.uniform(1 - KEEP_JITTER, 1)
        return {"addresses": addresses, "keep_s": round(keep_s, 3)}

    def _usable(self) -> list[roster.Member]:
        self._note_silent()
        others = [member for member in self.roster.others() if self._is_usable(member)]
        own = self.roster.own
        if own.state is roster.EntryState.SERVING and self.is_ready():
            return [own, *others]
        return others

    def _is_usable(self, member: roster.Member) -> bool:
        if member.state is not roster.EntryState.SERVING:
            return False
        fact = self.facts.get(member.entry)
        if fact is not None and fact.member.boot == member.boot and not fact.configuration:
            return False
        # The platform's list drops a dead entry when its lease ends, and never while the platform
        # is out. An entry that is connected to nobody judges nobody: it is the one cut off.
        since_s = self._silent_since_s.get(member.entry)
        silent = since_s is not None and trio.current_time() - since_s >= SILENT_S
        return not silent or not self.connected()

    def _note_silent(self) -> None:
        connected, now_s = self.connected(), trio.current_time()
        silent = {member.entry for member in self.roster.others()} - connected
        self._silent_since_s = {entry: self._silent_since_s.get(entry, now_s) for entry in silent}


def _rank(caller: str, entry: str) -> bytes:
    # Each caller has an order of its own, so the load spreads, and the callers of an entry that
    # goes away spread over all others instead of falling on the next one.
    return hashlib.blake2b(f"{caller}\0{entry}".encode(), digest_size=8).digest()
