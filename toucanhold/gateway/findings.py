"""Servers that entries found silent, and for how long they tell each other."""

from __future__ import annotations

import attrs
import trio

# Covers three notices: one lost datagram must not cost the finding.
REPEAT_S = 0.5
# A finding is acted on once in this time, however many entries repeat it.
ACCEPT_AGAIN_S = 1.0


@attrs.frozen
class _Finding:
    entry: str
    at_s: float
    is_local: bool


@attrs.define(eq=False)
class Findings:
    """What this entry found, and what it received."""

    _known: dict[str, _Finding] = attrs.field(factory=dict, init=False)

    def note(self, server_id: str, entry: str, is_local: bool) -> bool:
        """Take in a finding.

        :param is_local: whether it comes from this entry or one that reports to it
        :return: whether it is new
        """
        now_s = trio.current_time()
        known = self._known.get(server_id)
        if known is not None and now_s - known.at_s < ACCEPT_AGAIN_S:
            return False
        self._known[server_id] = _Finding(entry, now_s, is_local)
        return True

    def local(self) -> dict[str, str]:
        """Return what to pass up, and to other zones."""
        return {name: each.entry for name, each in self._recent().items() if each.is_local}

    def all(self) -> dict[str, str]:
        """Return what to pass down."""
        return {name: each.entry for name, each in self._recent().items()}

    def _recent(self) -> dict[str, _Finding]:
        now_s = trio.current_time()
        self._known = {
            name: each for name, each in self._known.items() if now_s - each.at_s < ACCEPT_AGAIN_S
        }
        return {name: each for name, each in self._known.items() if now_s - each.at_s < REPEAT_S}
