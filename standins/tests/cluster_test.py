"""Tests of the process harness with stand-ins but without nodes."""

import os
import pathlib
import sys

import pytest

from baobabmux_standins import client, cluster, process


def _alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_cluster_ends_paused_and_running_processes():
    """Guards against child processes that outlive a test.

    One child is suspended when the cluster ends, the other runs.
    """
    with cluster.Cluster() as started:
        started.start_platform(["col-a"])
        sleep = [sys.executable, "-c", "import time; time.sleep(600)"]
        paused = started.start_process("paused", sleep)
        paused.pause()
        pids = [child.pid for child in started.processes]
        assert len(pids) == 2 and all(_alive(pid) for pid in pids)
        directory = started.directory
    assert not any(_alive(pid) for pid in pids)
    assert not pathlib.Path(directory).exists()


def test_harness_ended_by_sigterm_leaves_no_process():
    """Guards against stand-ins that outlive a test run ended by SIGTERM.

    By default, SIGTERM would end the run without cleanup.
    """
    script = (
        "import time\n"
        "from baobabmux_standins import cluster\n"
        "with cluster.Cluster() as started:\n"
        "    started.start_platform(['col-a'])\n"
        "    print(started.processes[0].pid, flush=True)\n"
        "    time.sleep(600)\n"
    )
    with cluster.Cluster() as started:
        harness = started.start_process("h", [sys.executable, "-c", script])
        pid = harness.announcement()
        assert _alive(pid)
        harness.terminate()
        harness.wait()
    process.wait_until(lambda: not _alive(pid), "the stand-in ends")


def test_cut_separates_one_data_centre_from_the_platform():
    """Guards against a cut that misses a link or affects another centre."""
    with cluster.Cluster() as started:
        started.start_platform(["col-a", "col-b"])
        path = "/streams/config/records"

        def read_status(data_centre):
            address = started.relays[data_centre, "log"].address
            try:
                return client.call(address, "GET", path).status
            except OSError:
                return 0

        started.cut("col-a")
        assert (read_status("col-a"), read_status("col-b")) == (0, 200)
        started.heal("col-a")
        assert read_status("col-a") == 200


def test_faults_can_be_set_while_connections_are_refused():
    """Guards against a stand-in that cannot be restored after an outage.

    The command port must stay reachable while the protocol port refuses.
    """
    with cluster.Cluster() as started:
        engine = started.add("engine")
        engine.set_faults(refuse=True)
        with pytest.raises(OSError, match="refused"):
            client.call(engine.address, "GET", "/v1/load")
        engine.set_faults()
        assert client.call(engine.address, "GET", "/v1/load").status == 200
        with pytest.raises(cluster.CommandError, match="unknown"):
            engine.set_faults(no_such_fault=True)


def test_early_exit_of_a_process_is_reported_with_its_errors(tmp_path):
    """Guards against a wait until the limit for a process that has exited."""
    command = [sys.executable, "-c", "import sys; sys.exit('bad settings')"]
    failed = process.Process("failed", command, tmp_path)
    with pytest.raises(process.WaitTimeoutError, match="bad settings"):
        failed.announcement()
