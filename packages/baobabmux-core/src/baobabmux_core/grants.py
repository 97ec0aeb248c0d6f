"""Queue and grant decisions of the owner of one group of endpoints.

The owner keeps the queue of the group, the granted requests and estimated
rates of its endpoints, the quotas of workspaces and the budget of repeated
attempts. It answers the messages of holders with grants and refusals.
"""

import collections
import itertools
import math
import statistics
from collections.abc import Callable

from baobabmux_core import (
    breakers,
    capacity,
    declarations,
    effects,
    errors,
    fairness,
    granted_runs,
    group_state,
    hedging,
    held_requests,
    ids,
    isolation,
    messages,
    placement,
    quarantine,
    quotas,
    request_limits,
    retries,
    shortlists,
    start_estimates,
    states,
    waits,
)

LEASE_SECONDS = 3.0
"""Time after the arrival of a grant during which its holder may use it."""

REGISTRATION_SECONDS = 1.0
"""Longest time that a new owner waits for holders to register."""

# Requests examined for one grant in each tier; more matter only when many
# wait for an endpoint that has their prefix cached.
_MAX_CANDIDATES = 16
# Requests examined of the tier of resumed streams. Each may wait for a version
# of its own, so that many of one version must not hide those of another.
_MAX_RESUMED_CANDIDATES = 64
# A Register that arrives sooner after the grant may have been sent before the
# grant was used, so it does not prove that the grant is unused.
_REGISTER_GRACE_SECONDS = LEASE_SECONDS + 2.0
# Requests dropped in one iteration of the event loop; their log lines are
# written at its end.
_MAX_DROPPED = 256
_NO_ENDPOINT_RETRY_SECONDS = 2.0
_MIN_RETRY_SECONDS = 0.5
# Interval of the checks of rates and backlog, which are expensive.
_CHECK_SECONDS = 0.5
# Workspaces whose last requests are checked at a time; the cost of one check
# is proportional to the number of waiting workspaces.
_CHECKED_WORKSPACES = 8
# A request that passed over a free slot of a large group is not examined again
# for this time.
_REEXAMINE_SECONDS = 0.005
# Age up to which the summed load of a large group is used again.
_LOAD_AGE_SECONDS = 0.1


class _Blocked:
    """Classes of requests for which no slot is left in this round of grants.

    A class that is blocked for a tier is also blocked for all lower tiers.
    """

    def __init__(self):
        self.long = False
        self.short = False


class GroupOwner:
    """Grants the endpoints of one group to requests of all holders.

    Attributes:
        group: Group that it owns.
        notices: Messages for all nodes; the scheduler sends and removes them.
        quotas: Quotas of the workspaces.
        budget: Budget of repeated attempts of the service.
        location_of: Returns the data centre of a holder in a cell, or an empty
            name.
    """

    def __init__(
        self,
        group: ids.GroupId,
        suspects: quarantine.Quarantine,
        now: float,
        limits: request_limits.RequestLimits | None = None,
    ):
        self.group = group
        self._limits = limits
        self._limit_share = 1.0
        self.state = group_state.GroupState(group, suspects)
        self.notices = self.state.notices
        self.quotas = quotas.QuotaLedger()
        self.budget = retries.AttemptBudget()
        self.hedges = hedging.OwnerHedges()
        self.location_of: Callable[[ids.NodeId], ids.DataCentre] = _nowhere
        self.estimates = start_estimates.StartEstimates(self.state)
        self._isolation = isolation.Isolation(self.state)
        self._runs = granted_runs.GrantedRuns(
            self.state, self._isolation, self.estimates
        )
        self._quarantine = suspects
        self._members = self.state.members
        self._queue = self.state.queue
        self._refused_ranks: frozenset[int] = frozenset()
        self._load: waits.GroupLoad | None = None
        self._last_ask: messages.Ask | None = None
        # Queued requests that may go on only at one version of endpoints.
        self._version_bound: set[ids.RequestId] = set()
        # Requests that were taken out of the queue without a grant.
        self._dropped: collections.OrderedDict[ids.RequestId, None] = (
            collections.OrderedDict()
        )
        self._order = itertools.count()
        self._unregistered: set[ids.NodeId] = set()
        self._withhold_until = now
        self._check_at = now

    # Configuration and endpoints.

    def configure(
        self, configuration: declarations.Configuration, now: float
    ) -> None:
        """Applies a configuration; kept endpoints keep estimated rates."""
        service_name = self.group.split("@")[0]
        service = configuration.services.get(ids.ServiceName(service_name))
        if service is not None:
            self.state.service = service
        self.hedges.configure(service)
        preset = configuration.active_preset()
        self.state.preset = preset
        self._refused_ranks = frozenset(
            configuration.tiers[name].rank
            for name in preset.refused_tiers
            if name in configuration.tiers
        )
        weights = {
            fairness.workspace_hash(name): share.weight
            for name, share in configuration.workspaces.items()
        }
        self._queue.set_weights(weights)
        self.quotas.configure(configuration.workspaces, now)
        self.state.configure_members(configuration)
        # A former owner may just have started requests there.
        self._apply_limits(now, 0.0)

    def set_open(self, endpoint: ids.EndpointId, is_open: bool) -> None:
        """Opens an endpoint for new requests or closes it."""
        member = self._members.get(endpoint)
        if member is not None:
            member.open = is_open

    def set_limit_share(self, share: float, now: float) -> None:
        """Sets the part of the endpoints' request limits that is granted here.

        It is below 1 while other nodes that may also grant are unreachable.
        """
        if share != self._limit_share:
            self._limit_share = share
            self._apply_limits(now, share)

    def limits_changed(self, now: float) -> list[effects.Effect]:
        """Applies the request limits that endpoints name now."""
        self._apply_limits(now, self._limit_share)
        return self._grant_queued(now)

    def _apply_limits(self, now: float, level: float) -> None:
        if self._limits is None:
            return
        for name, member in self._members.items():
            rate = self._limits.rate(name)
            if rate is not None:
                rate *= self._limit_share
            member.set_limit(rate, level, now)

    def await_registers(
        self,
        holders: set[ids.NodeId],
        now: float,
        seconds: float = REGISTRATION_SECONDS,
    ) -> None:
        """Withholds grants until these holders register or the time is over.

        Otherwise a new owner would grant slots that are occupied.
        """
        self._unregistered = set(holders)
        self._withhold_until = now + seconds

    def holder_lost(self, holder: ids.NodeId, now: float) -> None:
        """Drops the queued requests of an unreachable or restarted holder.

        A Release of its granted requests may never arrive, so they expire at
        their predicted end.
        """
        self._unregistered.discard(holder)
        for entry in self._queue.held_by(holder):
            self._drop(entry)
        self._runs.holder_lost(holder, now)

    # Queries.

    def endpoints(self) -> list[ids.EndpointId]:
        """Returns the endpoints of the group."""
        return list(self._members)

    def queue_length(self) -> int:
        """Returns the number of queued requests."""
        return len(self._queue.entries)

    def queued_tokens(self) -> int:
        """Returns the number of queued tokens."""
        return self._queue.tokens()

    def outstanding(self) -> dict[ids.EndpointId, tuple[int, int]]:
        """Returns the granted requests and tokens of each endpoint."""
        return {
            name: (len(member.model.running), member.model.tokens)
            for name, member in self._members.items()
        }

    def model(self, endpoint: ids.EndpointId) -> capacity.EndpointModel:
        """Returns the estimated load and rates of an endpoint."""
        return self._members[endpoint].model

    def breaker(self, endpoint: ids.EndpointId) -> breakers.CircuitBreaker:
        """Returns the circuit breaker of an endpoint of the group."""
        return self._members[endpoint].breaker

    def queued_by_tier(self) -> dict[int, int]:
        """Returns the number of queued requests by tier rank."""
        counts: collections.Counter[int] = collections.Counter()
        for tiers in (self._queue.tiers, self._queue.suspect_tiers):
            for rank, queue in tiers.items():
                if len(queue):
                    counts[rank] += len(queue)
        return dict(counts)

    def has_decided(self, request: ids.RequestId) -> bool:
        """Returns whether this owner recently decided about a request."""
        return (
            (self._last_ask is not None and self._last_ask.request == request)
            or request in self.state.granted
            or request in self._dropped
        )

    def decision_inputs(
        self, request: ids.RequestId, now: float
    ) -> dict[str, int | str]:
        """Returns the inputs of a decision about a request, for the log."""
        load = self._current_load(now)
        return {
            **self._quota_inputs(request),
            "queue": self.queue_length(),
            "occupied": load.occupied,
            "places": load.places,
            "endpoints": load.endpoints,
            **self._version_input(request),
            "limited": load.limited,
            "wait_ms": round(load.wait * 1000),
            **self._runs.predicted_first(request),
        }

    def _current_load(self, now: float) -> waits.GroupLoad:
        """Returns the load of the group, a moment old in a large one."""
        load = self._load
        if (
            load is None
            or len(self._members) <= shortlists.MAX_EXAMINED
            or now - load.as_of >= _LOAD_AGE_SECONDS
        ):
            load = waits.group_load(self._members.values(), self._queue, now)
            self._load = load
        return load

    def _version_input(self, request: ids.RequestId) -> dict[str, str]:
        ask = self._last_ask
        if ask is None or ask.request != request or ask.terms is None:
            return {}
        if ask.terms.version is None:
            return {}
        return {"version": ask.terms.version}

    def _quota_inputs(self, request: ids.RequestId) -> dict[str, int]:
        ask = self._last_ask
        if ask is None or ask.request != request or ask.terms is None:
            return {}
        level = self.quotas.level(ask.workspace)
        if level is None:
            return {}
        return {
            "cost": ask.terms.cost,
            "quota_left": round(level),
            "quota_share_percent": round(100 * self.quotas.share),
        }

    def wait(self, now: float) -> float:
        """Predicts the wait of a request behind the whole queue, in seconds."""
        return self._current_load(now).wait

    # Messages.

    def ask(
        self, ask: messages.Ask, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Queues a request, grants it or refuses it."""
        self._last_ask = ask
        self._queue.demote_late(now)
        if (member := self.state.granted.get(ask.request)) is not None:
            if (
                member.open
                or member.model.running[ask.request].holder != holder
            ):
                return self._repeat_grant(member, ask.request, holder, now)
            # The holder did not use the grant, and the endpoint was closed.
            self._runs.end(ask.request, now)
        attempt = ask.terms.attempt if ask.terms is not None else 1
        if attempt <= self._runs.ended_attempts(ask.request):
            return []
        if (known := self._queue.entries.get(ask.request)) is not None:
            known.holder = holder
            return self._acknowledge(ask, holder)
        if not self._admits_hedge(ask, now):
            return _no_hedge(ask, holder)
        refusal = self._admission(ask, holder, now)
        if refusal is not None:
            return [refusal]
        entry = fairness.QueueEntry(
            ask, holder, now, self.state.short_tokens(), next(self._order)
        )
        entry.suspect = self.state.is_suspect(ask.content, now)
        entry.location = self.location_of(holder)
        self.state.record_arrival(entry, now)
        late_by = self.estimates.check(entry, now)
        if late_by is not None:
            self._refund(ask)
            return [self._unreachable(entry, late_by)]
        self._queue.add(entry, entry.on_time_start)
        if entry.version is not None:
            self._version_bound.add(ask.request)
        emitted = self._grant_queued(now) + self._shed(now)
        if entry.queued and hedging.is_hedge(ask):
            self._drop(entry)
            return emitted + _no_hedge(ask, holder)
        if entry.queued:
            emitted += self._acknowledge(ask, holder)
        return emitted

    def _admits_hedge(self, ask: messages.Ask, now: float) -> bool:
        queued = free = places = 0
        if hedging.is_hedge(ask):
            members = waits.usable(self._members.values(), now)
            queued = len(self._queue.entries)
            free = waits.free_slots(members, now)
            places = sum(member.model.limit() for member in members)
        return self.hedges.admits(ask, queued, free, places, now)

    def repeat_ask(
        self, request: ids.RequestId, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Handles a Reminder, a repeated ask with only the request's id.

        A request that is neither queued nor granted is answered with
        Forgotten, so that its holder sends the whole Ask again.
        """
        entry = self._queue.entries.get(request)
        if entry is not None:
            entry.holder = holder
            return self._acknowledge(entry.ask, holder)
        member = self.state.granted.get(request)
        if member is not None and member.open:
            return self._repeat_grant(member, request, holder, now)
        return [effects.Send(holder, messages.Forgotten(request))]

    def _acknowledge(
        self, ask: messages.Ask, holder: ids.NodeId
    ) -> list[effects.Effect]:
        """Acknowledges a queued ask; only holders that send terms expect it."""
        if ask.terms is None:
            return []
        return [effects.Send(holder, messages.Queued(ask.request))]

    def withdraw(
        self, request: ids.RequestId, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Drops a queued request or revokes its unused grant."""
        entry = self._queue.entries.get(request)
        if entry is not None and entry.holder == holder:
            self._drop(entry)
            return self._grant_queued(now)
        member = self.state.granted.get(request)
        if member is None or member.model.running[request].holder != holder:
            return []
        self._runs.end(request, now)
        member.breaker.record_inconclusive(now)
        if member.allowance is not None:
            member.allowance.refund()
        return self._grant_queued(now)

    def progress(
        self, report: messages.Progress, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Updates an endpoint's decode rate from a running request."""
        member = self.state.granted.get(report.request)
        if member is None:
            return []
        run = member.model.running[report.request]
        if run.holder != holder:
            return []
        member.model.observe_progress(
            run, report.tokens, report.elapsed_ms / 1000, now
        )
        return []

    def release(
        self, release: messages.Release, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Ends a granted request and grants its slot to a queued one."""
        outcome = states.Outcome.of_code(release.outcome)
        if outcome not in states.UNSENT_OUTCOMES:
            self._runs.record_ended(release.request)
            entry = self._queue.entries.get(release.request)
            if entry is not None and entry.holder == holder:
                self._dequeue(entry)
        member = self.state.granted.get(release.request)
        if member is None or member.model.endpoint != release.endpoint:
            return []
        run = member.model.running[release.request]
        if run.holder != holder:
            return []
        self._runs.record_release(member, run, release, now)
        self.hedges.ended(release, now)
        self._runs.end(release.request, now)
        changed = tuple(self.state.changed_contents)
        self.state.changed_contents.clear()
        return self.contents_changed(changed, now)

    def register(
        self, register: messages.Register, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Reconciles a holder's in-flight requests with those granted here."""
        self._unregistered.discard(holder)
        listed = {item.request for item in register.in_flight}
        for item in register.in_flight:
            self._restore_run(item, holder, now)
        lost = [
            run.request
            for member in self._members.values()
            for run in member.model.running.values()
            if run.holder == holder
            and run.request not in listed
            and now - run.granted > _REGISTER_GRACE_SECONDS
        ]
        for request in lost:
            self._runs.end(request, now)
        return self._grant_queued(now)

    def contents_changed(
        self, contents: tuple[ids.ContentDigest, ...], now: float
    ) -> list[effects.Effect]:
        """Queues again or refuses requests whose content status changed."""
        refused = []
        for content in contents:
            for request in list(self._queue.by_content.get(content, ())):
                refused += self._requeue(self._queue.entries[request], now)
        return refused + self._grant_queued(now)

    def load_report(
        self,
        endpoint: ids.EndpointId,
        requests: int,
        as_of: float,
        now: float,
    ) -> list[effects.Effect]:
        """Corrects an endpoint's occupied slots by its own load report."""
        member = self._members.get(endpoint)
        if member is None:
            return []
        member.model.apply_load_report(requests, as_of, now)
        return self._grant_queued(now)

    def cache_event(
        self,
        endpoint: ids.EndpointId,
        kind: str,
        digest: ids.PrefixDigest,
        tokens: int,
    ) -> None:
        """Applies an endpoint's cache event to the index of its prefixes."""
        member = self._members.get(endpoint)
        if member is None:
            return
        if kind == "stored":
            member.prefixes.stored(digest, tokens)
        else:
            member.prefixes.evicted(digest)

    def tick(self, now: float) -> list[effects.Effect]:
        """Refuses requests that cannot end in time and grants queued ones."""
        self._queue.demote_late(now)
        emitted = self._refuse_unreachable(now) + self._refuse_versions_gone()
        if now >= self._check_at:
            self._check_at = now + _CHECK_SECONDS
            self._runs.expire(now)
            self._check_rates(now)
            emitted += self._refuse_behind_backlog(now)
        return emitted + self._grant_queued(now)

    def _check_rates(self, now: float) -> None:
        """Updates each endpoint's stall flag and the decode rate of its peers.

        That is the median of the other endpoints' rates, each taken relative
        to its declaration.
        """
        relative = {
            name: member.model.decode_rate
            / member.model.declared.decode_tokens_per_second
            for name, member in self._members.items()
        }
        for name, member in self._members.items():
            member.model.check_stall(now)
            others = [r for other, r in relative.items() if other != name]
            member.model.peer_decode_rate = (
                statistics.median(others)
                * member.model.declared.decode_tokens_per_second
                if others
                else None
            )

    # Admission.

    def _admission(
        self, ask: messages.Ask, holder: ids.NodeId, now: float
    ) -> effects.Effect | None:
        if self.state.trial is not None:
            self.state.trial.reached(ask)
        if not any(member.open for member in self._members.values()):
            return _refusal(
                holder,
                ask.request,
                errors.ErrorKind.NO_ENDPOINT,
                _NO_ENDPOINT_RETRY_SECONDS,
            )
        if ask.terms is not None and not self.state.has_version(
            ask.terms.version
        ):
            return _version_gone(holder, ask.request)
        if self.state.trial is not None and not any(
            member.open for member in self.state.candidates(ask, now).values()
        ):
            return _refusal(
                holder,
                ask.request,
                errors.ErrorKind.NO_ENDPOINT,
                _NO_ENDPOINT_RETRY_SECONDS,
            )
        if ask.tier in self._refused_ranks:
            return _refusal(
                holder,
                ask.request,
                errors.ErrorKind.OVERLOADED,
                max(_NO_ENDPOINT_RETRY_SECONDS, self.wait(now)),
            )
        seconds = self._quarantine.refused_for(
            ask.content, granted_runs.shared_parts(ask), now
        )
        if seconds is not None:
            return _refusal(
                holder, ask.request, errors.ErrorKind.QUARANTINED, seconds
            )
        return self._charge(ask, holder, now)

    def _charge(
        self, ask: messages.Ask, holder: ids.NodeId, now: float
    ) -> effects.Effect | None:
        """Charges an ask to the quota or to the budget of attempts.

        Returns:
            None if it was charged, else the refusal.
        """
        terms = ask.terms
        if terms is None:
            return None
        if terms.attempt > 1:
            if self.budget.take(now):
                return None
            return _refusal(
                holder,
                ask.request,
                errors.ErrorKind.NO_ENDPOINT,
                _NO_ENDPOINT_RETRY_SECONDS,
            )
        self.budget.record_first(now)
        wait = self.quotas.take(
            ask.workspace,
            terms.cost,
            now,
            resumes=ask.tier == held_requests.RESUMED_RANK,
        )
        if wait is None:
            return None
        return _refusal(holder, ask.request, errors.ErrorKind.OVER_QUOTA, wait)

    def _unreachable(
        self, entry: fairness.QueueEntry, late_by: float
    ) -> effects.Effect:
        self.estimates.record_refusal()
        return _refusal(
            entry.holder,
            entry.ask.request,
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            max(_MIN_RETRY_SECONDS, late_by),
        )

    def _refuse_behind_backlog(self, now: float) -> list[effects.Effect]:
        """Refuses requests that the backlog ahead keeps from ending in time."""
        refused = []
        for queue in list(self._queue.tiers.values()):
            for entry in queue.latest_deadlines(_CHECKED_WORKSPACES):
                wait = self.estimates.wait_of(entry, now) * max(
                    1.0, self.estimates.wait_margin.mean
                )
                late_by = now + wait - entry.latest_start
                if late_by > 0.0:
                    self._drop(entry)
                    refused.append(self._unreachable(entry, late_by))
        return refused

    def _refuse_unreachable(self, now: float) -> list[effects.Effect]:
        refused = []
        while (entry := self._queue.pop_unreachable(now)) is not None:
            late_by = (
                now + self.estimates.wait_of(entry, now) - entry.latest_start
            )
            self.estimates.record_wait(entry, now)
            self._drop(entry)
            refused.append(self._unreachable(entry, late_by))
        return refused

    def _refuse_versions_gone(self) -> list[effects.Effect]:
        """Refuses queued streams whose version has no endpoint any more."""
        refused = []
        for request in list(self._version_bound):
            entry = self._queue.entries.get(request)
            if entry is None:
                self._version_bound.discard(request)
            elif not self.state.has_version(entry.version):
                self._drop(entry)
                refused.append(_version_gone(entry.holder, request))
        return refused

    def _shed(self, now: float) -> list[effects.Effect]:
        """Sheds load: refuses the newest of the lowest tier beyond the bounds.

        The bounds are the service's limits of queued requests and tokens.
        """
        if self.state.service is None:
            return []
        shed = []
        while (
            len(self._queue.entries) > self.state.service.max_queue_requests
            or self.queued_tokens() > self.state.service.max_queue_tokens
        ):
            entry = self._queue.newest_of_lowest()
            self._drop(entry)
            shed.append(
                _refusal(
                    entry.holder,
                    entry.ask.request,
                    errors.ErrorKind.OVERLOADED,
                    max(_MIN_RETRY_SECONDS, self.wait(now)),
                )
            )
        return shed

    # Queue.

    def _dequeue(
        self, entry: fairness.QueueEntry, *, granted: bool = False
    ) -> None:
        if granted:
            self._queue.remove_granted(entry)
        else:
            self._queue.remove(entry)
        if not granted:
            self._isolation.end_for(entry.ask.request)

    def _drop(self, entry: fairness.QueueEntry) -> None:
        """Removes a queued request that gets no grant and refunds its cost."""
        self._dequeue(entry)
        self._dropped[entry.ask.request] = None
        if len(self._dropped) > _MAX_DROPPED:
            self._dropped.popitem(last=False)
        self._refund(entry.ask)

    def _refund(self, ask: messages.Ask) -> None:
        if ask.terms is not None and ask.terms.cost:
            self.quotas.refund(ask.workspace, ask.terms.cost)

    # Grants.

    def _is_withholding(self, now: float) -> bool:
        if self._unregistered and now < self._withhold_until:
            return True
        self._unregistered.clear()
        return False

    def _grant_queued(self, now: float) -> list[effects.Effect]:
        """Grants queued requests while slots are free.

        Higher tiers come first; in a tier, requests that can be on time come
        before late ones.
        """
        if not self._queue.entries or self._is_withholding(now):
            return []
        self.state.first_events.slots_changed()
        grants: list[effects.Effect] = []
        blocked = _Blocked()
        higher_tier_waits = False
        for rank in sorted(
            {
                *self._queue.tiers,
                *self._queue.late_tiers,
                *self._queue.suspect_tiers,
            }
        ):
            suspects = self._queue.suspect_tiers.get(rank)
            if suspects and len(suspects) and not higher_tier_waits:
                grants += self._grant_isolated(suspects, now)
            for tiers in (self._queue.tiers, self._queue.late_tiers):
                queue = tiers.get(rank)
                if queue is None or not len(queue) or blocked.short:
                    continue
                examined = (
                    _MAX_RESUMED_CANDIDATES
                    if rank == held_requests.RESUMED_RANK
                    else _MAX_CANDIDATES
                )
                grants += self._grant_queue(queue, blocked, examined, now)
                higher_tier_waits = higher_tier_waits or len(queue) > 0
            if blocked.short:
                # A lower tier must not take a slot that this one waits for.
                break
        return grants

    def _grant_queue(
        self,
        queue: fairness.TierQueue,
        blocked: _Blocked,
        examined: int,
        now: float,
    ) -> list[effects.Effect]:
        """Grants requests of one queue while slots are free."""
        emitted = []
        while True:
            chosen = self._next_grant(queue, blocked, examined, now)
            if chosen is None:
                return emitted
            entry, member = chosen
            if member is not None:
                emitted.append(self._grant(entry, member, now))
            elif entry.target_by < math.inf and not entry.late:
                self._queue.demote(entry)
            else:
                self._drop(entry)
                emitted.append(self._unreachable(entry, entry.seconds))

    def _next_grant(
        self,
        queue: fairness.TierQueue,
        blocked: _Blocked,
        examined: int,
        now: float,
    ) -> tuple[fairness.QueueEntry, placement.GroupMember | None] | None:
        """Returns the next request to grant and its endpoint.

        The endpoint is None for a request that no endpoint can serve in time.
        """
        if not any(
            member.has_slot(now) and member.takes_requests(now)
            for member in self._members.values()
        ):
            blocked.long = blocked.short = True
            return None
        for entry in queue.candidates(
            examined, lambda entry: self._is_held_back(entry, now)
        ):
            if blocked.long and not entry.short:
                continue
            if now < entry.examine_at:
                continue
            choice = self.state.choose(
                entry, self.estimates.scaled_service_margin(), now
            )
            if isinstance(choice, placement.GroupMember):
                return entry, choice
            if choice is placement.NoPlacement.LATE:
                return entry, None
            if (
                choice is placement.NoPlacement.AFFINITY
                and len(self._members) > shortlists.MAX_EXAMINED
            ):
                # In a large group slots are freed more often than a request's
                # reasons to wait change.
                entry.examine_at = now + _REEXAMINE_SECONDS
            if (
                entry.version is not None
                or entry.paused_until
                or self.state.trial is not None
            ):
                # Others may use the slots that this one may not.
                continue
            if choice is placement.NoPlacement.CAPACITY:
                blocked.long = True
                if entry.short:
                    blocked.short = True
                    return None
        return None

    def _is_held_back(self, entry: fairness.QueueEntry, now: float) -> bool:
        """Returns whether a request waits although a slot may be free."""
        return self._waits_after_end(entry, now) or (
            self.state.pause_of(entry, now) > 0.0
        )

    def _waits_after_end(self, entry: fairness.QueueEntry, now: float) -> bool:
        """Returns whether a request waits because an endpoint ended under it.

        Its content, or a suspect part of its prompt, runs once at a time, and
        not again before the next end would count. A second attempt goes on at
        once, since most endpoints end for reasons of their own.
        """
        if self.state.isolates_suspects():
            return False
        terms = entry.ask.terms
        if terms is not None and terms.attempt > 1:
            return False
        content = entry.ask.content
        if content in self._quarantine.ends and (
            self._quarantine.ends.is_fresh(content, now)
            or any(run.content == content for run in self.state.runs())
        ):
            return True
        parts = self._quarantine.parts
        return any(
            parts.counts.is_fresh(part, now)
            or any(part in run.parts for run in self.state.runs())
            for part in parts.suspects(
                granted_runs.shared_parts(entry.ask), now
            )
        )

    def _grant(
        self,
        entry: fairness.QueueEntry,
        member: placement.GroupMember,
        now: float,
        *,
        isolated: bool = False,
    ) -> effects.Effect:
        ask = entry.ask
        self._dequeue(entry, granted=True)
        self.state.first_events.slots_changed()
        self.estimates.record_wait(entry, now)
        self._runs.start(entry, member, now, isolated=isolated)
        return _grant(
            entry.holder,
            ask.request,
            member.model.endpoint,
            self.hedges.slow_ms(ask, now),
        )

    def _repeat_grant(
        self,
        member: placement.GroupMember,
        request: ids.RequestId,
        holder: ids.NodeId,
        now: float,
    ) -> list[effects.Effect]:
        """Repeats a grant whose message to the holder was lost."""
        run = member.model.running[request]
        if run.holder != holder:
            return []
        run.granted = now
        return [_grant(holder, request, member.model.endpoint)]

    # Running requests.

    def _restore_run(
        self, item: messages.InFlight, holder: ids.NodeId, now: float
    ) -> None:
        if not self._runs.restore(item, holder, now):
            return
        entry = self._queue.entries.get(item.request)
        if entry is not None:
            self._dequeue(entry)
        self._runs.isolate_restored(item, now)

    # Failures.

    def _grant_isolated(
        self, suspects: fairness.TierQueue, now: float
    ) -> list[effects.Effect]:
        """Grants an empty endpoint to the suspect that is isolated."""
        chosen = self._isolation.next(suspects, now)
        if chosen is None:
            return []
        return [self._grant(*chosen, now, isolated=True)]

    def _requeue(
        self, entry: fairness.QueueEntry, now: float
    ) -> list[effects.Effect]:
        status = self._quarantine.status(entry.ask.content, now)
        self._dequeue(entry)
        if status is not quarantine.ContentStatus.CONFIRMED:
            entry.suspect = status is quarantine.ContentStatus.SUSPECT
            self._queue.add(entry)
            return []
        return [
            _refusal(
                entry.holder,
                entry.ask.request,
                errors.ErrorKind.QUARANTINED,
                self._quarantine.retry_after(entry.ask.content, now),
            )
        ]


def _nowhere(holder: ids.NodeId) -> ids.DataCentre:
    del holder
    return ids.DataCentre("")


def _refusal(
    holder: ids.NodeId,
    request: ids.RequestId,
    kind: errors.ErrorKind,
    retry_after: float,
) -> effects.Effect:
    return effects.Send(
        holder,
        messages.Refusal(request, kind.value, math.ceil(retry_after * 1000)),
    )


def _no_hedge(ask: messages.Ask, holder: ids.NodeId) -> list[effects.Effect]:
    return [
        _refusal(
            holder,
            ask.request,
            errors.ErrorKind.NO_ENDPOINT,
            _NO_ENDPOINT_RETRY_SECONDS,
        )
    ]


def _version_gone(holder: ids.NodeId, request: ids.RequestId) -> effects.Effect:
    return _refusal(holder, request, errors.ErrorKind.VERSION_GONE, 0.0)


def _grant(
    holder: ids.NodeId,
    request: ids.RequestId,
    endpoint: ids.EndpointId,
    slow_ms: int = 0,
) -> effects.Effect:
    lease_ms = round(LEASE_SECONDS * 1000)
    return effects.Send(
        holder, messages.Grant(request, endpoint, lease_ms, slow_ms)
    )
