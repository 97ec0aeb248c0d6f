"""Command `publish`: publishes declaration files as the configuration."""

from absl import flags

from baobabmux_core import configuration, declarations
from baobabmux_ctl import (
    command,
    exits,
    log_service,
    output,
    publication,
    validate,
)


class Publish(command.Command):
    """Publishes the difference between the files and the version in force."""

    name = "publish"
    usage = "FILE… --log IP:PORT [--dry_run] [--operation ID] [--json]"
    summary = "Publishes declaration files as the new configuration."
    details = (
        "The files are the whole configuration: entries that they omit are\n"
        "deleted, except the active preset, which is kept if no file names\n"
        "one. If another operator published a change in the meantime, the\n"
        "command reports a conflict (exit code 3) and publishes nothing."
    )

    def __init__(self):
        super().__init__()
        self._define_log()
        self._define(
            flags.DEFINE_bool,
            "dry_run",
            False,
            "Print the changes without publishing them.",
        )
        self._define_publishing()

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Publishes the files, or prints the changes with `--dry_run`."""
        if not arguments:
            raise self.usage_error("expected at least one file")
        address = self._log_address()
        tables = validate.load(arguments)
        publisher = publication.Publisher(
            log_service.LogService(address),
            self.flags.operation,
            self.flags.wait_seconds,
        )
        publisher.read()
        earlier_report = publisher.decided_report()
        if earlier_report is not None:
            return publication.print_report(earlier_report, self.flags.json)
        delta = publication.difference(publisher.state.tables, tables)
        _check(publisher.state.tables, delta, tables)
        if self.flags.dry_run:
            return self._print_delta(delta)
        return send(publisher, delta, self.flags.json)

    def _print_delta(self, delta: publication.Delta) -> exits.ExitCode:
        if self.flags.json:
            output.result_json(delta)
            return exits.ExitCode.DONE
        for address in sorted(delta.set):
            output.result(f"set {address}")
        for address in delta.delete:
            output.result(f"delete {address}")
        if not delta:
            output.result("no changes")
        return exits.ExitCode.DONE


def send(
    publisher: publication.Publisher, delta: publication.Delta, as_json: bool
) -> exits.ExitCode:
    """Publishes a delta and prints the report.

    Returns:
        The exit code; an interrupted publication has an unknown outcome.
    """
    if not delta:
        report = publication.Report(
            "unchanged", publisher.operation, publisher.state.version
        )
        return publication.print_report(report, as_json)
    try:
        report = publisher.publish(delta)
    except KeyboardInterrupt:
        report = publication.Report(
            "unknown", publisher.operation, publisher.state.version
        )
        return publication.print_report(
            report, as_json, "the command was interrupted"
        )
    return publication.print_report(report, as_json)


def _check(
    in_force: declarations.Tables,
    delta: publication.Delta,
    tables: declarations.Tables,
) -> None:
    """Raises for an invalid change, which every node would reject.

    Checked before the change is appended to the log.
    """
    changed = configuration.apply_delta(in_force, delta.set, delta.delete)
    if changed.is_ok():
        return
    # Errors found in the files name the file; errors of the delta do not.
    parsed = declarations.parse(tables)
    errors = parsed.error if parsed.is_error() else changed.error
    validate.raise_errors([str(error) for error in errors])
