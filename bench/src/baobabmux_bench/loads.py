"""Generates the requests of a run from a seed.

Each request has a kind, a workspace, an arrival time, a deadline and a prompt.
"""

import bisect
import itertools
import math
import random

import msgspec
import xxhash

from baobabmux_core import ids, messages, prefixes

_BYTES_PER_TOKEN = 4
# Start time of a node as Unix time in milliseconds, part of the identifiers.
_EPOCH_MS = 1_790_000_000_000


class Kind(msgspec.Struct, frozen=True):
    """One kind of request.

    Attributes:
        route: Route, which identifies the kind.
        service: Service that runs it.
        tier: Rank of its tier.
        weight: Relative share of the requests to its service.
        prompt_tokens: Median length of the part of a prompt that is not
            shared.
        output_tokens: Median length of an answer.
        deadline_seconds: Time from arrival to the end of the answer.
        spread: Standard deviation of the logarithm of the lengths.
        template_tokens: Prefix shared by all prompts of the kind.
        file_tokens: Prefix shared by prompts about the same file.
        files: Number of files for each workspace.
        idempotent: Whether a request may safely run more than once.
        target_seconds: Time to the first token that callers expect, or None.
        gap_seconds: Longest pause of an answer that callers expect, or None.
    """

    route: ids.RouteName
    service: ids.ServiceName
    tier: int
    weight: float
    prompt_tokens: int
    output_tokens: int
    deadline_seconds: float
    spread: float = 0.3
    template_tokens: int = 0
    file_tokens: int = 0
    files: int = 0
    idempotent: bool = True
    target_seconds: float | None = None
    gap_seconds: float | None = None


class Request(msgspec.Struct, frozen=True):
    """One submitted request.

    Attributes:
        request: Identifier.
        kind: Kind of the request.
        workspace: Workspace that sends it.
        arrival: Time in seconds.
        deadline: Time in seconds by which the answer must be complete.
        prompt_tokens: Length of the prompt, prefixes included.
        output_tokens: Length that the answer will have; policies must not
            read it.
        prefixes: Prefixes of the prompt, the longest last.
        node_draw: Number in [0, 1) by which the load balancer picks a node.
    """

    request: ids.RequestId
    kind: Kind
    workspace: ids.Workspace
    arrival: float
    deadline: float
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[messages.PrefixPart, ...]
    node_draw: float


class Shape(msgspec.Struct, frozen=True):
    """How the rate of arrivals varies over a run.

    Attributes:
        waves: Number of waves; 0 means a constant rate.
        trough: Lowest rate between waves relative to the peak rate.
        burst_share: Share of the arrivals that come in bursts.
        burst_size: Requests that arrive together in a burst.
    """

    waves: int = 0
    trough: float = 1.0
    burst_share: float = 0.0
    burst_size: int = 1

    def relative_rate(self, phase: float) -> float:
        """Returns the rate relative to the peak at a phase in [0, 1]."""
        if not self.waves:
            return 1.0
        wave = 0.5 - 0.5 * math.cos(2 * math.pi * self.waves * phase)
        return self.trough + (1 - self.trough) * wave


def generate(
    kinds: tuple[Kind, ...],
    workspaces: dict[ids.Workspace, float],
    peak_rates: dict[ids.ServiceName, float],
    shape: Shape,
    seconds: float,
    seed: int,
) -> list[Request]:
    """Draws all requests of a run.

    Each kind has its own random number generators, so that leaving out one kind
    does not change the requests of the others.

    Args:
        kinds: Kinds of requests.
        workspaces: Relative share of each workspace in the arrivals.
        peak_rates: Highest number of requests a second of each service.
        shape: How the rate varies.
        seconds: Length of the run.
        seed: Seed of all draws.

    Returns:
        The requests in order of arrival.
    """
    requests = []
    for kind in kinds:
        weights = sum(k.weight for k in kinds if k.service == kind.service)
        rate = peak_rates[kind.service] * kind.weight / weights
        times = _draw_arrivals(
            rate, shape, seconds, f"{seed}/{kind.route}/times"
        )
        rng = random.Random(f"{seed}/{kind.route}/contents")
        requests += [
            _draw_request(kind, workspaces, time, rng) for time in times
        ]
    requests.sort(key=lambda request: request.arrival)
    return _assign_identifiers(requests)


def sample(
    kinds: tuple[Kind, ...],
    workspaces: dict[ids.Workspace, float],
    count: int,
    seed: int,
) -> list[Request]:
    """Draws requests of all kinds without arrival times.

    The measurement of capacity uses them.
    """
    rng = random.Random(f"{seed}/sample")
    weights = [kind.weight for kind in kinds]
    return _assign_identifiers(
        [
            _draw_request(kind, workspaces, 0.0, rng)
            for kind in rng.choices(kinds, weights, k=count)
        ]
    )


def _assign_identifiers(requests: list[Request]) -> list[Request]:
    """Assigns identifiers of the same length as those of real nodes."""
    return [
        msgspec.structs.replace(
            request, request=ids.RequestId(f"entry-vm-0-{_EPOCH_MS:x}-{n:x}")
        )
        for n, request in enumerate(requests, start=1)
    ]


def _draw_arrivals(
    rate: float, shape: Shape, seconds: float, seed: str
) -> list[float]:
    """Draws arrival times of a Poisson process, by thinning.

    A share of the arrivals comes in bursts.
    """
    rng = random.Random(seed)
    times: list[float] = []
    for share, size in (
        (1 - shape.burst_share, 1),
        (shape.burst_share, shape.burst_size),
    ):
        if share <= 0 or rate <= 0:
            continue
        time = rng.expovariate(rate * share / size)
        while time < seconds:
            if rng.random() < shape.relative_rate(time / seconds):
                times += [time] * size
            time += rng.expovariate(rate * share / size)
    return sorted(times)


def _draw_request(
    kind: Kind,
    workspaces: dict[ids.Workspace, float],
    time: float,
    rng: random.Random,
) -> Request:
    names = list(workspaces)
    totals = list(itertools.accumulate(workspaces.values()))
    index = bisect.bisect(totals, rng.random() * totals[-1])
    workspace = names[min(index, len(names) - 1)]
    prompt = _draw_prompt(kind, workspace, rng)
    return Request(
        request=ids.RequestId(""),
        kind=kind,
        workspace=workspace,
        arrival=time,
        deadline=time + kind.deadline_seconds,
        prompt_tokens=prefixes.estimate_tokens(prompt),
        output_tokens=_draw_length(kind.output_tokens, kind.spread, rng),
        prefixes=prefixes.digest_prompt(prompt),
        node_draw=rng.random(),
    )


def _draw_prompt(
    kind: Kind, workspace: ids.Workspace, rng: random.Random
) -> bytes:
    """Draws a prompt: the template of the kind, a file and unshared text."""
    parts = [_filler_text(kind.route, kind.template_tokens)]
    if kind.files:
        # Requests per file follow Zipf's law: most are about a few files.
        ranks = range(1, kind.files + 1)
        file = rng.choices(ranks, [1 / rank for rank in ranks])[0]
        parts.append(
            _filler_text(f"{kind.route}/{workspace}/{file}", kind.file_tokens)
        )
    unshared_tokens = _draw_length(kind.prompt_tokens, kind.spread, rng)
    parts.append(_filler_text(str(rng.getrandbits(64)), unshared_tokens))
    return b"".join(parts)


def _filler_text(name: str, tokens: int) -> bytes:
    """Returns text whose first bytes differ from those of other names."""
    start = xxhash.xxh64_hexdigest(name.encode()).encode()
    return start.ljust(_BYTES_PER_TOKEN * tokens)[: _BYTES_PER_TOKEN * tokens]


def _draw_length(median: int, spread: float, rng: random.Random) -> int:
    return max(1, round(median * math.exp(rng.gauss(0, spread))))
