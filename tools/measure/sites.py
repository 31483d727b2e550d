"""Configurations of the two deployments' sizes, for measurements."""

import attrs

from standins import planners
from toucanhold.configuration import inventory, rules, snapshot


@attrs.frozen
class Site:
    """A deployment.

    :ivar domain_sizes: sizes of the fabric domains of each availability zone
    :ivar small_every: one VM in this many has only half the accelerators; 0 for none
    """

    name: str
    domain_sizes: tuple[tuple[int, ...], ...]
    services: tuple[rules.Service, ...]
    small_every: int = 0

    def vms(self) -> list[inventory.Vm]:
        """Return the engine VMs."""
        vms = []
        for zone, sizes in enumerate(self.domain_sizes):
            for domain, size in enumerate(sizes):
                vms += [self._vm(zone, domain, index, len(vms) + index) for index in range(size)]
        return vms

    def configuration(self, **other_rules) -> snapshot.Configuration:
        """Return a configuration whose first availability zone is not drainable.

        :param other_rules: further fields of the rules
        """
        zones = tuple(
            rules.AvailabilityZone(f"zone-{zone}", drainable=zone > 0)
            for zone in range(len(self.domain_sizes))
        )
        rule_fields = {"availability_zones": zones} | other_rules
        return planners.new_configuration(self.vms(), self.services, **rule_fields)

    def _vm(self, zone: int, domain: int, index: int, number: int) -> inventory.Vm:
        is_small = self.small_every and number % self.small_every == 0
        return inventory.Vm(
            vm=f"vm-{zone}-{domain}-{index}",
            address=f"127.0.{zone}.{domain}:{1000 + index}",
            availability_zone=f"zone-{zone}",
            fabric_domain=f"domain-{zone}-{domain}",
            accelerators=4 if is_small else 8,
            fencing=inventory.Fencing.CHECKED if number % 2 else inventory.Fencing.IGNORED,
        )


def _service(name: str, importance: int, replicas: int, vms: int, accelerators: int = 4):
    return rules.Service(
        name,
        model=f"{name}-model",
        version="1",
        replicas=replicas,
        vms_per_replica=vms,
        accelerators_per_vm=accelerators,
        importance=importance,
    )


TILIKIRJA = Site(
    "Tilikirja",
    ((9, 8), (9, 8), (8, 8)),
    (
        _service("footnotes", 1, 5, 2),
        _service("summaries", 5, 5, 3),
        _service("drafts", 10, 5, 4),
    ),
)
GRANITE_FURROW = Site(
    "Granite Furrow",
    ((6, 6, 5), (6, 6, 5), (6, 5, 5)),
    (
        _service("notes", 1, 6, 2),
        _service("probe-logs", 5, 7, 2),
        _service("advice", 10, 4, 4, accelerators=8),
    ),
    small_every=4,
)
ALL = (TILIKIRJA, GRANITE_FURROW)
