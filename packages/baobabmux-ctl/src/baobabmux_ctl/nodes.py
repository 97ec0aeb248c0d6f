"""Client of the nodes' admin API."""

import concurrent.futures
import urllib.parse
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, TypeVar

import msgspec

from baobabmux_core import timeline
from baobabmux_ctl import exits, output, transport

_PARALLEL_CALLS = 16

Result = TypeVar("Result")


class EndpointStatus(msgspec.Struct, frozen=True):
    """State of an endpoint, reported by the owner of its group."""

    endpoint: str
    outstanding_requests: int = 0
    outstanding_tokens: int = 0
    breaker: str = ""
    drained: bool = False
    decode_tokens_per_second: float = 0.0
    prefill_tokens_per_second: float = 0.0
    speed_age_seconds: float | None = None
    first_event_error: float | None = None


class GroupStatus(msgspec.Struct, frozen=True):
    """State of a group that a node owns."""

    group: str
    queue_requests: int = 0
    queue_tokens: int = 0
    queue_by_tier: dict[str, int] = {}
    wait_seconds: float = 0.0
    endpoints: list[EndpointStatus] = []


class NodeStatus(msgspec.Struct, frozen=True):
    """Answer to GET /status; newer nodes may add fields, which are ignored.

    Builds before revision 6 state no `revision`, it is 0.
    """

    node: str
    data_centre: str
    state: str
    ready: bool = True
    config_version: int = -1
    config_through: int = -1
    preset: str | None = None
    log_reachable: bool = True
    members: dict[str, str] = {}
    groups: list[GroupStatus] = []
    held: int = 0
    timeline_events: int = 0
    revision: int = 0
    ability: int = 0


class NodeTimeline(msgspec.Struct, frozen=True):
    """Answer to GET /timeline."""

    node: str
    events: list[timeline.Event]


class Answers(NamedTuple):
    """Answers of several nodes.

    Attributes:
        found: Answers by address.
        missing: Error message by address, for nodes without an answer.
        code: Exit code if no node answered.
    """

    found: dict[str, Any]
    missing: dict[str, str]
    code: exits.ExitCode = exits.ExitCode.UNREACHABLE


class _AnswerError(Exception):
    """A node sent an unexpected answer."""


class _RefusedError(_AnswerError):
    """A node rejected the call as invalid; it had no effect."""


_REMEDIES = {
    exits.ExitCode.UNREACHABLE: "check that --nodes lists admin addresses",
    exits.ExitCode.UNKNOWN: "it may have taken effect; repeat the command",
    exits.ExitCode.INVALID: "correct the command",
}


def statuses(addresses: Sequence[transport.Address]) -> Answers:
    """Fetches the status of nodes."""
    return _call_all(addresses, lambda address: _get(address, "/status"))


def timelines(
    addresses: Sequence[transport.Address],
    request: str = "",
    endpoint: str = "",
    since_ms: int = 0,
) -> Answers:
    """Fetches the matching events of nodes; empty filters match all."""
    query = urllib.parse.urlencode(
        {"request": request, "endpoint": endpoint, "since": since_ms}
    )
    target = f"/timeline?{query}"
    return _call_all(addresses, lambda address: _get(address, target))


def request_timelines(
    addresses: Sequence[transport.Address],
    request: str,
    endpoint: str = "",
    since_ms: int = 0,
) -> Answers:
    """Fetches the events of one request.

    Only the holder records the caller's identifier; other nodes record the
    identifier that the holder assigned. If `request` is the caller's, the
    events are fetched again by the holder's.
    """
    answers = timelines(addresses, request, endpoint, since_ms)
    if not request:
        return answers
    names = {
        event.request
        for node_timeline in answers.found.values()
        for event in node_timeline.events
    } - {request, ""}
    if not names and endpoint:
        # Only the arrival event has both identifiers, and the filter for the
        # endpoint excludes it.
        arrivals = timelines(addresses, request, since_ms=since_ms)
        names = {
            event.request
            for node_timeline in arrivals.found.values()
            for event in node_timeline.events
        } - {request, ""}
    for name in sorted(names):
        more = timelines(addresses, name, endpoint, since_ms)
        for address, found in more.found.items():
            answers.found[f"{address} {name}"] = found
    return answers


def drain(
    addresses: Sequence[transport.Address], endpoint: str, draining: bool
) -> Answers:
    """Starts or ends the draining of an endpoint at nodes.

    The call is idempotent, and each node forwards it to the others.
    """
    body = msgspec.json.encode({"endpoint": endpoint, "drain": draining})
    return _call_all(
        addresses,
        lambda address: _post(address, "/drain", body),
        changes=True,
    )


def require_answers(answers: Answers) -> None:
    """Prints an error line for each node that did not answer.

    Raises:
        exits.CommandError: No node answered.
    """
    lines = [f"node at {a}: {reason}" for a, reason in answers.missing.items()]
    if answers.found:
        for line in lines:
            output.error(f"{line} (not in the result)")
        return
    raise exits.CommandError(
        answers.code, f"{'; '.join(lines)} ({_REMEDIES[answers.code]})"
    )


def _call_all(
    addresses: Sequence[transport.Address],
    call_node: Callable[[transport.Address], Result],
    changes: bool = False,
) -> Answers:
    """Calls all nodes in parallel.

    Args:
        addresses: Addresses of the nodes.
        call_node: Calls one node.
        changes: Whether the call changes state, so that its outcome is
            unknown if the answer is lost.
    """
    found: dict[str, Any] = {}
    failed: dict[str, Exception] = {}
    workers = min(len(addresses), _PARALLEL_CALLS)
    with (
        output.progress(f"querying {len(addresses)} nodes"),
        concurrent.futures.ThreadPoolExecutor(workers) as pool,
    ):
        submitted = {str(a): pool.submit(call_node, a) for a in addresses}
        for address, future in submitted.items():
            try:
                found[address] = future.result()
            except (
                transport.NotSentError,
                transport.AnswerLostError,
                _AnswerError,
            ) as error:
                failed[address] = error
    missing = {address: str(error) for address, error in failed.items()}
    return Answers(found, missing, _failure_code(failed.values(), changes))


def _failure_code(failed: Iterable[Exception], changes: bool) -> exits.ExitCode:
    failed = list(failed)
    if any(isinstance(error, _RefusedError) for error in failed):
        return exits.ExitCode.INVALID
    sent = any(
        not isinstance(error, transport.NotSentError) for error in failed
    )
    if changes and sent:
        return exits.ExitCode.UNKNOWN
    return exits.ExitCode.UNREACHABLE


def _get(address: transport.Address, target: str) -> Any:
    schema = NodeStatus if target == "/status" else NodeTimeline
    answer = transport.call(address, "GET", target)
    if answer.status != 200:
        raise _AnswerError(f"answered {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=schema)
    except msgspec.DecodeError as error:
        raise _AnswerError(f"bad answer: {error}") from error


def _post(address: transport.Address, target: str, body: bytes) -> bool:
    answer = transport.call(address, "POST", target, body)
    if answer.status == 200:
        return True
    if 400 <= answer.status < 500:
        raise _RefusedError(_detail(answer))
    raise _AnswerError(f"answered {answer.status}")


def _detail(answer: transport.Response) -> str:
    try:
        problem = msgspec.json.decode(answer.body)
        return str(problem.get("detail") or problem["title"])
    except (msgspec.DecodeError, AttributeError, KeyError):
        return f"answered {answer.status}"
