"""Runs nodes by the deploy file's command, and keeps the record of a case."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable

from rig import platform, web

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "revokeFailClosed": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 56,
    "quotaWindowS": 8,
    "quotaOverrun": 0.1,
    "quotaSlack": 140_000,
    "recoverS": 12,
    "passMs": 120,
    "reuseWindowS": 10,
}
"""Bounds of the sheet of kgw-mux."""

_METRICS_PORT = 9464
_READY_SECONDS = 20.0


class CaseError(Exception):
    """The case could not run."""


def trouble() -> bool:
    """Returns whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt` of a case, with times since its start."""

    def __init__(self, folder: pathlib.Path):
        self.started = time.monotonic()
        self.lines: list[tuple[float, str]] = []
        self._path = folder / "record.txt"

    def add(self, text: str, at: float | None = None) -> None:
        """Adds a line."""
        now = time.monotonic() if at is None else at
        self.lines.append((now - self.started, text))

    def write(self, verdict: str) -> None:
        """Writes all lines in the order of their times, and the verdict."""
        lines = [f"{at:9.3f} {text}" for at, text in sorted(self.lines)]
        self._path.write_text("\n".join([*lines, verdict, ""]))


class Node:
    """One node process and its settings.

    Attributes:
        name: Name of the machine.
        host: Its loopback address.
        process: The running process, or None.
        in_rotation: Whether the balancer sends it new requests.
    """

    def __init__(self, name: str, host: str, zone: str, folder: pathlib.Path):
        self.name = name
        self.host = host
        self.zone = zone
        self.process: subprocess.Popen | None = None
        self.in_rotation = True
        ports = _free_ports(host, 4)
        self.address = f"{host}:{ports[0]}"
        self.ready_address = f"{host}:{ports[1]}"
        self._internal_ports = sorted(ports[2:])
        self._folder = folder
        self._path = folder / f"{name}.json"

    def write_settings(self, store: str) -> None:
        """Writes the settings file that the platform would write."""
        values = {
            "nodeName": self.name,
            "role": "node",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": self.zone,
            "region": "colombo",
            "zones": dict.fromkeys(("col-a", "col-b", "col-c"), "colombo"),
            "listen": {
                "frontend": self.address,
                "ready": self.ready_address,
            },
            "internalPorts": self._internal_ports,
            "seeds": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "quota",
                "platform",
            ],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "parts": 8,
                "appendMs": 4.0,
                "ingressPerS": 20.0,
                "egressPerS": 80.0,
                "recordBytes": 262144,
                "callBytes": 2097152,
                "keep_s": 20,
                "partMb": 200,
                "ttlMinMs": 1000,
            },
        }
        self._path.write_text(json.dumps(values))

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BAOBABMUX_CONFIG"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (
            (self._folder / f"{self.name}.out").open("ab") as out,
            (self._folder / f"{self.name}.err").open("ab") as err,
        ):
            self.process = subprocess.Popen(
                deploy["roles"]["node"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def poll(self) -> int | None:
        """Returns the exit code of the process, or None while it runs."""
        return None if self.process is None else self.process.poll()

    def end(self) -> None:
        """Kills the process unless it has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Returns whether the readiness check of the platform succeeds."""
        found = await web.call(
            self.ready_address,
            "GET",
            "/-/readyz",
            {"Host": "node"},
            seconds=1.0,
        )
        return found is not None and found.status == 200

    def events(self, number: int) -> list[dict]:
        """Returns the lines that the process has logged of one kind."""
        text = (self._folder / f"{self.name}.out").read_text(errors="replace")
        return [
            json.loads(line)
            for line in text.splitlines()
            if f'"kind":{number},' in line
        ]


class Site:
    """Stand-ins and nodes of one case, in a temporary folder."""

    def __init__(self, case: str):
        self.record = Record(pathlib.Path(case).resolve().parent)
        self.store = platform.Store()
        self.nodes: dict[str, Node] = {}
        self.replicas: dict[str, platform.Replica] = {}
        self.links: dict[str, platform.Link] = {}
        self.calls: list[dict] = []
        self._node_by_request: dict[str, str] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self._numbers = iter(range(1, 1_000_000))
        self._tasks: set[asyncio.Task] = set()

    async def start(self, nodes: int, replicas: dict[str, str]) -> None:
        """Starts the store, replicas (service by name) and ready nodes."""
        await self.store.start(_free_host())
        await self.store.put(
            "keyed.op", "config", platform.configuration(version=3)
        )
        for name, service in replicas.items():
            await self.add_replica(name, service)
        for number in range(nodes):
            zone = ("col-a", "col-b", "col-c")[number % 3]
            await self.add_node(f"edge-{zone}-{number // 3 + 1}", zone)
        await self.wait_ready()

    async def add_node(self, name: str, zone: str) -> Node:
        """Adds a machine with a link to the store, and starts its process."""
        link = self.links[name] = platform.Link(self.store.address)
        await link.start(_free_host())
        node = Node(name, _free_host(), zone, self.folder)
        node.write_settings(link.address)
        node.start()
        self.nodes[name] = node
        return node

    async def wait_ready(self) -> None:
        """Waits until all nodes are ready.

        Raises:
            CaseError: They were not in time.
        """
        ends_at = time.monotonic() + _READY_SECONDS
        for node in self.nodes.values():
            while not await node.is_ready():
                if time.monotonic() > ends_at or node.poll() is not None:
                    raise CaseError(f"{node.name} is not ready")
                await asyncio.sleep(0.05)

    async def add_replica(
        self, name: str, service: str, version: str = "v1"
    ) -> platform.Replica:
        """Starts a replica and lists it as ready."""
        slots = 10 if service == "lm-pool" else 6
        replica = platform.Replica(name, service, slots)
        replica.version = version
        await replica.start(_free_host())
        self.replicas[name] = replica
        await self.store.put("keyed.servers", name, replica.entry())
        self.record.add(f"replica {name} of {service} is listed as ready")
        return replica

    async def send(
        self,
        node: Node,
        path: str,
        method: str = "POST",
        seconds: float = 4.0,
        fields: web.Fields | None = None,
    ) -> dict:
        """Sends one request of a client and records its answer."""
        number = next(self._numbers)
        request = f"{random.getrandbits(40):010x}{number:06x}"
        sent = {
            "request": request,
            "node": node.name,
            "path": path,
            "at": time.monotonic(),
        }
        self.calls.append(sent)
        self._node_by_request[request] = node.name
        headers = {
            "Host": "desk.example",
            "X-Request-Id": request,
            "X-Deadline-Ms": "2500",
            "Authorization": "Bearer key-a",
            **(fields or {}),
        }
        body = b"{}" if method == "POST" else b""
        found, sent["connected"] = await web.exchange(
            node.address, method, path, headers, body, seconds
        )
        sent["answered"] = time.monotonic()
        sent["status"] = 0 if found is None else found.status
        sent["stamp"] = (
            "" if found is None else found.fields.get("x-server-stamp", "")
        )
        return sent

    async def stream(
        self, node: Node, first: str = "", last_event: int = 0
    ) -> dict:
        """Sends a draft, or takes one up, and records what arrives.

        Args:
            node: Node that gets the request.
            first: Request that brought the first event of a stream that is
                taken up, or "".
            last_event: Number of the last event that has arrived.
        """
        request = f"{random.getrandbits(40):010x}{next(self._numbers):06x}"
        self._node_by_request[request] = node.name
        fields = {
            "Host": "desk.example",
            "X-Request-Id": request,
            "X-Deadline-Ms": "15000",
            "Authorization": "Bearer key-a",
            "X-Model": "m",
            "X-Token-Count": "628,384",
            "X-Prompt-Prefix": f"5c1e07a2:60,{request[:8]}:568",
        }
        if first:
            fields |= {"Resumes": first, "Last-Event-Id": str(last_event)}
        found = {
            "request": request,
            "node": node.name,
            "path": "/draft/1",
            "at": time.monotonic(),
            "first": first or request,
            "last": last_event,
            "versions": [],
        }
        self.calls.append(found)
        status, retry_after, lines, is_whole = await web.stream(
            node.address, "/draft/1", fields, 16.0
        )
        found["answered"] = time.monotonic()
        found["status"] = status
        found["stamp"] = "whole" if is_whole else "broken off"
        found["retry_after"] = retry_after
        found["is_whole"] = is_whole
        for line in lines:
            if line.startswith("id: "):
                found["last"] = int(line.removeprefix("id: "))
            elif line.startswith("data: "):
                found["versions"].append(line.split(" ")[1])
        return found

    def load(
        self,
        per_second: float,
        seconds: float,
        requests,
        patience: float = 4.0,
        fields: web.Fields | None = None,
    ) -> None:
        """Sends requests at a steady rate to each node.

        A node that is not ready gets no new ones, as its balancer would have
        it.

        Args:
            per_second: Requests a second to each node.
            seconds: Duration.
            requests: Pairs of method and path, sent in turn.
            patience: Seconds that a client waits.
            fields: Further header fields.
        """
        for node in self.nodes.values():
            self.spawn(
                self._load(
                    node, per_second, seconds, requests, patience, fields
                )
            )
            self.spawn(self._watch(node, seconds))

    async def _watch(self, node: Node, seconds: float) -> None:
        """Asks for readiness once a second; two misses end new requests."""
        ends_at = time.monotonic() + seconds
        misses = 0
        while time.monotonic() < ends_at:
            misses = 0 if await node.is_ready() else misses + 1
            node.in_rotation = misses < 2
            await asyncio.sleep(1.0)

    async def _load(
        self, node, per_second, seconds, requests, patience, fields
    ) -> None:
        ends_at = time.monotonic() + seconds
        number = 0
        while time.monotonic() < ends_at:
            method, path = requests[number % len(requests)]
            number += 1
            if node.in_rotation:
                self.spawn(self.send(node, path, method, patience, fields))
            await asyncio.sleep(1.0 / per_second)

    def spawn(self, coroutine) -> asyncio.Task:
        """Runs a coroutine beside the others."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def settle(self) -> None:
        """Waits for the requests that are under way."""
        while self._tasks:
            await asyncio.wait(self._tasks, timeout=5.0)

    def node_of(self, arrival: dict) -> str:
        """Returns the name of the node that passed a request on."""
        return self._node_by_request.get(arrival["request"], "no node")

    def write_record(self, verdict: str) -> None:
        """Adds what was sent, run and answered, and writes the record."""
        for sent in self.calls:
            self.record.add(
                f"request {sent['request']} {sent['path']} sent to"
                f" {sent['node']}",
                sent["at"],
            )
            if "answered" in sent:
                status = sent["status"] or "nothing"
                self.record.add(
                    f"request {sent['request']} answered {status}"
                    f" {sent['stamp']}",
                    sent["answered"],
                )
        for replica in self.replicas.values():
            for run in replica.arrivals:
                text = "runs" if run["ran"] else "is turned away"
                self.record.add(
                    f"request {run['request']} reaches {replica.name} from"
                    f" {self.node_of(run)} and {text}",
                    run["at"],
                )
        self.record.write(verdict)

    async def end(self) -> None:
        """Ends all processes and stand-ins."""
        for node in self.nodes.values():
            node.end()
        for task in list(self._tasks):
            task.cancel()
        for server in (
            *self.replicas.values(),
            *self.links.values(),
            self.store,
        ):
            await server.stop()
        self._temporary.cleanup()


def _free_ports(host: str, count: int) -> list[int]:
    listeners = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def _free_host() -> str:
    """Returns a loopback address at which the metrics port is free."""
    generator = random.SystemRandom()
    for _ in range(50):
        host = "127." + ".".join(
            str(generator.randrange(1, 255)) for _ in range(3)
        )
        try:
            socket.create_server((host, _METRICS_PORT)).close()
        except OSError:
            continue
        return host
    raise CaseError("no loopback address is free")


def main(case: str, run: Callable[[Site], Awaitable[int]]) -> int:
    """Runs a case and writes its record.

    Args:
        case: File of the case.
        run: Returns how often the rule was broken.

    Returns:
        The exit code of `run.sh`.
    """
    return asyncio.run(_run_case(case, run))


async def _run_case(case: str, run: Callable[[Site], Awaitable[int]]) -> int:
    site = Site(case)
    try:
        count = await run(site)
    except Exception as error:  # Exit code 1 would say that a rule was broken.
        site.write_record(f"the case could not run: {error!r}")
        return 2
    finally:
        await site.end()
    verdict = f"the rule was broken {count} times" if count else "the rule held"
    site.write_record(verdict)
    print(verdict)
    return 1 if count else 0
