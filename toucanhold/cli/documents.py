"""Commands about the file of inventory and rules."""

import functools
import json
import pathlib

from toucanhold import codec, exitstatus
from toucanhold.cli import command, definitions, operating, waiting
from toucanhold.configuration import document, snapshot
from toucanhold.operators import client, messages
from toucanhold.output import text
from toucanhold.planning import placement, spreading


class CheckCommand(operating.OperatingCommand):
    """Check a document."""

    shown = definitions.CHECK

    def execute_command(self) -> exitstatus.ExitStatus:
        """See :class:`command.Command`."""
        checked = document.load(pathlib.Path(self.argument("file")))
        self.show(checked, text.validation_summary(checked))
        return exitstatus.ExitStatus.OK


class ApplyCommand(operating.OperatorCommand):
    """Apply a document."""

    shown = definitions.APPLY

    async def call_entry(self, entry: client.OperatorsClient) -> exitstatus.ExitStatus:
        """See :class:`operating.OperatorCommand`."""
        wanted = document.load(pathlib.Path(self.argument("file")))
        wait_s = self.number_option("wait-s", float)
        if self.option("expected") is None:
            expected = (await entry.status()).configuration
        else:
            expected = self.number_option("expected", int)
        for line in text.preview(await entry.preview_document(wanted)):
            self.progress(line)
        request = messages.ApplyRequest(wanted, expected, self.option("author"))
        answer = await entry.apply(request)
        self.progress(f"accepted as configuration {answer.configuration}")
        return await show_in_force(self, entry, answer, wait_s)


class DocumentCommand(operating.OperatorCommand):
    """Print the document in force."""

    shown = definitions.DOCUMENT

    async def call_entry(self, entry: client.OperatorsClient) -> exitstatus.ExitStatus:
        """See :class:`operating.OperatorCommand`."""
        found = await entry.document()
        self.write_plain(json.dumps(codec.CONVERTER.unstructure(found), indent=2))
        return exitstatus.ExitStatus.OK


class ExplainCommand(operating.OperatingCommand):
    """Tell what a planner would do with a document."""

    shown = definitions.EXPLAIN

    def execute_command(self) -> exitstatus.ExitStatus:
        """See :class:`command.Command`."""
        checked = document.load(pathlib.Path(self.argument("file")))
        without = frozenset(filter(None, (self.option("without") or "").split(",")))
        unknown = without - {zone.name for zone in checked.rules.availability_zones}
        if unknown:
            raise command.UsageError(f"unknown availability zone: {', '.join(sorted(unknown))}")
        decided = spreading.Spreading().place(_facts(checked, without))
        self.show(decided, text.explanation(decided))
        return exitstatus.ExitStatus.OK


async def show_in_force(
    asked: command.Command,
    entry: client.OperatorsClient,
    answer: messages.ChangeAnswer,
    wait_s: float,
) -> exitstatus.ExitStatus:
    """Wait until a change is in force on every entry and print the answer."""
    number = answer.configuration
    status = exitstatus.ExitStatus.OK
    if not answer.durable:
        return _show_held(asked, answer)
    if wait_s:
        done = await waiting.wait_until(
            asked,
            entry,
            lambda seen: not text.entries_behind(seen, number),
            functools.partial(text.rollout_progress, number=number),
            wait_s,
        )
        if done is None:
            asked.progress(f"accepted, but not in force everywhere within {wait_s:g} s")
            status = exitstatus.ExitStatus.TIMEOUT
    asked.show(answer, [f"configuration {number}"])
    return status


def _show_held(asked: command.Command, answer: messages.ChangeAnswer) -> exitstatus.ExitStatus:
    asked.progress(f"in force on {', '.join(answer.in_force)}")
    if answer.not_in_force:
        asked.progress(f"not acknowledged by {', '.join(answer.not_in_force)}")
    asked.progress("not durable yet: the key-value service does not answer")
    asked.show(answer, ["held, not durable"])
    return exitstatus.ExitStatus.NOT_DURABLE


def _facts(checked: document.Document, without: frozenset[str]) -> placement.PlacementInput:
    configuration = snapshot.Configuration(0, checked.inventory, checked.rules, without)
    usable = frozenset(vm.vm for vm in checked.inventory.vms if vm.availability_zone not in without)
    return placement.PlacementInput(configuration, {}, usable)
