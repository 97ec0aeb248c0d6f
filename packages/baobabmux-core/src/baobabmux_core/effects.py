"""Requests that the scheduler accepts and effects that it returns."""

import msgspec

from baobabmux_core import errors, ids, messages


class Work(msgspec.Struct, frozen=True):
    """The properties of a caller's request that scheduling uses.

    Attributes:
        request: Identifier, unique over all nodes.
        route: Route that it matched.
        service: Service that runs it.
        tier: Rank of its tier, 0 is the highest.
        workspace: Workspace whose quota is charged.
        deadline: Time on the node's clock in seconds, or None.
        prompt_tokens: Estimated length of the prompt.
        output_tokens: Expected length of the answer.
        prefixes: Prefixes of the prompt, the longest last.
        content: Digest of route and body.
        parts: Parts of the prompt that other requests may share.
        needs_claim: Whether a claim in the log must precede the dispatch.
        idempotent: Whether it may run again after a failed attempt.
        first_by: Time after which the first event is useless to the caller,
            in seconds, or None.
        target_by: Time after which the first event misses its target, in
            seconds, or None.
        gap_seconds: Longest pause within a stream that callers expect, or
            None.
        resumable: Whether another endpoint may resume a stream that broke off
            after its first event.
        max_attempts: Maximum number of attempts, the first one included.
        cost: Units of the workspace's quota that it uses.
        stream: Key by which its stream can be taken up again, or None if it is
            no stream.
        resumes: Key of the stream that it takes up, or None.
        version: Version of endpoints that began that stream, or None if it
            takes up no stream or the version is not known yet.
        timeout_seconds: Timeout of the route that admitted it, or None to take
            that of the route in force.
    """

    request: ids.RequestId
    route: ids.RouteName
    service: ids.ServiceName
    tier: int
    workspace: ids.Workspace
    deadline: float | None
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[messages.PrefixPart, ...] = ()
    content: ids.ContentDigest = ids.ContentDigest(0)
    needs_claim: bool = False
    idempotent: bool = True
    first_by: float | None = None
    target_by: float | None = None
    gap_seconds: float | None = None
    resumable: bool = False
    max_attempts: int = 1
    cost: int = 0
    stream: ids.StreamKey | None = None
    resumes: ids.StreamKey | None = None
    version: str | None = None
    parts: tuple[ids.PartDigest, ...] = ()
    timeout_seconds: float | None = None


class Effect(msgspec.Struct, frozen=True):
    """Base class of the actions that a decision asks its driver for."""


class Send(Effect, frozen=True):
    """Send a message to a node.

    The driver loops back messages to its own node.
    """

    to: ids.NodeId
    message: messages.AnyMessage


class Claim(Effect, frozen=True):
    """Claim the request's key, then call `claim_decided`."""

    request: ids.RequestId


class Dispatch(Effect, frozen=True):
    """Write the request to the endpoint, once.

    The driver calls `start_dispatch` immediately before the first byte and
    writes only if that returns True.

    Attributes:
        request: Request that was granted.
        endpoint: Endpoint that it may use.
        own_share: Whether the node granted it from its own share, because the
            owner is unresponsive.
    """

    request: ids.RequestId
    endpoint: ids.EndpointId
    own_share: bool = False


class Refuse(Effect, frozen=True):
    """Answer the caller that the request was not run."""

    request: ids.RequestId
    kind: errors.ErrorKind
    retry_after: float | None
    detail: str | None = None
