"""Tests of endpoints that want nothing from one node for a while."""

import pathlib

import pytest

from baobabmux_core import pauses
from baobabmux_standins import modules

_cluster_module = modules.load(
    pathlib.Path(__file__).with_name("content_ends_test.py"), "pauses_driver"
)

_TICK_SECONDS = 0.05


def _pause(cluster, node, endpoints, seconds):
    core = cluster.nodes[list(cluster.nodes)[node]]
    for endpoint in endpoints:
        core.pause_observed(endpoint, seconds, cluster.now)


def _submit(cluster, count, node, **fields):
    for number in range(count):
        cluster.submit(f"n{node}-{cluster.now:g}-{number}", node, **fields)
    cluster.run()


def _used_by(cluster, node):
    return {
        endpoint
        for request, endpoint in cluster.running.items()
        if request.startswith(f"n{node}-")
    }


def test_pause_holds_for_the_node_that_was_turned_away():
    """Guards against a pause that keeps others from a free endpoint."""
    cluster = _cluster_module._Cluster(endpoints=2)
    _pause(cluster, 0, ["e0-col-a"], 6.0)
    _submit(cluster, 4, 0)
    assert _used_by(cluster, 0) == {"e1-col-a"}
    _submit(cluster, 2, 1)
    assert _used_by(cluster, 1) == {"e0-col-a"}


def test_endpoint_takes_no_work_from_a_node_during_its_pause():
    """Guards against connections for other nodes to a paused endpoint."""
    cluster = _cluster_module._Cluster(endpoints=2)
    _pause(cluster, 0, ["e0-col-a"], 6.0)
    first, second = list(cluster.nodes.values())[:2]
    now = cluster.now
    assert not first.takes_work("e0-col-a", now)
    assert first.takes_work("e0-col-a", now + 6.1)
    assert first.takes_work("e1-col-a", now)
    assert second.takes_work("e0-col-a", now)
    second.leaving_observed("e0-col-a", now)
    assert not second.takes_work("e0-col-a", now)


def test_request_waits_for_the_end_of_a_pause():
    """Guards against a last resort that sends to a paused endpoint."""
    cluster = _cluster_module._Cluster(endpoints=2)
    endpoints = ["e0-col-a", "e1-col-a"]
    _pause(cluster, 0, endpoints, 3.0)
    _submit(cluster, 1, 0, deadline=cluster.now + 20.0)
    cluster.advance(2.5)
    cluster.run()
    assert not cluster.running
    cluster.advance(1.0)
    cluster.run()
    assert len(cluster.running) == 1


def test_request_that_cannot_wait_is_refused_with_the_time():
    """Guards against callers that wait for nothing."""
    cluster = _cluster_module._Cluster(endpoints=2)
    _pause(cluster, 0, ["e0-col-a", "e1-col-a"], 30.0)
    _submit(
        cluster, 1, 0, deadline=cluster.now + 5.0, first_by=cluster.now + 5.0
    )
    (refusal,) = cluster.refusals.values()
    assert refusal.kind.value == "deadline_unreachable"
    assert refusal.retry_after >= 25.0


def test_requests_that_wait_for_a_pause_do_not_hide_others():
    """Guards against a node whose requests block those of all others."""
    cluster = _cluster_module._Cluster(endpoints=2)
    _pause(cluster, 0, ["e0-col-a", "e1-col-a"], 10.0)
    _submit(cluster, 40, 0, deadline=cluster.now + 30.0)
    _submit(cluster, 4, 1)
    assert len(_used_by(cluster, 1)) == 2
    assert not _used_by(cluster, 0)


def test_grant_under_way_is_not_used():
    """Guards against a request that is sent because it was granted before."""
    cluster = _cluster_module._Cluster(endpoints=2)
    cluster.submit("n0-a", 0)
    cluster.deliver_all()
    (granted,) = {effect.endpoint for effect in cluster.pending.values()}
    _pause(cluster, 0, [granted], 6.0)
    cluster.run()
    cluster.advance(0.5)
    cluster.run()
    assert cluster.running["n0-a"] != granted


def _run_for(cluster, seconds):
    """Lets time pass at the interval of a busy node's ticks."""
    for _ in range(round(seconds / _TICK_SECONDS)):
        cluster.advance(_TICK_SECONDS)
        cluster.run()


@pytest.mark.parametrize("owner", [True, False])
def test_declined_grant_is_not_repeated(owner):
    """Guards against an owner that repeats a grant until the deadline.

    The node was turned away by the endpoint while the grant was under way, so
    it declines each repetition. Another endpoint is free.
    """
    cluster = _cluster_module._Cluster(endpoints=2)
    node = _node_of(cluster, owner)
    cluster.submit("r", node)
    cluster.deliver_all()
    granted = cluster.pending["r"].endpoint
    _pause(cluster, node, [granted], 6.0)
    cluster.run()
    _run_for(cluster, 0.1)
    assert cluster.running["r"] != granted


@pytest.mark.parametrize("owner", [True, False])
@pytest.mark.parametrize("first_by", [None, 3.75])
def test_request_whose_grant_was_declined_is_refused_at_once(owner, first_by):
    """Guards against requests that get no answer until their deadline.

    All endpoints want nothing from the node for longer than the request has
    left; the node learned of it after the owner had granted one.
    """
    cluster = _cluster_module._Cluster(endpoints=2)
    node = _node_of(cluster, owner)
    submitted = cluster.now
    cluster.submit(
        "r",
        node,
        deadline=submitted + 3.0,
        first_by=first_by and submitted + first_by,
    )
    cluster.deliver_all()
    _pause(cluster, node, ["e0-col-a", "e1-col-a"], 6.0)
    while "r" not in cluster.refusals:
        _run_for(cluster, _TICK_SECONDS)
        assert cluster.now < submitted + 0.3
    assert cluster.refusal("r") == "deadline_unreachable"
    assert cluster.refusals["r"].retry_after >= 2.5


def _node_of(cluster, owner):
    """Returns the number of a node that owns the group, or that does not."""
    name = cluster.members.owner("drafting@col-a")
    return next(
        number
        for number, node in enumerate(cluster.nodes)
        if (node == name) == owner
    )


def test_own_share_keeps_pauses():
    """Guards against a silent owner that lifts all pauses."""
    cluster = _cluster_module._Cluster(endpoints=2)
    owner = cluster.members.owner("drafting@col-a")
    node = next(n for n, name in enumerate(cluster.nodes) if name != owner)
    cluster.paused.add(owner)
    _pause(cluster, node, ["e0-col-a"], 6.0)
    _submit(cluster, 1, node)
    cluster.advance(0.5)
    cluster.run()
    assert _used_by(cluster, node) == {"e1-col-a"}


def test_pause_outlasts_changes_of_the_configuration_and_the_owner():
    """Guards against a pause that is forgotten with an entry or an owner.

    The entry of the endpoint is gone for a moment, and the owner for good.
    """
    cluster = _cluster_module._Cluster(endpoints=2)
    owner = cluster.members.owner("drafting@col-a")
    node = next(n for n, name in enumerate(cluster.nodes) if name != owner)
    _pause(cluster, node, ["e1-col-a"], 6.0)
    for endpoints in (1, 2):
        configuration = _cluster_module._cluster_module._configuration(
            endpoints=endpoints
        )
        for name, core in cluster.nodes.items():
            cluster.carry_out(name, core.configure(configuration, cluster.now))
        cluster.deliver_all()
    cluster.paused.add(owner)
    cluster.members.centres["col-a"].remove(owner)
    cluster.members_changed()
    cluster.advance(1.0)
    _submit(cluster, 4, node)
    cluster.advance(0.5)
    cluster.run()
    assert _used_by(cluster, node) == {"e0-col-a"}


@pytest.mark.parametrize(("seconds", "left"), [(2.0, 2.0), (1e9, 600.0)])
def test_pauses_are_bounded(seconds, left):
    """Guards against an endpoint that is never used again."""
    known = pauses.EndpointPauses()
    assert known.observe("e", seconds, 100.0)
    assert not known.observe("e", 1.0, 100.5)
    assert known.seconds_left("e", 100.0) == left
    assert known.active(800.0) == {}
    for number in range(3_000):
        known.observe(f"e{number}", 10.0, 900.0)
    assert len(known.active(900.0)) <= 2_000
