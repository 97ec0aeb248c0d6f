"""Connects callers' requests with the scheduler, key store and metrics."""

from typing import TYPE_CHECKING, Any

from baobabmux_core import catalogue, errors, ids, states
from baobabmux_node import (
    adapters,
    callers,
    clock,
    held,
    server,
    sinks,
    wall_clock,
)

if TYPE_CHECKING:
    from baobabmux_node import node

Kind = catalogue.EventKind


class CallerService(callers.Host):
    """Serves callers from the arrival of a request to its final answer.

    Attributes:
        held: Requests that the node holds, by identifier.
        protocol: Protocol of callers and endpoints.
        connector: Opens connections to endpoints.
    """

    def __init__(self, host: "node.Node"):
        self.held: dict[ids.RequestId, held.HeldRequest] = {}
        self.protocol = host.ports.protocol
        self.connector = host.paths
        self._host = host
        self._driver = host.driver

    async def serve(self, exchange: server.Exchange) -> None:
        """Serves one request of a caller."""
        public_id = self.protocol.public_id(exchange)
        try:
            parsed = await self._accept(exchange)
        except server.RequestError as error:
            self._host.metrics.refused.labels("none", error.kind.value).inc()
            self._host.events.record(
                Kind.REQUEST_MALFORMED,
                public_id,
                error=error.kind.value,
                detail=error.detail,
            )
            await exchange.respond(
                *self.protocol.refusal(error.kind, public_id, error.detail, 1.0)
            )
            return
        request = held.HeldRequest(parsed)
        self.held[parsed.request] = request
        try:
            await callers.RequestHandler(self, exchange, request).run()
        finally:
            for name in (parsed.request, *request.backups):
                self.held.pop(name, None)

    async def _accept(self, exchange: server.Exchange) -> held.ParsedRequest:
        self._check_shutdown()
        configuration = self._host.configuration
        if configuration is None:
            raise server.RequestError(
                errors.ErrorKind.NOT_READY, "the node has no configuration yet"
            )
        if len(self.held) >= self._host.settings.max_held_requests:
            raise server.RequestError(
                errors.ErrorKind.OVERLOADED,
                "the node already holds its maximum number of requests",
            )
        parsed = await self.protocol.accept(
            exchange, configuration, clock.now(), wall_clock.unix_ms()
        )
        # The body may have taken a while.
        self._check_shutdown()
        return parsed

    def _check_shutdown(self) -> None:
        if not self._host.takes_requests():
            raise server.RequestError(
                errors.ErrorKind.SHUTTING_DOWN,
                "the node is shutting down; send the request to another node",
            )

    async def refuse_waiting(self) -> None:
        """Has the requests refused that no endpoint has, as the node ends."""
        for request in list(self.held.values()):
            if not request.dispatched and not request.finished:
                await request.decide(held.NodeEnding())

    async def admit(self, request: held.HeldRequest) -> None:
        """Submits a request unless another one holds its idempotency key."""
        parsed = request.parsed
        self._host.metrics.submitted.labels(
            parsed.route.tier, parsed.route_name
        ).inc()
        self._host.events.record(
            Kind.REQUEST_RECEIVED,
            parsed.request,
            route=parsed.route_name,
            public_id=parsed.public_id,
            tier=parsed.route.tier,
            workspace=parsed.workspace,
            content=f"{parsed.work.content:x}",
            parts=[f"{part:x}" for part in parsed.work.parts],
            prompt_tokens=parsed.work.prompt_tokens,
            config=self._host.config.version,
            deadline_ms=_left_ms(parsed.work.deadline, parsed.arrived),
            first_event_ms=_left_ms(parsed.work.first_by, parsed.arrived),
            http_version=parsed.http_version,
            **_resumed_fields(parsed),
        )
        repeat = await self._host.answers.register(request)
        if repeat is not None:
            await request.decide(repeat)
            return
        await self._driver.apply(
            self._host.scheduler.submit(parsed.work, clock.now())
        )

    def begin_dispatch(self, request: held.HeldRequest) -> bool:
        """Starts the dispatch of a request, immediately before its first byte.

        Returns:
            Whether the scheduler permits it; the request then counts as
            dispatched.
        """
        request_id = request.parsed.request
        permitted = self._host.scheduler.start_dispatch(request_id, clock.now())
        kind = Kind.REQUEST_DISPATCHED if permitted else Kind.DISPATCH_FORBIDDEN
        now = clock.now()
        if permitted:
            self._host.metrics.waiting.labels(
                request.parsed.route.tier
            ).observe(now - request.parsed.arrived)
        self._host.events.record(
            kind,
            request_id,
            request.endpoint or "",
            config=self._host.config.version,
            endpoints=self._host.ports.endpoints_version(),
            endpoints_age_ms=self._host.ports.endpoints_age_ms(now),
            version=self._version(request.endpoint),
            waited_ms=round((now - request.parsed.arrived) * 1000),
            left_ms=_left_ms(request.parsed.work.deadline, now),
        )
        return permitted

    def _version(self, endpoint: ids.EndpointId | None) -> str:
        declared = self._host.configuration.endpoints.get(endpoint)
        return "" if declared is None else declared.version

    def endpoint(self, endpoint: ids.EndpointId) -> tuple[str, str]:
        """Returns the kind of service and the address of an endpoint."""
        configuration = self._host.configuration
        declared = configuration.endpoints.get(endpoint)
        if declared is None:
            # The endpoint was removed between grant and dispatch. Port 9 of
            # the unspecified address refuses connections, so the attempt ends
            # as not sent.
            return "plain", "0.0.0.0:9"
        return configuration.services[declared.service].kind, declared.address

    def progress(self, request: held.HeldRequest, tokens: int) -> None:
        """Reports output tokens, and the first one, to the scheduler."""
        request_id = request.parsed.request
        now = clock.now()
        if not request.first_token_seen:
            request.first_token_seen = True
            self._host.events.record(
                Kind.FIRST_TOKEN, request_id, request.endpoint or ""
            )
            self._host.metrics.first_token.labels(
                request.parsed.route.tier
            ).observe(now - request.parsed.arrived)
            self._driver.pending += self._host.scheduler.first_token(
                request_id, now
            )
        self._driver.pending += self._host.scheduler.progress(
            request_id, tokens, now
        )

    def status_withheld(self, request: held.HeldRequest, status: int) -> None:
        """Records that an endpoint's status is not passed on."""
        self._host.metrics.withheld_statuses.labels(str(status)).inc()
        self._host.events.record(
            Kind.STATUS_WITHHELD,
            request.parsed.request,
            request.endpoint or "",
            status=status,
        )

    def position_lost(self, request: held.HeldRequest) -> None:
        """Reports that no other endpoint can go on with a stream."""
        if self._host.scheduler.position_lost(request.parsed.request):
            self._host.events.record(
                Kind.POSITION_LOST,
                request.parsed.request,
                request.endpoint or "",
            )

    def hedge_delay(self, request: held.HeldRequest) -> float | None:
        """Returns when a request is slow; see the base class."""
        if request.parsed.key is not None:
            return None
        return self._host.scheduler.hedge_delay(request.parsed.request)

    async def ask_backup(
        self,
        request: held.HeldRequest,
        backup: held.HeldRequest,
        seconds: float,
        hedged: bool = False,
    ) -> bool:
        """Asks for another endpoint; see the base class."""
        name = request.parsed.request
        emitted = []
        if request.parsed.key is None:
            emitted = self._host.scheduler.ask_backup(
                name, backup.parsed.request, clock.now(), hedged
            )
        kind = Kind.ANSWER_SLOW if hedged else Kind.ANSWER_SILENT
        if hedged:
            outcome = "asked" if emitted else "not_asked"
            self._host.metrics.hedges.labels(outcome).inc()
        else:
            self._host.metrics.silent_answers.inc()
        self._host.events.record(
            kind,
            name,
            request.endpoint or "",
            silent_ms=round(seconds * 1000),
            backup=backup.parsed.request if emitted else "",
        )
        if not emitted:
            return False
        self.held[backup.parsed.request] = backup
        await self._driver.apply(emitted)
        return True

    def supersede(
        self,
        request: held.HeldRequest,
        backup: held.HeldRequest,
        outcome: states.Outcome,
        tokens: int,
    ) -> None:
        """Ends an attempt that another one replaces; see the base class."""
        name = request.parsed.request
        self._host.metrics.takeovers.inc()
        self._host.metrics.attempts.labels(
            request.parsed.work.service, outcome.value
        ).inc()
        self._host.events.record(
            Kind.ANSWER_TAKEN_OVER,
            name,
            request.endpoint or "",
            successor=backup.endpoint,
            backup=backup.parsed.request,
            output_tokens=tokens,
        )
        self._driver.pending += self._host.scheduler.finished(
            name,
            outcome,
            clock.now(),
            output_tokens=tokens,
            superseded=True,
        )

    async def superseded_ended(self, request: held.HeldRequest) -> None:
        """Checks the endpoint of an attempt that another one replaced."""
        await self._host.endpoint_ends.attempt_ended(
            request.endpoint, adapters.Result(states.Outcome.BROKEN)
        )

    def may_repeat(
        self, request: held.HeldRequest, result: adapters.Result
    ) -> bool:
        """Returns whether the scheduler will try another endpoint."""
        return self._host.scheduler.may_repeat(
            request.parsed.request, result.outcome
        )

    async def limit_observed(
        self, endpoint: ids.EndpointId, rate: float | None, sent_at: float
    ) -> None:
        """Passes the limit that an answer names to the scheduler."""
        emitted = self._host.scheduler.limit_observed(
            endpoint, rate, sent_at, clock.now()
        )
        if emitted:
            await self._driver.apply(emitted)

    async def leaving_observed(self, endpoint: ids.EndpointId) -> None:
        """Passes the notice of an answer's endpoint to the scheduler."""
        emitted = self._host.scheduler.leaving_observed(endpoint, clock.now())
        if emitted:
            await self._driver.apply(emitted)

    async def pause_observed(
        self,
        request: ids.RequestId,
        endpoint: ids.EndpointId,
        seconds: float,
        sent_at: float,
    ) -> None:
        """Passes the time that a 503 answer names to the scheduler."""
        now = clock.now()
        is_new = self._host.scheduler.pause_observed(endpoint, seconds, now)
        repeated = "no" if is_new else "yes"
        self._host.metrics.endpoint_pauses.labels(repeated).inc()
        self._host.events.record(
            Kind.ENDPOINT_PAUSED,
            request,
            endpoint,
            seconds=seconds,
            repeated=repeated,
            age_ms=round((now - sent_at) * 1000),
        )

    async def attempt_ended(
        self,
        request: held.HeldRequest,
        result: adapters.Result,
        answer: sinks.Answer | None,
    ) -> None:
        """Passes an attempt's outcome to the scheduler and the key store."""
        request_id = request.parsed.request
        now = clock.now()
        self._host.events.record(
            Kind.ATTEMPT_ENDED,
            request_id,
            request.endpoint or "",
            outcome=result.outcome.value,
            detail=result.detail,
            age_ms=round((now - request.parsed.arrived) * 1000),
            output_tokens=result.output_tokens,
            status=result.status,
            framing=None if result.framing is None else result.framing.value,
            rest_bytes=result.rest_bytes,
            interrupted=result.interrupted,
            via=result.via,
            silent_ms=round(result.silent_seconds * 1000),
        )
        self._record_content_answer(request, result)
        self._host.metrics.attempts.labels(
            request.parsed.work.service, result.outcome.value
        ).inc()
        if result.framing is not None and (
            result.outcome is states.Outcome.BROKEN
        ):
            self._host.metrics.broken_answers.labels(result.framing.value).inc()
        self._count_outcome(request, result, now)
        if result.outcome not in states.UNSENT_OUTCOMES:
            await self._host.answers.store_outcome(request, result, answer)
        await self._driver.apply(
            self._host.scheduler.finished(
                request_id,
                result.outcome,
                now,
                computed_tokens=result.computed_tokens,
                output_tokens=result.output_tokens,
                succeeded=result.succeeded,
            )
        )
        await self._host.endpoint_ends.attempt_ended(request.endpoint, result)

    def _record_content_answer(
        self, request: held.HeldRequest, result: adapters.Result
    ) -> None:
        """Records which answer clears a content of its ends."""
        content = request.parsed.work.content
        scheduler = self._host.scheduler
        if (
            result.outcome is not states.Outcome.COMPLETED
            or not scheduler.ends.has_ended_endpoints(content)
        ):
            return
        self._host.events.record(
            Kind.CONTENT_ANSWERED,
            request.parsed.request,
            request.endpoint or "",
            content=f"{content:x}",
            status=result.status,
            ends=scheduler.ends.content_end_counts(clock.now()).get(content, 0),
        )
        self._host.metrics.answered_contents.labels(
            str(result.succeeded).lower()
        ).inc()

    async def cancel(self, request: held.HeldRequest) -> None:
        """Cancels a request that was not dispatched."""
        request_id = request.parsed.request
        await self._host.answers.release_key(request)
        await self._driver.apply(
            self._host.scheduler.cancel(request_id, clock.now())
        )

    async def release_key(self, request: held.HeldRequest) -> None:
        """Releases the key of a request that was refused and not run."""
        await self._host.answers.release_key(request)

    async def first_answer(
        self, repeat: held.Repeat, request: held.HeldRequest
    ) -> sinks.Answer | errors.ErrorKind:
        """Fetches the answer of the request that holds the key."""
        return await self._host.answers.fetch(repeat, request)

    def record_refusal(
        self, request: held.HeldRequest, kind: errors.ErrorKind
    ) -> None:
        """Counts and records a refusal."""
        self._host.metrics.refused.labels(
            request.parsed.route.tier, kind.value
        ).inc()
        parsed = request.parsed
        now = clock.now()
        self._host.events.record(
            Kind.REQUEST_REFUSED,
            parsed.request,
            request.endpoint or "",
            error=kind.value,
            run_status=errors.ANSWERS[kind].run_status.value,
            public_id=parsed.public_id,
            age_ms=round((now - parsed.arrived) * 1000),
            left_ms=_left_ms(parsed.work.deadline, now),
            first_event_left_ms=_left_ms(parsed.work.first_by, now),
            config=self._host.config.version,
        )

    def _count_outcome(self, request, result, now) -> None:
        parsed = request.parsed
        if result.outcome in states.UNSENT_OUTCOMES:
            return
        service = parsed.work.service
        completed = result.outcome is states.Outcome.COMPLETED
        deadline = parsed.work.deadline
        in_time = completed and (deadline is None or now <= deadline)
        if completed:
            self._host.metrics.answered.labels(
                parsed.route.tier, parsed.route_name, str(in_time).lower()
            ).inc()
        self._host.metrics.prompt_tokens.labels(service).inc(
            parsed.work.prompt_tokens
        )
        self._host.metrics.output_tokens.labels(service).inc(
            result.output_tokens
        )
        computed = max(result.computed_tokens, 0)
        self._host.metrics.computed_tokens.labels(service).inc(computed)
        if not in_time:
            wasted = computed or parsed.work.prompt_tokens
            self._host.metrics.wasted_prefill.labels(service).inc(wasted)


def _resumed_fields(parsed: held.ParsedRequest) -> dict[str, Any]:
    """Returns the fields of a stream that a request takes up, for the log."""
    if parsed.work.resumes is None:
        return {}
    return {
        "resumes": f"{parsed.work.resumes:x}",
        "last_event": parsed.last_event,
    }


def _left_ms(deadline: float | None, now: float) -> int | None:
    return None if deadline is None else round((deadline - now) * 1000)
