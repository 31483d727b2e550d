"""The chosen placement: replicas spread over availability zones, few moves, useful spares."""

import collections
import collections.abc

import attrs

from toucanhold.backends import client
from toucanhold.configuration import rules
from toucanhold.planning import placement, placement_state
from toucanhold.plans import plan

DRAINABLE_COST = 0.5
REBALANCE_AFTER_S = 60.0
REBALANCE_GAIN = 1.0


@attrs.frozen
class Strategy:
    """How free VMs are given out.

    :ivar leave_spares: rather leave a spare VM in each fabric domain than fill one up
    :ivar large_first: among services of equal importance, those with the largest groups first
    :ivar end_cold: end a group that is not needed even while the others are cold
    """

    leave_spares: bool = False
    large_first: bool = False
    end_cold: bool = False


STRATEGIES = (
    Strategy(leave_spares=True),
    Strategy(end_cold=True),
    Strategy(end_cold=True, large_first=True),
)


@attrs.frozen
class Outcome:
    """A decided board and what falls short on it."""

    state: placement_state.PlacementState
    shortfalls: tuple[placement.Shortfall, ...]

    def value(self) -> tuple:
        """Return what to compare outcomes by: replicas, those of important services first."""
        placed: collections.Counter[int] = collections.Counter()
        for service in self.state.services.values():
            have = min(service.replicas, len(self.state.active(service.name)))
            placed[service.importance] += have * service.vms_per_replica
        return tuple(placed[level] for level in sorted(placed, reverse=True))


@attrs.frozen
class Spreading(placement.PlacementPolicy):
    """Serves services by importance, each spread over availability zones.

    Healthy groups stay, but for four reasons: a service has more than it wants; a more important
    service cannot be served otherwise; the model has a new version; or a service stands in too
    few availability zones. In the last two a new group serves before the old one ends.

    :ivar record_spares: name a free VM for each group that may take a lost member's place while
        the key-value service is out
    """

    record_spares: bool = True

    def place(self, inputs: placement.PlacementInput) -> placement.Placement:
        """See :class:`placement.PlacementPolicy`."""
        best = self._outcome(inputs, STRATEGIES[0])
        for strategy in STRATEGIES[1:] if best.shortfalls else ():
            other = self._outcome(inputs, strategy)
            if other.value() > best.value():
                best = other
        if not best.shortfalls:
            _improve(best.state)
        else:
            _roll(best.state)
        if self.record_spares:
            best.state.assign_spares()
        return placement.Placement(best.state.changed_plans(), best.shortfalls)

    def _outcome(self, inputs: placement.PlacementInput, strategy: Strategy) -> Outcome:
        state = placement_state.from_inputs(inputs)
        for service in state.services.values():
            _trim(state, service, strategy)
        return Outcome(state, tuple(_fill(state, strategy)))


def zone_cost(state: placement_state.PlacementState, service: rules.Service, zone: str) -> float:
    """Return how crowded an availability zone is for a service.

    One that may be drained counts as half a group fuller: a service with a single replica stands
    in a zone that stays, where there is one.
    """
    drainable = zone in state.drainable_zones
    return state.count_in_zone(service.name, zone) + (DRAINABLE_COST if drainable else 0)


def best_domain(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> str | None:
    """Return the fabric domain for a service's next group, or None where no domain has room."""
    for zone in _zones_by_cost(state, service):
        options = []
        for domain in state.domains_by_zone[zone]:
            members = state.pick(service, domain)
            if members:
                options.append((_domain_cost(state, service, domain, members, strategy), domain))
        if options:
            return min(options)[1]
    return None


def _zones_by_cost(state: placement_state.PlacementState, service: rules.Service) -> list[str]:
    return sorted(state.domains_by_zone, key=lambda zone: (zone_cost(state, service, zone), zone))


def _domain_cost(
    state: placement_state.PlacementState,
    service: rules.Service,
    domain: str,
    members: list,
    strategy: Strategy,
) -> tuple:
    busy = sum(map(state.is_busy, members))
    loads = sum(not state.has_weights(vm, service) for vm in members)
    left = len(state.free[domain]) - len(members)
    # A group whose domain has a spare VM is whole again after one load when it loses a member;
    # without one its other members stand idle.
    no_spare = left == 0 if strategy.leave_spares else left
    return (busy, loads, no_spare, left)


def _fill(
    state: placement_state.PlacementState, strategy: Strategy
) -> collections.abc.Iterator[placement.Shortfall]:
    levels = collections.defaultdict(list)
    for service in state.services.values():
        levels[service.importance].append(service)
    for level in sorted(levels, reverse=True):
        short = [each for each in levels[level] if _missing(state, each) > 0]
        while short:
            service = min(short, key=lambda each: _turn(state, each, strategy))
            if not _add_group(state, service, strategy):
                short.remove(service)
                have = len(state.active(service.name))
                yield placement.Shortfall(service.name, service.replicas, have)
            elif _missing(state, service) <= 0:
                short.remove(service)


def _missing(state: placement_state.PlacementState, service: rules.Service) -> int:
    return service.replicas - len(state.active(service.name))


def _turn(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> tuple:
    size = -service.vms_per_replica if strategy.large_first else 0
    return (size, len(state.active(service.name)) / service.replicas, service.name)


def _add_group(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> bool:
    domain = best_domain(state, service, strategy)
    if domain is None:
        victims = _victims(state, service)
        if not victims:
            return False
        for group in victims:
            state.end(group)
        domain = state.inputs.vms[victims[0].members[0]].fabric_domain
    state.form(service, domain)
    return True


def _victims(state: placement_state.PlacementState, service: rules.Service) -> list[plan.Group]:
    """Return groups of less important services to end for ``service``; empty if none suffice."""
    options = []
    for domain in state.groups:
        victims = _victims_in(state, service, domain)
        if victims:
            zone = state.zone_of(victims[0])
            highest = max(state.services[group.service].importance for group in victims)
            ended = sum(len(group.members) for group in victims)
            held = sum(state.has_weights(vm, service) for vm in state.fitting(service, domain))
            cost = (highest, ended, -held, zone_cost(state, service, zone), domain)
            options.append((cost, victims))
    return min(options, key=lambda option: option[0])[1] if options else []


def _victims_in(
    state: placement_state.PlacementState, service: rules.Service, domain: str
) -> list[plan.Group]:
    needed = service.vms_per_replica - len(state.fitting(service, domain))
    lesser = [
        group
        for group in state.groups[domain]
        if state.services[group.service].importance < service.importance
    ]
    # A service's last replica goes last.
    lesser.sort(
        key=lambda group: (
            state.services[group.service].importance,
            -len(state.active(group.service)),
            group.formed,
            group.generation_key,
        )
    )
    victims = []
    for group in lesser:
        if needed <= 0:
            break
        gain = _gain(state, service, group)
        if gain:
            victims.append(group)
            needed -= gain
    return victims if needed <= 0 else []


def _gain(state: placement_state.PlacementState, service: rules.Service, group: plan.Group) -> int:
    return sum(
        member in state.inputs.usable
        and state.inputs.vms[member].accelerators >= service.accelerators_per_vm
        for member in group.members
    )


def _trim(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> None:
    """End groups that a service does not need."""
    _trim_formed(state, service, strategy)
    formed = [group for group in state.active(service.name) if group.formed]
    forming = [group for group in state.active(service.name) if not group.formed]
    forming.sort(key=lambda group: (not placement.is_current(group, service), group.generation_key))
    room = max(0, service.replicas - len(formed))
    for group in forming[:room]:
        if not placement.is_current(group, service):
            state.end(group)
    for index, group in enumerate(forming[room:]):
        if index > 0 or not _is_useful_move(state, service, group):
            state.end(group)


def _trim_formed(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> None:
    formed = [group for group in state.active(service.name) if group.formed]
    # Cold groups bear only a little load. The ones that they replace go when they are warm.
    counted = [group for group in formed if strategy.end_cold or not _is_cold(state, group)]
    for _ in range(min(len(counted) - service.replicas, len(formed) - service.replicas)):
        group = max(formed, key=lambda each: _expendability(state, service, each))
        formed.remove(group)
        state.end(group)


def _expendability(
    state: placement_state.PlacementState, service: rules.Service, group: plan.Group
) -> tuple:
    outdated = not placement.is_current(group, service)
    crowded = zone_cost(state, service, state.zone_of(group))
    return (outdated, crowded, _is_cold(state, group), group.generation_key)


def _is_cold(state: placement_state.PlacementState, group: plan.Group) -> bool:
    report = state.inputs.reports.get(group.members[0])
    return report is not None and report.warmth is client.Warmth.COLD


def _is_useful_move(
    state: placement_state.PlacementState, service: rules.Service, group: plan.Group
) -> bool:
    formed = [each for each in state.active(service.name) if each.formed]
    if any(not placement.is_current(each, service) for each in formed):
        return placement.is_current(group, service)
    crowded = max((zone_cost(state, service, state.zone_of(each)) for each in formed), default=0)
    # The group itself counts in its zone already.
    return crowded - (zone_cost(state, service, state.zone_of(group)) - 1) > REBALANCE_GAIN


def _improve(state: placement_state.PlacementState) -> None:
    if _roll(state) or state.inputs.settled_s < REBALANCE_AFTER_S:
        return
    if any(not group.formed for groups in state.groups.values() for group in groups):
        return
    for service in sorted(state.services.values(), key=lambda each: -each.importance):
        if _begin_move(state, service):
            return


def _begin_move(state: placement_state.PlacementState, service: rules.Service) -> bool:
    active = state.active(service.name)
    if len(active) < 2 or len(active) > service.replicas:
        return False
    crowded = max(zone_cost(state, service, state.zone_of(group)) for group in active)
    domain = best_domain(state, service, STRATEGIES[0])
    if domain is None:
        return False
    zone = state.free[domain][0].availability_zone
    if crowded - zone_cost(state, service, zone) <= REBALANCE_GAIN:
        return False
    state.form(service, domain)
    return True


def _roll(state: placement_state.PlacementState) -> bool:
    """Begin to replace groups with an old version, one of each service at a time."""
    rolled = False
    for service in sorted(state.services.values(), key=lambda each: -each.importance):
        active = state.active(service.name)
        outdated = [group for group in active if not placement.is_current(group, service)]
        if not outdated or any(not group.formed for group in active):
            continue
        if len(active) > service.replicas:
            continue
        domain = best_domain(state, service, STRATEGIES[0])
        if domain is None:
            group = max(outdated, key=lambda each: _expendability(state, service, each))
            domain = state.inputs.vms[group.members[0]].fabric_domain
            state.end(group)
        if state.pick(service, domain):
            state.form(service, domain)
        rolled = True
    return rolled
