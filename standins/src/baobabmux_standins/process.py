"""A child process of a test, ended by its own identifier only."""

import json
import os
import pathlib
import signal
import subprocess
import time
from collections.abc import Callable, Sequence
from typing import Any

LIMIT_SECONDS = 60.0
"""Generous limit of waits: it ends a test that hangs and judges no speed."""

_POLL_SECONDS = 0.02
_TAIL_LINES = 20


class NotInTimeError(Exception):
    """A condition was not met within the limit."""


def wait_until(
    condition: Callable[[], Any],
    what: str,
    limit_seconds: float = LIMIT_SECONDS,
) -> Any:
    """Polls until a condition holds and returns its value.

    An OSError of the condition counts as "not yet".

    Raises:
        NotInTimeError: The condition did not hold within the limit.
    """
    end = time.monotonic() + limit_seconds
    while True:
        try:
            if value := condition():
                return value
        except OSError as error:
            what_failed = f"{what}: {error}"
        else:
            what_failed = what
        if time.monotonic() > end:
            raise NotInTimeError(f"{what_failed} after {limit_seconds:g} s")
        time.sleep(_POLL_SECONDS)


class Process:
    """One child process whose output goes to files.

    Attributes:
        name: Name for messages and files.
        pid: Process identifier.
        output: File that takes its standard output.
        errors: File that takes its standard error.
    """

    def __init__(
        self, name: str, command: Sequence[str], directory: pathlib.Path
    ):
        self.name = name
        self.output = directory / f"{name}.out"
        self.errors = directory / f"{name}.err"
        with self.output.open("wb") as out, self.errors.open("wb") as err:
            self._child = subprocess.Popen(
                list(command), stdin=subprocess.DEVNULL, stdout=out, stderr=err
            )
        self.pid = self._child.pid

    def announcement(self, limit_seconds: float = LIMIT_SECONDS) -> Any:
        """Waits for the first line of output and returns it as JSON.

        Raises:
            NotInTimeError: It ended or printed nothing within the limit; the
                message has the end of its error output.
        """
        try:
            line = wait_until(
                self._first_line, f"{self.name} prints a line", limit_seconds
            )
        except NotInTimeError as error:
            raise NotInTimeError(f"{error}\n{self.tail()}") from error
        return json.loads(line)

    def tail(self) -> str:
        """Returns the last lines of its error output and of its log."""
        lines: list[str] = []
        for file in (self.errors, self.output):
            text = file.read_text(errors="replace")
            lines += text.splitlines()[-_TAIL_LINES:]
        return "\n".join(lines)

    def cpu_seconds(self) -> float:
        """Returns the user and system time that it has used."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Returns its resident memory."""
        statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def exit_code(self) -> int | None:
        """Returns the exit code, or None while it runs."""
        return self._child.poll()

    def wait(self, limit_seconds: float = LIMIT_SECONDS) -> int:
        """Waits for its end and returns the exit code.

        Raises:
            NotInTimeError: It still runs after the limit.
        """
        try:
            return self._child.wait(limit_seconds)
        except subprocess.TimeoutExpired as error:
            raise NotInTimeError(f"{self.name} still runs") from error

    def pause(self) -> None:
        """Stops its execution by SIGSTOP."""
        self._child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues its execution by SIGCONT."""
        self._child.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks it to stop by SIGTERM."""
        self._child.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Ends it by SIGKILL and waits for its end."""
        self._child.kill()
        self._child.wait()

    def end(self) -> None:
        """Ends it in any state, without waiting for its work."""
        if self.exit_code() is None:
            self.kill()

    def _first_line(self) -> str:
        text = self.output.read_text(errors="replace")
        if "\n" in text:
            return text.partition("\n")[0]
        if (code := self.exit_code()) is not None:
            raise NotInTimeError(f"{self.name} ended with {code}")
        return ""
