"""Roll-outs of new versions of services, as one node knows them.

An order names a service, a version and a deadline. The owner of the service's
first group tries the version and decides; all nodes learn of orders and phases
from each other, and the result is what the platform's store holds. Without an
order nothing here has any effect.
"""

from __future__ import annotations

import math
import typing
from collections.abc import Iterable

import msgspec

from baobabmux_core import (
    declarations,
    ids,
    messages,
    rollout_shares,
    rollout_trials,
)

if typing.TYPE_CHECKING:
    from baobabmux_core import node_view

Phase = rollout_trials.Phase
Order = rollout_trials.Order

_REPEAT_SECONDS = 0.5
# Time after the deadline for which a finished roll-out is kept: its endpoints
# may be listed for some time, and messages of it may be late.
_KEPT_SECONDS = 60.0
_SILENT_SECONDS = 2.0
_MAX_SECONDS = 86_400.0
# A phase replaces another of lower rank. Of equal rank, the first one known
# stays until the store has decided.
_RANKS = {
    Phase.WAITING: 0,
    Phase.TRYING: 1,
    Phase.PROMOTING: 2,
    Phase.FINISHING: 3,
    Phase.REVERTING: 3,
    Phase.COMPLETED: 4,
    Phase.ROLLED_BACK: 4,
}
_REPLACING = frozenset({Phase.FINISHING, Phase.COMPLETED})
_GIVEN_UP = frozenset({Phase.REVERTING, Phase.ROLLED_BACK})


class Standing(msgspec.Struct):
    """How far an order is, as this node knows.

    Attributes:
        order: The order.
        phase: Its phase.
        reason: Why it is rolled back, or an empty text.
        replaced: Endpoints of other versions when these were given up.
        heard_at: Time in seconds at which a peer reported it last.
        was_read: Whether this node has read the order from the store, so that
            it tells the others.
    """

    order: Order
    phase: Phase = Phase.WAITING
    reason: str = ""
    replaced: frozenset[ids.EndpointId] = frozenset()
    heard_at: float = -math.inf
    was_read: bool = False


class Rollouts:
    """Orders of all services at one node.

    Attributes:
        bound: What an unproven version may get.
        standings: The order of each service that has one.
        trials: Trials of the groups that this node owns.
        rejected: The last order of each service that was turned away, and why.
        changed: Standings whose phase changed since they were last taken, for
            the log.
    """

    def __init__(self, view: node_view.NodeView):
        self.bound = rollout_shares.ExposureBound()
        self.standings: dict[ids.ServiceName, Standing] = {}
        self.trials: dict[ids.GroupId, rollout_trials.Trial] = {}
        self.rejected: dict[ids.ServiceName, tuple[int, str]] = {}
        self.changed: list[Standing] = []
        self._view = view
        self._sent_at = -math.inf

    # Orders and results.

    def ordered(self, order: Order, now: float) -> str | None:
        """Takes an order.

        Returns:
            None if it is in force, else why it was turned away.
        """
        known = self.standings.get(order.service)
        if known is not None and known.order.number >= order.number:
            return None
        reason = self._fault(order, known, now)
        if reason is None:
            known = Standing(order, was_read=True)
            self.standings[order.service] = known
            self.changed.append(known)
            self._sent_at = -math.inf
        else:
            self.rejected[order.service] = (order.number, reason)
        return reason

    def _fault(
        self, order: Order, known: Standing | None, now: float
    ) -> str | None:
        """Returns what is wrong with an order, or None."""
        if not order.target:
            return "the order names no version"
        if not 0.0 < order.seconds <= _MAX_SECONDS:
            return "the time must be above 0 s and at most a day"
        if now >= order.deadline:
            return "its time has passed"
        configuration = self._view.configuration
        if configuration is not None and (
            order.service not in configuration.services
        ):
            return "the service is not declared"
        if known is not None and known.phase not in rollout_trials.FINAL_PHASES:
            return f"the roll-out to {known.order.target} is in progress"
        return None

    def resumed(self, order: Order, phase: Phase) -> None:
        """Takes up an order that the store says was accepted before."""
        known = self.standings.get(order.service)
        if known is None or known.order.number < order.number:
            known = Standing(order, was_read=True)
            self.standings[order.service] = known
            self.changed.append(known)
        if known.order.number == order.number:
            self._set_phase(known, phase, "")

    def decided(
        self, service: ids.ServiceName, number: int, done: bool
    ) -> None:
        """Records the result that the store holds.

        Args:
            service: Service of the order.
            number: Number of the order.
            done: Whether it is completed; otherwise it is rolled back.
        """
        known = self.standings.get(service)
        if known is not None and known.order.number == number:
            phase = Phase.COMPLETED if done else Phase.ROLLED_BACK
            self._set_phase(known, phase, known.reason)

    def abort(self, service: ids.ServiceName, number: int) -> None:
        """Gives up an order that is in progress."""
        known = self.standings.get(service)
        if known is not None and known.order.number == number:
            self._set_phase(known, Phase.REVERTING, "an operator aborted it")

    def receive(self, message: messages.RolloutState, now: float) -> None:
        """Learns an order and its phase from a peer."""
        known = self.standings.get(message.service)
        if known is None or self._is_superseded(known, message.number, now):
            order = Order(
                message.service,
                message.target,
                message.seconds,
                message.number,
                now - message.age_ms / 1000,
            )
            known = self.standings[message.service] = Standing(order)
            self.changed.append(known)
        if known.order.number == message.number:
            known.heard_at = now
            phase = _phase(message.phase)
            if phase is not None:
                self._set_phase(known, phase, message.reason)

    def _is_superseded(self, known: Standing, number: int, now: float) -> bool:
        """Returns whether a later order replaces a known one."""
        is_over = (
            known.phase in rollout_trials.FINAL_PHASES
            or now > known.order.deadline
        )
        return number > known.order.number and is_over

    def _set_phase(self, known: Standing, phase: Phase, reason: str) -> None:
        if _RANKS[phase] <= _RANKS[known.phase]:
            return
        known.phase = phase
        known.reason = reason or known.reason
        if phase in _REPLACING and not known.replaced:
            known.replaced = self._other_versions(known.order)
        for trial in self.trials.values():
            if trial.order.number == known.order.number:
                trial.phase = phase
                trial.reason = known.reason
        self.changed.append(known)
        self._sent_at = -math.inf

    def _other_versions(self, order: Order) -> frozenset[ids.EndpointId]:
        configuration = self._view.configuration
        if configuration is None:
            return frozenset()
        return frozenset(
            name
            for name, endpoint in configuration.endpoints.items()
            if endpoint.service == order.service
            and endpoint.version != order.target
        )

    # What endpoints may get.

    def closes(
        self, name: ids.EndpointId, endpoint: declarations.Endpoint
    ) -> bool:
        """Returns whether an endpoint gets no new requests any more."""
        known = self.standings.get(endpoint.service)
        if known is None:
            return False
        if known.phase in _GIVEN_UP:
            return endpoint.version == known.order.target
        return name in known.replaced

    def in_own_share(self, endpoint: declarations.Endpoint) -> bool:
        """Returns whether nodes may use an endpoint without its owner.

        Only the owner keeps an unproven version within its share.
        """
        known = self.standings.get(endpoint.service)
        if known is None or endpoint.version != known.order.target:
            return True
        return known.phase not in (Phase.WAITING, Phase.TRYING)

    def in_progress(self, service: ids.ServiceName) -> bool:
        """Returns whether a service has an order that is not decided."""
        known = self.standings.get(service)
        return known is not None and (
            known.phase not in rollout_trials.FINAL_PHASES
        )

    # Timed work.

    def tick(self, now: float) -> list[messages.RolloutState]:
        """Advances the trials of owned groups.

        Returns:
            Messages for all other nodes.
        """
        if not self.standings:
            return []
        self._forget(now)
        for group in list(self.trials.keys() - self._view.owned.keys()):
            del self.trials[group]
        for group, owner in self._view.owned.items():
            owner.state.trial = self._trial(group)
            trial = owner.state.trial
            if trial is not None:
                self._advance(group, trial, owner.state.members, now)
        if now < self._sent_at + _REPEAT_SECONDS:
            return []
        self._sent_at = now
        return [
            message
            for message in self.state(now)
            if self.leads(message.service)
            or self._spreads(self.standings[message.service])
        ]

    def _spreads(self, known: Standing) -> bool:
        return known.was_read and known.phase is Phase.WAITING

    def _trial(self, group: ids.GroupId) -> rollout_trials.Trial | None:
        known = self.standings.get(_service(group))
        if known is None or known.phase in rollout_trials.FINAL_PHASES:
            self.trials.pop(group, None)
            return None
        trial = self.trials.get(group)
        if trial is None or trial.order.number != known.order.number:
            trial = rollout_trials.Trial(known.order, known.phase, self.bound)
            self.trials[group] = trial
        return trial

    def _advance(
        self,
        group: ids.GroupId,
        trial: rollout_trials.Trial,
        members: rollout_trials.Members,
        now: float,
    ) -> None:
        known = self.standings[trial.order.service]
        if self.leads(trial.order.service, group):
            trial.advance(members, now)
        elif trial.judgement.is_bad():
            trial.revert("its answers are worse")
        if trial.phase is not known.phase:
            self._set_phase(known, trial.phase, trial.reason)

    def _forget(self, now: float) -> None:
        for service, known in list(self.standings.items()):
            is_over = now > known.order.deadline + _KEPT_SECONDS
            if is_over and known.phase in rollout_trials.FINAL_PHASES:
                del self.standings[service]

    # Queries.

    def leads(
        self, service: ids.ServiceName, group: ids.GroupId | None = None
    ) -> bool:
        """Returns whether this node decides on a service's roll-out.

        Args:
            service: The service.
            group: An owned group; only the first one of a service leads.
        """
        if self._view.configuration is None:
            return False
        first = min(
            (
                ids.group_id(service, endpoint.data_centre)
                for endpoint in self._view.configuration.endpoints.values()
                if endpoint.service == service
            ),
            default=None,
        )
        return first in self._view.owned and group in (None, first)

    def unheard(self, now: float) -> list[ids.ServiceName]:
        """Returns the services whose roll-outs are decided by silent nodes.

        Their results have to be read from the store. Each is returned once in
        a while.
        """
        unheard = []
        for service, known in self.standings.items():
            silent = now - max(known.heard_at, known.order.began_at)
            if (
                self.in_progress(service)
                and not self.leads(service)
                and silent > _SILENT_SECONDS
            ):
                known.heard_at = now
                unheard.append(service)
        return unheard

    def state(self, now: float) -> list[messages.RolloutState]:
        """Returns what other nodes have to know."""
        return [
            messages.RolloutState(
                known.order.service,
                known.order.target,
                known.order.number,
                known.phase.value,
                max(0, round((now - known.order.began_at) * 1000)),
                known.order.seconds,
                known.reason,
            )
            for known in self.standings.values()
        ]


def _service(group: ids.GroupId) -> ids.ServiceName:
    return ids.ServiceName(group.split("@")[0])


def _phase(code: int) -> Phase | None:
    """Returns the phase with a code, or None for one of a newer build."""
    known: Iterable[int] = (phase.value for phase in Phase)
    return Phase(code) if code in known else None
