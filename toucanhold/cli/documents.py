"""Commands that check, apply, print and explain a document of inventory and rules."""

import functools
import json
import pathlib

from toucanhold import codec, exitstatus
from toucanhold.cli import command, definitions, operating, waiting
from toucanhold.configuration import document, snapshot
from toucanhold.operators import client, messages
from toucanhold.output import text
from toucanhold.planning import placement, spreading


class CheckCommand(operating.ErrorMappingCommand):
    """Check a document file without an entry."""

    command_definition = definitions.CHECK

    def execute_command(self) -> exitstatus.ExitStatus:
        """See :class:`command.Command`."""
        checked_document = document.load(pathlib.Path(self.argument("file")))
        self.print_result(checked_document, text.validation_summary(checked_document))
        return exitstatus.ExitStatus.OK


class ApplyCommand(operating.OperatorsApiCommand):
    """Apply a document file to all entries."""

    command_definition = definitions.APPLY

    async def call_entry(self, entry_client: client.OperatorsClient) -> exitstatus.ExitStatus:
        """See :class:`operating.OperatorsApiCommand`."""
        new_document = document.load(pathlib.Path(self.argument("file")))
        wait_s = self.number_option("wait-s", float)
        if self.option("expected") is None:
            expected = (await entry_client.status()).configuration
        else:
            expected = self.number_option("expected", int)
        for line in text.preview(await entry_client.preview_document(new_document)):
            self.print_progress(line)
        request = messages.ApplyRequest(new_document, expected, self.option("author"))
        answer = await entry_client.apply(request)
        self.print_progress(f"accepted as configuration {answer.configuration}")
        return await report_in_force(self, entry_client, answer, wait_s)


class DocumentCommand(operating.OperatorsApiCommand):
    """Print the document in force."""

    command_definition = definitions.DOCUMENT

    async def call_entry(self, entry_client: client.OperatorsClient) -> exitstatus.ExitStatus:
        """See :class:`operating.OperatorsApiCommand`."""
        current_document = await entry_client.document()
        self.write_plain(json.dumps(codec.CONVERTER.unstructure(current_document), indent=2))
        return exitstatus.ExitStatus.OK


class ExplainCommand(operating.ErrorMappingCommand):
    """Show the groups that a planner would form for a document file, without an entry."""

    command_definition = definitions.EXPLAIN

    def execute_command(self) -> exitstatus.ExitStatus:
        """See :class:`command.Command`."""
        checked_document = document.load(pathlib.Path(self.argument("file")))
        zones_out = frozenset(filter(None, (self.option("without") or "").split(",")))
        unknown = zones_out - {zone.name for zone in checked_document.rules.availability_zones}
        if unknown:
            raise command.UsageError(f"unknown availability zone: {', '.join(sorted(unknown))}")
        placement_result = spreading.Spreading().place(
            _placement_input(checked_document, zones_out)
        )
        self.print_result(placement_result, text.explanation(placement_result))
        return exitstatus.ExitStatus.OK


async def report_in_force(
    operator_command: command.Command,
    entry_client: client.OperatorsClient,
    answer: messages.ChangeAnswer,
    wait_s: float,
) -> exitstatus.ExitStatus:
    """Wait until a change is in force on every entry, and print the result.

    :param wait_s: longest time to wait; 0 does not wait
    :return: ``TIMEOUT`` if the change is not in force everywhere in time, ``NOT_DURABLE`` if the
        key-value service has not stored it, else ``OK``
    """
    number = answer.configuration
    status = exitstatus.ExitStatus.OK
    if not answer.durable:
        return _report_not_durable(operator_command, answer)
    if wait_s:
        final_status = await waiting.wait_for_status(
            operator_command,
            entry_client,
            lambda current: not text.entries_behind(current, number),
            functools.partial(text.rollout_progress, number=number),
            wait_s,
        )
        if final_status is None:
            operator_command.print_progress(
                f"accepted, but not in force on every entry within {wait_s:g} s"
            )
            status = exitstatus.ExitStatus.TIMEOUT
    operator_command.print_result(answer, [f"configuration {number}"])
    return status


def _report_not_durable(
    operator_command: command.Command, answer: messages.ChangeAnswer
) -> exitstatus.ExitStatus:
    operator_command.print_progress(f"in force on {', '.join(answer.in_force)}")
    if answer.not_in_force:
        operator_command.print_progress(f"not acknowledged by {', '.join(answer.not_in_force)}")
    operator_command.print_progress("not durable yet: the key-value service does not answer")
    operator_command.print_result(answer, ["in force as a hold, not durable yet"])
    return exitstatus.ExitStatus.NOT_DURABLE


def _placement_input(
    checked_document: document.Document, zones_out: frozenset[str]
) -> placement.PlacementInput:
    configuration = snapshot.Configuration(
        0, checked_document.inventory, checked_document.rules, zones_out
    )
    usable = frozenset(
        vm.vm for vm in checked_document.inventory.vms if vm.availability_zone not in zones_out
    )
    return placement.PlacementInput(configuration, {}, usable)
