"""Order of queued requests inside one tier.

Workspaces share a tier by start-time fair queueing, with tokens as the cost;
inside a workspace the earliest deadline comes first.
"""

import bisect
import itertools
import math
from collections.abc import Callable, Iterator

import xxhash

from baobabmux_core import ids, messages

# Idle workspaces beyond this number are evicted, because a group may get
# requests of thousands of workspaces and only those with queued requests
# matter.
_MAX_IDLE_WORKSPACES = 256

_LONG = 0
_SHORT = 1


def workspace_hash(workspace: ids.Workspace) -> int:
    """Returns the 32-bit hash that identifies a workspace in messages."""
    return xxhash.xxh32_intdigest(workspace.encode())


class QueueEntry:
    """One request that waits for a grant.

    Attributes:
        ask: Message by which its holder asked for a grant.
        holder: Node that holds the request.
        arrival: Time of arrival at the holder in seconds.
        deadline: Latest end in seconds, infinite without a deadline.
        tokens: Estimated prompt and output tokens.
        short: Whether it counts as a short request.
        seconds: Estimated time for which it occupies a slot.
        latest_start: Latest time of a start that can still meet the deadline
            and `first_by`.
        on_time_start: Latest time of a start with which the first event is on
            time.
        queued: Whether it is in the queue.
        queued_at: Time at which this owner received its ask.
        predicted_wait: Wait that was predicted at that time, in seconds.
        suspect: Whether it waits to run in isolation.
        target_by: Time after which a first event is late, or infinite.
        late: Whether it can no longer be on time; it is then granted after
            the others of its tier.
        first_by: Time after which a first event is useless to the caller, or
            infinite.
        version: Version of endpoints at which its stream may go on, or None if
            any may run it.
        paused_until: Time until which an endpoint wants nothing from the
            holder, by endpoint.
        passed_over_at: Time at which it first passed over a free slot to wait
            for a busy endpoint that suits it better, or None.
        location: Data centre of the holder in a cell, or empty.
        examine_at: Time before which it is not examined for a grant.
        key: Sort key inside its workspace.
    """

    __slots__ = (
        "arrival",
        "ask",
        "deadline",
        "examine_at",
        "first_by",
        "holder",
        "key",
        "late",
        "latest_start",
        "location",
        "on_time_start",
        "passed_over_at",
        "paused_until",
        "predicted_wait",
        "queued",
        "queued_at",
        "seconds",
        "short",
        "suspect",
        "target_by",
        "tokens",
        "version",
    )

    def __init__(
        self,
        ask: messages.Ask,
        holder: ids.NodeId,
        now: float,
        short_tokens: int,
        order: int,
    ):
        self.ask = ask
        self.holder = holder
        self.arrival = now - ask.waited_ms / 1000
        self.deadline = (
            now + ask.deadline_ms / 1000 if ask.deadline_ms >= 0 else math.inf
        )
        first_ms = ask.terms.first_ms if ask.terms is not None else -1
        target_ms = ask.terms.target_ms if ask.terms is not None else -1
        self.target_by = now + target_ms / 1000 if target_ms > 0 else math.inf
        self.late = False
        self.first_by = now + first_ms / 1000 if first_ms >= 0 else math.inf
        self.tokens = ask.prompt_tokens + ask.output_tokens
        self.short = self.tokens < short_tokens
        self.seconds = 0.0
        self.latest_start = math.inf
        self.on_time_start = math.inf
        self.paused_until = {
            pause.endpoint: now + pause.left_ms / 1000
            for pause in (() if ask.terms is None else ask.terms.pauses)
        }
        self.queued_at = now
        self.predicted_wait = 0.0
        self.queued = False
        self.suspect = False
        self.version = ask.terms.version if ask.terms is not None else None
        self.passed_over_at: float | None = None
        self.examine_at = now
        self.location = ids.DataCentre("")
        self.key = (self.deadline, self.arrival, order)

    def pause_left(self, endpoint: ids.EndpointId, now: float) -> float:
        """Returns the seconds until its holder may use an endpoint, or 0."""
        return max(0.0, self.paused_until.get(endpoint, now) - now)


class _WorkspaceQueue:
    """Queued requests of one workspace and its start tag."""

    __slots__ = ("classes", "seconds", "start_tag", "weight")

    def __init__(self, start: float, weight: float):
        self.start_tag = start
        self.weight = weight
        self.seconds = 0.0
        self.classes: tuple[list, list] = ([], [])

    def __len__(self) -> int:
        return len(self.classes[_LONG]) + len(self.classes[_SHORT])


class TierQueue:
    """Queued requests of one tier in fair order.

    Attributes:
        tokens: Tokens of all queued requests.
        seconds: Estimated slot seconds of all queued requests.
        short_seconds: Estimated slot seconds of the short ones.
    """

    def __init__(self):
        self.tokens = 0
        self.seconds = 0.0
        self.short_seconds = 0.0
        self._weights: dict[int, float] = {}
        self._workspaces: dict[int, _WorkspaceQueue] = {}
        self._order: list[tuple[float, int]] = []
        self._entries: dict[ids.RequestId, QueueEntry] = {}
        self._virtual_time = 0.0
        self._next_checked = 0

    def __len__(self) -> int:
        return len(self._entries)

    def set_weights(self, weights: dict[int, float]) -> None:
        """Replaces the weights by workspace hash; absent ones are 1.0."""
        self._weights = weights
        for workspace, queue in self._workspaces.items():
            queue.weight = weights.get(workspace, 1.0)

    def add(self, entry: QueueEntry) -> None:
        """Adds a request that is not in the queue."""
        workspace = entry.ask.workspace
        queue = self._workspaces.get(workspace)
        if queue is None:
            queue = _WorkspaceQueue(
                self._virtual_time, self._weights.get(workspace, 1.0)
            )
            self._workspaces[workspace] = queue
        if not len(queue):
            queue.start_tag = max(queue.start_tag, self._virtual_time)
            bisect.insort(self._order, (queue.start_tag, workspace))
        bisect.insort(queue.classes[entry.short], (entry.key, entry))
        entry.queued = True
        self._entries[entry.ask.request] = entry
        queue.seconds += entry.seconds
        self._add_to_totals(entry, 1)

    def remove(self, entry: QueueEntry) -> None:
        """Removes a request without charging its workspace."""
        self._drop(entry)
        queue = self._workspaces[entry.ask.workspace]
        if not len(queue):
            self._deactivate(entry.ask.workspace, queue)

    def remove_granted(self, entry: QueueEntry) -> None:
        """Removes a granted request and charges its workspace."""
        workspace = entry.ask.workspace
        queue = self._workspaces[workspace]
        self._drop(entry)
        self._deactivate(workspace, queue)
        self._virtual_time = max(self._virtual_time, queue.start_tag)
        queue.start_tag += entry.tokens / queue.weight
        if len(queue):
            bisect.insort(self._order, (queue.start_tag, workspace))
        elif len(self._workspaces) > len(self._order) + _MAX_IDLE_WORKSPACES:
            self._evict_idle()

    def candidates(
        self,
        limit: int,
        is_held_back: Callable[[QueueEntry], bool] = lambda entry: False,
    ) -> Iterator[QueueEntry]:
        """Yields the first requests in fair order, at most `limit`.

        Requests that are held back are passed over and do not count.

        The first long and the first short request of each workspace come
        before any second one, so that a long request for which no slot is free
        does not hide a short one.
        """
        yielded = 0
        for depth in itertools.count():
            found = False
            for _, workspace in self._order:
                classes = self._workspaces[workspace].classes
                for _, entry in sorted(
                    items[depth] for items in classes if depth < len(items)
                ):
                    found = True
                    if is_held_back(entry):
                        continue
                    yield entry
                    yielded += 1
                    if yielded >= limit:
                        return
            if not found:
                return

    def ahead_seconds(self, entry: QueueEntry) -> float:
        """Estimates the slot seconds that are granted before a request.

        Inside the workspace, earlier deadlines come first; meanwhile other
        workspaces get at most their share.

        Args:
            entry: Request that is queued here or may be.
        """
        workspace = entry.ask.workspace
        queue = self._workspaces.get(workspace)
        weight = self._weights.get(workspace, 1.0)
        own_seconds = 0.0
        if queue is not None and len(queue):
            entries_ahead = sum(
                bisect.bisect_left(items, (entry.key,))
                for items in queue.classes
            )
            own_seconds = queue.seconds * entries_ahead / len(queue)
        # The request itself counts too: until its turn the other workspaces
        # also get theirs.
        turns = (own_seconds + entry.seconds) / weight
        return own_seconds + sum(
            min(other.seconds, turns * other.weight)
            for _, name in self._order
            if (other := self._workspaces[name]) is not queue
        )

    def latest_deadlines(self, limit: int) -> list[QueueEntry]:
        """Returns each workspace's long and short request due last.

        Successive calls cycle through the workspaces, `limit` of them at a
        time.
        """
        count = len(self._order)
        first = self._next_checked % count if count else 0
        self._next_checked = first + limit
        chosen = [
            self._order[(first + step) % count][1]
            for step in range(min(limit, count))
        ]
        return [
            items[-1][1]
            for workspace in chosen
            for items in self._workspaces[workspace].classes
            if items
        ]

    def newest(self) -> QueueEntry | None:
        """Returns the request that was queued last, or None."""
        if not self._entries:
            return None
        return self._entries[next(reversed(self._entries))]

    def _drop(self, entry: QueueEntry) -> None:
        queue = self._workspaces[entry.ask.workspace]
        items = queue.classes[entry.short]
        del items[bisect.bisect_left(items, (entry.key,))]
        entry.queued = False
        del self._entries[entry.ask.request]
        queue.seconds = queue.seconds - entry.seconds if len(queue) else 0.0
        self._add_to_totals(entry, -1)

    def _add_to_totals(self, entry: QueueEntry, sign: int) -> None:
        self.tokens += sign * entry.tokens
        self.seconds += sign * entry.seconds
        if entry.short:
            self.short_seconds += sign * entry.seconds
        if not self._entries:
            # Rounding errors accumulate in the sums; an empty queue has 0.
            self.seconds = 0.0
            self.short_seconds = 0.0

    def _deactivate(self, workspace: int, queue: _WorkspaceQueue) -> None:
        index = bisect.bisect_left(self._order, (queue.start_tag, workspace))
        del self._order[index]

    def _evict_idle(self) -> None:
        self._workspaces = {
            workspace: queue
            for workspace, queue in self._workspaces.items()
            if len(queue) or queue.start_tag > self._virtual_time
        }
