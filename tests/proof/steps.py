"""Runs the steps of a scenario."""

import collections.abc
import hashlib
import pathlib

import attrs
import lark
import trio

from tests.proof import faults, history, language, promises, site

ANSWER_TIMEOUT_S = 40.0
IMMEDIATE_REFUSAL_S = 1.0
EVENT_TIMEOUT_S = 40.0
FINAL_SETTLE_S = 6.0


OPERATOR_COMMANDS = ("take_out", "give_back", "new_version")


class StepError(Exception):
    """An expectation did not hold; the message gives file, line and the last events."""


@attrs.define(eq=False, slots=False)
class ScenarioRunner:
    """Runs one scenario on a site.

    The grammar's names select the methods ``do_…``, ``event_…``, ``expect_…`` and ``within_…``.

    :ivar problem: description of the first failure; empty if there was none
    """

    scenario: language.Scenario
    site: site.Site
    problem: str = ""

    def __attrs_post_init__(self) -> None:
        self.answers: dict[str, history.ResponseReceived | history.ChangeCompleted] = {}
        self.slow_scopes: dict[str, trio.CancelScope] = {}
        self.document = self.site.document()

    async def run(self) -> None:
        """Run all steps, then check all guarantees, and set ``problem`` on a failure."""
        await site.start_serving(self.site)
        for step in self.scenario.steps:
            if not step.is_setup:
                problem = await self._perform(step.tree)
                if problem:
                    self.problem = self._format_failure(f"{step.line}: {step.text}: {problem}")
                    return
        await self.site.wait_until(lambda: not self.site.pending_calls, ANSWER_TIMEOUT_S)
        await trio.sleep(FINAL_SETTLE_S)
        violations = promises.violations(new_run_record(self.site))
        if violations:
            self.problem = self._format_failure("1: a promise is broken: " + "; ".join(violations))

    def _format_failure(self, problem: str) -> str:
        last_events = "\n  ".join(list(self.site.history.lines())[-40:])
        return f"{self.scenario.path}:{problem}\nThe last events:\n  {last_events}"

    async def _perform(self, tree: lark.Tree) -> str | None:
        return await getattr(self, f"do_{tree.data}")(*tree.children)

    # References

    def _entry(self, tree: lark.Tree) -> str:
        if tree.data == "numbered":
            return f"entry-{tree.children[0]}"
        return planner_of(self.site)

    def _entry_or_first(self, tree: lark.Tree | None) -> str:
        if tree is not None:
            return self._entry(tree)
        return next(
            name
            for name, entry_process in self.site.entries.items()
            if entry_process.is_alive and not self.site.pauser.is_paused(name)
        )

    def _process(self, tree: lark.Tree) -> str:
        (inner,) = tree.children
        return str(inner) if tree.data == "vm" else self._entry(inner)

    def _targets(self, tree: lark.Tree, entry: str) -> list[str]:
        if tree.data == "far_platform":
            return ["platform"]
        if tree.data == "far_vm":
            return [str(tree.children[0])]
        if tree.data == "far_entries":
            return [name for name in self.site.entries if name != entry]
        return [self._entry(tree.children[0])]

    # Time

    async def do_wait(self, seconds) -> None:
        await trio.sleep(float(seconds))

    async def do_after(self, seconds, action: lark.Tree) -> None:
        async def run_later() -> None:
            await trio.sleep(float(seconds))
            await self._perform(action)

        self.site.start(run_later)

    async def do_when(self, event_tree: lark.Tree, action: lark.Tree) -> None:
        matches = self._event(event_tree)

        def watch(event: history.Event) -> None:
            if matches(event):
                self.site.history.watchers.remove(watch)
                if action.data in OPERATOR_COMMANDS:
                    self.site.start(self._perform, action)
                else:
                    run_without_waiting(self._perform(action))

        self.site.history.watchers.append(watch)

    async def do_wait_until(self, event_tree: lark.Tree) -> str | None:
        matches, happened = self._event(event_tree), trio.Event()
        self.site.history.watchers.append(lambda event: matches(event) and happened.set())
        with trio.move_on_after(EVENT_TIMEOUT_S):
            await happened.wait()
            return None
        return f"did not happen in {EVENT_TIMEOUT_S} s"

    def _event(self, tree: lark.Tree) -> collections.abc.Callable[[history.Event], bool]:
        words = [str(child) for child in tree.children if not isinstance(child, lark.Tree)]
        entries = [self._entry(tree.children[0])] if tree.data == "claimed" else []
        return getattr(self, f"event_{tree.data}")(*entries, *words)

    def event_claimed(self, entry: str, key: str):
        return lambda event: is_claim(event, self.site, key) and event.client == entry

    def _request_id_matcher(self, name: str, kind: type):
        started: set[str] = set()

        def matches(event: history.Event) -> bool:
            if isinstance(event, history.RunStarted) and self._is_run_of(event, name):
                started.add(event.request_id)
            return isinstance(event, kind) and event.request_id in started

        return matches

    def _is_run_of(self, run: history.RunStarted, name: str) -> bool:
        if run.key:
            return run.key == name or self._sent(name).key == run.key
        sent = self._sent(name)
        return sent.content in (run.content, run.content.strip('"')) or (
            sent.kind == "lookup" and run.content == f"/records/{sent.content}"
        )

    def _sent(self, name: str) -> history.RequestSent:
        for _, sent in self.site.history.events_of(history.RequestSent):
            if name in (sent.name, sent.key):
                return sent
        return history.RequestSent(name, "", "", "")

    def event_runs(self, name: str):
        return self._request_id_matcher(name, history.RunStarted)

    def event_has_run(self, name: str):
        return self._request_id_matcher(name, history.RunEnded)

    def event_has_sent(self, name: str, count: str):
        matches = self._request_id_matcher(name, history.TokenSent)
        return lambda event: matches(event) and event.index + 1 >= int(count)

    def event_first_part(self, name: str):
        return lambda event: isinstance(event, history.FirstPartReceived) and event.name == name

    def event_configuration_written(self):
        return lambda event: is_write(event, promises.HEAD_KEY)

    def event_plan_written(self):
        return lambda event: is_write(event, promises.PLAN_PREFIX)

    def event_planner_changes(self):
        return lambda event: is_write(event, "toucanhold/planner")

    def event_ordered(self, vm: str):
        return lambda event: isinstance(event, history.OrderReceived) and event.vm == vm

    def event_joined(self, vm: str):
        return lambda event: isinstance(event, history.Joined) and event.vm == vm

    # Callers and operators

    def _send(self, name: str, entry: lark.Tree, kind: str, content: str, key: str = "") -> None:
        sent = history.RequestSent(str(name), self._entry(entry), kind, content, key)
        self.site.start(self._call, sent)

    async def _call(self, sent: history.RequestSent) -> None:
        self.answers[sent.name] = await self.site.call(sent)

    async def do_send(self, kind, entry, name) -> None:
        content = f"about {name}"
        if kind.startswith("crashing"):
            content = "crash-the-server"
        self._send(name, entry, str(kind).removeprefix("crashing "), content)

    async def do_send_lookup(self, item, entry, name) -> None:
        self._send(name, entry, "lookup", str(item))

    async def do_send_order(self, item, key, entry, name) -> None:
        self._send(name, entry, "order", f"{item} open", str(key or ""))

    async def _command(self, name, entry, operate, *arguments) -> str | None:
        entry_name = self._entry_or_first(entry)
        if name is None:
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                command = await operate(entry_name, *arguments)
                return None if command.status == 200 else f"status {command.status}"
            return "no answer"

        async def run_later() -> None:
            self.answers[str(name)] = await operate(entry_name, *arguments)

        self.site.start(run_later)
        return None

    async def do_take_out(self, zone, entry, name) -> str | None:
        return await self._command(name, entry, self.site.set_zone, str(zone), True)

    async def do_give_back(self, zone, entry, name) -> str | None:
        return await self._command(name, entry, self.site.set_zone, str(zone), False)

    async def do_new_version(self, version, service, entry, name) -> str | None:
        for service_rules in self.document["rules"]["services"]:
            if service_rules["name"] == service:
                service_rules["version"] = str(version)
        entry_name = self._entry_or_first(entry)
        number = self.site.entries[entry_name].app.configuration.current.number
        return await self._command(name, entry, self.site.apply, self.document, number)

    # Faults

    async def do_pause(self, process) -> None:
        name = self._process(process)
        is_vm = name in self.site.servers
        (faults.pause_vm if is_vm else faults.pause_entry)(self.site, name)

    async def do_resume(self, process) -> None:
        name = self._process(process)
        if name in self.slow_scopes:
            faults.restore_speed(self.site, name, self.slow_scopes.pop(name))
        elif name in self.site.servers:
            faults.resume_vm(self.site, name)
        else:
            faults.resume_entry(self.site, name)

    async def do_slow(self, process) -> None:
        name = self._process(process)
        self.slow_scopes[name] = faults.slow_down(self.site, name)

    async def do_kill(self, process) -> None:
        name = self._process(process)
        if name in self.site.servers:
            faults.kill_vm(self.site, name)
        else:
            self.site.kill_entry(name)

    async def do_replace(self, entry) -> None:
        self.site.replace_entry(self._entry(entry))

    async def do_restart(self, vm) -> None:
        faults.restart_vm(self.site, str(vm))

    async def do_stop(self, entry) -> None:
        self.site.stop_entry(self._entry(entry))

    async def do_cut(self, entry, target_tree) -> None:
        name = self._entry(entry)
        for target in self._targets(target_tree, name):
            faults.cut(self.site, name, target)

    async def do_heal(self, entry, target_tree) -> None:
        name = self._entry(entry)
        for target in self._targets(target_tree, name):
            faults.heal(self.site, name, target)

    async def do_platform_down(self) -> None:
        faults.platform_mode(self.site, "down")

    async def do_platform_slow(self) -> None:
        faults.platform_mode(self.site, "slow")

    async def do_platform_back(self) -> None:
        faults.platform_mode(self.site, "up")

    async def do_lose_answer(self, entry) -> None:
        faults.lose_commit(self.site, "answers", self._entry(entry) if entry else "")

    async def do_lose_write(self, entry) -> None:
        faults.lose_commit(self.site, "requests", self._entry(entry) if entry else "")

    async def do_dark(self, zone) -> None:
        faults.power_off_zone(self.site, str(zone))

    async def do_lit(self, zone) -> None:
        for server in self.site.servers.values():
            if server.availability_zone == zone and not server.is_alive:
                faults.restart_vm(self.site, server.vm)

    async def do_turn_cold(self, vm) -> None:
        faults.turn_cold(self.site, str(vm))

    async def do_leaves(self, vm) -> None:
        faults.start_leaving(self.site, str(vm))

    async def do_listed(self, vm) -> None:
        faults.start_leaving(self.site, str(vm), listed=True)

    # Expectations

    async def do_expect(self, tree: lark.Tree) -> str | None:
        return await getattr(self, f"expect_{tree.data}")(*tree.children)

    async def _answer(self, name) -> history.ResponseReceived | history.ChangeCompleted | None:
        is_answered = await self.site.wait_until(
            lambda: str(name) in self.answers, ANSWER_TIMEOUT_S
        )
        return self.answers[str(name)] if is_answered else None

    async def _expect_answer(self, name, predicate) -> str | None:
        answer = await self._answer(name)
        if answer is None:
            return "there is no answer"
        return None if predicate(answer) else f"it was {answer}"

    async def expect_answered(self, name) -> str | None:
        return await self._expect_answer(
            name, lambda answer: answer.status == 200 and answer.is_complete
        )

    async def expect_refused(self, name) -> str | None:
        return await self._expect_answer(name, lambda answer: answer.outcome == "did-not-run")

    async def expect_refused_at_once(self, name) -> str | None:
        with trio.move_on_after(IMMEDIATE_REFUSAL_S):
            return await self.expect_refused(name)
        return f"no refusal in {IMMEDIATE_REFUSAL_S} s"

    async def expect_unknown(self, name) -> str | None:
        return await self._expect_answer(name, lambda answer: answer.outcome == "unknown")

    async def expect_was_cut(self, name) -> str | None:
        return await self._expect_answer(name, lambda answer: not answer.is_complete)

    async def expect_final(self, name) -> str | None:
        return await self._expect_answer(name, lambda answer: True)

    async def expect_accepted(self, name) -> str | None:
        return await self._expect_answer(name, lambda answer: answer.status == 200)

    async def expect_not_accepted(self, name) -> str | None:
        return await self._expect_answer(name, lambda answer: answer.status != 200)

    def _runs(self, name) -> int:
        runs = self.site.history.events_of(history.RunStarted)
        return sum(self._is_run_of(run, str(name)) for _, run in runs)

    async def expect_ran_once(self, name) -> str | None:
        count = self._runs(name)
        return None if count == 1 else f"it ran {count} times"

    async def expect_did_not_run(self, name) -> str | None:
        count = self._runs(name)
        return f"it ran {count} times" if count else None

    async def expect_within(self, seconds, claim: lark.Tree) -> str | None:
        return await getattr(self, f"within_{claim.data}")(float(seconds), *claim.children)

    async def _no_work_after(self, seconds: float, vms: set[str]) -> str | None:
        await trio.sleep(seconds)
        since_s = trio.current_time()
        await trio.sleep(seconds)
        for time_s, run in self.site.history.events_of(history.RunStarted):
            if time_s > since_s and vms & {run.vm, *run.members}:
                return f"{run.vm} got work at {time_s:.3f}"
        return None

    async def within_no_new_work(self, seconds: float, zone) -> str | None:
        vms = {
            server.vm for server in self.site.servers.values() if server.availability_zone == zone
        }
        return await self._no_work_after(seconds, vms)

    async def within_vm_no_new_work(self, seconds: float, vm) -> str | None:
        return await self._no_work_after(seconds, {str(vm)})

    async def _within(self, seconds: float, predicate) -> str | None:
        return None if await self.site.wait_until(predicate, seconds) else f"not within {seconds} s"

    def _configuration_number(self, name: str) -> int:
        return self.site.entries[name].app.configuration.current.number

    async def within_in_force(self, seconds: float, entry, number) -> str | None:
        name = self._entry(entry)
        return await self._within(seconds, lambda: self._configuration_number(name) >= int(number))

    async def within_in_force_everywhere(self, seconds: float, number) -> str | None:
        return await self._within(
            seconds,
            lambda: all(
                self._configuration_number(name) >= int(number)
                for name, entry_process in self.site.entries.items()
                if entry_process.is_alive
            ),
        )

    async def within_everything_serves(self, seconds: float) -> str | None:
        return await self._within(seconds, self.site.all_serving)

    async def within_new_planner(self, seconds: float) -> str | None:
        previous_planner = planner_of(self.site)
        return await self._within(
            seconds, lambda: planner_of(self.site) not in ("", previous_planner)
        )

    async def within_has_stopped(self, seconds: float, entry) -> str | None:
        name = self._entry(entry)
        return await self._within(seconds, lambda: not self.site.entries[name].is_alive)


def run_without_waiting(coroutine: collections.abc.Coroutine) -> None:
    """Run an action that does not wait, so that it precedes the effects of the current event.

    :raises AssertionError: if the action waits
    """
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the action waits")


def is_write(event: history.Event, prefix: str) -> bool:
    """Return whether an event is a write under a prefix of the key-value service."""
    return isinstance(event, history.Committed) and any(
        key.startswith(prefix) and value is not None for key, value in event.values.items()
    )


def is_claim(event: history.Event, testbed: site.Site, key: str) -> bool:
    """Return whether an event is a write of the claim of an order's key."""
    digest = hashlib.sha256()
    for part in ("default", testbed.layout.plain_service, key):
        digest.update(len(part).to_bytes(8, "big") + part.encode())
    return is_write(event, "toucanhold/claims/" + digest.hexdigest())


def planner_of(testbed: site.Site) -> str:
    """Return the entry that holds the planner lease in the store; empty for none."""
    pair = testbed.platform.store.pairs.get(b"toucanhold/planner")
    return pair.value.decode() if pair else ""


def new_run_record(testbed: site.Site) -> promises.RunRecord:
    """Return the input of the checks."""
    zones = {server.vm: server.availability_zone for server in testbed.servers.values()}
    ended_s = testbed.history.entries[-1].time_s
    return promises.RunRecord(testbed.history, zones, site.MODEL, site.TOKENS, ended_s)


def layout_of(scenario: language.Scenario) -> site.SiteLayout:
    """Return the layout of the site that a scenario describes."""
    layout = site.SiteLayout()
    ignoring = []
    for step in scenario.steps:
        words = [None if child is None else str(child) for child in step.tree.children]
        if step.tree.data == "site":
            layout.entries, layout.zones = int(words[0]), tuple("abcdefgh"[: int(words[1])])
            layout.engines = int(words[2] or layout.engines)
        elif step.tree.data == "model_service":
            layout.model_service, layout.replicas = words[0], int(words[1])
            layout.vms_per_replica = int(words[2])
        elif step.tree.data == "plain_service":
            layout.plain_service = words[0]
        elif step.tree.data == "ignoring":
            ignoring.append(words[0])
    layout.fencing_ignored_vms = tuple(ignoring)
    return layout


def run_file(path: pathlib.Path, seed: int = 1) -> site.Site:
    """Run a scenario file.

    :raises language.InvalidScenarioError: if the file has errors
    :raises StepError: if an expectation does not hold or a guarantee is violated
    """
    scenario = language.load(path)
    layout = layout_of(scenario)
    layout.seed = seed
    runners = []

    async def drive(testbed: site.Site) -> None:
        runners.append(ScenarioRunner(scenario, testbed))
        await runners[0].run()

    finished = site.run(layout, drive)
    if runners[0].problem:
        raise StepError(runners[0].problem)
    return finished
