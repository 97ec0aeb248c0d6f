"""State of a node's groups and endpoints, as operators read it."""

import msgspec

from baobabmux_core import capacity, ids, scheduler


class EndpointStatus(msgspec.Struct, frozen=True):
    """State of an endpoint, as the owner of its group sees it.

    Attributes:
        endpoint: Identifier.
        outstanding_requests: Number of requests granted and not released.
        outstanding_tokens: Tokens of the outstanding requests.
        breaker: Value of the circuit breaker's state.
        drained: Whether an operator drains it.
        decode_tokens_per_second: Estimated decode rate of one request.
        prefill_tokens_per_second: Estimated prefill rate.
        speed_age_seconds: Time since the answer from which its speed was last
            learned, or None if its service is not placed by first events.
        first_event_error: Mean relative error of its predicted first events,
            or None likewise.
    """

    endpoint: ids.EndpointId
    outstanding_requests: int
    outstanding_tokens: int
    breaker: str
    drained: bool
    decode_tokens_per_second: float
    prefill_tokens_per_second: float
    speed_age_seconds: float | None = None
    first_event_error: float | None = None


class GroupStatus(msgspec.Struct, frozen=True):
    """State of a group that the node owns.

    Attributes:
        group: Identifier.
        queue_requests: Number of waiting requests.
        queue_tokens: Tokens of the waiting requests.
        queue_by_tier: Number of waiting requests by tier rank.
        wait_seconds: Predicted wait of a new request of the lowest tier.
        endpoints: States of its endpoints.
    """

    group: ids.GroupId
    queue_requests: int
    queue_tokens: int
    queue_by_tier: dict[int, int]
    wait_seconds: float
    endpoints: list[EndpointStatus]


def group_states(
    node_scheduler: scheduler.NodeScheduler, now: float
) -> list[GroupStatus]:
    """Returns the states of the groups that a node owns.

    Args:
        node_scheduler: Scheduler of the node.
        now: Time on the node's clock in seconds.
    """
    return [
        _group_state(node_scheduler, group, now)
        for group in node_scheduler.groups.names()
    ]


def _group_state(node_scheduler, group, now) -> GroupStatus:
    owner = node_scheduler.groups.owner(group)
    drained = node_scheduler.drained()
    return GroupStatus(
        group=group,
        queue_requests=owner.queue_length(),
        queue_tokens=owner.queued_tokens(),
        queue_by_tier=owner.queued_by_tier(),
        wait_seconds=owner.wait(now),
        endpoints=[
            EndpointStatus(
                endpoint=name,
                outstanding_requests=requests,
                outstanding_tokens=tokens,
                breaker=owner.breaker(name).state.value,
                drained=name in drained,
                **_speed_state(owner.model(name), now),
            )
            for name, (requests, tokens) in owner.outstanding().items()
        ],
    )


def _speed_state(model: capacity.EndpointModel, now: float) -> dict[str, float]:
    speed = model.speed
    if speed is None:
        return {
            "decode_tokens_per_second": model.decode_rate,
            "prefill_tokens_per_second": model.prefill_rate,
        }
    state = {
        "decode_tokens_per_second": 1.0 / speed.step_seconds,
        "prefill_tokens_per_second": speed.prefill_rate,
    }
    if speed.samples:
        state["speed_age_seconds"] = now - speed.learned_at
        state["first_event_error"] = speed.error
    return state
