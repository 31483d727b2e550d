"""What this entry may send to cold backend servers."""

import abc
import zlib

import attrs
import trio

from toucanhold.backends import client
from toucanhold.observing import view
from toucanhold.routing import slots

# Engines report load with a lag: a report counts as the truth of this much before it was asked for.
REPORT_LAG_S = 2.0


class ColdPolicy(abc.ABC):
    """Limits this entry's work on cold backend servers."""

    @abc.abstractmethod
    def share(self, vm: str, boot_id: str, bearable: int) -> int:
        """Return how many requests this entry may have on a cold boot of ``vm`` now."""

    @abc.abstractmethod
    def note_unclean_end(self, vm: str, boot_id: str) -> None:
        """Note that a request ended here but perhaps still runs there."""


@attrs.define(eq=False)
class WholeLimit(ColdPolicy):
    """The baseline: each entry believes that the whole limit is its own."""

    def share(self, vm: str, boot_id: str, bearable: int) -> int:
        """See :class:`ColdPolicy`."""
        return bearable

    def note_unclean_end(self, vm: str, boot_id: str) -> None:
        """See :class:`ColdPolicy`."""


@attrs.define
class _Boot:
    """What reports told of one boot.

    :ivar asked_at_s: when its latest report was asked for
    :ivar after_s: a report asked for then came from an earlier boot
    :ivar idle_at_s: a report asked for then told that nothing runs
    :ivar bearable: smallest limit that it reported
    :ivar unclean_at_s: ends of requests that perhaps still run
    """

    boot_id: str
    asked_at_s: float
    after_s: float = float("-inf")
    idle_at_s: float = float("-inf")
    bearable: int | None = None
    unclean_at_s: list[float] = attrs.field(factory=list)


@attrs.define(eq=False)
class SlotShares(ColdPolicy):
    """Divides the limit of a cold boot among slots, of which each entry holds some."""

    ownership: slots.SlotOwnership
    view: view.View
    _boots: dict[str, _Boot] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        """Follow the reports."""
        self.view.subscribe(self._take_in)

    def share(self, vm: str, boot_id: str, bearable: int) -> int:
        """See :class:`ColdPolicy`."""
        boot = self._boots.get(vm)
        if boot is None or boot.boot_id != boot_id:
            return 0
        if boot.bearable is not None:
            bearable = min(bearable, boot.bearable)
        first = zlib.crc32(f"{vm}\0{boot_id}".encode())
        usable = sum(
            self._is_usable((first + unit) % slots.SLOTS, boot) for unit in range(bearable)
        )
        return max(0, usable - len(boot.unclean_at_s))

    def note_unclean_end(self, vm: str, boot_id: str) -> None:
        """See :class:`ColdPolicy`."""
        # A caller who left, a deadline or a cut connection frees the place here at once, while
        # the engine may go on for some time: a second request would be one too many.
        boot = self._boots.get(vm)
        if boot is not None and boot.boot_id == boot_id:
            boot.unclean_at_s.append(trio.current_time())

    def _is_usable(self, slot: int, boot: _Boot) -> bool:
        acquired_at_s = self.ownership.acquired_at_s(slot)
        if acquired_at_s is None:
            return False
        # The slot's last holder may have died or been paused with requests running. They are over
        # once the server was idle after the change of hands, or has booted since.
        return boot.idle_at_s >= acquired_at_s + REPORT_LAG_S or boot.after_s >= acquired_at_s

    def _take_in(self, vm: str) -> None:
        observation = self.view.observation(vm)
        if observation is None:
            self._boots.pop(vm, None)
            return
        report, asked_at_s = observation.report, observation.asked_at_s
        boot = self._boots.get(vm)
        if boot is None:
            boot = self._boots[vm] = _Boot(report.boot_id, asked_at_s)
        elif boot.boot_id != report.boot_id:
            boot = self._boots[vm] = _Boot(report.boot_id, asked_at_s, boot.asked_at_s)
        _update(boot, report, asked_at_s)


def _update(boot: _Boot, report: client.Report, asked_at_s: float) -> None:
    boot.asked_at_s = asked_at_s
    if report.bearable is not None:
        # A limit that goes up and down is seen by entries at different times; the smallest is safe.
        known = report.bearable if boot.bearable is None else boot.bearable
        boot.bearable = min(known, report.bearable)
    if not report.running and not report.waiting:
        boot.idle_at_s = asked_at_s
        boot.unclean_at_s = [
            ended_at_s for ended_at_s in boot.unclean_at_s if ended_at_s + REPORT_LAG_S > asked_at_s
        ]
