"""Lifecycle of the requests whose callers are connected to this node.

The holder keeps each request from submission to its end. It sends an `Ask` to
the owner of a group, dispatches on the owner's `Grant`, reports progress and
the release of the slot, and repeats messages that may have been lost.
"""

import collections
import random
from collections.abc import Callable, Set

from baobabmux_core import (
    asks,
    effects,
    errors,
    held_requests,
    ids,
    messages,
    pauses,
    registers,
    retries,
    states,
    stream_progress,
)

IsOpen = Callable[[ids.EndpointId], bool]
OwnerOf = Callable[[ids.GroupId], ids.NodeId | None]

# A queued request may move to another data centre after it has waited for this
# share of its time limit, and at least for `_MIN_MOVE_WAIT_SECONDS`. A shorter
# wait would move requests that are about to be granted away from their cached
# prefixes.
_MOVE_WAIT_SHARE = 0.1
# A request that waits in another data centre for a cached prefix returns to
# its local group after a smaller share.
_RETURN_WAIT_SHARE = 0.05
_MIN_MOVE_WAIT_SECONDS = 0.25

# A longer gap between ticks means that the process was paused; owners have
# dropped its queued requests in the meantime.
_PAUSE_SECONDS = 1.5
_NO_ENDPOINT_RETRY_SECONDS = 2.0
# A route whose service was removed has been moved or removed as well.
_UNDECLARED_RETRY_SECONDS = 0.5
# An owner acknowledges an `Ask` with terms within a round trip of a few
# milliseconds, or within tens of milliseconds if it is busy.
_ACK_TIMEOUT_SECONDS = 0.15
# After an acknowledgement timed out, the owner counts as unresponsive for this
# time, and new requests are granted at once from the node's own share: an equal
# part of each endpoint's slots.
_UNRESPONSIVE_SECONDS = 1.0
_FALLBACK_LEASE_SECONDS = 1.0
# A data centre that is cut off stays so for seconds, and each attempt to
# connect to it delays a request by a third of a second.
_UNREACHABLE_SECONDS = 1.5
# Lost links are probed at this interval.
_UNREACHED_SECONDS = 0.5

# Refusals that another data centre would repeat.
_FINAL_REFUSALS = frozenset(
    {errors.ErrorKind.QUARANTINED, errors.ErrorKind.OVER_QUOTA}
)


class Holder:
    """Keeps requests from submission to their end and asks for grants.

    Attributes:
        node: Name of this node.
        held: Requests that have not ended, by identifier.
        is_open: Returns whether this node may send new work to an endpoint.
            It is checked again before the dispatch, because the answer may
            have changed while the grant was in transit.
        ended_before: Returns whether an endpoint had ended by a time under the
            content of a request or a part of its prompt.
        knows_hedges: Returns whether an owner's build bounds hedges.
        version_of: Returns the version of an endpoint, or None if it is not
            declared.
        members_of: Returns the endpoints of a group.
        names_route: Returns whether owners have to know the routes of a
            service's requests.
        pauses: Endpoints that want nothing from this node for a while.
        unreachable: Endpoints that could not be connected to, with the time
            until which they are not chosen from the node's own share.
        fallback: Chooses an endpoint from the node's own share while the
            owner is unresponsive, or returns None.
    """

    def __init__(
        self,
        node: ids.NodeId,
        owner_of: OwnerOf,
        is_open: IsOpen,
        local_group: Callable[[effects.Work], ids.GroupId | None],
        seed: int,
    ):
        self.node = node
        self.held: dict[ids.RequestId, held_requests.Held] = {}
        self.is_open = is_open
        self._owner_of = owner_of
        self._local_group = local_group
        self._generator = random.Random(seed)
        self._retry_budget = retries.RetryBudget()
        # Bounded by the number of groups.
        self._asked_groups: set[ids.GroupId] = set()
        self._registers = registers.Registers(self.held, owner_of)
        self._progress = stream_progress.StreamProgress(owner_of)
        self._last_tick: float | None = None
        self.unreachable: dict[ids.EndpointId, float] = {}
        self.pauses = pauses.EndpointPauses()
        self.names_route: Callable[[ids.ServiceName], bool] = lambda service: (
            False
        )
        self.members_of: Callable[[ids.GroupId], Set[ids.EndpointId]] = (
            lambda group: frozenset()
        )
        self.fallback: Callable[
            [held_requests.Held, float], ids.EndpointId | None
        ] = lambda held, now: None
        self.ended_before: Callable[[effects.Work, float], bool] = (
            lambda work, at: False
        )
        self.knows_hedges: Callable[[ids.NodeId], bool] = lambda owner: True
        self.version_of: Callable[[ids.EndpointId], str | None] = (
            lambda endpoint: None
        )
        self._unresponsive_until: dict[ids.NodeId, float] = {}

    # Commands from the caller's connection.

    def submit(
        self,
        work: effects.Work,
        group: ids.GroupId,
        deadline: float,
        now: float,
    ) -> list[effects.Effect]:
        """Accepts a request and asks the owner of a group for a grant."""
        if work.request in self.held:
            return []
        held = held_requests.Held(work, group, deadline, now)
        self.held[work.request] = held
        held.state = states.RequestState.QUEUED
        self._retry_budget.deposit()
        owner = self._owner_of(group)
        if self._unresponsive_until.get(owner, 0.0) > now and held.has_terms():
            emitted = self._grant_from_share(held, now)
            if emitted:
                return emitted
        return self._ask(held, now)

    def ask_backup(
        self,
        request: ids.RequestId,
        backup: ids.RequestId,
        now: float,
        hedged: bool = False,
    ) -> list[effects.Effect]:
        """Asks for another endpoint while a request runs on.

        Args:
            request: Request whose endpoint is silent.
            backup: Identifier under which the other endpoint is asked for. It
                is dispatched, refused and cancelled like a request.
            now: Current time in seconds.
            hedged: Whether it is only slow. Another endpoint is then granted
                at once or not at all.

        Returns:
            Effects to carry out; none if the request may not run again.
        """
        held = self.held.get(request)
        if (
            held is None
            or held.state not in held_requests.RUNNING_STATES
            or not self._may_repeat(held, states.Outcome.BROKEN)
        ):
            return []
        if hedged and not self._may_hedge(held):
            return []
        self.held[backup] = held.backup(backup, now)
        self.held[backup].hedged = hedged
        return self._ask(self.held[backup], now)

    def _may_hedge(self, held: held_requests.Held) -> bool:
        owner = self._owner_of(held.group)
        return (
            held.attempt == 1
            and held.first_token_at is None
            and owner is not None
            and self.knows_hedges(owner)
        )

    def cancel(
        self, request: ids.RequestId, now: float
    ) -> list[effects.Effect]:
        """Drops a request that has not been dispatched.

        A dispatched request ends with `finished`, after the driver has
        cancelled it at the endpoint.
        """
        held = self.held.get(request)
        if held is None or held.state in held_requests.RUNNING_STATES:
            return []
        return self._drop(held, states.RequestState.CANCELLED)

    def start_dispatch(self, request: ids.RequestId, now: float) -> bool:
        """Commits to a dispatch; returns whether it is still permitted."""
        held = self.held.get(request)
        if held is None or held.state is not states.RequestState.GRANTED:
            return False
        if now >= held.lease_end or now >= held.deadline:
            self._requeue(held, now)
            return False
        is_paused = self.pauses.seconds_left(held.endpoint, now) > 0.0
        version = self.version_of(held.endpoint) or ""
        # Its entry may have changed while the grant was in transit.
        is_other_version = held.version and version != held.version
        if is_paused or is_other_version or not self.is_open(held.endpoint):
            # The owner may not know the reason yet and would repeat the grant.
            held.declined = True
            self._requeue(held, now)
            return False
        held.state = states.RequestState.DISPATCHED
        held.dispatched_at = now
        held.dispatched_version = version
        if held.backs_up is not None:
            # The route limits the endpoints of both together.
            held.backs_up.attempt = held.attempt
        return True

    def first_token(
        self, request: ids.RequestId, now: float
    ) -> list[effects.Effect]:
        """Records the time of the first token of the answer."""
        held = self.held.get(request)
        if held is None or held.state is not states.RequestState.DISPATCHED:
            return []
        held.state = states.RequestState.STREAMING
        held.first_token_at = now
        held.progressed_at = now
        if held.work.resumable and held.version is None:
            held.version = held.dispatched_version
            declared = self.version_of(held.endpoint)
            if declared is not None and declared != held.version:
                # Either version may have begun the stream.
                held.version = ""
        return []

    def position_lost(self, request: ids.RequestId) -> bool:
        """Records that no other endpoint can go on with a stream.

        Returns:
            Whether another one could have until now.
        """
        held = self.held.get(request)
        if held is None or held.position_lost or not held.work.resumable:
            return False
        held.position_lost = True
        return True

    def progress(
        self, request: ids.RequestId, tokens: int, now: float
    ) -> list[effects.Effect]:
        """Records the output tokens so far."""
        held = self.held.get(request)
        if held is None or held.state not in held_requests.RUNNING_STATES:
            return []
        self.first_token(request, now)
        held.tokens = max(held.tokens, tokens)
        held.progressed_at = now
        return []

    def claim_decided(
        self,
        request: ids.RequestId,
        won: bool,
        now: float,
        kind: errors.ErrorKind | None,
        retry_after: float | None,
    ) -> list[effects.Effect]:
        """Dispatches a request whose claim won, or refuses it."""
        held = self.held.get(request)
        if (
            held is None
            or held.state in held_requests.RUNNING_STATES
            or held.claimed
        ):
            return []
        if not won:
            return self._refuse(
                held, kind or errors.ErrorKind.INTERNAL, retry_after
            )
        held.claimed = True
        if held.state is not states.RequestState.CLAIMING:
            return []
        held.state = states.RequestState.GRANTED
        return self._dispatch(held, now)

    def finished(
        self,
        request: ids.RequestId,
        outcome: states.Outcome,
        now: float,
        computed_tokens: int,
        output_tokens: int,
        succeeded: bool = True,
        superseded: bool = False,
    ) -> list[effects.Effect]:
        """Ends an attempt; depending on the outcome, another one follows."""
        held = self.held.get(request)
        if held is None or held.state not in (
            held_requests.RUNNING_STATES | {states.RequestState.GRANTED}
        ):
            return []
        release = self._release(
            held, outcome, now, computed_tokens, output_tokens, succeeded
        )
        if outcome is states.Outcome.COMPLETED:
            self._progress.observe(held, output_tokens, now)
        if outcome is states.Outcome.UNREACHED:
            # The owner grants other endpoints until the link is probed again.
            self.pauses.observe(held.endpoint, _UNREACHED_SECONDS, now)
        if outcome in states.UNSENT_OUTCOMES:
            self.unreachable[held.endpoint] = now + _UNREACHABLE_SECONDS
            return [release, *self._retry(held, now)]
        if not superseded and self._may_repeat(held, outcome):
            held.attempt += 1
            if held.first_token_at is not None:
                held.broke_at = now
            held.avoided = (*held.avoided, held.endpoint)
            self._requeue(held, now)
            return [release, *self._ask(held, now)]
        held.state = {
            states.Outcome.COMPLETED: states.RequestState.DONE,
            states.Outcome.CANCELLED: states.RequestState.CANCELLED,
            # The request reached an engine, so another engine would mean a
            # second dispatch although the first one did not run it.
            states.Outcome.REJECTED: states.RequestState.REFUSED,
        }.get(outcome, states.RequestState.FAILED)
        del self.held[request]
        return [release]

    def may_repeat(
        self, request: ids.RequestId, outcome: states.Outcome
    ) -> bool:
        """Returns whether `finished` would try another endpoint."""
        held = self.held.get(request)
        return held is not None and self._may_repeat(held, outcome)

    def _may_repeat(
        self, held: held_requests.Held, outcome: states.Outcome
    ) -> bool:
        """Returns whether another endpoint may be tried after an attempt."""
        work = held.work
        if held.attempt >= work.max_attempts:
            return False
        if outcome is states.Outcome.REJECTED:
            return True
        if held.position_lost or (
            held.first_token_at is not None and not work.resumable
        ):
            # The caller already has part of the answer.
            return False
        if not work.idempotent or outcome not in (
            states.Outcome.FAILED,
            states.Outcome.BROKEN,
            states.Outcome.GARBAGE,
        ):
            return False
        # A content that may have ended an endpoint before gets one attempt, so
        # that it ends one more at most.
        return outcome is states.Outcome.FAILED or not self.ended_before(
            work, held.arrival
        )

    def refuse_quarantined(
        self, refused_for: Callable[[effects.Work], float | None]
    ) -> list[effects.Effect]:
        """Refuses requests that were not dispatched.

        Args:
            refused_for: Returns the seconds for which a request is refused, or
                None.
        """
        emitted = []
        for held in list(self.held.values()):
            if held.state in held_requests.RUNNING_STATES:
                continue
            seconds = refused_for(held.work)
            if seconds is not None:
                emitted += self._refuse(
                    held, errors.ErrorKind.QUARANTINED, seconds
                )
        return emitted

    def refuse_undeclared(
        self, declared: Set[ids.ServiceName]
    ) -> list[effects.Effect]:
        """Refuses undispatched requests for services that are not declared.

        Args:
            declared: Services of the configuration in force.
        """
        emitted = []
        for held in list(self.held.values()):
            if (
                held.state in held_requests.RUNNING_STATES
                or held.work.service in declared
            ):
                continue
            emitted += self._refuse(
                held, errors.ErrorKind.NO_ENDPOINT, _UNDECLARED_RETRY_SECONDS
            )
        return emitted

    # Messages from owners.

    def queued(self, request: ids.RequestId, sender: ids.NodeId) -> None:
        """Records that the owner has queued a request."""
        self._unresponsive_until.pop(sender, None)
        held = self.held.get(request)
        if held is not None and held.owner == sender:
            held.acknowledged = True

    def forgotten(
        self, request: ids.RequestId, sender: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Sends the whole `Ask` again to an owner that does not have it."""
        held = self.held.get(request)
        if (
            held is None
            or held.owner != sender
            or held.state is not states.RequestState.QUEUED
        ):
            return []
        held.owner_has_ask = False
        return self._ask(held, now)

    def _grant_from_share(
        self, held: held_requests.Held, now: float
    ) -> list[effects.Effect]:
        """Grants from the node's own share; the owner is unresponsive."""
        if held.hedged:
            return []
        endpoint = self.fallback(held, now)
        if endpoint is None:
            return []
        held.endpoint = endpoint
        held.lease_end = now + _FALLBACK_LEASE_SECONDS
        held.state = states.RequestState.GRANTED
        held.charged = True
        held.own_share = True
        self._registers.granted_from_share(held.group)
        return self._claim_or_dispatch(held, now)

    def charged(
        self, answer: messages.QuotaAnswer, now: float
    ) -> list[effects.Effect]:
        """Grants a request from the own share after a deputy charged it."""
        held = self.held.get(answer.request)
        if (
            held is None
            or not answer.charged
            or held.state is not states.RequestState.QUEUED
        ):
            return []
        held.charged = True
        if held.acknowledged:
            return []
        return self._grant_from_share(held, now)

    def granted(
        self, grant: messages.Grant, sender: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Uses a grant, or returns it to the owner."""
        self._unresponsive_until.pop(sender, None)
        held = self.held.get(grant.request)
        if (
            held is not None
            and held.endpoint == grant.endpoint
            and (held.state in held_requests.SLOT_STATES)
        ):
            return []
        if (
            held is None
            or sender != held.owner
            or (held.state is not states.RequestState.QUEUED)
        ):
            return self._return_grant(grant, held, sender)
        held.endpoint = grant.endpoint
        # The grant may have been in the socket since the last tick, so its
        # lease counts from then.
        arrived = now if self._last_tick is None else self._last_tick
        held.lease_end = arrived + grant.lease_ms / 1000
        held.slow_seconds = grant.slow_ms / 1000
        held.state = states.RequestState.GRANTED
        held.charged = True
        held.own_share = False
        self._registers.expect(held.group)
        return self._claim_or_dispatch(held, now)

    def refused(
        self,
        refusal: messages.Refusal,
        sender: ids.NodeId,
        find_spill_group: Callable[[held_requests.Held], ids.GroupId | None],
        now: float,
    ) -> list[effects.Effect]:
        """Refuses a request, or asks another data centre once.

        Args:
            refusal: The owner's answer.
            sender: The owner.
            find_spill_group: Returns a group of another data centre that
                would finish the request in time, or None.
            now: Current time in seconds.
        """
        self._unresponsive_until.pop(sender, None)
        held = self.held.get(refusal.request)
        if (
            held is None
            or sender != held.owner
            or (held.state is not states.RequestState.QUEUED)
        ):
            return []
        kind = errors.ErrorKind(refusal.kind)
        if kind not in _FINAL_REFUSALS:
            if held.returns_home:
                held.returns_home = False
                return self._ask_group(held, held.home, now)
            group = None if held.spilled else find_spill_group(held)
            if group is not None:
                held.spilled = True
                return self._ask_group(held, group, now)
        return self._refuse(
            held, kind, refusal.retry_after_ms / 1000, withdraw=False
        )

    # Time and membership.

    def owner_changed(
        self, group: ids.GroupId, now: float
    ) -> list[effects.Effect]:
        """Registers with the new owner of a group and repeats every `Ask`."""
        emitted = self._registers.register(group, now)
        owner = self._owner_of(group)
        for held in list(self.held.values()):
            if held.group != group or held.owner == owner:
                continue
            if held.state is states.RequestState.QUEUED:
                emitted += self._ask(held, now)
            else:
                held.owner = owner
        return emitted

    def owner_restarted(
        self, owner: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Registers with a restarted owner and repeats every `Ask`."""
        emitted = []
        for group in sorted(self.groups()):
            if self._owner_of(group) == owner:
                emitted += self._registers.register(group, now)
        for held in list(self.held.values()):
            if held.owner == owner and (
                held.state is states.RequestState.QUEUED
            ):
                held.acknowledged = False
                held.owner_has_ask = False
                held.repeat_seconds = held.first_repeat()
                emitted += self._ask(held, now)
        return emitted

    def leave_unreachable_group(
        self, group: ids.GroupId, now: float
    ) -> list[effects.Effect]:
        """Moves queued requests of an unreachable group to the local group."""
        emitted = []
        for held in list(self.held.values()):
            if held.group != group or (
                held.state is not states.RequestState.QUEUED
            ):
                continue
            local = self._local_group(held.work)
            if local is not None and local != group:
                held.returns_home = False
                held.home = local
                emitted += self._ask_group(held, local, now)
        return emitted

    def groups(self) -> set[ids.GroupId]:
        """Returns the groups that requests of this node are assigned to."""
        return {held.group for held in self.held.values()}

    def running_counts(self) -> collections.Counter[ids.EndpointId]:
        """Returns how many slots of each endpoint this node occupies."""
        return collections.Counter(
            held.endpoint
            for held in self.held.values()
            if held.state in held_requests.SLOT_STATES
        )

    def tick(
        self,
        now: float,
        move_target: Callable[[held_requests.Held], ids.GroupId | None],
    ) -> list[effects.Effect]:
        """Repeats asks, refuses late requests, moves others, reports progress.

        Args:
            now: Current time in seconds.
            move_target: Returns the group that a queued request should move
                to, or None.
        """
        paused = self._last_tick is not None and (
            now - self._last_tick > _PAUSE_SECONDS
        )
        self._last_tick = now
        emitted = []
        emitted += self._registers.own_shares(now)
        for held in list(self.held.values()):
            emitted += self._check_held(held, paused, now)
            if self._may_move(held, now) and (group := move_target(held)):
                emitted += self._move(held, group, now)
        if self._progress.is_due(now):
            running = (
                held
                for held in self.held.values()
                if held.state in held_requests.RUNNING_STATES
            )
            emitted += self._progress.reports(running, now)
            emitted += self._registers.repeats(now)
        return emitted

    def _check_held(
        self, held: held_requests.Held, paused: bool, now: float
    ) -> list[effects.Effect]:
        if held.state in held_requests.RUNNING_STATES:
            return []
        if now >= held.refuse_at():
            return self._refuse(
                held,
                errors.ErrorKind.DEADLINE_PASSED,
                _NO_ENDPOINT_RETRY_SECONDS,
            )
        if held.state is states.RequestState.QUEUED:
            if self._is_unanswered(held, now):
                if held.owner is not None:
                    self._unresponsive_until[held.owner] = (
                        now + _UNRESPONSIVE_SECONDS
                    )
                if emitted := self._grant_from_share(held, now):
                    return emitted
            if paused:
                held.owner_has_ask = False
            return (
                self._ask(held, now)
                if paused or now >= held.next_ask_at
                else []
            )
        if now >= held.lease_end and (
            held.state is states.RequestState.GRANTED
        ):
            self._requeue(held, now)
            return self._ask(held, now)
        return []

    def _is_unanswered(self, held: held_requests.Held, now: float) -> bool:
        return (
            held.has_terms()
            and not held.acknowledged
            and now - held.asked_at >= _ACK_TIMEOUT_SECONDS
        )

    def _may_move(self, held: held_requests.Held, now: float) -> bool:
        if held.state is not states.RequestState.QUEUED or held.spilled:
            return False
        time_limit = held.deadline - held.arrival
        away = held.group != self._local_group(held.work)
        share = _RETURN_WAIT_SHARE if away else _MOVE_WAIT_SHARE
        if not held.work.prefixes:
            share = 0.0  # The move loses no cached prefix.
        min_wait = max(_MIN_MOVE_WAIT_SECONDS, share * time_limit)
        return now - held.arrival >= min_wait

    def _move(
        self, held: held_requests.Held, group: ids.GroupId, now: float
    ) -> list[effects.Effect]:
        held.spilled = True
        held.returns_home = True
        emitted: list[effects.Effect] = []
        if held.owner is not None:
            withdraw = messages.Withdraw(held.group, held.work.request)
            emitted.append(effects.Send(held.owner, withdraw))
        return emitted + self._ask_group(held, group, now)

    # Helpers.

    def _ask_group(
        self, held: held_requests.Held, group: ids.GroupId, now: float
    ) -> list[effects.Effect]:
        held.group = group
        held.owner_has_ask = False
        held.repeat_seconds = held.first_repeat()
        return self._ask(held, now)

    def _ask(
        self, held: held_requests.Held, now: float
    ) -> list[effects.Effect]:
        request = held.work.request
        previous = held.owner
        held.owner = self._owner_of(held.group)
        self._asked_groups.add(held.group)
        if held.owner != previous or not held.acknowledged:
            held.acknowledged = False
            held.asked_at = now
        held.next_ask_at = now + held.repeat_seconds
        held.repeat_seconds = min(
            held_requests.MAX_REPEAT_SECONDS, 2 * held.repeat_seconds
        )
        if held.owner is None:
            return []
        if held.owner != previous:
            held.owner_has_ask = False
            held.repeat_seconds = held.first_repeat()
        if held.owner_has_ask and (held.acknowledged or not held.has_terms()):
            reminder = messages.Reminder(held.group, request)
            return [effects.Send(held.owner, reminder)]
        held.owner_has_ask = True
        emitted: list[effects.Effect] = []
        if held.declined:
            held.declined = False
            withdraw = messages.Withdraw(held.group, request)
            emitted.append(effects.Send(held.owner, withdraw))
        ask = asks.build(
            held,
            self._paused_members(held.group, now),
            now,
            names_route=self.names_route(held.work.service),
        )
        return [*emitted, effects.Send(held.owner, ask)]

    def _paused_members(
        self, group: ids.GroupId, now: float
    ) -> dict[ids.EndpointId, float]:
        active = self.pauses.active(now)
        if not active:
            return active
        members = self.members_of(group)
        return {name: active[name] for name in active.keys() & members}

    def _claim_or_dispatch(
        self, held: held_requests.Held, now: float
    ) -> list[effects.Effect]:
        """Dispatches a granted request, after the claim of its key if any."""
        if held.work.needs_claim and not held.claimed:
            held.state = states.RequestState.CLAIMING
            return [effects.Claim(held.work.request)]
        return self._dispatch(held, now)

    def _dispatch(
        self, held: held_requests.Held, now: float
    ) -> list[effects.Effect]:
        if now >= held.lease_end:
            # The next tick asks again. An immediate `Ask` could loop without
            # end: the lease of a grant counts from the last tick, so until
            # the next one every grant may be expired on arrival.
            self._requeue(held, now)
            return []
        return [
            effects.Dispatch(held.work.request, held.endpoint, held.own_share)
        ]

    def _requeue(self, held: held_requests.Held, now: float) -> None:
        """Returns a request to the queued state; the next tick asks again."""
        held.state = states.RequestState.QUEUED
        held.endpoint = None
        held.first_token_at = None
        held.tokens = 0
        held.acknowledged = False
        held.owner_has_ask = False
        held.asked_at = now
        held.next_ask_at = now
        held.repeat_seconds = held.first_repeat()

    def _retry(
        self, held: held_requests.Held, now: float
    ) -> list[effects.Effect]:
        held.failures += 1
        if not self._retry_budget.withdraw():
            return self._refuse(
                held,
                errors.ErrorKind.NO_ENDPOINT,
                _NO_ENDPOINT_RETRY_SECONDS,
                withdraw=False,
            )
        self._requeue(held, now)
        if held.has_terms():
            # The owner counts the failure and chooses another endpoint.
            return self._ask(held, now)
        held.next_ask_at = now + retries.backoff(held.failures, self._generator)
        return []

    def _refuse(
        self,
        held: held_requests.Held,
        kind: errors.ErrorKind,
        retry_after: float | None,
        *,
        withdraw: bool = True,
    ) -> list[effects.Effect]:
        emitted = self._drop(held, states.RequestState.REFUSED)
        if not withdraw:
            emitted = []
        return [
            *emitted,
            effects.Refuse(held.work.request, kind, retry_after),
        ]

    def _drop(
        self, held: held_requests.Held, state: states.RequestState
    ) -> list[effects.Effect]:
        held.state = state
        del self.held[held.work.request]
        if held.owner is None:
            return []
        return [
            effects.Send(
                held.owner, messages.Withdraw(held.group, held.work.request)
            )
        ]

    def _return_grant(
        self,
        grant: messages.Grant,
        held: held_requests.Held | None,
        sender: ids.NodeId,
    ) -> list[effects.Effect]:
        # A grant does not name its group; the owner searches all groups that
        # it owns for the request. In case the message is lost, registers show
        # the owner that the slot is not in use.
        group = held.group if held is not None else ids.GroupId("")
        for asked in self._asked_groups:
            if self._owner_of(asked) == sender:
                self._registers.expect(asked)
        return [effects.Send(sender, messages.Withdraw(group, grant.request))]

    def _release(
        self,
        held: held_requests.Held,
        outcome: states.Outcome,
        now: float,
        computed_tokens: int,
        output_tokens: int,
        succeeded: bool,
    ) -> effects.Effect:
        first = held.first_token_at if held.first_token_at is not None else now
        message = messages.Release(
            held.group,
            held.work.request,
            held.endpoint,
            outcome.code,
            computed_tokens,
            output_tokens,
            max(0, round((first - held.dispatched_at) * 1000)),
            max(0, round((now - first) * 1000)),
            succeeded,
        )
        owner = self._owner_of(held.group) or held.owner
        return effects.Send(owner, message)
