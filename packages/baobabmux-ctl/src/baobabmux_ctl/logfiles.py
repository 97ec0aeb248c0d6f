"""Events from the log files of nodes, where no node can be asked."""

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
        directory: Folder with one or more log files; files may hold the lines
            of several nodes and other lines besides.
        request: Identifier that the node or the caller gave; empty matches
            all.
        endpoint: Endpoint; empty matches all.
        since_ms: Unix milliseconds of the first event.

    Returns:
        Events by file.

    Raises:
        exits.CommandError: The folder cannot be read.
    """
    try:
        paths = sorted(p for p in pathlib.Path(directory).iterdir())
        known = {
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
        # Only the holder's lines name the caller's identifier.
        names |= {
            event.request
            for events in known.values()
            for event in events
            if timeline.matches(event, request)
        }
    found = {}
    for path, events in known.items():
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
    """Yields the events of a file; a line may have a prefix."""
    with path.open("rb") as file:
        for line in file:
            start = line.find(b"{")
            if start < 0 or b'"hlc"' not in line:
                continue
            try:
                yield _DECODER.decode(line[start:])
            except msgspec.DecodeError:
                # A line that was cut off, or of another program.
                continue
