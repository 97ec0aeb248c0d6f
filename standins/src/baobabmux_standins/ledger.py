"""Checks invariants over the outcomes of calls and the stand-ins' counts.

Translates both into facts of `baobabmux_core.invariants` and lists each
contradiction, such as a call that ran twice or a lost answer.
"""

import collections
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

from baobabmux_core import ids, invariants, states

_EXPECTED_CONTENT = ids.ContentDigest(1)
_UNEXPECTED_CONTENT = ids.ContentDigest(0)


class Outcome(msgspec.Struct, frozen=True):
    """The result of one call, as its caller received it.

    Attributes:
        marker: Marker in the body of the call.
        connected: Whether a node accepted the connection.
        answered: Whether an answer arrived to its end.
        status: HTTP status, or 0.
        run_status: Run status that the answer states, or "".
        kind: Error kind that the answer states, or "".
        body_matches: False if a successful answer is not the complete answer
            to this call.
    """

    marker: str
    connected: bool
    answered: bool
    status: int
    run_status: str
    kind: str
    body_matches: bool

    @property
    def is_successful(self) -> bool:
        """Whether a complete answer arrived with status 2xx and no error."""
        is_2xx = 200 <= self.status < 300
        return self.answered and is_2xx and not self.kind

    @property
    def is_not_run(self) -> bool:
        """Whether no connection was made or the answer says "not_run"."""
        refused = self.answered and self.run_status == "not_run"
        return not self.connected or refused

    @property
    def is_lost(self) -> bool:
        """Whether a node accepted the connection and sent no full answer."""
        return self.connected and not self.answered


def merge_counts(counts: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """Adds up the counts of several stand-ins by name."""
    merged: dict[str, collections.Counter[str]] = {}
    for stand_in_counts in counts:
        for kind, names in stand_in_counts.items():
            merged.setdefault(kind, collections.Counter()).update(names)
    return merged


def unsuccessful(outcomes: Iterable[Outcome]) -> list[Outcome]:
    """Returns the outcomes of calls that were not successful."""
    return [outcome for outcome in outcomes if not outcome.is_successful]


def find_violations(
    outcomes: Iterable[Outcome],
    counts: dict[str, Any],
    may_lose: bool = False,
) -> list[str]:
    """Returns every contradiction between outcomes and stand-ins' counts.

    Checks the invariants of `baobabmux_core.invariants`, and that each call
    has a final answer and each refusal a run status.

    Args:
        outcomes: One outcome for each call.
        counts: Merged counts of all endpoints.
        may_lose: Whether calls may end without an answer, as after a node
            was killed.
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
            f"{outcome.marker} ended without an answer: {outcome}"
            for outcome in outcomes
            if outcome.is_lost and not may_lose
        ),
        *(
            f"{outcome.marker} was refused without a run status: {outcome}"
            for outcome in outcomes
            if outcome.answered
            and not outcome.is_successful
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
    """Yields facts from the outcomes and from the endpoints' run counts.

    The marker of a call takes the place of its idempotency key, because no
    workload sends the same content with two keys.
    """
    for number, marker in enumerate(sorted({o.marker for o in outcomes})):
        name = ids.RequestId(marker)
        for run in range(runs.get(marker, 0)):
            attempt = ids.AttemptId(f"{marker} run {run + 1}")
            yield invariants.Dispatched(name, attempt, ids.KeyHash(number))
        if runs.get(marker):
            produced = ids.AttemptId(marker)
            yield invariants.Produced(produced, _EXPECTED_CONTENT)
    for outcome in outcomes:
        name = ids.RequestId(outcome.marker)
        if outcome.is_successful:
            content = (
                _EXPECTED_CONTENT
                if outcome.body_matches
                else _UNEXPECTED_CONTENT
            )
            attempt = ids.AttemptId(outcome.marker)
            yield invariants.Answered(name, attempt, content)
        elif outcome.is_not_run:
            yield invariants.Refused(name, states.RunStatus.NOT_RUN)
