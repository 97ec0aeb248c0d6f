"""Pattern: many large prompts at once, for endpoints with free slots.

An endpoint that holds more tokens than its memory preempts requests in the
middle of their streams, or ends. Slots alone don't bound what it holds.
"""

from hypothesis import given
from hypothesis import strategies as st

from baobabmux_core import (
    declarations,
    effects,
    fairness,
    grants,
    messages,
    quarantine,
    states,
)

_GROUP = "pool@cell"
_MEMORY = 100_000
_SLOTS = 8
_ENDPOINTS = 3


def _owner():
    configuration = declarations.Configuration(
        tiers={"t0": declarations.Tier(0)},
        services={
            "pool": declarations.Service(
                "engine", isolates_suspects=False, endpoint_tokens=_MEMORY
            )
        },
        endpoints={
            f"e{index}": declarations.Endpoint(
                "pool", "cell", f"vm{index}", f"127.0.0.1:{index + 1}",
                max_requests=_SLOTS, max_tokens=_MEMORY,
                prefill_tokens_per_second=50_000.0,
                decode_tokens_per_second=300.0,
            )
            for index in range(_ENDPOINTS)
        },
        routes={},
        presets={"p": declarations.Preset(short_share=0, high_tier_share=0)},
        active="p",
    )  # fmt: skip
    owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 0.0)
    owner.configure(configuration, 0.0)
    for endpoint in owner.endpoints():
        owner.set_open(endpoint, True)
    return owner


def _ask(number, prompt, answer):
    return messages.Ask(
        _GROUP, f"r{number}", 0, fairness.workspace_hash("w"), 600_000,
        prompt, answer, (), number, terms=messages.AskTerms(),
    )  # fmt: skip


def _granted(emitted):
    return [
        effect.message
        for effect in emitted
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, messages.Grant)
    ]


@given(
    st.lists(
        st.tuples(st.integers(1, 90_000), st.integers(1, 10_000)),
        min_size=1,
        max_size=40,
    ),
    st.randoms(use_true_random=False),
)
def test_no_endpoint_is_granted_more_than_its_memory(sizes, random):
    """Guards against endpoints that end with everything that they hold."""
    owner = _owner()
    held = {endpoint: {} for endpoint in owner.endpoints()}
    now = 0.0
    waiting = [(number, *size) for number, size in enumerate(sizes)]
    while waiting or any(held.values()):
        emitted = []
        busy = [endpoint for endpoint in held if held[endpoint]]
        if waiting and (not busy or random.random() < 0.6):
            emitted = owner.ask(_ask(*waiting.pop(0)), "n1", now)
        elif busy:
            endpoint = random.choice(busy)
            request, _ = held[endpoint].popitem()
            release = messages.Release(
                _GROUP, request, endpoint,
                states.Outcome.COMPLETED.code, 1, 1, 50, 450,
            )  # fmt: skip
            emitted = owner.release(release, "n1", now)
        for grant in _granted(emitted):
            prompt, answer = sizes[int(grant.request[1:])]
            held[grant.endpoint][grant.request] = prompt + answer
            assert sum(held[grant.endpoint].values()) <= _MEMORY
            assert len(held[grant.endpoint]) <= _SLOTS
        now += 0.01


def test_small_requests_use_all_slots():
    """Guards against slots that stay empty for want of a rule for them."""
    owner = _owner()
    grants_made = []
    for number in range(_SLOTS * _ENDPOINTS):
        grants_made += _granted(owner.ask(_ask(number, 900, 300), "n1", 0.0))
    assert len(grants_made) == _SLOTS * _ENDPOINTS


def test_request_larger_than_the_memory_runs_alone():
    owner = _owner()
    assert _granted(owner.ask(_ask(1, 150_000, 300), "n1", 0.0))
