"""Tests that long steps of tasks are recorded."""

import curio

from baobabmux_node import clock, loop_watch


async def _hold(moves):
    for seconds in moves:
        _Clock.now += seconds
        await curio.sleep(0)


async def _hold_briefly():
    await _hold([0.01] * 3)


async def _hold_long():
    await _hold([0.5, 0.001, 2.0])


class _Clock:
    now = 0.0


async def _run_both():
    async with curio.TaskGroup() as group:
        await group.spawn(_hold_briefly)
        await group.spawn(_hold_long)


def _watch(monkeypatch):
    """Returns the watch of tasks that hold the loop for simulated times."""
    monkeypatch.setattr(clock, "now", lambda: _Clock.now)
    watch = loop_watch.LoopWatch()
    seen = []
    watch.on_long_step = lambda *step: seen.append(step)
    curio.run(_run_both, activations=[watch])
    return watch, seen


def test_long_steps_are_recorded_with_the_name_of_their_task(monkeypatch):
    """Guards against a node that answers late without a sign of the cause."""
    watch, seen = _watch(monkeypatch)
    assert [(name, round(s, 3)) for name, s in seen] == [
        ("_hold_long", 0.5),
        ("_hold_long", 2.0),
    ]
    (steps,) = watch.take().values()
    assert steps.count == 2
    assert round(steps.longest_seconds, 3) == 2.0


def test_steps_are_taken_once(monkeypatch):
    """Guards against a log line that is repeated at each check."""
    watch, _ = _watch(monkeypatch)
    assert set(watch.take()) == {"_hold_long"}
    assert watch.take() == {}
