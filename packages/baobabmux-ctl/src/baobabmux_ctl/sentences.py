"""Formatting of events as readable text."""

import datetime

from baobabmux_core import catalogue, hlc, timeline

# Latest Unix time that `datetime` can represent, at the end of the year 9999.
_MAX_UNIX_SECONDS = 253_402_300_799.0


class _Fields(dict):
    """Fields of an event; a missing field is shown as a question mark."""

    def __missing__(self, key: str) -> str:
        return "?"


def sentence(event: timeline.Event) -> str:
    """Returns the catalogue's sentence with the event's fields filled in."""
    kind = catalogue.by_number(event.kind)
    if kind is None:
        # A newer node may record kinds that this version does not have.
        return f"Event {event.kind}: {event.fields}"
    fields = _Fields(event.fields)
    fields.setdefault("endpoint", event.endpoint or "?")
    fields.setdefault("request", event.request or "?")
    return kind.sentence.format_map(fields).strip()


def inputs(event: timeline.Event) -> str:
    """Returns the fields that the sentence omits, or the empty string.

    These are the inputs of a decision, with their ages and versions.
    """
    kind = catalogue.by_number(event.kind)
    if kind is None:
        return ""
    omitted = [
        f"{name}={value}"
        for name, value in event.fields.items()
        if f"{{{name}}}" not in kind.sentence and value not in ("", None)
    ]
    return f" ({', '.join(omitted)})" if omitted else ""


def title(event: timeline.Event) -> str:
    """Returns the name of an event's kind."""
    kind = catalogue.by_number(event.kind)
    return kind.title if kind else "unknown"


def clock_time(event: timeline.Event) -> str:
    """Returns an event's time in UTC with milliseconds."""
    # Clamped, because a timestamp from a wrong clock must not raise and so hide
    # the events of other nodes.
    seconds = min(hlc.wall_ms(event.hlc) / 1000, _MAX_UNIX_SECONDS)
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
