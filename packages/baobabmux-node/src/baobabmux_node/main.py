"""Command-line entry point of a node."""

import sys
from pathlib import Path

import curio
from absl import app, flags

from baobabmux_node import logs, node, peers, settings

_SETTINGS = flags.DEFINE_string("settings", None, "Settings file (TOML).")
_CHECK = flags.DEFINE_bool(
    "check", False, "Check the settings file and exit; 0 means it is valid."
)

_EXIT_INVALID_SETTINGS = 2


def main(arguments: list[str]) -> int:
    """Runs a node.

    Args:
        arguments: Program name and positional arguments.

    Returns:
        Exit code: 0 after a graceful shutdown, 2 for invalid arguments or
        settings.
    """
    if len(arguments) > 1 or not _SETTINGS.value:
        print("usage: baobabmux --settings FILE [--check]", file=sys.stderr)
        return _EXIT_INVALID_SETTINGS
    loaded = settings.load(Path(_SETTINGS.value))
    if loaded.is_error():
        for error in loaded.error:
            print(error, file=sys.stderr)
        return _EXIT_INVALID_SETTINGS
    if _CHECK.value:
        return 0
    peers.limit_threads()
    new_node = node.Node(loaded.ok)
    new_node.line_writer = logs.start()
    curio.run(new_node.run, activations=[new_node.loop_watch])
    return 0


def run() -> None:
    """Parses the flags and runs `main`."""
    app.run(main)
