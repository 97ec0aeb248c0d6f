"""Tests of the retry budget and the backoff."""

import random

from baobabmux_core import retries


def test_budget_bounds_retries_by_first_attempts():
    """Guards against retries that multiply the load of a failing service."""
    budget = retries.RetryBudget(share=0.1, ceiling=5.0)
    assert sum(budget.withdraw() for _ in range(100)) == 5
    for _ in range(100):
        budget.deposit()
    assert sum(budget.withdraw() for _ in range(100)) == 5


def test_backoff_grows_to_its_ceiling_and_is_seeded():
    """Guards against synchronous retries and delays without bound."""
    draws = [
        [retries.backoff(n, random.Random(seed)) for n in range(1, 2000)]
        for seed in (1, 1, 2)
    ]
    assert draws[0] == draws[1] != draws[2]
    assert all(0 <= delay <= 2.0 for delay in draws[0])
    generator = random.Random(3)
    assert max(retries.backoff(1, generator) for _ in range(1000)) <= 0.05
