"""Records of streams in the platform's store, and the reads of them.

A record holds the streams of a batch. Records only grow: fields are appended.
"""

import struct

import msgspec

from baobabmux_core import (
    effects,
    ids,
    rendezvous,
    stored_streams,
    stream_origins,
)

INTERVAL_SECONDS = 0.1
"""Time between two batches of one node, in seconds."""

_KEY = struct.Struct(">Q")


class _Part(msgspec.Struct, array_like=True):
    service: str
    version: str
    # 8 bytes for each stream, big-endian.
    streams: bytes


class _Record(msgspec.Struct, array_like=True):
    # Unix time in milliseconds at which it was written.
    at_ms: int
    parts: list[_Part]


class Batch(msgspec.Struct, frozen=True):
    """Streams that are written with one call.

    Attributes:
        streams: Keys of the streams.
        record: The record.
    """

    streams: tuple[ids.StreamKey, ...]
    record: bytes


class StreamLog:
    """Writes the streams that this node records; applies what was read.

    Args:
        origins: Records of streams at this node.

    Attributes:
        written: Streams written so far.
        restored: Streams read so far.
        unreadable: Malformed records read so far.
        answered: Requests that waited for a read so far.
    """

    def __init__(self, origins: stream_origins.StreamOrigins):
        self._origins = origins
        self.written = 0
        self.restored = 0
        self.unreadable = 0
        self.answered = 0

    def elect(
        self, live: frozenset[ids.NodeId], able: frozenset[ids.NodeId]
    ) -> bool:
        """Chooses the nodes that record streams.

        Args:
            live: Live nodes.
            able: Those whose build records streams, this one included.

        Returns:
            Whether they have changed; the running streams have to be handed
            over again then.
        """
        stored = self._origins.stored
        candidates = tuple(rendezvous.rank("streams", able))
        recorders = min(
            len(candidates), stored_streams.recorder_count(len(live))
        )
        before = stored.candidates[: stored.recorders]
        stored.candidates = candidates
        stored.recorders = recorders
        return before != candidates[:recorders]

    def due(self, now_ms: int) -> Batch | None:
        """Returns the next batch to write, or None."""
        due = self._origins.stored.due()
        if not due:
            return None
        by_origin: dict[stored_streams.Origin, list[bytes]] = {}
        for key, origin in due.items():
            by_origin.setdefault(origin, []).append(_KEY.pack(key))
        parts = [
            _Part(origin.service, origin.version, b"".join(keys))
            for origin, keys in by_origin.items()
        ]
        record = msgspec.msgpack.encode(_Record(now_ms, parts))
        return Batch(tuple(due), record)

    def stored(self, batch: Batch) -> None:
        """Records that a batch is in the store."""
        self._origins.stored.written(batch.streams)
        self.written += len(batch.streams)

    def refused(self) -> list[effects.Effect]:
        """Returns the messages that follow if the store took no batch."""
        return self._origins.stored.not_written()

    def needs_read(self) -> bool:
        """Returns whether a request waits for what the store knows."""
        return self._origins.needs_store()

    def max_records(self) -> int:
        """Returns how many of the newest records may still be needed."""
        stored = self._origins.stored
        batches = self._origins.history.kept_seconds / INTERVAL_SECONDS
        # Both sides of a cut may have written.
        return 2 * max(1, stored.recorders) * round(batches)

    def restore(self, records: list[bytes], now: float, now_ms: int) -> None:
        """Applies records; malformed ones are left out."""
        for content in records:
            try:
                record = msgspec.msgpack.decode(content, type=_Record)
                streams = _streams(record, now, now_ms)
            except (msgspec.DecodeError, struct.error):
                self.unreadable += 1
                continue
            self._origins.restore(streams, now)
            self.restored += len(streams)

    def read_to_end(self, started: float) -> int:
        """Records that a read that was sent at a time has reached the end."""
        answered = self._origins.store_read(started)
        self.answered += answered
        return answered


def _streams(
    record: _Record, now: float, now_ms: int
) -> list[tuple[ids.StreamKey, stored_streams.Origin, float]]:
    """Returns key, origin and time of each stream; the future counts as now."""
    at = now - max(0, now_ms - record.at_ms) / 1000
    return [
        (
            ids.StreamKey(key),
            stored_streams.Origin(ids.ServiceName(part.service), part.version),
            at,
        )
        for part in record.parts
        for (key,) in _KEY.iter_unpack(part.streams)
    ]
