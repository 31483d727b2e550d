"""Rendering of answers as lines of text."""

import collections.abc

from toucanhold.configuration import document
from toucanhold.operators import messages
from toucanhold.planning import placement
from toucanhold.planning import preview as previews

Lines = collections.abc.Iterator[str]
Row = collections.abc.Sequence[object]

UNKNOWN_CONFIGURATION = -1


def table(titles: Row, rows: collections.abc.Iterable[Row]) -> Lines:
    """Yield rows as left-aligned columns under their titles; yield nothing if there are no rows.

    :param titles: column headings
    :param rows: cells, as many in each row as there are titles
    """
    cells = [[str(cell) for cell in row] for row in rows]
    if not cells:
        return
    cells.insert(0, [str(title) for title in titles])
    widths = [max(len(row[column]) for row in cells) for column in range(len(titles))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        yield "  ".join(padded).rstrip()


def status(seen: messages.StatusAnswer) -> Lines:
    """Yield the state of the system as seen by the entry that answered."""
    yield (
        f"As seen by entry {seen.entry}: configuration {seen.configuration}, "
        f"plan {seen.plan_revision}"
    )
    if not seen.platform_answering:
        yield "The key-value service does not answer: no new plan or configuration can be stored."
    yield ""
    titles = ("ENTRY", "AVAILABILITY ZONE", "CALLERS", "STATE", "CONFIGURATION")
    yield from table(titles, (_entry_row(entry) for entry in seen.entries))
    yield ""
    yield from table(
        ("SERVICE", "WANTED", "PLANNED", "SERVING"),
        ((each.service, each.wanted, each.planned, each.serving) for each in seen.services),
    )
    yield ""
    yield from table(("AVAILABILITY ZONE", "STATE", "VMS", "IN FLIGHT"), map(_zone_row, seen.zones))
    yield ""
    yield from table(("GROUP", "SERVICE", "STATE", "MEMBERS"), map(_group_row, seen.groups))


def validation_summary(checked: document.Document) -> Lines:
    """Yield one line with the size of a valid document."""
    rules = checked.rules
    yield (
        f"valid: {len(checked.inventory.vms)} VMs in {len(rules.availability_zones)} availability "
        f"zones, {len(rules.services)} services, {len(rules.workspaces)} workspaces"
    )


def preview(seen: previews.Preview) -> Lines:
    """Yield the services that a change would leave short, and the groups that it would end."""
    for each in seen.services:
        if each.placed_after < each.wanted_after:
            yield (
                f"would fall short: {each.service} gets {each.placed_after} of "
                f"{each.wanted_after} replicas (now {each.placed_now})"
            )
    if seen.groups_ended:
        yield (
            f"would end {len(seen.groups_ended)} groups with {seen.running} requests in flight, "
            "which are allowed to finish"
        )


def explanation(planned: placement.Placement) -> Lines:
    """Yield the groups that a planner would form, and the services with too few replicas."""
    rows = (
        (group.group, group.service, " ".join(group.members))
        for domain in planned.changed
        for group in domain.groups
    )
    yield from table(("GROUP", "SERVICE", "MEMBERS"), rows)
    for each in planned.shortfalls:
        yield f"falls short: {each.service} gets {each.placed} of {each.wanted} replicas"


def rollout_progress(seen: messages.StatusAnswer, number: int) -> str:
    """Return one line with the number of entries where configuration ``number`` is in force."""
    behind = entries_behind(seen, number)
    total = len(seen.entries)
    line = f"configuration {number} in force on {total - len(behind)} of {total} entries"
    return f"{line}; waiting for {', '.join(behind)}" if behind else line


def entries_behind(seen: messages.StatusAnswer, number: int) -> list[str]:
    """Return the names of entries not known to have configuration ``number`` or a later one."""
    return [entry.entry for entry in seen.entries if entry.configuration < number]


def _entry_row(entry: messages.EntryStatus) -> Row:
    is_known = entry.configuration != UNKNOWN_CONFIGURATION
    number = entry.configuration if is_known else "unknown"
    return (entry.entry, entry.availability_zone, entry.callers_address, entry.state, number)


def _zone_row(zone: messages.ZoneStatus) -> Row:
    return (zone.availability_zone, "out" if zone.out else "in", zone.vms, zone.running)


def _group_row(group: messages.GroupStatus) -> Row:
    state = "serving" if group.serving else "not serving"
    return (group.group, group.service, state, " ".join(group.members))
