"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import collections.abc
import pathlib
import tomllib
import typing

import attrs

from toucanhold import parsing
from toucanhold.gateway import policies

FILE_VARIABLE = "TOUCANHOLD_SETTINGS"
POLICIES_VARIABLE = "TOUCANHOLD_POLICIES"
# Tunnels and loans use the two ports after the first internal one.
MAX_PORT = parsing.MAX_PORT - 2
# The rest of the memory is for what an entry knows, and for answers.
REQUEST_MEMORY_PART = 0.15
DEFAULT_MEMORY_BYTES = 320 * 1024 * 1024
# Files, connections to the store and to other entries.
RESERVED_DESCRIPTORS = 100
# A caller's connection, and one to the backend server that answers.
DESCRIPTORS_PER_CALLER = 2
DEFAULT_DESCRIPTORS = 4096
MIN_CONNECTIONS = 16


class SettingsError(Exception):
    """The settings file cannot be read or is invalid; the message lists every invalid field."""


@attrs.frozen
class Bounds:
    """Limits set by the operators.

    :ivar retry_ratio: retries allowed for a service, as a share of its requests
    :ivar retry_slack: retries allowed in addition, a number
    :ivar retry_window_s: window in which requests and retries are counted
    :ivar cold_overage: factor on the requests per second that a cold server accepts by its report
    :ivar cold_slack: requests allowed to cold servers in addition, a number
    :ivar stall_s: time after which a head that lacks a member fails by itself
    :ivar grace_s: time between the stop signal and the kill
    :ivar directory_keep_s: longest time for which callers cache an answer of the directory
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
    """Settings of one process, from the file that it reads at its start.

    :ivar entry: the machine's name
    :ivar zone: availability zone of this entry
    :ivar callers_address: ``IP:port`` that callers connect to
    :ivar readiness_address: ``IP:port`` of the readiness check
    :ivar directory_address: ``IP:port`` of the directory
    :ivar exchange_address: ``IP:port`` that other entries send to, on the first internal port
    :ivar tunnel_address: ``IP:port`` for tunnels of other entries, on the second internal port
    :ivar lending_address: ``IP:port`` for datagrams about lent retries, on the third internal port
    :ivar store_address: ``IP:port`` of the platform's store
    :ivar min_lease_s: shortest lease that the store grants
    :ivar cores: this process's share of the processor, in cores of standard speed
    :ivar policies: optional policies that are switched on
    :ivar request_memory_bytes: memory that the connections of all callers may take
    :ivar max_connections: number of connections that callers may have open
    """

    entry: str
    zone: str
    region: str
    callers_address: str
    readiness_address: str
    directory_address: str
    exchange_address: str
    tunnel_address: str
    lending_address: str
    store_address: str
    min_lease_s: float
    cores: float
    bounds: Bounds
    policies: frozenset[policies.Policy] = frozenset()
    request_memory_bytes: int = 64 * 1024 * 1024
    max_connections: int = 2000


class _FieldReader:
    """Reads fields by dotted path and collects an error for each invalid field."""

    def __init__(self, document: collections.abc.Mapping[str, typing.Any]) -> None:
        self.document = document
        self.errors: list[str] = []

    def address(self, path: str) -> str:
        found = self._lookup(path)
        try:
            return parsing.ip_address(found)
        except parsing.ParseError as error:
            self.errors.append(f"{path}: {error}")
            return ""

    def text(self, path: str, default: str | None = None) -> str:
        found = self._lookup(path)
        if isinstance(found, str) and found:
            return found
        if found is None and default is not None:
            return default
        self.errors.append(f"{path}: expected a non-empty string, got {found!r}")
        return ""

    def number(self, path: str, default: float, factor: float = 1.0) -> float:
        found = self._lookup(path)
        if found is None:
            return default
        try:
            return parsing.number(found) * factor
        except parsing.ParseError as error:
            self.errors.append(f"{path}: {error}")
            return default

    def first_port(self, path: str) -> int:
        found = self._lookup(path)
        try:
            return parsing.whole(
                found[0] if isinstance(found, list) and found else None, 1, MAX_PORT
            )
        except parsing.ParseError as error:
            self.errors.append(f"{path}: expected a list of two port numbers: {error}")
            return 0

    def _lookup(self, path: str) -> typing.Any:
        found: typing.Any = self.document
        for name in path.split("."):
            if not isinstance(found, collections.abc.Mapping):
                return None
            found = found.get(name)
        return found


def load(variables: collections.abc.Mapping[str, str]) -> PlatformSettings:
    """Read and check the settings file that ``FILE_VARIABLE`` names, and the policies.

    :param variables: environment variables
    :raises SettingsError: when the file cannot be read or is invalid; lists every invalid field
    """
    path = variables.get(FILE_VARIABLE)
    if not path:
        raise SettingsError(f"{FILE_VARIABLE} is not set; expected the path of the settings file")
    try:
        settings = parse(pathlib.Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: {error}") from error
    try:
        active_policies = policies.parse(variables.get(POLICIES_VARIABLE, ""))
    except policies.UnknownPolicyError as error:
        raise SettingsError(f"{POLICIES_VARIABLE}: {error}") from error
    return attrs.evolve(settings, policies=active_policies)


def parse(text: str) -> PlatformSettings:
    """Parse the TOML text of a settings file; unknown fields are ignored.

    :raises SettingsError: when fields are invalid; lists each of them
    :raises tomllib.TOMLDecodeError: when the text is not TOML
    """
    reader = _FieldReader(tomllib.loads(text))
    settings = PlatformSettings(
        entry=reader.text("node"),
        zone=reader.text("zone"),
        region=reader.text("region", default="-"),
        callers_address=reader.address("listen.front"),
        readiness_address=reader.address("listen.ready"),
        directory_address=reader.address("listen.directory"),
        exchange_address=f"{reader.text('ip')}:{reader.first_port('internal_ports')}",
        tunnel_address=f"{reader.text('ip')}:{reader.first_port('internal_ports') + 1}",
        lending_address=f"{reader.text('ip')}:{reader.first_port('internal_ports') + 2}",
        store_address=reader.address("platform.address"),
        min_lease_s=reader.number("platform.ttl_min_ms", 1.0, 0.001),
        # In the file, "cores" is the speed of the one core of which this process has a share,
        # relative to a standard core.
        cores=reader.number("limits.cpu_share", 1.0) * reader.number("limits.cores", 1.0),
        bounds=_bounds(reader),
        request_memory_bytes=int(
            REQUEST_MEMORY_PART
            * reader.number("limits.memory_mb", DEFAULT_MEMORY_BYTES, 1024 * 1024)
        ),
        max_connections=_max_connections(reader),
    )
    if reader.errors:
        raise SettingsError("; ".join(reader.errors))
    return settings


def _max_connections(reader: _FieldReader) -> int:
    descriptors = reader.number("limits.max_fds", DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS
    return max(MIN_CONNECTIONS, int(descriptors / DESCRIPTORS_PER_CALLER))


def _bounds(reader: _FieldReader) -> Bounds:
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
