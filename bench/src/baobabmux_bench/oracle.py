"""A policy that knows what no scheduler can know.

It reads the length of each answer and the state and speed of each engine, and
decides at once for all nodes. What it reaches is a limit for the others.
"""

import functools
import math

from baobabmux_bench import engines, loads, policies
from baobabmux_core import errors, ids

# Multiple of a target after which callers no longer use a first event.
_USELESS_TARGETS = 2.5


class Oracle(policies.Policy):
    """Starts requests by tier where they are on time and end soonest."""

    name = "oracle"

    def __init__(self):
        self._waiting: list[loads.Request] = []
        self._sent: dict[ids.EndpointId, set[ids.RequestId]] = {}
        self._endpoint: dict[ids.RequestId, ids.EndpointId] = {}

    def submit(self, node: ids.NodeId, request: loads.Request) -> None:
        """Called when a caller's request arrives at a node."""
        self._waiting.append(request)
        self._start()

    def abandon(self, node: ids.NodeId, request: ids.RequestId) -> None:
        """Called when a caller leaves; non-idempotent work continues."""
        self._waiting = [r for r in self._waiting if r.request != request]
        if self.run.records[request].request.kind.idempotent:
            self._end(request)

    def finished(
        self,
        node: ids.NodeId,
        request: ids.RequestId,
        completion: policies.Completion,
    ) -> None:
        """Called when an attempt ends."""
        self._end(request)

    def node_failed(self, node: ids.NodeId) -> None:
        """Drops the requests of a failed node."""
        self._waiting = [
            request
            for request in self._waiting
            if self.run.records[request.request].node != node
        ]

    def _end(self, request: ids.RequestId) -> None:
        endpoint = self._endpoint.pop(request, None)
        if endpoint is not None:
            self._sent[endpoint].discard(request)
            self.run.after(0.0, functools.partial(self._start))

    def _start(self) -> None:
        """Starts what has a slot, late requests after the others of a tier."""
        now = self.run.now
        for request in list(self._waiting):
            target = request.kind.target_seconds or math.inf
            if now > request.arrival + _USELESS_TARGETS * target:
                self._waiting.remove(request)
                self.run.refuse(
                    request.request, errors.ErrorKind.DEADLINE_UNREACHABLE
                )
        self._waiting.sort(
            key=lambda r: (
                r.kind.tier,
                now > r.arrival + (r.kind.target_seconds or math.inf),
                r.arrival,
            )
        )
        for request in list(self._waiting):
            endpoint = self._choose(request)
            if endpoint is None:
                continue
            self._waiting.remove(request)
            self._sent.setdefault(endpoint, set()).add(request.request)
            self._endpoint[request.request] = endpoint
            self.run.dispatch(request.request, endpoint)

    def _choose(self, request: loads.Request) -> ids.EndpointId | None:
        found = []
        for name in self.run.deployment.endpoints(request.kind.service):
            engine = self.run.engines[name]
            sent = self._sent.setdefault(name, set())
            if len(sent) >= engine.declared.max_requests:
                continue
            first, end = self._predict(request, engine, sent)
            # An answer that is late here may be on time elsewhere, soon.
            waited = self.run.now - request.arrival
            target = request.kind.target_seconds or math.inf
            late = waited + first > target
            found.append((late, end, name))
        if not found:
            return None
        late, _, name = min(found)
        target = request.kind.target_seconds or math.inf
        may_wait = self.run.now - request.arrival < target / 2
        return None if late and may_wait else name

    def _predict(
        self,
        request: loads.Request,
        engine: engines.Engine,
        sent: set[ids.RequestId],
    ) -> tuple[float, float]:
        """Returns the seconds to the first token and to the last."""
        speed = engine.speed_factor * engine.slowdown
        reading = engine.declared.prefill_tokens_per_second * speed
        writing = engine.declared.decode_tokens_per_second * speed
        prompts = [job.prefill_left for job in engine.running.values()]
        prompts += [
            float(self.run.records[other].request.prompt_tokens)
            for other in sent
            if other not in engine.running
        ]
        own = float(request.prompt_tokens)
        first = (own + sum(min(own, left) for left in prompts)) / reading
        # Each further request makes steps longer.
        streams = 1.0 + 0.06 * len(sent)
        return first, first + request.output_tokens * streams / writing
