"""One request that a node holds, from its submission to its end."""

import msgspec

from baobabmux_core import effects, ids, states

# An unanswered `Ask` is repeated after this share of the request's time limit,
# within these bounds. The interval doubles because most requests without an
# answer are queued, not lost.
_REPEAT_SHARE = 0.2
_MIN_REPEAT_SECONDS = 0.5
_FIRST_REPEAT_SECONDS = 4.0
MAX_REPEAT_SECONDS = 16.0

# A waiting request is refused this long before its deadline, or this share of
# its time limit if that is shorter, so that its caller still gets the refusal.
_REFUSAL_SECONDS = 0.2
_REFUSAL_SHARE = 0.25

# Rank above all tiers for a request whose stream broke off: its caller has part
# of the answer and gives up after a pause.
RESUMED_RANK = -1
# Callers abandon a stream after a pause of about eight times `gap_seconds`.
_ABANDONED_GAPS = 7.0

SLOT_STATES = frozenset(
    {
        states.RequestState.GRANTED,
        states.RequestState.CLAIMING,
        states.RequestState.DISPATCHED,
        states.RequestState.STREAMING,
    }
)
RUNNING_STATES = frozenset(
    {states.RequestState.DISPATCHED, states.RequestState.STREAMING}
)


class Held:
    """One request that this node holds.

    Attributes:
        work: The request.
        state: Its state.
        group: Group that was asked for a grant, or that granted it.
        owner: Owner that was asked last, or its successor, or None.
        endpoint: Endpoint that was granted, or None.
        arrival: Time of submission in seconds.
        deadline: Latest end in seconds.
        home: Group that was asked first.
        spilled: Whether another data centre was asked.
        returns_home: Whether the home group is asked again if the other data
            centre refuses the request. This is so if the request moved while
            it was queued, without a refusal from its home group.
        claimed: Whether the claim of its key has won.
        next_ask_at: Time of the next `Ask` or `Reminder` in seconds.
        repeat_seconds: Interval until the repeat after that one.
        lease_end: End of the grant's lease in seconds.
        failures: Number of dispatches that were not sent.
        dispatched_at: Time of the latest dispatch in seconds.
        position_lost: Whether the caller has an event of the stream that no
            endpoint can go on after.
        first_token_at: Time of the first token of this attempt in seconds, or
            None.
        tokens: Output tokens of this attempt so far.
        progressed_at: Time of the latest output in seconds.
        attempt: Number of the current attempt, from 1.
        avoided: Endpoints of earlier attempts that failed or were rejected.
        charged: Whether its workspace's quota was charged.
        declined: Whether the latest grant was declined; it is returned to the
            owner with the next `Ask`.
        acknowledged: Whether the owner has confirmed that it queued the
            request.
        asked_at: Time from which the acknowledgement timeout counts, in
            seconds.
        own_share: Whether the current grant is from the node's own share.
        owner_has_ask: Whether the whole `Ask` was sent to the owner, so that
            repeats can be `Reminder` messages.
        broke_at: Time at which its stream broke off after the first event, or
            fell silent; None otherwise.
        version: Version of endpoints at which its stream may go on, or None
            before its first event.
        dispatched_version: Version of the endpoint of the latest dispatch.
        backs_up: Request that it is a backup of, or None.
        slow_seconds: Time from the dispatch after which it is slow if its
            answer has not begun, 0.0 if that is not known.
        hedged: Whether it is a backup of a slow request, not of a silent one.
    """

    __slots__ = (
        "acknowledged",
        "arrival",
        "asked_at",
        "attempt",
        "avoided",
        "backs_up",
        "broke_at",
        "charged",
        "claimed",
        "deadline",
        "declined",
        "dispatched_at",
        "dispatched_version",
        "endpoint",
        "failures",
        "first_token_at",
        "group",
        "hedged",
        "home",
        "lease_end",
        "next_ask_at",
        "own_share",
        "owner",
        "owner_has_ask",
        "position_lost",
        "progressed_at",
        "repeat_seconds",
        "returns_home",
        "slow_seconds",
        "spilled",
        "state",
        "tokens",
        "version",
        "work",
    )

    def __init__(
        self,
        work: effects.Work,
        group: ids.GroupId,
        deadline: float,
        now: float,
    ):
        self.work = work
        self.state = states.RequestState.RECEIVED
        self.group = group
        self.home = group
        self.owner: ids.NodeId | None = None
        self.endpoint: ids.EndpointId | None = None
        self.arrival = now
        self.deadline = deadline
        self.spilled = False
        self.returns_home = False
        self.claimed = False
        self.next_ask_at = now
        self.repeat_seconds = self.first_repeat()
        self.lease_end = 0.0
        self.failures = 0
        self.dispatched_at = 0.0
        self.first_token_at: float | None = None
        self.position_lost = False
        self.tokens = 0
        self.progressed_at = 0.0
        self.attempt = 1
        self.avoided: tuple[ids.EndpointId, ...] = ()
        self.charged = False
        self.declined = False
        self.acknowledged = False
        self.own_share = False
        self.owner_has_ask = False
        self.asked_at = now
        self.broke_at: float | None = None
        self.version = work.version
        self.dispatched_version = ""
        self.backs_up: Held | None = None
        self.slow_seconds = 0.0
        self.hedged = False

    def backup(self, request: ids.RequestId, now: float) -> "Held":
        """Returns a request for another endpoint beside the current one."""
        work = msgspec.structs.replace(self.work, request=request)
        backup = Held(work, self.group, self.deadline, now)
        backup.state = states.RequestState.QUEUED
        backup.arrival = self.arrival
        backup.home = self.home
        backup.spilled = self.spilled
        backup.claimed = self.claimed
        backup.charged = self.charged
        backup.attempt = self.attempt + 1
        backup.backs_up = self
        backup.avoided = (*self.avoided, self.endpoint)
        backup.version = self.version
        backup.broke_at = self.broke_at
        if self.first_token_at is not None:
            backup.broke_at = self.progressed_at
        return backup

    def target_by(self) -> float | None:
        """Returns the time after which its next event is late, or None."""
        if self.broke_at is None or self.work.gap_seconds is None:
            return self.work.target_by
        return self.broke_at + self.work.gap_seconds

    def useful_by(self) -> float | None:
        """Returns the time after which its next event is useless, or None."""
        if self.broke_at is None or self.work.gap_seconds is None:
            return self.work.first_by
        return self.broke_at + _ABANDONED_GAPS * self.work.gap_seconds

    def written_seconds(self) -> float:
        """Returns the time from the first to the latest event so far."""
        if self.first_token_at is None:
            return 0.0
        return self.progressed_at - self.first_token_at

    def has_terms(self) -> bool:
        """Returns whether its `Ask` carries terms; owners acknowledge these."""
        work = self.work
        return (
            work.first_by is not None
            or work.max_attempts > 1
            or work.cost > 0
            or self.version is not None
            or bool(work.parts)
        )

    def refuse_at(self) -> float:
        """Returns the time at which it is refused unless it is dispatched."""
        time_limit = self.deadline - self.arrival
        margin = min(_REFUSAL_SECONDS, _REFUSAL_SHARE * time_limit)
        useful_by = self.useful_by()
        if useful_by is None:
            return self.deadline - margin
        return min(self.deadline - margin, useful_by)

    def first_repeat(self) -> float:
        """Returns the seconds until an `Ask` is repeated the first time."""
        share = _REPEAT_SHARE * (self.deadline - self.arrival)
        return min(_FIRST_REPEAT_SECONDS, max(_MIN_REPEAT_SECONDS, share))
