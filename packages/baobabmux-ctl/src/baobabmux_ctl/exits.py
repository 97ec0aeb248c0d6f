"""Exit codes and the error that ends a command with one."""

import enum


class ExitCode(enum.IntEnum):
    """Documented exit codes of every command."""

    DONE = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5


class CommandError(Exception):
    """Ends a command with a one-line message for the operator.

    Attributes:
        code: Exit code of the command.
    """

    def __init__(self, code: ExitCode, line: str):
        super().__init__(line)
        self.code = code
