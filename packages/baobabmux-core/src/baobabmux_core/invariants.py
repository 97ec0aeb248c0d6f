"""Invariants of durable state as queries over what happened.

State machines of the core and process tests record the same facts and call
the same queries. Each query returns one line for each violation, so an empty
list means that the invariant held. Facts are in the order in which they
happened, unless a query says otherwise.
"""

import collections
import math
from collections.abc import Iterable, Iterator

import msgspec

from baobabmux_core import configuration, errors, ids, states


class Fact(msgspec.Struct, frozen=True):
    """Base of everything that can be recorded."""


class Dispatched(Fact, frozen=True):
    """A holder wrote the first byte of a request to an endpoint.

    Attributes:
        request: Request that was written.
        attempt: Attempt that it was written for.
        key: Key of a non-idempotent request, or None.
        node: Holder.
        at: Time in seconds.
        endpoint: Endpoint that it was written to.
        lease_until: End of the grant's lease.
        deadline: Latest end of the request.
    """

    request: ids.RequestId
    attempt: ids.AttemptId
    key: ids.KeyHash | None = None
    node: ids.NodeId = ids.NodeId("")
    at: float = 0.0
    endpoint: ids.EndpointId = ids.EndpointId("")
    lease_until: float = math.inf
    deadline: float = math.inf


class Produced(Fact, frozen=True):
    """An endpoint completed an attempt.

    Attributes:
        attempt: Attempt that it completed.
        content: Digest of the complete answer.
    """

    attempt: ids.AttemptId
    content: ids.ContentDigest


class Answered(Fact, frozen=True):
    """A caller received a complete answer.

    Attributes:
        request: The caller's request.
        attempt: Attempt that it asked for: its own, or for a repeated send
            that of the first request with its key.
        content: Digest of the answer.
    """

    request: ids.RequestId
    attempt: ids.AttemptId
    content: ids.ContentDigest


class Refused(Fact, frozen=True):
    """A caller received a refusal.

    Attributes:
        request: The caller's request.
        run_status: What the refusal said about its execution.
    """

    request: ids.RequestId
    run_status: states.RunStatus


class ClaimDecided(Fact, frozen=True):
    """A node took a claim as decided.

    Attributes:
        key: Hash of the key.
        winner: Attempt that holds the key.
        node: Node that decided.
    """

    key: ids.KeyHash
    winner: ids.AttemptId
    node: ids.NodeId


class ClaimReleased(Fact, frozen=True):
    """The winner withdrew, so that the key may be claimed again."""

    key: ids.KeyHash
    attempt: ids.AttemptId


class ConfigurationAccepted(Fact, frozen=True):
    """The log took a publication that the fold accepts.

    Attributes:
        version: Its offset.
        at: Time in seconds.
    """

    version: int
    at: float


class ConfigurationApplied(Fact, frozen=True):
    """A node took a version into force.

    Attributes:
        node: The node.
        version: Version in force from now on.
        digest: Digest of the tables in force.
        at: Time in seconds.
    """

    node: ids.NodeId
    version: int
    digest: int
    at: float = 0.0


class VerdictReported(Fact, frozen=True):
    """A node told an operator how its publication was decided."""

    node: ids.NodeId
    operation: str
    kind: configuration.VerdictKind


class OrderApplied(Fact, frozen=True):
    """An endpoint took an order into force.

    Attributes:
        endpoint: The endpoint.
        subject: What the order sets, such as a model or an adapter.
        value: State that it sets, such as a version.
        fence: Fencing number of the lease under which it was sent.
    """

    endpoint: ids.EndpointId
    subject: str
    value: str
    fence: int


class OrderSent(Fact, frozen=True):
    """A holder of an order lease sent an order.

    Attributes:
        node: The holder.
        fence: Fencing number of its lease.
        at: Time in seconds.
        lease_until: End of its lease.
    """

    node: ids.NodeId
    fence: int
    at: float
    lease_until: float


class Shed(Fact, frozen=True):
    """An owner refused a request because its queue was full.

    Attributes:
        request: The request.
        tier: Rank of its tier, 0 is the highest.
        lowest_waiting: Rank of the lowest tier that still waited, or None.
    """

    request: ids.RequestId
    tier: int
    lowest_waiting: int | None


class EndpointClosed(Fact, frozen=True):
    """An endpoint was closed, drained or listed as leaving.

    Attributes:
        endpoint: The endpoint.
        at: Time in seconds.
    """

    endpoint: ids.EndpointId
    at: float


class EndpointOpened(Fact, frozen=True):
    """A closed endpoint was opened for new work again."""

    endpoint: ids.EndpointId
    at: float


class ShutdownStarted(Fact, frozen=True):
    """A planned stop of a node began.

    Attributes:
        node: The node.
        held: Requests that it held and whose callers were connected to it.
    """

    node: ids.NodeId
    held: tuple[ids.RequestId, ...]


class Ended(Fact, frozen=True):
    """A caller received the final response to its request.

    Attributes:
        request: The caller's request.
        kind: Why it was refused or failed, or None for a complete answer.
    """

    request: ids.RequestId
    kind: errors.ErrorKind | None = None


def dispatched_at_most_once(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 1: no request is dispatched twice."""
    counts = collections.Counter(
        fact.request for fact in _of(facts, Dispatched)
    )
    return [
        f"request {request} was dispatched {count} times"
        for request, count in counts.items()
        if count > 1
    ]


def dispatches_are_permitted(facts: Iterable[Fact]) -> list[str]:
    """Checks that no request is dispatched after its lease or deadline.

    After the lease the owner may have counted the slot as free, and after
    the deadline a refusal as not run may be on its way to the caller.
    """
    return [
        f"request {fact.request} was dispatched at {fact.at}; its lease ended "
        f"at {fact.lease_until} and its deadline was {fact.deadline}"
        for fact in _of(facts, Dispatched)
        if fact.at >= min(fact.lease_until, fact.deadline)
    ]


def lower_tiers_are_shed_first(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 2: no tier is shed while a lower one waits."""
    return [
        f"request {fact.request} of tier {fact.tier} was shed while tier "
        f"{fact.lowest_waiting} waited"
        for fact in _of(facts, Shed)
        if fact.lowest_waiting is not None and fact.lowest_waiting > fact.tier
    ]


def answers_are_own_and_complete(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 3: an answer is that of the attempt asked for."""
    facts = list(facts)
    produced = {fact.attempt: fact.content for fact in _of(facts, Produced)}
    return [
        f"request {fact.request} received content {fact.content} for attempt "
        f"{fact.attempt}, which produced {produced.get(fact.attempt)}"
        for fact in _of(facts, Answered)
        if produced.get(fact.attempt) != fact.content
    ]


def not_run_requests_never_run(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 4: a request refused as not run never runs."""
    facts = list(facts)
    dispatched = {fact.request for fact in _of(facts, Dispatched)}
    return [
        f"request {fact.request} was refused as not run but was dispatched"
        for fact in _of(facts, Refused)
        if fact.run_status is states.RunStatus.NOT_RUN
        and fact.request in dispatched
    ]


def keys_run_at_most_once(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 5: no key of a non-idempotent route runs twice."""
    attempts = collections.defaultdict(list)
    for fact in _of(facts, Dispatched):
        if fact.key is not None:
            attempts[fact.key].append(fact.attempt)
    return [
        f"key {key} ran as {', '.join(runs)}"
        for key, runs in attempts.items()
        if len(runs) > 1
    ]


def claims_agree(facts: Iterable[Fact]) -> list[str]:
    """Checks that a key has one winner at a time, whoever decides.

    A winner that withdrew may be told late by a node that read less, but it
    is never told as the winner once another attempt has won.
    """
    released = set()
    winners: dict[ids.KeyHash, ids.AttemptId] = {}
    violations = []
    for fact in facts:
        if isinstance(fact, ClaimReleased):
            released.add((fact.key, fact.attempt))
        elif isinstance(fact, ClaimDecided):
            known = winners.get(fact.key, fact.winner)
            if (
                known != fact.winner
                and (fact.key, known) not in released
                and (fact.key, fact.winner) not in released
            ):
                violations.append(
                    f"key {fact.key} is held by {known}, but {fact.node} "
                    f"decided for {fact.winner}"
                )
            if (fact.key, fact.winner) not in released:
                winners[fact.key] = fact.winner
    return violations


def closed_endpoints_get_no_work(
    facts: Iterable[Fact], within_seconds: float
) -> list[str]:
    """Checks invariant 6: no dispatch to an endpoint that is closed.

    Args:
        facts: What happened.
        within_seconds: Time for grants that were sent before it was closed.
    """
    closed: dict[ids.EndpointId, float] = {}
    violations = []
    for fact in facts:
        if isinstance(fact, EndpointClosed):
            closed.setdefault(fact.endpoint, fact.at)
        elif isinstance(fact, EndpointOpened):
            closed.pop(fact.endpoint, None)
        elif isinstance(fact, Dispatched):
            since = closed.get(fact.endpoint, math.inf)
            if fact.at > since + within_seconds:
                violations.append(
                    f"request {fact.request} was dispatched at {fact.at} to "
                    f"{fact.endpoint}, which was closed at {since}"
                )
    return violations


def planned_shutdowns_are_graceful(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 7: what a stopping node held ends as usual.

    The facts must reach to the end of the stop. A request may still be
    refused for a reason of its own, such as its deadline.
    """
    facts = list(facts)
    ended = {fact.request: fact.kind for fact in _of(facts, Ended)}
    violations = []
    for stop in _of(facts, ShutdownStarted):
        for request in stop.held:
            if request not in ended:
                violations.append(
                    f"request {request} got no response when {stop.node} "
                    f"stopped"
                )
            elif ended[request] is errors.ErrorKind.SHUTTING_DOWN:
                violations.append(
                    f"request {request}, which {stop.node} held, was refused "
                    f"because of its stop"
                )
    return violations


def configuration_never_reverts(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 8: versions only grow and mean the same everywhere."""
    versions: dict[ids.NodeId, int] = {}
    digests: dict[int, int] = {}
    violations = []
    for fact in _of(facts, ConfigurationApplied):
        before = versions.get(fact.node, -1)
        if fact.version < before:
            violations.append(
                f"{fact.node} went from version {before} to {fact.version}"
            )
        versions[fact.node] = fact.version
        if digests.setdefault(fact.version, fact.digest) != fact.digest:
            violations.append(
                f"{fact.node} has other tables for version {fact.version}"
            )
    return violations


def configuration_is_active(
    facts: Iterable[Fact],
    nodes: Iterable[ids.NodeId],
    within_seconds: float,
    until: float,
) -> list[str]:
    """Checks invariant 8: an accepted version is active within a bound.

    Args:
        facts: What happened.
        nodes: Nodes that were up and in reach for the whole time.
        within_seconds: The bound.
        until: End of the record; later versions cannot be judged.
    """
    facts = list(facts)
    nodes = list(nodes)
    violations = []
    for accepted in _of(facts, ConfigurationAccepted):
        limit = accepted.at + within_seconds
        if limit > until:
            continue
        reached = {
            fact.node
            for fact in _of(facts, ConfigurationApplied)
            if fact.version >= accepted.version and fact.at <= limit
        }
        violations.extend(
            f"{node} had not reached version {accepted.version} after "
            f"{within_seconds} s"
            for node in nodes
            if node not in reached
        )
    return violations


def verdicts_agree(facts: Iterable[Fact]) -> list[str]:
    """Checks that all nodes tell the same verdict of an operation."""
    verdicts: dict[str, configuration.VerdictKind] = {}
    return [
        f"{fact.node} told {fact.kind.value} for operation {fact.operation}, "
        f"others {verdicts[fact.operation].value}"
        for fact in _of(facts, VerdictReported)
        if verdicts.setdefault(fact.operation, fact.kind) is not fact.kind
    ]


def orders_do_not_regress(facts: Iterable[Fact]) -> list[str]:
    """Checks that an endpoint never goes back to an older lease's order."""
    fences: dict[ids.EndpointId, int] = {}
    violations = []
    for fact in _of(facts, OrderApplied):
        newest = fences.get(fact.endpoint, -1)
        if fact.fence < newest:
            violations.append(
                f"{fact.endpoint} took {fact.subject} = {fact.value} under "
                f"fence {fact.fence} after {newest}"
            )
        fences[fact.endpoint] = max(newest, fact.fence)
    return violations


def orders_are_sent_under_a_lease(facts: Iterable[Fact]) -> list[str]:
    """Checks that no holder sends an order at or after its lease's end."""
    return [
        f"{fact.node} sent an order at {fact.at}, after its lease ended at "
        f"{fact.lease_until}"
        for fact in _of(facts, OrderSent)
        if fact.at >= fact.lease_until
    ]


def _of(facts: Iterable[Fact], kind: type) -> Iterator:
    return (fact for fact in facts if isinstance(fact, kind))
