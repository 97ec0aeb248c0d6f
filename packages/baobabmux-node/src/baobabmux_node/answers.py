"""Answers repeated requests with the answer to the first one of the same key.

The module owns the registrations of keys of idempotent routes whose home is
this node and the answers of attempts that this node held. Claims on keys of
other routes are made through the platform's claim service.
"""

import collections
from typing import TYPE_CHECKING

import curio
import xxhash

from baobabmux_core import (
    catalogue,
    claims,
    declarations,
    errors,
    ids,
    keys,
    messages,
    rendezvous,
    states,
)
from baobabmux_node import adapters, clock, held, sinks

if TYPE_CHECKING:
    from baobabmux_node import node

_KEY_TIMEOUT_SECONDS = 0.3
_PART_TIMEOUT_SECONDS = 0.5
_PART_TRIES = 3
_LOG_RETRY_AFTER_SECONDS = 2.0

_VERDICT_KINDS = {
    claims.ClaimVerdict.STILL_RUNNING: errors.ErrorKind.STILL_RUNNING,
    claims.ClaimVerdict.DONE: errors.ErrorKind.ANSWER_NOT_KEPT,
    claims.ClaimVerdict.UNKNOWN: errors.ErrorKind.OUTCOME_UNKNOWN,
    claims.ClaimVerdict.KEY_REUSED: errors.ErrorKind.KEY_REUSED,
    claims.ClaimVerdict.KEY_EXPIRED: errors.ErrorKind.KEY_EXPIRED,
}
_STATUS_KINDS = {
    states.RunStatus.RUNNING: errors.ErrorKind.STILL_RUNNING,
    states.RunStatus.DONE: errors.ErrorKind.ANSWER_NOT_KEPT,
    states.RunStatus.UNKNOWN: errors.ErrorKind.OUTCOME_UNKNOWN,
    # The holder refused the request; its withdrawal may not be in the log yet.
    states.RunStatus.NOT_RUN: errors.ErrorKind.LOG_UNAVAILABLE,
}
# Refusals that do not depend on the outcome of the first request.
_FINAL_KINDS = frozenset(
    {errors.ErrorKind.KEY_REUSED, errors.ErrorKind.KEY_EXPIRED}
)

Kind = catalogue.EventKind


class AnswerService:
    """Registers and claims keys and keeps answers for repeated requests.

    Keys of idempotent routes are registered at a home node, in memory; keys
    of other routes are claimed in the log.

    Attributes:
        registry: Keys whose home is this node.
        store: Answers of attempts that this node held.
    """

    def __init__(self, host: "node.Node"):
        limits = declarations.KeyLimits()
        self.registry = keys.KeyRegistry(limits)
        self.store = keys.AnswerStore(limits)
        self._host = host
        self._claimed: set[ids.AttemptId] = set()
        # Registrations of attempts that this node holds, with the home nodes
        # that they were sent to.
        self._registered: collections.OrderedDict[
            ids.AttemptId, tuple[messages.KeyAsk, ids.NodeId]
        ] = collections.OrderedDict()
        # Queues of tasks that wait for other nodes' replies, by attempt.
        self._key_replies: dict[ids.AttemptId, curio.Queue] = {}
        self._part_replies: dict[ids.AttemptId, list[curio.Queue]] = {}

    def configure(self, limits: declarations.KeyLimits) -> None:
        """Applies the limits of the configuration in force."""
        self.registry.limits = limits
        self.store.limits = limits

    async def register(self, request: held.HeldRequest) -> held.Repeat | None:
        """Registers a request's key when the request arrives.

        Returns:
            The attempt that holds the key, or None if this request may run.
        """
        parsed = request.parsed
        if parsed.key is None:
            return None
        if parsed.route.idempotent:
            repeat = await self._register_at_home(parsed)
        else:
            repeat = self._known_claim(parsed)
        if repeat is None:
            self.store.started(parsed.key, _attempt(parsed))
        return repeat

    async def claim(self, request: held.HeldRequest) -> None:
        """Claims a request's key in the log and delivers the decision."""
        parsed = request.parsed
        entry = self._claim_entry(parsed)
        result = await self._host.ports.claims.claim(entry)
        answer = result.answer
        verdict = (
            claims.ClaimVerdict.UNAVAILABLE
            if answer is None
            else claims.interpret_answer(answer, entry, self._is_reachable)
        )
        self._host.events.record(
            Kind.CLAIM_DECIDED, parsed.request, verdict=verdict.value
        )
        if verdict is claims.ClaimVerdict.UNAVAILABLE:
            self._host.events.record(Kind.CLAIM_UNAVAILABLE, parsed.request)
            # Withdrawals are kept until the log returns, so unneeded ones would
            # accumulate during an outage.
            if result.in_doubt:
                await self._withdraw(parsed)
            await self._host.driver.claim_decided(
                parsed.request,
                False,
                errors.ErrorKind.LOG_UNAVAILABLE,
                _LOG_RETRY_AFTER_SECONDS,
            )
        elif verdict is not claims.ClaimVerdict.WON:
            await request.decide(
                _repeat(
                    parsed,
                    answer.winner,
                    answer.holder,
                    _VERDICT_KINDS[verdict],
                )
            )
        elif request.finished:
            # The request was refused while its claim was being decided.
            await self._withdraw(parsed)
        else:
            self._claimed.add(entry.attempt)
            await self._host.driver.claim_decided(parsed.request, True)

    async def store_outcome(
        self,
        request: held.HeldRequest,
        result: adapters.Result,
        answer: sinks.Answer | None,
    ) -> None:
        """Stores the answer of an attempt and records its outcome."""
        parsed = request.parsed
        if parsed.key is None:
            return
        if result.outcome is states.Outcome.REJECTED:
            await self.release_key(request)
            return
        attempt = _attempt(parsed)
        status = states.RunStatus.UNKNOWN
        if result.outcome is states.Outcome.COMPLETED:
            status = states.RunStatus.DONE
            self.store.finished(attempt, answer and _to_kept_answer(answer))
        else:
            self.store.outcome_unknown(attempt)
        if attempt not in self._claimed:
            return
        self._claimed.discard(attempt)
        digest = xxhash.xxh3_64_intdigest(answer.body) if answer else 0
        await self._host.ports.claims.record_outcome(
            parsed.key, attempt, status, ids.ContentDigest(digest)
        )

    async def release_key(self, request: held.HeldRequest) -> None:
        """Releases the key of a request that was not run."""
        parsed = request.parsed
        if parsed.key is None:
            return
        attempt = _attempt(parsed)
        self.store.refused(attempt)
        self._registered.pop(attempt, None)
        self.registry.release(parsed.key, attempt)
        if attempt in self._claimed:
            await self._withdraw(parsed)

    def members_changed(self) -> None:
        """Registers keys again whose home node has changed."""
        own = self._host.settings.node
        reachable = self._host.membership.reachable()
        for attempt, (ask, old_home) in list(self._registered.items()):
            home = _home(ask.key, reachable)
            if home == old_home:
                continue
            self._registered[attempt] = (ask, home)
            if home == own:
                self.registry.register(ask, own, clock.now())
            else:
                self._host.peers.enqueue(home, ask)

    def holder_gone(self, node: ids.NodeId) -> None:
        """Releases the keys registered for a failed or restarted node."""
        self.registry.drop_holder(node)

    async def fetch(
        self, repeat: held.Repeat, request: held.HeldRequest
    ) -> sinks.Answer | errors.ErrorKind:
        """Returns the first request's answer, or the error to answer with."""
        self._host.events.record(
            Kind.REQUEST_REPEATED,
            request.parsed.request,
            winner=repeat.winner,
            holder=repeat.holder,
        )
        if repeat.kind in _FINAL_KINDS:
            return repeat.kind
        fetched = await self._fetch(
            request.parsed.key, repeat.winner, repeat.holder
        )
        if isinstance(fetched, keys.KeptAnswer):
            self._host.events.record(
                Kind.ANSWER_REPLAYED,
                request.parsed.request,
                winner=repeat.winner,
            )
            return sinks.Answer(
                fetched.http_status, fetched.content_type, fetched.data
            )
        if fetched is None:
            return repeat.kind
        if fetched is states.RunStatus.UNKNOWN and (
            repeat.kind is errors.ErrorKind.ANSWER_NOT_KEPT
        ):
            # A restarted holder has lost its state, so the record in the log
            # decides.
            return repeat.kind
        return _STATUS_KINDS[fetched]

    async def receive(
        self, sender: ids.NodeId, message: messages.AnyMessage
    ) -> None:
        """Handles a message about keys, claims or answers."""
        match message:
            case messages.ClaimAsk():
                await curio.spawn(
                    self._host.ports.claims.receive_claim,
                    sender,
                    message,
                    daemon=True,
                )
            case messages.ClaimAnswer():
                if not await self._host.ports.claims.receive_answer(message):
                    self._host.metrics.stray_answers.inc()
            case messages.KeyAsk():
                answer = self.registry.register(message, sender, clock.now())
                self._host.peers.enqueue(sender, answer)
            case messages.KeyAnswer():
                reply_queue = self._key_replies.get(message.attempt)
                if reply_queue is None:
                    self._host.metrics.stray_answers.inc()
                else:
                    await reply_queue.put(message)
            case messages.AnswerAsk():
                self._host.peers.enqueue(sender, self.store.part(message))
            case messages.AnswerPart():
                reply_queues = self._part_replies.get(message.winner, ())
                if not reply_queues:
                    self._host.metrics.stray_answers.inc()
                for reply_queue in reply_queues:
                    await reply_queue.put(message)

    async def _register_at_home(
        self, parsed: held.ParsedRequest
    ) -> held.Repeat | None:
        ask = messages.KeyAsk(parsed.key, _attempt(parsed), parsed.work.content)
        home = _home(parsed.key, self._host.membership.reachable())
        first = await self._register_key(ask, home)
        if first is None or first.winner == ask.attempt:
            self._record_registration(ask, home)
            return None
        if first.body != ask.body:
            kind = errors.ErrorKind.KEY_REUSED
        else:
            status = await self._fetch(parsed.key, first.winner, first.holder)
            if status is states.RunStatus.NOT_RUN or (
                status is None and not self._is_reachable(first.holder)
            ):
                return None
            kind = errors.ErrorKind.STILL_RUNNING
        return _repeat(parsed, first.winner, first.holder, kind)

    def _record_registration(
        self, ask: messages.KeyAsk, home: ids.NodeId
    ) -> None:
        self._registered[ask.attempt] = (ask, home)
        if len(self._registered) > self.store.limits.kept_answers:
            self._registered.popitem(last=False)

    async def _register_key(
        self, ask: messages.KeyAsk, home: ids.NodeId
    ) -> messages.KeyAnswer | None:
        """Registers a key at its home node; None if that does not answer."""
        own = self._host.settings.node
        if home == own:
            return self.registry.register(ask, own, clock.now())
        replies: curio.Queue = curio.Queue()
        self._key_replies[ask.attempt] = replies
        try:
            await self._host.peers.send(home, ask)
            async with curio.ignore_after(_KEY_TIMEOUT_SECONDS):
                return await replies.get()
            return None
        finally:
            del self._key_replies[ask.attempt]

    def _known_claim(self, parsed: held.ParsedRequest) -> held.Repeat | None:
        state = self._host.ports.claims.known_state(parsed.key)
        if state is None:
            return None
        entry = self._claim_entry(parsed)
        answer = messages.ClaimAnswer(
            parsed.key,
            entry.attempt,
            state.winner,
            state.holder,
            state.status.value,
            state.body,
        )
        verdict = claims.interpret_answer(answer, entry, self._is_reachable)
        kind = _VERDICT_KINDS.get(verdict)
        if kind is None:
            return None
        return _repeat(parsed, state.winner, state.holder, kind)

    async def _fetch(
        self, key: ids.KeyHash, winner: ids.AttemptId, holder: ids.NodeId
    ) -> keys.KeptAnswer | states.RunStatus | None:
        """Fetches a kept answer or its status; None without a reply."""
        if holder == self._host.settings.node:
            return self._local_answer(key, winner)
        if not self._is_reachable(holder):
            return None
        fetch = keys.AnswerFetch(key, winner)
        replies: curio.Queue = curio.Queue()
        self._part_replies.setdefault(winner, []).append(replies)
        try:
            tries = 0
            while tries < _PART_TRIES:
                ask = fetch.next_ask()
                if ask is None or fetch.status is not None:
                    break
                await self._host.peers.send(holder, ask)
                tries += 1
                async with curio.ignore_after(_PART_TIMEOUT_SECONDS):
                    if fetch.take(await replies.get()):
                        tries = 0
        finally:
            self._part_replies[winner].remove(replies)
            if not self._part_replies[winner]:
                del self._part_replies[winner]
        return fetch.answer or fetch.status

    def _local_answer(
        self, key: ids.KeyHash, winner: ids.AttemptId
    ) -> keys.KeptAnswer | states.RunStatus | None:
        fetch = keys.AnswerFetch(key, winner)
        while fetch.status is None and (ask := fetch.next_ask()) is not None:
            if not fetch.take(self.store.part(ask)):
                return None
        return fetch.answer or fetch.status

    def _claim_entry(self, parsed: held.ParsedRequest) -> messages.ClaimEntry:
        return messages.ClaimEntry(
            parsed.key,
            _attempt(parsed),
            self._host.settings.node,
            parsed.work.content,
            parsed.key_time_ms,
        )

    async def _withdraw(self, parsed: held.ParsedRequest) -> None:
        attempt = _attempt(parsed)
        self._claimed.discard(attempt)
        self._host.events.record(Kind.CLAIM_WITHDRAWN, parsed.request)
        await self._host.ports.claims.withdraw(parsed.key, attempt)

    def _is_reachable(self, node: ids.NodeId) -> bool:
        return node in self._host.membership.reachable()


def _home(key: ids.KeyHash, nodes: list[ids.NodeId]) -> ids.NodeId:
    """Returns the home node of a key of an idempotent route."""
    return rendezvous.owner(f"key-{key}", nodes)


def _attempt(parsed: held.ParsedRequest) -> ids.AttemptId:
    """Returns the attempt identifier of a request, which has just one."""
    return ids.AttemptId(parsed.request)


def _repeat(
    parsed: held.ParsedRequest,
    winner: ids.AttemptId,
    holder: ids.NodeId,
    kind: errors.ErrorKind,
) -> held.Repeat:
    return held.Repeat(parsed.request, winner, holder, kind)


def _to_kept_answer(answer: sinks.Answer) -> keys.KeptAnswer:
    return keys.KeptAnswer(answer.status, answer.content_type, answer.body)
