"""Tests that the documentation pages for operators match the code."""

import re
from pathlib import Path

from baobabmux_node import metrics, settings

_DOCS = Path(__file__).parents[3] / "docs"


def test_settings_page_lists_every_key():
    """Guards against a setting that the documentation lacks."""
    page = (_DOCS / "settings.md").read_text(encoding="utf-8")
    listed = re.findall(r"^\| `([a-z_.]+)` \|", page, re.MULTILINE)
    known = [
        f"{section}.{key}"
        for section, keys in settings._SECTIONS.items()
        for key in keys
    ]
    assert sorted(listed) == sorted(known)


def test_metrics_page_lists_every_metric():
    """Guards against metrics that the documentation does not describe."""
    page = (_DOCS / "metrics.md").read_text(encoding="utf-8")
    listed = re.findall(r"^\| `(baobabmux_[a-z_]+)` \|", page, re.MULTILINE)
    known = []
    for family in metrics.Metrics().registry.collect():
        suffix = "_total" if family.type == "counter" else ""
        known.append(family.name + suffix)
    assert sorted(listed) == sorted(known)
