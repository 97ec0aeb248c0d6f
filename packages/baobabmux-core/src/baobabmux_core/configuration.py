"""Configuration state derived from the records of the log stream `config`.

Every node applies the same records in the same order, so every node reaches
the same verdicts. Offsets of the log service are consecutive. A gap means that
the records in between have expired; the reader then waits for a snapshot that
covers the gap.
"""

import collections
import enum
import functools
from typing import Any

import expression
import msgspec

from baobabmux_core import declarations

STREAM = "config"

# Verdicts kept: about five hours of changes at 4,500 a day.
_MAX_VERDICTS = 1000

# Error lines and entry addresses kept in all verdicts together. The number of
# verdicts alone is no bound, because one publication may name every entry.
_MAX_DETAILS = 100_000

# Records buffered while a reader waits for a snapshot: two days of changes.
_MAX_PENDING_RECORDS = 10_000

# Offsets whose append time is kept, to compute the age of snapshots.
_MAX_APPEND_TIMES = 1000

_MAX_NAME_CHARACTERS = 128


class VerdictKind(enum.Enum):
    """Outcome of a publication."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Verdict(msgspec.Struct, frozen=True):
    """Decision about one publication.

    Attributes:
        operation: Identifier that the operator's tool chose.
        kind: Outcome of the publication.
        offset: Offset of the publication; the new version if accepted.
        base: Version on which the publication is based.
        version: Version in force after the decision.
        entries: Addresses `section/name` that the publication changed if it
            was accepted, or that changed after its base if it conflicts.
        complete: Whether `entries` reaches back to the base of a conflict;
            changes older than the stored verdicts are missing.
        errors: All errors of an invalid publication, one line each.
    """

    operation: str
    kind: VerdictKind
    offset: int
    base: int
    version: int
    entries: tuple[str, ...] = ()
    complete: bool = True
    errors: tuple[str, ...] = ()


class Publication(msgspec.Struct, tag="publication"):
    """Change of some entries, based on the version that its author saw.

    Attributes:
        operation: Idempotency key of the change, the same in repeated
            appends.
        base: Version that the author saw, or -1 if there was none.
        set: New tables by address `section/name`; each replaces the entry.
        delete: Addresses of entries to remove.
        author: Who made the change.
    """

    operation: str
    base: int
    set: dict[str, Any] = {}
    delete: list[str] = []
    author: str = ""


class PastOperation(msgspec.Struct, frozen=True):
    """Verdict in the form that snapshots contain."""

    operation: str
    kind: VerdictKind
    offset: int
    base: int
    version: int
    entries: tuple[str, ...] = ()


class Snapshot(msgspec.Struct, tag="snapshot"):
    """State after the record at an offset.

    Attributes:
        through: Offset of the last applied record.
        version: Version in force.
        tables: All tables in force.
        operations: Stored verdicts, oldest first.
    """

    through: int
    version: int
    tables: dict[str, dict[str, dict[str, Any]]]
    operations: list[PastOperation] = []


def publication(
    operation: str,
    base: int,
    set_entries: dict[str, dict[str, Any]],
    delete: list[str],
    author: str,
) -> dict[str, Any]:
    """Returns the record of a publication, as it is appended to the log."""
    return msgspec.to_builtins(
        Publication(operation, base, set_entries, delete, author)
    )


class ConfigurationLog:
    """State derived from the stream `config`.

    Attributes:
        version: Offset of the last accepted publication, -1 at first.
        through: Offset of the last applied record, -1 at first.
        configuration: Configuration in force, or None before the first one
            is accepted.
        tables: Tables in force.
        ignored: Number of records and snapshots that were malformed or
            contradicted the state.
    """

    def __init__(self):
        self.version = -1
        self.through = -1
        self.configuration: declarations.Configuration | None = None
        self.tables: declarations.Tables = {}
        self.ignored = 0
        self._verdicts: collections.OrderedDict[str, Verdict] = (
            collections.OrderedDict()
        )
        self._detail_count = 0
        self._pending: collections.deque[tuple[int, Any]] = collections.deque()
        self._append_times: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._snapshot_time_ms: int | None = None

    @property
    def waiting(self) -> bool:
        """Whether later records are buffered until a snapshot arrives."""
        return bool(self._pending)

    @property
    def next_offset(self) -> int:
        """Offset to read next; it advances past buffered records too."""
        return self._pending[-1][0] + 1 if self._pending else self.through + 1

    def apply(
        self, offset: int, record: Any, time_ms: int | None = None
    ) -> Verdict | None:
        """Applies one record; records at or before `through` are ignored.

        Args:
            offset: Offset of the record in the stream.
            record: Data of the record, untrusted.
            time_ms: Unix time in milliseconds at which the log appended the
                record, if known.

        Returns:
            The verdict if the record is a publication and was applied, or
            None, also when the record was buffered.
        """
        if offset <= self.through:
            return None
        if time_ms is not None:
            self._record_append_time(offset, time_ms)
        if offset == self.through + 1:
            self._pending.clear()
            return self._apply_next(offset, record)
        self._buffer_record(offset, record)
        return None

    def verdict(self, operation: str) -> Verdict | None:
        """Returns the verdict of a recent operation, or None."""
        return self._verdicts.get(operation)

    def snapshot(self) -> dict[str, Any]:
        """Returns a snapshot of the current state as a log record."""
        operations = [
            PastOperation(
                item.operation,
                item.kind,
                item.offset,
                item.base,
                item.version,
                item.entries if item.kind is VerdictKind.ACCEPTED else (),
            )
            for item in self._verdicts.values()
        ]
        return msgspec.to_builtins(
            Snapshot(
                self.through,
                self.version,
                self.tables,
                operations,
            )
        )

    def adopt(self, snapshot: Any) -> bool:
        """Replaces the state by a peer's snapshot if that is newer.

        Args:
            snapshot: Snapshot as a log record, untrusted.

        Returns:
            Whether the state changed.
        """
        parsed = _convert(snapshot, Snapshot)
        if parsed is None:
            self.ignored += 1
            return False
        return self._adopt(parsed)

    def snapshot_due(self, now_ms: int, retention_seconds: float) -> bool:
        """Returns whether a snapshot should be appended to the log.

        The age of a snapshot is the age of the first record that it does not
        cover: once that record has expired, a new reader cannot start from
        the snapshot.

        Args:
            now_ms: Current Unix time in milliseconds.
            retention_seconds: How long the log keeps records.
        """
        if self.version < 0 or self.waiting:
            return False
        if self._snapshot_time_ms is None:
            return True
        age_seconds = (now_ms - self._snapshot_time_ms) / 1000
        return age_seconds > retention_seconds / 3

    def _apply_next(self, offset: int, record: Any) -> Verdict | None:
        self.through = offset
        publication = _convert(record, Publication)
        if publication is not None:
            return self._decide(offset, publication)
        snapshot = _convert(record, Snapshot)
        if snapshot is None or not self._is_consistent(offset, snapshot):
            self.ignored += 1
        else:
            self._record_snapshot_time(snapshot)
        return None

    def _is_consistent(self, offset: int, snapshot: Snapshot) -> bool:
        if not snapshot.version <= snapshot.through < offset:
            return False
        if snapshot.version == self.version:
            return snapshot.tables == self.tables
        return snapshot.version < self.version

    def _record_snapshot_time(self, snapshot: Snapshot) -> None:
        time_ms = self._append_times.get(snapshot.through + 1)
        if time_ms is not None:
            self._snapshot_time_ms = max(time_ms, self._snapshot_time_ms or 0)

    def _decide(self, offset: int, publication: Publication) -> Verdict | None:
        previous = self._verdicts.get(publication.operation)
        if previous is not None:
            return previous
        # The author cannot have seen a base at or after the offset of the
        # record itself. Accepting such a base would allow a second verdict on
        # one operation.
        if (
            not publication.operation
            or len(publication.operation) > _MAX_NAME_CHARACTERS
            or publication.base >= offset
        ):
            self.ignored += 1
            return None
        verdict = self._evaluate(offset, publication)
        self._store_verdict(verdict)
        return verdict

    def _evaluate(self, offset: int, publication: Publication) -> Verdict:
        verdict = functools.partial(
            Verdict,
            publication.operation,
            offset=offset,
            base=publication.base,
        )
        if publication.base != self.version:
            entries, complete = self._changed_since(publication.base)
            return verdict(
                kind=VerdictKind.CONFLICT,
                version=self.version,
                entries=entries,
                complete=complete,
            )
        changed = apply_delta(
            self.tables,
            publication.set,
            publication.delete,
            self.configuration,
        )
        if changed.is_error():
            return verdict(
                kind=VerdictKind.INVALID,
                version=self.version,
                errors=tuple(str(error) for error in changed.error),
            )
        self.tables, self.configuration = changed.ok
        self.version = offset
        return verdict(
            kind=VerdictKind.ACCEPTED,
            version=offset,
            entries=tuple(sorted({*publication.set, *publication.delete})),
        )

    def _changed_since(self, base: int) -> tuple[tuple[str, ...], bool]:
        accepted = {
            item.offset: item
            for item in self._verdicts.values()
            if item.kind is VerdictKind.ACCEPTED
        }
        entries: set[str] = set()
        version = self.version
        while version > base:
            if version not in accepted:
                return tuple(sorted(entries)), False
            entries.update(accepted[version].entries)
            version = accepted[version].base
        return tuple(sorted(entries)), True

    def _store_verdict(self, verdict: Verdict) -> None:
        self._verdicts[verdict.operation] = verdict
        self._detail_count += len(verdict.entries) + len(verdict.errors)
        while len(self._verdicts) > _MAX_VERDICTS or (
            self._detail_count > _MAX_DETAILS and len(self._verdicts) > 1
        ):
            _, oldest = self._verdicts.popitem(last=False)
            self._detail_count -= len(oldest.entries) + len(oldest.errors)

    def _record_append_time(self, offset: int, time_ms: int) -> None:
        self._append_times[offset] = time_ms
        if len(self._append_times) > _MAX_APPEND_TIMES:
            self._append_times.popitem(last=False)

    def _buffer_record(self, offset: int, record: Any) -> None:
        if self._pending and offset <= self._pending[-1][0]:
            return
        if self._pending and offset > self._pending[-1][0] + 1:
            self._pending.clear()
        self._pending.append((offset, record))
        if len(self._pending) > _MAX_PENDING_RECORDS:
            self._pending.popleft()
        snapshot = _convert(record, Snapshot)
        if snapshot is None:
            return
        # Expired records may have replaced the state of a snapshot that does
        # not cover the whole gap, so a reader does not start from it.
        covers_gap = snapshot.through + 1 >= self._pending[0][0]
        if covers_gap and snapshot.through < offset:
            self._adopt(snapshot)

    def _adopt(self, snapshot: Snapshot) -> bool:
        if snapshot.through <= self.through:
            return False
        # The version never decreases, whatever a peer sends.
        if not max(self.version, -1) <= snapshot.version <= snapshot.through:
            self.ignored += 1
            return False
        if snapshot.version >= 0:
            checked = declarations.parse(snapshot.tables)
            same_version = snapshot.version == self.version
            if checked.is_error() or (
                same_version and snapshot.tables != self.tables
            ):
                self.ignored += 1
                return False
            self.configuration = checked.ok
            self.tables = snapshot.tables
        self.version = snapshot.version
        self.through = snapshot.through
        self._adopt_operations(snapshot.operations)
        self._apply_pending()
        return True

    def _adopt_operations(self, operations: list[PastOperation]) -> None:
        for item in operations:
            if item.operation not in self._verdicts:
                self._store_verdict(
                    Verdict(
                        item.operation,
                        item.kind,
                        item.offset,
                        item.base,
                        item.version,
                        item.entries,
                    )
                )

    def _apply_pending(self) -> None:
        pending, self._pending = self._pending, collections.deque()
        for offset, record in pending:
            self.apply(offset, record)


def apply_delta(
    tables: declarations.Tables,
    changes: dict[str, Any],
    delete: list[str],
    configuration: declarations.Configuration | None = None,
) -> (
    "expression.Result["
    "tuple[declarations.Tables, declarations.Configuration], "
    "list[declarations.ConfigError]]"
):
    """Applies a delta to tables and checks the result.

    Args:
        tables: Tables in force; they are not changed.
        changes: New tables by address `section/name`.
        delete: Addresses to remove.
        configuration: Configuration that `tables` declare. With it, only
            changed entries are checked against the schema.

    Returns:
        New tables and the configuration that they declare, or all errors:
        bad addresses, entries that are both set and deleted, deleted entries
        that do not exist, and every error that `declarations.parse` finds.
    """
    merged = {section: dict(entries) for section, entries in tables.items()}
    errors = []
    for address in delete:
        section, _, name = address.partition("/")
        if address in changes:
            errors.append(_delta_error(address, "is both set and deleted"))
        elif merged.get(section, {}).pop(name, None) is None:
            errors.append(_delta_error(address, "is deleted but not declared"))
    for address, table in changes.items():
        section, _, name = address.partition("/")
        if not section or not name:
            errors.append(
                _delta_error(address, "is not of the form section/name")
            )
        else:
            merged.setdefault(section, {})[name] = table
    known = None
    if configuration is not None:
        known = declarations.CheckedTables(tables, configuration)
    checked = declarations.parse(merged, known=known)
    if checked.is_error():
        errors.extend(checked.error)
    if errors:
        return expression.Error(errors)
    return expression.Ok((merged, checked.ok))


def _delta_error(address: str, problem: str) -> declarations.ConfigError:
    shown = address[:_MAX_NAME_CHARACTERS]
    return declarations.ConfigError(
        f'entry "{shown}"', problem, "correct it to fit the version in force"
    )


def _convert(record: Any, schema: type) -> Any | None:
    try:
        return msgspec.convert(record, schema)
    except (msgspec.ValidationError, RecursionError, OverflowError):
        return None
