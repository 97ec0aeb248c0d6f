"""Compares what callers were told with what the stand-ins have counted."""

import collections
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from baobabmux_core import ids, invariants, states

_OWN_CONTENT = ids.ContentDigest(1)
_OTHER_CONTENT = ids.ContentDigest(0)


class Outcome(msgspec.Struct, frozen=True):
    """What one caller knows at the end of its call.

    Attributes:
        marker: Marker in the body of the call.
        connected: Whether a node took the connection.
        answered: Whether an answer arrived to its end.
        status: HTTP status, or 0.
        run_status: Run status that the answer states, or "".
        kind: Error kind that the answer states, or "".
        own: False if a good answer is not the complete one to this call.
    """

    marker: str
    connected: bool
    answered: bool
    status: int
    run_status: str
    kind: str
    own: bool

    @property
    def is_whole(self) -> bool:
        """Whether the call has its good answer, whole."""
        good = 200 <= self.status < 300
        return self.answered and good and not self.kind

    @property
    def is_not_run(self) -> bool:
        """Whether the caller knows that the call was not run."""
        refused = self.answered and self.run_status == "not_run"
        return not self.connected or refused

    @property
    def is_lost(self) -> bool:
        """Whether the caller was left without a final answer."""
        return self.connected and not self.answered


def merge_counts(counts: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """Adds up the counts of several stand-ins by name."""
    merged: dict[str, collections.Counter[str]] = {}
    for one in counts:
        for kind, names in one.items():
            merged.setdefault(kind, collections.Counter()).update(names)
    return merged


def not_whole(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Returns the outcomes of calls without their good answer."""
    return [outcome for outcome in outcomes if not outcome.is_whole]


def find_violations(
    outcomes: Iterable[Outcome],
    counts: dict[str, Any],
    may_lose: bool = False,
) -> list[str]:
    """Returns every contradiction between callers and stand-ins.

    The invariants are those of `baobabmux_core.invariants`, over the facts
    that callers and stand-ins have seen.

    Args:
        outcomes: One outcome for each call.
        counts: Merged counts of all endpoints.
        may_lose: Whether callers may be left without an answer, as when a
            node was killed.
    """
    outcomes = list(outcomes)
    facts = list(_call_facts(outcomes, counts.get("by_marker", {})))
    return [
        *invariants.dispatched_at_most_once(
            _attempt_facts(counts.get("by_attempt", {}))
        ),
        *invariants.keys_run_at_most_once(facts),
        *invariants.answers_are_own_and_complete(facts),
        *invariants.not_run_requests_never_run(facts),
        *(
            f"{outcome.marker} was left without an answer: {outcome}"
            for outcome in outcomes
            if outcome.is_lost and not may_lose
        ),
        *(
            f"{outcome.marker} was refused without a run status: {outcome}"
            for outcome in outcomes
            if outcome.answered
            and not outcome.is_whole
            and not outcome.run_status
        ),
    ]


def _attempt_facts(runs: dict[str, int]) -> Iterator[invariants.Fact]:
    """Yields a dispatch for each run of each attempt."""
    for attempt, number in runs.items():
        for _ in range(number):
            yield invariants.Dispatched(
                ids.RequestId(attempt), ids.AttemptId(attempt)
            )


def _call_facts(
    outcomes: list[Outcome], runs: dict[str, int]
) -> Iterator[invariants.Fact]:
    """Yields what the callers and the endpoints know of each call.

    A marker stands for the key of its call: no workload sends one content
    twice under two keys.
    """
    for number, marker in enumerate(sorted({o.marker for o in outcomes})):
        name = ids.RequestId(marker)
        for run in range(runs.get(marker, 0)):
            attempt = ids.AttemptId(f"{marker} run {run + 1}")
            yield invariants.Dispatched(name, attempt, ids.KeyHash(number))
        if runs.get(marker):
            produced = ids.AttemptId(marker)
            yield invariants.Produced(produced, _OWN_CONTENT)
    for outcome in outcomes:
        name = ids.RequestId(outcome.marker)
        if outcome.is_whole:
            content = _OWN_CONTENT if outcome.own else _OTHER_CONTENT
            attempt = ids.AttemptId(outcome.marker)
            yield invariants.Answered(name, attempt, content)
        elif outcome.is_not_run:
            yield invariants.Refused(name, states.RunStatus.NOT_RUN)
