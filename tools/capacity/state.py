"""Measures size, memory and processing time of an entry's state by the number of VMs."""

import collections.abc
import gc
import random
import time
import tracemalloc
import typing

import attrs

from tools.capacity import slopes
from toucanhold import codec
from toucanhold.backends import client
from toucanhold.configuration import document, inventory, rules, snapshot
from toucanhold.membership import roster
from toucanhold.observing import view
from toucanhold.plans import plan

SIZES = (500, 1000, 2000, 4000)
ZONES = 11
VMS_PER_DOMAIN = 64
VMS_PER_REPLICA = 8
SERVICES = 20


def sample_document(vms: int) -> document.Document:
    """Return inventory and rules of a fleet with ``vms`` VMs."""
    vms_of_fleet = tuple(
        inventory.Vm(
            vm=f"vm-{number:05d}",
            address=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:9000",
            availability_zone=f"zone-{number % ZONES}",
            fabric_domain=f"fabric-{number % ZONES}-{number // ZONES // VMS_PER_DOMAIN}",
            accelerators=1,
            fencing=inventory.Fencing.CHECKED,
        )
        for number in range(vms)
    )
    replicas = vms // VMS_PER_REPLICA // SERVICES
    services = tuple(
        rules.Service(
            f"service-{number}",
            model=f"model-{number}",
            replicas=replicas,
            vms_per_replica=VMS_PER_REPLICA,
        )
        for number in range(SERVICES)
    )
    zones = tuple(rules.AvailabilityZone(f"zone-{number}") for number in range(ZONES))
    return document.Document(1, inventory.Inventory(vms_of_fleet), rules.Rules(services, zones))


def sample_configuration(vms: int) -> snapshot.Configuration:
    """Return the configuration of a fleet with ``vms`` VMs, decoded from its parts."""
    bodies = snapshot.encode_parts(sample_document(vms))
    parts = {name: snapshot.Part(name, 1, body) for name, body in bodies.items()}
    return snapshot.from_parts(1, parts)


def sample_report(number: int) -> client.Report:
    """Return a load report of a serving engine."""
    return client.Report(
        vm=f"vm-{number:05d}",
        boot_id=f"{number:032x}",
        warmth=client.Warmth.WARM,
        running=3,
        slots=8,
        group=f"fabric-{number % ZONES}-0/{number}",
        generation=number,
        model="model-1",
        version="1",
    )


def configuration_bytes(vms: int) -> float:
    """Return the size of the whole configuration in the key-value service."""
    return sum(len(body) for body in snapshot.encode_parts(sample_document(vms)).values())


def largest_part_bytes(vms: int) -> float:
    """Return the size of the largest value in the key-value service."""
    return max(len(body) for body in snapshot.encode_parts(sample_document(vms)).values())


def configuration_memory_kb(vms: int) -> float:
    """Return the memory of the decoded configuration."""
    return _memory_kb(lambda: sample_configuration(vms))


def zone_change_ms(vms: int) -> float:
    """Return the processor time to apply the removal of an availability zone."""
    body = codec.to_json(snapshot.ZonesOut(("zone-1",)))
    return _change_ms(sample_configuration(vms), snapshot.ZONES_PART, body)


def inventory_change_ms(vms: int) -> float:
    """Return the processor time to apply a change of one availability zone's inventory."""
    configuration = sample_configuration(vms)
    name = f"{snapshot.INVENTORY_PREFIX}zone-1"
    return _change_ms(configuration, name, configuration.parts[name].body)


def document_check_ms(vms: int) -> float:
    """Return the processor time to validate a whole document."""
    sample = sample_document(vms)
    return _cpu_ms(lambda: document.validate(sample))


def view_memory_kb(vms: int) -> float:
    """Return the memory of the latest report of every VM."""
    return _memory_kb(lambda: _populated_view(vms))


def plan_memory_kb(vms: int) -> float:
    """Return the memory of the plan of the whole fleet."""
    return _memory_kb(lambda: _populated_plans(vms))


def report_processing_ms(vms: int) -> float:
    """Return the processor time to decode and record one report of every VM."""
    fleet_view = view.BackendView()
    bodies = [codec.to_json(sample_report(number)) for number in range(vms)]
    timestamps = iter(range(1_000_000))

    def record_reports() -> None:
        now_s = float(next(timestamps))
        for body in bodies:
            report = codec.from_json(body, client.Report)
            fleet_view.record_report(report.vm, report, now_s)

    return _cpu_ms(record_reports)


def roster_decode_ms(entries: int) -> float:
    """Return the processor time to decode a roster of ``entries`` entries."""
    member = roster.Member("entry-0", "zone-0", "10.0.0.1:1", "10.0.0.1:2", "10.0.0.1:3")
    bodies = [
        codec.to_json(attrs.evolve(member, entry=f"entry-{number}")) for number in range(entries)
    ]
    return _cpu_ms(lambda: [codec.from_json(body, roster.Member) for body in bodies])


MEASUREMENTS: tuple[tuple[str, str, slopes.Measurement], ...] = (
    ("configuration in the key-value service", "bytes", configuration_bytes),
    ("largest value", "bytes", largest_part_bytes),
    ("configuration, decoded", "KB", configuration_memory_kb),
    ("put a take-out in force", "ms", zone_change_ms),
    ("put one zone's inventory in force", "ms", inventory_change_ms),
    ("check a document", "ms", document_check_ms),
    ("latest reports", "KB", view_memory_kb),
    ("plan", "KB", plan_memory_kb),
    ("take in one report of each VM", "ms", report_processing_ms),
    ("take in a list of as many entries", "ms", roster_decode_ms),
)


def _populated_view(vms: int) -> view.BackendView:
    fleet_view = view.BackendView()
    for number in range(vms):
        body = codec.to_json(sample_report(number))
        fleet_view.record_report(f"vm-{number:05d}", codec.from_json(body, client.Report), 1.0)
    return fleet_view


def _populated_plans(vms: int) -> plan.PlanHolder:
    rng = random.Random(1)
    plans = plan.PlanHolder()
    for domain in range(vms // VMS_PER_DOMAIN):
        groups = tuple(
            plan.Group(
                f"fabric-{domain}/{generation}",
                generation,
                f"service-{rng.randrange(SERVICES)}",
                tuple(f"vm-{rng.randrange(vms):05d}" for _ in range(VMS_PER_REPLICA)),
            )
            for generation in range(VMS_PER_DOMAIN // VMS_PER_REPLICA)
        )
        body = codec.to_json(plan.DomainPlan(f"fabric-{domain}", 1, len(groups), groups))
        decoded = codec.from_json(body, plan.DomainPlan)
        plans.apply(plan.VersionedDomainPlan(decoded, 1))
    return plans


def _change_ms(configuration: snapshot.Configuration, name: str, body: bytes) -> float:
    # Create a new part each time, since a part caches its decoded value.
    return _cpu_ms(
        lambda: configuration.merged(snapshot.Delta(1, 2, (snapshot.Part(name, 2, body),)))
    )


def _memory_kb(build: collections.abc.Callable[[], typing.Any]) -> float:
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = build()
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
        del result
    finally:
        tracemalloc.stop()
    return used / 1e3


def _cpu_ms(action: collections.abc.Callable[[], typing.Any]) -> float:
    action()
    started_s = time.process_time()
    action()
    return (time.process_time() - started_s) * 1e3
