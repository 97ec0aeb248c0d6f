"""Positions in a topic of a store that may come back from an older copy."""

import msgspec

UNKNOWN_ERA = -1
"""Era of a position that was not read from the store."""


class Position(msgspec.Struct, frozen=True, order=True):
    """Which of two states of a topic is newer.

    Offsets count the records of one era. A store that has come back from an
    older copy is in a new era and gives offsets out again, so that offsets of
    different eras cannot be compared.

    Attributes:
        era: Number of the store's copies before this one, or `UNKNOWN_ERA`.
        offset: Offset of the next record.
    """

    era: int
    offset: int


_OFFSET_BITS = 36
_REVISION_BITS = 7
_MAX_REVISION = 2**_REVISION_BITS - 1


class Version(msgspec.Struct, frozen=True, order=True):
    """Which of two lists that nodes derive from a topic is newer.

    Attributes:
        position: Position in the topic up to which it was read when the list
            changed last.
        revision: Number of changes since then without a record of the topic,
            as when an entry stays missing.
    """

    position: Position
    revision: int = 0

    @property
    def number(self) -> int:
        """The version as a number of the same order, for frames.

        It is above the numbers of builds that send the offset alone.
        """
        offset = min(self.position.offset, 2**_OFFSET_BITS - 1)
        era = self.position.era + 1
        return (era << _OFFSET_BITS | offset) << _REVISION_BITS | min(
            self.revision, _MAX_REVISION
        )

    @classmethod
    def of(cls, number: int) -> "Version":
        """Returns the version with a number.

        One of a build that sends the offset alone is of an unknown era.
        """
        position, revision = divmod(number, 2**_REVISION_BITS)
        era, offset = divmod(position, 2**_OFFSET_BITS)
        return cls(Position(era - 1, offset), revision)

    def revised(self) -> "Version":
        """Returns the version of another list at the same position."""
        return Version(self.position, self.revision + 1)
