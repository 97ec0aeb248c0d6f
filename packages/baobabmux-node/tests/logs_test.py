"""Tests of the log writer with readers that are slow, stop or disconnect."""

import fcntl
import os

import msgspec

from baobabmux_core import catalogue
from baobabmux_node import events, logs

_LINE = b"x" * 99 + b"\n"


def _read_available(descriptor):
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            part = os.read(descriptor, 65536)
        except BlockingIOError:
            return data
        if not part:
            return data
        data += part


def test_reader_that_stops_reading_does_not_block_the_node():
    """Guards against a node that blocks because nobody reads its log.

    The buffer stays within its limit, and every line is either written
    completely or counted as dropped.
    """
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    writer = logs.LineWriter(write_end, max_waiting_bytes=10_000)
    for _ in range(500):
        writer.enqueue(_LINE)
        writer.flush()
    assert writer.dropped > 300
    assert writer.waiting_bytes <= 10_000
    text = b""
    while writer.waiting_bytes:
        text += _read_available(read_end)
        writer.flush()
    text += _read_available(read_end)
    lines = text.splitlines()
    assert len(lines) == 500 - writer.dropped
    assert set(lines) == {_LINE.strip()}
    os.close(read_end)
    os.close(write_end)


def test_lines_are_dropped_after_the_reader_has_closed_the_pipe():
    """Guards against a node that fails when the reader of its log exits."""
    read_end, write_end = os.pipe()
    os.close(read_end)
    writer = logs.LineWriter(write_end)
    for _ in range(3):
        writer.enqueue(_LINE)
        writer.flush()
    assert writer.dropped >= 2
    os.close(write_end)


def test_burst_limits_routine_lines_but_not_refusals(monkeypatch):
    """Guards against missing refusals in the log during a burst.

    Routine events above the limit per second are counted instead of written;
    refusals are always written.
    """
    written = []
    monkeypatch.setattr(
        events.eliot,
        "log_message",
        lambda message_type, **fields: written.append(fields["kind"]),
    )
    monkeypatch.setattr(events.wall_clock, "unix_ms", lambda: 5_000_000)
    recorder = events.EventRecorder("n1", 10)
    kind = catalogue.EventKind
    for _ in range(2000):
        recorder.record(kind.REQUEST_RECEIVED, "r")
        recorder.record(kind.REQUEST_REFUSED, "r", error="overloaded")
    assert written.count(kind.REQUEST_REFUSED.number) == 2000
    routine = written.count(kind.REQUEST_RECEIVED.number)
    assert 0 < routine < 2000
    assert recorder.unwritten == 2000 - routine


def test_line_written_directly_has_the_fields_that_eliot_writes(monkeypatch):
    """Guards against tools that cannot read the lines of some nodes.

    Only eliot's ids of tasks are missing.
    """
    by_eliot = []
    directly = []
    monkeypatch.setattr(events.wall_clock, "unix_ms", lambda: 5_000_250)
    events.eliot.add_destinations(by_eliot.append)
    try:
        for write_line in (None, directly.append):
            recorder = events.EventRecorder("n1", 10)
            recorder.write_line = write_line
            recorder.record(
                catalogue.EventKind.REQUEST_REFUSED,
                "r",
                "e",
                error="overloaded",
                left_ms=None,
                odd={1.5},
            )
    finally:
        events.eliot.remove_destination(by_eliot.append)
    line = directly[0]
    assert line.endswith(b"}\n")
    found = msgspec.json.decode(line)
    assert found.pop("timestamp") == 5000.25
    expected = {
        name: value
        # Eliot hands its first destination what was logged before it.
        for name, value in by_eliot[-1].items()
        if name not in ("task_uuid", "task_level", "timestamp")
    }
    expected["fields"]["odd"] = [1.5]
    assert found == expected
