"""Tests of the catalogue of events."""

from pathlib import Path

from baobabmux_core import catalogue

_PAGE = Path(__file__).parents[3] / "docs" / "events.md"


def test_page_is_up_to_date():
    """Guards against events that the generated page lacks."""
    assert _PAGE.read_text(encoding="utf-8") == catalogue.page()


def test_numbers_are_unique_and_belong_to_a_part():
    """Guards against two kinds with one number, or a number without a part."""
    numbers = [kind.number for kind in catalogue.EventKind]
    assert len(set(numbers)) == len(numbers)
    assert {number // 100 for number in numbers} <= set(catalogue.PARTS)
