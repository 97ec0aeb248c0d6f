"""Tests of the state of endpoints that operators read."""

import types

import pytest

from baobabmux_core import declarations, grants, messages, quarantine, states
from baobabmux_node import status

_GROUP = "drafting@cell"


def _owner(placement):
    owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 0.0)
    owner.configure(
        declarations.Configuration(
            tiers={"t0": declarations.Tier(0)},
            services={
                "drafting": declarations.Service("engine", placement=placement)
            },
            endpoints={
                "e1": declarations.Endpoint(
                    "drafting", "cell", "vm-1", "127.0.0.1:1"
                )
            },
            routes={},
            presets={"p": declarations.Preset()},
            active="p",
        ),
        0.0,
    )
    return owner


def _state(owner, now):
    node_scheduler = types.SimpleNamespace(
        groups=types.SimpleNamespace(
            names=lambda: [_GROUP], owner=lambda group: owner
        ),
        drained=frozenset,
    )
    ((endpoint,),) = (
        group.endpoints for group in status.group_states(node_scheduler, now)
    )
    return endpoint


def _answer(owner, now):
    owner.ask(messages.Ask(_GROUP, "r", 0, 1, -1, 4000, 100, (), 1), "n", now)
    release = messages.Release(
        _GROUP, "r", "e1", states.Outcome.COMPLETED.code, -1, 100, 1000, 2000
    )
    owner.release(release, "n", now + 3.0)


def test_learned_speed_is_shown_with_its_age():
    """Guards against a speed of long ago that is taken for the present one."""
    owner = _owner("first_event")
    assert _state(owner, 1.0).speed_age_seconds is None
    _answer(owner, 1.0)
    shown = _state(owner, 9.0)
    assert shown.speed_age_seconds == pytest.approx(5.0)
    assert shown.prefill_tokens_per_second > 2000.0
    assert 0.0 <= shown.first_event_error <= 1.0


def test_other_services_show_estimated_rates():
    """Guards against an age that nothing stands behind."""
    owner = _owner("end")
    _answer(owner, 1.0)
    shown = _state(owner, 9.0)
    assert shown.speed_age_seconds is None
    assert shown.first_event_error is None
    assert shown.prefill_tokens_per_second > 0.0
