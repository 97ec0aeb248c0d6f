"""Granted requests of one group: starts, ends and what their ends show."""

import collections

from baobabmux_core import (
    capacity,
    fairness,
    first_events,
    group_state,
    ids,
    isolation,
    messages,
    placement,
    start_estimates,
    states,
)

# Ended requests are kept so that a delayed duplicate of an Ask is not queued;
# the bound covers more requests than one group ends in a minute.
_MAX_ENDED = 4096
# Time until an endpoint that has started again is listed anew.
_RELIST_SECONDS = 1.5
# Weight of one run in the failure share of its endpoint.
_FAILURE_WEIGHT = 0.1
# In-flight requests of a lost holder occupy their slots at least this long.
_MIN_ORPHAN_SECONDS = 1.0


class GrantedRuns:
    """Keeps the granted requests and records their outcomes."""

    def __init__(
        self,
        state: group_state.GroupState,
        isolated: isolation.Isolation,
        estimates: start_estimates.StartEstimates,
    ):
        self._state = state
        self._isolation = isolated
        self._estimates = estimates
        # Number of ended attempts by request.
        self._ended: collections.OrderedDict[ids.RequestId, int] = (
            collections.OrderedDict()
        )

    # Starts.

    def start(
        self,
        entry: fairness.QueueEntry,
        member: placement.GroupMember,
        now: float,
        *,
        isolated: bool = False,
    ) -> None:
        """Records the grant of an endpoint to a queued request."""
        ask = entry.ask
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
            parts=shared_parts(ask),
            crosses=first_events.crosses(entry, member),
        )
        if self._state.trial is not None:
            self._state.trial.granted(ask, member, now)
        member.model.start(run)
        member.breaker.record_grant(now)
        if member.allowance is not None:
            member.allowance.take(now)
        member.prefixes.used(ask.prefixes)
        self._state.granted[ask.request] = member

    def restore(
        self, item: messages.InFlight, holder: ids.NodeId, now: float
    ) -> bool:
        """Adds a run that a holder registers.

        Returns:
            Whether it is new here.
        """
        if item.request in self._ended:
            return False
        state = self._state
        member = state.members.get(item.endpoint)
        if member is None:
            return False
        known = state.granted.get(item.request)
        if known is not None:
            run = known.model.running[item.request]
            if run.holder == holder and known is member:
                run.expires = None
                return False
            self.end(item.request, now)
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
            short=tokens < state.short_tokens(),
        )
        member.model.restore(run)
        state.granted[item.request] = member
        return True

    def isolate_restored(self, item: messages.InFlight, now: float) -> None:
        """Isolates a restored run that a former owner had isolated."""
        state = self._state
        if (
            self._isolation.request is None
            and state.isolates_suspects()
            and state.is_suspect(item.content, now)
        ):
            member = state.granted[item.request]
            # Nothing may run beside it.
            member.model.running[item.request].isolated = True
            self._isolation.take(member, item.request)

    def predicted_first(self, request: ids.RequestId) -> dict[str, int]:
        """Returns the predicted first event of a run, for the log."""
        member = self._state.granted.get(request)
        if member is None or member.model.speed is None:
            return {}
        run = member.model.running[request]
        return {"first_ms": round(1000 * (run.first_token - run.granted))}

    # Ends.

    def end(self, request: ids.RequestId, now: float) -> None:
        """Frees the slot of a granted request."""
        state = self._state
        member = state.granted.pop(request)
        member.model.end(request, now)
        self._isolation.end_for(request)
        if (
            not member.open
            and not member.model.running
            and (state.service is None)
        ):
            state.members.pop(member.model.endpoint, None)

    def record_ended(self, request: ids.RequestId) -> None:
        """Counts an ended attempt."""
        self._ended[request] = self._ended.get(request, 0) + 1
        if len(self._ended) > _MAX_ENDED:
            self._ended.popitem(last=False)

    def ended_attempts(self, request: ids.RequestId) -> int:
        """Returns the number of ended attempts of a request."""
        return self._ended.get(request, 0)

    def holder_lost(self, holder: ids.NodeId, now: float) -> None:
        """Lets the runs of an unreachable holder expire at predicted ends."""
        for run in self._state.runs():
            if run.holder == holder and run.expires is None:
                run.expires = max(run.end, now + _MIN_ORPHAN_SECONDS)

    def expire(self, now: float) -> None:
        """Frees the slots of lost holders' requests."""
        expired = [
            run.request
            for run in self._state.runs()
            if run.expires is not None and run.expires <= now
        ]
        for request in expired:
            self.end(request, now)

    # Outcomes.

    def record_release(
        self,
        member: placement.GroupMember,
        run: capacity.RunningRequest,
        release: messages.Release,
        now: float,
    ) -> None:
        """Learns from the end of a run; does not free its slot."""
        if self._state.trial is not None:
            self._state.trial.released(release, member, now)
        outcome = states.Outcome.of_code(release.outcome)
        self._record_outcome(member, run, outcome, release.succeeded, now)
        self._update_margin(run, outcome, release)
        if outcome is states.Outcome.COMPLETED:
            member.model.observe_completion(
                run,
                release.computed_tokens,
                release.output_tokens,
                release.prefill_ms / 1000,
                release.decode_ms / 1000,
                now,
            )

    def _update_margin(
        self,
        run: capacity.RunningRequest,
        outcome: states.Outcome,
        release: messages.Release,
    ) -> None:
        predicted = run.end - run.granted
        actual = (release.prefill_ms + release.decode_ms) / 1000
        completed = outcome is states.Outcome.COMPLETED
        # A request cancelled at its deadline would have taken at least as
        # long.
        if completed or (
            outcome is states.Outcome.CANCELLED and actual > predicted
        ):
            self._estimates.service_margin.observe(predicted, actual)

    def _record_outcome(
        self,
        member: placement.GroupMember,
        run: capacity.RunningRequest,
        outcome: states.Outcome,
        succeeded: bool,
        now: float,
    ) -> None:
        """Updates breaker, failure share and quarantine by an outcome."""
        state = self._state
        if outcome is states.Outcome.UNREACHED:
            member.breaker.record_inconclusive(now)
            return
        if outcome is not states.Outcome.CANCELLED:
            is_completed = outcome is states.Outcome.COMPLETED
            member.failure_share += _FAILURE_WEIGHT * (
                (not is_completed) - member.failure_share
            )
        if outcome is states.Outcome.COMPLETED:
            self._record_success(member, run, succeeded, now)
            return
        if outcome is states.Outcome.CANCELLED:
            member.breaker.record_inconclusive(now)
            return
        if outcome is states.Outcome.NOT_SENT:
            member.version_doubted_until = now + _RELIST_SECONDS
        if outcome in states.BROKEN_OUTCOMES:
            state.quarantine.ends.record_break(run.content, now)
            for part in run.parts:
                state.quarantine.parts.counts.record_break(part, now)
        if (
            not state.isolates_suspects()
            and outcome is not states.Outcome.NOT_SENT
        ):
            # A full endpoint rejects requests, a run may fail, and an answer
            # may be lost while the endpoint serves others. Only a failed
            # connection (NOT_SENT) shows that the endpoint is down.
            member.breaker.record_inconclusive(now)
            return
        member.breaker.record_failure(now)
        if outcome is states.Outcome.BROKEN and state.isolates_suspects():
            self._suspect_contents(member, run, now)

    def _record_success(
        self,
        member: placement.GroupMember,
        run: capacity.RunningRequest,
        succeeded: bool,
        now: float,
    ) -> None:
        state = self._state
        member.breaker.record_success()
        if not succeeded:
            return
        state.quarantine.parts.prove(run.parts, now)
        if state.quarantine.clear(run.content, now):
            state.notices.append(messages.Cleared(run.content))
            state.changed_contents.append(run.content)

    def _suspect_contents(
        self,
        member: placement.GroupMember,
        run: capacity.RunningRequest,
        now: float,
    ) -> None:
        """Suspects the contents under one of which an endpoint has ended."""
        state = self._state
        member.prefixes.clear()
        if run.isolated and len(member.model.running) == 1:
            state.quarantine.confirm(run.content, now)
            state.changed_contents.append(run.content)
            state.notices.append(
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
            if state.quarantine.suspect(content, now)
        ]
        if fresh:
            state.changed_contents += fresh
            state.notices.append(
                messages.Suspect(
                    member.model.endpoint, tuple(fresh), alone=False
                )
            )


def shared_parts(ask: messages.Ask) -> tuple[ids.PartDigest, ...]:
    """Returns the parts that a request's prompt shares with others."""
    return () if ask.terms is None else ask.terms.parts
