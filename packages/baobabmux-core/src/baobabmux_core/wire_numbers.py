"""Amounts that callers and endpoints send as decimal numbers.

They have any length on the wire, and messages between nodes carry 64 bits. A
number that identifies something is no amount: it must not be bounded (see
`event_ids`).
"""

MAX_NUMBER = 2**31 - 1
"""Highest number that is told from those above it."""

_MAX_DIGITS = len(str(MAX_NUMBER))


def parse(text: str) -> int | None:
    """Returns a number, at most `MAX_NUMBER`, or None if it is none."""
    if not (text.isascii() and text.isdigit()):
        return None
    # Python rejects numbers of more than 4,300 digits.
    digits = text.lstrip("0") or "0"
    if len(digits) > _MAX_DIGITS:
        return MAX_NUMBER
    return min(int(digits), MAX_NUMBER)
