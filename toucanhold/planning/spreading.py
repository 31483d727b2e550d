"""The chosen placement: replicas spread over availability zones, few moves, useful spares."""

import collections
import collections.abc

import attrs

from toucanhold.backends import client
from toucanhold.configuration import rules
from toucanhold.planning import board as boards
from toucanhold.planning import placement
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

    board: boards.Board
    shortfalls: tuple[placement.Shortfall, ...]

    def value(self) -> tuple:
        """Return what to compare outcomes by: replicas, those of important services first."""
        placed: collections.Counter[int] = collections.Counter()
        for service in self.board.services.values():
            have = min(service.replicas, len(self.board.active(service.name)))
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

    def place(self, facts: placement.PlacementInput) -> placement.Placement:
        """See :class:`placement.PlacementPolicy`."""
        best = self._outcome(facts, STRATEGIES[0])
        for strategy in STRATEGIES[1:] if best.shortfalls else ():
            other = self._outcome(facts, strategy)
            if other.value() > best.value():
                best = other
        if not best.shortfalls:
            _improve(best.board)
        else:
            _roll(best.board)
        if self.record_spares:
            best.board.assign_spares()
        return placement.Placement(best.board.changed_plans(), best.shortfalls)

    def _outcome(self, facts: placement.PlacementInput, strategy: Strategy) -> Outcome:
        board = boards.from_facts(facts)
        for service in board.services.values():
            _trim(board, service, strategy)
        return Outcome(board, tuple(_fill(board, strategy)))


def zone_cost(board: boards.Board, service: rules.Service, zone: str) -> float:
    """Return how crowded an availability zone is for a service.

    One that may be drained counts as half a group fuller: a service with a single replica stands
    in a zone that stays, where there is one.
    """
    drainable = zone in board.drainable_zones
    return board.count_in_zone(service.name, zone) + (DRAINABLE_COST if drainable else 0)


def best_domain(board: boards.Board, service: rules.Service, strategy: Strategy) -> str | None:
    """Return the fabric domain for a service's next group, or None where no domain has room."""
    for zone in _zones_by_cost(board, service):
        options = []
        for domain in board.domains_by_zone[zone]:
            members = board.pick(service, domain)
            if members:
                options.append((_domain_cost(board, service, domain, members, strategy), domain))
        if options:
            return min(options)[1]
    return None


def _zones_by_cost(board: boards.Board, service: rules.Service) -> list[str]:
    return sorted(board.domains_by_zone, key=lambda zone: (zone_cost(board, service, zone), zone))


def _domain_cost(
    board: boards.Board, service: rules.Service, domain: str, members: list, strategy: Strategy
) -> tuple:
    busy = sum(map(board.is_busy, members))
    loads = sum(not board.has_weights(vm, service) for vm in members)
    left = len(board.free[domain]) - len(members)
    # A group whose domain has a spare VM is whole again after one load when it loses a member;
    # without one its other members stand idle.
    no_spare = left == 0 if strategy.leave_spares else left
    return (busy, loads, no_spare, left)


def _fill(board: boards.Board, strategy: Strategy) -> collections.abc.Iterator[placement.Shortfall]:
    levels = collections.defaultdict(list)
    for service in board.services.values():
        levels[service.importance].append(service)
    for level in sorted(levels, reverse=True):
        short = [each for each in levels[level] if _missing(board, each) > 0]
        while short:
            service = min(short, key=lambda each: _turn(board, each, strategy))
            if not _add_group(board, service, strategy):
                short.remove(service)
                have = len(board.active(service.name))
                yield placement.Shortfall(service.name, service.replicas, have)
            elif _missing(board, service) <= 0:
                short.remove(service)


def _missing(board: boards.Board, service: rules.Service) -> int:
    return service.replicas - len(board.active(service.name))


def _turn(board: boards.Board, service: rules.Service, strategy: Strategy) -> tuple:
    size = -service.vms_per_replica if strategy.large_first else 0
    return (size, len(board.active(service.name)) / service.replicas, service.name)


def _add_group(board: boards.Board, service: rules.Service, strategy: Strategy) -> bool:
    domain = best_domain(board, service, strategy)
    if domain is None:
        victims = _victims(board, service)
        if not victims:
            return False
        for group in victims:
            board.end(group)
        domain = board.facts.vms[victims[0].members[0]].fabric_domain
    board.form(service, domain)
    return True


def _victims(board: boards.Board, service: rules.Service) -> list[plan.Group]:
    """Return groups of less important services to end for ``service``; empty if none suffice."""
    options = []
    for domain in board.groups:
        victims = _victims_in(board, service, domain)
        if victims:
            zone = board.zone_of(victims[0])
            highest = max(board.services[group.service].importance for group in victims)
            ended = sum(len(group.members) for group in victims)
            held = sum(board.has_weights(vm, service) for vm in board.fitting(service, domain))
            cost = (highest, ended, -held, zone_cost(board, service, zone), domain)
            options.append((cost, victims))
    return min(options, key=lambda option: option[0])[1] if options else []


def _victims_in(board: boards.Board, service: rules.Service, domain: str) -> list[plan.Group]:
    needed = service.vms_per_replica - len(board.fitting(service, domain))
    lesser = [
        group
        for group in board.groups[domain]
        if board.services[group.service].importance < service.importance
    ]
    # A service's last replica goes last.
    lesser.sort(
        key=lambda group: (
            board.services[group.service].importance,
            -len(board.active(group.service)),
            group.formed,
            group.generation_key,
        )
    )
    victims = []
    for group in lesser:
        if needed <= 0:
            break
        gain = _gain(board, service, group)
        if gain:
            victims.append(group)
            needed -= gain
    return victims if needed <= 0 else []


def _gain(board: boards.Board, service: rules.Service, group: plan.Group) -> int:
    return sum(
        member in board.facts.usable
        and board.facts.vms[member].accelerators >= service.accelerators_per_vm
        for member in group.members
    )


def _trim(board: boards.Board, service: rules.Service, strategy: Strategy) -> None:
    """End groups that a service does not need."""
    _trim_formed(board, service, strategy)
    formed = [group for group in board.active(service.name) if group.formed]
    forming = [group for group in board.active(service.name) if not group.formed]
    forming.sort(key=lambda group: (not placement.is_current(group, service), group.generation_key))
    room = max(0, service.replicas - len(formed))
    for group in forming[:room]:
        if not placement.is_current(group, service):
            board.end(group)
    for index, group in enumerate(forming[room:]):
        if index > 0 or not _is_useful_move(board, service, group):
            board.end(group)


def _trim_formed(board: boards.Board, service: rules.Service, strategy: Strategy) -> None:
    formed = [group for group in board.active(service.name) if group.formed]
    # Cold groups bear only a little load. The ones that they replace go when they are warm.
    counted = [group for group in formed if strategy.end_cold or not _is_cold(board, group)]
    for _ in range(min(len(counted) - service.replicas, len(formed) - service.replicas)):
        group = max(formed, key=lambda each: _expendability(board, service, each))
        formed.remove(group)
        board.end(group)


def _expendability(board: boards.Board, service: rules.Service, group: plan.Group) -> tuple:
    outdated = not placement.is_current(group, service)
    crowded = zone_cost(board, service, board.zone_of(group))
    return (outdated, crowded, _is_cold(board, group), group.generation_key)


def _is_cold(board: boards.Board, group: plan.Group) -> bool:
    report = board.facts.reports.get(group.members[0])
    return report is not None and report.warmth is client.Warmth.COLD


def _is_useful_move(board: boards.Board, service: rules.Service, group: plan.Group) -> bool:
    formed = [each for each in board.active(service.name) if each.formed]
    if any(not placement.is_current(each, service) for each in formed):
        return placement.is_current(group, service)
    crowded = max((zone_cost(board, service, board.zone_of(each)) for each in formed), default=0)
    # The group itself counts in its zone already.
    return crowded - (zone_cost(board, service, board.zone_of(group)) - 1) > REBALANCE_GAIN


def _improve(board: boards.Board) -> None:
    if _roll(board) or board.facts.settled_s < REBALANCE_AFTER_S:
        return
    if any(not group.formed for groups in board.groups.values() for group in groups):
        return
    for service in sorted(board.services.values(), key=lambda each: -each.importance):
        if _begin_move(board, service):
            return


def _begin_move(board: boards.Board, service: rules.Service) -> bool:
    active = board.active(service.name)
    if len(active) < 2 or len(active) > service.replicas:
        return False
    crowded = max(zone_cost(board, service, board.zone_of(group)) for group in active)
    domain = best_domain(board, service, STRATEGIES[0])
    if domain is None:
        return False
    zone = board.free[domain][0].availability_zone
    if crowded - zone_cost(board, service, zone) <= REBALANCE_GAIN:
        return False
    board.form(service, domain)
    return True


def _roll(board: boards.Board) -> bool:
    """Begin to replace groups with an old version, one of each service at a time."""
    rolled = False
    for service in sorted(board.services.values(), key=lambda each: -each.importance):
        active = board.active(service.name)
        outdated = [group for group in active if not placement.is_current(group, service)]
        if not outdated or any(not group.formed for group in active):
            continue
        if len(active) > service.replicas:
            continue
        domain = best_domain(board, service, STRATEGIES[0])
        if domain is None:
            group = max(outdated, key=lambda each: _expendability(board, service, each))
            domain = board.facts.vms[group.members[0]].fabric_domain
            board.end(group)
        if board.pick(service, domain):
            board.form(service, domain)
        rolled = True
    return rolled
