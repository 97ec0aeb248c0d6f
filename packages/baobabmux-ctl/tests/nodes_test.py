"""Tests of the commands that query nodes, against a small admin server."""

import http.server
import json
import threading
import urllib.parse

import msgspec
import pytest

from baobabmux_core import catalogue, hlc, states, timeline
from baobabmux_ctl import explain, main
from baobabmux_ctl import timeline as timelines

_Kind = catalogue.EventKind
_START_MS = 1_796_000_000_000


class _Admin(http.server.BaseHTTPRequestHandler):
    """Admin API that serves the events and the groups of its server."""

    def do_GET(self):
        path, _, query = self.path.partition("?")
        parameters = dict(urllib.parse.parse_qsl(query))
        node = self.server.node
        if path == "/status":
            groups = [{"group": group} for group in self.server.groups]
            self._answer(
                {
                    "node": node,
                    "data_centre": "a",
                    "state": "live",
                    "groups": groups,
                    "later_member": 1,
                    **self.server.fields,
                }
            )
            return
        events_kept = timeline.Timeline(1000)
        for event in self.server.events:
            events_kept.add(event)
        found = events_kept.select(
            request=parameters.get("request", ""),
            since_ms=int(parameters.get("since", 0)),
        )
        events = [msgspec.to_builtins(e) for e in found]
        self._answer({"node": node, "events": events})

    def do_POST(self):
        self.rfile.read(int(self.headers["content-length"]))
        if self.server.node == "unresponsive":
            return
        if self.server.node == "accepting":
            self._answer({})
            return
        self._answer({"title": "x", "detail": "e9 is not declared"}, 400)

    def log_message(self, *arguments):
        pass

    def _answer(self, value, status=200):
        self.send_response(status)
        self.end_headers()
        self.wfile.write(json.dumps(value).encode())


@pytest.fixture(name="start")
def _start():
    servers = []

    def start(node, events=(), groups=(), **fields):
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Admin)
        server.node, server.events, server.groups = node, events, groups
        server.fields = fields
        threading.Thread(target=server.serve_forever, daemon=True).start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


def _event(ms, kind, node, request="", endpoint="", **fields):
    stamp = hlc.pack(_START_MS + ms, 0)
    return timeline.Event(stamp, kind.number, node, request, endpoint, fields)


_HOLDER_EVENTS = [
    _event(0, _Kind.REQUEST_RECEIVED, "a1", "r1", public_id="order-7"),
    _event(5, _Kind.REQUEST_DISPATCHED, "a1", "r1", "e1"),
    _event(90, _Kind.ATTEMPT_ENDED, "a1", "r1", "e1", outcome="completed"),
]
_OWNER_EVENTS = [
    _event(2, _Kind.REQUEST_ASKED, "a2", "r1", group="s@a", holder="a1"),
    _event(4, _Kind.GRANT_SENT, "a2", "r1", "e1", holder="a1"),
    _event(
        3000,
        _Kind.MEMBER_CHANGED,
        "a2",
        peer="a1",
        state="suspect",
        previous="live",
    ),
]


def _run(*words):
    return int(main.main(list(words)))


def test_explain_merges_the_events_of_all_nodes(start, capsys):
    """Guards against an explanation without the events of the group's owner."""
    nodes = f"{start('a1', _HOLDER_EVENTS)},{start('a2', _OWNER_EVENTS[:2])}"
    assert _run("explain", "order-7", "--nodes", nodes, "--json") == 0
    explanation = json.loads(capsys.readouterr().out)
    assert explanation["run_status"] == "done"
    assert [event["kind"] for event in explanation["events"]] == [
        201,
        303,
        304,
        203,
        205,
    ]


def test_explain_uses_other_nodes_events_if_the_holder_crashed(start, capsys):
    """Guards against "not run" for a request whose outcome is unknown.

    Its holder does not answer; the group's owner granted it an endpoint and
    then saw the holder become suspect.
    """
    nodes = f"127.0.0.1:1,{start('a2', _OWNER_EVENTS)}"
    assert _run("explain", "r1", "--nodes", nodes) == 0
    printed = capsys.readouterr()
    assert "Node a1, which held it, stopped responding" in printed.out
    assert "127.0.0.1:1" in printed.err
    explanation = explain.explain_request(
        "r1", _OWNER_EVENTS[:2], _OWNER_EVENTS
    )
    assert (explanation.holder, explanation.run_status) == ("a1", "unknown")


def test_end_of_an_earlier_attempt_is_not_the_outcome():
    """Guards against "not run" while a second attempt is running."""
    request_events = [
        _event(1, _Kind.ATTEMPT_ENDED, "a1", "r1", "e1", outcome="not_sent"),
        _event(2, _Kind.REQUEST_DISPATCHED, "a1", "r1", "e2"),
    ]
    assert (
        explain.explain_request("r1", request_events, request_events).run_status
        == "running"
    )


def test_status_reports_conflicting_owners_and_unreachable_nodes(start, capsys):
    """Guards against two owners of one group that stay unnoticed."""
    nodes = ",".join([start("a1", groups=["s@a"]), start("a2", groups=["s@a"])])
    assert _run("status", "--nodes", f"{nodes},127.0.0.1:1", "--json") == 0
    status = json.loads(capsys.readouterr().out)
    assert status["warnings"] == ["group s@a has several owners: a1, a2"]
    assert list(status["unreachable"]) == ["127.0.0.1:1"]
    assert _run("status", "--nodes", "127.0.0.1:1") == 5


def test_status_shows_the_revisions_of_builds(start, capsys):
    """Guards against an upgrade that was left halfway unnoticed."""
    nodes = f"{start('a1', revision=6)},{start('a2')}"
    assert _run("status", "--nodes", nodes) == 0
    shown = capsys.readouterr().out
    assert "REVISION" in shown
    assert "revisions differ, an upgrade is under way: a1 6, a2 older" in shown
    assert _run("status", "--nodes", start("a3", revision=6)) == 0
    assert "differ" not in capsys.readouterr().out


def test_timeline_page_is_self_contained(start, tmp_path, capsys):
    """Guards against pages that load resources or run a caller's script."""
    malicious = _event(
        1, _Kind.REQUEST_RECEIVED, "a1", "r2", public_id="<script>", route="x"
    )
    nodes = f"{start('a1', [malicious])},{start('a2', _OWNER_EVENTS)}"
    file = tmp_path / "page.html"
    assert _run("timeline", "--nodes", nodes, "--html", str(file)) == 0
    page = file.read_text(encoding="utf-8")
    assert "&lt;script&gt;" in page
    assert not [mark for mark in ("<script", "src=", "href=") if mark in page]
    assert page.count('class="head"') == 3
    assert page.count('class="event"') == 4


def test_timeline_prints_events_in_one_order(start, capsys):
    """Guards against an effect that is printed before its cause."""
    nodes = f"{start('a2', _OWNER_EVENTS)},{start('a1', _HOLDER_EVENTS)}"
    assert _run("timeline", "--nodes", nodes) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines == sorted(lines)
    assert len(lines) == 6


def test_timeline_of_a_callers_identifier_has_all_events_of_the_request(
    start, capsys
):
    """Guards against a filter that finds only the arrival of a request.

    Only the arrival carries the caller's identifier; all other events carry
    the holder's.
    """
    nodes = f"{start('a2', _OWNER_EVENTS)},{start('a1', _HOLDER_EVENTS)}"
    assert _run("timeline", "--nodes", nodes, "--request", "order-7") == 0
    assert len(capsys.readouterr().out.splitlines()) == 5


def test_since_takes_spans_and_times():
    """Guards against a wrongly parsed start time that hides events."""
    assert timelines.parse_since("5m", 1000.0) == 700_000
    assert timelines.parse_since("1970-01-01T00:10", 0.0) == 600_000
    assert timelines.parse_since("", 1000.0) == 0


def test_drain_of_an_unknown_endpoint_is_refused(start, capsys):
    """Guards against a drain without effect that is reported as done."""
    assert _run("drain", "e9", "--nodes", start("a1")) == 2
    assert "e9 is not declared" in capsys.readouterr().err
    # The drain succeeds if one node accepts it: a node that refuses it may not
    # have the newest configuration yet.
    nodes = f"{start('a1')},{start('accepting')}"
    assert _run("drain", "e9", "--nodes", nodes) == 0


def test_drain_whose_answer_is_lost_is_unknown(start, capsys):
    """Guards against "nothing was changed" after the call was sent."""
    assert _run("drain", "e1", "--nodes", start("unresponsive")) == 4
    assert "repeat the command" in capsys.readouterr().err
    assert _run("drain", "e1", "--nodes", "127.0.0.1:1") == 5


def test_out_of_range_timestamp_is_shown(start, capsys):
    """Guards against one node's wrong clock that aborts the command."""
    late = _event(2**48 - 1 - _START_MS, _Kind.SHUTDOWN_ENDED, "a1")
    assert _run("timeline", "--nodes", start("a1", [late])) == 0
    assert capsys.readouterr().out.startswith("9999-12-31")


def test_end_reported_to_the_owner_is_shown_if_the_holder_is_lost():
    """Guards against "unknown" although the owner received the release."""
    end = _event(
        95,
        _Kind.RELEASE_RECEIVED,
        "a2",
        "r1",
        "e1",
        holder="a1",
        outcome="completed",
    )
    request_events = [*_OWNER_EVENTS[:2], end]
    explanation = explain.explain_request("r1", request_events, _OWNER_EVENTS)
    assert explanation.run_status == "done"
    assert "whether the caller received" in explanation.conclusion


def test_events_long_after_the_answer_are_left_out():
    """Guards against unrelated later events in an explanation."""
    refused = _event(95, _Kind.REQUEST_REFUSED, "a1", "r1", error="overloaded")
    later = _event(
        9000,
        _Kind.MEMBER_CHANGED,
        "a2",
        peer="a1",
        state="leaving",
        previous="live",
    )
    received = _event(0, _Kind.REQUEST_RECEIVED, "a1", "r1", route="draft")
    answered = explain.explain_request("r1", [received, refused], [later])
    assert later not in answered.events
    unanswered = explain.explain_request("r1", [received], [later])
    assert later in unanswered.events


def test_failed_run_is_explained():
    """Guards against an answer of an endpoint's own failure without a line."""
    status, line = explain._describe_end("failed", "e1")
    assert status is states.RunStatus.DONE
    assert line == "It ran at e1 and failed there."
