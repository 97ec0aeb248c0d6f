"""Command `explain`: what happened to one request, in sentences."""

from collections.abc import Iterable, Sequence

import msgspec

from baobabmux_core import catalogue, errors, hlc, states, timeline
from baobabmux_ctl import command, exits, nodes, output, sentences
from baobabmux_ctl import timeline as timelines

_Kind = catalogue.EventKind

# Kinds of events that belong to no single request but may explain what happened
# to one: those of the node that held it and those of its endpoints.
_HOLDER_KINDS = frozenset(
    kind.number
    for kind in (
        _Kind.NODE_STARTED,
        _Kind.SHUTDOWN_STARTED,
        _Kind.SHUTDOWN_ENDED,
        _Kind.PAUSE_NOTICED,
    )
)
_ENDPOINT_KINDS = frozenset(
    kind.number
    for kind in (
        _Kind.ENDPOINT_DRAINED,
        _Kind.BREAKER_CHANGED,
        _Kind.CONTENT_SUSPECTED,
    )
)

# Related events are shown up to this long after the request's last event,
# because a crashed holder is suspected only some seconds later.
_RELATED_AFTER_LAST_EVENT_MS = 20_000
# The same once the caller has been answered: only events that were noticed
# immediately can still explain the answer.
_RELATED_AFTER_ANSWER_MS = 1_000


class Explanation(msgspec.Struct, frozen=True):
    """History and outcome of a request.

    Attributes:
        request: Identifier that the operator gave.
        holder: Node that held the request, or None if unknown.
        run_status: Value of `states.RunStatus`.
        conclusion: One sentence about the outcome.
        events: Events of the request and related ones, in order.
    """

    request: str
    holder: str | None
    run_status: str
    conclusion: str
    events: list[timeline.Event]


class Explain(command.Command):
    """Explains a request from the events of all nodes."""

    name = "explain"
    usage = "REQUEST (--nodes IP:PORT,… | --logs FOLDER) [--json]"
    summary = "Explains in sentences what happened to one request."
    details = (
        "REQUEST is the identifier that the caller sent or received in the\n"
        "header Baobabmux-Request-Id. Name all nodes: if the node that held\n"
        "the request has crashed, the others still have their events of it,\n"
        "but only under the identifier that this node assigned (in its log)."
    )

    def __init__(self):
        super().__init__()
        self._define_nodes()
        self._define_logs()

    def run(self, arguments: list[str]) -> exits.ExitCode:
        """Prints the events and the conclusion."""
        request = self._single_argument(arguments, "request")
        answers = self._request_timelines(request)
        nodes.require_answers(answers)
        found = timelines.merged(answers)
        if not found:
            raise exits.CommandError(
                exits.ExitCode.FAILED,
                f'no node that answered has events of request "{request}" '
                "(nodes keep recent events only; name all nodes)",
            )
        since_ms = hlc.wall_ms(found[0].hlc)
        surrounding_events = self._request_timelines(since_ms=since_ms)
        explanation = explain_request(
            request, found, timelines.merged(surrounding_events)
        )
        self._print(explanation, answers.missing)
        return exits.ExitCode.DONE

    def _print(self, explanation: Explanation, missing: dict[str, str]) -> None:
        if self.flags.json:
            output.result_json(
                {**msgspec.to_builtins(explanation), "unreachable": missing}
            )
            return
        start = hlc.wall_ms(explanation.events[0].hlc)
        output.result(
            f"Request {explanation.request}, from "
            f"{sentences.clock_time(explanation.events[0])} UTC:"
        )
        for event in explanation.events:
            seconds = (hlc.wall_ms(event.hlc) - start) / 1000
            output.result(
                f"  +{seconds:8.3f} s  {event.node}: "
                f"{sentences.sentence(event)}{sentences.inputs(event)}"
            )
        output.result(f"Conclusion: {explanation.conclusion}")


def explain_request(
    request: str,
    request_events: Sequence[timeline.Event],
    surrounding_events: Iterable[timeline.Event],
) -> Explanation:
    """Selects related events and concludes whether the request ran.

    Args:
        request: Identifier that the operator gave.
        request_events: All events of the request, in order; at least one.
        surrounding_events: All events of the nodes since the first of them.
    """
    holder = _holder(request_events)
    endpoints = {event.endpoint for event in request_events} - {""}
    answered = _conclude_from_holder(request_events) is not None
    related_ms = (
        _RELATED_AFTER_ANSWER_MS if answered else _RELATED_AFTER_LAST_EVENT_MS
    )
    last_ms = hlc.wall_ms(request_events[-1].hlc) + related_ms
    related = [
        event
        for event in surrounding_events
        if hlc.wall_ms(event.hlc) <= last_ms
        and _is_related(event, holder, endpoints)
    ]
    status, conclusion = _conclude(request_events, related, holder)
    return Explanation(
        request,
        holder,
        status.value,
        conclusion,
        timeline.merge([request_events, related]),
    )


def _holder(request_events: Iterable[timeline.Event]) -> str | None:
    for event in request_events:
        if event.kind == _Kind.REQUEST_RECEIVED.number:
            return event.node
        if "holder" in event.fields and event.kind // 100 == 3:
            return str(event.fields["holder"])
    return None


def _is_related(
    event: timeline.Event, holder: str | None, endpoints: set[str]
) -> bool:
    if event.kind == _Kind.MEMBER_CHANGED.number:
        return event.fields.get("peer") == holder
    if event.kind in _HOLDER_KINDS:
        return event.node == holder
    return event.kind in _ENDPOINT_KINDS and event.endpoint in endpoints


def _conclude(
    request_events: Sequence[timeline.Event],
    related: Sequence[timeline.Event],
    holder: str | None,
) -> tuple[states.RunStatus, str]:
    finding = _conclude_from_holder(request_events)
    if finding is not None:
        return finding
    lost = _describe_loss(related, holder)
    finding = _conclude_from_owner(request_events, lost)
    if finding is not None:
        return finding
    if lost:
        return states.RunStatus.UNKNOWN, (
            "No node that answered granted it an endpoint, so it did not run "
            f"unless the node that granted one is lost as well. {lost}"
        )
    return states.RunStatus.NOT_RUN, (
        "According to the nodes that answered, it has not run so far."
    )


def _conclude_from_holder(
    request_events: Sequence[timeline.Event],
) -> tuple[states.RunStatus, str] | None:
    for event in reversed(request_events):
        if event.kind == _Kind.REQUEST_DISPATCHED.number:
            return None  # The latest attempt has not ended.
        if event.kind == _Kind.REQUEST_REFUSED.number:
            return _describe_refusal(
                str(event.fields.get("error")), request_events
            )
        if event.kind == _Kind.ATTEMPT_ENDED.number:
            outcome = str(event.fields.get("outcome"))
            return _describe_end(outcome, event.endpoint)
        if event.kind == _Kind.REQUEST_REPEATED.number:
            winner = event.fields.get("winner", "?")
            return states.RunStatus.UNKNOWN, (
                "It repeats the key of an earlier request; "
                f"`explain {winner}` shows whether that one ran."
            )
    return None


def _conclude_from_owner(
    request_events: Sequence[timeline.Event], lost: str
) -> tuple[states.RunStatus, str] | None:
    for event in reversed(request_events):
        if event.kind == _Kind.RELEASE_RECEIVED.number:
            status, line = _describe_end(
                str(event.fields.get("outcome")), event.endpoint
            )
            if lost:
                line += (
                    " Its holder stopped responding; no node that answered "
                    "recorded whether the caller received the whole answer."
                )
            return status, line
        if event.kind == _Kind.REFUSAL_SENT.number:
            # The holder may have asked another owner before it was lost.
            status = (
                states.RunStatus.UNKNOWN if lost else states.RunStatus.NOT_RUN
            )
            return status, (
                f"The owner refused it: {event.fields.get('error')}. {lost}"
            ).strip()
        if event.kind == _Kind.REQUEST_DISPATCHED.number:
            return states.RunStatus.RUNNING, (
                f"It was sent to {event.endpoint} and no end is known. {lost}"
            ).strip()
        if event.kind == _Kind.GRANT_SENT.number:
            status = (
                states.RunStatus.UNKNOWN if lost else states.RunStatus.RUNNING
            )
            return status, (
                f"It was granted {event.endpoint}; no node that answered "
                f"recorded whether it was sent there. {lost}"
            ).strip()
    return None


def _describe_refusal(
    error: str, request_events: Sequence[timeline.Event]
) -> tuple[states.RunStatus, str]:
    try:
        answer = errors.ANSWERS[errors.ErrorKind(error)]
    except ValueError:
        return states.RunStatus.UNKNOWN, f"It was refused with {error}."
    status = answer.run_status
    line = f"The caller was answered with {error}: {answer.title}"
    if status is states.RunStatus.NOT_RUN:
        sent = any(
            e.kind == _Kind.REQUEST_DISPATCHED.number for e in request_events
        )
        line += "" if sent else " It was not run."
    return status, line


def _describe_end(outcome: str, endpoint: str) -> tuple[states.RunStatus, str]:
    lines = {
        "completed": (states.RunStatus.DONE, "It ran at {} and completed."),
        "failed": (states.RunStatus.DONE, "It ran at {} and failed there."),
        "cancelled": (
            states.RunStatus.UNKNOWN,
            "It was cancelled at {} because its caller had gone.",
        ),
        "not_sent": (
            states.RunStatus.NOT_RUN,
            "No byte of it reached {}, so it did not run there.",
        ),
        "rejected": (
            states.RunStatus.NOT_RUN,
            "Endpoint {} rejected it without running it.",
        ),
        "broken": (
            states.RunStatus.UNKNOWN,
            "The answer of {} was interrupted; whether it ran is unknown.",
        ),
        "garbage": (
            states.RunStatus.UNKNOWN,
            "The answer of {} violated its protocol; whether it ran is "
            "unknown.",
        ),
    }
    status, line = lines.get(
        outcome, (states.RunStatus.UNKNOWN, f"It ended at {{}}: {outcome}.")
    )
    return status, line.format(endpoint)


def _describe_loss(
    related: Sequence[timeline.Event], holder: str | None
) -> str:
    """Returns a sentence about the holder's loss, or the empty string.

    The holder counts as lost if another node last saw it suspect or gone.
    """
    lost = (states.MemberState.SUSPECT.value, states.MemberState.GONE.value)
    state = None
    for event in related:
        if event.kind == _Kind.MEMBER_CHANGED.number:
            state = str(event.fields.get("state"))
    if state not in lost:
        return ""
    return (
        f"Node {holder}, which held it, stopped responding, so its caller's "
        "connection was lost; a repeat with the same idempotency key is safe."
    )
