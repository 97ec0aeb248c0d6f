"""Tests of the revisions of messages between nodes."""

import msgspec
import pytest

from baobabmux_core import messages, revisions, states


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


_GRANT = messages.Grant("n1-1", "draft-a1", 2000)
_PAUSED = messages.EndpointPaused("draft-a1", 700)
_LEAVING = messages.EndpointsLeaving(("draft-a1",))
_UNREACHED = messages.Release(
    "g", "n1-1", "draft-a1", states.Outcome.UNREACHED.code, -1, 0, 0, 0
)


def _frame(*sent, sender="old", incarnation=1):
    return messages.Frame(sender, incarnation, 1, 1, sent)


def _heartbeat(tunnel_port=0, revision=0):
    return messages.Heartbeat(
        False, 1, tunnel_port=tunnel_port, revision=revision
    )


def test_pause_for_an_old_carrier_destroys_no_grant():
    """Guards against a message that makes an old build reject a grant."""
    peers = revisions.PeerRevisions()
    peers.record(_frame(_heartbeat()))
    assert peers.frames("old", (_GRANT, _PAUSED)) == [(_GRANT,)]
    assert peers.replaced == {"EndpointPaused": 1}


def test_message_that_an_old_build_may_not_know_has_its_own_frame():
    """Guards against losing a grant at builds older than the assumed one."""
    peers = revisions.PeerRevisions()
    peers.record(_frame(_heartbeat()))
    sent = peers.frames("old", (_LEAVING, _GRANT))
    assert sent == [(_GRANT,), (_LEAVING,)]


def test_message_that_a_peer_has_sent_shares_frames():
    """Guards against more frames than needed to a build that proved itself."""
    peers = revisions.PeerRevisions()
    peers.record(_frame(_LEAVING))
    assert peers.frames("old", (_LEAVING, _GRANT)) == [(_LEAVING, _GRANT)]


@pytest.mark.parametrize(
    "heartbeat",
    [
        _heartbeat(tunnel_port=9000),
        _heartbeat(revision=revisions.CURRENT),
        _heartbeat(revision=revisions.CURRENT + 3),
    ],
)
def test_builds_that_know_all_messages_get_them_in_one_frame(heartbeat):
    """Guards against withholding messages from a build that knows them."""
    peers = revisions.PeerRevisions()
    peers.record(_frame(heartbeat))
    queued = (_GRANT, _PAUSED, _UNREACHED, _LEAVING)
    assert peers.frames("old", queued) == [queued]
    assert not peers.replaced


def test_unreached_returns_the_grant_at_an_old_owner():
    """Guards against an outcome that makes an old owner reject a frame.

    `NOT_SENT` would count against the owner's breaker although only a link of
    the holder has failed.
    """
    peers = revisions.PeerRevisions()
    peers.record(_frame(_heartbeat()))
    withdraw = messages.Withdraw("g", "n1-1")
    assert peers.frames("old", (_UNREACHED,)) == [(withdraw,)]


def test_refusal_of_a_stream_reaches_a_build_that_binds_streams():
    """Guards against a substitute although an ask has shown the build."""
    gone = messages.Refusal("n1-1", "version_gone", 500)
    replaced = messages.Refusal("n1-1", "overloaded", 500)
    ask = messages.Ask("g", "n1-1", 0, 1, -1, 9, 9, (), 7)
    terms = messages.AskTerms(version="v1")
    bound = msgspec.structs.replace(ask, terms=terms)
    peers = revisions.PeerRevisions()
    peers.record(_frame(ask))
    assert peers.frames("old", (gone,)) == [(replaced,)]
    peers.record(_frame(bound))
    assert peers.frames("old", (gone,)) == [(gone,)]


def test_node_without_frames_counts_as_old():
    """Guards against new messages to a node whose build is not known yet."""
    peers = revisions.PeerRevisions()
    assert peers.frames("new", (_PAUSED,)) == []


def test_state_is_due_once_a_peer_understands_it():
    """Guards against a peer that lacks reports sent before its heartbeat."""
    peers = revisions.PeerRevisions()
    assert not peers.record(_frame(_GRANT))
    peers.frames("old", (_PAUSED,))
    current = _frame(_heartbeat(revision=revisions.CURRENT))
    assert peers.record(current)
    assert not peers.record(current)


def test_node_that_restarts_counts_as_old_again():
    """Guards against a rollback whose build gets messages of the new one."""
    peers = revisions.PeerRevisions()
    peers.record(_frame(_heartbeat(revision=revisions.CURRENT)))
    peers.record(_frame(_GRANT, incarnation=2))
    assert peers.frames("old", (_GRANT, _PAUSED)) == [(_GRANT,)]


def test_heartbeat_without_revision_lowers_none():
    """Guards against a node that counts as old because it is leaving."""
    peers = revisions.PeerRevisions()
    peers.record(_frame(_heartbeat(revision=revisions.CURRENT)))
    peers.record(_frame(messages.Heartbeat(True, -1)))
    assert peers.of("old") == revisions.CURRENT


@pytest.mark.parametrize(
    ("kind", "revision", "sent"),
    [
        ("version_gone", 2, "overloaded"),
        ("version_gone", 3, "version_gone"),
        ("overloaded", 1, "overloaded"),
    ],
)
def test_refusal_of_an_unknown_kind_is_replaced(kind, revision, sent):
    """Guards against a refusal that ends a node of an older build."""
    refusal = messages.Refusal("n1-1", kind, 500)
    expected = messages.Refusal("n1-1", sent, 500)
    assert refusal.for_revision(revision) == expected


def test_revision_costs_one_byte_of_a_heartbeat():
    """Guards against control traffic that grows by more than 2%."""
    loads = tuple(messages.ServiceLoad(f"drafting@{n}", 300) for n in "abc")
    heartbeat = messages.Heartbeat(
        False, 812, loads, "col-a", (), "", messages.LinkState(9000, 2**40)
    )
    stated = msgspec.structs.replace(heartbeat, revision=revisions.CURRENT)
    before = len(messages.encode_frame(_frame(heartbeat), b"secret")) - 1
    assert (
        len(messages.encode_frame(_frame(stated), b"secret")) <= before * 1.02
    )
