"""Scheduling policies under test: the interface and the baselines."""

from __future__ import annotations

import abc
import collections
import functools
from typing import TYPE_CHECKING

import msgspec

from baobabmux_core import errors, ids, states

if TYPE_CHECKING:
    from baobabmux_bench import engines, loads, runs

# Requests that wait in all nodes' queues together for one service; the
# default limit of a group in the declarations.
_QUEUE_REQUESTS = 500


class Completion(msgspec.Struct, frozen=True):
    """How an attempt ended, as the endpoint's answer tells.

    Attributes:
        outcome: Outcome of the attempt.
        computed_tokens: Prompt tokens computed rather than cached.
        output_tokens: Output tokens produced.
    """

    outcome: states.Outcome
    computed_tokens: int
    output_tokens: int


class Listener:
    """What a policy may hear during a run; it ignores what it does not use."""

    def abandon(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Hears that a caller left; the run cancels work at engines."""

    def first_token(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Hears the first token of an answer."""

    def progress(
        self, node: ids.NodeId, request: ids.RequestId, tokens: int
    ) -> None:
        """Hears of the output so far."""

    def finished(
        self,
        node: ids.NodeId,
        request: ids.RequestId,
        completion: Completion,
    ) -> None:
        """Hears the end of an attempt."""

    def load_report(
        self, endpoint: ids.EndpointId, report: engines.LoadReport
    ) -> None:
        """Hears an endpoint's load, late."""

    def cache_event(
        self, endpoint: ids.EndpointId, event: engines.CacheEvent
    ) -> None:
        """Hears a cache event, late and with gaps."""

    def node_died(self, node: ids.NodeId) -> None:
        """Loses a node's state; other nodes do not know yet."""

    def vm_list(self) -> None:
        """Hears that the VM list names the live nodes."""


class Policy(Listener, abc.ABC):
    """Decides for all nodes where and when each request runs.

    Attributes:
        name: Name in tables.
        run: Run that the policy takes part in.
    """

    name: str
    run: runs.Run

    def start(self, run: runs.Run) -> None:
        """Joins a run, at time 0."""
        self.run = run

    @abc.abstractmethod
    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Takes a caller's request at a node."""


def share(limit: int, position: int, count: int) -> int:
    """Returns the slots of one of `count` nodes at an endpoint."""
    position %= count
    # A node without any slot could not serve its callers.
    return max(1, limit // count + (position < limit % count))


class RandomChoice(Policy):
    """Every request goes at once to a random endpoint of its service."""

    name = "random"

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Takes a caller's request at a node."""
        names = self.run.deployment.endpoints(request.kind.service)
        self.run.dispatch(request.request, self.run.draw.choice(names))


class LeastOutstanding(Policy):
    """Every node sends at once to the endpoint with its fewest requests.

    This is the usual "least request" policy of load balancers: each node
    counts its own outstanding requests, relative to the endpoint's batch.
    """

    name = "least"

    def __init__(self):
        self._outstanding: dict[tuple[ids.NodeId, ids.EndpointId], int] = (
            collections.defaultdict(int)
        )
        self._placed: dict[ids.RequestId, ids.EndpointId] = {}

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Takes a caller's request at a node."""
        names = self.run.deployment.endpoints(request.kind.service)
        endpoint = min(
            names,
            key=lambda name: (
                self._outstanding[node, name],
                self.run.draw.random(),
            ),
        )
        self._outstanding[node, endpoint] += 1
        self._placed[request.request] = endpoint
        self.run.dispatch(request.request, endpoint)

    def abandon(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Hears that a caller left; non-idempotent work continues."""
        if self.run.records[request].request.kind.idempotent:
            self._end(node, request)

    def finished(
        self,
        node: ids.NodeId,
        request: ids.RequestId,
        completion: Completion,
    ) -> None:
        """Hears the end of an attempt."""
        self._end(node, request)

    def _end(self, node: ids.NodeId, request: ids.RequestId) -> None:
        endpoint = self._placed.pop(request, None)
        if endpoint is not None:
            self._outstanding[node, endpoint] -= 1


class LeastReported(Policy):
    """Every node sends at once to the endpoint that reports the least load.

    To a report each node adds what it has sent since the time of the report,
    relative to the endpoint's batch.
    """

    name = "reported"

    def __init__(self):
        self._reports: dict[ids.EndpointId, engines.LoadReport] = {}
        self._sent: dict[tuple[ids.NodeId, ids.EndpointId], list[float]] = (
            collections.defaultdict(list)
        )

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Takes a caller's request at a node."""
        endpoint = min(
            self.run.deployment.endpoints(request.kind.service),
            key=lambda name: (self._load(node, name), self.run.draw.random()),
        )
        self._sent[node, endpoint].append(self.run.now)
        self.run.dispatch(request.request, endpoint)

    def load_report(
        self, endpoint: ids.EndpointId, report: engines.LoadReport
    ) -> None:
        """Hears an endpoint's load, late."""
        self._reports[endpoint] = report

    def _load(self, node: ids.NodeId, endpoint: ids.EndpointId) -> float:
        report = self._reports.get(endpoint)
        known = report.running + report.waiting if report else 0
        sent = self._sent[node, endpoint]
        if report:
            sent[:] = [time for time in sent if time > report.as_of]
        limit = self.run.engines[endpoint].declared.max_requests
        return (known + len(sent)) / limit


class Shares(Policy):
    """Every node alone dispatches within its share of each endpoint's limit.

    A node keeps tiers in strict order, deadlines in order inside a tier, a
    bounded queue from which the lowest tier's newest request is shed, and
    prefers the endpoint to which it last sent the longest prefix. It refuses
    what cannot end before the deadline even if it starts at once.
    """

    name = "shares"

    def __init__(self):
        self._queues: dict[
            tuple[ids.NodeId, ids.ServiceName], list[loads.Request]
        ] = collections.defaultdict(list)
        self._outstanding: dict[tuple[ids.NodeId, ids.EndpointId], int] = (
            collections.defaultdict(int)
        )
        self._placed: dict[ids.RequestId, ids.EndpointId] = {}
        self._warm: dict[
            tuple[ids.NodeId, ids.PrefixDigest], ids.EndpointId
        ] = {}
        self._members: list[ids.NodeId] = []

    def start(self, run: runs.Run) -> None:
        """Joins a run, at time 0."""
        super().start(run)
        self._members = list(run.nodes)

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Takes a caller's request at a node."""
        service = request.kind.service
        queue = self._queues[node, service]
        queue.append(request)
        if len(queue) > _QUEUE_REQUESTS // len(self._members):
            shed = max(queue, key=lambda r: (r.kind.tier, r.arrival))
            self._refuse(node, shed, errors.ErrorKind.OVERLOADED)
        self._pump(node, service)

    def abandon(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Hears that a caller left; non-idempotent work continues."""
        record = self.run.records[request]
        if request not in self._placed:
            self._unqueue(node, record.request)
        elif record.request.kind.idempotent:
            self._end(node, request)

    def finished(
        self,
        node: ids.NodeId,
        request: ids.RequestId,
        completion: Completion,
    ) -> None:
        """Hears the end of an attempt."""
        self._end(node, request)

    def node_died(self, node: ids.NodeId) -> None:
        """Loses a node's queue."""
        for (holder, _), queue in self._queues.items():
            if holder == node:
                queue.clear()

    def vm_list(self) -> None:
        """Divides the endpoints among the nodes that are left."""
        self._members = list(self.run.nodes)
        for node, service in list(self._queues):
            self._pump(node, service)

    def _share(self, node: ids.NodeId, endpoint: ids.EndpointId) -> int:
        """Returns a node's slots at an endpoint, all of them together."""
        if node not in self._members:
            return 0
        return share(
            self.run.engines[endpoint].declared.max_requests,
            self._members.index(node) + list(self.run.engines).index(endpoint),
            len(self._members),
        )

    def _pump(self, node: ids.NodeId, service: ids.ServiceName) -> None:
        queue = self._queues[node, service]
        queue.sort(key=lambda r: (r.kind.tier, r.deadline))
        while queue and (free := self._free(node, service)):
            request = queue[0]
            endpoint = self._choose(node, request, free)
            if self._predicted_end(request, endpoint) > request.deadline:
                kind = errors.ErrorKind.DEADLINE_UNREACHABLE
                self._refuse(node, request, kind)
                continue
            queue.pop(0)
            self._outstanding[node, endpoint] += 1
            self._placed[request.request] = endpoint
            for part in request.prefixes:
                self._warm[node, part.digest] = endpoint
            self.run.dispatch(request.request, endpoint)

    def _free(
        self, node: ids.NodeId, service: ids.ServiceName
    ) -> list[ids.EndpointId]:
        return [
            name
            for name in self.run.deployment.endpoints(service)
            if self._outstanding[node, name] < self._share(node, name)
        ]

    def _choose(
        self,
        node: ids.NodeId,
        request: loads.Request,
        free: list[ids.EndpointId],
    ) -> ids.EndpointId:
        for part in reversed(request.prefixes):
            endpoint = self._warm.get((node, part.digest))
            if endpoint in free:
                return endpoint
        return min(
            free,
            key=lambda name: (
                self._predicted_end(request, name),
                self.run.draw.random(),
            ),
        )

    def _predicted_end(
        self, request: loads.Request, endpoint: ids.EndpointId
    ) -> float:
        declared = self.run.engines[endpoint].declared
        return (
            self.run.now
            + request.prompt_tokens / declared.prefill_tokens_per_second
            + request.kind.output_tokens / declared.decode_tokens_per_second
        )

    def _refuse(
        self,
        node: ids.NodeId,
        request: loads.Request,
        kind: errors.ErrorKind,
    ) -> None:
        self._unqueue(node, request)
        # All nodes' queues for a service together are the group.
        held = collections.Counter(
            waiting.kind.tier
            for (_, service), queue in self._queues.items()
            if service == request.kind.service
            for waiting in queue
        )
        self.run.inversions.shed(held, request.kind.tier, kind)
        self.run.refuse(request.request, kind)

    def _unqueue(self, node: ids.NodeId, request: loads.Request) -> None:
        queue = self._queues[node, request.kind.service]
        if request in queue:
            queue.remove(request)

    def _end(self, node: ids.NodeId, request: ids.RequestId) -> None:
        endpoint = self._placed.pop(request, None)
        if endpoint is None:
            return
        self._outstanding[node, endpoint] -= 1
        service = self.run.records[request].request.kind.service
        # The engine frees the slot when the cancellation reaches it.
        self.run.after(0.0, functools.partial(self._pump, node, service))
