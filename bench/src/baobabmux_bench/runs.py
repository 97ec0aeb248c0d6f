"""The event loop of a run: arrivals, engines, network delays and faults."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable

from baobabmux_bench import (
    deployments,
    engines,
    loads,
    policies,
    results,
    scenarios,
)
from baobabmux_core import errors, ids, states

# One way between any two VMs, from the requirements.
NETWORK_SECONDS = 0.001
# Engines report load and holders see output this often (assumption).
_REPORT_SECONDS = 1.0
# Cache events arrive this late, and this share of them never (assumptions
# for "late and with gaps").
_CACHE_EVENT_SECONDS = (0.2, 3.0)
_CACHE_EVENT_LOSS = 0.1
# The VM list names a dead VM for this long (assumption).
_VM_LIST_LAG_SECONDS = 5.0
# Nodes start this long before the first arrival, so that they have heard each
# other.
_START_SECONDS = 5.0
# Latency of one append to the log service and its read back (assumption).
CLAIM_SECONDS = 0.02


class Run:
    """One run of one policy.

    Deadlines are judged at the node that holds the caller's connection. A
    caller leaves at its deadline, and its node then cancels idempotent work.

    Attributes:
        deployment: Nodes, endpoints and kinds.
        scenario: Load and faults.
        policy: Policy under test.
        now: Virtual time in seconds.
        draw: Random numbers for the policy.
        nodes: Nodes alive.
        engines: Endpoints by identifier.
        records: What happened to each request.
        inversions: Tier inversions.
        listed: Nodes that the VM list names.
        control: Traffic and work of control.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        scenario: scenarios.Scenario,
        policy: policies.Policy,
        requests: list[loads.Request],
        seconds: float,
        seed: int,
    ):
        self.deployment = deployment
        self.scenario = scenario
        self.policy = policy
        self.seconds = seconds
        self.seed = seed
        self.now = -_START_SECONDS
        self.draw = random.Random(f"{seed}/policy")
        self.nodes = list(deployment.nodes)
        self.engines = {
            name: engines.Engine(
                name,
                replica.declared,
                replica.factor,
                replica.declared.service in deployment.engine_services,
            )
            for name, replica in deployment.replicas.items()
        }
        self.records: dict[ids.RequestId, results.Record] = {}
        self.inversions = results.Inversions()
        self.listed = list(deployment.nodes)
        self.control = results.Control()
        self._requests = requests
        self._open = 0
        self._faults = random.Random(f"{seed}/faults")
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._wakes = dict.fromkeys(self.engines, 0)
        self._placed: dict[ids.RequestId, ids.EndpointId] = {}
        self._seen: set[tuple[ids.ServiceName, ids.PrefixDigest]] = set()

    def execute(self) -> results.Summary:
        """Runs all arrivals to their ends and returns the summary."""
        for request in self._requests:
            self.at(request.arrival, functools.partial(self._arrive, request))
        self._schedule_faults()
        self.at(0.0, self._report)
        self.policy.start(self)
        last = max((r.arrival for r in self._requests), default=0.0)
        while self.now <= last or self._open:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        return self._summary()

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Schedules a call at a time in seconds."""
        heapq.heappush(self._heap, (time, next(self._order), call))

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedules a call after a delay in seconds."""
        self.at(self.now + delay, call)

    def alive(self, node: ids.NodeId) -> bool:
        """Returns whether a node lives."""
        return node in self.nodes

    def open(self, request: ids.RequestId) -> bool:
        """Returns whether a request has not ended for its caller."""
        return self.records[request].ending is None

    def dispatch(
        self, request: ids.RequestId, endpoint: ids.EndpointId
    ) -> None:
        """Writes a request to an endpoint."""
        self.records[request].dispatches += 1
        self._placed[request] = endpoint
        self.after(
            NETWORK_SECONDS,
            functools.partial(self._reach, request, endpoint),
        )

    def refuse(self, request: ids.RequestId, kind: errors.ErrorKind) -> None:
        """Answers a caller that its request was not run."""
        record = self.records[request]
        if record.ending is not None:
            return
        record.refusal = kind
        self._end(record, results.Ending.REFUSED)

    def _arrive(self, request: loads.Request) -> None:
        # A connection to a dead node is refused, and the caller's client
        # tries the next; so only live nodes get requests.
        node = self.nodes[int(request.node_draw * len(self.nodes))]
        self.records[request.request] = results.Record(request, node)
        self._open += 1
        self.at(
            request.deadline, functools.partial(self._leave, request.request)
        )
        self.policy.submit(node, request)

    def _leave(self, request: ids.RequestId) -> None:
        """The caller gives up at its deadline."""
        record = self.records[request]
        if record.ending is not None:
            return
        self._end(record, results.Ending.LATE)
        self.policy.abandon(record.node, request)
        if record.request.kind.idempotent:
            self.after(
                NETWORK_SECONDS, functools.partial(self._cancel, request)
            )

    def _end(self, record: results.Record, ending: results.Ending) -> None:
        self._open -= 1
        record.ending = ending
        record.ended = self.now

    def _reach(self, request: ids.RequestId, endpoint: ids.EndpointId) -> None:
        """A request reaches its endpoint."""
        record = self.records[request]
        idempotent = record.request.kind.idempotent
        if idempotent and record.ending is not None:
            return
        engine = self.engines[endpoint]
        self._advance(engine)
        service = engine.declared.service
        held = 0
        for part in record.request.prefixes:
            if (service, part.digest) in self._seen:
                held = part.tokens
        record.repeated_tokens = held
        engine.submit(
            engines.Job(
                request,
                record.request.prompt_tokens,
                record.request.output_tokens,
                record.request.prefixes,
            ),
            self.now,
        )
        self._wake(engine)

    def _cancel(self, request: ids.RequestId) -> None:
        endpoint = self._placed.pop(request, None)
        if endpoint is None:
            return
        engine = self.engines[endpoint]
        self._advance(engine)
        job = engine.cancel(request, self.now)
        if job is not None:
            self._account(job)
        self._wake(engine)

    def _account(self, job: engines.Job) -> None:
        record = self.records[job.request]
        record.computed_tokens += job.computed_tokens()
        # Of the prefix that was held somewhere, what this engine had not.
        record.repeated_tokens = max(
            0, record.repeated_tokens - job.cached_tokens
        )

    def _advance(self, engine: engines.Engine) -> None:
        for change in engine.advance(self.now):
            if change.step is engines.Step.FINISHED:
                self._account(change.job)
                self._placed.pop(change.job.request, None)
            self.after(NETWORK_SECONDS, functools.partial(self._hear, change))
        for event in engine.cache.take_events():
            self._publish(engine, event)

    def _hear(self, change: engines.Change) -> None:
        """The holder hears of a change."""
        record = self.records[change.job.request]
        if not self.alive(record.node):
            return
        request = record.request.request
        if change.step is engines.Step.FIRST_TOKEN:
            if record.ending is None:
                record.first_token = self.now
            self.policy.first_token(record.node, request)
            return
        if record.ending is None:
            self._end(record, results.Ending.GOOD)
        self.policy.finished(
            record.node,
            request,
            policies.Completion(
                states.Outcome.COMPLETED,
                change.job.computed_tokens(),
                change.job.output_tokens,
            ),
        )

    def _publish(
        self, engine: engines.Engine, event: engines.CacheEvent
    ) -> None:
        if event.stored:
            self._seen.add((engine.declared.service, event.digest))
        if self._faults.random() < _CACHE_EVENT_LOSS:
            return
        self.after(
            self._faults.uniform(*_CACHE_EVENT_SECONDS),
            functools.partial(self.policy.cache_event, engine.name, event),
        )

    def _wake(self, engine: engines.Engine) -> None:
        """Schedules the engine's next change; earlier plans lapse."""
        self._wakes[engine.name] += 1
        due = engine.next_change()
        if due is not None:
            ticket = self._wakes[engine.name]
            self.at(due, functools.partial(self._change, engine, ticket))

    def _change(self, engine: engines.Engine, ticket: int) -> None:
        if ticket != self._wakes[engine.name]:
            return
        self._advance(engine)
        self._wake(engine)

    def _report(self) -> None:
        """All endpoints report their load; holders see output so far."""
        for engine in self.engines.values():
            self._advance(engine)
            self._wake(engine)
            self.after(
                self.scenario.report_lag_seconds,
                functools.partial(
                    self.policy.load_report,
                    engine.name,
                    engine.report(self.now),
                ),
            )
            for job in list(engine.running.values()):
                produced = int(job.output_tokens - job.decode_left)
                record = self.records[job.request]
                if produced > 1 and self.alive(record.node):
                    self.policy.progress(record.node, job.request, produced)
        self.after(_REPORT_SECONDS, self._report)

    def _schedule_faults(self) -> None:
        if self.scenario.slow_factor != 1.0:
            self.at(self.seconds * 0.2, self._slow)
        if self.scenario.kill_owner:
            self.at(self.seconds * 0.5, self._kill)

    def _slow(self) -> None:
        engine = self.engines[scenarios.slow_endpoint(self.deployment)]
        self._advance(engine)
        engine.slowdown = self.scenario.slow_factor
        self._wake(engine)

    def _kill(self) -> None:
        """Kills a node: its callers' connections break, engines see it."""
        node = scenarios.owner(self.deployment)
        self.nodes.remove(node)
        self.policy.node_died(node)
        for record in self.records.values():
            if record.node != node or record.ending is not None:
                continue
            self._end(record, results.Ending.LOST)
            if record.request.kind.idempotent:
                self.after(
                    NETWORK_SECONDS,
                    functools.partial(self._cancel, record.request.request),
                )
        self.after(_VM_LIST_LAG_SECONDS, functools.partial(self._unlist, node))

    def _unlist(self, node: ids.NodeId) -> None:
        self.listed.remove(node)
        self.policy.vm_list()

    def _summary(self) -> results.Summary:
        names = {r: n for n, r in self.deployment.tiers.items()}
        present = {r.kind.tier for r in self._requests}
        return results.summarise(
            list(self.records.values()),
            self.inversions,
            self.control,
            {rank: names[rank] for rank in present},
            deployment=self.deployment.name,
            scenario=self.scenario.name,
            policy=self.policy.name,
            load=self.scenario.crest(self.deployment),
            seed=self.seed,
            seconds=self.seconds,
        )
