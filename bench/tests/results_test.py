"""Guards against summaries that report better results than the run had."""

import pytest

from baobabmux_bench import plans, plots, results
from baobabmux_core import errors


def test_only_shedding_while_a_lower_tier_is_queued_is_an_inversion():
    counters = results.Inversions()
    counters.count_refusal({0: 3, 1: 1}, 1, errors.ErrorKind.OVERLOADED)
    counters.count_refusal({2: 0}, 1, errors.ErrorKind.OVERLOADED)
    assert counters.inversions == 0
    counters.count_refusal({2: 1}, 1, errors.ErrorKind.OVERLOADED)
    counters.count_refusal({2: 1}, 1, errors.ErrorKind.DEADLINE_UNREACHABLE)
    assert (counters.inversions, counters.deadline_inversions) == (1, 1)


def test_percentiles_are_milliseconds():
    values = [n / 100 for n in range(1, 101)]
    assert results.percentiles(values)["p95"] == pytest.approx(950, rel=0.01)
    assert results.percentiles([]) == {}


def test_runs_are_written_as_table_json_and_plot(tmp_path):
    capacities = {"drafting": 8.0, "desk": 6.0}
    summaries = [
        plans.Plan("kelaniya", name, "shares", 5.0, 1, capacities).run()
        for name in ("ordinary", "peak-3")
    ]
    assert results.table(summaries).count("\n") == 3
    results.write(tmp_path / "runs.json", summaries)
    plots.goodput(tmp_path / "goodput.png", "kelaniya", summaries)
    assert all(path.stat().st_size for path in tmp_path.iterdir())
