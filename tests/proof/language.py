"""Parses scenario files."""

import pathlib

import attrs
import lark

GRAMMAR = pathlib.Path(__file__).with_name("scenario.lark").read_text()
SETUP = ("site", "model_service", "plain_service", "ignoring")
MIN_COMMENT_LINES, MAX_COMMENT_LINES = 2, 5
PARSER = lark.Lark(GRAMMAR, parser="lalr", maybe_placeholders=True)


class ScenarioError(Exception):
    """An error in a scenario file, with its path and line."""

    def __init__(self, path: pathlib.Path, line: int, problem: str) -> None:
        super().__init__(f"{path}:{line}: {problem}")


class InvalidScenarioError(ExceptionGroup):
    """All errors of a scenario file, each a :class:`ScenarioError`."""

    def derive(self, excs):
        """Preserve the class when the group is split."""
        return InvalidScenarioError(self.message, excs)


@attrs.frozen
class Step:
    """One line of a scenario.

    :ivar line: line number, from 1
    :ivar tree: parse tree of ``text``
    """

    line: int
    text: str
    tree: lark.Tree

    @property
    def is_setup(self) -> bool:
        """Whether the step describes the site rather than an action."""
        return self.tree.data in SETUP


@attrs.frozen
class Scenario:
    """A parsed scenario file.

    :ivar summary: the opening comment as one line
    """

    path: pathlib.Path
    summary: str
    steps: tuple[Step, ...]


def load(path: pathlib.Path) -> Scenario:
    """Parse a scenario file.

    :raises InvalidScenarioError: with every error in the file
    """
    lines = path.read_text().splitlines()
    comments = [line for line in lines if line.startswith("#")]
    steps, errors = [], []
    if not MIN_COMMENT_LINES <= len(comments) <= MAX_COMMENT_LINES or lines[0] != comments[0]:
        problem = "must open with two to five lines of comment and have no others"
        errors.append(ScenarioError(path, 1, problem))
    for number, line in enumerate(lines, 1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        try:
            steps.append(Step(number, text, PARSER.parse(text).children[0]))
        except lark.UnexpectedInput as error:
            errors.append(ScenarioError(path, number, _describe_error(text, error)))
    setup = [step.is_setup for step in steps]
    if setup != sorted(setup, reverse=True):
        step = steps[setup.index(False) + setup[setup.index(False) :].index(True)]
        errors.append(ScenarioError(path, step.line, "the site must be described first"))
    if errors:
        raise InvalidScenarioError("invalid scenario", errors)
    return Scenario(path, " ".join(line.lstrip("# ") for line in comments), tuple(steps))


def _describe_error(text: str, error: lark.UnexpectedInput) -> str:
    if isinstance(error, lark.UnexpectedCharacters):
        unread, expected_terminals = text[error.column - 1 :], error.allowed or ()
    else:
        token = getattr(error, "token", None)
        at_end = token is None or token.type == "$END"
        unread = "" if at_end else text[token.column - 1 :]
        expected_terminals = getattr(error, "accepts", None) or error.expected
    descriptions = sorted(_describe_terminal(name) for name in expected_terminals if name != "$END")
    description = f"cannot read {unread!r}" if unread else "the line ends too early"
    return f"{description}; expected {', '.join(descriptions)}"


def _describe_terminal(name: str) -> str:
    for terminal in PARSER.terminals:
        if terminal.name == name and terminal.pattern.type == "str":
            return repr(terminal.pattern.value)
    return {"INT": "a number", "NUMBER": "a number", "NAME": "a name"}.get(name, name.lower())
