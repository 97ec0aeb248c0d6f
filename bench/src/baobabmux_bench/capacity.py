"""Capacity at the size in two years: `python -m baobabmux_bench.capacity`.

Prints the tables of docs/CAPACITY.md: costs measured as slopes over sizes on
this machine, and what they amount to at the target of section 1.7.
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
# A VM that fails or is replaced changes the list twice: it goes, one comes.
_VM_CHANGES_PER_SECOND = (
    2
    * (targets.FAILURES_PER_DAY + targets.REPLACEMENTS_PER_DAY)
    / targets.DAY_SECONDS
)
# The entity tag of an unchanged list, in the request and in the answer.
_TAG_BYTES = 2 * len('if-none-match: "0123456789abcdef"\r\n')
_VM_POLLS_PER_SECOND = 1.0
_REPORT_POLLS_PER_SECOND = 1.0
_CONFIG_POLL_SECONDS = 8.0
_CLAIM_PARTITIONS = 4
_HEARTBEATS_PER_SECOND = 20.0

_EVENTS_OF_HOLDER = 4
_EVENTS_OF_OWNER = 3
_KEPT_EVENTS = 5000

# Frame around a record in a page of the log service.
_RECORD_BYTES = len('{"offset":123456789,"time_ms":1796000000000,"data":},')


class Cost(NamedTuple):
    """Cost of one role at the target.

    Attributes:
        role: Name of the role.
        peer_bytes: Bytes a second that the node sends to other nodes.
        platform_bytes: Bytes a second to and from log, VM list and engines.
        core: Share of one core.
        memory: Bytes.
    """

    role: str
    peer_bytes: float = 0.0
    platform_bytes: float = 0.0
    core: float = 0.0
    memory: float = 0.0


class Measured(NamedTuple):
    """All measurements."""

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
        platform_costs.http_bytes("/vms?viewer=centre-1", 0) + _TAG_BYTES,
        platform_costs.process_bytes("baobabmux_node.main"),
    )


def holder(found: Measured) -> Cost:
    """Cost of holding the node's share of the callers' requests."""
    lines = found.lines
    rate = targets.REQUESTS_PER_NODE
    held = targets.HELD_PER_NODE
    groups = targets.GROUPS_PER_DATA_CENTRE
    registers = groups * lines["register_rate"].at(held / groups)
    # A frame costs both ends half of what was measured for both.
    sockets = rate * lines["cycle_frames"].each * lines["socket_cpu"].each / 2
    events = rate * _EVENTS_OF_HOLDER * _event_cpu(lines)
    return Cost(
        "holder",
        rate * lines["cycle_holder_bytes"].each + registers,
        0.0,
        rate * lines["cycle_holder_seconds"].each
        + _TICKS_PER_SECOND * lines["holder_tick_cpu"].at(held)
        + sockets
        + events,
        lines["held_memory"].each * held,
    )


def owner(found: Measured, queued: int) -> Cost:
    """Cost of owning one group with some requests waiting."""
    lines = found.lines
    rate = targets.REQUESTS_PER_GROUP
    endpoints = targets.ENDPOINTS_PER_GROUP
    polls = _REPORT_POLLS_PER_SECOND * (found.load_poll + found.cache_poll)
    sockets = rate * lines["cycle_frames"].each * lines["socket_cpu"].each / 2
    events = rate * _EVENTS_OF_OWNER * _event_cpu(lines)
    memory = lines["endpoint_memory"].each * endpoints
    ticks = _interpolate(lines["owner_tick_cpu"], queued)
    return Cost(
        f"owner of a group, {queued} queued",
        rate * lines["cycle_owner_bytes"].each,
        endpoints * polls,
        rate * lines["cycle_owner_seconds"].each
        + _TICKS_PER_SECOND * ticks
        + sockets
        + events,
        memory + lines["owner_memory"].each * queued,
    )


def member(found: Measured, delegate: bool) -> Cost:
    """Cost of membership for an ordinary node or a delegate."""
    lines = found.lines
    near = targets.NODES_PER_DATA_CENTRE - 1
    far = 2 * (targets.DATA_CENTRES - 1) if delegate else 0
    elsewhere = targets.GROUPS - targets.GROUPS_PER_DATA_CENTRE
    beat = lines["heartbeat_bytes"]
    near_bytes = beat.at(elsewhere if delegate else 1)
    far_bytes = beat.at(targets.GROUPS_PER_DATA_CENTRE)
    each_second = min(_HEARTBEATS_PER_SECOND, 2.0 * (near + far))
    sent = each_second * (near * near_bytes + far * far_bytes) / (near + far)
    heard = each_second * lines["heard_cpu"].each
    nodes = targets.NODES
    return Cost(
        "membership, delegate" if delegate else "membership, ordinary",
        sent,
        _VM_POLLS_PER_SECOND * found.vm_poll
        + _VM_CHANGES_PER_SECOND * lines["vm_list_bytes"].at(nodes),
        _MEMBERSHIP_TICKS_PER_SECOND * lines["membership_tick_cpu"].at(nodes)
        + _VM_POLLS_PER_SECOND * lines["vm_list_cpu"].at(nodes)
        + each_second * lines["socket_cpu"].each
        + heard,
        lines["membership_memory"].at(nodes),
    )


def config_reader(found: Measured) -> Cost:
    """Cost of following the configuration."""
    lines = found.lines
    changes = targets.CONFIG_CHANGES_PER_DAY / targets.DAY_SECONDS
    polls = 1 / _CONFIG_POLL_SECONDS + changes
    workspaces = targets.WORKSPACES
    return Cost(
        "configuration reader",
        0.0,
        polls * found.config_poll
        + changes * (found.config_record + _RECORD_BYTES),
        changes
        * (
            lines["config_fold_cpu"].at(workspaces)
            + lines["config_adopt_cpu"].at(workspaces)
        ),
        lines["config_memory"].at(workspaces),
    )


def claim_partition(found: Measured) -> Cost:
    """Cost of batching one partition's claims in one data centre."""
    lines = found.lines
    claimed = targets.REQUESTS_PER_SECOND * targets.CLAIM_SHARE
    own = claimed / _CLAIM_PARTITIONS / targets.DATA_CENTRES
    # Each claim is followed by an outcome, appended by its holder alone.
    entries = 2 * claimed / _CLAIM_PARTITIONS
    record = lines["claim_record_bytes"].costs[0] + _RECORD_BYTES
    keys = entries / 2 * (targets.CLAIM_WINDOW_SECONDS + 300)
    return Cost(
        "claim batcher, one partition",
        own * found.claim_message / 2,
        entries * record + own * record,
        own * lines["claim_cpu"].each + entries * lines["follow_cpu"].each,
        keys * lines["ledger_memory"].each,
    )


def recorder(found: Measured) -> Cost:
    """Cost of the timeline; its events are counted with their roles."""
    return Cost(
        "timeline",
        memory=_KEPT_EVENTS * found.lines["timeline_memory"].each,
    )


def total(name: str, costs: Iterable[Cost]) -> Cost:
    """Returns the sum of costs."""
    sums = [sum(column) for column in zip(*(c[1:] for c in costs), strict=True)]
    return Cost(name, *sums)


def main() -> None:
    """Measures and prints all tables."""
    found = measure()
    _print_slopes(found)
    parts = _print_roles(found)
    _print_nodes(parts)
    _print_requests(found)
    _print_claims()
    _print_configuration(found)
    _print_failures(found)


def _event_cpu(lines: dict[str, slopes.Slope]) -> float:
    return lines["timeline_cpu"].each + lines["log_line_cpu"].each


def _interpolate(slope: slopes.Slope, size: float) -> float:
    """Returns a measured cost between sizes; the cost grows faster than them.

    Below the least size it is taken as proportional.
    """
    points = [(0, 0.0), *zip(slope.sizes, slope.costs, strict=True)]
    for (low, at_low), (high, at_high) in itertools.pairwise(points):
        if size <= high:
            share = (size - low) / (high - low)
            return at_low + share * (at_high - at_low)
    return slope.at(size)


def _print_slopes(found: Measured) -> None:
    print("### Measured\n\n| measurement | sizes | costs | each |")
    print("| --- | --- | --- | --- |")
    for name, slope in found.lines.items():
        sizes = ", ".join(map(str, slope.sizes))
        costs = ", ".join(f"{cost:.4g}" for cost in slope.costs)
        print(f"| `{name}` | {sizes} | {costs} | {slope.each:.4g} |")
    for name in Measured._fields[1:]:
        print(f"| `{name}` | - | {getattr(found, name):.0f} | - |")


def _print_roles(found: Measured) -> dict[str, Cost]:
    parts = {
        "process": Cost("process after imports", memory=found.process),
        "holder": holder(found),
        "idle owner": owner(found, 0),
        "owner": owner(found, targets.QUEUED_PER_GROUP),
        "ordinary": member(found, delegate=False),
        "delegate": member(found, delegate=True),
        "config": config_reader(found),
        "claims": claim_partition(found),
        "timeline": recorder(found),
    }
    _print_costs("Roles at the target", parts.values())
    return parts


def _print_nodes(parts: dict[str, Cost]) -> None:
    common = [parts[n] for n in ("process", "holder", "config", "timeline")]
    ordinary = total("ordinary", [*common, parts["ordinary"]])
    delegate = total("delegate", [*common, parts["delegate"]])
    claiming = [parts["claims"]] * _CLAIM_PARTITIONS
    _print_costs(
        "Nodes at the target",
        [
            ordinary,
            total("owner, no queue", [ordinary, parts["idle owner"]]),
            total("owner at peak", [ordinary, parts["owner"]]),
            delegate,
            total("batcher of one partition", [ordinary, parts["claims"]]),
            total("reader of all partitions", [ordinary, *claiming]),
            Cost(
                "**budget**",
                targets.BUDGET_BYTES_PER_SECOND,
                0.0,
                targets.BUDGET_CORE,
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


def _print_requests(found: Measured) -> None:
    lines = found.lines
    registers = holder(found).peer_bytes / targets.REQUESTS_PER_NODE
    registers -= lines["cycle_holder_bytes"].each
    print(
        "\n### Control traffic of a request\n\n"
        f"holder {lines['cycle_holder_bytes'].each:.0f} B, "
        f"owner {lines['cycle_owner_bytes'].each:.0f} B, "
        f"registers {registers:.0f} B, "
        f"frames {lines['cycle_frames'].each:.1f}; target 450 B"
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


def _print_configuration(found: Measured) -> None:
    lines = found.lines
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


def _print_failures(found: Measured) -> None:
    groups_each = targets.GROUPS / targets.NODES
    held = targets.HELD_PER_NODE
    in_flight = targets.REQUESTS_PER_GROUP * targets.REQUEST_SECONDS
    near = targets.NODES_PER_DATA_CENTRE - 1
    interval = max(0.5, near / 20)
    far = 2 * (targets.DATA_CENTRES - 1)
    delegate_interval = max(0.5, (near + far) / 20)
    register = found.lines["register_bytes"]
    moved = near * register.at(in_flight / near)
    lost = collections.OrderedDict(
        {
            "heartbeat interval, s": interval,
            "detection of a node, s": 3 * interval,
            "detection of a delegate or data centre, s": 3 * delegate_interval,
            "groups owned by a node": groups_each,
            "requests held by a node": held,
            "connections lost a day, 10 VMs": targets.FAILURES_PER_DAY * held,
            "registers when a group moves, B": moved,
            "snapshots to 300 new nodes a day, B/s over all": (
                targets.REPLACEMENTS_PER_DAY
                * found.lines["snapshot_bytes"].at(targets.WORKSPACES)
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
    for name, value in lost.items():
        print(f"| {name} | {value:.2f} |")


if __name__ == "__main__":
    main()
