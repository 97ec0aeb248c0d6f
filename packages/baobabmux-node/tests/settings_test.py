"""Tests of the settings of a node."""

import tomllib

import pytest

from baobabmux_node import settings

_VALID = """
[node]
id = "n1"
data_centre = "col-a"
[listen]
callers = "127.0.0.1:0"
admin = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
log = "127.0.0.1:9100"
vms = "127.0.0.1:9101"
"""


def _errors(text: str) -> list[str]:
    parsed = settings.parse(tomllib.loads(text), "node.toml")
    return [str(error) for error in parsed.error]


def test_valid_settings_are_accepted():
    """Guards against a check that rejects the documented example."""
    parsed = settings.parse(tomllib.loads(_VALID), "node.toml")
    assert parsed.ok.log == settings.Address("127.0.0.1", 9100)


def test_all_errors_are_reported_together():
    """Guards against reporting only one error for each start of the node."""
    text = _VALID.replace('"n1"', "7").replace(":9100", ":0")
    errors = _errors(text + '[limits]\nmax_held = 1\n[extra]\nkey = "a"\n')
    assert len(errors) == 4
    assert errors[0].startswith("node.toml: node.id: expected a name")
    assert errors[1].startswith("node.toml: platform.log: expected IP:PORT")
    assert errors[2].startswith("node.toml: limits.max_held: unknown key")
    assert errors[3].startswith("node.toml: extra: unknown section")


def test_missing_keys_are_named():
    """Guards against a node that starts without its platform's addresses."""
    assert _errors("") == [
        f"node.toml: {key}: is required"
        for key in (
            "node.id",
            "node.data_centre",
            "listen.callers",
            "listen.admin",
            "listen.peers",
            "platform.log",
            "platform.vms",
        )
    ]


@pytest.mark.parametrize(
    "address", ["localhost:80", "127.0.0.1", "127.0.0.1:70000", "::1:x", ""]
)
def test_bad_addresses_are_refused(address):
    """Guards against host names, which the platform does not resolve.

    Ports and IP numbers that are missing or malformed are rejected as well.
    """
    text = _VALID.replace("127.0.0.1:9100", address)
    assert _errors(text) == [
        f"node.toml: platform.log: expected IP:PORT, got {address!r}"
    ]


def test_two_listeners_on_one_address_are_refused():
    """Guards against a start that fails late, at binding a second listener."""
    text = _VALID.replace('admin = "127.0.0.1:0"', 'admin = "127.0.0.1:9"')
    text = text.replace('peers = "127.0.0.1:0"', 'peers = "127.0.0.1:9"')
    assert _errors(text) == [
        "node.toml: listen.peers: 127.0.0.1:9 is already used by listen.admin"
    ]


def test_claims_that_would_expire_within_their_window_are_refused():
    """Guards against a second run with a key whose claim has expired.

    The retention of the log is too short for the default claim window.
    """
    errors = _errors(_VALID + "log_retention_seconds = 4000\n")
    assert len(errors) == 1
    assert errors[0].startswith("node.toml: platform.claim_window_seconds: ")
