"""Waiting requests of one group, by tier, content and latest start."""

import heapq
import itertools
import math

from baobabmux_core import fairness, ids


class GroupQueue:
    """Queue of a group's owner.

    Suspects wait apart: they need an empty endpoint and must not hide other
    requests from the search for a grant.

    Attributes:
        tiers: Queues by tier rank, in order of rank.
        suspect_tiers: The same for suspect contents.
        late_tiers: The same for requests that can no longer be on time.
        entries: All waiting requests by identifier.
        by_content: Waiting requests by content.
    """

    def __init__(self):
        self.tiers: dict[int, fairness.TierQueue] = {}
        self.late_tiers: dict[int, fairness.TierQueue] = {}
        self.suspect_tiers: dict[int, fairness.TierQueue] = {}
        self.entries: dict[ids.RequestId, fairness.QueueEntry] = {}
        self.by_content: dict[ids.ContentDigest, set[ids.RequestId]] = {}
        # By the latest time to start; entries that no longer wait stay in it.
        self._latest: list[tuple[float, int, fairness.QueueEntry]] = []
        # By the latest time to start on time, in the same way.
        self._on_time: list[tuple[float, int, fairness.QueueEntry]] = []
        self._weights: dict[int, float] = {}
        self._order = itertools.count()

    def set_weights(self, weights: dict[int, float]) -> None:
        """Takes the weights of workspaces by their hash."""
        self._weights = weights
        for queue in self._all():
            queue.set_weights(weights)

    def tokens(self) -> int:
        """Returns the number of waiting tokens."""
        return sum(queue.tokens for queue in self._all())

    def newest_of_lowest(self) -> fairness.QueueEntry:
        """Returns the newest request of the lowest tier, suspects first.

        The queue must not be empty.
        """
        waiting = [
            (rank, suspect, queue)
            for suspect, tiers in enumerate(
                (self.tiers, self.late_tiers, self.suspect_tiers)
            )
            for rank, queue in tiers.items()
            if len(queue)
        ]
        return max(waiting, key=lambda item: item[:2])[2].newest()

    def held_by(self, holder: ids.NodeId) -> list[fairness.QueueEntry]:
        """Returns the waiting requests of a holder."""
        return [
            entry for entry in self.entries.values() if entry.holder == holder
        ]

    def pop_late(self, now: float) -> fairness.QueueEntry | None:
        """Finds a request whose latest start has passed.

        Returns:
            One that still waits, or None. It is found only once, so the
            caller removes it from the queue.
        """
        while self._latest:
            latest_start, _, entry = self._latest[0]
            if entry.queued and latest_start >= now:
                return None
            heapq.heappop(self._latest)
            if entry.queued:
                return entry
        return None

    def set_late(self, entry: fairness.QueueEntry) -> None:
        """Lets a waiting request go behind those that can be on time."""
        self._queue_of(entry).remove(entry)
        entry.late = True
        self._queue_of(entry).add(entry)

    def move_late(self, now: float) -> None:
        """Lets all requests that can no longer be on time go behind."""
        while self._on_time and self._on_time[0][0] < now:
            entry = heapq.heappop(self._on_time)[2]
            if entry.queued and not entry.late and not entry.suspect:
                self.set_late(entry)

    def add(
        self, entry: fairness.QueueEntry, on_time_start: float = math.inf
    ) -> None:
        """Adds a request.

        Args:
            entry: The request.
            on_time_start: Latest time to start it so that it is on time.
        """
        ask = entry.ask
        self._queue_of(entry).add(entry)
        self.entries[ask.request] = entry
        self.by_content.setdefault(ask.content, set()).add(ask.request)
        if on_time_start < math.inf:
            heapq.heappush(
                self._on_time, (on_time_start, next(self._order), entry)
            )
        if entry.latest_start < math.inf:
            heapq.heappush(
                self._latest, (entry.latest_start, next(self._order), entry)
            )

    def take(self, entry: fairness.QueueEntry) -> None:
        """Removes a request that is granted; its workspace pays for it."""
        self._queue_of(entry).take(entry)
        self._forget(entry)

    def remove(self, entry: fairness.QueueEntry) -> None:
        """Removes a request that is not granted."""
        self._queue_of(entry).remove(entry)
        self._forget(entry)

    def _forget(self, entry: fairness.QueueEntry) -> None:
        ask = entry.ask
        del self.entries[ask.request]
        same = self.by_content[ask.content]
        same.discard(ask.request)
        if not same:
            del self.by_content[ask.content]

    def _all(self) -> list[fairness.TierQueue]:
        return [
            *self.tiers.values(),
            *self.late_tiers.values(),
            *self.suspect_tiers.values(),
        ]

    def _queue_of(self, entry: fairness.QueueEntry) -> fairness.TierQueue:
        tiers = self.late_tiers if entry.late else self.tiers
        if entry.suspect:
            tiers = self.suspect_tiers
        queue = tiers.get(entry.ask.tier)
        if queue is not None:
            return queue
        queue = fairness.TierQueue()
        queue.set_weights(self._weights)
        tiers[entry.ask.tier] = queue
        ordered = sorted(tiers.items())
        tiers.clear()
        tiers.update(ordered)
        return queue
