"""Metrics of a node in the Prometheus text format.

Label values come from the configuration or from fixed lists, so their number
is bounded. Requests are never labels; workspaces label only the quota levels.
"""

import functools
from collections.abc import Iterable

from baobabmux_core import rollout_trials
from baobabmux_node import instruments, memory_account, status


class Metrics:
    """All metrics; docs/metrics.md describes them for operators."""

    def __init__(self):
        self._instruments: list[instruments.Instrument] = []
        self.submitted = self._counter(
            "requests", "Requests accepted for scheduling", ["tier", "route"]
        )
        self.answered = self._counter(
            "answers", "Answers delivered whole", ["tier", "route", "in_time"]
        )
        self.refused = self._counter(
            "refusals",
            "Final answers other than an endpoint's",
            ["tier", "kind"],
        )
        self.first_token = self._histogram(
            "baobabmux_first_token_seconds",
            "Time from arrival to the first token",
            ["tier"],
            (0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 10, 30, 60),
        )
        self.prompt_tokens = self._counter(
            "prompt_tokens", "Prompt tokens of finished requests", ["service"]
        )
        self.computed_tokens = self._counter(
            "computed_prompt_tokens",
            "Prompt tokens that endpoints computed",
            ["service"],
        )
        self.wasted_prefill = self._counter(
            "wasted_prefill_tokens",
            "Prompt tokens computed for answers that were not delivered whole"
            " and in time",
            ["service"],
        )
        self.output_tokens = self._counter(
            "output_tokens", "Output tokens of finished requests", ["service"]
        )
        self.held = self._gauge("held_requests", "Requests held for callers")
        self.queue_requests = self._gauge(
            "queue_requests", "Requests waiting in an owned group", ["group"]
        )
        self.queue_tokens = self._gauge(
            "queue_tokens", "Tokens waiting in an owned group", ["group"]
        )
        self.first_event_error = self._gauge(
            "first_event_error",
            "Mean relative error of the predicted first events of an endpoint",
            ["endpoint"],
        )
        self.outstanding_tokens = self._gauge(
            "outstanding_tokens",
            "Tokens granted and not released at an endpoint of an owned group",
            ["endpoint"],
        )
        self.config_version = self._gauge(
            "config_version", "Log offset of the configuration in force"
        )
        self.members = self._gauge("members", "Nodes reachable, this included")
        self.control_bytes = self._counter(
            "control_bytes", "Bytes between nodes", ["direction"]
        )
        self.control_cpu = self._counter(
            "control_cpu_seconds", "Time spent in scheduling decisions"
        )
        self.dropped_frames = self._counter(
            "dropped_frames", "Frames to nodes out of reach"
        )
        self.log_appends = self._counter(
            "log_appends", "Appends to the log service"
        )
        self.log_lines = self._counter(
            "log_lines_dropped",
            "Log lines that were counted or dropped instead of written",
            ["reason"],
        )
        self.waiting = self._histogram(
            "baobabmux_waiting_seconds",
            "Time from arrival to the dispatch of an attempt",
            ["tier"],
            (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 10),
        )
        self.loop_steps = self._histogram(
            "baobabmux_loop_step_seconds",
            "Time for which a task kept all others from running, from 0.02 s",
            ["task"],
            (0.05, 0.1, 0.2, 0.5, 1, 2, 5),
        )
        self.attempts = self._counter(
            "attempts", "Attempts at endpoints", ["service", "outcome"]
        )
        self.lost_links = self._gauge(
            "lost_links",
            "Endpoints to which this node cannot open a connection",
        )
        self.carried_tunnels = self._gauge(
            "carried_tunnels",
            "Connections to endpoints that this node carries for others",
        )
        self.tunnels = self._counter(
            "tunnels",
            "Requests for connections through other nodes, by outcome",
            ["outcome"],
        )
        self.silent_answers = self._counter(
            "silent_answers",
            "Times at which the endpoint of an answer was found silent",
        )
        self.hedges = self._counter(
            "hedges",
            "Slow requests for which a second endpoint was asked for, or not",
            ["outcome"],
        )
        self.withheld_statuses = self._counter(
            "withheld_statuses",
            "Answers whose status would promise that a request was not run",
            ["status"],
        )
        self.takeovers = self._counter(
            "takeovers",
            "Answers that another endpoint took over from a silent one",
        )
        self.broken_answers = self._counter(
            "broken_answers",
            "Answers that broke off after their head, by what delimits them",
            ["framing"],
        )
        self.endpoints_age = self._gauge(
            "endpoints_age_seconds",
            "Time since the endpoint directory was known to be current",
        )
        self.endpoints = self._gauge(
            "endpoints", "Endpoints that take new work"
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the platform's store", ["kind"]
        )
        self.store_reader = self._gauge(
            "store_reader",
            "Whether this node reads the configuration from the store for"
            " others, 0 or 1",
        )
        self.store_era = self._gauge(
            "store_era",
            "How often the store has come back from an older copy, as it counts"
            " them",
        )
        self.outdated_reads = self._counter(
            "outdated_reads",
            "Reads of the endpoint directory that were older than what peers"
            " had sent meanwhile",
        )
        self.endpoint_connections = self._counter(
            "endpoint_connections",
            "Connections to endpoints, opened or used again",
            ["how"],
        )
        self.peer_reconnects = self._counter(
            "peer_reconnects", "Connections to nodes that had gone silent"
        )
        self.quota_level = self._gauge(
            "quota_level", "Units left of a quota at its owner", ["workspace"]
        )
        self.deputy_charges = self._gauge(
            "deputy_charges",
            "Requests that this node was asked to charge for a silent owner",
            ["charged"],
        )
        self.misdirected_asks = self._counter(
            "misdirected_asks",
            "Asks that arrived for groups that this node did not own",
        )
        self.attempt_budget = self._gauge(
            "attempt_budget",
            "Repeated attempts left in the window of an owned group",
            ["group"],
        )
        self.endpoint_ends = self._counter(
            "endpoint_ends",
            "Ends of endpoints that this node has detected",
            ["evidence"],
        )
        self.stream_records = self._gauge(
            "stream_records",
            "Recent streams whose version is known here",
        )
        self.stored_streams = self._counter(
            "stored_streams",
            "Records of streams in the platform's store",
            ["kind"],
        )
        self.limited_endpoints = self._gauge(
            "limited_endpoints",
            "Endpoints that name a request limit",
        )
        self.counted_contents = self._gauge(
            "counted_contents",
            "Contents under which endpoints ended",
            ["refused"],
        )
        self.leaving_endpoints = self._gauge(
            "leaving_endpoints",
            "Endpoints whose answers say that they are leaving",
        )
        self.endpoint_pauses = self._counter(
            "endpoint_pauses",
            "Pauses that endpoints asked this node for with Retry-After",
            ["repeated"],
        )
        self.config_checks = self._counter(
            "config_checks",
            "Reads of the configuration since no reader knew the newest one",
            ["outcome"],
        )
        self.unread_answers = self._counter(
            "unread_answers",
            "Attempts that ended before the head of their answer, by what"
            " became of it",
            ["outcome"],
        )
        self.counted_parts = self._gauge(
            "counted_parts",
            "Parts of prompts under which endpoints ended",
            ["refused"],
        )
        self.answered_contents = self._counter(
            "answered_contents",
            "Answers to contents under which endpoints had ended",
            ["succeeded"],
        )
        self.unknown_received = self._counter(
            "unknown_received",
            "Messages and codes of other builds that this one does not know",
            ["kind", "peer"],
        )
        self.replaced_messages = self._counter(
            "replaced_messages",
            "Messages withheld from nodes of older builds, or replaced",
            ["message"],
        )
        self.rollout_share = self._gauge(
            "rollout_share",
            "Share of requests that a new version gets at its owner",
            ["service", "target"],
        )
        self.rollout_requests = self._gauge(
            "rollout_requests",
            "Requests of a roll-out at its owner, by version and outcome",
            ["service", "version", "outcome"],
        )
        self.rollout_seconds = self._gauge(
            "rollout_answer_seconds",
            "Mean time of answers that did not fail, by version",
            ["service", "version"],
        )
        self.unread_bytes = self._gauge(
            "unread_bytes", "Bytes of answers that callers have not read"
        )
        self.slow_readers = self._counter(
            "slow_readers", "Callers cut off as they held up their answers"
        )
        self.body_bytes = self._gauge(
            "body_bytes", "Bytes of bodies whose requests are not answered yet"
        )
        self.refused_bodies = self._counter(
            "refused_bodies", "Bodies that found no room beside others"
        )
        self.answer_bytes = self._gauge(
            "answer_bytes",
            "Bytes of whole answers that are read or not sent yet",
        )
        self.refused_answers = self._counter(
            "refused_answers", "Answers given up as they found no room"
        )
        self.frame_bytes = self._gauge(
            "frame_bytes",
            "Bytes of other nodes' frames that did not arrive in one piece",
        )
        self.refused_frames = self._counter(
            "refused_frames", "Frames given up as they found no room"
        )
        self.unfinished_frames = self._counter(
            "unfinished_frames", "Frames given up as they did not end in time"
        )
        self.caller_connections = self._gauge(
            "caller_connections", "Connections of callers that are open"
        )
        self.listener_connections = self._gauge(
            "listener_connections",
            "Connections that are open at a listener that is not for callers",
            ["listener"],
        )
        self.listener_waits = self._counter(
            "listener_waits",
            "Times at which a connection had to wait for room, or was refused",
            ["listener"],
        )
        self.accept_failures = self._counter(
            "accept_failures", "Attempts to accept a connection that failed"
        )
        self.closed_idle = self._counter(
            "closed_idle_connections",
            "Idle connections of callers closed in favour of others",
        )
        self.sent_ahead = self._counter(
            "sent_ahead",
            "Requests beside which a caller sent further ahead than is read",
        )
        self.stray_answers = self._counter(
            "stray_answers", "Answers that matched no request"
        )

    @functools.cached_property
    def registry(self):
        """Registry of the metrics on the admin listener's page."""
        return instruments.registry(self._instruments)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return instruments.page(self.registry)

    def update_control(self, transport, appends: int) -> None:
        """Copies the counts of the transport and of the log service.

        Args:
            transport: The `peers.PeerTransport`.
            appends: Number of appends to the log service.
        """
        self._set_total(self.control_bytes.labels("sent"), transport.sent_bytes)
        self._set_total(
            self.control_bytes.labels("received"), transport.received_bytes
        )
        self._set_total(self.dropped_frames, transport.dropped_frames)
        for name, count in transport.revisions.replaced.items():
            self._set_total(self.replaced_messages.labels(name), count)
        for (item, peer), count in transport.unknown.counts.items():
            self._set_total(self.unknown_received.labels(item, peer), count)
        self._set_total(self.log_appends, appends)

    def update_platform(self, ports, transport, now: float) -> None:
        """Copies the counts of the platform's ports and of the transport.

        Args:
            ports: The `ports.Ports`.
            transport: The `peers.PeerTransport`.
            now: Time on the node's clock in seconds.
        """
        for kind, count in ports.store_calls().items():
            self._set_total(self.store_calls.labels(kind), count)
        for kind, count in ports.stored_streams().items():
            self._set_total(self.stored_streams.labels(kind), count)
        opened, reused = ports.connections()
        self._set_total(self.endpoint_connections.labels("opened"), opened)
        self._set_total(self.endpoint_connections.labels("reused"), reused)
        self._set_total(self.peer_reconnects, transport.reconnects)
        self.endpoints_age.set(ports.endpoints_age_ms(now) / 1000)

    def update_rollouts(
        self, trials: Iterable[rollout_trials.Trial], now: float
    ) -> None:
        """Replaces the metrics of roll-outs that this node tries."""
        for gauge in (
            self.rollout_share,
            self.rollout_requests,
            self.rollout_seconds,
        ):
            gauge.clear()
        for trial in trials:
            service = trial.order.service
            share = self.rollout_share.labels(service, trial.order.target)
            share.set(trial.share(now))
            for is_new, counts in trial.counts.items():
                version = "new" if is_new else "old"
                for outcome, count in (
                    ("granted", counts.granted),
                    ("answered", counts.answers),
                    ("failed", counts.failed),
                ):
                    self.rollout_requests.labels(service, version, outcome).set(
                        count
                    )
                sound = counts.answers - counts.failed
                if sound:
                    self.rollout_seconds.labels(service, version).set(
                        counts.seconds / sound
                    )

    def update_unread(self, used: int, cut_off: int) -> None:
        """Copies what is kept for slow readers, and how many were cut off."""
        self.unread_bytes.set(used)
        self._set_total(self.slow_readers, cut_off)

    def update_connections(self, callers) -> None:
        """Copies the counts of the callers' `server.Server`."""
        request, answer = memory_account.Use.REQUEST, memory_account.Use.ANSWER
        memory = callers.memory
        self.body_bytes.set(memory.used[request])
        self._set_total(self.refused_bodies, memory.refused[request])
        self.answer_bytes.set(memory.used[answer])
        self._set_total(self.refused_answers, memory.refused[answer])
        self.caller_connections.set(callers.connections)
        self._set_total(self.accept_failures, callers.accept_failures)
        self._set_total(self.closed_idle, callers.idle_connections.closed)
        self._set_total(self.sent_ahead, callers.sent_ahead)

    def update_listeners(self, listeners) -> None:
        """Copies the counts of the listeners that are not for callers."""
        for name, listener in listeners.items():
            self.listener_connections.labels(name).set(listener.connections)
            self._set_total(self.listener_waits.labels(name), listener.waits)

    def update_frames(self, peers) -> None:
        """Copies the counts of the `frame_listener.FrameListener`."""
        frame = memory_account.Use.FRAME
        self.frame_bytes.set(peers.memory.used[frame])
        self._set_total(self.refused_frames, peers.memory.refused[frame])
        self._set_total(self.unfinished_frames, peers.unfinished)

    def update_misdirected(self, asks: int) -> None:
        """Copies the count of asks for groups that are not owned here."""
        self._set_total(self.misdirected_asks, asks)

    def update_logs(self, counted: int, dropped: int) -> None:
        """Copies the counts of log lines that were not written.

        Args:
            counted: Routine lines above the limit per second.
            dropped: Lines dropped because the buffer was full.
        """
        self._set_total(self.log_lines.labels("routine"), counted)
        self._set_total(self.log_lines.labels("reader"), dropped)

    def update_groups(self, groups: list[status.GroupStatus]) -> None:
        """Replaces the metrics of the groups that this node owns."""
        # Clearing removes groups and endpoints that moved to another owner.
        for gauge in (
            self.queue_requests,
            self.queue_tokens,
            self.outstanding_tokens,
            self.first_event_error,
        ):
            gauge.clear()
        for group in groups:
            self.queue_requests.labels(group.group).set(group.queue_requests)
            self.queue_tokens.labels(group.group).set(group.queue_tokens)
            for endpoint in group.endpoints:
                self.outstanding_tokens.labels(endpoint.endpoint).set(
                    endpoint.outstanding_tokens
                )
                if endpoint.first_event_error is not None:
                    self.first_event_error.labels(endpoint.endpoint).set(
                        endpoint.first_event_error
                    )

    @staticmethod
    def _set_total(counter, total: float) -> None:
        counter.inc(max(0, total - counter.value))

    def _counter(self, name, text, labels=()):
        return self._add(instruments.Counter(f"baobabmux_{name}", text, labels))

    def _gauge(self, name, text, labels=()):
        return self._add(instruments.Gauge(f"baobabmux_{name}", text, labels))

    def _histogram(self, name, text, labels, bounds):
        return self._add(instruments.Histogram(name, text, labels, bounds))

    def _add(self, instrument):
        self._instruments.append(instrument)
        return instrument
