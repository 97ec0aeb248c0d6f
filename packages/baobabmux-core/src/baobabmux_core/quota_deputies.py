"""Quotas as one node counts them, as an owner or as an owner's deputy.

The node that would own a group next is the deputy of its owner. While the
owner is silent, the deputy alone charges the requests that all nodes run from
their own shares, so that their sum is bounded. It goes on with the same ledger
if it becomes the owner.
"""

from __future__ import annotations

import collections
import typing

from baobabmux_core import (
    effects,
    fairness,
    held_requests,
    ids,
    messages,
    quota_parts,
    quotas,
)

if typing.TYPE_CHECKING:
    from baobabmux_core import node_view

# An unanswered `QuotaAsk` is repeated after this time.
_REPEAT_SECONDS = 0.25
# Answers are kept for repeated asks; more than one node's requests in a minute.
_MAX_KEPT = 4096
# Only one side of a cut can reach more of the nodes than this share. On the
# others, and at a node that knows no peers yet, nobody stands in.
_MAJORITY_SHARE = 0.5


class QuotaDeputies:
    """Keeps the ledgers of groups; asks deputies, and charges as a deputy.

    Attributes:
        charged: Number of requests that this node charged as a deputy.
        refused: Number of requests that it did not charge as a deputy.
    """

    def __init__(self, view: node_view.NodeView):
        self.charged = 0
        self.refused = 0
        self._view = view
        self._tolerance = quotas.NO_TOLERANCE
        self._ledgers: dict[ids.GroupId, quotas.QuotaLedger] = {}
        self._asks: list[effects.Effect] = []
        self._asked_at: collections.OrderedDict[ids.RequestId, float] = (
            collections.OrderedDict()
        )
        self._answers: collections.OrderedDict[ids.RequestId, bool] = (
            collections.OrderedDict()
        )

    # Ledgers.

    def set_tolerance(self, tolerance: quotas.Tolerance) -> None:
        """Sets by how much quotas may be exceeded, from `configure` on."""
        self._tolerance = tolerance
        for ledger in self._ledgers.values():
            ledger.tolerance = tolerance

    def configure(self, now: float) -> None:
        """Applies the quotas of the configuration in force."""
        for group, ledger in self._ledgers.items():
            self._configure(group, ledger, now)

    def set_share(self, share: float, now: float) -> None:
        """Sets the part of all quotas that this side of a cut may grant."""
        for ledger in self._ledgers.values():
            ledger.set_share(share, now)

    def take_ownership(
        self, group: ids.GroupId, now: float
    ) -> quotas.QuotaLedger:
        """Returns the ledger of a group that this node owns from now on."""
        ledger = self._ledger(group, now)
        ledger.act(now)
        return ledger

    def _ledger(self, group: ids.GroupId, now: float) -> quotas.QuotaLedger:
        ledger = self._ledgers.get(group)
        if ledger is None:
            ledger = quotas.QuotaLedger(self._tolerance, is_acting=False)
            share = self._view.reachable_share()
            ledger.set_share(share, now)
            ledger.is_joining = share <= _MAJORITY_SHARE
            self._configure(group, ledger, now)
            self._ledgers[group] = ledger
        return ledger

    def _configure(
        self, group: ids.GroupId, ledger: quotas.QuotaLedger, now: float
    ) -> None:
        configuration = self._view.configuration
        service = configuration.services.get(group.split("@")[0])
        if service is not None:
            ledger.division = quota_parts.division_of(configuration, service)
        ledger.configure(configuration.workspaces, now)

    # Requests of this node whose owner is silent.

    def ask(self, held: held_requests.Held, now: float) -> None:
        """Asks the deputy to charge a request, unless it was just asked."""
        request = held.work.request
        asked_at = self._asked_at.get(request)
        if asked_at is not None and now - asked_at < _REPEAT_SECONDS:
            return
        to = self._view.members.deputy(held.group)
        if to is None:
            return
        self._asked_at[request] = now
        _trim(self._asked_at)
        workspace = fairness.workspace_hash(held.work.workspace)
        message = messages.QuotaAsk(
            request, held.group, workspace, held.work.cost
        )
        self._asks.append(effects.Send(to, message))

    def take_asks(self) -> list[effects.Effect]:
        """Returns the questions since the last call."""
        asks, self._asks = self._asks, []
        return asks

    # Requests of other nodes.

    def answer(
        self, ask: messages.QuotaAsk, now: float
    ) -> messages.QuotaAnswer:
        """Charges a request as a deputy; repeated questions change nothing."""
        charged = self._answers.get(ask.request, False)
        if not charged and self._view.configuration is not None:
            charged = self._charge(ask, now)
            self._answers[ask.request] = charged
            _trim(self._answers)
        return messages.QuotaAnswer(ask.request, charged)

    def _charge(self, ask: messages.QuotaAsk, now: float) -> bool:
        ledger = self._ledger(ask.group, now)
        if ask.group not in self._view.owned:
            ledger.stand_by(now)
        charged = (
            ledger.share > _MAJORITY_SHARE
            and ledger.take(ask.workspace, ask.cost, now) is None
        )
        self.charged += charged
        self.refused += not charged
        return charged


def _trim(kept: collections.OrderedDict) -> None:
    if len(kept) > _MAX_KEPT:
        kept.popitem(last=False)
