"""Tests that the node records what the catalogue lists."""

import re
from pathlib import Path

from baobabmux_core import catalogue

_SOURCES = Path(__file__).parents[1] / "src"


def test_every_kind_of_event_is_recorded_somewhere():
    """Guards against a documented event that never happens."""
    text = "".join(path.read_text() for path in _SOURCES.rglob("*.py"))
    used = set(re.findall(r"Kind\.([A-Z_]+)", text))
    assert {kind.name for kind in catalogue.EventKind} <= used
