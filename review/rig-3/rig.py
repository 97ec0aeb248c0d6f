"""A small deployment of separate processes, for the third review's scripts.

Nodes are started with the command of the deploy file, on loopback addresses
and with settings like those of kgw-mux; store, replicas and clients are
stand-ins of this folder.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable

ROOT = pathlib.Path(__file__).resolve().parents[2]
_HERE = pathlib.Path(__file__).resolve().parent
_ADMIN_PORT = 9464
_READY_SECONDS = 25.0
_POLL_SECONDS = 0.05
HOST = "desk.example"
KEY = "key-of-bank-a"
# Bounds of kgw-mux, as its settings have them.
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
    "quotaSlack": 140000,
    "recoverS": 12,
    "passMs": 120,
    "reuseWindowS": 10,
}
_ZONES = ("col-a", "col-b", "col-c")
_CONTRACTS = (
    "base drain config cost retry recover engine stream tenants quota platform"
)


class NotReadyError(Exception):
    """The deployment did not start, so that the case says nothing."""


@dataclasses.dataclass
class Answer:
    """What a client has seen of one request.

    Attributes:
        request: Its identifier.
        sent: Time at which its last byte was sent, in seconds.
        ended: Time of the end of the answer or of the connection.
        status: Status, or 0 without an answer.
        headers: Header fields by lower-case name.
        body: Body as far as it arrived.
        complete: Whether the answer is complete.
        error: How the connection ended otherwise.
    """

    request: str
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""

    def to_record(self) -> dict:
        """Returns what `record.txt` says of it."""
        return {
            "request": self.request,
            "sent": round(self.sent, 3),
            "seconds": round(self.ended - self.sent, 3),
            "status": self.status,
            "stamp": self.headers.get("x-server-stamp", ""),
            "complete": self.complete,
            "error": self.error,
        }


def free_ip() -> str:
    """Returns a loopback address at which the fixed admin port is free."""
    generator = random.SystemRandom()
    while True:
        numbers = (str(generator.randrange(2, 250)) for _ in range(3))
        ip = "127." + ".".join(numbers)
        with contextlib.suppress(OSError):
            socket.create_server((ip, _ADMIN_PORT)).close()
            return ip


def free_ports(ip: str, count: int) -> list[int]:
    """Returns different free ports of an address."""
    with contextlib.ExitStack() as stack:
        return [
            stack.enter_context(socket.create_server((ip, 0))).getsockname()[1]
            for _ in range(count)
        ]


class Rig:
    """Starts and ends the processes of a case.

    Attributes:
        folder: Temporary folder with settings and output of the processes.
        nodes: Address for clients by the name of the node.
        processes: Running processes by name.
    """

    def __init__(self, folder: pathlib.Path, record: pathlib.Path):
        self.folder = folder
        self.nodes: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen] = {}
        self._ready: dict[str, str] = {}
        self._outputs: dict[str, pathlib.Path] = {}
        self._record = record.open("w")
        ip = free_ip()
        self.store = f"{ip}:{free_ports(ip, 1)[0]}"
        self._python("store", "store.py", self.store)
        self._wait_for_port(self.store)

    def note(self, what: str, **fields) -> None:
        """Writes a line into the record."""
        line = {"what": what, **fields}
        self._record.write(json.dumps(line) + "\n")
        self._record.flush()

    # Processes.

    def add_replica(self, name: str, service: str, **settings) -> str:
        """Starts a replica; returns its address."""
        ip = free_ip()
        address = f"{ip}:{free_ports(ip, 1)[0]}"
        values = {
            "name": name,
            "service": service,
            "address": address,
            "store": self.store,
            "zone": _ZONES[len(self.processes) % len(_ZONES)],
            **settings,
        }
        self._python(name, "replica.py", json.dumps(values))
        self._wait_for_port(address)
        return address

    def add_node(self, name: str, **bounds) -> None:
        """Starts a node with the command of the deploy file."""
        ip = free_ip()
        ports = free_ports(ip, 4)
        zone = _ZONES[len(self.nodes) % len(_ZONES)]
        internal = sorted(ports[2:])
        self.nodes[name] = f"{ip}:{ports[0]}"
        self._ready[name] = f"{ip}:{ports[1]}"
        values = {
            "nodeName": name,
            "role": "node",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": ip,
            "zone": zone,
            "region": "colombo",
            "zones": dict.fromkeys(_ZONES, "colombo"),
            "listen": {
                "frontend": self.nodes[name],
                "ready": self._ready[name],
            },
            "internalPorts": internal,
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "heartbeatMs": 1200,
            "contracts": _CONTRACTS.split(),
            "bounds": {**BOUNDS, **bounds},
            "platform": {"address": self.store, "form": "log"},
        }
        (self.folder / f"{name}.json").write_text(json.dumps(values))
        self.start_node(name)

    def start_node(self, name: str) -> None:
        """Starts a node, or starts it again with the same settings."""
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BAOBABMUX_CONFIG"] = str(self.folder / f"{name}.json")
        self._start(name, [sys.executable, "deploy/node.py"], environment)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def exit_code(self, name: str) -> int | None:
        """Returns the exit code of a process, or None while it runs."""
        return self.processes[name].poll()

    def lines(self, name: str) -> list[dict]:
        """Returns the lines of JSON that a process has written."""
        found = []
        for line in self._outputs[name].read_text(errors="replace").split("\n"):
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def runs(self, *replicas: str) -> list[dict]:
        """Returns the runs at replicas in the order of their times."""
        runs = [
            line
            for name in replicas
            for line in self.lines(name)
            if "run" in line
        ]
        return sorted(runs, key=lambda line: line["at"])

    def end(self) -> None:
        """Ends all processes that were started."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._record.close()

    def _python(self, name: str, script: str, *arguments: str) -> None:
        command = [sys.executable, str(_HERE / script), *arguments]
        self._start(name, command, {**os.environ})

    def _start(self, name, command, environment) -> None:
        output = self.folder / f"{name}.out"
        self._outputs[name] = output
        with output.open("ab") as file:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
            )

    def _wait_for_port(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        ends_at = time.monotonic() + _READY_SECONDS
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError):
                socket.create_connection((host, int(port)), 1.0).close()
                return
            time.sleep(_POLL_SECONDS)
        raise NotReadyError(f"nothing listens at {address}")

    # Configuration and readiness.

    def configure(self, version: int, routes: list[dict], **fields) -> None:
        """Writes a configuration as the operator."""
        services = sorted({route["service"] for route in routes})
        engines = {route["service"] for route in routes if "engine" in route}
        values = {
            "version": version,
            "routes": [
                {key: route[key] for key in route if key != "engine"}
                for route in routes
            ],
            "services": [
                {
                    "name": name,
                    "healthPath": "/healthz",
                    "maxConnections": 370 if name in engines else 110,
                    **(
                        {"engine": {"slots": 10, "kvCapacity": 630343}}
                        if name in engines
                        else {}
                    ),
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 8000,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "bank-a", "apiKeys": [KEY], "priority": 1}],
            **fields,
        }
        key = b"config"
        record = bytes([len(key)]) + key + json.dumps(values).encode()
        asyncio.run(
            call(
                self.store,
                "POST",
                "/-/log-append?topic=keyed.op&part=0",
                {},
                struct.pack(">I", len(record)) + record,
                "operator",
                5.0,
            )
        )

    def wait_ready(self) -> None:
        """Waits until the platform would take all nodes into rotation."""
        for name in self.nodes:
            self.wait_node_ready(name)

    def wait_node_ready(self, name: str) -> None:
        """Waits until a node says that it is ready."""
        ends_at = time.monotonic() + _READY_SECONDS
        while time.monotonic() < ends_at:
            answer = asyncio.run(
                call(self._ready[name], "GET", "/-/readyz", {}, b"", "", 1.0)
            )
            if answer.status == 200:
                return
            time.sleep(_POLL_SECONDS)
        raise NotReadyError(f"{name} is not ready")


def run_case(folder: pathlib.Path, play: Callable[[Rig, bool], bool]) -> int:
    """Plays a case in a temporary folder; returns its exit code.

    Args:
        folder: Folder of the case, which gets `record.txt`.
        play: Returns whether the rule was broken; its second argument tells
            whether the disruption is played.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    site = None
    with tempfile.TemporaryDirectory() as temporary:
        try:
            site = Rig(pathlib.Path(temporary), folder / "record.txt")
            broken = play(site, is_troubled)
            site.note("judged", broken=broken)
            return int(broken)
        except (NotReadyError, OSError) as error:
            print(f"the case could not run: {error}", file=sys.stderr)
            return 2
        finally:
            if site is not None:
                site.end()


def route(name: str, kind: str, service: str, **fields) -> dict:
    """Returns a route like those of kgw-mux."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "service": service,
        "timeoutMs": 1200,
        "targetLatencyMs": 150,
        "priority": 2,
        "maxAttempts": 1,
        "anonymous": False,
        **fields,
    }


def fields(request: str, deadline_ms: int = 2500, **more: str) -> dict:
    """Returns the header fields of a client's request."""
    return {
        "Host": HOST,
        "X-Request-Id": request,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict,
    body: bytes,
    request: str,
    timeout: float,
) -> Answer:
    """Sends one request on a new connection and reads its answer."""
    answer = Answer(request, sent=time.time())
    writer = None
    try:
        async with asyncio.timeout(timeout):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1"]
            if "Host" not in headers:
                lines.append(f"Host: {address}")
            lines += [f"{name}: {value}" for name, value in headers.items()]
            lines += [f"Content-Length: {len(body)}", "", ""]
            writer.write("\r\n".join(lines).encode() + body)
            await writer.drain()
            answer.sent = time.time()
            await _read_answer(reader, answer)
    except TimeoutError:
        answer.error = "the client has waited for long enough"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.error = f"the connection ended: {type(error).__name__}"
    finally:
        answer.ended = time.time()
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader, answer: Answer) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *lines = head.rstrip("\r\n").split("\r\n")
    answer.status = int(line.split(" ")[1])
    for field in lines:
        name, _, value = field.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" not in answer.headers.get("transfer-encoding", ""):
        size = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(size)
        answer.complete = True
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            answer.complete = True
            return
        answer.body += data[:-2]
