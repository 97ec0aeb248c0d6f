"""Tests of the commands that read events from log files."""

import json

import pytest

from baobabmux_core import catalogue, hlc
from baobabmux_ctl import exits, logfiles, main

_KIND = catalogue.EventKind


def _line(milliseconds, kind, node, request, endpoint="", **fields):
    return json.dumps(
        {
            "hlc": hlc.pack(1_700_000_000_000 + milliseconds, 0),
            "kind": kind.number,
            "node": node,
            "request": request,
            "endpoint": endpoint,
            "fields": fields,
            "message_type": "x",
        }
    )


@pytest.fixture
def folder(tmp_path):
    (tmp_path / "n1.log").write_text(
        '{"event":"listening","node":"n1"}\n'
        + _line(
            0,
            _KIND.REQUEST_RECEIVED,
            "n1",
            "n1-1",
            route="draft",
            public_id="mine",
        )
        + "\n"
        + _line(9, _KIND.REQUEST_REFUSED, "n1", "n1-1", error="overloaded")
        + "\nnot a line of a node\n"
        + _line(12, _KIND.REQUEST_RECEIVED, "n1", "n1-2", public_id="x")[:-9]
    )
    (tmp_path / "n2.log").write_text(
        "  17.25 n2 "
        + _line(4, _KIND.REQUEST_ASKED, "n2", "n1-1", group="g", holder="n1")
        + "\n"
    )
    return tmp_path


def test_explanation_uses_the_log_files_of_all_nodes(folder, capsys):
    """Guards against a request that cannot be explained from log files.

    The files also contain lines with a prefix, of other programs, and a
    truncated one.
    """
    code = main.main(["explain", "mine", f"--logs={folder}"])
    printed = capsys.readouterr().out
    assert code == exits.ExitCode.DONE
    assert (
        printed.index("arrived")
        < printed.index("asks")
        < printed.index("ended with")
    )
    assert "overloaded" in printed


def test_changes_are_shown_without_the_events_of_requests(folder, capsys):
    """Guards against a state change hidden among thousands of requests."""
    with (folder / "n1.log").open("a") as file:
        file.write(
            "\n"
            + _line(
                7,
                _KIND.MEMBER_CHANGED,
                "n1",
                "",
                peer="n2",
                state="suspect",
                previous="live",
            )
        )
    code = main.main(["timeline", f"--logs={folder}", "--changes"])
    lines = capsys.readouterr().out.splitlines()
    assert code == exits.ExitCode.DONE
    assert [line for line in lines if "n1-1" in line] == []
    assert ["Node n2 is suspect" in line for line in lines] == [True]


def test_time_filter_applies_to_files(folder):
    """Guards against a start time that is ignored for log files."""
    found = logfiles.request_timelines(str(folder), since_ms=1_700_000_000_005)
    events = [e for one in found.found.values() for e in one.events]
    assert [event.kind for event in events] == [_KIND.REQUEST_REFUSED.number]


def test_missing_folder_is_reported_as_one_error(tmp_path):
    """Guards against a traceback for a folder that does not exist."""
    with pytest.raises(exits.CommandError, match="cannot be read"):
        logfiles.request_timelines(str(tmp_path / "gone"))
