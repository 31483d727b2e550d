"""Starts, pauses, kills and stops the processes of a site by name."""

import collections.abc
import os
import pathlib
import signal
import socket
import sys
import time

import attrs
import trio

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 60.0
ROOT = pathlib.Path(__file__).resolve().parent.parent


class ProcessError(Exception):
    """A process did not start or ended unexpectedly."""


@attrs.define(eq=False)
class ProcessGroup:
    """Processes by name, as a context manager that kills them all at its end.

    :ivar log_folder: folder of the log files; ``NAME.log`` holds a process's stdout and stderr
    """

    log_folder: pathlib.Path
    _running: dict[str, trio.Process] = attrs.field(factory=dict, init=False)

    async def __aenter__(self) -> "ProcessGroup":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        with trio.CancelScope(shield=True):
            for name in list(self._running):
                await self.kill(name)

    async def start(
        self,
        name: str,
        arguments: collections.abc.Sequence[str],
        variables: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        """Start ``python -m ARGUMENTS``.

        :param variables: environment variables in addition to this process's own
        """
        log = (self.log_folder / f"{name}.log").open("ab")
        with log:
            self._running[name] = await trio.lowlevel.open_process(
                [sys.executable, "-m", *arguments],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, **(variables or {})},
            )

    def pause(self, name: str) -> None:
        """Suspend a process with ``SIGSTOP``."""
        self._running[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self._running[name].send_signal(signal.SIGCONT)

    def reload(self, name: str) -> None:
        """Let a process read its settings again, with ``SIGHUP``."""
        self._running[name].send_signal(signal.SIGHUP)

    async def kill(self, name: str) -> None:
        """Kill a process with ``SIGKILL`` and wait for its end."""
        process = self._running.pop(name)
        process.kill()
        await process.wait()

    def terminate(self, name: str) -> None:
        """Send ``SIGTERM`` without waiting; :meth:`stop` may send it again later."""
        self._running[name].terminate()

    async def stop(self, name: str) -> int:
        """Send ``SIGTERM`` and return the process's exit status.

        :raises trio.TooSlowError: when the process runs on for ``STOP_TIMEOUT_S`` seconds
        """
        process = self._running.pop(name)
        process.terminate()
        with trio.fail_after(STOP_TIMEOUT_S):
            return await process.wait()

    async def wait(self, name: str) -> int:
        """Wait for a process to end and return its exit status."""
        status = await self._running[name].wait()
        del self._running[name]
        return status

    def pid(self, name: str) -> int:
        """Return a process's id."""
        return self._running[name].pid

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not ended."""
        return name in self._running and self._running[name].poll() is None

    def log_text(self, name: str) -> str:
        """Return the contents of a process's log file."""
        return (self.log_folder / f"{name}.log").read_text(errors="replace")


def free_addresses(count: int) -> list[str]:
    """Return distinct free ``IP:port`` addresses on the loopback interface."""
    sockets = []
    for _ in range(count):
        sockets.append(socket.socket())
        sockets[-1].bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


async def wait_listening(address: str) -> None:
    """Wait until a process accepts connections at ``address``.

    :raises ProcessError: after ``START_TIMEOUT_S`` seconds
    """
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.sleep(0.05)
            continue
        await stream.aclose()
        return
    raise ProcessError(f"nothing listens on {address} after {START_TIMEOUT_S} s")
