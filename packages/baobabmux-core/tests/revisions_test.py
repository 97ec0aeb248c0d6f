"""Tests of the revisions of messages between nodes."""

from baobabmux_core import revisions


def test_unknown_items_are_counted_by_kind_and_peer():
    """Guards against builds that differ without a trace."""
    counts = revisions.UnknownCounts()
    counts.record("n1", ("message 40", "message 40", "outcome 9"))
    counts.record("n2", ("message 40",))
    assert counts.take() == {
        ("message 40", "n1"): 2,
        ("outcome 9", "n1"): 1,
        ("message 40", "n2"): 1,
    }
    assert counts.take() == {}


def test_counts_of_unknown_items_are_bounded():
    """Guards against a peer that fills the memory with unknown codes."""
    counts = revisions.UnknownCounts()
    for number in range(5000):
        counts.record("n1", (f"refusal kind-{number}",))
    assert len(counts.counts) <= 201
    assert counts.counts.total() == 5000
