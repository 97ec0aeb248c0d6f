"""Demonstration: both example deployments under a mixed load.

Starts stand-ins, a log service, a VM list and four nodes in two data centres,
and publishes examples/*.toml with the addresses of the stand-ins. It sends a
seeded load, during which it switches the preset and stops one node. The exit
code is 0 only if no call was lost or run twice, as counted at the stand-ins.
"""

import collections
import pathlib
import random
import signal
import sys
import time
import tomllib
from typing import Any

import curio
from absl import app, flags

from baobabmux_standins import cluster, ledger, load, process, workload

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the load.")
_CALLS = flags.DEFINE_integer("calls", 400, "Number of calls.")
_SECONDS = flags.DEFINE_float("seconds", 20.0, "Length of the load.")
_HOLD = flags.DEFINE_bool(
    "hold", False, "Start everything, send nothing, run until interrupted."
)
_EXAMPLES = flags.DEFINE_string(
    "examples", "examples", "Directory of the example declarations."
)

_FILES = ("common.toml", "kelaniya.toml", "lone-star.toml")
# Data centre of the demonstration for each declared data centre. Both example
# deployments share its two data centres; endpoints in their third data centres
# are left out.
_CENTRES = {
    "col-a": "col-a",
    "col-b": "col-b",
    "austin-hall": "col-a",
    "waco-hall": "col-b",
}
_NODES = {"n1": "col-a", "n2": "col-a", "n3": "col-b", "n4": "col-b"}
_STOPPED_NODE = "n2"
# Maximum factor by which engines are faster or slower than declared.
_MAX_SPEED_FACTOR = 1.4
_PROGRESS_SECONDS = 2.0

Tables = dict[str, dict[str, dict[str, Any]]]


class Demo:
    """One run of the demonstration.

    Args:
        deployment: Cluster that runs it.
        seed: Seed of the load and of the engines' speeds.
    """

    def __init__(self, deployment: cluster.Cluster, seed: int):
        self._cluster = deployment
        self._seed = seed
        self._start = time.monotonic()
        self._endpoints: dict[str, cluster.StandIn] = {}

    def print_progress(self, text: str) -> None:
        """Prints a line of progress."""
        seconds = time.monotonic() - self._start
        print(f"[{seconds:5.1f} s] {text}", flush=True)

    def prepare(self, examples: pathlib.Path) -> None:
        """Starts stand-ins and nodes, and publishes the declarations."""
        self._cluster.start_platform(sorted(set(_CENTRES.values())))
        files = [
            self._deploy(examples / name, random.Random(self._seed))
            for name in _FILES
        ]
        kinds = collections.Counter(
            endpoint.kind for endpoint in self._endpoints.values()
        )
        self.print_progress(
            f"{kinds['engine']} engines, {kinds['plain']} plain services"
        )
        self._cluster.start_nodes(_NODES)
        self.print_progress(f"{len(_NODES)} nodes listen")
        self._cluster.publish(*files)
        self._cluster.wait_ready()
        self.print_progress("the configuration is in force at all nodes")

    async def run(self, calls: list[workload.Call]) -> load.Load:
        """Sends the load, and switches the preset and stops a node meanwhile.

        Returns:
            The load with the outcomes of all calls.

        Raises:
            cluster.CommandError: The stopped node's exit code was not 0.
        """
        nodes = self._cluster.nodes
        balancer = load.Balancer(node.callers for node in nodes.values())
        sending = load.Load(balancer)
        task = await curio.spawn(sending.run, calls)
        progress = await curio.spawn(self._progress, sending, daemon=True)
        third = calls[-1].at_seconds / 3
        await curio.sleep(third)
        await curio.run_in_thread(self._cluster.use_preset, "peak")
        self.print_progress("the preset is now peak")
        await curio.sleep(third / 2)
        stopped = nodes[_STOPPED_NODE]
        self.print_progress(f"{stopped.name} is being stopped")
        code = await curio.run_in_thread(self._cluster.stop_node, stopped)
        self.print_progress(f"{stopped.name} has ended with exit code {code}")
        await task.join()
        await progress.cancel()
        if code != 0:
            raise cluster.CommandError(f"{stopped.name}: exit code {code}")
        return sending

    def merged_counts(self) -> dict[str, Any]:
        """Returns the counts of all endpoints."""
        return ledger.merge_counts(
            endpoint.counts() for endpoint in self._endpoints.values()
        )

    async def _progress(self, sending: load.Load) -> None:
        while True:
            await curio.sleep(_PROGRESS_SECONDS)
            ended = len(sending.outcomes)
            self.print_progress(f"sent {sending.sent}, ended {ended}")

    def _deploy(self, file: pathlib.Path, rng: random.Random) -> pathlib.Path:
        """Starts the endpoints of a declarations file.

        Returns:
            A copy of the file that contains their addresses.
        """
        tables: Tables = tomllib.loads(file.read_text())
        kinds = {
            name: service["kind"]
            for name, service in tables.get("service", {}).items()
        }
        declared = tables.pop("endpoint", {})
        included = {
            name: endpoint
            for name, endpoint in declared.items()
            if endpoint["data_centre"] in _CENTRES
        }
        for name, endpoint in included.items():
            kind = kinds[endpoint["service"]]
            options = _engine_options(endpoint, rng)
            if kind == "plain":
                options = {"max_requests": endpoint["max_requests"]}
            stand_in = self._cluster.add(kind, **options)
            self._endpoints[name] = stand_in
            endpoint["address"] = stand_in.address
            endpoint["data_centre"] = _CENTRES[endpoint["data_centre"]]
            self._cluster.edit_vms(add=[_vm_entry(endpoint)])
        if included:
            tables["endpoint"] = included
        return self._cluster.write_tables(file.stem, tables)


def _engine_options(
    endpoint: dict[str, Any], rng: random.Random
) -> dict[str, Any]:
    factor = rng.uniform(1 / _MAX_SPEED_FACTOR, _MAX_SPEED_FACTOR)
    rates = ("prefill_tokens_per_second", "decode_tokens_per_second")
    limits = ("max_requests", "cache_tokens", "checks_fencing")
    return {
        **{rate: endpoint.get(rate, 0) * factor for rate in rates},
        **{limit: endpoint.get(limit) for limit in limits},
    }


def _vm_entry(endpoint: dict[str, Any]) -> dict[str, Any]:
    return {
        "id": endpoint["vm"],
        "kind": "endpoint",
        "data_centre": endpoint["data_centre"],
        "state": "live",
    }


def table(calls: list[workload.Call], outcomes: list[ledger.Outcome]) -> str:
    """Returns a printable table of the outcomes by tier."""
    tiers = {call.marker: call.tier for call in calls}
    rows: dict[str, collections.Counter[str]] = {
        kind.tier: collections.Counter() for kind in workload.KINDS.values()
    }
    for outcome in outcomes:
        row = rows[tiers[outcome.marker]]
        row["sent"] += 1
        row[_column(outcome)] += 1
    columns = ("sent", "answered whole", "not run", "unknown", "lost")
    lines = [f"{'tier':12}" + "".join(f"{name:>16}" for name in columns)]
    lines += [
        f"{tier:12}" + "".join(f"{row[name]:16}" for name in columns)
        for tier, row in rows.items()
    ]
    return "\n".join(lines)


def _column(outcome: ledger.Outcome) -> str:
    if outcome.is_lost:
        return "lost"
    if outcome.is_successful:
        return "answered whole"
    return "not run" if outcome.is_not_run else "unknown"


def _hold(deployment: cluster.Cluster) -> int:
    """Prints the addresses and blocks until an interrupt."""
    for node in deployment.nodes.values():
        print(f"{node.name}: callers {node.callers}, admin {node.admin}")
    print(f"log service: {deployment.log.address}")
    print("press Ctrl-C to end", flush=True)
    try:
        signal.pause()
    except KeyboardInterrupt:
        return 0
    return 0


def main(arguments: list[str]) -> int:
    """Runs the demonstration; returns the exit code."""
    if len(arguments) > 1:
        print(f"unknown argument {arguments[1]}", file=sys.stderr)
        return 2
    with cluster.Cluster() as deployment:
        demo = Demo(deployment, _SEED.value)
        try:
            demo.prepare(pathlib.Path(_EXAMPLES.value))
            if _HOLD.value:
                return _hold(deployment)
            now_ms = time.time_ns() // 10**6
            calls = workload.plan(
                _SEED.value, _CALLS.value, _SECONDS.value, now_ms
            )
            sending = curio.run(demo.run, calls)
            counts = demo.merged_counts()
        except (cluster.CommandError, process.WaitTimeoutError) as error:
            print(f"demo: {error}", file=sys.stderr)
            return 1
    violations = ledger.find_violations(sending.outcomes, counts)
    if len(sending.outcomes) != len(calls):
        violations.append(f"{len(calls)} calls, {len(sending.outcomes)} ended")
    print(table(calls, sending.outcomes))
    kinds = collections.Counter(
        outcome.kind for outcome in sending.outcomes if outcome.kind
    )
    print(f"refusals by kind: {dict(kinds)}")
    print(f"sent again after a refusal by a leaving node: {sending.resent}")
    print(f"runs counted at the stand-ins: {counts['totals']['started']}")
    for violation in violations:
        print(f"violation: {violation}")
    print("nothing lost or doubled" if not violations else "FAILED")
    return 0 if not violations else 1


if __name__ == "__main__":
    app.run(main)
