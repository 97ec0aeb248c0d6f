"""Compares what callers were told with what the stand-ins have counted."""

import collections
from collections.abc import Iterable
from typing import Any

import msgspec


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


def find_violations(
    outcomes: Iterable[Outcome],
    counts: dict[str, Any],
    may_lose: bool = False,
) -> list[str]:
    """Returns every contradiction between callers and stand-ins.

    Args:
        outcomes: One outcome for each call.
        counts: Merged counts of all endpoints.
        may_lose: Whether callers may be left without an answer, as when a
            node was killed.
    """
    runs = counts.get("by_marker", {})
    found = [
        f"attempt {attempt} was run {number} times"
        for attempt, number in counts.get("by_attempt", {}).items()
        if number > 1
    ]
    for outcome in outcomes:
        number = runs.get(outcome.marker, 0)
        found += [
            f"{outcome.marker}: {what}; runs: {number}, {outcome}"
            for what in _contradictions(outcome, number, may_lose)
        ]
    return found


def _contradictions(
    outcome: Outcome, runs: int, may_lose: bool
) -> Iterable[str]:
    if runs > 1:
        yield "run more than once"
    if outcome.is_whole and runs == 0:
        yield "answered but never run"
    if outcome.is_whole and not outcome.own:
        yield "answered with another or incomplete answer"
    if outcome.is_not_run and runs > 0:
        yield "refused as not run but run"
    if outcome.is_lost and not may_lose:
        yield "left without an answer"
    if outcome.answered and not outcome.is_whole and not outcome.run_status:
        yield "refused without a run status"
