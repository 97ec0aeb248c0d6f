"""Tests of the decision when, and within which limit, requests are hedged."""

import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from baobabmux_core import hedging

_LIMIT = hedging.Limit(
    quantile=0.9, request_share=0.1, token_share=0.1, window_seconds=10.0
)


def _learn(count, seconds=1.0, tokens=600, times=None):
    times = times or hedging.LearnedTimes()
    for number in range(count):
        times.observe(tokens, seconds, 100.0 + number * 0.01)
    return times


def test_no_request_is_hedged_without_a_declaration():
    """Guards against extra work that no operator asked for."""
    times = _learn(400)
    assert times.delay(600, hedging.OFF.quantile, 105.0) is None
    budget = hedging.Budget()
    for _ in range(1000):
        budget.first_ended(1, 100, 1.0)
    assert not budget.take(1, 1, 1.0)


def test_quantile_is_learned_by_size():
    """Guards against long prompts that are hedged as slow short ones."""
    times = hedging.LearnedTimes()
    generator = random.Random(1)
    for number in range(300):
        now = 100.0 + number * 0.01
        times.observe(600, generator.uniform(0.1, 0.3), now)
        times.observe(6600, generator.uniform(1.0, 2.0), now)
    short = times.delay(600, 0.9, 104.0)
    long = times.delay(6600, 0.9, 104.0)
    assert 0.25 <= short <= 0.3
    assert 1.8 <= long <= 2.0


@pytest.mark.parametrize("count", [0, 10, 49])
def test_few_answers_teach_no_quantile(count):
    """Guards against hedges after a guess, just after a start."""
    assert _learn(count).delay(600, 0.9, 104.0) is None


def test_old_answers_are_forgotten():
    """Guards against hedges by the speed that endpoints once had."""
    times = _learn(200)
    assert times.delay(600, 0.9, 104.0) == 1.0
    assert times.delay(600, 0.9, 400.0) is None


def test_given_up_attempts_do_not_pull_the_quantile_down():
    """Guards against a delay that shrinks with each hedge.

    Attempts are given up at the learned delay; the true times are spread over
    1 s, so nine of ten take less than 0.9 s.
    """
    times = hedging.LearnedTimes()
    generator = random.Random(1)
    for number in range(4000):
        now = 100.0 + number * 0.01
        delay = times.delay(600, 0.9, now)
        seconds = generator.random()
        times.observe(
            600,
            seconds if delay is None else min(seconds, delay + 0.05),
            now,
        )
    assert times.delay(600, 0.9, now) >= 0.8


def test_memory_of_learned_times_is_bounded():
    """Guards against memory that grows with sizes and answers."""
    times = hedging.LearnedTimes()
    for number in range(20_000):
        times.observe(1 << number % 40, 0.1, 100.0)
    samples = times._samples.values()
    assert sum(len(one._sorted) for one in samples) <= 21 * 400


def test_hedges_leave_places_free_and_never_overtake_a_queue():
    """Guards against first attempts that wait for hedges."""
    budget = hedging.Budget(_LIMIT)
    assert budget.fits(queued=0, free=10, places=32)
    assert not budget.fits(queued=0, free=8, places=32)
    assert not budget.fits(queued=1, free=32, places=32)


def test_one_workspace_takes_a_part_of_the_hedges():
    """Guards against one workspace that uses up the budget of all."""
    budget = hedging.Budget(_LIMIT)
    for number in range(400):
        budget.first_ended(number % 4, 100, 1.0)
    taken = sum(budget.take(1, 100, 1.0) for _ in range(100))
    assert taken == 10
    assert sum(budget.take(2, 100, 1.0) for _ in range(100)) == 10


def test_hedges_of_long_prompts_are_bounded_by_their_tokens():
    """Guards against a small share of requests with most of the work."""
    budget = hedging.Budget(_LIMIT)
    for _ in range(100):
        budget.first_ended(1, 100, 1.0)
    assert not budget.take(1, 1001, 1.0)
    assert budget.take(1, 1000, 1.0)
    assert not budget.take(2, 1, 1.0)


class _Owners(stateful.RuleBasedStateMachine):
    """Owners that change, are cut apart and start again.

    Attempts end under one of the owners that grant; each owner may grant
    hedges. The limit holds over all of them.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.owners = [hedging.Budget(_LIMIT)]
        self.firsts = []
        self.hedges = []

    def _owner(self, data):
        return data.draw(st.sampled_from(self.owners))

    @stateful.rule(
        data=st.data(),
        count=st.integers(1, 40),
        workspace=st.integers(1, 3),
        tokens=st.integers(1, 500),
    )
    def attempts_end(self, data, count, workspace, tokens):
        owner = self._owner(data)
        for _ in range(count):
            owner.first_ended(workspace, tokens, self.now)
            self.firsts.append((self.now, workspace, tokens))

    @stateful.rule(
        data=st.data(),
        workspace=st.integers(1, 3),
        tokens=st.integers(1, 500),
        count=st.integers(1, 10),
    )
    def hedge(self, data, workspace, tokens, count):
        owner = self._owner(data)
        for _ in range(count):
            if owner.take(workspace, tokens, self.now):
                self.hedges.append((self.now, workspace, tokens))

    @stateful.rule()
    def owner_changes(self):
        self.owners = [hedging.Budget(_LIMIT)]

    @stateful.rule()
    def cut(self):
        if len(self.owners) < 3:
            self.owners.append(hedging.Budget(_LIMIT))

    @stateful.rule(data=st.data())
    def owner_starts_again(self, data):
        self.owners.remove(self._owner(data))
        self.owners.append(hedging.Budget(_LIMIT))

    @stateful.rule(seconds=st.floats(0.01, 8.0))
    def time_passes(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def limit_holds_in_every_window(self):
        window = _LIMIT.window_seconds
        for end in {at for at, *_ in self.hedges} | {self.now}:
            hedges = [h for h in self.hedges if end - window < h[0] <= end]
            firsts = [f for f in self.firsts if end - 2 * window < f[0] <= end]
            assert len(hedges) <= 0.1 * len(firsts)
            for workspace in (1, 2, 3):
                own = [h for h in hedges if h[1] == workspace]
                assert len(own) <= 0.25 * 0.1 * len(firsts)
            assert sum(h[2] for h in hedges) <= 0.1 * sum(f[2] for f in firsts)


TestOwners = _Owners.TestCase
TestOwners.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
