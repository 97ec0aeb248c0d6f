"""Up to which time a node knows the versions that a source has published.

Each version replaces those before it, so that a node that has one knows all of
them. Heartbeats carry the age of that knowledge, and a node whose knowledge is
too old checks the source itself.
"""

import math

# Age at which a node checks the source. Readers refresh the knowledge of all
# nodes more often than that; a check, and asking a reader for the version that
# it found, must fit into what is left of two seconds. Each rank adds a stagger,
# up to the limit, so that the first check spares the others theirs.
_CHECK_AGE_SECONDS = 1.3
_STAGGER_SECONDS = 0.1
_MAX_STAGGERS = 3
# Nodes from this rank on check only if none of those before them has.
_DISTANT_RANK = 16
_DISTANT_AGE_SECONDS = 2.4


def check_age_seconds(rank: int) -> float:
    """Returns the age of its knowledge at which a node checks the source.

    Args:
        rank: Rendezvous rank of the node for the source.
    """
    if rank >= _DISTANT_RANK:
        return _DISTANT_AGE_SECONDS
    return _CHECK_AGE_SECONDS + _STAGGER_SECONDS * min(rank, _MAX_STAGGERS)


class Freshness:
    """Time up to which a node knows what a source has published.

    Attributes:
        known_until: That time in seconds, negative infinity if it has read
            nothing.
    """

    def __init__(self):
        self.known_until = -math.inf

    def record_read(self, answered_at: float) -> None:
        """Records that everything published up to a time was read."""
        self.known_until = max(self.known_until, answered_at)

    def confirm(
        self, version: int, age_ms: int, own_version: int, now: float
    ) -> None:
        """Records what a peer states of its knowledge.

        Args:
            version: Version that the peer has, the newest one that it knows.
            age_ms: Age of its knowledge in milliseconds, -1 if unknown.
            own_version: Version that this node has.
            now: Current time in seconds.
        """
        if age_ms >= 0 and version <= own_version:
            self.record_read(now - age_ms / 1000)

    def age(self, now: float) -> float:
        """Returns the age of the knowledge in seconds, or infinity."""
        return now - self.known_until

    def age_ms(self, now: float) -> int:
        """Returns the age in milliseconds for peers, -1 if unknown."""
        age = self.age(now)
        return -1 if math.isinf(age) else max(0, math.ceil(1000 * age))
