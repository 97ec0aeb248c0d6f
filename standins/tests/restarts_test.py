"""Process tests: planned shutdowns of nodes under load."""

import time

import curio

from baobabmux_standins import ledger, load, testbed, workload

NODES = {"n1": "col-a", "n2": "col-a", "n3": "col-a"}
ENDPOINTS = {"e1": "col-a", "e2": "col-a", "desk1": "col-a"}


def _calls(count, seconds):
    for number in range(count):
        kind = number % 4
        if kind == 0:
            call = testbed.plain_call()
        elif kind == 1:
            call = testbed.engine_call(tokens=60)
        else:
            call = testbed.engine_call(tokens=10, path="/flags")
        at_seconds = seconds * number / count
        yield workload.Call(
            call.marker,
            call.kind,
            at_seconds,
            call.path,
            call.body,
            call.headers,
            call.text,
        )


async def _replace_all_nodes(bed, sending, calls):
    task = await curio.spawn(sending.run, calls)
    codes = []
    for name, data_centre in NODES.items():
        while sending.sent < len(calls) * (len(codes) + 1) // 5:
            await curio.sleep(0.1)
        new = await curio.run_in_thread(
            bed.start_node, f"{name}-new", data_centre
        )
        sending.balancer.add(new.callers)
        code = await curio.run_in_thread(bed.cluster.stop_node, bed.node(name))
        codes.append(code)
    await task.join()
    return codes


def test_rolling_restart_fails_no_request():
    """Guards against requests that fail because of a planned shutdown.

    Each of three nodes is replaced in turn while calls are being sent.
    """
    with testbed.Testbed(NODES, ENDPOINTS) as bed:
        nodes = bed.cluster.nodes.values()
        sending = load.Load(load.Balancer(node.callers for node in nodes))
        calls = list(_calls(240, 15.0))
        codes = curio.run(_replace_all_nodes, bed, sending, calls)
        assert codes == [0, 0, 0]
        assert len(sending.outcomes) == len(calls)
        assert bed.violations(sending.outcomes) == []
        assert ledger.unsuccessful(sending.outcomes) == []


def test_stopped_node_finishes_the_requests_it_holds():
    """Guards against a shutdown that interrupts running or queued requests.

    The only node gets SIGTERM while it holds more requests than run at once.
    """
    with testbed.Testbed({"n1": "col-a"}, ENDPOINTS) as bed:
        calls = [testbed.engine_call(tokens=100) for _ in range(30)]

        async def stop_under_load():
            address = bed.node("n1").callers
            tasks = [
                await curio.spawn(load.send, address, call) for call in calls
            ]
            while not bed.run_count(calls[0]):
                await curio.sleep(0.05)
            node = bed.node("n1")
            code = await curio.run_in_thread(bed.cluster.stop_node, node)
            return code, [await task.join() for task in tasks]

        started = time.monotonic()
        code, outcomes = curio.run(stop_under_load)
        assert code == 0, f"after {time.monotonic() - started:.1f} s"
        assert bed.violations(outcomes) == []
        assert ledger.unsuccessful(outcomes) == []
