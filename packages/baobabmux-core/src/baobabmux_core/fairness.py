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
    """

    __slots__ = (
        "arrival",
        "ask",
        "deadline",
        "holder",
        "key",
        "latest_start",
        "queued",
        "seconds",
        "short",
        "tokens",
    )

    def __init__(
        self,
        ask: messages.Ask,
        holder: ids.NodeId,
        now: float,
        short_tokens: int,
    ):
        self.ask = ask
        self.holder = holder
        self.arrival = now - ask.waited_ms / 1000
        self.deadline = (
            now + ask.deadline_ms / 1000 if ask.deadline_ms >= 0 else math.inf
        )
        self.tokens = ask.prompt_tokens + ask.output_tokens
        self.short = self.tokens < short_tokens
        self.seconds = 0.0
        self.latest_start = math.inf
        self.queued = False
        self.key = (self.deadline, self.arrival, ask.request)


class _Share:
    """Waiting requests of one workspace and its start tag."""

    __slots__ = ("classes", "start", "weight")

    def __init__(self, start: float, weight: float):
        self.start = start
        self.weight = weight
        self.classes: tuple[list, list] = ([], [])

    def __len__(self) -> int:
        return len(self.classes[_LONG]) + len(self.classes[_SHORT])


class TierQueue:
    """Waiting requests of one tier in fair order.

    Attributes:
        tokens: Total tokens that wait.
        seconds: Total slot seconds that wait.
    """

    def __init__(self):
        self.tokens = 0
        self.seconds = 0.0
        self._weights: dict[int, float] = {}
        self._shares: dict[int, _Share] = {}
        self._order: list[tuple[float, int]] = []
        self._entries: dict[ids.RequestId, QueueEntry] = {}
        self._virtual = 0.0

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
        self.tokens += entry.tokens
        self.seconds += entry.seconds

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

    def newest(self) -> QueueEntry | None:
        """Returns the request that was queued last, or None."""
        if not self._entries:
            return None
        return self._entries[next(reversed(self._entries))]

    def _drop(self, entry: QueueEntry) -> None:
        items = self._shares[entry.ask.workspace].classes[entry.short]
        del items[bisect.bisect_left(items, (entry.key,))]
        entry.queued = False
        del self._entries[entry.ask.request]
        self.tokens -= entry.tokens
        self.seconds = max(0.0, self.seconds - entry.seconds)

    def _deactivate(self, workspace: int, share: _Share) -> None:
        place = bisect.bisect_left(self._order, (share.start, workspace))
        del self._order[place]

    def _forget_idle(self) -> None:
        self._shares = {
            workspace: share
            for workspace, share in self._shares.items()
            if len(share) or share.start > self._virtual
        }
