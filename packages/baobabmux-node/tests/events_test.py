"""Tests that the node records every event in the catalogue."""

import re
from pathlib import Path

from baobabmux_core import catalogue

_ROOT = Path(__file__).parents[3]
_SOURCES = (_ROOT / "packages/baobabmux-node/src", _ROOT / "platform/src")


def test_every_kind_of_event_is_recorded_somewhere():
    """Guards against a documented event that no code records."""
    text = "".join(
        path.read_text() for source in _SOURCES for path in source.rglob("*.py")
    )
    used = set(re.findall(r"Kind\.([A-Z_]+)", text))
    assert {kind.name for kind in catalogue.EventKind} <= used
