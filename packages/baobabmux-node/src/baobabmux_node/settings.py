"""Settings of a node, read from a TOML file and checked at start."""

import ipaddress
import tomllib
from pathlib import Path
from typing import Any

import expression
import msgspec

from baobabmux_core import abilities, claims, ids
from baobabmux_node import frame_listener, memory_account

_DEFAULT_RETENTION_SECONDS = 86_400.0
_DEFAULT_CLAIM_WINDOW_SECONDS = 3600.0


class Address(msgspec.Struct, frozen=True):
    """An IP number and a port.

    Attributes:
        host: IP number.
        port: Port; 0 lets the system choose when listening.
    """

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


class Settings(msgspec.Struct, frozen=True):
    """All settings of a node.

    Attributes:
        node: Name of the node, unique among all nodes.
        data_centre: Data centre in which the node runs.
        callers: Address on which the node listens for callers.
        admin: Address on which the node listens for operators and metrics
            collectors.
        peers: Address on which the node listens for other nodes.
        log: Address of the log service.
        vms: Address of the VM list.
        secret: Key of the message authentication code between nodes; empty for
            none.
        announce_seconds: Time between announcing the shutdown and closing the
            callers' listener, in which the load balancer can remove the node.
        max_header_bytes: Longest header section of a caller.
        max_held_requests: Most requests that the node holds at a time.
        max_caller_connections: Most connections of callers at a time, or None
            for three quarters of the process's descriptors.
        max_admin_connections: Most connections of operators, and of checks of
            the node's readiness, at a time.
        max_tunnel_connections: Most connections of nodes that ask for tunnels
            at a time.
        max_peer_connections: Most connections of nodes at a time.
        descriptors: Descriptors that sockets may use, or None for those of the
            process.
        max_held_bytes: Bytes of requests' and answers' bodies that the node
            holds at a time.
        max_ahead_bytes: Most bytes that are read of a caller's next requests
            while a request of the same connection is served.
        receive_timeout_seconds: Longest time to receive a header section, and
            again to receive a body.
        send_timeout_seconds: Longest time a caller may stop reading.
        idle_timeout_seconds: Longest time between requests of a connection.
        log_retention_seconds: Time for which the log service keeps records.
        claim_window_seconds: Greatest age of an idempotency key. The retention
            must be longer, because the record of a claim must not expire
            while its key is valid.
        timeline_events: Most events that the timeline holds.
        heartbeat_seconds: Shortest time between two heartbeats to a node.
        cell: Name of a set of data centres whose nodes schedule together, or
            empty if each data centre schedules on its own.
        serve_while_draining: Whether requests on open connections are still
            accepted during a shutdown.
        shutdown_seconds: Longest time of a shutdown, or None if only the
            routes' timeouts bound it.
        ability: Thousandths of a core that the VM can use; nodes with much
            less than others own no groups.
        tunnels: Address on which the node carries connections to endpoints
            for other nodes, or None if it does not.
    """

    node: ids.NodeId
    data_centre: ids.DataCentre
    callers: Address
    admin: Address
    peers: Address
    log: Address | None = None
    vms: Address | None = None
    secret: bytes = b""
    announce_seconds: float = 1.0
    max_header_bytes: int = 16_384
    max_held_requests: int = 2_000
    max_caller_connections: int | None = None
    max_admin_connections: int = 64
    max_tunnel_connections: int = 320
    max_peer_connections: int = frame_listener.MAX_CONNECTIONS
    descriptors: int | None = None
    max_held_bytes: int = memory_account.MAX_HELD_BYTES
    max_ahead_bytes: int = 16_384
    receive_timeout_seconds: float = 10.0
    send_timeout_seconds: float = 20.0
    idle_timeout_seconds: float = 60.0
    log_retention_seconds: float = _DEFAULT_RETENTION_SECONDS
    claim_window_seconds: float = _DEFAULT_CLAIM_WINDOW_SECONDS
    timeline_events: int = 5_000
    heartbeat_seconds: float = 0.5
    cell: str = ""
    serve_while_draining: bool = False
    shutdown_seconds: float | None = None
    tunnels: Address | None = None
    ability: int = abilities.ORDINARY


class SettingsError(msgspec.Struct, frozen=True):
    """An error in a settings file.

    Attributes:
        file: File name.
        key: Section and key, or the empty string for the whole file.
        text: Message that says what is wrong and what is expected.
    """

    file: str
    key: str
    text: str

    def __str__(self) -> str:
        location = f"{self.file}: {self.key}" if self.key else self.file
        return f"{location}: {self.text}"


_SECTIONS: dict[str, dict[str, str]] = {
    "node": {"id": "name", "data_centre": "name", "cell": "name"},
    "listen": {
        "callers": "listen_address",
        "admin": "listen_address",
        "peers": "listen_address",
        "tunnels": "listen_address",
    },
    "platform": {
        "log": "address",
        "vms": "address",
        "log_retention_seconds": "seconds",
        "claim_window_seconds": "seconds",
    },
    "peers": {"secret_file": "file", "heartbeat_seconds": "seconds"},
    "shutdown": {
        "announce_seconds": "seconds_or_zero",
        "serve_while_draining": "flag",
        "shutdown_seconds": "seconds",
    },
    "limits": {
        "max_header_bytes": "count",
        "max_held_requests": "count",
        "max_caller_connections": "count",
        "max_admin_connections": "count",
        "max_tunnel_connections": "count",
        "max_peer_connections": "count",
        "max_held_bytes": "count",
        "max_ahead_bytes": "count",
        "receive_timeout_seconds": "seconds",
        "send_timeout_seconds": "seconds",
        "idle_timeout_seconds": "seconds",
        "timeline_events": "count",
    },
}
_REQUIRED = (
    ("node", "id"),
    ("node", "data_centre"),
    ("listen", "callers"),
    ("listen", "admin"),
    ("listen", "peers"),
    ("platform", "log"),
    ("platform", "vms"),
)
_FIELD_BY_KEY = {"id": "node", "secret_file": "secret"}


def load(path: Path) -> "expression.Result[Settings, list[SettingsError]]":
    """Reads and checks a settings file.

    Args:
        path: The TOML file.

    Returns:
        The settings, or all errors in the file.
    """
    try:
        tables = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return expression.Error(
            [SettingsError(path.name, "", error.strerror or "")]
        )
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return expression.Error(
            [SettingsError(path.name, "", f"not TOML: {error}")]
        )
    return parse(tables, path.name)


def parse(
    tables: dict[str, Any], file: str
) -> "expression.Result[Settings, list[SettingsError]]":
    """Checks the tables of a settings file.

    Args:
        tables: Parsed TOML.
        file: File name for the error messages.

    Returns:
        The settings, or all errors in the tables.
    """
    errors: list[SettingsError] = []
    values: dict[str, Any] = {}
    for section, table in tables.items():
        known = _SECTIONS.get(section)
        if known is None or not isinstance(table, dict):
            expected = ", ".join(_SECTIONS)
            errors.append(
                SettingsError(
                    file, section, f"unknown section (known: {expected})"
                )
            )
            continue
        for key, value in table.items():
            name = f"{section}.{key}"
            if key not in known:
                expected = ", ".join(known)
                errors.append(
                    SettingsError(
                        file, name, f"unknown key (known: {expected})"
                    )
                )
                continue
            checked = _check(known[key], value)
            if isinstance(checked, _Invalid):
                errors.append(SettingsError(file, name, checked.text))
                continue
            values[_FIELD_BY_KEY.get(key, key)] = checked
    errors += [
        SettingsError(file, f"{section}.{key}", "is required")
        for section, key in _REQUIRED
        if not isinstance(tables.get(section), dict)
        or key not in tables[section]
    ]
    errors += _duplicate_listeners(values, file)
    errors += _retention_errors(values, file)
    return (
        expression.Error(errors)
        if errors
        else expression.Ok(Settings(**values))
    )


class _Invalid(msgspec.Struct, frozen=True):
    text: str


def _check(kind: str, value: Any) -> Any:
    if kind == "name":
        return _check_name(value)
    if kind in ("address", "listen_address"):
        return _check_address(value, lowest_port=int(kind == "address"))
    if kind == "file":
        return _check_secret_file(value)
    if kind == "flag":
        if isinstance(value, bool):
            return value
        return _Invalid(f"expected true or false, got {value!r}")
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if kind == "count":
        if is_number and isinstance(value, int) and value > 0:
            return value
        return _Invalid(f"expected a whole number above 0, got {value!r}")
    lowest_text = "0 or more" if kind == "seconds_or_zero" else "above 0"
    if is_number and (value > 0 or (value == 0 and kind == "seconds_or_zero")):
        return float(value)
    return _Invalid(
        f"expected a number of seconds {lowest_text}, got {value!r}"
    )


def _check_name(value: Any) -> Any:
    if not isinstance(value, str) or not value or len(value) > 64:
        return _Invalid(f"expected a name of 1 to 64 characters, got {value!r}")
    if not all(c.isalnum() or c in "-_." for c in value):
        return _Invalid(
            f"expected letters, digits, '-', '_', '.', got {value!r}"
        )
    return value


def _check_address(value: Any, lowest_port: int) -> Any:
    invalid = _Invalid(f"expected IP:PORT, got {value!r}")
    if not isinstance(value, str):
        return invalid
    host, _, port = value.rpartition(":")
    try:
        address = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return invalid
    if not port.isdigit() or not lowest_port <= int(port) <= 65_535:
        return invalid
    return Address(str(address), int(port))


def _check_secret_file(value: Any) -> Any:
    if not isinstance(value, str):
        return _Invalid(f"expected a file name, got {value!r}")
    if not value:
        return b""
    try:
        secret = Path(value).read_bytes().strip()
    except OSError as error:
        return _Invalid(f"cannot read {value!r}: {error.strerror}")
    # BLAKE2b takes keys of up to 64 bytes.
    if not 16 <= len(secret) <= 64:
        return _Invalid("expected a secret of 16 to 64 bytes in the file")
    return secret


def _retention_errors(values: dict[str, Any], file: str) -> list[SettingsError]:
    retention = values.get("log_retention_seconds", _DEFAULT_RETENTION_SECONDS)
    window = values.get("claim_window_seconds", _DEFAULT_CLAIM_WINDOW_SECONDS)
    if claims.retention_allows(retention, window):
        return []
    return [
        SettingsError(
            file,
            "platform.claim_window_seconds",
            f"{window:g} s is too long for a retention of {retention:g} s:"
            " records of claims would expire while their keys are valid",
        )
    ]


def _duplicate_listeners(
    values: dict[str, Any], file: str
) -> list[SettingsError]:
    key_by_address: dict[str, str] = {}
    errors = []
    for key in ("callers", "admin", "peers", "tunnels"):
        address = values.get(key)
        if address is None or address.port == 0:
            continue
        first = key_by_address.setdefault(str(address), key)
        if first != key:
            errors.append(
                SettingsError(
                    file,
                    f"listen.{key}",
                    f"{address} is already used by listen.{first}",
                )
            )
    return errors
