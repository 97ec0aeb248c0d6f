"""Capacity at the target size: `python -m baobabmux_bench.capacity`.

Prints the tables of docs/CAPACITY.md: costs measured on this machine as linear
functions of size, and the resulting costs of each role at the target size of
section 1.7 of the design.
"""

import collections
import itertools
from collections.abc import Iterable
from typing import NamedTuple

from baobabmux_bench import platform_costs, roles, slopes, targets
from baobabmux_core import claim_batches

# Rates of the node's timers and polls, from `baobabmux_node`.
_TICKS_PER_SECOND = 20.0
_MEMBERSHIP_TICKS_PER_SECOND = 10.0
# A VM that fails or is replaced changes the list twice: one entry is removed
# and another is added.
_VM_CHANGES_PER_SECOND = (
    2
    * (targets.FAILURES_PER_DAY + targets.REPLACEMENTS_PER_DAY)
    / targets.DAY_SECONDS
)
# Entity tag of an unchanged VM list, in the request and in the response.
_ENTITY_TAG_BYTES = 2 * len('if-none-match: "0123456789abcdef"\r\n')
_VM_POLLS_PER_SECOND = 1.0
_REPORT_POLLS_PER_SECOND = 1.0
_CONFIG_POLL_SECONDS = 8.0
_CLAIM_PARTITIONS = 4
_HEARTBEATS_PER_SECOND = 20.0

_HOLDER_EVENTS_PER_REQUEST = 4
_OWNER_EVENTS_PER_REQUEST = 3
_TIMELINE_EVENTS = 5000

# JSON around the data of a record in a page of the log service.
_RECORD_ENVELOPE_BYTES = len(
    '{"offset":123456789,"time_ms":1796000000000,"data":},'
)


class Cost(NamedTuple):
    """Cost of one role at the target size.

    Attributes:
        role: Name of the role.
        peer_bytes: Bytes a second that the node sends to other nodes.
        platform_bytes: Bytes a second exchanged with the log service, the VM
            list and endpoints.
        core: Share of one core.
        memory: Memory in bytes.
    """

    role: str
    peer_bytes: float = 0.0
    platform_bytes: float = 0.0
    core: float = 0.0
    memory: float = 0.0


class Measured(NamedTuple):
    """Results of all measurements; `lines` are the fitted lines by name."""

    lines: dict[str, slopes.Slope]
    claim_message: float
    config_record: float
    load_poll: float
    cache_poll: float
    config_poll: float
    vm_poll: float
    process: float


def measure() -> Measured:
    """Runs all measurements."""
    lines = {
        name: getattr(roles, name)()
        for name in (
            "frame_bytes",
            "ask_bytes",
            "heartbeat_bytes",
            "register_bytes",
            "register_rate",
            "held_memory",
            "holder_tick_cpu",
            "owner_memory",
            "endpoint_memory",
            "owner_tick_cpu",
            "claim_record_bytes",
            "claim_cpu",
            "follow_cpu",
            "ledger_memory",
            "config_fold_cpu",
            "config_adopt_cpu",
            "config_memory",
            "snapshot_bytes",
            "vm_list_bytes",
            "vm_list_cpu",
            "membership_memory",
            "membership_tick_cpu",
            "heard_cpu",
            "timeline_memory",
            "timeline_cpu",
        )
    }
    lines |= {
        f"cycle_{name}": slope for name, slope in roles.cycle_slopes().items()
    }
    lines["socket_cpu"] = platform_costs.socket_cpu()
    lines["log_line_cpu"] = platform_costs.log_line_cpu()
    return Measured(
        lines,
        roles.claim_message_bytes(),
        roles.config_record_bytes(),
        platform_costs.http_bytes("/v1/load", 60),
        platform_costs.http_bytes("/v1/cache-events?from=123456", 30),
        platform_costs.http_bytes(
            "/streams/config/records?from=123456&limit=500&wait=8", 40
        ),
        platform_costs.http_bytes("/vms?viewer=centre-1", 0)
        + _ENTITY_TAG_BYTES,
        platform_costs.process_bytes("baobabmux_node.main"),
    )


def holder_cost(measured: Measured) -> Cost:
    """Cost of holding a node's share of the callers' requests."""
    lines = measured.lines
    rate = targets.REQUESTS_PER_SECOND_PER_NODE
    held = targets.HELD_REQUESTS_PER_NODE
    groups = targets.GROUPS_PER_DATA_CENTRE
    registers = groups * lines["register_rate"].at(held / groups)
    # `socket_cpu` measures both ends together, so each has half of it.
    sockets = (
        rate
        * lines["cycle_frames"].unit_cost
        * lines["socket_cpu"].unit_cost
        / 2
    )
    events = rate * _HOLDER_EVENTS_PER_REQUEST * _event_cpu(lines)
    return Cost(
        "holder",
        rate * lines["cycle_holder_bytes"].unit_cost + registers,
        0.0,
        rate * lines["cycle_holder_seconds"].unit_cost
        + _TICKS_PER_SECOND * lines["holder_tick_cpu"].at(held)
        + sockets
        + events,
        lines["held_memory"].unit_cost * held,
    )


def owner_cost(measured: Measured, queued: int) -> Cost:
    """Cost of owning one group with a number of queued requests."""
    lines = measured.lines
    rate = targets.REQUESTS_PER_SECOND_PER_GROUP
    endpoints = targets.ENDPOINTS_PER_GROUP
    polls = _REPORT_POLLS_PER_SECOND * (
        measured.load_poll + measured.cache_poll
    )
    sockets = (
        rate
        * lines["cycle_frames"].unit_cost
        * lines["socket_cpu"].unit_cost
        / 2
    )
    events = rate * _OWNER_EVENTS_PER_REQUEST * _event_cpu(lines)
    memory = lines["endpoint_memory"].unit_cost * endpoints
    ticks = _interpolate(lines["owner_tick_cpu"], queued)
    return Cost(
        f"owner of a group, {queued} queued",
        rate * lines["cycle_owner_bytes"].unit_cost,
        endpoints * polls,
        rate * lines["cycle_owner_seconds"].unit_cost
        + _TICKS_PER_SECOND * ticks
        + sockets
        + events,
        memory + lines["owner_memory"].unit_cost * queued,
    )


def membership_cost(measured: Measured, delegate: bool) -> Cost:
    """Cost of membership for an ordinary node or a delegate."""
    lines = measured.lines
    local_peers = targets.NODES_PER_DATA_CENTRE - 1
    remote_peers = 2 * (targets.DATA_CENTRES - 1) if delegate else 0
    remote_groups = targets.GROUPS - targets.GROUPS_PER_DATA_CENTRE
    heartbeat = lines["heartbeat_bytes"]
    local_bytes = heartbeat.at(remote_groups if delegate else 1)
    remote_bytes = heartbeat.at(targets.GROUPS_PER_DATA_CENTRE)
    heartbeat_rate = min(
        _HEARTBEATS_PER_SECOND, 2.0 * (local_peers + remote_peers)
    )
    sent_bytes = (
        heartbeat_rate
        * (local_peers * local_bytes + remote_peers * remote_bytes)
        / (local_peers + remote_peers)
    )
    receive_cpu = heartbeat_rate * lines["heard_cpu"].unit_cost
    nodes = targets.NODES
    return Cost(
        "membership, delegate" if delegate else "membership, ordinary",
        sent_bytes,
        _VM_POLLS_PER_SECOND * measured.vm_poll
        + _VM_CHANGES_PER_SECOND * lines["vm_list_bytes"].at(nodes),
        _MEMBERSHIP_TICKS_PER_SECOND * lines["membership_tick_cpu"].at(nodes)
        + _VM_POLLS_PER_SECOND * lines["vm_list_cpu"].at(nodes)
        + heartbeat_rate * lines["socket_cpu"].unit_cost
        + receive_cpu,
        lines["membership_memory"].at(nodes),
    )


def config_reader_cost(measured: Measured) -> Cost:
    """Cost of reading and applying the configuration."""
    lines = measured.lines
    changes = targets.CONFIG_CHANGES_PER_DAY / targets.DAY_SECONDS
    polls = 1 / _CONFIG_POLL_SECONDS + changes
    workspaces = targets.WORKSPACES
    return Cost(
        "configuration reader",
        0.0,
        polls * measured.config_poll
        + changes * (measured.config_record + _RECORD_ENVELOPE_BYTES),
        changes
        * (
            lines["config_fold_cpu"].at(workspaces)
            + lines["config_adopt_cpu"].at(workspaces)
        ),
        lines["config_memory"].at(workspaces),
    )


def claim_batcher_cost(measured: Measured) -> Cost:
    """Cost of batching one partition's claims in one data centre."""
    lines = measured.lines
    claimed = targets.REQUESTS_PER_SECOND * targets.CLAIM_SHARE
    local_claims = claimed / _CLAIM_PARTITIONS / targets.DATA_CENTRES
    # For each claim, its holder also appends an outcome in a separate record.
    entries = 2 * claimed / _CLAIM_PARTITIONS
    record = lines["claim_record_bytes"].costs[0] + _RECORD_ENVELOPE_BYTES
    keys = entries / 2 * (targets.CLAIM_WINDOW_SECONDS + 300)
    return Cost(
        "claim batcher, one partition",
        local_claims * measured.claim_message / 2,
        entries * record + local_claims * record,
        local_claims * lines["claim_cpu"].unit_cost
        + entries * lines["follow_cpu"].unit_cost,
        keys * lines["ledger_memory"].unit_cost,
    )


def timeline_cost(measured: Measured) -> Cost:
    """Memory of the timeline; each role includes the CPU time of its events."""
    return Cost(
        "timeline",
        memory=_TIMELINE_EVENTS * measured.lines["timeline_memory"].unit_cost,
    )


def sum_costs(name: str, costs: Iterable[Cost]) -> Cost:
    """Returns the sum of costs as the cost of one role."""
    sums = [sum(column) for column in zip(*(c[1:] for c in costs), strict=True)]
    return Cost(name, *sums)


def main() -> None:
    """Measures and prints all tables."""
    measured = measure()
    _print_slopes(measured)
    role_costs = _print_roles(measured)
    _print_nodes(role_costs)
    _print_requests(measured)
    _print_claims()
    _print_configuration(measured)
    _print_failures(measured)


def _event_cpu(lines: dict[str, slopes.Slope]) -> float:
    return lines["timeline_cpu"].unit_cost + lines["log_line_cpu"].unit_cost


def _interpolate(slope: slopes.Slope, size: float) -> float:
    """Returns a cost by interpolation between the measured sizes.

    The fitted line does not suit a cost that grows faster than the size. Below
    the smallest size the cost is taken as proportional to the size, and above
    the largest size the fitted line is used.
    """
    points = [(0, 0.0), *zip(slope.sizes, slope.costs, strict=True)]
    for (low, at_low), (high, at_high) in itertools.pairwise(points):
        if size <= high:
            share = (size - low) / (high - low)
            return at_low + share * (at_high - at_low)
    return slope.at(size)


def _print_slopes(measured: Measured) -> None:
    print("### Measured\n\n| measurement | sizes | costs | each |")
    print("| --- | --- | --- | --- |")
    for name, slope in measured.lines.items():
        sizes = ", ".join(map(str, slope.sizes))
        costs = ", ".join(f"{cost:.4g}" for cost in slope.costs)
        print(f"| `{name}` | {sizes} | {costs} | {slope.unit_cost:.4g} |")
    for name in Measured._fields[1:]:
        print(f"| `{name}` | - | {getattr(measured, name):.0f} | - |")


def _print_roles(measured: Measured) -> dict[str, Cost]:
    role_costs = {
        "process": Cost("process after imports", memory=measured.process),
        "holder": holder_cost(measured),
        "idle owner": owner_cost(measured, 0),
        "owner": owner_cost(measured, targets.QUEUED_REQUESTS_PER_GROUP),
        "ordinary": membership_cost(measured, delegate=False),
        "delegate": membership_cost(measured, delegate=True),
        "config": config_reader_cost(measured),
        "claims": claim_batcher_cost(measured),
        "timeline": timeline_cost(measured),
    }
    _print_costs("Roles at the target", role_costs.values())
    return role_costs


def _print_nodes(role_costs: dict[str, Cost]) -> None:
    common = [
        role_costs[n] for n in ("process", "holder", "config", "timeline")
    ]
    ordinary = sum_costs("ordinary", [*common, role_costs["ordinary"]])
    delegate = sum_costs("delegate", [*common, role_costs["delegate"]])
    claiming = [role_costs["claims"]] * _CLAIM_PARTITIONS
    _print_costs(
        "Nodes at the target",
        [
            ordinary,
            sum_costs("owner, no queue", [ordinary, role_costs["idle owner"]]),
            sum_costs("owner at peak", [ordinary, role_costs["owner"]]),
            delegate,
            sum_costs(
                "batcher of one partition", [ordinary, role_costs["claims"]]
            ),
            sum_costs("reader of all partitions", [ordinary, *claiming]),
            Cost(
                "**budget**",
                targets.BUDGET_BYTES_PER_SECOND,
                0.0,
                targets.BUDGET_CORE_SHARE,
                targets.BUDGET_MEMORY_BYTES,
            ),
        ],
    )


def _print_costs(heading: str, costs: Iterable[Cost]) -> None:
    print(f"\n### {heading}\n")
    print("| | to nodes, B/s | with platform, B/s | core | memory, MB |")
    print("| --- | --- | --- | --- | --- |")
    for cost in costs:
        print(
            f"| {cost.role} | {cost.peer_bytes:.0f} "
            f"| {cost.platform_bytes:.0f} | {100 * cost.core:.2f}% "
            f"| {cost.memory / 1e6:.1f} |"
        )


def _print_requests(measured: Measured) -> None:
    lines = measured.lines
    registers = (
        holder_cost(measured).peer_bytes / targets.REQUESTS_PER_SECOND_PER_NODE
    )
    registers -= lines["cycle_holder_bytes"].unit_cost
    print(
        "\n### Control traffic of a request\n\n"
        f"holder {lines['cycle_holder_bytes'].unit_cost:.0f} B, "
        f"owner {lines['cycle_owner_bytes'].unit_cost:.0f} B, "
        f"registers {registers:.0f} B, "
        f"frames {lines['cycle_frames'].unit_cost:.1f}; target 450 B"
    )


def _print_claims() -> None:
    claimed = targets.REQUESTS_PER_SECOND * targets.CLAIM_SHARE
    batchers = _CLAIM_PARTITIONS * targets.DATA_CENTRES
    print("\n### Appends a second for claims\n")
    print("| interval of a batcher | claims | outcomes by holders | all |")
    print("| --- | --- | --- | --- |")
    for interval in (0.1, 0.5, 1.0):
        appends = claim_batches.appends_per_second(
            claimed, batchers, interval_seconds=interval
        )
        print(
            f"| {interval} s | {appends:.0f} | {claimed:.0f} "
            f"| {appends + claimed:.0f} |"
        )


def _print_configuration(measured: Measured) -> None:
    lines = measured.lines
    fold = lines["config_fold_cpu"].at(targets.WORKSPACES)
    adopt = lines["config_adopt_cpu"].at(targets.WORKSPACES)
    snapshot = lines["snapshot_bytes"].at(targets.WORKSPACES)
    print(
        "\n### Configuration\n\n"
        f"fold {1000 * fold:.0f} ms, adopt {1000 * adopt:.0f} ms, "
        f"snapshot {snapshot / 1e6:.2f} MB, "
        f"500 records {500 * fold:.0f} s, "
        f"a day's records {targets.CONFIG_CHANGES_PER_DAY * fold:.0f} s"
    )


def _print_failures(measured: Measured) -> None:
    groups_per_node = targets.GROUPS / targets.NODES
    held = targets.HELD_REQUESTS_PER_NODE
    in_flight = targets.REQUESTS_PER_SECOND_PER_GROUP * targets.REQUEST_SECONDS
    local_peers = targets.NODES_PER_DATA_CENTRE - 1
    interval = max(0.5, local_peers / 20)
    remote_peers = 2 * (targets.DATA_CENTRES - 1)
    delegate_interval = max(0.5, (local_peers + remote_peers) / 20)
    register = measured.lines["register_bytes"]
    moved_bytes = local_peers * register.at(in_flight / local_peers)
    figures = collections.OrderedDict(
        {
            "heartbeat interval, s": interval,
            "detection of a node, s": 3 * interval,
            "detection of a delegate or data centre, s": 3 * delegate_interval,
            "groups owned by a node": groups_per_node,
            "requests held by a node": held,
            "connections lost a day, 10 VMs": targets.FAILURES_PER_DAY * held,
            "registers when a group moves, B": moved_bytes,
            "snapshots to 300 new nodes a day, B/s over all": (
                targets.REPLACEMENTS_PER_DAY
                * measured.lines["snapshot_bytes"].at(targets.WORKSPACES)
                / targets.DAY_SECONDS
            ),
            "requests in flight in a data centre": (
                targets.REQUESTS_PER_SECOND
                * targets.REQUEST_SECONDS
                / targets.DATA_CENTRES
            ),
            "load of the others without one data centre": (
                targets.DATA_CENTRES / (targets.DATA_CENTRES - 1)
            ),
        }
    )
    print("\n### Failures\n\n| figure | value |\n| --- | --- |")
    for name, value in figures.items():
        print(f"| {name} | {value:.2f} |")


if __name__ == "__main__":
    main()
