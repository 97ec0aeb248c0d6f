"""Rendezvous hashing: assigns keys to a changing set of members."""

import math
from collections.abc import Iterable

import xxhash


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Orders members by their hash for a key, the largest first.

    Removing a member moves only the keys for which it was first.

    Args:
        key: Key that needs an owner.
        members: Candidates; their order does not matter.

    Returns:
        All members, the owner first.
    """
    return sorted(members, key=lambda member: (-_hash(key, member), member))


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the member that ranks first, or None without members."""
    return min(
        members,
        key=lambda member: (-_hash(key, member), member),
        default=None,
    )


def fraction(key: str, member: str) -> float:
    """Returns a number above 0 and at most 1 for a key and a member."""
    return (_hash(key, member) + 1) / 2**64


def weighted_owner(key: str, weights: dict[str, float]) -> str | None:
    """Returns the owner of a key, or None without members.

    Each member owns a share of all keys in proportion to its positive weight.
    """
    return min(
        weights,
        key=lambda member: (_exponential_variate(key, member, weights), member),
        default=None,
    )


def _exponential_variate(
    key: str, member: str, weights: dict[str, float]
) -> float:
    # Each member gets an exponential variate whose rate is its weight. The
    # probability of having the smallest one is in proportion to the weight.
    return -math.log(fraction(key, member)) / weights[member]


def _hash(key: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())
