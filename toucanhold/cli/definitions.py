"""Definitions of the commands: names, arguments, options and examples."""

import attrs
import cleo.helpers
import cleo.io.inputs.argument
import cleo.io.inputs.option

from toucanhold import settings

FORMATS = ("text", "json")
ENTRY_URL_VARIABLE = "TOUCANHOLD_ENTRY_URL"
OPERATOR_TOKEN_VARIABLE = "TOUCANHOLD_OPERATOR_TOKEN"
CA_VARIABLE = "TOUCANHOLD_CA_CERTIFICATE"
DEFAULT_ENTRY_URL = "http://127.0.0.1:7001"
DEFAULT_WAIT_S = "30"


@attrs.frozen
class CommandDefinition:
    """Name, arguments, options and help of a command.

    :ivar examples: pairs of a command line and its description
    """

    name: str
    description: str
    arguments: tuple[cleo.io.inputs.argument.Argument, ...] = ()
    options: tuple[cleo.io.inputs.option.Option, ...] = ()
    examples: tuple[tuple[str, str], ...] = ()

    @property
    def help(self) -> str:
        """The description and the examples, as markup for the ``--help`` output."""
        if not self.examples:
            return self.description
        lines = [self.description, "", "<b>Examples:</b>"]
        for command, meaning in self.examples:
            lines += [f"  {meaning}", f"    <info>{command}</info>"]
        return "\n".join(lines)


def _value_option(name: str, help_text: str, default: str | None = None):
    return cleo.helpers.option(name, None, help_text, flag=False, default=default)


FORMAT = _value_option("format", "text, or json for scripts", "text")
ENTRY_URL = _value_option("entry-url", f"operators' URL of any entry ({ENTRY_URL_VARIABLE})")
CA = _value_option("ca", f"PEM file of the entries' certificate authority ({CA_VARIABLE})")
AUTHOR = _value_option("author", "who makes the change; kept with it", "operator")
WAIT = _value_option(
    "wait-s", "how long to wait for the effect, seconds; 0 does not wait", DEFAULT_WAIT_S
)
OPERATOR_OPTIONS = (ENTRY_URL, CA, FORMAT)

FILE = cleo.helpers.argument("file", "TOML or JSON file of inventory and rules")
ZONE = cleo.helpers.argument("zone", "name of the availability zone")

ENTRY = CommandDefinition(
    name="entry",
    description="Run an entry until it is told to stop (SIGTERM or SIGINT).",
    options=tuple(
        _value_option(
            settings.flag_name(field),
            f"{field.metadata['help']} ({settings.variable_name(field)})",
        )
        for field in attrs.fields(settings.EntrySettings)
    ),
    examples=(
        ("toucanhold entry --entry entry-1 ...", "Settings from flags and the environment."),
    ),
)

PLATFORM_ENTRY = CommandDefinition(
    name="platform",
    description="Run an entry on the users' platform, by the settings file that it writes.",
    examples=(("toucanhold platform", "The environment names the settings file."),),
)

CHECK = CommandDefinition(
    name="check",
    description="Check a file of inventory and rules, and apply nothing.",
    arguments=(FILE,),
    options=(FORMAT,),
    examples=(("toucanhold check site.toml", "Tell every mistake with its path."),),
)

APPLY = CommandDefinition(
    name="apply",
    description="Put a file of inventory and rules in force on every entry.",
    arguments=(FILE,),
    options=(
        *OPERATOR_OPTIONS,
        AUTHOR,
        WAIT,
        _value_option("expected", "number of the configuration that the file was made from"),
    ),
    examples=(
        ("toucanhold apply site.toml", "Replace whatever is in force now."),
        ("toucanhold apply site.toml --expected 41", "Only if configuration 41 is in force."),
    ),
)

DOCUMENT = CommandDefinition(
    name="document",
    description="Print the inventory and rules in force, as JSON.",
    options=(ENTRY_URL, CA),
    examples=(("toucanhold document > site.json", "Save them, to change and apply again."),),
)

EXPLAIN = CommandDefinition(
    name="explain",
    description="Tell which groups a planner would form, and what falls short; apply nothing.",
    arguments=(FILE,),
    options=(FORMAT, _value_option("without", "availability zones taken out, separated by commas")),
    examples=(
        ("toucanhold explain site.toml", "Place everything on healthy VMs."),
        ("toucanhold explain site.toml --without zone-a", "The same on a hot day."),
    ),
)

ZONE_OUT = CommandDefinition(
    name="zone out",
    description="Take an availability zone out: it gets no new work within seconds.",
    arguments=(ZONE,),
    options=(
        *OPERATOR_OPTIONS,
        AUTHOR,
        WAIT,
        cleo.helpers.option("yes", "y", "do not ask, even where services would fall short"),
        cleo.helpers.option("force", None, "also where the rules say it is not drainable"),
    ),
    examples=(("toucanhold zone out zone-a", "Show what would fall short, ask, and take it out."),),
)

ZONE_IN = CommandDefinition(
    name="zone in",
    description="Return an availability zone: it warms up and gets work again.",
    arguments=(ZONE,),
    options=(*OPERATOR_OPTIONS, AUTHOR, WAIT),
    examples=(("toucanhold zone in zone-a", "Return it and wait until that is in force."),),
)

STATUS = CommandDefinition(
    name="status",
    description="Show entries, services, availability zones, groups, and what is in force where.",
    options=OPERATOR_OPTIONS,
    examples=(("toucanhold status --format json", "The same for a script."),),
)

ADDRESSES = CommandDefinition(
    name="addresses",
    description="Ask an entry, as a caller would, which addresses to use.",
    arguments=(cleo.helpers.argument("url", "callers' URL of any entry"),),
    options=(FORMAT, CA),
    examples=(("toucanhold addresses http://127.0.0.1:7000", "List them in the order to try."),),
)
