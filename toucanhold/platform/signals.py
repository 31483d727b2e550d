"""Decodes what backend servers say of themselves in the headers of their answers."""

from __future__ import annotations

import logging
import re

import attrs

from toucanhold import events
from toucanhold.platform import headers
from toucanhold.registry import signals

# A plain decimal number; ``float`` would also accept "nan", "1_0" and digits of other scripts.
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_LOGGED_SOURCES = 1000
MAX_LOGGED_VALUE_LENGTH = 40

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class SignalDecoder:
    """Decodes signals, and logs each server's first unreadable value of a header."""

    _logged: set[tuple[str, bytes]] = attrs.field(factory=set, init=False)

    def decode(self, server_id: str, lines: headers.HeaderLines) -> signals.Signals:
        """Return the signals in the headers of a server's answer."""
        limit_text = headers.find_optional(lines, headers.RATE_LIMIT)
        if limit_text is None:
            return signals.Signals()
        rate_limit_per_s = self._number(server_id, headers.RATE_LIMIT, limit_text)
        return signals.Signals(rate_limit_per_s, rate_limit_per_s is None)

    def _number(self, server_id: str, name: bytes, text: str) -> float | None:
        if DECIMAL.fullmatch(text.strip()):
            return float(text)
        if (server_id, name) not in self._logged and len(self._logged) < MAX_LOGGED_SOURCES:
            self._logged.add((server_id, name))
            events.log(
                LOGGER,
                events.Event.SIGNAL_UNREADABLE,
                server=server_id,
                header=name.decode(),
                expected="a decimal number",
                value=text[:MAX_LOGGED_VALUE_LENGTH],
            )
        return None
