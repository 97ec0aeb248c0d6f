"""The trial of a new version at the owner of a group of endpoints.

The owner sees every request of its group. It decides which version a request
may go to, keeps the new version within its share, compares the answers of both
and concludes whether the new version replaces the old one.
"""

from __future__ import annotations

import collections
import enum
import typing
from collections.abc import Mapping

import msgspec

from baobabmux_core import (
    ids,
    messages,
    rollout_judgement,
    rollout_shares,
    states,
)

if typing.TYPE_CHECKING:
    from baobabmux_core import placement

Members = Mapping[ids.EndpointId, "placement.GroupMember"]

# Part of the time at which a version without evidence against it is promoted,
# and up to which one with some evidence, or too few answers, is tried on.
_PROMOTE_SHARE = 0.64
_LATEST_PROMOTE_SHARE = 0.72
_DOUBTED_EVIDENCE = 5.0
_LATEST_EVIDENCE = 25.0
_ENOUGH_ANSWERS = 60
# Part of the time in which the share grows from the trial's to all requests.
_PROMOTION_SHARE = 0.1
# Time before the deadline at which the old endpoints are given up although
# requests run there: the result is then written to the store.
_WRITE_SECONDS = 1.2
_MAX_WRITE_SHARE = 0.1
# Bounds the memory of grants whose end is never reported.
_MAX_GRANTED = 20_000
_OVERHEAD_SECONDS = 0.05
_FAILED_OUTCOMES = states.BROKEN_OUTCOMES | {states.Outcome.FAILED}


class Phase(enum.Enum):
    """How far a roll-out is; the values are sent to other nodes."""

    WAITING = 0  # No endpoint runs the new version yet.
    TRYING = 1
    PROMOTING = 2
    FINISHING = 3  # Only the result "completed" remains to be written.
    REVERTING = 4  # Only the result "rolled back" remains to be written.
    COMPLETED = 5
    ROLLED_BACK = 6


FINAL_PHASES = frozenset({Phase.COMPLETED, Phase.ROLLED_BACK})
"""Phases whose result is in the store."""


class Order(msgspec.Struct, frozen=True):
    """An operator's order to move a service to another version.

    Attributes:
        service: Service.
        target: Version to move it to.
        seconds: Time from the order to its deadline.
        number: Number of the order; a later one has a larger number.
        began_at: Time of the order in seconds.
    """

    service: ids.ServiceName
    target: str
    seconds: float
    number: int
    began_at: float

    def elapsed(self, now: float) -> float:
        """Returns the part of the time that is over."""
        return (now - self.began_at) / max(self.seconds, 0.001)

    @property
    def deadline(self) -> float:
        """Time in seconds until which the roll-out has to be completed."""
        return self.began_at + self.seconds


class _Run(msgspec.Struct, frozen=True):
    """A granted request."""

    is_new: bool
    share: float
    place_share: float
    route: int
    load: float
    prompt_tokens: int
    output_tokens: int


class VersionCounts(msgspec.Struct):
    """What became of the requests of one version.

    Attributes:
        granted: Requests that were granted.
        answers: Answers, failed ones included.
        failed: Failed answers.
        seconds: Sum of the times of answers that did not fail.
    """

    granted: int = 0
    answers: int = 0
    failed: int = 0
    seconds: float = 0.0


class Trial:
    """One order at the owner of a group.

    Attributes:
        order: The order.
        phase: How far it is.
        reason: Why it is rolled back, or an empty text.
        exposure: Requests of the service and of the new version.
        judgement: Evidence against the new version.
        counts: Counts of the old (False) and the new version (True).
    """

    def __init__(
        self,
        order: Order,
        phase: Phase,
        bound: rollout_shares.ExposureBound,
    ):
        self.order = order
        self.phase = phase
        self.reason = ""
        self.exposure = rollout_shares.ExposureCount(bound)
        self.judgement = rollout_judgement.Judgement(
            order.began_at, order.seconds
        )
        self.counts = {False: VersionCounts(), True: VersionCounts()}
        self._promoted_at: float | None = None
        # Place of the endpoint that is tried now, or None if none has room.
        self._tried_place: str | None = None
        self._old_places: collections.Counter[str] = collections.Counter()
        self._granted: collections.OrderedDict[ids.RequestId, _Run] = (
            collections.OrderedDict()
        )

    # Which version a request may go to.

    def share(self, now: float) -> float:
        """Returns the share of new requests that the new version gets."""
        if self.phase is Phase.TRYING:
            return rollout_shares.trial_share(
                self.exposure.bound, self.order.elapsed(now)
            )
        if self.phase is Phase.PROMOTING:
            return rollout_shares.promotion_share(self._promoted_share(now))
        if self.phase in (Phase.FINISHING, Phase.COMPLETED):
            return 1.0
        return 0.0

    def candidates(
        self, ask: messages.Ask, members: Members, now: float
    ) -> Members:
        """Returns the endpoints that a request may go to.

        Args:
            ask: The request.
            members: Endpoints of the version of its stream, or all.
            now: Current time in seconds.
        """
        new = {
            name: member
            for name, member in members.items()
            if self.is_target(member)
        }
        if not new:
            return members
        old = {n: member for n, member in members.items() if n not in new}
        terms = ask.terms
        if terms is not None and terms.version is not None:
            return members
        share = self.share(now)
        if share >= 1.0 or not any(member.open for member in old.values()):
            # Callers come before the bounds of an unproven version.
            return new
        is_first = terms is None or terms.attempt == 1
        if not is_first or not rollout_shares.is_chosen(
            self.order.number, ask.request, share
        ):
            return old
        return self._trial_members(new, now) or old

    def _trial_members(self, new: Members, now: float) -> Members:
        """Returns the endpoints of the new version that are used now."""
        self._tried_place = None
        if self.phase is Phase.TRYING and not self.exposure.permits():
            return {}
        usable = [
            name
            for name, member in new.items()
            if member.open and member.takes_requests(now)
        ]
        if self.phase is Phase.PROMOTING:
            return {name: new[name] for name in usable}
        for name in rollout_shares.trial_order(
            self.order.number,
            usable,
            self.exposure.sent,
            self.order.elapsed(now),
        ):
            if new[name].has_slot(now):
                self._tried_place = _place(new[name])
                return {name: new[name]}
        return {}

    def is_target(self, member: placement.GroupMember) -> bool:
        """Returns whether an endpoint runs the new version."""
        return member.model.declared.version == self.order.target

    # What becomes of the requests.

    def reached(self, ask: messages.Ask) -> None:
        """Counts a request that has reached the owner."""
        if ask.terms is None or ask.terms.attempt == 1:
            self.exposure.reached += 1

    def granted(
        self, ask: messages.Ask, member: placement.GroupMember, now: float
    ) -> None:
        """Records that a request was granted to an endpoint."""
        is_new = self.is_target(member)
        self.exposure.sent += is_new
        self.counts[is_new].granted += 1
        model = member.model
        run = _Run(
            is_new,
            self.share(now),
            self._share_at(_place(member), is_new, now),
            0 if ask.terms is None else ask.terms.route,
            model.used(now) / max(1, model.limit()),
            ask.prompt_tokens,
            ask.output_tokens,
        )
        self.judgement.granted(is_new, run.load, now)
        self._granted[ask.request] = run
        if len(self._granted) > _MAX_GRANTED:
            self._granted.popitem(last=False)

    def _share_at(self, place: str, is_new: bool, now: float) -> float:
        """Returns the odds at which a request at a place meets the new version.

        Tried endpoints stand at one place at a time, the old ones at all.
        """
        if not is_new:
            self._old_places[place] += 1
        share = self.share(now)
        if self.phase is not Phase.TRYING:
            return share
        if place != self._tried_place and not is_new:
            return 0.0
        total = sum(self._old_places.values())
        at_place = (self._old_places[place] + 1) / (total + 1)
        return share / (share + (1.0 - share) * at_place)

    def released(
        self,
        release: messages.Release,
        member: placement.GroupMember,
        now: float,
    ) -> None:
        """Records the end of a granted request."""
        run = self._granted.pop(release.request, None)
        if run is None:
            return
        outcome = states.Outcome.of_code(release.outcome)
        failed = outcome in _FAILED_OUTCOMES or not release.succeeded
        cancelled = outcome is states.Outcome.CANCELLED
        completed = outcome is states.Outcome.COMPLETED
        if not (failed or cancelled or completed):
            return
        seconds = (release.prefill_ms + release.decode_ms) / 1000
        counts = self.counts[run.is_new]
        if not cancelled:
            counts.answers += 1
            counts.failed += failed
            counts.seconds += 0.0 if failed else seconds
        answer = rollout_judgement.Answer(
            release.endpoint,
            run.is_new,
            run.share,
            run.place_share,
            run.route,
            run.load,
            failed=failed and not cancelled,
            broken=outcome in states.BROKEN_OUTCOMES,
            seconds=seconds,
            expected_seconds=_expected_seconds(run, release, member),
            cancelled=cancelled,
        )
        self.judgement.record(answer, now)

    # How far it is.

    def advance(self, members: Members, now: float) -> bool:
        """Moves on to the next phase if it is time.

        Returns:
            Whether the phase has changed.
        """
        before = self.phase
        if self.phase is Phase.WAITING:
            self._leave_waiting(members, now)
        elif self.phase is Phase.TRYING:
            self._leave_trying(now)
        elif self.phase is Phase.PROMOTING:
            self._leave_promoting(members, now)
        return self.phase is not before

    def revert(self, reason: str) -> None:
        """Gives the new version up.

        Args:
            reason: Why, in a few words for the operator.
        """
        if self.phase in (Phase.WAITING, Phase.TRYING, Phase.PROMOTING):
            self.phase = Phase.REVERTING
            self.reason = reason

    def _leave_waiting(self, members: Members, now: float) -> None:
        if any(
            member.open and self.is_target(member)
            for member in members.values()
        ):
            self.phase = Phase.TRYING
        elif now >= self.order.deadline - self._write_seconds():
            self.revert("no endpoint runs the version")

    def _leave_trying(self, now: float) -> None:
        if self.judgement.is_bad():
            self.revert("its answers are worse")
            return
        elapsed = self.order.elapsed(now)
        if elapsed < _PROMOTE_SHARE:
            return
        evidence = self.judgement.evidence()
        if elapsed < _LATEST_PROMOTE_SHARE:
            if (
                evidence >= _DOUBTED_EVIDENCE
                or self.judgement.answers < _ENOUGH_ANSWERS
            ):
                return
        elif evidence >= _LATEST_EVIDENCE:
            self.revert("its answers are worse")
            return
        elif not self.judgement.answers:
            self.revert("it has answered no request")
            return
        self.phase = Phase.PROMOTING
        self._promoted_at = now

    def _leave_promoting(self, members: Members, now: float) -> None:
        if self.judgement.is_bad():
            self.revert("its answers are worse")
            return
        if self._promoted_at is None:
            self._promoted_at = now
        running = sum(
            len(member.model.running)
            for member in members.values()
            if not self.is_target(member)
        )
        is_over = now >= self.order.deadline - self._write_seconds()
        if is_over or (self._promoted_share(now) >= 1.0 and not running):
            self.phase = Phase.FINISHING

    def _promoted_share(self, now: float) -> float:
        """Returns the part of the time of the change that is over."""
        if self._promoted_at is None:
            return 0.0
        seconds = _PROMOTION_SHARE * self.order.seconds
        return (now - self._promoted_at) / max(seconds, 0.001)

    def _write_seconds(self) -> float:
        return min(_WRITE_SECONDS, _MAX_WRITE_SHARE * self.order.seconds)


def _place(member: placement.GroupMember) -> str:
    declared = member.model.declared
    return declared.location or declared.data_centre


def _expected_seconds(
    run: _Run, release: messages.Release, member: placement.GroupMember
) -> float:
    """Returns the time for a request of this size at the declared rates."""
    if member.model.plain:
        return 1.0
    declared = member.model.declared
    output = max(release.output_tokens, 1)
    return (
        _OVERHEAD_SECONDS
        + run.prompt_tokens / declared.prefill_tokens_per_second
        + output / declared.decode_tokens_per_second
    )
