"""Serves one caller's request from its arrival to its final answer.

A `RequestHandler` owns the attempt at an endpoint and the sink of the answer.
It acts on the decisions that are queued for the request.
"""

import abc
import contextlib
import logging

import curio

from baobabmux_core import effects, errors, ids, states
from baobabmux_node import (
    adapters,
    cancellation,
    clock,
    held,
    protocols,
    responses,
    server,
    sinks,
)

_LOG = logging.getLogger(__name__)
_ERROR_KIND_BY_OUTCOME = {
    states.Outcome.GARBAGE: errors.ErrorKind.ENDPOINT_GARBAGE,
    states.Outcome.REJECTED: errors.ErrorKind.OVERLOADED,
    states.Outcome.FAILED: errors.ErrorKind.ENDPOINT_FAILED,
}
# Decisions about one grant of a request.
_ATTEMPT_DECISIONS = (
    effects.Dispatch,
    effects.Refuse,
    held.AttemptEnded,
    held.AnswerSilent,
    held.AnswerResumed,
    held.OverlapEnded,
)
# An endpoint that has begun a stream must have ended it within 400 ms after
# another one was sent its rest.
_OVERLAP_SECONDS = 0.3
_DISPATCH_CHECK_SECONDS = 0.02
_TIMEOUT_RETRY_SECONDS = 1.0
# Other nodes take the request at once.
_SHUTDOWN_RETRY_SECONDS = 0.1


class Host(abc.ABC):
    """Interface of the node for serving callers.

    Attributes:
        protocol: Protocol of callers and endpoints.
        connector: Opens connections to endpoints.
    """

    protocol: protocols.CallerProtocol
    connector: adapters.Connector

    @abc.abstractmethod
    async def admit(self, request: held.HeldRequest) -> None:
        """Submits a request to the scheduler."""

    @abc.abstractmethod
    def endpoint(self, endpoint: ids.EndpointId) -> tuple[str, str]:
        """Returns the kind of service and the address of an endpoint."""

    @abc.abstractmethod
    def begin_dispatch(self, request: held.HeldRequest) -> bool:
        """Marks a request as dispatched, immediately before its first byte.

        Returns:
            Whether the scheduler permits the dispatch. If not, nothing may be
            sent.
        """

    @abc.abstractmethod
    def progress(self, request: held.HeldRequest, tokens: int) -> None:
        """Reports the output tokens so far to the scheduler."""

    @abc.abstractmethod
    async def limit_observed(
        self, endpoint: ids.EndpointId, rate: float | None, sent_at: float
    ) -> None:
        """Reports the limit that an endpoint's answer names.

        Args:
            endpoint: The endpoint.
            rate: Requests a second, or None if the answer names no limit.
            sent_at: Time at which the request was sent, in seconds.
        """

    @abc.abstractmethod
    async def leaving_observed(self, endpoint: ids.EndpointId) -> None:
        """Reports that an endpoint's answer says that it is leaving."""

    @abc.abstractmethod
    async def pause_observed(
        self,
        request: ids.RequestId,
        endpoint: ids.EndpointId,
        seconds: float,
        sent_at: float,
    ) -> None:
        """Reports for how long an endpoint wants nothing from this node.

        Args:
            request: Request that the endpoint has turned away.
            endpoint: The endpoint.
            seconds: Seconds from now on.
            sent_at: Time at which the request was sent, in seconds.
        """

    @abc.abstractmethod
    async def attempt_ended(
        self,
        request: held.HeldRequest,
        result: adapters.Result,
        answer: sinks.Answer | None,
    ) -> None:
        """Reports the end of an attempt to the scheduler and the key store."""

    @abc.abstractmethod
    def may_repeat(
        self, request: held.HeldRequest, result: adapters.Result
    ) -> bool:
        """Returns whether the scheduler will try another endpoint."""

    def status_withheld(  # noqa: B027 - a hook
        self, request: held.HeldRequest, status: int
    ) -> None:
        """Records that an endpoint's status is not passed on.

        Args:
            request: The request.
            status: Status that would tell its caller that it was not run.
        """

    def position_lost(  # noqa: B027 - a hook
        self, request: held.HeldRequest
    ) -> None:
        """Reports that no other endpoint can go on with a stream."""

    def hedge_delay(self, request: held.HeldRequest) -> float | None:
        """Returns the seconds after which a request is slow, or None."""
        del request
        return None

    @abc.abstractmethod
    async def ask_backup(
        self,
        request: held.HeldRequest,
        backup: held.HeldRequest,
        seconds: float,
        hedged: bool = False,
    ) -> bool:
        """Asks for another endpoint while that of a request is silent.

        Args:
            request: The request.
            backup: The same request for the scheduler, at another endpoint.
            seconds: Time for which the endpoint has been silent.
            hedged: Whether it is only slow.

        Returns:
            Whether another endpoint may run the request.
        """

    @abc.abstractmethod
    def supersede(
        self,
        request: held.HeldRequest,
        backup: held.HeldRequest,
        outcome: states.Outcome,
        tokens: int,
    ) -> None:
        """Reports that another endpoint takes over from a silent one.

        Args:
            request: The request at the silent endpoint.
            backup: The request at the other endpoint.
            outcome: How the attempt at the silent endpoint ended.
            tokens: Output tokens so far.
        """

    @abc.abstractmethod
    async def superseded_ended(self, request: held.HeldRequest) -> None:
        """Reports that the connection of a superseded attempt is closed."""

    @abc.abstractmethod
    async def cancel(self, request: held.HeldRequest) -> None:
        """Withdraws a request that was not dispatched."""

    @abc.abstractmethod
    async def release_key(self, request: held.HeldRequest) -> None:
        """Releases the idempotency key of a request that was not run."""

    @abc.abstractmethod
    async def first_answer(
        self, repeat: held.Repeat, request: held.HeldRequest
    ) -> sinks.Answer | errors.ErrorKind:
        """Fetches the answer to the first request with the same key."""

    @abc.abstractmethod
    def record_refusal(
        self,
        request: held.HeldRequest,
        kind: errors.ErrorKind,
    ) -> None:
        """Counts and records a refusal."""


class _Attempt:
    """One attempt at an endpoint.

    Attributes:
        request: The request, under the identifier of its grant.
        task: Task that runs the attempt.
        silent: Whether the endpoint has been reported as silent.
        arriving: Whether data of its answer arrived all the same.
        slow: Whether its answer has not begun in the usual time.
        superseded: Whether another attempt has taken over.
    """

    def __init__(self, request: held.HeldRequest):
        self.request = request
        self.task: curio.Task | None = None
        self.silent = False
        self.arriving = False
        self.slow = False
        self.superseded = False


class RequestHandler:
    """Serves one caller's request.

    While the endpoint of the attempt is silent, another endpoint is asked for.
    The first of both that goes on answers the request; the other attempt is
    cancelled.

    Attributes:
        host: The node.
        exchange: The caller's connection.
        request: The request, under the identifier of its current grant.
    """

    def __init__(
        self,
        host: Host,
        exchange: server.Exchange,
        request: held.HeldRequest,
    ):
        self.host = host
        self.exchange = exchange
        self.request = request
        self._sink: sinks.CallerSink | None = None
        self._attempt: _Attempt | None = None
        # The same request at the endpoint that was asked for beside a silent
        # one, and its attempt.
        self._backup: held.HeldRequest | None = None
        self._backup_attempt: _Attempt | None = None

    async def run(self) -> None:
        """Serves the request until its final answer."""
        close_task = await curio.spawn(self._wait_for_caller_gone, daemon=True)
        timeout_task = await curio.spawn(self._wait_for_timeout, daemon=True)
        try:
            await self.host.admit(self.request)
            while not self.request.finished:
                await self._handle_decision(await self.request.next_decision())
        finally:
            await cancellation.cancel(timeout_task)
            # The task must have stopped reading the socket before the socket is
            # closed. Otherwise curio would unregister a later socket that has
            # the same descriptor.
            await cancellation.cancel(close_task)
            # These refer back to the handler. Without a cycle, the body of the
            # request is freed at once.
            self._sink = self._attempt = None
            self._backup = self._backup_attempt = None

    async def _handle_decision(self, decision: held.Decision) -> None:
        if isinstance(decision, _ATTEMPT_DECISIONS):
            if self._is_for(decision, self._backup):
                await self._handle_backup_decision(decision)
                return
            if not self._is_for(decision, self.request):
                # The attempt was superseded in the meantime.
                return
        match decision:
            case effects.Refuse():
                await self._refuse(
                    decision.kind, decision.retry_after, decision.detail
                )
            case held.Repeat():
                await self._answer_repeat(decision)
            case effects.Dispatch():
                await self._dispatch(decision)
            case held.AttemptEnded():
                await self._handle_attempt_end(decision.result)
            case held.AnswerSilent():
                await self._ask_backup(decision.seconds)
            case held.AnswerSlow():
                await self._ask_backup(decision.seconds, hedged=True)
            case held.AnswerResumed():
                await self._cancel_backup()
            case held.CallerGone():
                await self._handle_caller_gone()
            case held.TimedOut():
                await self._handle_timeout()
            case held.NodeEnding():
                await self._handle_node_ending()

    async def _dispatch(self, decision: effects.Dispatch) -> None:
        if self._attempt is not None:
            return
        self._attempt = _Attempt(self.request)
        await self._start_attempt(self._attempt, decision)

    async def _start_attempt(
        self, attempt: _Attempt, decision: effects.Dispatch
    ) -> None:
        attempt.request.endpoint = decision.endpoint
        attempt.task = await curio.spawn(
            self._run_attempt, attempt, decision, daemon=True
        )

    async def _run_attempt(
        self, attempt: _Attempt, decision: effects.Dispatch
    ) -> None:
        request = attempt.request
        parsed = request.parsed
        kind, address = self.host.endpoint(decision.endpoint)
        if self._sink is None:
            self._sink = self._make_sink(parsed.route.streaming, kind)
        now = clock.now()
        ends_at = parsed.arrived + parsed.route.timeout_seconds
        if parsed.work.deadline is not None:
            ends_at = min(ends_at, parsed.work.deadline)
        call = adapters.Call(
            address=address,
            method=parsed.method,
            target=parsed.target,
            headers=parsed.headers,
            body=parsed.body,
            timeout=max(ends_at - now, 0.1),
            permit=lambda: self._begin_dispatch(attempt),
            endpoint=decision.endpoint,
            parsed=parsed,
            repeatable=self.host.may_repeat(
                request, adapters.Result(states.Outcome.BROKEN)
            ),
            deadline=ends_at,
            report_limit=lambda rate: self.host.limit_observed(
                decision.endpoint, rate, now
            ),
            report_leaving=lambda: self.host.leaving_observed(
                decision.endpoint
            ),
            report_pause=lambda seconds: self.host.pause_observed(
                parsed.request, decision.endpoint, seconds, now
            ),
            report_silence=lambda seconds, arriving: self._record_silence(
                attempt, seconds, arriving
            ),
            report_progress=lambda: self._record_progress(attempt),
            slow_seconds=lambda: self.host.hedge_delay(attempt.request),
            report_slow=lambda seconds: self._record_slow(attempt, seconds),
            may_answer_failure=lambda status: self._may_answer_failure(
                attempt, status
            ),
            connector=self.host.connector,
            started_at=now,
        )
        adapter = self.host.protocol.adapter(kind)
        sink = sinks.AttemptSink(
            self._sink, lambda: self._begin_answer(attempt)
        )
        try:
            result = await adapter.run(call, sink)
            if result.outcome is states.Outcome.COMPLETED:
                await self._sink.end()
        except sinks.AnswerTooLargeError as error:
            result = adapters.Result(states.Outcome.GARBAGE, str(error))
        except adapters.UnfoundedPromiseError as error:
            self.host.status_withheld(request, error.status)
            result = adapters.Result(
                states.Outcome.FAILED, str(error), status=error.status
            )
        except adapters.SupersededError:
            return
        except Exception:
            # Without a result the caller would wait for the route's timeout.
            _LOG.exception("an attempt at an endpoint failed")
            result = adapters.Result(
                states.Outcome.BROKEN
                if request.dispatched
                else states.Outcome.NOT_SENT,
                "an error of the node ended the attempt",
            )
        await request.decide(held.AttemptEnded(parsed.request, result))

    def _begin_dispatch(self, attempt: _Attempt) -> bool:
        request = attempt.request
        if request is self._backup and not self._is_silent():
            return False
        request.dispatched = self.host.begin_dispatch(request)
        return request.dispatched

    def _may_answer_failure(self, attempt: _Attempt, status: int) -> bool:
        # A silent endpoint may still succeed, and a failure must not follow
        # events that the caller has.
        if attempt is not self._attempt or self._sink.started:
            return False
        if not self._sink.may_pass_on(status):
            self.host.status_withheld(attempt.request, status)
            return False
        return True

    async def _begin_answer(self, attempt: _Attempt) -> None:
        """Makes the first attempt that goes on the one that answers.

        Raises:
            SupersededError: Another attempt answers.
        """
        if attempt is self._attempt:
            return
        if attempt.superseded or not self._is_silent():
            raise adapters.SupersededError
        await self._replace_silent()

    # Silent endpoints.

    async def _record_silence(
        self, attempt: _Attempt, seconds: float, arriving: bool
    ) -> None:
        attempt.silent = True
        attempt.arriving = arriving
        name = attempt.request.parsed.request
        await attempt.request.decide(held.AnswerSilent(name, seconds))

    async def _record_slow(self, attempt: _Attempt, seconds: float) -> None:
        attempt.slow = True
        name = attempt.request.parsed.request
        await attempt.request.decide(held.AnswerSlow(name, seconds))

    async def _record_progress(self, attempt: _Attempt) -> None:
        """Records that a silent or slow endpoint goes on."""
        attempt.silent = attempt.slow = False
        name = attempt.request.parsed.request
        await attempt.request.decide(held.AnswerResumed(name))

    async def _ask_backup(self, seconds: float, hedged: bool = False) -> None:
        if not self._is_silent() or self._backup is not None:
            return
        backup = self.request.backup()
        if await self.host.ask_backup(self.request, backup, seconds, hedged):
            self._backup = backup

    async def _handle_backup_decision(self, decision: held.Decision) -> None:
        match decision:
            case effects.Refuse():
                self._backup = self._backup_attempt = None
            case effects.Dispatch() if self._is_silent():
                if self._backup_attempt is None:
                    self._backup_attempt = _Attempt(self._backup)
                    await self._start_attempt(self._backup_attempt, decision)
                    if self._sink.last_event is not None:
                        await curio.spawn(
                            self._limit_overlap,
                            self._backup_attempt,
                            daemon=True,
                        )
            case held.AnswerSilent() | held.AnswerSlow() | held.AnswerResumed():
                # It goes on until one of both endpoints answers.
                return
            case held.OverlapEnded():
                if self._is_silent() and self._is_backup_running():
                    await self._replace_silent()
            case held.AttemptEnded() if self._is_silent():
                await self._handle_backup_end(decision.result)
            case _:
                await self._cancel_backup()

    async def _limit_overlap(self, attempt: _Attempt) -> None:
        """Bounds the time in which a stream is at two endpoints."""
        while not attempt.request.dispatched:
            if attempt is not self._backup_attempt:
                return
            await curio.sleep(_DISPATCH_CHECK_SECONDS)
        await curio.sleep(_OVERLAP_SECONDS)
        name = attempt.request.parsed.request
        await attempt.request.decide(held.OverlapEnded(name))

    async def _replace_silent(self) -> None:
        """Ends the silent attempt in favour of the one beside it."""
        silent = self._attempt
        # An endpoint that is only slow has not failed.
        has_failed = silent.silent and not silent.arriving
        self._take_over(
            states.Outcome.BROKEN if has_failed else states.Outcome.CANCELLED
        )
        await cancellation.cancel(silent.task)
        await self.host.superseded_ended(silent.request)

    async def _handle_backup_end(self, result: adapters.Result) -> None:
        """Ends an attempt at another endpoint that brought no answer."""
        backup = self._backup
        goes_on = (
            result.outcome in states.UNSENT_OUTCOMES
            or self.host.may_repeat(backup, result)
        )
        self._backup = backup if goes_on else None
        self._backup_attempt = None
        backup.dispatched = False
        await self.host.attempt_ended(backup, result, None)

    async def _cancel_backup(self) -> None:
        backup, attempt = self._backup, self._backup_attempt
        self._backup = self._backup_attempt = None
        if attempt is not None:
            attempt.superseded = True
            await cancellation.cancel(attempt.task)
        if backup is None:
            return
        if backup.dispatched:
            self.request.may_have_run = True
            cancelled = adapters.Result(states.Outcome.CANCELLED)
            await self.host.attempt_ended(backup, cancelled, None)
        else:
            await self.host.cancel(backup)

    def _take_over(self, outcome: states.Outcome) -> None:
        """Makes the attempt at the other endpoint the request's attempt.

        Args:
            outcome: Outcome of the attempt that it replaces.
        """
        silent = self._attempt
        silent.superseded = True
        self.request, self._attempt = self._backup, self._backup_attempt
        self._backup = self._backup_attempt = None
        tokens = self._sink.tokens
        self.host.supersede(silent.request, self.request, outcome, tokens)

    def _is_silent(self) -> bool:
        """Returns whether the attempt runs at a silent or slow endpoint."""
        return self._attempt is not None and (
            self._attempt.silent or self._attempt.slow
        )

    def _is_backup_running(self) -> bool:
        return self._backup_attempt is not None and self._backup.dispatched

    @staticmethod
    def _is_for(
        decision: held.Decision, request: held.HeldRequest | None
    ) -> bool:
        return request is not None and (
            decision.request == request.parsed.request
        )

    def _make_sink(self, streaming: bool, kind: str) -> sinks.CallerSink:
        parsed = self.request.parsed
        if streaming:
            sink_class = sinks.StreamSink
        elif kind == "plain":
            sink_class = sinks.BufferedSink
        elif parsed.streaming:
            sink_class = sinks.StreamSink
        else:
            sink_class = sinks.CompletionSink
        new_sink = sink_class(
            self.request,
            self.exchange,
            lambda tokens: self.host.progress(self.request, tokens),
        )
        new_sink.promises = self.host.protocol.promises
        new_sink.on_position_lost = lambda: self.host.position_lost(
            self.request
        )
        new_sink.status_headers = lambda status: (
            self.host.protocol.status_headers(parsed.public_id, status)
        )
        return new_sink

    async def _handle_attempt_end(self, result: adapters.Result) -> None:
        if (
            result.outcome is not states.Outcome.COMPLETED
            and self._is_backup_running()
        ):
            ended = self.request
            self._take_over(result.outcome)
            await self.host.superseded_ended(ended)
            return
        self._attempt = None
        await self._cancel_backup()
        if result.outcome in states.UNSENT_OUTCOMES:
            # Nothing reached the endpoint, so the scheduler decides again.
            self.request.dispatched = False
            await self.host.attempt_ended(self.request, result, None)
            return
        if self.host.may_repeat(self.request, result):
            self.request.dispatched = False
            if result.outcome is not states.Outcome.REJECTED:
                self.request.may_have_run = True
            await self.host.attempt_ended(self.request, result, None)
            return
        self.request.finished = True
        sink = self._sink
        await self.host.attempt_ended(self.request, result, sink.answer)
        if result.outcome is states.Outcome.COMPLETED:
            return
        kind = _ERROR_KIND_BY_OUTCOME.get(
            result.outcome, errors.ErrorKind.ENDPOINT_BROKE
        )
        if self.request.may_have_run and (
            errors.ANSWERS[kind].run_status is states.RunStatus.NOT_RUN
        ):
            kind = errors.ErrorKind.ENDPOINT_BROKE
        self.host.record_refusal(self.request, kind)
        if not sink.caller_gone:
            await self._send_failure(kind, result.detail, sink)

    async def _send_failure(self, kind, detail, sink) -> None:
        """Sends the caller an error after the dispatch."""
        public_id = self.request.parsed.public_id
        retry_after = 1.0 if kind is errors.ErrorKind.OVERLOADED else None
        protocol = self.host.protocol
        if sink is None or not sink.started:
            await self._answer(
                protocol.refusal(kind, public_id, detail, retry_after)
            )
            return
        # The status line was sent already. The stream ends with an error event
        # in place of its last event, or the connection closes before the end of
        # the answer, so the caller cannot take the answer for complete.
        data = protocol.stream_failure(kind, public_id, detail)
        if data is None:
            self.exchange.abort()
        try:
            await self.exchange.send(data)
            await self.exchange.finish()
        except server.PeerGoneError:
            return

    async def _refuse(self, kind, retry_after, detail) -> None:
        if self.request.dispatched:
            return
        self.request.finished = True
        await self.host.release_key(self.request)
        sink = self._sink
        if self.request.may_have_run or (sink is not None and sink.started):
            # An attempt may have run, so the refusal must not say "not run".
            kind = errors.ErrorKind.ENDPOINT_BROKE
            self.host.record_refusal(self.request, kind)
            await self._send_failure(kind, detail, sink)
            return
        self.host.record_refusal(self.request, kind)
        await self._answer(
            self.host.protocol.refusal(
                kind, self.request.parsed.public_id, detail, retry_after
            )
        )

    async def _answer_repeat(self, decision: held.Repeat) -> None:
        """Answers a repeated request with the outcome of the first one."""
        self.request.finished = True
        await self.host.cancel(self.request)
        first = await self.host.first_answer(decision, self.request)
        public_id = self.request.parsed.public_id
        if isinstance(first, errors.ErrorKind):
            self.host.record_refusal(self.request, first)
            await self._answer(
                self.host.protocol.refusal(first, public_id, None, 1.0)
            )
            return
        headers = self.host.protocol.status_headers(
            public_id, states.RunStatus.DONE
        )
        if first.content_type:
            headers["content-type"] = first.content_type
        await self._answer((first.status, headers, first.body))

    async def _handle_caller_gone(self) -> None:
        if self._sink is not None:
            self._sink.caller_gone = True
        route = self.request.parsed.route
        if self.request.dispatched and not (
            route.idempotent or route.streaming
        ):
            # The run may have side effects, so it continues to its end.
            return
        await self._end_without_answer(errors.ErrorKind.CALLER_GONE)

    async def _handle_timeout(self) -> None:
        await self._give_up(
            errors.ErrorKind.DEADLINE_PASSED,
            errors.ErrorKind.TIMED_OUT,
            "the timeout of the route has passed",
            _TIMEOUT_RETRY_SECONDS,
        )

    async def _handle_node_ending(self) -> None:
        """Refuses a request that no endpoint has at this moment."""
        if self.request.dispatched:
            return
        await self._give_up(
            errors.ErrorKind.SHUTTING_DOWN,
            errors.ErrorKind.ENDPOINT_BROKE,
            "the node is shutting down",
            _SHUTDOWN_RETRY_SECONDS,
        )

    async def _give_up(
        self,
        unsent_kind: errors.ErrorKind,
        sent_kind: errors.ErrorKind,
        detail: str,
        retry_seconds: float,
    ) -> None:
        """Ends the request and tells its caller.

        Args:
            unsent_kind: Error if no endpoint can have run it.
            sent_kind: Error if one may have.
            detail: What has happened.
            retry_seconds: Retry-After of a request that was not sent.
        """
        await self._stop_attempts()
        # An attempt may be sent until it has stopped.
        sent = self.request.dispatched or self.request.may_have_run
        kind = sent_kind if sent else unsent_kind
        await self._end_without_answer(kind)
        sink = self._sink
        if sink is not None and sink.caller_gone:
            return
        if sent:
            await self._send_failure(kind, detail, sink)
            return
        public_id = self.request.parsed.public_id
        await self._answer(
            self.host.protocol.refusal(kind, public_id, None, retry_seconds)
        )

    async def _end_without_answer(self, kind: errors.ErrorKind) -> None:
        """Ends the request without an answer from an endpoint."""
        await self._stop_attempts()
        if self.request.dispatched:
            tokens = self._sink.tokens if self._sink is not None else 0
            cancelled = adapters.Result(
                states.Outcome.CANCELLED, output_tokens=tokens
            )
            await self.host.attempt_ended(self.request, cancelled, None)
        else:
            await self.host.cancel(self.request)
        self.host.record_refusal(self.request, kind)

    async def _stop_attempts(self) -> None:
        self.request.finished = True
        await self._cancel_backup()
        if self._attempt is not None:
            await cancellation.cancel(self._attempt.task)
            self._attempt = None

    async def _answer(self, response: responses.Response) -> None:
        try:
            await self.exchange.respond(*response)
        except server.PeerGoneError:
            return

    async def _wait_for_caller_gone(self) -> None:
        with contextlib.suppress(OSError):
            await self.exchange.wait_for_close()
        await self.request.decide(held.CallerGone())

    async def _wait_for_timeout(self) -> None:
        await curio.sleep(self.request.parsed.route.timeout_seconds)
        await self.request.decide(held.TimedOut())
