"""What an engine makes of a prompt: tokens, prefix digests and answers."""

import hashlib

import xxhash

_CHARACTERS_PER_TOKEN = 4
_BLOCK_TOKENS = 64

Prefix = tuple[int, int]
"""Digest and length in tokens of a prompt's prefix."""


def count_tokens(text: str) -> int:
    """Returns the length of a text in tokens, at least 1."""
    return max(1, len(text) // _CHARACTERS_PER_TOKEN)


def digest_prefixes(prompt: str) -> list[Prefix]:
    """Returns the prefixes of a prompt by whole blocks, the longest last."""
    block_characters = _BLOCK_TOKENS * _CHARACTERS_PER_TOKEN
    prefixes = []
    digest = 0
    for start in range(0, len(prompt) - block_characters + 1, block_characters):
        block = prompt[start : start + block_characters].encode()
        digest = xxhash.xxh32_intdigest(block, seed=digest)
        tokens = (start + block_characters) // _CHARACTERS_PER_TOKEN
        prefixes.append((digest, tokens))
    return prefixes


def answer_text(prompt: str, start: int, end: int) -> str:
    """Returns the tokens of the answer from `start` up to `end`.

    The text follows from the prompt alone, so that a test can tell an answer
    to another request.
    """
    name = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return "".join(f"{name}.{number} " for number in range(start, end))
