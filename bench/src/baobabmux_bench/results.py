"""Counters of one run, and the summary, table and JSON made of them."""

import collections
import enum
import pathlib

import msgspec
from hdrh.histogram import HdrHistogram

from baobabmux_bench import loads
from baobabmux_core import errors, ids

_PERCENTILES = (50.0, 95.0, 99.0)
# Histograms hold milliseconds up to ten minutes with 3 digits.
_MAX_MS = 600_000
_DIGITS = 3
# Calls that time and endpoints cause, not requests.
_PERIODIC = frozenset(
    {"cache_event", "configure", "load_report", "members_changed", "tick"}
)


class Ending(enum.Enum):
    """How a request ended for its caller."""

    GOOD = "good"  # Whole and before its deadline.
    LATE = "late"  # The caller left at the deadline, before the end.
    REFUSED = "refused"
    LOST = "lost"  # The node that held it died, or its endpoint broke.


class Record(msgspec.Struct):
    """What happened to one request.

    Attributes:
        request: The request.
        node: Node that holds it.
        ending: How it ended, None while it is open.
        refusal: Kind of its refusal.
        dispatches: Times it was written to an endpoint.
        ended: Time of the ending.
        first_token: Time of its first token.
        computed_tokens: Prompt tokens computed for it.
        repeated_tokens: Those of them that lay in a prefix which some cache
            of the service had held before.
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


class Inversions:
    """Refusals of a tier while a lower one is held.

    Attributes:
        inversions: Requests shed as overload while a request of a lower tier
            was held in the same group.
        deadline_inversions: Requests refused because of their deadline while
            a request of a lower tier was held in the same group. These may
            be right: a lower tier in the queue takes no time from a higher
            one.
    """

    def __init__(self):
        self.inversions = 0
        self.deadline_inversions = 0

    def shed(
        self, held: dict[int, int], tier: int, kind: errors.ErrorKind
    ) -> None:
        """Counts a refusal.

        Args:
            held: Requests that still wait in the group, by tier rank.
            tier: Rank of the refused request.
            kind: Why it is refused.
        """
        if not any(count and rank > tier for rank, count in held.items()):
            return
        if kind is errors.ErrorKind.OVERLOADED:
            self.inversions += 1
        else:
            self.deadline_inversions += 1


class Control(msgspec.Struct):
    """Traffic and work of control.

    Attributes:
        messages: Messages between nodes by type, without heartbeats.
        message_bytes: Their encoded bytes by type, without frames.
        frames: Frames that carried them.
        bytes: Encoded bytes of these frames.
        heartbeats: Heartbeat messages.
        heartbeat_bytes: Encoded bytes of frames with nothing else.
        operations: Calls into the decision code by name.
        node_seconds: Seconds of all nodes together.
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
        good: Requests answered whole and before the deadline.
        late: Requests whose caller left at the deadline.
        refused: Requests refused.
        lost: Requests lost with a node or endpoint.
        first_token_ms: Percentiles of the time to the first token.
        computed_tokens: Prompt tokens computed.
        repeated_tokens: Those computed again for good answers.
        missed_tokens: Those computed for answers that were not good.
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

    def goodput(self) -> float:
        """Returns the share of good answers among the submitted."""
        return self.good / self.submitted if self.submitted else 1.0


class RefusalSummary(msgspec.Struct, frozen=True):
    """Refusals of one kind and how early they came after the arrival."""

    count: int
    after_ms: dict[str, int]


class Summary(msgspec.Struct, frozen=True):
    """Figures of one run.

    Attributes:
        deployment: Name of the deployment.
        scenario: Name of the scenario.
        policy: Name of the policy.
        load: Crest of the load relative to capacity.
        seed: Seed of the run.
        seconds: Length of the arrivals.
        tiers: Figures by tier, the highest first.
        refusals: Refusals by kind.
        repeated_dispatches: Requests written to endpoints more than once.
        inversions: Tier inversions, see `Inversions`.
        deadline_inversions: See `Inversions`.
        control: Traffic and work of control.
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

    def submitted(self) -> int:
        """Returns the number of requests submitted."""
        return sum(tier.submitted for tier in self.tiers)

    def wasted_tokens(self) -> int:
        """Returns the prompt tokens computed in vain or once too often."""
        return sum(t.repeated_tokens + t.missed_tokens for t in self.tiers)

    def control_bytes(self) -> float:
        """Returns the control bytes for each request, no heartbeats."""
        return self.control.bytes / max(1, self.submitted())

    def control_messages(self) -> float:
        """Returns the control messages for each request, no heartbeats."""
        count = sum(self.control.messages.values())
        return count / max(1, self.submitted())

    def operations(self) -> float:
        """Returns the decision calls that requests cause, for each request."""
        calls = self.control.operations
        count = sum(n for name, n in calls.items() if name not in _PERIODIC)
        return count / max(1, self.submitted())

    def node_bytes(self) -> float:
        """Returns the control bytes a second of a node, with heartbeats."""
        total = self.control.bytes + self.control.heartbeat_bytes
        return total / self.control.node_seconds if total else 0.0


def summarise(
    records: list[Record],
    inversions: Inversions,
    control: Control,
    tier_names: dict[int, str],
    **labels,
) -> Summary:
    """Makes the summary of a run.

    Args:
        records: All requests of the run.
        inversions: Tier inversions.
        control: Traffic and work of control.
        tier_names: Name of each rank.
        **labels: Fields of `Summary` that identify the run.

    Returns:
        The summary.
    """
    tiers = tuple(
        _tier(name, [r for r in records if r.request.kind.tier == rank])
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
    histogram = HdrHistogram(1, _MAX_MS, _DIGITS)
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
    names = [tier.tier for tier in summaries[0].tiers]
    head = [
        "scenario",
        "policy",
        *[f"{name} %" for name in names],
        f"{names[0]} first token p50/p95/p99 ms",
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


def _tier(name: str, records: list[Record]) -> TierSummary:
    endings = collections.Counter(record.ending for record in records)
    waits = [
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
        first_token_ms=percentiles(waits),
        computed_tokens=sum(r.computed_tokens for r in records),
        repeated_tokens=sum(
            r.repeated_tokens for r in records if r.ending is Ending.GOOD
        ),
        missed_tokens=sum(
            r.computed_tokens for r in records if r.ending is not Ending.GOOD
        ),
    )


def _row(summary: Summary) -> list[str]:
    early = [r for r in summary.refusals.values() if r.count]
    slowest = max(early, key=lambda r: r.after_ms["p95"], default=None)
    return [
        summary.scenario,
        summary.policy,
        *[f"{100 * tier.goodput():.1f}" for tier in summary.tiers],
        _join(summary.tiers[0].first_token_ms.values()),
        str(sum(refusal.count for refusal in early)),
        _join([slowest.after_ms["p50"], slowest.after_ms["p95"]])
        if slowest
        else "-",
        _wasted(summary),
        f"{summary.control_messages():.1f}",
        f"{summary.control_bytes():.0f}",
        f"{summary.node_bytes():.0f}",
        f"{summary.operations():.1f}",
        f"{summary.inversions} ({summary.deadline_inversions})",
    ]


def _wasted(summary: Summary) -> str:
    again = sum(tier.repeated_tokens for tier in summary.tiers)
    missed = sum(tier.missed_tokens for tier in summary.tiers)
    return f"{again + missed} ({again} + {missed})"


def _join(values) -> str:
    return "/".join(str(value) for value in values) or "-"
