"""Pattern: a configuration with hundreds of routes between nodes.

Its record travels to each node of the cell over links that also carry the
requests of callers.
"""

import random

import curio
import msgspec
import pytest

from baobabmux_core import catalogue, messages
from baobabmux_node import node, packed_records, settings

_ANY = settings.Address("127.0.0.1", 0)
_UNREACHABLE = settings.Address("127.0.0.1", 9)


def _name(generator):
    letters = "".join(generator.choices("abcdefghijklmnop", k=4))
    return f"{letters}{generator.randrange(100, 999)}"


def _record(routes):
    """Returns a record whose names are as random as those of operators."""
    generator = random.Random(7)
    services = [_name(generator) for _ in range(4)]
    return msgspec.json.encode(
        {
            "version": 12,
            "routes": [
                {
                    "name": f"r-{_name(generator)}",
                    "hostname": f"{_name(generator)}.example",
                    "path": f"/{_name(generator)}/",
                    "kind": "streaming",
                    "service": generator.choice(services),
                    "timeoutMs": 15000,
                    "target_ms": 800,
                    "priority": 1,
                    "maxAttempts": 2,
                    "anonymous": False,
                    "resumable": True,
                    "gapTargetMs": 400,
                }
                for _ in range(routes)
            ],
        }
    )


def _make_node():
    return node.Node(
        settings.Settings(
            "n1", "col-a", _ANY, _ANY, _ANY, _UNREACHABLE, _UNREACHABLE
        )
    )


def test_large_configuration_needs_a_fifth_of_its_size():
    """Guards against changes that are late on slow links (CONFIG)."""
    state = messages.ConfigState(12, _record(350))
    packed = packed_records.pack(state)
    assert packed.snapshot == b""
    assert 5 * len(packed.packed) <= len(state.snapshot)
    assert packed_records.unpack(packed) == state


def test_plain_record_is_returned_as_it_is():
    """Guards against records of older builds that are not taken."""
    state = messages.ConfigState(12, _record(3))
    assert packed_records.unpack(state) is state


@pytest.mark.parametrize(
    "packed",
    [
        b"no zlib data",
        packed_records.pack(messages.ConfigState(1, b"{}")).packed[:-3],
        packed_records.pack(messages.ConfigState(1, b" " * 20_000_000)).packed,
    ],
    ids=["malformed", "cut off", "too large"],
)
def test_malformed_record_is_logged_and_not_taken(packed):
    """Guards against a frame that ends a node or fills its memory."""
    host = _make_node()
    state = messages.ConfigState(12, b"", packed)
    frame = messages.Frame("n2", 5, 1, 1, (state,))
    curio.run(host._receive, frame)
    kinds = [event.kind for event in host.events.timeline.select()]
    assert catalogue.EventKind.CONFIG_REJECTED.number in kinds
    assert host.config.version == -1


@pytest.mark.parametrize("takes_packed", [False, True])
def test_answer_has_the_form_that_the_peer_takes(takes_packed, monkeypatch):
    """Guards against a record that an older build can't read."""
    host = _make_node()
    state = messages.ConfigState(12, _record(9))
    monkeypatch.setattr(host.config, "answer", lambda ask: state)
    ask = messages.ConfigAsk(-1, takes_packed)
    curio.run(host._receive, messages.Frame("n2", 5, 1, 1, (ask,)))
    (answer,) = [
        message
        for message in host.peers._outbox["n2"]
        if isinstance(message, messages.ConfigState)
    ]
    assert bool(answer.packed) is takes_packed
    assert packed_records.unpack(answer) == state


def test_ask_of_an_older_build_takes_plain_records_only():
    """Guards against a default that an older build can't have meant."""
    assert not messages.ConfigAsk(3).takes_packed
