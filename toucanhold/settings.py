"""Settings of an entry, read from command-line flags and environment variables."""

import collections.abc
import random
import string
import typing

import attrs

from toucanhold import keyring, logs, parsing

ENVIRONMENT_PREFIX = "TOUCANHOLD_"
SECRET_MIN_LENGTH = 16


class SettingError(Exception):
    """One setting is missing or invalid; the message names its flag and variable."""


class InvalidSettingsError(ExceptionGroup):
    """All errors of the settings, each a :class:`SettingError`."""

    def derive(self, excs: collections.abc.Sequence[Exception]) -> "InvalidSettingsError":
        """Return a group of the same type; called when the group is split."""
        return InvalidSettingsError(self.message, excs)


Parser = collections.abc.Callable[[str], typing.Any]


def _setting(help_text: str, parse: Parser, default: object = attrs.NOTHING, secret: bool = False):
    metadata = {"help": help_text, "parse": parse}
    return attrs.field(default=default, repr=not secret, metadata=metadata)


def _identifier(text: str) -> str:
    if not text or set(text) - set(string.ascii_letters + string.digits + "-._"):
        raise ValueError("must be one or more letters, digits, '-', '.' or '_'")
    return text


def _address(text: str) -> str:
    try:
        return parsing.ip_address(text)
    except parsing.ParseError:
        raise ValueError("must be IP:port, with a port of 1 to 65535") from None


def _addresses(text: str) -> tuple[str, ...]:
    return tuple(_address(part.strip()) for part in text.split(",") if part.strip())


def _url(text: str) -> str:
    if not text.startswith(("http://", "https://")):
        raise ValueError("must start with http:// or https://")
    return text.rstrip("/")


def _key_ring(text: str) -> keyring.KeyRing:
    key_ring = keyring.from_text(text)
    if any(len(key) < SECRET_MIN_LENGTH for key in key_ring.keys):
        raise ValueError(f"each must have {SECRET_MIN_LENGTH} characters or more")
    return key_ring


def _number(low: float, high: float) -> Parser:
    def parse(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError(f"must be {low} to {high}")
        return value

    return parse


def _integer(low: int, high: int) -> Parser:
    def parse(text: str) -> int:
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f"must be {low} to {high}")
        return value

    return parse


def _one_of(*allowed: str) -> Parser:
    def parse(text: str) -> str:
        if text not in allowed:
            raise ValueError(f"must be one of {', '.join(allowed)}")
        return text

    return parse


@attrs.frozen(kw_only=True)
class EntrySettings:
    """The settings of an entry.

    Each field is set by the flag ``--field-name`` or the variable ``TOUCANHOLD_FIELD_NAME``. The
    help texts of the fields describe them.
    """

    entry: str = _setting("unique name of this entry", _identifier)
    availability_zone: str = _setting("availability zone in which this entry runs", _identifier)
    callers_address: str = _setting("IP:port for callers", _address)
    operators_address: str = _setting("IP:port for operators", _address)
    peers_address: str = _setting("IP:port for other entries", _address)
    platform_url: str = _setting("URL of the platform's key-value service", _url)
    platform_calls_per_s: float = _setting(
        "maximum rate of this entry's calls to the key-value service, per second",
        _number(1, 10_000),
        100.0,
    )
    vm_list_url: str = _setting("URL of the platform's list of VMs; empty for none", str, "")
    operator_token: keyring.KeyRing = _setting(
        "tokens of operators, separated by commas", _key_ring, secret=True
    )
    peer_key: keyring.KeyRing = _setting(
        "keys shared by all entries, separated by commas; the first is used, all are accepted",
        _key_ring,
        secret=True,
    )
    peers: tuple[str, ...] = _setting(
        "peers' IP:port, separated by commas; used while the platform does not answer",
        _addresses,
        (),
    )
    tls_certificate: str = _setting("PEM file of the certificate; empty for plain HTTP", str, "")
    tls_key: str = _setting("PEM file of the certificate's key", str, "")
    default_timeout_s: float = _setting(
        "time allowed for a request that sets no deadline, seconds", _number(0.1, 3600), 60.0
    )
    max_timeout_s: float = _setting(
        "longest time that a caller may allow for a request, seconds", _number(1, 86400), 600.0
    )
    body_limit_bytes: int = _setting(
        "maximum size of a request body, bytes", _integer(1024, 256 * 1024 * 1024), 4 * 1024 * 1024
    )
    max_requests_in_flight: int = _setting(
        "maximum number of callers' requests in flight", _integer(1, 100_000), 2000
    )
    request_memory_mb: int = _setting(
        "memory that the connections of all callers may take, MiB", _integer(1, 1_000_000), 64
    )
    max_connections: int = _setting(
        "maximum number of connections of callers and operators", _integer(1, 1_000_000), 4000
    )
    idle_timeout_s: float = _setting(
        "time after which an idle connection is closed, seconds", _number(1, 3600), 15.0
    )
    directory_keep_s: float = _setting(
        "time for which callers may cache the directory's response, seconds",
        _number(0.1, 3600),
        5.0,
    )
    stop_grace_s: float = _setting(
        "time between the signal for a planned stop and the kill, seconds",
        _number(1, 86400),
        90.0,
    )
    seed: int = _setting(
        "seed of the random number generator; 0 for a different one at each start",
        _integer(0, 2**63),
        0,
    )
    log_format: str = _setting(
        "format of log lines: json or human", _one_of(*logs.LOG_FORMATS), "json"
    )
    log_level: str = _setting(
        "minimum severity of log lines: debug, info, warning or error",
        _one_of("debug", "info", "warning", "error"),
        "info",
    )

    def new_rng(self) -> random.Random:
        """Return a random number generator; with a seed it is reproducible for each entry."""
        return random.Random(f"{self.seed}:{self.entry}" if self.seed else None)


def flag_name(field: attrs.Attribute) -> str:
    """Return the flag of a field, without the leading dashes."""
    return field.name.replace("_", "-")


def variable_name(field: attrs.Attribute) -> str:
    """Return the environment variable of a field."""
    return ENVIRONMENT_PREFIX + field.name.upper()


def load(
    flags: collections.abc.Mapping[str, str | None],
    variables: collections.abc.Mapping[str, str],
) -> EntrySettings:
    """Parse and validate the settings; a flag takes precedence over its variable.

    :param flags: text or None by flag name without leading dashes
    :param variables: environment variables by name
    :raises InvalidSettingsError: with every error; the messages do not contain secrets
    """
    values: dict[str, typing.Any] = {}
    errors: list[SettingError] = []
    for field in attrs.fields(EntrySettings):
        name = f"--{flag_name(field)} ({variable_name(field)})"
        text = flags.get(flag_name(field))
        text = variables.get(variable_name(field)) if text is None else text
        if text is None:
            if field.default is attrs.NOTHING:
                errors.append(SettingError(f"{name}: missing: {field.metadata['help']}"))
            continue
        try:
            values[field.name] = field.metadata["parse"](text)
        except ValueError as error:
            shown = f" (got {text!r})" if field.repr else ""
            errors.append(SettingError(f"{name}: {error}{shown}"))
    if bool(values.get("tls_certificate")) != bool(values.get("tls_key")):
        errors.append(SettingError("--tls-certificate and --tls-key must be set together"))
    if errors:
        raise InvalidSettingsError("invalid settings", errors)
    return EntrySettings(**values)
