"""Process tests: repeated sends with one idempotency key over two nodes."""

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
    """Guards against a second run, with another answer, for one key."""
    call = testbed.plain_call()
    first = bed.fetch("n1", call)
    repeats = [bed.fetch(node, call) for node in ("n1", "n2")]
    assert [answer.status for answer in repeats] == [200, 200]
    assert {answer.body for answer in repeats} == {first.body}
    assert bed.run_count(call) == 1


def test_concurrent_sends_run_once(bed):
    """Guards against two nodes that both win the claim on a key.

    Each call is sent to both nodes at the same time.
    """
    calls = [testbed.plain_call(run_seconds=0.3) for _ in range(10)]
    sends = [(node, call) for call in calls for node in NODES]
    outcomes = bed.send_together(sends)
    assert bed.violations(o for o in outcomes if o.is_successful) == []
    for call in calls:
        of_call = [o for o in outcomes if o.marker == call.marker]
        assert any(outcome.is_successful for outcome in of_call)
        assert all(
            outcome.is_successful or outcome.kind == "still_running"
            for outcome in of_call
        )
        assert bed.run_count(call) == 1


def test_repeat_after_the_first_node_was_killed_is_not_run(bed):
    """Guards against a second run after the claim's holder was killed.

    The node is killed during the run, before it can report the outcome.
    """
    call = testbed.plain_call(run_seconds=3.0)
    sending = threading.Thread(target=bed.send, args=("n1", call))
    sending.start()
    bed.wait_until_running(call)
    during = bed.send("n2", call)
    bed.cluster.kill_node(bed.node("n1"))
    sending.join()

    def final_outcome():
        repeat = bed.send("n2", call)
        return None if repeat.kind == "still_running" else repeat

    outcome = process.wait_until(
        final_outcome, "the repeat gets a final answer"
    )
    assert during.kind in ("still_running", "outcome_unknown")
    assert outcome.kind in ("outcome_unknown", "answer_not_kept")
    assert outcome.status == 409
    assert bed.run_count(call) == 1


def test_repeat_after_the_answer_and_the_kill_of_the_node_is_not_run(bed):
    """Guards against keys that are lost with the node that ran their calls.

    The first node is killed after it has answered. The other node can no
    longer get the answer, but must still refuse the used key.
    """
    call = testbed.plain_call()
    assert bed.send("n1", call).is_successful
    bed.cluster.kill_node(bed.node("n1"))
    outcome = bed.send("n2", call)
    assert outcome.kind in ("answer_not_kept", "outcome_unknown")
    assert bed.run_count(call) == 1


def test_key_with_another_body_is_refused(bed):
    """Guards against an answer to another request with the same key."""
    first = testbed.plain_call()
    key = first.headers["Idempotency-Key"]
    other = testbed.plain_call(key=key)
    assert bed.send("n1", first).is_successful
    assert bed.send("n2", other).kind == "key_reused"
    assert bed.run_count(other) == 0


def test_repeat_on_an_idempotent_route_gets_the_kept_answer(bed):
    """Guards against wasted engine runs when a caller repeats a request."""
    key = testbed.plain_call().headers["Idempotency-Key"]
    call = testbed.engine_call(Idempotency_Key=key)
    outcomes = [bed.send(node, call) for node in ("n1", "n2")]
    assert ledger.unsuccessful(outcomes) == []
    assert bed.violations(outcomes) == []


def test_calls_with_different_keys_run_separately(bed):
    """Guards against an answer that belongs to the run of another key."""
    answers = [bed.fetch("n1", testbed.plain_call()) for _ in range(3)]
    runs = [json.loads(answer.body)["run"] for answer in answers]
    assert len(set(runs)) == 3
