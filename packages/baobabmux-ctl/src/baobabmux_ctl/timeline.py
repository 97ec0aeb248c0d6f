"""Command `timeline`: events of several nodes, merged by timestamp."""

import datetime
import pathlib
import re
import time

from absl import flags

from baobabmux_core import timeline
from baobabmux_ctl import command, exits, lanes, nodes, output, sentences

_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86_400}
_SPAN = re.compile(r"(\d+)([smhd])")


class ShowTimeline(command.Command):
    """Prints the merged events of nodes."""

    name = "timeline"
    usage = (
        "(--nodes IP:PORT,… | --logs FOLDER) [--request ID] "
        "[--endpoint ID] [--node NAME] "
        "[--since 5m] [--changes] [--html FILE] [--json]"
    )
    summary = "Shows the recent events of nodes, merged by timestamp."
    details = (
        "Each node keeps a bounded number of recent events, so old ones are\n"
        "missing. docs/events.md lists all kinds."
    )

    def __init__(self):
        super().__init__()
        self._define_nodes()
        self._define_logs()
        define_string = flags.DEFINE_string
        self._define(
            define_string, "request", "", "Only events of this request."
        )
        self._define(
            define_string, "endpoint", "", "Only events of this endpoint."
        )
        self._define(
            define_string, "node", "", "Only events that this node recorded."
        )
        self._define(
            define_string,
            "since",
            "",
            "Only events since this long ago (90s, 5m, 2h, 1d) or since this "
            "time in UTC (2026-12-03T20:15).",
        )
        self._define(
            define_string,
            "html",
            "",
            "Write an HTML page with one lane per node to this file.",
        )
        self._define(
            flags.DEFINE_boolean,
            "changes",
            False,
            "Only events that belong to no request: starts, stops and changes "
            "in the state of nodes, endpoints and the configuration.",
        )

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Prints the events or writes them to an HTML page."""
        if arguments:
            raise self.usage_error("expected no argument")
        since_ms = parse_since(self.flags.since, time.time())
        answers = self._request_timelines(
            self.flags.request,
            self.flags.endpoint,
            since_ms,
        )
        nodes.require_answers(answers)
        events = [
            event
            for event in merged(answers)
            if (not self.flags.node or event.node == self.flags.node)
            and not (self.flags.changes and event.request)
        ]
        if self.flags.html:
            self._write_page(events)
        if self.flags.json:
            output.result_json(
                {"events": events, "unreachable": answers.missing}
            )
        elif not self.flags.html:
            for event in events:
                output.result(_format_event(event))
        return exits.ExitCode.DONE

    def _write_page(self, events: list[timeline.Event]) -> None:
        subject = self.flags.request or self.flags.endpoint or self.flags.node
        heading = f"Timeline of {subject}" if subject else "Timeline"
        path = pathlib.Path(self.flags.html)
        try:
            path.write_text(lanes.page(events, heading), encoding="utf-8")
        except OSError as error:
            raise exits.CommandError(
                exits.ExitCode.FAILED,
                f"--html: {path} cannot be written: {error.strerror}",
            ) from error
        output.note(f"{len(events)} events written to {path}")


def merged(answers: nodes.Answers) -> list[timeline.Event]:
    """Returns the events of all nodes by timestamp, without duplicates."""
    return timeline.merge(
        node_timeline.events for node_timeline in answers.found.values()
    )


def parse_since(text: str, now: float) -> int:
    """Parses the value of `--since`.

    Args:
        text: Span before now, or a time in UTC; empty means no limit.
        now: Unix time in seconds.

    Returns:
        Unix time in milliseconds.

    Raises:
        exits.CommandError: The text is neither a span nor a time.
    """
    if not text:
        return 0
    span = _SPAN.fullmatch(text)
    if span:
        return int((now - int(span[1]) * _SECONDS_BY_UNIT[span[2]]) * 1000)
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        raise exits.CommandError(
            exits.ExitCode.INVALID,
            f'--since: "{text}" is neither a span nor a time '
            "(write it like 5m or 2026-12-03T20:15)",
        ) from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return int(moment.timestamp() * 1000)


def _format_event(event: timeline.Event) -> str:
    subjects = [part for part in (event.request, event.endpoint) if part]
    suffix = f"  [{' '.join(subjects)}]" if subjects else ""
    return (
        f"{sentences.clock_time(event)}  {event.node}  {event.kind}  "
        f"{sentences.sentence(event)}{suffix}"
    )
