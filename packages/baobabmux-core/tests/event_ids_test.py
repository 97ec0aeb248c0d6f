"""Tests of the identifiers of events."""

import hypothesis
import pytest
from hypothesis import strategies as st

from baobabmux_core import event_ids


@pytest.mark.parametrize(
    "text", ["0", "7", "0012", str(2**31), str(2**63), str(2**64 - 1)]
)
def test_identifier_keeps_its_text(text):
    """Guards against a stream that goes on after another event (ORDER)."""
    assert event_ids.parse(text) == text


@pytest.mark.parametrize(
    "text",
    [
        "", " ", "-1", "+1", "1.5", "1e9", "1, 2", "\u00b2", "\u0663", "x",
        "9" * 21, "0" * 21, "9" * 10_000,
    ],
)  # fmt: skip
def test_other_texts_are_errors(text):
    """Guards against a text that is taken for no event, or for another one."""
    with pytest.raises(ValueError, match="the identifier of an event"):
        event_ids.parse(text)


@hypothesis.given(st.lists(st.integers(0, 2**64 - 1), min_size=2))
def test_events_are_ordered_by_number(numbers):
    """Guards against an order of texts, in which 10 comes before 9."""
    events = [event_ids.parse(str(number)) for number in numbers]
    ordered = sorted(events, key=event_ids.position)
    assert ordered == [str(number) for number in sorted(numbers)]
