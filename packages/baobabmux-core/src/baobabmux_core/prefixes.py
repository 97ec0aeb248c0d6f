"""Prompt prefixes and where they are probably cached."""

import collections

import xxhash

from baobabmux_core import ids, messages

# An estimate that holds for common tokenizers and European text.
_BYTES_PER_TOKEN = 4

# Prefix lengths in tokens. Steps of a half keep a shared prefix of any length
# at two thirds or more, and 14 parts keep an Ask within its byte budget.
_BOUNDARIES = (
    64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096, 6144,
    8192, 12288, 16384,
)  # fmt: skip
_MAX_PARTS = 8


def estimate_tokens(prompt: bytes) -> int:
    """Estimates the length of a prompt in tokens."""
    return -(-len(prompt) // _BYTES_PER_TOKEN)


def digest_prompt(prompt: bytes) -> tuple[messages.PrefixPart, ...]:
    """Digests the prefixes of a prompt at fixed lengths.

    Args:
        prompt: Bytes of the prompt.

    Returns:
        At most 8 prefixes, the longest last.
    """
    digest = xxhash.xxh3_64()
    parts = []
    done = 0
    for tokens in _BOUNDARIES:
        end = tokens * _BYTES_PER_TOKEN
        if end > len(prompt):
            break
        digest.update(prompt[done:end])
        done = end
        value = digest.intdigest() & 0xFFFFFFFF
        parts.append(messages.PrefixPart(ids.PrefixDigest(value), tokens))
    return tuple(parts[-_MAX_PARTS:])


class PrefixIndex:
    """Prefixes that one endpoint probably has in its cache.

    The index follows the owner's own dispatches and the endpoint's cache
    events. It forgets the least recently used prefixes beyond the size of the
    endpoint's cache, as the endpoint does.

    Attributes:
        capacity: Size of the endpoint's cache in tokens.
        tokens: Tokens believed to be cached.
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
        """Notes that the endpoint computes a prompt with these prefixes."""
        # The shortest is touched last: a cache drops the tail of a prompt
        # before its beginning.
        for index in range(len(prefixes) - 1, -1, -1):
            part = prefixes[index]
            shorter = prefixes[index - 1].tokens if index else 0
            self._store(part.digest, max(0, part.tokens - shorter))

    def stored(self, digest: ids.PrefixDigest, tokens: int) -> None:
        """Notes the endpoint's event that it cached a prefix."""
        if digest in self._parts:
            self._parts.move_to_end(digest)
            return
        self._store(digest, tokens)

    def evicted(self, digest: ids.PrefixDigest) -> None:
        """Notes the endpoint's event that it dropped a prefix."""
        self.tokens -= self._parts.pop(digest, 0)

    def clear(self) -> None:
        """Forgets everything, after the endpoint restarted."""
        self._parts.clear()
        self.tokens = 0

    def _store(self, digest: ids.PrefixDigest, tokens: int) -> None:
        self.tokens += tokens - self._parts.pop(digest, 0)
        self._parts[digest] = tokens
        while self.tokens > self.capacity and self._parts:
            self.tokens -= self._parts.popitem(last=False)[1]
