"""The directory: which entries callers should use."""

import attrs

from toucanhold.membership import roster


@attrs.define(eq=False)
class Directory:
    """Answers callers' questions for addresses.

    :ivar keep_s: how long callers may keep an answer
    """

    roster: roster.Roster
    keep_s: float

    def answer(self) -> dict:
        """Return the JSON answer: addresses in the order to try, and how long to keep it."""
        members = [
            member for member in self.roster.members() if member.state is roster.EntryState.SERVING
        ]
        addresses = [
            {"address": member.callers_address, "availability_zone": member.availability_zone}
            for member in members
        ]
        return {"addresses": addresses, "keep_s": self.keep_s}
