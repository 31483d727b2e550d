"""Decodes the limits, backoffs and draining flags in the answers of backend servers."""

from __future__ import annotations

import logging
import re

import attrs

from toucanhold import events
from toucanhold.platform import headers
from toucanhold.registry import signals

# A plain decimal number; ``float`` would also accept "nan", "1_0" and digits of other scripts.
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
REFUSED_STATUS = 503
LEAVING_VALUE = "1"
# A longer backoff is considered unreadable, since it would idle the server for good.
MAX_BACKOFF_S = 3600.0
MAX_LOGGED_SOURCES = 1000
MAX_LOGGED_VALUE_LENGTH = 40

LOGGER = logging.getLogger(__name__)


@attrs.define(eq=False)
class SignalDecoder:
    """Decodes signals, and logs each server's first unreadable value of a header."""

    _logged: set[tuple[str, bytes]] = attrs.field(factory=set, init=False)

    def decode(self, server_id: str, status: int, lines: headers.HeaderLines) -> signals.Signals:
        """Return the signals in a server's answer.

        :param status: HTTP status of the answer
        """
        limit_text = headers.find_optional(lines, headers.RATE_LIMIT)
        limit_per_s = self._number(server_id, headers.RATE_LIMIT, limit_text)
        return signals.Signals(
            rate_limit_per_s=limit_per_s,
            is_rate_limit_unreadable=limit_text is not None and limit_per_s is None,
            backoff_s=self._backoff_s(server_id, lines) if status == REFUSED_STATUS else 0.0,
            is_leaving=self._is_leaving(server_id, lines),
        )

    def _backoff_s(self, server_id: str, lines: headers.HeaderLines) -> float:
        text = headers.find_optional(lines, headers.RETRY_AFTER)
        backoff_s = self._number(server_id, headers.RETRY_AFTER, text)
        if backoff_s is not None and backoff_s > MAX_BACKOFF_S:
            self._log(server_id, headers.RETRY_AFTER, f"at most {MAX_BACKOFF_S:g} s", text)
            return 0.0
        return backoff_s or 0.0

    def _is_leaving(self, server_id: str, lines: headers.HeaderLines) -> bool:
        text = headers.find_optional(lines, headers.LEAVING)
        if text is None:
            return False
        is_leaving = text.strip() == LEAVING_VALUE
        if not is_leaving:
            self._log(server_id, headers.LEAVING, LEAVING_VALUE, text)
        return is_leaving

    def _number(self, server_id: str, name: bytes, text: str | None) -> float | None:
        if text is None:
            return None
        if DECIMAL.fullmatch(text.strip()):
            return float(text)
        self._log(server_id, name, "a decimal number", text)
        return None

    def _log(self, server_id: str, name: bytes, expected: str, text: str) -> None:
        if (server_id, name) not in self._logged and len(self._logged) < MAX_LOGGED_SOURCES:
            self._logged.add((server_id, name))
            events.log(
                LOGGER,
                events.Event.SIGNAL_UNREADABLE,
                server=server_id,
                header=name.decode(),
                expected=expected,
                value=text[:MAX_LOGGED_VALUE_LENGTH],
            )
