"""Prefix cache of an engine stand-in and the events that it publishes."""

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
        tokens: Tokens that it has more than the next shorter prefix.
        time: When it happened, in seconds of the monotonic clock.
    """

    sequence: int
    kind: str
    digest: int
    tokens: int
    time: float


class PrefixCache:
    """LRU cache of prompt prefixes with a capacity in tokens.

    Args:
        capacity_tokens: Capacity of the cache.
        lag_seconds: Age at which an event is published.
        gap_every: Events whose sequence number is a multiple of this are
            never published, which leaves gaps; 0 publishes all.
    """

    def __init__(
        self, capacity_tokens: int, lag_seconds: float, gap_every: int
    ):
        self._capacity_tokens = capacity_tokens
        self._lag_seconds = lag_seconds
        self._gap_every = gap_every
        self._tokens_by_digest: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._used_tokens = 0
        self._events: list[CacheEvent] = []

    def cached_tokens(self, prefixes: list[prompts.Prefix]) -> int:
        """Returns the length in tokens of the longest cached prefix."""
        cached_lengths = (
            length
            for digest, length in prefixes
            if digest in self._tokens_by_digest
        )
        return max(cached_lengths, default=0)

    def store(self, prefixes: list[prompts.Prefix], now: float) -> None:
        """Caches prefixes and evicts the least recently used ones."""
        previous_length = 0
        for digest, length in prefixes:
            if digest in self._tokens_by_digest:
                self._tokens_by_digest.move_to_end(digest)
            else:
                self._tokens_by_digest[digest] = length - previous_length
                self._used_tokens += length - previous_length
                self._publish("stored", digest, length - previous_length, now)
            previous_length = length
        while (
            self._used_tokens > self._capacity_tokens and self._tokens_by_digest
        ):
            digest, tokens = self._tokens_by_digest.popitem(last=False)
            self._used_tokens -= tokens
            self._publish("evicted", digest, tokens, now)

    def read_events(self, start: int, now: float) -> dict[str, Any]:
        """Returns the published events, beginning at a sequence number."""
        published = [
            event
            for event in self._events
            if event.time <= now - self._lag_seconds
        ]
        next_sequence = published[-1].sequence + 1 if published else 0
        events = [
            {
                "sequence": event.sequence,
                "kind": event.kind,
                "digest": event.digest,
                "tokens": event.tokens,
            }
            for event in published
            if event.sequence >= start and not self._is_withheld(event.sequence)
        ]
        return {"next": next_sequence, "events": events}

    def _is_withheld(self, sequence: int) -> bool:
        return self._gap_every > 0 and sequence % self._gap_every == 0

    def _publish(self, kind: str, digest: int, tokens: int, now: float) -> None:
        event = CacheEvent(len(self._events), kind, digest, tokens, now)
        self._events.append(event)
