"""Tests of determinism, request accounting and the load generator."""

import pytest

from baobabmux_bench import deployments, loads, plans, registry, scenarios

_CAPACITIES = {
    "kelaniya": {"drafting": 8.0, "desk": 6.0},
    "lone-star": {"kitchen-language": 15.0, "line-cook": 12.0},
}


def _plan(deployment, scenario, policy, seconds=20.0, seed=3):
    return plans.Plan(
        deployment, scenario, policy, seconds, seed, _CAPACITIES[deployment]
    )


@pytest.mark.parametrize("policy", registry.names())
@pytest.mark.parametrize("deployment", list(_CAPACITIES))
def test_the_same_seed_gives_the_same_summary(deployment, policy):
    plan = _plan(deployment, "owner-killed", policy)
    assert plan.run() == plan.run()


@pytest.mark.parametrize("policy", registry.names())
def test_every_request_ends_once_and_is_dispatched_at_most_once(policy):
    summary = _plan("kelaniya", "owner-killed", policy).run()
    for tier in summary.tiers:
        ends = tier.good + tier.late + tier.refused + tier.lost
        assert ends == tier.submitted > 0
    assert summary.repeated_dispatches == 0


def test_requests_are_in_order_and_lengths_differ_a_hundredfold():
    kelaniya_deployment = deployments.kelaniya()
    requests = scenarios.draw_requests(
        kelaniya_deployment, scenarios.PEAK, _CAPACITIES["kelaniya"], 60.0, 3
    )
    times = [r.arrival for r in requests]
    assert times == sorted(times)
    lengths = [r.prompt_tokens + r.output_tokens for r in requests]
    assert max(lengths) > 100 * min(lengths)


def test_waves_lower_the_rate_between_peaks():
    shape = loads.Shape(waves=2, trough=0.2)
    assert [round(shape.relative_rate(x / 4), 6) for x in range(5)] == [
        0.2,
        1.0,
        0.2,
        1.0,
        0.2,
    ]
