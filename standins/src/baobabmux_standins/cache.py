"""Prefix cache of an engine and the events that it publishes."""

import collections
from typing import Any

import msgspec

from baobabmux_standins import prompts


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix was stored or evicted.

    Attributes:
        sequence: Number of the event.
        kind: "stored" or "evicted".
        digest: Digest of the prefix.
        tokens: Tokens that it adds to the next shorter prefix.
        time: When it happened, in seconds.
    """

    sequence: int
    kind: str
    digest: int
    tokens: int
    time: float


class PrefixCache:
    """Keeps the prefixes that were used last, up to a number of tokens.

    Args:
        capacity_tokens: Size of the cache.
        lag_seconds: Age at which an event is published.
        gap_every: Each event whose sequence number is a multiple of this is
            never published; 0 publishes all.
    """

    def __init__(
        self, capacity_tokens: int, lag_seconds: float, gap_every: int
    ):
        self._capacity_tokens = capacity_tokens
        self._lag_seconds = lag_seconds
        self._gap_every = gap_every
        self._kept: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._used_tokens = 0
        self._events: list[CacheEvent] = []

    def cached_tokens(self, prefixes: list[prompts.Prefix]) -> int:
        """Returns the length of the longest prefix kept."""
        known = (length for digest, length in prefixes if digest in self._kept)
        return max(known, default=0)

    def store(self, prefixes: list[prompts.Prefix], now: float) -> None:
        """Keeps the prefixes and evicts those unused for longest."""
        before = 0
        for digest, length in prefixes:
            if digest in self._kept:
                self._kept.move_to_end(digest)
            else:
                self._kept[digest] = length - before
                self._used_tokens += length - before
                self._publish("stored", digest, length - before, now)
            before = length
        while self._used_tokens > self._capacity_tokens and self._kept:
            digest, tokens = self._kept.popitem(last=False)
            self._used_tokens -= tokens
            self._publish("evicted", digest, tokens, now)

    def read_events(self, start: int, now: float) -> dict[str, Any]:
        """Returns the published events from a sequence number on."""
        published = [
            event
            for event in self._events
            if event.time <= now - self._lag_seconds
        ]
        following = published[-1].sequence + 1 if published else 0
        events = [
            {
                "sequence": event.sequence,
                "kind": event.kind,
                "digest": event.digest,
                "tokens": event.tokens,
            }
            for event in published
            if event.sequence >= start and not self._is_gap(event.sequence)
        ]
        return {"next": following, "events": events}

    def _is_gap(self, sequence: int) -> bool:
        return self._gap_every > 0 and sequence % self._gap_every == 0

    def _publish(self, kind: str, digest: int, tokens: int, now: float) -> None:
        event = CacheEvent(len(self._events), kind, digest, tokens, now)
        self._events.append(event)
