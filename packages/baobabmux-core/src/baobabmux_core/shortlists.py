"""Which endpoints of a group one decision examines.

A decision examines a bounded number of endpoints, so that its cost does not
grow with the group. Small groups are examined whole.
"""

from collections.abc import Mapping

from baobabmux_core import fairness, ids, messages, placement

MAX_EXAMINED = 16
"""Most endpoints that one decision examines, beside those that it must."""

# Endpoints with a cached prefix of the request that are examined as well.
_MAX_CACHED = 4

Members = Mapping[ids.EndpointId, placement.GroupMember]


class Shortlist:
    """Chooses the endpoints that decisions of a large group examine.

    Endpoints with a free slot come first. Successive decisions continue where
    the last one ended, so that all endpoints are used alike.
    """

    def __init__(self):
        self._next = 0

    def choose(
        self,
        members: Members,
        entry: fairness.QueueEntry,
        now: float,
    ) -> Members:
        """Returns the endpoints to examine for one request.

        Args:
            members: Endpoints of the group, or those that may run the request.
            entry: The request.
            now: Current time in seconds.
        """
        if len(members) <= MAX_EXAMINED:
            return members
        suitable = _suitable(members, entry, now)
        if len(suitable) > MAX_EXAMINED:
            suitable = self._take_turn(suitable, now)
        return suitable | _cached(members, entry.ask.prefixes) or members

    def _take_turn(self, members: Members, now: float) -> Members:
        """Returns endpoints from where the last decision ended."""
        names = list(members)
        start = self._next % len(names)
        names = names[start:] + names[:start]
        chosen: dict[ids.EndpointId, placement.GroupMember] = {}
        others = []
        for position, name in enumerate(names, 1):
            member = members[name]
            if not member.takes_requests(now):
                continue
            if member.has_slot(now):
                chosen[name] = member
                if len(chosen) >= MAX_EXAMINED:
                    self._next = (start + position) % len(names)
                    break
            else:
                others.append(name)
        else:
            # All endpoints were seen; the next decision begins elsewhere.
            self._next = start + MAX_EXAMINED
        for name in others[: MAX_EXAMINED - len(chosen)]:
            chosen[name] = members[name]
        return chosen


def _suitable(
    members: Members, entry: fairness.QueueEntry, now: float
) -> dict[ids.EndpointId, placement.GroupMember]:
    """Returns the endpoints that neither failed nor paused for a request."""
    terms = entry.ask.terms
    avoided = terms.avoided if terms is not None else ()
    if not avoided and not entry.paused_until:
        return dict(members)
    return {
        name: member
        for name, member in members.items()
        if name not in avoided and entry.pause_left(name, now) <= 0.0
    }


def _cached(
    members: Members, prefixes: tuple[messages.PrefixPart, ...]
) -> dict[ids.EndpointId, placement.GroupMember]:
    """Returns the endpoints with the longest cached prefixes."""
    if not prefixes:
        return {}
    tokens = {
        name: cached
        for name, member in members.items()
        if (cached := member.prefixes.cached_tokens(prefixes))
    }
    longest = sorted(tokens, key=lambda name: (-tokens[name], name))
    return {name: members[name] for name in longest[:_MAX_CACHED]}
