"""Tests of a load peak of requests that share long prompt prefixes.

The service is full: slots become free one by one, mostly on other endpoints
than the one whose cache holds a request's prefix. Recomputing a long prefix
costs more than a short wait; a short prefix does not justify a wait.
"""

import pytest

from baobabmux_core import declarations, grants, messages, quarantine, states

_GROUP = "drafting@col-a"
_SLOTS = 2
_PREFILL_RATE = 1000.0


class _Service:
    """Two endpoints; one has the shared prefix cached and stays full."""

    def __init__(self, shared_tokens):
        self.now = 100.0
        self.shared = (messages.PrefixPart(7, shared_tokens),)
        self.granted = {}
        self.owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 100.0)
        self.owner.configure(
            declarations.Configuration(
                tiers={"t": declarations.Tier(0)},
                services={"drafting": declarations.Service("engine")},
                endpoints={
                    name: declarations.Endpoint(
                        "drafting",
                        "col-a",
                        f"vm-{name}",
                        "127.0.0.1:1",
                        max_requests=_SLOTS,
                        max_tokens=100_000,
                        cache_tokens=20_000,
                        prefill_tokens_per_second=_PREFILL_RATE,
                        decode_tokens_per_second=100.0,
                    )
                    for name in ("e0", "e1")
                },
                routes={},
                presets={
                    "p": declarations.Preset(
                        affinity_wait_seconds=30.0,
                        short_share=0,
                        high_tier_share=0,
                    )
                },
                active="p",
            ),
            100.0,
        )
        self.cached_on = self.ask("first", self.shared)
        while self.owner.outstanding()[self.cached_on][0] < _SLOTS:
            self.ask(f"more-{len(self.granted)}", self.shared)

    def take(self, effects):
        for effect in effects:
            if isinstance(effect.message, messages.Grant):
                message = effect.message
                self.granted[message.request] = message.endpoint

    def ask(self, request, prefixes=()):
        content = 100 + len(self.granted)
        ask = messages.Ask(
            _GROUP, request, 0, 1, -1, 4000, 200, prefixes, content
        )
        self.take(self.owner.ask(ask, "n1", self.now))
        return self.granted.get(request)

    def advance(self, seconds):
        self.now += seconds
        self.take(self.owner.tick(self.now))


@pytest.mark.parametrize("tokens", [2500, 3000])
def test_wait_for_a_cached_prefix_is_proportional_to_the_saved_prefill(
    tokens,
):
    """Guards against a wait that takes far longer than the saved prefill.

    The endpoint that has the prefix cached stays full.
    """
    service = _Service(tokens)
    assert service.ask("late", service.shared) is None
    max_wait = 4.0 * tokens / _PREFILL_RATE
    service.advance(0.9 * max_wait)
    assert "late" not in service.granted
    service.advance(0.2 * max_wait)
    assert service.granted["late"] != service.cached_on


def test_slot_that_becomes_free_during_the_wait_saves_the_prefill():
    """Guards against a long prefix that is recomputed on every endpoint.

    The endpoint that has it cached frees a slot during the wait.
    """
    service = _Service(3000)
    service.ask("late", service.shared)
    service.advance(2.0)
    release = messages.Release(
        _GROUP,
        "first",
        service.cached_on,
        states.Outcome.COMPLETED.code,
        computed_tokens=4000,
        output_tokens=200,
        prefill_ms=4000,
        decode_ms=2000,
    )
    service.take(service.owner.release(release, "n1", service.now))
    assert service.granted["late"] == service.cached_on


def test_short_prefix_is_recomputed_at_once():
    """Guards against a wait for a cached prefix that is too short for it."""
    service = _Service(200)
    assert service.ask("late", service.shared) == "e1"
