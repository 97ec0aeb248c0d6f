"""The scheduler under test as policies of the benchmark.

Each simulated node owns a `NodeScheduler` and a `Membership`. The policy calls
them as the node program does, carries out the effects that they return, and
exchanges encoded frames between the nodes.
"""

import collections
import functools

import msgspec

from baobabmux_bench import engines, loads, policies, runs
from baobabmux_core import (
    declarations,
    effects,
    errors,
    ids,
    membership,
    messages,
    scheduler,
    states,
)

# Timer intervals of the node program.
_TICK_SECONDS = 0.05
_MEMBERSHIP_SECONDS = 0.1
_VM_POLL_SECONDS = 1.0
# As on the users' platform: part of a target that is left for the delivery, and
# the multiple of it after which callers no longer use a first event.
_DELIVERY_MARGIN_SECONDS = 0.03
_USELESS_TARGETS = 2.5
# Frames carry a message authentication code, which counts as control traffic;
# its length does not depend on the secret.
_FRAME_SECRET = b"bench"
_ENCODER = msgspec.msgpack.Encoder()
# A Unix time in milliseconds, so that frames have the size of real ones.
_EPOCH_MS = 1_790_000_000_000


class _Node:
    """State of one node: membership, scheduler and frame counter."""

    def __init__(self, name: ids.NodeId, centre: ids.DataCentre, run: runs.Run):
        self.name = name
        self.data_centre = centre
        self.membership = membership.Membership(name, centre, run.now)
        self.scheduler = scheduler.NodeScheduler(
            name, centre, self.membership, run.seed
        )
        self.incarnation = _EPOCH_MS
        self.sequence = 0

    def frame(self, body: list[messages.AnyMessage], now: float) -> bytes:
        """Encodes the messages of one batch of effects to one peer."""
        self.sequence += 1
        # A hybrid logical clock packs milliseconds and a 16-bit counter.
        stamp = (_EPOCH_MS + round(now * 1000)) << 16
        frame = messages.Frame(
            self.name, self.incarnation, self.sequence, stamp, tuple(body)
        )
        return messages.encode_frame(frame, _FRAME_SECRET)


class Grants(policies.Policy):
    """Runs the scheduler of each node as the node program does."""

    name = "baobabmux"

    def __init__(self):
        self._nodes: dict[ids.NodeId, _Node] = {}
        self._group_of_request: dict[ids.RequestId, ids.GroupId] = {}

    # Callbacks of the run.

    def start(self, run: runs.Run) -> None:
        """Starts all nodes."""
        super().start(run)
        for name, centre in run.deployment.nodes.items():
            self._nodes[name] = _Node(name, centre, run)
        for node in self._nodes.values():
            self._poll_vm_list(node)
            decided = self._decide(
                node, "configure", self._configuration(node), run.now
            )
            self._apply(node, decided)
            self._tick(node)
            self._tick_membership(node)

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Submits a caller's request to the scheduler of a node."""
        kind = request.kind
        work = effects.Work(
            request=request.request,
            route=kind.route,
            service=kind.service,
            tier=kind.tier,
            workspace=request.workspace,
            deadline=request.deadline,
            prompt_tokens=request.prompt_tokens,
            output_tokens=kind.output_tokens,
            prefixes=request.prefixes,
            content=ids.ContentDigest(hash_content(request)),
            needs_claim=not kind.idempotent,
            idempotent=kind.idempotent,
            gap_seconds=kind.gap_seconds,
            **_expected_times(request),
        )
        self._call(node, "submit", work, self.run.now)

    def abandon(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Cancels a waiting request, or ends its attempt as cancelled."""
        state = self._nodes[node].scheduler.state(request)
        running = (
            states.RequestState.DISPATCHED,
            states.RequestState.STREAMING,
        )
        if state not in running:
            self._call(node, "cancel", request, self.run.now)
        elif self.run.records[request].request.kind.idempotent:
            self._call(
                node,
                "finished",
                request,
                states.Outcome.CANCELLED,
                self.run.now,
            )

    def first_token(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Passes the first token to the scheduler of a node."""
        self._call(node, "first_token", request, self.run.now)

    def progress(
        self, node: ids.NodeId, request: ids.RequestId, tokens: int
    ) -> None:
        """Passes the number of output tokens so far to the scheduler."""
        self._call(node, "progress", request, tokens, self.run.now)

    def finished(
        self,
        node: ids.NodeId,
        request: ids.RequestId,
        completion: policies.Completion,
    ) -> None:
        """Passes the outcome of an attempt to the scheduler."""
        self._call(
            node,
            "finished",
            request,
            completion.outcome,
            self.run.now,
            computed_tokens=completion.computed_tokens,
            output_tokens=completion.output_tokens,
        )

    def load_report(
        self, endpoint: ids.EndpointId, report: engines.LoadReport
    ) -> None:
        """Passes a load report to the node that owns the endpoint."""
        for node in self._owner_nodes(endpoint):
            self._call(
                node.name,
                "load_report",
                endpoint,
                report.running,
                report.waiting,
                report.tokens,
                report.as_of,
                self.run.now,
            )

    def cache_event(
        self, endpoint: ids.EndpointId, event: engines.CacheEvent
    ) -> None:
        """Passes a cache event to the node that owns the endpoint."""
        for node in self._owner_nodes(endpoint):
            self._call(
                node.name,
                "cache_event",
                endpoint,
                "stored" if event.stored else "evicted",
                event.digest,
                event.tokens,
                self.run.now,
            )

    def node_failed(self, node: ids.NodeId) -> None:
        """Drops the state of a failed node."""
        del self._nodes[node]

    def _configuration(self, node: _Node) -> declarations.Configuration:
        """Returns the configuration that a node applies."""
        return self.run.deployment.configuration()

    def _listed_peers(self, node: _Node) -> list[ids.NodeId]:
        """Returns the nodes in the VM list that a node reads."""
        return self.run.listed_nodes

    # Effects and frames.

    def _call(self, name: ids.NodeId, method: str, *args, **kwargs) -> None:
        """Calls a method of a node's scheduler and applies its effects."""
        node = self._nodes.get(name)
        if node is not None:
            self._apply(node, self._decide(node, method, *args, **kwargs))

    def _decide(
        self, node: _Node, method: str, *args, **kwargs
    ) -> list[effects.Effect]:
        self.run.control.operations[method] += 1
        decided = getattr(node.scheduler, method)(*args, **kwargs)
        for effect in decided:
            if isinstance(effect, effects.Send):
                self._count_inversion(node, effect.message)
        return decided

    def _apply(self, node: _Node, decided: list[effects.Effect]) -> None:
        queue = collections.deque(decided)
        frames: dict[ids.NodeId, list[messages.AnyMessage]] = {}
        while queue:
            match effect := queue.popleft():
                case effects.Send(to=to) if to == node.name:
                    queue.extend(
                        self._receive_message(node, to, effect.message)
                    )
                case effects.Send():
                    frames.setdefault(effect.to, []).append(effect.message)
                case effects.Claim():
                    self._claim(node, effect.request)
                case effects.Dispatch():
                    self._dispatch(node, effect)
                case effects.Refuse():
                    self.run.refuse(effect.request, effect.kind)
        for to, body in frames.items():
            self._send(node, to, body)

    def _dispatch(self, node: _Node, effect: effects.Dispatch) -> None:
        self.run.control.operations["start_dispatch"] += 1
        if node.scheduler.start_dispatch(effect.request, self.run.now):
            self.run.dispatch(effect.request, effect.endpoint)

    def _claim(self, node: _Node, request: ids.RequestId) -> None:
        """Wins every claim after one append, because all keys are new."""
        self.run.after(
            runs.CLAIM_LATENCY_SECONDS,
            lambda: self._call(
                node.name, "claim_decided", request, True, self.run.now
            ),
        )

    def _send(
        self, node: _Node, to: ids.NodeId, body: list[messages.AnyMessage]
    ) -> None:
        control = self.run.control
        data = node.frame(body, self.run.now)
        heartbeat_messages = [
            m for m in body if isinstance(m, messages.Heartbeat)
        ]
        if len(heartbeat_messages) == len(body):
            control.heartbeats += len(heartbeat_messages)
            control.heartbeat_bytes += len(data)
        else:
            control.frames += 1
            control.bytes += len(data)
            for message in body:
                name = type(message).__name__
                control.messages[name] += 1
                control.message_bytes[name] += len(_ENCODER.encode(message))
        self.run.after(
            runs.NETWORK_DELAY_SECONDS,
            functools.partial(self._receive_frame, to, data),
        )

    def _receive_frame(self, to: ids.NodeId, data: bytes) -> None:
        node = self._nodes.get(to)
        if node is None:
            return
        frame = messages.decode_frame(data, _FRAME_SECRET)
        now = self.run.now
        heartbeat_messages = [
            m for m in frame.messages if isinstance(m, messages.Heartbeat)
        ]
        node.membership.record_frame(
            frame.sender,
            frame.incarnation,
            any(heartbeat.leaving for heartbeat in heartbeat_messages),
            now,
            heartbeat_messages[0].data_centre if heartbeat_messages else None,
        )
        decided = []
        for message in frame.messages:
            decided += self._receive_message(node, frame.sender, message)
        self._apply(node, decided)

    def _receive_message(
        self, node: _Node, sender: ids.NodeId, message: messages.AnyMessage
    ) -> list[effects.Effect]:
        if isinstance(message, messages.Ask):
            self._group_of_request[message.request] = message.group
        return self._decide(node, "receive", sender, message, self.run.now)

    def _count_inversion(
        self, node: _Node, message: messages.AnyMessage
    ) -> None:
        """Compares a refusal with the requests still queued at its owner."""
        if not isinstance(message, messages.Refusal):
            return
        group = self._group_of_request[message.request]
        tier = self.run.records[message.request].request.kind.tier
        self.run.inversions.count_refusal(
            node.scheduler.groups.queued_by_tier(group),
            tier,
            errors.ErrorKind(message.kind),
        )

    # Timers.

    def _tick(self, node: _Node) -> None:
        if node.name not in self._nodes:
            return
        self.run.control.node_seconds += _TICK_SECONDS
        self._call(node.name, "tick", self.run.now)
        self.run.after(_TICK_SECONDS, functools.partial(self._tick, node))

    def _tick_membership(self, node: _Node) -> None:
        if node.name not in self._nodes:
            return
        now = self.run.now
        if node.membership.tick(now):
            self._call(node.name, "members_changed", now)
        for target in node.membership.heartbeat_targets(now):
            heartbeat = messages.Heartbeat(
                False,
                1,
                node.scheduler.spills.loads(now, target),
                node.data_centre,
            )
            self._send(node, target, [heartbeat])
        self.run.after(
            _MEMBERSHIP_SECONDS, functools.partial(self._tick_membership, node)
        )

    def _poll_vm_list(self, node: _Node) -> None:
        if node.name not in self._nodes:
            return
        deployment = self.run.deployment
        entries = [
            membership.VmEntry(
                name, "node", deployment.nodes[name], "live", "127.0.0.1:1"
            )
            for name in self._listed_peers(node)
        ]
        entries += [
            membership.VmEntry(
                replica.declared.vm, "endpoint", replica.declared.data_centre
            )
            for replica in deployment.replicas.values()
        ]
        node.membership.apply_vm_list(entries, self.run.now, self.run.now)
        self.run.after(
            _VM_POLL_SECONDS, functools.partial(self._poll_vm_list, node)
        )

    def _owner_nodes(self, endpoint: ids.EndpointId) -> list[_Node]:
        return [
            node
            for node in self._nodes.values()
            if endpoint in node.scheduler.groups.endpoints()
        ]


class EndSoonest(Grants):
    """The same scheduler, with each request placed where it ends soonest."""

    name = "end-soonest"

    def _configuration(self, node: _Node) -> declarations.Configuration:
        configuration = super()._configuration(node)
        return msgspec.structs.replace(
            configuration,
            services={
                name: msgspec.structs.replace(service, placement="end")
                for name, service in configuration.services.items()
            },
        )


class IndependentNodes(Grants):
    """The same scheduler, but without coordination between nodes.

    Each node owns all endpoints, within its share of their limits, and has no
    other members. Comparing it with `Grants` shows the effect of grants between
    nodes. The shares do not change when a node fails.
    """

    name = "alone"

    def _configuration(self, node: _Node) -> declarations.Configuration:
        full_configuration = self.run.deployment.configuration()
        names = list(self.run.deployment.nodes)
        index = names.index(node.name)
        return msgspec.structs.replace(
            full_configuration,
            endpoints={
                name: self._node_share(
                    declared, node, index + endpoint_index, len(names)
                )
                for endpoint_index, (name, declared) in enumerate(
                    full_configuration.endpoints.items()
                )
            },
            services={
                name: msgspec.structs.replace(
                    service,
                    max_queue_requests=service.max_queue_requests // len(names),
                )
                for name, service in full_configuration.services.items()
            },
        )

    def _node_share(
        self,
        declared: declarations.Endpoint,
        node: _Node,
        position: int,
        count: int,
    ) -> declarations.Endpoint:
        slots = policies.slot_share(declared.max_requests, position, count)
        return msgspec.structs.replace(
            declared,
            data_centre=node.data_centre,
            max_requests=slots,
            max_tokens=declared.max_tokens * slots // declared.max_requests,
        )

    def _listed_peers(self, node: _Node) -> list[ids.NodeId]:
        return [node.name]

    def load_report(
        self, endpoint: ids.EndpointId, report: engines.LoadReport
    ) -> None:
        """Ignores reports, which include the load of other nodes."""


def hash_content(request: loads.Request) -> int:
    """Returns a 64-bit digest that identifies the request's content."""
    digits = request.request.rpartition("-")[2]
    # An odd multiplier spreads the numbers over all 64 bits, as a hash does.
    return int(digits, 16) * 0x9E3779B97F4A7C15 % 2**64


def _expected_times(request: loads.Request) -> dict[str, float]:
    """Returns when the first event is late and when it is useless."""
    target = request.kind.target_seconds
    if target is None:
        return {}
    return {
        "target_by": request.arrival + target - _DELIVERY_MARGIN_SECONDS,
        "first_by": request.arrival + _USELESS_TARGETS * target,
    }
