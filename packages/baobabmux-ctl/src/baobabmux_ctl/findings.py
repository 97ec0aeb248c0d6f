"""Findings about valid declarations: entries without effect, contradictions.

Each finding is about declarations that every node would accept, but that
cannot do what their author expects.
"""

import re
from collections.abc import Iterator

import msgspec

from baobabmux_core import declarations

_HOST = re.compile(r"[a-z0-9._-]*")


class Finding(msgspec.Struct, frozen=True):
    """One entry that cannot work as declared.

    Attributes:
        section: Section of the entry.
        name: Name of the entry.
        problem: What cannot work, and why.
        remedy: What to do.
    """

    section: str
    name: str
    problem: str
    remedy: str


def review(configuration: declarations.Configuration) -> list[Finding]:
    """Returns all findings about a configuration, in order of its entries."""
    return [
        *_unmatched_routes(configuration),
        *_routes_without_endpoints(configuration),
        *_unused_entries(configuration),
        *_unreachable_workspaces(configuration),
        *_route_limits(configuration),
        *_service_policies(configuration),
        *_endpoint_limits(configuration),
        *_preset_limits(configuration),
        *_workspace_limits(configuration),
    ]


def _unmatched_routes(
    configuration: declarations.Configuration,
) -> Iterator[Finding]:
    for name, route in configuration.routes.items():
        if not _HOST.fullmatch(route.host):
            yield Finding(
                "route",
                name,
                f'host "{route.host}" never matches: callers\' hosts are '
                "compared in lower case and without a port",
                "write the host name alone, in lower case",
            )


def _routes_without_endpoints(
    configuration: declarations.Configuration,
) -> Iterator[Finding]:
    served = {item.service for item in configuration.endpoints.values()}
    for name, route in configuration.routes.items():
        for service in sorted(route.services() - served):
            yield Finding(
                "route",
                name,
                f'service "{service}" has no endpoint, so its requests are '
                "refused",
                "declare an endpoint first, or route to another service",
            )


def _unused_entries(
    configuration: declarations.Configuration,
) -> Iterator[Finding]:
    routes = configuration.routes.values()
    tiers = {route.tier for route in routes}
    services = frozenset().union(*(route.services() for route in routes))
    for name in configuration.tiers.keys() - tiers:
        yield Finding(
            "tier", name, "no route has this tier", "remove it, or use it"
        )
    for name in configuration.services.keys() - services:
        yield Finding(
            "service",
            name,
            "no route leads to this service",
            "remove it, or add a route",
        )


def _unreachable_workspaces(
    configuration: declarations.Configuration,
) -> Iterator[Finding]:
    routes = configuration.routes.items()
    keyed = [name for name, route in routes if not route.anonymous]
    workspaces = configuration.workspaces
    has_keys = any(item.api_keys for item in workspaces.values())
    if keyed and not has_keys:
        for name in keyed:
            yield Finding(
                "route",
                name,
                "it needs an API key and no workspace has one, so every "
                "request is refused",
                "give a workspace api_keys, or set anonymous = true",
            )
    if keyed and len(keyed) == len(configuration.routes) and has_keys:
        for name, workspace in workspaces.items():
            if not workspace.api_keys:
                yield Finding(
                    "workspace",
                    name,
                    "it has no API key and every route needs one, so no "
                    "request can belong to it",
                    "give it api_keys, or remove it",
                )
    if not keyed:
        for name, workspace in workspaces.items():
            if workspace.api_keys:
                yield Finding(
                    "workspace",
                    name,
                    "its API keys are never asked for: all routes are "
                    "anonymous",
                    "set anonymous = false on the routes that need keys",
                )


def _route_limits(
    configuration: declarations.Configuration,
) -> Iterator[Finding]:
    for name, route in configuration.routes.items():
        for problem, remedy in _contradictions(route, configuration):
            yield Finding("route", name, problem, remedy)


def _contradictions(
    route: declarations.Route,
    configuration: declarations.Configuration,
) -> Iterator[tuple[str, str]]:
    target = route.target_seconds
    if target is not None and target > route.timeout_seconds:
        yield (
            f"target_seconds {target:g} is above timeout_seconds "
            f"{route.timeout_seconds:g}",
            "raise timeout_seconds, or lower the target",
        )
    if route.gap_seconds is not None and not route.streaming:
        yield (
            "gap_seconds has no effect: the answer is not a stream",
            "set streaming = true, or remove gap_seconds",
        )
    if route.resumable and not route.streaming:
        yield (
            "resumable has no effect: the answer is not a stream",
            "set streaming = true, or remove resumable",
        )
    callers = configuration.callers
    if callers is not None and route.max_body_bytes > callers.max_body_bytes:
        yield (
            f"max_body_bytes {route.max_body_bytes} is above the limit of "
            f"callers, {callers.max_body_bytes}, which applies first",
            "raise callers.limits, or lower the route's limit",
        )
    for service_name in sorted(route.services()):
        service = configuration.services[service_name]
        members = [
            endpoint
            for endpoint in configuration.endpoints.values()
            if endpoint.service == service_name
        ]
        yield from _service_contradictions(route, service_name, service)
        if members:
            yield from _member_contradictions(
                route, service_name, service, members
            )


def _service_contradictions(
    route: declarations.Route,
    name: str,
    service: declarations.Service,
) -> Iterator[tuple[str, str]]:
    if (
        service.kind == "engine"
        and route.output_tokens > service.max_queue_tokens
    ):
        yield (
            f"output_tokens {route.output_tokens} is above max_queue_tokens "
            f'{service.max_queue_tokens} of service "{name}", so no request '
            "can wait",
            "raise max_queue_tokens of the service",
        )


def _member_contradictions(
    route: declarations.Route,
    name: str,
    service: declarations.Service,
    members: list[declarations.Endpoint],
) -> Iterator[tuple[str, str]]:
    if route.max_attempts > len(members):
        yield (
            f"max_attempts {route.max_attempts} is above the number of "
            f'endpoints of service "{name}", {len(members)}',
            "lower max_attempts, or declare more endpoints",
        )
    if service.kind != "engine":
        return
    most = max(item.max_tokens for item in members)
    if route.output_tokens > most:
        yield (
            f"output_tokens {route.output_tokens} is above max_tokens of "
            f'every endpoint of service "{name}", at most {most}',
            "raise max_tokens of endpoints, or lower output_tokens",
        )
    rate = max(item.decode_tokens_per_second for item in members)
    seconds = route.output_tokens / rate
    if seconds > route.timeout_seconds:
        yield (
            f"output_tokens {route.output_tokens} take {seconds:.1f} s at the "
            f'fastest endpoint of service "{name}", longer than '
            f"timeout_seconds {route.timeout_seconds:g}",
            "raise timeout_seconds, or lower output_tokens",
        )


def _service_policies(
    configuration: declarations.Configuration,
) -> Iterator[Finding]:
    for name, service in configuration.services.items():
        routes = [
            route
            for route in configuration.routes.values()
            if name in route.services()
        ]
        if not routes:
            continue
        if service.hedge_quantile > 0 and not any(map(_may_repeat, routes)):
            yield Finding(
                "service",
                name,
                "hedge_quantile has no effect: no request of its routes may "
                "run at a second endpoint",
                "allow two attempts on a route whose requests may be repeated",
            )
        if service.placement == "first_event" and all(
            route.target_seconds is None for route in routes
        ):
            yield Finding(
                "service",
                name,
                'placement "first_event" has no effect: no route states when '
                "its first event is late",
                "set target_seconds on its routes",
            )


def _may_repeat(route: declarations.Route) -> bool:
    is_repeatable = route.resumable if route.streaming else route.idempotent
    return route.max_attempts > 1 and is_repeatable


def _endpoint_limits(
    configuration: declarations.Configuration,
) -> Iterator[Finding]:
    for name, endpoint in configuration.endpoints.items():
        service = configuration.services[endpoint.service]
        connections = service.max_connections
        if 0 < connections < endpoint.max_requests:
            yield Finding(
                "endpoint",
                name,
                f"max_requests {endpoint.max_requests} is above "
                f"max_connections {connections} of its service; a request "
                "needs a connection",
                "lower max_requests, or raise max_connections",
            )


def _preset_limits(
    configuration: declarations.Configuration,
) -> Iterator[Finding]:
    used = {route.tier for route in configuration.routes.values()}
    for name, preset in configuration.presets.items():
        if used and used <= set(preset.refused_tiers):
            yield Finding(
                "preset",
                name,
                "it refuses the tiers of all routes",
                "leave a tier out of refused_tiers",
            )
        reserved = preset.short_share + preset.high_tier_share
        if reserved >= 1.0:
            yield Finding(
                "preset",
                name,
                f"short_share and high_tier_share reserve {reserved:.0%} of "
                "the slots, so long requests of the lowest tier never start "
                "beside others",
                "keep their sum below 1",
            )


def _workspace_limits(
    configuration: declarations.Configuration,
) -> Iterator[Finding]:
    tokens = [
        route.output_tokens
        for route in configuration.routes.values()
        if configuration.services[route.service].kind == "engine"
    ]
    for name, workspace in configuration.workspaces.items():
        quota = workspace.quota
        if quota is None:
            continue
        if quota.unit != "tokens":
            least = 1
        else:
            least = max(quota.plain_tokens, min(tokens, default=0))
        if quota.burst < least:
            yield Finding(
                "workspace",
                name,
                f"quota burst {quota.burst:g} is below one request, {least} "
                f"{quota.unit}",
                "raise the burst to that of several requests",
            )
