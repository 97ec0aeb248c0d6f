"""Tests of the encoding of messages between nodes."""

import pytest

from baobabmux_core import messages, states

_FRAME = messages.Frame(
    "n1",
    1_796_000_000_000,
    7,
    99,
    (messages.Grant("n1-1", "draft-a1", 2000), messages.Withdraw("g", "n1-2")),
)


def test_frame_round_trip():
    """Guards against messages that differ after encoding and decoding."""
    data = messages.encode_frame(_FRAME, b"secret")
    assert messages.decode_frame(data, b"secret") == _FRAME


@pytest.mark.parametrize("data", [b"", b"\x00" * 40, b"\xc1" * 100])
def test_malformed_frame_is_rejected(data):
    """Guards against a node that crashes on arbitrary received bytes."""
    with pytest.raises(messages.FrameError):
        messages.decode_frame(data)


def test_frame_with_wrong_mac_is_rejected():
    """Guards against accepting frames from senders without the secret."""
    data = messages.encode_frame(_FRAME, b"other")
    with pytest.raises(messages.FrameError):
        messages.decode_frame(data, b"secret")


@pytest.mark.parametrize("code", [-1, len(states.Outcome)])
def test_unknown_outcome_code_is_rejected(code):
    """Guards against an owner that crashes on an unknown outcome code."""
    release = messages.Release("g", "n1-1", "e", code, -1, 0, 0, 0)
    frame = messages.Frame("n1", 1, 1, 1, (release,))
    with pytest.raises(messages.FrameError):
        messages.decode_frame(messages.encode_frame(frame))


@pytest.mark.parametrize("outcome", list(states.Outcome))
def test_outcome_codes_are_unique(outcome):
    """Guards against two outcomes that share a code."""
    assert states.Outcome.of_code(outcome.code) is outcome
    assert states.Outcome(outcome.value) is outcome
