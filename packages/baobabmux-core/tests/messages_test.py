"""Tests of the encoding of messages between nodes."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

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


def test_negative_outcome_code_is_rejected():
    """Guards against an owner that crashes on a malformed outcome code."""
    release = messages.Release("g", "n1-1", "e", -1, -1, 0, 0, 0)
    frame = messages.Frame("n1", 1, 1, 1, (release,))
    with pytest.raises(messages.FrameError):
        messages.decode_frame(messages.encode_frame(frame))


@pytest.mark.parametrize(
    ("message", "expected", "unknown"),
    [
        (
            messages.Release("g", "n1-1", "e", 90, -1, 0, 0, 0),
            messages.Release(
                "g", "n1-1", "e", states.Outcome.UNREACHED.code, -1, 0, 0, 0
            ),
            "outcome 90",
        ),
        (
            messages.Refusal("n1-1", "new_kind", 500),
            messages.Refusal("n1-1", "overloaded", 500),
            "refusal new_kind",
        ),
        (
            messages.ClaimAnswer(1, "a", "a", "n1", "paused", 2),
            messages.ClaimAnswer(1, "a", "a", "n1", "unknown", 2),
            "status paused",
        ),
        (
            messages.AnswerPart(1, "a", "paused", 0, 0, 0, "", b""),
            messages.AnswerPart(1, "a", "unknown", 0, 0, 0, "", b""),
            "status paused",
        ),
    ],
)
def test_unknown_code_decodes_to_its_default(message, expected, unknown):
    """Guards against codes of newer builds that end a node or its frames."""
    other = messages.Withdraw("g", "n1-2")
    frame = messages.Frame("n1", 1, 1, 1, (message, other))
    received = messages.receive_frame(messages.encode_frame(frame))
    assert received.frame.messages == (expected, other)
    assert received.unknown == (unknown,)


def _encode_raw(*encoded, extra=()):
    return msgspec.msgpack.encode(["n1", 5, 7, 9, list(encoded), *extra])


def _fields_of(message):
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message))


_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=6,
)
_KNOWN = st.sampled_from(
    [
        messages.Grant("n1-1", "draft-a1", 2000),
        messages.Withdraw("g", "n1-2"),
        messages.Heartbeat(False, 3, (messages.ServiceLoad("g", 4),)),
        messages.Cleared(77),
        messages.Refusal("n1-3", "overloaded", 500),
    ]
)
_UNKNOWN = st.tuples(
    st.integers(max(messages.MESSAGE_TYPES) + 1, 10_000),
    st.lists(_VALUES, max_size=5),
)


@hypothesis.given(st.lists(_KNOWN | _UNKNOWN, max_size=8))
def test_unknown_message_is_lost_alone(sent):
    """Guards against an unknown message that takes its frame with it."""
    encoded = [
        [item[0], *item[1]] if isinstance(item, tuple) else _fields_of(item)
        for item in sent
    ]
    received = messages.receive_frame(_encode_raw(*encoded))
    assert received.frame.messages == tuple(
        item for item in sent if not isinstance(item, tuple)
    )
    assert received.unknown == tuple(
        f"message {item[0]}" for item in sent if isinstance(item, tuple)
    )
    assert received.frame.sender == "n1"
    assert received.frame.hlc == 9


@hypothesis.given(_KNOWN, st.lists(_VALUES, max_size=4), _VALUES)
def test_longer_structs_decode(message, extra, extra_of_frame):
    """Guards against new fields that make older nodes reject a message.

    The extra fields come after all known ones. Frames may grow, too.
    """
    data = _encode_raw([*_fields_of(message), *extra], extra=(extra_of_frame,))
    received = messages.receive_frame(data)
    assert received.frame.messages == (message,)
    assert received.unknown == ()


@pytest.mark.parametrize(
    "fields",
    [
        [],
        [None],
        [True],
        ["a"],
        [3, "n1-1"],
        [3, "n1-1", "e", "not a number"],
        7,
        {},
    ],
)
def test_malformed_message_rejects_its_frame(fields):
    """Guards against malformed input that passes for an unknown message."""
    good = _fields_of(messages.Cleared(77))
    with pytest.raises(messages.FrameError):
        messages.receive_frame(_encode_raw(good, fields, [99]))


@hypothesis.given(st.binary(max_size=80))
def test_arbitrary_bytes_raise_only_frame_errors(data):
    """Guards against a node that ends because of bytes from the network."""
    try:
        messages.receive_frame(data)
    except messages.FrameError:
        return


@hypothesis.given(st.lists(_KNOWN, min_size=1, max_size=4), st.data())
def test_truncated_frame_is_rejected(sent, data):
    """Guards against a truncated frame that decodes in part."""
    whole = messages.encode_frame(messages.Frame("n1", 5, 7, 9, tuple(sent)))
    length = data.draw(st.integers(0, len(whole) - 1))
    with pytest.raises(messages.FrameError):
        messages.receive_frame(whole[:length])


@pytest.mark.parametrize("outcome", list(states.Outcome))
def test_outcome_codes_are_unique(outcome):
    """Guards against two outcomes that share a code."""
    assert states.Outcome.of_code(outcome.code) is outcome
    assert states.Outcome(outcome.value) is outcome
