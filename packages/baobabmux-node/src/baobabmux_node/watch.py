"""Records events for state changes that have no message or request."""

import collections
import itertools
from typing import TYPE_CHECKING

from baobabmux_core import catalogue, end_counts, ids, request_limits
from baobabmux_node import clock, memory_account, status

if TYPE_CHECKING:
    from baobabmux_node import node

# Lines in one check; an endpoint that ends leaves some tens of contents.
_MAX_CONTENT_LINES = 100
_MAX_LIMIT_LINES = 50
_MAX_UNKNOWN_LINES = 20
_MAX_GROUP_LINES = 20
_MIN_RECORDED_PART_ENDS = 2
_MAX_TASK_LINES = 5

Kind = catalogue.EventKind


class StateWatch:
    """Compares the node's state with the last recorded one.

    Covers owners of groups, circuit breakers, contents and parts of prompts
    under which endpoints ended, request limits of endpoints, reachability of
    the log, rejected frames, lack of connections and what other builds sent
    that is unknown here.
    """

    def __init__(self, host: "node.Node"):
        self._host = host
        self._owned_groups: set[ids.GroupId] = set()
        self._owners: dict[ids.GroupId, ids.NodeId | None] = {}
        self._breakers: dict[ids.EndpointId, str] = {}
        self._end_counts: dict[ids.ContentDigest, int] = {}
        # Parts of prompts whose count was recorded, and whether they are
        # refused.
        self._parts: dict[ids.PartDigest, tuple[int, bool]] = {}
        self._leaving: frozenset[ids.EndpointId] = frozenset()
        self._limits: dict[ids.EndpointId, request_limits.Limit] = {}
        self._log_reachable: bool | None = None
        # Totals at the last check.
        self._totals: collections.Counter[str] = collections.Counter()

    def check(self, groups: list[status.GroupStatus]) -> None:
        """Records the changes since the last check.

        Args:
            groups: States of the groups that the node owns.
        """
        self._check_ownership({group.group for group in groups})
        self._check_owners()
        self._check_early()
        self._check_breakers(
            {
                endpoint.endpoint: endpoint.breaker
                for group in groups
                for endpoint in group.endpoints
            }
        )
        self._check_contents(
            self._host.scheduler.ends.content_end_counts(clock.now())
        )
        self._check_parts(clock.now())
        self._check_leaving(frozenset(self._host.scheduler.leaving_endpoints()))
        self._check_limits(self._host.scheduler.request_limits())
        self._check_log()
        self._check_frames()
        self._check_connections()
        self._check_listeners()
        self._check_unknown()
        self._check_loop()

    def _check_ownership(self, owned: set[ids.GroupId]) -> None:
        record = self._host.events.record
        for group in sorted(owned - self._owned_groups):
            record(Kind.OWNERSHIP_TAKEN, group=group)
        for group in sorted(self._owned_groups - owned):
            record(Kind.OWNERSHIP_LEFT, group=group)
        self._owned_groups = owned

    def _check_owners(self) -> None:
        """Records which nodes this one takes for the owners of groups."""
        view = self._host.scheduler.view
        owners = {
            group: view.owner(group)
            for group in self._host.scheduler.local_groups()
        }
        changed = [
            group
            for group, owner in owners.items()
            if owner != self._owners.get(group)
        ]
        for group in sorted(changed)[:_MAX_GROUP_LINES]:
            self._host.events.record(
                Kind.OWNER_CHANGED,
                group=group,
                owner=owners[group],
                previous=self._owners.get(group),
                acts=group in view.owned,
            )
        self._owners = owners

    def _check_early(self) -> None:
        """Records asks of nodes that take this one for an owner."""
        asked = self._host.scheduler.early.take_asked()
        for group, count in itertools.islice(asked.items(), _MAX_GROUP_LINES):
            self._host.events.record(
                Kind.ASKS_MISDIRECTED,
                group=group,
                count=count,
                owner=self._host.scheduler.view.owner(group),
            )

    def _check_breakers(self, breakers: dict[ids.EndpointId, str]) -> None:
        for endpoint, state in breakers.items():
            if state != self._breakers.get(endpoint, "closed"):
                self._host.events.record(
                    Kind.BREAKER_CHANGED, endpoint=endpoint, state=state
                )
        self._breakers = breakers

    def _check_contents(self, counts: dict[ids.ContentDigest, int]) -> None:
        refused = 0
        written = 0
        for content, ends in counts.items():
            is_refused = ends >= end_counts.MAX_ENDS
            refused += is_refused
            if ends == self._end_counts.get(content):
                continue
            written += 1
            if written <= _MAX_CONTENT_LINES:
                self._host.events.record(
                    Kind.CONTENT_COUNTED,
                    content=f"{content:x}",
                    ends=ends,
                    refused=is_refused,
                )
        cleared = self._end_counts.keys() - counts.keys()
        for content in itertools.islice(cleared, _MAX_CONTENT_LINES):
            self._host.events.record(
                Kind.CONTENT_CLEARED, content=f"{content:x}"
            )
        gauge = self._host.metrics.counted_contents
        gauge.labels("true").set(refused)
        gauge.labels("false").set(len(counts) - refused)
        self._end_counts = counts

    def _check_parts(self, now: float) -> None:
        """Records parts of prompts with several ends, and their proofs.

        Most parts have a single end until the next request with them succeeds.
        """
        scheduler = self._host.scheduler
        counts = scheduler.ends.part_end_counts(now)
        current = {
            part: (ends, scheduler.ends.is_part_refused(part, now))
            for part, ends in counts.items()
            if ends >= _MIN_RECORDED_PART_ENDS
        }
        changed = [
            part
            for part, state in current.items()
            if state != self._parts.get(part)
        ]
        for part in changed[:_MAX_CONTENT_LINES]:
            ends, is_refused = current[part]
            self._host.events.record(
                Kind.PART_COUNTED,
                part=f"{part:x}",
                ends=ends,
                refused=is_refused,
            )
        proved = self._parts.keys() - current.keys()
        for part in itertools.islice(proved, _MAX_CONTENT_LINES):
            self._host.events.record(Kind.PART_PROVED, part=f"{part:x}")
        refused = sum(is_refused for _, is_refused in current.values())
        gauge = self._host.metrics.counted_parts
        gauge.labels("true").set(refused)
        gauge.labels("false").set(len(counts) - refused)
        self._parts = current

    def _check_leaving(self, leaving: frozenset[ids.EndpointId]) -> None:
        changed = sorted(leaving ^ self._leaving)
        for endpoint in changed[:_MAX_LIMIT_LINES]:
            self._host.events.record(
                Kind.ENDPOINT_LEAVING,
                endpoint=endpoint,
                leaving=endpoint in leaving,
            )
        self._host.metrics.leaving_endpoints.set(len(leaving))
        self._leaving = leaving

    def _check_limits(
        self, limits: dict[ids.EndpointId, request_limits.Limit]
    ) -> None:
        changed = [
            (endpoint, limit.rate, limit.source)
            for endpoint, limit in limits.items()
            if endpoint not in self._limits
            or self._limits[endpoint].rate != limit.rate
        ]
        changed += [
            (endpoint, None, None)
            for endpoint in self._limits.keys() - limits.keys()
        ]
        for endpoint, rate, source in changed[:_MAX_LIMIT_LINES]:
            self._host.events.record(
                Kind.ENDPOINT_LIMITED,
                endpoint=endpoint,
                limit=rate,
                source=source,
            )
        self._host.metrics.limited_endpoints.set(len(limits))
        self._limits = limits

    def _check_log(self) -> None:
        reachable = self._host.ports.reachable()
        if reachable != self._log_reachable:
            self._log_reachable = reachable
            self._host.events.record(Kind.LOG_REACHED, reachable=reachable)

    def _check_frames(self) -> None:
        transport = self._host.peers
        rejected = self._increase("rejected", transport.rejected_frames)
        if rejected:
            self._host.events.record(Kind.FRAME_REJECTED, count=rejected)
        failed = self._increase(
            "failed", transport.failed_frames + transport.unencodable.total()
        )
        if failed:
            self._host.events.record(Kind.MESSAGE_FAILED, count=failed)
        refused = self._increase(
            "refused frames",
            self._host.memory.refused[memory_account.Use.FRAME],
        )
        unfinished = self._increase(
            "unfinished frames", transport.listener.unfinished
        )
        if refused or unfinished:
            self._host.events.record(
                Kind.FRAMES_GIVEN_UP, refused=refused, unfinished=unfinished
            )

    def _check_connections(self) -> None:
        callers = self._host.caller_server
        failures = self._increase("unaccepted", callers.accept_failures)
        closed = self._increase("closed", callers.idle_connections.closed)
        if failures or closed:
            self._host.events.record(
                Kind.CONNECTIONS_SCARCE,
                failures=failures,
                closed=closed,
                open=callers.connections,
                limit=callers.max_connections,
            )
        ahead = self._increase("sent ahead", callers.sent_ahead)
        if ahead:
            self._host.events.record(
                Kind.REQUESTS_SENT_AHEAD,
                count=ahead,
                limit=callers.limits.max_ahead_bytes,
            )

    def _check_listeners(self) -> None:
        for name, listener in self._host.listeners.items():
            increase = self._increase(f"waits at {name}", listener.waits)
            if increase:
                self._host.events.record(
                    Kind.LISTENER_FULL,
                    listener=name,
                    count=increase,
                    open=listener.connections,
                    limit=listener.max_connections,
                )

    def _check_loop(self) -> None:
        """Records the tasks that held the loop for the longest times."""
        steps = sorted(
            self._host.loop_watch.take().items(),
            key=lambda item: item[1].longest_seconds,
            reverse=True,
        )
        for task, held in steps[:_MAX_TASK_LINES]:
            self._host.events.record(
                Kind.LOOP_HELD,
                task=task,
                count=held.count,
                longest_ms=round(held.longest_seconds * 1000),
            )

    def _increase(self, name: str, total: int) -> int:
        """Returns by how much a total has grown since the last check."""
        increase = total - self._totals[name]
        self._totals[name] = total
        return increase

    def _check_unknown(self) -> None:
        found = self._host.peers.unknown.take()
        for (item, peer), count in itertools.islice(
            found.items(), _MAX_UNKNOWN_LINES
        ):
            self._host.events.record(
                Kind.UNKNOWN_RECEIVED,
                unknown=item,
                peer=peer,
                revision=self._host.peers.revisions.of(peer),
                count=count,
            )
