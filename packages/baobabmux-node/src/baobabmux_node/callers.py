"""Serves one caller's request from its arrival to its final answer.

A `RequestHandler` owns the attempt at an endpoint and the sink of the answer.
It acts on the decisions that are queued for the request.
"""

import abc
import contextlib

import curio

from baobabmux_core import effects, errors, ids, states
from baobabmux_node import (
    adapters,
    clock,
    held,
    protocols,
    responses,
    server,
    sinks,
)

_ERROR_KIND_BY_OUTCOME = {
    states.Outcome.GARBAGE: errors.ErrorKind.ENDPOINT_GARBAGE,
    states.Outcome.REJECTED: errors.ErrorKind.OVERLOADED,
}


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
        self, request: held.HeldRequest, rate: float | None, sent_at: float
    ) -> None:
        """Reports the limit that the answer to a request names.

        Args:
            request: The request.
            rate: Requests a second, or None if the answer names no limit.
            sent_at: Time at which the request was sent, in seconds.
        """

    @abc.abstractmethod
    async def leaving_observed(self, request: held.HeldRequest) -> None:
        """Reports that the answer says that its endpoint is leaving."""

    @abc.abstractmethod
    async def pause_observed(
        self, request: held.HeldRequest, seconds: float
    ) -> None:
        """Reports for how long the endpoint wants nothing from this node."""

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


class RequestHandler:
    """Serves one caller's request.

    Attributes:
        host: The node.
        exchange: The caller's connection.
        request: The request.
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
        self._attempt: curio.Task | None = None
        self._attempts = 0

    async def run(self) -> None:
        """Serves the request until its final answer."""
        close_task = await curio.spawn(self._wait_for_caller_gone, daemon=True)
        timeout_task = await curio.spawn(self._wait_for_timeout, daemon=True)
        try:
            await self.host.admit(self.request)
            while not self.request.finished:
                await self._handle_decision(await self.request.next_decision())
        finally:
            await timeout_task.cancel()
            # The task must have stopped reading the socket before the socket is
            # closed. Otherwise curio would unregister a later socket that has
            # the same descriptor.
            await close_task.cancel()

    async def _handle_decision(self, decision: held.Decision) -> None:
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
            case held.CallerGone():
                await self._handle_caller_gone()
            case held.TimedOut():
                await self._handle_timeout()

    async def _dispatch(self, decision: effects.Dispatch) -> None:
        if self._attempt is not None:
            return
        self.request.endpoint = decision.endpoint
        self._attempt = await curio.spawn(
            self._run_attempt, decision, daemon=True
        )

    async def _run_attempt(self, decision: effects.Dispatch) -> None:
        parsed = self.request.parsed
        kind, address = self.host.endpoint(decision.endpoint)
        if self._sink is None:
            self._sink = self._make_sink(parsed.route.streaming, kind)
        self._attempts += 1
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
            permit=self._begin_dispatch,
            endpoint=decision.endpoint,
            parsed=parsed,
            repeatable=self.host.may_repeat(
                self.request, adapters.Result(states.Outcome.BROKEN)
            ),
            deadline=ends_at,
            report_limit=lambda rate: self.host.limit_observed(
                self.request, rate, now
            ),
            report_leaving=lambda: self.host.leaving_observed(self.request),
            report_pause=lambda seconds: self.host.pause_observed(
                self.request, seconds
            ),
            connector=self.host.connector,
        )
        adapter = self.host.protocol.adapter(kind)
        try:
            result = await adapter.run(call, self._sink)
            if result.outcome is states.Outcome.COMPLETED:
                await self._sink.end()
        except sinks.AnswerTooLargeError as error:
            result = adapters.Result(states.Outcome.GARBAGE, str(error))
        await self.request.decide(held.AttemptEnded(result))

    def _begin_dispatch(self) -> bool:
        self.request.dispatched = self.host.begin_dispatch(self.request)
        return self.request.dispatched

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
        new_sink.status_headers = lambda status: (
            self.host.protocol.status_headers(parsed.public_id, status)
        )
        return new_sink

    async def _handle_attempt_end(self, result: adapters.Result) -> None:
        self._attempt = None
        if result.outcome in states.UNSENT_OUTCOMES:
            # Nothing reached the endpoint, so the scheduler decides again.
            self.request.dispatched = False
            self._attempts -= 1
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
        if self.request.may_have_run:
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
        dispatched = self.request.dispatched or self.request.may_have_run
        kind = (
            errors.ErrorKind.TIMED_OUT
            if dispatched
            else errors.ErrorKind.DEADLINE_PASSED
        )
        await self._end_without_answer(kind)
        sink = self._sink
        if sink is not None and sink.caller_gone:
            return
        if dispatched:
            await self._send_failure(
                kind, "the timeout of the route has passed", sink
            )
        else:
            await self._answer(
                self.host.protocol.refusal(
                    kind, self.request.parsed.public_id, None, 1.0
                )
            )

    async def _end_without_answer(self, kind: errors.ErrorKind) -> None:
        """Ends the request without an answer from an endpoint."""
        self.request.finished = True
        if self._attempt is not None:
            await self._attempt.cancel()
            self._attempt = None
        if self.request.dispatched:
            tokens = self._sink.tokens if self._sink is not None else 0
            cancelled = adapters.Result(
                states.Outcome.CANCELLED, output_tokens=tokens
            )
            await self.host.attempt_ended(self.request, cancelled, None)
        else:
            await self.host.cancel(self.request)
        self.host.record_refusal(self.request, kind)

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
