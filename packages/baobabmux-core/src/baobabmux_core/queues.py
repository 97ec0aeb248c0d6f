"""Queued requests of one group, indexed by tier, content and latest start."""

import heapq
import itertools
import math

from baobabmux_core import fairness, ids


class GroupQueue:
    """Queue of a group's owner.

    Requests with suspect contents have separate queues: they need an empty
    endpoint and must not take up the candidates examined for a grant.

    Attributes:
        tiers: Queues by tier rank, in order of rank.
        suspect_tiers: The same for suspect contents.
        late_tiers: The same for requests that can no longer be on time.
        entries: All queued requests by identifier.
        by_content: Identifiers of queued requests by content.
    """

    def __init__(self):
        self.tiers: dict[int, fairness.TierQueue] = {}
        self.late_tiers: dict[int, fairness.TierQueue] = {}
        self.suspect_tiers: dict[int, fairness.TierQueue] = {}
        self.entries: dict[ids.RequestId, fairness.QueueEntry] = {}
        self.by_content: dict[ids.ContentDigest, set[ids.RequestId]] = {}
        # Heap by latest start; entries that have left the queue are removed
        # when they reach its top.
        self._by_latest_start: list[tuple[float, int, fairness.QueueEntry]] = []
        # Heap by the latest start that is on time, in the same way.
        self._by_on_time_start: list[
            tuple[float, int, fairness.QueueEntry]
        ] = []
        self._weights: dict[int, float] = {}
        self._order = itertools.count()

    def set_weights(self, weights: dict[int, float]) -> None:
        """Replaces the weights of workspaces, given by their hash."""
        self._weights = weights
        for queue in self._all_queues():
            queue.set_weights(weights)

    def tokens(self) -> int:
        """Returns the number of queued tokens."""
        return sum(queue.tokens for queue in self._all_queues())

    def newest_of_lowest(self) -> fairness.QueueEntry:
        """Returns the newest request of the lowest tier.

        Suspects come first, then late requests. The queue must not be empty.
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
        """Returns the queued requests of a holder."""
        return [
            entry for entry in self.entries.values() if entry.holder == holder
        ]

    def pop_unreachable(self, now: float) -> fairness.QueueEntry | None:
        """Returns a queued request whose latest start has passed, or None.

        Each request is returned only once, so the caller must remove it from
        the queue.
        """
        while self._by_latest_start:
            latest_start, _, entry = self._by_latest_start[0]
            if entry.queued and latest_start >= now:
                return None
            heapq.heappop(self._by_latest_start)
            if entry.queued:
                return entry
        return None

    def demote(self, entry: fairness.QueueEntry) -> None:
        """Moves a queued request to the late queue of its tier."""
        self._queue_of(entry).remove(entry)
        entry.late = True
        self._queue_of(entry).add(entry)

    def demote_late(self, now: float) -> None:
        """Moves all requests that can no longer be on time to late queues."""
        while self._by_on_time_start and self._by_on_time_start[0][0] < now:
            entry = heapq.heappop(self._by_on_time_start)[2]
            if entry.queued and not entry.late and not entry.suspect:
                self.demote(entry)

    def add(
        self, entry: fairness.QueueEntry, on_time_start: float = math.inf
    ) -> None:
        """Adds a request.

        Args:
            entry: The request.
            on_time_start: Latest start with which its first event is on time.
        """
        ask = entry.ask
        self._queue_of(entry).add(entry)
        self.entries[ask.request] = entry
        self.by_content.setdefault(ask.content, set()).add(ask.request)
        if on_time_start < math.inf:
            heapq.heappush(
                self._by_on_time_start,
                (on_time_start, next(self._order), entry),
            )
        if entry.latest_start < math.inf:
            heapq.heappush(
                self._by_latest_start,
                (entry.latest_start, next(self._order), entry),
            )

    def remove_granted(self, entry: fairness.QueueEntry) -> None:
        """Removes a granted request and charges its workspace's fair share."""
        self._queue_of(entry).remove_granted(entry)
        self._remove_from_indexes(entry)

    def remove(self, entry: fairness.QueueEntry) -> None:
        """Removes a request without charging its workspace."""
        self._queue_of(entry).remove(entry)
        self._remove_from_indexes(entry)

    def _remove_from_indexes(self, entry: fairness.QueueEntry) -> None:
        ask = entry.ask
        del self.entries[ask.request]
        same = self.by_content[ask.content]
        same.discard(ask.request)
        if not same:
            del self.by_content[ask.content]

    def _all_queues(self) -> list[fairness.TierQueue]:
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
