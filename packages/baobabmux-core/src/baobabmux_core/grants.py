"""Queue and dispatch decisions of the owner of one group."""

import collections
import itertools
import math
import statistics

from baobabmux_core import (
    breakers,
    capacity,
    deadlines,
    declarations,
    effects,
    errors,
    fairness,
    ids,
    messages,
    placement,
    quarantine,
    queues,
    quotas,
    retries,
    states,
    waits,
)

LEASE_SECONDS = 3.0
"""Time after its arrival during which a holder may use a grant."""

REGISTRATION_SECONDS = 1.0
"""Longest time that a new owner waits for holders to register."""

# Requests looked at for one grant in each tier; more only matter when many
# wait for a warm cache.
_CANDIDATES = 16
# A register older than this may have been sent before the grant was used, so
# it does not prove that the grant is unused.
_REGISTER_GRACE_SECONDS = LEASE_SECONDS + 2.0
# Ended requests are remembered so that a late copy of their Ask is not
# queued; the bound covers more requests than one group ends in a minute.
_ENDED_KEPT = 4096
# Reservations hold for a kind of request that was seen this recently.
_PRESENT_SECONDS = 30.0
# Refusals of one turn of the loop, whose log lines are written at its end.
_DROPPED_KEPT = 256
_NO_ENDPOINT_RETRY_SECONDS = 2.0
_MIN_RETRY_SECONDS = 0.5
# Weight of one run in the failure share of its endpoint.
_FAILURE_WEIGHT = 0.1
# A holder that is gone keeps its in-flight work counted at least so long.
_ORPHAN_SECONDS = 1.0
# Slow checks of rates and backlog happen this often.
_CHECK_SECONDS = 0.5
# Workspaces whose last requests are checked at a time; a check takes time in
# proportion to all waiting workspaces.
_CHECKED_WORKSPACES = 8
# Time of a first event besides the prefill: the dispatch, one step of a full
# batch and the way back.
_FIRST_EVENT_SECONDS = 0.1
# Share of refused requests at which the whole margin on service times is
# kept, and the weight of one request in that share.
_PRESSURE = 0.1
_PRESSURE_WEIGHT = 0.02


class _Blocked:
    """Classes of requests for which no place is left in this round.

    What has no place for a tier is not given to a lower one either.
    """

    def __init__(self):
        self.long = False
        self.short = False


class GroupOwner:
    """Grants the endpoints of one group to requests of all holders.

    Attributes:
        group: Group that it owns.
        notices: Messages for all nodes; the scheduler takes them out.
        quotas: Quotas of the workspaces.
        budget: Budget of repeated attempts at the service.
    """

    def __init__(
        self,
        group: ids.GroupId,
        suspects: quarantine.Quarantine,
        now: float,
    ):
        self.group = group
        self.notices: list[messages.AnyMessage] = []
        self.quotas = quotas.QuotaLedger()
        self.budget = retries.AttemptBudget()
        self._suspects = suspects
        self._members: dict[ids.EndpointId, placement.Member] = {}
        self._service: declarations.Service | None = None
        self._preset: declarations.Preset | None = None
        self._refused_ranks: frozenset[int] = frozenset()
        self._queue = queues.GroupQueue()
        self._last_ask: messages.Ask | None = None
        # Requests that were taken out of the queue without a grant.
        self._dropped: collections.OrderedDict[ids.RequestId, None] = (
            collections.OrderedDict()
        )
        self._running_at: dict[ids.RequestId, placement.Member] = {}
        # Ended attempts by request.
        self._ended: collections.OrderedDict[ids.RequestId, int] = (
            collections.OrderedDict()
        )
        self._order = itertools.count()
        self._seen_tiers: dict[int, float] = {}
        self._short_seen = -math.inf
        self._awaited: set[ids.NodeId] = set()
        self._grants_from = now
        self._isolated: ids.RequestId | None = None
        self._check_at = now
        self._pressure = 0.0
        self._service_margin = deadlines.ErrorMargin()
        self._wait_margin = deadlines.ErrorMargin()
        # Contents whose standing changed and whose queued copies must move.
        self._judged: list[ids.ContentDigest] = []

    # Configuration and members.

    def configure(
        self, configuration: declarations.Configuration, now: float
    ) -> None:
        """Adopts a configuration; rates of kept endpoints stay learned."""
        service_name = self.group.split("@")[0]
        service = configuration.services.get(ids.ServiceName(service_name))
        declared = configuration.group_endpoints(self.group)
        if service is not None:
            self._service = service
        self._preset = configuration.active_preset()
        self._refused_ranks = frozenset(
            configuration.tiers[name].rank
            for name in self._preset.refused_tiers
            if name in configuration.tiers
        )
        weights = {
            fairness.workspace_hash(name): share.weight
            for name, share in configuration.workspaces.items()
        }
        self._queue.set_weights(weights)
        self.quotas.configure(configuration.workspaces, now)
        plain = self._service is not None and self._service.kind == "plain"
        for name, endpoint in declared.items():
            member = self._members.get(name)
            if member is None:
                self._members[name] = placement.Member(name, endpoint, plain)
                continue
            member.model.declared = endpoint
            member.prefixes.capacity = endpoint.cache_tokens
        if self._service is not None:
            for member in self._members.values():
                member.model.limited_when_slow = (
                    self._service.limits_slow_endpoints
                )
        for name in self._members.keys() - declared.keys():
            self._members[name].open = False
            if not self._members[name].model.running:
                del self._members[name]

    def set_open(self, endpoint: ids.EndpointId, is_open: bool) -> None:
        """Opens an endpoint for new work or closes it."""
        member = self._members.get(endpoint)
        if member is not None:
            member.open = is_open

    def await_registers(
        self,
        holders: set[ids.NodeId],
        now: float,
        seconds: float = REGISTRATION_SECONDS,
    ) -> None:
        """Withholds grants until these holders registered, for a bounded time.

        Without it, a new owner would grant slots that are occupied.
        """
        self._awaited = set(holders)
        self._grants_from = now + seconds

    def holder_lost(self, holder: ids.NodeId, now: float) -> None:
        """Drops a dead holder's asks; its running work expires later."""
        self._awaited.discard(holder)
        for entry in self._queue.held_by(holder):
            self._drop(entry)
        for member in self._members.values():
            for run in member.model.running.values():
                if run.holder == holder and run.expires is None:
                    run.expires = max(run.end, now + _ORPHAN_SECONDS)

    # Queries.

    def endpoints(self) -> list[ids.EndpointId]:
        """Returns the endpoints of the group."""
        return list(self._members)

    def queue_length(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._queue.entries)

    def queued_tokens(self) -> int:
        """Returns the number of waiting tokens."""
        return self._queue.tokens()

    def outstanding(self) -> dict[ids.EndpointId, tuple[int, int]]:
        """Returns the granted requests and tokens of each endpoint."""
        return {
            name: (len(member.model.running), member.model.tokens)
            for name, member in self._members.items()
        }

    def model(self, endpoint: ids.EndpointId) -> capacity.EndpointModel:
        """Returns the model of an endpoint of the group."""
        return self._members[endpoint].model

    def breaker(self, endpoint: ids.EndpointId) -> breakers.CircuitBreaker:
        """Returns the circuit breaker of an endpoint of the group."""
        return self._members[endpoint].breaker

    def queued_by_tier(self) -> dict[int, int]:
        """Returns the number of waiting requests by tier rank."""
        counts: collections.Counter[int] = collections.Counter()
        for tiers in (self._queue.tiers, self._queue.suspect_tiers):
            for rank, queue in tiers.items():
                if len(queue):
                    counts[rank] += len(queue)
        return dict(counts)

    def has_decided(self, request: ids.RequestId) -> bool:
        """Returns whether a recent decision about a request was made here."""
        return (
            (self._last_ask is not None and self._last_ask.request == request)
            or request in self._running_at
            or request in self._dropped
        )

    def facts(self, request: ids.RequestId, now: float) -> dict[str, int]:
        """Returns what a decision was based on, for the log."""
        usable = waits.usable(self._members.values(), now)
        return {
            **self._quota_facts(request),
            "queue": self.queue_length(),
            "occupied": sum(member.model.used(now) for member in usable),
            "places": sum(member.model.limit() for member in usable),
            "endpoints": len(usable),
            "wait_ms": round(self.wait(now) * 1000),
        }

    def _quota_facts(self, request: ids.RequestId) -> dict[str, int]:
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
        """Predicts how long a request behind the queue waits, in seconds."""
        return waits.group_wait(self._members.values(), self._queue, now)

    # Messages.

    def ask(
        self, ask: messages.Ask, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Queues a request, grants it or refuses it."""
        self._last_ask = ask
        self._queue.move_late(now)
        if (member := self._running_at.get(ask.request)) is not None:
            if (
                member.open
                or member.model.running[ask.request].holder != holder
            ):
                return self._repeat_grant(member, ask.request, holder, now)
            # The holder did not use the grant, and the endpoint has left.
            self._end_running(ask.request, now)
        attempt = ask.terms.attempt if ask.terms is not None else 1
        if attempt <= self._ended.get(ask.request, 0):
            return []
        if (known := self._queue.entries.get(ask.request)) is not None:
            known.holder = holder
            return self._acknowledge(ask, holder)
        refusal = self._admission(ask, holder, now)
        if refusal is not None:
            return [refusal]
        entry = fairness.QueueEntry(
            ask, holder, now, self._short_tokens(), next(self._order)
        )
        entry.suspect = self._is_suspect(ask.content, now)
        self._note_present(entry, now)
        if (refused := self._check_deadline(entry, now)) is not None:
            self._refund(ask)
            return [refused]
        self._queue.add(entry, self._on_time_start(entry))
        found = self._pump(now) + self._shed(now)
        if entry.queued:
            found += self._acknowledge(ask, holder)
        return found

    def repeat_ask(
        self, request: ids.RequestId, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Handles a repeated ask of which only the request is known."""
        entry = self._queue.entries.get(request)
        if entry is not None:
            entry.holder = holder
            return self._acknowledge(entry.ask, holder)
        member = self._running_at.get(request)
        if member is not None and member.open:
            return self._repeat_grant(member, request, holder, now)
        return [effects.Send(holder, messages.Forgotten(request))]

    def _acknowledge(
        self, ask: messages.Ask, holder: ids.NodeId
    ) -> list[effects.Effect]:
        """Tells a holder that waits for it that its ask is queued."""
        if ask.terms is None:
            return []
        return [effects.Send(holder, messages.Queued(ask.request))]

    def withdraw(
        self, request: ids.RequestId, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Drops a queued request or takes back its unused grant."""
        entry = self._queue.entries.get(request)
        if entry is not None and entry.holder == holder:
            self._drop(entry)
            return self._pump(now)
        member = self._running_at.get(request)
        if member is None or member.model.running[request].holder != holder:
            return []
        self._end_running(request, now)
        member.breaker.abandoned(now)
        return self._pump(now)

    def progress(
        self, report: messages.Progress, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Learns an endpoint's decode rate from a running request."""
        member = self._running_at.get(report.request)
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
        """Ends a granted request and grants its slot again."""
        outcome = states.Outcome.of_code(release.outcome)
        if outcome is not states.Outcome.NOT_SENT:
            self._remember_ended(release.request)
            entry = self._queue.entries.get(release.request)
            if entry is not None and entry.holder == holder:
                self._dequeue(entry)
        member = self._running_at.get(release.request)
        if member is None or member.model.endpoint != release.endpoint:
            return []
        run = member.model.running[release.request]
        if run.holder != holder:
            return []
        self._judge(member, run, outcome, now)
        self._learn_margin(run, outcome, release)
        if outcome is states.Outcome.COMPLETED:
            member.model.observe_completion(
                run,
                release.computed_tokens,
                release.output_tokens,
                release.prefill_ms / 1000,
                release.decode_ms / 1000,
                now,
            )
        self._end_running(release.request, now)
        judged = tuple(self._judged)
        self._judged.clear()
        return self.contents_changed(judged, now)

    def register(
        self, register: messages.Register, holder: ids.NodeId, now: float
    ) -> list[effects.Effect]:
        """Reconciles what a holder has in flight with the owner's count."""
        self._awaited.discard(holder)
        listed = {item.request for item in register.in_flight}
        for item in register.in_flight:
            self._restore(item, holder, now)
        lost = [
            run.request
            for member in self._members.values()
            for run in member.model.running.values()
            if run.holder == holder
            and run.request not in listed
            and now - run.granted > _REGISTER_GRACE_SECONDS
        ]
        for request in lost:
            self._end_running(request, now)
        return self._pump(now)

    def contents_changed(
        self, contents: tuple[ids.ContentDigest, ...], now: float
    ) -> list[effects.Effect]:
        """Moves queued requests whose content became suspect or clear."""
        refused = []
        for content in contents:
            for request in list(self._queue.by_content.get(content, ())):
                refused += self._reconsider(self._queue.entries[request], now)
        return refused + self._pump(now)

    def load_report(
        self,
        endpoint: ids.EndpointId,
        requests: int,
        as_of: float,
        now: float,
    ) -> list[effects.Effect]:
        """Corrects the count of an endpoint's occupied slots."""
        member = self._members.get(endpoint)
        if member is None:
            return []
        member.model.apply_load_report(requests, as_of, now)
        return self._pump(now)

    def cache_event(
        self,
        endpoint: ids.EndpointId,
        kind: str,
        digest: ids.PrefixDigest,
        tokens: int,
    ) -> None:
        """Follows an endpoint's prefix cache."""
        member = self._members.get(endpoint)
        if member is None:
            return
        if kind == "stored":
            member.prefixes.stored(digest, tokens)
        else:
            member.prefixes.evicted(digest)

    def tick(self, now: float) -> list[effects.Effect]:
        """Refuses what cannot end in time and grants what waited."""
        self._queue.move_late(now)
        found = self._refuse_unreachable(now)
        if now >= self._check_at:
            self._check_at = now + _CHECK_SECONDS
            self._expire_running(now)
            self._check_rates(now)
            found += self._refuse_hopeless(now)
        return found + self._pump(now)

    def _check_rates(self, now: float) -> None:
        """Compares the endpoints' speeds with each other."""
        relative = {
            name: member.model.decode_rate
            / member.model.declared.decode_tokens_per_second
            for name, member in self._members.items()
        }
        for name, member in self._members.items():
            member.model.check_stall(now)
            others = [r for other, r in relative.items() if other != name]
            member.model.reference_rate = (
                statistics.median(others)
                * member.model.declared.decode_tokens_per_second
                if others
                else None
            )

    # Admission.

    def _short_tokens(self) -> int:
        return self._service.short_tokens if self._service else 0

    def _admission(
        self, ask: messages.Ask, holder: ids.NodeId, now: float
    ) -> effects.Effect | None:
        if not any(member.open for member in self._members.values()):
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
        standing = self._suspects.status(ask.content, now)
        if standing is quarantine.ContentStatus.CONFIRMED:
            return _refusal(
                holder,
                ask.request,
                errors.ErrorKind.QUARANTINED,
                self._suspects.retry_after(ask.content, now),
            )
        return self._charge(ask, holder, now)

    def _charge(
        self, ask: messages.Ask, holder: ids.NodeId, now: float
    ) -> effects.Effect | None:
        """Takes an ask's cost from the quota or the budget of attempts."""
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
        wait = self.quotas.take(ask.workspace, terms.cost, now)
        if wait is None:
            return None
        return _refusal(holder, ask.request, errors.ErrorKind.OVER_QUOTA, wait)

    def _note_present(self, entry: fairness.QueueEntry, now: float) -> None:
        self._seen_tiers[entry.ask.tier] = now
        if entry.short:
            self._short_seen = now

    def _check_deadline(
        self, entry: fairness.QueueEntry, now: float
    ) -> effects.Effect | None:
        """Sets the entry's estimates; returns a refusal if it is too late."""
        usable = waits.usable(self._members.values(), now) or [
            member for member in self._members.values() if member.open
        ]
        ask = entry.ask
        seconds = [
            member.model.prefill_seconds(
                ask.prompt_tokens - member.prefixes.cached_tokens(ask.prefixes)
            )
            + member.model.decode_seconds(ask.output_tokens)
            for member in usable
        ]
        entry.seconds = statistics.fmean(seconds)
        entry.late = self._on_time_start(entry) < now
        entry.predicted_wait = self._wait_of(entry, now)
        wait = entry.predicted_wait * self._under_pressure(self._wait_margin)
        # Without a wait, an attempt costs nobody else a place.
        margin = 1.0
        if wait > 0.0:
            margin = self._under_pressure(self._service_margin)
        entry.latest_start = entry.deadline - min(seconds) * margin
        if entry.first_by < math.inf:
            if wait <= 0.0:
                # The length of a stream is a guess, and a free place costs
                # nobody else one.
                entry.latest_start = entry.deadline
            fastest = min(
                member.model.prefill_seconds(ask.prompt_tokens)
                for member in usable
            )
            entry.latest_start = min(
                entry.latest_start, entry.first_by - fastest
            )
            first = ask.terms is not None and ask.terms.attempt == 1
            on_time = self._on_time_start(entry)
            if first and now + wait > on_time and not entry.late:
                # Others will use the places until it is late, so it would
                # only wait in vain.
                return self._unreachable(entry, now + wait - on_time)
        late = now + wait - entry.latest_start
        if late > 0.0:
            return self._unreachable(entry, late)
        self._pressure -= _PRESSURE_WEIGHT * self._pressure
        return None

    def _on_time_start(self, entry: fairness.QueueEntry) -> float:
        """Returns the latest start at which the first event is on time."""
        if entry.target_by == math.inf:
            return math.inf
        usable = [m for m in self._members.values() if m.open]
        fastest = min(
            (
                member.model.prefill_seconds(entry.ask.prompt_tokens)
                for member in usable
            ),
            default=0.0,
        )
        return entry.target_by - fastest - _FIRST_EVENT_SECONDS

    def _under_pressure(self, margin: deadlines.ErrorMargin) -> float:
        """Returns the factor on a prediction for admission.

        Time lost to a late request only matters while others are refused for
        want of it, so the margin grows with the share of refusals.
        """
        learned = margin.factor()
        return 1.0 + (learned - 1.0) * min(1.0, self._pressure / _PRESSURE)

    def _wait_of(self, entry: fairness.QueueEntry, now: float) -> float:
        """Predicts how long a request that waits or might wait still waits."""
        return waits.request_wait(
            entry,
            self._members.values(),
            self._queue,
            self._reserved_share(entry, now),
            self._preset.short_share if self._preset else 0.0,
            now,
        )

    def _unreachable(
        self, entry: fairness.QueueEntry, late: float
    ) -> effects.Effect:
        self._pressure += _PRESSURE_WEIGHT * (1.0 - self._pressure)
        return _refusal(
            entry.holder,
            entry.ask.request,
            errors.ErrorKind.DEADLINE_UNREACHABLE,
            max(_MIN_RETRY_SECONDS, late),
        )

    def _refuse_hopeless(self, now: float) -> list[effects.Effect]:
        """Refuses what the backlog ahead keeps from ending in time."""
        refused = []
        for queue in list(self._queue.tiers.values()):
            for entry in queue.last(_CHECKED_WORKSPACES):
                wait = self._wait_of(entry, now) * max(
                    1.0, self._wait_margin.mean
                )
                late = now + wait - entry.latest_start
                if late > 0.0:
                    self._drop(entry)
                    refused.append(self._unreachable(entry, late))
        return refused

    def _refuse_unreachable(self, now: float) -> list[effects.Effect]:
        refused = []
        while (entry := self._queue.pop_late(now)) is not None:
            late = now + self._wait_of(entry, now) - entry.latest_start
            self._wait_margin.learn(entry.predicted_wait, now - entry.queued_at)
            self._drop(entry)
            refused.append(self._unreachable(entry, late))
        return refused

    def _shed(self, now: float) -> list[effects.Effect]:
        """Refuses the lowest tier's newest requests beyond the bounds."""
        if self._service is None:
            return []
        shed = []
        while (
            len(self._queue.entries) > self._service.max_queue_requests
            or self.queued_tokens() > self._service.max_queue_tokens
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
            self._queue.take(entry)
        else:
            self._queue.remove(entry)
        if self._isolated == entry.ask.request and not granted:
            self._end_isolation()

    def _drop(self, entry: fairness.QueueEntry) -> None:
        """Removes a request that is not run from here."""
        self._dequeue(entry)
        self._dropped[entry.ask.request] = None
        if len(self._dropped) > _DROPPED_KEPT:
            self._dropped.popitem(last=False)
        self._refund(entry.ask)

    def _refund(self, ask: messages.Ask) -> None:
        if ask.terms is not None and ask.terms.cost:
            self.quotas.refund(ask.workspace, ask.terms.cost)

    # Grants.

    def _withholds(self, now: float) -> bool:
        if self._awaited and now < self._grants_from:
            return True
        self._awaited.clear()
        return False

    def _pump(self, now: float) -> list[effects.Effect]:
        """Grants as much as has a place, in the order of the policy."""
        if not self._queue.entries or self._withholds(now):
            return []
        grants: list[effects.Effect] = []
        blocked = _Blocked()
        waiting_above = False
        for rank in sorted(
            {
                *self._queue.tiers,
                *self._queue.late_tiers,
                *self._queue.suspect_tiers,
            }
        ):
            suspects = self._queue.suspect_tiers.get(rank)
            if suspects and len(suspects) and not waiting_above:
                grants += self._isolate(suspects, now)
            for tiers in (self._queue.tiers, self._queue.late_tiers):
                queue = tiers.get(rank)
                if queue is None or not len(queue) or blocked.short:
                    continue
                grants += self._grant_queue(queue, blocked, now)
                waiting_above = waiting_above or len(queue) > 0
            if blocked.short:
                # A lower tier must not take what this one waits for.
                break
        return grants

    def _grant_queue(
        self, queue: fairness.TierQueue, blocked: _Blocked, now: float
    ) -> list[effects.Effect]:
        """Grants from one queue what has a place."""
        found = []
        while (chosen := self._next(queue, blocked, now)) is not None:
            entry, member = chosen
            if member is not None:
                found.append(self._grant(entry, member, now))
            elif entry.target_by < math.inf and not entry.late:
                self._queue.set_late(entry)
            else:
                self._drop(entry)
                found.append(self._unreachable(entry, entry.seconds))
        return found

    def _next(
        self, queue: fairness.TierQueue, blocked: _Blocked, now: float
    ) -> tuple[fairness.QueueEntry, placement.Member | None] | None:
        """Returns the next request to grant and its endpoint.

        Instead of an endpoint it returns None for a request that none can
        end in time.
        """
        if not any(
            member.model.used(now) < member.model.limit()
            for member in self._members.values()
            if member.kept_for is None
        ):
            blocked.long = blocked.short = True
            return None
        for entry in queue.candidates(_CANDIDATES):
            if blocked.long and not entry.short:
                continue
            choice = placement.choose(
                entry,
                self._members,
                self._reserved_share(entry, now),
                self._under_pressure(self._service_margin),
                self._preset,
                now,
            )
            if isinstance(choice, placement.Member):
                return entry, choice
            if choice is placement.Wait.LATE:
                return entry, None
            if choice is placement.Wait.CAPACITY:
                blocked.long = True
                if entry.short:
                    blocked.short = True
                    return None
        return None

    def _reserved_share(self, entry: fairness.QueueEntry, now: float) -> float:
        """Returns the share of slots that a request must leave free."""
        if self._preset is None:
            return 0.0
        if entry.short:
            # It leaves its place at once; what is kept free of long requests
            # must be open to it.
            return 0.0
        share = 0.0
        if now - self._short_seen < _PRESENT_SECONDS:
            share = self._preset.short_share
        tier = entry.ask.tier
        present = [
            rank
            for rank, seen in self._seen_tiers.items()
            if now - seen < _PRESENT_SECONDS or rank == tier
        ]
        above = sum(rank < tier for rank in present)
        if above:
            share += self._preset.high_tier_share * above / (len(present) - 1)
        return share

    def _grant(
        self,
        entry: fairness.QueueEntry,
        member: placement.Member,
        now: float,
        *,
        isolated: bool = False,
    ) -> effects.Effect:
        ask = entry.ask
        self._dequeue(entry, granted=True)
        self._wait_margin.learn(entry.predicted_wait, now - entry.queued_at)
        cached = member.prefixes.cached_tokens(ask.prefixes)
        run = capacity.RunningRequest(
            ask.request,
            entry.holder,
            ask.tier,
            entry.tokens,
            max(0, ask.prompt_tokens - cached),
            ask.output_tokens,
            ask.content,
            now,
            short=entry.short,
            isolated=isolated,
        )
        member.model.start(run)
        member.breaker.granted(now)
        member.prefixes.used(ask.prefixes)
        self._running_at[ask.request] = member
        return _grant(entry.holder, ask.request, member.model.endpoint)

    def _repeat_grant(
        self,
        member: placement.Member,
        request: ids.RequestId,
        holder: ids.NodeId,
        now: float,
    ) -> list[effects.Effect]:
        """Grants again what a holder asks for because the grant was lost."""
        run = member.model.running[request]
        if run.holder != holder:
            return []
        run.granted = now
        return [_grant(holder, request, member.model.endpoint)]

    # Running requests.

    def _end_running(self, request: ids.RequestId, now: float) -> None:
        member = self._running_at.pop(request)
        member.model.end(request, now)
        if self._isolated == request:
            self._end_isolation()
        if (
            not member.open
            and not member.model.running
            and (self._service is None)
        ):
            self._members.pop(member.model.endpoint, None)

    def _remember_ended(self, request: ids.RequestId) -> None:
        self._ended[request] = self._ended.get(request, 0) + 1
        if len(self._ended) > _ENDED_KEPT:
            self._ended.popitem(last=False)

    def _expire_running(self, now: float) -> None:
        expired = [
            run.request
            for member in self._members.values()
            for run in member.model.running.values()
            if run.expires is not None and run.expires <= now
        ]
        for request in expired:
            self._end_running(request, now)

    def _restore(
        self, item: messages.InFlight, holder: ids.NodeId, now: float
    ) -> None:
        if item.request in self._ended:
            return
        member = self._members.get(item.endpoint)
        if member is None:
            return
        known = self._running_at.get(item.request)
        if known is not None:
            run = known.model.running[item.request]
            if run.holder == holder and known is member:
                run.expires = None
                return
            self._end_running(item.request, now)
        entry = self._queue.entries.get(item.request)
        if entry is not None:
            self._dequeue(entry)
        tokens = item.prompt_tokens + item.output_tokens
        run = capacity.RunningRequest(
            item.request,
            holder,
            item.tier,
            tokens,
            0,
            item.output_tokens,
            item.content,
            now - item.elapsed_ms / 1000,
            short=tokens < self._short_tokens(),
        )
        member.model.restore(run)
        self._running_at[item.request] = member
        if self._isolated is None and self._is_suspect(item.content, now):
            # A former owner isolated it; nothing may join it.
            run.isolated = True
            member.kept_for = item.request
            self._isolated = item.request

    def _learn_margin(
        self,
        run: capacity.RunningRequest,
        outcome: states.Outcome,
        release: messages.Release,
    ) -> None:
        predicted = run.end - run.granted
        actual = (release.prefill_ms + release.decode_ms) / 1000
        completed = outcome is states.Outcome.COMPLETED
        # A request cancelled at its deadline took at least so long.
        if completed or (
            outcome is states.Outcome.CANCELLED and actual > predicted
        ):
            self._service_margin.learn(predicted, actual)

    # Failures.

    def _judge(
        self,
        member: placement.Member,
        run: capacity.RunningRequest,
        outcome: states.Outcome,
        now: float,
    ) -> None:
        """Draws conclusions about endpoint and content from an outcome."""
        if outcome is not states.Outcome.CANCELLED:
            good = outcome is states.Outcome.COMPLETED
            member.failure_share += _FAILURE_WEIGHT * (
                (not good) - member.failure_share
            )
        if outcome is states.Outcome.COMPLETED:
            member.breaker.succeeded()
            if self._suspects.clear(run.content, now):
                self.notices.append(messages.Cleared(run.content))
                self._judged.append(run.content)
            return
        if outcome is states.Outcome.CANCELLED:
            member.breaker.abandoned(now)
            return
        if not self._isolates() and outcome is not states.Outcome.NOT_SENT:
            # A full endpoint refuses, a run may fail, and an answer may be
            # lost while the endpoint serves others. One that is down cannot
            # be connected to.
            member.breaker.abandoned(now)
            return
        member.breaker.failed(now)
        if outcome is not states.Outcome.BROKEN or not self._isolates():
            return
        member.prefixes.clear()
        if run.isolated and len(member.model.running) == 1:
            self._suspects.confirm(run.content, now)
            self._judged.append(run.content)
            self.notices.append(
                messages.Suspect(
                    member.model.endpoint, (run.content,), alone=True
                )
            )
            return
        contents = tuple(
            sorted({other.content for other in member.model.running.values()})
        )
        fresh = [
            content
            for content in contents
            if self._suspects.suspect(content, now)
        ]
        if fresh:
            self._judged += fresh
            self.notices.append(
                messages.Suspect(
                    member.model.endpoint, tuple(fresh), alone=False
                )
            )

    def _isolates(self) -> bool:
        return self._service is None or self._service.isolates_suspects

    def _is_suspect(self, content: ids.ContentDigest, now: float) -> bool:
        standing = self._suspects.status(content, now)
        return standing is not quarantine.ContentStatus.CLEAR

    def _isolate(
        self, suspects: fairness.TierQueue, now: float
    ) -> list[effects.Effect]:
        """Keeps an endpoint for a suspect and grants it once it is empty.

        One suspect at a time runs in the group, alone on one endpoint.
        """
        if self._isolated is None:
            usable = [
                member
                for member in waits.usable(self._members.values(), now)
                if member.kept_for is None
            ]
            entry = next(suspects.candidates(1), None)
            if not usable or entry is None:
                return []
            member = min(
                usable, key=lambda member: member.model.running_seconds(now)
            )
            member.kept_for = entry.ask.request
            self._isolated = entry.ask.request
        entry = self._queue.entries.get(self._isolated)
        if entry is None:
            return []  # It is running.
        for member in self._members.values():
            if member.kept_for != self._isolated:
                continue
            if not member.open or not member.breaker.admits(now):
                self._end_isolation()
                return []
            if member.model.used(now) == 0:
                return [self._grant(entry, member, now, isolated=True)]
        return []

    def _end_isolation(self) -> None:
        for member in self._members.values():
            if member.kept_for == self._isolated:
                member.kept_for = None
        self._isolated = None

    def _reconsider(
        self, entry: fairness.QueueEntry, now: float
    ) -> list[effects.Effect]:
        standing = self._suspects.status(entry.ask.content, now)
        self._dequeue(entry)
        if standing is not quarantine.ContentStatus.CONFIRMED:
            entry.suspect = standing is quarantine.ContentStatus.SUSPECT
            self._queue.add(entry)
            return []
        return [
            _refusal(
                entry.holder,
                entry.ask.request,
                errors.ErrorKind.QUARANTINED,
                self._suspects.retry_after(entry.ask.content, now),
            )
        ]


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


def _grant(
    holder: ids.NodeId, request: ids.RequestId, endpoint: ids.EndpointId
) -> effects.Effect:
    return effects.Send(
        holder,
        messages.Grant(request, endpoint, round(LEASE_SECONDS * 1000)),
    )
