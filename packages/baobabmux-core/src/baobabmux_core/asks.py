"""The `Ask` of a held request, as its owner receives it."""

import math
from collections.abc import Mapping

import xxhash

from baobabmux_core import fairness, held_requests, ids, messages


def build(
    held: held_requests.Held,
    paused: Mapping[ids.EndpointId, float],
    now: float,
    *,
    names_route: bool = False,
) -> messages.Ask:
    """Returns the whole `Ask` of a request.

    Args:
        held: The request.
        paused: Endpoints of its group that want nothing from this node, with
            the seconds left.
        now: Current time in seconds.
        names_route: Whether the owner has to know the route.
    """
    work = held.work
    return messages.Ask(
        held.group,
        work.request,
        work.tier if held.broke_at is None else held_requests.RESUMED_RANK,
        fairness.workspace_hash(work.workspace),
        max(0, round((held.deadline - now) * 1000)),
        work.prompt_tokens,
        work.output_tokens,
        work.prefixes,
        work.content,
        round((now - held.arrival) * 1000),
        held.spilled,
        _terms(held, paused, now, names_route),
    )


def _terms(
    held: held_requests.Held,
    paused: Mapping[ids.EndpointId, float],
    now: float,
    names_route: bool,
) -> messages.AskTerms | None:
    if not held.has_terms() and not paused and not names_route:
        return None
    return messages.AskTerms(
        _milliseconds_until(held.useful_by(), now),
        held.attempt,
        held.avoided,
        0 if held.charged else held.work.cost,
        _milliseconds_until(held.target_by(), now),
        held.version,
        held.work.parts,
        tuple(
            messages.Pause(endpoint, math.ceil(1000 * seconds))
            for endpoint, seconds in paused.items()
        ),
        held.hedged,
        xxhash.xxh3_64_intdigest(held.work.route.encode()) & 0xFFFFFFFF
        if names_route
        else 0,
    )


def _milliseconds_until(time: float | None, now: float) -> int:
    """Returns the milliseconds until a time, or -1 without one."""
    return -1 if time is None else max(0, round((time - now) * 1000))
