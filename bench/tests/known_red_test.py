"""Tests of reading KNOWN-RED.txt: a malformed entry must be an error."""

import pathlib

import pytest

from baobabmux_standins import modules

_PATH = pathlib.Path(__file__).parents[2] / "conftest.py"


def _load_conftest():
    return modules.load(_PATH, "root_conftest")


def test_entries_with_continued_lines_are_read():
    text = "# list\n\ntest: a::b[1]\nseen: one\n  two\nissue: 4\n"
    assert _load_conftest().read_entries(text) == [
        {"test": "a::b[1]", "seen": "one two", "issue": "4"}
    ]


@pytest.mark.parametrize("text", ["test: a::b\n", "test a::b\nissue: 4\n"])
def test_an_entry_without_issue_or_name_is_an_error(text):
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        _load_conftest().read_entries(text)
