"""Publication of a configuration change, with retries after lost answers.

Repeated appends have the same operation identifier, so that the change takes
effect at most once.
"""

import getpass
import time
import uuid
from typing import Any

import msgspec

from baobabmux_core import configuration, declarations
from baobabmux_ctl import exits, log_service, output

_FIRST_RETRY_SECONDS = 0.2
_MAX_RETRY_SECONDS = 5.0

# Entries of this section are kept if the files omit them, so that publishing
# routes at peak load does not switch the active preset back.
_RETAINED_SECTION = "active"


class Delta(msgspec.Struct, frozen=True):
    """Difference between two sets of declarations.

    Attributes:
        set: New tables by address `section/name`.
        delete: Addresses of removed entries.
    """

    set: dict[str, dict[str, Any]]
    delete: list[str]

    def __bool__(self) -> bool:
        """Returns whether anything differs."""
        return bool(self.set or self.delete)


class Report(msgspec.Struct, frozen=True):
    """Outcome of a publication.

    Attributes:
        verdict: "accepted", "conflict", "invalid", "unchanged" or "unknown".
        operation: Identifier of the operation.
        version: Latest known version in force after the operation.
        entries: Entries that the publication changed if it was accepted, or
            that others changed in a conflict.
        overlap: Entries of a conflict that this publication changes too.
        errors: Errors of an invalid publication.
    """

    verdict: str
    operation: str
    version: int
    entries: list[str] = []
    overlap: list[str] = []
    errors: list[str] = []


def difference(old: declarations.Tables, new: declarations.Tables) -> Delta:
    """Returns the delta that turns `old` into `new`."""
    old_entries, new_entries = _flatten(old), _flatten(new)
    changed = {
        address: table
        for address, table in new_entries.items()
        if old_entries.get(address) != table
    }
    removed = sorted(
        address
        for address in old_entries.keys() - new_entries.keys()
        if address.partition("/")[0] != _RETAINED_SECTION
        or _RETAINED_SECTION in new
    )
    return Delta(changed, removed)


class Publisher:
    """Reads the configuration stream and appends one publication.

    Attributes:
        state: Configuration state after the records read so far.
        operation: Idempotency key; repeated appends have the same key, so
            that the change is applied once.
        uncertain: Whether an append may have taken effect without an answer
            or a verdict.
    """

    def __init__(
        self,
        log: log_service.LogService,
        operation: str = "",
        wait_seconds: float = 30.0,
    ):
        self.state = configuration.ConfigurationLog()
        self.operation = operation or uuid.uuid4().hex
        self.uncertain = False
        self._log = log
        self._wait_seconds = wait_seconds

    def read(self) -> None:
        """Reads the stream to its end and updates `state`.

        Raises:
            exits.CommandError: The log is unreachable, or it no longer
                contains the whole configuration.
        """
        try:
            with output.progress("reading the configuration stream"):
                self._read_to_end()
        except log_service.NoEffectError as error:
            raise exits.CommandError(
                exits.ExitCode.UNREACHABLE,
                f"log service {self._log.address}: {error} "
                "(nothing was published; check --log and try again)",
            ) from error

    def publish(self, delta: Delta) -> Report:
        """Appends a delta and returns its outcome.

        Args:
            delta: Difference from the state that `read` found.

        Returns:
            The report; its verdict is "unknown" only if the log stays
            unreachable after an append whose answer was lost.

        Raises:
            exits.CommandError: The log stayed unreachable and nothing was
                published.
        """
        record = configuration.publication(
            self.operation, self.state.version, delta.set, delta.delete, user()
        )
        deadline = time.monotonic() + self._wait_seconds
        wait = _FIRST_RETRY_SECONDS
        reason = ""
        with output.progress("publishing"):
            while True:
                try:
                    verdict = self._attempt(record)
                    if verdict is not None:
                        return self._report(verdict, delta)
                except (
                    log_service.NoEffectError,
                    log_service.UncertainError,
                ) as error:
                    reason = str(error)
                if time.monotonic() + wait > deadline:
                    return self._report_failure(reason)
                time.sleep(wait)
                wait = min(2 * wait, _MAX_RETRY_SECONDS)

    def decided_report(self) -> Report | None:
        """Returns the report if the log already has a verdict, or None."""
        verdict = self.state.verdict(self.operation)
        return self._report(verdict, Delta({}, [])) if verdict else None

    def _attempt(self, record: dict[str, Any]) -> configuration.Verdict | None:
        # Reading first avoids a second append if the first one took effect. If
        # the first one takes effect later, `state` ignores the repeated
        # operation.
        if self.uncertain:
            self._read_to_end()
            verdict = self.state.verdict(self.operation)
            if verdict is not None:
                return verdict
        try:
            self._log.append(configuration.STREAM, record)
        except log_service.UncertainError:
            self.uncertain = True
            raise
        self.uncertain = True
        self._read_to_end()
        return self.state.verdict(self.operation)

    def _read_to_end(self) -> None:
        start = self.state.through + 1
        while True:
            page = self._log.read(configuration.STREAM, start)
            for record in page.records:
                self.state.apply(record.offset, record.data, record.time_ms)
            if not page.records:
                break
            start = page.next
        if self.state.through < page.next - 1:
            raise exits.CommandError(
                exits.ExitCode.FAILED,
                f"stream {configuration.STREAM}: its oldest records have "
                "expired and no snapshot replaces them "
                "(nodes append one; try again when a node is up)",
            )

    def _report(self, verdict: configuration.Verdict, delta: Delta) -> Report:
        entries = list(verdict.entries)
        changed = {*delta.set, *delta.delete}
        return Report(
            verdict.kind.value,
            self.operation,
            verdict.version,
            entries,
            sorted(changed & set(entries))
            if verdict.kind is configuration.VerdictKind.CONFLICT
            else [],
            list(verdict.errors),
        )

    def _report_failure(self, reason: str) -> Report:
        if self.uncertain:
            return Report("unknown", self.operation, self.state.version)
        raise exits.CommandError(
            exits.ExitCode.UNREACHABLE,
            f"log service {self._log.address}: {reason} "
            "(nothing was published; try again later)",
        )


def print_report(
    report: Report,
    as_json: bool,
    cause: str = "its answer was lost and it stays unreachable",
) -> exits.ExitCode:
    """Prints a report and returns its exit code.

    Args:
        report: The report.
        as_json: Whether to print it as JSON.
        cause: Why the outcome is unknown, if it is.
    """
    if as_json:
        output.result_json(report)
    match report.verdict:
        case "accepted":
            _print_result(
                as_json, f"accepted: version {report.version} is in force"
            )
            return exits.ExitCode.DONE
        case "unchanged":
            _print_result(
                as_json,
                f"unchanged: version {report.version} already has this content",
            )
            return exits.ExitCode.DONE
        case "conflict":
            _print_conflict(report)
            return exits.ExitCode.CONFLICT
        case "invalid":
            for line in report.errors:
                output.error(line)
            return exits.ExitCode.INVALID
    output.error(
        f"the log service may have appended the publication but {cause}, so "
        "the outcome is unknown (repeat the command with "
        f"--operation={report.operation} to find out; this cannot publish "
        "twice)"
    )
    return exits.ExitCode.UNKNOWN


def _print_conflict(report: Report) -> None:
    entries = ", ".join(report.entries) or "entries that are no longer known"
    overlap = ", ".join(report.overlap) or "none"
    output.error(
        f"conflict: version {report.version} is in force now and changed "
        f"{entries}; changed by both: {overlap} "
        "(nothing was published; merge the files and publish again)"
    )


def _print_result(as_json: bool, line: str) -> None:
    if not as_json:
        output.result(line)


def _flatten(tables: declarations.Tables) -> dict[str, dict[str, Any]]:
    return {
        f"{section}/{name}": table
        for section, entries in tables.items()
        for name, table in entries.items()
    }


def user() -> str:
    """Returns the name of the user, or "unknown" if the system has none."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
