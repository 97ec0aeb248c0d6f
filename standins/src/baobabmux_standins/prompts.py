"""How an engine stand-in processes a prompt: tokens, digests and answers."""

import hashlib

from baobabmux_core import prefixes

Prefix = tuple[int, int]
"""Digest and length in tokens of a prompt's prefix."""


def count_tokens(text: str) -> int:
    """Returns the length of a text in tokens, at least 1."""
    return max(1, prefixes.estimate_tokens(text.encode()))


def digest_prefixes(prompt: str) -> list[Prefix]:
    """Returns the prefixes of a prompt, the longest last.

    The digests are those of `baobabmux_core.prefixes`, because the published
    protocol of cache events prescribes them.
    """
    parts = prefixes.digest_prompt(prompt.encode())
    return [(part.digest, part.tokens) for part in parts]


def answer_text(prompt: str, start: int, end: int) -> str:
    """Returns the tokens of the answer from `start` up to `end`.

    The text depends only on the prompt, so that a test can detect an answer
    that belongs to another request.
    """
    name = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return "".join(f"{name}.{number} " for number in range(start, end))
