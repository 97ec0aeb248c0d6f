"""Who waits for a slot when more is asked than there is room.

A request that waits behind others is also passed by those of a higher
precedence that arrive meanwhile. One that would not start in time is refused
at once, while its caller still has time to come back.
"""

from __future__ import annotations

import math
import typing

import msgspec

from baobabmux_core import held_requests, messages, returns

if typing.TYPE_CHECKING:
    from baobabmux_core import fairness, queues

# Time over which arrivals are averaged.
_DEMAND_SECONDS = 1.0
# Share of the slots in use from which on nothing is left for others.
_FULL_SHARE = 0.95
# Callers wait for a return up to a third of the time that they have left; the
# refusal takes a part of it.
_RETURN_SHARE = 0.31
_MIN_RETURN_SECONDS = 0.1
# Time from a return to the first event, besides the prefill.
_WAY_SECONDS = 0.1

Precedence = tuple[int, bool]
"""Rank of a tier, and whether the request is late; the least goes first."""


class Demand:
    """Slot seconds a second that are admitted, by precedence."""

    def __init__(self):
        # Decaying sums with the time that they describe.
        self._sums: dict[Precedence, tuple[float, float]] = {}

    def record(
        self, precedence: Precedence, seconds: float, now: float
    ) -> None:
        """Adds a request that occupies a slot for some seconds."""
        self._sums[precedence] = (self._decayed(precedence, now) + seconds, now)

    def before(self, precedence: Precedence, now: float) -> float:
        """Returns the slots that requests of a higher precedence occupy."""
        return sum(
            self._decayed(other, now) / _DEMAND_SECONDS
            for other in self._sums
            if other < precedence
        )

    def _decayed(self, precedence: Precedence, now: float) -> float:
        total, at = self._sums.get(precedence, (0.0, now))
        return total * math.exp(-max(0.0, now - at) / _DEMAND_SECONDS)


class Admission:
    """Admission to the queue of one group that has too little room.

    Attributes:
        demand: What was admitted lately.
        returns: Places of refused requests that come back.
    """

    def __init__(self, queue: queues.GroupQueue):
        self.demand = Demand()
        self.returns = returns.ReturnLedger()
        self._queue = queue

    # Commands.

    def arrived(
        self, ask: messages.Ask, now: float
    ) -> tuple[messages.Ask, returns.Arrival]:
        """Recognizes a request that was told to come back.

        Returns:
            The ask, with precedence over all tiers if a place was kept for it,
            and how it arrives.
        """
        if ask.terms is not None and ask.terms.attempt > 1:
            return ask, returns.Arrival.FIRST
        arrival = self.returns.arrive((ask.workspace, ask.content), now)
        if arrival is returns.Arrival.KEPT:
            ask = _preferred(ask)
        return ask, arrival

    def decide(
        self,
        entry: fairness.QueueEntry,
        late_by: float | None,
        arrival: returns.Arrival,
        slots: int,
        now: float,
    ) -> float | None:
        """Decides about a request that has arrived.

        Args:
            entry: The request, with its estimates.
            late_by: Seconds by which it is late behind those that wait now, or
                None.
            arrival: How it arrives.
            slots: Slots of the usable endpoints.
            now: Current time in seconds.

        Returns:
            Seconds by which it would be late, or None if it is admitted. One
            that has come back waits as long as it can, as its caller doesn't
            come again.
        """
        has_place = arrival is returns.Arrival.KEPT
        entry.has_returned = has_place or arrival is returns.Arrival.AGAIN
        if has_place and entry.deadline - entry.seconds >= now:
            late_by = None
        elif late_by is None and not entry.has_returned:
            late_by = self.late_by(entry, entry.predicted_wait, slots, now)
            if late_by is not None and not self._keep_place(entry, slots, now):
                # Waiting may bring more than coming back late.
                late_by = None
        if late_by is None:
            self.demand.record(_precedence(entry), entry.seconds, now)
            if not has_place:
                self.returns.release(_key(entry))
        return late_by

    def return_seconds(
        self,
        entry: fairness.QueueEntry,
        late_by: float,
        slots: int,
        now: float,
    ) -> float:
        """Returns after how long a refused request should come back.

        A place is kept for it if there is one in the time that its caller
        waits, and if it could still end in time then.

        Args:
            entry: The refused request.
            late_by: Seconds by which it would have been late.
            slots: Slots of the usable endpoints.
            now: Current time in seconds.
        """
        left = entry.deadline - now
        if not math.isfinite(left):
            return max(_MIN_RETURN_SECONDS, min(late_by, _DEMAND_SECONDS))
        latest = min(_RETURN_SHARE * left, left - entry.seconds)
        seconds = max(_MIN_RETURN_SECONDS, min(late_by, latest))
        if entry.has_returned:
            return seconds
        if self._keep_place(entry, slots, now):
            return self.returns.seconds_until(_key(entry), now)
        self.returns.told(_key(entry), seconds, now)
        return seconds

    def _keep_place(
        self, entry: fairness.QueueEntry, slots: int, now: float
    ) -> bool:
        """Keeps a place with which the first event would be on time."""
        latest = min(
            _RETURN_SHARE * (entry.deadline - now),
            entry.on_time_start - _WAY_SECONDS - now,
            entry.deadline - entry.seconds - now,
        )
        if not math.isfinite(latest):
            return False
        place = self.returns.promise(
            _key(entry), entry.seconds, _MIN_RETURN_SECONDS, latest, slots, now
        )
        return place is not None

    # Queries.

    def late_by(
        self,
        entry: fairness.QueueEntry,
        wait: float,
        slots: int,
        now: float,
    ) -> float | None:
        """Returns by how much a request would start too late, or None.

        Args:
            entry: The request, queued or not.
            wait: Predicted wait behind requests that can be on time, in
                seconds, if no further ones came.
            slots: Slots of the usable endpoints.
            now: Current time in seconds.

        Returns:
            Seconds, infinite if nothing is left for it; None if it starts in
            time.
        """
        if slots < 1:
            return None
        wait += self._late_seconds_ahead(entry) / slots
        if wait <= 0.0:
            return None
        share = self.demand.before(_precedence(entry), now) / slots
        if share >= _FULL_SHARE:
            return math.inf
        late = now + wait / (1.0 - share) - entry.latest_start
        return late if late > 0.0 else None

    def _late_seconds_ahead(self, entry: fairness.QueueEntry) -> float:
        """Returns the slot seconds of late requests that go before one."""
        rank = entry.ask.tier
        ahead = sum(
            queue.seconds
            for other, queue in self._queue.late_tiers.items()
            if other < rank
        )
        own = self._queue.late_tiers.get(rank)
        if entry.late and own is not None:
            ahead += own.ahead_seconds(entry)
        return ahead


def _preferred(ask: messages.Ask) -> messages.Ask:
    rank = held_requests.RESUMED_RANK
    return msgspec.structs.replace(ask, tier=min(ask.tier, rank))


def _precedence(entry: fairness.QueueEntry) -> Precedence:
    return entry.ask.tier, entry.late


def _key(entry: fairness.QueueEntry) -> returns.Key:
    return entry.ask.workspace, entry.ask.content
