"""Tests of the choice of owners among VMs that are unlike."""

from baobabmux_core import abilities, membership, messages, rendezvous, states

_CELL = "cell"
_GROUPS = [f"service-{number}@cell" for number in range(40)]
_NODES = [f"n{number}" for number in range(8)]


def _view(node, stated, now=10.0):
    view = membership.Membership(node, _CELL, 0.0)
    entries = [
        membership.VmEntry(name, "node", _CELL, "live", "127.0.0.1:1")
        for name in _NODES
    ]
    view.apply_vm_list(entries, 1.0, now)
    for name in _NODES:
        if name != node:
            view.record_frame(name, 1, False, now, _CELL)
    for name, ability in stated.items():
        view.record_ability(name, ability)
    view.tick(now)
    return view


def _owners(view):
    return {view.owner(group) for group in _GROUPS}


def test_weak_node_owns_no_group_beside_strong_ones():
    """Guards against requests that queue for decisions on a small VM."""
    stated = dict.fromkeys(_NODES, 250) | {"n2": 2150, "n5": 1500}
    views = [_view(node, stated) for node in _NODES]
    for view in views:
        assert _owners(view) == {"n2", "n5"}
    for group in _GROUPS:
        assert len({view.owner(group) for view in views}) == 1


def test_alike_nodes_share_groups_as_before():
    """Guards against other owners where all VMs are alike."""
    view = _view("n0", dict.fromkeys(_NODES, 1070))
    for group in _GROUPS:
        assert view.owner(group) == rendezvous.owner(group, _NODES)


def test_node_of_older_build_makes_all_choose_as_it_does():
    """Guards against two owners while builds are mixed.

    An older build states no ability and chooses among all nodes.
    """
    stated = dict.fromkeys(_NODES, 250) | {"n2": 2150, "n7": 0}
    view = _view("n0", stated)
    for group in _GROUPS:
        assert view.owner(group) == rendezvous.owner(group, _NODES)


def test_last_strong_node_may_end():
    """Guards against a group without an owner."""
    stated = dict.fromkeys(_NODES, 250) | {"n2": 2150}
    view = _view("n0", stated)
    assert _owners(view) == {"n2"}
    view.record_frame("n2", 1, True, 11.0, _CELL)
    view.tick(11.0)
    assert view.state("n2") is states.MemberState.LEAVING
    assert _owners(view) <= set(_NODES) - {"n2"}


def test_ability_is_that_of_processor_and_link():
    """Guards against owners behind a link that their messages fill."""
    assert abilities.of_limits(2.15, 200.0) == 2150
    assert abilities.of_limits(2.15, 5.0) == 250
    assert abilities.of_limits(1.07, 1000.0) == 1070
    assert abilities.of_limits(None, 5.0) == abilities.ORDINARY


def test_heartbeat_of_older_build_states_nothing():
    """Guards against a default that an older build cannot have meant."""
    assert messages.Heartbeat(False, 1).ability == abilities.UNSTATED


def test_deputy_is_the_owner_when_the_owner_has_ended():
    """Guards against a deputy's charges that the next owner doesn't know."""
    stated = dict.fromkeys(_NODES, 250) | {"n2": 2150, "n5": 1500, "n6": 300}
    view = _view("n0", stated)
    for group in _GROUPS:
        owner = view.owner(group)
        deputy = view.deputy(group)
        assert deputy not in (owner, None)
        others = {name: stated[name] for name in _NODES if name != owner}
        after = membership.Membership("n0", _CELL, 0.0)
        entries = [
            membership.VmEntry(name, "node", _CELL, "live", "127.0.0.1:1")
            for name in others
        ]
        after.apply_vm_list(entries, 1.0, 10.0)
        for name, ability in others.items():
            if name != "n0":
                after.record_frame(name, 1, False, 10.0, _CELL)
            after.record_ability(name, ability)
        after.tick(10.0)
        if owner != "n0":
            assert after.owner(group) == deputy
