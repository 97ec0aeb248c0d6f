"""Discrete-event simulation of one run of one policy in virtual time.

A run owns the queue of scheduled calls, the virtual clock, the engines and the
record of each request. It generates arrivals, network delays and faults.
"""

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

# One-way delay between any two VMs, from the requirements.
NETWORK_DELAY_SECONDS = 0.001
# Assumed interval at which engines report their load and holders receive the
# number of output tokens produced so far.
_REPORT_INTERVAL_SECONDS = 1.0
# The requirements say that cache events arrive "late and with gaps" and give no
# figures. Assumed: the delay is drawn from this range, and this share of the
# events is lost.
_CACHE_EVENT_DELAY_SECONDS = (0.2, 3.0)
_CACHE_EVENT_LOSS_SHARE = 0.1
# Assumed time for which the VM list still names a failed VM.
_VM_LIST_LAG_SECONDS = 5.0
# Nodes start this long before the first arrival, so that they have received
# each other's heartbeats.
_START_LEAD_SECONDS = 5.0
# Assumed latency of appending a claim to the log service and reading it back.
CLAIM_LATENCY_SECONDS = 0.02


class Run:
    """One run of one policy.

    Whether a deadline is met is decided at the node that holds the caller's
    connection. A caller disconnects at its deadline, and its node then cancels
    the request at the engine if it is idempotent.

    Attributes:
        deployment: Nodes, endpoints and kinds of requests.
        scenario: Load and faults.
        policy: Policy under test.
        now: Virtual time in seconds.
        policy_rng: Random number generator of the policy.
        nodes: Live nodes.
        engines: Endpoints by identifier.
        records: State and outcome of each request.
        inversions: Counters of tier inversions.
        listed_nodes: Nodes that the VM list names.
        control: Counters of control traffic and scheduler calls.
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
        self.now = -_START_LEAD_SECONDS
        self.policy_rng = random.Random(f"{seed}/policy")
        self.nodes = list(deployment.nodes)
        self.engines = {
            name: engines.Engine(
                name,
                replica.declared,
                replica.speed_factor,
                replica.declared.service in deployment.engine_services,
                deployment.decode_share,
            )
            for name, replica in deployment.replicas.items()
        }
        self.records: dict[ids.RequestId, results.Record] = {}
        self.inversions = results.Inversions()
        self.listed_nodes = list(deployment.nodes)
        self.control = results.Control()
        self._requests = requests
        self._open_requests = 0
        self._fault_rng = random.Random(f"{seed}/faults")
        self._scheduled_calls: list[tuple[float, int, Callable[[], None]]] = []
        self._call_numbers = itertools.count()
        self._change_tickets = dict.fromkeys(self.engines, 0)
        self._dispatched_to: dict[ids.RequestId, ids.EndpointId] = {}
        self._stored_prefixes: set[tuple[ids.ServiceName, ids.PrefixDigest]] = (
            set()
        )

    def execute(self) -> results.Summary:
        """Runs until all requests have ended and returns the summary."""
        for request in self._requests:
            self.at(request.arrival, functools.partial(self._arrive, request))
        self._schedule_faults()
        self.at(0.0, self._report_loads)
        self.policy.start(self)
        last_arrival = max((r.arrival for r in self._requests), default=0.0)
        while self.now <= last_arrival or self._open_requests:
            self.now, _, call = heapq.heappop(self._scheduled_calls)
            call()
        return self._summary()

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Schedules a call at a time in seconds."""
        heapq.heappush(
            self._scheduled_calls, (time, next(self._call_numbers), call)
        )

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedules a call after a delay in seconds."""
        self.at(self.now + delay, call)

    def is_alive(self, node: ids.NodeId) -> bool:
        """Returns whether a node is live."""
        return node in self.nodes

    def is_open(self, request: ids.RequestId) -> bool:
        """Returns whether a request has not yet ended for its caller."""
        return self.records[request].ending is None

    def dispatch(
        self, request: ids.RequestId, endpoint: ids.EndpointId
    ) -> None:
        """Sends a request to an endpoint."""
        self.records[request].dispatches += 1
        self._dispatched_to[request] = endpoint
        self.after(
            NETWORK_DELAY_SECONDS,
            functools.partial(self._deliver, request, endpoint),
        )

    def refuse(self, request: ids.RequestId, kind: errors.ErrorKind) -> None:
        """Refuses a request and records the kind of the refusal."""
        record = self.records[request]
        if record.ending is not None:
            return
        record.refusal = kind
        self._end(record, results.Ending.REFUSED)

    def _arrive(self, request: loads.Request) -> None:
        # A connection to a failed node is refused and the client tries the
        # next node, so only live nodes receive requests.
        node = self.nodes[int(request.node_draw * len(self.nodes))]
        self.records[request.request] = results.Record(request, node)
        self._open_requests += 1
        self.at(
            request.deadline, functools.partial(self._expire, request.request)
        )
        self.policy.submit(node, request)

    def _expire(self, request: ids.RequestId) -> None:
        """Ends a request whose caller disconnects at the deadline."""
        record = self.records[request]
        if record.ending is not None:
            return
        self._end(record, results.Ending.LATE)
        self.policy.abandon(record.node, request)
        if record.request.kind.idempotent:
            self.after(
                NETWORK_DELAY_SECONDS, functools.partial(self._cancel, request)
            )

    def _end(self, record: results.Record, ending: results.Ending) -> None:
        self._open_requests -= 1
        record.ending = ending
        record.ended = self.now

    def _deliver(
        self, request: ids.RequestId, endpoint: ids.EndpointId
    ) -> None:
        """Submits a request to its engine when it arrives there."""
        record = self.records[request]
        idempotent = record.request.kind.idempotent
        if idempotent and record.ending is not None:
            return
        engine = self.engines[endpoint]
        self._advance(engine)
        service = engine.declared.service
        stored_tokens = 0
        for part in record.request.prefixes:
            if (service, part.digest) in self._stored_prefixes:
                stored_tokens = part.tokens
        record.repeated_tokens = stored_tokens
        engine.submit(
            engines.Job(
                request,
                record.request.prompt_tokens,
                record.request.output_tokens,
                record.request.prefixes,
            ),
            self.now,
        )
        self._schedule_change(engine)

    def _cancel(self, request: ids.RequestId) -> None:
        endpoint = self._dispatched_to.pop(request, None)
        if endpoint is None:
            return
        engine = self.engines[endpoint]
        self._advance(engine)
        job = engine.cancel(request, self.now)
        if job is not None:
            self._record_tokens(job)
        self._schedule_change(engine)

    def _record_tokens(self, job: engines.Job) -> None:
        record = self.records[job.request]
        record.computed_tokens += job.computed_tokens()
        # Tokens of a prefix that some engine of the service had stored, but
        # that this engine had to compute again.
        record.repeated_tokens = max(
            0, record.repeated_tokens - job.cached_tokens
        )

    def _advance(self, engine: engines.Engine) -> None:
        for change in engine.advance(self.now):
            if change.step is engines.Step.FINISHED:
                self._record_tokens(change.job)
                self._dispatched_to.pop(change.job.request, None)
            self.after(
                NETWORK_DELAY_SECONDS,
                functools.partial(self._notify_holder, change),
            )
        for event in engine.cache.take_events():
            self._publish_cache_event(engine, event)

    def _notify_holder(self, change: engines.Change) -> None:
        """Passes a change to the node that holds the request."""
        record = self.records[change.job.request]
        if not self.is_alive(record.node):
            return
        request = record.request.request
        if change.step is engines.Step.FIRST_TOKEN:
            if record.ending is None:
                record.first_token = self.now
            self.policy.first_token(record.node, request)
            return
        record.longest_pause = change.job.longest_pause
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

    def _publish_cache_event(
        self, engine: engines.Engine, event: engines.CacheEvent
    ) -> None:
        if event.stored:
            self._stored_prefixes.add((engine.declared.service, event.digest))
        if self._fault_rng.random() < _CACHE_EVENT_LOSS_SHARE:
            return
        self.after(
            self._fault_rng.uniform(*_CACHE_EVENT_DELAY_SECONDS),
            functools.partial(self.policy.cache_event, engine.name, event),
        )

    def _schedule_change(self, engine: engines.Engine) -> None:
        """Schedules the engine's next change and invalidates earlier ones."""
        self._change_tickets[engine.name] += 1
        due = engine.next_change()
        if due is not None:
            ticket = self._change_tickets[engine.name]
            self.at(due, functools.partial(self._run_change, engine, ticket))

    def _run_change(self, engine: engines.Engine, ticket: int) -> None:
        if ticket != self._change_tickets[engine.name]:
            return
        self._advance(engine)
        self._schedule_change(engine)

    def _report_loads(self) -> None:
        """Sends load reports to the policy and output counts to holders."""
        for engine in self.engines.values():
            self._advance(engine)
            self._schedule_change(engine)
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
                if produced > 1 and self.is_alive(record.node):
                    self.policy.progress(record.node, job.request, produced)
        self.after(_REPORT_INTERVAL_SECONDS, self._report_loads)

    def _schedule_faults(self) -> None:
        if self.scenario.slow_factor != 1.0:
            self.at(self.seconds * 0.2, self._slow_engine)
        if self.scenario.kill_owner:
            self.at(self.seconds * 0.5, self._kill_owner)

    def _slow_engine(self) -> None:
        engine = self.engines[scenarios.slow_endpoint(self.deployment)]
        self._advance(engine)
        engine.slowdown = self.scenario.slow_factor
        self._schedule_change(engine)

    def _kill_owner(self) -> None:
        """Kills the owner: its callers lose their connections.

        Their requests end as lost. The engines cancel the idempotent ones.
        """
        node = scenarios.initial_owner(self.deployment)
        self.nodes.remove(node)
        self.policy.node_failed(node)
        for record in self.records.values():
            if record.node != node or record.ending is not None:
                continue
            self._end(record, results.Ending.LOST)
            if record.request.kind.idempotent:
                self.after(
                    NETWORK_DELAY_SECONDS,
                    functools.partial(self._cancel, record.request.request),
                )
        self.after(
            _VM_LIST_LAG_SECONDS,
            functools.partial(self._remove_from_vm_list, node),
        )

    def _remove_from_vm_list(self, node: ids.NodeId) -> None:
        self.listed_nodes.remove(node)
        self.policy.vm_list_changed()

    def _summary(self) -> results.Summary:
        tier_names = {r: n for n, r in self.deployment.tiers.items()}
        ranks = {r.kind.tier for r in self._requests}
        return results.summarise(
            list(self.records.values()),
            self.inversions,
            self.control,
            {rank: tier_names[rank] for rank in ranks},
            deployment=self.deployment.name,
            scenario=self.scenario.name,
            policy=self.policy.name,
            load=self.scenario.peak_load(self.deployment),
            seed=self.seed,
            seconds=self.seconds,
        )
