"""Records and pages of the log service's streams."""

from typing import Any

import msgspec


class Record(msgspec.Struct, frozen=True):
    """One record of a stream.

    Attributes:
        offset: Position in the stream.
        time_ms: Time of the append in Unix milliseconds.
        data: The record, as appended.
    """

    offset: int
    time_ms: int
    data: Any


class Page(msgspec.Struct, frozen=True):
    """A part of a stream.

    Attributes:
        first: Offset of the oldest record that is kept.
        next: Offset to read from next.
        records: Records in order of offset.
    """

    first: int
    next: int
    records: list[Record]
