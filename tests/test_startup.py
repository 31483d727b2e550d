"""Tests of what an entry does before it serves, for which callers wait after a restart of all."""

import gc
import subprocess
import sys
import unittest

from toucanhold import startup

UNUSED_MODULES = ("cleo", "opentelemetry", "prometheus_client", "rapidfuzz")


class StartupTest(unittest.TestCase):
    def test_entry_imports_no_libraries_that_it_may_never_use(self):
        """Guards against a slow start through an import that only some commands need."""
        code = "import sys, toucanhold.core, toucanhold.platform.running; print(*sys.modules)"
        finished = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True, text=True
        )
        packages = {name.partition(".")[0] for name in finished.stdout.split()}
        self.assertIn("hypercorn", packages)
        self.assertEqual(set(), packages & set(UNUSED_MODULES))

    def test_garbage_collection_is_paused_and_resumed(self):
        """Guards against an entry that never collects garbage, and runs out of memory."""
        with startup.paused_garbage_collection():
            self.assertFalse(gc.isenabled())
        self.assertTrue(gc.isenabled())
        self.assertGreater(gc.get_freeze_count(), 0)
