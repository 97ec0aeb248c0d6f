"""Tests that the invariant queries detect broken scheduling decisions.

Each case replaces one decision of the scheduling code by a broken version and
runs a short scenario on the cluster of `scheduler_test`. The same scenario must
pass on the unchanged code. A state machine runs the same queries while
endpoints close and nodes stop.
"""

import collections
import pathlib
from typing import ClassVar

import pytest
from hypothesis import Phase, settings
from hypothesis import stateful as st
from hypothesis import strategies as hs

from baobabmux_core import (
    effects,
    errors,
    grants,
    holders,
    invariants,
    messages,
    queues,
    scheduler,
    states,
)
from baobabmux_standins import modules

_ROUTE_SECONDS = 30.0
_SERVICE = "drafting"
_FIRST = "e0-col-a"


_cluster_module = modules.load(
    pathlib.Path(__file__).with_name("scheduler_test.py"), "scheduler_driver"
)


class _Recorded(_cluster_module.Cluster):
    """Cluster that records the facts that the queries of this module need."""

    def __init__(self, **options):
        self.leases = {}
        self.deadlines = {}
        self.events = []  # Closed endpoints, dispatches and stops, in order.
        super().__init__(**options)

    def submit(self, request, node=0, **fields):
        due = fields.get("deadline")
        limit = self.now + _ROUTE_SECONDS
        self.deadlines[request] = limit if due is None else min(limit, due)
        super().submit(request, node, **fields)

    def deliver(self, index=0):
        _, to, message = self.network[index]
        taken = to not in self.paused and "Grant" not in self.lost
        if taken and isinstance(message, messages.Grant):
            lease = message.lease_ms / 1000
            self.leases[message.request] = self.now + lease
        super().deliver(index)

    def step(self, request):
        effect = self.pending[request]
        before = len(self.written.get(request, ()))
        super().step(request)
        if len(self.written.get(request, ())) == before:
            return
        fact = invariants.Dispatched(
            request,
            request,
            node=self.holder_of[request],
            at=self.now,
            endpoint=effect.endpoint,
            lease_until=self.leases[request],
            deadline=self.deadlines[request],
        )
        self.written[request][-1] = fact
        self.events.append(fact)

    def finish(self, request, outcome=states.Outcome.COMPLETED):
        if outcome in states.UNSENT_OUTCOMES:
            self.events.remove(self.written[request][-1])
        super().finish(request, outcome)

    def start(self, request, node=0, **fields):
        """Submits a request and dispatches it."""
        self.submit(request, node, **fields)
        self.deliver_all()
        self.step_all()

    def leave(self, node):
        held = [
            request
            for request, holder in self.holder_of.items()
            if holder == node and not self.finals[request]
        ]
        self.events.append(invariants.ShutdownStarted(node, tuple(held)))
        self.carry_out(node, self.nodes[node].leave(self.now))
        self.members.centres["col-a"].remove(node)
        self.members_changed()

    def close(self, endpoint):
        self.events.append(invariants.EndpointClosed(endpoint, self.now))

    def reopen(self, endpoint):
        self.events.append(invariants.EndpointOpened(endpoint, self.now))

    def facts(self):
        facts = [*self.events, *self.shed]
        for request, refusal in self.refusals.items():
            status = states.RunStatus.NOT_RUN
            facts.append(invariants.Refused(request, status))
            facts.append(invariants.Ended(request, refusal.kind))
        facts += [
            invariants.Ended(request)
            for request, finals in self.finals.items()
            if finals and request not in self.refusals
        ]
        return facts

    def violated_queries(self):
        """Returns the names of the queries that report a violation."""
        facts = self.facts()
        reports = {
            "once": invariants.dispatched_at_most_once(facts),
            "permitted": invariants.dispatches_are_permitted(facts),
            "tiers": invariants.lower_tiers_are_shed_first(facts),
            "not run": invariants.not_run_requests_never_run(facts),
            "closed": invariants.closed_endpoints_get_no_work(
                facts, grants.LEASE_SECONDS
            ),
            "graceful": invariants.planned_shutdowns_are_graceful(facts),
        }
        return {name for name, violations in reports.items() if violations}


# Broken versions of decisions. Each function takes pytest's monkeypatch.


def _retries_after_rejection(patch):
    finished = holders.Holder.finished

    def broken(self, request, outcome, *args):
        if outcome is states.Outcome.REJECTED:
            outcome = states.Outcome.NOT_SENT
        return finished(self, request, outcome, *args)

    patch.setattr(holders.Holder, "finished", broken)


def _keeps_dispatched_copy_after_not_sent(patch):
    """Permits a retried request to start a second time while it runs."""
    start = holders.Holder.start_dispatch

    def broken(self, request, now):
        held = self.held.get(request)
        if held is not None and held.failures:
            return True
        return start(self, request, now)

    patch.setattr(holders.Holder, "start_dispatch", broken)


def _uses_repeated_grant(patch):
    granted = holders.Holder.granted

    def broken(self, grant, sender, now):
        held = self.held.get(grant.request)
        if held is not None:
            held.state = states.RequestState.QUEUED
        return granted(self, grant, sender, now)

    patch.setattr(holders.Holder, "granted", broken)


def _ignores_lease(patch):
    start = holders.Holder.start_dispatch

    def broken(self, request, now):
        held = self.held[request]
        held.lease_end = now + 1.0
        return start(self, request, now)

    patch.setattr(holders.Holder, "start_dispatch", broken)


def _ignores_deadline(patch):
    start = holders.Holder.start_dispatch

    def broken(self, request, now):
        held = self.held[request]
        deadline, held.deadline = held.deadline, now + 1.0
        permitted = start(self, request, now)
        held.deadline = deadline
        return permitted

    patch.setattr(holders.Holder, "start_dispatch", broken)


def _refuses_running_at_deadline(patch):
    check = holders.Holder._check_held

    def broken(self, held, paused, now):
        if now >= held.deadline:
            kind = errors.ErrorKind.DEADLINE_PASSED
            return self._refuse(held, kind, 1.0)
        return check(self, held, paused, now)

    patch.setattr(holders.Holder, "_check_held", broken)


def _refuses_running_on_late_refusal(patch):
    def broken(self, refusal, sender, spill, now):
        held = self.held[refusal.request]
        return self._refuse(held, errors.ErrorKind(refusal.kind), 1.0)

    patch.setattr(holders.Holder, "refused", broken)


def _sheds_highest_tier(patch):
    def broken(self):
        return self.tiers[min(r for r, q in self.tiers.items() if len(q))]

    patch.setattr(
        queues.GroupQueue,
        "newest_of_lowest",
        lambda self: broken(self).newest(),
    )


def _refuses_newcomers_when_full(patch):
    admission = grants.GroupOwner._admission

    def broken(self, ask, holder, now):
        if self.queue_length() >= self.state.service.max_queue_requests:
            kind = errors.ErrorKind.OVERLOADED.value
            refusal = messages.Refusal(ask.request, kind, 1000)
            return effects.Send(holder, refusal)
        return admission(self, ask, holder, now)

    patch.setattr(grants.GroupOwner, "_admission", broken)


def _never_closes_endpoints(patch):
    patch.setattr(grants.GroupOwner, "set_open", lambda *_: None)
    _ignores_closed_endpoints_at_holder(patch)


def _ignores_closed_endpoints_at_holder(patch):
    """Also disables the holder's check, which would hide a broken owner."""
    patch.setattr(scheduler.NodeScheduler, "_is_open", lambda *_: True)


def _forgets_drains(patch):
    patch.setattr(scheduler.NodeScheduler, "_set_drained", lambda *_: None)


def _ignores_leaving_vms(patch):
    def broken(self):
        for owner in self._owned.values():
            for endpoint in owner.endpoints():
                owner.set_open(endpoint, endpoint not in self._drained)

    patch.setattr(scheduler.NodeScheduler, "_update_endpoints", broken)
    _ignores_closed_endpoints_at_holder(patch)


def _keeps_removed_endpoints(patch):
    def broken(self):
        for owner in self._owned.values():
            for endpoint in owner.endpoints():
                owner.set_open(endpoint, True)

    patch.setattr(scheduler.NodeScheduler, "_update_endpoints", broken)
    _ignores_closed_endpoints_at_holder(patch)


def _drops_held_when_leaving(patch):
    leave = scheduler.NodeScheduler.leave

    def broken(self, now):
        self._holder.held.clear()
        return leave(self, now)

    patch.setattr(scheduler.NodeScheduler, "leave", broken)


def _refuses_queued_when_leaving(patch):
    leave = scheduler.NodeScheduler.leave

    def broken(self, now):
        kind = errors.ErrorKind.SHUTTING_DOWN
        emitted = []
        for held in list(self._holder.held.values()):
            if held.state is states.RequestState.QUEUED:
                emitted += self._holder._refuse(held, kind, 1.0)
        return emitted + leave(self, now)

    patch.setattr(scheduler.NodeScheduler, "leave", broken)


# Scenarios. Each ends after all its requests had time to end.


def _engine_rejects(cluster):
    cluster.start("r1")
    cluster.finish("r1", states.Outcome.REJECTED)
    cluster.settle(10)


def _repeated_start_after_not_sent(cluster):
    cluster.start("r1")
    cluster.finish("r1", states.Outcome.NOT_SENT)
    cluster.advance(5.0)
    effect = cluster.pending["r1"]
    cluster.step("r1")
    cluster.pending["r1"] = effect
    cluster.step("r1")
    cluster.settle(10)


def _grant_arrives_twice(cluster):
    cluster.submit("r1")
    while not cluster.pending:
        grant = cluster.network[0]
        cluster.deliver()
    cluster.step_all()
    assert isinstance(grant[2], messages.Grant)
    cluster.network.append(grant)
    cluster.settle(10)


def _pause_before_first_byte(cluster):
    cluster.submit("r1")
    cluster.deliver_all()
    cluster.now += grants.LEASE_SECONDS
    cluster.step("r1")
    cluster.settle(10)


def _deadline_before_first_byte(cluster):
    cluster.submit("r1", deadline=cluster.now + 2.5)
    cluster.deliver_all()
    cluster.now += 2.5
    cluster.step("r1")
    cluster.settle(10)


def _deadline_while_running(cluster):
    cluster.start("r1", deadline=cluster.now + 5.0)
    cluster.advance(6.0)
    cluster.settle(10)


def _refusal_arrives_late(cluster):
    cluster.start("r1")
    owner = cluster.members.owner("drafting@col-a")
    kind = errors.ErrorKind.OVERLOADED.value
    refusal = messages.Refusal("r1", kind, 1000)
    cluster.network.append((owner, cluster.holder_of["r1"], refusal))
    cluster.settle(10)


def _queue_overflows(cluster):
    for index, tier in enumerate([2, 2, 2, 2, 1, 1, 0, 0, 0, 1, 2, 0]):
        cluster.start(f"r{index}", tier=tier)
    assert cluster.shed
    cluster.settle()


def _endpoint_is_drained(cluster):
    node = next(iter(cluster.nodes))
    emitted = cluster.nodes[node].drain_endpoint(_FIRST, True, cluster.now)
    cluster.carry_out(node, emitted)
    _submit_after_closing(cluster)


def _vm_leaves(cluster):
    cluster.members.endpoint_states["vm0"] = states.EndpointState.LEAVING
    _submit_after_closing(cluster)


def _endpoint_is_removed(cluster):
    """Removes an endpoint from the configuration while it runs a request.

    The owner therefore still has the endpoint in its state.
    """
    cluster.start("r-first")
    cluster.start("r-second")
    assert _FIRST in cluster.running.values()
    configuration = _cluster_module._configuration()
    del configuration.endpoints[_FIRST]
    for node, core in cluster.nodes.items():
        cluster.carry_out(node, core.configure(configuration, cluster.now))
    _submit_after_closing(cluster)


def _submit_after_closing(cluster):
    cluster.close(_FIRST)
    cluster.advance(2 * grants.LEASE_SECONDS)
    for index in range(4):
        cluster.start(f"r{index}")
    cluster.settle(10)


def _node_leaves(cluster):
    """Shuts down a node that holds running and queued requests."""
    owner = cluster.members.owner("drafting@col-a")
    index = list(cluster.nodes).index(owner)
    for number in range(8):
        cluster.start(f"r{number}", index)
    assert len(cluster.running) == 4
    cluster.leave(owner)
    cluster.settle()


@pytest.mark.parametrize(
    ("scenario", "broken", "query"),
    [
        (_engine_rejects, _retries_after_rejection, "once"),
        (
            _repeated_start_after_not_sent,
            _keeps_dispatched_copy_after_not_sent,
            "once",
        ),
        (_grant_arrives_twice, _uses_repeated_grant, "once"),
        (_pause_before_first_byte, _ignores_lease, "permitted"),
        (_deadline_before_first_byte, _ignores_deadline, "permitted"),
        (_deadline_while_running, _refuses_running_at_deadline, "not run"),
        (_refusal_arrives_late, _refuses_running_on_late_refusal, "not run"),
        (_queue_overflows, _sheds_highest_tier, "tiers"),
        (_queue_overflows, _refuses_newcomers_when_full, "tiers"),
        (_endpoint_is_drained, _never_closes_endpoints, "closed"),
        (_endpoint_is_drained, _forgets_drains, "closed"),
        (_vm_leaves, _never_closes_endpoints, "closed"),
        (_vm_leaves, _ignores_leaving_vms, "closed"),
        (_endpoint_is_removed, _keeps_removed_endpoints, "closed"),
        (_node_leaves, _drops_held_when_leaving, "graceful"),
        (_node_leaves, _refuses_queued_when_leaving, "graceful"),
    ],
)
def test_broken_decision_is_caught(monkeypatch, scenario, broken, query):
    """Guards against queries that never report a violation."""
    sound = _Recorded(max_queue_requests=4)
    scenario(sound)
    assert sound.violated_queries() == set()
    assert not sound.without_single_final()
    broken(monkeypatch)
    cluster = _Recorded(max_queue_requests=4)
    scenario(cluster)
    assert query in cluster.violated_queries()


def test_grant_that_waited_for_a_paused_holder_is_not_used():
    """Guards against a dispatch to an endpoint that left during a pause.

    The grant waits in the socket of the paused holder, so its lease must not
    start when the holder reads it.
    """
    cluster = _Recorded()
    cluster.advance(0.5)
    owner = cluster.members.owner("drafting@col-a")
    names = list(cluster.nodes)
    holder = next(name for name in names if name != owner)
    cluster.submit("r1", names.index(holder))
    while not any(
        isinstance(message, messages.Grant) for _, _, message in cluster.network
    ):
        cluster.deliver()
    cluster.paused.add(holder)
    cluster.members.endpoint_states["vm0"] = states.EndpointState.LEAVING
    cluster.close(_FIRST)
    cluster.advance(10.0)
    cluster.paused.clear()
    cluster.deliver_all()
    cluster.step_all()
    cluster.settle()
    assert cluster.violated_queries() == set()
    assert not cluster.without_single_final()


class StopMachine(_cluster_module.Faults):
    """Closes and opens endpoints and stops nodes under load.

    Messages are lost, repeated, reordered and delayed, and nodes pause.
    """

    counts: ClassVar[dict] = collections.Counter()

    def __init__(self):
        super().__init__()
        self.cluster = _Recorded(max_queue_requests=5)
        self.counts["examples"] += 1
        self.counts["steps"] -= 1  # Invariants are checked before step 1.

    @st.rule(
        vm=hs.integers(0, 1),
        state=hs.sampled_from(
            [states.EndpointState.LIVE, states.EndpointState.LEAVING]
        ),
    )
    def list_vm(self, vm, state):
        cluster = self.cluster
        cluster.members.endpoint_states[f"vm{vm}"] = state
        endpoint = f"e{vm}-col-a"
        if state is states.EndpointState.LIVE:
            cluster.reopen(endpoint)
        else:
            cluster.close(endpoint)
            self.counts["closed"] += 1

    @st.precondition(lambda self: len(self.cluster.members.live("col-a")) > 1)
    @st.rule(data=hs.data())
    def stop_node(self, data):
        live = self.cluster.members.live("col-a")
        node = data.draw(hs.sampled_from(live))
        self.cluster.leave(node)
        self.counts["stops"] += 1
        self.counts["held at stops"] += len(self.cluster.events[-1].held)

    @st.invariant()
    def queries_hold(self):
        self.counts["steps"] += 1
        facts = self.cluster.events
        assert not invariants.dispatches_are_permitted(facts)
        assert not invariants.closed_endpoints_get_no_work(
            facts, grants.LEASE_SECONDS
        )

    def teardown(self):
        self.cluster.settle()
        self.counts["dispatches"] += sum(
            map(len, self.cluster.written.values())
        )
        assert self.cluster.violated_queries() == set()
        assert not self.cluster.without_single_final()


def _run_machine(examples, **options):
    StopMachine.counts.clear()
    st.run_state_machine_as_test(
        StopMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=60,
            derandomize=True,
            deadline=None,
            **options,
        ),
    )


def test_closing_and_stopping_keep_the_invariants():
    """Guards against dispatches to closed endpoints and cut-off requests.

    Endpoints close and nodes stop while they hold requests.
    """
    _run_machine(120)
    print("stops:", dict(StopMachine.counts))
    assert StopMachine.counts["held at stops"] > 50
    assert StopMachine.counts["closed"] > 50


@pytest.mark.parametrize(
    ("broken", "query"),
    [
        (_ignores_leaving_vms, "closed"),
        (_drops_held_when_leaving, "graceful"),
        (_refuses_queued_when_leaving, "graceful"),
        (_sheds_highest_tier, "tiers"),
    ],
)
def test_state_machine_catches_broken_decision(monkeypatch, broken, query):
    """Guards against a state machine that never reaches a fault."""
    broken(monkeypatch)
    with pytest.raises(AssertionError, match=query):
        # Shrinking an expected failure takes long.
        _run_machine(80, phases=[Phase.generate], report_multiple_bugs=False)
