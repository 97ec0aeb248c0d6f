"""Measures running nodes: configuration changes, idle cost and memory.

Prints one JSON document. The figures depend on the machine; docs/CAPACITY.md
states the run that its figures come from.
"""

import json
import statistics
import sys
import time
from typing import Any

from absl import app, flags

from baobabmux_core import catalogue, hlc
from baobabmux_standins import client, cluster, process, testbed

_SWITCHES = flags.DEFINE_integer("switches", 20, "Preset switches.")
_IDLE_SECONDS = flags.DEFINE_float("idle_seconds", 15.0, "Idle time.")
_NODES = flags.DEFINE_list(
    "nodes", ["2", "4", "8"], "Numbers of nodes of one data centre."
)

_IN_FORCE = catalogue.EventKind.CONFIG_IN_FORCE.number
_DATA_CENTRE = "col-a"


def _cpu_seconds(bed: testbed.Testbed) -> dict[str, float]:
    return {
        name: node.process.cpu_seconds()
        for name, node in bed.cluster.nodes.items()
    }


def _sent_bytes(bed: testbed.Testbed) -> dict[str, float]:
    prefix = 'baobabmux_control_bytes_total{direction="sent"} '
    return {
        name: next(
            float(line.removeprefix(prefix))
            for line in node.metrics().splitlines()
            if line.startswith(prefix)
        )
        for name, node in bed.cluster.nodes.items()
    }


def _idle(bed: testbed.Testbed, seconds: float) -> dict[str, Any]:
    """Measures CPU share, sent bytes and memory of nodes without callers.

    Each figure is the maximum over the nodes.
    """
    cpu, sent = _cpu_seconds(bed), _sent_bytes(bed)
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    cpu_after, sent_after = _cpu_seconds(bed), _sent_bytes(bed)
    return {
        "cpu_share": max(cpu_after[n] - cpu[n] for n in cpu) / elapsed,
        "sent_bytes_per_second": max(
            (sent_after[n] - sent[n]) / elapsed for n in sent
        ),
        "resident_bytes": max(
            node.process.resident_bytes() for node in bed.cluster.nodes.values()
        ),
    }


def _activation_seconds(bed: testbed.Testbed, switches: int) -> list[float]:
    """Measures how long each preset switch takes to be in force everywhere.

    Returns:
        For each version, the time in seconds from its append to the log until
        it is in force at the last node.
    """
    log = bed.cluster.log
    for number in range(switches):
        bed.cluster.use_preset(("peak", "ordinary")[number % 2])
    page = client.call(log.address, "GET", "/streams/config/records?from=0")
    appended_ms = {
        record["offset"]: record["time_ms"] for record in page.json()["records"]
    }
    newest = max(appended_ms)
    process.wait_until(
        lambda: all(
            client.call(node.admin, "GET", "/status").json()["config_version"]
            == newest
            for node in bed.cluster.nodes.values()
        ),
        "the newest version is in force everywhere",
    )
    last_ms: dict[int, int] = {}
    for node in bed.cluster.nodes.values():
        events = client.call(node.admin, "GET", "/timeline").json()["events"]
        for event in events:
            if event["kind"] != _IN_FORCE:
                continue
            version = event["fields"]["version"]
            at_ms = hlc.wall_ms(event["hlc"])
            last_ms[version] = max(last_ms.get(version, 0), at_ms)
    # Version 0 was published before the nodes had connected to the log.
    return [
        (last_ms[version] - appended_ms[version]) / 1000
        for version in sorted(last_ms)
        if version > 0
    ]


def measure(nodes: int, switches: int, idle_seconds: float) -> dict[str, Any]:
    """Measures a deployment of one size.

    Args:
        nodes: Number of nodes.
        switches: Number of preset switches.
        idle_seconds: Duration of the idle measurement.

    Returns:
        The figures by name; the names contain their units.
    """
    node_centres = {
        f"n{number}": _DATA_CENTRE for number in range(1, nodes + 1)
    }
    endpoints = {"e1": _DATA_CENTRE, "desk1": _DATA_CENTRE}
    with testbed.Testbed(node_centres, endpoints) as bed:
        time.sleep(2.0)  # Start-up work is not part of the idle cost.
        idle = _idle(bed, idle_seconds)
        activation_seconds = _activation_seconds(bed, switches)
    return {
        "nodes": nodes,
        **idle,
        "force_seconds_median": statistics.median(activation_seconds),
        "force_seconds_max": max(activation_seconds),
    }


def main(arguments: list[str]) -> int:
    """Measures all sizes; returns the exit code."""
    if len(arguments) > 1:
        print(f"unknown argument {arguments[1]}", file=sys.stderr)
        return 2
    rows = []
    for nodes in _NODES.value:
        print(f"measuring {nodes} nodes", file=sys.stderr, flush=True)
        try:
            rows.append(
                measure(int(nodes), _SWITCHES.value, _IDLE_SECONDS.value)
            )
        except cluster.CommandError as error:
            print(f"measure: {error}", file=sys.stderr)
            return 1
    print(json.dumps(rows, indent=2))
    return 0


if __name__ == "__main__":
    app.run(main)
