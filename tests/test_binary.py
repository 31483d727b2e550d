"""The single-file binary runs without the source tree, writes no file and starts no process."""

import os
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

from standins import processes
from tools import binary

# Reports each process start and each file opened for writing, from Python's audit events.
AUDIT_HOOK = """
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
        temporary_folder = tempfile.TemporaryDirectory()
        self.addCleanup(temporary_folder.cleanup)
        self.folder = pathlib.Path(temporary_folder.name)
        (self.folder / "sitecustomize.py").write_text(AUDIT_HOOK)
        self.empty_folder = self.folder / "empty"
        self.empty_folder.mkdir()
        self.environment = {
            "PATH": os.environ["PATH"],
            "TMPDIR": str(self.empty_folder),
            "HOME": str(self.empty_folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }

    def _run(self, *arguments: str, audited: bool = False) -> subprocess.CompletedProcess:
        environment = dict(self.environment)
        if audited:
            environment["PYTHONPATH"] = str(self.folder)
        command = [sys.executable, "-S", binary.OUTPUT_PATH, *arguments]
        if audited:
            # -S also skips sitecustomize, so the hook must be imported explicitly.
            script = f"import sitecustomize, runpy, sys; sys.argv = {['toucanhold', *arguments]!r};"
            script += f"runpy.run_path({str(binary.OUTPUT_PATH)!r}, run_name='__main__')"
            command = [sys.executable, "-S", "-c", script]
        return subprocess.run(
            command,
            cwd=self.empty_folder,
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
        )

    def test_prints_its_version_outside_the_source_tree(self):
        # -S hides installed packages, so all code must come from the file itself.
        completed = self._run("--version")
        self.assertEqual(0, completed.returncode, completed.stderr)
        self.assertIn("0.1.0", completed.stdout)

    def test_is_one_executable_file(self):
        self.assertTrue(os.access(binary.OUTPUT_PATH, os.X_OK))
        self.assertTrue(binary.OUTPUT_PATH.is_file())

    def test_starts_no_process_and_writes_no_file(self):
        # Guards against a start that a policy against child processes forbids: importing trio used
        # to run /sbin/ldconfig.
        completed = self._run("--version", audited=True)
        self.assertEqual(0, completed.returncode, completed.stderr)
        self.assertNotIn("STARTED", completed.stderr)
        self.assertNotIn("WROTE", completed.stderr)
        self.assertEqual([], list(self.empty_folder.iterdir()))

    def test_running_entry_has_no_child_process_and_wrote_no_file(self):
        addresses = processes.free_addresses(4)
        arguments = []
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
            arguments += [f"--{flag}", value]
        command = [sys.executable, "-S", binary.OUTPUT_PATH, "entry", *arguments]
        log = self.folder / "log"
        with log.open("wb") as stream:
            process = subprocess.Popen(
                command, cwd=self.empty_folder, env=self.environment, stderr=stream, stdout=stream
            )
        try:
            self._wait_for_log(log, "ENTRY_STARTED")
            children = pathlib.Path(f"/proc/{process.pid}/task/{process.pid}/children")
            self.assertEqual("", children.read_text())
            self.assertEqual([], list(self.empty_folder.iterdir()))
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
