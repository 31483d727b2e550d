"""The single-file binary: it runs without the source tree, writes nothing and starts nothing."""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

from standins import processes
from tools import binary

# Python's audit events tell of each process that is started and each file opened for writing.
AUDIT = """
import sys

def watch(event, arguments):
    if event in ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "subprocess.Popen"):
        print("STARTED", event, arguments, file=sys.stderr)
    if event == "open" and isinstance(arguments[1], str) and set(arguments[1]) & set("wax+"):
        print("WROTE", arguments, file=sys.stderr)

sys.addaudithook(watch)
"""


class BinaryTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        binary.main()

    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = pathlib.Path(scratch.name)
        (self.folder / "sitecustomize.py").write_text(AUDIT)
        self.empty = self.folder / "empty"
        self.empty.mkdir()
        self.variables = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(self.empty),
            "HOME": str(self.empty),
            "PYTHONDONTWRITEBYTECODE": "1",
        }

    def _run(self, *words: str, audited: bool = False) -> subprocess.CompletedProcess:
        variables = dict(self.variables)
        if audited:
            variables["PYTHONPATH"] = str(self.folder)
        command = [sys.executable, "-S", binary.OUTPUT_PATH, *words]
        if audited:
            # -S skips sitecustomize too, so the hook is imported by hand.
            start = f"import sitecustomize, runpy, sys; sys.argv = {['toucanhold', *words]!r};"
            start += f"runpy.run_path({str(binary.OUTPUT_PATH)!r}, run_name='__main__')"
            command = [sys.executable, "-S", "-c", start]
        return subprocess.run(
            command, cwd=self.empty, env=variables, capture_output=True, text=True, timeout=60
        )

    def test_tells_its_version_outside_the_source_tree(self):
        # -S hides installed packages: everything must come out of the file itself.
        ran = self._run("--version")
        self.assertEqual(0, ran.returncode, ran.stderr)
        self.assertIn("0.1.0", ran.stdout)

    def test_is_one_executable_file(self):
        self.assertTrue(os.access(binary.OUTPUT_PATH, os.X_OK))
        self.assertTrue(binary.OUTPUT_PATH.is_file())

    def test_starts_no_process_and_writes_no_file(self):
        # The operator sees a process that a policy against child processes lets run: trio's
        # import used to run /sbin/ldconfig, which such a policy forbids.
        ran = self._run("--version", audited=True)
        self.assertEqual(0, ran.returncode, ran.stderr)
        self.assertNotIn("STARTED", ran.stderr)
        self.assertNotIn("WROTE", ran.stderr)
        self.assertEqual([], list(self.empty.iterdir()))

    def test_a_running_entry_has_no_child_and_wrote_nothing(self):
        addresses = processes.free_addresses(4)
        words = []
        for flag, value in {
            "entry": "entry-0",
            "availability-zone": "zone-a",
            "callers-address": addresses[0],
            "operators-address": addresses[1],
            "peers-address": addresses[2],
            "platform-url": f"http://{addresses[3]}",
            "operator-token": "0123456789abcdef",
            "peer-key": "0123456789abcdef",
            "directory-keep-s": "0.1",
        }.items():
            words += [f"--{flag}", value]
        command = [sys.executable, "-S", binary.OUTPUT_PATH, "entry", *words]
        log = self.folder / "log"
        with log.open("wb") as stream:
            process = subprocess.Popen(
                command, cwd=self.empty, env=self.variables, stderr=stream, stdout=stream
            )
        try:
            self._wait_for_log(log, "ENTRY_STARTED")
            children = pathlib.Path(f"/proc/{process.pid}/task/{process.pid}/children")
            self.assertEqual("", children.read_text())
            self.assertEqual([], list(self.empty.iterdir()))
            process.terminate()
            self.assertEqual(0, process.wait(30), log.read_text())
        finally:
            process.kill()
            process.wait()

    def _wait_for_log(self, log: pathlib.Path, text: str):
        deadline = time.monotonic() + 30
        while text not in log.read_text():
            self.assertLess(time.monotonic(), deadline, log.read_text())
            time.sleep(0.05)
