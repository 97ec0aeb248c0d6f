"""Inputs and effects of the scheduling decisions."""

import msgspec

from baobabmux_core import errors, ids, messages


class Work(msgspec.Struct, frozen=True):
    """A caller's request, as far as scheduling needs to know it.

    Attributes:
        request: Identifier, unique over all nodes.
        route: Route that it matched.
        service: Service that runs it.
        tier: Rank of its tier, 0 is the highest.
        workspace: Workspace that pays for it.
        deadline: Time on the node's clock in seconds, or None.
        prompt_tokens: Estimated length of the prompt.
        output_tokens: Expected length of the answer.
        prefixes: Prefixes of the prompt, the longest last.
        content: Digest of route and body.
        needs_claim: Whether a claim in the log must precede the dispatch.
        idempotent: Whether a cancelled or broken run does no harm.
        first_by: Time until which the first event is of use, in seconds, or
            None.
        target_by: Time until which the first event is on time, in seconds, or
            None.
        gap_seconds: Longest pause in a stream that callers expect, or None.
        resumable: Whether another endpoint may go on with a stream that has
            begun.
        max_attempts: Endpoints that it may be sent to.
        cost: Units of the workspace's quota that it takes.
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


class Effect(msgspec.Struct, frozen=True):
    """Base of what a decision asks its driver to do."""


class Send(Effect, frozen=True):
    """Send a message to a node; the driver loops back its own."""

    to: ids.NodeId
    message: messages.AnyMessage


class Claim(Effect, frozen=True):
    """Claim the request's key, then call `claim_decided`."""

    request: ids.RequestId


class Dispatch(Effect, frozen=True):
    """Write the request to the endpoint, once.

    The driver calls `start_dispatch` immediately before the first byte; only
    if that returns True may it write.
    """

    request: ids.RequestId
    endpoint: ids.EndpointId


class Refuse(Effect, frozen=True):
    """Answer the caller that the request was not run."""

    request: ids.RequestId
    kind: errors.ErrorKind
    retry_after: float | None
    detail: str | None = None
