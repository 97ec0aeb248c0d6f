"""Command `validate`: checks declarations without publishing them."""

import collections

from baobabmux_core import declarations
from baobabmux_ctl import command, exits, output


class Validate(command.Command):
    """Checks declaration files against each other."""

    name = "validate"
    usage = "FILE… [--json]"
    summary = "Checks declaration files and prints all errors at once."
    details = (
        "The files together must declare everything: tiers, services,\n"
        "endpoints, routes, presets and the active preset."
    )

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Prints the errors, or the number of entries by section."""
        if not arguments:
            raise self.usage_error("expected at least one file")
        errors, counts = _check(arguments)
        if self.flags.json:
            output.result_json(
                {"valid": not errors, "errors": errors, "declared": counts}
            )
        elif not errors:
            declared = ", ".join(f"{n} {s}" for s, n in counts.items())
            output.result(f"valid: {declared}")
        for line in errors:
            output.error(line)
        return exits.ExitCode.INVALID if errors else exits.ExitCode.DONE


def load(paths: list[str]) -> declarations.Tables:
    """Reads and merges declaration files.

    Raises:
        exits.CommandError: With the last error, if files cannot be read or
            merged; the other errors are printed before.
    """
    loaded = declarations.load_files(paths)
    if loaded.is_error():
        raise_errors([str(error) for error in loaded.error])
    return loaded.ok


def raise_errors(lines: list[str]) -> None:
    """Prints all errors but the last and raises that one.

    Raises:
        exits.CommandError: Always, with exit code INVALID.
    """
    for line in lines[:-1]:
        output.error(line)
    raise exits.CommandError(exits.ExitCode.INVALID, lines[-1])


def _check(paths: list[str]) -> tuple[list[str], dict[str, int]]:
    loaded = declarations.load_files(paths)
    if loaded.is_error():
        return [str(error) for error in loaded.error], {}
    parsed = declarations.parse(loaded.ok)
    if parsed.is_error():
        return [str(error) for error in parsed.error], {}
    counts = collections.Counter(
        {section: len(entries) for section, entries in loaded.ok.items()}
    )
    return [], dict(counts)
