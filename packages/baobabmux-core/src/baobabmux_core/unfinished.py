"""Runs without a final answer, by the endpoint that ran them.

That an endpoint ended is known some time after its connections broke, or only
when the endpoint directory no longer lists it. Until then its broken runs are
kept here, so that their contents can be attributed to its end.
"""

import collections

import msgspec

from baobabmux_core import ids

# The directory drops a silent endpoint after some seconds.
_ATTRIBUTION_SECONDS = 10.0
# Bounds the memory; the oldest entry is evicted first.
_MAX_ENDPOINTS = 1_000
_MAX_RUNS = 100


class UnfinishedRun(msgspec.Struct, frozen=True):
    """A run that ended without a final answer.

    Attributes:
        content: Digest of the request's route and body.
        started_at: Time of the dispatch in seconds.
        ended_at: Time at which the run broke off in seconds.
        parts: Shared parts of its prompt that may have ended the endpoint.
    """

    content: ids.ContentDigest
    started_at: float
    ended_at: float
    parts: tuple[ids.PartDigest, ...] = ()


class UnfinishedRuns:
    """Recent unfinished runs of one node, and the endpoints that ended."""

    def __init__(self):
        self._runs: collections.OrderedDict[
            ids.EndpointId, collections.deque[UnfinishedRun]
        ] = collections.OrderedDict()
        self._ended_at: collections.OrderedDict[ids.EndpointId, float] = (
            collections.OrderedDict()
        )

    def contents(
        self, endpoint: ids.EndpointId, now: float
    ) -> tuple[ids.ContentDigest, ...]:
        """Returns the contents of an endpoint's recent unfinished runs."""
        return tuple(
            sorted({run.content for run in self._recent(endpoint, now)})
        )

    def parts(
        self, endpoint: ids.EndpointId, now: float
    ) -> tuple[ids.PartDigest, ...]:
        """Returns the shared parts of an endpoint's recent unfinished runs."""
        runs = self._recent(endpoint, now)
        return tuple(sorted({part for run in runs for part in run.parts}))

    def add(
        self, endpoint: ids.EndpointId, run: UnfinishedRun
    ) -> tuple[UnfinishedRun, ...]:
        """Adds a run.

        Returns:
            The run if its endpoint is known to have ended under it.
        """
        if self._ended_under(endpoint, run):
            return (run,)
        runs = self._runs.setdefault(
            endpoint, collections.deque(maxlen=_MAX_RUNS)
        )
        runs.append(run)
        if len(self._runs) > _MAX_ENDPOINTS:
            self._runs.popitem(last=False)
        return ()

    def endpoint_ended(
        self, endpoint: ids.EndpointId, ended_at: float, now: float
    ) -> tuple[UnfinishedRun, ...]:
        """Records the end of an endpoint.

        Args:
            endpoint: Endpoint that ended.
            ended_at: Latest possible time of its end in seconds.
            now: Current time in seconds.

        Returns:
            The recent runs under which it ended. Each is returned once.
        """
        known = self._ended_at.pop(endpoint, ended_at)
        self._ended_at[endpoint] = max(known, ended_at)
        if len(self._ended_at) > _MAX_ENDPOINTS:
            self._ended_at.popitem(last=False)
        ended = []
        for run in self._recent(endpoint, now):
            if self._ended_under(endpoint, run):
                ended.append(run)
                self._runs[endpoint].remove(run)
        return tuple(ended)

    def _ended_under(
        self, endpoint: ids.EndpointId, run: UnfinishedRun
    ) -> bool:
        return run.started_at < self._ended_at.get(endpoint, run.started_at)

    def _recent(
        self, endpoint: ids.EndpointId, now: float
    ) -> list[UnfinishedRun]:
        return [
            run
            for run in self._runs.get(endpoint, ())
            if now - run.ended_at <= _ATTRIBUTION_SECONDS
        ]
