"""Tests of API keys, hosts, splits and quotas in requests of callers."""

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
        http_version="1.1",
        body=b"{}",
        read_body=read_body,
    )
    request_intake = intake.Intake("n1", 1, 3600.0)
    return curio.run(request_intake.accept, exchange, _CONFIGURATION, 0.0, 0)


def test_api_key_selects_the_workspace_and_is_not_forwarded():
    """Guards against an API key that is forwarded to an endpoint."""
    parsed = _accept(host="desk.example", authorization="Bearer key-a")
    assert parsed.workspace == "bank-a"
    assert "authorization" not in parsed.headers
    assert parsed.work.service == "new"
    assert parsed.work.max_attempts == 2
    assert parsed.work.cost == 1


@pytest.mark.parametrize("field", ["", "Bearer key-b", "Basic key-a"])
def test_unknown_api_key_is_refused(field):
    """Guards against an API key that is accepted after its removal."""
    with pytest.raises(server.RequestError) as caught:
        _accept(host="desk.example", authorization=field)
    assert caught.value.kind is errors.ErrorKind.KEY_UNKNOWN


def test_anonymous_route_forwards_the_authorization_field():
    """Guards against the loss of authorization meant for an endpoint.

    Such a route reads no API key, so the field belongs to the endpoint.
    """
    parsed = _accept(host="other.example", authorization="Bearer own")
    assert parsed.route_name == "open"
    assert parsed.headers["authorization"] == "Bearer own"
    assert parsed.work.cost == 0


def test_route_without_claims_requires_no_key():
    """Guards against a claim on a route that has turned claims off.

    A non-idempotent route otherwise requires an idempotency key.
    """
    work = _accept("/notices").work
    assert not work.needs_claim
    assert not work.idempotent


@pytest.mark.parametrize("header", [intake.DEADLINE, intake.IDEMPOTENCY_KEY])
def test_details_escape_control_characters_of_a_header_value(header):
    """Guards against terminal control codes in the log and in `explain`.

    The byte 0x9B is legal in a header value and starts a control sequence.
    """
    exchange = types.SimpleNamespace(headers={header: "12\x9b31mX"})
    route = declarations.Route(
        path="/a", service="s", tier="t", idempotent=False
    )
    with pytest.raises(server.RequestError) as refused:
        intake._deadline_seconds(exchange, route)
        intake._idempotency_key(exchange, "r", route, "w", 0, 60.0)
    assert header in refused.value.detail
    assert refused.value.detail.isprintable()
