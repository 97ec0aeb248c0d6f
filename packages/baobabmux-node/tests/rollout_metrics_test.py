"""Tests of what operators see of a roll-out on the page of metrics."""

from baobabmux_core import ids, rollout_shares, rollout_trials
from baobabmux_node import metrics


def _trial():
    trial = rollout_trials.Trial(
        rollout_trials.Order(ids.ServiceName("pool"), "v2", 10.0, 1, 0.0),
        rollout_trials.Phase.TRYING,
        rollout_shares.ExposureBound(0.1, 50.0),
    )
    trial.counts[True] = rollout_trials.VersionCounts(9, 8, 2, 3.0)
    trial.counts[False] = rollout_trials.VersionCounts(90, 80, 0, 20.0)
    return trial


def test_share_counts_and_times_are_shown_by_version():
    """Guards against a roll-out that operators cannot follow."""
    shown = metrics.Metrics()
    shown.update_rollouts([_trial()], 1.0)
    page = shown.render().decode()
    assert 'baobabmux_rollout_share{service="pool",target="v2"}' in page
    assert (
        'baobabmux_rollout_requests{outcome="failed",service="pool",'
        'version="new"} 2.0'
    ) in page
    assert (
        'baobabmux_rollout_answer_seconds{service="pool",version="new"} 0.5'
        in page
    )
    assert (
        'baobabmux_rollout_answer_seconds{service="pool",version="old"} 0.25'
        in page
    )


def test_ended_roll_out_is_no_longer_shown():
    """Guards against figures of an order that is decided."""
    shown = metrics.Metrics()
    shown.update_rollouts([_trial()], 1.0)
    shown.update_rollouts([], 2.0)
    assert 'service="pool"' not in shown.render().decode()
