"""Tests of endpoints that say in their answers that they are leaving."""

import pathlib

from baobabmux_core import leaving, messages
from baobabmux_standins import modules

_cluster_module = modules.load(
    pathlib.Path(__file__).with_name("content_ends_test.py"), "leaving_driver"
)


def _used(cluster, count=24):
    """Sends requests until all slots are taken; returns their endpoints."""
    for number in range(count):
        cluster.submit(f"u{cluster.now}-{number}", number % len(cluster.nodes))
    cluster.run()
    return set(cluster.running.values())


def _observe(cluster, endpoint, node=0):
    name = list(cluster.nodes)[node]
    emitted = cluster.nodes[name].leaving_observed(endpoint, cluster.now)
    cluster.carry_out(name, emitted)
    return emitted


def test_notice_reaches_all_nodes_once():
    """Guards against nodes that learn of it at their own cost, and a flood."""
    cluster = _cluster_module._Cluster(endpoints=3, nodes=4)
    assert len(_observe(cluster, "e0-col-a")) == 3
    assert _observe(cluster, "e0-col-a") == []
    cluster.deliver_all()
    assert _used(cluster) == {"e1-col-a", "e2-col-a"}


def test_granted_request_is_not_sent_after_the_notice():
    """Guards against grants that were under way."""
    cluster = _cluster_module._Cluster(endpoints=2)
    for number in range(4):
        cluster.submit(f"r{number}", number % 3)
    cluster.deliver_all()
    assert {effect.endpoint for effect in cluster.pending.values()} == {
        "e0-col-a",
        "e1-col-a",
    }
    for node in range(3):
        _observe(cluster, "e0-col-a", node)
    cluster.run()
    assert set(cluster.running.values()) == {"e1-col-a"}


def test_restarted_node_learns_of_leaving_endpoints():
    """Guards against an endpoint that gets requests from a new process."""
    cluster = _cluster_module._Cluster(endpoints=2)
    _observe(cluster, "e0-col-a", 1)
    cluster.deliver_all()
    cluster.restart("col-a-n0")
    restarted = cluster.nodes["col-a-n0"]
    assert restarted.leaving_endpoints() == ("e0-col-a",)


def test_notices_expire_and_are_bounded():
    """Guards against memory that grows with each endpoint that has left."""
    notices = leaving.LeavingEndpoints()
    for number in range(3_000):
        notices.add(f"e{number}", 100.0)
    assert len(notices) <= 2_000
    notices.expire({"e2999"}, 161.0)
    assert notices.endpoints() == ("e2999",)
    assert notices.state() == [messages.EndpointsLeaving(("e2999",))]
    notices.expire({"e2999"}, 401.0)
    assert notices.state() == []
