"""Tests that each query reports a violation and accepts valid facts."""

import pytest

from baobabmux_core import configuration, errors, invariants, states

_NOT_RUN = states.RunStatus.NOT_RUN
_KINDS = configuration.VerdictKind


def _dispatched_at(at, **fields):
    return invariants.Dispatched("r1", "r1-1", at=at, endpoint="e1", **fields)


def _check_closed_endpoints(facts):
    return invariants.closed_endpoints_get_no_work(facts, 3.0)


def _dispatched(request, key=None):
    return invariants.Dispatched(request, f"{request}-1", key)


def _check_activation(facts):
    return invariants.configuration_is_active(facts, ["n1", "n2"], 9.0, 20.0)


_CASES = [
    (
        invariants.dispatched_at_most_once,
        [_dispatched("r1"), _dispatched("r2")],
        [_dispatched("r1"), _dispatched("r1")],
    ),
    (
        invariants.dispatches_are_permitted,
        [_dispatched_at(2.0, lease_until=3.0, deadline=4.0)],
        [_dispatched_at(3.0, lease_until=3.0)],
    ),
    (
        invariants.dispatches_are_permitted,
        [_dispatched_at(3.0)],
        [_dispatched_at(4.0, deadline=4.0)],
    ),
    (
        _check_closed_endpoints,
        [
            invariants.EndpointClosed("e1", 1.0),
            _dispatched_at(4.0),
            invariants.EndpointOpened("e1", 5.0),
            _dispatched_at(6.0),
        ],
        # A second closing does not extend the time for earlier grants.
        [
            invariants.EndpointClosed("e1", 1.0),
            invariants.EndpointClosed("e1", 3.0),
            _dispatched_at(4.5),
        ],
    ),
    (
        invariants.planned_shutdowns_are_graceful,
        [
            invariants.ShutdownStarted("n1", ("r1", "r2")),
            invariants.Ended("r1"),
            invariants.Ended("r2", errors.ErrorKind.DEADLINE_PASSED),
            invariants.Ended("r3", errors.ErrorKind.SHUTTING_DOWN),
        ],
        [
            invariants.ShutdownStarted("n1", ("r1",)),
            invariants.Ended("r1", errors.ErrorKind.SHUTTING_DOWN),
        ],
    ),
    (
        invariants.planned_shutdowns_are_graceful,
        [],
        [invariants.ShutdownStarted("n1", ("r1",))],
    ),
    (
        invariants.answers_are_own_and_complete,
        [invariants.Produced("a", 1), invariants.Answered("r", "a", 1)],
        [
            invariants.Produced("a", 1),
            invariants.Produced("b", 2),
            invariants.Answered("r", "a", 2),
        ],
    ),
    (
        invariants.answers_are_own_and_complete,
        [],
        [invariants.Answered("r", "a", 2)],
    ),
    (
        invariants.not_run_requests_never_run,
        [
            _dispatched("r1"),
            invariants.Refused("r1", states.RunStatus.UNKNOWN),
            invariants.Refused("r2", _NOT_RUN),
        ],
        [invariants.Refused("r1", _NOT_RUN), _dispatched("r1")],
    ),
    (
        invariants.keys_run_at_most_once,
        [_dispatched("r1", 1), _dispatched("r2", 2), _dispatched("r3")],
        [_dispatched("r1", 1), _dispatched("r2", 1)],
    ),
    (
        invariants.claims_agree,
        [
            invariants.ClaimDecided(1, "a", "n1"),
            invariants.ClaimReleased(1, "a"),
            invariants.ClaimDecided(1, "b", "n1"),
            invariants.ClaimDecided(
                1, "a", "n2"
            ),  # n2 has read less of the log.
        ],
        [
            invariants.ClaimDecided(1, "a", "n1"),
            invariants.ClaimDecided(1, "b", "n2"),
        ],
    ),
    (
        invariants.configuration_never_reverts,
        [
            invariants.ConfigurationApplied("n1", 1, 7),
            invariants.ConfigurationApplied("n1", 3, 8),
            invariants.ConfigurationApplied("n2", 1, 7),
        ],
        [
            invariants.ConfigurationApplied("n1", 3, 8),
            invariants.ConfigurationApplied("n1", 1, 7),
        ],
    ),
    (
        invariants.configuration_never_reverts,
        [],
        [
            invariants.ConfigurationApplied("n1", 1, 7),
            invariants.ConfigurationApplied("n2", 1, 8),
        ],
    ),
    (
        _check_activation,
        [
            invariants.ConfigurationAccepted(1, 5.0),
            invariants.ConfigurationApplied("n1", 1, 7, 6.0),
            invariants.ConfigurationApplied("n2", 2, 8, 14.0),
            invariants.ConfigurationAccepted(2, 13.0),  # Its bound ends later.
        ],
        [
            invariants.ConfigurationAccepted(1, 5.0),
            invariants.ConfigurationApplied("n1", 1, 7, 6.0),
            invariants.ConfigurationApplied("n2", 1, 7, 14.1),
        ],
    ),
    (
        invariants.verdicts_agree,
        [
            invariants.VerdictReported("n1", "x", _KINDS.ACCEPTED),
            invariants.VerdictReported("n2", "x", _KINDS.ACCEPTED),
        ],
        [
            invariants.VerdictReported("n1", "x", _KINDS.ACCEPTED),
            invariants.VerdictReported("n2", "x", _KINDS.CONFLICT),
        ],
    ),
    (
        invariants.orders_do_not_regress,
        [
            invariants.OrderApplied("e", "m", "1", 4),
            invariants.OrderApplied("e", "m", "2", 4),
            invariants.OrderApplied("f", "m", "1", 3),
        ],
        [
            invariants.OrderApplied("e", "m", "2", 4),
            invariants.OrderApplied("e", "m", "1", 3),
        ],
    ),
    (
        invariants.orders_are_sent_under_a_lease,
        [invariants.OrderSent("n", 1, 14.9, 15.0)],
        [invariants.OrderSent("n", 1, 15.0, 15.0)],
    ),
]


@pytest.mark.parametrize(("query", "valid", "violating"), _CASES)
def test_query_reports_only_violations(query, valid, violating):
    """Guards against a query that reports a violation always or never."""
    assert query(valid) == []
    assert len(query(violating)) == 1
