"""Tests of the budget of repeated attempts while many answers are lost."""

from hypothesis import given
from hypothesis import strategies as st

from baobabmux_core import retries


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 0.3)), max_size=300))
def test_repeats_stay_within_the_budget_of_a_window(steps):
    """Guards against retries that multiply the load during a failure."""
    budget = retries.AttemptBudget(0.2, 5.0, 10.0)
    now = 0.0
    firsts, repeats = [], []
    for is_first, pause in steps:
        now += pause
        if is_first:
            budget.record_first(now)
            firsts.append(now)
        elif budget.take(now):
            repeats.append(now)
    for end in repeats:
        recent = [at for at in repeats if end - 10.0 <= at <= end]
        before = [at for at in firsts if end - 10.0 <= at <= end]
        assert len(recent) <= 0.2 * len(before) + 5.0 + 1e-9


def test_each_side_of_a_partition_uses_its_share():
    """Guards against a partition whose sides each use the whole budget."""
    budget = retries.AttemptBudget(0.0, 10.0, 10.0)
    budget.share = 0.5
    assert [budget.take(1.0) for _ in range(7)].count(True) == 5
