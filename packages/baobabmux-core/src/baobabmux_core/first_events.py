"""Choice of an endpoint by predicted first events and pauses.

For services whose callers want the first event as soon as any other. A request
goes where its first event is on time and where reading its prompt makes no
other stream pause for too long. Among these endpoints the one where it ends
soonest wins.
"""

import math
from collections.abc import Iterable, Sequence

from baobabmux_core import (
    declarations,
    endpoint_speed,
    fairness,
    placement,
    shortlists,
)

# Part of the longest pause that reading prompts may take; the rest is for the
# steps of the event itself.
_READING_SHARE = 0.7
# Factor on predicted durations, as the length of an answer is a guess.
_LENGTH_MARGIN = 2.0
# Factor on the reading of prompts by an endpoint of which little is known.
_UNKNOWN_FACTOR = 2.0
# Time that a stream's pause beyond the target costs, in seconds.
_PAUSE_COST_SECONDS = 0.2
# Longest time for which a late request passes over slots where it would make
# other streams pause.
_MAX_PATIENCE_SECONDS = 0.3
# Share by which a further stream delays the others, as it brings prompts.
_CROWDING_SHARE = 0.03
# An endpoint is slower than another only from this factor on; less is within
# the error of the speeds.
_SLOWER_FACTOR = 2.0
# A request stops waiting for a faster endpoint this long before its first event
# would be late at a slow one.
_LAST_MOMENT_SECONDS = 0.05


def applies(service: declarations.Service | None) -> bool:
    """Returns whether a service's requests are placed by first events."""
    return (
        service is not None
        and service.kind == "engine"
        and service.placement == "first_event"
    )


def overhead_seconds(
    members: Sequence[placement.GroupMember], default: float
) -> float:
    """Returns the time to a first event besides reading the prompt."""
    speed = members[0].model.speed if members else None
    return default if speed is None else speed.common.overhead(True)


def crosses(entry: fairness.QueueEntry, member: placement.GroupMember) -> bool:
    """Returns whether an endpoint is in another data centre than the holder."""
    location = member.model.declared.location
    return bool(entry.location and location and entry.location != location)


class Chooser:
    """Chooses endpoints of one group.

    Attributes:
        speeds: Learned speeds of the group's endpoints.
    """

    def __init__(self):
        self.speeds = endpoint_speed.GroupSpeeds()
        self._gap_seconds = 0.0
        # Endpoints that take requests, with and without a free slot, of one
        # round of grants.
        self._usable: (
            tuple[list[placement.GroupMember], list[placement.GroupMember]]
            | None
        ) = None

    def configure(
        self,
        service: declarations.Service | None,
        members: Iterable[placement.GroupMember],
    ) -> None:
        """Gives endpoints their learned speeds and forgets those of others.

        The endpoints of a service that is placed otherwise have none.
        """
        if not applies(service):
            for member in members:
                member.model.speed = None
            return
        self._gap_seconds = service.gap_seconds
        kept = []
        for member in members:
            model = member.model
            kept.append((model.endpoint, model.declared.born_ms))
            model.speed = self.speeds.speed(
                *kept[-1],
                model.declared.prefill_tokens_per_second,
                model.declared.decode_tokens_per_second,
            )
        self.speeds.keep(kept)

    def slots_changed(self) -> None:
        """Called when slots may have been taken, freed, opened or closed."""
        self._usable = None

    def choose(
        self,
        entry: fairness.QueueEntry,
        members: shortlists.Members,
        reserved_share: float,
        preset: declarations.Preset | None,
        now: float,
    ) -> placement.GroupMember | placement.NoPlacement:
        """Returns the endpoint for a request, or why it gets none.

        Args:
            entry: The request. `passed_over_at` is set when it first passes
                over a free slot.
            members: Endpoints of the group.
            reserved_share: Share of the slots that the request must leave
                free.
            preset: Preset in force, or None.
            now: Current time in seconds.
        """
        free, busy = self._usable_for(entry, members, reserved_share, now)
        full = [m for m in free if not m.model.fits(entry.tokens, 0, now)]
        if full:
            free = [member for member in free if member not in full]
            busy = busy + full
        if not free:
            if busy or not members:
                return placement.NoPlacement.CAPACITY
            return placement.NoPlacement.LATE
        cached = [
            member.prefixes.cached_tokens(entry.ask.prefixes) for member in free
        ]
        longest = max(cached)
        wanted_by = entry.first_by if entry.late else entry.target_by
        fastest = _fastest(free + busy)
        is_long = self._pauses_anywhere(entry, fastest)
        best = other = None
        best_cost = other_cost = math.inf
        for member, kept in zip(free, cached, strict=True):
            model = member.model
            uncached = max(0, entry.ask.prompt_tokens - kept)
            is_remote = crosses(entry, member)
            first = now + model.first_event_seconds(uncached, now, is_remote)
            streaming = model.decode_seconds(entry.ask.output_tokens)
            crowding = 1.0 + _CROWDING_SHARE * len(model.running)
            end = first + streaming * crowding
            cost = end + placement.extra_cost(member, longest - kept)
            if is_remote and preset is not None:
                cost += preset.other_centre_seconds
            paused = self._paused_streams(member, uncached, fastest, now)
            cost += _PAUSE_COST_SECONDS * paused
            suits = not paused or (is_long and not _is_slow(member, fastest))
            in_time = now + (end - now) * _LENGTH_MARGIN <= entry.deadline
            if suits and in_time and first <= wanted_by:
                if cost < best_cost:
                    best, best_cost = member, cost
            elif first <= entry.first_by and cost < other_cost:
                other, other_cost = member, cost
        if best is not None:
            if busy and _passes_over(
                entry, best, best_cost, _fastest(busy), now
            ):
                return placement.NoPlacement.AFFINITY
            return best
        if self._may_wait(entry, fastest, now):
            return placement.NoPlacement.AFFINITY
        if entry.late and other is not None:
            return other
        return placement.NoPlacement.LATE

    def _usable_for(
        self,
        entry: fairness.QueueEntry,
        members: shortlists.Members,
        reserved_share: float,
        now: float,
    ) -> tuple[list[placement.GroupMember], list[placement.GroupMember]]:
        """Returns endpoints with a free slot and others that may run it."""
        passed_over = placement.avoided(entry.ask, members)
        is_bound = bool(passed_over or entry.version or entry.paused_until)
        if not is_bound and not reserved_share:
            if self._usable is None:
                self._usable = _split(members.values(), 0.0, now)
            return self._usable
        return _split(
            (
                member
                for name, member in placement.of_version(
                    members, entry.version
                ).items()
                if name not in passed_over
                and not (entry.version and now < member.version_doubted_until)
                and entry.pause_left(name, now) <= 0.0
            ),
            reserved_share,
            now,
        )

    def _paused_streams(
        self,
        member: placement.GroupMember,
        uncached: int,
        fastest: placement.GroupMember,
        now: float,
    ) -> int:
        """Returns the streams that would pause too long by a prompt."""
        model = member.model
        if not self._gap_seconds or not model.running:
            return 0
        reading = model.prefill_seconds(model.prompts.tokens() + uncached)
        if fastest.model.speed.known and not model.speed.known:
            reading *= _UNKNOWN_FACTOR
        reading += model.prompts.busy_seconds(now)
        is_long = reading > _READING_SHARE * self._gap_seconds
        return len(model.running) if is_long else 0

    def _pauses_anywhere(
        self, entry: fairness.QueueEntry, fastest: placement.GroupMember
    ) -> bool:
        """Returns whether a prompt is too long for every endpoint."""
        reading = fastest.model.prefill_seconds(entry.ask.prompt_tokens)
        return 0.0 < _READING_SHARE * self._gap_seconds < reading

    def _may_wait(
        self,
        entry: fairness.QueueEntry,
        fastest: placement.GroupMember,
        now: float,
    ) -> bool:
        """Returns whether an endpoint will soon suit the request better."""
        if entry.passed_over_at is None:
            entry.passed_over_at = now
        since = max(entry.passed_over_at, entry.on_time_start)
        if entry.late and now - since > _MAX_PATIENCE_SECONDS:
            return False
        wanted_by = entry.first_by if entry.late else entry.target_by
        reading = fastest.model.prefill_seconds(entry.ask.prompt_tokens)
        overhead = fastest.model.speed.common.overhead(True)
        return now + reading + overhead <= wanted_by


def _split(
    members: Iterable[placement.GroupMember], reserved_share: float, now: float
) -> tuple[list[placement.GroupMember], list[placement.GroupMember]]:
    free = []
    busy = []
    for member in members:
        if not member.takes_requests(now):
            continue
        model = member.model
        limit = model.limit()
        if reserved_share:
            limit = max(1, limit - math.floor(limit * reserved_share))
        has_slot = model.used(now) < limit and member.admits(now)
        (free if has_slot else busy).append(member)
    return free, busy


def _fastest(
    members: Sequence[placement.GroupMember],
) -> placement.GroupMember:
    """Returns the endpoint with the shortest steps."""
    return min(members, key=lambda member: member.model.speed.step_seconds)


def _is_slow(
    member: placement.GroupMember, fastest: placement.GroupMember
) -> bool:
    """Returns whether an endpoint is much slower than another."""
    return member.model.speed.step_seconds > (
        _SLOWER_FACTOR * fastest.model.speed.step_seconds
    )


def _passes_over(
    entry: fairness.QueueEntry,
    best: placement.GroupMember,
    best_cost: float,
    busy: placement.GroupMember,
    now: float,
) -> bool:
    """Returns whether a request leaves a slow slot to shorter ones.

    It waits for a faster endpoint for a part of the time by which it would end
    sooner there, while its first event would still be on time here.
    """
    is_slow = best.model.speed.known and _is_slow(best, busy)
    if entry.late or not is_slow:
        return False
    ask = entry.ask
    sooner = best_cost - (
        now
        + busy.model.prefill_seconds(ask.prompt_tokens)
        + busy.model.decode_seconds(ask.output_tokens)
    )
    if entry.passed_over_at is None:
        entry.passed_over_at = now
    waited = now - entry.passed_over_at
    if waited >= placement.MAX_WAIT_PER_SECOND_SOONER * sooner:
        return False
    first = best.model.first_event_seconds(
        ask.prompt_tokens, now, crosses(entry, best)
    )
    return now + first + _LAST_MOMENT_SECONDS < entry.target_by
