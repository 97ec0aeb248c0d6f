"""Choice of the endpoint for a request among those of its group.

The endpoint with the lowest expected end time wins, with penalties for
recomputed prefixes and recent failures.
"""

import enum
import math
from collections.abc import Mapping

from baobabmux_core import (
    breakers,
    capacity,
    declarations,
    fairness,
    ids,
    messages,
    prefixes,
    request_limits,
    versions,
)

# Time that a failed run costs its caller, about that of a second attempt.
_FAILURE_COST_SECONDS = 1.0
# Recomputing a prefix that is cached elsewhere also delays the other requests
# in the batch, so it counts as this many times its own duration.
_RECOMPUTE_WEIGHT = 2.0
# A request waits for an endpoint that has its prefix cached at most this many
# times as long as the cached prefix saves (decision 0006).
_MAX_WAIT_PER_SAVED_SECOND = 4.0
# A stream waits for a faster endpoint at most this share of the time by which
# it would end sooner there (decision 0007). A long stream on a slow endpoint
# is exposed to faults for longer; a short one can use the slow slot meanwhile.
MAX_WAIT_PER_SECOND_SOONER = 0.1


class NoPlacement(enum.Enum):
    """Why a queued request gets no endpoint now."""

    CAPACITY = "capacity"
    AFFINITY = "affinity"  # A slot is free, but a busy endpoint is better.
    LATE = "late"  # No endpoint can meet its deadline or first-event time.


class GroupMember:
    """One endpoint of a group, with the state that the owner keeps of it.

    Attributes:
        model: Estimated load and speed.
        breaker: Circuit breaker.
        prefixes: Index of its prefix cache.
        open: Whether it accepts new requests.
        failure_share: Share of recent runs that failed or broke off, from 0
            to 1.
        reserved_for: Suspect request that is to run alone here, or None; no
            other request is granted until it has ended.
        version_doubted_until: Time until which its entry may be out of date,
            as it refused a connection: it may have started again with another
            version.
        allowance: Requests that may start under the limit that the endpoint
            names, or None without a limit.
    """

    def __init__(
        self,
        endpoint: ids.EndpointId,
        declared: declarations.Endpoint,
        plain: bool,
    ):
        self.model = capacity.EndpointModel(endpoint, declared, plain=plain)
        self.breaker = breakers.CircuitBreaker()
        self.prefixes = prefixes.PrefixIndex(declared.cache_tokens)
        self.open = True
        self.failure_share = 0.0
        self.reserved_for: ids.RequestId | None = None
        self.version_doubted_until = -math.inf
        self.allowance: request_limits.Allowance | None = None

    def set_limit(self, rate: float | None, level: float, now: float) -> None:
        """Applies the limit that the endpoint names.

        Args:
            rate: Requests a second that this owner may grant, or None.
            level: Requests that may start at once if the limit is new here.
            now: Current time in seconds.
        """
        if rate is None:
            self.allowance = None
        elif self.allowance is None:
            self.allowance = request_limits.Allowance(rate, level, now)
        else:
            self.allowance.set_rate(rate, now)

    def admits(self, now: float) -> bool:
        """Returns whether its limit lets a request start now."""
        return self.allowance is None or self.allowance.admits(now)

    def takes_requests(self, now: float) -> bool:
        """Returns whether it is open, sound and not reserved for a suspect."""
        return (
            self.open and self.reserved_for is None and self.breaker.admits(now)
        )

    def has_slot(self, now: float) -> bool:
        """Returns whether a slot is free and the limit lets it be used."""
        return self.model.used(now) < self.model.limit() and self.admits(now)


def of_version(
    members: Mapping[ids.EndpointId, GroupMember], version: str | None
) -> Mapping[ids.EndpointId, GroupMember]:
    """Returns the endpoints at which a stream of a version may go on.

    Args:
        members: Endpoints of the group.
        version: Version that began the stream, or None if none has.
    """
    if version is None:
        return members
    known = {
        name: member.model.declared.version for name, member in members.items()
    }
    return {
        name: member
        for name, member in members.items()
        if versions.may_go_on(version, known[name], known.values())
    }


def choose(
    entry: fairness.QueueEntry,
    members: Mapping[ids.EndpointId, GroupMember],
    reserved_share: float,
    margin: float,
    preset: declarations.Preset | None,
    now: float,
) -> GroupMember | NoPlacement:
    """Returns the endpoint for a request, or why it gets none.

    Args:
        entry: The request. `passed_over_at` is set when it first passes over
            a free slot.
        members: Endpoints of the group.
        reserved_share: Share of the slots that the request must leave free.
        margin: Factor on predicted durations.
        preset: Preset in force, or None.
        now: Current time in seconds.
    """
    ask = entry.ask
    members = of_version(members, entry.version)
    cached = {
        name: member.prefixes.cached_tokens(ask.prefixes)
        for name, member in members.items()
    }
    longest = max(
        (
            cached[name]
            for name, member in members.items()
            if member.admits(now)
        ),
        default=0,
    )
    best = None
    best_cost = math.inf
    busy_cost = math.inf
    usable = in_time = has_slot = False
    passed_over = avoided(ask, members)
    for name, member in members.items():
        model = member.model
        if (
            name in passed_over
            or not member.takes_requests(now)
            or (entry.version and now < member.version_doubted_until)
            or entry.pause_left(name, now) > 0.0
        ):
            continue
        reserved = math.floor(model.limit() * reserved_share)
        fits = model.fits(entry.tokens, reserved, now)
        usable = True
        start = now if fits else model.next_free_at(now)
        if not member.admits(now):
            # Its cache is no reason to wait for it; others take the request.
            fits = False
            start = max(start, now + member.allowance.seconds_until(1, now))
        has_slot = has_slot or fits
        predicted = model.predict(
            start, ask.prompt_tokens - cached[name], ask.output_tokens
        )
        end = predicted.end
        cost = end + extra_cost(member, max(0, longest - cached[name]))
        cost += _crossing_cost(entry, model.declared, preset)
        ends_in_time = now + (end - now) * margin <= entry.deadline
        if not ends_in_time and entry.first_by == math.inf:
            continue
        first_event_by = entry.first_by if entry.late else entry.target_by
        if predicted.first_token > min(first_event_by, entry.first_by):
            continue
        in_time = True
        if fits and cost < best_cost:
            best = member
            best_cost = cost
        elif not fits and member.admits(now):
            busy_cost = min(busy_cost, cost)
    if best is None:
        if not in_time and usable:
            return NoPlacement.LATE
        return NoPlacement.AFFINITY if has_slot else NoPlacement.CAPACITY
    if busy_cost >= best_cost:
        return best
    saved_seconds = best.model.prefill_seconds(
        max(0, longest - cached[best.model.endpoint])
    )
    max_wait = _max_wait(entry, preset, saved_seconds, best_cost - busy_cost)
    if entry.passed_over_at is None:
        entry.passed_over_at = now
    return (
        NoPlacement.AFFINITY if now - entry.passed_over_at < max_wait else best
    )


def _crossing_cost(
    entry: fairness.QueueEntry,
    endpoint: declarations.Endpoint,
    preset: declarations.Preset | None,
) -> float:
    """Returns what it costs to leave the holder's data centre, in seconds."""
    if preset is None or not entry.location or not endpoint.location:
        return 0.0
    if endpoint.location == entry.location:
        return 0.0
    return preset.other_centre_seconds


def extra_cost(member: GroupMember, recomputed: int) -> float:
    """Returns what a run costs besides its own duration, in seconds.

    Args:
        member: Endpoint of the run.
        recomputed: Prompt tokens that another endpoint has cached.
    """
    seconds = member.model.prefill_seconds(recomputed)
    return (
        _RECOMPUTE_WEIGHT * seconds
        + _FAILURE_COST_SECONDS * member.failure_share
    )


def avoided(
    ask: messages.Ask, members: Mapping[ids.EndpointId, GroupMember]
) -> frozenset[ids.EndpointId]:
    """Returns the endpoints of earlier attempts, if others are open."""
    if ask.terms is None or not ask.terms.avoided:
        return frozenset()
    names = frozenset(ask.terms.avoided)
    others = any(
        member.open and name not in names for name, member in members.items()
    )
    return names if others else frozenset()


def _max_wait(
    entry: fairness.QueueEntry,
    preset: declarations.Preset | None,
    saved_seconds: float,
    seconds_sooner: float,
) -> float:
    """Returns how long a request waits for a busy endpoint, in seconds.

    Args:
        entry: The request.
        preset: Preset in force, or None.
        saved_seconds: Prefill time that a busy endpoint's cache saves.
        seconds_sooner: Time by which it would end sooner at a busy endpoint.
    """
    longest = preset.affinity_wait_seconds if preset else 0.0
    max_wait = min(longest, _MAX_WAIT_PER_SAVED_SECOND * saved_seconds)
    if entry.target_by == math.inf:
        return max_wait
    return max(max_wait, MAX_WAIT_PER_SECOND_SOONER * seconds_sooner)
