"""Digests of prompt prefixes and an index of where they are probably cached."""

import collections

import xxhash

from baobabmux_core import ids, messages

# Holds approximately for common tokenizers and European text.
_BYTES_PER_TOKEN = 4

# Engines cache prompts in blocks of this many tokens.
_BLOCK_TOKENS = 64
_BLOCK_BYTES = _BLOCK_TOKENS * _BYTES_PER_TOKEN

# Lengths, in blocks, of the prefixes that are digested. As each is at most
# half as long again as the one before, except at the start, they cover at least
# two thirds of a shared prefix of any length. The longest 6 parts keep an Ask
# within its byte budget.
_PREFIX_BLOCKS = frozenset(
    {1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 384, 512}
)
_MAX_PARTS = 6

# A prefix of this length costs more to compute than the transfer to another
# data centre and the risk of a wait there.
_MIN_HOME_TOKENS = 2048
_MAX_SEEN_DIGESTS = 4096
# A prefix with more than this share of the recent long prompts has no home
# data centre: it would overload one, and is soon cached everywhere.
_HOT_SHARE = 0.34
_RECENT_PROMPTS = 256
_MIN_HOT_SAMPLE_PROMPTS = 32

# Allows an entry for each block that a cache can hold, and as many again for
# entries whose eviction was not reported.
_TOKENS_PER_ENTRY = _BLOCK_TOKENS // 2
_MIN_ENTRIES = 64


def estimate_tokens(prompt: bytes) -> int:
    """Estimates the length of a prompt in tokens."""
    return -(-len(prompt) // _BYTES_PER_TOKEN)


def digest_prompt(prompt: bytes) -> tuple[messages.PrefixPart, ...]:
    """Digests the prefixes of a prompt at fixed lengths.

    The digest of a block is seeded with the digest of all blocks before it, as
    in the cache events of engines.

    Args:
        prompt: Bytes of the prompt.

    Returns:
        At most 6 prefixes, the longest last.
    """
    digest = 0
    parts = []
    blocks = min(len(prompt) // _BLOCK_BYTES, max(_PREFIX_BLOCKS))
    for block in range(1, blocks + 1):
        end = block * _BLOCK_BYTES
        digest = xxhash.xxh32_intdigest(
            prompt[end - _BLOCK_BYTES : end], seed=digest
        )
        if block in _PREFIX_BLOCKS:
            parts.append(
                messages.PrefixPart(
                    ids.PrefixDigest(digest), block * _BLOCK_TOKENS
                )
            )
    return tuple(parts[-_MAX_PARTS:])


class PrefixIndex:
    """Prefixes that one endpoint probably has in its cache.

    The index is updated by the owner's own grants and the endpoint's cache
    events. It evicts the least recently used prefixes beyond the size of the
    endpoint's cache, as the endpoint does.

    Attributes:
        capacity: Size of the endpoint's cache in tokens.
        tokens: Tokens that are probably cached.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.tokens = 0
        # Tokens that a prefix adds to the next shorter one, by digest; the
        # least recently used is first.
        self._parts: collections.OrderedDict[ids.PrefixDigest, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._parts)

    def cached_tokens(self, prefixes: tuple[messages.PrefixPart, ...]) -> int:
        """Returns the length of the longest cached prefix."""
        for part in reversed(prefixes):
            if part.digest in self._parts:
                return part.tokens
        return 0

    def used(self, prefixes: tuple[messages.PrefixPart, ...]) -> None:
        """Records that the endpoint computes a prompt with these prefixes."""
        # The shortest is stored last and so evicted last: a cache drops the
        # tail of a prompt before its beginning.
        for index in range(len(prefixes) - 1, -1, -1):
            part = prefixes[index]
            shorter = prefixes[index - 1].tokens if index else 0
            self._store(part.digest, max(0, part.tokens - shorter))

    def stored(self, digest: ids.PrefixDigest, tokens: int) -> None:
        """Applies a cache event: the endpoint stored a prefix.

        An event has the whole length of the prefix, not the tokens that it
        adds to a shorter one. So a prefix that this owner has not granted
        counts as 0 tokens and is bounded by the number of entries only.
        """
        if digest not in self._parts:
            self._store(digest, 0)

    def evicted(self, digest: ids.PrefixDigest) -> None:
        """Applies a cache event: the endpoint evicted a prefix."""
        self.tokens -= self._parts.pop(digest, 0)

    def clear(self) -> None:
        """Empties the index because the endpoint's cache was lost."""
        self._parts.clear()
        self.tokens = 0

    def _store(self, digest: ids.PrefixDigest, tokens: int) -> None:
        self.tokens += tokens - self._parts.pop(digest, 0)
        self._parts[digest] = tokens
        while self._parts and (
            self.tokens > self.capacity
            or len(self._parts) * _TOKENS_PER_ENTRY
            > max(self.capacity, _MIN_ENTRIES * _TOKENS_PER_ENTRY)
        ):
            self.tokens -= self._parts.popitem(last=False)[1]


class HomePrefixSelector:
    """Chooses the prefix whose digest determines a prompt's home data centre.

    The home data centre is where prompts with the same prefix are sent, so
    that they share a prefix cache.
    """

    def __init__(self):
        self._seen: collections.OrderedDict[ids.PrefixDigest, None] = (
            collections.OrderedDict()
        )
        self._recent: collections.Counter[ids.PrefixDigest] = (
            collections.Counter()
        )
        self._total = 0

    def choose(
        self, prefixes: tuple[messages.PrefixPart, ...]
    ) -> ids.PrefixDigest | None:
        """Returns the digest of the long prefix that prompts probably share.

        That is the longest one seen before, or else the shortest long one.

        Args:
            prefixes: Prefixes of a prompt, the longest last.

        Returns:
            The digest, or None if the prompt is short or too large a share of
            the recent prompts has this prefix.
        """
        long_parts = [
            part for part in prefixes if part.tokens >= _MIN_HOME_TOKENS
        ]
        if not long_parts:
            return None
        seen = [part for part in long_parts if part.digest in self._seen]
        chosen = (seen[-1] if seen else long_parts[0]).digest
        for part in long_parts:
            self._seen[part.digest] = None
            self._seen.move_to_end(part.digest)
        while len(self._seen) > _MAX_SEEN_DIGESTS:
            self._seen.popitem(last=False)
        return None if self._is_hot(chosen) else chosen

    def _is_hot(self, digest: ids.PrefixDigest) -> bool:
        self._recent[digest] += 1
        self._total += 1
        if self._total >= _RECENT_PROMPTS:
            self._recent = collections.Counter(
                {
                    known: count // 2
                    for known, count in self._recent.items()
                    if count > 1
                }
            )
            self._total = sum(self._recent.values())
        return self._total >= _MIN_HOT_SAMPLE_PROMPTS and (
            self._recent[digest] > _HOT_SHARE * self._total
        )
