"""Reading scenario files."""

import pathlib

import attrs
import lark

GRAMMAR = pathlib.Path(__file__).with_name("scenario.lark").read_text()
SETUP = ("site", "model_service", "plain_service", "ignoring")
MIN_COMMENT_LINES, MAX_COMMENT_LINES = 2, 5
PARSER = lark.Lark(GRAMMAR, parser="lalr", maybe_placeholders=True)


class ScenarioError(Exception):
    """A mistake in a scenario file, with its file and line."""

    def __init__(self, path: pathlib.Path, line: int, problem: str) -> None:
        super().__init__(f"{path}:{line}: {problem}")


class InvalidScenarioError(ExceptionGroup):
    """All mistakes of a scenario file, each a :class:`ScenarioError`."""

    def derive(self, excs):
        """Keep the type when the group is split."""
        return InvalidScenarioError(self.message, excs)


@attrs.frozen
class Step:
    """One line.

    :ivar tree: what the grammar makes of it
    """

    line: int
    text: str
    tree: lark.Tree

    @property
    def is_setup(self) -> bool:
        """Whether it describes the site rather than something that happens."""
        return self.tree.data in SETUP


@attrs.frozen
class Scenario:
    """A scenario file."""

    path: pathlib.Path
    summary: str
    steps: tuple[Step, ...]


def load(path: pathlib.Path) -> Scenario:
    """Read a scenario.

    :raises InvalidScenarioError: naming every mistake
    """
    lines = path.read_text().splitlines()
    comments = [line for line in lines if line.startswith("#")]
    steps, mistakes = [], []
    if not MIN_COMMENT_LINES <= len(comments) <= MAX_COMMENT_LINES or lines[0] != comments[0]:
        problem = "must open with two to five lines of comment and have no others"
        mistakes.append(ScenarioError(path, 1, problem))
    for number, line in enumerate(lines, 1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        try:
            steps.append(Step(number, text, PARSER.parse(text).children[0]))
        except lark.UnexpectedInput as error:
            mistakes.append(ScenarioError(path, number, _problem(text, error)))
    setup = [step.is_setup for step in steps]
    if setup != sorted(setup, reverse=True):
        step = steps[setup.index(False) + setup[setup.index(False) :].index(True)]
        mistakes.append(ScenarioError(path, step.line, "the site must be described first"))
    if mistakes:
        raise InvalidScenarioError("invalid scenario", mistakes)
    return Scenario(path, " ".join(line.lstrip("# ") for line in comments), tuple(steps))


def _problem(text: str, error: lark.UnexpectedInput) -> str:
    if isinstance(error, lark.UnexpectedCharacters):
        rest, wanted = text[error.column - 1 :], error.allowed or ()
    else:
        token = getattr(error, "token", None)
        at_end = token is None or token.type == "$END"
        rest = "" if at_end else text[token.column - 1 :]
        wanted = getattr(error, "accepts", None) or error.expected
    words = sorted(_shown(name) for name in wanted if name != "$END")
    found = f"cannot read {rest!r}" if rest else "the line ends too early"
    return f"{found}; expected {', '.join(words)}"


def _shown(name: str) -> str:
    for terminal in PARSER.terminals:
        if terminal.name == name and terminal.pattern.type == "str":
            return repr(terminal.pattern.value)
    return {"INT": "a number", "NUMBER": "a number", "NAME": "a name"}.get(name, name.lower())
