"""Plans: descriptions of runs that are sent to worker processes."""

import msgspec

from baobabmux_bench import deployments, registry, results, runs, scenarios
from baobabmux_core import ids


class Plan(msgspec.Struct, frozen=True):
    """Parameters of one run.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        seconds: Length of the period of arrivals.
        seed: Seed of all draws.
        capacities: Measured capacity of each service.
        top_tier_alone: Whether only the top tier's requests arrive.
    """

    deployment: str
    scenario: str
    policy: str
    seconds: float
    seed: int
    capacities: dict[ids.ServiceName, float]
    top_tier_alone: bool = False

    def run(self) -> results.Summary:
        """Runs the plan and returns the summary."""
        deployment = deployments.by_name(self.deployment)
        scenario = scenarios.by_name(self.scenario)
        requests = scenarios.draw_requests(
            deployment, scenario, self.capacities, self.seconds, self.seed
        )
        if self.top_tier_alone:
            requests = [r for r in requests if r.kind.tier == 0]
        return runs.Run(
            deployment,
            scenario,
            registry.create(self.policy),
            requests,
            self.seconds,
            self.seed,
        ).execute()


def measure_capacities(
    deployment: str, seed: int
) -> dict[ids.ServiceName, float]:
    """Returns the capacity of each service of a deployment."""
    measured = deployments.by_name(deployment)
    return {
        service: scenarios.measure_capacity(measured, service, seed)
        for service in measured.services()
    }
