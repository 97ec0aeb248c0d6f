"""Process tests: requests through one node to its endpoints and back."""

import curio
import pytest

from baobabmux_standins import client, ledger, process, testbed

NODES = {"n1": "col-a"}
ENDPOINTS = {"e1": "col-a", "desk1": "col-a"}


@pytest.fixture(scope="module")
def bed():
    with testbed.Testbed(NODES, ENDPOINTS) as started:
        yield started


@pytest.fixture(autouse=True)
def _clear_faults(bed):
    yield
    for endpoint in bed.endpoints.values():
        endpoint.set_faults()


def test_concurrent_calls_of_each_route_succeed_and_run_once(bed):
    """Guards against lost requests, second runs and swapped answers."""
    calls = [testbed.engine_call(tokens=30) for _ in range(6)]
    calls += [testbed.engine_call(path="/flags") for _ in range(6)]
    calls += [testbed.plain_call() for _ in range(6)]
    outcomes = bed.send_together(("n1", call) for call in calls)
    assert bed.violations(outcomes) == []
    assert ledger.unsuccessful(outcomes) == []


def test_answer_states_request_and_run_status(bed):
    """Guards against an answer that does not identify the request's state.

    A caller needs the request's identifier and run status in the answer.
    """
    call = testbed.engine_call(Baobabmux_Request_Id="caller-7")
    answer = bed.fetch("n1", call)
    assert answer.status == 200
    assert answer.headers["baobabmux-request-id"] == "caller-7"
    assert answer.headers["baobabmux-run-status"] in ("running", "done")
    assert bed.counts()["by_request"]["caller-7"] == 1


def test_broken_stream_is_resumed_without_effect_on_the_caller(bed):
    """Guards against a second run after a broken endpoint connection.

    The node must resume the engine's stream at the last event it received.
    """
    bed.endpoints["e1"].set_faults(break_after=2, times=1)
    call = testbed.engine_call(tokens=40)
    outcome = bed.send("n1", call)
    assert outcome.is_successful and bed.violations([outcome]) == []
    assert bed.endpoints["e1"].counts()["engine"]["resumes"] == 1


@pytest.mark.parametrize(
    ("faults", "kinds"),
    [
        ({"break_after": 0}, {"endpoint_broke"}),
        ({"break_after": 1}, {"endpoint_broke"}),
        ({"garbage": "http"}, {"endpoint_garbage"}),
        ({"garbage": "length"}, {"endpoint_broke", "endpoint_garbage"}),
    ],
)
def test_faulty_answer_of_a_service_is_reported_as_unknown(bed, faults, kinds):
    """Guards against run status "not_run" or a retry after a lost answer.

    The service has run the call, although its answer is broken or invalid.
    """
    bed.endpoints["desk1"].set_faults(times=1, **faults)
    call = testbed.plain_call()
    outcome = bed.send("n1", call)
    assert (outcome.status, outcome.run_status) == (502, "unknown")
    assert outcome.kind in kinds
    assert bed.run_count(call) == 1


@pytest.mark.parametrize(
    ("faults", "kinds"),
    [
        ({"break_after": 2, "lose_streams": True}, {"endpoint_broke"}),
        ({"garbage": "http"}, {"endpoint_garbage"}),
        ({"garbage": "body"}, {"endpoint_garbage"}),
    ],
)
def test_faulty_stream_ends_with_an_error(bed, faults, kinds):
    """Guards against a broken stream that looks complete to the caller."""
    bed.endpoints["e1"].set_faults(times=1, **faults)
    call = testbed.engine_call(tokens=40)
    outcome = bed.send("n1", call)
    assert outcome.answered and outcome.run_status == "unknown"
    assert outcome.kind in kinds
    assert bed.run_count(call) == 1


def test_answer_to_another_attempt_is_not_passed_on(bed):
    """Guards against a caller that receives another request's answer.

    The engine's answer states another attempt than the node has sent.
    """
    bed.endpoints["e1"].set_faults(garbage="attempt", times=1)
    outcome = bed.send("n1", testbed.engine_call())
    assert outcome.kind == "endpoint_garbage"
    assert outcome.run_status == "unknown"


def test_refused_endpoint_connection_is_reported_as_not_run(bed):
    """Guards against run status "unknown" if no endpoint got the request."""
    bed.endpoints["e1"].set_faults(refuse=True)
    call = testbed.engine_call(Baobabmux_Deadline="3")
    outcome = bed.send("n1", call)
    assert outcome.answered and outcome.run_status == "not_run"
    assert bed.run_count(call) == 0


def test_disconnected_caller_cancels_idempotent_runs_only(bed):
    """Guards against wasted engine runs and interrupted non-idempotent runs.

    Two callers disconnect while their calls run. The engine's run must be
    cancelled and the run on the non-idempotent route must finish.
    """
    long_call = testbed.engine_call(tokens=3000)
    keyed_call = testbed.plain_call(run_seconds=1.0)

    async def disconnect():
        address = bed.node("n1").callers
        exchanges = [
            await client.open_exchange(
                address, "POST", call.path, call.body, call.headers
            )
            for call in (long_call, keyed_call)
        ]
        while not (bed.run_count(long_call) and bed.run_count(keyed_call)):
            await curio.sleep(0.05)
        for exchange in exchanges:
            await exchange.close()

    curio.run(disconnect)
    process.wait_until(
        lambda: bed.counts()["totals"].get("cancelled") == 1,
        "the engine cancels its run",
    )
    process.wait_until(
        lambda: keyed_call.marker in bed.counts()["finished_by_marker"],
        "the plain service finishes its run",
    )


def test_leaving_endpoint_gets_no_new_requests():
    """Guards against dispatch to an endpoint whose VM is about to end.

    The VM list marks the VM of one of two endpoints as leaving.
    """
    endpoints = {"e1": "col-a", "e2": "col-a"}
    with testbed.Testbed(NODES, endpoints) as bed:

        def send_calls():
            """Sends ten calls; returns how many of them e1 has run."""
            before = _started_runs(bed, "e1")
            calls = [testbed.engine_call() for _ in range(10)]
            outcomes = bed.send_together(("n1", call) for call in calls)
            assert ledger.unsuccessful(outcomes) == []
            return _started_runs(bed, "e1") - before

        process.wait_until(send_calls, "e1 gets requests")
        bed.list_endpoint("e1", "leaving")
        process.wait_until(lambda: send_calls() == 0, "e1 gets no requests")
        assert [send_calls() for _ in range(5)] == [0] * 5


def _started_runs(bed, endpoint):
    totals = bed.endpoints[endpoint].counts()["totals"]
    return totals.get("started", 0)
