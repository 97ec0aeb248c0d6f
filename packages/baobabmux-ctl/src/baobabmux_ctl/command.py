"""Base class of all commands."""

import abc
from collections.abc import Callable, Sequence
from typing import Any

from absl import flags

from baobabmux_ctl import exits, logfiles, nodes, transport


class Command(abc.ABC):
    """One command of the tool, with its own flags.

    Attributes:
        name: Word that selects the command.
        usage: Arguments and required flags.
        summary: One line for the list of commands.
        details: Explanation for the command's help.
        interrupted: What an interruption may leave done, or the empty string
            if the command changes nothing.
        flags: Flags of the command.
    """

    name: str
    usage: str
    summary: str
    details: str = ""
    interrupted: str = ""

    def __init__(self):
        self.flags = flags.FlagValues()
        # Flags may follow the arguments, as in `preset use NAME --log …`.
        self.flags.set_gnu_getopt(True)
        self._define(flags.DEFINE_bool, "json", False, "Print JSON.")

    @abc.abstractmethod
    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Runs the command.

        Args:
            arguments: Words after the command that are not flags.

        Returns:
            The exit code.

        Raises:
            exits.CommandError: The command ended without a result.
        """

    def help(self) -> str:
        """Returns the help text of this command."""
        lines = [f"usage: baobabmuxctl {self.name} {self.usage}", ""]
        lines += [self.summary]
        if self.details:
            lines += ["", self.details]
        lines += ["", "Flags:"]
        for name in sorted(self.flags):
            lines.append(f"  --{name}: {self.flags[name].help}")
        return "\n".join(lines)

    def usage_error(self, problem: str) -> exits.CommandError:
        """Returns the error for wrong arguments."""
        return exits.CommandError(
            exits.ExitCode.INVALID,
            f"{self.name}: {problem} "
            f"(usage: baobabmuxctl {self.name} {self.usage})",
        )

    def _define(
        self, define: Callable[..., Any], name: str, default: Any, text: str
    ) -> None:
        define(name, default, text, flag_values=self.flags)

    def _define_log(self) -> None:
        self._define(
            flags.DEFINE_string,
            "log",
            None,
            "IP address and port of the log service.",
        )

    def _define_publishing(self) -> None:
        self._define(
            flags.DEFINE_string,
            "operation",
            "",
            "Identifier of an earlier attempt whose outcome is unknown.",
        )
        self._define(
            flags.DEFINE_float,
            "wait_seconds",
            30.0,
            "How long to retry while the log service is unreachable.",
        )

    def _define_nodes(self) -> None:
        self._define(
            flags.DEFINE_string,
            "nodes",
            None,
            "Admin addresses of nodes, IP:PORT separated by commas.",
        )

    def _define_logs(self) -> None:
        self._define(
            flags.DEFINE_string,
            "logs",
            None,
            "Folder with log files of nodes, instead of --nodes.",
        )

    def _request_timelines(
        self, request: str = "", endpoint: str = "", since_ms: int = 0
    ) -> nodes.Answers:
        """Returns matching events from the nodes or from their log files."""
        if self.flags.logs:
            return logfiles.request_timelines(
                self.flags.logs, request, endpoint, since_ms
            )
        return nodes.request_timelines(
            self._node_addresses(), request, endpoint, since_ms
        )

    def _log_address(self) -> transport.Address:
        if not self.flags.log:
            raise self.usage_error("--log is missing")
        return transport.parse_address("log", self.flags.log)

    def _node_addresses(self) -> list[transport.Address]:
        texts = [t.strip() for t in (self.flags.nodes or "").split(",")]
        texts = [text for text in texts if text]
        if not texts:
            raise self.usage_error("--nodes is missing")
        return [transport.parse_address("nodes", text) for text in texts]

    def _single_argument(self, arguments: Sequence[str], what: str) -> str:
        if len(arguments) != 1:
            raise self.usage_error(f"expected one {what}")
        return arguments[0]
