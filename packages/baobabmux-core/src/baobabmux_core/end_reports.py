"""Exchange of the ends of endpoints under contents between nodes.

The node that held a run reports to all others when the endpoint ended under it.
Each node counts for itself, so a count survives the loss of any node. Reports
that are lost are made up for by sending recent ones again to some nodes each
second, and to nodes that were unreachable or have restarted.
"""

import collections
import random
from collections.abc import Callable, Iterable

from baobabmux_core import effects, end_counts, ids, messages, unfinished

_REPEAT_SECONDS = 1.0
_REPEAT_PEERS = 2
# Time for which the ends under a content are sent again after its last end.
_REPEATED_SECONDS = 60.0
_EXPIRY_SECONDS = 10.0
# Contents that are sent to a node at a time, the latest ones; fewer if the
# reports are only repeated.
_MAX_CONTENTS = 200
_MAX_REPEATED_CONTENTS = 50


class EndReports:
    """Reports of one node, and those that it receives.

    Attributes:
        counts: Ends by content, of all nodes.
    """

    def __init__(self, counts: end_counts.EndCounts, seed: int):
        self.counts = counts
        self._unfinished = unfinished.UnfinishedRuns()
        self._generator = random.Random(seed)
        self._repeat_at = 0.0
        self._expire_at = 0.0

    def unfinished_contents(
        self, endpoint: ids.EndpointId, now: float
    ) -> tuple[ids.ContentDigest, ...]:
        """Returns the contents of recent unfinished runs at an endpoint."""
        return self._unfinished.contents(endpoint, now)

    def unfinished_parts(
        self, endpoint: ids.EndpointId, now: float
    ) -> tuple[ids.PartDigest, ...]:
        """Returns the parts of recent unfinished runs at an endpoint."""
        return self._unfinished.parts(endpoint, now)

    def add_unfinished(
        self,
        endpoint: ids.EndpointId,
        run: unfinished.UnfinishedRun,
        now: float,
    ) -> list[messages.EndedContents]:
        """Adds a run that broke off; returns a report if its endpoint ended."""
        return self._report(
            endpoint, self._unfinished.add(endpoint, run), True, now
        )

    def endpoint_ended(
        self, endpoint: ids.EndpointId, certain: bool, now: float
    ) -> list[messages.EndedContents]:
        """Records the end of an endpoint; returns a report to all nodes."""
        runs = self._unfinished.endpoint_ended(endpoint, now, now)
        return self._report(endpoint, runs, certain, now)

    def receive(
        self,
        report: messages.EndedContents,
        is_listed: Callable[[ids.EndpointId], bool],
        now: float,
    ) -> tuple[list[ids.ContentDigest], list[messages.EndedContents]]:
        """Counts the ends of a report.

        Args:
            report: Report of another node.
            is_listed: Returns whether the endpoint directory lists an endpoint.
            now: Current time in seconds.

        Returns:
            The contents whose ends were news, and the reports of this node's
            own runs that the endpoint's end explains.
        """
        if not report.certain and is_listed(report.endpoint):
            return [], []
        news = []
        for item in report.ends:
            at = now - item.ended_ms / 1000
            end = end_counts.End(at, report.endpoint, report.certain)
            if self.counts.add(item.content, end, now):
                news.append(item.content)
        if not report.certain or not news:
            return news, []
        ended_at = now - min(item.ended_ms for item in report.ends) / 1000
        runs = self._unfinished.endpoint_ended(report.endpoint, ended_at, now)
        return news, self._report(report.endpoint, runs, True, now)

    def state(self, now: float) -> list[messages.EndedContents]:
        """Returns the reports of all recent ends."""
        contents = list(self.counts.contents(now - end_counts.KEPT_SECONDS))
        return self._reports(contents[-_MAX_CONTENTS:], now)

    def repeats(
        self, peers: Iterable[ids.NodeId], now: float
    ) -> list[effects.Effect]:
        """Returns the reports that are due to be sent again."""
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRY_SECONDS
            self.counts.expire(now)
        if now < self._repeat_at or not self.counts:
            return []
        self._repeat_at = now + _REPEAT_SECONDS
        contents = list(self.counts.contents(now - _REPEATED_SECONDS))
        reports = self._reports(contents[-_MAX_REPEATED_CONTENTS:], now)
        order = sorted(peers)
        chosen = self._generator.sample(order, min(_REPEAT_PEERS, len(order)))
        return [effects.Send(peer, r) for peer in chosen for r in reports]

    def _report(
        self,
        endpoint: ids.EndpointId,
        runs: Iterable[unfinished.UnfinishedRun],
        certain: bool,
        now: float,
    ) -> list[messages.EndedContents]:
        """Counts the ends under runs of this node and returns their report."""
        ends = []
        for run in runs:
            end = end_counts.End(run.ended_at, endpoint, certain)
            if self.counts.add(run.content, end, now):
                ends.append(
                    messages.ContentEnd(run.content, _age_ms(end.at, now))
                )
        if not ends:
            return []
        return [messages.EndedContents(endpoint, certain, tuple(ends))]

    def _reports(
        self, contents: list[ids.ContentDigest], now: float
    ) -> list[messages.EndedContents]:
        by_endpoint = collections.defaultdict(list)
        for content in contents:
            for end in self.counts.ends(content, now):
                item = messages.ContentEnd(content, _age_ms(end.at, now))
                by_endpoint[end.endpoint, end.certain].append(item)
        return [
            messages.EndedContents(endpoint, certain, tuple(items))
            for (endpoint, certain), items in by_endpoint.items()
        ]


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))
