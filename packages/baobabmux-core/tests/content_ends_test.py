"""Tests of contents under which endpoints end, without isolated suspects.

These are the declarations of a platform whose endpoints end for many reasons,
so that a request that was running at one is not run alone from then on.
"""

import importlib.util
import pathlib

from baobabmux_core import effects, states

_GROUP = "drafting@col-a"
# After this time all nodes know of an end; a content that has ended three
# endpoints may then reach no more than three others.
_STABLE_SECONDS = 3.0
_MAX_ENDS = 3
_MAX_LATE_ARRIVALS = 3
_HARMFUL = 666


def _load_cluster_module():
    """Loads the module with the cluster; the tests are not a package."""
    path = pathlib.Path(__file__).with_name("scheduler_test.py")
    spec = importlib.util.spec_from_file_location("content_ends_driver", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class _Cluster(_load_cluster_module().Cluster):
    """Cluster whose endpoints end under harmful contents.

    Attributes:
        harmful: Contents that end each endpoint that runs them.
        arrivals: Times at which a harmful content arrived at an endpoint.
        ends: Times at which an endpoint ended.
    """

    def __init__(self, endpoints=6, **options):
        self.harmful = {_HARMFUL}
        self.contents = {}
        self.arrivals = []
        self.ends = []
        super().__init__(
            endpoints=endpoints, isolates_suspects=False, **options
        )

    def submit(self, request, node=0, **fields):
        values = {
            "content": len(self.holder_of),
            "max_attempts": 2,
            "resumable": True,
            "first_by": self.now + 20.0,
            **fields,
        }
        self.contents[request] = values["content"]
        super().submit(request, node, **values)

    def send(self, request, node=0, **fields):
        """Submits a request and runs it until nothing more happens."""
        self.submit(request, node, **fields)
        self.run()

    def run(self):
        for _ in range(100):
            self.deliver_all()
            if not self.pending:
                return
            self.step(next(iter(self.pending)))
            for request, endpoint in list(self.running.items()):
                if self.contents[request] in self.harmful:
                    self.arrivals.append(self.now)
                    self.end_endpoint(endpoint)
        raise AssertionError("a request is dispatched again and again")

    def end_endpoint(self, endpoint):
        """Ends an endpoint: its runs break, and it refuses connections."""
        self.ends.append(self.now)
        broken = [r for r, e in self.running.items() if e == endpoint]
        for request in broken:
            node = self.holder_of[request]
            self.break_run(request)
            self.carry_out(
                node, self.nodes[node].endpoint_ended(endpoint, self.now)
            )

    def break_run(self, request):
        node = self.holder_of[request]
        del self.running[request]
        outcome = states.Outcome.BROKEN
        if not self.nodes[node].may_repeat(request, outcome):
            self.finals[request].append(outcome.value)
        emitted = self.nodes[node].finished(request, outcome, self.now)
        self.carry_out(node, emitted)

    def complete(self, request):
        self.finish(request)
        self.run()

    def send_until_it_ended(self, endpoints, content=_HARMFUL, gap=0.5):
        """Sends a content until that many endpoints have ended."""
        before = len(self.ends)
        for number in range(20):
            self.send(
                f"u{content}-{number}", number % len(self.nodes),
                content=content,
            )  # fmt: skip
            if len(self.ends) - before >= endpoints:
                return
            self.advance(gap)
            self.run()
        raise AssertionError(f"only {len(self.ends) - before} endpoints ended")

    def late_arrivals(self):
        third = self.ends[_MAX_ENDS - 1]
        return [at for at in self.arrivals if at > third + _STABLE_SECONDS]

    def send_often(self, name, count=20, gap=0.5, content=_HARMFUL):
        for number in range(count):
            self.send(
                f"{name}-{number}", number % len(self.nodes), content=content
            )
            self.advance(gap)
            self.run()

    def refusal(self, request):
        effect = self.refusals.get(request)
        return effect.kind.value if isinstance(effect, effects.Refuse) else None


def test_content_that_ended_three_endpoints_is_refused_everywhere():
    """Guards against a request that ends one endpoint after another.

    Its caller sends it to all nodes in turn, under a new identifier each time.
    """
    cluster = _Cluster()
    cluster.send_often("r")
    assert len(cluster.ends) >= _MAX_ENDS
    assert len(cluster.late_arrivals()) <= _MAX_LATE_ARRIVALS
    assert {cluster.refusal(f"r-{n}") for n in range(15, 20)} == {"quarantined"}
