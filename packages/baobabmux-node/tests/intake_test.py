"""Tests of keys, hosts, splits and quotas on the product's own interface."""

import types

import curio
import pytest

from baobabmux_core import declarations, errors
from baobabmux_node import intake, server

_TABLES = {
    "tier": {"tender": {"rank": 0}},
    "service": {"desk": {"kind": "plain"}, "new": {"kind": "plain"}},
    "workspace": {
        "bank-a": {
            "api_keys": ["key-a"],
            "quota": {"rate": 5.0, "burst": 10.0},
        }
    },
    "route": {
        "open": {"path": "/numbers", "service": "desk", "tier": "tender"},
        "keyed": {
            "path": "/numbers",
            "host": "desk.example",
            "service": "desk",
            "tier": "tender",
            "anonymous": False,
            "max_attempts": 2,
            "splits": [{"service": "new", "weight": 1.0}],
        },
        "unclaimed": {
            "path": "/notices",
            "service": "desk",
            "tier": "tender",
            "idempotent": False,
            "claims": False,
        },
    },
    "preset": {"ordinary": {}},
    "active": {"preset": {"name": "ordinary"}},
    "callers": {"limits": {"max_body_bytes": 1000}},
}
_CONFIGURATION = declarations.parse(_TABLES).ok


def _accept(path="/numbers", **headers):
    async def read_body(limit):
        del limit

    exchange = types.SimpleNamespace(
        path=path,
        target=path,
        method="POST",
        headers=headers,
        body=b"{}",
        read_body=read_body,
    )
    made = intake.Intake("n1", 1, 3600.0)
    return curio.run(made.accept, exchange, _CONFIGURATION, 0.0, 0)


def test_key_names_the_workspace_and_stays_here():
    """Guards against an API key that reaches an endpoint."""
    caller = _accept(host="desk.example", authorization="Bearer key-a")
    assert caller.workspace == "bank-a"
    assert "authorization" not in caller.headers
    assert caller.work.service == "new"
    assert caller.work.max_attempts == 2
    assert caller.work.cost == 1


@pytest.mark.parametrize("field", ["", "Bearer key-b", "Basic key-a"])
def test_unknown_key_is_refused(field):
    """Guards against a removed key that is still taken."""
    with pytest.raises(server.RequestError) as caught:
        _accept(host="desk.example", authorization=field)
    assert caught.value.kind is errors.ErrorKind.KEY_UNKNOWN


def test_route_without_keys_passes_the_field_on():
    """Guards against endpoints that lose their own authorization."""
    caller = _accept(host="other.example", authorization="Bearer own")
    assert caller.route_name == "open"
    assert caller.headers["authorization"] == "Bearer own"
    assert caller.work.cost == 0


def test_route_may_do_without_claims():
    """Guards against a key that a route does not need."""
    work = _accept("/notices").work
    assert not work.needs_claim
    assert not work.idempotent
