"""Measures the traffic, CPU time and memory of each role of a node.

Each measurement is a line fitted through the costs at several sizes.
"""

import collections
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from baobabmux_bench import slopes, targets
from baobabmux_core import (
    claim_batches,
    claims,
    configuration,
    declarations,
    effects,
    grants,
    ids,
    membership,
    messages,
    prefixes,
    quarantine,
    scheduler,
    states,
    timeline,
)

_CENTRE = ids.DataCentre("region-a-1")
_SERVICE = ids.ServiceName("model-00")
_GROUP = ids.group_id(_SERVICE, _CENTRE)
_PROMPT = b"x" * 4 * targets.PROMPT_TOKENS
_EPOCH_MS = 1_796_000_000_000


class Cycle(NamedTuple):
    """Cost of requests from their arrival to their end.

    `Register` messages are not counted, because their number does not depend on
    the number of requests; see `register_rate`.

    Attributes:
        holder_bytes: Bytes that the holder sent, with one message per frame.
        owner_bytes: Bytes that the owner sent.
        frames: Frames that both sent.
        holder_seconds: CPU time of the holder, with encoding and decoding of
            its frames.
        owner_seconds: CPU time of the owner, with encoding and decoding of its
            frames.
    """

    holder_bytes: float
    owner_bytes: float
    frames: float
    holder_seconds: float
    owner_seconds: float


def tables(
    endpoints: int, workspaces: int = 0, max_requests: int = 64
) -> declarations.Tables:
    """Returns declarations with one service and several workspaces."""
    return {
        "tier": {"top": {"rank": 0}, "low": {"rank": 1}},
        "workspace": {
            f"workspace-{i:05}": {"weight": 1.0 + i % 3}
            for i in range(workspaces)
        },
        "service": {
            str(_SERVICE): {
                "kind": "engine",
                "max_queue_requests": 100_000,
                "max_queue_tokens": 1_000_000_000,
            }
        },
        "endpoint": {
            f"{_SERVICE}-{i:03}": {
                "service": str(_SERVICE),
                "data_centre": str(_CENTRE),
                "vm": f"vm-{i:03}",
                "address": f"10.0.{i // 250}.{i % 250 + 1}:9000",
                "max_requests": max_requests,
                "max_tokens": 400_000,
                "cache_tokens": 60_000,
            }
            for i in range(endpoints)
        },
        "route": {
            "all": {"path": "/", "service": str(_SERVICE), "tier": "top"}
        },
        "preset": {"ordinary": {}, "peak": {}},
        "active": {"preset": {"name": "ordinary"}},
    }


def _parse_configuration(
    endpoints: int, max_requests: int = 64
) -> declarations.Configuration:
    declared = tables(endpoints, max_requests=max_requests)
    return declarations.parse(declared).ok


def _encode_frame(*sent: messages.AnyMessage) -> bytes:
    return messages.encode_frame(
        messages.Frame("node-a-101", _EPOCH_MS, 123_456, _EPOCH_MS << 16, sent),
        b"0123456789abcdef",
    )


def _make_ask(number: int) -> messages.Ask:
    return messages.Ask(
        group=_GROUP,
        request=ids.RequestId(f"node-a-101-1a23dad6c31-{number}"),
        tier=number % 2,
        workspace=number * 7919 % 2**32,
        deadline_ms=120_000,
        prompt_tokens=targets.PROMPT_TOKENS,
        output_tokens=targets.OUTPUT_TOKENS,
        prefixes=prefixes.digest_prompt(_PROMPT),
        content=ids.ContentDigest(number * 2_654_435_761 % 2**64),
    )


def _make_work(number: int, now: float = 4.0) -> effects.Work:
    ask = _make_ask(number)
    return effects.Work(
        request=ask.request,
        route=ids.RouteName("all"),
        service=_SERVICE,
        tier=0,
        workspace=ids.Workspace(f"workspace-{number % 1000}"),
        deadline=now + 120.0,
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        prefixes=ask.prefixes,
        content=ask.content,
    )


# Messages.


def frame_bytes() -> slopes.Slope:
    """Bytes of a frame by number of grants."""
    grant = messages.Grant(
        _make_ask(1).request, ids.EndpointId("model-00-001"), 3000
    )
    return slopes.fit((1, 4, 16), lambda n: len(_encode_frame(*[grant] * n)))


def ask_bytes() -> slopes.Slope:
    """Bytes of a frame with one `Ask` by prompt length in tokens."""

    def size(tokens: int) -> float:
        parts = prefixes.digest_prompt(b"x" * 4 * tokens)
        return len(
            _encode_frame(msgspec.structs.replace(_make_ask(1), prefixes=parts))
        )

    return slopes.fit((64, 256, 1024, 4096), size)


def heartbeat_bytes() -> slopes.Slope:
    """Bytes of a frame with one heartbeat by its number of group loads."""

    def size(loads: int) -> float:
        group_loads = tuple(
            messages.ServiceLoad(
                ids.GroupId(f"model-{i % 11:02}@region-a-{i // 11}"), 1234
            )
            for i in range(loads)
        )
        return len(
            _encode_frame(messages.Heartbeat(False, 812, group_loads, _CENTRE))
        )

    return slopes.fit((0, 11, 77), size)


def register_bytes() -> slopes.Slope:
    """Bytes of a frame with one `Register` by requests in flight."""

    def size(entries: int) -> float:
        in_flight = tuple(
            messages.InFlight(
                _make_ask(i).request,
                ids.EndpointId("model-00-001"),
                0,
                targets.PROMPT_TOKENS,
                targets.OUTPUT_TOKENS,
                _make_ask(i).content,
                3456,
            )
            for i in range(entries)
        )
        return len(_encode_frame(messages.Register(_GROUP, in_flight)))

    return slopes.fit((1, 8, 64), size)


# Holder and owner.


class Pair:
    """A holder and an owner that exchange encoded frames.

    Attributes:
        nodes: Schedulers by name.
        owner: Name of the owner of the group.
        holder: Name of the other node.
        sent_bytes: Bytes of frames without a `Register`, by sender.
        register_bytes: Bytes of frames with a `Register`.
        kinds: Number of frames without a `Register`, by class of message.
        seconds: CPU seconds by node.
        dispatched: `Dispatch` effects not yet carried out.
    """

    def __init__(self, endpoints: int):
        names = [ids.NodeId(f"node-a-{i}") for i in (101, 102)]
        entries = [
            membership.VmEntry(name, "node", _CENTRE, "live", "x", "x")
            for name in names
        ]
        self.nodes = {}
        for name in names:
            view = membership.Membership(name, _CENTRE, 0.0)
            view.apply_vm_list(entries, 0.0, 0.0)
            node = scheduler.NodeScheduler(name, _CENTRE, view, seed=1)
            node.configure(_parse_configuration(endpoints), 0.0)
            self.nodes[name] = node
            owner = view.owner(_GROUP)
        self.owner = owner
        self.holder = next(name for name in names if name != owner)
        self.reset()
        self.dispatched: list[effects.Dispatch] = []
        for step in range(1, 9):
            self.tick(step * 0.5)

    def reset(self) -> None:
        """Sets all counters to zero."""
        self.sent_bytes = dict.fromkeys(self.nodes, 0)
        self.register_bytes = 0
        self.kinds: collections.Counter[str] = collections.Counter()
        self.seconds = dict.fromkeys(self.nodes, 0.0)

    def tick(self, now: float) -> None:
        """Ticks both nodes without counting their CPU time."""
        seconds = dict(self.seconds)
        for name in self.nodes:
            self.call_scheduler(name, lambda node: node.tick(now), now)
        self.seconds = seconds

    def call_scheduler(
        self,
        name: ids.NodeId,
        act: Callable[[scheduler.NodeScheduler], list[effects.Effect]],
        now: float,
    ) -> None:
        """Calls a node's scheduler and delivers the messages that it sends."""
        started = time.process_time()
        decided = act(self.nodes[name])
        frames = [
            (effect.to, effect.message, _encode_frame(effect.message))
            for effect in decided
            if isinstance(effect, effects.Send)
        ]
        self.seconds[name] += time.process_time() - started
        self.dispatched += [
            e for e in decided if isinstance(e, effects.Dispatch)
        ]
        for to, message, data in frames:
            if isinstance(message, messages.Register):
                self.register_bytes += len(data)
            else:
                self.sent_bytes[name] += len(data)
                self.kinds[type(message).__name__] += 1
            started = time.process_time()
            frame = messages.decode_frame(data, b"0123456789abcdef")
            self.seconds[to] += time.process_time() - started
            self.call_scheduler(
                to,
                lambda node, f=frame: node.receive(name, f.messages[0], now),
                now,
            )

    def run_all(self, requests: int) -> None:
        """Runs and counts requests, one after the other."""
        self.reset()
        now = 5.0
        for number in range(requests):
            self.run(number, now)
            now += targets.REQUEST_SECONDS + 0.1
            self.tick(now)

    def run(self, number: int, now: float) -> None:
        """Runs one request and reports progress at each token."""
        work = _make_work(number, now)
        name = work.request
        holder = self.holder
        self.call_scheduler(holder, lambda node: node.submit(work, now), now)
        if not self.dispatched:
            raise RuntimeError("the request was not granted")
        self.dispatched.clear()
        self.nodes[holder].start_dispatch(name, now)
        first = now + targets.FIRST_TOKEN_SECONDS
        self.call_scheduler(
            holder, lambda node: node.first_token(name, first), first
        )
        self.tick(first)
        end = first
        for token in range(1, targets.OUTPUT_TOKENS + 1):
            end = first + token * targets.TOKEN_SECONDS
            if token % 15 == 0:
                self.tick(end)
            self.call_scheduler(
                holder,
                lambda node, t=token, at=end: node.progress(name, t, at),
                end,
            )
        self.call_scheduler(
            holder,
            lambda node: node.finished(
                name,
                states.Outcome.COMPLETED,
                end,
                computed_tokens=targets.PROMPT_TOKENS,
                output_tokens=targets.OUTPUT_TOKENS,
            ),
            end,
        )


def cycles(requests: int) -> Cycle:
    """Cost of a number of requests to one group, one after the other."""
    pair = Pair(round(targets.ENDPOINTS_PER_GROUP))
    pair.run_all(requests)
    return Cycle(
        pair.sent_bytes[pair.holder],
        pair.sent_bytes[pair.owner],
        pair.kinds.total(),
        pair.seconds[pair.holder],
        pair.seconds[pair.owner],
    )


def cycle_slopes() -> dict[str, slopes.Slope]:
    """Cost of requests from arrival to end, by their number."""
    sizes = (50, 100, 200)
    measured = {size: cycles(size) for size in sizes}
    return {
        name: slopes.fit(sizes, lambda n, name=name: getattr(measured[n], name))
        for name in Cycle._fields
    }


def held_memory() -> slopes.Slope:
    """Memory of the holder in bytes by its number of held requests."""

    def build(count: int) -> Any:
        pair = Pair(1)
        node = pair.nodes[pair.holder]
        for number in range(count):
            node.submit(_make_work(number), 5.0)
        if node.held_requests() != count:
            raise RuntimeError("the holder refused requests")
        return pair

    return slopes.fit(
        (100, 200, 400), lambda n: slopes.memory_bytes(lambda: build(n))
    )


def holder_tick_cpu() -> slopes.Slope:
    """CPU seconds of one tick of a holder by held requests."""

    def prepare(count: int) -> scheduler.NodeScheduler:
        pair = Pair(1)
        node = pair.nodes[pair.holder]
        for number in range(count):
            node.submit(_make_work(number), 4.0)
        return node

    def run(node: scheduler.NodeScheduler) -> None:
        for step in range(20):
            node.tick(4.0 + step * 0.05)

    return slopes.fit(
        (100, 200, 400),
        lambda n: slopes.cpu_seconds(lambda: prepare(n), run) / 20,
    )


def register_rate() -> slopes.Slope:
    """Bytes a second of `Register` frames by requests in flight in a group."""
    seconds = 60.0

    def run(count: int) -> float:
        pair = Pair(1 + count // 60)
        for number in range(count):
            work = _make_work(number)
            pair.call_scheduler(
                pair.holder, lambda n, w=work: n.submit(w, 4.0), 4.0
            )
            pair.nodes[pair.holder].start_dispatch(work.request, 4.0)
        if len(pair.dispatched) != count:
            raise RuntimeError("not all requests were dispatched")
        pair.reset()
        for step in range(round(seconds / 0.5)):
            pair.tick(4.5 + step * 0.5)
        return pair.register_bytes / seconds

    return slopes.fit((4, 8, 16), run)


def _make_owner(endpoints: int, queued: int) -> grants.GroupOwner:
    owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 0.0)
    owner.configure(_parse_configuration(endpoints, max_requests=1), 0.0)
    for number in range(queued + endpoints):
        ask = msgspec.structs.replace(_make_ask(number), deadline_ms=-1)
        owner.ask(ask, ids.NodeId("node-a-101"), 5.0)
    if owner.queue_length() != queued:
        raise RuntimeError("the owner did not queue all requests")
    return owner


def owner_memory() -> slopes.Slope:
    """Memory of the owner in bytes by its number of queued requests."""
    return slopes.fit(
        (100, 200, 400),
        lambda n: slopes.memory_bytes(lambda: _make_owner(10, n)),
    )


def endpoint_memory() -> slopes.Slope:
    """Memory of the owner in bytes by endpoints with a full cache."""

    def build(endpoints: int) -> grants.GroupOwner:
        owner = _make_owner(endpoints, 0)
        for name in owner.endpoints():
            for number in range(60_000 // 32):
                digest = ids.PrefixDigest((number + 1) * 2_654_435_761 % 2**32)
                owner.cache_event(name, "stored", digest, 64)
        return owner

    return slopes.fit(
        (5, 10, 20), lambda n: slopes.memory_bytes(lambda: build(n))
    )


def owner_tick_cpu() -> slopes.Slope:
    """CPU seconds of one tick of an owner by queued requests."""

    def run(owner: grants.GroupOwner) -> None:
        for step in range(20):
            owner.tick(6.0 + step * 0.05)

    return slopes.fit(
        (100, 200, 400),
        lambda n: slopes.cpu_seconds(lambda: _make_owner(10, n), run) / 20,
    )


# Claims.


def _make_claim(number: int) -> messages.ClaimEntry:
    return messages.ClaimEntry(
        ids.KeyHash(number * 11_400_714_819_323_198_485 % 2**64),
        ids.AttemptId(f"node-a-101-1a23dad6c31-{number}"),
        ids.NodeId("node-a-101"),
        ids.ContentDigest(number * 2_654_435_761 % 2**64),
        _EPOCH_MS,
    )


def _make_claim_record(entries: int, first: int = 0) -> dict[str, Any]:
    batcher = claim_batches.ClaimBatcher(
        ids.NodeId("node-a-101"), targets.CLAIM_WINDOW_SECONDS, entries
    )
    batcher.read([], 0.0)
    for number in range(first, first + entries):
        batcher.ask(_make_claim(number), 0.0)
    return batcher.next_batch(0.0)


def claim_record_bytes() -> slopes.Slope:
    """Bytes of the JSON of a claim record by number of entries."""
    return slopes.fit(
        (1, 50, 200), lambda n: len(msgspec.json.encode(_make_claim_record(n)))
    )


def claim_message_bytes() -> float:
    """Bytes of the frames that one claim through a batcher sends."""
    entry = _make_claim(1)
    answer = messages.ClaimAnswer(
        entry.key, entry.attempt, entry.attempt, entry.holder, "running", 1
    )
    return len(_encode_frame(messages.ClaimAsk(entry))) + len(
        _encode_frame(answer)
    )


def ledger_memory() -> slopes.Slope:
    """Memory of the ledger of a partition in bytes by number of keys."""

    def build(keys: int) -> claims.ClaimLedger:
        ledger = claims.ClaimLedger(targets.CLAIM_WINDOW_SECONDS)
        for offset in range(keys // 200):
            record = _copy_through_json(_make_claim_record(200, offset * 200))
            ledger.apply(offset, record, _EPOCH_MS)
        return ledger

    return slopes.fit(
        (2000, 4000, 8000), lambda n: slopes.memory_bytes(lambda: build(n))
    )


def _copy_through_json(record: dict[str, Any]) -> dict[str, Any]:
    """Returns a copy as if read from the log, which shares no strings."""
    return msgspec.json.decode(msgspec.json.encode(record))


def claim_cpu() -> slopes.Slope:
    """CPU seconds to queue, append and decide claims, by their number."""

    def run(batcher: claim_batches.ClaimBatcher) -> None:
        for number in range(len(pending)):
            batcher.ask(pending[number], 0.0)
        offset = 0
        now = 0.0
        while (record := batcher.next_batch(now)) is not None:
            batcher.append_finished(offset, now)
            data = _copy_through_json(record)
            batcher.read(
                [{"offset": offset, "time_ms": _EPOCH_MS, "data": data}], now
            )
            offset += 1
            now += 0.1

    pending: list[messages.ClaimEntry] = []

    def prepare(count: int) -> claim_batches.ClaimBatcher:
        pending[:] = [_make_claim(number) for number in range(count)]
        batcher = claim_batches.ClaimBatcher(
            ids.NodeId("node-a-101"), targets.CLAIM_WINDOW_SECONDS
        )
        batcher.read([], 0.0)
        return batcher

    return slopes.fit(
        (1000, 2000, 4000),
        lambda n: slopes.cpu_seconds(lambda: prepare(n), run),
    )


def follow_cpu() -> slopes.Slope:
    """CPU seconds to apply claims of other batchers, by their number."""

    def run(pages: list[bytes]) -> None:
        ledger = claims.ClaimLedger(targets.CLAIM_WINDOW_SECONDS)
        for offset, page in enumerate(pages):
            ledger.apply(offset, msgspec.json.decode(page), _EPOCH_MS)

    def prepare(count: int) -> list[bytes]:
        return [
            msgspec.json.encode(_make_claim_record(200, first))
            for first in range(0, count, 200)
        ]

    return slopes.fit(
        (1000, 2000, 4000),
        lambda n: slopes.cpu_seconds(lambda: prepare(n), run),
    )


# Configuration.


def _make_config_log(workspaces: int) -> configuration.ConfigurationLog:
    log = configuration.ConfigurationLog()
    declared = tables(targets.REPLICAS, workspaces)
    for number in range(targets.MODELS):
        declared["service"][f"model-{number:02}"] = {"kind": "engine"}
    for number, endpoint in enumerate(declared["endpoint"].values()):
        centre = number // targets.MODELS % targets.DATA_CENTRES
        endpoint["service"] = f"model-{number % targets.MODELS:02}"
        endpoint["data_centre"] = f"region-a-{centre}"
    flat = {
        f"{section}/{name}": table
        for section, entries in declared.items()
        for name, table in entries.items()
    }
    log.apply(0, configuration.publication("op-0", -1, flat, [], "ops"))
    if log.version != 0:
        raise RuntimeError(f"publication not accepted: {log.verdict('op-0')}")
    return log


_CHANGED_ENTRY = {"workspace/workspace-00000": {"weight": 2.5}}


def config_record_bytes() -> float:
    """Bytes of the JSON of a publication that changes one entry."""
    return len(
        msgspec.json.encode(
            configuration.publication(
                "0" * 32, 812, _CHANGED_ENTRY, [], "operator"
            )
        )
    )


def config_fold_cpu() -> slopes.Slope:
    """CPU seconds to apply one publication by declared workspaces."""

    def run(log: configuration.ConfigurationLog) -> None:
        record = configuration.publication("op-1", 0, _CHANGED_ENTRY, [], "ops")
        log.apply(1, record)

    return slopes.fit(
        (1000, 5000, 21_000),
        lambda n: slopes.cpu_seconds(lambda: _make_config_log(n), run),
    )


def config_adopt_cpu() -> slopes.Slope:
    """CPU seconds for a scheduler to apply a configuration by workspaces."""

    def prepare(workspaces: int) -> Any:
        pair = Pair(round(targets.ENDPOINTS_PER_GROUP))
        return pair.nodes[pair.owner], _make_config_log(
            workspaces
        ).configuration

    def run(prepared: Any) -> None:
        node, applied = prepared
        node.configure(applied, 5.0)

    return slopes.fit(
        (1000, 5000, 21_000),
        lambda n: slopes.cpu_seconds(lambda: prepare(n), run),
    )


def config_memory() -> slopes.Slope:
    """Memory of the configuration in bytes by declared workspaces."""
    return slopes.fit(
        (1000, 5000, 21_000),
        lambda n: slopes.memory_bytes(lambda: _make_config_log(n)),
    )


def snapshot_bytes() -> slopes.Slope:
    """Bytes of the JSON of a snapshot by declared workspaces."""
    return slopes.fit(
        (1000, 5000, 21_000),
        lambda n: len(msgspec.json.encode(_make_config_log(n).snapshot())),
    )


# Membership and timeline.


def _make_membership(nodes: int) -> membership.Membership:
    view = membership.Membership(ids.NodeId("n-0-0"), ids.DataCentre("0"), 0.0)
    view.apply_vm_list(_make_vm_entries(nodes), 0.0, 0.0)
    return view


def _make_vm_entries(nodes: int) -> list[membership.VmEntry]:
    entries = [
        membership.VmEntry(
            f"n-{i % 8}-{i}",
            "node",
            ids.DataCentre(str(i % 8)),
            "live",
            f"10.0.{i // 250}.{i % 250}:9002",
            f"10.0.{i // 250}.{i % 250}:9001",
        )
        for i in range(nodes)
    ]
    return entries + [
        membership.VmEntry(f"vm-{i}", "endpoint", ids.DataCentre(str(i % 8)))
        for i in range(round(nodes * targets.REPLICAS / targets.NODES))
    ]


def vm_list_bytes() -> slopes.Slope:
    """Bytes of the JSON of the VM list by nodes, with their endpoint VMs."""
    return slopes.fit(
        (85, 170, 340), lambda n: len(msgspec.json.encode(_make_vm_entries(n)))
    )


def vm_list_cpu() -> slopes.Slope:
    """CPU seconds to decode and apply a VM list by nodes."""

    def prepare(nodes: int) -> Any:
        return _make_membership(nodes), msgspec.json.encode(
            _make_vm_entries(nodes)
        )

    def run(prepared: Any) -> None:
        view, data = prepared
        for step in range(1, 11):
            entries = msgspec.json.decode(data, type=list[membership.VmEntry])
            view.apply_vm_list(entries, step, 0.1)

    return slopes.fit(
        (85, 170, 340),
        lambda n: slopes.cpu_seconds(lambda: prepare(n), run) / 10,
    )


def membership_memory() -> slopes.Slope:
    """Memory of a membership in bytes by nodes, with their endpoint VMs."""
    return slopes.fit(
        (85, 170, 340),
        lambda n: slopes.memory_bytes(lambda: _make_membership(n)),
    )


def membership_tick_cpu() -> slopes.Slope:
    """CPU seconds of one membership tick by nodes."""

    def run(view: membership.Membership) -> None:
        for step in range(10):
            view.tick(0.1 * step)

    return slopes.fit(
        (85, 170, 340),
        lambda n: slopes.cpu_seconds(lambda: _make_membership(n), run) / 10,
    )


def heard_cpu() -> slopes.Slope:
    """CPU seconds to decode and record heartbeats, by their number."""
    data = _encode_frame(messages.Heartbeat(False, 812, (), _CENTRE))

    def run(view: membership.Membership) -> None:
        for number in range(view.heartbeat_count):
            frame = messages.decode_frame(data, b"0123456789abcdef")
            node = ids.NodeId(f"n-0-{number % 42 * 8}")
            view.record_frame(node, frame.incarnation, False, 1.0, _CENTRE)

    def prepare(count: int) -> membership.Membership:
        view = _make_membership(targets.NODES)
        view.heartbeat_count = count
        return view

    return slopes.fit(
        (500, 1000, 2000), lambda n: slopes.cpu_seconds(lambda: prepare(n), run)
    )


def _make_timeline(count: int) -> timeline.Timeline:
    events = timeline.Timeline(count)
    for number in range(count):
        events.add(
            timeline.Event(
                (_EPOCH_MS << 16) + number,
                304,
                ids.NodeId("node-a-101"),
                f"node-a-101-1a23dad6c31-{number}",
                "model-00-001",
                {"holder": f"node-a-{number % 40}"},
            )
        )
    return events


def timeline_memory() -> slopes.Slope:
    """Memory of a timeline in bytes by number of events."""
    return slopes.fit(
        (1250, 2500, 5000),
        lambda n: slopes.memory_bytes(lambda: _make_timeline(n)),
    )


def timeline_cpu() -> slopes.Slope:
    """CPU seconds to add events to a timeline, by their number."""
    return slopes.fit(
        (1250, 2500, 5000),
        lambda n: slopes.cpu_seconds(lambda: n, _make_timeline),
    )
