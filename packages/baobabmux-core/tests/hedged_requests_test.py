"""Tests of hedges from holders through owners to endpoints."""

import pathlib

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from baobabmux_core import effects, states
from baobabmux_standins import modules

_driver = modules.load(
    pathlib.Path(__file__).with_name("scheduler_test.py"), "hedges_driver"
)
_SERVICE = {
    "endpoints": 4,
    "hedge_quantile": 0.9,
    "hedge_request_share": 0.1,
    "hedge_token_share": 0.1,
    "hedge_workspace_share": 1.0,
}
_ANSWER_SECONDS = 0.05


class _Cluster(_driver.Cluster):
    """Cluster whose requests may run at two endpoints.

    Attributes:
        hedges: Dispatches of hedges with their times.
        ended: Times at which first attempts that ran have ended.
    """

    def __init__(self, **options):
        self.hedges = []
        self.ended = []
        super().__init__(**{**_SERVICE, **options})

    def begin(self, request, node=0, **fields):
        """Submits a request and dispatches it if it is granted."""
        self.submit(request, node, **{"max_attempts": 3, **fields})
        self._dispatch(request)
        return request in self.running

    def hedge(self, request):
        """Asks for a second endpoint; returns whether it runs there."""
        name = f"{request}+1"
        node = self.holder_of[request]
        self.holder_of[name] = node
        self.tiers[name] = self.tiers[request]
        emitted = self.nodes[node].ask_backup(request, name, self.now, True)
        self.carry_out(node, emitted)
        self._dispatch(name)
        if name in self.running:
            self.hedges.append(self.now)
        return name in self.running

    def _dispatch(self, request):
        self.deliver_all()
        if request in self.pending:
            self.step(request)
        self.deliver_all()

    def answer(self, request):
        """Completes a request."""
        node = self.holder_of[request]
        self.carry_out(node, self.nodes[node].first_token(request, self.now))
        self.end(request, states.Outcome.COMPLETED)

    def end(self, request, outcome, superseded=False):
        """Ends an attempt."""
        node = self.holder_of[request]
        del self.running[request]
        emitted = self.nodes[node].finished(
            request, outcome, self.now, superseded=superseded
        )
        self.carry_out(node, emitted)
        if not request.endswith("+1"):
            self.ended.append(self.now)
        self.deliver_all()

    def learn(self, count=120):
        """Serves requests one after the other."""
        for number in range(count):
            request = f"l{len(self.holder_of)}"
            assert self.begin(request, number % 3)
            self.now += _ANSWER_SECONDS
            self.answer(request)

    def delay(self, request):
        node = self.holder_of[request]
        return self.nodes[node].hedge_delay(request)


def test_slow_request_runs_at_a_second_endpoint():
    """Guards against one slow endpoint that decides how long callers wait.

    The second endpoint answers; the other attempt ends and frees its place.
    """
    cluster = _Cluster()
    cluster.learn(240)
    assert cluster.begin("slow")
    assert cluster.delay("slow") == pytest.approx(_ANSWER_SECONDS)
    cluster.now += 1.0
    assert cluster.hedge("slow")
    assert cluster.running["slow"] != cluster.running["slow+1"]
    cluster.end("slow", states.Outcome.CANCELLED, superseded=True)
    cluster.answer("slow+1")
    assert sum(n for n, _ in cluster.outstanding().values()) == 0


def test_second_endpoint_is_given_up_when_the_first_one_answers():
    """Guards against a place that a hedge keeps after the answer."""
    cluster = _Cluster()
    cluster.learn(240)
    cluster.begin("slow")
    cluster.now += 1.0
    assert cluster.hedge("slow")
    cluster.answer("slow")
    cluster.end("slow+1", states.Outcome.CANCELLED)
    assert sum(n for n, _ in cluster.outstanding().values()) == 0


def test_nothing_is_hedged_by_default():
    """Guards against extra work that no operator asked for."""
    cluster = _Cluster(hedge_quantile=0.0)
    cluster.learn(240)
    cluster.begin("slow")
    assert cluster.delay("slow") is None
    assert not cluster.hedge("slow")


@pytest.mark.parametrize("fields", [{"idempotent": False}, {"max_attempts": 1}])
def test_request_that_may_not_run_twice_is_not_hedged(fields):
    """Guards against a second run of a request that may run once."""
    cluster = _Cluster()
    cluster.learn(240)
    cluster.begin("slow", **fields)
    cluster.now += 1.0
    assert not cluster.hedge("slow")


def test_stream_is_not_hedged_after_its_first_event():
    """Guards against hedges where only a silent answer gets a backup."""
    cluster = _Cluster()
    cluster.learn(240)
    cluster.begin("slow", resumable=True)
    node = cluster.holder_of["slow"]
    cluster.nodes[node].first_token("slow", cluster.now)
    cluster.now += 1.0
    assert not cluster.hedge("slow")


def test_hedges_stop_before_first_attempts_wait():
    """Guards against extra work while places are short.

    Three quarters of the places are taken, then all of them.
    """
    cluster = _Cluster()
    cluster.learn(240)
    places = 4 * _driver._MAX_REQUESTS
    for number in range(places * 3 // 4):
        assert cluster.begin(f"r{number}", number % 3)
    cluster.now += 1.0
    assert not cluster.hedge("r0")
    for number in range(places):
        cluster.begin(f"w{number}", number % 3)
    assert not cluster.hedge("r1")
    assert not cluster.hedges


def test_limit_holds_over_all_nodes():
    """Guards against nodes that each use the whole limit."""
    cluster = _Cluster()
    cluster.learn(120)
    hedged = 0
    for number in range(30):
        request = f"r{number}"
        cluster.begin(request, number % 3)
        if cluster.hedge(request):
            hedged += 1
            cluster.end(f"{request}+1", states.Outcome.CANCELLED)
        cluster.answer(request)
    assert 12 <= hedged <= 15


def test_new_owner_grants_no_hedges_for_what_others_granted():
    """Guards against a limit that each owner grants anew."""
    cluster = _Cluster()
    cluster.learn(240)
    owner = cluster.members.owner("drafting@col-a")
    cluster.members.centres["col-a"].remove(owner)
    gone = list(cluster.nodes).index(owner)
    del cluster.nodes[owner]
    cluster.members_changed()
    cluster.deliver_all()
    cluster.advance(1.0)
    del gone
    cluster.begin("slow")
    assert not cluster.hedge("slow")


def test_owner_of_an_older_build_is_not_asked_for_hedges():
    """Guards against hedges that no limit bounds."""
    cluster = _Cluster()
    cluster.learn(240)
    for core in cluster.nodes.values():
        core.set_hedging_owners(lambda owner: False)
    cluster.begin("slow")
    cluster.now += 1.0
    assert not cluster.hedge("slow")


class _Races(stateful.RuleBasedStateMachine):
    """Requests at two endpoints: answers, breaks, callers that leave, cuts.

    An owner may be silent for a while. Hedges never exceed the limit, nothing
    that may run once runs twice, and all places are free in the end.
    """

    def __init__(self):
        super().__init__()
        self.cluster = _Cluster()
        self.cluster.learn(60)
        self.count = 0
        self.once = set()

    def _running(self, hedged):
        return [
            request
            for request in self.cluster.running
            if request.endswith("+1") is hedged
            and self.cluster.holder_of[request] not in self.cluster.paused
        ]

    @stateful.rule(node=st.integers(0, 2), idempotent=st.booleans())
    def submit(self, node, idempotent):
        name = list(self.cluster.nodes)[node]
        if name in self.cluster.paused:
            return
        self.count += 1
        request = f"r{self.count}"
        if not idempotent:
            self.once.add(request)
        self.cluster.begin(request, node, idempotent=idempotent)

    @stateful.rule(data=st.data())
    def hedge(self, data):
        slow = [
            request
            for request in self._running(False)
            if f"{request}+1" not in self.cluster.holder_of
        ]
        if slow:
            self.cluster.hedge(data.draw(st.sampled_from(slow)))

    @stateful.rule(data=st.data(), hedge_wins=st.booleans())
    def one_answers(self, data, hedge_wins):
        """One attempt answers; the other one is cancelled."""
        running = self._running(False)
        if not running:
            return
        request = data.draw(st.sampled_from(running))
        hedge = f"{request}+1"
        if hedge not in self.cluster.running:
            self.cluster.answer(request)
        elif hedge_wins:
            self.cluster.end(request, states.Outcome.CANCELLED, True)
            self.cluster.answer(hedge)
        else:
            self.cluster.answer(request)
            self.cluster.end(hedge, states.Outcome.CANCELLED)

    @stateful.rule(data=st.data())
    def caller_leaves(self, data):
        running = self._running(False)
        if not running:
            return
        request = data.draw(st.sampled_from(running))
        for name in (request, f"{request}+1"):
            if name in self.cluster.running:
                self.cluster.end(name, states.Outcome.CANCELLED)

    @stateful.rule(data=st.data())
    def endpoint_of_a_hedge_breaks(self, data):
        running = self._running(True)
        if running:
            request = data.draw(st.sampled_from(running))
            self.cluster.end(request, states.Outcome.BROKEN, True)

    @stateful.rule()
    def owner_falls_silent(self):
        self.cluster.paused.add(self.cluster.members.owner("drafting@col-a"))

    @stateful.rule()
    def owner_is_back(self):
        self.cluster.paused.clear()

    @stateful.rule(seconds=st.floats(0.05, 3.0))
    def time_passes(self, seconds):
        self.cluster.advance(seconds)
        for request in list(self.cluster.pending):
            if self.cluster.holder_of[request] not in self.cluster.paused:
                effect = self.cluster.pending[request]
                assert isinstance(effect, effects.Dispatch)
                self.cluster.step(request)
                if request.endswith("+1"):
                    self.cluster.hedges.append(self.cluster.now)
        self.cluster.deliver_all()

    @stateful.invariant()
    def limit_holds(self):
        for end in self.cluster.hedges:
            hedges = sum(end - 10 < at <= end for at in self.cluster.hedges)
            firsts = sum(end - 20 < at <= end for at in self.cluster.ended)
            assert hedges <= 0.1 * firsts

    @stateful.invariant()
    def nothing_runs_twice_that_may_run_once(self):
        assert not any(
            f"{request}+1" in self.cluster.written for request in self.once
        )

    def teardown(self):
        self.cluster.paused.clear()
        for _ in range(10):
            self.time_passes(1.0)
            for request in list(self.cluster.running):
                self.cluster.end(request, states.Outcome.CANCELLED)
        assert sum(n for n, _ in self.cluster.outstanding().values()) == 0


TestRaces = _Races.TestCase
TestRaces.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
