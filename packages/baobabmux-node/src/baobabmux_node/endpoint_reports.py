"""Polls the load reports and cache events of the engines of owned groups.

The results are passed to the scheduler. The module owns one polling task for
each engine.
"""

import time
from typing import TYPE_CHECKING

import curio
import msgspec

from baobabmux_core import ids
from baobabmux_node import client, clock

if TYPE_CHECKING:
    from baobabmux_node import node

_POLL_INTERVAL_SECONDS = 1.0
_TIMEOUT_SECONDS = 2.0


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's report of its load.

    Attributes:
        running: Number of requests in its batch.
        waiting: Number of requests in its queue.
        tokens: Number of tokens that it holds.
        as_of_ms: Unix time in milliseconds that the report describes.
    """

    running: int
    waiting: int
    tokens: int
    as_of_ms: int


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache.

    Attributes:
        sequence: Number of the event.
        kind: "stored" or "evicted".
        digest: Digest of the prefix.
        tokens: Length of the prefix in tokens.
    """

    sequence: int
    kind: str
    digest: int
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """A page of cache events.

    Attributes:
        next: Number of the event at which the next page starts.
        events: Events in order.
    """

    next: int
    events: list[CacheEvent]


class EndpointReports:
    """Runs one polling task for each engine of the groups of this node."""

    def __init__(self, host: "node.Node"):
        self._host = host
        self._pollers: dict[ids.EndpointId, curio.Task] = {}

    async def run(self) -> None:
        """Starts and cancels polling tasks as ownership changes."""
        while True:
            wanted = set(self._engines())
            for endpoint in self._pollers.keys() - wanted:
                await self._pollers.pop(endpoint).cancel(blocking=False)
            for endpoint in wanted - self._pollers.keys():
                self._pollers[endpoint] = await curio.spawn(
                    self._poll, endpoint, daemon=True
                )
            await curio.sleep(_POLL_INTERVAL_SECONDS)

    def _engines(self) -> list[ids.EndpointId]:
        configuration = self._host.configuration
        if configuration is None:
            return []
        return [
            endpoint
            for endpoint in self._host.scheduler.groups.endpoints()
            if endpoint in configuration.endpoints
            and self._host.callers.endpoint(endpoint)[0] == "engine"
        ]

    async def _poll(self, endpoint: ids.EndpointId) -> None:
        sequence = 0
        while True:
            await curio.sleep(_POLL_INTERVAL_SECONDS)
            _, address = self._host.callers.endpoint(endpoint)
            report = await _fetch_report(address, "/v1/load", LoadReport)
            if report is not None:
                await self._apply_load_report(endpoint, report)
            target = f"/v1/cache-events?from={sequence}"
            page = await _fetch_report(address, target, CacheEvents)
            if page is not None:
                sequence = page.next
                self._apply_cache_events(endpoint, page)

    async def _apply_load_report(
        self, endpoint: ids.EndpointId, report: LoadReport
    ) -> None:
        now = clock.now()
        age = max(0.0, time.time() - report.as_of_ms / 1000)
        await self._host.driver.apply(
            self._host.scheduler.load_report(
                endpoint,
                report.running,
                report.waiting,
                report.tokens,
                now - age,
                now,
            )
        )

    def _apply_cache_events(
        self, endpoint: ids.EndpointId, page: CacheEvents
    ) -> None:
        now = clock.now()
        for event in page.events:
            self._host.scheduler.cache_event(
                endpoint,
                event.kind,
                ids.PrefixDigest(event.digest),
                event.tokens,
                now,
            )


async def _fetch_report(address: str, target: str, schema: type):
    """Returns a report, or None if the engine sent no valid one."""
    try:
        status, body = await client.fetch(
            address, "GET", target, timeout=_TIMEOUT_SECONDS
        )
        if status != 200:
            return None
        return msgspec.json.decode(body, type=schema)
    except (client.ClientError, msgspec.DecodeError):
        return None
