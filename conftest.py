"""Marks the tests that are listed in KNOWN-RED.txt as expected failures.

An entry is a block of `name: value` lines. Blocks are separated by an empty
line; lines that begin with `#` are ignored, and indented lines continue the
value before them. `test` is the pytest id relative to the root of the
repository. A listed test may fail without failing the suite. The summary
prints every listed test of the run with its outcome. An entry whose test is
not in its collected file fails the run.
"""

import pathlib

import pytest

_ROOT = pathlib.Path(__file__).parent
_LIST = _ROOT / "KNOWN-RED.txt"


def read_entries(text: str) -> list[dict[str, str]]:
    """Returns the entries of the list.

    Raises:
        ValueError: A line has no name, or an entry lacks `test` or `issue`.
    """
    entries = []
    for block in text.split("\n\n"):
        lines = [
            line
            for line in block.splitlines()
            if line.strip() and not line.startswith("#")
        ]
        if not lines:
            continue
        entry: dict[str, str] = {}
        name = ""
        for line in lines:
            if line.startswith(" ") and name:
                entry[name] += " " + line.strip()
                continue
            name, separator, value = line.partition(": ")
            if not separator:
                raise ValueError(f"KNOWN-RED.txt: no `name: ` in {line!r}")
            entry[name] = value.strip()
        if missing := {"test", "issue"} - entry.keys():
            raise ValueError(
                f"KNOWN-RED.txt: {sorted(missing)} missing in {lines!r}"
            )
        entries.append(entry)
    return entries


def _known_failures() -> dict[str, dict[str, str]]:
    if not _LIST.exists():
        return {}
    return {entry["test"]: entry for entry in read_entries(_LIST.read_text())}


def pytest_collection_modifyitems(config, items):
    """Marks the listed tests as expected failures."""
    known = _known_failures()
    for item in items:
        if entry := known.get(item.nodeid):
            reason = f"KNOWN-RED.txt, issue {entry['issue']}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
    collected = {item.nodeid for item in items}
    files = {nodeid.partition("::")[0] for nodeid in collected}
    # A run that selects tests by id or keyword collects only some of a file.
    if any("::" in arg for arg in config.args) or config.option.keyword:
        return
    stale = [
        test
        for test in known
        if test.partition("::")[0] in files and test not in collected
    ]
    if stale:
        raise pytest.UsageError(f"KNOWN-RED.txt names unknown tests: {stale}")


def pytest_terminal_summary(terminalreporter):
    """Prints the listed tests of this run with their outcomes."""
    known = _known_failures()
    outcomes = {
        report.nodeid: outcome
        for outcome in ("xfailed", "xpassed")
        for report in terminalreporter.stats.get(outcome, [])
        if report.nodeid in known
    }
    if not outcomes:
        return
    terminalreporter.section("KNOWN-RED.txt")
    for test, outcome in sorted(outcomes.items()):
        issue = known[test]["issue"]
        note = "remove its entry" if outcome == "xpassed" else "still fails"
        terminalreporter.line(f"{test}: {note} (issue {issue})")
