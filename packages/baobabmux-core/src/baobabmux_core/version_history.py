"""Keeps which versions of each service's endpoints were listed recently."""

from __future__ import annotations

import collections

import msgspec

from baobabmux_core import declarations, ids

# Shortest time for which a record is kept.
_MIN_KEPT_SECONDS = 30.0
# A caller may take a stream up after its first try has timed out.
_KEPT_TIMEOUTS = 2.0
# Age of the endpoint directory from which on another version may serve without
# this node's knowledge.
_MAX_DIRECTORY_AGE_SECONDS = 3.0


class ListedVersions(msgspec.Struct, frozen=True):
    """Versions of one service since a time.

    Attributes:
        since: Time in seconds from which on every listed version is known.
        listed: Versions of the endpoints that are listed now.
        left: Time in seconds at which other versions were listed last.
    """

    since: float
    listed: frozenset[str]
    left: dict[str, float]


class VersionHistory:
    """Versions of each service's endpoints that were listed recently.

    Attributes:
        kept_seconds: Time for which a version that left is kept.
        gaps: Number of times after which versions may have been missed, the
            start of the node included.
    """

    def __init__(self):
        self.kept_seconds = _MIN_KEPT_SECONDS
        self.gaps = 1
        self._is_current = True
        self._streaming: frozenset[ids.ServiceName] = frozenset()
        self._observed_since: dict[ids.ServiceName, float] = {}
        self._listed: dict[ids.ServiceName, frozenset[str]] = {}
        # Time at which a version was listed last.
        self._left: dict[tuple[ids.ServiceName, str], float] = {}

    def configure(
        self, configuration: declarations.Configuration, now: float
    ) -> None:
        """Applies the endpoints that exist now."""
        streaming = [
            route for route in configuration.routes.values() if route.streaming
        ]
        timeouts = [route.timeout_seconds for route in streaming]
        self.kept_seconds = max(
            _MIN_KEPT_SECONDS, _KEPT_TIMEOUTS * max(timeouts, default=0.0)
        )
        self._streaming = frozenset().union(
            *(route.services() for route in streaming)
        )
        listed = collections.defaultdict(set)
        for endpoint in configuration.endpoints.values():
            listed[endpoint.service].add(endpoint.version)
        for service, known in self._listed.items():
            for version in known - listed.get(service, set()):
                self._left[service, version] = now
        self._listed = {
            service: frozenset(known) for service, known in listed.items()
        }
        for key, at in list(self._left.items()):
            if at <= now - self.kept_seconds:
                del self._left[key]
        for service in self._listed:
            self._observed_since.setdefault(service, now)

    def check_age(self, directory_age: float, now: float) -> None:
        """Starts anew if versions may have been listed unseen."""
        is_current = directory_age <= _MAX_DIRECTORY_AGE_SECONDS
        if not is_current:
            self.gaps += self._is_current
            self._observed_since = dict.fromkeys(self._observed_since, now)
        self._is_current = is_current

    def known(self) -> dict[ids.ServiceName, ListedVersions]:
        """Returns the versions of all services that send streams.

        It is empty while the endpoint directory is not current.
        """
        if not self._is_current:
            return {}
        return {
            service: ListedVersions(
                self._observed_since[service],
                listed,
                {
                    version: at
                    for (name, version), at in self._left.items()
                    if name == service and version not in listed
                },
            )
            for service, listed in self._listed.items()
            if service in self._streaming and any(listed)
        }

    def restore(
        self, service: ids.ServiceName, earlier: ListedVersions, now: float
    ) -> None:
        """Adds what was known of a service before this node's observation."""
        listed = self._listed.get(service, frozenset())
        left = dict(earlier.left)
        # They have left since the record was made, at an unknown time.
        left.update(dict.fromkeys(earlier.listed - listed, now))
        for version, at in left.items():
            if version not in listed:
                before = self._left.get((service, version), at)
                self._left[service, version] = max(at, before)
        if service in self._observed_since:
            since = min(self._observed_since[service], earlier.since)
            self._observed_since[service] = since

    def versions(self, service: ids.ServiceName, now: float) -> set[str]:
        """Returns the versions that may have begun a recent stream."""
        recent = {
            version
            for (name, version), at in self._left.items()
            if name == service and at > now - self.kept_seconds
        }
        return recent | self._listed.get(service, frozenset())

    def only_version(self, service: ids.ServiceName, now: float) -> str | None:
        """Returns the version that began every recent stream, or None.

        None means that it is not known, or that there were several.
        """
        known = self.versions(service, now)
        if len(known) != 1:
            return None
        (version,) = known
        if not version:
            # Endpoints of this service name no versions.
            return version
        since = self._observed_since.get(service)
        if since is None or now - since < self.kept_seconds:
            return None
        return version
