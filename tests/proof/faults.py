"""Bringing faults into a site, and healing them."""

import trio

from tests.proof import history, network, site


def _note(own: site.Site, text: str, *whom: str) -> None:
    own.history.record(history.Fault(text))
    for name in whom:
        own.disturbed_s[name] = trio.current_time()


def cut(own: site.Site, entry: str, far: str) -> None:
    """Separate an entry from ``platform``, a VM, or another entry."""
    _note(own, f"{entry} is cut from {far}", far)
    if far == "platform":
        own.platform.set_mode("silent", entry)
    elif far in own.servers:
        own.network.cut(entry, far)
    else:
        own.peers.partition(entry, far)


def heal(own: site.Site, entry: str, far: str) -> None:
    """Join them again."""
    _note(own, f"{entry} reaches {far} again", far)
    if far == "platform":
        own.platform.set_mode("up", entry)
    elif far in own.servers:
        own.network.heal(entry, far)
    else:
        own.peers.heal()


def platform_mode(own: site.Site, mode: str) -> None:
    """Let the key-value service be ``up``, ``down`` or ``slow`` for all."""
    _note(own, f"the platform is {mode}")
    names = [name for name, each in own.entries.items() if each.alive]
    own.platform.set_mode(mode)
    for name in set(own.entries) - set(names):
        own.platform.faults[name].mode = "down"


def lose(own: site.Site, what: str, entry: str = "") -> None:
    """Lose the answer (``answers``) or the whole (``requests``) of the next commit."""
    _note(own, f"the next commit's {what} get lost")
    for name in [entry] if entry else own.entries:
        own.platform.faults[name].lose_kinds = ("kv/txn",)
        setattr(own.platform.faults[name], f"lose_{what}", 1)


def kill_vm(own: site.Site, vm: str) -> None:
    """End a VM without warning."""
    own.history.record(history.VmChanged(vm, "killed"))
    own.servers[vm].kill()
    own.pauser.resume(vm)


def restart_vm(own: site.Site, vm: str) -> None:
    """Start a VM's program anew: cold, in no group."""
    own.servers[vm].kill()
    own.history.record(history.VmChanged(vm, "restarted"))
    own.vm_list.leaving -= {vm}
    own.servers[vm].boot()


def pause_vm(own: site.Site, vm: str) -> None:
    """Stop a VM's tasks."""
    own.history.record(history.VmChanged(vm, "paused"))
    own.pauser.pause(vm)
    own.disturbed_s[vm] = trio.current_time()


def resume_vm(own: site.Site, vm: str) -> None:
    """Let a VM go on."""
    own.history.record(history.VmChanged(vm, "resumed"))
    own.pauser.resume(vm)
    own.disturbed_s[vm] = trio.current_time()


def pause_entry(own: site.Site, name: str) -> None:
    """Stop an entry's tasks."""
    own.pause_entry(name)


def resume_entry(own: site.Site, name: str) -> None:
    """Let an entry go on."""
    own.resume_entry(name)


def turn_cold(own: site.Site, vm: str) -> None:
    """Let a server lose its warmth without a restart."""
    own.history.record(history.VmChanged(vm, "turned cold"))
    own.servers[vm].turn_cold()


def leave(own: site.Site, vm: str, listed: bool = False) -> None:
    """Let a VM begin to leave: by its own report, or by the platform's list."""
    own.history.record(history.VmChanged(vm, "leaves"))
    if listed:
        own.vm_list.leaving |= {vm}
    else:
        own.servers[vm].set_leaving()


def dark(own: site.Site, zone: str) -> None:
    """End all VMs of an availability zone, which is one fabric domain."""
    for each in own.servers.values():
        if each.availability_zone == zone and each.fabric_domain:
            kill_vm(own, each.vm)


def slow(own: site.Site, owner: str) -> trio.CancelScope:
    """Give a process a fifth of its time until the returned scope is cancelled."""
    _note(own, f"{owner} is slow", owner)
    scope = trio.CancelScope()
    network.start_as("", own.nursery, own.slow, owner, scope)
    return scope


def end_slow(own: site.Site, owner: str, scope: trio.CancelScope) -> None:
    """Give a process all of its time again."""
    _note(own, f"{owner} has its speed again", owner)
    scope.cancel()
