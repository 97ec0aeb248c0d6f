"""Process tests: publications and how they come into force."""

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


def _versions(bed):
    return {
        name: client.call(node.admin, "GET", "/status").json()
        for name, node in bed.cluster.nodes.items()
    }


def _wait_version(bed, version):
    process.wait_until(
        lambda: all(
            status["config_version"] == version
            for status in _versions(bed).values()
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


def test_racing_operators_get_one_winner(bed):
    """Guards against two publications that both believe to be in force."""
    done = {}

    def publish(name, seconds):
        done[name] = _publish(bed, name, seconds)

    racers = [
        threading.Thread(target=publish, args=(f"racer{n}", 50.0 + n))
        for n in range(4)
    ]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    codes = sorted(result.returncode for result in done.values())
    assert set(codes) <= {0, 3}
    accepted = [
        json.loads(result.stdout)["version"]
        for result in done.values()
        if result.returncode == 0
    ]
    # A tool that reads after another's publication succeeds upon it.
    assert len(accepted) == len(set(accepted)) >= 1
    for result in done.values():
        if result.returncode == 3:
            assert "route/wording" in result.stderr
    _wait_version(bed, max(accepted))


def test_new_node_takes_configuration_from_peers_in_an_outage(bed):
    """Guards against a node that cannot start while the log is down."""
    bed.cluster.use_preset("peak")
    _wait_version(bed, 1)
    bed.cluster.log.set_faults(refuse=True)
    bed.start_node("n4", "col-b")
    status = _versions(bed)["n4"]
    assert (status["config_version"], status["preset"]) == (1, "peak")
    outcome = bed.send("n4", testbed.engine_call())
    assert outcome.is_successful
    bed.cluster.log.set_faults()
    bed.cluster.use_preset("ordinary")
    _wait_version(bed, 2)


def test_lost_answer_is_resolved_by_reading_back(bed):
    """Guards against an operator who publishes twice or believes in a loss."""
    bed.cluster.log.set_faults(lose_answers=1, lose_stream="config")
    done = _publish(bed, "lost", 44.0)
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout)["version"] == 1
    _wait_version(bed, 1)


def test_versions_never_go_back_on_any_node(bed):
    """Guards against a node that falls back to an older configuration."""
    for number in range(6):
        bed.cluster.use_preset(("peak", "ordinary")[number % 2])
    _wait_version(bed, 6)
    facts = _applied(bed)
    assert len(facts) >= 3 * len(NODES)
    assert invariants.configuration_never_reverts(facts) == []
    assert {fact.version for fact in facts if fact.version == 6} == {6}


def _applied(bed):
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
