"""Entry point of the operator's tool."""

import os
import sys

from absl import flags

from baobabmux_ctl import (
    check,
    command,
    drain,
    exits,
    explain,
    order,
    output,
    preset,
    publish,
    status,
    timeline,
    validate,
)

_EXIT_CODES = {
    exits.ExitCode.DONE: "done",
    exits.ExitCode.FAILED: "failed",
    exits.ExitCode.INVALID: "wrong usage or invalid declarations",
    exits.ExitCode.CONFLICT: "conflict with another operator's change",
    exits.ExitCode.UNKNOWN: "the outcome is unknown",
    exits.ExitCode.UNREACHABLE: "no service could be reached",
}


def main(words: list[str]) -> exits.ExitCode:
    """Runs one command.

    Args:
        words: Arguments of the program, without its name.

    Returns:
        The exit code.
    """
    commands = {item.name: item for item in _commands()}
    if not words or words[0] in ("help", "--help", "-h"):
        chosen = commands.get(words[1]) if len(words) > 1 else None
        output.result(chosen.help() if chosen else _help(commands))
        return exits.ExitCode.DONE if words else exits.ExitCode.INVALID
    chosen = commands.get(words[0])
    if chosen is None:
        output.error(
            f'"{words[0]}" is not a command (commands: {", ".join(commands)}; '
            "baobabmuxctl --help explains them)"
        )
        return exits.ExitCode.INVALID
    if "--help" in words or "-h" in words:
        output.result(chosen.help())
        return exits.ExitCode.DONE
    return _run(chosen, words)


def run() -> None:
    """Runs `main` and ends the process with its exit code."""
    try:
        code = main(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the pipe, for instance `head`, has exited. Python
        # flushes stdout again at exit, which must not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = exits.ExitCode.DONE
    sys.exit(code)


def _run(chosen: command.Command, words: list[str]) -> exits.ExitCode:
    try:
        arguments = chosen.flags(words)[1:]
        return chosen.run(arguments)
    except flags.Error as error:
        output.error(f"{error} (see baobabmuxctl {chosen.name} --help)")
        return exits.ExitCode.INVALID
    except exits.CommandError as error:
        output.error(str(error))
        return error.code
    except KeyboardInterrupt:
        if not chosen.interrupted:
            output.error("interrupted (nothing was changed)")
            return exits.ExitCode.FAILED
        output.error(
            f"interrupted ({chosen.interrupted}; repeating the command is safe)"
        )
        return exits.ExitCode.UNKNOWN


def _commands() -> list[command.Command]:
    return [
        validate.Validate(),
        check.Check(),
        publish.Publish(),
        preset.Preset(),
        status.Status(),
        drain.Drain(),
        order.Order(),
        timeline.ShowTimeline(),
        explain.Explain(),
    ]


def _help(commands: dict[str, command.Command]) -> str:
    width = max(map(len, commands))
    return "\n".join(
        [
            "usage: baobabmuxctl COMMAND …",
            "",
            "Operates baobabmux: publishes declarations through the log",
            "service and queries nodes through their admin addresses.",
            "",
            "Commands (baobabmuxctl COMMAND --help shows the flags):",
            *(f"  {n.ljust(width)}  {c.summary}" for n, c in commands.items()),
            "",
            "First steps:",
            "  baobabmuxctl validate routes.toml endpoints.toml",
            "  baobabmuxctl publish routes.toml endpoints.toml "
            "--log 10.0.0.5:9000",
            "  baobabmuxctl status --nodes 10.0.1.1:9901,10.0.1.2:9901",
            "",
            "Exit codes:",
            *(f"  {int(code)}  {text}" for code, text in _EXIT_CODES.items()),
        ]
    )
