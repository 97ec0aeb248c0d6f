"""Reconciliation of a holder's requests in flight with their owners.

A `Register` lists the requests in flight of one group. Repeats free the slots
of releases that were lost and occupy those of grants that the owner does not
know.
"""

from collections.abc import Callable, Mapping

from baobabmux_core import effects, held_requests, ids, messages

# A `Register` is repeated at this interval, so that a lost `Release` occupies a
# slot for at most about one interval.
_INTERVAL_SECONDS = 12.0
# An empty `Register` is sent this many times in case some are lost.
_EMPTY_COUNT = 3


class Registers:
    """Groups whose owners must be told of this node's requests in flight.

    Args:
        held: Requests of this node that have not ended.
        owner_of: Returns the owner of a group, or None.
    """

    def __init__(
        self,
        held: Mapping[ids.RequestId, held_requests.Held],
        owner_of: Callable[[ids.GroupId], ids.NodeId | None],
    ):
        self._held = held
        self._owner_of = owner_of
        # Registers still to send after the last request of a group has ended.
        self._repeats: dict[ids.GroupId, int] = {}
        # Groups with grants from the own share that their owners do not know.
        self._unregistered: set[ids.GroupId] = set()
        self._next_at = 0.0

    def expect(self, group: ids.GroupId) -> None:
        """Has a group's registers repeated from now on."""
        self._repeats[group] = _EMPTY_COUNT

    def granted_from_share(self, group: ids.GroupId) -> None:
        """Records a grant that the owner does not know.

        A grant of the owner may be on its way, and the message with it may be
        lost, so registers are repeated too.
        """
        self.expect(group)
        self._unregistered.add(group)

    def register(self, group: ids.GroupId, now: float) -> list[effects.Effect]:
        """Sends the owner of a group this node's requests in flight there."""
        owner = self._owner_of(group)
        if owner is None:
            return []
        in_flight = tuple(
            messages.InFlight(
                held.work.request,
                held.endpoint,
                held.work.tier,
                held.work.prompt_tokens,
                held.work.output_tokens,
                held.work.content,
                round((now - held.dispatched_at) * 1000)
                if held.state in held_requests.RUNNING_STATES
                else 0,
            )
            for held in self._held.values()
            if held.group == group and held.state in held_requests.SLOT_STATES
        )
        return [effects.Send(owner, messages.Register(group, in_flight))]

    def own_shares(self, now: float) -> list[effects.Effect]:
        """Registers new requests that run from the own share.

        An owner that is only slow would grant their slots once more.
        """
        groups = {
            held.group
            for held in self._held.values()
            if held.own_share and held.state in held_requests.SLOT_STATES
        }
        unregistered = sorted(groups & self._unregistered)
        self._unregistered.clear()
        return [
            effect
            for group in unregistered
            for effect in self.register(group, now)
        ]

    def repeats(self, now: float) -> list[effects.Effect]:
        """Returns the repeated registers that are due."""
        if now < self._next_at:
            return []
        self._next_at = now + _INTERVAL_SECONDS
        busy = {
            held.group
            for held in self._held.values()
            if held.state in held_requests.SLOT_STATES
        }
        emitted = []
        for group, left in list(self._repeats.items()):
            emitted += self.register(group, now)
            if group in busy:
                self._repeats[group] = _EMPTY_COUNT
            elif left <= 1:
                del self._repeats[group]
            else:
                self._repeats[group] = left - 1
        return emitted
