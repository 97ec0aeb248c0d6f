"""Tests of streams while endpoints of several software versions serve."""

import collections
import pathlib
import zlib

import msgspec
import pytest

from baobabmux_core import (
    errors,
    messages,
    scheduler,
    states,
    stream_origins,
)
from baobabmux_standins import modules

_driver = modules.load(
    pathlib.Path(__file__).with_name("scheduler_test.py"),
    "stream_versions_driver",
)


class _Cluster(_driver.Cluster):
    """Cluster whose endpoints have versions, and whose streams break off.

    Attributes:
        versions: Version of each declared endpoint.
        seen: Versions of the endpoints that sent events, by stream.
    """

    def __init__(self, versions, **options):
        self.seen = collections.defaultdict(list)
        self._streams = {}
        declared = {"endpoints": len(versions), "isolates_suspects": False}
        self.configuration = _driver._configuration(**declared)
        self.versions = dict(
            zip(self.configuration.endpoints, versions, strict=True)
        )
        super().__init__(**declared, **options)
        self.declare()

    def declare(self, *left):
        """Declares the endpoints with their versions, without some."""
        listed = [name for name in self.versions if name not in left]
        self.declared = self.declaration(listed)
        for node, core in self.nodes.items():
            self.carry_out(node, core.configure(self.declared, self.now))
        self.deliver_all()

    def declaration(self, listed):
        """Returns the declarations with only these endpoints."""
        endpoints = {
            name: msgspec.structs.replace(
                self.configuration.endpoints[name], version=self.versions[name]
            )
            for name in listed
        }
        return msgspec.structs.replace(self.configuration, endpoints=endpoints)

    def begin(self, stream, node=0, **fields):
        """Submits a stream and lets it run up to its first event."""
        self._submit_stream(f"s{stream}", stream, node, **fields)
        self.run_to_first_event(f"s{stream}")

    def take_up(self, stream, node, **fields):
        """Submits a request that takes a stream up, as its caller does."""
        request = f"s{stream}-{len(self.holder_of)}"
        self._submit_stream(request, stream, node, resumes=stream, **fields)
        self.run_to_first_event(request)
        return request

    def _submit_stream(self, request, stream, node, **fields):
        self._streams[request] = stream
        values = {
            "stream": stream
            if "resumes" not in fields
            else zlib.crc32(request.encode()),
            "max_attempts": 2,
            "resumable": True,
            "first_by": self.now + 5.0,
            "gap_seconds": 0.4,
            "deadline": self.now + 20.0,
            **fields,
        }
        self.submit(request, node, **values)

    def run_to_first_event(self, request):
        self.exchange()
        endpoint = self.running.get(request)
        if endpoint is None:
            return
        core = self.nodes[self.holder_of[request]]
        emitted = core.first_token(request, self.now)
        self.carry_out(self.holder_of[request], emitted)
        self.seen[self._streams[request]].append(self.versions[endpoint])
        self.deliver_all()

    def exchange(self):
        for _ in range(10):
            self.deliver_all()
            if not self.pending:
                return
            self.step_all()

    def break_off(self, request):
        """Breaks a stream; its node may go on at another endpoint."""
        node = self.holder_of[request]
        del self.running[request]
        emitted = self.nodes[node].finished(
            request, states.Outcome.BROKEN, self.now
        )
        self.carry_out(node, emitted)
        self.run_to_first_event(request)

    def mixed(self):
        return [
            s for s, versions in self.seen.items() if len(set(versions)) > 1
        ]


def test_broken_stream_goes_on_at_the_version_that_began_it():
    """Guards against an answer with events of two software versions."""
    cluster = _Cluster(["v1", "v2", "v2", "v2"])
    cluster.versions["e3-col-a"] = "v1"
    cluster.declare()
    for stream in range(1, 9):
        cluster.begin(stream, node=stream % 3)
        cluster.break_off(f"s{stream}")
        cluster.finish(f"s{stream}")
    assert not cluster.mixed()
    assert all(len(versions) == 2 for versions in cluster.seen.values())


def test_stream_is_taken_up_at_the_version_that_began_it():
    """Guards against a caller's tries that reach two software versions.

    The caller takes the stream up at a node that never saw it.
    """
    cluster = _Cluster(["v1", "v2", "v2", "v1"])
    for stream in range(1, 9):
        cluster.begin(stream, node=0, max_attempts=1)
        cluster.break_off(f"s{stream}")
        request = cluster.take_up(stream, node=1 + stream % 2)
        cluster.finish(request)
    assert not cluster.mixed()
    assert all(len(versions) == 2 for versions in cluster.seen.values())


def test_stream_of_a_version_that_has_left_is_refused_at_once():
    """Guards against a broken stream that waits for a version that left.

    One version leaves before the break, another one while streams wait.
    """
    cluster = _Cluster(["v1", "v2", "v3", "v3"])
    cluster.begin(1)
    began_at = cluster.running["s1"]
    cluster.declare(began_at)
    cluster.break_off("s1")
    assert cluster.refusals["s1"].kind is errors.ErrorKind.VERSION_GONE
    fillers = [f"f{number}" for number in range(20)]
    cluster.begin(2)
    version = cluster.seen[2][0]
    for request in fillers:
        cluster.submit(request, 1)
    cluster.exchange()
    cluster.break_off("s2")
    for request in fillers:
        cluster.submit(f"{request}-again", 1)
    cluster.exchange()
    assert "s2" not in cluster.running or version == "v3"
    gone = [n for n, v in cluster.versions.items() if v == version]
    if "s2" not in cluster.running:
        cluster.declare(began_at, *gone)
        cluster.advance(0.25)
        assert cluster.refusals["s2"].kind is errors.ErrorKind.VERSION_GONE
    assert not cluster.mixed()


def test_streams_that_wait_for_a_version_do_not_hold_up_others():
    """Guards against idle slots while streams wait for another version.

    The broken stream waits for the one endpoint of its version that it has not
    tried, whose slots are all taken.
    """
    cluster = _Cluster(["v1", "v1", "v2", "v2"])
    streams = list(range(1, 9))
    for stream in streams:
        cluster.begin(stream)
    old = [s for s in streams if cluster.seen[s] == ["v1"]]
    new = [s for s in streams if cluster.seen[s] == ["v2"]]
    assert len(old) == len(new) == 4
    tried = cluster.running[f"s{old[0]}"]
    cluster.break_off(f"s{old[0]}")
    assert f"s{old[0]}" not in cluster.running
    for stream in new:
        cluster.finish(f"s{stream}")
    for number in range(5):
        cluster.submit(f"filler{number}")
    cluster.exchange()
    assert all(f"filler{number}" in cluster.running for number in range(5))
    other = next(s for s in old[1:] if cluster.running[f"s{s}"] != tried)
    cluster.finish(f"s{other}")
    cluster.run_to_first_event(f"s{old[0]}")
    assert cluster.seen[old[0]] == ["v1", "v1"]


def test_own_shares_keep_to_the_version_of_a_stream():
    """Guards against a mix while the owner of the group is silent."""
    cluster = _Cluster(["v1", "v2", "v1", "v2"])
    owner = cluster.members.owner("drafting@col-a")
    holder = next(
        index for index, node in enumerate(cluster.nodes) if node != owner
    )
    for stream in range(1, 5):
        cluster.begin(stream, node=holder)
    cluster.paused.add(owner)
    for stream in range(1, 5):
        cluster.break_off(f"s{stream}")
    cluster.advance(1.0)
    for stream in range(1, 5):
        cluster.run_to_first_event(f"s{stream}")
    assert sum(len(versions) for versions in cluster.seen.values()) > 4
    assert not cluster.mixed()


def test_stream_does_not_go_on_at_an_endpoint_that_may_have_started_again():
    """Guards against an entry that is older than its endpoint's process."""
    cluster = _Cluster(["v1", "v1", "v2"])
    cluster.begin(1)
    began_at = cluster.running["s1"]
    (other,) = {"e0-col-a", "e1-col-a"} - {began_at}
    while True:
        request = f"r{len(cluster.holder_of)}"
        cluster.submit(request)
        cluster.deliver_all()
        cluster.step_all()
        endpoint = cluster.running[request]
        if endpoint == other:
            cluster.finish(request, states.Outcome.NOT_SENT)
            break
    cluster.break_off("s1")
    assert len(cluster.seen[1]) == 1
    cluster.advance(2.0)
    cluster.run_to_first_event("s1")
    assert cluster.seen[1] == ["v1", "v1"]


@pytest.mark.parametrize("versions", [["v1", "", "", "v1"], ["", "", "", ""]])
def test_streams_of_unknown_versions(versions):
    """Guards against a mix with endpoints that name no version.

    While none names one, streams go on at any endpoint, as they always did.
    """
    cluster = _Cluster(versions)
    for stream in range(1, 9):
        cluster.begin(stream)
        began_unknown = not cluster.seen[stream][0]
        cluster.break_off(f"s{stream}")
        goes_on = len(cluster.seen[stream]) == 2
        assert goes_on is (not began_unknown or not any(versions))
        if goes_on:
            cluster.finish(f"s{stream}")
    assert not cluster.mixed()


def test_version_of_an_entry_that_changes():
    """Guards against a stream whose endpoint is listed with another version.

    If that happens before its first event, either version may have begun it.
    """
    cluster = _Cluster(["v1", "v2", "v1", "v2"])
    cluster.begin(1)
    began_at = cluster.running["s1"]
    before = cluster.versions[began_at]
    cluster.versions[began_at] = "v3"
    cluster.declare()
    cluster.break_off("s1")
    assert cluster.seen[1] == [before, before]
    cluster.submit(
        "s2", max_attempts=2, resumable=True, first_by=cluster.now + 5.0
    )
    cluster.exchange()
    cluster.versions[cluster.running["s2"]] = "v4"
    cluster.declare()
    cluster.carry_out(
        cluster.holder_of["s2"],
        cluster.nodes[cluster.holder_of["s2"]].first_token("s2", cluster.now),
    )
    cluster._streams["s2"] = 2
    cluster.break_off("s2")
    assert cluster.refusals["s2"].kind is errors.ErrorKind.VERSION_GONE


def _kill(cluster, node):
    """Ends a node; its streams break off at its callers."""
    for request, holder in cluster.holder_of.items():
        if holder == node:
            cluster.running.pop(request, None)
            cluster.pending.pop(request, None)
    del cluster.nodes[node]
    cluster.members.centres["col-a"].remove(node)
    cluster.members_changed()
    cluster.deliver_all()


def _start(cluster, node):
    """Starts a node with an empty memory."""
    core = scheduler.NodeScheduler(node, "col-a", cluster.members, 1)
    cluster.nodes[node] = core
    if node not in cluster.members.centres["col-a"]:
        cluster.members.centres["col-a"].append(node)
    cluster.carry_out(node, core.configure(cluster.declared, cluster.now))
    cluster.members_changed()
    cluster.deliver_all()


def test_stream_is_taken_up_after_its_node_has_ended():
    """Guards against a record that is lost with the node that began it.

    The second try of each caller reaches a node that has started since.
    """
    cluster = _Cluster(["v1", "v2", "v2", "v1"], nodes=5)
    names = list(cluster.nodes)
    for stream in range(1, 7):
        cluster.begin(stream, node=0)
    _kill(cluster, names[0])
    _start(cluster, "col-a-new")
    new = list(cluster.nodes).index("col-a-new")
    for stream in reversed(range(1, 7)):
        cluster.take_up(stream, node=new)
    assert not cluster.mixed()
    assert all(len(versions) == 2 for versions in cluster.seen.values())


def test_stream_is_taken_up_after_its_keepers_have_started_again():
    """Guards against copies of a record that are lost one after the other."""
    cluster = _Cluster(["v1", "v2", "v2", "v1"], nodes=5)
    names = list(cluster.nodes)
    for stream in range(1, 7):
        cluster.begin(stream, node=0)
    for node in names[1:]:
        _kill(cluster, node)
        _start(cluster, node)
        cluster.advance(0.5)
    _kill(cluster, names[0])
    for stream in reversed(range(1, 7)):
        cluster.take_up(stream, node=stream % 4)
    assert not cluster.mixed()
    assert all(len(versions) == 2 for versions in cluster.seen.values())


@pytest.mark.parametrize("lost", ["StreamAsk", "StreamAnswer"])
def test_stream_of_which_nothing_is_known_is_refused(lost):
    """Guards against a guess when the version of a stream cannot be known.

    The node is cut off from those that know it, or the name is forged.
    """
    cluster = _Cluster(["v1", "v2", "v2", "v1"], nodes=4)
    cluster.lost |= {"StreamsBegan", lost}
    cluster.begin(1)
    request = cluster.take_up(1, node=3)
    cluster.advance(0.5)
    cluster.lost.clear()
    forged = cluster.take_up(777, node=2)
    cluster.advance(0.5)
    for refused in (request, forged):
        refusal = cluster.refusals[refused]
        assert refusal.kind is errors.ErrorKind.STREAM_UNKNOWN
        assert refusal.retry_after > 0.0
    assert not any(core.held_requests() > 1 for core in cluster.nodes.values())


def test_stream_of_a_service_with_one_version_needs_no_record():
    """Guards against control traffic and refusals in ordinary times.

    A node that has just started learns from the others that there was one
    version only. Once another version is listed, records are sent.
    """
    cluster = _Cluster(["v1"] * 4, nodes=4)
    cluster.advance(130.0)
    sent = collections.Counter()
    deliver = cluster.deliver

    def counting(index=0):
        sent[type(cluster.network[index][2]).__name__] += 1
        deliver(index)

    cluster.deliver = counting
    for stream in range(1, 5):
        cluster.begin(stream)
    assert not sent["StreamsBegan"]
    _start(cluster, "col-a-new")
    new = list(cluster.nodes).index("col-a-new")
    assert cluster.take_up(1, node=new) in cluster.running
    # Nobody has a record, but there was only one version.
    assert cluster.take_up(777, node=1) in cluster.running
    cluster.versions["e3-col-a"] = "v2"
    cluster.declare()
    cluster.advance(0.25)
    assert sent["StreamsBegan"]
    _kill(cluster, next(iter(cluster.nodes)))
    assert cluster.take_up(2, node=0) in cluster.running
    refused = cluster.take_up(888, node=1)
    assert cluster.refusals[refused].kind is errors.ErrorKind.STREAM_UNKNOWN
    assert not cluster.mixed()


def test_node_with_an_old_directory_does_not_assume_one_version():
    """Guards against a node that is cut off and misses a new version."""
    cluster = _Cluster(["v1"] * 4, nodes=4)
    cluster.advance(130.0)
    node = next(iter(cluster.nodes))
    cluster.nodes[node].endpoints_age = lambda now: 10.0
    cluster.advance(0.5)
    cluster.lost.add("StreamAsk")
    request = cluster.take_up(777, node=0)
    cluster.advance(0.5)
    assert cluster.refusals[request].kind is errors.ErrorKind.STREAM_UNKNOWN


def test_caller_that_leaves_during_the_question_leaves_nothing():
    """Guards against a request that runs after its caller has gone."""
    cluster = _Cluster(["v1", "v2"], nodes=4)
    cluster.begin(1)
    node = list(cluster.nodes)[3]
    cluster._streams["again"] = 1
    cluster.submit("again", 3, resumes=1, stream=5, resumable=True)
    assert cluster.nodes[node].held_requests() == 1
    cluster.carry_out(node, cluster.nodes[node].cancel("again", cluster.now))
    cluster.advance(1.0)
    assert "again" not in cluster.running
    assert cluster.nodes[node].held_requests() == 0


def test_records_of_streams_are_bounded():
    """Guards against memory and messages that grow with the traffic.

    A node at the target size begins 9 streams a second; everything that it
    sends may take 4 KB a second.
    """
    origins = stream_origins.StreamOrigins("n0")
    configuration = _Cluster(["v1", "v2"]).declared
    origins.history.configure(configuration, 0.0)
    peers = [f"n{number}" for number in range(340)]
    frames = 0
    for number in range(90):
        now = number / 9
        origin = stream_origins.Origin("drafting", "v1")
        origins.began(number * 2**57, origin, now)
        for effect in origins.reports(peers, now):
            frame = messages.Frame("n0", 1, 1, 1, (effect.message,))
            frames += len(messages.encode_frame(frame))
    assert frames <= 10 * 4_000
    for number in range(30_000):
        origins.began(number, origin, now)
    assert len(origins) <= 10_000
    origins.expire(now + 3600.0)
    assert len(origins) == 0
