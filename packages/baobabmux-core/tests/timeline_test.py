"""Tests of the timeline and its clock."""

from baobabmux_core import hlc, timeline


def _event(stamp, node="n1", request="", **fields):
    return timeline.Event(
        hlc=stamp, kind=201, node=node, request=request, fields=fields
    )


def test_events_stay_within_limits():
    """Guards against memory that grows with the number or size of events."""
    events = timeline.Timeline(max_events=3, max_bytes=2000)
    for stamp in range(10):
        events.add(_event(stamp))
    assert [event.hlc for event in events.select()] == [7, 8, 9]
    events.add(_event(10, detail="x" * 1600))
    assert len(events) == 1


def test_long_names_of_requests_count():
    """Guards against names that callers choose and no bound counts."""
    events = timeline.Timeline(max_events=100, max_bytes=20_000)
    for stamp in range(10):
        events.add(_event(stamp, request="x" * 8_000))
    assert len(events) == 2


def test_request_is_found_by_its_callers_identifier():
    """Guards against a search by the caller's identifier that finds nothing."""
    events = timeline.Timeline(max_events=10)
    events.add(_event(1, request="n1-1-1", public_id="order-7"))
    events.add(_event(2, request="n1-1-2", public_id="order-8"))
    assert [event.hlc for event in events.select(request="order-7")] == [1]
    assert [event.hlc for event in events.select(request="n1-1-2")] == [2]


def test_merge_orders_by_timestamp_and_drops_duplicates():
    """Guards against a merge that shows an effect before its cause."""
    first = [_event(1), _event(5)]
    second = [_event(2, "n2"), _event(5, "n2")]
    merged = timeline.merge([first, second, first])
    assert [(event.hlc, event.node) for event in merged] == [
        (1, "n1"),
        (2, "n2"),
        (5, "n1"),
        (5, "n2"),
    ]


def test_timestamp_is_later_than_received_ones():
    """Guards against an answer with an earlier timestamp than its request."""
    clock = hlc.HybridClock()
    ahead = hlc.pack(5000, 3)
    clock.update(ahead, now_ms=1000)
    assert clock.now(1000) > ahead


def test_timestamp_far_in_the_future_is_ignored():
    """Guards against one peer's wrong clock that advances all others."""
    clock = hlc.HybridClock()
    clock.update(hlc.pack(10**12, 0), now_ms=1000)
    assert hlc.wall_ms(clock.now(1000)) == 1000
