"""Tests of membership: liveness, ownership and heartbeats."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from baobabmux_core import membership, states

_STEP = 0.25
_LIVE = states.MemberState.LIVE
_SUSPECT = states.MemberState.SUSPECT
_GONE = states.MemberState.GONE


def _entry(name, kind="node", state="live", data_centre=None):
    return membership.VmEntry(
        name, kind, data_centre or name[0], state, f"{name}:1", f"{name}:2"
    )


def _view(node="a1", peers=("a2", "a3"), now=0.0):
    view = membership.Membership(node, node[0], now)
    view.apply_vm_list([_entry(name) for name in (node, *peers)], now, now)
    return view


def _run(view, start, end, senders=()):
    """Ticks from start to end; the senders send a frame before each tick."""
    changes = []
    for step in range(1, round((end - start) / _STEP) + 1):
        now = start + step * _STEP
        for node in senders:
            view.record_frame(node, 1, False, now)
        changes += view.tick(now)
    return changes


def test_silent_peer_is_suspected_within_the_detection_time():
    """Guards against a dead node that stays the owner of its groups."""
    view = _view()
    _run(view, 0.0, 5.0, ["a2", "a3"])
    assert view.live("a") == ["a1", "a2", "a3"]
    limit = view.detection_seconds("a") + _STEP
    changes = _run(view, 5.0, 5.0 + limit, ["a2"])
    assert view.live("a") == ["a1", "a2"]
    assert [(c.node, c.state) for c in changes] == [("a3", _SUSPECT)]


def test_suspected_peer_is_reinstated_by_its_next_frame():
    """Guards against a node that stays suspected after a pause."""
    view = _view()
    _run(view, 0.0, 5.0, ["a2"])
    assert view.state("a3") is _SUSPECT
    view.record_frame("a3", 1, False, 5.1)
    assert "a3" in view.live("a")


def test_listed_but_never_started_node_owns_nothing():
    """Guards against groups owned by a VM whose process does not run."""
    view = _view()
    _run(view, 0.0, 5.0, ["a2", "a3"])
    nodes = ["a1", "a2", "a3", "a4"]
    view.apply_vm_list([_entry(name) for name in nodes], 5.0, 5.0)
    assert "a4" not in view.live("a")
    view.record_frame("a4", 1, False, 5.1)
    assert "a4" in view.live("a")


def test_unlisted_node_counts_for_a_bounded_time():
    """Guards against ignoring a new node that the list does not contain yet.

    A node that stays unlisted must not count for ever.
    """
    view = _view()
    view.record_frame("a9", 1, False, 1.0, "a", "a9:1")
    assert "a9" in view.live("a")
    assert view.peer_address("a9") == "a9:1"
    listed = [_entry(name) for name in ("a1", "a2", "a3")]
    for now in range(2, 40):
        view.record_frame("a9", 1, False, now, "a", "a9:1")
        view.apply_vm_list(listed, now, now)
        view.tick(now)
        assert ("a9" in view.live("a")) == (now < 31)


def test_unlisted_node_without_address_owns_nothing():
    """Guards against requests sent to an owner whose address is unknown."""
    view = _view()
    view.record_frame("a9", 1, False, 1.0, "a")
    assert "a9" not in view.live("a")
    assert "a9" not in view.reachable()


def test_leaving_is_final_for_an_incarnation():
    """Guards against a late frame that makes a leaving owner live again."""
    view = _view()
    view.record_frame("a2", 5, True, 1.0)
    view.record_frame("a2", 5, False, 1.1)
    assert "a2" not in view.live("a")
    assert "a2" in view.reachable()
    view.record_frame("a2", 6, False, 1.2)
    assert "a2" in view.live("a")
    change = view.tick(1.25)[-1]
    assert change.restarted
    assert view.is_restart("a2", 7, 1.3)
    assert not view.is_restart("a2", 6, 1.3)
    assert not view.is_restart("a2", 5, 1.3)
    view.record_frame("a2", 5, True, 1.3)
    assert "a2" in view.live("a")


def test_long_pause_of_the_own_process_suspects_nobody():
    """Guards against a resumed node that takes ownership of every group.

    During its pause it received no frames, although its peers were live.
    """
    view = _view()
    _run(view, 0.0, 5.0, ["a2", "a3"])
    view.tick(60.0)
    assert view.live("a") == ["a1", "a2", "a3"]
    _run(view, 60.0, 63.0, ["a2"])
    assert view.live("a") == ["a1", "a2"]


def test_list_outage_keeps_the_last_list_and_old_lists_are_ignored():
    """Guards against losing all members when the list service fails."""
    view = _view()
    _run(view, 0.0, 500.0, ["a2", "a3"])
    assert view.live("a") == ["a1", "a2", "a3"]
    view.apply_vm_list([], -1.0, 500.0)
    assert view.live("a") == ["a1", "a2", "a3"]


def test_unreachable_data_centre_has_no_owner_until_it_returns():
    """Guards against requests sent to an unreachable data centre."""
    view = _view("a1", ("b1", "b2", "b3"))
    _run(view, 0.0, 5.0, ["b1", "b2"])
    assert view.live("b") == ["b1", "b2", "b3"]
    _run(view, 5.0, 8.0)
    assert view.owner("s@b") is None
    assert view.owner("s@a") == "a1"
    _run(view, 8.0, 8.5, ["b2"])
    assert "b2" in view.live("b")
    assert "b3" in view.live("b")


def test_dead_remote_delegate_stays_suspected():
    """Guards against a state that alternates with each tick.

    A suspect is no delegate, so its further silence must not clear it.
    """
    view = _view("a1", ("b1", "b2", "b3"))
    dead, *others = view.delegates("b")
    _run(view, 0.0, 5.0, ["b1", "b2", "b3"])
    changes = _run(view, 5.0, 30.0, others)
    assert [c.state for c in changes if c.node == dead] == [_SUSPECT]


def test_delegates_report_suspects_to_other_data_centres():
    """Guards against "still running" for a holder that died elsewhere.

    Only the delegates of its data centre detect its failure.
    """
    names = ["a1", "a2", "a3", "b1", "b2", "b3"]
    views = {
        name: _view(name, [n for n in names if n != name]) for name in names
    }
    dead = next(
        n for n in ("b1", "b2", "b3") if n not in views["b1"].delegates("b")
    )
    for step in range(1, 33):
        now = step * _STEP
        for name in set(names) - {dead}:
            views[name].tick(now)
            for to in set(views[name].heartbeat_targets(now)) - {dead}:
                views[to].record_frame(name, 1, False, now)
                views[to].record_suspects(
                    name, views[name].suspects_for(to), now
                )
    for name in set(names) - {dead}:
        assert dead not in views[name].reachable()
        assert len(views[name].reachable()) == 5


def test_heartbeats_stay_within_their_rate():
    """Guards against heartbeats that grow with the square of the nodes."""
    peers = [f"a{i}" for i in range(2, 43)]
    peers += [f"{dc}{i}" for dc in "bcdefgh" for i in range(42)]
    view = _view("a1", peers)
    sent = 0
    for step in range(1, 401):
        now = step * _STEP
        for node in peers:
            view.record_frame(node, 1, False, now)
        view.tick(now)
        sent += len(view.heartbeat_targets(now))
    first = 41 + 14
    assert sent <= 20 * 100 + first
    assert view.heartbeat_interval("a") == 41 / 20


def test_endpoint_vm_follows_the_list():
    """Guards against work for an endpoint whose VM is leaving or gone."""
    view = membership.Membership("a1", "a", 0.0)
    assert view.endpoint_vm_state("e1") is states.EndpointState.LIVE
    seen = []
    for state in ("live", "leaving"):
        view.apply_vm_list([_entry("e1", "endpoint", state, "a")], 1.0, 1.0)
        seen.append(view.endpoint_vm_state("e1"))
    view.apply_vm_list([], 2.0, 2.0)
    seen.append(view.endpoint_vm_state("e1"))
    assert [state.value for state in seen] == ["live", "leaving", "gone"]


def test_last_leaving_node_still_owns_its_groups():
    """Guards against queued requests that nobody grants during a shutdown."""
    view = _view("a1", ())
    view.leave(1.0)
    assert view.live("a") == []
    assert view.owner("s@a") == "a1"


def test_node_that_the_list_drops_gives_up_ownership():
    """Guards against a node that owns groups which others take over.

    Other nodes exclude a node that the list shows as leaving or lacks.
    """
    view = _view("a1", ())
    view.record_frame("a2", 1, False, 0.5, "a", "a2:1")
    view.apply_vm_list([_entry("a1", state="leaving"), _entry("a2")], 1.0, 1.0)
    assert view.live("a") == ["a2"]
    view.apply_vm_list([_entry("a1"), _entry("a2")], 2.0, 2.0)
    assert view.live("a") == ["a1", "a2"]
    for now in (3.0, 20.0, 33.0):
        view.record_frame("a2", 1, False, now)
        view.apply_vm_list([_entry("a2")], now, now)
        assert ("a1" in view.live("a")) == (now < 33.0)


class _Node:
    """One node of the state machine, with its own view."""

    def __init__(self, name, incarnation, now):
        self.view = membership.Membership(name, name[0], now)
        self.incarnation = incarnation
        self.paused = False


class MembershipMachine(stateful.RuleBasedStateMachine):
    """A cluster of two data centres in which links and nodes fail."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.nodes = {}
        self.listed = {}
        self.list_down = False
        self.sides = {}
        self.incarnations = 0
        for name in ("a1", "a2", "a3", "b1", "b2", "b3"):
            self._start(name)
        self._settle()

    @stateful.initialize(with_leaving=st.booleans())
    def choose(self, with_leaving):
        self.with_leaving = with_leaving

    def _start(self, name):
        self.incarnations += 1
        self.nodes[name] = _Node(name, self.incarnations, self.now)
        self.listed[name] = _entry(name)
        self.list_down = False

    def _list(self, node):
        node.view.apply_vm_list(list(self.listed.values()), self.now, self.now)

    def _step(self):
        self.now += _STEP
        awake = {n: v for n, v in self.nodes.items() if not v.paused}
        for name, node in awake.items():
            if not self.list_down:
                self._list(node)
            node.view.tick(self.now)
            for to in node.view.heartbeat_targets(self.now):
                if to in awake and self._side(to) == self._side(name):
                    awake[to].view.record_frame(
                        name, node.incarnation, node.view.leaving, self.now
                    )
                    awake[to].view.record_suspects(
                        name, node.view.suspects_for(to), self.now
                    )

    def _side(self, name):
        return self.sides.get(name, 0)

    def _settle(self):
        # Time to detect a dead delegate in its own data centre, then in the
        # other one, and some intervals for the reports in heartbeats.
        for _ in range(round(6.0 / _STEP)):
            self._step()

    @stateful.rule(name=st.sampled_from(["a1", "a2", "a4", "b1", "b4"]))
    def start(self, name):
        if name not in self.nodes:
            self._start(name)

    @stateful.rule(data=st.data(), reap=st.booleans())
    def crash(self, data, reap):
        if not self.nodes:
            return
        name = data.draw(st.sampled_from(sorted(self.nodes)))
        del self.nodes[name]
        if reap:
            del self.listed[name]

    @stateful.precondition(lambda self: self.with_leaving)
    @stateful.rule(data=st.data())
    def leave(self, data):
        if self.nodes:
            name = data.draw(st.sampled_from(sorted(self.nodes)))
            self.nodes[name].view.leave(self.now)

    @stateful.precondition(lambda self: self.with_leaving)
    @stateful.rule(data=st.data(), state=st.sampled_from(["live", "leaving"]))
    def list_as(self, data, state):
        if self.nodes:
            name = data.draw(st.sampled_from(sorted(self.nodes)))
            self.listed[name] = _entry(name, state=state)

    @stateful.rule(data=st.data())
    def pause_or_resume(self, data):
        if self.nodes:
            name = data.draw(st.sampled_from(sorted(self.nodes)))
            self.nodes[name].paused = not self.nodes[name].paused

    @stateful.rule(
        cut=st.sets(st.sampled_from(["a1", "a2", "a3", "b1", "b2", "b3"]))
    )
    def cut(self, cut):
        self.sides = dict.fromkeys(cut, 1)

    @stateful.rule()
    def cut_data_centre(self):
        self.sides = {name: 1 for name in self.nodes if name[0] == "a"}

    @stateful.rule()
    def heal(self):
        self.sides = {}

    @stateful.rule(down=st.booleans())
    def list_outage(self, down):
        # Nodes can answer a node only if their list contains its address, so
        # agreement is expected only if all nodes read the list before.
        if down and not any(node.paused for node in self.nodes.values()):
            self._step()
            self.list_down = True
        elif not down:
            self.list_down = False

    @stateful.rule(steps=st.integers(1, 30))
    def run_on(self, steps):
        for _ in range(steps):
            self._step()

    @stateful.rule()
    def members_agree_after_settling(self):
        """Guards against two lasting owners of a group, or a dead one."""
        self._settle()
        by_side = {}
        awake = [n for n, node in self.nodes.items() if not node.paused]
        for name in awake:
            by_side.setdefault((self._side(name), name[0]), []).append(name)
        for (_, data_centre), names in by_side.items():
            self._check_owners(data_centre, names, names)
        # Leaving nodes of the other data centre are known only from the list.
        if self.with_leaving:
            return
        for side in {self._side(name) for name in awake}:
            here = [name for name in awake if self._side(name) == side]
            for data_centre in "ab":
                inside = [n for n in here if n[0] == data_centre]
                whole = [n for n in awake if n[0] == data_centre]
                if inside in ([], whole):
                    self._check_owners(data_centre, here, inside or [None])

    def _check_owners(self, data_centre, names, candidates):
        for group in (f"{s}@{data_centre}" for s in ("s", "t", "u")):
            owners = {self.nodes[n].view.owner(group) for n in names}
            assert len(owners) == 1
            assert owners <= set(candidates)


MembershipTest = MembershipMachine.TestCase
MembershipTest.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=50,
    stateful_step_count=25,
)
