"""One node: connects the decisions in the core with sockets and clocks."""

import signal
import time
import zlib

import curio
import msgspec
import xxhash

from baobabmux_core import (
    catalogue,
    effects,
    ids,
    membership,
    messages,
    rendezvous,
    scheduler,
    states,
    timers,
)
from baobabmux_node import (
    admin,
    answers,
    claim_service,
    config_follower,
    driver,
    endpoint_reports,
    events,
    log_service,
    metrics,
    order_service,
    peers,
    responses,
    server,
    serving,
    settings,
    status,
    vms,
    watch,
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


class Node:
    """A node of the system.

    Attributes:
        settings: Settings of the node.
        draining: Whether the node is shutting down.
    """

    def __init__(self, node_settings: settings.Settings):
        self.settings = node_settings
        self.draining = False
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
            self.peers.send,
            node_settings.claim_window_seconds,
        )
        self.answers = answers.AnswerService(self)
        self.reports = endpoint_reports.EndpointReports(self)
        self.orders = order_service.OrderService(self)
        self.driver = driver.SchedulerDriver(self)
        self.callers = serving.CallerService(self)
        self._watch = watch.StateWatch(self)
        self._stop_requested = False
        self._caller_server = self._listener(
            node_settings.callers, self.callers.serve
        )
        self._admin_server = self._listener(
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

    # Messages from other nodes.

    async def _receive(self, frame: messages.Frame) -> None:
        now = time.monotonic()
        self.events.heard(frame.hlc)
        self._note_sender(frame, now)
        decided: list[effects.Effect] = []
        for message in frame.messages:
            self.driver.record_message(
                frame.sender, self.settings.node, message
            )
            if not await self._receive_own(frame.sender, message):
                decided += self.scheduler.receive(frame.sender, message, now)
        await self.driver.apply(decided)

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
        await self.driver.apply(
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
            self.driver.pending += self.scheduler.members_changed(now)
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
        self.driver.pending += self.scheduler.tick(now)
        busy = self.callers.held or self.scheduler.queue_length()
        interval = _TICK_SECONDS if busy else _IDLE_TICK_SECONDS
        self.timers.once(now + interval, self._tick_scheduler)

    def _update_gauges(self, now: float) -> None:
        self.metrics.held.set(len(self.callers.held))
        self.metrics.members.set(len(self.membership.reachable()))
        self.metrics.update_control(self.peers, self.log)
        groups = status.group_states(self.scheduler, now)
        self.metrics.update_groups(groups)
        self._watch.check(groups)

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
            await self.driver.apply([])
            if self._stop_requested and not stopping:
                stopping = True
                await self._jobs.spawn(self._shut_down)
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
        """Runs the node until a graceful shutdown has ended.

        Raises:
            Exception: A job of the node failed; a supervisor starts it anew.
        """
        signal.signal(signal.SIGTERM, self._request_stop)
        signal.signal(signal.SIGINT, self._request_stop)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self._caller_server.start()
        self._admin_server.start()
        self.peers.start(self.settings.peers.host, self.settings.peers.port)
        listening = [f"{kind} {at}" for kind, at in self.addresses().items()]
        self.events.record(Kind.NODE_STARTED, addresses=", ".join(listening))
        print(self.announcement(), flush=True)
        # The first job to end ends the node: the shutdown, or one that failed.
        async with curio.TaskGroup(wait=any) as self._jobs:
            for job in (
                self._caller_server.serve,
                self._admin_server.serve,
                self.peers.send_frames,
                self._poll_vms,
                self.config.follow,
                self.reports.run,
                self.orders.follow,
                self.orders.run,
                self._run_timers,
                self._append_snapshots,
            ):
                await self._jobs.spawn(job)
            await self._jobs.spawn(self.peers.receive_frames, self._receive)
        self.peers.close()
        if self._jobs.completed.exception is not None:
            raise self._jobs.completed.exception

    def addresses(self) -> dict[str, str]:
        """Returns where the node listens, by listener."""
        return {
            "callers": f"{self._caller_server.host}:{self._caller_server.port}",
            "admin": f"{self._admin_server.host}:{self._admin_server.port}",
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
        self.events.record(Kind.SHUTDOWN_STARTED, held=len(self.callers.held))
        self.membership.leave(now)
        await self.driver.apply(self.scheduler.leave(now))
        self._send_heartbeats(
            [n for n in self.membership.reachable() if n != self.settings.node]
        )
        await self.peers.notify()
        await curio.sleep(self.settings.announce_seconds)
        while self.callers.held or self._caller_server.busy:
            await curio.sleep(_TICK_SECONDS)
        await self.claims.settle()
        await self.orders.release()
        # Releases and answers to peers leave before the sockets close.
        await self.peers.notify()
        await curio.sleep(_LEAVE_GRACE_SECONDS)
        self.events.record(Kind.SHUTDOWN_ENDED)
