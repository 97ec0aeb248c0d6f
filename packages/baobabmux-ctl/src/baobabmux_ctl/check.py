"""Command `check`: reviews declarations before they are published."""

import pathlib
import re

from absl import flags

from baobabmux_core import declarations
from baobabmux_ctl import (
    changes,
    command,
    exits,
    findings,
    log_service,
    output,
    publication,
    transport,
    validate,
)

_ENTRY = re.compile(r'(?P<file>.+): (?P<section>\w+) "(?P<name>.*)"')


class Check(command.Command):
    """Checks files for errors, findings and differences."""

    name = "check"
    usage = "FILE… [--against IP:PORT|FILE,…] [--json]"
    summary = "Checks files before they are published, and shows what changes."
    details = (
        "Prints errors, entries that can never match and limits that\n"
        "contradict each other, with file and line. With --against it prints\n"
        "what differs from the version in force at the log service, or from\n"
        "other files, and what each difference does to requests. Publishes\n"
        "nothing. Exit code 2 with errors, 1 with findings, 0 without."
    )

    def __init__(self):
        super().__init__()
        self._define(
            flags.DEFINE_string,
            "against",
            "",
            "Log service, or files separated by commas, to compare with.",
        )

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Prints errors, findings and differences."""
        if not arguments:
            raise self.usage_error("expected at least one file")
        lines = _Lines(arguments)
        loaded = declarations.load_files(arguments)
        if loaded.is_error():
            return self._print(lines.errors(loaded.error), [], [])
        parsed = declarations.parse(loaded.ok)
        if parsed.is_error():
            return self._print(lines.errors(parsed.error), [], [])
        found = [
            lines.finding(loaded.ok, item)
            for item in findings.review(parsed.ok)
        ]
        differences = []
        if self.flags.against:
            in_force = _tables(self.flags.against)
            differences = changes.describe(in_force, loaded.ok)
        return self._print([], found, differences)

    def _print(
        self, errors: list[str], found: list[str], differences: list[str]
    ) -> exits.ExitCode:
        if self.flags.json:
            output.result_json(
                {
                    "errors": errors,
                    "findings": found,
                    "differences": differences,
                }
            )
        else:
            for line in differences:
                output.result(line)
            if self.flags.against and not differences and not errors:
                output.result("no differences")
        for line in errors:
            output.error(line)
        for line in found:
            output.note(line)
        if errors:
            return exits.ExitCode.INVALID
        return exits.ExitCode.FAILED if found else exits.ExitCode.DONE


class _Lines:
    """Lines of entries in the files, for messages."""

    def __init__(self, paths: list[str]):
        self._texts = {}
        for path in map(pathlib.Path, paths):
            try:
                self._texts[path.name] = path.read_text(encoding="utf-8")
            except (OSError, ValueError):
                # `load_files` reports it.
                self._texts[path.name] = ""

    def errors(self, errors: list[declarations.ConfigError]) -> list[str]:
        """Returns errors as lines."""
        return [
            f"{self._place(item.where)}: {item.problem} ({item.remedy})"
            for item in errors
        ]

    def finding(
        self, tables: declarations.LoadedTables, item: findings.Finding
    ) -> str:
        """Returns a finding as one line."""
        source = tables.sources.get(f"{item.section}/{item.name}", "")
        place = self._place(f'{source}: {item.section} "{item.name}"')
        return f"{place}: {item.problem} ({item.remedy})"

    def _place(self, where: str) -> str:
        entry = _ENTRY.fullmatch(where)
        if entry is None:
            return where
        text = self._texts.get(entry["file"], "")
        section, name = re.escape(entry["section"]), re.escape(entry["name"])
        header = re.compile(
            rf'^\s*\[\s*{section}\s*\.\s*"?{name}"?\s*\]', re.MULTILINE
        )
        found = header.search(text)
        if found is None:
            return where
        line = text.count("\n", 0, found.end()) + 1
        rest = where.removeprefix(entry["file"])
        return f"{entry['file']}:{line}{rest}"


def _tables(against: str) -> declarations.Tables:
    """Returns the tables in force at a log service, or those of files."""
    names = [name.strip() for name in against.split(",")]
    if all(pathlib.Path(name).exists() for name in names):
        return validate.load(names)
    address = transport.parse_address("against", against)
    publisher = publication.Publisher(log_service.LogService(address))
    publisher.read()
    return publisher.state.tables
