"""Records of contents under which endpoints ended, for the platform's store.

Nodes that cannot reach each other, and nodes that all restart together, share
their counts through the store. Only contents with two counted ends are stored,
so that the end of one endpoint causes no write. One node of those that reach
each other writes for all.
"""

import enum
from collections.abc import Callable

import msgspec

from baobabmux_core import effects, end_counts, ids, messages, scheduler

_MIN_STORED_ENDS = 2
# Keys of parts of prompts begin with this; those of contents are only digits.
_PART_PREFIX = "part-"


class _Cause(enum.Enum):
    """What a record counts ends of."""

    CONTENT = "content"
    PART = "part"


class _End(msgspec.Struct):
    endpoint: str
    at_ms: int
    certain: bool = True
    content: int = 0


class _Record(msgspec.Struct):
    ends: list[_End]


class EndRecords:
    """Compares the counts of a node with the records in the store.

    Args:
        node_scheduler: Holds the counts.
        is_writer: Returns whether this node writes the record of a key.
        record_malformed: Called with the key of a malformed record and the
            reason.
    """

    def __init__(
        self,
        node_scheduler: scheduler.NodeScheduler,
        is_writer: Callable[[str], bool],
        record_malformed: Callable[[str, str], None],
    ):
        self._record_malformed = record_malformed
        self._scheduler = node_scheduler
        self._is_writer = is_writer
        # Number of ends in the record of each key.
        self._stored: dict[str, int] = {}

    def replace(
        self, records: dict[str, bytes], now: float, now_ms: int
    ) -> list[effects.Effect]:
        """Applies all records of the store; see `update`."""
        self._stored.clear()
        return self.update(records, now, now_ms)

    def update(
        self, records: dict[str, bytes], now: float, now_ms: int
    ) -> list[effects.Effect]:
        """Applies new records; an empty value clears a content.

        Args:
            records: Values by key. Malformed ones are left out.
            now: Current time in seconds.
            now_ms: Current time in Unix milliseconds.

        Returns:
            Effects to carry out.
        """
        emitted: list[effects.Effect] = []
        for key, value in records.items():
            try:
                emitted += self._apply(key, value, now, now_ms)
            except ValueError as error:
                self._record_malformed(key, str(error))
        return emitted

    def _apply(
        self, key: str, value: bytes, now: float, now_ms: int
    ) -> list[effects.Effect]:
        cause, digest = _parse_key(key)
        if not value:
            self._stored.pop(key, None)
            cleared = (
                messages.Cleared(ids.ContentDigest(digest))
                if cause is _Cause.CONTENT
                else messages.PartsProved((ids.PartDigest(digest),))
            )
            return self._scheduler.receive(ids.NodeId(""), cleared, now)
        record = msgspec.json.decode(value, type=_Record)
        self._stored[key] = len(record.ends)
        emitted: list[effects.Effect] = []
        for end in record.ends:
            age_ms = max(0, now_ms - end.at_ms)
            report = messages.EndedContents(
                ids.EndpointId(end.endpoint),
                end.certain,
                (messages.ContentEnd(ids.ContentDigest(digest), age_ms),)
                if cause is _Cause.CONTENT
                else (),
                (
                    messages.PartEnd(
                        ids.PartDigest(digest),
                        age_ms,
                        ids.ContentDigest(end.content),
                    ),
                )
                if cause is _Cause.PART
                else (),
            )
            emitted += self._scheduler.receive(ids.NodeId(""), report, now)
        return emitted

    def due(self, now: float, now_ms: int) -> dict[str, bytes]:
        """Returns the records that this node has to write, by key."""
        due: dict[str, bytes] = {}
        counted = self._scheduler.ends.counted_contents(_MIN_STORED_ENDS, now)
        parts = self._scheduler.ends.counted_parts(_MIN_STORED_ENDS, now)
        wanted = {f"{content:016x}": ends for content, ends in counted.items()}
        wanted |= {
            f"{_PART_PREFIX}{part:08x}": ends for part, ends in parts.items()
        }
        for key, ends in wanted.items():
            if len(ends) > self._stored.get(key, 0) and self._is_writer(key):
                due[key] = _encode(ends, now, now_ms)
        for key in self._stored:
            if not self._has_ends(key) and self._is_writer(key):
                due[key] = b""
        return due

    def _has_ends(self, key: str) -> bool:
        cause, digest = _parse_key(key)
        if cause is _Cause.PART:
            part = ids.PartDigest(digest)
            return self._scheduler.ends.part_has_ended_endpoints(part)
        content = ids.ContentDigest(digest)
        return self._scheduler.ends.has_ended_endpoints(content)

    def written(self, key: str, value: bytes) -> None:
        """Records that a record of this node is in the store."""
        if not value:
            self._stored.pop(key, None)
            return
        self._stored[key] = len(msgspec.json.decode(value, type=_Record).ends)


def _parse_key(key: str) -> tuple[_Cause, int]:
    """Returns the cause and its digest.

    Raises:
        ValueError: The key holds no digest.
    """
    if key.startswith(_PART_PREFIX):
        return _Cause.PART, int(key.removeprefix(_PART_PREFIX), 16)
    return _Cause.CONTENT, int(key, 16)


def _encode(ends: tuple[end_counts.End, ...], now: float, now_ms: int) -> bytes:
    return msgspec.json.encode(
        _Record(
            [
                _End(
                    end.endpoint,
                    now_ms - round((now - end.at) * 1000),
                    end.certain,
                    end.content or 0,
                )
                for end in ends
            ]
        )
    )
