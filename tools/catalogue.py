"""Writes ``docs/EVENTS.md``, the catalogue of numbered events, from the code."""

import ast
import collections
import collections.abc
import logging
import pathlib
import sys

from toucanhold import events

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "EVENTS.md"
INTRODUCTION = """# Events

Each line of the log that tells of an event carries its number and name. In the JSON form they are
the fields `event` and `name`; the fields below stand beside them. Numbers are never used twice:
10xx an entry's life, 20xx requests, 30xx planning, 40xx configuration, 50xx the platform,
60xx backend servers, 70xx peers, 80xx orders.

This page is written from the code by `python -m tools.catalogue`; a test compares the two.

| number | name | severity | meaning | fields |
|---|---|---|---|---|
"""


def main() -> int:
    """Write the page."""
    PAGE.write_text(page())
    return 0


def page() -> str:
    """Return the page's text."""
    fields = fields_by_event()
    rows = [
        f"| {event.number} | {event.name} | {logging.getLevelName(event.severity)} "
        f"| {event.meaning} | {', '.join(sorted(fields[event.name]))} |\n"
        for event in sorted(events.Event, key=lambda event: event.number)
    ]
    return INTRODUCTION + "".join(rows)


def fields_by_event() -> collections.abc.Mapping[str, set[str]]:
    """Return the names of the fields that the code logs with each event, by event name."""
    fields: dict[str, set[str]] = collections.defaultdict(set)
    for path in sorted((ROOT / "toucanhold").rglob("*.py")):
        for function in _functions(ast.parse(path.read_text())):
            for call in _log_calls(function):
                names = _field_names(call, function)
                for event in _event_names(call.args[1], function):
                    fields[event] |= names
    return fields


def _functions(tree: ast.AST) -> collections.abc.Iterator[ast.AST]:
    for node in ast.walk(tree):
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
            yield node


def _log_calls(function: ast.AST) -> collections.abc.Iterator[ast.Call]:
    for node in ast.walk(function):
        if isinstance(node, ast.Call) and ast.unparse(node.func) == "events.log":
            yield node


def _event_names(node: ast.AST, function: ast.AST) -> set[str]:
    # The call names the event, or passes a variable that the function assigned before.
    search_root = function if isinstance(node, ast.Name) else node
    return {
        attribute.attr
        for attribute in ast.walk(search_root)
        if isinstance(attribute, ast.Attribute) and ast.unparse(attribute.value) == "events.Event"
    }


def _field_names(call: ast.Call, function: ast.AST) -> set[str]:
    names = {keyword.arg for keyword in call.keywords if keyword.arg is not None}
    if any(keyword.arg is None for keyword in call.keywords):
        for node in ast.walk(function):
            if isinstance(node, ast.Dict):
                names |= {key.value for key in node.keys if isinstance(key, ast.Constant)}
    return names


if __name__ == "__main__":
    sys.exit(main())
