"""Output of commands: results on stdout, everything else on stderr."""

import contextlib
import sys
import threading
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec

_FIRST_PROGRESS_SECONDS = 1.0
_NEXT_PROGRESS_SECONDS = 5.0


def result(text: str) -> None:
    """Prints a result as text."""
    print(_printable(text))


def result_json(value: Any) -> None:
    """Prints a result as JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def note(line: str) -> None:
    """Prints a line that is not part of the result."""
    print(_printable(line), file=sys.stderr, flush=True)


def error(line: str) -> None:
    """Prints an error as one line."""
    note(f"baobabmuxctl: {' '.join(line.split())}")


@contextlib.contextmanager
def progress(activity: str) -> Iterator[None]:
    """Prints what is being done while it takes longer than a second."""
    ended = threading.Event()
    thread = threading.Thread(
        target=_print_progress, args=(activity, ended), daemon=True
    )
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


def _print_progress(activity: str, ended: threading.Event) -> None:
    wait = _FIRST_PROGRESS_SECONDS
    seconds = 0.0
    while not ended.wait(wait):
        seconds += wait
        note(f"{activity} ({seconds:.0f} s)")
        wait = _NEXT_PROGRESS_SECONDS


def table(heads: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Formats rows under column heads, aligned to the widest cell."""
    lines = [list(heads), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _printable(text: str) -> str:
    # Names in events come from callers, so control characters are replaced to
    # protect the terminal.
    return "".join(
        char
        if char.isprintable() or char == "\n"
        else "\N{REPLACEMENT CHARACTER}"
        for char in text
    )
