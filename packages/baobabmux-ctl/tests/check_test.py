"""Tests of `check`: each finding has a file that shows it and a clean twin."""

import json

import pytest

from baobabmux_core import declarations
from baobabmux_ctl import changes, findings, main
from baobabmux_standins import cluster

_BASE = {
    "tier": {"top": {"rank": 0}},
    "service": {"engine": {"kind": "engine"}},
    "endpoint": {
        "e1": {
            "service": "engine",
            "data_centre": "a",
            "vm": "v1",
            "address": "192.0.2.1:1",
        }
    },
    "route": {"draft": {"path": "/d", "service": "engine", "tier": "top"}},
    "preset": {"ordinary": {}},
    "active": {"preset": {"name": "ordinary"}},
}

# Entry, keys that show a finding, keys that are almost the same and clean, and
# words of the finding.
_CASES = {
    "host in capitals": (
        "route/draft",
        {"host": "Desk.example"},
        {"host": "desk.example"},
        "never matches",
    ),
    "host with a port": (
        "route/draft",
        {"host": "desk:80"},
        {"host": "desk"},
        "never matches",
    ),
    "service without endpoint": (
        "endpoint/e1",
        {"service": "other"},
        {"service": "engine"},
        "has no endpoint",
    ),
    "tier without route": (
        "route/draft",
        {"tier": "low"},
        {"tier": "top"},
        "no route has",
    ),
    "no key at all": (
        "route/draft",
        {"anonymous": False},
        {"anonymous": True},
        "needs an API key",
    ),
    "keys that nobody asks for": (
        "workspace/bank",
        {"api_keys": ["k"]},
        {"weight": 2.0},
        "never asked for",
    ),
    "target after the timeout": (
        "route/draft",
        {"timeout_seconds": 8.0, "target_seconds": 9.0},
        {"timeout_seconds": 8.0, "target_seconds": 8.0},
        "above timeout_seconds",
    ),
    "gap of a plain answer": (
        "route/draft",
        {"gap_seconds": 1.0},
        {"gap_seconds": 1.0, "streaming": True},
        "not a stream",
    ),
    "resumed plain answer": (
        "route/draft",
        {"resumable": True},
        {"resumable": True, "streaming": True},
        "not a stream",
    ),
    "body above the callers' limit": (
        "callers/limits",
        {"max_body_bytes": 999_999},
        {"max_body_bytes": 1_000_000},
        "applies first",
    ),
    "more attempts than endpoints": (
        "route/draft",
        {"max_attempts": 2},
        {"max_attempts": 1},
        "above the number of endpoints",
    ),
    "answer above the queue's tokens": (
        "service/engine",
        {"max_queue_tokens": 255},
        {"max_queue_tokens": 256},
        "no request can wait",
    ),
    "answer above an endpoint's tokens": (
        "endpoint/e1",
        {"max_tokens": 255},
        {"max_tokens": 256},
        "above max_tokens",
    ),
    "answer longer than the timeout": (
        "route/draft",
        {"timeout_seconds": 6.3},
        {"timeout_seconds": 6.4},
        "longer than timeout_seconds",
    ),
    "fewer connections than slots": (
        "service/engine",
        {"max_connections": 7},
        {"max_connections": 8},
        "needs a connection",
    ),
    "preset that refuses all": (
        "preset/ordinary",
        {"refused_tiers": ["top"]},
        {"refused_tiers": []},
        "tiers of all routes",
    ),
    "all slots reserved": (
        "preset/ordinary",
        {"short_share": 0.5, "high_tier_share": 0.5},
        {"short_share": 0.5, "high_tier_share": 0.4},
        "never start",
    ),
    "hedges of requests that run once": (
        "service/engine",
        {"hedge_quantile": 0.9},
        {"hedge_quantile": 0.0},
        "no request of its routes",
    ),
    "placement without a target": (
        "service/engine",
        {"placement": "first_event"},
        {"placement": "end"},
        "has no effect",
    ),
    "burst below a request's tokens": (
        "workspace/bank",
        {"quota": {"rate": 9.0, "burst": 255.0, "unit": "tokens"}},
        {"quota": {"rate": 9.0, "burst": 256.0, "unit": "tokens"}},
        "below one request",
    ),
    "burst below one request": (
        "workspace/bank",
        {"quota": {"rate": 9.0, "burst": 0.5}},
        {"quota": {"rate": 9.0, "burst": 1.0}},
        "below one request",
    ),
}


def _with(address, keys):
    """Returns the base tables with keys of one entry replaced."""
    tables = {
        section: {name: dict(table) for name, table in entries.items()}
        for section, entries in _BASE.items()
    }
    section, _, name = address.partition("/")
    tables.setdefault(section, {}).setdefault(name, {}).update(keys)
    if keys.get("service") == "other":
        tables["service"]["other"] = {"kind": "plain"}
    if keys.get("tier") == "low":
        tables["tier"]["low"] = {"rank": 1}
    return tables


def _review(tables):
    return findings.review(declarations.parse(tables).ok)


@pytest.mark.parametrize("case", _CASES.values(), ids=_CASES)
def test_contradiction_is_found_and_its_clean_twin_is_not(case):
    """Guards against entries that are accepted and cannot work."""
    address, wrong, clean, words = case
    found = _review(_with(address, wrong))
    assert any(words in item.problem for item in found), found
    assert all(item.remedy for item in found)
    assert not _review(_with(address, clean))


def test_workspace_without_key_is_found_if_every_route_needs_one():
    """Guards against a workspace that no request can belong to."""
    tables = _with("route/draft", {"anonymous": False})
    tables["workspace"] = {"a": {"api_keys": ["k"]}, "b": {"weight": 2.0}}
    (found,) = _review(tables)
    assert (found.section, found.name) == ("workspace", "b")
    tables["workspace"]["b"]["api_keys"] = ["l"]
    assert not _review(tables)


def test_differences_tell_what_happens_to_requests():
    """Guards against changes whose effect an operator must guess."""
    old = _with("route/draft", {"timeout_seconds": 20.0})
    new = _with("route/draft", {"timeout_seconds": 30.0})
    new["workspace"] = {"bank": {"api_keys": ["secret"]}}
    old["endpoint"]["e2"] = dict(old["endpoint"]["e1"], address="192.0.2.2:1")
    assert changes.describe(old, new) == [
        'route "draft" changes timeout_seconds from 20.0 to 30.0: applies to '
        "new requests; those under way keep what they began with",
        'workspace "bank" is new: its keys are accepted',
        'endpoint "e2" is removed: it gets no new requests; running ones go on',
    ]
    assert not changes.describe(new, new)


def test_differences_do_not_show_keys():
    """Guards against secrets in a terminal or a log."""
    old = _with("workspace/bank", {"api_keys": ["secret"]})
    new = _with("workspace/bank", {"api_keys": ["secret", "other"]})
    (line,) = changes.describe(old, new)
    assert "from 1 keys to 2 keys" in line
    assert "secret" not in line


def _write(path, tables):
    lines = []
    for section, entries in tables.items():
        for name, table in entries.items():
            lines.append(f"[{section}.{name}]")
            lines += [
                f"{key} = {json.dumps(value)}" for key, value in table.items()
            ]
            lines.append("")
    path.write_text("\n".join(lines))
    return str(path)


def test_command_names_file_and_line_and_sets_the_exit_code(tmp_path, capsys):
    """Guards against messages that leave the operator searching."""
    clean = _write(tmp_path / "clean.toml", _BASE)
    assert main.main(["check", clean]) == 0
    odd = _write(tmp_path / "odd.toml", _with("route/draft", {"host": "Desk"}))
    line = 1 + (tmp_path / "odd.toml").read_text().split("\n").index(
        "[route.draft]"
    )
    capsys.readouterr()
    assert main.main(["check", odd]) == 1
    assert f'odd.toml:{line}: route "draft"' in capsys.readouterr().err
    wrong = _write(
        tmp_path / "wrong.toml", _with("route/draft", {"service": "none"})
    )
    assert main.main(["check", wrong]) == 2
    assert f'wrong.toml:{line}: route "draft"' in capsys.readouterr().err


def test_command_compares_with_files_and_prints_json(tmp_path, capsys):
    """Guards against a comparison that depends on a running log service."""
    old = _write(tmp_path / "old.toml", _BASE)
    new = _write(
        tmp_path / "new.toml", _with("route/draft", {"timeout_seconds": 30.0})
    )
    assert main.main(["check", new, "--against", old, "--json"]) == 0
    printed = json.loads(capsys.readouterr().out)
    assert printed["errors"] == printed["findings"] == []
    (difference,) = printed["differences"]
    assert difference.startswith('route "draft" changes timeout_seconds')


def test_command_compares_with_the_version_in_force(tmp_path, capsys):
    """Guards against publishing files that differ from what was expected."""
    old = _write(tmp_path / "old.toml", _BASE)
    new = _write(
        tmp_path / "new.toml", _with("route/draft", {"timeout_seconds": 30.0})
    )
    with cluster.Cluster() as running:
        log = running.add("log")
        assert main.main(["publish", old, "--log", log.address]) == 0
        capsys.readouterr()
        assert main.main(["check", old, "--against", log.address]) == 0
        assert "no differences" in capsys.readouterr().out
        assert main.main(["check", new, "--against", log.address]) == 0
        assert 'route "draft" changes' in capsys.readouterr().out
        # Nothing was published.
        assert log.counts()["streams"]["config"] == 1
    assert main.main(["check", new, "--against", "nowhere"]) != 0


def test_hedges_of_a_route_with_two_attempts_are_no_finding():
    """Guards against a finding about hedges that can be made."""
    tables = _with("service/engine", {"hedge_quantile": 0.9})
    tables["route"]["draft"]["max_attempts"] = 2
    tables["endpoint"]["e2"] = dict(
        tables["endpoint"]["e1"], address="192.0.2.2:1"
    )
    assert not _review(tables)
    tables["route"]["draft"]["idempotent"] = False
    assert _review(tables)


def test_placement_by_first_events_with_a_target_is_no_finding():
    """Guards against a finding about a placement that has an effect."""
    tables = _with("service/engine", {"placement": "first_event"})
    tables["route"]["draft"]["target_seconds"] = 1.0
    assert not _review(tables)
