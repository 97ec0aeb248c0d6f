"""Rendezvous hashing: the owner of a name among a changing set of members."""

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


def _weight(key: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{member}".encode())
