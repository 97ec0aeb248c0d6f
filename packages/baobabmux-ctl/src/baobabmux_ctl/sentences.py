"""Events as text for a person."""

import datetime

from baobabmux_core import catalogue, hlc, timeline


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


def title(event: timeline.Event) -> str:
    """Returns the name of an event's kind."""
    kind = catalogue.by_number(event.kind)
    return kind.title if kind else "unknown"


def clock_time(event: timeline.Event) -> str:
    """Returns an event's time in UTC, with milliseconds."""
    moment = datetime.datetime.fromtimestamp(
        hlc.wall_ms(event.hlc) / 1000, datetime.UTC
    )
    return moment.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]
