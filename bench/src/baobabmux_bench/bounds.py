"""Bounds from the targets of the design page, compared with runs."""

import msgspec

from baobabmux_bench import nodes, registry, results, scenarios

# Bounds follow from the requirements, never from measured figures.
_TOP_TIER_SHARE = 0.99
_WASTED_SHARE = 0.5
_SLOW_ENGINE_LOSS = 0.02
_REQUEST_BYTES = 450.0
# Bytes a second of one node at the target size, heartbeats included.
_NODE_BYTES = 4096.0

_PEAKS = (scenarios.PEAK.name, scenarios.HIGH_PEAK.name)


class Check(msgspec.Struct, frozen=True):
    """One target for one deployment.

    Attributes:
        name: Name of the target.
        scenario: Scenario that it looks at.
        figure: What was measured.
        bound: The bound.
        at_least: Whether the bound is a lower one.
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
    mixed: list[results.Summary], alone: list[results.Summary]
) -> list[Check]:
    """Compares the runs of one deployment with the targets.

    Args:
        mixed: Runs with all tiers; targets whose runs are missing are left
            out.
        alone: Runs of the same load with only the top tier's requests.

    Returns:
        One check for each target and scenario.
    """
    own = {s.scenario: s for s in mixed if s.policy == nodes.Grants.name}
    checks = []
    for scenario, summary in own.items():
        checks += _limits(scenario, summary)
    checks += _goodput(own, mixed, alone)
    for scenario in _PEAKS:
        baselines = [
            s.wasted_tokens()
            for s in mixed
            if s.scenario == scenario and s.policy in registry.BASELINES
        ]
        if scenario in own and baselines:
            bound = _WASTED_SHARE * min(baselines)
            figure = own[scenario].wasted_tokens()
            checks.append(
                Check("wasted prefill", scenario, figure, bound, False)
            )
    return checks


def _limits(scenario: str, summary: results.Summary) -> list[Check]:
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
            _REQUEST_BYTES,
            False,
        ),
        Check(
            "control bytes a second of a node",
            scenario,
            summary.node_bytes(),
            _NODE_BYTES,
            False,
        ),
    ]


def _goodput(
    own: dict[str, results.Summary],
    mixed: list[results.Summary],
    alone: list[results.Summary],
) -> list[Check]:
    checks = []
    ordinary = own.get(scenarios.ORDINARY.name)
    if ordinary is not None:
        lowest = min(tier.goodput() for tier in ordinary.tiers)
        checks.append(Check("all tiers", ordinary.scenario, lowest, 1.0, True))
    peak = own.get(scenarios.HIGH_PEAK.name)
    possible = [
        s.tiers[0].goodput()
        for s in alone
        if s.scenario == scenarios.HIGH_PEAK.name
    ]
    if peak is not None and possible:
        checks.append(
            Check(
                "top tier",
                peak.scenario,
                peak.tiers[0].goodput(),
                # What any policy reaches counts as possible.
                _TOP_TIER_SHARE * max(possible),
                True,
            )
        )
    slow = own.get(scenarios.SLOW_ENGINE.name)
    # The ideal is what any policy reaches with all engines at full speed.
    healthy = [
        s.tiers[0].goodput() for s in mixed if s.scenario == scenarios.FULL.name
    ]
    if slow is not None and healthy:
        bound = (1 - _SLOW_ENGINE_LOSS) * max(healthy)
        figure = slow.tiers[0].goodput()
        checks.append(Check("top tier", slow.scenario, figure, bound, True))
    return checks
