"""Events as text for a person."""

import datetime

from baobabmux_core import catalogue, hlc, timeline

# The last time that `datetime` can show, in the year 9999.
_MAX_UNIX_SECONDS = 253_402_300_799.0


class _Fields(dict):
    """Fields of an event; one that the node left out is a question mark."""

    def __missing__(self, key: str) -> str:
        return "?"


def sentence(event: timeline.Event) -> str:
    """Returns the catalogue's sentence for an event with its fields."""
    kind = catalogue.by_number(event.kind)
    if kind is None:
        # A newer node records kinds that this version does not know.
        return f"Event {event.kind}: {event.fields}"
    fields = _Fields(event.fields)
    fields.setdefault("endpoint", event.endpoint or "?")
    fields.setdefault("request", event.request or "?")
    return kind.sentence.format_map(fields).strip()


def inputs(event: timeline.Event) -> str:
    """Returns the fields that the sentence leaves out, or the empty string.

    They are what a decision was based on, with ages and versions.
    """
    kind = catalogue.by_number(event.kind)
    if kind is None:
        return ""
    rest = [
        f"{name}={value}"
        for name, value in event.fields.items()
        if f"{{{name}}}" not in kind.sentence and value not in ("", None)
    ]
    return f" ({', '.join(rest)})" if rest else ""


def title(event: timeline.Event) -> str:
    """Returns the name of an event's kind."""
    kind = catalogue.by_number(event.kind)
    return kind.title if kind else "unknown"


def clock_time(event: timeline.Event) -> str:
    """Returns an event's time in UTC, with milliseconds."""
    # A node with a wrong clock must not hide the events of the others.
    seconds = min(hlc.wall_ms(event.hlc) / 1000, _MAX_UNIX_SECONDS)
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
