"""Limits the requests that this entry sends to cold backend servers."""

import abc
import zlib

import attrs
import trio

from toucanhold.backends import client
from toucanhold.observing import view
from toucanhold.routing import slots

# Engines report their load with a lag: a report may describe the state this long before it was
# requested.
REPORT_LAG_S = 2.0


class ColdPolicy(abc.ABC):
    """Limits this entry's work on cold backend servers."""

    @abc.abstractmethod
    def request_limit(self, vm: str, boot_id: str, bearable: int) -> int:
        """Return how many requests this entry may have in flight on a cold boot of ``vm`` now.

        :param bearable: number of requests that the cold server can run at once, for all entries
        """

    @abc.abstractmethod
    def record_unfinished_end(self, vm: str, boot_id: str) -> None:
        """Record that a request ended on this entry but may still run on the backend server."""


@attrs.define(eq=False)
class UnsharedLimit(ColdPolicy):
    """The baseline: each entry uses the whole limit, regardless of other entries."""

    def request_limit(self, vm: str, boot_id: str, bearable: int) -> int:
        """See :class:`ColdPolicy`."""
        return bearable

    def record_unfinished_end(self, vm: str, boot_id: str) -> None:
        """See :class:`ColdPolicy`."""


@attrs.define
class _BootState:
    """The state of one boot of a backend server, from its reports; times are monotonic.

    :ivar asked_at_s: when its latest report was requested
    :ivar previous_boot_seen_s: when the last report of the previous boot was requested
    :ivar idle_seen_s: when the latest report without running or waiting requests was requested
    :ivar bearable: smallest limit that it reported, in requests; None if it reported none
    :ivar unfinished_at_s: when requests ended on this entry that may still run on the server
    """

    boot_id: str
    asked_at_s: float
    previous_boot_seen_s: float = float("-inf")
    idle_seen_s: float = float("-inf")
    bearable: int | None = None
    unfinished_at_s: list[float] = attrs.field(factory=list)


@attrs.define(eq=False)
class SharedLimit(ColdPolicy):
    """Divides the limit of a cold boot among slots, each owned by one entry."""

    ownership: slots.SlotOwnership
    view: view.BackendView
    _boots: dict[str, _BootState] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Subscribe to the reports."""
        self.view.subscribe(self._on_report)

    def request_limit(self, vm: str, boot_id: str, bearable: int) -> int:
        """See :class:`ColdPolicy`."""
        boot = self._boots.get(vm)
        if boot is None or boot.boot_id != boot_id:
            return 0
        if boot.bearable is not None:
            bearable = min(bearable, boot.bearable)
        first_slot = zlib.crc32(f"{vm}\0{boot_id}".encode())
        usable = sum(
            self._is_usable((first_slot + offset) % slots.SLOT_COUNT, boot)
            for offset in range(bearable)
        )
        return max(0, usable - len(boot.unfinished_at_s))

    def record_unfinished_end(self, vm: str, boot_id: str) -> None:
        """See :class:`ColdPolicy`."""
        # A caller that disconnects, a deadline or a broken connection ends the request here at
        # once, while the engine may run it for some time: another one would exceed the limit.
        boot = self._boots.get(vm)
        if boot is not None and boot.boot_id == boot_id:
            boot.unfinished_at_s.append(trio.current_time())

    def _is_usable(self, slot: int, boot: _BootState) -> bool:
        acquired_at_s = self.ownership.acquired_at_s(slot)
        if acquired_at_s is None:
            return False
        # The slot's previous owner may have died or been paused with requests running. They have
        # ended once the server was idle after the slot changed owners, or has restarted since.
        return (
            boot.idle_seen_s >= acquired_at_s + REPORT_LAG_S
            or boot.previous_boot_seen_s >= acquired_at_s
        )

    def _on_report(self, vm: str) -> None:
        observation = self.view.observation(vm)
        if observation is None:
            self._boots.pop(vm, None)
            return
        report, asked_at_s = observation.report, observation.asked_at_s
        boot = self._boots.get(vm)
        if boot is None:
            boot = self._boots[vm] = _BootState(report.boot_id, asked_at_s)
        elif boot.boot_id != report.boot_id:
            boot = self._boots[vm] = _BootState(report.boot_id, asked_at_s, boot.asked_at_s)
        _update_boot(boot, report, asked_at_s)


def _update_boot(boot: _BootState, report: client.Report, asked_at_s: float) -> None:
    boot.asked_at_s = asked_at_s
    if report.bearable is not None:
        # Entries see a varying limit at different times; only the smallest is safe.
        smallest = report.bearable if boot.bearable is None else boot.bearable
        boot.bearable = min(smallest, report.bearable)
    if not report.running and not report.waiting:
        boot.idle_seen_s = asked_at_s
        boot.unfinished_at_s = [
            ended_at_s
            for ended_at_s in boot.unfinished_at_s
            if ended_at_s + REPORT_LAG_S > asked_at_s
        ]
