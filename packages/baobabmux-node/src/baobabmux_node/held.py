"""Requests that this node holds for connected callers."""

import curio
import msgspec

from baobabmux_core import declarations, effects, errors, ids
from baobabmux_node import adapters


class ParsedRequest(msgspec.Struct, frozen=True):
    """A caller's request after it was parsed and checked.

    Attributes:
        request: Identifier inside the system.
        public_id: Identifier that the caller sees.
        route_name: Name of the route.
        route: The route.
        workspace: Workspace of the caller.
        method: HTTP method.
        target: Path and query for the endpoint.
        headers: Header fields for the endpoint.
        body: Body for the endpoint.
        streaming: Whether the answer is sent as events.
        key: Hash of the idempotency key, or None.
        key_time_ms: Time in the key, 0 without a key.
        work: The request as the scheduler receives it.
        arrived: Time of arrival on the node's clock in seconds.
        raw_headers: Header fields for the endpoint in their original order and
            spelling; protocols that forward them unchanged use these instead
            of `headers`.
        last_event: Event after which the caller resumes a stream, or None.
        http_version: Version of HTTP that the caller speaks, such as "1.1".
    """

    request: ids.RequestId
    public_id: str
    route_name: ids.RouteName
    route: declarations.Route
    workspace: ids.Workspace
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    streaming: bool
    key: ids.KeyHash | None
    key_time_ms: int
    work: effects.Work
    arrived: float
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()
    last_event: ids.EventId | None = None
    http_version: str = "1.1"


class CallerGone(effects.Effect, frozen=True):
    """The caller closed its connection."""


class Repeat(effects.Effect, frozen=True):
    """Another attempt holds the key; its answer is this request's answer.

    Attributes:
        request: Identifier of the repeated request.
        winner: Attempt that holds the key.
        holder: Node of that attempt.
        kind: Error to answer with if the holder has no answer or status.
    """

    request: ids.RequestId
    winner: ids.AttemptId
    holder: ids.NodeId
    kind: errors.ErrorKind


class TimedOut(effects.Effect, frozen=True):
    """The route's timeout has passed."""


class NodeEnding(effects.Effect, frozen=True):
    """The node ends too soon to begin what has not begun."""


class AttemptEnded(effects.Effect, frozen=True):
    """An attempt at an endpoint has ended.

    Attributes:
        request: Identifier under which the scheduler granted it.
        result: Its outcome and token counts.
    """

    request: ids.RequestId
    result: adapters.Result


class AnswerSilent(effects.Effect, frozen=True):
    """The endpoint has sent nothing for some time.

    Attributes:
        request: Identifier of the attempt.
        seconds: Time without progress.
    """

    request: ids.RequestId
    seconds: float


class AnswerSlow(effects.Effect, frozen=True):
    """The answer has not begun after a time within which most do.

    Attributes:
        request: Identifier of the attempt.
        seconds: Time since its request was sent.
    """

    request: ids.RequestId
    seconds: float


class AnswerResumed(effects.Effect, frozen=True):
    """The answer of a silent or slow endpoint goes on.

    Attributes:
        request: Identifier of the attempt.
    """

    request: ids.RequestId


class OverlapEnded(effects.Effect, frozen=True):
    """A stream has been at two endpoints for as long as it may.

    Attributes:
        request: Identifier of the attempt at the other endpoint.
    """

    request: ids.RequestId


Decision = (
    effects.Dispatch
    | effects.Refuse
    | CallerGone
    | TimedOut
    | NodeEnding
    | AttemptEnded
    | AnswerSilent
    | AnswerSlow
    | AnswerResumed
    | OverlapEnded
    | Repeat
)


class HeldRequest:
    """One request and the queue of decisions about it.

    Attributes:
        parsed: What the caller sent, parsed and checked.
        dispatched: Whether a byte may have reached an endpoint.
        finished: Whether the final answer is decided.
        endpoint: Endpoint of the latest dispatch, or None.
        first_token_seen: Whether output tokens have arrived.
        may_have_run: Whether an endpoint may have run an earlier attempt.
        backups: Identifiers under which other endpoints were asked for while
            one was silent.
    """

    def __init__(
        self, parsed: ParsedRequest, decisions: curio.Queue | None = None
    ):
        self.parsed = parsed
        self.dispatched = False
        self.finished = False
        self.endpoint: ids.EndpointId | None = None
        self.first_token_seen = False
        self.may_have_run = False
        self.backups: list[ids.RequestId] = []
        self._decisions = curio.Queue() if decisions is None else decisions

    def backup(self) -> "HeldRequest":
        """Returns the same request under another identifier.

        The scheduler takes it for a request of its own. Both share the queue
        of decisions.
        """
        parsed = self.parsed
        name = ids.RequestId(f"{parsed.request}+{len(self.backups) + 1}")
        self.backups.append(name)
        work = msgspec.structs.replace(parsed.work, request=name)
        backup = HeldRequest(
            msgspec.structs.replace(parsed, request=name, work=work),
            self._decisions,
        )
        backup.first_token_seen = self.first_token_seen
        backup.may_have_run = True
        backup.backups = self.backups
        return backup

    async def decide(self, decision: Decision) -> None:
        """Passes a decision to the task that serves the caller."""
        await self._decisions.put(decision)

    async def next_decision(self) -> Decision:
        """Waits for the next decision."""
        return await self._decisions.get()
