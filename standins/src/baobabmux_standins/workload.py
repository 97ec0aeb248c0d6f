"""Seeded mix of the request kinds of both example deployments."""

import json
import random
import uuid

import msgspec

from baobabmux_standins import client, prompts


class RequestKind(msgspec.Struct, frozen=True):
    """One kind of request.

    Attributes:
        path: Path of its route in examples/*.toml.
        tier: Tier of that route.
        share: Relative frequency.
        prompt_characters: Minimum and maximum length of the prompt, or None
            for requests to a plain service.
        answer_tokens: Minimum and maximum length of the answer.
        deadline_seconds: Deadline from arrival, or None.
        keyed: Whether it has an idempotency key.
    """

    path: str
    tier: str
    share: float
    prompt_characters: tuple[int, int] | None = None
    answer_tokens: tuple[int, int] = (0, 0)
    deadline_seconds: float | None = None
    keyed: bool = False


# The answers are shorter than in production, so that the demonstration ends
# within a minute; their lengths keep the same proportions.
KINDS = {
    "wording draft": RequestKind(
        "/wording", "deadline", 2.0, (4000, 24000), (40, 160), 30.0
    ),
    "sanctions flag": RequestKind(
        "/sanctions", "prompt", 4.0, (200, 1000), (2, 4), 10.0
    ),
    "clause review": RequestKind(
        "/clauses", "routine", 2.0, (2000, 12000), (20, 80)
    ),
    "number issue": RequestKind("/numbers", "prompt", 3.0, keyed=True),
    "shrink report": RequestKind(
        "/shrink", "deadline", 1.0, (12000, 40000), (80, 200), 40.0
    ),
    "tray explanation": RequestKind(
        "/trays", "routine", 2.0, (800, 4000), (20, 50)
    ),
    "photo tag": RequestKind("/tags", "background", 4.0, (400, 1200), (4, 12)),
    "bin scan": RequestKind("/scans", "prompt", 4.0, keyed=True),
}
_WORKSPACES = ("bank-a", "bank-b", "hall-austin", "hall-waco", "branch-7")
# Prompts of one kind in a workspace share a prefix of this length, as prompts
# made from one template do.
_SHARED_PREFIX_CHARACTERS = 1024
_PROMPT_WORDS = (
    "bond",
    "draft",
    "clause",
    "waste",
    "tray",
    "night",
    "pan",
    "week",
)


class Call(msgspec.Struct, frozen=True):
    """One request to send.

    Attributes:
        marker: Marker in the body, unique in a workload.
        kind: Name of its kind.
        at_seconds: When to send it, from the start of the load.
        path: Path, including its route's prefix.
        body: The body.
        headers: Header fields.
        text: Expected text of an engine's answer, or "" for a plain service.
    """

    marker: str
    kind: str
    at_seconds: float
    path: str
    body: bytes
    headers: client.Headers
    text: str = ""

    @property
    def tier(self) -> str:
        """Tier of its kind."""
        return KINDS[self.kind].tier


def plan(seed: int, count: int, seconds: float, start_ms: int) -> list[Call]:
    """Plans calls at random times, in order of time.

    Args:
        seed: Seed of the times, kinds, bodies and keys.
        count: Number of calls.
        seconds: Duration of the plan.
        start_ms: Unix time in milliseconds of its start, for the keys.
    """
    rng = random.Random(seed)
    times = sorted(rng.uniform(0, seconds) for _ in range(count))
    names = list(KINDS)
    shares = [kind.share for kind in KINDS.values()]
    kinds = rng.choices(names, shares, k=count)
    return [
        _call(rng, number, name, at_seconds, start_ms)
        for number, (name, at_seconds) in enumerate(
            zip(kinds, times, strict=True)
        )
    ]


def make_key(rng: random.Random, time_ms: int) -> str:
    """Returns a UUID of version 7 for a time in Unix milliseconds."""
    value = (time_ms & (1 << 48) - 1) << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


def completion_body(prompt: str, max_tokens: int) -> bytes:
    """Returns the body of a request to an engine."""
    job = {"prompt": prompt, "max_tokens": max_tokens, "stream": True}
    return json.dumps(job).encode()


def _call(
    rng: random.Random,
    number: int,
    name: str,
    at_seconds: float,
    start_ms: int,
) -> Call:
    kind = KINDS[name]
    marker = f"mark-{number:06d}"
    workspace = rng.choice(_WORKSPACES)
    headers = {
        "Content-Type": "application/json",
        "Baobabmux-Workspace": workspace,
    }
    if kind.deadline_seconds is not None:
        headers["Baobabmux-Deadline"] = f"{kind.deadline_seconds:g}"
    if kind.keyed:
        time_ms = start_ms + int(at_seconds * 1000)
        headers["Idempotency-Key"] = make_key(rng, time_ms)
    if kind.prompt_characters is None:
        body = json.dumps({"item": name, "marker": marker}).encode()
        return Call(marker, name, at_seconds, kind.path, body, headers)
    prompt = _prompt(rng, kind, f"{workspace} {name} ", marker)
    tokens = rng.randint(*kind.answer_tokens)
    return Call(
        marker,
        name,
        at_seconds,
        kind.path,
        completion_body(prompt, tokens),
        headers,
        prompts.answer_text(prompt, 0, tokens),
    )


def _prompt(
    rng: random.Random, kind: RequestKind, template: str, marker: str
) -> str:
    length = rng.randint(*(kind.prompt_characters or (0, 0)))
    shared = (template * _SHARED_PREFIX_CHARACTERS)[:_SHARED_PREFIX_CHARACTERS]
    words = " ".join(rng.choices(_PROMPT_WORDS, k=length // 5))
    return f"{shared} {marker} {words}"
