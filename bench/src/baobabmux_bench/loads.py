"""Seeded arrivals: who asks for what, when, and by when."""

import bisect
import itertools
import math
import random

import msgspec
import xxhash

from baobabmux_core import ids, messages, prefixes

_BYTES_PER_TOKEN = 4
# Start of a node in Unix milliseconds, a part of the identifiers.
_EPOCH_MS = 1_790_000_000_000


class Kind(msgspec.Struct, frozen=True):
    """One kind of request.

    Attributes:
        route: Route, which names the kind.
        service: Service that runs it.
        tier: Rank of its tier.
        weight: Its share among the requests to its service.
        prompt_tokens: Median length of the part of a prompt that is not
            shared.
        output_tokens: Median length of an answer.
        deadline_seconds: From arrival to the whole answer.
        spread: Standard deviation of the logarithm of the lengths.
        template_tokens: Prefix shared by all prompts of the kind.
        file_tokens: Prefix shared by prompts about the same file.
        files: Number of files for each workspace.
        idempotent: Whether a second run does no harm.
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


class Request(msgspec.Struct, frozen=True):
    """One submitted request.

    Attributes:
        request: Identifier.
        kind: Its kind.
        workspace: Who sends it.
        arrival: Time in seconds.
        deadline: Time in seconds by which the answer must be whole.
        prompt_tokens: Length of the prompt, prefixes included.
        output_tokens: Length that the answer will have; policies must not
            look at it.
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
        trough: Rate between the waves relative to the crest.
        burst_share: Share of the arrivals that come in bursts.
        burst_size: Requests that arrive at once in a burst.
    """

    waves: int = 0
    trough: float = 1.0
    burst_share: float = 0.0
    burst_size: int = 1

    def level(self, phase: float) -> float:
        """Returns the rate relative to the crest at a phase in [0, 1]."""
        if not self.waves:
            return 1.0
        wave = 0.5 - 0.5 * math.cos(2 * math.pi * self.waves * phase)
        return self.trough + (1 - self.trough) * wave


def generate(
    kinds: tuple[Kind, ...],
    workspaces: dict[ids.Workspace, float],
    crest: dict[ids.ServiceName, float],
    shape: Shape,
    seconds: float,
    seed: int,
) -> list[Request]:
    """Draws all requests of a run.

    Each kind has its own random streams, so that leaving out other kinds does
    not change the requests of a kind.

    Args:
        kinds: Kinds of requests.
        workspaces: Share of each workspace in the arrivals.
        crest: Requests a second of each service at the crest.
        shape: How the rate varies.
        seconds: Length of the run.
        seed: Seed of all draws.

    Returns:
        The requests in order of arrival.
    """
    requests = []
    for kind in kinds:
        weights = sum(k.weight for k in kinds if k.service == kind.service)
        rate = crest[kind.service] * kind.weight / weights
        times = _arrivals(rate, shape, seconds, f"{seed}/{kind.route}/times")
        draw = random.Random(f"{seed}/{kind.route}/contents")
        requests += [_request(kind, workspaces, time, draw) for time in times]
    requests.sort(key=lambda request: request.arrival)
    return _number(requests)


def sample(
    kinds: tuple[Kind, ...],
    workspaces: dict[ids.Workspace, float],
    count: int,
    seed: int,
) -> list[Request]:
    """Draws requests of the mix without times, for measuring capacity."""
    draw = random.Random(f"{seed}/sample")
    weights = [kind.weight for kind in kinds]
    return _number(
        [
            _request(kind, workspaces, 0.0, draw)
            for kind in draw.choices(kinds, weights, k=count)
        ]
    )


def _number(requests: list[Request]) -> list[Request]:
    """Gives identifiers of the length that nodes generate."""
    return [
        msgspec.structs.replace(
            request, request=ids.RequestId(f"entry-vm-0-{_EPOCH_MS:x}-{n:x}")
        )
        for n, request in enumerate(requests, start=1)
    ]


def _arrivals(
    rate: float, shape: Shape, seconds: float, seed: str
) -> list[float]:
    """Draws a Poisson process by thinning, partly in bursts."""
    draw = random.Random(seed)
    times: list[float] = []
    for share, size in (
        (1 - shape.burst_share, 1),
        (shape.burst_share, shape.burst_size),
    ):
        if share <= 0 or rate <= 0:
            continue
        time = draw.expovariate(rate * share / size)
        while time < seconds:
            if draw.random() < shape.level(time / seconds):
                times += [time] * size
            time += draw.expovariate(rate * share / size)
    return sorted(times)


def _request(
    kind: Kind,
    workspaces: dict[ids.Workspace, float],
    time: float,
    draw: random.Random,
) -> Request:
    names = list(workspaces)
    totals = list(itertools.accumulate(workspaces.values()))
    index = bisect.bisect(totals, draw.random() * totals[-1])
    workspace = names[min(index, len(names) - 1)]
    prompt = _prompt(kind, workspace, draw)
    return Request(
        request=ids.RequestId(""),
        kind=kind,
        workspace=workspace,
        arrival=time,
        deadline=time + kind.deadline_seconds,
        prompt_tokens=prefixes.estimate_tokens(prompt),
        output_tokens=_length(kind.output_tokens, kind.spread, draw),
        prefixes=prefixes.digest_prompt(prompt),
        node_draw=draw.random(),
    )


def _prompt(kind: Kind, workspace: ids.Workspace, draw: random.Random) -> bytes:
    """Draws a prompt: the kind's template, a file, and the rest."""
    parts = [_text(kind.route, kind.template_tokens)]
    if kind.files:
        # A few files get most of the work; ranks follow Zipf's law.
        ranks = range(1, kind.files + 1)
        file = draw.choices(ranks, [1 / rank for rank in ranks])[0]
        parts.append(
            _text(f"{kind.route}/{workspace}/{file}", kind.file_tokens)
        )
    rest = _length(kind.prompt_tokens, kind.spread, draw)
    parts.append(_text(str(draw.getrandbits(64)), rest))
    return b"".join(parts)


def _text(name: str, tokens: int) -> bytes:
    """Returns text that differs from the text of any other name early on."""
    start = xxhash.xxh64_hexdigest(name.encode()).encode()
    return start.ljust(_BYTES_PER_TOKEN * tokens)[: _BYTES_PER_TOKEN * tokens]


def _length(median: int, spread: float, draw: random.Random) -> int:
    return max(1, round(median * math.exp(draw.gauss(0, spread))))
