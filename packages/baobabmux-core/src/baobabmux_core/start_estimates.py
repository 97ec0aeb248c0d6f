"""Whether a request can start early enough, as its owner predicts it.

The owner predicts the wait of a request and the time that it runs, and learns
from the errors of both. The margin that it adds grows with the share of
requests that are refused.
"""

import math
import statistics

from baobabmux_core import (
    deadlines,
    fairness,
    first_events,
    group_state,
    held_requests,
    placement,
    shortlists,
    waits,
)

# Time to the first event in addition to the prefill: the dispatch, one decode
# step of a full batch and the return to the holder.
_FIRST_EVENT_OVERHEAD_SECONDS = 0.1
# Share of refused requests from which on predictions get their full error
# margin, and the weight of one request in that share.
_FULL_MARGIN_REFUSAL_SHARE = 0.1
_REFUSAL_WEIGHT = 0.02


class StartEstimates:
    """Predictions for the requests of one group, with their errors.

    Attributes:
        service_margin: Error of the predicted time in a slot.
        wait_margin: Error of the predicted wait.
    """

    def __init__(self, state: group_state.GroupState):
        self._state = state
        self.service_margin = deadlines.ErrorMargin()
        self.wait_margin = deadlines.ErrorMargin()
        self._refusal_share = 0.0

    # Commands.

    def check(self, entry: fairness.QueueEntry, now: float) -> float | None:
        """Sets an entry's estimates.

        Returns:
            Seconds by which its deadline or the target of its first event
            would be missed, or None if both can be met.
        """
        late_by = self._late_by(entry, now)
        if late_by is None:
            self._refusal_share -= _REFUSAL_WEIGHT * self._refusal_share
        return late_by

    def record_refusal(self) -> None:
        """Counts a request that is refused as it cannot end in time."""
        self._refusal_share += _REFUSAL_WEIGHT * (1.0 - self._refusal_share)

    def record_wait(self, entry: fairness.QueueEntry, now: float) -> None:
        """Compares the actual wait of a request with the predicted one."""
        self.wait_margin.observe(entry.predicted_wait, now - entry.queued_at)

    def _late_by(self, entry: fairness.QueueEntry, now: float) -> float | None:
        members = self._state.examined_for(entry, now)
        usable = waits.usable(members.values(), now) or [
            member for member in members.values() if member.open
        ]
        ask = entry.ask
        seconds = [
            member.model.prefill_seconds(
                ask.prompt_tokens - member.prefixes.cached_tokens(ask.prefixes)
            )
            + member.model.decode_seconds(ask.output_tokens)
            for member in usable
        ]
        entry.seconds = statistics.fmean(seconds)
        on_time_start = _on_time_start(entry, usable)
        entry.on_time_start = on_time_start
        entry.late = on_time_start < now
        entry.predicted_wait = self.wait_of(entry, now, members)
        wait = entry.predicted_wait * self._scaled(self.wait_margin)
        wait = max(wait, self._state.pause_of(entry, now))
        # Without a wait, the attempt takes no slot from another request.
        margin = self.scaled_service_margin() if wait > 0.0 else 1.0
        entry.latest_start = entry.deadline - min(seconds) * margin
        if entry.first_by < math.inf:
            if wait <= 0.0:
                # The length of a stream is a guess, and taking a free slot
                # delays no other request.
                entry.latest_start = entry.deadline
            fastest = min(
                member.model.prefill_seconds(ask.prompt_tokens)
                for member in usable
            )
            entry.latest_start = min(
                entry.latest_start, entry.first_by - fastest
            )
            is_first_attempt = ask.terms is not None and ask.terms.attempt == 1
            # A caller that takes a stream up has part of the answer.
            resumes = ask.tier == held_requests.RESUMED_RANK
            if (
                is_first_attempt
                and not resumes
                and now + wait > on_time_start
                and not entry.late
            ):
                # Other requests will occupy the slots until it is late, so
                # waiting would be useless.
                return now + wait - on_time_start
        late_by = now + wait - entry.latest_start
        return late_by if late_by > 0.0 else None

    # Queries.

    def scaled_service_margin(self) -> float:
        """Returns the factor on predicted times in a slot."""
        return self._scaled(self.service_margin)

    def wait_of(
        self,
        entry: fairness.QueueEntry,
        now: float,
        examined: shortlists.Members | None = None,
    ) -> float:
        """Predicts the remaining wait of a request, queued or not."""
        state = self._state
        if examined is None:
            examined = state.examined_for(entry, now)
        return waits.request_wait(
            entry,
            examined.values(),
            state.queue,
            state.reserved_share(entry, now),
            state.preset.short_share if state.preset else 0.0,
            now,
            group_size=max(len(examined), len(state.members)),
        )

    def _scaled(self, margin: deadlines.ErrorMargin) -> float:
        """Returns the factor by which admission multiplies a prediction.

        Slot time spent on a late request matters only while other requests
        are refused for lack of slots, so the margin grows with the share of
        refusals.
        """
        full_factor = margin.factor()
        return 1.0 + (full_factor - 1.0) * min(
            1.0, self._refusal_share / _FULL_MARGIN_REFUSAL_SHARE
        )


def _on_time_start(
    entry: fairness.QueueEntry, members: list[placement.GroupMember]
) -> float:
    """Returns the latest start with which the first event is on time."""
    if entry.target_by == math.inf:
        return math.inf
    fastest = min(
        (
            member.model.prefill_seconds(entry.ask.prompt_tokens)
            for member in members
            if member.open
        ),
        default=0.0,
    )
    overhead = first_events.overhead_seconds(
        members, _FIRST_EVENT_OVERHEAD_SECONDS
    )
    return entry.target_by - fastest - overhead
