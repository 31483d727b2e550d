"""Asks each backend server for its load report, one task each."""

import random

import attrs
import trio

from toucanhold.backends import client
from toucanhold.configuration import holder, inventory
from toucanhold.observing import view

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0
REFUSED_RECHECK_S = 0.1


@attrs.define(eq=False)
class Poller:
    """Keeps a polling task for each VM of the inventory."""

    configuration: holder.ConfigurationHolder
    backends: client.BackendClient
    view: view.View
    rng: random.Random
    _scopes: dict[inventory.Vm, trio.CancelScope] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Follow the inventory until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._follow(nursery)
                await self.configuration.wait_changed()

    def _follow(self, nursery: trio.Nursery) -> None:
        wanted = set(self.configuration.current.inventory.vms)
        for vm in set(self._scopes) - wanted:
            self._scopes.pop(vm).cancel()
            self.view.forget(vm.vm)
        for vm in wanted - set(self._scopes):
            self._scopes[vm] = trio.CancelScope()
            nursery.start_soon(self._poll, vm, self._scopes[vm])

    async def _poll(self, vm: inventory.Vm, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                interval_s = await self._poll_once(vm)
                # Without jitter all entries ask at the same moment and act on equally old reports.
                await trio.sleep(interval_s * self.rng.uniform(0.8, 1.2))

    async def _poll_once(self, vm: inventory.Vm) -> float:
        asked_at_s = trio.current_time()
        try:
            report = await self.backends.read_report(vm.address, POLL_TIMEOUT_S)
        except client.RefusedError as error:
            self.view.record_refusal(vm.vm, trio.current_time(), str(error))
            return POLL_INTERVAL_S if self.view.is_refused(vm.vm) else REFUSED_RECHECK_S
        except client.BackendError as error:
            self.view.record_failure(vm.vm, trio.current_time(), str(error))
            return POLL_INTERVAL_S
        if report.vm != vm.vm:
            self.view.record_failure(vm.vm, trio.current_time(), f"{report.vm} answered instead")
        else:
            self.view.record(vm.vm, report, asked_at_s)
        return POLL_INTERVAL_S
