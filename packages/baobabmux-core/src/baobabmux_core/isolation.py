"""Runs of suspect contents, alone on one endpoint of their group."""

from baobabmux_core import (
    fairness,
    group_state,
    ids,
    placement,
    waits,
)


class Isolation:
    """Reserves an endpoint for one suspect at a time.

    Attributes:
        request: Suspect that is isolated, or None.
    """

    def __init__(self, state: group_state.GroupState):
        self._state = state
        self.request: ids.RequestId | None = None

    def next(
        self, suspects: fairness.TierQueue, now: float
    ) -> tuple[fairness.QueueEntry, placement.GroupMember] | None:
        """Returns the suspect to grant and its empty endpoint, or None.

        An endpoint is reserved for the first suspect and granted to it once
        no request runs there.
        """
        if self.request is None and not self._reserve(suspects, now):
            return None
        entry = self._state.queue.entries.get(self.request)
        if entry is None:
            return None  # It is running.
        for member in self._state.members.values():
            if member.reserved_for != self.request:
                continue
            if not member.open or not member.breaker.admits(now):
                self.end()
                return None
            if member.model.used(now) == 0 and member.admits(now):
                return entry, member
        return None

    def _reserve(self, suspects: fairness.TierQueue, now: float) -> bool:
        usable = [
            member
            for member in waits.usable(self._state.members.values(), now)
            if member.reserved_for is None
        ]
        entry = next(suspects.candidates(1), None)
        if not usable or entry is None:
            return False
        member = min(
            usable, key=lambda member: member.model.running_seconds(now)
        )
        self.take(member, entry.ask.request)
        return True

    def take(
        self, member: placement.GroupMember, request: ids.RequestId
    ) -> None:
        """Reserves an endpoint for a request."""
        member.reserved_for = request
        self.request = request

    def end_for(self, request: ids.RequestId) -> None:
        """Frees the reserved endpoint if it is this request's."""
        if self.request == request:
            self.end()

    def end(self) -> None:
        """Frees the reserved endpoint."""
        for member in self._state.members.values():
            if member.reserved_for == self.request:
                member.reserved_for = None
        self.request = None
