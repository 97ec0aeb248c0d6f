"""Order of waiting requests inside one tier.

Workspaces share a tier by start-time fair queueing in tokens; inside a
workspace the earliest deadline goes first.
"""

import bisect
import itertools
import math
from collections.abc import Iterator

import xxhash

from baobabmux_core import ids, messages

# Idle workspaces are forgotten beyond this number, because a group may meet
# thousands of workspaces and only the waiting ones matter.
_IDLE_SHARES = 256

_LONG = 0
_SHORT = 1


def workspace_hash(workspace: ids.Workspace) -> int:
    """Returns the 32-bit hash that stands for a workspace in messages."""
    return xxhash.xxh32_intdigest(workspace.encode())


class QueueEntry:
    """One request that waits for a grant.

    Attributes:
        ask: Message that brought it.
        holder: Node that holds the request.
        arrival: Time of arrival at the holder in seconds.
        deadline: Latest end in seconds, infinite without a deadline.
        tokens: Estimated prompt and output tokens.
        short: Whether it counts as a short request.
        seconds: Estimated time in an endpoint's slot.
        latest_start: Time after which the deadline cannot be met.
        queued: Whether it still waits.
        queued_at: Time at which this owner queued it.
        predicted_wait: Seconds that it was expected to wait then.
        suspect: Whether it waits to run in isolation.
        target_by: Time after which a first event is late, or infinite.
        late: Whether it can no longer be on time; it then gets what the
            others of its tier leave.
        first_by: Latest time of a first event that is of use, or infinite.
        passed: Time at which it first let a place go in favour of a warm
            endpoint, or None.
    """

    __slots__ = (
        "arrival",
        "ask",
        "deadline",
        "first_by",
        "holder",
        "key",
        "late",
        "latest_start",
        "passed",
        "predicted_wait",
        "queued",
        "queued_at",
        "seconds",
        "short",
        "suspect",
        "target_by",
        "tokens",
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
        self.queued_at = now
        self.predicted_wait = 0.0
        self.queued = False
        self.suspect = False
        self.passed: float | None = None
        self.key = (self.deadline, self.arrival, order)


class _Share:
    """Waiting requests of one workspace and its start tag."""

    __slots__ = ("classes", "seconds", "start", "weight")

    def __init__(self, start: float, weight: float):
        self.start = start
        self.weight = weight
        self.seconds = 0.0
        self.classes: tuple[list, list] = ([], [])

    def __len__(self) -> int:
        return len(self.classes[_LONG]) + len(self.classes[_SHORT])


class TierQueue:
    """Waiting requests of one tier in fair order.

    Attributes:
        tokens: Total tokens that wait.
        seconds: Slot seconds of all that wait.
        short_seconds: Slot seconds of the short ones.
    """

    def __init__(self):
        self.tokens = 0
        self.seconds = 0.0
        self.short_seconds = 0.0
        self._weights: dict[int, float] = {}
        self._shares: dict[int, _Share] = {}
        self._order: list[tuple[float, int]] = []
        self._entries: dict[ids.RequestId, QueueEntry] = {}
        self._virtual = 0.0
        self._round = 0

    def __len__(self) -> int:
        return len(self._entries)

    def set_weights(self, weights: dict[int, float]) -> None:
        """Replaces the weights by workspace hash; absent ones are 1.0."""
        self._weights = weights
        for workspace, share in self._shares.items():
            share.weight = weights.get(workspace, 1.0)

    def add(self, entry: QueueEntry) -> None:
        """Adds a request that is not in the queue."""
        workspace = entry.ask.workspace
        share = self._shares.get(workspace)
        if share is None:
            share = _Share(self._virtual, self._weights.get(workspace, 1.0))
            self._shares[workspace] = share
        if not len(share):
            share.start = max(share.start, self._virtual)
            bisect.insort(self._order, (share.start, workspace))
        bisect.insort(share.classes[entry.short], (entry.key, entry))
        entry.queued = True
        self._entries[entry.ask.request] = entry
        share.seconds += entry.seconds
        self._count(entry, 1)

    def remove(self, entry: QueueEntry) -> None:
        """Removes a request without charging its workspace."""
        self._drop(entry)
        share = self._shares[entry.ask.workspace]
        if not len(share):
            self._deactivate(entry.ask.workspace, share)

    def take(self, entry: QueueEntry) -> None:
        """Removes a granted request and charges its workspace."""
        workspace = entry.ask.workspace
        share = self._shares[workspace]
        self._drop(entry)
        self._deactivate(workspace, share)
        self._virtual = max(self._virtual, share.start)
        share.start += entry.tokens / share.weight
        if len(share):
            bisect.insort(self._order, (share.start, workspace))
        elif len(self._shares) > len(self._order) + _IDLE_SHARES:
            self._forget_idle()

    def candidates(self, limit: int) -> Iterator[QueueEntry]:
        """Yields the first requests in fair order, at most `limit`.

        Of each workspace both the first long and the first short request
        come before any second one, so that a long request without a place
        hides no short one.
        """
        yielded = 0
        for depth in itertools.count():
            found = False
            for _, workspace in self._order:
                classes = self._shares[workspace].classes
                for _, entry in sorted(
                    items[depth] for items in classes if depth < len(items)
                ):
                    found = True
                    yield entry
                    yielded += 1
                    if yielded >= limit:
                        return
            if not found:
                return

    def ahead_seconds(self, entry: QueueEntry) -> float:
        """Estimates the slot seconds that are granted before a request.

        Inside the workspace, earlier deadlines go first; meanwhile other
        workspaces get at most their share.

        Args:
            entry: Request that waits here or might.
        """
        workspace = entry.ask.workspace
        share = self._shares.get(workspace)
        weight = self._weights.get(workspace, 1.0)
        own = 0.0
        if share is not None and len(share):
            before = sum(
                bisect.bisect_left(items, (entry.key,))
                for items in share.classes
            )
            own = share.seconds * before / len(share)
        # Its own turn counts: until it comes, the others get theirs too.
        turns = (own + entry.seconds) / weight
        return own + sum(
            min(other.seconds, turns * other.weight)
            for _, name in self._order
            if (other := self._shares[name]) is not share
        )

    def last(self, limit: int) -> list[QueueEntry]:
        """Returns the requests with the latest deadlines of workspaces.

        Successive calls go round the workspaces, `limit` of them each time.
        """
        count = len(self._order)
        first = self._round % count if count else 0
        self._round = first + limit
        chosen = [
            self._order[(first + step) % count][1]
            for step in range(min(limit, count))
        ]
        return [
            items[-1][1]
            for workspace in chosen
            for items in self._shares[workspace].classes
            if items
        ]

    def newest(self) -> QueueEntry | None:
        """Returns the request that was queued last, or None."""
        if not self._entries:
            return None
        return self._entries[next(reversed(self._entries))]

    def _drop(self, entry: QueueEntry) -> None:
        share = self._shares[entry.ask.workspace]
        items = share.classes[entry.short]
        del items[bisect.bisect_left(items, (entry.key,))]
        entry.queued = False
        del self._entries[entry.ask.request]
        share.seconds = share.seconds - entry.seconds if len(share) else 0.0
        self._count(entry, -1)

    def _count(self, entry: QueueEntry, sign: int) -> None:
        self.tokens += sign * entry.tokens
        self.seconds += sign * entry.seconds
        if entry.short:
            self.short_seconds += sign * entry.seconds
        if not self._entries:
            # Sums of floats drift; an empty queue is exactly empty.
            self.seconds = 0.0
            self.short_seconds = 0.0

    def _deactivate(self, workspace: int, share: _Share) -> None:
        place = bisect.bisect_left(self._order, (share.start, workspace))
        del self._order[place]

    def _forget_idle(self) -> None:
        self._shares = {
            workspace: share
            for workspace, share in self._shares.items()
            if len(share) or share.start > self._virtual
        }
