"""Tests of the capacity measurements; CPU time and memory have no bounds."""

import pytest

from baobabmux_bench import capacity, roles, slopes


def test_slope_needs_three_sizes():
    """Guards against a target extrapolated from two points."""
    with pytest.raises(ValueError, match="three"):
        slopes.fit((1, 2), float)
    line = slopes.fit((1, 2, 4), lambda size: 10.0 + 3 * size)
    assert (line.at(100), line.unit_cost) == (
        pytest.approx(310),
        pytest.approx(3),
    )


def test_cycle_counts_complete_requests():
    """Guards against measuring requests that were refused."""
    pair = roles.Pair(10)
    pair.run_all(3)
    counts = [pair.kinds[name] for name in ("Ask", "Grant", "Release")]
    assert counts == [3, 3, 3]
    assert pair.kinds["Refusal"] == 0


def test_cost_between_sizes_follows_the_measured_points():
    """Guards against a linear fit of a cost that grows faster than the size."""
    slope = slopes.Slope((100, 200, 400), (1.0, 4.0, 16.0), -6.5, 0.05)
    assert capacity._interpolate(slope, 150) == 2.5
    assert capacity._interpolate(slope, 0) == 0.0
