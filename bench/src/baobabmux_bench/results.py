"""Counters of a run, and the summary, table and JSON output of runs."""

import collections
import enum
import math
import pathlib

import msgspec
from hdrh.histogram import HdrHistogram

from baobabmux_bench import loads
from baobabmux_core import errors, ids

_PERCENTILES = (50.0, 95.0, 99.0)
# Histograms hold up to ten minutes in milliseconds.
_MAX_MS = 600_000
_SIGNIFICANT_DIGITS = 3
# Scheduler calls that timers and endpoints cause rather than requests.
_PERIODIC_CALLS = frozenset(
    {"cache_event", "configure", "load_report", "members_changed", "tick"}
)


class Ending(enum.Enum):
    """How a request ended for its caller."""

    GOOD = "good"  # Complete before its deadline.
    LATE = "late"  # The caller disconnected at the deadline.
    REFUSED = "refused"
    LOST = "lost"  # The node that held it failed, or its endpoint did.


class Record(msgspec.Struct):
    """State and outcome of one request.

    Attributes:
        request: The request.
        node: Node that holds the caller's connection.
        ending: How the request ended, None while it is open.
        refusal: Kind of the refusal, if it was refused.
        dispatches: Number of times it was sent to an endpoint.
        ended: Time at which it ended.
        first_token: Time at which the node received the first token.
        computed_tokens: Prompt tokens computed for it.
        repeated_tokens: Those of them in a prefix that some cache of the
            service had stored before.
        longest_pause: Longest pause of its answer in seconds.
    """

    request: loads.Request
    node: ids.NodeId
    ending: Ending | None = None
    refusal: errors.ErrorKind | None = None
    dispatches: int = 0
    ended: float | None = None
    first_token: float | None = None
    computed_tokens: int = 0
    repeated_tokens: int = 0
    longest_pause: float = 0.0

    def is_on_time(self) -> bool:
        """Returns whether a good answer came as its caller expected it."""
        kind = self.request.kind
        if self.ending is not Ending.GOOD or self.first_token is None:
            return False
        first = self.first_token - self.request.arrival
        return first <= (kind.target_seconds or math.inf) and (
            self.longest_pause <= (kind.gap_seconds or math.inf)
        )


class Inversions:
    """Counters of refusals while a request of a lower tier is queued.

    Attributes:
        inversions: Requests shed because of overload while a request of a
            lower tier was queued in the same group.
        deadline_inversions: Requests refused because of their deadline while
            a request of a lower tier was queued in the same group. These may
            be correct: queued requests of a lower tier do not delay a higher
            one.
    """

    def __init__(self):
        self.inversions = 0
        self.deadline_inversions = 0

    def count_refusal(
        self, queued_by_tier: dict[int, int], tier: int, kind: errors.ErrorKind
    ) -> None:
        """Counts a refusal if a lower tier is queued.

        Args:
            queued_by_tier: Number of queued requests of the group, by rank.
            tier: Rank of the refused request.
            kind: Kind of the refusal.
        """
        if not any(
            count and rank > tier for rank, count in queued_by_tier.items()
        ):
            return
        if kind is errors.ErrorKind.OVERLOADED:
            self.inversions += 1
        else:
            self.deadline_inversions += 1


class Control(msgspec.Struct):
    """Control traffic between nodes, and calls of the scheduler.

    Attributes:
        messages: Messages between nodes by type, without heartbeats.
        message_bytes: Encoded bytes of these messages by type, without the
            bytes of frames.
        frames: Frames that carried the messages.
        bytes: Encoded bytes of these frames.
        heartbeats: Heartbeat messages in frames with nothing else.
        heartbeat_bytes: Encoded bytes of those frames.
        operations: Calls of the scheduler by method name.
        node_seconds: Total virtual run time of all nodes in seconds.
    """

    messages: dict[str, int] = msgspec.field(
        default_factory=lambda: collections.defaultdict(int)
    )
    message_bytes: dict[str, int] = msgspec.field(
        default_factory=lambda: collections.defaultdict(int)
    )
    frames: int = 0
    bytes: int = 0
    heartbeats: int = 0
    heartbeat_bytes: int = 0
    operations: dict[str, int] = msgspec.field(
        default_factory=lambda: collections.defaultdict(int)
    )
    node_seconds: float = 0.0


class TierSummary(msgspec.Struct, frozen=True):
    """Figures of one tier.

    Attributes:
        tier: Name of the tier.
        submitted: Requests submitted.
        good: Requests answered completely before the deadline.
        late: Requests whose caller disconnected at the deadline.
        refused: Requests refused.
        lost: Requests lost when a node or endpoint failed.
        first_token_ms: Percentiles of the time to the first token.
        computed_tokens: Prompt tokens computed.
        repeated_tokens: Prompt tokens computed for good answers although some
            cache had stored their prefix.
        missed_tokens: Prompt tokens computed for requests without a good
            answer.
        on_time: Good answers whose first token and pauses were as callers
            expect them.
    """

    tier: str
    submitted: int
    good: int
    late: int
    refused: int
    lost: int
    first_token_ms: dict[str, int]
    computed_tokens: int
    repeated_tokens: int
    missed_tokens: int
    on_time: int = 0

    def goodput(self) -> float:
        """Returns the share of submitted requests with good answers."""
        return self.good / self.submitted if self.submitted else 1.0


class RefusalSummary(msgspec.Struct, frozen=True):
    """Refusals of one kind, and percentiles of their time from arrival."""

    count: int
    after_ms: dict[str, int]


class Summary(msgspec.Struct, frozen=True):
    """Results of one run.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        load: Peak load relative to capacity.
        seed: Seed of the run.
        seconds: Length of the period of arrivals.
        tiers: Figures by tier, the highest first.
        refusals: Refusals by kind.
        repeated_dispatches: Requests sent to endpoints more than once.
        inversions: Tier inversions; see `Inversions`.
        deadline_inversions: See `Inversions`.
        control: Counters of control traffic and scheduler calls.
    """

    deployment: str
    scenario: str
    policy: str
    load: float
    seed: int
    seconds: float
    tiers: tuple[TierSummary, ...]
    refusals: dict[str, RefusalSummary]
    repeated_dispatches: int
    inversions: int
    deadline_inversions: int
    control: Control

    def on_time_share(self) -> float:
        """Returns the share of requests that were answered on time."""
        count = sum(tier.on_time for tier in self.tiers)
        return count / max(1, self.submitted())

    def submitted(self) -> int:
        """Returns the number of requests submitted."""
        return sum(tier.submitted for tier in self.tiers)

    def wasted_tokens(self) -> int:
        """Returns the tokens computed again or without a good answer."""
        return sum(t.repeated_tokens + t.missed_tokens for t in self.tiers)

    def control_bytes(self) -> float:
        """Returns the control bytes per request, without heartbeats."""
        return self.control.bytes / max(1, self.submitted())

    def control_messages(self) -> float:
        """Returns the control messages per request, without heartbeats."""
        count = sum(self.control.messages.values())
        return count / max(1, self.submitted())

    def operations(self) -> float:
        """Returns the scheduler calls per request, without periodic ones."""
        calls = self.control.operations
        count = sum(
            n for name, n in calls.items() if name not in _PERIODIC_CALLS
        )
        return count / max(1, self.submitted())

    def node_bytes(self) -> float:
        """Returns the control bytes a second per node, with heartbeats."""
        total = self.control.bytes + self.control.heartbeat_bytes
        return total / self.control.node_seconds if total else 0.0


def summarise(
    records: list[Record],
    inversions: Inversions,
    control: Control,
    tier_names: dict[int, str],
    **labels,
) -> Summary:
    """Summarises a run.

    Args:
        records: All requests of the run.
        inversions: Counters of tier inversions.
        control: Counters of control traffic and scheduler calls.
        tier_names: Name of each rank.
        **labels: Fields of `Summary` that identify the run.

    Returns:
        The summary.
    """
    tiers = tuple(
        _summarise_tier(
            name, [r for r in records if r.request.kind.tier == rank]
        )
        for rank, name in sorted(tier_names.items())
    )
    refused: dict[str, list[float]] = collections.defaultdict(list)
    for record in records:
        if record.refusal is not None and record.ended is not None:
            refused[record.refusal.value].append(
                record.ended - record.request.arrival
            )
    return Summary(
        tiers=tiers,
        refusals={
            kind: RefusalSummary(len(times), percentiles(times))
            for kind, times in sorted(refused.items())
        },
        repeated_dispatches=sum(r.dispatches > 1 for r in records),
        inversions=inversions.inversions,
        deadline_inversions=inversions.deadline_inversions,
        control=control,
        **labels,
    )


def percentiles(seconds: list[float]) -> dict[str, int]:
    """Returns p50, p95 and p99 in milliseconds; empty without values."""
    if not seconds:
        return {}
    histogram = HdrHistogram(1, _MAX_MS, _SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(1, min(_MAX_MS, round(value * 1000))))
    return {
        f"p{percentile:g}": int(histogram.get_value_at_percentile(percentile))
        for percentile in _PERCENTILES
    }


def table(summaries: list[Summary]) -> str:
    """Returns a Markdown table with a row for each run."""
    if not summaries:
        return ""
    tier_labels = [tier.tier for tier in summaries[0].tiers]
    head = [
        "scenario",
        "policy",
        *[f"{name} %" for name in tier_labels],
        f"{tier_labels[0]} first token p50/p95/p99 ms",
        "refused",
        "refused after p50/p95 ms",
        "wasted prefill tokens (again + missed)",
        "control messages",
        "control bytes",
        "bytes/s of a node",
        "operations",
        "inversions",
    ]
    rows = [head, ["---"] * len(head), *map(_row, summaries)]
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def write(path: pathlib.Path, summaries: list[Summary]) -> None:
    """Writes the summaries as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    data = msgspec.json.encode(summaries, order="sorted")
    path.write_bytes(msgspec.json.format(data, indent=1) + b"\n")


def _summarise_tier(name: str, records: list[Record]) -> TierSummary:
    endings = collections.Counter(record.ending for record in records)
    first_token_seconds = [
        record.first_token - record.request.arrival
        for record in records
        if record.first_token is not None
    ]
    return TierSummary(
        tier=name,
        submitted=len(records),
        good=endings[Ending.GOOD],
        late=endings[Ending.LATE],
        refused=endings[Ending.REFUSED],
        lost=endings[Ending.LOST],
        first_token_ms=percentiles(first_token_seconds),
        computed_tokens=sum(r.computed_tokens for r in records),
        repeated_tokens=sum(
            r.repeated_tokens for r in records if r.ending is Ending.GOOD
        ),
        missed_tokens=sum(
            r.computed_tokens for r in records if r.ending is not Ending.GOOD
        ),
        on_time=sum(record.is_on_time() for record in records),
    )


def _row(summary: Summary) -> list[str]:
    counted = [r for r in summary.refusals.values() if r.count]
    slowest = max(counted, key=lambda r: r.after_ms["p95"], default=None)
    return [
        summary.scenario,
        summary.policy,
        *[f"{100 * tier.goodput():.1f}" for tier in summary.tiers],
        _join_values(summary.tiers[0].first_token_ms.values()),
        str(sum(refusal.count for refusal in counted)),
        _join_values([slowest.after_ms["p50"], slowest.after_ms["p95"]])
        if slowest
        else "-",
        _format_wasted(summary),
        f"{summary.control_messages():.1f}",
        f"{summary.control_bytes():.0f}",
        f"{summary.node_bytes():.0f}",
        f"{summary.operations():.1f}",
        f"{summary.inversions} ({summary.deadline_inversions})",
    ]


def _format_wasted(summary: Summary) -> str:
    again = sum(tier.repeated_tokens for tier in summary.tiers)
    missed = sum(tier.missed_tokens for tier in summary.tiers)
    return f"{again + missed} ({again} + {missed})"


def _join_values(values) -> str:
    return "/".join(str(value) for value in values) or "-"
