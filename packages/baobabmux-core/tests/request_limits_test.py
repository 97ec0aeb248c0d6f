"""Tests of limits that endpoints name for the requests that they take."""

import collections
import pathlib

import pytest

from baobabmux_core import ids, messages, scheduler
from baobabmux_standins import modules

_GROUP = "drafting@col-a"
_SLOTS = 8
_STEP_SECONDS = 0.05
_SERVICE_SECONDS = 0.2
# Promise of the platform: from this time after an endpoint first named its
# limit, it gets at most one and a half times the limit and five requests in
# four seconds, from all nodes together.
_STABLE_SECONDS = 3.0
_WINDOW_SECONDS = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5

_driver = modules.load(
    pathlib.Path(__file__).with_name("scheduler_test.py"),
    "request_limits_driver",
)


class _Side(_driver._Members):
    """Membership of one side of a cut."""

    def __init__(self, centres, nodes):
        super().__init__(centres)
        self._nodes = nodes

    def node_count(self):
        return self._nodes


class _Cluster(_driver.Cluster):
    """Cluster whose endpoints name limits in their answers.

    Attributes:
        limits: Requests a second that endpoints name, by endpoint.
        arrivals: Times at which requests arrived, by endpoint.
    """

    def __init__(self, **options):
        self.limits = {}
        self.arrivals = collections.defaultdict(list)
        self._ends = {}
        self._next_request = 0
        self._debt = 0.0
        self.side_of = {}
        super().__init__(isolates_suspects=False, **options)
        nodes = ("nodes",)
        declared = {k: v for k, v in options.items() if k not in nodes}
        self.configuration = _driver._configuration(
            isolates_suspects=False, **declared
        )

    def step(self, request):
        super().step(request)
        endpoint = self.running.get(request)
        if endpoint is None or request in self._ends:
            return
        self.arrivals[endpoint].append(self.now)
        self._ends[request] = self.now + _SERVICE_SECONDS
        self.answer(endpoint, self.holder_of[request], self.now)

    def answer(self, endpoint, node, sent_at):
        """Lets a node receive the head of an endpoint's answer."""
        rate = self.limits.get(endpoint)
        emitted = self.nodes[node].limit_observed(
            endpoint, rate, sent_at, self.now
        )
        self.carry_out(node, emitted)

    def run(self, seconds, per_second, **fields):
        """Submits requests to the live nodes in turn at a constant rate."""
        end = self.now + seconds
        while self.now < end:
            self.now += _STEP_SECONDS
            self._debt += per_second * _STEP_SECONDS
            while self._debt >= 1.0:
                self._debt -= 1.0
                self._submit_next(fields)
            for node, core in self.nodes.items():
                if node not in self.paused:
                    self.carry_out(node, core.tick(self.now))
            self._exchange()
            for request, due in list(self._ends.items()):
                if due <= self.now and request in self.running:
                    del self._ends[request]
                    if self.holder_of[request] in self.nodes:
                        self.finish(request)
            self._exchange()

    def _submit_next(self, fields):
        live = [
            index
            for index, node in enumerate(self.nodes)
            if node not in self.paused
        ]
        node = live[self._next_request % len(live)]
        deadline = fields.get("deadline_seconds", 20.0)
        self.submit(
            f"r{self._next_request}",
            node,
            deadline=self.now + deadline,
            first_by=self.now + min(deadline, 2.0),
            max_attempts=2,
        )
        self._next_request += 1

    def _exchange(self):
        for _ in range(20):
            self.deliver_all()
            for request in list(self.pending):
                if self.holder_of[request] not in self.nodes:
                    del self.pending[request]
            if not self.pending:
                return
            self.step_all()
        raise AssertionError("requests are dispatched again and again")

    def limit(self, rate, *names):
        """Lets endpoints name a limit in all later answers."""
        for name in names:
            self.limits[name] = rate

    def most_arrivals(self, name, since=0.0):
        """Returns the most requests that an endpoint got in four seconds."""
        times = [t for t in self.arrivals[name] if t >= since]
        return max(
            (sum(a <= t < a + _WINDOW_SECONDS for t in times) for a in times),
            default=0,
        )

    def owner(self):
        return self.members.owner(_GROUP)

    def kill(self, node):
        del self.nodes[node]
        self.members.centres["col-a"].remove(node)
        self.members_changed()

    def start_again(self, node):
        """Replaces a node by a new process of the same name."""
        core = scheduler.NodeScheduler(node, "col-a", self.members, 1)
        self.nodes[node] = core
        for request, holder in self.holder_of.items():
            if holder == node:
                self.pending.pop(request, None)
                self.running.pop(request, None)
        self.carry_out(node, core.configure(self.configuration, self.now))
        for other in self.nodes.values():
            if other is not core:
                emitted = other.node_restarted(node, self.now)
                self.carry_out(other.node, emitted)

    def cut(self, *sides):
        """Cuts the nodes into sides that do not reach each other."""
        total = len(self.nodes)
        for side in sides:
            members = _Side({"col-a": list(side)}, total)
            for node in side:
                self.nodes[node].view.members = members
                self.side_of[node] = members
        self.members_changed()

    def deliver(self, index=0):
        sender, to, _ = self.network[index]
        if self.side_of.get(sender) is not self.side_of.get(to):
            del self.network[index]
            return
        super().deliver(index)

    def served(self):
        return sum(len(times) for times in self.arrivals.values())


def _allowed(rate):
    return _LIMIT_FACTOR * rate * _WINDOW_SECONDS + _LIMIT_SLACK


@pytest.fixture(autouse=True)
def many_slots(monkeypatch):
    monkeypatch.setattr(_driver, "_MAX_REQUESTS", _SLOTS)


@pytest.mark.parametrize("rate", [0.3, 3.3, 8.0])
def test_all_nodes_together_keep_a_limit(rate):
    """Guards against nodes that ignore an endpoint's limit on requests."""
    cluster = _Cluster(nodes=8, endpoints=4)
    cluster.run(2, 60)
    cluster.limit(rate, "e0-col-a", "e1-col-a")
    since = cluster.now + _STABLE_SECONDS
    cluster.run(20, 60)
    assert cluster.most_arrivals("e0-col-a", since) <= _allowed(rate)
    assert cluster.most_arrivals("e1-col-a", since) <= _allowed(rate)
    # The others have slots for 80 requests a second.
    assert not cluster.refusals


def test_limit_is_kept_by_a_new_owner():
    """Guards against a limit that is lost with the owner of the group.

    Two owners end in a row, and a node starts again and becomes the owner.
    """
    cluster = _Cluster(nodes=5, endpoints=2)
    cluster.limit(1.0, "e0-col-a")
    cluster.run(_STABLE_SECONDS, 30)
    since = cluster.now
    for _ in range(2):
        cluster.kill(cluster.owner())
        cluster.run(3, 30)
    assert cluster.most_arrivals("e0-col-a", since) <= _allowed(1.0)


def test_limit_is_kept_after_the_owner_starts_again():
    """Guards against a limit that a restarted owner does not know."""
    cluster = _Cluster(nodes=4, endpoints=2)
    cluster.limit(1.0, "e0-col-a")
    cluster.run(_STABLE_SECONDS, 30)
    since = cluster.now
    for _ in range(3):
        cluster.start_again(cluster.owner())
        cluster.run(1.5, 30)
    assert cluster.most_arrivals("e0-col-a", since) <= _allowed(1.0)


@pytest.mark.parametrize("rate", [0.5, 6.0])
def test_sides_of_a_cut_share_a_limit(rate):
    """Guards against one whole limit for each side of a cut."""
    cluster = _Cluster(nodes=8, endpoints=2)
    cluster.limit(rate, "e0-col-a", "e1-col-a")
    cluster.run(_STABLE_SECONDS, 30)
    since = cluster.now
    names = list(cluster.nodes)
    cluster.cut(names[:1], names[1:3], names[3:])
    cluster.run(10, 30)
    cluster.cut(names)
    cluster.run(4, 30)
    assert cluster.most_arrivals("e0-col-a", since) <= _allowed(rate)


def test_silent_owner_does_not_lift_a_limit():
    """Guards against nodes that each start requests from their own share."""
    cluster = _Cluster(nodes=8, endpoints=2)
    cluster.limit(0.5, "e0-col-a")
    cluster.run(_STABLE_SECONDS, 20)
    since = cluster.now
    for _ in range(3):
        cluster.paused.add(cluster.owner())
        cluster.run(2, 20)
        cluster.paused.clear()
        cluster.run(1, 20)
    assert cluster.most_arrivals("e0-col-a", since) <= _allowed(0.5)
    assert cluster.most_arrivals("e1-col-a", since) > 40


def test_limit_is_kept_when_reports_are_lost():
    """Guards against an owner that never learns of a limit."""
    cluster = _Cluster(nodes=6, endpoints=2)
    cluster.lost.add("EndpointLimits")
    cluster.limit(2.0, "e0-col-a")
    cluster.run(0.2, 30)
    cluster.lost.clear()
    cluster.run(_STABLE_SECONDS - 0.2, 30)
    since = cluster.now
    cluster.run(8, 30)
    assert cluster.most_arrivals("e0-col-a", since) <= _allowed(2.0)


def test_limit_that_ends_is_lifted():
    """Guards against a limit that outlives its need.

    An answer that was under way when the limit was named does not end it.
    """
    cluster = _Cluster(nodes=3, endpoints=1)
    endpoint = "e0-col-a"
    sent_at = cluster.now
    cluster.run(1, 20)
    cluster.limit(1.0, "e0-col-a")
    cluster.run(4, 20)
    node = next(iter(cluster.nodes))
    cluster.limits.clear()
    cluster.answer(endpoint, node, sent_at)
    limited = [core.request_limits() for core in cluster.nodes.values()]
    assert all(endpoint in one for one in limited)
    cluster.run(4, 20)
    assert not any(core.request_limits() for core in cluster.nodes.values())
    since = cluster.now
    cluster.run(4, 20)
    assert cluster.most_arrivals("e0-col-a", since) >= 75


def test_limit_that_changes_is_followed():
    """Guards against an owner that keeps the first value of a limit."""
    cluster = _Cluster(nodes=5, endpoints=2)
    cluster.limit(8.0, "e0-col-a", "e1-col-a")
    cluster.run(_STABLE_SECONDS, 40)
    cluster.limit(1.0, "e0-col-a", "e1-col-a")
    # Requests that the earlier limit allowed leave the window.
    cluster.run(_WINDOW_SECONDS, 40)
    since = cluster.now
    cluster.run(8, 40)
    assert cluster.most_arrivals("e0-col-a", since) <= _allowed(1.0)
    cluster.limit(6.0, "e0-col-a", "e1-col-a")
    cluster.run(3, 40)
    since = cluster.now
    cluster.run(8, 40)
    assert 20 <= cluster.most_arrivals("e0-col-a", since) <= _allowed(6.0)


def test_requests_wait_for_limited_endpoints_or_are_refused_at_once():
    """Guards against waits that ignore limits if all endpoints have one.

    Requests that the limits leave no room for are told at once when to come
    back, and none is given up after a wait.
    """
    cluster = _Cluster(nodes=3, endpoints=3)
    cluster.limit(2.0, "e0-col-a", "e1-col-a", "e2-col-a")
    cluster.run(_STABLE_SECONDS, 20)
    served = cluster.served()
    refused = len(cluster.refusals)
    cluster.run(20, 20)
    assert cluster.served() - served >= 0.9 * 6.0 * 20
    late = list(cluster.refusals.values())[refused:]
    assert late
    assert all(refusal.retry_after > 0.0 for refusal in late)


def test_endpoint_that_starts_again_keeps_its_limit_until_it_answers():
    """Guards against a burst at an endpoint that returns under its address."""
    cluster = _Cluster(nodes=3, endpoints=1)
    cluster.limit(1.0, "e0-col-a")
    cluster.run(2, 20)
    before = cluster.configuration.endpoints["e0-col-a"]
    returned = ids.EndpointId("e0-again")
    cluster.configuration.endpoints.clear()
    cluster.configuration.endpoints[returned] = before
    for node, core in cluster.nodes.items():
        emitted = core.configure(cluster.configuration, cluster.now)
        cluster.carry_out(node, emitted)
    assert all(
        core.request_limits()[returned].rate == 1.0
        for core in cluster.nodes.values()
    )
    cluster.run(4, 20)
    assert not any(core.request_limits() for core in cluster.nodes.values())


def test_reports_of_limits_are_bounded():
    """Guards against control traffic that grows with the limited endpoints.

    The bound of a node is 4 KB a second for everything.
    """
    cluster = _Cluster(nodes=10, endpoints=300)
    cluster.deliver_all()
    node, core = next(iter(cluster.nodes.items()))
    for name in cluster.configuration.endpoints:
        core.limit_observed(name, 1.25, cluster.now, cluster.now)
    cluster.network.clear()
    for _ in range(10):
        cluster.now += 1.0
        cluster.carry_out(node, core.tick(cluster.now))
    reports = [
        message
        for _, _, message in cluster.network
        if isinstance(message, messages.EndpointLimits)
    ]
    frame = messages.Frame(node, 1, 1, 1, tuple(reports))
    assert len(messages.encode_frame(frame)) <= 10 * 4_000
