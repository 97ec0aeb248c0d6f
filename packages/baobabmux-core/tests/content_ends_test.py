"""Tests of contents under which endpoints end, without isolated suspects.

These are the declarations of a platform whose endpoints end for many reasons,
so that a request that was running at one is not run alone from then on.
"""

import collections
import pathlib
import random

import pytest

from baobabmux_core import (
    effects,
    end_counts,
    end_reports,
    messages,
    quarantine,
    scheduler,
    states,
)
from baobabmux_standins import modules

_GROUP = "drafting@col-a"
# After this time all nodes know of an end; a content that has ended three
# endpoints may then reach no more than three others.
_STABLE_SECONDS = 3.0
_MAX_ENDS = 3
_MAX_LATE_ARRIVALS = 3
_HARMFUL = 666
_SECONDS_TO_END = 0.05


_cluster_module = modules.load(
    pathlib.Path(__file__).with_name("scheduler_test.py"),
    "content_ends_driver",
)


class _Cluster(_cluster_module.Cluster):
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
        options = {"isolates_suspects": False, **options}
        super().__init__(endpoints=endpoints, **options)

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
            self.now += _SECONDS_TO_END
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
                node, self.nodes[node].ends.endpoint_ended(endpoint, self.now)
            )

    def break_run(self, request):
        node = self.holder_of[request]
        del self.running[request]
        outcome = states.Outcome.BROKEN
        if not self.nodes[node].may_repeat(request, outcome):
            self.finals[request].append(outcome.value)
        emitted = self.nodes[node].finished(request, outcome, self.now)
        self.carry_out(node, emitted)

    def fail_run(self, request):
        """Ends a run with a failure that its caller is told."""
        node = self.holder_of[request]
        del self.running[request]
        emitted = self.nodes[node].finished(
            request, states.Outcome.COMPLETED, self.now, succeeded=False
        )
        self.carry_out(node, emitted)

    def write_for(self, request, seconds):
        """Lets the answer to a running request be written for a while."""
        core = self.nodes[self.holder_of[request]]
        for tokens in (1, 2):
            emitted = core.progress(request, tokens, self.now)
            self.carry_out(self.holder_of[request], emitted)
            self.advance(seconds)

    def abandon_all(self):
        """Lets the callers of all requests go away."""
        for request, node in self.holder_of.items():
            self.carry_out(node, self.nodes[node].cancel(request, self.now))
        for request in list(self.running):
            self.finish(request, states.Outcome.CANCELLED)
        self.run()

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

    def restart(self, node):
        """Replaces a node by one that knows nothing, under its name."""
        lost = [r for r, holder in self.holder_of.items() if holder == node]
        for request in lost:
            self.running.pop(request, None)
            self.pending.pop(request, None)
        self.network = collections.deque(
            sent for sent in self.network if node not in sent[:2]
        )
        configuration = self.nodes[node].view.configuration
        self.nodes[node] = scheduler.NodeScheduler(
            node, "col-a", self.members, 1
        )
        self.carry_out(
            node, self.nodes[node].configure(configuration, self.now)
        )
        for peer, core in self.nodes.items():
            if peer != node:
                self.carry_out(peer, core.node_restarted(node, self.now))
        self.run()

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


def test_content_ends_few_endpoints_in_all():
    """Guards against attempts that end a second endpoint each time.

    The first request has two attempts. Each later one has one, and none runs
    within a second of the last end.
    """
    cluster = _Cluster()
    cluster.send_often("r", gap=0.25)
    assert len(cluster.ends) <= 4


def test_failure_does_not_clear_a_suspect():
    """Guards against a suspect that an endpoint's 500 releases.

    Services that isolate suspects trust a completed run in the same way.
    """
    cluster = _Cluster(isolates_suspects=True)
    cluster.send("r", content=_HARMFUL, max_attempts=1)
    core = cluster.nodes[cluster.members.owner(_GROUP)]
    before = core._quarantine.status(_HARMFUL, cluster.now)
    assert before is quarantine.ContentStatus.SUSPECT
    cluster.advance(2.0)
    cluster.harmful.clear()
    cluster.send("s", content=_HARMFUL)
    assert "s" in cluster.running
    cluster.fail_run("s")
    cluster.run()
    assert core._quarantine.status(_HARMFUL, cluster.now) is before


def test_copies_of_a_content_run_one_at_a_time_after_an_end():
    """Guards against copies that end one endpoint each at the same time."""
    cluster = _Cluster()
    cluster.send("r", content=_HARMFUL)
    cluster.advance(2.0)
    before = len(cluster.ends)
    for number in range(12):
        cluster.submit(f"c{number}", number % 3, content=_HARMFUL)
    cluster.run()
    assert len(cluster.ends) - before == 1


def test_copies_run_one_at_a_time_while_the_owner_is_silent():
    """Guards against nodes that each send a copy from their own share."""
    cluster = _Cluster(nodes=8)
    cluster.send("r", content=_HARMFUL, max_attempts=1)
    cluster.advance(2.0)
    before = len(cluster.ends)
    owner = cluster.members.owner(_GROUP)
    cluster.paused.add(owner)
    for number, node in enumerate(cluster.nodes):
        if node != owner:
            cluster.submit(f"c{number}", number, content=_HARMFUL)
    cluster.advance(0.5)
    cluster.run()
    cluster.advance(0.5)
    cluster.run()
    assert len(cluster.ends) - before <= 1


def test_suspect_is_not_granted_from_own_shares():
    """Guards against a suspect that runs beside others under a silent owner."""
    cluster = _Cluster(nodes=4, isolates_suspects=True)
    cluster.send("r", content=_HARMFUL, max_attempts=1)
    cluster.advance(2.0)
    owner = cluster.members.owner(_GROUP)
    cluster.paused.add(owner)
    number = next(n for n, name in enumerate(cluster.nodes) if name != owner)
    cluster.submit("suspect", number, content=_HARMFUL)
    cluster.submit("other", number, content=7)
    cluster.advance(0.5)
    assert set(cluster.pending) == {"other"}


def test_content_is_refused_after_its_owner_is_replaced():
    """Guards against a count that is lost with the owner of the group."""
    cluster = _Cluster(nodes=4)
    cluster.send_until_it_ended(3)
    owner = cluster.members.owner(_GROUP)
    del cluster.nodes[owner]
    cluster.members.centres["col-a"].remove(owner)
    cluster.members_changed()
    cluster.advance(_STABLE_SECONDS)
    cluster.send_often("r", count=8)
    assert len(cluster.late_arrivals()) <= 1


def test_content_is_refused_by_nodes_that_restart_one_after_the_other():
    """Guards against a count that is lost when each node has restarted."""
    cluster = _Cluster(nodes=4)
    cluster.send_until_it_ended(3)
    for node in list(cluster.nodes):
        cluster.restart(node)
        cluster.advance(2.0)
        cluster.run()
    cluster.send_often("r", count=8)
    assert len(cluster.late_arrivals()) <= 1


def test_lost_reports_are_repeated():
    """Guards against a node that never learns of an end."""
    cluster = _Cluster()
    cluster.lost.add("EndedContents")
    cluster.send_until_it_ended(2)
    cluster.lost.clear()
    cluster.advance(_STABLE_SECONDS)
    counts = [
        core.ends.content_end_counts(cluster.now)[_HARMFUL]
        for core in cluster.nodes.values()
    ]
    assert len(set(counts)) == 1


def test_two_harmful_contents_at_once_are_refused():
    """Guards against ends that are attributed to one content only."""
    cluster = _Cluster()
    cluster.harmful = {_HARMFUL, 667}
    for number in range(20):
        for content in sorted(cluster.harmful):
            cluster.submit(f"r{content}-{number}", number % 3, content=content)
        cluster.run()
        cluster.advance(0.5)
        cluster.run()
    assert len(cluster.ends) <= 8
    assert cluster.refusal("r666-19") == cluster.refusal("r667-19")
    assert cluster.refusal("r666-19") == "quarantined"


def test_contents_of_a_pool_that_ends_twice_are_served():
    """Guards against harmless contents that are refused.

    All endpoints end at about the same time, twice. One content runs at several
    of them at once, as contents do that many callers ask for.
    """
    cluster = _Cluster()
    for round_ in range(2):
        for number in range(6):
            cluster.submit(f"own{round_}-{number}", number % 3, content=number)
            cluster.submit(f"hot{round_}-{number}", number % 3, content=99)
        cluster.deliver_all()
        cluster.step_all()
        for endpoint in sorted(set(cluster.running.values())):
            cluster.now += 0.01
            cluster.end_endpoint(endpoint)
            cluster.run()
        for endpoint in sorted(set(cluster.running.values())):
            cluster.now += 0.01
            cluster.end_endpoint(endpoint)
        cluster.advance(4.0)
        cluster.run()
        cluster.abandon_all()
    cluster.advance(2.0)
    for number in (*range(6), 99):
        cluster.submit(f"again-{number}", number % 3, content=number)
        cluster.run()
        assert f"again-{number}" in cluster.running
        cluster.complete(f"again-{number}")
    assert not cluster.nodes["col-a-n0"].ends.content_end_counts(cluster.now)


def test_content_at_an_endpoint_that_is_cut_off_is_served():
    """Guards against a content that is refused because connections broke."""
    cluster = _Cluster()
    for number in range(6):
        request = f"r{number}"
        cluster.submit(request, number % 3, content=7, max_attempts=1)
        cluster.run()
        cluster.break_run(request)
        cluster.advance(2.0)
    cluster.submit("last", content=7)
    cluster.run()
    assert "last" in cluster.running


def test_end_of_an_endpoint_that_is_listed_again_does_not_count():
    """Guards against an endpoint that is cut off and taken for ended.

    It leaves the endpoint directory without a notice, and returns.
    """
    cluster = _Cluster()
    for number in range(_MAX_ENDS):
        cluster.submit(f"r{number}", 0, content=7, max_attempts=1)
        cluster.run()
        endpoint = cluster.running[f"r{number}"]
        cluster.break_run(f"r{number}")
        core = cluster.nodes["col-a-n0"]
        emitted = core.ends.endpoint_ended(endpoint, cluster.now, certain=False)
        cluster.carry_out("col-a-n0", emitted)
        cluster.advance(2.0)
    assert core.ends.content_end_counts(cluster.now) == {7: _MAX_ENDS}
    cluster.carry_out(
        "col-a-n0", core.configure(core.view.configuration, cluster.now)
    )
    assert core.ends.content_end_counts(cluster.now) == {}


@pytest.mark.parametrize("seed", range(20))
def test_content_is_refused_under_random_faults(seed):
    """Guards against a count that faults of nodes and messages undo.

    Nodes restart, pause and lose messages while three callers send the content
    beside others. After the third end the nodes have three seconds.
    """
    generator = random.Random(seed)
    cluster = _Cluster(nodes=4)
    for number in range(60):
        if generator.random() < 0.1:
            cluster.restart(generator.choice(sorted(cluster.nodes)))
        cluster.lost = {"EndedContents"} if generator.random() < 0.2 else set()
        if generator.random() < 0.6:
            cluster.submit(
                f"u{number}", generator.randrange(4), content=_HARMFUL
            )
        cluster.submit(f"i{number}", generator.randrange(4), content=number)
        cluster.run()
        for request in list(cluster.running):
            if generator.random() < 0.7:
                cluster.complete(request)
        cluster.advance(generator.choice((0.25, 0.5, 1.0)))
        cluster.run()
    assert len(cluster.ends) >= _MAX_ENDS
    assert len(cluster.late_arrivals()) <= _MAX_LATE_ARRIVALS


def test_reports_are_bounded_at_the_target_size():
    """Guards against reports that grow with the number of contents.

    340 nodes exchange the ends of 880 endpoints, ten contents at each.
    """
    counts = end_counts.EndCounts()
    for endpoint in range(880):
        for slot in range(10):
            end = end_counts.End(100.0, f"endpoint-{endpoint}#1796358599040")
            counts.add(10 * endpoint + slot, end, 100.0)
    reports = end_reports.EndReports(counts, 1)
    peers = [f"node-{number}" for number in range(339)]
    frame = messages.Frame("node-339", 1, 1, 1, tuple(reports.state(101.0)))
    assert len(messages.encode_frame(frame)) <= 8_000
    sent = reports.repeats(peers, 101.0)
    assert len({effect.to for effect in sent}) == 2
    frame = messages.Frame("node-339", 1, 1, 1, tuple(e.message for e in sent))
    assert len(messages.encode_frame(frame)) <= 4_000
    assert reports.repeats(peers, 101.5) == []
    assert reports.repeats(peers, 170.0) == []


def test_queued_copies_are_refused_with_the_third_end():
    """Guards against a copy that runs because its holder missed a report."""
    cluster = _Cluster()
    cluster.send_until_it_ended(3)
    cluster.advance(1.0)
    owner = cluster.members.owner(_GROUP)
    other = next(n for n, name in enumerate(cluster.nodes) if name != owner)
    cluster.submit("runs", list(cluster.nodes).index(owner), content=_HARMFUL)
    cluster.deliver_all()
    cluster.submit("waits", other, content=_HARMFUL)
    cluster.deliver_all()
    cluster.lost.add("EndedContents")
    cluster.run()
    cluster.advance(1.5)
    cluster.run()
    assert cluster.refusal("waits") == "quarantined"


def test_node_that_missed_a_clearance_learns_of_it():
    """Guards against a harmless content that one node refuses."""
    cluster = _Cluster()
    cluster.submit("r1", 0, content=7)
    cluster.run()
    cluster.end_endpoint(cluster.running["r1"])
    cluster.run()
    cluster.advance(0.5)
    counts = [
        c.ends.content_end_counts(cluster.now) for c in cluster.nodes.values()
    ]
    assert counts == [{7: 1}] * 3
    cluster.lost.add("Cleared")
    cluster.complete("r1")
    cluster.lost.clear()
    cluster.advance(10.0)
    counts = [
        c.ends.content_end_counts(cluster.now) for c in cluster.nodes.values()
    ]
    assert counts == [{}] * 3


def test_latest_reports_are_repeated():
    """Guards against a harmful content that newer ones crowd out."""
    counts = end_counts.EndCounts()
    counts.add(_HARMFUL, end_counts.End(100.0, "e0"), 100.0)
    for content in range(100):
        counts.add(content, end_counts.End(101.0, "e1"), 101.0)
    counts.add(_HARMFUL, end_counts.End(102.0, "e2"), 102.0)
    reports = end_reports.EndReports(counts, 1)
    (first, *_) = reports.repeats(["n1"], 103.0)
    repeated = [
        item.content
        for effect in reports.repeats(["n1"], 104.0)
        for item in effect.message.ends
    ]
    assert first.to == "n1"
    assert repeated.count(_HARMFUL) == 2
