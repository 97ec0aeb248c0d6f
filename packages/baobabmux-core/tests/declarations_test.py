"""Tests of the validation of declarations."""

import copy

import pytest

from baobabmux_core import declarations

TABLES = {
    "tier": {"tender": {"rank": 0}, "standard": {"rank": 1}},
    "workspace": {"bank-a": {"weight": 2.0}},
    "service": {"drafting": {"kind": "engine"}},
    "endpoint": {
        "draft-a1": {
            "service": "drafting",
            "data_centre": "col-a",
            "vm": "vm-draft-a1",
            "address": "127.0.0.1:9001",
        }
    },
    "route": {
        "wording": {"path": "/wording", "service": "drafting", "tier": "tender"}
    },
    "preset": {"ordinary": {}},
    "active": {"preset": {"name": "ordinary"}},
}

_ENDPOINT = TABLES["endpoint"]["draft-a1"]
_ROUTE = TABLES["route"]["wording"]


def tables_with(**sections):
    """Returns the tables with entries added or replaced."""
    tables = copy.deepcopy(TABLES)
    for section, entries in sections.items():
        tables.setdefault(section, {}).update(entries)
    return tables


def error_lines(tables, source=""):
    return [str(error) for error in declarations.parse(tables, source).error]


def test_valid_tables_give_a_configuration():
    """Guards against checks that reject valid declarations."""
    configuration = declarations.parse(TABLES).ok
    assert configuration.active_preset() == declarations.Preset()
    name, route = configuration.match_route("/wording/7")
    assert (name, configuration.tier_rank(route)) == ("wording", 0)
    assert list(configuration.group_endpoints("drafting@col-a")) == ["draft-a1"]


def test_error_line_names_place_problem_and_remedy():
    """Guards against errors without their place, problem or remedy."""
    tables = tables_with(route={"drafting": {**_ROUTE, "tier": "gold"}})
    tables["route"]["drafting"]["path"] = "/drafting"
    assert error_lines(tables, "routes.toml") == [
        'routes.toml: route "drafting": tier "gold" is not declared'
        " (declared: standard, tender)"
    ]


_INVALID_ENTRIES = [
    ({"colour": {"a": {}}}, 'section "colour" is unknown'),
    ({"tier": {"c": {"rank": 2, "x": 1}}}, 'key "x" is unknown'),
    ({"tier": {"c": {"rank": "2"}}}, 'key "rank" has the wrong type'),
    ({"tier": {"c": {"rank": True}}}, 'key "rank" has the wrong type'),
    ({"tier": {"c": {}}}, 'key "rank" is missing'),
    (
        {"tier": {"c": {"rank": 1}}},
        'rank "1" is already used by tier "standard"',
    ),
    ({"tier": {"c": 7}}, "is not a table"),
    ({"tier": {"a/b": {"rank": 2}}}, "the name is not allowed"),
    ({"workspace": {"a": {"weight": float("nan")}}}, "weight is nan"),
    ({"service": {"s": {"kind": "gpu"}}}, 'kind "gpu" is unknown'),
    (
        {"service": {"s": {"kind": "engine", "placement": "any"}}},
        'placement "any" is unknown',
    ),
    ({"endpoint": {"e": {**_ENDPOINT}}}, 'address "127.0.0.1:9001" is already'),
    *(
        (
            {"endpoint": {"e": {**_ENDPOINT, "address": text}}},
            "not an IP address",
        )
        for text in ["host:1", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "::1:9"]
    ),
    ({"route": {"r": {**_ROUTE, "path": "/wording/"}}}, "path"),
    ({"route": {"r": {**_ROUTE, "path": "wording"}}}, "is not a path"),
    ({"route": {"r": {**_ROUTE, "path": "/r", "methods": []}}}, "methods"),
    ({"preset": {"p": {"short_share": 1.5}}}, "short_share is 1.5"),
    ({"preset": {"p": {"refused_tiers": ["gold"]}}}, 'tier "gold"'),
    ({"active": {"preset": {"name": "none"}}}, 'preset "none"'),
    ({"active": {"other": {"name": "ordinary"}}}, "is unknown"),
    ({"limit": {"keys": {"window_seconds": 0}}}, "window_seconds is 0"),
]


@pytest.mark.parametrize(("sections", "expected"), _INVALID_ENTRIES)
def test_each_mistake_is_reported_once(sections, expected):
    """Guards against a mistake that passes or that causes further errors."""
    (line,) = error_lines(tables_with(**sections))
    assert expected in line
    assert "\n" not in line


def test_all_errors_are_reported_at_once():
    """Guards against checks that stop at the first error."""
    tables = tables_with(
        tier={"c": {"rank": -1}}, workspace={"w": {"weight": 0}}
    )
    del tables["active"]
    assert len(error_lines(tables)) == 3


@pytest.mark.parametrize(
    "tables",
    [
        None,
        [],
        {"tier": 3},
        {"tier": {"x": []}},
        {"tier": {"x": {"rank": 10**5000}}},
        {"workspace": {"x": {"weight": 10**5000}}},
        {7: {}},
    ],
)
def test_malformed_tables_are_reported(tables):
    """Guards against an untrusted value that raises instead of an error."""
    assert error_lines(tables)


def test_files_are_merged_and_duplicate_entries_are_reported(tmp_path):
    """Guards against an entry that silently replaces one of another file."""
    (tmp_path / "a.toml").write_text("[tier.tender]\nrank = 0\n")
    (tmp_path / "b.toml").write_text("[tier.tender]\nrank = 1\n")
    (tmp_path / "c.toml").write_text("[tier\n")
    paths = [tmp_path / name for name in ["a.toml", "b.toml", "c.toml", "d"]]
    found = [str(error) for error in declarations.load_files(paths).error]
    assert len(found) == 3
    assert found[0].startswith('b.toml: tier "tender": is also declared in a.')
    tables = declarations.load_files(paths[:1]).ok
    assert tables == {"tier": {"tender": {"rank": 0}}}
    assert error_lines(tables)[0].startswith(
        "declarations: no preset is active"
    )


def test_errors_name_the_file_of_the_entry(tmp_path):
    """Guards against errors that do not say which file to correct."""
    (tmp_path / "routes.toml").write_text("[tier.c]\nrank = -1\n")
    tables = declarations.load_files([tmp_path / "routes.toml"]).ok
    assert error_lines(tables)[0].startswith(
        'routes.toml: tier "c": rank is -1'
    )


@pytest.mark.parametrize(("sections", "expected"), _INVALID_ENTRIES)
def test_mistakes_are_found_next_to_checked_entries(sections, expected):
    """Guards against errors that are missed when most entries are unchanged.

    Entries of earlier valid tables are not checked against the schema again.
    """
    known = declarations.CheckedTables(TABLES, declarations.parse(TABLES).ok)
    tables = {section: dict(entries) for section, entries in TABLES.items()}
    for section, entries in sections.items():
        tables.setdefault(section, {}).update(entries)
    (error,) = declarations.parse(tables, known=known).error
    assert expected in str(error)


def test_invalid_quota_and_duplicate_key_are_reported():
    """Guards against an API key of two workspaces and an unusable quota."""
    tables = {
        "tier": {"tender": {"rank": 0}},
        "preset": {"ordinary": {}},
        "active": {"preset": {"name": "ordinary"}},
        "workspace": {
            "a": {"api_keys": ["k"]},
            "b": {
                "api_keys": ["k"],
                "quota": {"rate": 0, "burst": 1, "unit": "words"},
            },
        },
    }
    errors = [str(error) for error in declarations.parse(tables).error]
    assert len(errors) == 3
    assert all('workspace "b"' in error for error in errors)
