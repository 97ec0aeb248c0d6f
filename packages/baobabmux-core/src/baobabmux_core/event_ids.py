"""Identifiers of the events of a stream.

An endpoint numbers the events of a stream in increasing order. A caller that
takes the stream up names the last event that it has (Last-Event-ID, HTML
Standard, 9.2). An identifier is passed on as the text that was received: a
number that is cut or rewritten names another event.
"""

from baobabmux_core import ids

MAX_DIGITS = 20
"""Most digits of an identifier, enough for an unsigned number of 64 bits."""


def parse(text: str) -> ids.EventId:
    """Checks the identifier of an event.

    Raises:
        ValueError: The text is not a decimal number of at most `MAX_DIGITS`
            digits.
    """
    if not (text.isascii() and text.isdigit()):
        raise ValueError("the identifier of an event is not a decimal number")
    if len(text) > MAX_DIGITS:
        raise ValueError(
            "the identifier of an event has over"
            f" {MAX_DIGITS} digits: {text[:MAX_DIGITS]}..."
        )
    return ids.EventId(text)


def position(event: ids.EventId) -> int:
    """Returns the number by which the events of a stream are ordered."""
    return int(event)
