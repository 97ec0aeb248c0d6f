"""Which route and which service take a request."""

from __future__ import annotations

import bisect
import itertools
import typing

import xxhash

if typing.TYPE_CHECKING:
    from baobabmux_core import declarations, ids


class RouteTable:
    """Routes of one configuration, by host and path prefix.

    A lookup takes one step for each slash of the path, whatever the number of
    routes.
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
            Name and route, or None if none matches. Routes of the named host
            go before those of any host.
        """
        name = host.lower().partition(":")[0]
        for key in (name, "") if name else ("",):
            prefixes = self._hosts.get(key)
            if prefixes is not None and (found := _longest(prefixes, path)):
                return found
        return None


def _longest(prefixes, path: str):
    if (found := prefixes.get(path)) is not None:
        return found
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        # A declared prefix may end with its slash or without it.
        found = prefixes.get(path[: end + 1]) or prefixes.get(path[:end])
        if found is not None:
            return found
    return None


def choose_service(route: declarations.Route, request: str) -> ids.ServiceName:
    """Returns the service for a request of a route.

    Args:
        route: Route that the request matched.
        request: Identifier of the request; the same one always goes to the
            same service.
    """
    if not route.splits:
        return route.service
    ends = list(itertools.accumulate(split.weight for split in route.splits))
    point = xxhash.xxh32_intdigest(request.encode()) / 2**32 * ends[-1]
    index = min(bisect.bisect_right(ends, point), len(ends) - 1)
    return route.splits[index].service
