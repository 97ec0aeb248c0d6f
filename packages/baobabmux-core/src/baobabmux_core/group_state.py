"""What the parts of a group's owner share: endpoints, queue and settings."""

from collections.abc import Iterator

from baobabmux_core import (
    capacity,
    declarations,
    fairness,
    first_events,
    ids,
    messages,
    placement,
    quarantine,
    queues,
    rollout_trials,
    shortlists,
)

# Slots are reserved for a tier or for short requests while one of them was
# received within this time.
_RESERVATION_SECONDS = 30.0


class GroupState:
    """Endpoints, queue and declarations of one group.

    Attributes:
        group: The group.
        members: Endpoints of the group.
        queue: Queued requests.
        service: Declaration of the service, or None before the first.
        preset: Preset in force, or None before the first configuration.
        quarantine: Contents and parts under which endpoints have ended.
        granted: Endpoint of each granted request.
        notices: Messages for all nodes.
        first_events: Choice of endpoints for a service that is placed by first
            events.
        trial: Trial of a new version, or None.
        changed_contents: Contents whose quarantine status changed; their
            queued requests must be queued again or refused.
    """

    def __init__(self, group: ids.GroupId, suspects: quarantine.Quarantine):
        self.group = group
        self.members: dict[ids.EndpointId, placement.GroupMember] = {}
        self.queue = queues.GroupQueue()
        self.service: declarations.Service | None = None
        self.preset: declarations.Preset | None = None
        self.quarantine = suspects
        self.granted: dict[ids.RequestId, placement.GroupMember] = {}
        self.notices: list[messages.AnyMessage] = []
        self.changed_contents: list[ids.ContentDigest] = []
        self.first_events = first_events.Chooser()
        self.trial: rollout_trials.Trial | None = None
        self._shortlist = shortlists.Shortlist()
        self._tier_seen_at: dict[int, float] = {}
        self._short_seen_at = float("-inf")

    # Commands.

    def configure_members(
        self, configuration: declarations.Configuration
    ) -> None:
        """Applies the declared endpoints; kept ones keep estimated rates."""
        declared = configuration.group_endpoints(self.group)
        plain = self.service is not None and self.service.kind == "plain"
        for name, endpoint in declared.items():
            member = self.members.get(name)
            if member is None:
                self.members[name] = placement.GroupMember(
                    name, endpoint, plain
                )
                continue
            member.model.declared = endpoint
            member.prefixes.capacity = endpoint.cache_tokens
        self.first_events.configure(self.service, self.members.values())
        if self.service is not None:
            for member in self.members.values():
                member.model.limited_when_slow = (
                    self.service.limits_slow_endpoints
                )
        for name in self.members.keys() - declared.keys():
            self.members[name].open = False
            if not self.members[name].model.running:
                del self.members[name]

    def record_arrival(self, entry: fairness.QueueEntry, now: float) -> None:
        """Records a request for the reservations of its tier and size."""
        self._tier_seen_at[entry.ask.tier] = now
        if entry.short:
            self._short_seen_at = now

    # Queries.

    def short_tokens(self) -> int:
        """Returns the tokens below which a request is short."""
        return self.service.short_tokens if self.service else 0

    def isolates_suspects(self) -> bool:
        """Returns whether suspect contents run alone on an endpoint."""
        return self.service is None or self.service.isolates_suspects

    def is_suspect(self, content: ids.ContentDigest, now: float) -> bool:
        """Returns whether endpoints have ended under a content."""
        status = self.quarantine.status(content, now)
        return status is not quarantine.ContentStatus.CLEAR

    def runs(self) -> Iterator[capacity.RunningRequest]:
        """Yields the granted requests of all endpoints."""
        for member in self.members.values():
            yield from member.model.running.values()

    def has_version(self, version: str | None) -> bool:
        """Returns whether a stream of a version can go on in this group."""
        members = placement.of_version(self.members, version)
        return any(member.open for member in members.values())

    def candidates(self, ask: messages.Ask, now: float) -> shortlists.Members:
        """Returns the endpoints of the versions that may run a request."""
        version = None if ask.terms is None else ask.terms.version
        members = placement.of_version(self.members, version)
        if self.trial is None:
            return members
        return self.trial.candidates(ask, members, now)

    def examined_for(
        self, entry: fairness.QueueEntry, now: float
    ) -> shortlists.Members:
        """Returns the endpoints to examine for a decision about a request."""
        members = self.candidates(entry.ask, now)
        return self._shortlist.choose(members, entry, now)

    def choose(
        self, entry: fairness.QueueEntry, margin: float, now: float
    ) -> placement.GroupMember | placement.NoPlacement:
        """Returns the endpoint for a request, or why it gets none.

        Args:
            entry: The request.
            margin: Factor on predicted durations.
            now: Current time in seconds.
        """
        reserved = self.reserved_share(entry, now)
        if first_events.applies(self.service):
            if self.trial is not None:
                # Each request has candidates of its own.
                self.first_events.slots_changed()
            return self.first_events.choose(
                entry,
                self.candidates(entry.ask, now),
                reserved,
                self.preset,
                now,
            )
        examined = self.examined_for(entry, now)
        return placement.choose(
            entry, examined, reserved, margin, self.preset, now
        )

    def pause_of(self, entry: fairness.QueueEntry, now: float) -> float:
        """Returns the seconds until an endpoint takes a request of its holder.

        It is 0 unless all open endpoints want nothing from the holder.
        """
        if not entry.paused_until:
            return 0.0
        return min(
            (
                entry.pause_left(member.model.endpoint, now)
                for member in self.candidates(entry.ask, now).values()
                if member.open
            ),
            default=0.0,
        )

    def reserved_share(self, entry: fairness.QueueEntry, now: float) -> float:
        """Returns the share of slots that a request must leave free."""
        if self.preset is None:
            return 0.0
        if entry.short:
            # It frees its slot soon, and the slots reserved from long requests
            # are meant for it.
            return 0.0
        share = 0.0
        if now - self._short_seen_at < _RESERVATION_SECONDS:
            share = self.preset.short_share
        tier = entry.ask.tier
        present = [
            rank
            for rank, seen in self._tier_seen_at.items()
            if now - seen < _RESERVATION_SECONDS or rank == tier
        ]
        above = sum(rank < tier for rank in present)
        if above:
            share += self.preset.high_tier_share * above / (len(present) - 1)
        return share
