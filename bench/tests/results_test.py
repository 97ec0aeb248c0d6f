"""Guards the counters against figures that look better than the run was."""

import pytest

from baobabmux_bench import plans, plots, results
from baobabmux_core import errors


def test_only_overload_before_a_held_lower_tier_is_an_inversion():
    found = results.Inversions()
    found.shed({0: 3, 1: 1}, 1, errors.ErrorKind.OVERLOADED)
    found.shed({2: 0}, 1, errors.ErrorKind.OVERLOADED)
    assert found.inversions == 0
    found.shed({2: 1}, 1, errors.ErrorKind.OVERLOADED)
    found.shed({2: 1}, 1, errors.ErrorKind.DEADLINE_UNREACHABLE)
    assert (found.inversions, found.deadline_inversions) == (1, 1)


def test_percentiles_are_milliseconds():
    values = [n / 100 for n in range(1, 101)]
    assert results.percentiles(values)["p95"] == pytest.approx(950, rel=0.01)
    assert results.percentiles([]) == {}


def test_a_run_gives_table_json_and_plot(tmp_path):
    capacities = {"drafting": 8.0, "desk": 6.0}
    summaries = [
        plans.Plan("kelaniya", name, "shares", 5.0, 1, capacities).run()
        for name in ("ordinary", "peak-3")
    ]
    assert results.table(summaries).count("\n") == 3
    results.write(tmp_path / "runs.json", summaries)
    plots.goodput(tmp_path / "goodput.png", "kelaniya", summaries)
    assert all(path.stat().st_size for path in tmp_path.iterdir())
