"""Rendezvous hashing: the owner of a name among a changing set of members."""

import math
from collections.abc import Iterable

import xxhash


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Orders members by their weight for a key, heaviest first.

    Removing a member moves only the keys that it was first for.

    Args:
        key: Name that needs an owner.
        members: Candidates; their order does not matter.

    Returns:
        All members, the owner first.
    """
    return sorted(members, key=lambda member: (-_weight(key, member), member))


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the first member for a key, or None without members."""
    return min(
        members,
        key=lambda member: (-_weight(key, member), member),
        default=None,
    )


def weighted_owner(key: str, weights: dict[str, float]) -> str | None:
    """Returns the member for a key, in proportion to positive weights."""
    return min(
        weights,
        key=lambda member: (_weighted_age(key, member, weights), member),
        default=None,
    )


def _weighted_age(key: str, member: str, weights: dict[str, float]) -> float:
    # Exponential draws with rates in proportion to the weights: each member
    # has the smallest with a probability in that proportion.
    uniform = (_weight(key, member) + 1) / 2**64
    return -math.log(uniform) / weights[member]


def _weight(key: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())
