"""Tests of the records of streams for the platform's store."""

import pytest

from baobabmux_core import effects, messages, stored_streams

_OLD = stored_streams.Origin("drafting", "v1")
_NEW = stored_streams.Origin("drafting", "v2")
_NODES = ("n1", "n2", "n3")


def _several(service):
    del service
    return True


def _one(service):
    del service
    return False


class _Fleet:
    """Nodes that hand streams over; the store refuses some of them."""

    def __init__(self, recorders=1):
        self.stored = {}
        self.refused = set()
        self.nodes = {}
        for node in _NODES:
            self.start(node, recorders)

    def start(self, node, recorders=1):
        self.nodes[node] = stored_streams.StoredStreams(node)
        self.nodes[node].candidates = _NODES
        self.nodes[node].recorders = recorders

    def deliver(self, sends):
        for send in sends:
            assert isinstance(send, effects.Send)
            if send.to in self.nodes:
                self.nodes[send.to].receive(send.message)

    def hand_over(self, has_several=_several):
        for node in list(self.nodes.values()):
            self.deliver(node.handovers(has_several))

    def write(self):
        """Writes a batch of each node; returns the number of calls."""
        calls = 0
        for name, node in list(self.nodes.items()):
            due = node.due()
            calls += bool(due)
            if due and name in self.refused:
                self.deliver(node.not_written())
            else:
                self.stored |= due
                node.written(due)
        return calls


def test_streams_of_all_nodes_are_written_with_one_call():
    """Guards against a paid call for each stream."""
    fleet = _Fleet()
    for key in range(1, 91):
        origin = _OLD if key % 2 else _NEW
        fleet.nodes[_NODES[key % 3]].began(key, origin)
    fleet.hand_over()
    assert fleet.write() == 1
    assert fleet.write() == 0
    assert fleet.stored == {
        key: _OLD if key % 2 else _NEW for key in range(1, 91)
    }


def test_streams_are_kept_back_until_another_version_is_listed():
    """Guards against calls of the store while one version serves.

    A stream that began before the other version came is written as well: its
    time of beginning is not known to the node that reads it.
    """
    fleet = _Fleet()
    fleet.nodes["n2"].began(1, _OLD)
    fleet.nodes["n2"].began(2, _OLD)
    fleet.nodes["n2"].expired(2, _OLD)
    fleet.hand_over(_one)
    assert fleet.write() == 0
    fleet.hand_over()
    assert fleet.write() == 1
    assert fleet.stored == {1: _OLD}


@pytest.mark.parametrize("refused", [{"n1"}, {"n1", "n2"}])
def test_another_node_writes_if_the_store_refuses_the_recorder(refused):
    """Guards against streams that are lost with one node's way to the store."""
    fleet = _Fleet()
    fleet.refused = refused
    for key in range(1, 31):
        fleet.nodes["n3"].began(key, _OLD)
    fleet.hand_over()
    for _ in range(6):
        fleet.write()
    assert len(fleet.stored) == 30


def test_streams_wait_while_no_node_reaches_the_store():
    """Guards against streams that circle, or are lost, during an outage."""
    fleet = _Fleet()
    fleet.refused = set(_NODES)
    for key in range(1, 31):
        fleet.nodes["n3"].began(key, _OLD)
    fleet.hand_over()
    for _ in range(10):
        fleet.write()
    sends = [s for n in fleet.nodes.values() for s in n.not_written()]
    assert not sends
    fleet.refused = set()
    fleet.write()
    assert len(fleet.stored) == 30


def test_streams_wait_within_bounds():
    """Guards against memory and messages that grow during a long outage."""
    fleet = _Fleet()
    node = fleet.nodes["n1"]
    for key in range(30_000):
        node.receive(messages.StreamsToStore("drafting", "v1", (key,)))
    due = node.due()
    assert len(due) <= 2_000
    assert all(len(send.message.streams) <= 200 for send in node.not_written())
    calls = 0
    while due := node.due():
        node.written(due)
        calls += 1
    assert calls <= 10


def test_recorders_share_the_streams_of_a_large_fleet():
    """Guards against one node that receives the streams of all others."""
    assert stored_streams.recorder_count(8) == 1
    assert stored_streams.recorder_count(340) == 11
    fleet = _Fleet(recorders=3)
    for key in range(1, 301):
        fleet.nodes["n1"].began(key, _OLD)
    fleet.hand_over()
    assert all(len(node.due()) == 100 for node in fleet.nodes.values())
