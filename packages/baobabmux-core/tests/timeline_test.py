"""Tests of the time line and its clock."""

from baobabmux_core import hlc, timeline


def _event(stamp, node="n1", request="", **fields):
    return timeline.Event(
        hlc=stamp, kind=201, node=node, request=request, fields=fields
    )


def test_events_stay_in_bounds():
    """Guards against a node that fills its memory with events."""
    line = timeline.Timeline(max_events=3, max_bytes=2000)
    for stamp in range(10):
        line.add(_event(stamp))
    assert [event.hlc for event in line.select()] == [7, 8, 9]
    line.add(_event(10, detail="x" * 1600))
    assert len(line) == 1


def test_request_is_found_by_its_callers_name():
    """Guards against an operator who only knows the caller's identifier."""
    line = timeline.Timeline(max_events=10)
    line.add(_event(1, request="n1-1-1", public_id="order-7"))
    line.add(_event(2, request="n1-1-2", public_id="order-8"))
    assert [event.hlc for event in line.select(request="order-7")] == [1]
    assert [event.hlc for event in line.select(request="n1-1-2")] == [2]


def test_merge_orders_by_stamp_and_drops_copies():
    """Guards against effects that are shown before their causes."""
    first = [_event(1), _event(5)]
    second = [_event(2, "n2"), _event(5, "n2")]
    merged = timeline.merge([first, second, first])
    assert [(event.hlc, event.node) for event in merged] == [
        (1, "n1"),
        (2, "n2"),
        (5, "n1"),
        (5, "n2"),
    ]


def test_stamp_follows_what_was_heard():
    """Guards against an answer that is stamped before its question."""
    clock = hlc.HybridClock()
    ahead = hlc.pack(5000, 3)
    clock.update(ahead, now_ms=1000)
    assert clock.now(1000) > ahead


def test_wrong_clock_of_a_peer_is_not_taken_over():
    """Guards against one wrong clock that moves all others."""
    clock = hlc.HybridClock()
    clock.update(hlc.pack(10**12, 0), now_ms=1000)
    assert hlc.wall_ms(clock.now(1000)) == 1000
