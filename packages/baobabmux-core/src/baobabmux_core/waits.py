"""Predictions of how long requests wait for a slot in their group."""

import math
from collections.abc import Iterable

from baobabmux_core import deadlines, fairness, placement, queues

# Predicted wait while no endpoint accepts requests.
_NO_ENDPOINT_WAIT_SECONDS = 2.0


def usable(
    members: Iterable[placement.GroupMember], now: float
) -> list[placement.GroupMember]:
    """Returns the endpoints that may get new requests."""
    return [
        member
        for member in members
        if member.open and member.breaker.admits(now)
    ]


def group_wait(
    members: Iterable[placement.GroupMember],
    queue: queues.GroupQueue,
    now: float,
) -> float:
    """Predicts the wait of a request behind the whole queue, in seconds."""
    usable_members = usable(members, now)
    if not usable_members:
        return _NO_ENDPOINT_WAIT_SECONDS
    queued = sum(tier.seconds for tier in queue.tiers.values())
    if queued <= 0.0 and any(
        member.model.used(now) < member.model.limit()
        for member in usable_members
    ):
        return 0.0
    return _backlog_wait(queued, usable_members, 0, now)


def request_wait(
    entry: fairness.QueueEntry,
    members: Iterable[placement.GroupMember],
    queue: queues.GroupQueue,
    reserved_share: float,
    short_share: float,
    now: float,
) -> float:
    """Predicts the remaining wait of a request.

    Args:
        entry: The request, queued or not.
        members: Endpoints of the group.
        queue: Queue of the group.
        reserved_share: Share of the slots that the request must leave free.
        short_share: Share of the slots that long requests must leave free.
        now: Current time in seconds.

    Returns:
        Seconds; 0 while no endpoint is usable, as a breaker may close at any
        time.
    """
    usable_members = usable(members, now)
    if not usable_members:
        return 0.0
    above = [q for r, q in queue.tiers.items() if r < entry.ask.tier]
    own = queue.tiers.get(entry.ask.tier)
    ahead = sum(tier.seconds for tier in above)
    waiting = sum(len(tier) for tier in above)
    if own is not None:
        ahead += own.ahead_seconds(entry)
        waiting += len(own)
    if 0 < waiting < _free_slots(usable_members, now):
        # Grants are withheld for a moment; each waiting request has a slot.
        return 0.0
    wait = _unreserved_wait(entry, ahead, usable_members, reserved_share, now)
    if not entry.short or wait <= 0.0:
        return wait
    # Short requests may also use the slots that long ones must leave free.
    above.append(own or fairness.TierQueue())
    ahead = sum(tier.short_seconds for tier in above)
    if ahead <= 0.0 and any(
        member.model.used(now) < member.model.limit()
        for member in usable_members
    ):
        return 0.0
    slots = sum(
        math.floor(member.model.limit() * short_share)
        for member in usable_members
    )
    return min(wait, ahead / slots) if slots else wait


def _free_slots(members: list[placement.GroupMember], now: float) -> int:
    return sum(
        max(0, member.model.limit() - member.model.used(now))
        for member in members
    )


def _unreserved_wait(
    entry: fairness.QueueEntry,
    ahead: float,
    members: list[placement.GroupMember],
    share: float,
    now: float,
) -> float:
    """Predicts the wait for a slot that is not reserved for other requests."""
    if ahead <= 0.0 and any(
        member.model.fits(
            entry.tokens,
            math.floor(member.model.limit() * share),
            now,
        )
        for member in members
    ):
        return 0.0
    return _backlog_wait(ahead, members, share, now)


def _backlog_wait(
    ahead: float, members: list[placement.GroupMember], share: float, now: float
) -> float:
    slots = 0.0
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
