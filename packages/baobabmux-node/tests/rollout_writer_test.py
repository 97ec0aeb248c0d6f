"""State machine of a roll-out's records: two nodes that both decide.

Either may decide either way, freeze between its read and its write, be killed
and start again; the store may lose an answer, or do a write late.
"""

import hypothesis
import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from baobabmux_core import (
    declarations,
    ids,
    membership,
    node_view,
    rollout_trials,
)
from baobabmux_node import rollout_writer

Phase = rollout_trials.Phase
_SERVICE = ids.ServiceName("desk")
_CENTRE = ids.DataCentre("cell")
_FINAL = {"completed", "rolled_back"}
_ORDER = rollout_trials.Order(_SERVICE, "v2", 12.0, 4, 0.0)


class _Store:
    """Two topics, and writes that are done late."""

    def __init__(self):
        self.taken = []
        self.states = []
        self.late = []
        self.fault = ""

    def append(self, topic, record, at):
        """Returns whether it was written; raises if no answer comes."""
        fault, self.fault = self.fault, ""
        if fault == "away":
            raise rollout_writer.LedgerError("away")
        if fault == "late":
            self.late.append((topic, record, at))
            raise rollout_writer.LedgerError("no answer")
        done = len(topic) == at
        if done:
            topic.append(record)
        if fault == "lost":
            raise rollout_writer.LedgerError("no answer")
        return done


class _Ledger(rollout_writer.Ledger):
    def __init__(self, store):
        self.store = store

    async def taken(self, service):
        taken = self.store.taken
        return (taken[-1] if taken else None), len(taken)

    async def take(self, service, taken, at):
        return self.store.append(self.store.taken, taken, at)

    async def result(self, service, since):
        states = self.store.states
        return (states[-1] if len(states) > since else None), len(states)

    async def write_result(self, service, target, state, at):
        return self.store.append(self.store.states, state, at)


class _Node:
    """One node that owns the service's group as far as it knows."""

    def __init__(self, store):
        name = ids.NodeId("n")
        view = node_view.NodeView(
            name, _CENTRE, membership.Membership(name, _CENTRE, 0.0)
        )
        endpoint = declarations.Endpoint(
            service=_SERVICE,
            data_centre=_CENTRE,
            vm=ids.VmId("o"),
            address="127.0.0.1:1",
        )
        view.configuration = declarations.Configuration(
            services={_SERVICE: declarations.Service(kind="plain")},
            endpoints={ids.EndpointId("o"): endpoint},
            tiers={},
            routes={},
            presets={},
            active=ids.PresetName("ordinary"),
        )
        view.owned[ids.group_id(_SERVICE, _CENTRE)] = None
        self.known = view.rollouts
        self.writer = rollout_writer.RolloutWriter(self.known, _Ledger(store))

    def run(self, coroutine):
        """Runs to the end; the fake store never waits."""
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value
        except rollout_writer.LedgerError:
            return None
        raise AssertionError("the writer waits for something else")

    def step(self):
        self.run(self.writer.step(1.0, 1000))

    def decide(self, phase):
        standing = self.known.standings.get(_SERVICE)
        if standing is not None:
            self.known._set_phase(standing, phase, "")


class _Machine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        # An earlier order of the service with the same version ended well.
        self.store = _Store()
        self.store.states = ["in_progress", "completed"]
        self.nodes = [_Node(self.store), _Node(self.store)]
        self.first_result = None

    @stateful.rule(index=st.integers(0, 1))
    def hear(self, index):
        self.nodes[index].known.ordered(_ORDER, 0.5)

    @stateful.rule(index=st.integers(0, 1))
    def start_again(self, index):
        self.nodes[index] = _Node(self.store)
        node = self.nodes[index]
        node.run(node.writer.restore(_ORDER, 0.5, 500))

    @stateful.rule(
        index=st.integers(0, 1),
        phase=st.sampled_from(
            [Phase.TRYING, Phase.PROMOTING, Phase.FINISHING, Phase.REVERTING]
        ),
    )
    def decide(self, index, phase):
        self.nodes[index].decide(phase)

    @stateful.rule(
        index=st.integers(0, 1),
        fault=st.sampled_from(["", "", "", "away", "lost", "late"]),
    )
    def step(self, index, fault):
        self.store.fault = fault
        self.nodes[index].step()
        self.store.fault = ""

    @stateful.rule()
    def do_late_writes(self):
        late, self.store.late = self.store.late, []
        for topic, record, at in late:
            if len(topic) == at:
                topic.append(record)

    @stateful.invariant()
    def one_result_is_written(self):
        written = [s for s in self.store.states[2:] if s in _FINAL]
        assert len(written) <= 1
        if written:
            assert self.store.states[-1] == written[0]

    @stateful.invariant()
    def nodes_believe_the_store_only(self):
        for node in self.nodes:
            standing = node.known.standings.get(_SERVICE)
            if standing is None:
                continue
            if standing.phase is Phase.COMPLETED:
                assert self.store.states[-1] == "completed"
                assert len(self.store.states) > 2
            if standing.phase is Phase.ROLLED_BACK:
                assert self.store.states[-1] == "rolled_back"

    def teardown(self):
        """Both nodes end up with the result that the store holds."""
        for node in self.nodes:
            node.known.ordered(_ORDER, 0.5)
            node.decide(Phase.REVERTING)
            node.step()
            node.step()
        assert self.store.states[-1] in _FINAL
        expected = (
            Phase.COMPLETED
            if self.store.states[-1] == "completed"
            else Phase.ROLLED_BACK
        )
        for node in self.nodes:
            assert node.known.standings[_SERVICE].phase is expected
        self.one_result_is_written()


TestRolloutRecords = _Machine.TestCase
TestRolloutRecords.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25, deadline=None, derandomize=True
)


def test_order_that_was_turned_away_is_not_taken_up_at_a_start():
    """Guards against a second order that a restarted node carries out."""
    store = _Store()
    node = _Node(store)
    node.known.ordered(_ORDER, 0.5)
    node.step()
    second = msgspec.structs.replace(_ORDER, number=9, target="v3")
    assert node.known.ordered(second, 0.6) is not None
    node.step()
    restarted = _Node(store)
    restarted.run(restarted.writer.restore(second, 1.0, 1000))
    assert restarted.known.standings[_SERVICE].order.target == "v2"
