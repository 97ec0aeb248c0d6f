"""Scheduling decisions of one node, without I/O.

`NodeScheduler` combines the holder of the requests of this node's callers, the
owners of the groups that this node owns, and the state that they share: the
configuration, drained endpoints, quarantined contents and the waits of other
data centres. The node program and the bench drive it: they pass requests,
messages and the time in, and carry out the effects that it returns.
"""

from __future__ import annotations

import collections
import typing
from collections.abc import Callable, Set

import msgspec

from baobabmux_core import (
    declarations,
    early_messages,
    effects,
    end_watch,
    errors,
    grants,
    group_queries,
    held_requests,
    holders,
    ids,
    leaving,
    messages,
    node_view,
    own_shares,
    prefixes,
    quarantine,
    quota_deputies,
    quotas,
    rendezvous,
    request_limits,
    retries,
    spills,
    states,
    stream_origins,
    version_history,
)

if typing.TYPE_CHECKING:
    from baobabmux_core import membership

# A drain is announced again this many times in case messages are lost.
_DRAIN_REPEATS = 3
_DRAIN_REPEAT_SECONDS = 1.0
_SHUTDOWN_RETRY_SECONDS = 1.0
# Longest wait of a request whose route has no known timeout.
_MAX_WAIT_SECONDS = 120.0
_UNKNOWN_STREAM_RETRY_SECONDS = 0.5
# After a longer gap between ticks other nodes may have suspected this one.
# Another node may have owned its groups then, so its own counts are out of
# date.
_PAUSE_SECONDS = 1.5
# Share of all nodes above which only one side of a cut can be.
_MAJORITY_SHARE = 0.5


class NodeScheduler:
    """Combines the decisions of one node's holder and group owners.

    Methods return effects in the order in which the driver must carry them
    out. A `Send` to the node itself is looped back by the driver.

    Attributes:
        node: Name of this node.
        data_centre: Data centre of the node, or a cell of several.
        view: What the parts of the scheduler read of the node.
        ends: Contents and parts under which endpoints have ended.
        spills: Waits of other groups.
        groups: Queries about the owned groups.
        early: Messages for groups that this node does not own.
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
        self.view = node_view.NodeView(node, data_centre, members)
        self.node = node
        self.data_centre = data_centre
        self.registration_seconds = grants.REGISTRATION_SECONDS
        self.serves_while_leaving = False
        self._holder = holders.Holder(
            node,
            self.view.owner,
            lambda endpoint: self._is_open(endpoint),
            lambda work: self._home_group(work.service),
            seed,
        )
        self._holder.version_of = self._version_of
        self._holder.members_of = self._members_of
        self._holder.names_route = self.view.rollouts.in_progress
        self._attempt_budget: tuple[float, float, float] | None = None
        self._owned = self.view.owned
        self._owners: dict[ids.GroupId, ids.NodeId | None] = {}
        self._local_nodes: set[ids.NodeId] = {node}
        self._quarantine = quarantine.Quarantine()
        self._origins = stream_origins.StreamOrigins(node)
        self.endpoints_age: Callable[[float], float] = lambda now: 0.0
        self._limits = request_limits.RequestLimits(node, seed)
        self.ends = end_watch.EndWatch(
            self.view, self._holder, self._quarantine, seed
        )
        self._holder.ended_before = self.ends.ended_before
        self.quotas = quota_deputies.QuotaDeputies(self.view)
        self._shares = own_shares.OwnShares(
            self.view,
            self._holder,
            lambda endpoint: self._is_open(endpoint),
            self._quarantine,
            self._limits,
            self.quotas,
        )
        self._holder.fallback = self._shares.choose
        self.spills = spills.Spills(self.view)
        self.groups = group_queries.GroupQueries(self.view)
        self._last_tick: float | None = None
        self._home_prefix_selector = prefixes.HomePrefixSelector()
        self.early = early_messages.EarlyMessages()
        self._drained: set[ids.EndpointId] = set()
        self._leaving_endpoints = leaving.LeavingEndpoints()
        self._drain_repeats: dict[ids.EndpointId, tuple[int, float]] = {}

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
        self._shares.set_budget_limits(ratio, slack, window_seconds)

    def set_quota_tolerance(self, tolerance: quotas.Tolerance) -> None:
        """Sets by how much quotas may be exceeded when owners change."""
        self.quotas.set_tolerance(tolerance)

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
        self._shares.record_first_attempt(work.service, now)
        deadline = now + self._timeout_seconds(work)
        if work.deadline is not None:
            deadline = min(deadline, work.deadline)
        emitted = self._holder.submit(work, group, deadline, now)
        return emitted + self.quotas.take_asks()

    def _timeout_seconds(self, work: effects.Work) -> float:
        """Returns the timeout of a request's route.

        The route may have been removed since it has admitted the request.
        """
        if work.timeout_seconds is not None:
            return work.timeout_seconds
        route = self.view.configuration.routes.get(work.route)
        return _MAX_WAIT_SECONDS if route is None else route.timeout_seconds

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
        peers = self.view.members.reachable()
        asks = self._origins.look_up(work, peers, now)
        return [_stream_unknown(work)] if asks is None else asks

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
            route = self.view.configuration.routes.get(work.route)
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
        self,
        request: ids.RequestId,
        backup: ids.RequestId,
        now: float,
        hedged: bool = False,
    ) -> list[effects.Effect]:
        """Asks for another endpoint while a silent one runs a request.

        The request counts as ended once `finished` is called for it with
        `superseded`; the other endpoint runs it as `backup` then.

        Returns:
            Effects to carry out; none if the request may not run again.
        """
        return self._holder.ask_backup(request, backup, now, hedged)

    def hedge_delay(self, request: ids.RequestId) -> float | None:
        """Returns the seconds after which a dispatched request is slow.

        It is None if the request may not be hedged, or if its owner knows too
        few answers.
        """
        held = self._holder.held.get(request)
        if held is None or held.attempt > 1 or held.own_share:
            return None
        return held.slow_seconds or None

    def set_hedging_owners(
        self, knows_hedges: Callable[[ids.NodeId], bool]
    ) -> None:
        """Sets which owners' builds bound hedges."""
        self._holder.knows_hedges = knows_hedges

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

    def position_lost(self, request: ids.RequestId) -> bool:
        """Records that no other endpoint can go on with a stream.

        Returns:
            Whether another one could have until now.
        """
        return self._holder.position_lost(request)

    def _report_streams(self, now: float) -> list[effects.Effect]:
        return self._origins.reports(self.view.members.reachable(), now)

    def progress(
        self, request: ids.RequestId, tokens: int, now: float
    ) -> list[effects.Effect]:
        """Records the output tokens of a request so far."""
        emitted = self._holder.progress(request, tokens, now)
        held = self._holder.held.get(request)
        if held is not None:
            emitted += self.ends.record_progress(held, now)
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
        emitted = self.ends.record_outcome(request, outcome, succeeded, now)
        return emitted + self._holder.finished(
            request,
            outcome,
            now,
            computed_tokens,
            output_tokens,
            succeeded,
            superseded,
        )

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
            return emitted + self.view.broadcast(report)
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
        return self.view.broadcast(messages.EndpointsLeaving((endpoint,)))

    def _limits_changed(self, now: float) -> list[effects.Effect]:
        emitted = []
        for owner in self._owned.values():
            emitted += owner.limits_changed(now)
        return emitted

    def _endpoint_owner(self, endpoint: ids.EndpointId) -> ids.NodeId | None:
        """Returns the owner of an endpoint's group, or None if unknown."""
        declared = self.view.configuration.endpoints.get(endpoint)
        if declared is None:
            return None
        return self.view.owner(
            ids.group_id(declared.service, declared.data_centre)
        )

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
                    lambda held: self.spills.choose(held, now),
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
                self.spills.receive(message, sender, now)
                emitted = []
            case messages.Suspect():
                emitted = self.ends.suspected(message, now)
            case messages.Cleared():
                emitted = self.ends.cleared(message.content, now)
            case messages.EndedContents():
                emitted = self.ends.reported(message, sender, now)
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
            case messages.StreamsToStore():
                self._origins.stored.receive(message)
                emitted = []
            case messages.StreamAsk():
                answer = self._origins.answer(message, now)
                emitted = [effects.Send(sender, answer)]
            case messages.StreamAnswer():
                emitted = self._submit_at_origin(
                    self._origins.answered(message, sender, now), now
                )
            case messages.RolloutState():
                self.view.rollouts.receive(message, now)
                emitted = []
            case messages.DrainEndpoint():
                self._set_drained(message.endpoint, message.drain)
                emitted = []
            case messages.QuotaAsk():
                emitted = [
                    effects.Send(sender, self.quotas.answer(message, now))
                ]
            case messages.QuotaAnswer():
                emitted = self._holder.charged(message, now)
            case _:
                emitted = []
        return emitted + self._broadcast_notices()

    def members_changed(self, now: float) -> list[effects.Effect]:
        """Applies a change of membership or of the VMs of endpoints.

        Marks holders that became unreachable as lost, updates the owners of
        groups, and opens or closes endpoints.
        """
        self._local_nodes = {
            *self.view.members.live(self.data_centre),
            self.node,
        }
        reachable = self._local_nodes | set(self.view.members.reachable())
        lost = self.view.reachable - reachable
        emitted = self.send_state(reachable - self.view.reachable, now)
        if reachable != self.view.reachable:
            emitted += self.resend_streams(now)
        self.view.reachable = reachable
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
            *self.ends.state(now),
            *self._limits.state(now),
            *self._leaving_endpoints.state(),
            *self.view.rollouts.state(now),
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
        self.view.leaving = True
        heartbeat = messages.Heartbeat(True, -1)
        emitted: list[effects.Effect] = [
            effects.Send(node, heartbeat)
            for node in self.view.members.reachable()
            if node != self.node
        ]
        return emitted + self.members_changed(now)

    # Operators, endpoints and timers.

    def configure(
        self, configuration: declarations.Configuration, now: float
    ) -> list[effects.Effect]:
        """Applies a configuration."""
        self.view.configuration = configuration
        self.ends.configure(configuration.endpoints)
        self._limits.endpoints_declared(configuration.endpoints, now)
        self._origins.history.configure(configuration, now)
        self.quotas.configure(now)
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
        return self.view.broadcast(messages.DrainEndpoint(endpoint, drain)) + (
            self._tick_owned_groups(now)
        )

    def tick(self, now: float) -> list[effects.Effect]:
        """Runs the timed work; called several times a second."""
        self._reset_after_pause(now)
        self._update_shares(now)
        self._last_tick = now
        emitted = self._follow_owners(now)
        emitted += [
            effect
            for message in self.view.rollouts.tick(now)
            for effect in self.view.broadcast(message)
        ]
        self._update_endpoints()
        emitted += self._holder.tick(
            now, lambda held: self._move_target(held, now)
        )
        if self.view.configuration is not None:
            services = self.view.configuration.services.keys()
            emitted += self._holder.refuse_undeclared(services)
        emitted += self._tick_owned_groups(now)
        for endpoint, (left, due) in list(self._drain_repeats.items()):
            if now < due:
                continue
            drained = endpoint in self._drained
            emitted += self.view.broadcast(
                messages.DrainEndpoint(endpoint, drained)
            )
            self._drain_repeats[endpoint] = (
                left - 1,
                now + _DRAIN_REPEAT_SECONDS,
            )
            if left <= 1:
                del self._drain_repeats[endpoint]
        emitted += self._tick_streams(now)
        peers = self.view.reachable - {self.node}
        emitted += self.ends.repeats(peers, now)
        if self.view.configuration is not None:
            self._leaving_endpoints.expire(
                self.view.configuration.endpoints, now
            )
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

    def versions(self) -> version_history.VersionHistory:
        """Returns the versions of endpoints that were listed recently."""
        return self._origins.history

    def streams(self) -> stream_origins.StreamOrigins:
        """Returns the records of recent streams."""
        return self._origins

    def stream_records(self) -> int:
        """Returns the number of recent streams whose version is kept here."""
        return len(self._origins)

    def request_limits(self) -> dict[ids.EndpointId, request_limits.Limit]:
        """Returns the limits that existing endpoints name."""
        limited = self._limits.limited()
        return {
            endpoint: limit
            for endpoint, limit in limited.items()
            if self.view.is_declared(endpoint)
        }

    def held_requests(self) -> int:
        """Returns the number of requests that have not ended here."""
        return len(self._holder.held) + self._origins.waiting()

    def state(self, request: ids.RequestId) -> states.RequestState | None:
        """Returns the state of a request, or None if it is not held."""
        held = self._holder.held.get(request)
        return held.state if held else None

    def local_groups(self) -> frozenset[ids.GroupId]:
        """Returns the groups of endpoints in this node's data centre."""
        if self.view.configuration is None:
            return frozenset()
        return frozenset(
            ids.group_id(endpoint.service, endpoint.data_centre)
            for endpoint in self.view.configuration.endpoints.values()
            if endpoint.data_centre == self.data_centre
        )

    def leaving_endpoints(self) -> tuple[ids.EndpointId, ...]:
        """Returns the endpoints whose answers say that they are leaving."""
        return self._leaving_endpoints.endpoints()

    def drained(self) -> frozenset[ids.EndpointId]:
        """Returns the endpoints that operators have drained."""
        return frozenset(self._drained)

    # Helpers.

    def _immediate_refusal(
        self, work: effects.Work, now: float
    ) -> effects.Effect | None:
        if self.view.configuration is None:
            return _refuse(work, errors.ErrorKind.NOT_READY, 1.0)
        if self.view.leaving and not self.serves_while_leaving:
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
        for name, endpoint in self.view.configuration.endpoints.items():
            if endpoint.service != work.service or name in self._drained:
                continue
            group = ids.group_id(work.service, endpoint.data_centre)
            weights[group] += (
                endpoint.max_requests * endpoint.decode_tokens_per_second
            )
        reachable = {
            group: weight
            for group, weight in weights.items()
            if self.view.owner(group) is not None
        }
        return rendezvous.weighted_owner(str(digest), reachable)

    def _home_group(self, service: ids.ServiceName) -> ids.GroupId | None:
        """Returns the local group, or else the one with the shortest wait."""
        centres = {
            endpoint.data_centre
            for endpoint in self.view.configuration.endpoints.values()
            if endpoint.service == service
        }
        if not centres:
            return None
        if self.data_centre in centres:
            return ids.group_id(service, self.data_centre)
        groups = sorted(ids.group_id(service, centre) for centre in centres)
        return self.spills.shortest(groups)

    def _move_target(
        self, held: held_requests.Held, now: float
    ) -> ids.GroupId | None:
        local = self._home_group(held.work.service)
        return self.spills.move_target(held, local, now)

    def _handle_ask(
        self, ask: messages.Ask, sender: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        owner = self._owned.get(ask.group)
        if owner is not None:
            return owner.ask(ask, sender, now)
        self.early.add(ask, sender, now)
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
        self.early.add(register, sender, now)
        return []

    def _replay_early_messages(
        self, group: ids.GroupId, now: float
    ) -> list[effects.Effect]:
        """Handles messages that arrived before this node owned the group."""
        emitted = []
        for sender, message in self.early.of_group(group, now):
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

    def _set_drained(self, endpoint: ids.EndpointId, drain: bool) -> None:
        if drain:
            self._drained.add(endpoint)
        else:
            self._drained.discard(endpoint)
        self._update_endpoints()

    def _update_owners(self, now: float) -> list[effects.Effect]:
        if self.view.configuration is None:
            return []
        groups = self.local_groups()
        for group in self._owned.keys() - groups:
            del self._owned[group]
        emitted = []
        for group in sorted(self._holder.groups() - groups):
            if self.view.owner(group) is None:
                emitted += self._holder.leave_unreachable_group(group, now)
        for group in sorted(groups | self._holder.groups()):
            owner = self.view.owner(group)
            if group in groups:
                owned_before = group in self._owned
                self._update_ownership(group, owner, now)
                if group in self._owned and not owned_before:
                    emitted += self._replay_early_messages(group, now)
            if owner != self._owners.get(group):
                self._owners[group] = owner
                emitted += self._holder.owner_changed(group, now)
        for group in self._owners.keys() - groups - self._holder.groups():
            del self._owners[group]
        return emitted

    def _follow_owners(self, now: float) -> list[effects.Effect]:
        """Takes and gives up groups if this node names other owners now.

        Owners also change without a change of membership, e.g. when a peer
        states its ability or the VM list shows this node as leaving.
        """
        if all(
            self.view.owner(group) == owner
            for group, owner in self._owners.items()
        ):
            return []
        return self._update_owners(now)

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
        share = self.view.reachable_share()
        self._quarantine.parts.may_try = share > _MAJORITY_SHARE
        self.quotas.set_share(share, now)
        for owner in self._owned.values():
            owner.budget.share = share
            owner.set_limit_share(share, now)

    def _take_ownership(self, group: ids.GroupId, now: float) -> None:
        taken = grants.GroupOwner(group, self._quarantine, now, self._limits)
        taken.set_limit_share(self.view.reachable_share(), now)
        if self._attempt_budget is not None:
            taken.budget = retries.AttemptBudget(*self._attempt_budget)
        taken.location_of = self._location_of
        taken.quotas = self.quotas.take_ownership(group, now)
        taken.configure(self.view.configuration, now)
        taken.await_registers(self._local_nodes, now, self.registration_seconds)
        self._owned[group] = taken
        self._update_endpoints()

    def _location_of(self, holder: ids.NodeId) -> ids.DataCentre:
        """Returns the data centre of a node of this cell, or empty."""
        if self.view.location == self.data_centre:
            return ids.DataCentre("")
        if holder == self.node:
            return self.view.location
        return self.view.members.location(holder)

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
        if self.view.configuration is None:
            return
        for owner in self._owned.values():
            for endpoint in owner.endpoints():
                owner.set_open(endpoint, self._is_open(endpoint))

    def _is_open(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether this node may send new work to an endpoint."""
        declared = self.view.configuration.endpoints.get(endpoint)
        return (
            declared is not None
            and endpoint not in self._drained
            and endpoint not in self._leaving_endpoints
            and not self.view.rollouts.closes(endpoint, declared)
            and self.view.members.endpoint_vm_state(declared.vm)
            is states.EndpointState.LIVE
        )

    def _members_of(self, group: ids.GroupId) -> Set[ids.EndpointId]:
        return self.view.configuration.group_endpoints(group).keys()

    def _version_of(self, endpoint: ids.EndpointId) -> str | None:
        """Returns the version of an endpoint, or None if it is unknown."""
        declared = self.view.configuration.endpoints.get(endpoint)
        return None if declared is None else declared.version

    def _tick_owned_groups(self, now: float) -> list[effects.Effect]:
        emitted = []
        for owner in self._owned.values():
            emitted += owner.tick(now)
        return emitted + self._broadcast_notices()

    def _broadcast_notices(self) -> list[effects.Effect]:
        emitted = self.quotas.take_asks()
        for owner in self._owned.values():
            for message in owner.notices:
                emitted += self.view.broadcast(message)
            owner.notices.clear()
        return emitted


def _stream_unknown(work: effects.Work) -> effects.Effect:
    return _refuse(
        work, errors.ErrorKind.STREAM_UNKNOWN, _UNKNOWN_STREAM_RETRY_SECONDS
    )


def _refuse(
    work: effects.Work, kind: errors.ErrorKind, retry_after: float
) -> effects.Effect:
    return effects.Refuse(work.request, kind, retry_after)
