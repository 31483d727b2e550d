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


FORMAT = _value_option("format", "output format: text or json", "text")
ENTRY_URL = _value_option(
    "entry-url", f"URL of any entry's interface for operators ({ENTRY_URL_VARIABLE})"
)
CA = _value_option("ca", f"PEM file of the entries' certificate authority ({CA_VARIABLE})")
AUTHOR = _value_option("author", "author of the change, stored with it", "operator")
WAIT = _value_option(
    "wait-s", "longest wait until the change takes effect, seconds; 0 does not wait", DEFAULT_WAIT_S
)
OPERATOR_OPTIONS = (ENTRY_URL, CA, FORMAT)

FILE = cleo.helpers.argument("file", "TOML or JSON file with the inventory and the rules")
ZONE = cleo.helpers.argument("zone", "name of the availability zone")

ENTRY = CommandDefinition(
    name="entry",
    description="Run an entry until it receives SIGTERM or SIGINT.",
    options=tuple(
        _value_option(
            settings.flag_name(field),
            f"{field.metadata['help']} ({settings.variable_name(field)})",
        )
        for field in attrs.fields(settings.EntrySettings)
    ),
    examples=(
        (
            "toucanhold entry --entry entry-1 ...",
            "Read the settings from flags and environment variables.",
        ),
    ),
)

PLATFORM_ENTRY = CommandDefinition(
    name="platform",
    description="Run an entry on the users' platform, with the platform's settings file.",
    examples=(("toucanhold platform", "An environment variable names the settings file."),),
)

CHECK = CommandDefinition(
    name="check",
    description="Validate a file with the inventory and the rules without applying it.",
    arguments=(FILE,),
    options=(FORMAT,),
    examples=(("toucanhold check site.toml", "Report every error with the path of its field."),),
)

APPLY = CommandDefinition(
    name="apply",
    description="Apply a file with the inventory and the rules to every entry.",
    arguments=(FILE,),
    options=(
        *OPERATOR_OPTIONS,
        AUTHOR,
        WAIT,
        _value_option("expected", "apply only if the current configuration has this number"),
    ),
    examples=(
        ("toucanhold apply site.toml", "Replace the configuration in force."),
        ("toucanhold apply site.toml --expected 41", "Apply only if configuration 41 is in force."),
    ),
)

DOCUMENT = CommandDefinition(
    name="document",
    description="Print the inventory and rules in force, as JSON.",
    options=(ENTRY_URL, CA),
    examples=(
        ("toucanhold document > site.json", "Save them to a file, to be edited and applied again."),
    ),
)

EXPLAIN = CommandDefinition(
    name="explain",
    description="Show which groups a planner would form and what falls short; apply nothing.",
    arguments=(FILE,),
    options=(
        FORMAT,
        _value_option("without", "availability zones to leave out, separated by commas"),
    ),
    examples=(
        ("toucanhold explain site.toml", "Place all services, assuming that every VM is healthy."),
        (
            "toucanhold explain site.toml --without zone-a",
            "The same with availability zone zone-a taken out.",
        ),
    ),
)

ZONE_OUT = CommandDefinition(
    name="zone out",
    description="Take an availability zone out of service: within seconds it gets no new requests.",
    arguments=(ZONE,),
    options=(
        *OPERATOR_OPTIONS,
        AUTHOR,
        WAIT,
        cleo.helpers.option(
            "yes", "y", "do not ask for confirmation, even if services would fall short"
        ),
        cleo.helpers.option(
            "force", None, "take the zone out even if the rules mark it as not drainable"
        ),
    ),
    examples=(
        (
            "toucanhold zone out zone-a",
            "Show which services would fall short, ask for confirmation, take the zone out.",
        ),
    ),
)

ZONE_IN = CommandDefinition(
    name="zone in",
    description="Return an availability zone to service: it warms up and gets requests again.",
    arguments=(ZONE,),
    options=(*OPERATOR_OPTIONS, AUTHOR, WAIT),
    examples=(
        ("toucanhold zone in zone-a", "Return the zone and wait until the change is in force."),
    ),
)

STATUS = CommandDefinition(
    name="status",
    description="Show entries with their configuration, services, availability zones and groups.",
    options=OPERATOR_OPTIONS,
    examples=(("toucanhold status --format json", "Print the status as JSON."),),
)

ADDRESSES = CommandDefinition(
    name="addresses",
    description="Query an entry for the addresses that callers should use.",
    arguments=(cleo.helpers.argument("url", "URL of any entry's interface for callers"),),
    options=(FORMAT, CA),
    examples=(
        (
            "toucanhold addresses http://127.0.0.1:7000",
            "List the addresses in the order in which to try them.",
        ),
    ),
)
