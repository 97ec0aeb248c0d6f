"""Process tests: repeated sends with one key, over two nodes."""

import json
import threading

import pytest

from baobabmux_standins import ledger, process, testbed

NODES = {"n1": "col-a", "n2": "col-a"}


@pytest.fixture
def bed():
    endpoints = {"e1": "col-a", "desk1": "col-a"}
    with testbed.Testbed(NODES, endpoints) as started:
        yield started


def test_repeat_at_another_node_gets_the_first_answer(bed):
    """Guards against a second guarantee number for one key."""
    call = testbed.plain_call()
    first = bed.fetch("n1", call)
    again = [bed.fetch(node, call) for node in ("n1", "n2")]
    assert [answer.status for answer in again] == [200, 200]
    assert {answer.body for answer in again} == {first.body}
    assert bed.run_count(call) == 1


def test_concurrent_sends_run_once(bed):
    """Guards against two nodes that both win the claim on a key."""
    calls = [testbed.plain_call(run_seconds=0.3) for _ in range(10)]
    sends = [(node, call) for call in calls for node in NODES]
    outcomes = bed.send_together(sends)
    assert bed.violations(o for o in outcomes if o.is_successful) == []
    for call in calls:
        told = [o for o in outcomes if o.marker == call.marker]
        assert any(outcome.is_successful for outcome in told)
        assert all(
            outcome.is_successful or outcome.kind == "still_running"
            for outcome in told
        )
        assert bed.run_count(call) == 1


def test_repeat_after_the_first_node_was_killed_is_not_run(bed):
    """Guards against a second run when the claim's holder is dead."""
    call = testbed.plain_call(run_seconds=3.0)
    sending = threading.Thread(target=bed.send, args=("n1", call))
    sending.start()
    bed.wait_until_running(call)
    during = bed.send("n2", call)
    bed.cluster.kill_node(bed.node("n1"))
    sending.join()

    def final():
        told = bed.send("n2", call)
        return None if told.kind == "still_running" else told

    outcome = process.wait_until(final, "the repeat has a final answer")
    assert during.kind in ("still_running", "outcome_unknown")
    assert outcome.kind in ("outcome_unknown", "answer_not_kept")
    assert outcome.status == 409
    assert bed.run_count(call) == 1


def test_repeat_after_the_answer_and_death_of_the_node_is_not_run(bed):
    """Guards against keys that die with the node that ran them."""
    call = testbed.plain_call()
    assert bed.send("n1", call).is_successful
    bed.cluster.kill_node(bed.node("n1"))
    outcome = bed.send("n2", call)
    assert outcome.kind in ("answer_not_kept", "outcome_unknown")
    assert bed.run_count(call) == 1


def test_key_with_another_body_is_refused(bed):
    """Guards against the answer to another request under one key."""
    first = testbed.plain_call()
    key = first.headers["Idempotency-Key"]
    other = testbed.plain_call(key=key)
    assert bed.send("n1", first).is_successful
    assert bed.send("n2", other).kind == "key_reused"
    assert bed.run_count(other) == 0


def test_repeat_on_an_idempotent_route_gets_the_kept_answer(bed):
    """Guards against wasted work when a caller sends again."""
    key = testbed.plain_call().headers["Idempotency-Key"]
    call = testbed.engine_call(Idempotency_Key=key)
    outcomes = [bed.send(node, call) for node in ("n1", "n2")]
    assert ledger.unsuccessful(outcomes) == []
    assert bed.violations(outcomes) == []


def test_number_is_that_of_the_run(bed):
    """Guards against an answer that belongs to another run."""
    answers = [bed.fetch("n1", testbed.plain_call()) for _ in range(3)]
    runs = [json.loads(answer.body)["run"] for answer in answers]
    assert len(set(runs)) == 3
