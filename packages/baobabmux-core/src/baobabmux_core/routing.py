"""Selection of the route and the service of a request."""

from __future__ import annotations

import bisect
import itertools
import typing

import xxhash

if typing.TYPE_CHECKING:
    from baobabmux_core import declarations, ids


class RouteTable:
    """Routes of one configuration, indexed by host and path prefix.

    The cost of a lookup grows with the number of slashes in the path, not with
    the number of routes.
    """

    def __init__(self, routes: dict[ids.RouteName, declarations.Route]):
        self._hosts: dict[
            str, dict[str, tuple[ids.RouteName, declarations.Route]]
        ] = {}
        for name, route in routes.items():
            prefixes = self._hosts.setdefault(route.host, {})
            prefixes[route.path] = (name, route)

    def match(
        self, host: str, path: str
    ) -> tuple[ids.RouteName, declarations.Route] | None:
        """Returns the route with the longest prefix of a path.

        Args:
            host: Host name as the caller sent it, with or without a port.
            path: Path without the query.

        Returns:
            Name and route, or None if none matches. Routes for this host
            take precedence over routes for any host.
        """
        hostname = host.lower().partition(":")[0]
        for key in (hostname, "") if hostname else ("",):
            prefixes = self._hosts.get(key)
            if prefixes is not None and (
                found := _longest_prefix(prefixes, path)
            ):
                return found
        return None


def _longest_prefix(prefixes, path: str):
    if (found := prefixes.get(path)) is not None:
        return found
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        # Declared prefixes may end with a slash or without one.
        found = prefixes.get(path[: end + 1]) or prefixes.get(path[:end])
        if found is not None:
            return found
    return None


def choose_service(route: declarations.Route, request: str) -> ids.ServiceName:
    """Returns the service that receives a request.

    Args:
        route: Route that the request matched.
        request: Identifier of the request. It is hashed, so equal identifiers
            always yield the same service.
    """
    if not route.splits:
        return route.service
    cumulative = list(
        itertools.accumulate(split.weight for split in route.splits)
    )
    point = xxhash.xxh32_intdigest(request.encode()) / 2**32 * cumulative[-1]
    index = min(bisect.bisect_right(cumulative, point), len(cumulative) - 1)
    return route.splits[index].service
