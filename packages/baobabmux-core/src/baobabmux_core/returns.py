"""Places that are kept for refused requests that were told to come back.

A caller that keeps the time finds its request before all others. It comes with
a new identifier, so it is recognized by its workspace and content.
"""

import collections
import enum
import math

import msgspec

from baobabmux_core import ids

Key = tuple[int, ids.ContentDigest]
"""Hash of the workspace and content of a request."""

# Returns are spread over spans of this length.
_SPAN_SECONDS = 0.2
# Share of the slots that may be promised; the rest is for first attempts.
_PROMISED_SHARE = 0.25
# A caller may come this much before or after its time: the ways of the refusal
# and of the new request, and a new connection.
_EARLY_SECONDS = 0.03
_LATE_SECONDS = 1.0
_MAX_PROMISES = 10_000


class Arrival(enum.Enum):
    """How a request arrives that may have been refused before."""

    FIRST = "first"
    EARLY = "early"
    KEPT = "kept"
    AGAIN = "again"  # It was refused, and no place was left.


class Promise(msgspec.Struct):
    """A place for one request.

    Attributes:
        key: Workspace and content of the request.
        at: Time of its return in seconds.
        span: Span from whose room it takes.
        seconds: Slot seconds.
    """

    key: Key
    at: float
    span: int
    seconds: float


class ReturnLedger:
    """Bounded ledger of promised returns.

    Attributes:
        promised: Number of places that were promised.
        kept: Number of returns that found their place.
        early: Number of returns before their time.
        expired: Number of places that nobody took.
    """

    def __init__(self):
        self.promised = 0
        self.kept = 0
        self.early = 0
        self.expired = 0
        self._by_key: dict[Key, collections.deque[Promise]] = {}
        # Promises in the order of their spans, and slot seconds by span.
        self._spans: dict[int, list[Promise]] = {}
        self._seconds: dict[int, float] = {}
        # Times told to requests for which no place was left.
        self._told: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )
        self._count = 0
        self._expired_to = -math.inf

    def promise(
        self,
        key: Key,
        seconds: float,
        earliest: float,
        latest: float,
        slots: int,
        now: float,
    ) -> float | None:
        """Keeps a place for a refused request.

        A request that has a place already, as its caller came before its time,
        is told of that one again.

        Args:
            key: Workspace and content of the request.
            seconds: Slot seconds that it needs.
            earliest: Least seconds until its return.
            latest: Most seconds until its return.
            slots: Slots of the usable endpoints.
            now: Current time in seconds.

        Returns:
            Seconds until its return, or None if no place is left.
        """
        self._expire(now)
        for known in self._by_key.get(key, ()):
            if known.at > now + _EARLY_SECONDS:
                return known.at - now
        if self._count >= _MAX_PROMISES or latest < earliest:
            return None
        room = _PROMISED_SHARE * slots * _SPAN_SECONDS
        first = math.ceil((now + earliest) / _SPAN_SECONDS)
        last = math.floor((now + latest) / _SPAN_SECONDS)
        for span in range(first, last + 1):
            taken = self._seconds.get(span, 0.0)
            # A request that needs more than a span's room gets an empty one.
            if taken > 0.0 and taken + seconds > room:
                continue
            at = span * _SPAN_SECONDS
            made = Promise(key, at, span, seconds)
            self._seconds[span] = taken + seconds
            self._spans.setdefault(span, []).append(made)
            self._by_key.setdefault(key, collections.deque()).append(made)
            self._count += 1
            self.promised += 1
            return at - now
        return None

    def seconds_until(self, key: Key, now: float) -> float:
        """Returns the seconds until the latest place of a request."""
        return self._by_key[key][-1].at - now

    def told(self, key: Key, seconds: float, now: float) -> None:
        """Records a refused request for which no place was left."""
        self._told[key] = now + seconds
        self._told.move_to_end(key)
        if len(self._told) > _MAX_PROMISES:
            self._told.popitem(last=False)

    def arrive(self, key: Key, now: float) -> Arrival:
        """Returns whether a request is one that was told to come back now.

        A place is taken by its return. One that comes early keeps it, and is
        treated like a first attempt meanwhile.
        """
        self._expire(now)
        promises = self._by_key.get(key)
        if not promises:
            return self._without_place(key, now)
        first = promises[0]
        if first.at > now + _EARLY_SECONDS:
            self.early += 1
            return Arrival.EARLY
        self.kept += 1
        self._remove(first)
        return Arrival.KEPT

    def _without_place(self, key: Key, now: float) -> Arrival:
        at = self._told.get(key)
        if at is None or now < at - _EARLY_SECONDS:
            return Arrival.FIRST
        del self._told[key]
        return Arrival.AGAIN if now <= at + _LATE_SECONDS else Arrival.FIRST

    def release(self, key: Key) -> None:
        """Gives up the place of a request that was admitted before its time."""
        promises = self._by_key.get(key)
        if promises:
            self._remove(promises[0])

    def __len__(self) -> int:
        return self._count

    def _expire(self, now: float) -> None:
        oldest = math.floor((now - _LATE_SECONDS) / _SPAN_SECONDS)
        if oldest <= self._expired_to:
            return
        self._expired_to = oldest
        for span in [span for span in self._spans if span <= oldest]:
            for promise in list(self._spans[span]):
                self.expired += 1
                self._remove(promise)
        for span in [span for span in self._seconds if span <= oldest]:
            del self._seconds[span]

    def _remove(self, promise: Promise) -> None:
        self._count -= 1
        same = self._by_key[promise.key]
        same.remove(promise)
        if not same:
            del self._by_key[promise.key]
        in_span = self._spans[promise.span]
        in_span.remove(promise)
        self._seconds[promise.span] -= promise.seconds
        if not in_span:
            del self._spans[promise.span]
