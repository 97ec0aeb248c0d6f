"""Tests of the judgement on new versions, in worlds with one roll-out each.

The target over 500 seeds: of good versions at most 1 in 200 is rolled back and
all others are completed by the deadline; of bad ones none is completed, and all
keep the bounds of the share. CI plays fewer seeds;
`python rollout_judgement_test.py SEEDS` plays more and prints the counts.
"""

import collections
import sys

import pytest

from baobabmux_bench import rollout_world
from baobabmux_core import rollout_trials

_SEEDS = 6
_SECONDS = 12.0
_SHARE = 0.1
_SLACK = 50
_ROLLBACK_SECONDS = 5.0

Phase = rollout_trials.Phase


@pytest.mark.parametrize("trouble", rollout_world.GOOD_KINDS)
def test_good_version_is_completed_by_its_deadline(trouble):
    """Guards against good versions condemned by what troubles both."""
    for seed in range(_SEEDS):
        result = rollout_world.World(seed, trouble).run()
        assert result.phase is Phase.COMPLETED
        assert result.ended_at <= _SECONDS


@pytest.mark.parametrize("kind", rollout_world.BAD_KINDS)
def test_bad_version_is_rolled_back_within_its_share(kind):
    """Guards against bad versions that replace good ones, or get too much."""
    for seed in range(_SEEDS):
        fault = rollout_world.BAD_KINDS[kind]
        result = rollout_world.World(seed, fault=fault).run()
        assert result.phase is Phase.ROLLED_BACK
        assert result.sent <= _SHARE * result.reached + _SLACK
        assert result.bad_seconds <= _ROLLBACK_SECONDS


def _count(seeds: int) -> None:
    """Prints how many roll-outs ended how."""
    worlds = [(kind, kind, None) for kind in rollout_world.GOOD_KINDS]
    worlds += [
        (kind, "calm", fault) for kind, fault in rollout_world.BAD_KINDS.items()
    ]
    for kind, trouble, fault in worlds:
        ends = collections.Counter()
        over = 0
        for seed in range(seeds):
            result = rollout_world.World(seed, trouble, fault).run()
            ends[result.phase.name] += 1
            over += result.sent > _SHARE * result.reached + _SLACK
        print(kind, dict(ends), "over the share:", over if fault else "-")


if __name__ == "__main__":
    _count(int(sys.argv[1]))
