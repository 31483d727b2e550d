"""The commands and what they do."""

import collections.abc
import json
import pathlib

import attrs
import cleo.commands.command
import cleo.helpers
import httpcore
import trio

from toucanhold import codec, entry, environment, exitstatus, logs, outside, serving, settings
from toucanhold.callers import app as callers_app
from toucanhold.configuration import document
from toucanhold.operators import client, messages

DEFAULT_OPERATORS_URL = "http://127.0.0.1:7001"

STATUS_OF_KIND = {
    "invalid": exitstatus.ExitStatus.INVALID,
    "conflict": exitstatus.ExitStatus.CONFLICT,
    "unavailable": exitstatus.ExitStatus.UNAVAILABLE,
    "unreachable": exitstatus.ExitStatus.UNAVAILABLE,
}


class _Command(cleo.commands.command.Command):
    """Common to all commands."""

    def __init__(self, env: environment.Environment) -> None:
        super().__init__()
        self.env = env

    def fail(self, status: exitstatus.ExitStatus, *lines: str) -> int:
        """Print error lines and return the exit status."""
        for line in lines:
            self.line_error(f"<error>{line}</error>")
        return int(status)


def _operator_options() -> list:
    return [
        cleo.helpers.option(
            "entry-url", None, "operators' URL of an entry (TOUCANHOLD_ENTRY_URL)", flag=False
        ),
        cleo.helpers.option("format", None, "text or json", flag=False, default="text"),
    ]


class _OperatorCommand(_Command):
    options = _operator_options()

    def handle(self) -> int:
        """Run the command against an entry."""
        variables = self.env.variables
        url = self.option("entry-url") or variables.get("TOUCANHOLD_ENTRY_URL")
        token = variables.get("TOUCANHOLD_OPERATOR_TOKEN", "")
        self.client = client.OperatorsClient(url or DEFAULT_OPERATORS_URL, token)
        try:
            return int(trio.run(self.run_against))
        except client.OperatorsClientError as error:
            status = STATUS_OF_KIND.get(error.kind, exitstatus.ExitStatus.ERROR)
            return self.fail(status, f"{error.kind}: {error}", *error.mistakes)
        except document.InvalidDocumentError as error:
            mistakes = [str(mistake) for mistake in error.exceptions]
            return self.fail(exitstatus.ExitStatus.INVALID, error.message, *mistakes)

    async def run_against(self) -> exitstatus.ExitStatus:
        """Do the command's work."""
        raise NotImplementedError

    def show(self, value: object, text: collections.abc.Iterable[str]) -> None:
        """Print JSON or text, as the operator asked."""
        if self.option("format") == "json":
            self.line(json.dumps(codec.CONVERTER.unstructure(value), indent=2))
        else:
            for line in text:
                self.line(line)


class EntryCommand(_Command):
    """Run an entry."""

    name = "entry"
    description = "Run an entry until it is told to stop (SIGTERM)."
    options = [
        cleo.helpers.option(
            settings.flag_name(field),
            None,
            f"{field.metadata['help']} ({settings.variable_name(field)})",
            flag=False,
        )
        for field in attrs.fields(settings.EntrySettings)
    ]

    def handle(self) -> int:
        """Check the settings, then run."""
        flags = {
            settings.flag_name(field): self.option(settings.flag_name(field))
            for field in attrs.fields(settings.EntrySettings)
        }
        try:
            own = settings.load(flags, self.env.variables)
        except settings.InvalidSettingsError as error:
            mistakes = [str(mistake) for mistake in error.exceptions]
            return self.fail(exitstatus.ExitStatus.USAGE, error.message, *mistakes)
        logs.set_up(self.env.stderr, own.log_format, own.log_level)
        problems: list[str] = []
        try:
            trio.run(_run_entry, own)
        except* serving.ListenError as group:
            problems += [str(error) for error in _leaves(group)]
        if problems:
            return self.fail(exitstatus.ExitStatus.UNAVAILABLE, *problems)
        return int(exitstatus.ExitStatus.OK)


class CheckCommand(_Command):
    """Check a document."""

    name = "check"
    description = "Check a file of inventory and rules; apply nothing."
    arguments = [cleo.helpers.argument("file", "TOML or JSON file")]

    def handle(self) -> int:
        """Print every mistake."""
        try:
            checked = document.load(pathlib.Path(self.argument("file")))
        except document.InvalidDocumentError as error:
            mistakes = [str(mistake) for mistake in error.exceptions]
            return self.fail(exitstatus.ExitStatus.INVALID, error.message, *mistakes)
        self.line(
            f"valid: {len(checked.inventory.vms)} VMs, {len(checked.rules.services)} services"
        )
        return int(exitstatus.ExitStatus.OK)


class ApplyCommand(_OperatorCommand):
    """Apply a document."""

    name = "apply"
    description = "Check a file of inventory and rules, and put it in force everywhere."
    arguments = [cleo.helpers.argument("file", "TOML or JSON file")]

    async def run_against(self) -> exitstatus.ExitStatus:
        """Apply."""
        wanted = document.load(pathlib.Path(self.argument("file")))
        seen = await self.client.status()
        request = messages.ApplyRequest(wanted, seen.configuration)
        answer = await self.client.apply(request)
        self.show(answer, [f"accepted: configuration {answer.configuration}"])
        return exitstatus.ExitStatus.OK


class ZoneCommand(_OperatorCommand):
    """Take an availability zone out or return it."""

    name = "zone"
    description = "Take an availability zone out, or return it."
    arguments = [
        cleo.helpers.argument("action", "out or in"),
        cleo.helpers.argument("zone", "name of the availability zone"),
    ]

    async def run_against(self) -> exitstatus.ExitStatus:
        """Change one availability zone."""
        action, zone = self.argument("action"), self.argument("zone")
        if action not in ("out", "in"):
            status = exitstatus.ExitStatus.USAGE
            return exitstatus.ExitStatus(self.fail(status, "action must be out or in"))
        answer = await self.client.set_zone(zone, messages.ZoneRequest(action == "out"))
        self.show(answer, [f"accepted: configuration {answer.configuration}"])
        return exitstatus.ExitStatus.OK


class StatusCommand(_OperatorCommand):
    """Show the system's state."""

    name = "status"
    description = "Show entries, services, availability zones and what is in force."

    async def run_against(self) -> exitstatus.ExitStatus:
        """Print the status."""
        seen = await self.client.status()
        self.show(seen, _status_lines(seen))
        return exitstatus.ExitStatus.OK


class AddressesCommand(_Command):
    """Ask the directory."""

    name = "addresses"
    description = "Ask an entry which addresses callers should use."
    arguments = [cleo.helpers.argument("url", "callers' URL of any entry")]

    def handle(self) -> int:
        """Print the directory's answer."""
        url = self.argument("url") + callers_app.ADDRESSES_PATH
        try:
            response = httpcore.request("GET", url)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return self.fail(exitstatus.ExitStatus.UNAVAILABLE, f"{url}: {error!r}")
        self.line(response.content.decode())
        return int(exitstatus.ExitStatus.OK)


ALL = (EntryCommand, CheckCommand, ApplyCommand, ZoneCommand, StatusCommand, AddressesCommand)


async def _run_entry(own: settings.EntrySettings) -> None:
    await entry.EntryApplication(own, outside.from_settings(own)).run()


def _status_lines(seen: messages.StatusAnswer) -> collections.abc.Iterator[str]:
    yield f"entry {seen.entry}: configuration {seen.configuration}, planner: {seen.is_planner}"
    for member in seen.entries:
        yield f"  entry {member.entry} {member.callers_address} {member.state}"
    for service in seen.services:
        yield f"  service {service.service}: {service.serving} of {service.wanted} serving"
    for zone in seen.zones:
        state = "out" if zone.out else "in"
        yield f"  zone {zone.availability_zone}: {state}, {zone.vms} VMs, {zone.running} running"


def _leaves(group: BaseExceptionGroup) -> collections.abc.Iterator[BaseException]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaves(error)
        else:
            yield error
