"""Tests of requests that are under way while the configuration changes.

Each request must run or be refused before its deadline.
"""

import pathlib
import random

import msgspec
import pytest

from baobabmux_standins import modules

_driver = modules.load(
    pathlib.Path(__file__).with_name("content_ends_test.py"), "races_driver"
)

_TICK_SECONDS = 0.05
_DEADLINE_SECONDS = 3.0
# A refusal that needs no wait takes one tick and the way to the holder.
_AT_ONCE_SECONDS = 0.2


class _Cluster(_driver._Cluster):
    """Cluster whose configuration changes.

    Attributes:
        ended_at: Time at which a request was dispatched or refused.
    """

    def __init__(self, **options):
        self.ended_at = {}
        super().__init__(**options)
        self.declared = next(iter(self.nodes.values())).view.configuration

    def configure(self, nodes=None, **changes):
        configuration = msgspec.structs.replace(self.declared, **changes)
        for name in nodes or self.nodes:
            self.carry_out(
                name, self.nodes[name].configure(configuration, self.now)
            )
        self.deliver_all()

    def tick(self):
        self.advance(_TICK_SECONDS)
        self.step_all()
        self.deliver_all()
        for request in self.holder_of:
            if request in self.running or request in self.refusals:
                self.ended_at.setdefault(request, self.now)

    def node_of(self, is_owner):
        """Returns the number of a node that owns the group, or does not."""
        owner = self.members.owner("drafting@col-a")
        return next(
            number
            for number, name in enumerate(self.nodes)
            if (name == owner) == is_owner
        )

    def change(self, kind, request):
        endpoints = dict(self.declared.endpoints)
        match kind:
            case "service removed":
                self.configure(services={}, endpoints={}, routes={})
            case "endpoints removed":
                self.configure(endpoints={})
            case "granted endpoint removed":
                effect = self.pending.get(request)
                endpoints.pop(effect.endpoint if effect else "e0-col-a")
                self.configure(endpoints=endpoints)
            case "route removed":
                self.configure(routes={})


@pytest.mark.parametrize("is_owner", [True, False])
@pytest.mark.parametrize("streams", [True, False])
@pytest.mark.parametrize("phase", ["queued", "granted", "running", "broken"])
@pytest.mark.parametrize(
    "kind",
    [
        "service removed",
        "endpoints removed",
        "granted endpoint removed",
        "route removed",
    ],
)
def test_request_runs_or_is_refused_in_time(kind, phase, streams, is_owner):
    """Guards against a request that a change of the configuration strands.

    It then got neither an answer nor a refusal before its deadline.
    """
    cluster = _Cluster(endpoints=2)
    node = cluster.node_of(is_owner)
    submitted = cluster.now
    fields = {
        "deadline": submitted + _DEADLINE_SECONDS,
        "first_by": submitted + 3.75 if streams else None,
    }
    if phase == "queued":
        for number in range(4):
            cluster.submit(f"before{number}", node)
        cluster.deliver_all()
        cluster.step_all()
    cluster.submit("r", node, **fields)
    cluster.deliver_all()
    if phase in ("running", "broken"):
        cluster.step_all()
    cluster.change(kind, "r")
    if phase == "broken":
        cluster.break_run("r")
    while cluster.now < submitted + _DEADLINE_SECONDS - _TICK_SECONDS:
        cluster.tick()
    assert ("r" in cluster.running) != ("r" in cluster.refusals)
    assert phase != "running" or "r" in cluster.running
    if kind == "service removed" and phase != "running":
        assert cluster.ended_at["r"] - submitted <= _AT_ONCE_SECONDS
        assert cluster.refusal("r") == "no_endpoint"


@pytest.mark.parametrize("seed", range(20))
def test_requests_run_or_are_refused_in_time_beside_many_changes(seed):
    """Guards against requests without an end beside several changes.

    Nodes learn of each change at different times; the owner falls silent for
    up to a second, and endpoints turn nodes away for a while.
    """
    generator = random.Random(seed)
    cluster = _Cluster(endpoints=4, nodes=4)
    names = list(cluster.nodes)
    deadlines = {}
    silences = []
    wakes_at = 0.0
    for step in range(400):
        if step < 330 and generator.random() < 0.6:
            request = f"r{step}"
            limit = generator.uniform(0.3, 4.0)
            deadlines[request] = cluster.now + limit
            cluster.submit(
                request,
                generator.randrange(len(names)),
                deadline=cluster.now + limit,
                first_by=generator.choice([None, cluster.now + 3.75]),
            )
        if generator.random() < 0.1:
            listed = dict(cluster.declared.endpoints)
            for name in list(listed):
                if generator.random() < 0.3:
                    del listed[name]
            changes = generator.choice(
                [
                    {},
                    {"endpoints": listed},
                    {"endpoints": {}},
                    {"services": {}, "endpoints": {}, "routes": {}},
                    {"routes": {}},
                ]
            )
            some = generator.sample(names, generator.randint(1, len(names)))
            cluster.configure(some, **changes)
        if generator.random() < 0.05:
            cluster.nodes[generator.choice(names)].pause_observed(
                generator.choice(list(cluster.declared.endpoints)),
                generator.uniform(0.5, 6.0),
                cluster.now,
            )
        if not cluster.paused and generator.random() < 0.02:
            owner = cluster.members.owner("drafting@col-a")
            cluster.paused.add(owner)
            wakes_at = cluster.now + generator.uniform(0.2, 1.0)
            silences.append((owner, cluster.now, wakes_at))
        if cluster.now >= wakes_at:
            cluster.paused.clear()
        cluster.tick()
        for request in list(cluster.running):
            if generator.random() < 0.1:
                cluster.finish(request)
    # A silent node cannot refuse the requests that it holds itself.
    late = [
        request
        for request, deadline in deadlines.items()
        if cluster.ended_at.get(request, cluster.now) > deadline + 1e-6
        and not any(
            holder == cluster.holder_of[request]
            and since <= deadline <= until + _AT_ONCE_SECONDS
            for holder, since, until in silences
        )
    ]
    assert not late
