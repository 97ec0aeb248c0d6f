"""Tests of orders, phases and shares of roll-outs at nodes."""

import pytest

from baobabmux_core import (
    declarations,
    ids,
    membership,
    messages,
    node_view,
    rollout_shares,
    rollout_trials,
    rollouts,
)

Phase = rollout_trials.Phase
_SERVICE = ids.ServiceName("desk")
_CENTRE = ids.DataCentre("cell")


def _configuration(**versions):
    return declarations.Configuration(
        services={_SERVICE: declarations.Service(kind="plain")},
        endpoints={
            ids.EndpointId(name): declarations.Endpoint(
                service=_SERVICE,
                data_centre=_CENTRE,
                vm=ids.VmId(name),
                address="127.0.0.1:1",
                version=version,
            )
            for name, version in versions.items()
        },
        tiers={},
        routes={},
        presets={},
        active=ids.PresetName("ordinary"),
    )


def _known():
    node = ids.NodeId("n1")
    view = node_view.NodeView(
        node, _CENTRE, membership.Membership(node, _CENTRE, 0.0)
    )
    view.configuration = _configuration(o1="v1", o2="v1", w1="v2")
    return view.rollouts


def _order(number=1, target="v2", seconds=12.0, service=_SERVICE, at=0.0):
    return rollouts.Order(service, target, seconds, number, at)


def _state(phase, number=1, target="v2", age_ms=0):
    return messages.RolloutState(
        _SERVICE, target, number, phase.value, age_ms, 12.0
    )


@pytest.mark.parametrize(
    ("order", "reason"),
    [
        (_order(target=""), "no version"),
        (_order(seconds=0.0), "above 0"),
        (_order(seconds=1e9), "above 0"),
        (_order(at=-20.0), "has passed"),
        (_order(service=ids.ServiceName("other")), "not declared"),
    ],
)
def test_bad_order_changes_nothing(order, reason):
    """Guards against a service that is moved by a malformed order."""
    known = _known()
    assert reason in known.ordered(order, 1.0)
    assert not known.standings
    assert reason in known.rejected[order.service][1]


def test_second_order_waits_for_the_end_of_the_first():
    """Guards against two versions that are tried at a time."""
    known = _known()
    assert known.ordered(_order(1), 0.0) is None
    assert "in progress" in known.ordered(_order(2, "v3"), 1.0)
    assert known.standings[_SERVICE].order.target == "v2"
    known.decided(_SERVICE, 1, False)
    assert known.ordered(_order(3, "v3", at=2.0), 2.0) is None


def test_result_never_changes():
    """Guards against both results, or one that is taken back."""
    known = _known()
    known.ordered(_order(), 0.0)
    known.decided(_SERVICE, 1, True)
    known.decided(_SERVICE, 1, False)
    for phase in Phase:
        known.receive(_state(phase), 1.0)
    known.abort(_SERVICE, 1)
    assert known.standings[_SERVICE].phase is Phase.COMPLETED


def test_result_of_the_store_overrules_what_an_owner_meant_to_write():
    """Guards against a frozen owner that goes on with its own result."""
    known = _known()
    known.ordered(_order(), 0.0)
    known.receive(_state(Phase.FINISHING), 1.0)
    known.receive(_state(Phase.REVERTING), 1.0)
    assert known.standings[_SERVICE].phase is Phase.FINISHING
    known.decided(_SERVICE, 1, False)
    assert known.standings[_SERVICE].phase is Phase.ROLLED_BACK


def test_unproven_version_is_not_used_without_its_owner():
    """Guards against nodes that each add their own share."""
    known = _known()
    endpoints = known._view.configuration.endpoints
    known.receive(_state(Phase.TRYING), 0.0)
    assert not known.in_own_share(endpoints["w1"])
    assert known.in_own_share(endpoints["o1"])
    known.receive(_state(Phase.PROMOTING), 1.0)
    assert known.in_own_share(endpoints["w1"])


@pytest.mark.parametrize(
    ("phase", "closed"),
    [
        (Phase.TRYING, set()),
        (Phase.PROMOTING, set()),
        (Phase.FINISHING, {"o1", "o2"}),
        (Phase.COMPLETED, {"o1", "o2"}),
        (Phase.REVERTING, {"w1"}),
        (Phase.ROLLED_BACK, {"w1"}),
    ],
)
def test_endpoints_that_are_given_up_get_nothing(phase, closed):
    """Guards against requests to endpoints that stop, or to a bad version."""
    known = _known()
    known.receive(_state(phase), 0.0)
    endpoints = known._view.configuration.endpoints
    assert {
        name for name, one in endpoints.items() if known.closes(name, one)
    } == closed


def test_later_release_is_not_closed_by_a_completed_roll_out():
    """Guards against a version that no order names and that gets nothing."""
    known = _known()
    known.receive(_state(Phase.COMPLETED), 0.0)
    later = _configuration(w1="v2", x1="v3").endpoints["x1"]
    assert not known.closes(ids.EndpointId("x1"), later)


def test_phase_of_a_newer_build_is_left_out():
    """Guards against a process that ends by a message of another build."""
    known = _known()
    known.receive(messages.RolloutState(_SERVICE, "v2", 1, 99, 0, 12.0), 0.0)
    assert known.standings[_SERVICE].phase is Phase.WAITING


def test_shares_of_several_owners_add_up_to_the_bound():
    """Guards against owners that come and go and each spend the slack."""
    bound = rollout_shares.ExposureBound(0.1, 50.0)
    sent = reached = 0
    for requests in (10, 300, 5, 2000):
        count = rollout_shares.ExposureCount(bound)
        for _ in range(requests):
            count.reached += 1
            while count.permits():
                count.sent += 1
        sent += count.sent
        reached += count.reached
    assert sent <= 0.1 * reached + 50


def test_larger_share_contains_a_smaller_one():
    """Guards against requests that change their version as shares grow."""
    requests = [ids.RequestId(f"r{number}") for number in range(2000)]
    small = {r for r in requests if rollout_shares.is_chosen(7, r, 0.05)}
    large = {r for r in requests if rollout_shares.is_chosen(7, r, 0.25)}
    assert small < large
    assert 60 <= len(small) <= 140
