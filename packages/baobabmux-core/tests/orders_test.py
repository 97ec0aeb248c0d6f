"""Tests of orders that are sent to endpoints under a lease."""

import collections
from typing import ClassVar

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from baobabmux_core import declarations, invariants, orders

_ENDPOINTS = {
    name: declarations.Endpoint(
        "s", "col-a", "vm", "127.0.0.1:1", checks_fencing=checks
    )
    for name, checks in [("checks", True), ("ignores", False)]
}
_ROLE = orders.OrderKind.SET_ROLE
_LOAD = orders.OrderKind.LOAD_ADAPTER


def _desired(endpoint, version, kind=_LOAD):
    name = "decode" if kind is _ROLE else "a"
    record = {"type": "desired", "endpoint": endpoint, "kind": kind.value}
    return {**record, "name": name, "version": version}


def _controller(node="n1", rate=100.0, controller_class=orders.OrderController):
    bucket = orders.TokenBucket(rate, 2.0)
    controller = controller_class(node, "col-a", bucket)
    controller.configure(_ENDPOINTS)
    return controller


def _lease(controller, now=0.0):
    controller.apply(
        controller.next_offset,
        controller.request_lease(now),
        int(now * 1000),
        now,
    )


def test_lease_expires_earlier_for_its_holder_than_in_the_log():
    """Guards against a holder that uses a lease which another node may take.

    The log appended the record 3 s after the request. The holder counts the
    lease from its request, so it stops using the lease first.
    """
    controller = _controller()
    record = controller.request_lease(0.0)
    controller.apply(0, record, 3000, 5.0)
    assert controller.holds_lease(14.9)
    assert not controller.holds_lease(15.0)


def test_lease_is_refused_while_another_node_holds_one():
    """Guards against two holders of one scope at the same time."""
    first, second = _controller("n1"), _controller("n2")
    records = [
        (first.request_lease(0.0), 0),
        (second.request_lease(0.0), 14_999),
    ]
    for controller in (first, second):
        for offset, (record, time_ms) in enumerate(records):
            controller.apply(offset, record, time_ms, 1.0)
    assert (first.fence, second.fence) == (0, -1)


def test_fencing_token_increases_with_each_lease():
    """Guards against an endpoint that refuses orders of the current holder."""
    controller = _controller()
    _lease(controller)
    controller.apply(1, _desired("checks", "1"), 0, 0.0)
    _lease(controller, 9.0)
    assert (controller.fence, controller.lease_until) == (2, 24.0)


def test_new_holder_waits_at_endpoints_that_ignore_fencing_tokens():
    """Guards against an order of the previous holder that arrives too late.

    An endpoint that ignores fencing tokens would apply it after an order of
    the new holder.
    """
    controller = _controller()
    controller.apply(0, _desired("checks", "1", _ROLE), 0, 0.0)
    controller.apply(1, _desired("ignores", "1", _ROLE), 0, 0.0)
    _lease(controller, 1.0)
    assert [item.endpoint for item in controller.actions(1.0)] == ["checks"]
    assert controller.actions(10.9) == []
    _lease(controller, 10.9)
    (order,) = controller.actions(11.0)
    assert (order.endpoint, order.fence) == ("ignores", 3)


def test_state_is_read_back_and_corrected():
    """Guards against an order that is lost or overwritten unnoticed."""
    controller = _controller()
    controller.apply(0, _desired("checks", "", _ROLE), 0, 0.0)
    _lease(controller)
    (order,) = controller.actions(0.0)
    assert controller.start(order, 0.0)
    controller.applied(order, 1.0)
    (read,) = controller.actions(1.0)
    controller.state_read(read, {"set_role": "other"}, 1.0)
    assert controller.actions(1.0) == [order]
    controller.failed(order, 2.0)
    assert controller.actions(9.9) == []
    assert controller.actions(10.0) == [order]


def test_nothing_is_sent_after_lease_expiry_or_a_refusal():
    """Guards against orders from a holder that was paused or replaced."""
    controller = _controller()
    controller.apply(0, _desired("checks", "", _ROLE), 0, 0.0)
    _lease(controller)
    (order,) = controller.actions(14.9)
    assert not controller.start(order, 15.0)
    _lease(controller, 16.0)
    (order,) = controller.actions(16.0)
    controller.fence_refused(order, 16.0)
    assert not controller.holds_lease(16.0)
    assert controller.actions(16.0) == []


def test_release_waits_for_outstanding_orders():
    """Guards against a shutdown that leaves an order outstanding.

    It could arrive after an order of the next holder, which does not wait
    after a released lease.
    """
    controller, other = _controller(), _controller("n2")
    controller.apply(0, _desired("ignores", "", _ROLE), 0, 0.0)
    _lease(controller)
    _lease(controller, 9.0)
    (order,) = controller.actions(10.0)
    assert controller.release(10.0) is None
    controller.applied(order, 11.0)
    record = controller.release(11.0)
    assert controller.actions(11.0) == []
    for offset, data in enumerate(
        [
            _desired("ignores", "", _ROLE),
            {
                "type": "lease",
                "scope": "col-a",
                "holder": "n1",
                "seconds": 15.0,
                "attempt": "x",
            },
            {**record, "fence": 1},
        ]
    ):
        other.apply(offset, data, 0, 11.0)
    _lease(other, 11.0)
    assert other.fence == 3
    assert [item.endpoint for item in other.actions(11.0)] == ["ignores"]


def test_loads_stay_within_the_rate_limit_of_the_weight_store():
    """Guards against loads above the rate limit of the weight store."""
    controller = _controller(rate=0.5)
    for number in range(20):
        record = {**_desired("checks", "1"), "name": f"a{number}"}
        controller.apply(number, record, 0, 0.0)
    loads, state = [], {}
    for second in range(40):
        if second % 5 == 0:
            _lease(controller, float(second))
        for action in controller.actions(float(second)):
            if isinstance(action, orders.Order):
                loads.append(second)
                controller.applied(action, float(second))
                state[f"load_adapter/{action.name}"] = f"{action.name}@1"
            else:
                controller.state_read(action, state, float(second))
    assert len(loads) == 19  # 0.5 a second, from an empty bucket.
    throttled = controller.actions(41.0)[0]
    controller.throttled(throttled, 5.0, 41.0)
    assert controller.actions(46.0) == []


def test_reader_after_expiry_waits_for_a_snapshot_that_covers_the_gap():
    """Guards against an outdated version that is sent to an endpoint.

    Records 0 to 4 have expired for the second node. The snapshot through 3
    does not cover record 4, so the node must wait for the one through 4.
    """
    controller = _controller()
    for offset, version in enumerate(["1", "2"]):
        controller.apply(offset, _desired("checks", version, _ROLE), 0, 0.0)
    complete = controller.snapshot()
    late = _controller("n2")
    late.apply(5, {**complete, "through": 3}, 0, 0.0)
    _lease(late)
    assert late.actions(0.0) == []
    late.apply(7, {**complete, "through": 4}, 0, 0.0)
    assert [item.version for item in late.actions(0.0)] == ["2"]
    assert controller.snapshot_due(101_000, 300.0)
    controller.apply(2, complete, 101_000, 0.0)
    assert not controller.snapshot_due(101_000, 300.0)


@pytest.mark.parametrize(
    "data",
    [
        None,
        {"type": "lease"},
        {"type": "desired", "kind": "x"},
        [],
        7,
        {"type": "snapshot", "through": 10**400, "entries": [7]},
    ],
)
def test_malformed_record_is_counted_and_ignored(data):
    """Guards against a malformed record that raises at every node."""
    controller = _controller()
    controller.apply(0, data, 0, 0.0)
    assert controller.ignored == 1


class OrderMachine(stateful.RuleBasedStateMachine):
    """Two nodes that pause and lose answers, with both kinds of endpoints.

    One endpoint checks fencing tokens, the other ignores them. A started order
    arrives at any time before the driver's timeout, or never, and its answer
    may be lost. A paused node sends its due orders only after it resumes.
    """

    controller_class = orders.OrderController
    counts: ClassVar[dict] = collections.Counter()

    def __init__(self):
        super().__init__()
        self.counts["examples"] += 1
        self.now = 0.0
        self.records = []
        self.delayed_records = []
        self.leases = {}
        self.version = 0
        self.facts = []
        self.outstanding = []
        self.state = {name: {} for name in _ENDPOINTS}
        self.fences = dict.fromkeys(_ENDPOINTS, -1)
        self.controllers = [
            _controller(f"n{number}", 100.0, self.controller_class)
            for number in range(2)
        ]
        self.unsent = [[], []]
        self.change_desired()

    def append(self, record):
        time_ms = int(self.now * 1000)
        if record["type"] == "lease":
            self.leases[len(self.records)] = self.now + record["seconds"]
        self.records.append((time_ms, record))

    def read(self, controller):
        for offset in range(controller.next_offset, len(self.records)):
            time_ms, record = self.records[offset]
            controller.apply(offset, record, time_ms, self.now)

    @stateful.initialize()
    def start_with_a_holder(self):
        self.run_lease(0)
        self.pass_time(9.0)
        self.run_lease(0)
        self.run_lease(1)
        self.pass_time(2.0)

    def change_desired(self):
        self.version += 1
        for endpoint in _ENDPOINTS:
            self.append(_desired(endpoint, str(self.version)))

    @stateful.rule(
        number=st.sampled_from([0, 1]),
        fate=st.sampled_from(["known", "known", "late", "never"]),
        pause=st.sampled_from([False, False, True]),
        seconds=st.sampled_from([0.0, 1.0]),
        change=st.booleans(),
    )
    def run_node(self, number, fate, pause, seconds, change):
        if change:
            self.change_desired()
        self.run_lease(number, fate)
        self.now += seconds
        self.run_orders(number, pause)

    def run_lease(self, number, fate="known"):
        self.counts["steps"] += 1
        controller = self.controllers[number]
        self.read(controller)
        record = controller.request_lease(self.now)
        if record is None:
            return
        if fate == "known":
            self.append(record)
            self.read(self.controllers[1 - number])
        elif fate == "late":
            self.delayed_records.append(record)
        self.read(controller)
        self.counts["leases"] += controller.fence == len(self.records) - 1

    def run_orders(self, number, pause=False):
        """Sends due orders, or with `pause` keeps them for the next call."""
        self.counts["steps"] += 1
        controller = self.controllers[number]
        due, self.unsent[number] = self.unsent[number], []
        due += controller.actions(self.now)
        if pause:
            self.unsent[number] = due
            return
        for action in due:
            if isinstance(action, orders.ReadBack):
                state = dict(self.state[action.endpoint])
                controller.state_read(action, state, self.now)
            elif controller.start(action, self.now):
                self.counts["orders"] += 1
                fence = (
                    controller.fence if controller.fence >= 0 else action.fence
                )
                until = self.leases[fence]
                self.facts.append(
                    invariants.OrderSent(
                        controller.node, action.fence, self.now, until
                    )
                )
                self.outstanding.append((action, controller, self.now))

    @stateful.rule(
        number=st.sampled_from([0, 1, 2, 3]),
        fate=st.sampled_from(["applied", "applied", "answer lost", "lost"]),
    )
    def order_arrives(self, number, fate="applied"):
        self.counts["steps"] += 1
        if not self.outstanding:
            return
        index = number % len(self.outstanding)
        order, controller, started = self.outstanding.pop(index)
        if self.now - started > orders.ORDER_TIMEOUT_SECONDS or fate == "lost":
            controller.failed(order, self.now)
            return
        checks = _ENDPOINTS[order.endpoint].checks_fencing
        if checks and order.fence < self.fences[order.endpoint]:
            self.counts["refused by fence"] += 1
            controller.fence_refused(order, self.now)
            return
        self.fences[order.endpoint] = order.fence
        self.state[order.endpoint][f"load_adapter/{order.name}"] = (
            f"{order.name}@{order.version}"
        )
        self.facts.append(
            invariants.OrderApplied(
                order.endpoint, order.name, order.version, order.fence
            )
        )
        if fate == "answer lost":
            controller.failed(order, self.now)
        else:
            controller.applied(order, self.now)

    @stateful.rule()
    def late_record_arrives(self):
        if self.delayed_records:
            self.append(self.delayed_records.pop())

    @stateful.rule(number=st.sampled_from([0, 1]))
    def stop_gracefully(self, number):
        self.counts["steps"] += 1
        record = self.controllers[number].release(self.now)
        if record:
            self.counts["releases"] += 1
            self.append(record)

    @stateful.rule(newest_first=st.booleans())
    def hand_over(self, newest_first):
        """The holder is paused while orders are due or outstanding."""
        while self.outstanding:
            self.order_arrives(0)
        end = max(self.leases.values())
        self.now = max(self.now, end - 0.5)
        self.change_desired()
        self.run_orders(0)
        self.now = max(self.now, end)
        self.run_lease(1)
        self.now += 1.0
        self.run_orders(1)
        self.controllers.reverse()
        self.unsent.reverse()
        if newest_first:
            self.outstanding.reverse()
            while self.outstanding:
                self.order_arrives(0)

    @stateful.rule(seconds=st.sampled_from([1.0, 1.0, 3.0, 9.0, 40.0]))
    def pass_time(self, seconds):
        self.now += seconds

    def settle(self):
        """Checks that endpoints reach the desired state once faults stop."""
        counts = self.counts.copy()
        for _ in range(60):
            self.now += 1.0
            for number in (0, 1):
                self.read(self.controllers[number])
            self.run_lease(0)
            self.run_orders(0)
            while self.outstanding:
                self.order_arrives(0)
        self.counts.clear()
        self.counts.update(counts)  # Only steps under faults count.
        for endpoint in _ENDPOINTS:
            expected = f"a@{self.version}"
            assert self.state[endpoint] == {"load_adapter/a": expected}

    def teardown(self):
        self.settle()
        assert not invariants.orders_do_not_regress(self.facts)
        assert not invariants.orders_are_sent_under_a_lease(self.facts)


def test_endpoints_never_regress_and_reach_the_desired_state():
    """Guards against outdated orders that replace newer ones at an endpoint.

    They come from paused holders, lost answers, and endpoints that ignore
    fencing tokens; `OrderMachine` combines these faults in random order.
    """
    stateful.run_state_machine_as_test(
        OrderMachine,
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            max_examples=200,
            stateful_step_count=40,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
    print("orders:", dict(OrderMachine.counts))
    assert OrderMachine.counts["steps"] > 2000
    assert OrderMachine.counts["orders"] > 500


class _NoTakeoverWait(orders.OrderController):
    def _take_over(self, previous, now):
        super()._take_over(previous, now)
        self._takeover_wait_until = now


class _NoCheckAtStart(orders.OrderController):
    def start(self, order, now):
        return True


def _late_arrival(machine):
    """An order of the previous holder arrives after one of the new holder."""
    machine.run_lease(0)
    machine.pass_time(9.0)
    machine.run_lease(0)
    machine.run_lease(1)
    machine.pass_time(14.5)
    machine.run_orders(0)
    machine.pass_time(1.0)
    machine.run_lease(1)
    machine.pass_time(0.5)
    machine.run_orders(1)
    machine.outstanding.reverse()
    while machine.outstanding:
        machine.order_arrives(0)


def _paused_holder(machine):
    """A holder is paused after `actions` and before it sends the order."""
    machine.run_lease(0)
    machine.pass_time(1.0)
    machine.run_orders(0, pause=True)
    machine.pass_time(16.0)
    machine.run_orders(0)


@pytest.mark.parametrize(
    ("scenario", "broken"),
    [
        (_late_arrival, _NoTakeoverWait),
        (_paused_holder, _NoCheckAtStart),
    ],
)
def test_invariants_detect_faulty_implementations(scenario, broken):
    """Guards against invariants that never fail.

    The invariants must hold in each scenario for the real class and fail for
    one with a known fault.
    """

    class Machine(OrderMachine):
        controller_class = broken

    sound = OrderMachine()
    scenario(sound)
    sound.teardown()
    machine = Machine()
    scenario(machine)
    with pytest.raises(AssertionError):
        machine.teardown()
