"""Roll-outs of good and bad versions in virtual time.

A world is one service with endpoints of both versions, the requests that reach
it, and what troubles it while an order is in force. It counts what the rules of
roll-outs bound: requests to an unproven version, and requests after its bad
answers. All randomness comes from the seed.
"""

import heapq
import itertools
import math
import random

import msgspec

from baobabmux_core import (
    capacity,
    declarations,
    ids,
    messages,
    placement,
    rollout_shares,
    rollout_trials,
    states,
)

_PLACES = ("a", "b", "c")
_SLOTS = 8
_ROUTE_SECONDS = (0.15, 0.3, 0.5)
_ROUTE_FAILURES = (0.004, 0.0, 0.06)
_SPREAD = 0.35
_MAX_SPEED_RATIO = 4.0
_STEP_SECONDS = 0.1
_WRITE_SECONDS = 0.05
_BUSY_LOAD = 0.7
_BAD_ANSWERS = 50

GOOD_KINDS = (
    "calm",
    "cold caches",
    "burst",
    "bad tenant",
    "cut place",
    "crashes",
    "grey endpoints",
)
"""Troubles that must not condemn a good version."""


class Fault(msgspec.Struct, frozen=True):
    """What is wrong with a bad version.

    Attributes:
        failed: Share of its answers that fail.
        slow: Share of its answers that are slow.
        factor: How many times slower these are.
        start: Part of the roll-out's time from which on it is bad.
        route: The only route that it concerns, or None.
        busy: Whether it shows only at a high load.
    """

    failed: float = 0.0
    slow: float = 0.0
    factor: float = 1.0
    start: float = 0.0
    route: int | None = None
    busy: bool = False


BAD_KINDS = {
    "5% fail": Fault(failed=0.05),
    "30% fail": Fault(failed=0.3),
    "30% fail from half time": Fault(failed=0.3, start=0.5),
    "30% fail on one route": Fault(failed=0.3, route=1),
    "40% fail at load": Fault(failed=0.4, busy=True),
    "all 3 times slower": Fault(slow=1.0, factor=3.0),
    "half 4 times slower": Fault(slow=0.5, factor=4.0),
    "all 3 times slower from half time": Fault(1.0 * 0, 1.0, 3.0, 0.5),
    "4 times slower on one route": Fault(slow=1.0, factor=4.0, route=1),
    "4 times slower at load": Fault(slow=1.0, factor=4.0, busy=True),
}
"""Bad versions, by what is seen of them."""


class Result(msgspec.Struct):
    """What became of one roll-out.

    Attributes:
        phase: Its last phase.
        reason: Why it was rolled back.
        ended_at: Time of its end after the order in seconds.
        reached: Requests that reached the service until the deadline.
        sent: Requests that the new version got until the deadline.
        bad_seconds: Time from the 50th bad answer to the last request that was
            sent to the new version, or 0.
        cut: Requests that ran at old endpoints when it was completed.
    """

    phase: rollout_trials.Phase = rollout_trials.Phase.WAITING
    reason: str = ""
    ended_at: float = math.inf
    reached: int = 0
    sent: int = 0
    bad_seconds: float = 0.0
    cut: int = 0


class World:
    """One service during one roll-out.

    Attributes:
        result: What became of it so far.
    """

    def __init__(
        self,
        seed: int,
        trouble: str = "calm",
        fault: Fault | None = None,
        endpoints: int = 30,
        rate: float = 250.0,
        seconds: float = 12.0,
    ):
        self.result = Result()
        self._random = random.Random(f"{seed}/{trouble}/{fault}")
        self._trouble = trouble
        self._fault = fault
        self._rate = rate
        self._seconds = seconds
        self._members: dict[ids.EndpointId, placement.GroupMember] = {}
        self._speeds: dict[ids.EndpointId, float] = {}
        self._grey: set[ids.EndpointId] = set()
        self._served: dict[ids.EndpointId, int] = {}
        self._add_endpoints("old", "v1", endpoints)
        self._new_at = self._random.uniform(0.2, 1.0)
        self._endpoints = endpoints
        self._trial = rollout_trials.Trial(
            rollout_trials.Order(
                ids.ServiceName("s"), "v2", seconds, seed, 0.0
            ),
            rollout_trials.Phase.WAITING,
            rollout_shares.ExposureBound(0.1, 50.0),
        )
        self._trouble_at = self._random.uniform(0.1, 0.6) * seconds
        self._events: list[tuple[float, int, str, tuple]] = []
        self._order = itertools.count()
        self._bad_answers = 0
        self._bad_at = math.inf
        self._last_sent_at = 0.0
        self._write_at = math.inf

    def run(self) -> Result:
        """Plays the roll-out to a little after its deadline."""
        self._push(0.0, "arrive", ())
        self._push(0.0, "step", ())
        while self._events:
            now, _, kind, data = heapq.heappop(self._events)
            if now > self._seconds * 1.2:
                break
            getattr(self, f"_{kind}")(now, *data)
        self.result.phase = self._trial.phase
        self.result.reason = self._trial.reason
        if self._bad_at < math.inf:
            self.result.bad_seconds = max(
                0.0, self._last_sent_at - self._bad_at
            )
        return self.result

    def _push(self, at: float, kind: str, data: tuple) -> None:
        heapq.heappush(self._events, (at, next(self._order), kind, data))

    def _add_endpoints(self, name: str, version: str, count: int) -> None:
        for index in range(count):
            endpoint = ids.EndpointId(f"{name}-{index}")
            declared = declarations.Endpoint(
                service=ids.ServiceName("s"),
                data_centre=ids.DataCentre("cell"),
                vm=ids.VmId(endpoint),
                address="127.0.0.1:1",
                max_requests=_SLOTS,
                location=ids.DataCentre(_PLACES[index % 3]),
                version=version,
            )
            self._members[endpoint] = placement.GroupMember(
                endpoint, declared, True
            )
            self._speeds[endpoint] = _MAX_SPEED_RATIO ** self._random.random()
            self._served[endpoint] = 0
            if self._random.random() < 0.12:
                self._grey.add(endpoint)

    def _is_troubled(self, now: float) -> bool:
        return 0.0 <= now - self._trouble_at < 0.35 * self._seconds

    # Events.

    def _step(self, now: float) -> None:
        self._push(now + _STEP_SECONDS, "step", ())
        if now >= self._new_at and "new-0" not in self._members:
            self._add_endpoints("new", "v2", self._endpoints)
        if self._trouble == "crashes" and self._is_troubled(now):
            self._crash(now)
        self._trial.advance(self._members, now)
        phase = self._trial.phase
        if phase is rollout_trials.Phase.FINISHING:
            self._close(False)
        if phase is rollout_trials.Phase.REVERTING:
            self._close(True)
        ends = (rollout_trials.Phase.FINISHING, rollout_trials.Phase.REVERTING)
        if phase in ends and self._write_at == math.inf:
            self._write_at = now + _WRITE_SECONDS
        if now >= self._write_at and phase in ends:
            self._end(now)

    def _close(self, new: bool) -> None:
        for member in self._members.values():
            if self._trial.is_target(member) is new:
                member.open = False

    def _end(self, now: float) -> None:
        completed = self._trial.phase is rollout_trials.Phase.FINISHING
        self._trial.phase = (
            rollout_trials.Phase.COMPLETED
            if completed
            else rollout_trials.Phase.ROLLED_BACK
        )
        self.result.ended_at = now
        if completed:
            self.result.cut = sum(
                len(member.model.running)
                for member in self._members.values()
                if not self._trial.is_target(member)
            )

    def _crash(self, now: float) -> None:
        """Ends one endpoint now and then."""
        if self._random.random() > 0.08:
            return
        name = self._random.choice(list(self._members))
        for request in list(self._members[name].model.running):
            self._push(
                now, "release", (request, name, states.Outcome.BROKEN, 0.1)
            )

    def _arrive(self, now: float) -> None:
        rate = self._rate
        if self._trouble == "burst" and self._is_troubled(now):
            rate *= 1.7
        rate *= 1.0 + 0.25 * math.sin(now)
        self._push(now + self._random.expovariate(rate), "arrive", ())
        route = self._random.randrange(3)
        request = ids.RequestId(f"r{next(self._order)}")
        terms = messages.AskTerms(route=route + 1)
        ask = messages.Ask(
            ids.GroupId("s@cell"),
            request,
            0,
            0,
            -1,
            0,
            0,
            (),
            ids.ContentDigest(0),
            terms=terms,
        )
        if now <= self._seconds:
            self.result.reached += 1
        self._trial.reached(ask)
        members = self._trial.candidates(ask, self._members, now)
        usable = [m for m in members.values() if m.open and m.has_slot(now)]
        if not usable:
            return
        member = min(
            usable, key=lambda m: (len(m.model.running), self._random.random())
        )
        self._grant(ask, member, route, now)

    def _grant(
        self,
        ask: messages.Ask,
        member: placement.GroupMember,
        route: int,
        now: float,
    ) -> None:
        is_new = self._trial.is_target(member)
        if is_new:
            self._last_sent_at = now
            self.result.sent += now <= self._seconds
        name = member.model.endpoint
        load = len(member.model.running) / _SLOTS
        member.model.start(
            capacity.RunningRequest(
                ask.request, ids.NodeId("n"), 0, 0, 0, 0, ask.content, now
            )
        )
        self._trial.granted(ask, member, now)
        failed, seconds, is_bad = self._answer(name, is_new, route, load, now)
        outcome = states.Outcome.COMPLETED
        if failed:
            outcome = states.Outcome.FAILED
        elif self._is_cut(name, now):
            outcome = states.Outcome.BROKEN
        if is_bad:
            self._push(now + seconds, "bad", ())
        self._push(
            now + seconds, "release", (ask.request, name, outcome, seconds)
        )

    def _answer(
        self,
        name: ids.EndpointId,
        is_new: bool,
        route: int,
        load: float,
        now: float,
    ) -> tuple[bool, float, bool]:
        """Returns whether an answer fails, its time, and whether it is bad."""
        draw = self._random.random
        seconds = _ROUTE_SECONDS[route] * self._speeds[name]
        seconds *= math.exp(self._random.gauss(0.0, _SPREAD))
        seconds *= 1.0 + 0.6 * load
        self._served[name] += 1
        if self._trouble == "cold caches" and is_new:
            seconds *= 1.1 + 0.9 * math.exp(-self._served[name] / 10)
        failures = _ROUTE_FAILURES[route]
        if self._is_troubled(now):
            if self._trouble == "bad tenant" and draw() < 0.2:
                failures = 0.6
            if self._trouble == "grey endpoints" and name in self._grey:
                failures = 0.4
        failed = draw() < failures
        is_bad = False
        fault = self._fault
        if (
            fault is not None
            and is_new
            and now >= fault.start * self._seconds
            and fault.route in (None, route)
            and (not fault.busy or load >= _BUSY_LOAD)
        ):
            if draw() < fault.failed:
                failed = is_bad = True
            if draw() < fault.slow:
                seconds *= fault.factor
                is_bad = True
        return failed, 0.02 if failed else seconds, is_bad

    def _is_cut(self, name: ids.EndpointId, now: float) -> bool:
        place = self._members[name].model.declared.location
        return (
            self._trouble == "cut place"
            and place == "b"
            and self._is_troubled(now)
            and self._random.random() < 0.5
        )

    def _bad(self, now: float) -> None:
        self._bad_answers += 1
        if self._bad_answers == _BAD_ANSWERS:
            self._bad_at = now

    def _release(
        self,
        now: float,
        request: ids.RequestId,
        name: ids.EndpointId,
        outcome: states.Outcome,
        seconds: float,
    ) -> None:
        member = self._members[name]
        if request not in member.model.running:
            return
        release = messages.Release(
            ids.GroupId("s@cell"),
            request,
            name,
            outcome.code,
            -1,
            0,
            round(seconds * 1000),
            0,
        )
        self._trial.released(release, member, now)
        member.model.end(request, now)
