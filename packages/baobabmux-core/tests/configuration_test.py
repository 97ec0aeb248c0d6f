"""Tests of the configuration state that is derived from the log."""

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


def _log_with(*records):
    log = configuration.ConfigurationLog()
    log.apply(0, _publish("first", -1, _TABLES))
    for offset, record in enumerate(records, 1):
        log.apply(offset, record)
    return log


def test_deltas_replace_and_delete_entries():
    """Guards against a delta that changes entries which it does not name."""
    log = _log_with(_publish("b", 0, {"workspace/a": {"weight": 2.0}}, ()))
    assert log.version == 1
    assert log.configuration.workspaces["a"].weight == 2.0
    log.apply(2, _publish("c", 1, {}, ["workspace/a", "preset/peak"]))
    assert log.configuration.workspaces == {}
    assert list(log.configuration.presets) == ["ordinary"]


def test_conflict_names_entries_changed_since_the_base():
    """Guards against a publication that overwrites a newer change unseen."""
    log = _log_with(
        _publish("b", 0, {"workspace/a": {"weight": 2.0}}),
        _publish("c", 1, {"active/preset": {"name": "peak"}}),
        _publish("d", 0, {"workspace/b": {"weight": 2.0}}),
    )
    verdict = log.verdict("d")
    assert verdict.kind is _KINDS.CONFLICT
    assert verdict.entries == ("active/preset", "workspace/a")
    assert (verdict.complete, log.version) == (True, 2)


def test_invalid_publication_reports_all_errors_and_changes_nothing():
    """Guards against an invalid publication that takes effect."""
    bad = {"workspace/a": {"weight": 0}, "route/r": {}, "x": {}}
    log = _log_with(_publish("b", 0, bad), _publish("c", 0, {}, ["tier/none"]))
    assert log.verdict("b").kind is _KINDS.INVALID
    assert log.verdict("c").errors[0].startswith('entry "tier/none": is del')
    # A weight of 0, three missing keys of the route, a bad address.
    assert len(log.verdict("b").errors) == 5
    assert log.version == 0


def test_repeated_append_is_applied_once():
    """Guards against a conflict with the first append after a retry."""
    record = _publish("b", 0, {"workspace/a": {"weight": 2.0}})
    log = _log_with(record, record)
    assert log.verdict("b").kind is _KINDS.ACCEPTED
    assert (log.version, log.through) == (1, 2)


def test_reader_after_expiry_waits_for_a_snapshot_that_covers_the_gap():
    """Guards against a new node that starts from an incomplete state.

    Records 0 and 1 have expired. The snapshot through 0 does not cover record
    1, so the node must wait for the one through 1.
    """
    full = _log_with(_publish("b", 0, {"workspace/a": {"weight": 2.0}}))
    early = _log_with().snapshot()
    late = full.snapshot()
    new = configuration.ConfigurationLog()
    third = _publish("c", 1, {"workspace/b": {"weight": 3.0}})
    new.apply(2, third)
    new.apply(3, early)
    assert (new.version, new.waiting, new.next_offset) == (-1, True, 4)
    new.apply(4, late)
    assert (new.version, new.waiting, new.through) == (2, False, 4)
    assert new.verdict("first").kind is _KINDS.ACCEPTED


def test_older_snapshot_does_not_replace_newer_state():
    """Guards against a version that reverts to a paused node's snapshot."""
    old = _log_with().snapshot()
    log = _log_with(_publish("b", 0, {"workspace/a": {"weight": 2.0}}), old)
    assert not log.adopt(old)
    assert (log.version, log.through) == (1, 2)
    forged = {**old, "through": 9}
    assert not log.adopt(forged)
    assert log.ignored == 1


def test_snapshot_is_due_before_the_record_after_it_expires():
    """Guards against expired records that leave new nodes without a state.

    A snapshot is usable only while the first record after it is kept.
    """
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
    log = _log_with(
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
def test_malformed_records_are_never_fatal(value, kind, key):
    """Guards against a malformed record that raises at every node."""
    log = _log_with()
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
    """Operators and nodes that share one log, under faults.

    Answers to appends are lost (the operator appends again), records expire,
    snapshots arrive late, nodes crash, fall behind, and adopt the state of a
    peer. The reference node applies every record at once, without faults.
    """

    node_class = configuration.ConfigurationLog
    counts: ClassVar[dict] = collections.Counter()

    def __init__(self):
        super().__init__()
        self.records = [_publish("first", -1, _TABLES)]
        self.first_kept = 0
        self.operations = 0
        self.started = 0
        self.reference = configuration.ConfigurationLog()
        self.nodes = {}
        self.snapshots = []
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
                reported = node.verdict(f"op-{number}")
                if reported is not None:
                    self.facts.append(
                        invariants.VerdictReported(
                            name, reported.operation, reported.kind
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
        position = max(node.next_offset, self.first_kept)
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
            self.snapshots.append(node.snapshot())

    @stateful.rule(number=st.integers(0, 5), late=st.integers(0, 3))
    def append_snapshot(self, number, late):
        node = self.pick(number)
        if node.version >= 0:
            self.snapshots.append(node.snapshot())
        if self.snapshots:
            self.records.append(self.snapshots[-1 - late % len(self.snapshots)])
        self.observe()

    @stateful.rule(number=st.integers(0, 5), peer=st.integers(0, 5))
    def adopt_from_peer(self, number, peer):
        snapshot = copy.deepcopy(self.pick(peer).snapshot())
        self.snapshots.append(snapshot)
        self.counts["adopted"] += self.pick(number).adopt(snapshot)
        self.observe()

    @stateful.rule(number=st.integers(0, 5), late=st.integers(0, 9))
    def adopt_late(self, number, late):
        if self.snapshots:
            snapshot = copy.deepcopy(self.snapshots[late % len(self.snapshots)])
            self.counts["adopted"] += self.pick(number).adopt(snapshot)
        self.observe()

    @stateful.rule(kept=st.integers(0, 6))
    def expire(self, kept):
        self.first_kept = max(self.first_kept, len(self.records) - kept)

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
                expected = declarations.parse(node.tables).ok
                assert node.configuration == expected
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
    """Guards against nodes whose versions revert or whose verdicts differ.

    The faults of `ConfigurationMachine` occur in random order.
    """
    _run(ConfigurationMachine, 100)
    print("configuration:", ConfigurationMachine.counts)
    assert ConfigurationMachine.counts["steps"] > 1000


class _AdoptsOldSnapshots(configuration.ConfigurationLog):
    def _adopt(self, snapshot):
        self.version = self.through = -1
        return super()._adopt(snapshot)


class _IgnoresGaps(configuration.ConfigurationLog):
    def _buffer_record(self, offset, record):
        self._apply_next(offset, record)


class _LastWriterWins(configuration.ConfigurationLog):
    def _evaluate(self, offset, publication):
        publication.base = self.version
        return super()._evaluate(offset, publication)


class _AcceptsRepeatedOperations(configuration.ConfigurationLog):
    def _decide(self, offset, publication):
        self._verdicts.pop(publication.operation, None)
        return super()._decide(offset, publication)


def _late_snapshot(machine):
    """A peer's snapshot arrives after a change that it does not contain."""
    machine.read(0, 20)
    machine.take_snapshot(0)
    machine.publish(0, "a", 2, False, False)
    machine.read(0, 20)
    machine.adopt_late(0, 0)


def _expired_first_record(machine):
    """A new node starts after the first record has expired."""
    machine.publish(0, "a", 2, False, False)
    machine.expire(1)
    machine.read(0, 20)


def _two_operators(machine):
    """Two operators publish on the same base."""
    machine.read(0, 20)
    machine.publish(0, "a", 2, False, True)
    machine.publish(0, "a", 3, False, True)
    machine.read(0, 20)


def _repeated_append(machine):
    """The answer to an append is lost, so it is repeated."""
    machine.publish(0, "a", 2, True, False)
    machine.read(0, 20)


@pytest.mark.parametrize(
    ("scenario", "broken"),
    [
        (_late_snapshot, _AdoptsOldSnapshots),
        (_expired_first_record, _IgnoresGaps),
        (_two_operators, _LastWriterWins),
        (_repeated_append, _AcceptsRepeatedOperations),
    ],
)
def test_invariants_detect_faulty_implementations(scenario, broken):
    """Guards against invariants that never fail.

    The invariants must hold in each scenario for the real class and fail for
    one with a known fault.
    """

    class Machine(ConfigurationMachine):
        node_class = broken

    sound = ConfigurationMachine()
    scenario(sound)
    sound.teardown()
    machine = Machine()
    scenario(machine)
    with pytest.raises(AssertionError):
        machine.teardown()
