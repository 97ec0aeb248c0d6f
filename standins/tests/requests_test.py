"""Process tests: requests of one node from end to end."""

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
def _heal(bed):
    yield
    for endpoint in bed.endpoints.values():
        endpoint.set_faults()


def test_each_kind_is_answered_whole_and_run_once(bed):
    """Guards against lost, doubled and mixed-up answers."""
    calls = [testbed.engine_call(tokens=30) for _ in range(6)]
    calls += [testbed.engine_call(path="/flags") for _ in range(6)]
    calls += [testbed.plain_call() for _ in range(6)]
    outcomes = bed.send_together(("n1", call) for call in calls)
    assert bed.violations(outcomes) == []
    assert ledger.unsuccessful(outcomes) == []


def test_answer_states_request_and_run_status(bed):
    """Guards against callers that cannot tell what became of a request."""
    call = testbed.engine_call(Baobabmux_Request_Id="caller-7")
    answer = bed.fetch("n1", call)
    assert answer.status == 200
    assert answer.headers["baobabmux-request-id"] == "caller-7"
    assert answer.headers["baobabmux-run-status"] in ("running", "done")
    assert bed.counts()["by_request"]["caller-7"] == 1


def test_broken_stream_is_resumed_unnoticed(bed):
    """Guards against a second run after a broken connection."""
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
def test_faulty_answer_of_a_service_is_told_as_unknown(bed, faults, kinds):
    """Guards against "not run" or a second run after a lost answer."""
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
    """Guards against a broken stream that a caller takes for whole."""
    bed.endpoints["e1"].set_faults(times=1, **faults)
    call = testbed.engine_call(tokens=40)
    outcome = bed.send("n1", call)
    assert outcome.answered and outcome.run_status == "unknown"
    assert outcome.kind in kinds
    assert bed.run_count(call) == 1


def test_answer_to_another_attempt_is_not_passed_on(bed):
    """Guards against a caller that receives another request's answer."""
    bed.endpoints["e1"].set_faults(garbage="attempt", times=1)
    outcome = bed.send("n1", testbed.engine_call())
    assert outcome.kind == "endpoint_garbage"
    assert outcome.run_status == "unknown"


def test_refusing_endpoint_is_told_as_not_run(bed):
    """Guards against "unknown" for what no endpoint has received."""
    bed.endpoints["e1"].set_faults(refuse=True)
    call = testbed.engine_call(Baobabmux_Deadline="3")
    outcome = bed.send("n1", call)
    assert outcome.answered and outcome.run_status == "not_run"
    assert bed.run_count(call) == 0


def test_caller_that_leaves_cancels_idempotent_work_only(bed):
    """Guards against work for nobody and against half-done number issues."""
    long = testbed.engine_call(tokens=3000)
    issue = testbed.plain_call(run_seconds=1.0)

    async def leave():
        address = bed.node("n1").callers
        exchanges = [
            await client.open_exchange(
                address, "POST", call.path, call.body, call.headers
            )
            for call in (long, issue)
        ]
        while not (bed.run_count(long) and bed.run_count(issue)):
            await curio.sleep(0.05)
        for exchange in exchanges:
            await exchange.close()

    curio.run(leave)
    process.wait_until(
        lambda: bed.counts()["totals"].get("cancelled") == 1,
        "the engine has cancelled",
    )
    process.wait_until(
        lambda: issue.marker in bed.counts()["finished_by_marker"],
        "the number is issued",
    )


def test_leaving_endpoint_gets_no_new_work():
    """Guards against work for an endpoint whose VM is about to end."""
    endpoints = {"e1": "col-a", "e2": "col-a"}
    with testbed.Testbed(NODES, endpoints) as bed:

        def shares():
            """Sends ten calls; returns the runs that e1 got of them."""
            before = _started(bed, "e1")
            calls = [testbed.engine_call() for _ in range(10)]
            outcomes = bed.send_together(("n1", call) for call in calls)
            assert ledger.unsuccessful(outcomes) == []
            return _started(bed, "e1") - before

        process.wait_until(shares, "e1 gets work")
        bed.list_endpoint("e1", "leaving")
        process.wait_until(lambda: shares() == 0, "e1 gets no work")
        assert [shares() for _ in range(5)] == [0] * 5


def _started(bed, endpoint):
    totals = bed.endpoints[endpoint].counts()["totals"]
    return totals.get("started", 0)
