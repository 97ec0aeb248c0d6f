"""Tests of the records that share counts through the platform's store."""

import json

import pytest

from baobabmux_core import (
    declarations,
    effects,
    messages,
    rendezvous,
    scheduler,
    states,
)
from baobabmux_node import end_records

_CONTENT = 666
_KEY = f"{_CONTENT:016x}"
_CLOCK_MS = 1_796_358_000_000


class _Members:
    """Membership of one node that reaches no other."""

    def __init__(self, node):
        self.node = node

    def live(self, data_centre):
        return [self.node]

    def reachable(self):
        return [self.node]

    def node_count(self):
        return 3

    def owner(self, group):
        return rendezvous.owner(group, [self.node])

    def endpoint_vm_state(self, vm):
        return states.EndpointState.LIVE


def _configuration():
    return declarations.Configuration(
        tiers={"t": declarations.Tier(0)},
        services={
            "s": declarations.Service("engine", isolates_suspects=False)
        },
        endpoints={
            f"e{number}": declarations.Endpoint(
                "s", "cell", f"vm{number}", "127.0.0.1:1", max_requests=4,
                max_tokens=4000, cache_tokens=0,
                prefill_tokens_per_second=1000.0,
                decode_tokens_per_second=100.0,
            )
            for number in range(3)
        },
        routes={},
        presets={"p": declarations.Preset(short_share=0, high_tier_share=0)},
        active="p",
    )  # fmt: skip


class _Node:
    """A node that is cut off from all others but reaches the store."""

    def __init__(self, name, records):
        self.name = name
        self.records = records
        self.malformed = []
        self.core = scheduler.NodeScheduler(name, "cell", _Members(name), 1)
        self.carry_out(self.core.configure(_configuration(), 99.0), 99.0)
        self.ends = end_records.EndRecords(
            self.core,
            lambda key: True,
            lambda key, reason: self.malformed.append(key),
        )
        self.sent = 0
        self.now = 99.0

    def exchange(self, now):
        """Reads the store, then writes to it what is due."""
        now_ms = _CLOCK_MS + round(now * 1000)
        self.ends.update(dict(self.records), now, now_ms)
        due = self.ends.due(now, now_ms)
        for key, value in due.items():
            self.records[key] = value
            self.ends.written(key, value)
        return due

    def send(self, now, content=_CONTENT, parts=()):
        """Sends a harmful request; returns whether it ended an endpoint."""
        self.sent += 1
        self.advance(now)
        request = f"{self.name}-{self.sent}"
        work = effects.Work(
            request=request, route="r", service="s", tier=0, workspace="w",
            deadline=now + 9.0, prompt_tokens=10, output_tokens=10,
            content=content, first_by=now + 9.0, parts=parts,
        )  # fmt: skip
        decided = self.carry_out(self.core.submit(work, now), now)
        decided += self.carry_out(self.core.tick(now), now)
        if isinstance(decided[0], effects.Refuse):
            return False
        assert self.core.start_dispatch(request, now)
        ended_at = now + 0.1
        outcome = states.Outcome.BROKEN
        emitted = self.core.finished(request, outcome, ended_at)
        emitted += self.core.ends.endpoint_ended(decided[0].endpoint, ended_at)
        self.carry_out(emitted, ended_at)
        return True

    def advance(self, now):
        """Runs the timed work until a time."""
        while self.now < now:
            self.now = min(now, self.now + 0.25)
            self.carry_out(self.core.tick(self.now), self.now)

    def carry_out(self, emitted, now):
        """Delivers messages to the node itself; returns other effects."""
        queue = list(emitted)
        decided = []
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, effects.Send):
                queue += self.core.receive(self.name, effect.message, now)
            else:
                decided.append(effect)
        return decided

    def count(self, now):
        return self.core.ends.content_end_counts(now).get(_CONTENT, 0)


def test_nodes_that_do_not_reach_each_other_share_their_counts():
    """Guards against three ends in each data centre that is cut off."""
    records = {}
    nodes = [_Node(name, records) for name in ("a", "b", "c")]
    ends = []
    for number in range(24):
        now = 110.0 + 2.0 * number
        for node in nodes:
            node.exchange(now - 0.1)
        if nodes[number % 3].send(now):
            ends.append(now)
    late = [at for at in ends if at > ends[2] + 3.0]
    assert len(late) <= 3
    assert [node.count(160.0) for node in nodes] == [node.count(160.0)] * 3


def test_nodes_that_all_restart_learn_the_count_from_the_store():
    """Guards against a count that is lost when all nodes lose their power."""
    records = {}
    node = _Node("a", records)
    while node.send(100.0 + 2.0 * node.sent):
        node.exchange(100.0 + 2.0 * node.sent)
    fresh = _Node("b", records)
    fresh.exchange(120.0)
    assert fresh.count(120.0) == 3
    assert not fresh.send(120.0)


def test_single_end_is_not_written():
    """Guards against writes to the store at the end of each endpoint."""
    node = _Node("a", {})
    assert node.send(100.0)
    assert node.exchange(101.0) == {}


def test_record_that_the_store_has_lost_is_written_again():
    """Guards against a count that is lost with the newest records."""
    records = {}
    node = _Node("a", records)
    node.send(100.0)
    node.send(102.0)
    assert list(node.exchange(103.0)) == [_KEY]
    assert node.exchange(104.0) == {}
    records.clear()
    node.ends.replace({}, 105.0, _CLOCK_MS + 105_000)
    assert list(node.exchange(105.0)) == [_KEY]


def test_content_that_completes_is_cleared_at_nodes_that_are_cut_off():
    """Guards against a harmless content that one side refuses for ever."""
    records = {}
    first, second = _Node("a", records), _Node("b", records)
    first.send(100.0)
    first.send(102.0)
    first.exchange(103.0)
    second.exchange(103.0)
    assert second.count(103.0) == 2
    first.core.receive("a", messages.Cleared(_CONTENT), 104.0)
    assert first.exchange(104.0) == {_KEY: b""}
    second.exchange(105.0)
    assert second.count(105.0) == 0


@pytest.mark.parametrize(
    "value", [b"\xff", b"{}", json.dumps({"ends": [{"at_ms": 1}]}).encode()]
)
def test_malformed_records_are_left_out(value):
    """Guards against a record that keeps the others from being read."""
    records = {}
    writer = _Node("a", records)
    writer.send(100.0)
    writer.send(102.0)
    writer.exchange(103.0)
    reader = _Node("b", {"0": value, "no number": b"{}", **records})
    now_ms = _CLOCK_MS + 103_000
    reader.ends.replace(reader.records, 103.0, now_ms)
    assert reader.malformed == ["0", "no number"]
    assert reader.count(103.0) == 2


def test_old_record_does_not_bring_back_the_ends_of_a_cleared_content():
    """Guards against a harmless content that is counted again.

    The store was away when the record should have been removed.
    """
    node = _Node("a", {})
    node.send(100.0)
    node.send(102.0)
    node.exchange(103.0)
    old = dict(node.records)
    node.core.receive("a", messages.Cleared(_CONTENT), 104.0)
    node.advance(400.0)
    node.ends.replace(old, 400.0, _CLOCK_MS + 400_000)
    assert node.count(400.0) == 0
    assert node.exchange(400.0) == {_KEY: b""}


def test_record_is_kept_while_the_content_has_an_end():
    """Guards against a removal that clears the content on all nodes.

    One of two ends was uncertain, and its endpoint is listed again.
    """
    node = _Node("a", {})
    node.send(100.0)
    uncertain = messages.EndedContents(
        "gone", False, (messages.ContentEnd(_CONTENT, 0),)
    )
    node.core.receive("b", uncertain, 102.0)
    assert list(node.exchange(103.0)) == [_KEY]
    node.core._quarantine.ends.endpoints_listed({"gone"})
    assert node.count(104.0) == 1
    assert node.ends.due(104.0, _CLOCK_MS + 104_000) == {}


def test_nodes_that_do_not_reach_each_other_share_the_ends_of_parts():
    """Guards against a part that ends endpoints in each data centre."""
    records = {}
    nodes = [_Node(name, records) for name in ("a", "b", "c")]
    ends = 0
    for number in range(9):
        now = 100.0 + 2 * number
        node = nodes[number % 3]
        node.exchange(now)
        ends += node.send(now, content=number, parts=(1, 13))
        node.exchange(now + 0.5)
    assert ends <= 6
    assert set(records) == {"part-00000001", "part-0000000d"}
    restarted = _Node("d", records)
    restarted.exchange(120.0)
    assert not restarted.send(120.0, content=99, parts=(13,))


def test_record_of_a_proved_part_is_cleared():
    """Guards against a sound part that its record refuses again and again."""
    records = {}
    node = _Node("a", records)
    for number in range(2):
        node.send(100.0 + 2 * number, content=number, parts=(13,))
    assert list(node.exchange(104.0)) == ["part-0000000d"]
    node.core.receive("b", messages.PartsProved((13,)), 105.0)
    assert node.exchange(106.0) == {"part-0000000d": b""}
    other = _Node("b", records)
    other.exchange(107.0)
    assert other.core.ends.part_end_counts(107.0) == {}


def test_nodes_that_reach_few_others_do_not_try_a_refused_part():
    """Guards against a trial in each data centre that is cut off."""
    records = {}
    nodes = [_Node(name, records) for name in ("a", "b", "c")]

    def exchange(now):
        for node in nodes + nodes:
            node.exchange(now)

    for number in range(6):
        now = 100.0 + 2 * number
        nodes[number % 3].send(now, content=number, parts=(13,))
        exchange(now + 0.5)
    ends = 0
    for number in range(60):
        now = 115.0 + 2 * number
        for node in nodes:
            ends += node.send(
                now, content=1000 + 3 * number + nodes.index(node), parts=(13,)
            )
        exchange(now + 0.5)
    assert ends <= 1
