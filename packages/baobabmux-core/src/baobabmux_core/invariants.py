"""Invariants of the system, checked by queries over recorded facts.

The state machine tests of the core and the tests with processes record the
same kinds of facts and call the same queries. A query returns one line for
each violation, so an empty list means that the invariant held. Facts are given
in the order in which they happened, unless a query says otherwise.
"""

import collections
import math
from collections.abc import Iterable, Iterator

import msgspec

from baobabmux_core import configuration, errors, ids, states


class Fact(msgspec.Struct, frozen=True):
    """Base of all recorded facts."""


class Dispatched(Fact, frozen=True):
    """A holder wrote the first byte of a request to an endpoint.

    Attributes:
        request: Request that was dispatched.
        attempt: Attempt that was dispatched.
        key: Hash of the key of a non-idempotent request, or None.
        node: Holder.
        at: Time in seconds.
        endpoint: Endpoint that received it.
        lease_until: End of the grant's lease, as a time in seconds.
        deadline: Deadline of the request, as a time in seconds.
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
        attempt: Attempt that was completed.
        content: Digest of the complete answer.
    """

    attempt: ids.AttemptId
    content: ids.ContentDigest


class Answered(Fact, frozen=True):
    """A caller received a complete answer.

    Attributes:
        request: The caller's request.
        attempt: Attempt whose answer it should receive: its own, or for a
            repeated send that of the first request with the same key.
        content: Digest of the answer.
    """

    request: ids.RequestId
    attempt: ids.AttemptId
    content: ids.ContentDigest


class Refused(Fact, frozen=True):
    """A caller received a refusal.

    Attributes:
        request: The caller's request.
        run_status: Run status that the refusal reported.
    """

    request: ids.RequestId
    run_status: states.RunStatus


class ClaimDecided(Fact, frozen=True):
    """A node read the decision on a claim from the log.

    Attributes:
        key: Hash of the key.
        winner: Attempt that holds the key.
        node: Node that reported the winner.
    """

    key: ids.KeyHash
    winner: ids.AttemptId
    node: ids.NodeId


class ClaimReleased(Fact, frozen=True):
    """The winner was withdrawn, so the key can be claimed again."""

    key: ids.KeyHash
    attempt: ids.AttemptId


class ConfigurationAccepted(Fact, frozen=True):
    """The log appended a publication that the fold accepts.

    Attributes:
        version: Offset of the publication.
        at: Time in seconds.
    """

    version: int
    at: float


class ConfigurationApplied(Fact, frozen=True):
    """A node applied a configuration version.

    Attributes:
        node: The node.
        version: Version that the node uses from now on.
        digest: Digest of the tables of this version.
        at: Time in seconds.
    """

    node: ids.NodeId
    version: int
    digest: int
    at: float = 0.0


class VerdictReported(Fact, frozen=True):
    """A node reported the verdict on a publication to an operator."""

    node: ids.NodeId
    operation: str
    kind: configuration.VerdictKind


class OrderApplied(Fact, frozen=True):
    """An endpoint applied an order.

    Attributes:
        endpoint: The endpoint.
        subject: What the order sets, for example a model or an adapter.
        value: Value that it sets, for example a version.
        fence: Fencing token of the lease under which it was sent.
    """

    endpoint: ids.EndpointId
    subject: str
    value: str
    fence: int


class OrderSent(Fact, frozen=True):
    """A holder of an order lease sent an order.

    Attributes:
        node: Node that holds the lease.
        fence: Fencing token of its lease.
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
        lowest_waiting: Rank of the lowest tier with a request in the queue, or
            None if the queue was empty.
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
    """A closed endpoint may receive new work again."""

    endpoint: ids.EndpointId
    at: float


class ShutdownStarted(Fact, frozen=True):
    """A planned shutdown of a node began.

    Attributes:
        node: The node.
        held: Requests that it held, with connected callers.
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
        fact.request for fact in _of_kind(facts, Dispatched)
    )
    return [
        f"request {request} was dispatched {count} times"
        for request, count in counts.items()
        if count > 1
    ]


def dispatches_are_permitted(facts: Iterable[Fact]) -> list[str]:
    """Checks that no request is dispatched after its lease or deadline.

    After the end of the lease the owner may count the slot as free, and after
    the deadline the caller may be sent a refusal with the status "not run".
    """
    return [
        f"request {fact.request} was dispatched at {fact.at}; its lease ended "
        f"at {fact.lease_until} and its deadline was {fact.deadline}"
        for fact in _of_kind(facts, Dispatched)
        if fact.at >= min(fact.lease_until, fact.deadline)
    ]


def lower_tiers_are_shed_first(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 2: no tier is shed while a lower one waits."""
    return [
        f"request {fact.request} of tier {fact.tier} was shed while tier "
        f"{fact.lowest_waiting} waited"
        for fact in _of_kind(facts, Shed)
        if fact.lowest_waiting is not None and fact.lowest_waiting > fact.tier
    ]


def answers_are_own_and_complete(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 3: a caller gets the answer of the right attempt."""
    facts = list(facts)
    produced = {
        fact.attempt: fact.content for fact in _of_kind(facts, Produced)
    }
    return [
        f"request {fact.request} received content {fact.content} for attempt "
        f"{fact.attempt}, which produced {produced.get(fact.attempt)}"
        for fact in _of_kind(facts, Answered)
        if produced.get(fact.attempt) != fact.content
    ]


def not_run_requests_never_run(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 4: a request refused as not run never runs."""
    facts = list(facts)
    dispatched = {fact.request for fact in _of_kind(facts, Dispatched)}
    return [
        f"request {fact.request} was refused as not run but was dispatched"
        for fact in _of_kind(facts, Refused)
        if fact.run_status is states.RunStatus.NOT_RUN
        and fact.request in dispatched
    ]


def keys_run_at_most_once(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 5: no key of a non-idempotent route runs twice."""
    attempts = collections.defaultdict(list)
    for fact in _of_kind(facts, Dispatched):
        if fact.key is not None:
            attempts[fact.key].append(fact.attempt)
    return [
        f"key {key} ran as {', '.join(runs)}"
        for key, runs in attempts.items()
        if len(runs) > 1
    ]


def claims_agree(facts: Iterable[Fact]) -> list[str]:
    """Checks that all nodes report the same winner of a key at a time.

    A node that has read less of the log may still report a winner that was
    withdrawn. A winner that was not withdrawn is never replaced by another.
    """
    released = set()
    winners: dict[ids.KeyHash, ids.AttemptId] = {}
    violations = []
    for fact in facts:
        if isinstance(fact, ClaimReleased):
            released.add((fact.key, fact.attempt))
        elif isinstance(fact, ClaimDecided):
            earlier = winners.get(fact.key, fact.winner)
            if (
                earlier != fact.winner
                and (fact.key, earlier) not in released
                and (fact.key, fact.winner) not in released
            ):
                violations.append(
                    f"key {fact.key} is held by {earlier}, but {fact.node} "
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
        facts: Recorded facts.
        within_seconds: Time after the closing during which grants that were
            sent before it may still be used.
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
    """Checks invariant 7: no request fails because its node shuts down.

    The facts must cover the whole shutdown. A request may still be refused for
    another reason, for example its deadline.
    """
    facts = list(facts)
    ended = {fact.request: fact.kind for fact in _of_kind(facts, Ended)}
    violations = []
    for shutdown in _of_kind(facts, ShutdownStarted):
        for request in shutdown.held:
            if request not in ended:
                violations.append(
                    f"request {request} got no response when {shutdown.node} "
                    f"shut down"
                )
            elif ended[request] is errors.ErrorKind.SHUTTING_DOWN:
                violations.append(
                    f"request {request}, which {shutdown.node} held, was "
                    f"refused because of its shutdown"
                )
    return violations


def configuration_never_reverts(facts: Iterable[Fact]) -> list[str]:
    """Checks invariant 8: versions only grow and are equal on all nodes.

    Nodes that use the same version must have the same tables.
    """
    versions: dict[ids.NodeId, int] = {}
    digests: dict[int, int] = {}
    violations = []
    for fact in _of_kind(facts, ConfigurationApplied):
        before = versions.get(fact.node, -1)
        if fact.version < before:
            violations.append(
                f"{fact.node} went from version {before} to {fact.version}"
            )
        versions[fact.node] = fact.version
        if digests.setdefault(fact.version, fact.digest) != fact.digest:
            violations.append(
                f"{fact.node} has different tables for version {fact.version}"
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
        facts: Recorded facts.
        nodes: Nodes that were up and reachable the whole time.
        within_seconds: Maximum time from acceptance to use on every node.
        until: Time at which the recording ended; versions whose bound lies
            after it are not checked.
    """
    facts = list(facts)
    nodes = list(nodes)
    violations = []
    for accepted in _of_kind(facts, ConfigurationAccepted):
        limit = accepted.at + within_seconds
        if limit > until:
            continue
        reached = {
            fact.node
            for fact in _of_kind(facts, ConfigurationApplied)
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
    """Checks that all nodes report the same verdict on an operation."""
    verdicts: dict[str, configuration.VerdictKind] = {}
    return [
        f"{fact.node} reported {fact.kind.value} for operation "
        f"{fact.operation}, others {verdicts[fact.operation].value}"
        for fact in _of_kind(facts, VerdictReported)
        if verdicts.setdefault(fact.operation, fact.kind) is not fact.kind
    ]


def orders_do_not_regress(facts: Iterable[Fact]) -> list[str]:
    """Checks that an endpoint never applies an order of an older lease."""
    fences: dict[ids.EndpointId, int] = {}
    violations = []
    for fact in _of_kind(facts, OrderApplied):
        newest = fences.get(fact.endpoint, -1)
        if fact.fence < newest:
            violations.append(
                f"{fact.endpoint} applied {fact.subject} = {fact.value} with "
                f"fencing token {fact.fence} after {newest}"
            )
        fences[fact.endpoint] = max(newest, fact.fence)
    return violations


def orders_are_sent_under_a_lease(facts: Iterable[Fact]) -> list[str]:
    """Checks that no node sends an order at or after its lease's end."""
    return [
        f"{fact.node} sent an order at {fact.at}, after its lease ended at "
        f"{fact.lease_until}"
        for fact in _of_kind(facts, OrderSent)
        if fact.at >= fact.lease_until
    ]


def _of_kind(facts: Iterable[Fact], kind: type) -> Iterator:
    return (fact for fact in facts if isinstance(fact, kind))
