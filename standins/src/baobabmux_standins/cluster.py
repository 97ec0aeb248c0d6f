"""Harness of process tests: stand-ins and nodes as child processes.

A `Cluster` owns the child processes and the relays between data centres. It
starts processes, injects faults into the relays, edits the VM list, and ends
only the processes that it started. Its methods block the calling thread.
"""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
from collections.abc import Iterable
from types import TracebackType
from typing import Any, Self

import msgspec
import tomli_w

from baobabmux_standins import client, process

_PLATFORM = "platform"
_SCRIPT_DIRECTORY = pathlib.Path(sys.executable).parent
_CTL_TIMEOUT_SECONDS = 60.0


class CommandError(Exception):
    """A command of a stand-in or of the operator's tool failed."""


class StandIn(msgspec.Struct, frozen=True):
    """A stand-in that runs in a child process.

    Attributes:
        kind: Its kind.
        address: IP number and port of its protocol.
        control: IP number and port for commands.
    """

    kind: str
    address: str
    control: str

    def counts(self) -> dict[str, Any]:
        """Returns the stand-in's counters (GET /counts)."""
        return client.call(self.control, "GET", "/counts").json()

    def set_faults(self, **faults: Any) -> None:
        """Replaces all of its faults; without arguments it has none."""
        _post_command(self.control, "/faults", faults)


class Node:
    """A node that runs as a child process.

    Attributes:
        name: Its identifier.
        data_centre: Data centre that it runs in.
        process: Its process.
        callers: Address for callers.
        admin: Address for operators.
        peers: Address for other nodes.
    """

    def __init__(self, name: str, data_centre: str, running: process.Process):
        self.name = name
        self.data_centre = data_centre
        self.process = running
        self.callers = ""
        self.admin = ""
        self.peers = ""

    def read_addresses(self) -> None:
        """Waits for the node's first line of output, which has its addresses.

        Sets `callers`, `admin` and `peers`.
        """
        listening = self.process.announcement()
        self.callers = listening["callers"]
        self.admin = listening["admin"]
        self.peers = listening["peers"]

    def is_ready(self) -> bool:
        """Returns whether GET /readyz of the node answers 200."""
        return client.call(self.admin, "GET", "/readyz").status == 200

    def live_members(self) -> set[str]:
        """Returns the names of the nodes that are live in its membership."""
        status = client.call(self.admin, "GET", "/status").json()
        members = status["members"].items()
        return {name for name, state in members if state == "live"}

    def metrics(self) -> str:
        """Returns the text of GET /metrics."""
        return client.call(self.admin, "GET", "/metrics").body.decode()


class _Link(msgspec.Struct, frozen=True):
    """A relay and its two ends: data centres, or one and the platform."""

    ends: frozenset[str]
    relay: StandIn


class Cluster:
    """Stand-ins, nodes and the links between their data centres.

    The end of the `with` block ends all processes.

    Attributes:
        directory: Temporary directory of settings and output.
        log: Log service, after `start_platform`.
        vms: VM list, after `start_platform`.
        nodes: Nodes by name.
        processes: All processes started.
        relays: Relays by the viewer's data centre and the target.
    """

    def __init__(self):
        _interrupt_on_sigterm()
        self._temporary_directory = tempfile.TemporaryDirectory(
            prefix="baobabmux-"
        )
        self.directory = pathlib.Path(self._temporary_directory.name)
        self.log: StandIn | None = None
        self.vms: StandIn | None = None
        self.nodes: dict[str, Node] = {}
        self.processes: list[process.Process] = []
        self._hosts: dict[str, str] = {}
        self._links: list[_Link] = []
        self.relays: dict[tuple[str, str], StandIn] = {}
        self._data_centres: list[str] = []

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.end()

    def end(self) -> None:
        """Ends all processes and removes the directory."""
        for child in reversed(self.processes):
            child.end()
        self.processes.clear()
        self._temporary_directory.cleanup()

    def start_process(self, name: str, command: list[str]) -> process.Process:
        """Starts a child process, which `end` ends."""
        child = process.Process(name, command, self.directory)
        self.processes.append(child)
        return child

    def add(
        self, kind: str, host: str = "endpoints", **options: Any
    ) -> StandIn:
        """Starts a stand-in.

        Args:
            kind: Its kind, see `main.KINDS`.
            host: Name of the process that runs it; it is started if it does
                not run yet.
            **options: Arguments of its class.
        """
        if host not in self._hosts:
            self._hosts[host] = self._start_host(host)
        request = {"kind": kind, "options": options}
        addresses = _post_command(self._hosts[host], "/standins", request)
        return StandIn(kind, addresses["address"], addresses["control"])

    def start_platform(
        self,
        data_centres: Iterable[str],
        log_options: dict[str, Any] | None = None,
        vms_options: dict[str, Any] | None = None,
    ) -> None:
        """Starts the log service, the VM list and relays to both.

        Each data centre gets its own two relays.

        Args:
            data_centres: Names of all data centres.
            log_options: Arguments of `log.Log`.
            vms_options: Arguments of `vms.VmList`.
        """
        self._data_centres = list(data_centres)
        self.log = self.add("log", _PLATFORM, **(log_options or {}))
        self.vms = self.add("vms", _PLATFORM, **(vms_options or {}))
        for data_centre in self._data_centres:
            for name, target in (("log", self.log), ("vms", self.vms)):
                relay = self._add_relay(
                    {data_centre, _PLATFORM}, target.address
                )
                self.relays[data_centre, name] = relay

    def start_nodes(
        self,
        placement: dict[str, str],
        announce_seconds: float = 1.0,
        limits: dict[str, Any] | None = None,
        secret_file: pathlib.Path | None = None,
        listed: bool = True,
    ) -> list[Node]:
        """Starts nodes and adds them to the VM list.

        Args:
            placement: Data centre of each node by name.
            announce_seconds: Time between the announcement of a node's
                shutdown and its refusal of new requests.
            limits: Section `limits` of their settings.
            secret_file: File with the secret that they share, or None.
            listed: Whether to add them to the VM list; False simulates a list
                that lags behind their start.
        """
        options = {
            "shutdown": {"announce_seconds": announce_seconds},
            "limits": limits or {},
            "peers": {"secret_file": str(secret_file or "")},
        }
        new_nodes = [
            self._start_node(name, data_centre, options)
            for name, data_centre in placement.items()
        ]
        for node in new_nodes:
            node.read_addresses()
        if listed:
            self.edit_vms(add=[self._vm_entry(node) for node in new_nodes])
        return new_nodes

    def wait_ready(self, nodes: Iterable[Node] | None = None) -> None:
        """Waits until the given nodes, or all nodes, report readiness."""
        for node in nodes or self.nodes.values():
            process.wait_until(node.is_ready, f"{node.name} is ready")

    def wait_members(self) -> None:
        """Waits until each node's membership has all nodes as live."""
        names = set(self.nodes)
        for node in self.nodes.values():
            process.wait_until(
                lambda node=node: node.live_members() >= names,
                f"{node.name} lists all nodes as live",
            )

    def stop_node(self, node: Node) -> int:
        """Marks a node as leaving, stops it by SIGTERM, returns its exit code.

        The node is then removed from the VM list.
        """
        self.edit_vms(add=[{**self._vm_entry(node), "state": "leaving"}])
        node.process.terminate()
        code = node.process.wait()
        self.remove_node(node)
        return code

    def kill_node(self, node: Node) -> None:
        """Kills a node; it stays in the VM list until `remove_node`."""
        node.process.kill()

    def remove_node(self, node: Node) -> None:
        """Removes a node from the VM list and from `nodes`."""
        self.edit_vms(remove=[node.name])
        self.nodes.pop(node.name, None)

    def edit_vms(
        self,
        add: Iterable[dict[str, Any]] = (),
        remove: Iterable[str] = (),
    ) -> None:
        """Sets and removes entries of the VM list."""
        edit = {"set": list(add), "remove": list(remove)}
        _post_command(_require_started(self.vms).control, "/vms", edit)

    def cut(self, data_centre: str) -> None:
        """Resets and refuses connections between a data centre and others.

        This includes its connections to the platform's log and VM list.
        """
        self._set_link_faults(data_centre, cut=True)

    def stall(self, data_centre: str) -> None:
        """Stops traffic on the same links as `cut`; connections stay open."""
        self._set_link_faults(data_centre, stall=True)

    def heal(self, data_centre: str) -> None:
        """Ends the effect of `cut` or `stall` on a data centre."""
        self._set_link_faults(data_centre)

    def ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Runs the operator's tool; returns its exit code and output."""
        return subprocess.run(
            [str(_SCRIPT_DIRECTORY / "baobabmuxctl"), *arguments],
            check=False,
            capture_output=True,
            text=True,
            timeout=_CTL_TIMEOUT_SECONDS,
        )

    def publish(self, *files: pathlib.Path) -> None:
        """Publishes declarations.

        Raises:
            CommandError: The tool failed.
        """
        names = [str(file) for file in files]
        self._ctl_checked(
            "publish", "--log", _require_started(self.log).address, *names
        )

    def write_tables(self, name: str, tables: dict[str, Any]) -> pathlib.Path:
        """Writes declarations to a temporary file, for `publish`."""
        file = self.directory / f"{name}.toml"
        file.write_text(tomli_w.dumps(tables))
        return file

    def use_preset(self, name: str) -> None:
        """Switches the preset.

        Raises:
            CommandError: The tool failed.
        """
        log = _require_started(self.log).address
        self._ctl_checked("preset", "use", name, "--log", log)

    def _ctl_checked(self, *arguments: str) -> None:
        result = self.ctl(*arguments)
        if result.returncode != 0:
            output = f"{result.stdout}{result.stderr}".strip()
            message = f"{arguments[0]}: exit {result.returncode}: {output}"
            raise CommandError(message)

    def _start_host(self, name: str) -> str:
        module = "baobabmux_standins.main"
        command = [sys.executable, "-m", module, "host"]
        child = self.start_process(f"standins-{name}", command)
        return child.announcement()["control"]

    def _start_node(
        self, name: str, data_centre: str, options: dict[str, Any]
    ) -> Node:
        ephemeral_address = "127.0.0.1:0"
        settings = {
            "node": {"id": name, "data_centre": data_centre},
            "listen": {
                "callers": ephemeral_address,
                "admin": ephemeral_address,
                "peers": ephemeral_address,
            },
            "platform": {
                "log": self.relays[data_centre, "log"].address,
                "vms": self.relays[data_centre, "vms"].address,
            },
            **options,
        }
        file = self.write_tables(name, settings)
        command = [
            str(_SCRIPT_DIRECTORY / "baobabmux"),
            "--settings",
            str(file),
        ]
        node = Node(name, data_centre, self.start_process(name, command))
        self.nodes[name] = node
        return node

    def _vm_entry(self, node: Node) -> dict[str, Any]:
        """Returns a node's VM list entry.

        Viewers in each other data centre get the address of a relay instead
        of the node's own peer address.
        """
        views = {
            viewer: self._relay_address(node, viewer)
            for viewer in self._data_centres
            if viewer != node.data_centre
        }
        return {
            "id": node.name,
            "kind": "node",
            "data_centre": node.data_centre,
            "state": "live",
            "peer_address": node.peers,
            "admin_address": node.admin,
            "views": views,
        }

    def _relay_address(self, node: Node, viewer: str) -> str:
        key = (viewer, node.peers)
        if key not in self.relays:
            ends = {node.data_centre, viewer}
            self.relays[key] = self._add_relay(ends, node.peers)
        return self.relays[key].address

    def _add_relay(self, ends: set[str], target: str) -> StandIn:
        relay = self.add("relay", _PLATFORM, target=target)
        self._links.append(_Link(frozenset(ends), relay))
        return relay

    def _set_link_faults(self, data_centre: str, **faults: bool) -> None:
        for link in self._links:
            if data_centre in link.ends:
                link.relay.set_faults(**faults)


def _interrupt_on_sigterm() -> None:
    """Turns SIGTERM into KeyboardInterrupt.

    The default action ends this process without cleanup, and its child
    processes would keep running.
    """
    is_main = threading.current_thread() is threading.main_thread()
    if is_main and signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, signal.default_int_handler)


def _require_started(stand_in: StandIn | None) -> StandIn:
    if stand_in is None:
        raise CommandError("the platform is not started")
    return stand_in


def _post_command(control: str, path: str, value: Any) -> Any:
    answer = client.call(control, "POST", path, value)
    if answer.status != 200:
        text = answer.body.decode(errors="replace")
        raise CommandError(f"{path}: {answer.status}: {text}")
    return json.loads(answer.body)
