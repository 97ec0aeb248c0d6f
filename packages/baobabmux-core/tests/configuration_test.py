"""Tests of the fold of the configuration stream."""

import collections
import copy
import json
from typing import ClassVar

import hypothesis
import pytest
import xxhash
from hypothesis import stateful
from hypothesis import strategies as st

from baobabmux_core import configuration, declarations, invariants

_TABLES = {
    "tier/tender": {"rank": 0},
    "preset/ordinary": {},
    "preset/peak": {},
    "active/preset": {"name": "ordinary"},
}
_KINDS = configuration.VerdictKind


def _publish(operation, base, entries=None, delete=()):
    return configuration.publication(
        operation, base, entries or {}, list(delete), "desk"
    )


def _first(*records):
    log = configuration.ConfigurationLog()
    log.apply(0, _publish("first", -1, _TABLES))
    for offset, record in enumerate(records, 1):
        log.apply(offset, record)
    return log


def test_deltas_replace_and_delete_entries():
    """Guards against changes that drop or keep entries they did not name."""
    log = _first(_publish("b", 0, {"workspace/a": {"weight": 2.0}}, ()))
    assert log.version == 1
    assert log.configuration.workspaces["a"].weight == 2.0
    log.apply(2, _publish("c", 1, {}, ["workspace/a", "preset/peak"]))
    assert log.configuration.workspaces == {}
    assert list(log.configuration.presets) == ["ordinary"]


def test_conflict_names_what_differs_since_the_base():
    """Guards against an operator who overwrites a colleague's change."""
    log = _first(
        _publish("b", 0, {"workspace/a": {"weight": 2.0}}),
        _publish("c", 1, {"active/preset": {"name": "peak"}}),
        _publish("d", 0, {"workspace/b": {"weight": 2.0}}),
    )
    verdict = log.verdict("d")
    assert verdict.kind is _KINDS.CONFLICT
    assert verdict.entries == ("active/preset", "workspace/a")
    assert (verdict.complete, log.version) == (True, 2)


def test_invalid_publication_reports_all_errors_and_changes_nothing():
    """Guards against a bad publication in force at some nodes."""
    bad = {"workspace/a": {"weight": 0}, "route/r": {}, "x": {}}
    log = _first(_publish("b", 0, bad), _publish("c", 0, {}, ["tier/none"]))
    assert log.verdict("b").kind is _KINDS.INVALID
    assert log.verdict("c").errors[0].startswith('entry "tier/none": is del')
    # A weight of 0, three missing keys of the route, a bad address.
    assert len(log.verdict("b").errors) == 5
    assert log.version == 0


def test_doubled_append_counts_once():
    """Guards against a repeated append that is told as a conflict."""
    record = _publish("b", 0, {"workspace/a": {"weight": 2.0}})
    log = _first(record, record)
    assert log.verdict("b").kind is _KINDS.ACCEPTED
    assert (log.version, log.through) == (1, 2)


def test_reader_after_expiry_waits_for_a_snapshot_that_closes_the_gap():
    """Guards against a new node that starts from half the configuration."""
    full = _first(_publish("b", 0, {"workspace/a": {"weight": 2.0}}))
    early = _first().snapshot()
    late = full.snapshot()
    new = configuration.ConfigurationLog()
    third = _publish("c", 1, {"workspace/b": {"weight": 3.0}})
    new.apply(2, third)
    new.apply(3, early)
    assert (new.version, new.waiting, new.next_offset) == (-1, True, 4)
    new.apply(4, late)
    assert (new.version, new.waiting, new.through) == (2, False, 4)
    assert new.verdict("first").kind is _KINDS.ACCEPTED


def test_late_snapshots_never_take_precedence():
    """Guards against a version that reverts when a paused node returns."""
    old = _first().snapshot()
    log = _first(_publish("b", 0, {"workspace/a": {"weight": 2.0}}), old)
    assert not log.adopt(old)
    assert (log.version, log.through) == (1, 2)
    forged = {**old, "through": 9}
    assert not log.adopt(forged)
    assert log.ignored == 1


def test_snapshot_is_due_again_before_its_next_record_expires():
    """Guards against an expiry that leaves new nodes without a start."""
    log = configuration.ConfigurationLog()
    assert not log.snapshot_due(0, 300.0)
    log.apply(0, _publish("first", -1, _TABLES), 1000)
    assert log.snapshot_due(1000, 300.0)
    stale = log.snapshot()
    log.apply(1, stale, 50_000)
    assert not log.snapshot_due(150_000, 300.0)
    assert log.snapshot_due(150_001, 300.0)
    log.apply(2, stale, 160_000)  # Needs record 1, which expires first.
    assert log.snapshot_due(160_000, 300.0)


def test_verdicts_and_details_are_bounded(monkeypatch):
    """Guards against memory that grows with the number of publications."""
    monkeypatch.setattr(configuration, "_MAX_VERDICTS", 5)
    log = _first(
        *(_publish(f"x{i}", i, {"preset/peak": {}}) for i in range(20))
    )
    assert log.verdict("x14") is None
    assert log.verdict("x15").kind is _KINDS.ACCEPTED
    log.apply(21, _publish("stale", 3))
    assert not log.verdict("stale").complete


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda part: (
        st.lists(part, max_size=3)
        | st.dictionaries(
            st.sampled_from(["type", "set", "base", "tables", "x/y"])
            | st.text(),
            part,
            max_size=4,
        )
    ),
    max_leaves=10,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    _JSON,
    st.sampled_from(["publication", "snapshot", None]),
    st.sampled_from(
        [
            "operation",
            "base",
            "set",
            "delete",
            "author",
            "through",
            "version",
            "tables",
            "operations",
        ]
    ),
)
def test_garbage_records_are_never_fatal(value, kind, key):
    """Guards against one bad record that stops every node."""
    log = _first()
    for good in (_publish("b", 0), log.snapshot()):
        record = {**good, key: value} if kind else value
        if kind:
            record["type"] = kind
        log.apply(log.through + 1, record)
        log.adopt(record)
        configuration.ConfigurationLog().apply(7, record)
    assert log.configuration is not None


_WORKSPACES = st.sampled_from(["a", "b", "c"])


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Operators and nodes over one log, with every fault of the log.

    Answers to appends are lost (the operator appends again), records expire,
    snapshots come late, nodes die, pause and start from peers in an outage.
    The reference node reads every record at once, without faults.
    """

    node_class = configuration.ConfigurationLog
    counts: ClassVar[dict] = collections.Counter()

    def __init__(self):
        super().__init__()
        self.records = [_publish("first", -1, _TABLES)]
        self.first = 0
        self.operations = 0
        self.started = 0
        self.reference = configuration.ConfigurationLog()
        self.nodes = {}
        self.held = []
        self.facts = []
        self.counts["examples"] += 1
        for _ in range(3):
            self.start()
        self.observe()

    def observe(self):
        self.counts["steps"] += 1
        while self.reference.through + 1 < len(self.records):
            offset = self.reference.through + 1
            self.reference.apply(offset, self.records[offset])
        for name, node in [("reference", self.reference), *self.nodes.items()]:
            digest = xxhash.xxh3_64_intdigest(
                json.dumps(node.tables, sort_keys=True).encode()
            )
            self.facts.append(
                invariants.ConfigurationApplied(name, node.version, digest)
            )
            for number in range(self.operations + 1):
                told = node.verdict(f"op-{number}")
                if told is not None:
                    self.facts.append(
                        invariants.VerdictReported(
                            name, told.operation, told.kind
                        )
                    )

    def pick(self, number):
        names = sorted(self.nodes)
        return self.nodes[names[number % len(names)]]

    @stateful.rule()
    def start(self):
        if len(self.nodes) < 6:
            self.started += 1
            self.nodes[f"n{self.started:04}"] = self.node_class()

    @stateful.rule(number=st.integers(0, 5))
    def kill(self, number):
        if len(self.nodes) > 1:
            del self.nodes[sorted(self.nodes)[number % len(self.nodes)]]
        self.observe()

    @stateful.rule(
        number=st.integers(0, 5),
        workspace=_WORKSPACES,
        weight=st.sampled_from([1, 2, 3, 0]),
        lost=st.booleans(),
        stale=st.booleans(),
    )
    def publish(self, number, workspace, weight, lost, stale):
        author = self.pick(number) if stale else self.reference
        base = author.version
        entries = {f"workspace/{workspace}": {"weight": weight}}
        self.operations += 1
        record = _publish(f"op-{self.operations}", base, entries)
        self.records.extend([record] * (2 if lost else 1))
        self.observe()

    @stateful.rule(data=_JSON)
    def append_garbage(self, data):
        self.records.append(data)
        self.observe()

    @stateful.rule(
        number=st.integers(0, 5), count=st.sampled_from([20, 20, 3, 1])
    )
    def read(self, number, count):
        node = self.pick(number)
        position = max(node.next_offset, self.first)
        end = min(position + count, len(self.records))
        for offset in range(position, end):
            waiting = node.waiting
            node.apply(offset, copy.deepcopy(self.records[offset]))
            self.counts["gaps closed"] += waiting and not node.waiting
        self.observe()

    @stateful.rule(number=st.integers(0, 5))
    def take_snapshot(self, number):
        node = self.pick(number)
        if node.version >= 0:
            self.held.append(node.snapshot())

    @stateful.rule(number=st.integers(0, 5), late=st.integers(0, 3))
    def append_snapshot(self, number, late):
        node = self.pick(number)
        if node.version >= 0:
            self.held.append(node.snapshot())
        if self.held:
            self.records.append(self.held[-1 - late % len(self.held)])
        self.observe()

    @stateful.rule(number=st.integers(0, 5), peer=st.integers(0, 5))
    def adopt_from_peer(self, number, peer):
        snapshot = copy.deepcopy(self.pick(peer).snapshot())
        self.held.append(snapshot)
        self.counts["adopted"] += self.pick(number).adopt(snapshot)
        self.observe()

    @stateful.rule(number=st.integers(0, 5), late=st.integers(0, 9))
    def adopt_late(self, number, late):
        if self.held:
            snapshot = copy.deepcopy(self.held[late % len(self.held)])
            self.counts["adopted"] += self.pick(number).adopt(snapshot)
        self.observe()

    @stateful.rule(kept=st.integers(0, 6))
    def expire(self, kept):
        self.first = max(self.first, len(self.records) - kept)

    @stateful.rule(kept=st.integers(0, 3))
    def expire_behind_snapshot(self, kept):
        if self.reference.version >= 0:
            self.expire(kept)
            self.records.append(self.reference.snapshot())
            self.kill(0)
            self.start()
        self.observe()

    def teardown(self):
        for node in self.nodes.values():
            if node.version >= 0:
                whole = declarations.parse(node.tables).ok
                assert node.configuration == whole
        self.counts["accepted"] += sum(
            self.reference.verdict(f"op-{number}").kind is _KINDS.ACCEPTED
            for number in range(1, self.operations + 1)
        )
        assert not invariants.configuration_never_reverts(self.facts)
        assert not invariants.verdicts_agree(self.facts)


def _run(machine, examples):
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            stateful_step_count=40,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def test_nodes_agree_and_never_revert():
    """Guards against versions that revert or differ between nodes."""
    _run(ConfigurationMachine, 100)
    print("configuration:", ConfigurationMachine.counts)
    assert ConfigurationMachine.counts["steps"] > 1000


class _TakesOldSnapshots(configuration.ConfigurationLog):
    def _adopt(self, snapshot):
        self.version = self.through = -1
        return super()._adopt(snapshot)


class _IgnoresGaps(configuration.ConfigurationLog):
    def _wait(self, offset, record):
        self._fold(offset, record)


class _LastWriterWins(configuration.ConfigurationLog):
    def _judge(self, offset, publication):
        publication.base = self.version
        return super()._judge(offset, publication)


class _CountsTwice(configuration.ConfigurationLog):
    def _decide(self, offset, publication):
        self._verdicts.pop(publication.operation, None)
        return super()._decide(offset, publication)


def _late_snapshot(machine):
    """A peer's old snapshot arrives after a change."""
    machine.read(0, 20)
    machine.take_snapshot(0)
    machine.publish(0, "a", 2, False, False)
    machine.read(0, 20)
    machine.adopt_late(0, 0)


def _lost_beginning(machine):
    """A new node starts after the first record has expired."""
    machine.publish(0, "a", 2, False, False)
    machine.expire(1)
    machine.read(0, 20)


def _two_operators(machine):
    """Two operators publish from one base."""
    machine.read(0, 20)
    machine.publish(0, "a", 2, False, True)
    machine.publish(0, "a", 3, False, True)
    machine.read(0, 20)


def _doubled_append(machine):
    """The answer to an append is lost, so it is repeated."""
    machine.publish(0, "a", 2, True, False)
    machine.read(0, 20)


@pytest.mark.parametrize(
    ("scenario", "broken"),
    [
        (_late_snapshot, _TakesOldSnapshots),
        (_lost_beginning, _IgnoresGaps),
        (_two_operators, _LastWriterWins),
        (_doubled_append, _CountsTwice),
    ],
)
def test_broken_folds_are_caught(scenario, broken):
    """Guards against invariants that cannot fail."""

    class Machine(ConfigurationMachine):
        node_class = broken

    sound = ConfigurationMachine()
    scenario(sound)
    sound.teardown()
    machine = Machine()
    scenario(machine)
    with pytest.raises(AssertionError):
        machine.teardown()
