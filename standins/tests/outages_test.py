"""Process tests: outages of the log service, of links and of nodes."""

import threading
import time

import pytest

from baobabmux_core import ids, rendezvous
from baobabmux_standins import ledger, process, testbed

CENTRES = {"n1": "col-a", "n2": "col-a", "n3": "col-b", "n4": "col-b"}
ENDPOINTS = {
    "e1": "col-a",
    "e2": "col-b",
    "desk1": "col-a",
    "desk2": "col-b",
}


@pytest.fixture
def bed():
    endpoints = {"e1": "col-a", "e2": "col-a", "desk1": "col-a"}
    nodes = {"n1": "col-a", "n2": "col-a"}
    with testbed.Testbed(nodes, endpoints) as started:
        yield started


@pytest.mark.parametrize("seconds", [0.0, 0.3])
def test_lost_log_answers_fail_no_request(bed, seconds):
    """Guards against a failed request or second run after a lost answer.

    The append of a claim takes effect, but the log's answer is lost. With a
    delay, nodes read the record before the sender's connection breaks.
    """
    bed.cluster.log.set_faults(
        lose_answers=-1, lose_stream="claims", lose_after_seconds=seconds
    )
    calls = [testbed.plain_call() for _ in range(8)]
    sends = zip(["n1", "n2"] * 4, calls, strict=True)
    outcomes = [bed.send(node, call) for node, call in sends]
    assert bed.violations(outcomes) == []
    assert ledger.unsuccessful(outcomes) == []
    assert bed.cluster.log.counts()["totals"]["lost_answers"] >= len(calls)


@pytest.mark.parametrize("faults", [{"refuse": True}, {"hang": True}])
def test_log_outage_refuses_only_requests_that_need_a_claim(bed, faults):
    """Guards against idempotent requests that fail without the log service.

    Only the call on the non-idempotent route needs a claim. It must be
    refused as not run, and its repeat after the outage must succeed.
    """
    bed.cluster.log.set_faults(**faults)
    keyed_call = testbed.plain_call()
    refused, answered = bed.send_together(
        [("n1", keyed_call), ("n1", testbed.engine_call())]
    )
    assert answered.is_successful
    assert (refused.kind, refused.run_status) == ("log_unavailable", "not_run")
    assert bed.run_count(keyed_call) == 0
    bed.cluster.log.set_faults()

    def send_again():
        outcome = bed.send("n2", keyed_call)
        return outcome if outcome.is_successful else None

    process.wait_until(send_again, "the repeat succeeds after the outage")
    assert bed.run_count(keyed_call) == 1


def test_paused_node_uses_no_expired_grant(bed):
    """Guards against a second run or a lost request after a long pause.

    The node is suspended under load until its grants have expired and the
    other node suspects it. When it continues, it must not use these grants.
    """
    calls = [testbed.engine_call(tokens=60) for _ in range(30)]
    calls += [testbed.plain_call(run_seconds=0.2) for _ in range(10)]
    outcomes = []
    sends = [("n1", call) for call in calls]
    sending = threading.Thread(
        target=lambda: outcomes.extend(bed.send_together(sends))
    )
    sending.start()
    bed.wait_until_running(calls[0])
    paused = bed.node("n1").process
    paused.pause()
    # Longer than the lease of any grant and than the time after which a silent
    # node is suspected. The assertions do not depend on it.
    time.sleep(6.0)
    others = bed.send_together(("n2", testbed.engine_call()) for _ in range(4))
    paused.resume()
    sending.join()
    assert len(outcomes) == len(calls)
    assert bed.violations([*outcomes, *others]) == []
    assert ledger.unsuccessful(others) == []


def test_node_that_is_not_yet_listed_delays_no_request():
    """Guards against requests sent to an owner whose address is unknown.

    The VM list lags, so a new node's heartbeats arrive before its entry.
    Rendezvous hashing would make this node the owner of the engine's group.
    """
    group = ids.group_id("drafting", "col-a")
    unlisted = rendezvous.owner(group, ["n1", "n2"])
    (listed,) = {"n1", "n2"} - {unlisted}
    with testbed.Testbed({listed: "col-a"}, {"e1": "col-a"}) as bed:
        (new,) = bed.cluster.start_nodes({unlisted: "col-a"}, listed=False)
        process.wait_until(
            lambda: listed in new.live_members(),
            "the new node lists the other node as live",
        )
        calls = [
            testbed.engine_call(Baobabmux_Deadline="10") for _ in range(10)
        ]
        outcomes = [bed.send(listed, call) for call in calls]
        assert bed.violations(outcomes) == []
        assert ledger.unsuccessful(outcomes) == []


def test_killed_node_loses_only_its_own_requests(bed):
    """Guards against requests of other nodes lost with the queue's owner.

    A node is killed while requests of the other node are queued and running.
    """
    calls = [testbed.engine_call(tokens=60) for _ in range(30)]
    outcomes = []
    sends = [("n2", call) for call in calls]
    sending = threading.Thread(
        target=lambda: outcomes.extend(bed.send_together(sends))
    )
    sending.start()
    bed.wait_until_running(calls[0])
    bed.cluster.kill_node(bed.node("n1"))
    sending.join()
    assert bed.violations(outcomes) == []
    assert ledger.unsuccessful(outcomes) == []


@pytest.mark.parametrize("fault", ["cut", "stall"])
def test_partitioned_data_centre_serves_requests_without_claims(fault):
    """Guards against a partition that stops requests on either side.

    One data centre is cut off from the other and from the log service. Both
    must serve idempotent requests, and the connected one also requests that
    need a claim; a refused one must succeed after the partition.
    """
    with testbed.Testbed(CENTRES, ENDPOINTS) as bed:
        getattr(bed.cluster, fault)("col-b")
        idempotent_calls = [testbed.engine_call(tokens=20) for _ in range(8)]
        keyed_calls = {node: testbed.plain_call() for node in CENTRES}
        idempotent_outcomes = bed.send_together(
            zip(list(CENTRES) * 2, idempotent_calls, strict=True)
        )
        keyed_outcomes = dict(
            zip(
                keyed_calls, bed.send_together(keyed_calls.items()), strict=True
            )
        )
        assert (
            bed.violations([*idempotent_outcomes, *keyed_outcomes.values()])
            == []
        )
        assert ledger.unsuccessful(idempotent_outcomes) == []
        assert (
            keyed_outcomes["n1"].is_successful
            and keyed_outcomes["n2"].is_successful
        )
        for node in ("n3", "n4"):
            assert keyed_outcomes[node].kind == "log_unavailable"
        bed.cluster.heal("col-b")

        def send_again():
            return bed.send("n1", keyed_calls["n3"]).is_successful

        process.wait_until(send_again, "the repeat of a refused call succeeds")
        assert bed.run_count(keyed_calls["n3"]) == 1


def test_content_that_crashes_engines_is_quarantined(bed):
    """Guards against a prompt that crashes one engine after another.

    Each engine crashes on the prompt. After two crashes at most, nodes must
    refuse it as quarantined.
    """
    for endpoint in ("e1", "e2"):
        bed.endpoints[endpoint].set_faults(crash_marker="poison")
    kinds = []
    poison = testbed.engine_call(tokens=40, text="poison")
    for turn in range(8):
        kinds.append(bed.send(("n1", "n2")[turn % 2], poison).kind)
    assert "quarantined" in kinds
    crashes = [
        bed.endpoints[name].counts()["engine"].get("crashes", 0)
        for name in ("e1", "e2")
    ]
    assert sum(crashes) <= 2
