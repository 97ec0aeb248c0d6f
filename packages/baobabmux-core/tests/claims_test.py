"""Tests of claims on keys: the fold, the batcher, and both under faults."""

import collections
import copy
from typing import ClassVar

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from baobabmux_core import claim_batches, claims, invariants, messages, states

_WINDOW = 600.0
_RETENTION = 1200.0
_VERDICTS = claims.ClaimVerdict
_RUNNING = states.RunStatus.RUNNING


def _entry(attempt, key=1, body=7, key_time_ms=0, holder="h"):
    return messages.ClaimEntry(key, attempt, holder, body, key_time_ms)


def _claim(attempt, key=1, body=7, key_time_ms=0):
    return ["c", key, attempt, "h", body, key_time_ms]


def _ledger(*entries):
    ledger = claims.ClaimLedger(_WINDOW)
    for offset, entry in enumerate(entries):
        ledger.apply(offset, _record(entry), 0)
    return ledger


def _record(*entries):
    return {"type": "claims", "batcher": "b", "entries": list(entries)}


def _caught_up_batcher(name="b", **limits):
    batcher = claim_batches.ClaimBatcher(name, _WINDOW, **limits)
    batcher.read([], 0.0)
    return batcher


def _log(*records):
    return [
        {"offset": offset, "time_ms": 0, "data": data}
        for offset, data in enumerate(records)
    ]


def _interpret(answer, entry, alive=True):
    return claims.interpret_answer(answer, entry, lambda node: alive)


def test_first_claim_by_offset_wins():
    """Guards against two winners of one key."""
    ledger = _ledger(_claim("a"), _claim("b"), _claim("a"))
    assert ledger.state(1).winner == "a"
    assert ledger.is_excluded(1, "b")


def test_only_the_winner_withdraws_or_ends_its_claim():
    """Guards against a losing attempt that releases the winner's key."""
    ledger = _ledger(_claim("a"), ["w", 1, "b"], ["o", 1, "b", "done", 5])
    assert ledger.state(1).winner == "a"
    assert ledger.state(1).status is _RUNNING
    ledger.apply(3, _record(["o", 1, "a", "done", 5], ["w", 1, "a"]), 0)
    assert ledger.state(1).status is states.RunStatus.DONE
    assert ledger.state(1).answer == 5


@pytest.mark.parametrize(
    "records",
    [
        # Reordered: a paused batcher appends after the withdrawal.
        [["w", 1, "a"], _claim("a")],
        [_claim("a"), ["w", 1, "a"], _claim("a")],  # Duplicated.
        # The attempt lost before the winner was withdrawn.
        [_claim("x"), _claim("a"), ["w", 1, "x"], _claim("a")],
    ],
)
def test_excluded_attempt_never_holds_the_key(records):
    """Guards against a key that is held by an attempt which never runs.

    Such a key would refuse every later attempt until it expires.
    """
    ledger = _ledger(*records)
    assert ledger.state(1) is None
    ledger.apply(9, _record(_claim("next")), 0)
    assert ledger.state(1).winner == "next"


def test_claims_outside_the_window_are_ignored():
    """Guards against a delayed append that wins an expired key again."""
    ledger = claims.ClaimLedger(_WINDOW)
    ledger.apply(0, _record(_claim("late")), int(_WINDOW * 1000) + 1)
    ledger.apply(1, _record(_claim("ahead", key_time_ms=10**15)), 0)
    assert (len(ledger), ledger.ignored) == (0, 2)


def test_expired_keys_are_dropped():
    """Guards against a ledger that grows without bound."""
    ledger = claims.ClaimLedger(_WINDOW)
    for number in range(5000):
        time_ms = number * 1000
        entry = _claim(f"a{number}", key=number, key_time_ms=time_ms)
        ledger.apply(number, _record(entry, ["w", -number, "x"]), time_ms)
    kept_seconds = _WINDOW + claims.CLOCK_MARGIN_SECONDS
    ahead_seconds = claims.KEY_AHEAD_SECONDS + claims.CLOCK_MARGIN_SECONDS
    assert len(ledger) <= 2 * (kept_seconds + ahead_seconds + 1)


@pytest.mark.parametrize(
    "data",
    [
        None,
        {"type": "claims"},
        {"type": "claims", "batcher": "b", "entries": 7},
        _record(None, ["c"], ["c", "1", 2], ["x"], {"c": 1}, []),
        _record(["c", 10**400, "a", "h", 1, 1], ["o", 1, "a", "gone", 1]),
    ],
)
def test_malformed_records_are_counted_and_ignored(data):
    """Guards against one malformed record that stops every batcher."""
    ledger = _ledger(_claim("a"))
    ledger.apply(1, data, 0)
    assert ledger.ignored > 0
    assert ledger.state(1).winner == "a"


@pytest.mark.parametrize(
    ("status", "body", "alive", "expected"),
    [
        (None, 7, True, _VERDICTS.STILL_RUNNING),
        (None, 7, False, _VERDICTS.UNKNOWN),
        ("done", 7, False, _VERDICTS.DONE),
        ("unknown", 7, True, _VERDICTS.UNKNOWN),
        ("done", 8, True, _VERDICTS.KEY_REUSED),
    ],
)
def test_repeated_send_gets_the_state_of_the_first(
    status, body, alive, expected
):
    """Guards against a repeated send that runs or gets a wrong verdict."""
    batcher = _caught_up_batcher()
    batcher.read(_log(_record(_claim("first"))), 0.0)
    if status:
        data = _record(["o", 1, "first", status, 0])
        batcher.read([{"offset": 1, "time_ms": 0, "data": data}], 0.0)
    entry = _entry("again", body=body)
    (answer,) = batcher.ask(entry, 0.0)
    assert _interpret(answer, entry, alive) is expected
    assert batcher.next_batch(1.0) is None


def test_claim_is_decided_by_reading_it_back():
    """Guards against a claim that counts as won when its append succeeds.

    Another attempt's claim may precede it in the log.
    """
    batcher = _caught_up_batcher()
    entry = _entry("a")
    assert batcher.ask(entry, 0.0) == []
    record = batcher.next_batch(0.0)
    batcher.append_finished(1, 0.0)
    (answer,) = batcher.read(_log(_record(_claim("b")), record), 0.0)
    assert answer.winner == "b"
    assert _interpret(answer, entry) is _VERDICTS.STILL_RUNNING


def test_append_with_unknown_result_is_read_back():
    """Guards against a duplicated or lost claim.

    The log's answer to an append is lost, so the batcher has to read the
    stream before it repeats the append.
    """
    batcher = _caught_up_batcher()
    batcher.ask(_entry("a"), 0.0)
    record = batcher.next_batch(0.0)
    batcher.append_finished(None, 0.0)
    assert batcher.next_batch(1.0) is None
    assert batcher.read([], 1.0, end=1) == []
    assert batcher.next_batch(1.0) is None  # Offset 0 is not read yet.
    (answer,) = batcher.read(_log(record), 1.0, end=1)
    assert _interpret(answer, _entry("a")) is _VERDICTS.WON
    assert batcher.next_batch(2.0) is None


def test_append_that_never_arrived_is_repeated():
    """Guards against claims that stay pending after a lost append."""
    batcher = _caught_up_batcher()
    batcher.ask(_entry("a"), 0.0)
    record = batcher.next_batch(0.0)
    batcher.append_finished(None, 0.0)
    batcher.read([], 1.0, end=0)
    assert batcher.next_batch(1.0) == record


def test_outage_refuses_all_and_marks_claims_that_may_be_in_the_log():
    """Guards against late refusals and lost withdrawals in an outage.

    Only the claim whose append was started needs a withdrawal.
    """
    batcher = _caught_up_batcher(batch_entries=1)
    batcher.ask(_entry("a"), 0.0)
    batcher.ask(_entry("b", key=2), 0.0)
    batcher.next_batch(0.0)
    answers = {item.attempt: item for item in batcher.refuse_pending(1.0)}
    assert [_interpret(answers[a], _entry(a)) for a in "ab"] == [
        _VERDICTS.UNAVAILABLE
    ] * 2
    assert claims.must_withdraw(answers["a"])
    assert not claims.must_withdraw(answers["b"])
    batcher.withdraw(1, "a", 1.0)
    batcher.read([], 2.0)
    assert batcher.next_batch(2.0)["entries"] == [["w", 1, "a"]]


def test_pending_claims_are_refused_when_records_expired_unread():
    """Guards against a wrong winner after a pause of the batcher.

    The record with the winning claim expired before it was read.
    """
    batcher = _caught_up_batcher()
    batcher.ask(_entry("a"), 0.0)
    batcher.next_batch(0.0)
    batcher.append_finished(4, 0.0)
    later = {"offset": 9, "time_ms": 0, "data": _record(_claim("a"))}
    (answer,) = batcher.read([later], 1.0)
    assert _interpret(answer, _entry("a")) is _VERDICTS.UNAVAILABLE


def test_claims_are_appended_before_queued_withdrawals():
    """Guards against new requests that wait for the backlog of an outage."""
    batcher = _caught_up_batcher(batch_entries=2)
    for number in range(5):
        batcher.withdraw(number, f"w{number}", 0.0)
    batcher.ask(_entry("a", key=9), 0.0)
    entries = batcher.next_batch(0.0)["entries"]
    assert [entry[2] for entry in entries] == ["a", "w0"]


def test_pending_claims_are_refused_when_nothing_is_left_to_read():
    """Guards against claims that stay pending after their record expired."""
    batcher = _caught_up_batcher()
    batcher.ask(_entry("a"), 0.0)
    batcher.next_batch(0.0)
    batcher.append_finished(4, 0.0)
    (answer,) = batcher.read([], 1.0, end=9, first=9)
    assert claims.must_withdraw(answer)


def test_claim_without_repeated_asks_is_not_appended():
    """Guards against claims of requests that their holder has given up."""
    batcher = _caught_up_batcher()
    batcher.ask(_entry("a"), 0.0)
    batcher.ask(_entry("b", key=2), 0.0)
    batcher.ask(_entry("b", key=2), 4.0)
    entries = batcher.next_batch(6.0)["entries"]
    assert [entry[2] for entry in entries] == ["b"]
    (answer,) = batcher.read([], 6.0)
    assert (answer.attempt, answer.status) == ("a", "not_run")


def test_batches_respect_size_and_interval():
    """Guards against more appends than the log service can handle."""
    batcher = _caught_up_batcher(batch_entries=10, interval_seconds=0.1)
    for number in range(25):
        batcher.ask(_entry(f"a{number}", key=number), 0.0)
    sizes = []
    for now in [0.0, 0.01, 0.02, 0.11]:
        record = batcher.next_batch(now)
        sizes.append(len(record["entries"]) if record else 0)
        assert batcher.next_batch(now) is None
        batcher.append_finished(None if record is None else 1, now)
    assert sizes == [10, 10, 0, 5]


def test_appends_and_memory_at_the_target_rate():
    """Guards against limits that overload the log at the target rate.

    Also checks the number of keys in memory and the log's retention.
    """
    entries = 2 * 3100  # A claim and an outcome for each request.
    assert claim_batches.appends_per_second(entries, 16) == 160
    assert claim_batches.appends_per_second(entries, 16, 10, 0.1) == 620
    assert claim_batches.appends_per_second(4, 16) == 4
    assert claims.ledger_keys(3100, 3600, 128) == pytest.approx(94_453, abs=1)
    assert claims.retention_allows(4200, 3600)
    assert not claims.retention_allows(4199, 3600)


_NUMBERS = st.sampled_from([0, 1, 2, 3])
_FATES = st.sampled_from(
    ["known", "known", "known", "lost", "late", "never", "doubled"]
)
_READS = st.sampled_from([10**6, 10**6, 10**6, 1, 0])
_ACTIONS = st.sampled_from(
    ["dispatch", "dispatch", "finish", "ask again", "give up", "die"]
)
_FAULTS = st.sampled_from(
    [
        "late append arrives",
        "late append arrives",
        "log fails for one batcher",
        "log switches",
        "batcher dies",
    ]
)
# Up to more than the window and the retention.
_SECONDS = st.sampled_from([0.1, 0.1, 0.1, 0.1, 1.0, 3.0, 500.0, 2000.0])


class _Request:
    """A holder's request, reduced to the state of its claim."""

    def __init__(self, entry, name, eager):
        self.entry = entry
        self.name = name
        self.eager = eager  # Whether it is dispatched as soon as it wins.
        self.state = "claiming"


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Holders and batchers that share one log, with injected faults.

    Answers to appends are lost, appends arrive late or twice, the log has
    outages and its records expire. Batchers and holders are paused for longer
    than the window, killed and replaced. Callers repeat their sends.
    """

    batcher_class = claim_batches.ClaimBatcher
    retention = _RETENTION
    counts: ClassVar[dict] = collections.Counter()

    def __init__(self):
        super().__init__()
        self.counts["examples"] += 1
        self.now = 0.0
        self.records = []
        self.late_records = []
        self.keys = []
        self.requests = []
        self.facts = []
        self.batchers = []
        self.log_reachable = True
        for _ in range(2):
            self.batchers.append(self.new_batcher())

    def new_batcher(self):
        self.counts["batchers"] += 1
        batcher = self.batcher_class(f"b{self.counts['batchers']}", _WINDOW)
        self.read_stream(batcher, 10**6)
        return batcher

    def oldest_offset(self):
        oldest_ms = (self.now - self.retention) * 1000
        return sum(time_ms < oldest_ms for time_ms, _ in self.records)

    def append(self, record):
        data = copy.deepcopy(record)
        self.records.append((int(self.now * 1000), data))
        return len(self.records) - 1

    def read_stream(self, batcher, count):
        start = max(batcher.ledger.next_offset, self.oldest_offset())
        records = [
            {"offset": offset, "time_ms": time_ms, "data": data}
            for offset, (time_ms, data) in enumerate(self.records)
            if start <= offset < start + count
        ]
        return batcher.read(
            records, self.now, end=len(self.records), first=self.oldest_offset()
        )

    def deliver(self, answers, node):
        for answer in answers:
            for request in self.requests:
                if request.entry.attempt == answer.attempt:
                    self.handle_answer(request, answer, node)

    def handle_answer(self, request, answer, node):
        if answer.winner and answer.status != "not_run":
            self.facts.append(
                invariants.ClaimDecided(answer.key, answer.winner, node)
            )
        if request.state != "claiming":
            return
        verdict = claims.interpret_answer(
            answer, request.entry, lambda node: True
        )
        self.counts[verdict.value] += 1
        if verdict is _VERDICTS.WON:
            request.state = "won"
            if request.eager:
                self.dispatch(request)
        else:
            self.refuse(request, verdict)

    def refuse(self, request, verdict=_VERDICTS.UNAVAILABLE):
        request.state = "refused"
        status = states.RunStatus.UNKNOWN
        if verdict is _VERDICTS.UNAVAILABLE:
            status = states.RunStatus.NOT_RUN
            self.withdraw(request)
        self.facts.append(invariants.Refused(request.name, status))

    def withdraw(self, request):
        entry = request.entry
        self.facts.append(invariants.ClaimReleased(entry.key, entry.attempt))
        self.batchers[0].withdraw(entry.key, entry.attempt, self.now)

    def pick(self, items, number):
        return items[number % len(items)] if items else None

    def ask(self, request, number):
        batcher = self.pick(self.batchers, number)
        self.deliver(batcher.ask(request.entry, self.now), batcher.node)

    def recent(self, number, *wanted):
        """Returns one of the four newest requests in one of the states."""
        found = [item for item in self.requests if item.state in wanted]
        return self.pick(found[-4:], number)

    @stateful.rule(
        fresh=_NUMBERS, batcher=_NUMBERS, ahead=_NUMBERS, quick=st.booleans()
    )
    def submit(self, fresh=1, batcher=0, ahead=0, quick=True):
        """Submits a first or repeated send, unless its key has expired."""
        self.counts["steps"] += 1
        if fresh == 0 or not self.keys:
            key_time = self.now + ahead * claims.KEY_AHEAD_SECONDS / 3
            self.keys.append((len(self.keys), key_time))
        key, key_time = self.keys[-1]
        if self.now - key_time > _WINDOW:
            return
        number = len(self.requests)
        entry = _entry(f"a{number}", key, 7, int(key_time * 1000))
        request = _Request(entry, f"r{number}", quick)
        self.requests.append(request)
        self.ask(request, batcher)
        if quick:
            self.run_batcher(batcher)

    @stateful.rule(number=_NUMBERS, fate=_FATES, read=_READS)
    def run_batcher(self, number, fate="known", read=10**6):
        """Lets a batcher append a batch, read the log and send answers."""
        self.counts["steps"] += 1
        batcher = self.pick(self.batchers, number)
        record = batcher.next_batch(self.now)
        if record is not None:
            self.counts["appends"] += 1
            self.append_with_fate(batcher, record, fate)
        if self.log_reachable:
            self.deliver(self.read_stream(batcher, read), batcher.node)

    def append_with_fate(self, batcher, record, fate):
        offset = None
        if self.log_reachable and fate == "late":
            self.late_records.append(record)
        elif self.log_reachable and fate != "never":
            offset = self.append(record)
            if fate == "doubled":
                self.append(record)
        batcher.append_finished(offset if fate == "known" else None, self.now)

    @stateful.rule(number=_NUMBERS, action=_ACTIONS)
    def run_holder(self, number, action):
        """Lets a holder act on a decided claim, ask again or give up."""
        self.counts["steps"] += 1
        if action == "dispatch":
            self.dispatch(self.recent(number, "won"))
        elif action == "finish":
            self.finish(self.recent(number, "dispatched"), number)
        elif action == "ask again":
            request = self.recent(number, "claiming", "won")
            if request:
                self.ask(request, number + 1)
        else:
            request = self.recent(number, "claiming", "won")
            if request and action == "give up":
                self.refuse(request)
            elif request:
                request.state = "killed"

    def dispatch(self, request):
        if request is None:
            return
        request.state = "dispatched"
        self.counts["dispatched"] += 1
        entry = request.entry
        self.facts.append(
            invariants.Dispatched(request.name, entry.attempt, entry.key)
        )

    def finish(self, request, number):
        if request is None:
            return
        request.state = "done"
        batcher = self.pick(self.batchers, number)
        batcher.record_outcome(
            request.entry.key,
            request.entry.attempt,
            states.RunStatus.DONE,
            1,
            self.now,
        )

    @stateful.rule(number=_NUMBERS, fault=_FAULTS)
    def inject(self, number, fault):
        self.counts["steps"] += 1
        self.counts[fault] += 1
        batcher = self.pick(self.batchers, number)
        if fault == "late append arrives" and self.late_records:
            self.append(self.late_records.pop(number % len(self.late_records)))
        elif fault == "log fails for one batcher":
            self.deliver(batcher.refuse_pending(self.now), batcher.node)
        elif fault == "log switches":
            self.log_reachable = not self.log_reachable
        elif fault == "batcher dies" and self.log_reachable:
            index = self.batchers.index(batcher)
            self.batchers[index] = self.new_batcher()

    @stateful.rule(seconds=_SECONDS)
    def pass_time(self, seconds):
        self.now += seconds

    def teardown(self):
        assert not invariants.keys_run_at_most_once(self.facts)
        assert not invariants.dispatched_at_most_once(self.facts)
        assert not invariants.not_run_requests_never_run(self.facts)
        assert not invariants.claims_agree(self.facts)


def _run(machine, examples):
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            max_examples=examples,
            stateful_step_count=60,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def test_no_key_runs_twice():
    """Guards against second runs and false "not run" refusals.

    The machine combines all faults in random order.
    """
    _run(ClaimMachine, 300)
    print("claims:", dict(ClaimMachine.counts))
    assert ClaimMachine.counts["steps"] > 3000


class _LastClaimWins(claims.ClaimLedger):
    def _fold_claim(self, claim, time_ms):
        self._states.pop(claim.key, None)
        super()._fold_claim(claim, time_ms)


class _NoWindow(claims.ClaimLedger):
    def _in_window(self, key_time_ms, time_ms):
        return True


class _AnyAttemptWithdraws(claims.ClaimLedger):
    def _fold_withdrawal(self, entry, time_ms):
        self._states.pop(entry.key, None)


def _with_ledger(ledger_class):
    class Batcher(claim_batches.ClaimBatcher):
        def __init__(self, *args):
            super().__init__(*args)
            self.ledger = ledger_class(_WINDOW)

    return Batcher


class _WinsOnAppend(claim_batches.ClaimBatcher):
    def _read_record(self, record):
        return []

    def append_finished(self, offset, now):
        for entry in self._in_flight or ():
            if offset is not None and entry.attempt in self._pending:
                claim = self._pending.pop(entry.attempt).claim
                self._refusals.append(
                    messages.ClaimAnswer(
                        claim.key,
                        claim.attempt,
                        claim.attempt,
                        claim.holder,
                        "running",
                        claim.body,
                    )
                )
        super().append_finished(offset, now)


class _WithdrawsOnItsOwn(claim_batches.ClaimBatcher):
    def refuse_pending(self, now):
        lost = [item.claim for item in self._pending.values() if item.appended]
        super().refuse_pending(now)
        for claim in lost:
            self.withdraw(claim.key, claim.attempt, now)
        return []


def _race(machine):
    """Both batchers append a claim on one key before either reads."""
    machine.submit(quick=False)
    machine.submit(batcher=1, quick=False)
    for request in machine.requests:
        request.eager = True
    machine.run_batcher(0)
    machine.run_batcher(1)


def _withdraw_loser(machine):
    """A losing attempt is withdrawn while the winner is running."""
    machine.submit()
    machine.submit(batcher=1, quick=False)
    machine.refuse(machine.requests[1])
    machine.pass_time(1.0)
    machine.run_batcher(0)
    machine.pass_time(1.0)
    machine.submit()


def _append_after_expiry(machine):
    """An append arrives after the winner's records have expired.

    A new batcher reads it and answers the holder, which was paused meanwhile.
    """
    machine.submit()
    machine.submit(batcher=1, quick=False)
    machine.run_batcher(1, "late", 0)
    machine.pass_time(2000.0)
    machine.inject(0, "late append arrives")
    machine.inject(1, "batcher dies")
    machine.requests[1].eager = True
    machine.ask(machine.requests[1], 1)


def _outage_after_append(machine):
    """A batcher loses the log after an append that another one reads back."""
    machine.submit(quick=False)
    machine.requests[0].eager = True
    machine.run_batcher(0, "lost", 0)
    machine.batchers[0].refuse_pending(machine.now)  # Its refusal is lost.
    machine.run_batcher(1)
    machine.ask(machine.requests[0], 1)
    machine.pass_time(1.0)
    machine.run_batcher(0)
    machine.run_batcher(0)
    machine.submit()
    machine.pass_time(1.0)
    machine.run_batcher(0)


@pytest.mark.parametrize(
    ("scenario", "broken"),
    [
        (_race, _with_ledger(_LastClaimWins)),
        (_race, _WinsOnAppend),
        (_withdraw_loser, _with_ledger(_AnyAttemptWithdraws)),
        (_append_after_expiry, _with_ledger(_NoWindow)),
        (_outage_after_append, _WithdrawsOnItsOwn),
    ],
)
def test_broken_decisions_are_detected(scenario, broken):
    """Guards against invariants that cannot fail.

    Each scenario passes with the real classes and fails with a broken one.
    """

    class Machine(ClaimMachine):
        batcher_class = broken

    sound = ClaimMachine()
    scenario(sound)
    sound.teardown()
    assert any(request.state == "dispatched" for request in sound.requests)
    machine = Machine()
    scenario(machine)
    with pytest.raises(AssertionError):
        machine.teardown()


def test_short_retention_is_detected():
    """Guards against a log that drops claims within the window."""

    class Machine(ClaimMachine):
        retention = 100.0

    assert not claims.retention_allows(Machine.retention, _WINDOW)
    for machine_class in (ClaimMachine, Machine):
        machine = machine_class()
        machine.submit()
        machine.pass_time(200.0)
        machine.inject(0, "batcher dies")
        machine.submit()
        if machine_class is ClaimMachine:
            machine.teardown()
        else:
            with pytest.raises(AssertionError):
                machine.teardown()
