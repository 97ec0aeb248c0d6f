"""Choice of another data centre for requests that wait too long in theirs.

Heartbeats tell the waits of the groups of all data centres. A request goes to
the group with the shortest wait if it is expected to end there in time.
"""

from __future__ import annotations

import math
import typing
from collections.abc import Iterable

import msgspec

from baobabmux_core import effects, held_requests, ids, messages

if typing.TYPE_CHECKING:
    from baobabmux_core import node_view

# A wait of another data centre is ignored when it is older than this. At 42
# peers the heartbeat interval is 2.1 s, and a wait takes two hops.
_MAX_LOAD_AGE_SECONDS = 8.0
# Waits of another data centre change between heartbeats, so a spilled request
# must be expected to end this long before its deadline.
_SPILL_MARGIN_SECONDS = 0.5
# Safety factor on the wait of another data centre. When all are overloaded, a
# request that would just meet its deadline costs messages and is then refused.
_SPILL_WAIT_FACTOR = 1.5
# A move that shortens the wait by less is not worth its messages.
_MIN_MOVE_GAIN_SECONDS = 1.0
# Shortest time that a spilled request is assumed to occupy a slot there. Plain
# services declare no rates from which it could be computed.
_MIN_SLOT_SECONDS = 1.0


class _RemoteLoad(msgspec.Struct, frozen=True):
    """Wait of a group, as received in a heartbeat.

    Attributes:
        wait: Expected wait in seconds.
        received_at: Time of the heartbeat in seconds.
        is_direct: Whether a node of the group's data centre sent it; otherwise
            a delegate passed it on.
    """

    wait: float
    received_at: float
    is_direct: bool


class Spills:
    """Waits of other groups, and the requests that move because of them."""

    def __init__(self, view: node_view.NodeView):
        self._view = view
        self._loads: dict[ids.GroupId, _RemoteLoad] = {}

    # Heartbeats.

    def receive(
        self, message: messages.Heartbeat, sender: ids.NodeId, now: float
    ) -> None:
        """Keeps the waits that a heartbeat brings."""
        view = self._view
        same_centre = sender in view.members.live(view.data_centre)
        centre = view.data_centre if same_centre else message.data_centre
        for load in message.loads:
            local = view.is_local(load.group)
            # Inside its own data centre a wait is accepted only from the owner:
            # nodes that pass it on to each other would keep it for ever.
            if local and view.owner(load.group) != sender:
                continue
            if load.group in view.owned:
                continue
            is_direct = load.group.endswith(f"@{centre}")
            if same_centre or is_direct:
                self._loads[load.group] = _RemoteLoad(
                    load.wait_ms / 1000, now, is_direct
                )

    def loads(
        self, now: float, peer: ids.NodeId
    ) -> tuple[messages.ServiceLoad, ...]:
        """Returns the waits of groups for a heartbeat to a peer.

        They are the waits of the owned groups, and those that this node
        received from the group's own data centre and the peer did not: waits
        of this data centre for peers in others, and waits of other data
        centres for peers in this one. The two delegates of each data centre
        thus inform all nodes.
        """
        view = self._view
        waits = {group: owner.wait(now) for group, owner in view.owned.items()}
        same_centre = peer in view.members.live(view.data_centre)
        for group, load in self._loads.items():
            if (
                load.is_direct
                and now - load.received_at <= _MAX_LOAD_AGE_SECONDS
                and view.is_local(group) != same_centre
            ):
                waits.setdefault(group, load.wait)
        return tuple(
            messages.ServiceLoad(group, round(wait * 1000))
            for group, wait in waits.items()
        )

    # Choice of a group.

    def shortest(self, groups: Iterable[ids.GroupId]) -> ids.GroupId:
        """Returns the group with the shortest known wait."""
        return min(
            groups,
            key=lambda group: (
                self._loads[group].wait if group in self._loads else math.inf
            ),
        )

    def choose(
        self, held: held_requests.Held, now: float
    ) -> ids.GroupId | None:
        """Returns a group of another data centre that would finish in time."""
        group = self._target(held, now)
        if group is not None:
            self._add_to_wait(held, group)
        return group

    def move_target(
        self, held: held_requests.Held, local: ids.GroupId | None, now: float
    ) -> ids.GroupId | None:
        """Returns a group of another data centre to move to, or None.

        A request that waits in another data centre for a cached prefix returns
        to the local group. Others move to a group with a much shorter wait.

        Args:
            held: The queued request.
            local: Group that serves it in this data centre, or None.
            now: Current time in seconds.
        """
        if local != held.group:
            return local
        owner = self._view.owned.get(held.group)
        group_load = self._loads.get(held.group)
        if owner is not None:
            own_wait = owner.wait(now)
        elif group_load is not None:
            own_wait = group_load.wait
        else:
            return None
        group = self._target(held, now)
        if group is None:
            return None
        other_wait = self._loads[group].wait
        # Waits are predicted for the lowest tier, and the highest tier is
        # served before it, so they are not compared.
        if not self._is_top_tier(held.work) and (
            other_wait > own_wait / 2
            or other_wait > own_wait - _MIN_MOVE_GAIN_SECONDS
        ):
            return None
        self._add_to_wait(held, group)
        return group

    def _target(
        self, held: held_requests.Held, now: float
    ) -> ids.GroupId | None:
        best = None
        best_wait = math.inf
        for group, load in self._loads.items():
            service, _, _ = group.partition("@")
            if service != held.work.service or group == held.group:
                continue
            if (
                now - load.received_at > _MAX_LOAD_AGE_SECONDS
                or load.wait >= best_wait
            ):
                continue
            if self._view.owner(group) is None:
                continue
            best = group
            best_wait = load.wait
        if best is None:
            return None
        seconds = self._service_seconds(held.work, best)
        wait = _SPILL_WAIT_FACTOR * best_wait + _SPILL_MARGIN_SECONDS
        if now + wait + seconds >= held.deadline:
            return None
        return best

    def _add_to_wait(
        self, held: held_requests.Held, group: ids.GroupId
    ) -> None:
        """Adds a request to the wait of the group that it moves to.

        This keeps later requests from all choosing the same group. The next
        heartbeat replaces the estimate.
        """
        load = self._loads[group]
        endpoints = self._view.configuration.group_endpoints(group).values()
        slots = sum(endpoint.max_requests for endpoint in endpoints)
        seconds = self._service_seconds(held.work, group)
        wait = load.wait + max(seconds, _MIN_SLOT_SECONDS) / max(1, slots)
        self._loads[group] = msgspec.structs.replace(load, wait=wait)

    def _is_top_tier(self, work: effects.Work) -> bool:
        """Returns whether a request has the highest of several tiers."""
        configuration = self._view.configuration
        ranks = {
            configuration.tier_rank(route)
            for route in configuration.routes.values()
            if route.service == work.service
        }
        return len(ranks) > 1 and work.tier == min(ranks)

    def _service_seconds(self, work: effects.Work, group: ids.GroupId) -> float:
        """Estimates a request's time in a slot from the declared rates."""
        configuration = self._view.configuration
        service = configuration.services.get(work.service)
        if service is None or service.kind == "plain":
            return 0.0
        return min(
            (
                work.prompt_tokens / endpoint.prefill_tokens_per_second
                + work.output_tokens / endpoint.decode_tokens_per_second
                for endpoint in configuration.group_endpoints(group).values()
            ),
            default=math.inf,
        )
