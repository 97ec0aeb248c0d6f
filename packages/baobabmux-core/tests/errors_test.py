"""Tests of the error table against the page for callers."""

import pathlib
import re

from baobabmux_core import errors

_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "callers.md"
_ROW = re.compile(
    r"\| `(\w+)` \| (\d+) \| `(\w+)` \| (yes|no) \| (.+) \|", re.ASCII
)


def test_documented_errors_are_those_of_the_code():
    """Guards against a page that documents other errors than nodes send."""
    rows = [_ROW.fullmatch(line) for line in _PAGE.read_text().splitlines()]
    documented = [row.groups() for row in rows if row is not None]
    assert documented == [
        (
            kind.value,
            str(answer.status),
            answer.run_status.value,
            "yes" if answer.retry_after else "no",
            answer.title,
        )
        for kind, answer in errors.ANSWERS.items()
    ]


def test_every_kind_has_an_answer():
    """Guards against a refusal that fails because its kind has no entry."""
    assert set(errors.ANSWERS) == set(errors.ErrorKind)


def test_only_retryable_kinds_carry_a_retry_time():
    """Guards against callers that retry an error which a retry cannot fix."""
    for kind, answer in errors.ANSWERS.items():
        problem = errors.problem(kind, "r1", retry_after=2.0)
        assert (problem.retry_after == 2.0) == answer.retry_after
