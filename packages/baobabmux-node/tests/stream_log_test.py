"""Tests of the records of streams and of the reads of them."""

import msgspec
import pytest

from baobabmux_core import effects, stored_streams, stream_origins
from baobabmux_node import stream_log

_NOW = 1000.0
_NOW_MS = 1_796_000_000_000
_OLD = stored_streams.Origin("pool", "v1")
_NEW = stored_streams.Origin("pool", "v2")


def _work(request, stream):
    return effects.Work(
        request, "draft", "pool", 0, "bank-a", None, 10, 10, resumes=stream
    )


class _Node:
    """A node that has just started, alone."""

    def __init__(self, builds_that_record=frozenset({"n1"})):
        self.origins = stream_origins.StreamOrigins("n1")
        self.log = stream_log.StreamLog(self.origins)
        self.log.elect(frozenset({"n1", "n2"}), builds_that_record)

    def write(self, *streams, now_ms=_NOW_MS):
        """Returns the record of streams that this node has to write."""
        for key, origin in streams:
            self.origins.stored.began(key, origin)
        self.origins.stored.handovers(lambda service: True)
        batch = self.log.due(now_ms)
        self.log.stored(batch)
        assert self.log.due(now_ms) is None
        return batch.record

    def take_up(self, request, stream):
        """Returns whether a request waits for the store."""
        asks = self.origins.look_up(_work(request, stream), [], _NOW)
        return asks == [] and self.log.needs_read()

    def conclusions(self, now):
        return {
            one.work.request: one.origin for one in self.origins.overdue(now)
        }


def test_record_is_read_by_a_node_that_started_since():
    """Guards against streams that no node knows after all have ended.

    One stream is in no record: it is refused once the store was read.
    """
    record = _Node().write((1, _OLD), (2, _NEW))
    node = _Node()
    for request, stream in (("a", 1), ("b", 2), ("c", 3)):
        assert node.take_up(request, stream)
    assert not node.conclusions(_NOW)
    node.log.restore([record], _NOW + 0.1, _NOW_MS + 100)
    assert node.log.read_to_end(_NOW + 0.05) == 3
    assert not node.log.needs_read()
    assert node.conclusions(_NOW + 0.1) == {"a": _OLD, "b": _NEW, "c": None}


def test_read_that_began_before_a_request_does_not_refuse_it():
    """Guards against a refusal beside a record that was just written."""
    node = _Node()
    assert node.take_up("a", 1)
    assert node.log.read_to_end(_NOW - 0.1) == 0
    assert node.log.needs_read()
    assert not node.conclusions(_NOW + 0.1)


def test_request_is_refused_in_time_while_the_store_is_silent():
    """Guards against a caller that waits for the store until its deadline."""
    node = _Node()
    assert node.take_up("a", 1)
    assert not node.conclusions(_NOW + 1.0)
    assert node.conclusions(_NOW + 2.0) == {"a": None}


def test_request_without_a_stream_does_not_make_a_node_read():
    """Guards against calls of the store for requests that name no stream."""
    assert _Node().origins.look_up(_work("a", 0), [], _NOW) is None


def test_request_of_a_caller_that_leaves_is_dropped():
    """Guards against reads, and a run, for a caller that has left."""
    node = _Node()
    assert node.take_up("a", 1)
    assert node.origins.cancel("a").request == "a"
    assert not node.log.needs_read()
    assert not node.conclusions(_NOW + 2.0)


def test_first_record_decides():
    """Guards against an identifier that was used again meanwhile."""
    records = [_Node().write((1, _OLD)), _Node().write((1, _NEW))]
    node = _Node()
    assert node.take_up("a", 1)
    node.log.restore(records, _NOW, _NOW_MS)
    assert node.conclusions(_NOW) == {"a": _OLD}


def test_old_records_are_left_out():
    """Guards against the version of an earlier stream of the same name."""
    record = _Node().write((1, _OLD))
    node = _Node()
    assert node.take_up("a", 1)
    node.log.restore([record], _NOW, _NOW_MS + 3_600_000)
    assert node.conclusions(_NOW + 2.0) == {"a": None}


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode([1]),
        msgspec.msgpack.encode([_NOW_MS, [["pool", "v1", b"123"]]]),
    ],
)
def test_malformed_record_loses_no_other(content):
    """Guards against a record that keeps a node from reading."""
    record = _Node().write((1, _OLD))
    node = _Node()
    assert node.take_up("a", 1)
    node.log.restore([content, record], _NOW, _NOW_MS)
    assert node.log.unreadable == 1
    assert node.conclusions(_NOW) == {"a": _OLD}


def test_later_builds_may_append_fields_to_records():
    """Guards against nodes that cannot read what a later build wrote."""
    record = msgspec.msgpack.encode(
        [_NOW_MS, [["pool", "v1", (1).to_bytes(8, "big"), "later"]], "later"]
    )
    node = _Node()
    assert node.take_up("a", 1)
    node.log.restore([record], _NOW, _NOW_MS)
    assert node.conclusions(_NOW) == {"a": _OLD}


def test_nodes_of_older_builds_record_nothing():
    """Guards against streams that are handed to a build that drops them."""
    node = _Node()
    assert node.origins.stored.candidates == ("n1",)
    able = frozenset({"n1", "n2"})
    assert node.log.elect(able, able) is (
        node.origins.stored.candidates[0] == "n2"
    )
    assert set(node.origins.stored.candidates) == able
