"""Scheduling policies of the benchmark: the interface and the baselines."""

from __future__ import annotations

import abc
import collections
import functools
from typing import TYPE_CHECKING

import msgspec

from baobabmux_core import errors, ids, states

if TYPE_CHECKING:
    from baobabmux_bench import engines, loads, runs

# Total limit of the queues of all nodes for one service, equal to the default
# limit of a group in the declarations.
_MAX_QUEUED_REQUESTS = 500


class Completion(msgspec.Struct, frozen=True):
    """Result of an attempt, from the answer of the endpoint.

    Attributes:
        outcome: Outcome of the attempt.
        computed_tokens: Prompt tokens computed rather than cached.
        output_tokens: Output tokens produced.
    """

    outcome: states.Outcome
    computed_tokens: int
    output_tokens: int


class Listener:
    """Callbacks of a run to its policy; by default they do nothing."""

    def abandon(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Called when a caller disconnects; the run cancels engine work."""

    def first_token(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Called when the first token of an answer arrives."""

    def progress(
        self, node: ids.NodeId, request: ids.RequestId, tokens: int
    ) -> None:
        """Called with the number of output tokens so far."""

    def finished(
        self,
        node: ids.NodeId,
        request: ids.RequestId,
        completion: Completion,
    ) -> None:
        """Called when an attempt ends."""

    def load_report(
        self, endpoint: ids.EndpointId, report: engines.LoadReport
    ) -> None:
        """Called with an endpoint's load report, which arrives late."""

    def cache_event(
        self, endpoint: ids.EndpointId, event: engines.CacheEvent
    ) -> None:
        """Called with a cache event; events arrive late and with gaps."""

    def node_failed(self, node: ids.NodeId) -> None:
        """Called when a node fails, before other nodes detect it."""

    def vm_list_changed(self) -> None:
        """Called when the VM list no longer names a failed node."""


class Policy(Listener, abc.ABC):
    """Decides for all nodes when and on which endpoint a request runs.

    Attributes:
        name: Name in tables and flags.
        run: Run that the policy is part of.
    """

    name: str
    run: runs.Run

    def start(self, run: runs.Run) -> None:
        """Attaches the policy to a run before the first arrival."""
        self.run = run

    @abc.abstractmethod
    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Called when a caller's request arrives at a node."""


def slot_share(limit: int, position: int, count: int) -> int:
    """Returns the number of slots of one of `count` nodes at an endpoint."""
    position %= count
    # A node without a slot could not serve its callers.
    return max(1, limit // count + (position < limit % count))


class RandomChoice(Policy):
    """Dispatches each request at once to a random endpoint."""

    name = "random"

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Called when a caller's request arrives at a node."""
        names = self.run.deployment.endpoints(request.kind.service)
        self.run.dispatch(request.request, self.run.policy_rng.choice(names))


class LeastOutstanding(Policy):
    """Dispatches at once to the endpoint with the node's fewest requests.

    This is the usual "least request" policy of load balancers: each node
    counts only its own outstanding requests, whatever the size of the
    endpoint's batch.
    """

    name = "least"

    def __init__(self):
        self._outstanding: dict[tuple[ids.NodeId, ids.EndpointId], int] = (
            collections.defaultdict(int)
        )
        self._dispatched_to: dict[ids.RequestId, ids.EndpointId] = {}

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Called when a caller's request arrives at a node."""
        names = self.run.deployment.endpoints(request.kind.service)
        endpoint = min(
            names,
            key=lambda name: (
                self._outstanding[node, name],
                self.run.policy_rng.random(),
            ),
        )
        self._outstanding[node, endpoint] += 1
        self._dispatched_to[request.request] = endpoint
        self.run.dispatch(request.request, endpoint)

    def abandon(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Called when a caller leaves; non-idempotent work continues."""
        if self.run.records[request].request.kind.idempotent:
            self._remove_outstanding(node, request)

    def finished(
        self,
        node: ids.NodeId,
        request: ids.RequestId,
        completion: Completion,
    ) -> None:
        """Called when an attempt ends."""
        self._remove_outstanding(node, request)

    def _remove_outstanding(
        self, node: ids.NodeId, request: ids.RequestId
    ) -> None:
        endpoint = self._dispatched_to.pop(request, None)
        if endpoint is not None:
            self._outstanding[node, endpoint] -= 1


class LeastReported(Policy):
    """Dispatches at once to the endpoint with the least reported load.

    Each node adds the requests that it has dispatched since the time of the
    report. The load is relative to the size of the endpoint's batch.
    """

    name = "reported"

    def __init__(self):
        self._reports: dict[ids.EndpointId, engines.LoadReport] = {}
        self._sent_times: dict[
            tuple[ids.NodeId, ids.EndpointId], list[float]
        ] = collections.defaultdict(list)

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Called when a caller's request arrives at a node."""
        endpoint = min(
            self.run.deployment.endpoints(request.kind.service),
            key=lambda name: (
                self._load(node, name),
                self.run.policy_rng.random(),
            ),
        )
        self._sent_times[node, endpoint].append(self.run.now)
        self.run.dispatch(request.request, endpoint)

    def load_report(
        self, endpoint: ids.EndpointId, report: engines.LoadReport
    ) -> None:
        """Called with an endpoint's load report, which arrives late."""
        self._reports[endpoint] = report

    def _load(self, node: ids.NodeId, endpoint: ids.EndpointId) -> float:
        report = self._reports.get(endpoint)
        reported = report.running + report.waiting if report else 0
        sent = self._sent_times[node, endpoint]
        if report:
            sent[:] = [time for time in sent if time > report.as_of]
        limit = self.run.engines[endpoint].declared.max_requests
        return (reported + len(sent)) / limit


class Shares(Policy):
    """Each node dispatches independently within its share of the limits.

    A node orders its bounded queue by tier and then by deadline, and sheds the
    newest request of the lowest tier when the queue is full. It prefers the
    endpoint to which it last dispatched the longest prefix of the prompt. It
    refuses a request that could not end before its deadline even if it started
    at once.
    """

    name = "shares"

    def __init__(self):
        self._queues: dict[
            tuple[ids.NodeId, ids.ServiceName], list[loads.Request]
        ] = collections.defaultdict(list)
        self._outstanding: dict[tuple[ids.NodeId, ids.EndpointId], int] = (
            collections.defaultdict(int)
        )
        self._dispatched_to: dict[ids.RequestId, ids.EndpointId] = {}
        self._prefix_endpoints: dict[
            tuple[ids.NodeId, ids.PrefixDigest], ids.EndpointId
        ] = {}
        self._members: list[ids.NodeId] = []

    def start(self, run: runs.Run) -> None:
        """Attaches the policy to a run before the first arrival."""
        super().start(run)
        self._members = list(run.nodes)

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Called when a caller's request arrives at a node."""
        service = request.kind.service
        queue = self._queues[node, service]
        queue.append(request)
        if len(queue) > _MAX_QUEUED_REQUESTS // len(self._members):
            shed = max(queue, key=lambda r: (r.kind.tier, r.arrival))
            self._refuse(node, shed, errors.ErrorKind.OVERLOADED)
        self._dispatch_queued(node, service)

    def abandon(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Called when a caller leaves; non-idempotent work continues."""
        record = self.run.records[request]
        if request not in self._dispatched_to:
            self._dequeue(node, record.request)
        elif record.request.kind.idempotent:
            self._remove_outstanding(node, request)

    def finished(
        self,
        node: ids.NodeId,
        request: ids.RequestId,
        completion: Completion,
    ) -> None:
        """Called when an attempt ends."""
        self._remove_outstanding(node, request)

    def node_failed(self, node: ids.NodeId) -> None:
        """Drops the queues of a failed node."""
        for (holder, _), queue in self._queues.items():
            if holder == node:
                queue.clear()

    def vm_list_changed(self) -> None:
        """Divides the endpoints among the live nodes."""
        self._members = list(self.run.nodes)
        for node, service in list(self._queues):
            self._dispatch_queued(node, service)

    def _slots_of_node(self, node: ids.NodeId, endpoint: ids.EndpointId) -> int:
        """Returns the number of slots of a node at an endpoint."""
        if node not in self._members:
            return 0
        return slot_share(
            self.run.engines[endpoint].declared.max_requests,
            self._members.index(node) + list(self.run.engines).index(endpoint),
            len(self._members),
        )

    def _dispatch_queued(
        self, node: ids.NodeId, service: ids.ServiceName
    ) -> None:
        queue = self._queues[node, service]
        queue.sort(key=lambda r: (r.kind.tier, r.deadline))
        while queue and (
            free := self._endpoints_with_free_slots(node, service)
        ):
            request = queue[0]
            endpoint = self._choose(node, request, free)
            if self._predicted_end(request, endpoint) > request.deadline:
                kind = errors.ErrorKind.DEADLINE_UNREACHABLE
                self._refuse(node, request, kind)
                continue
            queue.pop(0)
            self._outstanding[node, endpoint] += 1
            self._dispatched_to[request.request] = endpoint
            for part in request.prefixes:
                self._prefix_endpoints[node, part.digest] = endpoint
            self.run.dispatch(request.request, endpoint)

    def _endpoints_with_free_slots(
        self, node: ids.NodeId, service: ids.ServiceName
    ) -> list[ids.EndpointId]:
        return [
            name
            for name in self.run.deployment.endpoints(service)
            if self._outstanding[node, name] < self._slots_of_node(node, name)
        ]

    def _choose(
        self,
        node: ids.NodeId,
        request: loads.Request,
        free: list[ids.EndpointId],
    ) -> ids.EndpointId:
        for part in reversed(request.prefixes):
            endpoint = self._prefix_endpoints.get((node, part.digest))
            if endpoint in free:
                return endpoint
        return min(
            free,
            key=lambda name: (
                self._predicted_end(request, name),
                self.run.policy_rng.random(),
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
        self._dequeue(node, request)
        # The queues of all nodes for a service are counted as one group.
        queued = collections.Counter(
            waiting.kind.tier
            for (_, service), queue in self._queues.items()
            if service == request.kind.service
            for waiting in queue
        )
        self.run.inversions.count_refusal(queued, request.kind.tier, kind)
        self.run.refuse(request.request, kind)

    def _dequeue(self, node: ids.NodeId, request: loads.Request) -> None:
        queue = self._queues[node, request.kind.service]
        if request in queue:
            queue.remove(request)

    def _remove_outstanding(
        self, node: ids.NodeId, request: ids.RequestId
    ) -> None:
        endpoint = self._dispatched_to.pop(request, None)
        if endpoint is None:
            return
        self._outstanding[node, endpoint] -= 1
        service = self.run.records[request].request.kind.service
        # The engine frees the slot when it receives the cancellation.
        self.run.after(
            0.0, functools.partial(self._dispatch_queued, node, service)
        )
