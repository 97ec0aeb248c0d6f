"""Carries out the effects that scheduling decisions return."""

import collections
import time
from typing import TYPE_CHECKING

import curio

from baobabmux_core import (
    catalogue,
    effects,
    errors,
    ids,
    messages,
    states,
)
from baobabmux_node import clock

if TYPE_CHECKING:
    from baobabmux_node import node

Kind = catalogue.EventKind


class SchedulerDriver:
    """Sends messages to peers and passes decisions to held requests.

    Attributes:
        pending: Effects that synchronous code has queued; the next `apply`
            carries them out first.
    """

    def __init__(self, host: "node.Node"):
        self.pending: list[effects.Effect] = []
        self._host = host
        self._node = host.settings.node

    async def apply(self, decided: list[effects.Effect]) -> None:
        """Carries out effects.

        Messages to this node go straight to its scheduler, and the effects
        that follow are carried out in the same call.
        """
        started = time.perf_counter()
        queue = collections.deque([*self._take_pending(), *decided])
        while queue:
            effect = queue.popleft()
            match effect:
                case effects.Send(to=to) if to == self._node:
                    self.record_message(to, to, effect.message)
                    queue.extend(
                        self._host.scheduler.receive(
                            to, effect.message, clock.now()
                        )
                    )
                case effects.Send():
                    self.record_message(self._node, effect.to, effect.message)
                    self._host.peers.enqueue(effect.to, effect.message)
                case effects.Claim():
                    await self._start_claim(effect.request)
                case effects.Dispatch() | effects.Refuse():
                    await self._deliver_decision(effect)
        self._host.metrics.control_cpu.inc(time.perf_counter() - started)
        await self._host.peers.notify()

    def _take_pending(self) -> list[effects.Effect]:
        pending, self.pending = self.pending, []
        return pending

    async def _deliver_decision(
        self, effect: effects.Dispatch | effects.Refuse
    ) -> None:
        request = self._host.callers.held.get(effect.request)
        if request is None:
            return
        if isinstance(effect, effects.Dispatch):
            self._host.events.record(
                Kind.REQUEST_GRANTED,
                effect.request,
                effect.endpoint,
                own_share=effect.own_share,
            )
        await request.decide(effect)

    async def _start_claim(self, request_id: ids.RequestId) -> None:
        request = self._host.callers.held.get(request_id)
        if request is not None:
            await curio.spawn(self._host.answers.claim, request, daemon=True)

    async def claim_decided(
        self,
        request_id: ids.RequestId,
        won: bool,
        kind: errors.ErrorKind | None = None,
        retry_after: float | None = None,
    ) -> None:
        """Passes the decision about a claim to the scheduler."""
        await self.apply(
            self._host.scheduler.claim_decided(
                request_id,
                won,
                clock.now(),
                kind=kind,
                retry_after=retry_after,
            )
        )

    def record_message(
        self,
        sender: ids.NodeId,
        to: ids.NodeId,
        message: messages.AnyMessage,
    ) -> None:
        """Records messages between a request's holder and its group's owner.

        The owner's events show how a request of a failed holder ended.
        """
        own = self._node
        match message:
            case messages.Ask() if to == own and message.waited_ms == 0:
                self._host.events.record(
                    Kind.REQUEST_ASKED,
                    message.request,
                    group=message.group,
                    holder=sender,
                    attempt=message.terms.attempt if message.terms else 1,
                )
            case messages.Grant() if sender == own:
                self._host.events.record(
                    Kind.GRANT_SENT,
                    message.request,
                    message.endpoint,
                    holder=to,
                    **self._host.scheduler.groups.decision_inputs(
                        message.request, clock.now()
                    ),
                )
            case messages.Refusal() if sender == own:
                self._host.events.record(
                    Kind.REFUSAL_SENT,
                    message.request,
                    error=message.kind,
                    holder=to,
                    retry_after_ms=message.retry_after_ms,
                    config=self._host.config.version,
                    **self._host.scheduler.groups.decision_inputs(
                        message.request, clock.now()
                    ),
                )
            case messages.Release() if to == own:
                self._host.events.record(
                    Kind.RELEASE_RECEIVED,
                    message.request,
                    message.endpoint,
                    holder=sender,
                    outcome=states.Outcome.of_code(message.outcome).value,
                )
            case messages.StreamAnswer() if to == own:
                self._host.events.record(
                    Kind.STREAM_ANSWERED,
                    message.request,
                    peer=sender,
                    service=message.service,
                    version=message.version,
                    certain=message.certain,
                )
            case messages.QuotaAnswer() if to == own:
                self._host.events.record(
                    Kind.QUOTA_CHARGED,
                    message.request,
                    deputy=sender,
                    charged=message.charged,
                )
            case messages.Suspect():
                self._host.events.record(
                    Kind.CONTENT_SUSPECTED,
                    endpoint=message.endpoint,
                    contents=[f"{item:x}" for item in message.contents],
                )
            case messages.Cleared() if to == own:
                self._host.events.record(
                    Kind.CONTENT_CLEARED, content=f"{message.content:x}"
                )
