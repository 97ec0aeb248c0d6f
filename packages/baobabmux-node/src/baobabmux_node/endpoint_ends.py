"""Detects that endpoints have ended, and reports it to the scheduler.

A broken connection does not tell whether the endpoint ended, closed one
connection or was cut off. After a broken run the node therefore connects again:
only an endpoint that has ended refuses the connections of several nodes.
"""

import collections
import enum
from typing import TYPE_CHECKING

import curio

from baobabmux_core import catalogue, ids, states
from baobabmux_node import adapters, clock

if TYPE_CHECKING:
    from baobabmux_node import node

# A process that is ending may still accept a connection, so the first probe is
# followed by a second one.
_PROBE_DELAYS_SECONDS = (0.0, 0.1)
# An end without unfinished runs is recorded once in this time.
_REPEAT_SECONDS = 5.0
_MAX_KNOWN = 1_000

Kind = catalogue.EventKind


class Evidence(enum.Enum):
    """What shows that an endpoint has ended."""

    REFUSED = "refused"  # It refuses the connections of several nodes.
    UNLISTED = "unlisted"  # The endpoint directory no longer lists it.


class EndpointEnds:
    """Collects evidence for the ends of endpoints."""

    def __init__(self, host: "node.Node"):
        self._host = host
        self._probed: set[ids.EndpointId] = set()
        self._known: collections.OrderedDict[ids.EndpointId, float] = (
            collections.OrderedDict()
        )

    async def attempt_ended(
        self, endpoint: ids.EndpointId, result: adapters.Result
    ) -> None:
        """Checks the endpoint of an attempt that failed."""
        if result.refused:
            await self.record(endpoint, Evidence.REFUSED)
            return
        declared = self._host.configuration.endpoints.get(endpoint)
        if (
            declared is None
            or result.outcome not in states.BROKEN_OUTCOMES
            or endpoint in self._probed
        ):
            return
        self._probed.add(endpoint)
        await curio.spawn(self._probe, endpoint, declared.address, daemon=True)

    async def record(
        self, endpoint: ids.EndpointId, evidence: Evidence
    ) -> None:
        """Records the end of an endpoint and reports it to the scheduler."""
        now = clock.now()
        contents = self._host.scheduler.ends.unfinished_contents(endpoint, now)
        known = now - self._known.get(endpoint, now - _REPEAT_SECONDS)
        if not contents and known < _REPEAT_SECONDS:
            return
        self._known[endpoint] = now
        if len(self._known) > _MAX_KNOWN:
            self._known.popitem(last=False)
        self._host.events.record(
            Kind.ENDPOINT_ENDED,
            endpoint=endpoint,
            evidence=evidence.value,
            contents=[f"{content:x}" for content in contents],
            parts=[
                f"{part:x}"
                for part in self._host.scheduler.ends.unfinished_parts(
                    endpoint, now
                )
            ],
        )
        self._host.metrics.endpoint_ends.labels(evidence.value).inc()
        await self._host.driver.apply(
            self._host.scheduler.ends.endpoint_ended(
                endpoint, now, certain=evidence is Evidence.REFUSED
            )
        )

    async def _probe(self, endpoint: ids.EndpointId, address: str) -> None:
        try:
            for delay in _PROBE_DELAYS_SECONDS:
                await curio.sleep(delay)
                if await self._host.paths.has_ended(endpoint, address):
                    await self.record(endpoint, Evidence.REFUSED)
                    return
        finally:
            self._probed.discard(endpoint)
