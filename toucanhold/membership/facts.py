"""The state that entries publish about themselves, received directly or through peers."""

import time

import attrs

from toucanhold.membership import roster


@attrs.frozen
class EntryFact:
    """The state that one entry publishes about itself.

    :ivar member: the entry's membership record
    :ivar incarnation: start of its process, in milliseconds of wall clock; grows with each restart
    :ivar sequence: number of changes of this fact within one process
    :ivar configuration: number of the configuration in force on the entry
    :ivar plan_revision: highest revision of the plan on the entry
    :ivar holds: identifiers of the holds in force on the entry
    """

    member: roster.Member
    incarnation: int
    sequence: int = 0
    configuration: int = 0
    plan_revision: int = 0
    holds: tuple[str, ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """Sort key of the facts of one entry: the later fact has the greater one."""
        return self.incarnation, self.sequence


@attrs.define(eq=False)
class FactTable:
    """The latest fact of each entry, including this one.

    :ivar own: this entry's own fact
    """

    own: EntryFact
    _facts: dict[str, EntryFact] = attrs.field(factory=dict, init=False)
    _change_numbers: dict[str, int] = attrs.field(factory=dict, init=False)
    _last_change_number: int = attrs.field(default=0, init=False)
    _sent_numbers: dict[str, int] = attrs.field(factory=dict, init=False)

    def get(self, entry: str) -> EntryFact | None:
        """Return an entry's latest fact, or None."""
        return self.own if entry == self.own.member.entry else self._facts.get(entry)

    def others(self) -> tuple[EntryFact, ...]:
        """Return the latest facts of all other entries."""
        return tuple(self._facts.values())

    def update_own(self, **changes: object) -> None:
        """Change fields of this entry's own fact; the sequence grows if any value differs."""
        changed = attrs.evolve(self.own, **changes)
        if changed != self.own:
            self.own = attrs.evolve(changed, sequence=self.own.sequence + 1)
            self._mark_changed(self.own.member.entry)

    def merge(self, fact: EntryFact, source: str) -> bool:
        """Store another entry's fact; false if it is not later than the stored one.

        :param source: name of the entry from which the fact was received
        """
        entry = fact.member.entry
        if entry == self.own.member.entry:
            return False
        stored = self._facts.get(entry)
        # A delayed fact that arrives through another entry must not replace a later one. A changed
        # incarnation on the entry's own stream is always accepted: clocks differ, so the start of
        # the new process may appear to be earlier.
        is_restart = (
            source == entry and stored is not None and stored.incarnation != fact.incarnation
        )
        if stored is not None and fact.version <= stored.version and not is_restart:
            return False
        self._facts[entry] = fact
        self._mark_changed(entry)
        return True

    def remove(self, entry: str) -> None:
        """Remove an entry that has ended."""
        self._facts.pop(entry, None)
        self._change_numbers.pop(entry, None)

    def send_all_to(self, peer: str) -> None:
        """Make the next :meth:`pending_for` for this peer return all facts."""
        self._sent_numbers[peer] = -1

    def pending_for(self, peer: str) -> tuple[EntryFact, ...]:
        """Return the facts changed since the last call for this peer, without the peer's own."""
        sent_number, self._sent_numbers[peer] = (
            self._sent_numbers.get(peer, -1),
            self._last_change_number,
        )
        own = self.own.member.entry
        pending = [
            fact
            for entry, fact in self._facts.items()
            if self._is_pending(entry, sent_number, peer)
        ]
        return (
            (self.own, *pending)
            if self._change_numbers.get(own, 0) > sent_number
            else tuple(pending)
        )

    def _is_pending(self, entry: str, sent_number: int, peer: str) -> bool:
        return entry != peer and self._change_numbers.get(entry, 0) > sent_number

    def _mark_changed(self, entry: str) -> None:
        self._last_change_number += 1
        self._change_numbers[entry] = self._last_change_number


def new_incarnation() -> int:
    """Return the incarnation of a process that starts now, in milliseconds of wall clock."""
    return time.time_ns() // 1_000_000
