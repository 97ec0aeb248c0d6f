"""Entry point of the node."""

import sys
from pathlib import Path

import curio
from absl import app, flags

from baobabmux_node import logs, node, peers, settings

_SETTINGS = flags.DEFINE_string("settings", None, "Settings file (TOML).")
_CHECK = flags.DEFINE_bool(
    "check", False, "Check the settings file and exit; 0 means it is valid."
)

_EXIT_SETTINGS = 2


def main(arguments: list[str]) -> int:
    """Runs a node.

    Args:
        arguments: Program name and arguments that are no flags.

    Returns:
        Exit code: 0 after a graceful shutdown, 2 for wrong settings.
    """
    if len(arguments) > 1 or not _SETTINGS.value:
        print("usage: baobabmux --settings FILE [--check]", file=sys.stderr)
        return _EXIT_SETTINGS
    loaded = settings.load(Path(_SETTINGS.value))
    if loaded.is_error():
        for error in loaded.error:
            print(error, file=sys.stderr)
        return _EXIT_SETTINGS
    if _CHECK.value:
        return 0
    peers.limit_threads()
    made = node.Node(loaded.ok)
    made.lines = logs.start()
    curio.run(made.run)
    return 0


def run() -> None:
    """Runs `main` under the flag parser."""
    app.run(main)
