"""Compares the results of runs with the targets of the design page."""

import msgspec

from baobabmux_bench import nodes, registry, results, scenarios

# Bounds follow from the requirements and not from measured results.
_MIN_TOP_TIER_SHARE = 0.99
_MAX_WASTED_SHARE = 0.5
_MAX_SLOW_ENGINE_LOSS = 0.02
_MAX_BYTES_PER_REQUEST = 450.0
# Control bytes a second of one node at the target size, with heartbeats.
_MAX_NODE_BYTES_PER_SECOND = 4096.0

_PEAKS = (scenarios.PEAK.name, scenarios.HIGH_PEAK.name)


class Check(msgspec.Struct, frozen=True):
    """One target for one deployment.

    Attributes:
        name: Name of the target.
        scenario: Scenario of the run.
        figure: Measured value.
        bound: Bound on the value.
        at_least: Whether the bound is a minimum rather than a maximum.
    """

    name: str
    scenario: str
    figure: float
    bound: float
    at_least: bool

    def met(self) -> bool:
        """Returns whether the target is reached."""
        if self.at_least:
            return self.figure >= self.bound
        return self.figure <= self.bound

    def __str__(self) -> str:
        sign = ">=" if self.at_least else "<="
        verdict = "met" if self.met() else "MISSED"
        return (
            f"{verdict}: {self.name}, {self.scenario}: "
            f"{self.figure:.4g} {sign} {self.bound:.4g}"
        )


def compare(
    mixed: list[results.Summary], top_tier_only: list[results.Summary]
) -> list[Check]:
    """Compares the runs of one deployment with the targets.

    Args:
        mixed: Runs with all tiers; a target without its runs is skipped.
        top_tier_only: Runs of the same load with only the top tier's
            requests.

    Returns:
        One check for each target and scenario.
    """
    scheduler_runs = {
        s.scenario: s for s in mixed if s.policy == nodes.Grants.name
    }
    checks = []
    for scenario, summary in scheduler_runs.items():
        checks += _check_limits(scenario, summary)
    checks += _check_goodput(scheduler_runs, mixed, top_tier_only)
    for scenario in _PEAKS:
        baselines = [
            s.wasted_tokens()
            for s in mixed
            if s.scenario == scenario and s.policy in registry.BASELINES
        ]
        if scenario in scheduler_runs and baselines:
            bound = _MAX_WASTED_SHARE * min(baselines)
            figure = scheduler_runs[scenario].wasted_tokens()
            checks.append(
                Check("wasted prefill", scenario, figure, bound, False)
            )
    return checks


def _check_limits(scenario: str, summary: results.Summary) -> list[Check]:
    return [
        Check("tier inversions", scenario, summary.inversions, 0, False),
        Check(
            "repeated dispatches",
            scenario,
            summary.repeated_dispatches,
            0,
            False,
        ),
        Check(
            "control bytes for a request",
            scenario,
            summary.control_bytes(),
            _MAX_BYTES_PER_REQUEST,
            False,
        ),
        Check(
            "control bytes a second of a node",
            scenario,
            summary.node_bytes(),
            _MAX_NODE_BYTES_PER_SECOND,
            False,
        ),
    ]


def _check_goodput(
    scheduler_runs: dict[str, results.Summary],
    mixed: list[results.Summary],
    top_tier_only: list[results.Summary],
) -> list[Check]:
    checks = []
    ordinary = scheduler_runs.get(scenarios.ORDINARY.name)
    if ordinary is not None:
        lowest = min(tier.goodput() for tier in ordinary.tiers)
        checks.append(Check("all tiers", ordinary.scenario, lowest, 1.0, True))
    peak = scheduler_runs.get(scenarios.HIGH_PEAK.name)
    possible = [
        s.tiers[0].goodput()
        for s in top_tier_only
        if s.scenario == scenarios.HIGH_PEAK.name
    ]
    if peak is not None and possible:
        checks.append(
            Check(
                "top tier",
                peak.scenario,
                peak.tiers[0].goodput(),
                # The best result of any policy counts as possible.
                _MIN_TOP_TIER_SHARE * max(possible),
                True,
            )
        )
    slow = scheduler_runs.get(scenarios.SLOW_ENGINE.name)
    # The reference is the best result of any policy with all engines at full
    # speed.
    healthy = [
        s.tiers[0].goodput() for s in mixed if s.scenario == scenarios.FULL.name
    ]
    if slow is not None and healthy:
        bound = (1 - _MAX_SLOW_ENGINE_LOSS) * max(healthy)
        figure = slow.tiers[0].goodput()
        checks.append(Check("top tier", slow.scenario, figure, bound, True))
    return checks
