"""Tests of parts of prompts that end each endpoint that begins to answer them.

No two requests are alike: each has a content of its own. Sound requests share
their other parts with the harmful ones.
"""

import pathlib
import random

import pytest

from baobabmux_core import (
    effects,
    end_counts,
    end_reports,
    messages,
    part_ends,
    states,
)
from baobabmux_standins import modules

_GROUP = "drafting@col-a"
_STABLE_SECONDS = 3.0
_COUNTED_ENDS = 5
_MAX_LATE_ARRIVALS = 3
_HARMFUL = 13
_SHARED = 1


_cluster_module = modules.load(
    pathlib.Path(__file__).with_name("content_ends_test.py"),
    "part_ends_driver",
)


class _Cluster(_cluster_module._Cluster):
    """Cluster whose endpoints end under harmful parts of prompts.

    Attributes:
        harmful_parts: Parts that end each endpoint that runs them.
    """

    def __init__(self, **options):
        self.harmful_parts = {_HARMFUL}
        self.parts = {}
        self.number = 0
        super().__init__(**options)
        self.harmful.clear()

    def submit(self, request, node=0, **fields):
        self.number += 1
        values = {"content": 1000 + self.number, **fields}
        self.parts[request] = values.get("parts", ())
        if self.harmful_parts & set(self.parts[request]):
            self.harmful.add(values["content"])
        super().submit(request, node, **values)

    def send_part(self, *parts, node=None, **fields):
        """Sends a request with parts; returns its name."""
        request = f"r{self.number}"
        if node is None:
            node = self.number % len(self.nodes)
        self.send(request, node, parts=parts, **fields)
        return request

    def send_sound(self, *parts, **fields):
        """Sends a sound request; returns whether it is served within 2 s."""
        request = self.send_part(*parts, **fields)
        for _ in range(8):
            if request in self.running:
                self.complete(request)
            if request in self.finals:
                break
            self.pass_time(0.25)
        return self.finals[request] == ["completed"]

    def late_arrivals(self):
        if len(self.ends) < _COUNTED_ENDS:
            return []
        known_at = self.ends[_COUNTED_ENDS - 1] + _STABLE_SECONDS
        return [at for at in self.arrivals if at > known_at]

    def pass_time(self, seconds):
        """Lets time pass; then all requests that run are answered."""
        self.advance(seconds)
        self.run()
        for request in list(self.running):
            self.complete(request)

    def end_pool(self, *parts):
        """Ends all endpoints while each runs requests with these parts."""
        for _ in range(12):
            self.submit(f"r{self.number}", self.number % 3, parts=parts)
        self.deliver_all()
        self.step_all()
        for endpoint in sorted(set(self.running.values())):
            self.now += 0.01
            self.end_endpoint(endpoint)
        self.deliver_all()
        self.abandon_all()

    def counts(self):
        return [
            core.ends.part_end_counts(self.now) for core in self.nodes.values()
        ]


@pytest.mark.parametrize(
    "parts",
    [
        (_HARMFUL, _SHARED),
        (_SHARED, _HARMFUL),
        (_SHARED, _HARMFUL, 2),
        (_SHARED, 2, 3, 4, 5, 6, 7, 8, 9, _HARMFUL),
    ],
)
def test_part_at_any_place_is_refused_everywhere(parts):
    """Guards against a part of prompts that ends one endpoint after another."""
    cluster = _Cluster()
    sound = tuple(part for part in parts if part != _HARMFUL)
    served = []
    for _ in range(40):
        cluster.send_part(*parts)
        served.append(cluster.send_sound(*sound))
        cluster.pass_time(0.5)
    assert len(cluster.ends) <= _COUNTED_ENDS
    assert len(cluster.late_arrivals()) <= _MAX_LATE_ARRIVALS
    assert all(served[4:])


def test_part_is_refused_behind_different_parts_of_other_callers():
    """Guards against counts by the parts before, the caller or the route."""
    cluster = _Cluster()
    for number in range(40):
        cluster.send_part(
            100 + number, _HARMFUL, 200 + number,
            workspace=f"w{number}", route=f"route-{number}",
            deadline=cluster.now + 9.0,
        )  # fmt: skip
        cluster.pass_time(0.5)
    assert len(cluster.ends) <= _COUNTED_ENDS


def test_two_harmful_parts_at_once_are_refused():
    """Guards against ends that are attributed to one part only."""
    cluster = _Cluster()
    cluster.harmful_parts = {13, 14}
    for _ in range(40):
        cluster.send_part(_SHARED, 13)
        cluster.send_part(_SHARED, 14)
        cluster.send_sound(_SHARED)
        cluster.pass_time(0.5)
    assert len(cluster.ends) <= 2 * _COUNTED_ENDS
    assert cluster.send_sound(_SHARED)


def test_burst_of_a_part_ends_the_pool_once():
    """Guards against ends that count as one because they come together."""
    cluster = _Cluster()
    for _ in range(10):
        for _ in range(12):
            cluster.submit(
                f"r{cluster.number}", cluster.number % 3, parts=(_HARMFUL,)
            )
        cluster.run()
        cluster.pass_time(2.0)
    assert len(cluster.late_arrivals()) <= _MAX_LATE_ARRIVALS


def test_requests_run_one_at_a_time_while_the_owner_is_silent():
    """Guards against nodes that each send a request from their own share."""
    cluster = _Cluster(nodes=8)
    cluster.send_part(_HARMFUL, max_attempts=1)
    cluster.pass_time(2.0)
    before = len(cluster.ends)
    owner = cluster.members.owner(_GROUP)
    cluster.paused.add(owner)
    for number, node in enumerate(cluster.nodes):
        if node != owner:
            cluster.submit(f"c{number}", number, parts=(_HARMFUL,))
    cluster.pass_time(0.5)
    assert len(cluster.ends) - before <= 1


def test_part_is_refused_by_nodes_that_restart_one_after_the_other():
    """Guards against a count that is lost when each node has restarted."""
    cluster = _Cluster(nodes=4)
    for _ in range(12):
        cluster.send_part(_SHARED, _HARMFUL)
        cluster.pass_time(0.5)
    before = len(cluster.ends)
    for node in list(cluster.nodes):
        cluster.restart(node)
        cluster.pass_time(1.0)
    for _ in range(8):
        cluster.send_part(_SHARED, _HARMFUL)
        cluster.pass_time(0.5)
    assert len(cluster.ends) - before <= 1


def test_shared_part_is_served_while_the_pool_ends_several_times():
    """Guards against a part of all requests that is refused or slowed down.

    The whole pool ends six times, two seconds apart. In between requests with
    the part succeed, and others have been written for a while.
    """
    cluster = _Cluster()
    assert cluster.send_sound(_SHARED)
    for number in range(6):
        cluster.end_pool(_SHARED)
        cluster.pass_time(1.0)
        if number % 2:
            assert cluster.send_sound(_SHARED)
            continue
        request = cluster.send_part(_SHARED)
        cluster.write_for(request, part_ends.PROOF_SECONDS)
        cluster.end_endpoint(cluster.running[request])
        cluster.pass_time(0.1)
    for number in range(12):
        cluster.submit(f"last-{number}", number % 3, parts=(_SHARED,))
    cluster.run()
    assert sum(f"last-{n}" in cluster.running for n in range(12)) == 12


def test_shared_part_is_not_slowed_down_by_one_end():
    """Guards against all requests of a service that run one at a time."""
    cluster = _Cluster()
    assert cluster.send_sound(_SHARED)
    cluster.pass_time(5.0)
    cluster.end_pool(_SHARED)
    for number in range(12):
        cluster.submit(f"s{number}", number % 3, parts=(_SHARED,))
    cluster.run()
    assert sum(f"s{n}" in cluster.running for n in range(12)) == 12


def test_part_that_is_refused_wrongly_is_served_again():
    """Guards against a sound part that stays refused for a quarter of an hour.

    Three times the pool ends while a request with the part runs there, and none
    succeeds in between.
    """
    cluster = _Cluster()
    for _ in range(3):
        cluster.end_pool(7)
        cluster.pass_time(2.0)
    assert cluster.counts()[0][7] == 3
    assert not cluster.send_sound(7)
    cluster.pass_time(16.0)
    assert cluster.send_sound(7)
    cluster.pass_time(0.25)
    assert cluster.counts() == [{}] * 3
    assert all(cluster.send_sound(7, node=number) for number in range(3))


def test_trials_of_a_harmful_part_end():
    """Guards against a refused part that is tried again and again."""
    cluster = _Cluster()
    for _ in range(200):
        cluster.send_part(_HARMFUL)
        cluster.pass_time(1.0)
    assert len(cluster.ends) <= _COUNTED_ENDS
    assert len(cluster.late_arrivals()) <= _MAX_LATE_ARRIVALS


def test_part_of_one_content_that_ends_endpoints_is_served():
    """Guards against a part that is refused for one of its contents.

    Nothing else with the part runs meanwhile, so nothing proves it.
    """
    cluster = _Cluster()
    for number in range(6):
        cluster.send(f"c{number}", number % 3, parts=(7,), content=_HARMFUL)
        cluster.harmful.add(_HARMFUL)
        cluster.pass_time(2.0)
    assert cluster.refusal("c5") == "quarantined"
    assert cluster.send_sound(7)


def test_failure_does_not_prove_a_part():
    """Guards against a 500 that lets a part end further endpoints."""
    cluster = _Cluster()
    for number in range(20):
        if number % 2:
            cluster.send_part(_HARMFUL)
            cluster.pass_time(1.1)
            continue
        harmful, cluster.harmful_parts = cluster.harmful_parts, set()
        request = cluster.send_part(_HARMFUL)
        if request in cluster.running:
            cluster.fail_run(request)
        cluster.harmful_parts = harmful
        cluster.pass_time(1.1)
    assert len(cluster.ends) <= _COUNTED_ENDS


def test_node_that_missed_a_proof_learns_of_it():
    """Guards against a sound part that one node counts for ever."""
    cluster = _Cluster()
    cluster.end_pool(7)
    cluster.pass_time(1.0)
    assert cluster.counts() == [{7: 1}] * 3
    cluster.lost.add("PartsProved")
    assert cluster.send_sound(7)
    cluster.lost.clear()
    cluster.pass_time(10.0)
    assert cluster.counts() == [{}] * 3


@pytest.mark.parametrize("seed", range(20))
def test_part_is_refused_under_random_faults(seed):
    """Guards against a count that faults of nodes and messages undo.

    Nodes restart and reports get lost, endpoints end for reasons of their own,
    and sound requests share the first part.
    """
    generator = random.Random(seed)
    cluster = _Cluster(nodes=4)
    served = []
    for _ in range(60):
        if generator.random() < 0.1:
            cluster.restart(generator.choice(sorted(cluster.nodes)))
        cluster.lost = {"EndedContents"} if generator.random() < 0.2 else set()
        if generator.random() < 0.6:
            cluster.send_part(_SHARED, _HARMFUL, node=generator.randrange(4))
        if generator.random() < 0.1:
            request = cluster.send_part(_SHARED, node=generator.randrange(4))
            if request in cluster.running:
                ends = list(cluster.ends)
                cluster.end_endpoint(cluster.running[request])
                cluster.ends = ends  # Not an end by the part.
        served.append(cluster.send_sound(_SHARED, node=generator.randrange(4)))
        cluster.pass_time(generator.choice((0.25, 0.5, 1.0)))
    assert len(cluster.late_arrivals()) <= _MAX_LATE_ARRIVALS
    assert sum(served[20:]) >= 0.8 * len(served[20:])


def test_reports_of_parts_are_bounded_at_the_target_size():
    """Guards against reports that grow with the number of parts.

    340 nodes exchange the ends of 880 endpoints, thirty parts at each.
    """
    parts = part_ends.PartEnds()
    for endpoint in range(880):
        for slot in range(30):
            name = f"endpoint-{endpoint}#1796358599040"
            end = end_counts.End(100.0, name, content=10**18 + slot)
            parts.counts.add(30 * endpoint + slot, end, 100.0)
    reports = end_reports.EndReports(end_counts.EndCounts(), 1, parts)
    peers = [f"node-{number}" for number in range(339)]
    frame = messages.Frame("node-339", 1, 1, 1, tuple(reports.state(101.0)))
    assert len(messages.encode_frame(frame)) <= 8_000
    sent = reports.repeats(peers, 101.0)
    frame = messages.Frame("node-339", 1, 1, 1, tuple(e.message for e in sent))
    assert len(messages.encode_frame(frame)) <= 4_000
    assert len(parts.counts) <= 10_000


def test_proofs_are_told_to_all_nodes_only_if_a_part_may_be_refused():
    """Guards against a message to all nodes for each end and shared part."""
    cluster = _Cluster(nodes=8)
    assert cluster.send_sound(_SHARED)
    cluster.end_pool(_SHARED)
    cluster.network.clear()
    request = cluster.send_part(_SHARED, node=1)
    holder = cluster.holder_of[request]
    emitted = cluster.nodes[holder].finished(
        request, states.Outcome.COMPLETED, cluster.now
    )
    told = [
        effect.to
        for effect in emitted
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, messages.PartsProved)
    ]
    assert len(told) <= 1


def test_requests_that_are_held_back_do_not_hide_others():
    """Guards against sound requests that wait behind a suspect part.

    An owner examines a limited number of requests for each grant.
    """
    cluster = _Cluster()
    cluster.send_part(_HARMFUL)
    for number in range(100):
        cluster.submit(f"held-{number}", number % 3, parts=(_HARMFUL,))
    cluster.submit("sound", 0)
    cluster.run()
    assert "sound" in cluster.running
