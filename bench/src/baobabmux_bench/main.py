"""Runs the benchmark: `python -m baobabmux_bench.main`."""

import concurrent.futures
import pathlib

from absl import app, flags

from baobabmux_bench import (
    bounds,
    plans,
    plots,
    registry,
    results,
    scenarios,
)

_DEPLOYMENTS = flags.DEFINE_list(
    "deployments", ["kelaniya", "lone-star"], "Deployments to run."
)
_SCENARIOS = flags.DEFINE_list(
    "scenarios", [s.name for s in scenarios.ALL], "Scenarios to run."
)
_POLICIES = flags.DEFINE_list(
    "policies", list(registry.COMPARED), "Policies to run."
)
_SECONDS = flags.DEFINE_float(
    "seconds", 300.0, "Virtual seconds of arrivals in each run."
)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of all draws.")
_WORKERS = flags.DEFINE_integer("workers", 4, "Processes that run in parallel.")
_OUT = flags.DEFINE_string("out", "out", "Directory of JSON and plots.")


def main(_) -> None:
    """Runs all plans, prints the tables, and writes JSON files and plots."""
    with concurrent.futures.ProcessPoolExecutor(_WORKERS.value) as pool:
        for deployment in _DEPLOYMENTS.value:
            _run(deployment, pool)


def _run(deployment: str, pool: concurrent.futures.Executor) -> None:
    capacities = plans.measure_capacities(deployment, _SEED.value)
    # Only the target of this scenario compares runs of the top tier alone.
    top_tier_scenario = scenarios.HIGH_PEAK.name
    cases = [(name, False) for name in _SCENARIOS.value]
    cases += (
        [(top_tier_scenario, True)]
        if top_tier_scenario in _SCENARIOS.value
        else []
    )
    run_plans = [
        plans.Plan(
            deployment,
            scenario,
            policy,
            _SECONDS.value,
            _SEED.value,
            capacities,
            alone,
        )
        for scenario, alone in cases
        for policy in _POLICIES.value
    ]
    summaries = list(pool.map(plans.Plan.run, run_plans))
    mixed_count = len(_SCENARIOS.value) * len(_POLICIES.value)
    mixed, alone = summaries[:mixed_count], summaries[mixed_count:]
    rates = ", ".join(f"{name} {r:.2f}" for name, r in capacities.items())
    print(
        f"## {deployment}\n\nCapacity in requests a second: {rates}. "
        f"{_SECONDS.value:g} s of arrivals, seed {_SEED.value}.\n"
    )
    print(results.table(mixed), end="\n\n")
    if alone:
        print(f"Top tier alone:\n\n{results.table(alone)}\n")
    for check in bounds.compare(mixed, alone):
        print(f"- {check}")
    print(flush=True)
    _write(deployment, mixed, alone)


def _write(
    deployment: str,
    mixed: list[results.Summary],
    alone: list[results.Summary],
) -> None:
    out = pathlib.Path(_OUT.value)
    results.write(out / f"{deployment}.json", mixed)
    results.write(out / f"{deployment}-top-tier-alone.json", alone)
    plots.goodput(out / f"{deployment}-goodput.png", deployment, mixed)


if __name__ == "__main__":
    app.run(main)
