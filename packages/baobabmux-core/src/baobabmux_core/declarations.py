"""Schema and validation of the declarations that operators publish.

Tables are nested dicts `section -> name -> key -> value`, as in TOML files and
publications. `parse` checks all of them and reports every error. The module
keeps no state.
"""

import ipaddress
import pathlib
import re
import tomllib
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import expression
import msgspec

from baobabmux_core import ids, routing

Tables = dict[str, dict[str, dict[str, Any]]]
"""Tables by section and name."""


class Tier(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Priority class of requests.

    Attributes:
        rank: Position among the tiers; 0 is the highest priority.
    """

    rank: int


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate limit of a workspace over all nodes.

    Attributes:
        rate: Units per second.
        burst: Units that may be used at once beyond the rate.
        unit: "requests" or "tokens" (prompt plus longest answer).
        plain_tokens: Tokens charged for a request that does not state how
            many it needs.
    """

    rate: float
    burst: float
    unit: str = "requests"
    plain_tokens: int = 0


class WorkspaceShare(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Share of a workspace inside a tier, its keys and its quota.

    Attributes:
        weight: Relative share; workspaces without a declaration have 1.0.
        api_keys: Keys that identify the workspace on routes that require a
            key.
        quota: Quota of the workspace, or None if it has no limit.
        rank: Rank that replaces the rank of a route's tier, or None.
    """

    weight: float = 1.0
    api_keys: tuple[str, ...] = ()
    quota: Quota | None = None
    rank: int | None = None


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service that a set of interchangeable endpoints runs.

    Attributes:
        kind: "engine" for model engines, "plain" for other HTTP services.
        max_queue_requests: Maximum number of requests in the queue of one
            group.
        max_queue_tokens: Maximum number of tokens in the queue of one group.
        short_tokens: Requests with fewer tokens are classed as short.
        limits_slow_endpoints: Whether an endpoint that is slower than its
            peers runs fewer requests at a time.
        isolates_suspects: Whether a request content that is suspected of
            crashing an endpoint runs alone the next time. If not, it runs one
            copy at a time, and is refused once `end_counts.MAX_ENDS` endpoints
            have ended while they ran it.
        max_connections: Connections that each endpoint accepts from all nodes
            together, or 0 if unknown.
        placement: "end" to run each request where it ends soonest,
            "first_event" to run it where its first event is on time and other
            streams do not pause for too long.
        gap_seconds: Longest time between two events that callers of its
            streams expect, or 0 if any.
        hedge_quantile: Quantile of the time until answers begin after which a
            request that may be repeated is sent to a second endpoint, 0 for
            never.
        hedge_request_share: Most such second attempts in a window, as a share
            of the first attempts.
        hedge_token_share: Most tokens of theirs, as a share of those of the
            first attempts.
        hedge_workspace_share: Most of them for one workspace, as a share of
            those that are allowed.
        hedge_free_share: Share of the places of a group that they leave free.
        hedge_window_seconds: Length of the window.
        endpoint_tokens: Tokens of prompts and answers that each endpoint's
            memory holds, or 0 if unknown.
    """

    kind: str
    max_queue_requests: int = 500
    max_queue_tokens: int = 2_000_000
    short_tokens: int = 600
    limits_slow_endpoints: bool = True
    isolates_suspects: bool = True
    max_connections: int = 0
    placement: str = "end"
    gap_seconds: float = 0.0
    hedge_quantile: float = 0.0
    hedge_request_share: float = 0.02
    hedge_token_share: float = 0.02
    hedge_workspace_share: float = 0.25
    hedge_free_share: float = 0.25
    hedge_window_seconds: float = 10.0
    endpoint_tokens: int = 0


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replica of a service.

    Attributes:
        service: Service that the endpoint runs.
        data_centre: Data centre of the endpoint, or a cell of several data
            centres.
        vm: Name of its virtual machine in the VM list.
        address: IP address and port.
        generation: Hardware generation, for initial estimates of rates.
        max_requests: Maximum number of requests that it runs at a time.
        max_tokens: Maximum number of tokens that it holds at a time.
        cache_tokens: Size of its prefix cache in tokens.
        prefill_tokens_per_second: Initial estimate of the prefill rate.
        decode_tokens_per_second: Initial estimate of the decode rate of one
            request.
        checks_fencing: Whether it refuses orders with an old fencing token.
        location: Data centre of the endpoint if `data_centre` names a cell,
            or the empty string.
        born_ms: Unix time of its start in milliseconds, or 0 if unknown; a
            restart under the same identifier has a later time.
        version: Version of its software, or the empty string if unknown. A
            stream may go on only at the version that began it.
    """

    service: ids.ServiceName
    data_centre: ids.DataCentre
    vm: ids.VmId
    address: str
    generation: str = ""
    max_requests: int = 8
    max_tokens: int = 40_000
    cache_tokens: int = 0
    prefill_tokens_per_second: float = 2000.0
    decode_tokens_per_second: float = 40.0
    checks_fencing: bool = False
    location: ids.DataCentre = ids.DataCentre("")
    born_ms: int = 0
    version: str = ""


class Split(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Part of a route's traffic that goes to a service.

    Attributes:
        service: Service that receives this part.
        weight: Relative size of the part.
    """

    service: ids.ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rules for the requests to one path prefix.

    Attributes:
        path: Prefix of the caller's path.
        service: Service that runs the requests.
        tier: Name of the tier of the requests.
        methods: Allowed HTTP methods.
        idempotent: Whether a request may safely run more than once.
        timeout_seconds: Longest time from arrival to the end of the answer.
        output_tokens: Expected length of an answer.
        max_body_bytes: Maximum size of a body.
        host: Host name that callers use, or the empty string for any.
        splits: Services that share the traffic by weight; if empty, all
            traffic goes to `service`.
        claims: Whether a request that is not idempotent needs an idempotency
            key that is claimed in the log before the dispatch.
        streaming: Whether the answer is a stream of events.
        resumable: Whether an interrupted stream may be continued at another
            endpoint.
        max_attempts: Maximum number of endpoints to which one request may be
            sent.
        target_seconds: Time to the answer or to its first event that callers
            expect, or None.
        gap_seconds: Longest time between two events of a stream that callers
            expect, or None.
        anonymous: Whether callers need no API key.
    """

    path: str
    service: ids.ServiceName
    tier: ids.TierName
    methods: tuple[str, ...] = ("POST",)
    idempotent: bool = True
    timeout_seconds: float = 120.0
    output_tokens: int = 256
    max_body_bytes: int = 1_000_000
    host: str = ""
    splits: tuple[Split, ...] = ()
    claims: bool = True
    streaming: bool = False
    resumable: bool = False
    max_attempts: int = 1
    target_seconds: float | None = None
    gap_seconds: float | None = None
    anonymous: bool = True

    def services(self) -> frozenset[ids.ServiceName]:
        """Returns the services that may run its requests."""
        if not self.splits:
            return frozenset({self.service})
        return frozenset(split.service for split in self.splits)


class Preset(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set of scheduling policy values; exactly one preset is in force.

    Attributes:
        affinity_wait_seconds: Longest wait for an endpoint whose prefix cache
            holds the prompt; a request waits at most 4 times the prefill time
            that the cache saves.
        short_share: Share of an endpoint's slots reserved for short requests.
        high_tier_share: Share of an endpoint's slots reserved for higher
            tiers.
        refused_tiers: Tiers that are not admitted.
        other_centre_seconds: Time by which a request must end sooner at an
            endpoint of another data centre than at one of its holder's to be
            sent there, within a cell of several.
    """

    affinity_wait_seconds: float = 0.0
    short_share: float = 0.125
    high_tier_share: float = 0.125
    refused_tiers: tuple[ids.TierName, ...] = ()
    other_centre_seconds: float = 0.0


class KeyLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of idempotency keys and kept answers.

    Attributes:
        window_seconds: Maximum age of a key; shorter than the retention of
            the log service.
        kept_answers: Maximum number of answers that a node keeps to replay
            them to repeated requests.
        kept_answer_bytes: Maximum size of all kept answers together.
    """

    window_seconds: float = 3600.0
    kept_answers: int = 2000
    kept_answer_bytes: int = 16_000_000


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of what callers may send and how long they may take.

    Attributes:
        max_header_bytes: Maximum size of a header section.
        max_body_bytes: Maximum size of a body.
        header_timeout_seconds: Longest time to receive a header section.
        idle_timeout_seconds: Longest time between requests of a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


class Configuration(msgspec.Struct, frozen=True):
    """All declarations, checked against each other.

    Attributes:
        tiers: Tiers by name.
        workspaces: Workspace shares by name.
        services: Services by name.
        endpoints: Endpoints by identifier.
        routes: Routes by name.
        presets: Presets by name.
        active: Name of the preset in force.
        keys: Limits of idempotency keys.
        callers: Limits of callers, or None if those in the node's settings
            apply.
    """

    tiers: dict[ids.TierName, Tier]
    services: dict[ids.ServiceName, Service]
    endpoints: dict[ids.EndpointId, Endpoint]
    routes: dict[ids.RouteName, Route]
    presets: dict[ids.PresetName, Preset]
    active: ids.PresetName
    workspaces: dict[ids.Workspace, WorkspaceShare] = {}
    keys: KeyLimits = KeyLimits()
    callers: CallerLimits | None = None

    def active_preset(self) -> Preset:
        """Returns the preset in force."""
        return self.presets[self.active]

    def match_route(
        self, path: str, host: str = ""
    ) -> tuple[ids.RouteName, Route] | None:
        """Returns the route with the longest path prefix, or None.

        Builds a route table on each call; nodes keep a `routing.RouteTable`
        instead.
        """
        return routing.RouteTable(self.routes).match(host, path)

    def tier_rank(self, route: Route) -> int:
        """Returns the rank of a route's tier; 0 is the highest priority."""
        return self.tiers[route.tier].rank

    def group_endpoints(
        self, group: ids.GroupId
    ) -> dict[ids.EndpointId, Endpoint]:
        """Returns the endpoints of a group by identifier."""
        return {
            name: endpoint
            for name, endpoint in self.endpoints.items()
            if ids.group_id(endpoint.service, endpoint.data_centre) == group
        }


class ConfigError(msgspec.Struct, frozen=True):
    """One error in the declarations.

    Attributes:
        where: File and entry, for instance `routes.toml: route "drafting"`.
        problem: What is wrong.
        remedy: How to correct it, or the allowed values.
    """

    where: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Returns the error as one line."""
        return f"{self.where}: {self.problem} ({self.remedy})"


class ActivePreset(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The preset in force.

    Attributes:
        name: Name of a declared preset.
    """

    name: ids.PresetName


class LoadedTables(dict):
    """Tables merged from files.

    Attributes:
        sources: File name by entry address `section/name`, for error lines.
    """

    def __init__(self):
        super().__init__()
        self.sources: dict[str, str] = {}


_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "tier": Tier,
    "workspace": WorkspaceShare,
    "service": Service,
    "endpoint": Endpoint,
    "route": Route,
    "preset": Preset,
    "active": ActivePreset,
    "limit": KeyLimits,
    "callers": CallerLimits,
}

# Attributes of `Configuration` by section.
_ATTRIBUTE_BY_SECTION = {
    "tier": "tiers",
    "workspace": "workspaces",
    "service": "services",
    "endpoint": "endpoints",
    "route": "routes",
    "preset": "presets",
}

# Computed once, because msgspec resolves type hints again at each call.
_FIELDS = {
    section: {item.name: item for item in msgspec.structs.fields(schema)}
    for section, schema in _SECTIONS.items()
}

# Sections whose entries have fixed names.
_FIXED_NAMES = {"active": "preset", "limit": "keys", "callers": "limits"}

# Lowest and highest value by key. The upper bounds only catch mistakes such as
# milliseconds given as seconds.
_RANGE_BY_KEY: dict[str, tuple[float, float]] = {
    "rank": (0, 1000),
    "weight": (0.001, 1_000_000),
    "max_queue_requests": (1, 1_000_000),
    "max_queue_tokens": (1, 10_000_000_000),
    "short_tokens": (0, 10_000_000),
    "max_requests": (1, 100_000),
    "max_tokens": (1, 1_000_000_000),
    "endpoint_tokens": (0, 1_000_000_000),
    "cache_tokens": (0, 1_000_000_000),
    "prefill_tokens_per_second": (0.001, 100_000_000),
    "decode_tokens_per_second": (0.001, 1_000_000),
    "timeout_seconds": (0.001, 86_400),
    "output_tokens": (0, 10_000_000),
    "max_body_bytes": (0, 1_000_000_000),
    "affinity_wait_seconds": (0, 3600),
    "other_centre_seconds": (0, 3600),
    "short_share": (0, 1),
    "high_tier_share": (0, 1),
    "window_seconds": (1, 31_536_000),
    "hedge_quantile": (0, 0.999),
    "hedge_request_share": (0, 0.5),
    "hedge_token_share": (0, 0.5),
    "hedge_workspace_share": (0, 1),
    "hedge_free_share": (0, 1),
    "hedge_window_seconds": (1, 3600),
    "kept_answers": (0, 10_000_000),
    "kept_answer_bytes": (0, 16_000_000_000),
    "max_connections": (0, 1_000_000),
    "max_attempts": (1, 16),
    "max_header_bytes": (256, 1_000_000),
    "header_timeout_seconds": (0.001, 3600),
    "idle_timeout_seconds": (0.001, 86_400),
}

_KINDS = ("engine", "plain")
_PLACEMENTS = ("end", "first_event")
_UNITS = ("requests", "tokens")
_METHODS = ("DELETE", "GET", "PATCH", "POST", "PUT")

# Names contain neither "/", which separates section and name in publications,
# nor "@", which separates service and data centre in group identifiers.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_NAME_REMEDY = "use 1 to 64 letters, digits, dots, hyphens or underscores"
_PATH = re.compile(r"/[A-Za-z0-9._~/-]{0,255}")

# Deep nesting raises RecursionError, and integers above the largest float raise
# OverflowError.
_CONVERSION_ERRORS = (msgspec.ValidationError, RecursionError, OverflowError)

# Longest part of an invalid value that an error line shows.
_MAX_SHOWN_CHARACTERS = 60


def load_files(
    paths: Iterable[str | pathlib.Path],
) -> "expression.Result[Tables, list[ConfigError]]":
    """Reads TOML files and merges their tables.

    Args:
        paths: Files; their order does not matter.

    Returns:
        The merged tables, or all errors: unreadable files, bad TOML, values
        outside tables, and entries that two files declare.
    """
    tables = LoadedTables()
    errors: list[ConfigError] = []
    for path in map(pathlib.Path, paths):
        try:
            content = tomllib.loads(path.read_text(encoding="utf-8"))
        except OSError as error:
            reason = error.strerror or str(error)
            errors.append(
                ConfigError(
                    str(path), f"cannot be read: {reason}", "check the path"
                )
            )
        except ValueError as error:  # Bad TOML or bad UTF-8.
            errors.append(
                ConfigError(
                    path.name,
                    f"is not TOML: {_printable(error)}",
                    "correct the syntax",
                )
            )
        else:
            errors.extend(_merge(tables, path.name, content))
    return expression.Error(errors) if errors else expression.Ok(tables)


def _merge(
    tables: LoadedTables, source: str, content: dict[str, Any]
) -> Iterator[ConfigError]:
    for section, entries in content.items():
        if not isinstance(entries, dict):
            yield ConfigError(
                source,
                f"{_quoted(section)} is not a table",
                "write [section.name] headers",
            )
            continue
        for name, table in entries.items():
            address = f"{section}/{name}"
            other = tables.sources.get(address)
            if other is not None:
                yield ConfigError(
                    _format_entry(source, section, name),
                    f"is also declared in {other}",
                    "keep one of them",
                )
                continue
            tables.sources[address] = source
            tables.setdefault(section, {})[name] = table


class CheckedTables(msgspec.Struct, frozen=True):
    """Valid tables and the configuration that they declare."""

    tables: Tables
    configuration: Configuration


def parse(
    tables: Tables, source: str = "", known: CheckedTables | None = None
) -> "expression.Result[Configuration, list[ConfigError]]":
    """Checks tables against the schema and against each other.

    Args:
        tables: Tables by section and name; any decoded TOML or JSON value is
            safe to pass.
        source: Origin of the tables, for error lines; not used for entries of
            tables from `load_files`, which record the file of each entry.
        known: Earlier valid tables. An entry that is the same object in both
            is not checked against the schema again, because a publication
            usually changes few of many entries. References and uniqueness are
            always checked.

    Returns:
        The configuration, or all errors in the order of the tables.
    """
    return _Parser(tables, source, known).parse()


class _Parser:
    """Checks tables in one pass and collects errors.

    Attributes:
        parsed: Entries that match their schema, by section and name.
        errors: Errors found so far.
    """

    def __init__(
        self, tables: Tables, source: str, known: CheckedTables | None
    ):
        self.known = known
        self.tables = tables
        self.source = source
        self.sources = getattr(tables, "sources", {})
        self.parsed: dict[str, dict[str, Any]] = {
            section: {} for section in _SECTIONS
        }
        self.errors: list[ConfigError] = []

    def parse(self) -> "expression.Result[Configuration, list[ConfigError]]":
        """Checks everything and returns the configuration or the errors."""
        if not isinstance(self.tables, dict):
            return expression.Error(
                [
                    ConfigError(
                        self.source or "declarations",
                        "the declarations are not a table",
                        "write [section.name] headers",
                    )
                ]
            )
        for section, entries in self.tables.items():
            self._parse_section(section, entries)
        self._check_references()
        self._check_unique()
        self._check_active()
        if self.errors:
            return expression.Error(self.errors)
        return expression.Ok(self._build())

    def _build(self) -> Configuration:
        parsed = self.parsed
        return Configuration(
            tiers=parsed["tier"],
            workspaces=parsed["workspace"],
            services=parsed["service"],
            endpoints=parsed["endpoint"],
            routes=parsed["route"],
            presets=parsed["preset"],
            active=parsed["active"]["preset"].name,
            keys=parsed["limit"].get("keys", KeyLimits()),
            callers=parsed["callers"].get("limits"),
        )

    def _add_error(
        self, section: str, name: str, problem: str, remedy: str
    ) -> None:
        source = self.sources.get(f"{section}/{name}", self.source)
        where = _format_entry(source, section, name)
        self.errors.append(ConfigError(where, problem, remedy))

    def _parse_section(self, section: str, entries: Any) -> None:
        if section not in _SECTIONS:
            self.errors.append(
                ConfigError(
                    self._section_source(section, entries),
                    f"section {_quoted(section)} is unknown",
                    f"known: {_format_names(_SECTIONS)}",
                )
            )
            return
        if not isinstance(entries, dict):
            self.errors.append(
                ConfigError(
                    self.source or "declarations",
                    f"section {_quoted(section)} is not a table",
                    f"write [{section}.name] headers",
                )
            )
            return
        checked_tables, parsed = self._checked_entries(section)
        for name, table in entries.items():
            if name in parsed and checked_tables.get(name) is table:
                self.parsed[section][name] = parsed[name]
            else:
                self._parse_entry(section, name, table)

    def _checked_entries(
        self, section: str
    ) -> tuple[dict[str, dict[str, Any]], dict[str, Any]]:
        attribute = _ATTRIBUTE_BY_SECTION.get(section)
        if self.known is None or attribute is None:
            return {}, {}
        return (
            self.known.tables.get(section, {}),
            getattr(self.known.configuration, attribute),
        )

    def _section_source(self, section: str, entries: Any) -> str:
        for name in entries if isinstance(entries, dict) else ():
            if f"{section}/{name}" in self.sources:
                return self.sources[f"{section}/{name}"]
        return self.source or "declarations"

    def _parse_entry(self, section: str, name: str, table: Any) -> None:
        fixed = _FIXED_NAMES.get(section)
        if fixed is not None and name != fixed:
            self._add_error(section, name, "is unknown", f"known: {fixed}")
            return
        if not isinstance(name, str) or not _NAME.fullmatch(name):
            self._add_error(
                section, name, "the name is not allowed", _NAME_REMEDY
            )
        if not isinstance(table, dict):
            remedy = f"write a [{section}.{_printable(name)}] header"
            self._add_error(section, name, "is not a table", remedy)
            return
        try:
            entry = msgspec.convert(table, _SECTIONS[section])
        except _CONVERSION_ERRORS:
            entry = self._parse_fields(section, name, table)
        if entry is None:
            return
        self.parsed[section][name] = entry
        for key in table:
            if key in _FIELDS[section]:
                self._check_value(section, name, key, getattr(entry, key))

    def _parse_fields(
        self, section: str, name: str, table: dict[str, Any]
    ) -> Any | None:
        """Converts each field separately, so that every error is reported."""
        fields = _FIELDS[section]
        for key in table:
            if key not in fields:
                self._add_error(
                    section,
                    name,
                    f"key {_quoted(key)} is unknown",
                    f"known: {_format_names(fields)}",
                )
        values = {}
        complete = True
        for key, field in fields.items():
            if key in table:
                try:
                    values[key] = msgspec.convert(table[key], field.type)
                except _CONVERSION_ERRORS as error:
                    self._add_error(
                        section,
                        name,
                        f"key {_quoted(key)} has the wrong type",
                        _format_type_error(error),
                    )
                    complete = False
            elif field.required:
                self._add_error(
                    section,
                    name,
                    f"key {_quoted(key)} is missing",
                    f"add {key} = ...",
                )
                complete = False
        if complete:
            return _SECTIONS[section](**values)
        for key, value in values.items():
            self._check_value(section, name, key, value)
        return None

    def _check_value(
        self, section: str, name: str, key: str, value: Any
    ) -> None:
        error = _value_error(key, value)
        if error is not None:
            problem, remedy = error
            self._add_error(section, name, f"{key} {problem}", remedy)

    def _declared(self, section: str) -> dict[str, Any]:
        # Invalid entries count as declared, so that one mistake is not reported
        # again for each reference to the entry.
        entries = self.tables.get(section)
        return entries if isinstance(entries, dict) else {}

    def _check_references(self) -> None:
        for name, endpoint in self.parsed["endpoint"].items():
            self._check_reference("endpoint", name, "service", endpoint.service)
        for name, route in self.parsed["route"].items():
            self._check_reference("route", name, "service", route.service)
            self._check_reference("route", name, "tier", route.tier)
            for split in route.splits:
                self._check_reference("route", name, "service", split.service)
                if not split.weight > 0:
                    self._add_error(
                        "route",
                        name,
                        "the weight of a split is not above 0",
                        "use a weight above 0",
                    )
        for name, preset in self.parsed["preset"].items():
            for tier in preset.refused_tiers:
                self._check_reference("preset", name, "tier", tier)
        for name, active in self.parsed["active"].items():
            self._check_reference("active", name, "preset", active.name)

    def _check_reference(
        self, section: str, name: str, kind: str, target: str
    ) -> None:
        declared = self._declared(kind)
        if target not in declared:
            self._add_error(
                section,
                name,
                f"{kind} {_quoted(target)} is not declared",
                f"declared: {_format_names(declared)}",
            )

    def _check_unique(self) -> None:
        self._check_unique_key("tier", "rank", lambda tier: tier.rank)
        self._check_unique_key("endpoint", "address", lambda item: item.address)
        self._check_unique_key(
            "route", "path", lambda route: (route.host, route.path.rstrip("/"))
        )
        keys: dict[str, str] = {}
        for name, workspace in self.parsed["workspace"].items():
            self._check_quota(name, workspace.quota)
            for key in workspace.api_keys:
                if keys.setdefault(key, name) != name:
                    self._add_error(
                        "workspace",
                        name,
                        f"an API key is already used by {_quoted(keys[key])}",
                        "give each workspace its own keys",
                    )

    def _check_quota(self, name: str, quota: Quota | None) -> None:
        if quota is None:
            return
        if quota.unit not in _UNITS:
            self._add_error(
                "workspace",
                name,
                f"quota unit {_quoted(quota.unit)} is unknown",
                f"known: {_format_names(_UNITS)}",
            )
        if not (quota.rate > 0 and quota.burst > 0):
            self._add_error(
                "workspace",
                name,
                "quota rate or burst is not above 0",
                "omit quota for no limit",
            )

    def _check_unique_key(
        self, section: str, key: str, value: Callable[[Any], Any]
    ) -> None:
        first: dict[Any, str] = {}
        for name, entry in self.parsed[section].items():
            other = first.setdefault(value(entry), name)
            if other != name:
                self._add_error(
                    section,
                    name,
                    f"{key} {_quoted(getattr(entry, key))} is already used by "
                    f"{section} {_quoted(other)}",
                    f"give each {section} its own {key}",
                )

    def _check_active(self) -> None:
        if "preset" not in self._declared("active"):
            self.errors.append(
                ConfigError(
                    self.source or "declarations",
                    "no preset is active",
                    "add [active.preset] with name = "
                    f"one of: {_format_names(self._declared('preset'))}",
                )
            )


def _value_error(key: str, value: Any) -> tuple[str, str] | None:
    if key in _RANGE_BY_KEY:
        low, high = _RANGE_BY_KEY[key]
        # NaN fails this comparison too.
        if low <= value <= high:
            return None
        return f"is {_format_number(value)}", f"allowed: {low} to {high}"
    if key == "address" and not _is_address(value):
        return (
            f"{_quoted(value)} is not an IP address and port",
            'write "10.0.0.1:9001" or "[fd00::1]:9001"',
        )
    if key == "path" and (not _PATH.fullmatch(value) or "//" in value):
        return (
            f"{_quoted(value)} is not a path",
            'begin with "/" and use letters, digits and . _ ~ - /',
        )
    if key == "kind" and value not in _KINDS:
        return f"{_quoted(value)} is unknown", f"known: {_format_names(_KINDS)}"
    if key == "placement" and value not in _PLACEMENTS:
        return (
            f"{_quoted(value)} is unknown",
            f"known: {_format_names(_PLACEMENTS)}",
        )
    if key == "methods":
        unknown = [method for method in value if method not in _METHODS]
        if unknown or not value:
            return (
                f"{_quoted(', '.join(unknown))} is not allowed",
                f"allowed: {_format_names(_METHODS)}",
            )
    if key in ("data_centre", "vm") and not _NAME.fullmatch(value):
        return f"{_quoted(value)} is not a name", _NAME_REMEDY
    return None


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host, version = host[1:-1], 6
    else:
        version = 4
    try:
        if ipaddress.ip_address(host).version != version:
            return False
    except ValueError:
        return False
    # Only one spelling of an address is allowed, so that duplicates are found.
    if not re.fullmatch(r"[1-9][0-9]{0,4}", port) or int(port) > 65_535:
        return False
    return version == 4 or str(ipaddress.ip_address(host)) == host


def _format_entry(source: str, section: str, name: Any) -> str:
    entry = f"{section} {_quoted(name)}"
    return f"{source}: {entry}" if source else entry


def _quoted(value: Any) -> str:
    return f'"{_printable(value)}"'


def _printable(value: Any) -> str:
    text = "".join(
        character if character.isprintable() else "?"
        for character in str(value)[: _MAX_SHOWN_CHARACTERS + 1]
    )
    if len(text) > _MAX_SHOWN_CHARACTERS:
        return text[:_MAX_SHOWN_CHARACTERS] + "..."
    return text


def _format_number(value: float) -> str:
    # Python refuses to print integers of more than 4300 digits.
    if isinstance(value, int) and abs(value) > 10**30:
        return "too large" if value > 0 else "too small"
    return str(value)


def _format_names(names: Iterable[str]) -> str:
    shown = sorted(_printable(name) for name in names)
    if len(shown) > 12:
        return ", ".join(shown[:12]) + f" and {len(shown) - 12} more"
    return ", ".join(shown) or "none"


def _format_type_error(error: Exception) -> str:
    text = re.sub(r" - at `.*", "", str(error)).replace("`", "")
    return _printable(text[:1].lower() + text[1:])
