"""Process tests: outages of the log, of links and of whole nodes."""

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
def test_lost_log_answers_cost_no_request(bed, seconds):
    """Guards against a lost or doubled claim after a lost answer.

    With a delay the record is read before its answer is known to be lost.
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
def test_log_outage_stops_only_what_needs_a_claim(bed, faults):
    """Guards against an outage of the log that stops idempotent work."""
    bed.cluster.log.set_faults(**faults)
    issue = testbed.plain_call()
    refused, drafted = bed.send_together(
        [("n1", issue), ("n1", testbed.engine_call())]
    )
    assert drafted.is_successful
    assert (refused.kind, refused.run_status) == ("log_unavailable", "not_run")
    assert bed.run_count(issue) == 0
    bed.cluster.log.set_faults()

    def repeated():
        outcome = bed.send("n2", issue)
        return outcome if outcome.is_successful else None

    process.wait_until(repeated, "the repeat is answered after the outage")
    assert bed.run_count(issue) == 1


def test_paused_node_uses_no_expired_grant(bed):
    """Guards against a second run or a lost request after a long pause."""
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
    # Longer than the lease of any grant and the suspicion of a silent node;
    # the verdict does not depend on it.
    time.sleep(6.0)
    others = bed.send_together(("n2", testbed.engine_call()) for _ in range(4))
    paused.resume()
    sending.join()
    assert len(outcomes) == len(calls)
    assert bed.violations([*outcomes, *others]) == []
    assert ledger.unsuccessful(others) == []


def test_node_that_is_not_yet_listed_holds_nothing_up():
    """Guards against asks to an owner whose address is not known.

    The VM list lags, so a new node's heartbeats arrive before its entry.
    """
    group = ids.group_id("drafting", "col-a")
    unlisted = rendezvous.owner(group, ["n1", "n2"])
    (listed,) = {"n1", "n2"} - {unlisted}
    with testbed.Testbed({listed: "col-a"}, {"e1": "col-a"}) as bed:
        (new,) = bed.cluster.start_nodes({unlisted: "col-a"}, listed=False)
        process.wait_until(
            lambda: listed in new.live_members(), "it knows the other node"
        )
        calls = [
            testbed.engine_call(Baobabmux_Deadline="10") for _ in range(10)
        ]
        outcomes = [bed.send(listed, call) for call in calls]
        assert bed.violations(outcomes) == []
        assert ledger.unsuccessful(outcomes) == []


def test_killed_node_loses_only_its_own_requests(bed):
    """Guards against requests of other nodes that die with a queue's owner."""
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
def test_cut_data_centre_serves_what_it_can(fault):
    """Guards against a partition that stops work on either side."""
    with testbed.Testbed(CENTRES, ENDPOINTS) as bed:
        getattr(bed.cluster, fault)("col-b")
        drafts = [testbed.engine_call(tokens=20) for _ in range(8)]
        issues = {node: testbed.plain_call() for node in CENTRES}
        drafted = bed.send_together(zip(list(CENTRES) * 2, drafts, strict=True))
        issued = dict(
            zip(issues, bed.send_together(issues.items()), strict=True)
        )
        assert bed.violations([*drafted, *issued.values()]) == []
        assert ledger.unsuccessful(drafted) == []
        assert issued["n1"].is_successful and issued["n2"].is_successful
        for node in ("n3", "n4"):
            assert issued[node].kind == "log_unavailable"
        bed.cluster.heal("col-b")

        def repeated():
            return bed.send("n1", issues["n3"]).is_successful

        process.wait_until(repeated, "the refused number is issued")
        assert bed.run_count(issues["n3"]) == 1


def test_content_that_crashes_engines_is_quarantined(bed):
    """Guards against one content that crashes each engine in turn."""
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
