"""Polls the load report of each backend server in a task of its own."""

import functools
import random

import attrs
import trio

from toucanhold import supervision
from toucanhold.backends import client
from toucanhold.configuration import holder, inventory
from toucanhold.observing import view

POLL_INTERVAL_S = 0.5
POLL_TIMEOUT_S = 1.0
REFUSED_RECHECK_S = 0.1


@attrs.define(eq=False)
class Poller:
    """Runs a polling task for each VM of the inventory."""

    configuration: holder.ConfigurationHolder
    backends: client.BackendClient
    view: view.BackendView
    rng: random.Random
    _poll_scopes: dict[inventory.Vm, trio.CancelScope] = attrs.field(factory=dict, init=False)

    async def run(self) -> None:
        """Start and cancel polling tasks as the inventory changes, until cancelled."""
        self._poll_scopes.clear()
        async with trio.open_nursery() as nursery:
            while True:
                self._update_tasks(nursery)
                await self.configuration.wait_changed()

    def _update_tasks(self, nursery: trio.Nursery) -> None:
        listed_vms = set(self.configuration.current.inventory.vms)
        for vm in set(self._poll_scopes) - listed_vms:
            self._poll_scopes.pop(vm).cancel()
            self.view.remove(vm.vm)
        for vm in listed_vms - set(self._poll_scopes):
            self._poll_scopes[vm] = trio.CancelScope()
            nursery.start_soon(self._poll, vm, self._poll_scopes[vm])

    async def _poll(self, vm: inventory.Vm, scope: trio.CancelScope) -> None:
        with scope:
            await supervision.keep_running(functools.partial(self._poll_repeatedly, vm))

    async def _poll_repeatedly(self, vm: inventory.Vm) -> None:
        while True:
            interval_s = await self._poll_once(vm)
            # Without jitter all entries would poll at the same moment and act on equally old
            # reports.
            await trio.sleep(interval_s * self.rng.uniform(0.8, 1.2))

    async def _poll_once(self, vm: inventory.Vm) -> float:
        asked_at_s = trio.current_time()
        try:
            report = await self.backends.read_report(vm.address, POLL_TIMEOUT_S)
        except client.ConnectRefusedError as error:
            self.view.record_refusal(vm.vm, trio.current_time(), str(error))
            return POLL_INTERVAL_S if self.view.is_refused(vm.vm) else REFUSED_RECHECK_S
        except client.BackendError as error:
            self.view.record_failure(vm.vm, trio.current_time(), str(error))
            return POLL_INTERVAL_S
        if report.vm != vm.vm:
            self.view.record_failure(
                vm.vm,
                trio.current_time(),
                f"expected the load report of {vm.vm}, got that of {report.vm}",
            )
        else:
            self.view.record_report(vm.vm, report, asked_at_s)
        return POLL_INTERVAL_S
