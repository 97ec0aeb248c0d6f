"""Child processes of tests, and waits for their state.

A `Process` owns one child and signals it by its process identifier only.
"""

import json
import os
import pathlib
import re
import signal
import subprocess
import time
from collections.abc import Callable, Sequence
from typing import Any

DEFAULT_LIMIT_SECONDS = 60.0
"""Default limit of waits; ends a test that hangs and bounds no latency."""

_POLL_SECONDS = 0.02
_TAIL_LINES = 20


class WaitTimeoutError(Exception):
    """A condition was not met within the limit, or no longer can be."""


def wait_until(
    condition: Callable[[], Any],
    description: str,
    limit_seconds: float = DEFAULT_LIMIT_SECONDS,
) -> Any:
    """Polls until a condition returns a true value, and returns that value.

    An OSError raised by the condition counts as a false value.

    Args:
        condition: Called at each poll.
        description: What is waited for, as part of the error message.
        limit_seconds: Longest time to wait.

    Raises:
        WaitTimeoutError: The condition did not hold within the limit.
    """
    end = time.monotonic() + limit_seconds
    while True:
        try:
            if value := condition():
                return value
        except OSError as error:
            message = f"{description}: {error}"
        else:
            message = description
        if time.monotonic() > end:
            raise WaitTimeoutError(
                f"{message}: timed out after {limit_seconds:g} s"
            )
        time.sleep(_POLL_SECONDS)


class Process:
    """One child process whose output goes to files.

    Attributes:
        name: Name in messages and of its output files.
        pid: Process identifier.
        output: File that receives its standard output.
        errors: File that receives its standard error.
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

    def announcement(self, limit_seconds: float = DEFAULT_LIMIT_SECONDS) -> Any:
        """Waits for the first line of output and returns it as JSON.

        Raises:
            WaitTimeoutError: It ended or printed no line within the limit; the
                message has the last lines of its output.
        """
        try:
            line = wait_until(
                self._first_line, f"{self.name} prints a line", limit_seconds
            )
        except WaitTimeoutError as error:
            raise WaitTimeoutError(f"{error}\n{self.tail()}") from error
        return json.loads(line)

    def tail(self) -> str:
        """Returns the last lines of its standard error and its output."""
        lines: list[str] = []
        for file in (self.errors, self.output):
            text = file.read_text(errors="replace")
            lines += text.splitlines()[-_TAIL_LINES:]
        return "\n".join(lines)

    def cpu_seconds(self) -> float:
        """Returns the user and system CPU time that it has used."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Returns the size of its resident memory."""
        statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def peak_resident_bytes(self) -> int:
        """Returns the largest size that its resident memory has had.

        It is 0 after the end of the process.
        """
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        found = re.search(r"^VmHWM:\s+(\d+) kB$", status, re.MULTILINE)
        return int(found[1]) * 1024 if found else 0

    def open_descriptors(self) -> int:
        """Returns the number of its open descriptors."""
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def exit_code(self) -> int | None:
        """Returns the exit code, or None while it runs."""
        return self._child.poll()

    def wait(self, limit_seconds: float = DEFAULT_LIMIT_SECONDS) -> int:
        """Waits for its end and returns the exit code.

        Raises:
            WaitTimeoutError: It still runs after the limit.
        """
        try:
            return self._child.wait(limit_seconds)
        except subprocess.TimeoutExpired as error:
            raise WaitTimeoutError(f"{self.name} still runs") from error

    def pause(self) -> None:
        """Suspends it by SIGSTOP."""
        self._child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues it by SIGCONT."""
        self._child.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks it to stop by SIGTERM."""
        self._child.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Ends it by SIGKILL and waits for its end."""
        self._child.kill()
        self._child.wait()

    def end(self) -> None:
        """Kills it unless it has ended; its work is not completed."""
        if self.exit_code() is None:
            self.kill()

    def _first_line(self) -> str:
        text = self.output.read_text(errors="replace")
        if "\n" in text:
            return text.partition("\n")[0]
        if (code := self.exit_code()) is not None:
            raise WaitTimeoutError(f"{self.name} ended with exit code {code}")
        return ""
