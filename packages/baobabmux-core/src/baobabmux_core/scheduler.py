"""Scheduling decisions of one node, without I/O.

`NodeScheduler` combines the holder of the requests of this node's callers, the
owners of the groups that this node owns, and the state that they share: the
configuration, drained endpoints, quarantined contents and the waits of other
data centres. The node program and the bench drive it: they pass requests,
messages and the time in, and carry out the effects that it returns.
"""

from __future__ import annotations

import collections
import math
import typing
from collections.abc import Callable, Iterable, Set

import msgspec

from baobabmux_core import (
    capacity,
    declarations,
    effects,
    end_counts,
    end_reports,
    errors,
    fairness,
    grants,
    held_requests,
    holders,
    ids,
    leaving,
    messages,
    part_ends,
    prefixes,
    quarantine,
    quotas,
    rendezvous,
    request_limits,
    retries,
    states,
    stream_origins,
    unfinished,
    versions,
)

if typing.TYPE_CHECKING:
    from baobabmux_core import membership

# A wait of another data centre is ignored when it is older than this. At 42
# peers the heartbeat interval is 2.1 s, and a wait takes two hops.
_MAX_LOAD_AGE_SECONDS = 8.0
# A drain is announced again this many times in case messages are lost.
_DRAIN_REPEATS = 3
_DRAIN_REPEAT_SECONDS = 1.0
_SHUTDOWN_RETRY_SECONDS = 1.0
_UNKNOWN_STREAM_RETRY_SECONDS = 0.5
# Nodes that have a share of the same slot. Few use their whole share at once,
# and endpoints queue a few requests.
_SHARES_PER_SLOT = 2
# Part of a service's budget of repeated attempts that all nodes together may
# use from their own shares. Owners, which may have used theirs in the same
# window, keep within the limit with it.
_OWN_SHARE_OF_BUDGET = 0.5
# Waits of another data centre change between heartbeats, so a spilled request
# must be expected to end this long before its deadline.
_SPILL_MARGIN_SECONDS = 0.5
# Safety factor on the wait of another data centre. When all are overloaded, a
# request that would just meet its deadline costs messages and is then refused.
_SPILL_WAIT_FACTOR = 1.5
# A message for a group that this node does not own yet is kept for this time.
# Nodes detect a change of membership at different times, at most about three
# heartbeat intervals apart.
_MAX_EARLY_AGE_SECONDS = 3.0
_MAX_EARLY_MESSAGES = 1000
# A move that shortens the wait by less is not worth its messages.
_MIN_MOVE_GAIN_SECONDS = 1.0
# Shortest time that a spilled request is assumed to occupy a slot there. Plain
# services declare no rates from which it could be computed.
_MIN_SLOT_SECONDS = 1.0
# After a longer gap between ticks other nodes may have suspected this one.
# Another node may have owned its groups then, so its own counts are out of
# date.
_PAUSE_SECONDS = 1.5
# Outcomes after which the endpoint may have ended under the run. After the
# others it has answered, or it has not received the request.
_UNFINISHED_OUTCOMES = states.BROKEN_OUTCOMES | {states.Outcome.CANCELLED}


# Share of all nodes above which only one side of a cut can be.
_MAJORITY_SHARE = 0.5
# Ends of a part from which on all nodes are told that it is sound.
_WIDELY_PROVED_ENDS = 2


class _RemoteLoad(msgspec.Struct, frozen=True):
    """Wait of a group, as received in a heartbeat.

    Attributes:
        wait: Expected wait in seconds.
        received_at: Time of the heartbeat in seconds.
        is_direct: Whether a node of the group's data centre sent it; otherwise
            a delegate passed it on.
    """

    wait: float
    received_at: float
    is_direct: bool


class NodeScheduler:
    """Combines the decisions of one node's holder and group owners.

    Methods return effects in the order in which the driver must carry them
    out. A `Send` to the node itself is looped back by the driver.

    Attributes:
        node: Name of this node.
        data_centre: Data centre of the node, or a cell of several.
        leaving: Whether the node is shutting down.
        location: Data centre of the node if `data_centre` is a cell.
        registration_seconds: Longest time that a new owner waits for the
            `Register` messages of holders.
        serves_while_leaving: Whether requests are taken during a shutdown.
        endpoints_age: Returns the seconds since the endpoint directory was
            known to be current, infinite if unknown.
    """

    def __init__(
        self,
        node: ids.NodeId,
        data_centre: ids.DataCentre,
        members: membership.Membership,
        seed: int,
    ):
        self.node = node
        self.data_centre = data_centre
        self.leaving = False
        self.location = data_centre
        self.registration_seconds = grants.REGISTRATION_SECONDS
        self.serves_while_leaving = False
        self._membership = members
        self._configuration: declarations.Configuration | None = None
        self._holder = holders.Holder(
            node,
            self._owner,
            lambda endpoint: self._is_open(endpoint),
            lambda work: self._home_group(work.service),
            seed,
        )
        self._holder.fallback = self._choose_from_share
        self._holder.version_of = self._version_of
        self._holder.members_of = self._members_of
        self._attempt_budget: tuple[float, float, float] | None = None
        self._quota_tolerance = quotas.NO_TOLERANCE
        self._fallback_quotas = quotas.QuotaLedger()
        self._attempt_slack = retries.AttemptBudget().slack
        # Repeated attempts from this node's own share, by service.
        self._fallback_budgets: dict[
            ids.ServiceName, retries.AttemptBudget
        ] = {}
        self._owned: dict[ids.GroupId, grants.GroupOwner] = {}
        self._owners: dict[ids.GroupId, ids.NodeId | None] = {}
        self._reachable: set[ids.NodeId] = set()
        self._local_nodes: set[ids.NodeId] = {node}
        self._quarantine = quarantine.Quarantine()
        self._end_reports = end_reports.EndReports(
            self._quarantine.ends, seed, self._quarantine.parts
        )
        self._origins = stream_origins.StreamOrigins(node)
        self.endpoints_age: Callable[[float], float] = lambda now: 0.0
        self._limits = request_limits.RequestLimits(node, seed)
        self._holder.ended_before = self._ended_before
        self._last_tick: float | None = None
        self._home_prefix_selector = prefixes.HomePrefixSelector()
        # `Ask` and `Register` messages for groups that this node does not own
        # yet, with the time and the sender.
        self._early_messages: collections.deque[
            tuple[float, ids.NodeId, messages.Ask | messages.Register]
        ] = collections.deque(maxlen=_MAX_EARLY_MESSAGES)
        self._drained: set[ids.EndpointId] = set()
        self._leaving_endpoints = leaving.LeavingEndpoints()
        self._drain_repeats: dict[ids.EndpointId, tuple[int, float]] = {}
        self._remote_loads: dict[ids.GroupId, _RemoteLoad] = {}

    def set_attempt_budget(
        self, ratio: float, slack: float, window_seconds: float
    ) -> None:
        """Limits the repeated attempts of each group that is owned here.

        Args:
            ratio: Repeated attempts allowed for each first attempt.
            slack: Repeated attempts that are always allowed.
            window_seconds: Window in which they are counted.
        """
        self._attempt_budget = (ratio, slack, window_seconds)
        self._attempt_slack = slack
        self._fallback_budgets.clear()

    def set_quota_tolerance(self, tolerance: quotas.Tolerance) -> None:
        """Sets by how much quotas may be exceeded when owners change."""
        self._quota_tolerance = tolerance

    # Callers.

    def submit(self, work: effects.Work, now: float) -> list[effects.Effect]:
        """Accepts or refuses a caller's request."""
        refusal = self._immediate_refusal(work, now)
        if refusal is not None:
            return [refusal]
        if work.resumes is not None:
            return self._take_up(work, now)
        return self._submit(work, now)

    def _submit(self, work: effects.Work, now: float) -> list[effects.Effect]:
        group = self._prefix_group(work) or self._home_group(work.service)
        if group is None:
            return [_refuse(work, errors.ErrorKind.NO_ENDPOINT, 1.0)]
        self._record_first_attempt(work.service, now)
        route = self._configuration.routes.get(work.route)
        deadline = math.inf if work.deadline is None else work.deadline
        if route is not None:
            deadline = min(deadline, now + route.timeout_seconds)
        return self._holder.submit(work, group, deadline, now)

    def _take_up(self, work: effects.Work, now: float) -> list[effects.Effect]:
        """Submits a request that takes up a stream.

        Other nodes are asked first if this one does not know which version
        began the stream.
        """
        origin = self._origins.find(work.resumes, now)
        if origin is not None:
            conclusion = stream_origins.Conclusion(work, origin, True)
            return self._submit_at_origin(conclusion, now)
        version = self._origins.history.only_version(work.service, now)
        if version is not None:
            origin = stream_origins.Origin(work.service, version)
            conclusion = stream_origins.Conclusion(work, origin)
            return self._submit_at_origin(conclusion, now)
        peers = self._membership.reachable()
        asks = self._origins.look_up(work, peers, now)
        return asks or [_stream_unknown(work)]

    def _submit_at_origin(
        self, conclusion: stream_origins.Conclusion | None, now: float
    ) -> list[effects.Effect]:
        """Submits a request for the version that began its stream."""
        if conclusion is None:
            return []
        work = conclusion.work
        origin = conclusion.origin
        if origin is None:
            return [_stream_unknown(work)]
        if origin.service != work.service:
            route = self._configuration.routes.get(work.route)
            if route is None or origin.service not in route.services():
                return [_refuse(work, errors.ErrorKind.VERSION_GONE, 0.0)]
        # Without a record it may not have begun, and gets no precedence.
        tier = (
            held_requests.RESUMED_RANK if conclusion.is_recorded else work.tier
        )
        bound = msgspec.structs.replace(
            work, service=origin.service, version=origin.version, tier=tier
        )
        return self._submit(bound, now)

    def ask_backup(
        self, request: ids.RequestId, backup: ids.RequestId, now: float
    ) -> list[effects.Effect]:
        """Asks for another endpoint while a silent one runs a request.

        The request counts as ended once `finished` is called for it with
        `superseded`; the other endpoint runs it as `backup` then.

        Returns:
            Effects to carry out; none if the request may not run again.
        """
        return self._holder.ask_backup(request, backup, now)

    def start_dispatch(self, request: ids.RequestId, now: float) -> bool:
        """Permits a dispatch; called immediately before the first byte.

        Returns:
            Whether the driver may write. If not, the next tick asks for
            another grant or refuses the request.
        """
        return self._holder.start_dispatch(request, now)

    def first_token(
        self, request: ids.RequestId, now: float
    ) -> list[effects.Effect]:
        """Records the first token of a request's answer."""
        emitted = self._holder.first_token(request, now)
        held = self._holder.held.get(request)
        if (
            held is not None
            and held.work.stream is not None
            and held.version is not None
        ):
            origin = stream_origins.Origin(held.work.service, held.version)
            self._origins.began(held.work.stream, origin, now)
            emitted += self._report_streams(now)
        return emitted

    def _report_streams(self, now: float) -> list[effects.Effect]:
        return self._origins.reports(self._membership.reachable(), now)

    def progress(
        self, request: ids.RequestId, tokens: int, now: float
    ) -> list[effects.Effect]:
        """Records the output tokens of a request so far."""
        emitted = self._holder.progress(request, tokens, now)
        held = self._holder.held.get(request)
        if held is None or not self._quarantine.parts.counts:
            return emitted
        if held.written_seconds() >= part_ends.PROOF_SECONDS:
            emitted += self._prove_parts(held, now)
        return emitted

    def finished(
        self,
        request: ids.RequestId,
        outcome: states.Outcome,
        now: float,
        *,
        computed_tokens: int = -1,
        output_tokens: int = 0,
        succeeded: bool = True,
        superseded: bool = False,
    ) -> list[effects.Effect]:
        """Ends an attempt.

        After `NOT_SENT`, and if `may_repeat` is true for the outcome, the
        request waits for another grant, and a `Dispatch` or a `Refuse` follows.
        Otherwise the request has ended.

        Args:
            request: Request that was dispatched.
            outcome: How the attempt ended.
            now: Current time in seconds.
            computed_tokens: Prompt tokens that the endpoint computed, or -1.
            output_tokens: Output tokens received.
            succeeded: Whether a completed answer reports success.
            superseded: Whether the request goes on under another identifier;
                see `ask_backup`.

        Returns:
            Effects to carry out.
        """
        emitted = self._record_content_outcome(request, outcome, succeeded, now)
        return emitted + self._holder.finished(
            request,
            outcome,
            now,
            computed_tokens,
            output_tokens,
            succeeded,
            superseded,
        )

    def _record_content_outcome(
        self,
        request: ids.RequestId,
        outcome: states.Outcome,
        succeeded: bool,
        now: float,
    ) -> list[effects.Effect]:
        """Clears what a run has proved sound, or keeps the unfinished run."""
        held = self._holder.held.get(request)
        if held is None:
            return []
        content = held.work.content
        # An endpoint may report a failure without having begun the run.
        succeeded = succeeded and outcome is states.Outcome.COMPLETED
        was_written = held.written_seconds() >= part_ends.PROOF_SECONDS
        emitted: list[effects.Effect] = []
        if succeeded or was_written:
            emitted += self._prove_parts(held, now)
        if succeeded and content in self._quarantine.ends:
            self._quarantine.ends.clear(content, now)
            emitted += self._broadcast(messages.Cleared(content))
        if outcome not in _UNFINISHED_OUTCOMES:
            return emitted
        parts = () if was_written else held.work.parts
        run = unfinished.UnfinishedRun(content, held.dispatched_at, now, parts)
        reports = self._end_reports.add_unfinished(held.endpoint, run, now)
        return emitted + self._send_reports(reports, now)

    def _prove_parts(
        self, held: held_requests.Held, now: float
    ) -> list[effects.Effect]:
        """Records that the parts of a request's prompt end no endpoint.

        All nodes are told of a part that may soon be refused; of others only
        the owner, since most nodes see a proof of their own.
        """
        dropped = self._quarantine.parts.prove(held.work.parts, now)
        if not dropped:
            return []
        message = messages.PartsProved(tuple(dropped))
        if max(dropped.values()) >= _WIDELY_PROVED_ENDS:
            return self._broadcast(message)
        if held.owner in (None, self.node):
            return []
        return [effects.Send(held.owner, message)]

    def _ended_before(self, work: effects.Work, at: float) -> bool:
        return self._quarantine.ends.ended_before(
            work.content, at
        ) or self._quarantine.parts.suspected_before(work.parts, at)

    def endpoint_ended(
        self, endpoint: ids.EndpointId, now: float, *, certain: bool = True
    ) -> list[effects.Effect]:
        """Records that an endpoint has ended.

        Args:
            endpoint: Endpoint that ended.
            now: Current time in seconds.
            certain: False if the endpoint may only be cut off.
        """
        return self._send_reports(
            self._end_reports.endpoint_ended(endpoint, certain, now), now
        )

    def _send_reports(
        self, reports: list[messages.EndedContents], now: float
    ) -> list[effects.Effect]:
        emitted = []
        for report in reports:
            emitted += self._broadcast(report)
            contents = [item.content for item in report.ends]
            parts = [item.part for item in report.parts]
            emitted += self._refuse_quarantined(contents, parts, now)
        return emitted

    def _refuse_quarantined(
        self,
        contents: Iterable[ids.ContentDigest],
        parts: Iterable[ids.PartDigest],
        now: float,
    ) -> list[effects.Effect]:
        """Refuses waiting requests whose content or part is quarantined."""
        refused = tuple(
            content
            for content in contents
            if self._quarantine.status(content, now)
            is quarantine.ContentStatus.CONFIRMED
        )
        if not refused and not self._quarantine.parts.refused_for(parts, now):
            return []
        emitted = self._holder.refuse_quarantined(
            lambda work: self._quarantine.refused_for(
                work.content, work.parts, now
            )
        )
        for owner in self._owned.values():
            emitted += owner.contents_changed(refused, now)
        return emitted

    def limit_observed(
        self,
        endpoint: ids.EndpointId,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> list[effects.Effect]:
        """Records the request limit that an endpoint's answer names.

        Args:
            endpoint: Endpoint that answered.
            rate: Requests a second that it takes from all nodes together, or
                None if the answer names no limit.
            sent_at: Time at which its request was sent, in seconds.
            now: Current time in seconds.
        """
        was_limited = self._limits.rate(endpoint) is not None
        if not self._limits.observe(endpoint, rate, sent_at, now):
            return []
        emitted = self._limits_changed(now)
        report = self._limits.report([endpoint], now)
        if was_limited is not (rate is not None):
            return emitted + self._broadcast(report)
        owner = self._endpoint_owner(endpoint)
        if owner not in (None, self.node):
            emitted.append(effects.Send(owner, report))
        return emitted

    def pause_observed(
        self, endpoint: ids.EndpointId, seconds: float, now: float
    ) -> bool:
        """Records that an endpoint wants nothing from this node for a while.

        Returns:
            Whether it had not said so before.
        """
        return self._holder.pauses.observe(endpoint, seconds, now)

    def leaving_observed(
        self, endpoint: ids.EndpointId, now: float
    ) -> list[effects.Effect]:
        """Records that an endpoint's answer says that it is leaving."""
        if not self._leaving_endpoints.add(endpoint, now):
            return []
        self._update_endpoints()
        return self._broadcast(messages.EndpointsLeaving((endpoint,)))

    def _limits_changed(self, now: float) -> list[effects.Effect]:
        emitted = []
        for owner in self._owned.values():
            emitted += owner.limits_changed(now)
        return emitted

    def _endpoint_owner(self, endpoint: ids.EndpointId) -> ids.NodeId | None:
        """Returns the owner of an endpoint's group, or None if unknown."""
        declared = self._configuration.endpoints.get(endpoint)
        if declared is None:
            return None
        return self._owner(ids.group_id(declared.service, declared.data_centre))

    def may_repeat(
        self, request: ids.RequestId, outcome: states.Outcome
    ) -> bool:
        """Returns whether `finished` would try another endpoint."""
        return self._holder.may_repeat(request, outcome)

    def claim_decided(
        self,
        request: ids.RequestId,
        won: bool,
        now: float,
        *,
        kind: errors.ErrorKind | None = None,
        retry_after: float | None = None,
    ) -> list[effects.Effect]:
        """Dispatches a request whose claim won, or refuses it by `kind`."""
        return self._holder.claim_decided(request, won, now, kind, retry_after)

    def cancel(
        self, request: ids.RequestId, now: float
    ) -> list[effects.Effect]:
        """Drops a request that is not dispatched, because its caller left.

        The driver cancels a dispatched request at the endpoint and calls
        `finished` with `CANCELLED`.
        """
        if self._origins.cancel(request) is not None:
            return []
        return self._holder.cancel(request, now)

    # Messages and membership.

    def receive(
        self, sender: ids.NodeId, message: messages.AnyMessage, now: float
    ) -> list[effects.Effect]:
        """Handles a message from a node; ignores unknown types."""
        self._reset_after_pause(now)
        match message:
            case messages.Ask():
                emitted = self._handle_ask(message, sender, now)
            case messages.Grant():
                emitted = self._holder.granted(message, sender, now)
            case messages.Refusal():
                emitted = self._holder.refused(
                    message,
                    sender,
                    lambda held: self._spill_group(held, now),
                    now,
                )
            case messages.Queued():
                self._holder.queued(message.request, sender)
                emitted = []
            case messages.Reminder():
                emitted = self._handle_reminder(message, sender, now)
            case messages.Forgotten():
                emitted = self._holder.forgotten(message.request, sender, now)
            case messages.Withdraw():
                emitted = self._handle_withdraw(message, sender, now)
            case messages.Progress() | messages.Release():
                emitted = self._handle_report(message, sender, now)
            case messages.Register():
                emitted = self._handle_register(message, sender, now)
            case messages.Heartbeat():
                self._handle_loads(message, sender, now)
                emitted = []
            case messages.Suspect():
                emitted = self._handle_suspect(message, now)
            case messages.Cleared():
                emitted = self._handle_cleared(message.content, now)
            case messages.EndedContents():
                emitted = self._handle_ended_contents(message, sender, now)
            case messages.PartsProved():
                self._quarantine.parts.prove(message.parts, now)
                emitted = []
            case messages.EndpointLimits():
                emitted = []
                if self._limits.receive(message, sender, now):
                    emitted = self._limits_changed(now)
            case messages.EndpointsLeaving():
                for endpoint in message.endpoints:
                    self._leaving_endpoints.add(endpoint, now)
                self._update_endpoints()
                emitted = []
            case messages.EndpointPaused():
                self.pause_observed(message.endpoint, message.ms / 1000, now)
                emitted = []
            case messages.StreamsBegan():
                self._origins.receive(message, now)
                emitted = []
            case messages.StreamAsk():
                answer = self._origins.answer(message, now)
                emitted = [effects.Send(sender, answer)]
            case messages.StreamAnswer():
                emitted = self._submit_at_origin(
                    self._origins.answered(message, sender, now), now
                )
            case messages.DrainEndpoint():
                self._set_drained(message.endpoint, message.drain)
                emitted = []
            case _:
                emitted = []
        return emitted + self._broadcast_notices()

    def members_changed(self, now: float) -> list[effects.Effect]:
        """Applies a change of membership or of the VMs of endpoints.

        Marks holders that became unreachable as lost, updates the owners of
        groups, and opens or closes endpoints.
        """
        self._local_nodes = {
            *self._membership.live(self.data_centre),
            self.node,
        }
        reachable = self._local_nodes | set(self._membership.reachable())
        lost = self._reachable - reachable
        emitted = self.send_state(reachable - self._reachable, now)
        if reachable != self._reachable:
            emitted += self.resend_streams(now)
        self._reachable = reachable
        for owner in self._owned.values():
            for holder in lost:
                owner.holder_lost(holder, now)
        emitted += self._update_owners(now)
        self._update_endpoints()
        return emitted + self._tick_owned_groups(now)

    def node_restarted(
        self, node: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Drops a restarted node's requests and asks it again for grants.

        The node has lost the requests that it held and the queues that it
        owned. Must be called before the first message of the new incarnation.
        """
        for owner in self._owned.values():
            owner.holder_lost(node, now)
        return [
            *self.send_state({node}, now),
            *self.resend_streams(now),
            *self._holder.owner_restarted(node, now),
            *self._tick_owned_groups(now),
        ]

    def send_state(
        self, nodes: set[ids.NodeId], now: float
    ) -> list[effects.Effect]:
        """Sends ends of endpoints and their limits to nodes that lack them."""
        others = sorted(nodes - {self.node})
        if not others:
            return []
        reports = [
            *self._end_reports.state(now),
            *self._limits.state(now),
            *self._leaving_endpoints.state(),
        ]
        return [effects.Send(to, r) for to in others for r in reports]

    def resend_streams(self, now: float) -> list[effects.Effect]:
        """Reports running streams again, since nodes have come or gone."""
        self._origins.resend(
            held.work.stream
            for held in self._holder.held.values()
            if held.work.stream is not None
        )
        return self._report_streams(now)

    def leave(self, now: float) -> list[effects.Effect]:
        """Starts a graceful shutdown: gives up ownership and new requests."""
        self.leaving = True
        heartbeat = messages.Heartbeat(True, -1)
        emitted: list[effects.Effect] = [
            effects.Send(node, heartbeat)
            for node in self._membership.reachable()
            if node != self.node
        ]
        return emitted + self.members_changed(now)

    # Operators, endpoints and timers.

    def configure(
        self, configuration: declarations.Configuration, now: float
    ) -> list[effects.Effect]:
        """Applies a configuration."""
        self._configuration = configuration
        self._quarantine.ends.endpoints_listed(configuration.endpoints)
        self._quarantine.parts.counts.endpoints_listed(configuration.endpoints)
        self._limits.endpoints_declared(configuration.endpoints, now)
        self._origins.history.configure(configuration, now)
        self._fallback_quotas.configure(configuration.workspaces, now)
        for owner in self._owned.values():
            owner.configure(configuration, now)
        return self.members_changed(now)

    def load_report(
        self,
        endpoint: ids.EndpointId,
        running: int,
        waiting: int,
        tokens: int,
        as_of: float,
        now: float,
    ) -> list[effects.Effect]:
        """Corrects an owned endpoint's request count by its load report."""
        emitted = []
        for owner in self._owned.values():
            emitted += owner.load_report(
                endpoint, running + waiting, as_of, now
            )
        return emitted

    def cache_event(
        self,
        endpoint: ids.EndpointId,
        kind: str,
        digest: ids.PrefixDigest,
        tokens: int,
        now: float,
    ) -> list[effects.Effect]:
        """Records a change of a prefix cache; `kind` "stored" or "evicted"."""
        for owner in self._owned.values():
            owner.cache_event(endpoint, kind, digest, tokens)
        return []

    def drain_endpoint(
        self, endpoint: ids.EndpointId, drain: bool, now: float
    ) -> list[effects.Effect]:
        """Starts or ends the drain of an endpoint on all nodes."""
        self._set_drained(endpoint, drain)
        self._drain_repeats[endpoint] = (
            _DRAIN_REPEATS,
            now + _DRAIN_REPEAT_SECONDS,
        )
        return self._broadcast(messages.DrainEndpoint(endpoint, drain)) + (
            self._tick_owned_groups(now)
        )

    def tick(self, now: float) -> list[effects.Effect]:
        """Runs the timed work; called several times a second."""
        self._reset_after_pause(now)
        self._update_shares(now)
        self._last_tick = now
        self._update_endpoints()
        emitted = self._holder.tick(
            now, lambda held: self._move_target(held, now)
        )
        if self._configuration is not None:
            services = self._configuration.services.keys()
            emitted += self._holder.refuse_undeclared(services)
        emitted += self._tick_owned_groups(now)
        for endpoint, (left, due) in list(self._drain_repeats.items()):
            if now < due:
                continue
            drained = endpoint in self._drained
            emitted += self._broadcast(
                messages.DrainEndpoint(endpoint, drained)
            )
            self._drain_repeats[endpoint] = (
                left - 1,
                now + _DRAIN_REPEAT_SECONDS,
            )
            if left <= 1:
                del self._drain_repeats[endpoint]
        emitted += self._tick_streams(now)
        peers = self._reachable - {self.node}
        emitted += self._end_reports.repeats(peers, now)
        if self._configuration is not None:
            self._leaving_endpoints.expire(self._configuration.endpoints, now)
            emitted += self._limits.repeats(peers, self._endpoint_owner, now)
        return emitted + self._broadcast_notices()

    def _tick_streams(self, now: float) -> list[effects.Effect]:
        self._origins.history.check_age(self.endpoints_age(now), now)
        self._origins.expire(now)
        emitted = []
        for conclusion in self._origins.overdue(now):
            emitted += self._submit_at_origin(conclusion, now)
        return emitted + self._report_streams(now)

    # Queries.

    def takes_work(self, endpoint: ids.EndpointId, now: float) -> bool:
        """Returns whether an endpoint takes new work from this node now.

        It does not while it is drained or leaving, or during a pause that it
        has asked this node for.
        """
        return (
            self._is_open(endpoint)
            and self._holder.pauses.seconds_left(endpoint, now) == 0.0
        )

    def versions(self) -> stream_origins.VersionHistory:
        """Returns the versions of endpoints that were listed recently."""
        return self._origins.history

    def stream_records(self) -> int:
        """Returns the number of recent streams whose version is kept here."""
        return len(self._origins)

    def unfinished_contents(
        self, endpoint: ids.EndpointId, now: float
    ) -> tuple[ids.ContentDigest, ...]:
        """Returns the contents of recent unfinished runs at an endpoint."""
        return self._end_reports.unfinished_contents(endpoint, now)

    def unfinished_parts(
        self, endpoint: ids.EndpointId, now: float
    ) -> tuple[ids.PartDigest, ...]:
        """Returns the parts of recent unfinished runs at an endpoint."""
        return self._end_reports.unfinished_parts(endpoint, now)

    def counted_contents(
        self, at_least: int, now: float
    ) -> dict[ids.ContentDigest, tuple[end_counts.End, ...]]:
        """Returns the ends of contents that have at least that many."""
        ends = self._quarantine.ends
        return {
            content: ends.ends(content, now)
            for content in ends.counted(at_least, now)
        }

    def has_ended_endpoints(self, content: ids.ContentDigest) -> bool:
        """Returns whether endpoints ended under a content."""
        return content in self._quarantine.ends

    def request_limits(self) -> dict[ids.EndpointId, request_limits.Limit]:
        """Returns the limits that existing endpoints name."""
        limited = self._limits.limited()
        return {
            endpoint: limit
            for endpoint, limit in limited.items()
            if self._is_declared(endpoint)
        }

    def content_end_counts(self, now: float) -> dict[ids.ContentDigest, int]:
        """Returns the number of counted ends by content."""
        return self._quarantine.ends.counted(1, now)

    def part_end_counts(self, now: float) -> dict[ids.PartDigest, int]:
        """Returns the number of counted ends by part of prompts."""
        return self._quarantine.parts.counts.counted(1, now)

    def counted_parts(
        self, at_least: int, now: float
    ) -> dict[ids.PartDigest, tuple[end_counts.End, ...]]:
        """Returns the ends of parts that have at least that many."""
        ends = self._quarantine.parts.counts
        return {
            part: ends.ends(part, now) for part in ends.counted(at_least, now)
        }

    def part_has_ended_endpoints(self, part: ids.PartDigest) -> bool:
        """Returns whether endpoints ended under a part that is not proved."""
        return part in self._quarantine.parts.counts

    def is_part_refused(self, part: ids.PartDigest, now: float) -> bool:
        """Returns whether requests with a part are refused."""
        return self._quarantine.parts.refused_for((part,), now) > 0.0

    def held_requests(self) -> int:
        """Returns the number of requests that have not ended here."""
        return len(self._holder.held) + self._origins.waiting()

    def state(self, request: ids.RequestId) -> states.RequestState | None:
        """Returns the state of a request, or None if it is not held."""
        held = self._holder.held.get(request)
        return held.state if held else None

    def local_groups(self) -> frozenset[ids.GroupId]:
        """Returns the groups of endpoints in this node's data centre."""
        if self._configuration is None:
            return frozenset()
        return frozenset(
            ids.group_id(endpoint.service, endpoint.data_centre)
            for endpoint in self._configuration.endpoints.values()
            if endpoint.data_centre == self.data_centre
        )

    def owned_groups(self) -> list[ids.GroupId]:
        """Returns the groups that this node owns."""
        return list(self._owned)

    def owned_group(self, group: ids.GroupId) -> grants.GroupOwner:
        """Returns the state of an owned group, for queries only.

        Raises:
            KeyError: This node does not own the group.
        """
        return self._owned[group]

    def owned_endpoints(self) -> list[ids.EndpointId]:
        """Returns the endpoints of all owned groups."""
        return [
            endpoint
            for owner in self._owned.values()
            for endpoint in owner.endpoints()
        ]

    def queue_length(self) -> int:
        """Returns the requests that wait in the owned groups."""
        return sum(owner.queue_length() for owner in self._owned.values())

    def decision_inputs(
        self, request: ids.RequestId, now: float
    ) -> dict[str, int]:
        """Returns the inputs of an owner's decision about a request.

        Returns:
            Waiting requests, occupied and usable slots and the predicted
            wait of the group that decided; empty if no owned group did.
        """
        for owner in self._owned.values():
            if owner.has_decided(request):
                return owner.decision_inputs(request, now)
        return {}

    def attempt_budgets(self, now: float) -> dict[ids.GroupId, float]:
        """Returns the repeated attempts that owned groups may still make."""
        return {
            group: owner.budget.remaining(now)
            for group, owner in self._owned.items()
        }

    def quota_levels(self) -> dict[ids.Workspace, float]:
        """Returns the remaining quota by workspace, the least of all groups."""
        levels: dict[ids.Workspace, float] = {}
        for owner in self._owned.values():
            for name in self._configuration.workspaces:
                level = owner.quotas.level(fairness.workspace_hash(name))
                if level is not None:
                    levels[name] = min(level, levels.get(name, math.inf))
        return levels

    def queued_by_tier(self, group: ids.GroupId) -> dict[int, int]:
        """Returns the requests that wait in an owned group, by tier rank."""
        owner = self._owned.get(group)
        return owner.queued_by_tier() if owner else {}

    def outstanding(self) -> dict[ids.EndpointId, tuple[int, int]]:
        """Returns granted requests and tokens of the owned endpoints."""
        return {
            endpoint: counts
            for owner in self._owned.values()
            for endpoint, counts in owner.outstanding().items()
        }

    def model(self, endpoint: ids.EndpointId) -> capacity.EndpointModel | None:
        """Returns an owned endpoint's estimated load and rates, or None."""
        for owner in self._owned.values():
            if endpoint in owner.endpoints():
                return owner.model(endpoint)
        return None

    def leaving_endpoints(self) -> tuple[ids.EndpointId, ...]:
        """Returns the endpoints whose answers say that they are leaving."""
        return self._leaving_endpoints.endpoints()

    def drained(self) -> frozenset[ids.EndpointId]:
        """Returns the endpoints that operators have drained."""
        return frozenset(self._drained)

    def loads(
        self, now: float, peer: ids.NodeId
    ) -> tuple[messages.ServiceLoad, ...]:
        """Returns the waits of groups for a heartbeat to a peer.

        They are the waits of the owned groups, and those that this node
        received from the group's own data centre and the peer did not: waits
        of this data centre for peers in others, and waits of other data
        centres for peers in this one. The two delegates of each data centre
        thus inform all nodes.
        """
        waits = {group: owner.wait(now) for group, owner in self._owned.items()}
        same_centre = peer in self._membership.live(self.data_centre)
        for group, load in self._remote_loads.items():
            if (
                load.is_direct
                and now - load.received_at <= _MAX_LOAD_AGE_SECONDS
                and self._is_local(group) != same_centre
            ):
                waits.setdefault(group, load.wait)
        return tuple(
            messages.ServiceLoad(group, round(wait * 1000))
            for group, wait in waits.items()
        )

    # Helpers.

    def _immediate_refusal(
        self, work: effects.Work, now: float
    ) -> effects.Effect | None:
        if self._configuration is None:
            return _refuse(work, errors.ErrorKind.NOT_READY, 1.0)
        if self.leaving and not self.serves_while_leaving:
            return _refuse(
                work,
                errors.ErrorKind.SHUTTING_DOWN,
                _SHUTDOWN_RETRY_SECONDS,
            )
        seconds = self._quarantine.refused_for(work.content, work.parts, now)
        if seconds is not None:
            return _refuse(work, errors.ErrorKind.QUARANTINED, seconds)
        if work.deadline is not None and work.deadline <= now:
            return _refuse(work, errors.ErrorKind.DEADLINE_PASSED, 1.0)
        return None

    def _prefix_group(self, work: effects.Work) -> ids.GroupId | None:
        """Returns the group that a long prefix is assigned to, or None.

        Otherwise each data centre would compute and cache every long prefix,
        and all caches together would hold fewer different ones.
        """
        digest = self._home_prefix_selector.choose(work.prefixes)
        if digest is None:
            return None
        weights: dict[ids.GroupId, float] = collections.defaultdict(float)
        for name, endpoint in self._configuration.endpoints.items():
            if endpoint.service != work.service or name in self._drained:
                continue
            group = ids.group_id(work.service, endpoint.data_centre)
            weights[group] += (
                endpoint.max_requests * endpoint.decode_tokens_per_second
            )
        reachable = {
            group: weight
            for group, weight in weights.items()
            if self._owner(group) is not None
        }
        return rendezvous.weighted_owner(str(digest), reachable)

    def _home_group(self, service: ids.ServiceName) -> ids.GroupId | None:
        """Returns the local group, or else the one with the shortest wait."""
        centres = {
            endpoint.data_centre
            for endpoint in self._configuration.endpoints.values()
            if endpoint.service == service
        }
        if not centres:
            return None
        if self.data_centre in centres:
            return ids.group_id(service, self.data_centre)
        groups = sorted(ids.group_id(service, centre) for centre in centres)
        return min(
            groups,
            key=lambda group: (
                self._remote_loads[group].wait
                if group in self._remote_loads
                else math.inf
            ),
        )

    def _spill_group(
        self, held: held_requests.Held, now: float
    ) -> ids.GroupId | None:
        """Returns a group of another data centre that would finish in time."""
        group = self._spill_target(held, now)
        if group is not None:
            self._add_spill_to_wait(held, group)
        return group

    def _spill_target(
        self, held: held_requests.Held, now: float
    ) -> ids.GroupId | None:
        best = None
        best_wait = math.inf
        for group, load in self._remote_loads.items():
            service, _, _ = group.partition("@")
            if service != held.work.service or group == held.group:
                continue
            if (
                now - load.received_at > _MAX_LOAD_AGE_SECONDS
                or load.wait >= best_wait
            ):
                continue
            if self._owner(group) is None:
                continue
            best = group
            best_wait = load.wait
        if best is None:
            return None
        seconds = self._service_seconds(held.work, best)
        wait = _SPILL_WAIT_FACTOR * best_wait + _SPILL_MARGIN_SECONDS
        if now + wait + seconds >= held.deadline:
            return None
        return best

    def _add_spill_to_wait(
        self, held: held_requests.Held, group: ids.GroupId
    ) -> None:
        """Adds a request to the wait of the group that it moves to.

        This keeps later requests from all choosing the same group. The next
        heartbeat replaces the estimate.
        """
        load = self._remote_loads[group]
        slots = sum(
            endpoint.max_requests
            for endpoint in self._configuration.group_endpoints(group).values()
        )
        seconds = self._service_seconds(held.work, group)
        wait = load.wait + max(seconds, _MIN_SLOT_SECONDS) / max(1, slots)
        self._remote_loads[group] = msgspec.structs.replace(load, wait=wait)

    def _move_target(
        self, held: held_requests.Held, now: float
    ) -> ids.GroupId | None:
        """Returns a group of another data centre to move to, or None.

        A request that waits in another data centre for a cached prefix returns
        to the local group. Others move to a group with a much shorter wait.
        """
        local = self._home_group(held.work.service)
        if local != held.group:
            return local
        owner = self._owned.get(held.group)
        group_load = self._remote_loads.get(held.group)
        if owner is not None:
            own_wait = owner.wait(now)
        elif group_load is not None:
            own_wait = group_load.wait
        else:
            return None
        group = self._spill_target(held, now)
        if group is None:
            return None
        other_wait = self._remote_loads[group].wait
        if self._is_top_tier(held.work):
            # Waits are predicted for the lowest tier, and the highest tier is
            # served before it, so they are not compared.
            self._add_spill_to_wait(held, group)
            return group
        if (
            other_wait > own_wait / 2
            or other_wait > own_wait - _MIN_MOVE_GAIN_SECONDS
        ):
            return None
        self._add_spill_to_wait(held, group)
        return group

    def _is_top_tier(self, work: effects.Work) -> bool:
        """Returns whether a request has the highest of several tiers."""
        ranks = {
            self._configuration.tier_rank(route)
            for route in self._configuration.routes.values()
            if route.service == work.service
        }
        return len(ranks) > 1 and work.tier == min(ranks)

    def _service_seconds(self, work: effects.Work, group: ids.GroupId) -> float:
        """Estimates a request's time in a slot from the declared rates."""
        endpoints = self._configuration.group_endpoints(group).values()
        service = self._configuration.services.get(work.service)
        if service is None or service.kind == "plain":
            return 0.0
        return min(
            (
                work.prompt_tokens / endpoint.prefill_tokens_per_second
                + work.output_tokens / endpoint.decode_tokens_per_second
                for endpoint in endpoints
            ),
            default=math.inf,
        )

    def _owner(self, group: ids.GroupId) -> ids.NodeId | None:
        owner = self._membership.owner(group)
        if owner != self.node or not self.leaving:
            return owner
        # Peers already count this node as leaving.
        others = set(self._membership.live(self.data_centre)) - {self.node}
        return rendezvous.owner(group, others) or self.node

    def _handle_ask(
        self, ask: messages.Ask, sender: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        owner = self._owned.get(ask.group)
        if owner is not None:
            return owner.ask(ask, sender, now)
        self._early_messages.append((now, sender, ask))
        return []

    def _handle_reminder(
        self, reminder: messages.Reminder, sender: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        owner = self._owned.get(reminder.group)
        if owner is not None:
            return owner.repeat_ask(reminder.request, sender, now)
        return [effects.Send(sender, messages.Forgotten(reminder.request))]

    def _handle_register(
        self, register: messages.Register, sender: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        owner = self._owned.get(register.group)
        if owner is not None:
            return owner.register(register, sender, now)
        self._early_messages.append((now, sender, register))
        return []

    def _replay_early_messages(
        self, group: ids.GroupId, now: float
    ) -> list[effects.Effect]:
        """Handles messages that arrived before this node owned the group."""
        emitted = []
        for received_at, sender, message in self._early_messages:
            if (
                message.group != group
                or now - received_at > _MAX_EARLY_AGE_SECONDS
            ):
                continue
            if isinstance(message, messages.Register):
                emitted += self._handle_register(message, sender, now)
            else:
                emitted += self._handle_ask(message, sender, now)
        return emitted

    def _handle_withdraw(
        self, message: messages.Withdraw, sender: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        emitted = []
        for owner in self._owned.values():
            emitted += owner.withdraw(message.request, sender, now)
        return emitted

    def _handle_report(
        self,
        message: messages.Progress | messages.Release,
        sender: ids.NodeId,
        now: float,
    ) -> list[effects.Effect]:
        owner = self._owned.get(message.group)
        if owner is None:
            return []
        if isinstance(message, messages.Progress):
            return owner.progress(message, sender, now)
        return owner.release(message, sender, now)

    def _handle_loads(
        self, message: messages.Heartbeat, sender: ids.NodeId, now: float
    ) -> None:
        same_centre = sender in self._membership.live(self.data_centre)
        centre = self.data_centre if same_centre else message.data_centre
        for load in message.loads:
            local = self._is_local(load.group)
            # Inside its own data centre a wait is accepted only from the owner:
            # nodes that pass it on to each other would keep it for ever.
            if local and self._owner(load.group) != sender:
                continue
            if load.group in self._owned:
                continue
            is_direct = load.group.endswith(f"@{centre}")
            if same_centre or is_direct:
                self._remote_loads[load.group] = _RemoteLoad(
                    load.wait_ms / 1000, now, is_direct
                )

    def _is_local(self, group: ids.GroupId) -> bool:
        return group.endswith(f"@{self.data_centre}")

    def _handle_suspect(
        self, message: messages.Suspect, now: float
    ) -> list[effects.Effect]:
        for content in message.contents:
            if message.alone:
                self._quarantine.confirm(content, now)
            else:
                self._quarantine.suspect(content, now)
        emitted = []
        for owner in self._owned.values():
            emitted += owner.contents_changed(message.contents, now)
        return emitted

    def _handle_ended_contents(
        self,
        report: messages.EndedContents,
        sender: ids.NodeId,
        now: float,
    ) -> list[effects.Effect]:
        news = self._end_reports.receive(report, self._is_declared, now)
        return [
            *self._correct_sender(report, sender, now),
            *self._refuse_quarantined(news.contents, news.parts, now),
            *self._send_reports(list(news.reports), now),
        ]

    def _correct_sender(
        self,
        report: messages.EndedContents,
        sender: ids.NodeId,
        now: float,
    ) -> list[effects.Effect]:
        """Tells a sender what it reports although it was cleared since."""
        if sender not in self._reachable:
            return []
        counts = self._quarantine.ends
        emitted: list[effects.Effect] = [
            effects.Send(sender, messages.Cleared(item.content))
            for item in report.ends
            if counts.is_cleared(item.content, now - item.ended_ms / 1000)
        ]
        part_counts = self._quarantine.parts.counts
        proved = tuple(
            item.part
            for item in report.parts
            if part_counts.is_cleared(item.part, now - item.ended_ms / 1000)
        )
        if proved:
            emitted.append(effects.Send(sender, messages.PartsProved(proved)))
        return emitted

    def _is_declared(self, endpoint: ids.EndpointId) -> bool:
        return (
            self._configuration is not None
            and endpoint in self._configuration.endpoints
        )

    def _handle_cleared(
        self, content: ids.ContentDigest, now: float
    ) -> list[effects.Effect]:
        self._quarantine.clear(content, now)
        self._quarantine.ends.clear(content, now)
        emitted = []
        for owner in self._owned.values():
            emitted += owner.contents_changed((content,), now)
        return emitted

    def _set_drained(self, endpoint: ids.EndpointId, drain: bool) -> None:
        if drain:
            self._drained.add(endpoint)
        else:
            self._drained.discard(endpoint)
        self._update_endpoints()

    def _update_owners(self, now: float) -> list[effects.Effect]:
        if self._configuration is None:
            return []
        groups = self.local_groups()
        for group in self._owned.keys() - groups:
            del self._owned[group]
        emitted = []
        for group in sorted(self._holder.groups() - groups):
            if self._owner(group) is None:
                emitted += self._holder.leave_unreachable_group(group, now)
        for group in sorted(groups | self._holder.groups()):
            owner = self._owner(group)
            if group in groups:
                owned_before = group in self._owned
                self._update_ownership(group, owner, now)
                if group in self._owned and not owned_before:
                    emitted += self._replay_early_messages(group, now)
            if owner != self._owners.get(group):
                self._owners[group] = owner
                emitted += self._holder.owner_changed(group, now)
        return emitted

    def _choose_from_share(
        self, held: held_requests.Held, now: float
    ) -> ids.EndpointId | None:
        """Returns an endpoint with a free slot in this node's share.

        While the owner is unresponsive, every node may use an equal part of
        the endpoints' slots, so that together they do not overload them.
        """
        if self._needs_owner(held, now):
            return None
        nodes = max(1, len(self._reachable))
        running = self._holder.running_counts()
        best: tuple[float, ids.EndpointId] | None = None
        members = {
            name: endpoint
            for name, endpoint in self._configuration.endpoints.items()
            if endpoint.service == held.work.service
        }
        for name in self._own_endpoints(held, members, nodes, now):
            endpoint = members[name]
            share_slots = max(1, math.ceil(endpoint.max_requests / nodes))
            if (used := running.get(name, 0)) >= share_slots:
                continue
            same_centre = endpoint.location == self.location
            rank = (used / share_slots, not same_centre, name)
            if best is None or rank < best:
                best = rank
        if best is None:
            return None
        if held.attempt > 1 or held.failures > 0:
            budget = self._fallback_budget(held.work.service)
            return best[-1] if budget.take(now) else None
        if held.charged:
            return best[-1]
        self._fallback_quotas.share = 1 / nodes
        workspace = fairness.workspace_hash(held.work.workspace)
        wait = self._fallback_quotas.take(workspace, held.work.cost, now)
        return best[-1] if wait is None else None

    def _own_endpoints(
        self,
        held: held_requests.Held,
        members: dict[ids.EndpointId, declarations.Endpoint],
        nodes: int,
        now: float,
    ) -> list[ids.EndpointId]:
        """Returns the endpoints of this node's share that may run a request.

        With more nodes than slots of an endpoint, each node has a share of
        some endpoints only, of those that it can use now.

        Args:
            held: The request.
            members: Endpoints of the service.
            nodes: Number of nodes that may use shares.
            now: Current time in seconds.
        """
        known = [endpoint.version for endpoint in members.values()]
        usable = [
            name
            for name, endpoint in members.items()
            if self._is_open(name)
            and name not in held.avoided
            and versions.may_go_on(held.version, endpoint.version, known)
            and self._holder.unreachable.get(name, 0.0) <= now
            and self._holder.pauses.seconds_left(name, now) <= 0.0
            # Only the owner knows what the other nodes have started there.
            and self._limits.rate(name) is None
        ]
        slots = sum(members[name].max_requests for name in usable)
        count = math.ceil(_SHARES_PER_SLOT * slots / nodes)
        if count >= len(usable):
            return usable
        return rendezvous.rank(self.node, usable)[:count]

    def _needs_owner(self, held: held_requests.Held, now: float) -> bool:
        """Returns whether only the owner may grant a request.

        It runs one request at a time of a content or part under which an
        endpoint has ended, and runs suspects alone.
        """
        content = held.work.content
        if held.attempt == 1 and (
            content in self._quarantine.ends
            or self._quarantine.parts.suspects(held.work.parts, now)
        ):
            return True
        status = self._quarantine.status(content, now)
        return status is not quarantine.ContentStatus.CLEAR

    def _fallback_budget(
        self, service: ids.ServiceName
    ) -> retries.AttemptBudget:
        """Returns the budget of repeated attempts from this node's share."""
        budget = self._fallback_budgets.get(service)
        if budget is None:
            budget = retries.AttemptBudget(*(self._attempt_budget or ()))
            budget.share = _OWN_SHARE_OF_BUDGET
            self._fallback_budgets[service] = budget
        return budget

    def _record_first_attempt(
        self, service: ids.ServiceName, now: float
    ) -> None:
        """Adds a request of this node to its budget of repeated attempts."""
        budget = self._fallback_budget(service)
        nodes = max(1, self._membership.node_count())
        budget.slack = self._attempt_slack / nodes
        budget.record_first(now)

    def _reset_after_pause(self, now: float) -> None:
        """Discards the queues and counts of owned groups after a pause."""
        last = self._last_tick
        if last is None or now - last <= _PAUSE_SECONDS:
            return
        self._last_tick = now
        for group in list(self._owned):
            self._take_ownership(group, now)

    def _update_shares(self, now: float) -> None:
        """Scales what owners may grant to the share of reachable nodes.

        That is quotas, attempt budgets and the limits of endpoints.
        """
        share = self._reachable_share()
        self._quarantine.parts.may_try = share > _MAJORITY_SHARE
        for owner in self._owned.values():
            owner.quotas.share = owner.budget.share = share
            owner.set_limit_share(share, now)

    def _reachable_share(self) -> float:
        reachable = max(1, len(self._reachable))
        return reachable / max(reachable, self._membership.node_count())

    def _take_ownership(self, group: ids.GroupId, now: float) -> None:
        taken = grants.GroupOwner(group, self._quarantine, now, self._limits)
        taken.set_limit_share(self._reachable_share(), now)
        if self._attempt_budget is not None:
            taken.budget = retries.AttemptBudget(*self._attempt_budget)
        taken.location_of = self._location_of
        taken.quotas = quotas.QuotaLedger(self._quota_tolerance)
        taken.configure(self._configuration, now)
        taken.await_registers(self._local_nodes, now, self.registration_seconds)
        self._owned[group] = taken
        self._update_endpoints()

    def _location_of(self, holder: ids.NodeId) -> ids.DataCentre:
        """Returns the data centre of a node of this cell, or empty."""
        if self.location == self.data_centre:
            return ids.DataCentre("")
        if holder == self.node:
            return self.location
        return self._membership.location(holder)

    def _update_ownership(
        self,
        group: ids.GroupId,
        owner: ids.NodeId | None,
        now: float,
    ) -> None:
        if owner != self.node:
            self._owned.pop(group, None)
            return
        if group in self._owned:
            return
        self._take_ownership(group, now)

    def _update_endpoints(self) -> None:
        if self._configuration is None:
            return
        for owner in self._owned.values():
            for endpoint in owner.endpoints():
                owner.set_open(endpoint, self._is_open(endpoint))

    def _is_open(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether this node may send new work to an endpoint."""
        declared = self._configuration.endpoints.get(endpoint)
        return (
            declared is not None
            and endpoint not in self._drained
            and endpoint not in self._leaving_endpoints
            and self._membership.endpoint_vm_state(declared.vm)
            is states.EndpointState.LIVE
        )

    def _members_of(self, group: ids.GroupId) -> Set[ids.EndpointId]:
        return self._configuration.group_endpoints(group).keys()

    def _version_of(self, endpoint: ids.EndpointId) -> str | None:
        """Returns the version of an endpoint, or None if it is unknown."""
        declared = self._configuration.endpoints.get(endpoint)
        return None if declared is None else declared.version

    def _tick_owned_groups(self, now: float) -> list[effects.Effect]:
        emitted = []
        for owner in self._owned.values():
            emitted += owner.tick(now)
        return emitted + self._broadcast_notices()

    def _broadcast_notices(self) -> list[effects.Effect]:
        emitted = []
        for owner in self._owned.values():
            for message in owner.notices:
                emitted += self._broadcast(message)
            owner.notices.clear()
        return emitted

    def _broadcast(self, message: messages.AnyMessage) -> list[effects.Effect]:
        return [
            effects.Send(node, message)
            for node in sorted(self._membership.reachable())
            if node != self.node
        ]


def _stream_unknown(work: effects.Work) -> effects.Effect:
    return _refuse(
        work, errors.ErrorKind.STREAM_UNKNOWN, _UNKNOWN_STREAM_RETRY_SECONDS
    )


def _refuse(
    work: effects.Work, kind: errors.ErrorKind, retry_after: float
) -> effects.Effect:
    return effects.Refuse(work.request, kind, retry_after)
