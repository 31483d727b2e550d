"""The settings file that the platform writes for each process."""

from __future__ import annotations

import collections.abc
import pathlib
import tomllib
import typing

import attrs

FILE_VARIABLE = "TOUCANHOLD_SETTINGS"


class SettingsError(Exception):
    """The settings file cannot be read, or is wrong; the text names every mistake."""


@attrs.frozen
class Bounds:
    """What the operators allow, in the units that the names say.

    :ivar retry_ratio: repeats that a service bears, as a share of its requests
    :ivar retry_slack: and this many more
    :ivar cold_overage: factor on what a cold server says that it bears in a second
    :ivar cold_slack: and this many more
    :ivar stall_s: time after which a head that lacks a member breaks by itself
    :ivar grace_s: time between the signal to stop and the kill
    :ivar directory_keep_s: longest time that callers keep an answer of the directory
    """

    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_overage: float
    cold_slack: float
    stall_s: float
    grace_s: float
    directory_keep_s: float


@attrs.frozen
class PlatformSettings:
    """What one process learns at its start.

    :ivar entry: the machine's name
    :ivar exchange_address: where other entries send to; the first of the ports between machines
    :ivar store_address: ``IP:port`` of the platform's store
    :ivar least_lease_s: shortest lease that the store grants
    :ivar cores: the processor's share, in cores of usual speed
    """

    entry: str
    zone: str
    region: str
    callers_address: str
    readiness_address: str
    directory_address: str
    exchange_address: str
    store_address: str
    least_lease_s: float
    cores: float
    bounds: Bounds


class _Reader:
    """Reads fields by path and gathers the mistakes."""

    def __init__(self, plain: collections.abc.Mapping[str, typing.Any]) -> None:
        self.plain = plain
        self.mistakes: list[str] = []

    def text(self, path: str, default: str | None = None) -> str:
        found = self._find(path)
        if isinstance(found, str) and found:
            return found
        if found is None and default is not None:
            return default
        self.mistakes.append(f"{path}: a text was expected, got {found!r}")
        return ""

    def number(self, path: str, default: float, factor: float = 1.0) -> float:
        found = self._find(path)
        if found is None:
            return default
        if isinstance(found, bool) or not isinstance(found, int | float) or found < 0:
            self.mistakes.append(f"{path}: a number of 0 or more was expected, got {found!r}")
            return default
        return found * factor

    def first_port(self, path: str) -> int:
        found = self._find(path)
        if isinstance(found, list) and found and isinstance(found[0], int):
            return found[0]
        self.mistakes.append(f"{path}: two ports were expected, got {found!r}")
        return 0

    def _find(self, path: str) -> typing.Any:
        found: typing.Any = self.plain
        for name in path.split("."):
            if not isinstance(found, collections.abc.Mapping):
                return None
            found = found.get(name)
        return found


def load(variables: collections.abc.Mapping[str, str]) -> PlatformSettings:
    """Read and check the file that the environment names.

    :raises SettingsError: naming every mistake
    """
    path = variables.get(FILE_VARIABLE)
    if not path:
        raise SettingsError(f"{FILE_VARIABLE} is not set")
    try:
        return parse(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error


def parse(text: str) -> PlatformSettings:
    """Check the text of a settings file; unknown fields are passed over.

    :raises SettingsError: naming every mistake
    """
    reader = _Reader(tomllib.loads(text))
    settings = PlatformSettings(
        entry=reader.text("node"),
        zone=reader.text("zone"),
        region=reader.text("region", default="-"),
        callers_address=reader.text("listen.front"),
        readiness_address=reader.text("listen.ready"),
        directory_address=reader.text("listen.directory"),
        exchange_address=f"{reader.text('ip')}:{reader.first_port('internal_ports')}",
        store_address=reader.text("platform.address"),
        least_lease_s=reader.number("platform.ttl_min_ms", 1.0, 0.001),
        # The wire's "cores" tells how many times as fast the one core is of which a share is had.
        cores=reader.number("limits.cpu_share", 1.0) * reader.number("limits.cores", 1.0),
        bounds=_bounds(reader),
    )
    if reader.mistakes:
        raise SettingsError("; ".join(reader.mistakes))
    return settings


def _bounds(reader: _Reader) -> Bounds:
    return Bounds(
        retry_ratio=reader.number("bounds.retry_ratio", 0.2),
        retry_slack=reader.number("bounds.retry_slack", 0.0),
        retry_window_s=reader.number("bounds.retry_window_s", 10.0),
        cold_overage=reader.number("bounds.cold_overage", 1.0),
        cold_slack=reader.number("bounds.cold_slack", 0.0),
        stall_s=reader.number("bounds.stall_ms", 4.0, 0.001),
        grace_s=reader.number("bounds.grace_s", 8.0),
        directory_keep_s=reader.number("bounds.ttl_max_s", 5.0),
    )
