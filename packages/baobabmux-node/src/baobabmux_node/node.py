"""Runs one node: its listeners, peer transport, timers and shutdown.

The node owns the membership, the scheduler, the callers' requests and the
connections to peers. It passes messages, timer ticks and configuration changes
to the decision logic in `baobabmux_core` and carries out the resulting effects.
"""

import math
import signal
import zlib
from collections.abc import Callable

import curio

from baobabmux_core import (
    catalogue,
    declarations,
    effects,
    hedging,
    ids,
    membership,
    messages,
    rendezvous,
    revisions,
    scheduler,
    states,
    timers,
)
from baobabmux_node import (
    admin,
    answers,
    clock,
    config_asks,
    driver,
    endpoint_ends,
    events,
    frame_listener,
    logs,
    loop_watch,
    memory_account,
    metrics,
    packed_records,
    paths,
    peers,
    ports,
    responses,
    server,
    serving,
    settings,
    shutdown,
    sockets,
    status,
    tunnels,
    watch,
)

_TICK_SECONDS = 0.05
# An idle node ticks less often: at the shorter interval, ticks took half of
# its CPU time.
_IDLE_TICK_SECONDS = 0.25
_MEMBERSHIP_TICK_SECONDS = 0.125
# Timers due within this time run together: a wake-up costs more than most of
# their calls.
_TIMERS_AHEAD_SECONDS = 0.01
_METRICS_INTERVAL_SECONDS = 1.0
_FRAME_CHECK_SECONDS = 1.0
_LEAVE_GRACE_SECONDS = 0.3
_CONFIG_ASK_INTERVAL_SECONDS = 0.5
_MAX_MEMBERSHIP_WAIT_SECONDS = 5.0
_MAX_RANKS = 100
# Shorter delays are normal on a busy VM and are not recorded.
_MIN_PAUSE_SECONDS = 1.0

# Parts of the descriptors that the connections of listeners which are not for
# callers may take.
_PEERS_SHARE = 1 / 8
_TUNNELS_SHARE = 1 / 12
_ADMIN_SHARE = 1 / 16

Kind = catalogue.EventKind


def _own_ports(host: "Node") -> ports.Ports:
    # Nodes of other platforms do not need these modules.
    from baobabmux_node import own_ports  # noqa: PLC0415

    return own_ports.OwnPorts(host)


class Node:
    """A process that accepts requests and schedules and dispatches them.

    Attributes:
        settings: Settings of the node.
        draining: Whether the node is shutting down.
        configuration: Configuration in force, with the endpoints that exist
            now, or None before the first.
        ports: Interface to the platform.
        line_writer: Writer of log lines, or None if no log lines are written.
        paths: Opens connections to endpoints.
        carrier: Carries connections to endpoints for other nodes.
        caller_server: Listener for callers.
        memory: Account of the bodies that the node holds.
        listeners: Listeners that are not for callers, by their names in events
            and metrics.
        loop_watch: Measures how long tasks hold the loop.
        endpoint_ends: Detects the ends of endpoints.
    """

    def __init__(
        self,
        node_settings: settings.Settings,
        make_ports: Callable[["Node"], ports.Ports] = _own_ports,
    ):
        self.settings = node_settings
        self.draining = False
        self.configuration: declarations.Configuration | None = None
        self.line_writer: logs.LineWriter | None = None
        self.metrics = metrics.Metrics()
        self.loop_watch = loop_watch.LoopWatch()
        self.loop_watch.on_long_step = self._count_long_step
        self.timers = timers.TimerService()
        self.events = events.EventRecorder(
            node_settings.node, node_settings.timeline_events
        )
        now = self._started_at = clock.now()
        seed = zlib.crc32(node_settings.node.encode())
        # Nodes of one cell share group ownership, so membership and scheduler
        # use the cell as their data centre.
        cell = ids.DataCentre(node_settings.cell or node_settings.data_centre)
        self.membership = membership.Membership(
            node_settings.node,
            cell,
            now,
            node_settings.heartbeat_seconds,
        )
        self.membership.record_ability(
            node_settings.node, node_settings.ability
        )
        self.scheduler = scheduler.NodeScheduler(
            node_settings.node, cell, self.membership, seed
        )
        self.scheduler.view.location = node_settings.data_centre
        self.scheduler.set_hedging_owners(self._knows_hedges)
        self.scheduler.serves_while_leaving = node_settings.serve_while_draining
        self.cell = cell
        self.memory = memory_account.MemoryAccount(node_settings.max_held_bytes)
        self.peers = peers.PeerTransport(
            node_settings.node,
            node_settings.secret,
            self.membership.peer_address,
            self.events.stamp,
            frame_listener.FrameListener(
                self._spare_connections(
                    node_settings.max_peer_connections, _PEERS_SHARE
                ),
                node_settings.receive_timeout_seconds,
                self.memory,
            ),
        )
        self.listeners: dict[
            str, server.Server | frame_listener.FrameListener
        ] = {"peers": self.peers.listener}
        self.ports = make_ports(self)
        self.config = self.ports.config
        self.answers = answers.AnswerService(self)
        self.driver = driver.SchedulerDriver(self)
        self.paths = paths.EndpointPaths(self)
        self.carrier = tunnels.TunnelServer(self)
        self.endpoint_ends = endpoint_ends.EndpointEnds(self)
        self.callers = serving.CallerService(self)
        self._watch = watch.StateWatch(self)
        # Ranks of this node for tasks among the live nodes.
        self._ranked: list[ids.NodeId] = []
        self._ranks: dict[str, int] = {}
        self._config_asks = config_asks.ConfigAsks()
        self._shutdown: shutdown.Shutdown | None = None
        self._reload_requested = False
        self._recorded_unwritten = 0
        self.caller_server = self._make_server(
            node_settings.callers,
            self.callers.serve,
            node_settings.max_caller_connections,
        )
        self._admin_server = self._make_server(
            node_settings.admin,
            admin.Admin(self).handle,
            self.admin_connections,
        )
        self.listeners["admin"] = self._admin_server
        self._tunnel_server: server.Server | None = None
        if node_settings.tunnels is not None:
            self._tunnel_server = self._make_server(
                node_settings.tunnels,
                self.carrier.handle,
                self._spare_connections(
                    node_settings.max_tunnel_connections, _TUNNELS_SHARE
                ),
            )
            self.listeners["tunnels"] = self._tunnel_server

    def _knows_hedges(self, owner: ids.NodeId) -> bool:
        """Returns whether an owner's build bounds hedges."""
        return (
            owner == self.settings.node
            or self.peers.revisions.of(owner) >= hedging.SINCE_REVISION
        )

    # HTTP listeners.

    @property
    def admin_connections(self) -> int:
        """Most connections of a listener for operators or the platform."""
        return self._spare_connections(
            self.settings.max_admin_connections, _ADMIN_SHARE
        )

    def _spare_connections(self, limit: int, share: float) -> int:
        descriptors = self.settings.descriptors
        if descriptors is None:
            descriptors = sockets.usable_descriptors()
        return sockets.spare_connections(limit, descriptors, share)

    def _make_server(
        self,
        address: settings.Address,
        handler: server.Handler,
        max_connections: int | None = None,
    ) -> server.Server:
        limits = server.Limits(
            max_header_bytes=self.settings.max_header_bytes,
            max_ahead_bytes=self.settings.max_ahead_bytes,
            receive_timeout_seconds=self.settings.receive_timeout_seconds,
            send_timeout_seconds=self.settings.send_timeout_seconds,
            idle_timeout_seconds=self.settings.idle_timeout_seconds,
        )
        return server.Server(
            address.host,
            address.port,
            handler,
            limits,
            max_connections,
            self.memory,
        )

    # Messages from other nodes.

    async def _receive(self, frame: messages.Frame) -> None:
        now = clock.now()
        self.events.update_clock(frame.hlc)
        decided = self._record_sender(frame, now)
        decided += self._record_revision(frame, now)
        for message in frame.messages:
            self.driver.record_message(
                frame.sender, self.settings.node, message
            )
            if not await self._receive_non_scheduling(frame.sender, message):
                decided += self.scheduler.receive(frame.sender, message, now)
        await self.driver.apply(decided)

    def _record_sender(
        self, frame: messages.Frame, now: float
    ) -> list[effects.Effect]:
        """Records a frame's sender in the membership.

        Returns:
            Effects that follow if the sender has restarted.
        """
        sender = frame.sender
        restarted = self.membership.is_restart(sender, frame.incarnation, now)
        heartbeats = [
            message
            for message in frame.messages
            if isinstance(message, messages.Heartbeat)
        ]
        if not heartbeats:
            self.membership.record_frame(sender, frame.incarnation, False, now)
        for heartbeat in heartbeats:
            self.membership.record_frame(
                sender,
                frame.incarnation,
                heartbeat.leaving,
                now,
                heartbeat.data_centre or None,
                heartbeat.address,
                heartbeat.location,
                heartbeat.interval_ms,
            )
            if not heartbeat.leaving:
                self.membership.record_ability(sender, heartbeat.ability)
            self.membership.record_suspects(sender, heartbeat.suspects, now)
            self.paths.tunnels.announced(
                sender, 0 if heartbeat.leaving else heartbeat.tunnel_port
            )
        if not restarted:
            return []
        return self.scheduler.node_restarted(frame.sender, now)

    def _record_revision(
        self, frame: messages.Frame, now: float
    ) -> list[effects.Effect]:
        """Records the revision of a frame's sender.

        Returns:
            Effects that send the state again to a sender that understands it
            now.
        """
        before = self.peers.revisions.of(frame.sender)
        lacks_state = self.peers.revisions.record(frame)
        revision = self.peers.revisions.of(frame.sender)
        if revision > before:
            self.events.record(
                Kind.REVISION_KNOWN, peer=frame.sender, revision=revision
            )
        if not lacks_state:
            return []
        return [
            *self.scheduler.send_state({frame.sender}, now),
            *self.scheduler.resend_streams(now),
        ]

    async def _receive_non_scheduling(
        self, sender: ids.NodeId, message: messages.AnyMessage
    ) -> bool:
        """Handles a message that is not for the scheduler.

        Returns:
            Whether it was handled; otherwise the scheduler receives it.
        """
        match message:
            case messages.ConfigAsk():
                answer = self.config.answer(message)
                if answer is not None:
                    if message.takes_packed:
                        answer = packed_records.pack(answer)
                    self.peers.enqueue(sender, answer)
            case messages.ConfigState():
                await self._adopt_configuration(sender, message)
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
                if self._config_asks.is_due(
                    message.config_version, self.config.version, clock.now()
                ):
                    ask = messages.ConfigAsk(
                        self.config.through, takes_packed=True
                    )
                    self.peers.enqueue(sender, ask)
                self.config.confirm(
                    message.config_version, message.config_age_ms, clock.now()
                )
                await self.ports.receive(sender, message)
                return False
            case _:
                return await self.ports.receive(sender, message)
        return True

    async def _adopt_configuration(
        self, sender: ids.NodeId, state: messages.ConfigState
    ) -> None:
        """Applies a peer's configuration if it is newer."""
        try:
            state = packed_records.unpack(state)
        except packed_records.PackedRecordError as error:
            self.events.record(
                Kind.CONFIG_REJECTED, reason=f"node {sender}: {error}"
            )
            return
        waited = self._config_asks.waited_seconds(clock.now())
        if await self.config.adopt(state):
            self.events.record(
                Kind.CONFIG_FROM_PEER,
                version=self.config.version,
                peer=sender,
                waited_ms=round(1000 * waited),
            )

    # Configuration, membership and timers.

    async def apply_configuration(self) -> None:
        """Applies the current declarations of the configuration source."""
        declared = self.config.configuration
        self.configuration = self.ports.effective(declared)
        self.events.record(
            Kind.CONFIG_IN_FORCE,
            version=self.config.version,
            preset=declared.active,
            digest=self.config.digest(),
        )
        self.metrics.config_version.set(self.config.version)
        self.answers.configure(declared.keys)
        self.ports.configuration_changed(declared)
        if declared.callers is not None:
            self.caller_server.limits = self._caller_limits(declared.callers)
        await self.endpoints_changed()

    async def endpoints_changed(self) -> None:
        """Reconfigures the scheduler with the endpoints that exist now."""
        declared = self.config.configuration
        if declared is None:
            return
        self.configuration = self.ports.effective(declared)
        self.paths.endpoints_changed()
        await self.driver.apply(
            self.scheduler.configure(self.configuration, clock.now())
        )
        self.membership.watch_groups(self.scheduler.local_groups())

    def _caller_limits(
        self, declared: declarations.CallerLimits
    ) -> server.Limits:
        return server.Limits(
            max_header_bytes=declared.max_header_bytes,
            max_body_bytes=declared.max_body_bytes,
            max_ahead_bytes=self.settings.max_ahead_bytes,
            receive_timeout_seconds=declared.header_timeout_seconds,
            send_timeout_seconds=self.settings.send_timeout_seconds,
            idle_timeout_seconds=declared.idle_timeout_seconds,
        )

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
                self.peers.node_gone(change.node)
                self.paths.tunnels.announced(change.node, 0)
            if change.restarted or change.state is states.MemberState.GONE:
                self.answers.holder_gone(change.node)
        if changes:
            self.answers.members_changed()
            self.driver.pending += self.scheduler.members_changed(now)
        self._send_heartbeats(self.membership.heartbeat_targets(now))

    def _send_heartbeats(self, targets: list[ids.NodeId]) -> None:
        now = clock.now()
        for target in targets:
            if self.membership.state(target) is states.MemberState.SUSPECT:
                self.peers.renew(target, now)
            heartbeat = messages.Heartbeat(
                self.draining,
                self.config.version,
                self.scheduler.spills.loads(now, target),
                self.cell,
                self.membership.suspects_for(target),
                self._announced_address(),
                self.ports.link_state(*self.peers.newest_frame_from(target)),
                0 if self._tunnel_server is None else self._tunnel_server.port,
                revisions.CURRENT,
                self.settings.data_centre if self.settings.cell else "",
                math.ceil(1000 * self.membership.interval_seconds),
                self.settings.ability,
                self.config.age_ms(now),
            )
            self.peers.enqueue(target, heartbeat)

    async def send_heartbeats(
        self, among: frozenset[ids.NodeId] | None = None
    ) -> None:
        """Sends a heartbeat to reachable nodes, outside of the ticks.

        Args:
            among: Nodes that may receive one, or None for all.
        """
        own = self.settings.node
        self._send_heartbeats(
            [
                node
                for node in self.membership.reachable()
                if node != own and (among is None or node in among)
            ]
        )
        await self.peers.notify()

    def rank_for(self, task: str) -> int:
        """Returns this node's rendezvous rank for a task, from 0.

        A node that is not live ranks after all live nodes.
        """
        live = self.membership.live(self.cell)
        if live != self._ranked:
            self._ranked = live
            self._ranks.clear()
        rank = self._ranks.get(task)
        if rank is None:
            order = rendezvous.rank(task, live)
            own = self.settings.node
            rank = order.index(own) if own in order else len(order)
            if len(self._ranks) < _MAX_RANKS:
                self._ranks[task] = rank
        return rank

    def _announced_address(self) -> str:
        """Returns the peer address that heartbeats announce.

        Outside a cell, it is empty if the VM list has the address or if it is a
        wildcard.
        """
        if self.settings.cell:
            # Nodes of a cell read the list rarely, so heartbeats announce the
            # address of a new node.
            return self.peers.address
        wildcard = self.peers.address.startswith(("0.0.0.0:", "[::]:"))
        listed = self.membership.is_listed()
        return "" if listed or wildcard else self.peers.address

    def _tick_scheduler(self, now: float) -> None:
        self.driver.pending += self.scheduler.tick(now)
        busy = self.callers.held or self.scheduler.groups.queue_length()
        interval = _TICK_SECONDS if busy else _IDLE_TICK_SECONDS
        self.timers.once(now + interval, self._tick_scheduler)

    def _update_gauges(self, now: float) -> None:
        self.metrics.held.set(len(self.callers.held))
        self.metrics.stream_records.set(self.scheduler.stream_records())
        self.metrics.members.set(len(self.membership.reachable()))
        self.metrics.lost_links.set(len(self.paths.links.lost()))
        self.metrics.carried_tunnels.set(self.carrier.carried.total())
        self.metrics.update_platform(self.ports, self.peers, now)
        unread = self.caller_server.unread
        self.metrics.update_unread(unread.used, unread.cut_off)
        self.metrics.update_connections(self.caller_server)
        self.metrics.update_listeners(self.listeners)
        self.metrics.update_frames(self.peers.listener)
        trials = self.scheduler.view.rollouts.trials.values()
        self.metrics.update_rollouts(trials, now)
        if self.configuration is not None:
            self.metrics.endpoints.set(len(self.configuration.endpoints))
        for group, budget in self.scheduler.groups.attempt_budgets(now).items():
            self.metrics.attempt_budget.labels(group).set(budget)
        for name, level in self.scheduler.groups.quota_levels().items():
            self.metrics.quota_level.labels(name).set(level)
        deputies = self.scheduler.quotas
        self.metrics.deputy_charges.labels("true").set(deputies.charged)
        self.metrics.deputy_charges.labels("false").set(deputies.refused)
        self.metrics.update_misdirected(self.scheduler.early.asks)
        dropped = 0 if self.line_writer is None else self.line_writer.dropped
        self.metrics.update_logs(self.events.unwritten, dropped)
        self._record_unwritten()
        self.metrics.update_control(self.peers, self.ports.appends())
        groups = status.group_states(self.scheduler, now)
        self.metrics.update_groups(groups)
        self._watch.check(groups)

    def _record_unwritten(self) -> None:
        count = self.events.unwritten - self._recorded_unwritten
        if count:
            self._recorded_unwritten = self.events.unwritten
            self.events.record(Kind.LINES_COUNTED, count=count)

    def _ask_for_configuration(self, now: float) -> None:
        """Asks all reachable peers for a configuration if there is none."""
        if self.configuration is not None:
            return
        for node in self.membership.reachable():
            if node != self.settings.node:
                ask = messages.ConfigAsk(-1, takes_packed=True)
                self.peers.enqueue(node, ask)

    async def _run_timers(self) -> None:
        now = clock.now()
        self.timers.once(now + _TICK_SECONDS, self._tick_scheduler)
        self.timers.every(_MEMBERSHIP_TICK_SECONDS, now, self._tick_membership)
        self.timers.every(_METRICS_INTERVAL_SECONDS, now, self._update_gauges)
        self.timers.every(
            _FRAME_CHECK_SECONDS, now, self.peers.listener.close_unfinished
        )
        self.timers.every(
            _CONFIG_ASK_INTERVAL_SECONDS, now, self._ask_for_configuration
        )
        stopping = False
        while True:
            started = clock.now()
            self.timers.run_due(started, _TIMERS_AHEAD_SECONDS)
            if self.line_writer is not None:
                self.line_writer.flush()
            if self.driver.pending:
                await self.driver.apply([])
            await self.peers.notify()
            await self.paths.probe_links()
            await self.ports.timers_ran()
            if self._reload_requested:
                self._reload()
            if self._shutdown is not None and not stopping:
                stopping = True
                await self._jobs.spawn(self._shut_down)
            due = self.timers.next_due() or started
            await curio.sleep(max(due - clock.now(), 0.001))
            pause = clock.now() - max(due, started)
            if pause > _MIN_PAUSE_SECONDS:
                self.events.record(Kind.PAUSE_NOTICED, seconds=round(pause, 1))

    def _count_long_step(self, task: str, seconds: float) -> None:
        self.metrics.loop_steps.labels(task).observe(seconds)

    # Start and stop.

    async def run(self) -> None:
        """Runs the node until a graceful shutdown has ended.

        Raises:
            Exception: A job of the node failed; a supervisor restarts the
                process.
        """
        signal.signal(signal.SIGTERM, self._request_stop)
        signal.signal(signal.SIGINT, self._request_stop)
        signal.signal(signal.SIGHUP, self._request_reload)
        self.caller_server.start()
        self._admin_server.start()
        if self._tunnel_server is not None:
            self._tunnel_server.start()
        self.peers.start(self.settings.peers.host, self.settings.peers.port)
        listening = [
            f"{listener} {host_port}"
            for listener, host_port in self.addresses().items()
        ]
        self.events.record(Kind.NODE_STARTED, addresses=", ".join(listening))
        print(self.announcement(), flush=True)
        # The node ends with the first job that ends: the shutdown or a failed
        # job.
        async with curio.TaskGroup(wait=any) as self._jobs:
            for job in (
                self.caller_server.serve,
                self._admin_server.serve,
                *self._tunnel_jobs(),
                self.peers.send_frames,
                self._run_timers,
                *self.ports.jobs(),
            ):
                await self._jobs.spawn(job)
            await self._jobs.spawn(self.peers.receive_frames, self._receive)
        # The kernel cancels the remaining tasks, which must not start new ones.
        self.paths.unread.close()
        self.peers.close()
        if self.line_writer is not None:
            self.line_writer.flush()
        if self._jobs.completed.exception is not None:
            raise self._jobs.completed.exception

    def _tunnel_jobs(self) -> list[ports.Job]:
        return (
            [] if self._tunnel_server is None else [self._tunnel_server.serve]
        )

    def addresses(self) -> dict[str, str]:
        """Returns the addresses of the listeners by their names."""
        listening = {
            "callers": f"{self.caller_server.host}:{self.caller_server.port}",
            "admin": f"{self._admin_server.host}:{self._admin_server.port}",
            "peers": self.peers.address,
        }
        if self._tunnel_server is not None:
            listening["tunnels"] = (
                f"{self._tunnel_server.host}:{self._tunnel_server.port}"
            )
        return listening

    def announcement(self) -> str:
        """Returns the line on standard output that announces the addresses."""
        line = {
            "event": "listening",
            "node": self.settings.node,
            **self.addresses(),
        }
        return responses.json(line)[2].decode()

    def ready(self) -> bool:
        """Returns whether the node can accept callers' requests."""
        if self.draining or self.configuration is None:
            return False
        # Until a node knows its peers it would assume that it owns all groups
        # and is the home of all keys. An unreachable VM list or peer delays
        # readiness only for a bounded time.
        waited = clock.now() - self._started_at
        return (
            self.membership.settled() or waited > _MAX_MEMBERSHIP_WAIT_SECONDS
        )

    def _request_reload(self, signum, frame) -> None:
        del signum, frame
        self._reload_requested = True

    def _reload(self) -> None:
        """Reloads the settings after SIGHUP and records the result."""
        self._reload_requested = False
        self.events.record(Kind.SETTINGS_READ, outcome=self.ports.reload())

    def _request_stop(self, signum, frame) -> None:
        del signum, frame
        # The timer task reads it.
        if self._shutdown is None:
            self._shutdown = shutdown.plan(self.settings, clock.now())

    def takes_requests(self) -> bool:
        """Returns whether the node may begin a request that it has read.

        A request that arrives when the shutdown has been announced may need
        more time than the node has left.
        """
        if self._shutdown is None:
            return True
        return (
            self.settings.serve_while_draining
            and clock.now() < self._shutdown.announced_until
        )

    async def _shut_down(self) -> None:
        """Announces the shutdown and waits until no request is held.

        Every held request has a route timeout, so the longest one bounds the
        wait; `shutdown_seconds` may limit it further. Requests that still wait
        for an endpoint when too little of that time is left are refused.
        """
        now = clock.now()
        self.draining = True
        self.events.record(Kind.SHUTDOWN_STARTED, held=len(self.callers.held))
        self.membership.leave(now)
        await self.driver.apply(self.scheduler.leave(now))
        await self.send_heartbeats()
        self.caller_server.closing = True
        await self._finish_requests(self._shutdown)
        await self.ports.finish_writes()
        # Send the last releases and answers before the sockets are closed.
        await self.peers.notify()
        await curio.sleep(_LEAVE_GRACE_SECONDS)
        self.events.record(Kind.SHUTDOWN_ENDED)

    async def _finish_requests(self, times: shutdown.Shutdown) -> None:
        """Waits until no request is held, or the time of the stop is over."""
        while (now := clock.now()) < times.ends_at:
            if now >= times.announced_until:
                if not self.caller_server.finishing:
                    self.caller_server.finish()
                if not self._is_busy():
                    return
            if now >= times.begins_until:
                await self.callers.refuse_waiting()
            announced_in = times.announced_until - now
            await curio.sleep(
                _TICK_SECONDS
                if announced_in <= 0
                else min(_TICK_SECONDS, announced_in)
            )
        self.caller_server.finish()

    def _is_busy(self) -> bool:
        return bool(
            self.callers.held
            or not self.caller_server.is_finished
            or self.carrier.carried.total()
        )
