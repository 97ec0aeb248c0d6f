"""Scenarios of the benchmark, and the capacity that their load refers to."""

import itertools

import msgspec

from baobabmux_bench import deployments, engines, loads
from baobabmux_core import ids, rendezvous

# Length of the closed-loop run that measures capacity. It includes a warm-up in
# which batches and caches fill, and which is not counted.
_CAPACITY_RUN_SECONDS = 600.0
_WARM_UP_SECONDS = 120.0
_SAMPLE_REQUESTS = 20_000


class Scenario(msgspec.Struct, frozen=True):
    """Load and faults of a run.

    Attributes:
        name: Name of the scenario.
        load_level: Peak load relative to capacity; None for the
            deployment's ordinary day.
        slow_factor: Speed of the slow engine relative to its normal speed.
        kill_owner: Whether the owner of the first engine's group fails
            halfway through the run.
        report_lag_seconds: Age of load reports when they arrive.
    """

    name: str
    load_level: float | None
    slow_factor: float = 1.0
    kill_owner: bool = False
    report_lag_seconds: float = 0.5

    def peak_load(self, deployment: deployments.Deployment) -> float:
        """Returns the peak load relative to capacity."""
        return (
            deployment.ordinary_load
            if self.load_level is None
            else self.load_level
        )

    def shape(self, deployment: deployments.Deployment) -> loads.Shape:
        """Returns how arrivals vary."""
        return (
            deployment.ordinary_shape
            if self.load_level is None
            else deployment.peak_shape
        )


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
    """Returns the scenario with a name.

    Raises:
        KeyError: There is no such scenario.
    """
    return {scenario.name: scenario for scenario in ALL}[name]


def slow_endpoint(deployment: deployments.Deployment) -> ids.EndpointId:
    """Returns the engine that is slowed, the first of the fast ones."""
    return deployment.endpoints(deployment.engine_services[0])[0]


def initial_owner(deployment: deployments.Deployment) -> ids.NodeId:
    """Returns the node that initially owns the first engine's group."""
    replica = deployment.replicas[slow_endpoint(deployment)]
    centre = replica.declared.data_centre
    group = ids.group_id(replica.declared.service, centre)
    members = [n for n, c in deployment.nodes.items() if c == centre]
    return rendezvous.rank(group, members)[0]


def measure_capacity(
    deployment: deployments.Deployment, service: ids.ServiceName, seed: int
) -> float:
    """Measures the requests a second that a service can sustain.

    Every endpoint processes a full batch at all times, with requests of all
    kinds of the service in random order; no policy is involved.

    Args:
        deployment: Deployment that contains the service.
        service: Service to measure.
        seed: Seed of the requests drawn.

    Returns:
        Completed requests a second, in virtual time.
    """
    kinds = tuple(k for k in deployment.kinds if k.service == service)
    samples = itertools.cycle(
        loads.sample(kinds, deployment.workspaces, _SAMPLE_REQUESTS, seed)
    )
    finished = 0
    for name in deployment.endpoints(service):
        replica = deployment.replicas[name]
        engine = engines.Engine(
            name,
            replica.declared,
            replica.speed_factor,
            service in deployment.engine_services,
            deployment.decode_share,
        )
        for _ in range(replica.declared.max_requests):
            engine.submit(_job(next(samples)), 0.0)
        while (now := engine.next_change() or 0.0) < _CAPACITY_RUN_SECONDS:
            for change in engine.advance(now):
                if change.step is engines.Step.FINISHED:
                    finished += now >= _WARM_UP_SECONDS
                    engine.submit(_job(next(samples)), now)
    return finished / (_CAPACITY_RUN_SECONDS - _WARM_UP_SECONDS)


def draw_requests(
    deployment: deployments.Deployment,
    scenario: Scenario,
    capacities: dict[ids.ServiceName, float],
    seconds: float,
    seed: int,
) -> list[loads.Request]:
    """Draws the requests of one run of a scenario."""
    load = scenario.peak_load(deployment)
    return loads.generate(
        deployment.kinds,
        deployment.workspaces,
        {service: load * rate for service, rate in capacities.items()},
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
