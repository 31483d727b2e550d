"""Injects faults into a simulated site and heals them."""

import trio

from tests.proof import history, network, site


def _record_fault(testbed: site.Site, text: str, *affected: str) -> None:
    testbed.history.record(history.FaultRecorded(text))
    for name in affected:
        testbed.disturbed_at_s[name] = trio.current_time()


def cut(testbed: site.Site, entry: str, target: str) -> None:
    """Partition an entry from ``platform``, a VM or another entry."""
    _record_fault(testbed, f"{entry} is cut from {target}", target)
    if target == "platform":
        testbed.platform.set_mode("silent", entry)
    elif target in testbed.servers:
        testbed.network.cut(entry, target)
    else:
        testbed.peers.partition(entry, target)


def heal(testbed: site.Site, entry: str, target: str) -> None:
    """Heal the partition between an entry and ``target``."""
    _record_fault(testbed, f"{entry} reaches {target} again", target)
    if target == "platform":
        testbed.platform.set_mode("up", entry)
    elif target in testbed.servers:
        testbed.network.heal(entry, target)
    else:
        testbed.peers.heal()


def platform_mode(testbed: site.Site, mode: str) -> None:
    """Set the key-value service to ``up``, ``down`` or ``slow`` for all live entries.

    For entries that are not alive it stays down.
    """
    _record_fault(testbed, f"the platform is {mode}")
    names = [name for name, entry in testbed.entries.items() if entry.is_alive]
    testbed.platform.set_mode(mode)
    for name in set(testbed.entries) - set(names):
        testbed.platform.faults[name].mode = "down"


def lose_commit(testbed: site.Site, lost_part: str, entry: str = "") -> None:
    """Lose the response (``answers``) or the request (``requests``) of the next commit.

    :param entry: the entry whose commit is affected; empty for all
    """
    _record_fault(testbed, f"the next commit's {lost_part} get lost")
    for name in [entry] if entry else testbed.entries:
        testbed.platform.faults[name].lose_kinds = ("kv/txn",)
        setattr(testbed.platform.faults[name], f"lose_{lost_part}", 1)


def kill_vm(testbed: site.Site, vm: str) -> None:
    """Terminate a VM without warning."""
    testbed.history.record(history.VmChanged(vm, "killed"))
    testbed.servers[vm].kill()
    testbed.pauser.resume(vm)


def restart_vm(testbed: site.Site, vm: str) -> None:
    """Restart a VM's program, cold and in no group."""
    testbed.servers[vm].kill()
    testbed.history.record(history.VmChanged(vm, "restarted"))
    testbed.vm_list.leaving -= {vm}
    testbed.servers[vm].boot()


def pause_vm(testbed: site.Site, vm: str) -> None:
    """Suspend a VM's tasks."""
    testbed.history.record(history.VmChanged(vm, "paused"))
    testbed.pauser.pause(vm)
    testbed.disturbed_at_s[vm] = trio.current_time()


def resume_vm(testbed: site.Site, vm: str) -> None:
    """Resume a VM's tasks."""
    testbed.history.record(history.VmChanged(vm, "resumed"))
    testbed.pauser.resume(vm)
    testbed.disturbed_at_s[vm] = trio.current_time()


def pause_entry(testbed: site.Site, name: str) -> None:
    """Suspend an entry's tasks."""
    testbed.pause_entry(name)


def resume_entry(testbed: site.Site, name: str) -> None:
    """Resume an entry's tasks."""
    testbed.resume_entry(name)


def turn_cold(testbed: site.Site, vm: str) -> None:
    """Turn a server cold without a restart."""
    testbed.history.record(history.VmChanged(vm, "turned cold"))
    testbed.servers[vm].turn_cold()


def start_leaving(testbed: site.Site, vm: str, listed: bool = False) -> None:
    """Make a VM start to leave.

    :param listed: announce it in the platform's list rather than in the VM's own report
    """
    testbed.history.record(history.VmChanged(vm, "leaves"))
    if listed:
        testbed.vm_list.leaving |= {vm}
    else:
        testbed.servers[vm].set_leaving()


def power_off_zone(testbed: site.Site, zone: str) -> None:
    """Terminate all engine VMs of an availability zone, which is one fabric domain."""
    for server in testbed.servers.values():
        if server.availability_zone == zone and server.fabric_domain:
            kill_vm(testbed, server.vm)


def slow_down(testbed: site.Site, process: str) -> trio.CancelScope:
    """Limit a process to a fifth of its time until the returned scope is cancelled."""
    _record_fault(testbed, f"{process} is slow", process)
    cancel_scope = trio.CancelScope()
    network.start_as("", testbed.nursery, testbed.run_slowed, process, cancel_scope)
    return cancel_scope


def restore_speed(testbed: site.Site, process: str, cancel_scope: trio.CancelScope) -> None:
    """Return a slowed process to full speed."""
    _record_fault(testbed, f"{process} has its speed again", process)
    cancel_scope.cancel()
