"""Pattern: hundreds of nodes whose owner has fallen silent.

Every node grants from its own share of the endpoints' slots meanwhile. In a day
of 195 nodes before 59 engines, half of all grants came from own shares, and the
engines rejected a fifth of what they were sent.
"""

import collections

import pytest

from baobabmux_core import (
    declarations,
    effects,
    messages,
    scheduler,
    states,
)

_GROUP = "pool@cell"
_SLOTS = 6


class _Members:
    """Membership of live nodes, the first of which owns all groups."""

    def __init__(self, nodes):
        self.nodes = nodes

    def live(self, centre):
        return self.nodes

    def reachable(self):
        return self.nodes

    def node_count(self):
        return len(self.nodes)

    def owner(self, group):
        return self.nodes[0]

    def endpoint_vm_state(self, vm):
        return states.EndpointState.LIVE


def _configuration(engines):
    return declarations.Configuration(
        tiers={"t0": declarations.Tier(0)},
        services={"pool": declarations.Service("engine")},
        endpoints={
            f"e{index}": declarations.Endpoint(
                "pool", "cell", f"vm{index}", f"127.0.0.1:{index + 1}",
                max_requests=_SLOTS, max_tokens=1_000_000,
                prefill_tokens_per_second=50_000.0,
                decode_tokens_per_second=300.0,
            )
            for index in range(engines)
        },
        routes={
            "draft": declarations.Route(
                "/d", "pool", "t0", timeout_seconds=30.0
            )
        },
        presets={"p": declarations.Preset(short_share=0, high_tier_share=0)},
        active="p",
    )  # fmt: skip


def _work(request):
    return effects.Work(
        request, "draft", "pool", 0, "w", None, 1000, 300, (), 1,
        first_by=130.0, target_by=110.0,
    )  # fmt: skip


def _node(name, nodes, engines):
    core = scheduler.NodeScheduler(name, "cell", _Members(nodes), 1)
    core.configure(_configuration(engines), 100.0)
    core.tick(100.0)
    return core


def _run_all(core, requests):
    """Submits requests at a node whose owner is silent; returns dispatches."""
    emitted = []
    for number in range(requests):
        emitted += core.submit(_work(f"{core.node}-{number}"), 100.0)
    emitted += core.tick(100.2)
    dispatched = [e for e in emitted if isinstance(e, effects.Dispatch)]
    for effect in dispatched:
        assert core.start_dispatch(effect.request, 100.2)
    return dispatched


@pytest.mark.parametrize(("nodes", "engines"), [(78, 45), (195, 59)])
def test_own_shares_of_many_nodes_do_not_flood_the_engines(nodes, engines):
    """Guards against a slot of each engine for each of hundreds of nodes."""
    names = [f"n{index}" for index in range(nodes)]
    started = collections.Counter()
    for name in names[1:]:
        for effect in _run_all(_node(name, names, engines), requests=20):
            started[effect.endpoint] += 1
    # Each slot is shared by two nodes, and all use their whole share at once.
    assert started.total() <= 2 * engines * _SLOTS + nodes
    assert len(started) == engines


def test_each_node_serves_from_its_share_whatever_its_size():
    """A bounded share must not leave a node without any endpoint."""
    names = [f"n{index}" for index in range(195)]
    for name in names[1:40]:
        assert _run_all(_node(name, names, 59), requests=1)


def test_few_nodes_may_use_all_endpoints():
    names = [f"n{index}" for index in range(8)]
    dispatched = _run_all(_node("n1", names, 6), requests=6)
    assert {effect.endpoint for effect in dispatched} == {
        f"e{index}" for index in range(6)
    }


def test_owner_learns_of_own_shares_within_a_tick():
    """Guards against an owner that grants the same slots once more.

    It was told 12 s later, and meanwhile every grant to a full engine was
    rejected.
    """
    core = _node("n1", ["n0", "n1"], engines=1)
    (dispatch,) = _run_all(core, requests=1)
    registers = [
        effect.message
        for effect in core.tick(100.25)
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, messages.Register)
    ]
    (register,) = registers
    assert [run.request for run in register.in_flight] == [dispatch.request]
    # It is sent once; the regular registers follow.
    assert not any(
        isinstance(effect.message, messages.Register)
        for effect in core.tick(100.3)
        if isinstance(effect, effects.Send)
    )


def test_node_uses_other_endpoints_if_those_of_its_share_are_unreachable():
    """Guards against a cut data centre whose nodes wait for a new owner.

    The endpoints of a node's share may all be beyond the cut.
    """
    names = [f"n{index}" for index in range(195)]
    core = _node("n1", names, 59)
    reached = set()
    for number in range(30):
        (dispatch,) = _run_all_of(core, f"r{number}")
        reached.add(dispatch.endpoint)
        core.finished(dispatch.request, states.Outcome.NOT_SENT, 100.2)
        core.cancel(dispatch.request, 100.2)
    assert len(reached) >= 15


def _run_all_of(core, request):
    emitted = core.submit(_work(request), 100.0) + core.tick(100.2)
    dispatched = [
        effect
        for effect in emitted
        if isinstance(effect, effects.Dispatch) and effect.request == request
    ]
    for effect in dispatched:
        assert core.start_dispatch(effect.request, 100.2)
    return dispatched
