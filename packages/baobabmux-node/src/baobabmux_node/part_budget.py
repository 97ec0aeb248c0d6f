"""Bounds what an answer may cost against what it brings.

Parsing a part of an answer, such as a chunk, takes as long for one byte as for
a thousand. A bound on bytes alone lets an endpoint send millions of parts.
"""

FREE_PARTS = 16_384
"""Parts that any message may have."""

MIN_PART_BYTES = 4
"""Bytes that each further part must bring on average."""

MAX_INTERIM_ANSWERS = 100
"""Most interim answers (RFC 9110, 15.2) to one request."""


class PartBudget:
    """Counts the parts of an answer, or of an event of a stream.

    Attributes:
        parts: Number of the parts.
        size: Bytes that they brought.
    """

    __slots__ = ("parts", "size")

    def __init__(self):
        self.parts = 0
        self.size = 0

    def restart(self) -> None:
        """Forgets the parts, as they have brought something whole."""
        self.parts = self.size = 0

    def add(self, size: int) -> bool:
        """Counts a part; returns whether the answer may go on.

        Args:
            size: Bytes of the part.
        """
        self.parts += 1
        self.size += size
        return self.parts <= FREE_PARTS + self.size // MIN_PART_BYTES
