"""A nose2 plugin that prints `N passed, N failed` last; it does not change the verdict.

With FAILED_TESTS set to a path, the names of the failed tests are written there.
"""

import os
import pathlib

import nose2.events


class ClosingLine(nose2.events.Plugin):
    """Counts the outcomes and prints the closing line."""

    alwaysOn = True  # noqa: N815 (nose2's name)

    def __init__(self) -> None:
        self.passed = 0
        self.others = {"skipped": 0, "failed": 0}
        self.failed: list[str] = []

    def testOutcome(self, event: nose2.events.TestOutcomeEvent) -> None:  # noqa: N802
        """Count one outcome; an unexpected success is a failure."""
        if event.outcome == "subtest":
            good = event.exc_info is None
        else:
            good = event.outcome == "skipped" or event.expected
        if not good:
            self.failed.append(event.test.id())
        elif event.outcome == "passed":
            self.passed += 1
        elif event.outcome in ("skipped", "failed"):
            self.others[event.outcome] += 1

    def afterSummaryReport(self, event: nose2.events.ReportSummaryEvent) -> None:  # noqa: N802
        """Print the closing line and write the names of the failed tests."""
        path = os.environ.get("FAILED_TESTS")
        if path:
            pathlib.Path(path).write_text("".join(f"{name}\n" for name in self.failed))
        event.stream.flush()
        for outcome, count in self.others.items():
            if count:
                print(f"{count} {outcome}" + (" as expected" if outcome == "failed" else ""))
        print(f"{self.passed} passed, {len(self.failed)} failed", flush=True)
