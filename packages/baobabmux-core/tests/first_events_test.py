"""Tests of the choice of endpoints by first events and pauses.

A third of the endpoints is four times slower than the others. A long prompt
there makes its own first event late, and the streams beside it pause.
"""

import pytest

from baobabmux_core import declarations, grants, messages, quarantine, states

_GROUP = "drafting@cell"
_SLOTS = 3
_PREFILL = {"fast": 100_000.0, "slow": 25_000.0}
_DECODE = {"fast": 300.0, "slow": 75.0}
_LONG_PROMPT = 12_000
_SHORT_PROMPT = 600


class _Group:
    """A fast endpoint and a slow one, of which the speeds are known."""

    def __init__(
        self, placement="first_event", slots=_SLOTS, max_tokens=1_000_000
    ):
        self.now = 100.0
        self.granted = {}
        self.refused = {}
        self.owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 100.0)
        self.owner.configure(
            declarations.Configuration(
                tiers={
                    f"t{rank}": declarations.Tier(rank) for rank in range(3)
                },
                services={
                    "drafting": declarations.Service(
                        "engine",
                        short_tokens=0,
                        isolates_suspects=False,
                        limits_slow_endpoints=False,
                        placement=placement,
                        gap_seconds=0.3,
                    )
                },
                endpoints={
                    name: declarations.Endpoint(
                        "drafting",
                        "cell",
                        f"vm-{name}",
                        "127.0.0.1:1",
                        max_requests=slots,
                        max_tokens=max_tokens,
                        prefill_tokens_per_second=_PREFILL[name],
                        decode_tokens_per_second=_DECODE[name],
                    )
                    for name in _PREFILL
                },
                routes={},
                presets={
                    "p": declarations.Preset(short_share=0, high_tier_share=0)
                },
                active="p",
            ),
            100.0,
        )

    def take(self, effects):
        for effect in effects:
            message = effect.message
            if isinstance(message, messages.Grant):
                self.granted[message.request] = message.endpoint
            if isinstance(message, messages.Refusal):
                self.refused[message.request] = message.kind

    def ask(self, request, prompt, output=100, tier=0, target_ms=470):
        terms = messages.AskTerms(
            first_ms=round(2.5 * target_ms), target_ms=target_ms
        )
        ask = messages.Ask(
            _GROUP, request, tier, 1, 10_000, prompt, output, (),
            hash(request) % 10_000, terms=terms,
        )  # fmt: skip
        self.take(self.owner.ask(ask, "n1", self.now))
        return self.granted.get(request)

    def advance(self, seconds):
        self.now += seconds
        self.take(self.owner.tick(self.now))

    def end(self, request, prefill_ms=50, decode_ms=400, output=100):
        self.take(
            self.owner.release(
                messages.Release(
                    _GROUP,
                    request,
                    self.granted[request],
                    states.Outcome.COMPLETED.code,
                    -1,
                    output,
                    prefill_ms,
                    decode_ms,
                ),
                "n1",
                self.now,
            )
        )


def _filled(group, endpoint, prompt=_SHORT_PROMPT, output=300):
    """Fills one endpoint with streams and returns their requests."""
    requests = []
    for number in range(20):
        request = f"fill-{endpoint}-{number}"
        if group.ask(request, prompt, output, target_ms=5000) == endpoint:
            requests.append(request)
        if len(requests) == _SLOTS:
            break
    return requests


def test_long_prompt_waits_for_fast_endpoint():
    """Guards against streams that pause while a long prompt is read.

    12,000 tokens are 0.48 s on the slow endpoint, where streams run.
    """
    group = _Group()
    filled = _filled(group, "fast")
    assert group.ask("beside", 100, 30, tier=1, target_ms=5000) == "slow"
    assert group.ask("long", _LONG_PROMPT, target_ms=470) is None
    group.advance(0.02)
    assert "long" not in group.granted
    group.end(filled[0])
    assert group.granted["long"] == "fast"


def test_slot_that_a_long_prompt_leaves_serves_a_short_one():
    """Guards against slots that stand idle while requests wait."""
    group = _Group()
    _filled(group, "fast")
    assert group.ask("long", _LONG_PROMPT, target_ms=470) is None
    assert group.ask("short", 500, 30, tier=2) == "slow"


def test_fast_slot_goes_to_higher_tier_that_waits():
    """Guards against fast slots left to small work of a lower tier."""
    group = _Group()
    filled = _filled(group, "fast")
    for number in range(_SLOTS):
        group.ask(f"slow-{number}", 100, 30, tier=1, target_ms=5000)
    assert group.ask("short", 500, 30, tier=2) is None
    assert group.ask("long", _LONG_PROMPT, target_ms=470) is None
    group.end(filled[0])
    assert group.granted["long"] == "fast"
    assert "short" not in group.granted


def test_prompts_in_flight_count_for_next_first_event():
    """Guards against first events behind the prompts of other requests."""
    group = _Group()
    chosen = [group.ask(f"r{n}", 25_000, target_ms=5000) for n in range(3)]
    assert chosen[0] == "fast"
    # 75,000 tokens ahead are 0.75 s on the fast endpoint.
    assert group.ask("short", 500, 30, target_ms=300) != "fast" or (
        chosen.count("fast") < 3
    )


def test_late_prompt_spares_streams_for_a_while():
    """Guards against streams that pause for a prompt that is late anyway."""
    group = _Group()
    filled = _filled(group, "fast")
    assert group.ask("beside", 100, 30, tier=1, target_ms=5000) == "slow"
    assert group.ask("long", _LONG_PROMPT, target_ms=470) is None
    for _ in range(9):
        group.advance(0.05)
    assert "long" not in group.granted
    group.end(filled[0])
    assert group.granted["long"] == "fast"


def test_late_prompt_is_served_in_the_end():
    """Guards against a prompt that waits for an endpoint until it is useless.

    No fast slot is freed, and its first event is useful for 1.2 s.
    """
    group = _Group()
    _filled(group, "fast")
    assert group.ask("beside", 100, 30, tier=1, target_ms=5000) == "slow"
    assert group.ask("long", _LONG_PROMPT, target_ms=470) is None
    for _ in range(15):
        group.advance(0.05)
    assert group.granted["long"] == "slow"


@pytest.mark.parametrize("prompt", [_SHORT_PROMPT, _LONG_PROMPT])
def test_lone_slow_endpoint_serves_all(prompt):
    """Guards against requests that wait for an endpoint that is not there."""
    group = _Group()
    group.owner.set_open("fast", False)
    group.ask("r", prompt, target_ms=470)
    for _ in range(20):
        group.advance(0.05)
    assert group.granted.get("r") == "slow"


def test_token_limit_of_endpoints_holds():
    """Guards against an endpoint that ends under prompts beyond its memory."""
    group = _Group(max_tokens=12_000)
    for number in range(4):
        group.ask(f"r{number}", 7_000, target_ms=5000)
    for endpoint in ("fast", "slow"):
        assert group.owner.outstanding()[endpoint][1] <= 12_000
    assert len(group.granted) == 2


def test_other_placement_is_as_before():
    """Guards against a change for services that declare none."""
    group = _Group(placement="end")
    assert group.owner.model("fast").speed is None
    assert group.ask("r", _LONG_PROMPT) == "fast"
