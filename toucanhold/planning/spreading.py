"""Placement policy that spreads replicas over availability zones with few moves."""

import collections
import collections.abc

import attrs

from toucanhold.backends import client
from toucanhold.configuration import rules
from toucanhold.planning import placement, placement_state
from toucanhold.plans import plan

DRAINABLE_ZONE_COST = 0.5
REBALANCE_AFTER_S = 60.0
MIN_REBALANCE_GAIN = 1.0


@attrs.frozen
class Strategy:
    """Options by which free VMs are assigned to services.

    :ivar leave_spares: prefer fabric domains that keep a spare VM over filling a domain completely
    :ivar large_first: among services of equal importance, place those with the largest groups first
    :ivar end_cold: end surplus groups even while the remaining ones are cold
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
class StrategyResult:
    """The placement state that a strategy reached, and the services left short of replicas."""

    state: placement_state.PlacementState
    shortfalls: tuple[placement.Shortfall, ...]

    def ranking(self) -> tuple:
        """Return a sort key: VMs of placed replicas by importance, the most important first.

        The greater key is the better outcome.
        """
        placed: collections.Counter[int] = collections.Counter()
        for service in self.state.services.values():
            placed_count = min(service.replicas, len(self.state.active_groups(service.name)))
            placed[service.importance] += placed_count * service.vms_per_replica
        return tuple(placed[importance] for importance in sorted(placed, reverse=True))


@attrs.frozen
class Spreading(placement.PlacementPolicy):
    """Places services in order of importance, each spread over availability zones.

    A healthy group ends for four reasons only: its service has more groups than wanted; a more
    important service cannot be placed otherwise; the model has a new version; or the service is
    concentrated in too few availability zones. In the last two cases a new group serves before the
    old one ends, provided that there is room for both.

    :ivar record_spares: record for each group a free VM that may replace a lost member while the
        key-value service is unavailable
    """

    record_spares: bool = True

    def place(self, inputs: placement.PlacementInput) -> placement.Placement:
        """See :class:`placement.PlacementPolicy`."""
        best = self._decide(inputs, STRATEGIES[0])
        for strategy in STRATEGIES[1:] if best.shortfalls else ():
            other = self._decide(inputs, strategy)
            if other.ranking() > best.ranking():
                best = other
        if not best.shortfalls:
            _upgrade_or_rebalance(best.state)
        else:
            _start_version_upgrades(best.state)
        if self.record_spares:
            best.state.assign_spares()
        return placement.Placement(best.state.changed_plans(), best.shortfalls)

    def _decide(self, inputs: placement.PlacementInput, strategy: Strategy) -> StrategyResult:
        state = placement_state.from_inputs(inputs)
        for service in state.services.values():
            _end_surplus(state, service, strategy)
        return StrategyResult(state, tuple(_place_missing(state, strategy)))


def zone_cost(state: placement_state.PlacementState, service: rules.Service, zone: str) -> float:
    """Return the cost of placing a service's next group in an availability zone, in groups.

    A drainable zone costs half a group more, so that a service with a single replica is placed in a
    zone that cannot be drained, where there is one.
    """
    drainable = zone in state.drainable_zones
    return state.count_in_zone(service.name, zone) + (DRAINABLE_ZONE_COST if drainable else 0)


def best_domain(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> str | None:
    """Return the fabric domain for a service's next group, or None where no domain has room."""
    for zone in _zones_by_cost(state, service):
        options = []
        for domain in state.domains_by_zone[zone]:
            members = state.pick_members(service, domain)
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
    busy_count = sum(map(state.has_work_in_progress, members))
    load_count = sum(not state.has_weights(vm, service) for vm in members)
    remaining_free = len(state.free[domain]) - len(members)
    # If a group loses a member, a spare VM in its domain completes it again after a single model
    # load. Without a spare the other members stay idle.
    no_spare = remaining_free == 0 if strategy.leave_spares else remaining_free
    return (busy_count, load_count, no_spare, remaining_free)


def _place_missing(
    state: placement_state.PlacementState, strategy: Strategy
) -> collections.abc.Iterator[placement.Shortfall]:
    services_by_importance = collections.defaultdict(list)
    for service in state.services.values():
        services_by_importance[service.importance].append(service)
    for importance in sorted(services_by_importance, reverse=True):
        remaining = [
            each for each in services_by_importance[importance] if _missing_count(state, each) > 0
        ]
        while remaining:
            service = min(remaining, key=lambda each: _fill_priority(state, each, strategy))
            if not _add_group(state, service, strategy):
                remaining.remove(service)
                placed_count = len(state.active_groups(service.name))
                yield placement.Shortfall(service.name, service.replicas, placed_count)
            elif _missing_count(state, service) <= 0:
                remaining.remove(service)


def _missing_count(state: placement_state.PlacementState, service: rules.Service) -> int:
    return service.replicas - len(state.active_groups(service.name))


def _fill_priority(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> tuple:
    size = -service.vms_per_replica if strategy.large_first else 0
    return (size, len(state.active_groups(service.name)) / service.replicas, service.name)


def _add_group(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> bool:
    domain = best_domain(state, service, strategy)
    if domain is None:
        victims = _preemption_victims(state, service)
        if not victims:
            return False
        for group in victims:
            state.end_group(group)
        domain = state.inputs.vms[victims[0].members[0]].fabric_domain
    state.form_group(service, domain)
    return True


def _preemption_victims(
    state: placement_state.PlacementState, service: rules.Service
) -> list[plan.Group]:
    """Return the cheapest set of less important groups whose end makes room for ``service``.

    Empty if no set in a single fabric domain frees enough VMs.
    """
    options = []
    for domain in state.groups:
        victims = _victims_in_domain(state, service, domain)
        if victims:
            zone = state.zone_of(victims[0])
            highest_importance = max(state.services[group.service].importance for group in victims)
            ended_vms = sum(len(group.members) for group in victims)
            vms_with_weights = sum(
                state.has_weights(vm, service) for vm in state.fitting_vms(service, domain)
            )
            cost = (
                highest_importance,
                ended_vms,
                -vms_with_weights,
                zone_cost(state, service, zone),
                domain,
            )
            options.append((cost, victims))
    return min(options, key=lambda option: option[0])[1] if options else []


def _victims_in_domain(
    state: placement_state.PlacementState, service: rules.Service, domain: str
) -> list[plan.Group]:
    needed = service.vms_per_replica - len(state.fitting_vms(service, domain))
    less_important = [
        group
        for group in state.groups[domain]
        if state.services[group.service].importance < service.importance
    ]
    # Among equally important services the one with the most replicas is preempted first, so that a
    # service's last replica is preempted last.
    less_important.sort(
        key=lambda group: (
            state.services[group.service].importance,
            -len(state.active_groups(group.service)),
            group.formed,
            group.generation_key,
        )
    )
    victims = []
    for group in less_important:
        if needed <= 0:
            break
        freed = _usable_member_count(state, service, group)
        if freed:
            victims.append(group)
            needed -= freed
    return victims if needed <= 0 else []


def _usable_member_count(
    state: placement_state.PlacementState, service: rules.Service, group: plan.Group
) -> int:
    return sum(
        member in state.inputs.usable_vms
        and state.inputs.vms[member].accelerators >= service.accelerators_per_vm
        for member in group.members
    )


def _end_surplus(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> None:
    """End a service's surplus groups."""
    _end_formed_surplus(state, service, strategy)
    formed = [group for group in state.active_groups(service.name) if group.formed]
    forming = [group for group in state.active_groups(service.name) if not group.formed]
    forming.sort(key=lambda group: (not placement.is_current(group, service), group.generation_key))
    open_slots = max(0, service.replicas - len(formed))
    for group in forming[:open_slots]:
        if not placement.is_current(group, service):
            state.end_group(group)
    for index, group in enumerate(forming[open_slots:]):
        if index > 0 or not _is_useful_replacement(state, service, group):
            state.end_group(group)


def _end_formed_surplus(
    state: placement_state.PlacementState, service: rules.Service, strategy: Strategy
) -> None:
    formed = [group for group in state.active_groups(service.name) if group.formed]
    # Cold groups can take only little load, so the groups that they replace stay until they are
    # warm.
    counted = [group for group in formed if strategy.end_cold or not _is_cold(state, group)]
    for _ in range(min(len(counted) - service.replicas, len(formed) - service.replicas)):
        group = max(formed, key=lambda each: _end_priority(state, service, each))
        formed.remove(group)
        state.end_group(group)


def _end_priority(
    state: placement_state.PlacementState, service: rules.Service, group: plan.Group
) -> tuple:
    outdated = not placement.is_current(group, service)
    current_cost = zone_cost(state, service, state.zone_of(group))
    return (outdated, current_cost, _is_cold(state, group), group.generation_key)


def _is_cold(state: placement_state.PlacementState, group: plan.Group) -> bool:
    report = state.inputs.reports.get(group.members[0])
    return report is not None and report.warmth is client.Warmth.COLD


def _is_useful_replacement(
    state: placement_state.PlacementState, service: rules.Service, group: plan.Group
) -> bool:
    formed = [each for each in state.active_groups(service.name) if each.formed]
    if any(not placement.is_current(each, service) for each in formed):
        return placement.is_current(group, service)
    current_cost = max(
        (zone_cost(state, service, state.zone_of(each)) for each in formed), default=0
    )
    # The zone's cost already includes the group itself, so it is subtracted.
    return current_cost - (zone_cost(state, service, state.zone_of(group)) - 1) > MIN_REBALANCE_GAIN


def _upgrade_or_rebalance(state: placement_state.PlacementState) -> None:
    if _start_version_upgrades(state) or state.inputs.settled_s < REBALANCE_AFTER_S:
        return
    if any(not group.formed for groups in state.groups.values() for group in groups):
        return
    for service in sorted(state.services.values(), key=lambda each: -each.importance):
        if _start_rebalancing(state, service):
            return


def _start_rebalancing(state: placement_state.PlacementState, service: rules.Service) -> bool:
    active = state.active_groups(service.name)
    if len(active) < 2 or len(active) > service.replicas:
        return False
    current_cost = max(zone_cost(state, service, state.zone_of(group)) for group in active)
    domain = best_domain(state, service, STRATEGIES[0])
    if domain is None:
        return False
    zone = state.free[domain][0].availability_zone
    if current_cost - zone_cost(state, service, zone) <= MIN_REBALANCE_GAIN:
        return False
    state.form_group(service, domain)
    return True


def _start_version_upgrades(state: placement_state.PlacementState) -> bool:
    """Start to replace outdated groups, at most one of each service at a time.

    :return: whether any service is being upgraded
    """
    is_upgrading = False
    for service in sorted(state.services.values(), key=lambda each: -each.importance):
        active = state.active_groups(service.name)
        outdated = [group for group in active if not placement.is_current(group, service)]
        if not outdated or any(not group.formed for group in active):
            continue
        if len(active) > service.replicas:
            continue
        domain = best_domain(state, service, STRATEGIES[0])
        if domain is None:
            group = max(outdated, key=lambda each: _end_priority(state, service, each))
            domain = state.inputs.vms[group.members[0]].fabric_domain
            state.end_group(group)
        if state.pick_members(service, domain):
            state.form_group(service, domain)
        is_upgrading = True
    return is_upgrading
