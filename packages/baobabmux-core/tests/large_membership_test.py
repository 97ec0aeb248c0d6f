"""Pattern: owners and data centres lost among dozens and hundreds of nodes.

Nodes of a cell send 20 heartbeats a second each, so that at 78 nodes a dead
owner was noticed after 11 s and at 195 nodes after 29 s.
"""

import collections

import pytest

from baobabmux_core import ids, membership, states

_CELL = ids.DataCentre("cell")
_GROUP = ids.GroupId("pool@cell")
_TICK_SECONDS = 0.2
_START = 100.0


class _Cell:
    """Nodes of a cell in several data centres, and a network with cuts."""

    def __init__(self, nodes, centres):
        self.now = _START
        self.location = {
            f"n{index}": ids.DataCentre(f"zone-{index % centres}")
            for index in range(nodes)
        }
        self.views = {
            name: membership.Membership(name, _CELL, _START)
            for name in self.location
        }
        entries = [
            membership.VmEntry(
                name, "node", _CELL, peer_address="x", location=location
            )
            for name, location in self.location.items()
        ]
        for view in self.views.values():
            view.apply_vm_list(entries, _START, _START)
            view.watch_groups(frozenset({_GROUP}))
        self.dead = set()
        self.cut = set()
        self.heartbeats = collections.Counter()
        self.suspected = collections.Counter()

    def run(self, seconds):
        for _ in range(round(seconds / _TICK_SECONDS)):
            self.now += _TICK_SECONDS
            for name, view in self.views.items():
                if name not in self.dead:
                    self._tick(name, view)

    def _tick(self, name, view):
        for change in view.tick(self.now):
            if change.state is states.MemberState.SUSPECT:
                self.suspected[change.node] += 1
        for target in view.heartbeat_targets(self.now):
            self.heartbeats[name] += 1
            if target in self.dead or self._is_cut(name, target):
                continue
            self.views[target].record_frame(
                name, 1, False, self.now, _CELL, "x", self.location[name],
                round(view.interval_seconds * 1000),
            )  # fmt: skip

    def _is_cut(self, sender, target):
        sides = {self.location[node] in self.cut for node in (sender, target)}
        return len(sides) > 1

    def owners(self, names=None):
        """Returns the owners that the live nodes see."""
        live = [n for n in names or self.views if n not in self.dead]
        return {self.views[name].owner(_GROUP) for name in live}


@pytest.mark.parametrize(("nodes", "centres"), [(30, 3), (78, 3), (195, 5)])
def test_dead_owner_is_replaced_within_seconds_at_any_size(nodes, centres):
    cell = _Cell(nodes, centres)
    cell.run(6.0)
    (owner,) = cell.owners()
    cell.dead.add(owner)
    cell.run(3.0)
    (successor,) = cell.owners()
    assert successor != owner


@pytest.mark.parametrize(("nodes", "centres"), [(30, 3), (78, 3), (195, 5)])
def test_cut_data_centre_is_noticed_by_all_at_once(nodes, centres):
    """Each side must own its groups again soon after the cut, and after it.

    At 78 nodes the sides waited 11 s for the silence of each single node.
    """
    cell = _Cell(nodes, centres)
    cell.run(6.0)
    (owner,) = cell.owners()
    cell.cut = {cell.location[owner]}
    inside = [n for n in cell.views if cell.location[n] in cell.cut]
    outside = [n for n in cell.views if cell.location[n] not in cell.cut]
    cell.run(5.0)
    (other,) = cell.owners(outside)
    assert cell.location[other] not in cell.cut
    assert cell.owners(inside) == {owner}
    cell.cut = set()
    cell.run(3.0)
    assert cell.owners() == {owner}


@pytest.mark.parametrize(("nodes", "centres"), [(8, 3), (78, 3), (195, 5)])
def test_sound_nodes_are_not_suspected(nodes, centres):
    cell = _Cell(nodes, centres)
    # Longer than the silence after which a node is suspected at any size.
    cell.run(31.0)
    assert not cell.suspected


def test_heartbeats_of_most_nodes_do_not_grow_with_the_cell():
    """Only the first nodes of a group's ranking send more often."""
    cell = _Cell(195, 5)
    cell.run(3.0)
    cell.heartbeats.clear()
    cell.run(5.0)
    ordinary = [n for n in cell.heartbeats.values() if n <= 5 * 24]
    assert len(ordinary) >= 195 - 3


def test_frozen_node_that_wakes_does_not_suspect_the_others():
    """Silence that this node has slept through says nothing of its peers."""
    cell = _Cell(30, 3)
    cell.run(6.0)
    view = cell.views["n1"]
    cell.dead.add("n1")
    cell.run(6.0)
    cell.dead.clear()
    view.tick(cell.now + _TICK_SECONDS)
    assert len(view.reachable()) == 30


def test_data_centre_of_older_builds_is_judged_node_by_node():
    """Older builds state no interval, so that their silence has no limit."""
    view = membership.Membership("n0", _CELL, _START)
    entries = [
        membership.VmEntry(
            f"n{index}", "node", _CELL, peer_address="x", location="zone-1"
        )
        for index in range(1, 78)
    ]
    view.apply_vm_list(entries, _START, _START)
    for index in range(1, 78):
        view.record_frame(f"n{index}", 1, False, _START, _CELL, "x")
    for step in range(1, 50):
        view.tick(_START + step * _TICK_SECONDS)
    assert len(view.reachable()) == 78


def test_shorter_interval_after_a_node_has_left():
    """Guards against an error at each tick after a peer is gone.

    Fewer peers shorten the interval, and the turns of all are computed again;
    that of the peer that had left ended the process.
    """
    view = membership.Membership("n0", _CELL, _START, 0.25)
    names = [f"n{index}" for index in range(1, 9)]
    view.apply_vm_list(
        [
            membership.VmEntry(name, "node", _CELL, peer_address="x")
            for name in names
        ],
        _START,
        _START,
    )
    view.tick(_START + 0.1)
    before = view.interval_seconds
    # The list shows after a while that three nodes are gone.
    kept = [
        membership.VmEntry(name, "node", _CELL, peer_address="x")
        for name in names[:-3]
    ]
    sent = set()
    for step in range(1, 1000):
        now = _START + 0.1 + step * 0.1
        view.apply_vm_list(kept, now, now)
        for name in names[:-3]:
            view.record_frame(name, 1, False, now, _CELL, "x")
        view.tick(now)
        if step > 900:
            sent |= set(view.heartbeat_targets(now))
    assert view.interval_seconds < before
    assert sent == set(names[:-3])
