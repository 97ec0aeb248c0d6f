"""Renders events as a self-contained HTML page with one lane per node."""

import html
from collections.abc import Sequence

from baobabmux_core import catalogue, timeline
from baobabmux_ctl import sentences

# Colour of each part of the catalogue, by the hundreds digit of the number.
_COLOURS = {
    1: "#616161",
    2: "#1565c0",
    3: "#6a1b9a",
    4: "#ef6c00",
    5: "#00838f",
    6: "#2e7d32",
    7: "#c62828",
    8: "#4e342e",
    9: "#ad1457",
}

_STYLE = """
body { font: 14px sans-serif; margin: 1em; color: #212121; }
.lanes { display: grid; gap: 2px 8px; }
.head { font-weight: bold; position: sticky; top: 0; background: #fff;
  padding: 4px; border-bottom: 2px solid #212121; }
.time { font-family: monospace; color: #616161; white-space: nowrap; }
.event { border-left: 4px solid; padding: 1px 6px; background: #f5f5f5; }
.of { color: #616161; font-size: 12px; }
.key span { border-left: 4px solid; padding: 0 12px 0 4px; }
"""


def page(events: Sequence[timeline.Event], heading: str) -> str:
    """Returns the page.

    Args:
        events: Events in order of their timestamps.
        heading: Title of the page.
    """
    names = sorted({event.node for event in events})
    columns = f"max-content repeat({max(len(names), 1)}, minmax(12em, 1fr))"
    heads = "".join(
        f'<div class="head">{html.escape(name)}</div>'
        for name in ("time (UTC)", *names)
    )
    rows = "".join(_row(event, names) for event in events)
    title = html.escape(heading)
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head><meta charset="utf-8">'
        f"<title>{title}</title><style>{_STYLE}</style></head>\n"
        f"<body><h1>{title}</h1>\n{_legend()}\n"
        f'<div class="lanes" style="grid-template-columns: {columns}">'
        f"{heads}\n{rows}</div>\n</body>\n</html>\n"
    )


def _row(event: timeline.Event, names: Sequence[str]) -> str:
    column = names.index(event.node) + 2
    colour = _COLOURS.get(event.kind // 100, "#212121")
    subjects = " ".join(
        part for part in (event.request, event.endpoint) if part
    )
    return (
        f'<div class="time" style="grid-column: 1">'
        f"{sentences.clock_time(event)}</div>"
        f'<div class="event" style="grid-column: {column}; '
        f'border-color: {colour}" title="{event.kind} '
        f'{html.escape(sentences.title(event))}">'
        f"{html.escape(sentences.sentence(event))} "
        f'<span class="of">{html.escape(subjects)}</span></div>\n'
    )


def _legend() -> str:
    spans = "".join(
        f'<span style="border-color: {_COLOURS[number]}">'
        f"{html.escape(part)}</span>"
        for number, part in catalogue.PARTS.items()
    )
    return f'<p class="key">{spans}</p>'
