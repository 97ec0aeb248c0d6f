"""Exchange of the ends of endpoints between nodes.

Ends are counted by content and by part of prompts.

The node that held a run reports to all others when the endpoint ended under it.
Each node counts for itself, so a count survives the loss of any node. Reports
that are lost are made up for by sending recent ones again to some nodes each
second, and to nodes that were unreachable or have restarted.
"""

import collections
import random
from collections.abc import Callable, Iterable

import msgspec

from baobabmux_core import (
    effects,
    end_counts,
    ids,
    messages,
    part_ends,
    unfinished,
)

_REPEAT_SECONDS = 1.0
_REPEAT_PEERS = 2
# Time for which the ends under a content are sent again after its last end.
_REPEATED_SECONDS = 60.0
_EXPIRY_SECONDS = 10.0
# Contents, and parts, that are sent to a node at a time, the latest ones; fewer
# if the reports are only repeated.
_MAX_CAUSES = 200
_MAX_REPEATED_CAUSES = 50


class News(msgspec.Struct, frozen=True):
    """What a report of another node brings.

    Attributes:
        contents: Contents with a new end.
        parts: Parts of prompts with a new end.
        reports: Reports of this node's own runs that the endpoint's end
            explains.
    """

    contents: tuple[ids.ContentDigest, ...] = ()
    parts: tuple[ids.PartDigest, ...] = ()
    reports: tuple[messages.EndedContents, ...] = ()


class EndReports:
    """Reports of one node, and those that it receives.

    Attributes:
        counts: Ends by content, of all nodes.
        part_counts: Ends by part of prompts, of all nodes.
    """

    def __init__(
        self,
        counts: end_counts.EndCounts[ids.ContentDigest],
        seed: int,
        parts: part_ends.PartEnds | None = None,
    ):
        self.counts = counts
        self.part_counts = (parts or part_ends.PartEnds()).counts
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
    ) -> News:
        """Counts the ends of a report.

        Args:
            report: Report of another node.
            is_listed: Returns whether the endpoint directory lists an endpoint.
            now: Current time in seconds.
        """
        if not report.certain and is_listed(report.endpoint):
            return News()
        contents = tuple(
            item.content
            for item in report.ends
            if self.counts.add(
                item.content, _end(report, item.ended_ms, None, now), now
            )
        )
        parts = tuple(
            item.part
            for item in report.parts
            if self.part_counts.add(
                item.part,
                _end(report, item.ended_ms, item.content, now),
                now,
            )
        )
        if not report.certain or not (contents or parts):
            return News(contents, parts)
        ages_ms = [item.ended_ms for item in (*report.ends, *report.parts)]
        ended_at = now - min(ages_ms) / 1000
        runs = self._unfinished.endpoint_ended(report.endpoint, ended_at, now)
        own_reports = self._report(report.endpoint, runs, True, now)
        return News(contents, parts, tuple(own_reports))

    def state(self, now: float) -> list[messages.EndedContents]:
        """Returns the reports of all recent ends."""
        return self._reports(now - end_counts.KEPT_SECONDS, _MAX_CAUSES, now)

    def repeats(
        self, peers: Iterable[ids.NodeId], now: float
    ) -> list[effects.Effect]:
        """Returns the reports that are due to be sent again."""
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRY_SECONDS
            self.counts.expire(now)
            self.part_counts.expire(now)
        if now < self._repeat_at or not (self.counts or self.part_counts):
            return []
        self._repeat_at = now + _REPEAT_SECONDS
        reports = self._reports(
            now - _REPEATED_SECONDS, _MAX_REPEATED_CAUSES, now
        )
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
        parts = []
        for run in runs:
            end = end_counts.End(run.ended_at, endpoint, certain)
            age_ms = _age_ms(end.at, now)
            if self.counts.add(run.content, end, now):
                ends.append(messages.ContentEnd(run.content, age_ms))
            end = msgspec.structs.replace(end, content=run.content)
            parts += [
                messages.PartEnd(part, age_ms, run.content)
                for part in run.parts
                if self.part_counts.add(part, end, now)
            ]
        if not ends and not parts:
            return []
        return [
            messages.EndedContents(endpoint, certain, tuple(ends), tuple(parts))
        ]

    def _reports(
        self, since: float, limit: int, now: float
    ) -> list[messages.EndedContents]:
        """Returns the reports of the latest causes with an end since a time."""
        contents = collections.defaultdict(list)
        for content in list(self.counts.contents(since))[-limit:]:
            for end in self.counts.ends(content, now):
                item = messages.ContentEnd(content, _age_ms(end.at, now))
                contents[end.endpoint, end.certain].append(item)
        parts = collections.defaultdict(list)
        for part in list(self.part_counts.contents(since))[-limit:]:
            for end in self.part_counts.ends(part, now):
                item = messages.PartEnd(part, _age_ms(end.at, now), end.content)
                parts[end.endpoint, end.certain].append(item)
        return [
            messages.EndedContents(
                endpoint,
                certain,
                tuple(contents[endpoint, certain]),
                tuple(parts[endpoint, certain]),
            )
            for endpoint, certain in dict.fromkeys([*contents, *parts])
        ]


def _end(
    report: messages.EndedContents,
    ended_ms: int,
    content: ids.ContentDigest | None,
    now: float,
) -> end_counts.End:
    at = now - ended_ms / 1000
    return end_counts.End(at, report.endpoint, report.certain, content)


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))
