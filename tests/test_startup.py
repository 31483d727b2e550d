"""Tests of what an entry does before it serves, for which callers wait after a restart of all."""

import gc
import sys
import unittest

import trio

from toucanhold import exitstatus, startup

UNUSED_MODULES = ("cleo", "opentelemetry", "prometheus_client", "rapidfuzz")


class StartupTest(unittest.TestCase):
    def test_entry_imports_no_libraries_that_it_may_never_use(self):
        """Guards against a slow start through an import that only some commands need."""
        code = "import sys, toucanhold.core, toucanhold.platform.running; print(*sys.modules)"
        finished = trio.run(_run_python, code)
        packages = {name.partition(".")[0] for name in finished.stdout.decode().split()}
        self.assertIn("hypercorn", packages)
        self.assertEqual(set(), packages & set(UNUSED_MODULES))

    def test_garbage_collection_is_paused_and_resumed(self):
        """Guards against an entry that never collects garbage, and runs out of memory."""
        with startup.paused_garbage_collection():
            self.assertFalse(gc.isenabled())
        self.assertTrue(gc.isenabled())
        self.assertGreater(gc.get_freeze_count(), 0)


class SignalTest(unittest.TestCase):
    def test_a_reload_during_the_start_does_not_end_the_process(self):
        """Guards against an entry that ends when its settings change while it starts."""
        code = (
            "import importlib, os, signal\n"
            "from toucanhold import core, environment\n"
            "import_module = importlib.import_module\n"
            "def interrupted(name):\n"
            "    os.kill(os.getpid(), signal.SIGHUP)\n"
            "    return import_module(name)\n"
            "importlib.import_module = interrupted\n"
            "print(core.main(['platform'], environment.Environment({})))\n"
        )
        finished = trio.run(_run_python, code)
        self.assertEqual(int(exitstatus.ExitStatus.USAGE), int(finished.stdout))


async def _run_python(code):
    return await trio.run_process([sys.executable, "-c", code], capture_stdout=True)
