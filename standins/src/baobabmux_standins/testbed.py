"""Small deployment for process tests: nodes, engines and plain services.

A `Testbed` owns a `cluster.Cluster` with published declarations. It sends
calls through its nodes and compares the outcomes with the counts of its
endpoints.
"""

import itertools
import json
import random
import time
from collections.abc import Iterable
from types import TracebackType
from typing import Any, Self

import curio

from baobabmux_standins import (
    client,
    cluster,
    ledger,
    load,
    process,
    prompts,
    workload,
)

Tables = dict[str, dict[str, dict[str, Any]]]

_KEY_RNG = random.Random(7)
_MARKER_NUMBERS = itertools.count()


def base_tables() -> Tables:
    """Returns declarations without endpoints.

    The routes /wording and /flags lead to the same engines, /flags in a lower
    tier. The route /numbers leads to plain services and is not idempotent.
    """
    model = {"service": "drafting", "timeout_seconds": 60.0}
    return {
        "tier": {"tender": {"rank": 0}, "routine": {"rank": 1}},
        "service": {"drafting": {"kind": "engine"}, "desk": {"kind": "plain"}},
        "route": {
            "wording": {"path": "/wording", "tier": "tender", **model},
            "flags": {"path": "/flags", "tier": "routine", **model},
            "numbers": {
                "path": "/numbers",
                "tier": "tender",
                "service": "desk",
                "idempotent": False,
                "timeout_seconds": 30.0,
                "max_body_bytes": 100_000,
            },
        },
        "preset": {"ordinary": {}, "peak": {"affinity_wait_seconds": 0.5}},
        "active": {"preset": {"name": "ordinary"}},
    }


class Testbed:
    """A cluster with declared endpoints and nodes that are ready.

    Args:
        nodes: Data centre of each node by name.
        endpoints: Data centre of each endpoint by name; a name that begins
            with "desk" is a plain service, any other an engine.
        options: Arguments of the engines' class.
        declared: Further members of each endpoint's declaration.
        limits: Section `limits` of the nodes' settings.

    Attributes:
        cluster: The cluster.
        endpoints: Endpoints by name.
        tables: Declarations that it publishes.
    """

    def __init__(
        self,
        nodes: dict[str, str],
        endpoints: dict[str, str],
        options: dict[str, Any] | None = None,
        declared: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
    ):
        self.cluster = cluster.Cluster()
        self.endpoints: dict[str, cluster.StandIn] = {}
        self.tables = base_tables()
        self._node_centres = nodes
        self._endpoint_centres = endpoints
        self._engine_options = options or {}
        self._endpoint_members = declared or {}
        self._limits = limits or {}

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.cluster.end()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if error is not None:
            self._print_errors()
        self.cluster.end()

    def node(self, name: str) -> cluster.Node:
        """Returns a node by name."""
        return self.cluster.nodes[name]

    def start_node(self, name: str, data_centre: str) -> cluster.Node:
        """Starts one more node and waits until it is ready."""
        (node,) = self.cluster.start_nodes(
            {name: data_centre}, limits=self._limits
        )
        self.cluster.wait_ready([node])
        return node

    def send(self, node: str, call: workload.Call) -> ledger.Outcome:
        """Sends a call to a node and waits for the answer."""
        return curio.run(load.send, self.node(node).callers, call)

    def fetch(self, node: str, call: workload.Call) -> client.Response:
        """Sends a call to a node and returns its HTTP response."""
        return curio.run(self._request, self.node(node).callers, call)

    def send_together(
        self, sends: Iterable[tuple[str, workload.Call]]
    ) -> list[ledger.Outcome]:
        """Sends calls concurrently, each to the node named with it.

        Returns:
            The outcomes in the order of the calls.
        """
        return curio.run(self._send_all, list(sends))

    def counts(self) -> dict[str, Any]:
        """Returns the merged counts of all endpoints."""
        counts = [stand_in.counts() for stand_in in self.endpoints.values()]
        return ledger.merge_counts(counts)

    def run_count(self, call: workload.Call) -> int:
        """Returns how often the endpoints have started to run a call."""
        return self.counts()["by_marker"].get(call.marker, 0)

    def wait_until_running(self, call: workload.Call) -> None:
        """Waits until an endpoint has started to run a call."""
        process.wait_until(
            lambda: self.run_count(call) > 0, f"{call.marker} is running"
        )

    def violations(
        self, outcomes: Iterable[ledger.Outcome], may_lose: bool = False
    ) -> list[str]:
        """Returns contradictions between outcomes and endpoint counts.

        See `ledger.find_violations`.
        """
        return ledger.find_violations(outcomes, self.counts(), may_lose)

    def list_endpoint(self, name: str, state: str) -> None:
        """Sets an endpoint's entry in the VM list, with the given state."""
        entry = {
            "id": f"vm-{name}",
            "kind": "endpoint",
            "data_centre": self._endpoint_centres[name],
            "state": state,
        }
        self.cluster.edit_vms(add=[entry])

    def _start(self) -> None:
        centres = sorted(
            {*self._node_centres.values(), *self._endpoint_centres.values()}
        )
        self.cluster.start_platform(centres)
        self.tables["endpoint"] = {
            name: self._add_endpoint(name, data_centre)
            for name, data_centre in self._endpoint_centres.items()
        }
        self.cluster.start_nodes(self._node_centres, limits=self._limits)
        file = self.cluster.write_tables("declarations", self.tables)
        self.cluster.publish(file)
        self.cluster.wait_ready()
        self.cluster.wait_members()

    def _add_endpoint(self, name: str, data_centre: str) -> dict[str, Any]:
        is_plain = name.startswith("desk")
        added = (
            self.cluster.add("plain")
            if is_plain
            else self.cluster.add("engine", **self._engine_options)
        )
        self.endpoints[name] = added
        self.list_endpoint(name, "live")
        return {
            "service": "desk" if is_plain else "drafting",
            "data_centre": data_centre,
            "vm": f"vm-{name}",
            "address": added.address,
            **self._endpoint_members,
        }

    def _print_errors(self) -> None:
        for child in self.cluster.processes:
            print(f"--- {child.name}\n{child.tail()}")

    @staticmethod
    async def _request(address: str, call: workload.Call) -> client.Response:
        return await client.request(
            address, "POST", call.path, call.body, call.headers
        )

    async def _send_all(
        self, sends: list[tuple[str, workload.Call]]
    ) -> list[ledger.Outcome]:
        tasks = [
            await curio.spawn(load.send, self.node(name).callers, call)
            for name, call in sends
        ]
        return [await task.join() for task in tasks]


def engine_call(
    tokens: int = 8,
    path: str = "/wording",
    text: str = "",
    **headers: str,
) -> workload.Call:
    """Returns a call to an engine with a new marker.

    Args:
        tokens: Length of the answer.
        path: Path of its route.
        text: Text that the prompt contains.
        **headers: Header fields, with "_" for "-".
    """
    marker = f"mark-t{next(_MARKER_NUMBERS)}"
    prompt = f"{marker} {text} terms of the tender"
    return workload.Call(
        marker=marker,
        kind="wording draft",
        at_seconds=0.0,
        path=path,
        body=workload.completion_body(prompt, tokens),
        headers=_header_fields(headers),
        text=prompts.answer_text(prompt, 0, tokens),
    )


def plain_call(
    run_seconds: float = 0.0, key: str | None = None, **options: Any
) -> workload.Call:
    """Returns a call to /numbers, by default with a new marker and key.

    Args:
        run_seconds: Time that its run takes.
        key: Idempotency key; None generates one.
        **options: Other members of the body, see `plain.Plain`.
    """
    marker = f"mark-t{next(_MARKER_NUMBERS)}"
    now_ms = time.time_ns() // 10**6
    body = {"marker": marker, "run_seconds": run_seconds, **options}
    return workload.Call(
        marker=marker,
        kind="number issue",
        at_seconds=0.0,
        path="/numbers",
        body=json.dumps(body).encode(),
        headers={"Idempotency-Key": key or workload.make_key(_KEY_RNG, now_ms)},
    )


def _header_fields(headers: dict[str, str]) -> client.Headers:
    return {name.replace("_", "-"): text for name, text in headers.items()}
