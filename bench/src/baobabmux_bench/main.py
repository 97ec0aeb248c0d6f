"""Runs the benchmark: `python -m baobabmux_bench.main`."""

import concurrent.futures
import pathlib

from absl import app, flags

from baobabmux_bench import plots, policies, results, runs, scenarios

_DEPLOYMENTS = flags.DEFINE_list(
    "deployments", ["kelaniya", "lone-star"], "Deployments to run."
)
_SCENARIOS = flags.DEFINE_list(
    "scenarios", [s.name for s in scenarios.ALL], "Scenarios to run."
)
_POLICIES = flags.DEFINE_list("policies", policies.names(), "Policies to run.")
_SECONDS = flags.DEFINE_float(
    "seconds", 300.0, "Virtual seconds of arrivals in each run."
)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of all draws.")
_WORKERS = flags.DEFINE_integer("workers", 4, "Processes that run in parallel.")
_OUT = flags.DEFINE_string("out", "out", "Directory of JSON and plots.")


def main(_) -> None:
    """Runs all plans, prints the tables, writes JSON and plots."""
    out = pathlib.Path(_OUT.value)
    with concurrent.futures.ProcessPoolExecutor(_WORKERS.value) as pool:
        for deployment in _DEPLOYMENTS.value:
            _run(deployment, out, pool)


def _run(
    deployment: str,
    out: pathlib.Path,
    pool: concurrent.futures.Executor,
) -> None:
    capacities = runs.measure_capacities(deployment, _SEED.value)
    plans = [
        runs.Plan(
            deployment,
            scenario,
            policy,
            _SECONDS.value,
            _SEED.value,
            capacities,
            alone,
        )
        for alone in (False, True)
        for scenario in _SCENARIOS.value
        for policy in _POLICIES.value
    ]
    summaries = list(pool.map(runs.Plan.run, plans))
    mixed, alone = summaries[: len(plans) // 2], summaries[len(plans) // 2 :]
    rates = ", ".join(f"{name} {r:.2f}" for name, r in capacities.items())
    print(
        f"## {deployment}\n\nCapacity in requests a second: {rates}. "
        f"{_SECONDS.value:g} s of arrivals, seed {_SEED.value}.\n"
    )
    print(results.table(mixed), end="\n\n")
    print("Top tier alone:\n")
    print(results.table(alone), end="\n\n", flush=True)
    results.write(out / f"{deployment}.json", mixed)
    results.write(out / f"{deployment}-top-tier-alone.json", alone)
    plots.goodput(out / f"{deployment}-goodput.png", deployment, mixed)


if __name__ == "__main__":
    app.run(main)
