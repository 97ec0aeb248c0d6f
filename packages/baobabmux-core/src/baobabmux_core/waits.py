"""Predictions of how long requests wait for a slot in their group."""

import math
from collections.abc import Iterable

import msgspec

from baobabmux_core import deadlines, fairness, placement, queues

# Predicted wait while no endpoint accepts requests.
_NO_ENDPOINT_WAIT_SECONDS = 2.0


class GroupLoad(msgspec.Struct, frozen=True):
    """Load of the usable endpoints of a group.

    Attributes:
        as_of: Time that it describes, in seconds.
        endpoints: Usable endpoints.
        occupied: Their occupied slots.
        places: Their slots.
        limited: Those whose limit lets no request start.
        wait: Predicted wait behind the whole queue in seconds.
    """

    as_of: float
    endpoints: int
    occupied: int
    places: int
    limited: int
    wait: float


def group_load(
    members: Iterable[placement.GroupMember],
    queue: queues.GroupQueue,
    now: float,
) -> GroupLoad:
    """Sums up the load of the endpoints of a group."""
    usable_members = usable(members, now)
    return GroupLoad(
        as_of=now,
        endpoints=len(usable_members),
        occupied=sum(member.model.used(now) for member in usable_members),
        places=sum(member.model.limit() for member in usable_members),
        limited=sum(not member.admits(now) for member in usable_members),
        wait=_group_wait(usable_members, queue, now),
    )


def usable(
    members: Iterable[placement.GroupMember], now: float
) -> list[placement.GroupMember]:
    """Returns the endpoints that may get new requests."""
    return [
        member
        for member in members
        if member.open and member.breaker.admits(now)
    ]


def _group_wait(
    usable_members: list[placement.GroupMember],
    queue: queues.GroupQueue,
    now: float,
) -> float:
    """Predicts the wait of a request behind the whole queue, in seconds."""
    if not usable_members:
        return _NO_ENDPOINT_WAIT_SECONDS
    queued = sum(tier.seconds for tier in queue.tiers.values())
    if queued <= 0.0 and any(member.has_slot(now) for member in usable_members):
        return 0.0
    waiting = sum(len(tier) for tier in queue.tiers.values())
    return _backlog_wait(queued, waiting, usable_members, 0, now)


def request_wait(
    entry: fairness.QueueEntry,
    members: Iterable[placement.GroupMember],
    queue: queues.GroupQueue,
    reserved_share: float,
    short_share: float,
    now: float,
    group_size: int,
) -> float:
    """Predicts the remaining wait of a request.

    Args:
        entry: The request, queued or not.
        members: Endpoints of the group, or some that stand for all.
        queue: Queue of the group.
        reserved_share: Share of the slots that the request must leave free.
        short_share: Share of the slots that long requests must leave free.
        now: Current time in seconds.
        group_size: Number of endpoints for which `members` stand.

    Returns:
        Seconds; 0 while no endpoint is usable, as a breaker may close at any
        time.
    """
    members = list(members)
    usable_members = usable(members, now)
    if not usable_members:
        return 0.0
    # The examined endpoints serve their part of the queue.
    part = len(members) / group_size
    above = [q for r, q in queue.tiers.items() if r < entry.ask.tier]
    own = queue.tiers.get(entry.ask.tier)
    ahead = sum(tier.seconds for tier in above)
    waiting = sum(len(tier) for tier in above)
    if own is not None:
        ahead += own.ahead_seconds(entry)
        waiting += len(own)
    ahead *= part
    waiting = math.ceil(waiting * part)
    if 0 < waiting < free_slots(usable_members, now):
        # Grants are withheld for a moment; each waiting request has a slot.
        return 0.0
    wait = _unreserved_wait(
        entry, ahead, waiting, usable_members, reserved_share, now
    )
    if not entry.short or wait <= 0.0:
        return wait
    # Short requests may also use the slots that long ones must leave free.
    above.append(own or fairness.TierQueue())
    ahead = part * sum(tier.short_seconds for tier in above)
    if ahead <= 0.0 and any(member.has_slot(now) for member in usable_members):
        return 0.0
    slots = sum(
        math.floor(member.model.limit() * short_share)
        for member in usable_members
    )
    return min(wait, ahead / slots) if slots else wait


def free_slots(members: list[placement.GroupMember], now: float) -> int:
    """Returns the slots that are free now."""
    free = 0
    for member in members:
        slots = max(0, member.model.limit() - member.model.used(now))
        if member.allowance is not None:
            slots = min(slots, max(0, math.floor(member.allowance.level(now))))
        free += slots
    return free


def _unreserved_wait(
    entry: fairness.QueueEntry,
    ahead: float,
    waiting: int,
    members: list[placement.GroupMember],
    share: float,
    now: float,
) -> float:
    """Predicts the wait for a slot that is not reserved for other requests."""
    if ahead <= 0.0 and any(
        member.admits(now)
        and member.model.fits(
            entry.tokens,
            math.floor(member.model.limit() * share),
            now,
        )
        for member in members
    ):
        return 0.0
    return _backlog_wait(ahead, waiting, members, share, now)


def _backlog_wait(
    ahead: float,
    waiting: int,
    members: list[placement.GroupMember],
    share: float,
    now: float,
) -> float:
    """Predicts the wait behind a backlog.

    Args:
        ahead: Slot seconds of the requests ahead.
        waiting: Number of these requests.
        members: Usable endpoints.
        share: Share of the slots that the request must leave free.
        now: Current time in seconds.
    """
    limited = [member for member in members if member.allowance is not None]
    if len(limited) == len(members):
        rate = sum(member.allowance.rate for member in limited)
        level = sum(member.allowance.level(now) for member in limited)
        until_allowed = max(0.0, waiting + 1 - level) / rate
        return max(until_allowed, _slot_wait(ahead, 0.0, members, share, now))
    seconds = ahead / waiting if waiting else 0.0
    under_limits = sum(
        min(member.model.limit(), member.allowance.rate * seconds)
        for member in limited
    )
    others = [member for member in members if member.allowance is None]
    return _slot_wait(ahead, under_limits, others, share, now)


def _slot_wait(
    ahead: float,
    slots: float,
    members: list[placement.GroupMember],
    share: float,
    now: float,
) -> float:
    """Predicts the wait for a slot of endpoints, beside some other slots."""
    running = 0.0
    for member in members:
        model = member.model
        limit = max(1, model.limit() - math.floor(model.limit() * share))
        if model.tokens:
            # Long requests exhaust the token limit before the slots.
            mean = model.tokens / len(model.running)
            limit = min(limit, max(1, model.declared.max_tokens / mean))
        slots += limit
        running += model.running_seconds(now)
    return deadlines.backlog_wait(ahead, running, slots)
