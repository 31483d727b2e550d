"""Comparison of two checkouts over paired runs."""

import json
import math
import pathlib
import stat
import tempfile
import unittest

import trio

from tests.platform.paired import bench_runs, pairing, reports

BENCH = """#!/bin/sh
while [ "$1" != --report ]; do shift; done
cat report.json > "$2"
"""


def new_day(worth, kinds=None, seconds=None):
    return reports.DayReport(worth, kinds or {}, seconds or {}, ())


def new_report(worth):
    return {
        "G": worth,
        "breaks": {},
        "fault": None,
        "classes": [{"name": "notes", "worth": 0.5}],
        "windows": [{"name": "2", "worth": 0.75}],
    }


def new_days(worths):
    return {pairing.RunKey("site", "day", seed): new_day(each) for seed, each in enumerate(worths)}


class DifferenceTest(unittest.TestCase):
    def test_only_runs_of_both_checkouts_are_compared(self):
        before, after = new_days([0.5, 0.6]), new_days([0.6])
        difference = pairing.paired_differences(before, after, lambda run_key: run_key.site)["site"]
        self.assertEqual(1, difference.pairs)
        self.assertAlmostEqual(0.1, difference.mean)
        self.assertTrue(math.isnan(difference.error))
        self.assertFalse(difference.is_significant)

    def test_a_gain_in_each_pair_is_significant(self):
        before, after = new_days([0.4, 0.5, 0.6]), new_days([0.5, 0.61, 0.7])
        difference = pairing.paired_differences(before, after, lambda run_key: run_key.site)["site"]
        self.assertTrue(difference.is_significant)

    def test_a_mean_gain_from_one_outlier_is_not_significant(self):
        before, after = new_days([0.5, 0.5, 0.5]), new_days([0.5, 0.49, 0.8])
        difference = pairing.paired_differences(before, after, lambda run_key: run_key.site)["site"]
        self.assertFalse(difference.is_significant)
        self.assertIn("luck?", pairing.table({"site": difference}))

    def test_kinds_and_seconds_are_averaged_over_seeds(self):
        days = {
            pairing.RunKey("site", "day", 1): new_day(0.5, {"notes": 0.4}, {0: 1.0, 2: 0.5}),
            pairing.RunKey("site", "day", 2): new_day(0.5, {"notes": 0.6}, {0: 0.5}),
        }
        self.assertAlmostEqual(0.5, pairing.by_kind(days, days, "site")["notes"].before)
        self.assertEqual({0: 0.75, 2: 0.5}, pairing.mean_worth_by_second(days, "site", "day"))


class ReportTest(unittest.TestCase):
    def setUp(self):
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = pathlib.Path(temporary_folder.name)

    def test_broken_rules_and_faults_are_reported(self):
        path = self.folder / "report.json"
        path.write_text(json.dumps(new_report(0.5) | {"breaks": {"RULE": 1}, "fault": "ended"}))
        self.assertEqual(("RULE", "ended"), reports.read(path).violations)

    def test_a_malformed_report_raises_an_error_with_its_path(self):
        path = self.folder / "report.json"
        for content in ("", "[]", "{}", '{"G": "much"}'):
            path.write_text(content)
            with self.assertRaisesRegex(reports.ReportError, "report.json"):
                reports.read(path)

    def test_each_day_is_run_once_and_its_report_read(self):
        program = self.folder / "bench"
        program.write_text(BENCH)
        program.chmod(program.stat().st_mode | stat.S_IXUSR)
        (self.folder / "report.json").write_text(json.dumps(new_report(0.5)))
        bench = bench_runs.Bench(program, 2, "test")
        run_keys = [pairing.RunKey("site", "day", seed) for seed in (1, 2)]
        sites = {"site": pathlib.Path("site.toml")}
        for _ in range(2):
            day_reports = trio.run(
                bench_runs.run_all, bench, self.folder, sites, run_keys, self.folder / "reports"
            )
            (self.folder / "report.json").write_text(json.dumps(new_report(0.9)))
        self.assertEqual([0.5, 0.5], [day.worth for day in day_reports.values()])
        self.assertEqual({"notes": 0.5}, day_reports[run_keys[0]].by_kind)
