"""Detects requests, and parts of their prompts, that crash the backend servers that run them."""

from __future__ import annotations

import collections
import collections.abc
import logging
import math

import attrs
import trio

from toucanhold import events
from toucanhold.gateway import blame, crash_records, entries, sharing, signatures

# Changes are repeated to other entries for this long, as notices may be lost.
REPEAT_PERIOD_S = 3.0
MAX_RECORDS = 10_000
MAX_SOUND_PARTS = 4096
SWEEP_INTERVAL_S = 10.0
# Entries try a culprit one after the other once its block has ended. The next one waits until the
# result of the first is known, unless there are so many entries that the last would wait too long.
TRIAL_TURN_S = 1.0
MAX_TRIAL_SPREAD_S = 8.0
# An attempt whose result is not known by then no longer prevents another.
TRIAL_TIMEOUT_S = 5.0

LOGGER = logging.getLogger(__name__)


@attrs.frozen
class CrashReport:
    """Crashes of servers during a request or on a part, as entries announce them to each other.

    Entries report single crashes and not their number, because several may have seen the same one,
    or different ones at the same time.

    :ivar fingerprint: a key of a :class:`signatures.Signature`
    :ivar crashes: server ID and time since the crash in seconds, of each crash
    :ivar depth: see :class:`blame.Suspect`
    """

    fingerprint: str
    crashes: list[tuple[str, float]]
    depth: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether the number of crashes and their ages are within their bounds."""
        return 0 < len(self.crashes) <= blame.MAX_CRASHES and all(
            0 <= age_s < math.inf for _, age_s in self.crashes
        )


@attrs.define(eq=False)
class CrashTracker:
    """Records which servers crashed during which requests and on which parts, by their keys.

    :ivar entry_list: the entries that take turns to try culprits; None if this is the only one
    :ivar on_blocked: called with the key of a culprit, if one of its crashes was seen here
    :ivar on_cleared: called with the key of a culprit that was answered soundly here
    """

    entry_list: entries.EntryList | None = None
    on_blocked: collections.abc.Callable[[str], None] = lambda key: None
    on_cleared: collections.abc.Callable[[str], None] = lambda key: None
    # In order of the latest changes.
    _records: dict[str, crash_records.CrashRecord] = attrs.field(factory=dict, init=False)
    # Those with enough crashes to be culprits.
    _candidates: set[str] = attrs.field(factory=set, init=False)
    _culprits: frozenset[str] = attrs.field(default=frozenset(), init=False)
    _culprits_valid_until_s: float = attrs.field(default=-math.inf, init=False)
    # Trio clock times of sound answers on parts, and of those announced to other entries.
    _sound_s: collections.OrderedDict[str, float] = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    _sound_announced_s: dict[str, float] = attrs.field(factory=dict, init=False)
    _next_sweep_s: float = attrs.field(default=-math.inf, init=False)

    def record_crash(self, key: str, server_id: str, depth: int = 0) -> None:
        """Record that the connection to a server was lost during a request.

        :param depth: position of a part in the prompt
        """
        self._add(key, [(server_id, trio.current_time())], depth, "")

    def merge(self, report: CrashReport, entry: str) -> None:
        """Process the crashes that another entry reports.

        :param entry: name of that entry
        """
        newest_age_s = min(age_s for _, age_s in report.crashes)
        if newest_age_s <= blame.retention_s(report.fingerprint, len(report.crashes)):
            now_s = trio.current_time()
            crashes = [(server_id, now_s - age_s) for server_id, age_s in report.crashes]
            self._add(report.fingerprint, crashes, report.depth, entry)

    def merge_sound(self, key: str, age_s: float, entry: str) -> None:
        """Process a sound answer that another entry reports.

        :param age_s: time since the answer
        """
        if self._clear(key, trio.current_time() - age_s, entry):
            self._sound_announced_s[key] = trio.current_time()

    def restore(self, key: str, count: int, age_s: float) -> None:
        """Restore a number of crashes from before this entry started.

        :param age_s: time since the newest of them
        """
        record = self._records.setdefault(key, crash_records.CrashRecord(key))
        crashed_s = trio.current_time() - age_s
        if count > record.count and crashed_s > record.sound_s:
            record.restored_count = min(count, blame.MAX_CRASHES)
            record.restored_s = crashed_s
            record.crashed_s = max(record.crashed_s, crashed_s)
            self._update_candidate(record)

    def clear(self, key: str) -> None:
        """Discard the crashes of a request or part after a server has answered it soundly."""
        now_s = trio.current_time()
        if signatures.is_part(key):
            self._sound_s[key] = now_s
            self._sound_s.move_to_end(key)
            if len(self._sound_s) > MAX_SOUND_PARTS:
                self._sound_s.popitem(last=False)
        was_culprit = key in self.culprits()
        if self._clear(key, now_s, ""):
            if signatures.is_part(key):
                self._sound_announced_s[key] = now_s
            if was_culprit:
                self.on_cleared(key)

    def begin_trial(self, key: str) -> bool:
        """Record that a request is sent; return whether that tries a culprit."""
        if key not in self.culprits():
            return False
        self._records[key].trial_until_s = trio.current_time() + TRIAL_TIMEOUT_S
        return True

    def end_trial(self, key: str) -> None:
        """Record that the result of a trial is known, or that there is none."""
        if key in self._records:
            self._records[key].trial_until_s = -math.inf

    def is_blocked(self, key: str) -> bool:
        """Return whether a request or part may not be sent to any server for now."""
        return self.blocked_for_s(key) > 0

    def blocked_for_s(self, key: str) -> float:
        """Return for how long a request or part may not be sent to any server; 0 if it may."""
        if key not in self.culprits():
            return 0.0
        record, now_s = self._records[key], trio.current_time()
        until_s = max(record.block_end_s, record.trial_until_s)
        if until_s <= now_s:
            until_s = record.block_end_s + self._turn_s(key, record.count)
        return max(0.0, until_s - now_s)

    def count(self, key: str) -> int:
        """Return the number of crashes during a request or on a part, as known here."""
        record = self._records.get(key)
        return record.count if record is not None else 0

    def age_s(self, key: str) -> float:
        """Return the time since the newest crash; infinity without one."""
        record = self._records.get(key)
        return trio.current_time() - record.crashed_s if record is not None else math.inf

    def blocked_keys(self) -> list[str]:
        """Return the requests and parts that may not be sent to any server for now."""
        return [key for key in self.culprits() if self.is_blocked(key)]

    def culprits(self) -> frozenset[str]:
        """Return the requests and parts that are to blame, whether or not they may be tried."""
        if self._candidates and trio.current_time() >= self._culprits_valid_until_s:
            self._find_culprits()
        return self._culprits

    def to_announce(self, is_full: bool) -> list[CrashReport]:
        """Return the crashes to announce to other entries, the latest first.

        :param is_full: whether to include all crashes that count, besides recent changes
        """
        now_s = trio.current_time()
        reports = []
        for key, record in reversed(self._records.items()):
            if not is_full and now_s - record.changed_s > REPEAT_PERIOD_S:
                break
            if record.crashes and not record.is_expired:
                crashes = [(server_id, now_s - at_s) for server_id, at_s in record.crashes]
                reports.append(CrashReport(key, crashes, record.depth))
        return reports

    def sound_to_announce(self) -> dict[str, float]:
        """Return the parts that others may still suspect, with the time since a sound answer."""
        now_s = trio.current_time()
        self._sound_announced_s = {
            key: at_s
            for key, at_s in self._sound_announced_s.items()
            if now_s - at_s < REPEAT_PERIOD_S and key in self._records
        }
        return {key: now_s - self._records[key].sound_s for key in self._sound_announced_s}

    def _add(self, key: str, crashes: list[blame.Crash], depth: int, entry: str) -> None:
        self._evict()
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = crash_records.CrashRecord(
                key, sound_s=self._sound_s.get(key, -math.inf)
            )
        record.depth = max(record.depth, depth)
        if not entry:
            record.is_witnessed = True
        if any(at_s < record.sound_s for _, at_s in crashes):
            # The other entry does not know of the answer.
            self._sound_announced_s[key] = trio.current_time()
        if record.add(crashes):
            record.reported_by = entry
            self._records[key] = self._records.pop(key)
            self._update_candidate(record)

    def _clear(self, key: str, sound_s: float, entry: str) -> bool:
        record = self._records.get(key)
        if record is None or not record.clear(sound_s):
            return False
        if key in self._culprits:
            events.log(
                LOGGER,
                events.Event.REQUEST_CLEARED,
                fingerprint=key,
                reported_by=entry or None,
            )
        self._update_candidate(record)
        return True

    def _update_candidate(self, record: crash_records.CrashRecord) -> None:
        if record.count >= blame.CRASH_THRESHOLD:
            self._candidates.add(record.key)
            self._find_culprits()
        elif record.key in self._candidates:
            self._candidates.discard(record.key)
            self._find_culprits()

    def _find_culprits(self) -> None:
        suspects, valid_until_s = [], math.inf
        for key in self._candidates:
            record = self._records[key]
            if record.is_recently_sound:
                sound_until_s = record.sound_s + crash_records.RECENTLY_SOUND_S
                valid_until_s = min(valid_until_s, sound_until_s)
            else:
                suspects.append(record.suspect(key in self._culprits))
        self._culprits = frozenset(blame.culprits(suspects))
        self._culprits_valid_until_s = valid_until_s
        for key in self._culprits:
            self._report_blamed(self._records[key])

    def _turn_s(self, key: str, count: int) -> float:
        """Return how long after the end of a block this entry may try a culprit."""
        if self.entry_list is None:
            return 0.0
        others = self.entry_list.others()
        turn_s = min(TRIAL_TURN_S, MAX_TRIAL_SPREAD_S / (len(others) + 1))
        return turn_s * sharing.rank(f"{key}/{count}", self.entry_list.own, others)

    def _report_blamed(self, record: crash_records.CrashRecord) -> None:
        if record.count <= record.blamed_count:
            return
        record.blamed_count = record.count
        events.log(
            LOGGER,
            events.Event.REQUEST_CONDEMNED,
            fingerprint=record.key,
            servers=[server_id for server_id, _ in record.crashes],
            reported_by=record.reported_by or None,
        )
        if record.is_witnessed:
            self.on_blocked(record.key)

    def _evict(self) -> None:
        now_s = trio.current_time()
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + SWEEP_INTERVAL_S
            for key in [key for key, record in self._records.items() if record.is_expired]:
                self._forget(key)
        if len(self._records) >= MAX_RECORDS:
            oldest = next(iter(self._records))
            blameless = (key for key in self._records if key not in self._culprits)
            self._forget(next(blameless, oldest))

    def _forget(self, key: str) -> None:
        del self._records[key]
        self._sound_announced_s.pop(key, None)
        self._candidates.discard(key)
        self._culprits -= {key}
        self._culprits_valid_until_s = -math.inf
