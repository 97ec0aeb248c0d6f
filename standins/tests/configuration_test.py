"""Process tests: publication of configurations and their activation."""

import json
import threading

import pytest

from baobabmux_core import catalogue, hlc, invariants
from baobabmux_standins import client, process, testbed

NODES = {"n1": "col-a", "n2": "col-a", "n3": "col-b"}
ENDPOINTS = {"e1": "col-a", "e2": "col-b", "desk1": "col-a"}


@pytest.fixture
def bed():
    with testbed.Testbed(NODES, ENDPOINTS) as started:
        yield started


def _statuses(bed):
    return {
        name: client.call(node.admin, "GET", "/status").json()
        for name, node in bed.cluster.nodes.items()
    }


def _wait_version(bed, version):
    process.wait_until(
        lambda: all(
            status["config_version"] == version
            for status in _statuses(bed).values()
        ),
        f"version {version} is in force everywhere",
    )


def _publish(bed, name, timeout_seconds):
    tables = json.loads(json.dumps(bed.tables))
    tables["route"]["wording"]["timeout_seconds"] = timeout_seconds
    file = bed.cluster.write_tables(name, tables)
    return bed.cluster.ctl(
        "publish", "--json", "--log", bed.cluster.log.address, str(file)
    )


def test_concurrent_publications_are_accepted_or_conflict(bed):
    """Guards against two publications that are both accepted as one version.

    Four operators publish different values of one setting at the same time.
    """
    results = {}

    def publish(name, seconds):
        results[name] = _publish(bed, name, seconds)

    publishers = [
        threading.Thread(target=publish, args=(f"publisher{n}", 50.0 + n))
        for n in range(4)
    ]
    for publisher in publishers:
        publisher.start()
    for publisher in publishers:
        publisher.join()
    codes = sorted(result.returncode for result in results.values())
    assert set(codes) <= {0, 3}
    accepted = [
        json.loads(result.stdout)["version"]
        for result in results.values()
        if result.returncode == 0
    ]
    # Several succeed if one reads the log after another's publication.
    assert len(accepted) == len(set(accepted)) >= 1
    for result in results.values():
        if result.returncode == 3:
            assert "route/wording" in result.stderr
    _wait_version(bed, max(accepted))


def test_new_node_gets_configuration_from_peers_in_an_outage(bed):
    """Guards against a node that cannot start during an outage of the log."""
    bed.cluster.use_preset("peak")
    _wait_version(bed, 1)
    bed.cluster.log.set_faults(refuse=True)
    bed.start_node("n4", "col-b")
    status = _statuses(bed)["n4"]
    assert (status["config_version"], status["preset"]) == (1, "peak")
    outcome = bed.send("n4", testbed.engine_call())
    assert outcome.is_successful
    bed.cluster.log.set_faults()
    bed.cluster.use_preset("ordinary")
    _wait_version(bed, 2)


def test_lost_answer_of_a_publication_is_resolved_by_reading_back(bed):
    """Guards against a second publication or a false report of a failure.

    The append takes effect, but the log's answer to the tool is lost.
    """
    bed.cluster.log.set_faults(lose_answers=1, lose_stream="config")
    published = _publish(bed, "lost", 44.0)
    assert published.returncode == 0, published.stderr
    assert json.loads(published.stdout)["version"] == 1
    _wait_version(bed, 1)


def test_configuration_versions_never_decrease_on_any_node(bed):
    """Guards against a node that reverts to an older configuration."""
    for number in range(6):
        bed.cluster.use_preset(("peak", "ordinary")[number % 2])
    _wait_version(bed, 6)
    facts = _applied_configurations(bed)
    assert len(facts) >= 3 * len(NODES)
    assert invariants.configuration_never_reverts(facts) == []
    assert {fact.version for fact in facts if fact.version == 6} == {6}


def _applied_configurations(bed):
    kind = catalogue.EventKind.CONFIG_IN_FORCE.number
    events = [
        event
        for node in bed.cluster.nodes.values()
        for event in client.call(node.admin, "GET", "/timeline").json()[
            "events"
        ]
        if event["kind"] == kind
    ]
    return [
        invariants.ConfigurationApplied(
            at=hlc.wall_ms(event["hlc"]) / 1000,
            node=event["node"],
            version=event["fields"]["version"],
            digest=int(event["fields"]["digest"], 16),
        )
        for event in sorted(events, key=lambda event: event["hlc"])
    ]
