"""Records of the versions of each service, for the platform's store.

Nodes that all restart together have seen no versions before. The records tell
them whether one version began all recent streams. They change only when a
version comes or goes; one node of those that reach each other writes for all.
"""

from collections.abc import Callable

import msgspec

from baobabmux_core import ids, version_history


class _Record(msgspec.Struct):
    since_ms: int
    listed: list[str]
    # Unix time in milliseconds at which other versions were listed last.
    left: dict[str, int] = {}


class VersionRecords:
    """Compares the versions that a node knows with the records in the store.

    Args:
        history: Versions that this node knows.
        is_writer: Returns whether this node writes the record of a key.
        record_malformed: Called with the key of a malformed record and the
            reason.
    """

    def __init__(
        self,
        history: version_history.VersionHistory,
        is_writer: Callable[[str], bool],
        record_malformed: Callable[[str, str], None],
    ):
        self._history = history
        self._is_writer = is_writer
        self._record_malformed = record_malformed
        self._stored: dict[str, _Record] = {}
        # Number of the gap in the history since which the store was read.
        self._read_gap = 0

    def needs_read(self) -> bool:
        """Returns whether the store may know more than this node."""
        return self._read_gap != self._history.gaps and bool(
            self._history.known()
        )

    def restore(
        self, records: dict[str, bytes], now: float, now_ms: int
    ) -> None:
        """Applies all records of the store; malformed ones are left out."""
        self._read_gap = self._history.gaps
        for key, value in records.items():
            try:
                record = msgspec.json.decode(value, type=_Record)
            except msgspec.DecodeError as error:
                self._record_malformed(key, str(error))
                continue
            self._stored[key] = record
            self._history.restore(
                ids.ServiceName(key), _decode(record, now, now_ms), now
            )

    def lose_records(self) -> None:
        """Has all records written again, as the store may lack them."""
        self._stored.clear()

    def due(self, now: float, now_ms: int) -> dict[str, bytes]:
        """Returns the records that this node has to write, by key."""
        if self._read_gap != self._history.gaps:
            return {}
        due = {}
        for service, known in self._history.known().items():
            stored = self._stored.get(service)
            is_new = (
                stored is None
                or set(stored.listed) != known.listed
                or not known.left.keys() <= stored.left.keys()
            )
            if is_new and self._is_writer(service):
                due[service] = msgspec.json.encode(_encode(known, now, now_ms))
        return due

    def written(self, key: str, value: bytes) -> None:
        """Records that a record of this node is in the store."""
        self._stored[key] = msgspec.json.decode(value, type=_Record)


def _encode(
    known: version_history.ListedVersions, now: float, now_ms: int
) -> _Record:
    return _Record(
        now_ms - round((now - known.since) * 1000),
        sorted(known.listed),
        {
            version: now_ms - round((now - at) * 1000)
            for version, at in known.left.items()
        },
    )


def _decode(
    record: _Record, now: float, now_ms: int
) -> version_history.ListedVersions:
    """Converts times; those in the future count as now."""
    return version_history.ListedVersions(
        now - max(0, now_ms - record.since_ms) / 1000,
        frozenset(record.listed),
        {
            version: now - max(0, now_ms - at_ms) / 1000
            for version, at_ms in record.left.items()
        },
    )
