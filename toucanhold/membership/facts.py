"""What entries say of themselves, heard from them or through others."""

import time

import attrs

from toucanhold.membership import roster


@attrs.frozen
class EntryFact:
    """One entry's word on itself.

    :ivar incarnation: start of its process, milliseconds of wall clock; grows with each restart
    :ivar sequence: counts the changes of its word within one process
    :ivar configuration: number of the configuration in force there
    :ivar plan_revision: highest revision of the plan that it knows
    :ivar holds: identifiers of the holds in force there
    """

    member: roster.Member
    incarnation: int
    sequence: int = 0
    configuration: int = 0
    plan_revision: int = 0
    holds: tuple[str, ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """Tell which of two words of the same entry is the later one."""
        return self.incarnation, self.sequence


@attrs.define(eq=False)
class FactTable:
    """The latest word of each entry, this one among them.

    :ivar own: what this entry says of itself
    """

    own: EntryFact
    _facts: dict[str, EntryFact] = attrs.field(factory=dict, init=False)
    _stamps: dict[str, int] = attrs.field(factory=dict, init=False)
    _stamp: int = attrs.field(default=0, init=False)
    _told: dict[str, int] = attrs.field(factory=dict, init=False)

    def get(self, entry: str) -> EntryFact | None:
        """Return an entry's latest word."""
        return self.own if entry == self.own.member.entry else self._facts.get(entry)

    def others(self) -> tuple[EntryFact, ...]:
        """Return the latest words of all other entries."""
        return tuple(self._facts.values())

    def update_own(self, **changes: object) -> None:
        """Change this entry's own word."""
        changed = attrs.evolve(self.own, **changes)
        if changed != self.own:
            self.own = attrs.evolve(changed, sequence=self.own.sequence + 1)
            self._note(self.own.member.entry)

    def merge(self, fact: EntryFact, source: str) -> bool:
        """Take in an entry's word; false where a later one is known.

        :param source: the entry that told it
        """
        entry = fact.member.entry
        if entry == self.own.member.entry:
            return False
        known = self._facts.get(entry)
        # A word that took a detour must not bring back an older one. An entry's own stream is
        # always believed, since clocks differ: its new process may have started "earlier".
        direct = source == entry and known is not None and known.incarnation != fact.incarnation
        if known is not None and fact.version <= known.version and not direct:
            return False
        self._facts[entry] = fact
        self._note(entry)
        return True

    def forget(self, entry: str) -> None:
        """Drop an entry that is gone."""
        self._facts.pop(entry, None)
        self._stamps.pop(entry, None)

    def send_all_to(self, peer: str) -> None:
        """Have the next :meth:`pending_for` return everything."""
        self._told[peer] = -1

    def pending_for(self, peer: str) -> tuple[EntryFact, ...]:
        """Return what changed since the last call for this peer; its own word is left out."""
        told, self._told[peer] = self._told.get(peer, -1), self._stamp
        own = self.own.member.entry
        news = [fact for entry, fact in self._facts.items() if self._is_news(entry, told, peer)]
        return (self.own, *news) if self._stamps.get(own, 0) > told else tuple(news)

    def _is_news(self, entry: str, told: int, peer: str) -> bool:
        return entry != peer and self._stamps.get(entry, 0) > told

    def _note(self, entry: str) -> None:
        self._stamp += 1
        self._stamps[entry] = self._stamp


def new_incarnation() -> int:
    """Return the number of a process that starts now."""
    return time.time_ns() // 1_000_000
