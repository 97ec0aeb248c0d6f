"""Tests of the checks that process tests use for the invariants."""

import pathlib
import uuid

import pytest

from baobabmux_core import declarations
from baobabmux_standins import ledger, load, workload

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def _outcome(**changes):
    defaults = {
        "marker": "mark-1",
        "connected": True,
        "answered": True,
        "status": 200,
        "run_status": "done",
        "kind": "",
        "body_matches": True,
    }
    return ledger.Outcome(**{**defaults, **changes})


_REFUSED = {"status": 503, "run_status": "not_run", "kind": "overloaded"}


@pytest.mark.parametrize(
    ("outcome", "runs", "violation"),
    [
        (_outcome(), 1, None),
        (_outcome(), 2, "ran as"),
        (_outcome(), 0, "produced None"),
        (_outcome(body_matches=False), 1, "received content 0"),
        (_outcome(**_REFUSED), 0, None),
        (_outcome(**_REFUSED), 1, "refused as not run"),
        (_outcome(answered=False, status=0), 1, "without an answer"),
        (_outcome(status=500, run_status=""), 0, "without a run status"),
    ],
)
def test_contradictions_are_found(outcome, runs, violation):
    """Guards against checks that miss a violation, or report one wrongly."""
    found = ledger.find_violations([outcome], {"by_marker": {"mark-1": runs}})
    assert len(found) == (violation is not None)
    assert violation is None or violation in found[0]


def test_attempt_that_runs_twice_is_found():
    """Guards against a repeated attempt that the counts by marker miss."""
    counts = ledger.merge_counts([{"by_attempt": {"a1": 1}}] * 2)
    assert len(ledger.find_violations([], counts)) == 1


def test_plan_depends_only_on_its_arguments():
    """Guards against loads that differ between runs with the same seed."""
    calls = workload.plan(3, 200, 20.0, 1_800_000_000_000)
    assert calls == workload.plan(3, 200, 20.0, 1_800_000_000_000)
    assert {call.kind for call in calls} == set(workload.KINDS)
    keys = [call.headers.get("Idempotency-Key", "") for call in calls]
    assert {uuid.UUID(key).version for key in keys if key} == {7}


def test_incomplete_stream_does_not_match_its_call():
    """Guards against a check of answers that accepts a broken stream."""
    call = workload.Call("m", "k", 0.0, "/p", b"", {}, text="a b ")
    events = b'data: {"text": "a "}\n\ndata: {"text": "b "}\n\n'
    assert load.matches_call(call, events + b"data: [DONE]\n\n")
    assert not load.matches_call(call, events)
    assert not load.matches_call(call, events[24:] + b"data: [DONE]\n\n")


@pytest.mark.parametrize("name", ["kelaniya.toml", "lone-star.toml"])
def test_examples_are_valid(name):
    """Guards against example declarations that nodes reject."""
    paths = [_EXAMPLES / "common.toml", _EXAMPLES / name]
    tables = declarations.load_files(paths)
    assert tables.is_ok(), tables.error
    parsed = declarations.parse(tables.ok)
    assert parsed.is_ok(), [str(error) for error in parsed.error]
