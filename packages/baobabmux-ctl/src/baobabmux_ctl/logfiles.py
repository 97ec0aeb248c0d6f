"""Reads events from log files, for nodes that cannot be queried."""

import pathlib
from collections.abc import Iterator

import msgspec

from baobabmux_core import timeline
from baobabmux_ctl import exits, nodes

_DECODER = msgspec.json.Decoder(timeline.Event)


def request_timelines(
    directory: str,
    request: str = "",
    endpoint: str = "",
    since_ms: int = 0,
) -> nodes.Answers:
    """Reads the matching events from all files of a folder.

    Args:
        directory: Folder with one or more log files; a file may contain lines
            of several nodes and of other programs.
        request: Identifier assigned by the node or the caller; empty matches
            all.
        endpoint: Endpoint; empty matches all.
        since_ms: Earliest time of an event, in Unix milliseconds.

    Returns:
        Events by file.

    Raises:
        exits.CommandError: The folder cannot be read.
    """
    try:
        paths = sorted(p for p in pathlib.Path(directory).iterdir())
        events_by_path = {
            str(path): list(_read_events(path))
            for path in paths
            if path.is_file()
        }
    except OSError as error:
        raise exits.CommandError(
            exits.ExitCode.FAILED,
            f"--logs: {directory} cannot be read: {error.strerror}",
        ) from error
    names = {request}
    if request:
        # Only the holder's arrival event has the caller's identifier; other
        # events of the request are found by the holder's identifier.
        names |= {
            event.request
            for events in events_by_path.values()
            for event in events
            if timeline.matches(event, request)
        }
    found = {}
    for path, events in events_by_path.items():
        matching = [
            event
            for event in events
            if any(
                timeline.matches(event, name, endpoint, since_ms=since_ms)
                for name in names
                if name or not request
            )
        ]
        matching.sort(key=lambda event: (event.hlc, event.node))
        found[path] = nodes.NodeTimeline(path, matching)
    return nodes.Answers(found, {})


def _read_events(path: pathlib.Path) -> Iterator[timeline.Event]:
    """Yields the events of a file; text before the JSON is skipped."""
    with path.open("rb") as file:
        for line in file:
            start = line.find(b"{")
            if start < 0 or b'"hlc"' not in line:
                continue
            try:
                yield _DECODER.decode(line[start:])
            except msgspec.DecodeError:
                # A truncated line, or a line of another program.
                continue
