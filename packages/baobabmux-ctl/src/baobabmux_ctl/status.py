"""Command `status`: state of nodes, groups and endpoints."""

import collections
from collections.abc import Iterable, Iterator

from baobabmux_ctl import command, exits, nodes, output


class Status(command.Command):
    """Shows nodes, groups, endpoints and inconsistencies between nodes."""

    name = "status"
    usage = "--nodes IP:PORT,… [--json]"
    summary = "Shows nodes, queues, endpoints and inconsistencies."

    def __init__(self):
        super().__init__()
        self._define_nodes()

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Prints the status."""
        if arguments:
            raise self.usage_error("expected no argument")
        answers = nodes.statuses(self._node_addresses())
        nodes.require_answers(answers)
        found = sorted(answers.found.values(), key=lambda status: status.node)
        warnings = list(find_warnings(found))
        if self.flags.json:
            output.result_json(
                {
                    "nodes": found,
                    "unreachable": answers.missing,
                    "warnings": warnings,
                }
            )
            return exits.ExitCode.DONE
        output.result(_node_table(found))
        groups = [
            (status, group) for status in found for group in status.groups
        ]
        if groups:
            output.result("\n" + _group_table(groups))
            output.result("\n" + _endpoint_table(groups))
        for line in warnings:
            output.result(f"\nwarning: {line}")
        return exits.ExitCode.DONE


def find_warnings(found: Iterable[nodes.NodeStatus]) -> Iterator[str]:
    """Yields a line for each problem that an operator should check."""
    found = list(found)
    versions = {status.config_version for status in found}
    if len(versions) > 1:
        listed = ", ".join(
            f"{status.node} {status.config_version}" for status in found
        )
        yield f"configuration versions differ: {listed}"
    if len({status.revision for status in found}) > 1:
        listed = ", ".join(
            f"{status.node} {_revision_text(status)}" for status in found
        )
        yield f"revisions differ, an upgrade is under way: {listed}"
    owners = collections.defaultdict(list)
    for status in found:
        for group in status.groups:
            owners[group.group].append(status.node)
    for group, names in sorted(owners.items()):
        if len(names) > 1:
            yield f"group {group} has several owners: {', '.join(names)}"
    for status in found:
        if not status.ready and status.state == "live":
            yield f"node {status.node} is not ready"
        if not status.log_reachable:
            yield f"node {status.node} cannot reach the log service"
        for group in status.groups:
            for endpoint in group.endpoints:
                if endpoint.breaker not in ("closed", ""):
                    yield (
                        f"breaker of {endpoint.endpoint} is {endpoint.breaker}"
                    )


def _revision_text(status: nodes.NodeStatus) -> str:
    return str(status.revision) if status.revision else "older"


def _node_table(found: Iterable[nodes.NodeStatus]) -> str:
    heads = (
        "NODE",
        "DATA CENTRE",
        "STATE",
        "REVISION",
        "CORES",
        "READY",
        "CONFIG",
        "PRESET",
        "HELD",
        "MEMBERS",
        "LOG",
    )
    rows = [
        (
            status.node,
            status.data_centre,
            status.state,
            _revision_text(status),
            f"{status.ability / 1000:.2f}" if status.ability else "-",
            "yes" if status.ready else "no",
            status.config_version,
            status.preset or "-",
            status.held,
            len(status.members),
            "reached" if status.log_reachable else "unreachable",
        )
        for status in found
    ]
    return output.table(heads, rows)


def _group_table(
    groups: Iterable[tuple[nodes.NodeStatus, nodes.GroupStatus]],
) -> str:
    heads = ("GROUP", "OWNER", "QUEUED", "BY TIER", "TOKENS", "WAIT")
    rows = [
        (
            group.group,
            owner.node,
            group.queue_requests,
            " ".join(f"{t}:{n}" for t, n in group.queue_by_tier.items()) or "-",
            group.queue_tokens,
            f"{group.wait_seconds:.1f} s",
        )
        for owner, group in groups
    ]
    return output.table(heads, rows)


def _endpoint_table(
    groups: Iterable[tuple[nodes.NodeStatus, nodes.GroupStatus]],
) -> str:
    heads = (
        "ENDPOINT",
        "GROUP",
        "RUNNING",
        "TOKENS",
        "BREAKER",
        "DRAIN",
        "SPEED",
    )
    rows = [
        (
            endpoint_status.endpoint,
            group.group,
            endpoint_status.outstanding_requests,
            endpoint_status.outstanding_tokens,
            endpoint_status.breaker,
            "yes" if endpoint_status.drained else "no",
            _speed_text(endpoint_status),
        )
        for _, group in groups
        for endpoint_status in group.endpoints
    ]
    return output.table(heads, rows)


def _speed_text(endpoint: nodes.EndpointStatus) -> str:
    """Returns learned rates and their age; declared ones have no age."""
    rates = (
        f"{endpoint.prefill_tokens_per_second:.0f}"
        f"/{endpoint.decode_tokens_per_second:.0f}"
    )
    if endpoint.speed_age_seconds is None:
        return rates
    return f"{rates}, {endpoint.speed_age_seconds:.1f} s ago"
