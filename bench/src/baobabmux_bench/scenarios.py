"""Scenarios: load relative to capacity, and the faults during a run."""

import msgspec

from baobabmux_bench import deployments, engines, loads
from baobabmux_core import ids, rendezvous

# Length of the closed-loop run that measures capacity, after a warm-up in
# which batches and caches fill.
_CAPACITY_SECONDS = 600.0
_WARM_UP_SECONDS = 120.0
_SAMPLE_REQUESTS = 20_000


class Scenario(msgspec.Struct, frozen=True):
    """One situation.

    Attributes:
        name: Its name.
        level: Crest of the load relative to capacity; None for the
            deployment's ordinary day.
        slow_factor: Speed of the slow engine relative to its normal speed.
        kill_owner: Whether the owner of the first engine's group dies half
            way.
        report_lag_seconds: Age of load reports on arrival.
    """

    name: str
    level: float | None
    slow_factor: float = 1.0
    kill_owner: bool = False
    report_lag_seconds: float = 0.5

    def crest(self, deployment: deployments.Deployment) -> float:
        """Returns the crest of the load relative to capacity."""
        return deployment.ordinary_level if self.level is None else self.level

    def shape(self, deployment: deployments.Deployment) -> loads.Shape:
        """Returns how arrivals vary."""
        return deployment.ordinary if self.level is None else deployment.peak


ORDINARY = Scenario("ordinary", None)
FULL = Scenario("full", 1.0)
PEAK = Scenario("peak-1.5", 1.5)
HIGH_PEAK = Scenario("peak-3", 3.0)
SLOW_ENGINE = Scenario("slow-engine", 1.0, slow_factor=0.2)
OWNER_KILLED = Scenario("owner-killed", 1.5, kill_owner=True)
STALE_REPORTS = Scenario("stale-reports", 1.5, report_lag_seconds=10.0)

ALL = (
    ORDINARY,
    FULL,
    PEAK,
    HIGH_PEAK,
    SLOW_ENGINE,
    OWNER_KILLED,
    STALE_REPORTS,
)


def by_name(name: str) -> Scenario:
    """Returns the scenario of a name.

    Raises:
        KeyError: There is no such scenario.
    """
    return {scenario.name: scenario for scenario in ALL}[name]


def slow_endpoint(deployment: deployments.Deployment) -> ids.EndpointId:
    """Returns the engine that becomes slow, the first of the fast ones."""
    return deployment.endpoints(deployment.engine_services[0])[0]


def owner(deployment: deployments.Deployment) -> ids.NodeId:
    """Returns the node that owns the first engine's group at the start."""
    replica = deployment.replicas[slow_endpoint(deployment)]
    centre = replica.declared.data_centre
    group = ids.group_id(replica.declared.service, centre)
    members = [n for n, c in deployment.nodes.items() if c == centre]
    return rendezvous.rank(group, members)[0]


def capacity(
    deployment: deployments.Deployment, service: ids.ServiceName, seed: int
) -> float:
    """Measures the requests a second that a service can sustain.

    Every endpoint is kept at its full batch with the mix of the service in
    random order; no policy is involved.

    Args:
        deployment: Where the service runs.
        service: The service.
        seed: Seed of the requests drawn.

    Returns:
        Completed requests a second, in virtual time.
    """
    kinds = tuple(k for k in deployment.kinds if k.service == service)
    pool = iter(
        loads.sample(kinds, deployment.workspaces, _SAMPLE_REQUESTS, seed)
    )
    finished = 0
    for name in deployment.endpoints(service):
        replica = deployment.replicas[name]
        engine = engines.Engine(
            name,
            replica.declared,
            replica.factor,
            service in deployment.engine_services,
        )
        for _ in range(replica.declared.max_requests):
            engine.submit(_job(next(pool)), 0.0)
        while (now := engine.next_change() or 0.0) < _CAPACITY_SECONDS:
            for change in engine.advance(now):
                if change.step is engines.Step.FINISHED:
                    finished += now >= _WARM_UP_SECONDS
                    engine.submit(_job(next(pool)), now)
    return finished / (_CAPACITY_SECONDS - _WARM_UP_SECONDS)


def requests(
    deployment: deployments.Deployment,
    scenario: Scenario,
    capacities: dict[ids.ServiceName, float],
    seconds: float,
    seed: int,
) -> list[loads.Request]:
    """Draws the requests of a run of a scenario."""
    crest = scenario.crest(deployment)
    return loads.generate(
        deployment.kinds,
        deployment.workspaces,
        {service: crest * rate for service, rate in capacities.items()},
        scenario.shape(deployment),
        seconds,
        seed,
    )


def _job(request: loads.Request) -> engines.Job:
    return engines.Job(
        request.request,
        request.prompt_tokens,
        request.output_tokens,
        request.prefixes,
    )
