"""One node: connects the decisions in the core with sockets and clocks."""

import collections
import signal
import time
import zlib

import curio
import msgspec
import xxhash

from baobabmux_core import (
    catalogue,
    effects,
    errors,
    ids,
    membership,
    messages,
    rendezvous,
    scheduler,
    states,
    timers,
)
from baobabmux_node import (
    adapters,
    admin,
    answers,
    callers,
    claim_service,
    config_follower,
    endpoint_reports,
    events,
    held,
    intake,
    log_service,
    metrics,
    order_service,
    peers,
    responses,
    server,
    settings,
    sinks,
    status,
    vms,
)

_TICK_SECONDS = 0.05
# An idle node wakes up less often: its ticks were half of its CPU time.
_IDLE_TICK_SECONDS = 0.25
_MEMBERSHIP_SECONDS = 0.25
_VM_POLL_SECONDS = 1.0
_METRICS_SECONDS = 1.0
_SNAPSHOT_SECONDS = 30.0
_LEAVE_GRACE_SECONDS = 0.3
_CONFIG_ASK_SECONDS = 0.5
_SETTLE_SECONDS = 5.0
# Shorter delays happen on a busy VM and mean nothing.
_PAUSE_SECONDS = 1.0

Kind = catalogue.EventKind


class Node(callers.Host):
    """A node of the system.

    Attributes:
        settings: Settings of the node.
        held: Requests that the node holds, by identifier.
        draining: Whether the node is shutting down.
    """

    def __init__(self, node_settings: settings.Settings):
        self.settings = node_settings
        self.draining = False
        self.held: dict[ids.RequestId, held.HeldRequest] = {}
        self.metrics = metrics.Metrics()
        self.timers = timers.TimerService()
        self.events = events.EventRecorder(
            node_settings.node, node_settings.timeline_events
        )
        now = self._started = time.monotonic()
        seed = zlib.crc32(node_settings.node.encode())
        self.membership = membership.Membership(
            node_settings.node, node_settings.data_centre, now
        )
        self.scheduler = scheduler.NodeScheduler(
            node_settings.node, node_settings.data_centre, self.membership, seed
        )
        self.peers = peers.PeerTransport(
            node_settings.node,
            node_settings.secret,
            self.membership.peer_address,
            self.events.stamp,
        )
        self.intake = intake.Intake(
            node_settings.node,
            self.peers.incarnation,
            node_settings.claim_window_seconds,
        )
        self.log = log_service.LogService(str(node_settings.log))
        self.config = config_follower.ConfigFollower(
            self.log,
            node_settings.log_retention_seconds,
            self._configured,
            seed,
        )
        self.claims = claim_service.ClaimService(
            node_settings.node,
            node_settings.data_centre,
            self.log,
            self.membership,
            self.peers.enqueue,
            node_settings.claim_window_seconds,
        )
        self.answers = answers.AnswerService(self)
        self.reports = endpoint_reports.EndpointReports(self)
        self.orders = order_service.OrderService(self)
        self._pending: list[effects.Effect] = []
        self._stop_requested = False
        self._callers = self._listener(node_settings.callers, self._serve)
        self._admin = self._listener(
            node_settings.admin, admin.Admin(self).handle
        )

    # The HTTP listeners.

    def _listener(self, address: settings.Address, handler) -> server.Server:
        limits = server.Limits(
            max_header_bytes=self.settings.max_header_bytes,
            receive_timeout_seconds=self.settings.receive_timeout_seconds,
            send_timeout_seconds=self.settings.send_timeout_seconds,
            idle_timeout_seconds=self.settings.idle_timeout_seconds,
        )
        return server.Server(address.host, address.port, handler, limits)

    async def _serve(self, exchange: server.Exchange) -> None:
        """Serves one request of a caller."""
        # A refused request needs a name too, so that its refusal can be found.
        public_id = (
            exchange.headers.get(intake.REQUEST_ID)
            or self.intake.next_request()
        )
        try:
            caller = await self._accept(exchange)
        except server.RequestError as error:
            self.metrics.refused.labels("none", error.kind.value).inc()
            self.events.record(Kind.REQUEST_MALFORMED, error=error.kind.value)
            await exchange.respond(
                *responses.problem(
                    error.kind, public_id, error.detail, retry_after=1.0
                )
            )
            return
        request = held.HeldRequest(caller)
        self.held[caller.request] = request
        try:
            await callers.Conversation(self, exchange, request).run()
        finally:
            self.held.pop(caller.request, None)

    async def _accept(self, exchange: server.Exchange) -> held.Caller:
        if self.draining:
            raise server.RequestError(
                errors.ErrorKind.SHUTTING_DOWN, "send it to another node"
            )
        configuration = self.config.state.configuration
        if configuration is None:
            raise server.RequestError(
                errors.ErrorKind.NOT_READY, "no configuration is known"
            )
        if len(self.held) >= self.settings.max_held_requests:
            raise server.RequestError(
                errors.ErrorKind.OVERLOADED, "the node holds too many requests"
            )
        return await self.intake.accept(
            exchange, configuration, time.monotonic(), _unix_ms()
        )

    # callers.Host

    async def admit(self, request: held.HeldRequest) -> None:
        """Submits a request, unless its key belongs to another one."""
        caller = request.caller
        self.metrics.submitted.labels(
            caller.route.tier, caller.route_name
        ).inc()
        self.events.record(
            Kind.REQUEST_RECEIVED,
            caller.request,
            route=caller.route_name,
            public_id=caller.public_id,
        )
        repeat = await self.answers.register(request)
        if repeat is not None:
            await request.decide(repeat)
            return
        await self.apply(self.scheduler.submit(caller.work, time.monotonic()))

    def permit(self, request: held.HeldRequest) -> bool:
        """Takes the one-way step before the first byte."""
        name = request.caller.request
        permitted = self.scheduler.start_dispatch(name, time.monotonic())
        kind = Kind.REQUEST_DISPATCHED if permitted else Kind.DISPATCH_FORBIDDEN
        self.events.record(kind, name, request.endpoint or "")
        return permitted

    def endpoint(self, endpoint: ids.EndpointId) -> tuple[str, str]:
        """Returns the kind of service and the address of an endpoint."""
        configuration = self.config.state.configuration
        declared = configuration.endpoints.get(endpoint)
        if declared is None:
            # Withdrawn between the grant and the dispatch; port 9 of the
            # unspecified address refuses, so the attempt ends as not sent.
            return "plain", "0.0.0.0:9"
        return configuration.services[declared.service].kind, declared.address

    def progress(self, request: held.HeldRequest, tokens: int) -> None:
        """Tells the scheduler of output tokens."""
        name = request.caller.request
        now = time.monotonic()
        if not request.first_token_seen:
            request.first_token_seen = True
            self.metrics.first_token.labels(request.caller.route.tier).observe(
                now - request.caller.arrived
            )
            self._pending += self.scheduler.first_token(name, now)
        self._pending += self.scheduler.progress(name, tokens, now)

    async def attempt_ended(
        self,
        request: held.HeldRequest,
        result: adapters.Result,
        answer: sinks.Answer | None,
    ) -> None:
        """Tells the scheduler and the key store how an attempt ended."""
        name = request.caller.request
        now = time.monotonic()
        self.events.record(
            Kind.ATTEMPT_ENDED,
            name,
            request.endpoint or "",
            outcome=result.outcome.value,
            detail=result.detail,
        )
        self._count(request, result, now)
        if result.outcome is not states.Outcome.NOT_SENT:
            await self.answers.ended(request, result, answer)
        await self.apply(
            self.scheduler.finished(
                name,
                result.outcome,
                now,
                computed_tokens=result.computed_tokens,
                output_tokens=result.output_tokens,
            )
        )

    async def cancel(self, request: held.HeldRequest) -> None:
        """Takes a request back that was not dispatched."""
        name = request.caller.request
        await self.answers.released(request)
        await self.apply(self.scheduler.cancel(name, time.monotonic()))

    async def released(self, request: held.HeldRequest) -> None:
        """Opens the key of a request that was refused without a run."""
        await self.answers.released(request)

    async def first_answer(
        self, repeat: held.Repeat, request: held.HeldRequest
    ) -> sinks.Answer | errors.ErrorKind:
        """Fetches the answer of the first request with a key."""
        return await self.answers.fetch(repeat, request)

    def refused(
        self, request: held.HeldRequest, kind: errors.ErrorKind
    ) -> None:
        """Counts and records a refusal."""
        self.metrics.refused.labels(request.caller.route.tier, kind.value).inc()
        self.events.record(
            Kind.REQUEST_REFUSED, request.caller.request, error=kind.value
        )

    def _count(self, request, result, now) -> None:
        caller = request.caller
        if result.outcome is states.Outcome.NOT_SENT:
            return
        service = caller.route.service
        whole = result.outcome is states.Outcome.COMPLETED
        in_time = whole and now <= caller.work.deadline
        if whole:
            self.metrics.answered.labels(
                caller.route.tier, caller.route_name, str(in_time).lower()
            ).inc()
        self.metrics.prompt_tokens.labels(service).inc(
            caller.work.prompt_tokens
        )
        self.metrics.output_tokens.labels(service).inc(result.output_tokens)
        computed = max(result.computed_tokens, 0)
        self.metrics.computed_tokens.labels(service).inc(computed)
        if not in_time:
            wasted = computed or caller.work.prompt_tokens
            self.metrics.wasted_prefill.labels(service).inc(wasted)

    # Effects of the decisions.

    async def apply(self, decided: list[effects.Effect]) -> None:
        """Carries out effects; messages to this node are looped back."""
        started = time.perf_counter()
        queue = collections.deque([*self._take_pending(), *decided])
        while queue:
            effect = queue.popleft()
            match effect:
                case effects.Send(to=to) if to == self.settings.node:
                    self._record_message(to, to, effect.message)
                    queue.extend(
                        self.scheduler.receive(
                            to, effect.message, time.monotonic()
                        )
                    )
                case effects.Send():
                    self._record_message(
                        self.settings.node, effect.to, effect.message
                    )
                    self.peers.enqueue(effect.to, effect.message)
                case effects.Claim():
                    await self._claim(effect.request)
                case effects.Dispatch() | effects.Refuse():
                    await self._decide(effect)
        self.metrics.control_cpu.inc(time.perf_counter() - started)
        await self.peers.notify()

    def _take_pending(self) -> list[effects.Effect]:
        pending, self._pending = self._pending, []
        return pending

    async def _decide(self, effect: effects.Dispatch | effects.Refuse) -> None:
        request = self.held.get(effect.request)
        if request is None:
            return
        if isinstance(effect, effects.Dispatch):
            self.events.record(
                Kind.REQUEST_GRANTED, effect.request, effect.endpoint
            )
        await request.decide(effect)

    async def _claim(self, name: ids.RequestId) -> None:
        request = self.held.get(name)
        if request is not None:
            await curio.spawn(self.answers.claim, request, daemon=True)

    async def claim_decided(
        self,
        name: ids.RequestId,
        won: bool,
        kind: errors.ErrorKind | None = None,
        retry_after: float | None = None,
    ) -> None:
        """Passes the decision about a claim to the scheduler."""
        await self.apply(
            self.scheduler.claim_decided(
                name,
                won,
                time.monotonic(),
                kind=kind,
                retry_after=retry_after,
            )
        )

    # Messages from other nodes.

    def _record_message(
        self,
        sender: ids.NodeId,
        to: ids.NodeId,
        message: messages.AnyMessage,
    ) -> None:
        """Records what the owner of a group does about a request.

        These events tell of a request whose holder has died.
        """
        own = self.settings.node
        match message:
            case messages.Ask() if to == own and message.waited_ms == 0:
                self.events.record(
                    Kind.REQUEST_ASKED,
                    message.request,
                    group=message.group,
                    holder=sender,
                )
            case messages.Grant() if sender == own:
                self.events.record(
                    Kind.GRANT_SENT,
                    message.request,
                    message.endpoint,
                    holder=to,
                )
            case messages.Refusal() if sender == own:
                self.events.record(
                    Kind.REFUSAL_SENT, message.request, error=message.kind
                )
            case messages.Release() if to == own:
                self.events.record(
                    Kind.RELEASE_RECEIVED,
                    message.request,
                    message.endpoint,
                    holder=sender,
                    outcome=message.outcome,
                )
            case messages.Suspect():
                self.events.record(
                    Kind.CONTENT_SUSPECTED,
                    endpoint=message.endpoint,
                    contents=[f"{item:x}" for item in message.contents],
                )
            case messages.Cleared():
                self.events.record(
                    Kind.CONTENT_CLEARED, content=f"{message.content:x}"
                )

    async def _receive(self, frame: messages.Frame) -> None:
        now = time.monotonic()
        self.events.heard(frame.hlc)
        self._note_sender(frame, now)
        decided: list[effects.Effect] = []
        for message in frame.messages:
            self._record_message(frame.sender, self.settings.node, message)
            if not await self._receive_own(frame.sender, message):
                decided += self.scheduler.receive(frame.sender, message, now)
        await self.apply(decided)

    def _note_sender(self, frame: messages.Frame, now: float) -> None:
        """Passes to the membership what a frame tells about its sender."""
        self.membership.heard(frame.sender, frame.incarnation, False, now)
        for message in frame.messages:
            if isinstance(message, messages.Heartbeat):
                self.membership.heard(
                    frame.sender,
                    frame.incarnation,
                    message.leaving,
                    now,
                    message.data_centre or None,
                    message.address,
                )
                self.membership.suspected_by(
                    frame.sender, message.suspects, now
                )

    async def _receive_own(
        self, sender: ids.NodeId, message: messages.AnyMessage
    ) -> bool:
        """Handles messages that are not about scheduling."""
        match message:
            case messages.ConfigAsk():
                answer = self.config.answer(message)
                if answer is not None:
                    self.peers.enqueue(sender, answer)
            case messages.ConfigState():
                if await self.config.adopt(message):
                    self.events.record(
                        Kind.CONFIG_FROM_PEER,
                        version=self.config.state.version,
                        peer=sender,
                    )
            case (
                messages.ClaimAsk()
                | messages.ClaimAnswer()
                | messages.KeyAsk()
                | messages.KeyAnswer()
                | messages.AnswerAsk()
                | messages.AnswerPart()
            ):
                await self.answers.receive(sender, message)
            case messages.Heartbeat():
                if message.config_version > self.config.state.version:
                    ask = messages.ConfigAsk(self.config.state.through)
                    self.peers.enqueue(sender, ask)
                return False
            case _:
                return False
        return True

    def send(self, to: ids.NodeId, message: messages.AnyMessage) -> None:
        """Queues a message; the next `apply` or `notify` sends it."""
        self.peers.enqueue(to, message)

    # Configuration, membership, timers.

    async def _configured(self) -> None:
        state = self.config.state
        self.events.record(
            Kind.CONFIG_IN_FORCE,
            version=state.version,
            preset=state.configuration.active,
            digest=xxhash.xxh3_64_hexdigest(
                msgspec.json.encode(state.tables, order="sorted")
            ),
        )
        self.metrics.config_version.set(state.version)
        self.answers.configure(state.configuration.keys)
        self.orders.desk.configure(state.configuration.endpoints)
        await self.apply(
            self.scheduler.configure(state.configuration, time.monotonic())
        )

    async def _poll_vms(self) -> None:
        reader = vms.VmListClient(
            str(self.settings.vms), self.settings.data_centre
        )
        reachable = True
        while True:
            listed = await reader.fetch(time.monotonic())
            if listed is not None:
                self.membership.vm_list(
                    listed.vms, listed.as_of_ms / 1000, time.monotonic()
                )
            if (listed is not None) != reachable:
                reachable = listed is not None
                self.events.record(Kind.VM_LIST_REACHED, reachable=reachable)
            await curio.sleep(_VM_POLL_SECONDS)

    def _tick_membership(self, now: float) -> None:
        changes = self.membership.tick(now)
        for change in changes:
            self.events.record(
                Kind.MEMBER_CHANGED,
                peer=change.node,
                state=change.state.value,
                previous=change.previous.value,
            )
            if change.state is states.MemberState.GONE:
                self.peers.forget(change.node)
            if change.restarted or change.state is states.MemberState.GONE:
                self.answers.holder_gone(change.node)
        if changes:
            self.answers.members_changed()
            self._pending += self.scheduler.members_changed(now)
        self._send_heartbeats(self.membership.heartbeat_targets(now))

    def _send_heartbeats(self, targets: list[ids.NodeId]) -> None:
        now = time.monotonic()
        for target in targets:
            heartbeat = messages.Heartbeat(
                self.draining,
                self.config.state.version,
                self.scheduler.loads(now, target),
                self.settings.data_centre,
                self.membership.suspects_for(target),
                self._announced_address(),
            )
            self.peers.enqueue(target, heartbeat)

    def _announced_address(self) -> str:
        """Returns the peers' address while the VM list does not tell it."""
        wildcard = self.peers.address.startswith(("0.0.0.0:", "[::]:"))
        listed = self.membership.is_listed()
        return "" if listed or wildcard else self.peers.address

    def _tick_scheduler(self, now: float) -> None:
        self._pending += self.scheduler.tick(now)
        busy = self.held or self.scheduler.queue_length()
        interval = _TICK_SECONDS if busy else _IDLE_TICK_SECONDS
        self.timers.once(now + interval, self._tick_scheduler)

    def _update_gauges(self, now: float) -> None:
        self.metrics.held.set(len(self.held))
        self.metrics.members.set(len(self.membership.reachable()))
        self.metrics.update_control(self.peers, self.log)
        self.metrics.update_groups(status.group_states(self.scheduler, now))

    def _ask_for_configuration(self, now: float) -> None:
        """Asks a peer while the own configuration is missing."""
        if self.config.state.configuration is not None:
            return
        for node in self.membership.reachable():
            if node != self.settings.node:
                self.peers.enqueue(node, messages.ConfigAsk(-1))

    async def _run_timers(self) -> None:
        now = time.monotonic()
        self.timers.once(now + _TICK_SECONDS, self._tick_scheduler)
        self.timers.every(_MEMBERSHIP_SECONDS, now, self._tick_membership)
        self.timers.every(_METRICS_SECONDS, now, self._update_gauges)
        self.timers.every(_CONFIG_ASK_SECONDS, now, self._ask_for_configuration)
        stopping = False
        while True:
            started = time.monotonic()
            self.timers.run_due(started)
            await self.apply([])
            if self._stop_requested and not stopping:
                stopping = True
                await curio.spawn(self._shut_down, daemon=True)
            due = self.timers.next_due() or started
            await curio.sleep(max(due - time.monotonic(), 0.001))
            pause = time.monotonic() - max(due, started)
            if pause > _PAUSE_SECONDS:
                self.events.record(Kind.PAUSE_NOTICED, seconds=round(pause, 1))

    async def _append_snapshots(self) -> None:
        while True:
            await curio.sleep(_SNAPSHOT_SECONDS)
            live = self.membership.reachable()
            first = rendezvous.owner(config_follower.STREAM, live)
            if (
                first == self.settings.node
                and await self.config.append_snapshot()
            ):
                self.events.record(
                    Kind.SNAPSHOT_APPENDED, through=self.config.state.through
                )

    # Start and stop.

    async def run(self) -> None:
        """Runs the node until a graceful shutdown has ended."""
        signal.signal(signal.SIGTERM, self._request_stop)
        signal.signal(signal.SIGINT, self._request_stop)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self._stopped = curio.Event()
        self._callers.start()
        self._admin.start()
        self.peers.start(self.settings.peers.host, self.settings.peers.port)
        self.events.record(Kind.NODE_STARTED, addresses=self.addresses())
        print(self.announcement(), flush=True)
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._stopped.wait)
            for job in (
                self._callers.serve,
                self._admin.serve,
                self.peers.send_frames,
                self._poll_vms,
                self.config.follow,
                self.reports.run,
                self.orders.follow,
                self.orders.run,
                self._run_timers,
                self._append_snapshots,
            ):
                await tasks.spawn(job)
            await tasks.spawn(self.peers.receive_frames, self._receive)
        self.peers.close()

    def addresses(self) -> dict[str, str]:
        """Returns where the node listens, by listener."""
        return {
            "callers": f"{self._callers.host}:{self._callers.port}",
            "admin": f"{self._admin.host}:{self._admin.port}",
            "peers": self.peers.address,
        }

    def announcement(self) -> str:
        """Returns the line that tells a supervisor the addresses."""
        line = {
            "event": "listening",
            "node": self.settings.node,
            **self.addresses(),
        }
        return responses.json(line)[2].decode()

    def ready(self) -> bool:
        """Tells whether callers may be sent to this node."""
        if self.draining or self.config.state.configuration is None:
            return False
        # Before it knows its peers a node would take owners and homes of
        # keys for its own; a list or peer out of reach delays it only so long.
        waited = time.monotonic() - self._started
        return self.membership.settled() or waited > _SETTLE_SECONDS

    def _request_stop(self, signum, frame) -> None:
        del signum, frame
        # The handler only sets a flag; the timer task notices it.
        self._stop_requested = True

    async def _shut_down(self) -> None:
        """Ends everything held, then the node.

        Every held request has a route timeout, so the wait is bounded by the
        longest one.
        """
        now = time.monotonic()
        self.draining = True
        self.events.record(Kind.SHUTDOWN_STARTED, held=len(self.held))
        self.membership.leave(now)
        await self.apply(self.scheduler.leave(now))
        self._send_heartbeats(
            [n for n in self.membership.reachable() if n != self.settings.node]
        )
        await self.peers.notify()
        await curio.sleep(self.settings.announce_seconds)
        while self.held or self._callers.busy:
            await curio.sleep(_TICK_SECONDS)
        await self.claims.settle()
        await self.orders.release()
        # Releases and answers to peers leave before the sockets close.
        await self.peers.notify()
        await curio.sleep(_LEAVE_GRACE_SECONDS)
        self.events.record(Kind.SHUTDOWN_ENDED)
        await self._stopped.set()


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000
