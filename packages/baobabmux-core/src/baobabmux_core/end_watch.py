"""Contents and prompt parts under which endpoints have ended.

The node counts the ends of endpoints by the requests that ran there, tells
other nodes, and refuses requests with a content or part that is quarantined.
"""

from __future__ import annotations

import typing
from collections.abc import Container, Iterable

from baobabmux_core import (
    effects,
    end_counts,
    end_reports,
    held_requests,
    ids,
    messages,
    part_ends,
    quarantine,
    states,
    unfinished,
)

if typing.TYPE_CHECKING:
    from baobabmux_core import holders, node_view

# Outcomes after which the endpoint may have ended under the run. After the
# others it has answered, or it has not received the request.
_UNFINISHED_OUTCOMES = states.BROKEN_OUTCOMES | {states.Outcome.CANCELLED}
# Ends of a part from which on all nodes are told that it is sound.
_WIDELY_PROVED_ENDS = 2


class EndWatch:
    """Counts ends of endpoints by content and part, with all other nodes.

    Args:
        view: State of the node.
        holder: Holder of the node's requests.
        suspects: Contents and parts under which endpoints have ended.
        seed: Seed of the times at which reports are repeated.
    """

    def __init__(
        self,
        view: node_view.NodeView,
        holder: holders.Holder,
        suspects: quarantine.Quarantine,
        seed: int,
    ):
        self._view = view
        self._holder = holder
        self._quarantine = suspects
        self._end_reports = end_reports.EndReports(
            suspects.ends, seed, suspects.parts
        )

    # Commands.

    def record_outcome(
        self,
        request: ids.RequestId,
        outcome: states.Outcome,
        succeeded: bool,
        now: float,
    ) -> list[effects.Effect]:
        """Clears what a run has proved sound, or keeps the unfinished run."""
        held = self._holder.held.get(request)
        if held is None:
            return []
        content = held.work.content
        # An endpoint may report a failure without having begun the run.
        succeeded = succeeded and outcome is states.Outcome.COMPLETED
        was_written = held.written_seconds() >= part_ends.PROOF_SECONDS
        emitted: list[effects.Effect] = []
        if succeeded or was_written:
            emitted += self.prove_parts(held, now)
        if succeeded and content in self._quarantine.ends:
            self._quarantine.ends.clear(content, now)
            emitted += self._view.broadcast(messages.Cleared(content))
        if outcome not in _UNFINISHED_OUTCOMES:
            return emitted
        parts = () if was_written else held.work.parts
        run = unfinished.UnfinishedRun(content, held.dispatched_at, now, parts)
        reports = self._end_reports.add_unfinished(held.endpoint, run, now)
        return emitted + self._broadcast_reports(reports, now)

    def prove_parts(
        self, held: held_requests.Held, now: float
    ) -> list[effects.Effect]:
        """Records that the parts of a request's prompt end no endpoint.

        All nodes are told of a part that may soon be refused; of others only
        the owner, since most nodes see a proof of their own.
        """
        dropped = self._quarantine.parts.prove(held.work.parts, now)
        if not dropped:
            return []
        message = messages.PartsProved(tuple(dropped))
        if max(dropped.values()) >= _WIDELY_PROVED_ENDS:
            return self._view.broadcast(message)
        if held.owner in (None, self._view.node):
            return []
        return [effects.Send(held.owner, message)]

    def record_progress(
        self, held: held_requests.Held, now: float
    ) -> list[effects.Effect]:
        """Clears the parts of a request that has been written for a while."""
        if (
            not self._quarantine.parts.counts
            or held.written_seconds() < part_ends.PROOF_SECONDS
        ):
            return []
        return self.prove_parts(held, now)

    def endpoint_ended(
        self, endpoint: ids.EndpointId, now: float, *, certain: bool = True
    ) -> list[effects.Effect]:
        """Records that an endpoint has ended.

        Args:
            endpoint: Endpoint that ended.
            now: Current time in seconds.
            certain: False if the endpoint may only be cut off.
        """
        return self._broadcast_reports(
            self._end_reports.endpoint_ended(endpoint, certain, now), now
        )

    def suspected(
        self, message: messages.Suspect, now: float
    ) -> list[effects.Effect]:
        """Applies another node's suspicion of contents."""
        for content in message.contents:
            if message.alone:
                self._quarantine.confirm(content, now)
            else:
                self._quarantine.suspect(content, now)
        emitted = []
        for owner in self._view.owned.values():
            emitted += owner.contents_changed(message.contents, now)
        return emitted

    def reported(
        self,
        report: messages.EndedContents,
        sender: ids.NodeId,
        now: float,
    ) -> list[effects.Effect]:
        """Applies another node's report of ends."""
        news = self._end_reports.receive(report, self._view.is_declared, now)
        return [
            *self._correct_sender(report, sender, now),
            *self._refuse_quarantined(news.contents, news.parts, now),
            *self._broadcast_reports(list(news.reports), now),
        ]

    def cleared(
        self, content: ids.ContentDigest, now: float
    ) -> list[effects.Effect]:
        """Applies the proof that a content ends no endpoint."""
        self._quarantine.clear(content, now)
        self._quarantine.ends.clear(content, now)
        emitted = []
        for owner in self._view.owned.values():
            emitted += owner.contents_changed((content,), now)
        return emitted

    def _broadcast_reports(
        self, reports: list[messages.EndedContents], now: float
    ) -> list[effects.Effect]:
        emitted = []
        for report in reports:
            emitted += self._view.broadcast(report)
            contents = [item.content for item in report.ends]
            parts = [item.part for item in report.parts]
            emitted += self._refuse_quarantined(contents, parts, now)
        return emitted

    def _refuse_quarantined(
        self,
        contents: Iterable[ids.ContentDigest],
        parts: Iterable[ids.PartDigest],
        now: float,
    ) -> list[effects.Effect]:
        """Refuses waiting requests whose content or part is quarantined."""
        refused = tuple(
            content
            for content in contents
            if self._quarantine.status(content, now)
            is quarantine.ContentStatus.CONFIRMED
        )
        if not refused and not self._quarantine.parts.refused_for(parts, now):
            return []
        emitted = self._holder.refuse_quarantined(
            lambda work: self._quarantine.refused_for(
                work.content, work.parts, now
            )
        )
        for owner in self._view.owned.values():
            emitted += owner.contents_changed(refused, now)
        return emitted

    def _correct_sender(
        self,
        report: messages.EndedContents,
        sender: ids.NodeId,
        now: float,
    ) -> list[effects.Effect]:
        """Tells a sender what it reports although it was cleared since."""
        if sender not in self._view.reachable:
            return []
        counts = self._quarantine.ends
        emitted: list[effects.Effect] = [
            effects.Send(sender, messages.Cleared(item.content))
            for item in report.ends
            if counts.is_cleared(item.content, now - item.ended_ms / 1000)
        ]
        part_counts = self._quarantine.parts.counts
        proved = tuple(
            item.part
            for item in report.parts
            if part_counts.is_cleared(item.part, now - item.ended_ms / 1000)
        )
        if proved:
            emitted.append(effects.Send(sender, messages.PartsProved(proved)))
        return emitted

    def configure(self, endpoints: Container[ids.EndpointId]) -> None:
        """Applies the endpoints that exist now."""
        self._quarantine.ends.endpoints_listed(endpoints)
        self._quarantine.parts.counts.endpoints_listed(endpoints)

    def state(self, now: float) -> list[messages.EndedContents]:
        """Returns the reports for nodes that may lack them."""
        return self._end_reports.state(now)

    def repeats(
        self, peers: set[ids.NodeId], now: float
    ) -> list[effects.Effect]:
        """Returns the repeated reports that are due."""
        return self._end_reports.repeats(peers, now)

    # Queries.

    def ended_before(self, work: effects.Work, at: float) -> bool:
        """Returns whether endpoints had ended by then under a request."""
        return self._quarantine.ends.ended_before(
            work.content, at
        ) or self._quarantine.parts.suspected_before(work.parts, at)

    def unfinished_contents(
        self, endpoint: ids.EndpointId, now: float
    ) -> tuple[ids.ContentDigest, ...]:
        """Returns the contents of recent unfinished runs at an endpoint."""
        return self._end_reports.unfinished_contents(endpoint, now)

    def unfinished_parts(
        self, endpoint: ids.EndpointId, now: float
    ) -> tuple[ids.PartDigest, ...]:
        """Returns the parts of recent unfinished runs at an endpoint."""
        return self._end_reports.unfinished_parts(endpoint, now)

    def counted_contents(
        self, at_least: int, now: float
    ) -> dict[ids.ContentDigest, tuple[end_counts.End, ...]]:
        """Returns the ends of contents that have at least that many."""
        ends = self._quarantine.ends
        return {
            content: ends.ends(content, now)
            for content in ends.counted(at_least, now)
        }

    def has_ended_endpoints(self, content: ids.ContentDigest) -> bool:
        """Returns whether endpoints ended under a content."""
        return content in self._quarantine.ends

    def content_end_counts(self, now: float) -> dict[ids.ContentDigest, int]:
        """Returns the number of counted ends by content."""
        return self._quarantine.ends.counted(1, now)

    def part_end_counts(self, now: float) -> dict[ids.PartDigest, int]:
        """Returns the number of counted ends by part of prompts."""
        return self._quarantine.parts.counts.counted(1, now)

    def counted_parts(
        self, at_least: int, now: float
    ) -> dict[ids.PartDigest, tuple[end_counts.End, ...]]:
        """Returns the ends of parts that have at least that many."""
        ends = self._quarantine.parts.counts
        return {
            part: ends.ends(part, now) for part in ends.counted(at_least, now)
        }

    def part_has_ended_endpoints(self, part: ids.PartDigest) -> bool:
        """Returns whether endpoints ended under a part that is not proved."""
        return part in self._quarantine.parts.counts

    def is_part_refused(self, part: ids.PartDigest, now: float) -> bool:
        """Returns whether requests with a part are refused."""
        return self._quarantine.parts.refused_for((part,), now) > 0.0
