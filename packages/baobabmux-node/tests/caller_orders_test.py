"""Tests of request handlers in seeded orders of events, without sockets."""

import random
import re
import types

import curio
import pytest

from baobabmux_core import declarations, effects, errors, scheduler, states
from baobabmux_node import (
    adapters,
    callers,
    clock,
    driver,
    held,
    server,
    serving,
)

_NODE = "n1"
_CENTRE = "col-a"
_EVENTS = 4
_MAX_STEPS = 400
_SEEDS = range(200)
_EVENT_ID = re.compile(rb"id: (\d+)\n")


class _Members:
    """Membership of one node, which owns all groups."""

    def live(self, data_centre):
        return [_NODE]

    def reachable(self):
        return [_NODE]

    def node_count(self):
        return 1

    def owner(self, group):
        return _NODE

    def endpoint_vm_state(self, vm):
        return states.EndpointState.LIVE


class _Exchange:
    """Caller's connection that checks the order of what is sent."""

    def __init__(self, generator):
        self.status = None
        self.body = b""
        self.complete = False
        self.aborted = False
        self.closed = curio.Event()
        self._generator = generator

    def hold(self, size):
        assert size >= 0

    async def wait_for_close(self):
        await self.closed.wait()

    async def respond(self, status, headers, body):
        await self.start(status, headers)
        await self.send(body)
        await self.finish()

    async def start(self, status, headers):
        await self._check()
        assert self.status is None, "a second answer"
        self.status = status

    async def send(self, data):
        await self._check()
        assert self.status is not None, "data before the status"
        assert not self.complete, "data after the end"
        self.body += data

    async def finish(self):
        await self._check()
        assert not self.complete, "a second end"
        self.complete = True

    def abort(self):
        self.aborted = True
        raise server.PeerGoneError

    async def _check(self):
        await _yield_often(self._generator)
        if self.closed.is_set():
            raise server.PeerGoneError


def _events(first, last):
    return b"".join(b"id: %d\n" % n for n in range(first, last + 1))


async def _yield_often(generator):
    """Lets other tasks run a random number of times."""
    for _ in range(generator.randrange(generator.choice([1, 3]))):
        await curio.sleep(0)


class _Run:
    """One call at an endpoint; the test decides what the endpoint does."""

    def __init__(self, call, sink):
        self.call = call
        self.sink = sink
        self.permitted = False
        self.silent = False
        self.ended = False
        # What the test has chosen; the run may not have come to it yet.
        self.connects = False
        self.is_silent = False
        self.answers = False
        self.next_event = 1
        self.steps = curio.Queue()


class _Adapter(adapters.EndpointAdapter):
    """Carries out the steps that a test chooses, like the relay does."""

    def __init__(self, generator):
        self.runs = []
        self._generator = generator

    async def run(self, call, sink):
        current = _Run(call, sink)
        self.runs.append(current)
        try:
            return await self._run(current)
        finally:
            current.ended = True

    async def _run(self, run):
        if await run.steps.get() == "unsent":
            return adapters.Result(states.Outcome.UNREACHED)
        if not run.call.permit():
            return adapters.Result(states.Outcome.NOT_SENT)
        run.permitted = True
        run.next_event = int(run.sink.last_event or 0) + 1
        while True:
            step = await run.steps.get()
            if isinstance(step, states.Outcome):
                if step is states.Outcome.FAILED and not (
                    run.call.repeatable or not run.call.may_answer_failure(500)
                ):
                    return await self._pass_failure_on(run)
                return adapters.Result(step, output_tokens=run.sink.tokens)
            if step == "silent":
                run.silent = True
                await run.call.report_silence(1.6, False)
                continue
            await self._progress(run)
            if not run.call.parsed.streaming:
                await run.sink.head(200, {})
                await run.sink.data(_events(1, _EVENTS))
                return adapters.Result(states.Outcome.COMPLETED, status=200)
            if run.next_event > _EVENTS:
                await run.sink.head(200, {})
                return adapters.Result(states.Outcome.COMPLETED, status=200)
            number = run.next_event
            run.next_event += 1
            run.sink.last_event = str(number)
            await run.sink.head(200, {})
            await _yield_often(self._generator)
            await run.sink.data(_events(number, number))
            run.sink.progress(number)

    async def _progress(self, run):
        if run.silent:
            run.silent = False
            await run.call.report_progress()
        await _yield_often(self._generator)

    async def _pass_failure_on(self, run):
        await self._progress(run)
        await run.sink.head(500, {})
        await run.sink.data(b"failed")
        return adapters.Result(states.Outcome.COMPLETED, status=500)


class _Ignored:
    """Metrics and log events."""

    def __getattr__(self, name):
        return self

    def __call__(self, *args, **fields):
        return self


async def _do_nothing(*args):
    del args


class _Protocol:
    """Protocol without headers whose streams cannot report a failure."""

    promises = frozenset()

    def __init__(self, adapter):
        self._adapter = adapter

    def adapter(self, kind):
        return self._adapter

    def refusal(self, kind, public_id, detail, retry_after):
        return errors.ANSWERS[kind].status, {}, b""

    def status_headers(self, public_id, status):
        return {}

    def stream_failure(self, kind, public_id, detail):
        return None


def _route(streaming, max_attempts):
    return declarations.Route(
        "/w",
        "drafting",
        "t0",
        timeout_seconds=60.0,
        streaming=streaming,
        resumable=streaming,
        max_attempts=max_attempts,
        gap_seconds=5.0 if streaming else None,
    )


def _configuration(route, endpoints):
    return declarations.Configuration(
        tiers={"t0": declarations.Tier(0)},
        services={"drafting": declarations.Service("plain")},
        endpoints={
            f"e{number}": declarations.Endpoint(
                "drafting", _CENTRE, f"vm{number}", "127.0.0.1:1",
                max_requests=2, max_tokens=4000,
                prefill_tokens_per_second=1000.0,
                decode_tokens_per_second=100.0,
            )
            for number in range(endpoints)
        },
        routes={"wording": route},
        presets={"p": declarations.Preset(short_share=0, high_tier_share=0)},
        active="p",
    )  # fmt: skip


def _parsed(route, now, last_event):
    work = effects.Work(
        "r", "wording", "drafting", 0, "w", now + 50.0, 10, 10,
        resumable=route.resumable, max_attempts=route.max_attempts,
        gap_seconds=route.gap_seconds,
    )  # fmt: skip
    return held.ParsedRequest(
        "r", "public", "wording", route, "w", "POST", "/w", {}, b"",
        route.streaming, None, 0, work, now, last_event=last_event,
    )  # fmt: skip


class _Trial:
    """One request at a node whose endpoints act in a seeded order."""

    def __init__(self, seed, monkeypatch):
        self.generator = random.Random(seed)
        self.now = 100.0
        monkeypatch.setattr(clock, "now", lambda: self.now)
        self.streaming = self.generator.random() < 0.7
        self.last_event = None
        if self.streaming and self.generator.random() < 0.2:
            self.last_event = "1"
        self.route = _route(self.streaming, self.generator.choice([2, 3]))
        self.adapter = _Adapter(self.generator)
        self.exchange = _Exchange(self.generator)
        self.scheduler = scheduler.NodeScheduler(_NODE, _CENTRE, _Members(), 1)
        self.service = self._make_service()

    def _make_service(self):
        configuration = _configuration(
            self.route, self.generator.choice([1, 2, 4])
        )
        host = types.SimpleNamespace(
            settings=types.SimpleNamespace(node=_NODE),
            scheduler=self.scheduler,
            configuration=configuration,
            ports=types.SimpleNamespace(
                protocol=_Protocol(self.adapter),
                endpoints_version=lambda: 1,
                endpoints_age_ms=lambda now: 0,
            ),
            config=types.SimpleNamespace(version=1),
            paths=None,
            metrics=_Ignored(),
            events=_Ignored(),
            peers=types.SimpleNamespace(notify=_do_nothing),
            endpoint_ends=types.SimpleNamespace(attempt_ended=_do_nothing),
            answers=types.SimpleNamespace(
                register=_do_nothing,
                store_outcome=_do_nothing,
                release_key=_do_nothing,
            ),
        )
        host.driver = driver.SchedulerDriver(host)
        host.callers = serving.CallerService(host)
        self.driver = host.driver
        self.configuration = configuration
        return host.callers

    async def run(self, choose):
        """Serves the request; `choose` returns the next step of a run."""
        await self.driver.apply(
            self.scheduler.configure(self.configuration, self.now)
        )
        parsed = _parsed(self.route, self.now, self.last_event)
        request = held.HeldRequest(parsed)
        self.service.held[parsed.request] = request
        self.handler = callers.RequestHandler(
            self.service, self.exchange, request
        )
        serving_task = await curio.spawn(self._serve, request)
        for _ in range(_MAX_STEPS):
            if serving_task.terminated:
                break
            await self._step(choose, request)
        assert serving_task.terminated, "the request has not ended"
        await serving_task.join()
        await self._settle()
        await self._tick(0.1)
        self.check_nothing_is_left()

    async def _serve(self, request):
        try:
            await self.handler.run()
        except server.PeerGoneError:
            assert self.exchange.aborted
        finally:
            for name in ("r", *request.backups):
                self.service.held.pop(name, None)

    async def _step(self, choose, request):
        await _yield_often(self.generator)
        if self.generator.random() < 0.3:
            await self._settle()
            self.check_other_runs_have_ended()
        running = [run for run in self.adapter.runs if not run.ended]
        if not running or self.generator.random() < 0.2:
            await self._tick(0.02)
            return
        for _ in range(self.generator.choice([1, 1, 2, 3])):
            await self._act(choose, request, running)

    async def _act(self, choose, request, running):
        # Mostly the endpoints that are not silent act.
        weights = [1 if run.is_silent else 3 for run in running]
        (run,) = self.generator.choices(running, weights)
        if run.connects:
            step = choose(self, run)
        else:
            step = self._choose_connection(run)
        run.is_silent = step == "silent"
        if step == "gone":
            await self.exchange.closed.set()
        elif step == "timeout":
            await request.decide(held.TimedOut())
        else:
            await run.steps.put(step)

    def _choose_connection(self, run):
        run.connects = True
        is_first = run is self.adapter.runs[0]
        if self.generator.random() < 0.1 and not is_first:
            return "unsent"
        return "connected"

    async def _settle(self):
        """Waits until all tasks wait for the test."""
        for _ in range(30):
            await curio.sleep(0)

    def check_other_runs_have_ended(self):
        """Checks that only a silent endpoint has another run beside it."""
        running = sum(not run.ended for run in self.adapter.runs)
        assert running <= (2 if self.handler._is_silent() else 1)

    async def _tick(self, seconds):
        self.now += seconds
        await self.driver.apply(self.scheduler.tick(self.now))

    def check_nothing_is_left(self):
        assert self.scheduler.held_requests() == 0
        assert not self.service.held
        assert all(run.ended for run in self.adapter.runs)
        owner = self.scheduler._owned[f"drafting@{_CENTRE}"]
        assert not list(owner.state.runs())
        assert owner.queue_length() == 0

    def events(self):
        return [int(n) for n in _EVENT_ID.findall(self.exchange.body)]

    def is_whole(self):
        first = 1 if self.last_event is None else int(self.last_event) + 1
        return (
            self.exchange.status == 200
            and self.exchange.complete
            and self.events() == list(range(first, _EVENTS + 1))
        )

    def check_order(self):
        first = 1 if self.last_event is None else int(self.last_event) + 1
        events = self.events()
        assert events == list(range(first, first + len(events)))
        if self.exchange.complete and self.exchange.status == 200:
            assert self.is_whole()

    def dispatches(self):
        return sum(run.permitted for run in self.adapter.runs)


def _any_step(trial, run):
    """Returns a step of an endpoint or of the caller, sound or not."""
    draw = trial.generator.random()
    if draw < 0.03:
        return trial.generator.choice(["gone", "timeout"])
    if draw < 0.12:
        return trial.generator.choice(
            [
                states.Outcome.BROKEN,
                states.Outcome.FAILED,
                states.Outcome.REJECTED,
                states.Outcome.GARBAGE,
            ]
        )
    return "silent" if draw < 0.5 and run.call.repeatable else "event"


def _sound_step(trial, run):
    """Returns a step of a sound endpoint, or a failure of a backup.

    The first endpoint is only silent. While it is, others may fail before
    they answer.
    """
    draw = trial.generator.random()
    first = trial.adapter.runs[0]
    if draw < 0.3 and not (run is first or first.ended or run.answers):
        return trial.generator.choice(
            [states.Outcome.BROKEN, states.Outcome.FAILED]
        )
    if draw < 0.6 and run.call.repeatable:
        return "silent"
    run.answers = True
    return "event"


@pytest.mark.parametrize("seed", _SEEDS)
def test_request_has_one_end_in_any_order_of_events(seed, monkeypatch):
    """Guards against a repeated event, a slot or a run that is left over."""
    trial = _Trial(seed, monkeypatch)
    curio.run(trial.run, _any_step)
    trial.check_order()
    assert trial.dispatches() <= trial.route.max_attempts
    ends = [
        trial.exchange.complete,
        trial.exchange.aborted,
        trial.exchange.closed.is_set(),
    ]
    assert any(ends)


@pytest.mark.parametrize("seed", _SEEDS)
def test_failing_backup_does_not_end_the_answer_it_stands_by_for(
    seed, monkeypatch
):
    """Guards against a silent answer that a failure of another one ends."""
    trial = _Trial(seed, monkeypatch)
    curio.run(trial.run, _sound_step)
    trial.check_order()
    assert trial.dispatches() <= trial.route.max_attempts
    assert trial.is_whole()


def test_silent_stream_ends_once_its_rest_was_sent_elsewhere(monkeypatch):
    """Guards against a stream that two endpoints work on.

    The other endpoint answers only after the silent attempt has ended.
    """
    monkeypatch.setattr(callers, "_OVERLAP_SECONDS", 0.0)
    monkeypatch.setattr(callers, "_DISPATCH_CHECK_SECONDS", 0.0)

    def choose(trial, run):
        first = trial.adapter.runs[0]
        if run is first and run.next_event == 1:
            return "event"
        return "event" if first.ended else "silent"

    trials = (_Trial(seed, monkeypatch) for seed in _SEEDS)
    checked = 0
    for trial in trials:
        if not trial.streaming or len(trial.configuration.endpoints) < 2:
            continue
        curio.run(trial.run, choose)
        assert trial.is_whole()
        checked += trial.dispatches() == 2
    assert checked >= 50
