"""A replica sends one answer without end; its node stops answering its clients.

Exits with 1 if CONFIG was broken, with 0 if it held, with 2 if the case could
not run.
"""

import asyncio
import pathlib
import sys

_HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / "rig-3"))

import rig  # noqa: E402

_NODES = ("n1", "n2", "n3")
_REPLICAS = ("d1", "d2", "d3")
_TIMEOUT_SECONDS = 1.2
_LATE_SECONDS = 0.5
_REQUESTS = 600
_PER_SECOND = 30
# One of three replicas spoils one of its answers in a window of 5 s, in which
# it gets about 50 requests: 0.02 of its answers, or less.
_TROUBLE = {
    "kind": "flood",
    "bytes": "chunks",
    "every": 40,
    "from": 0.0,
    "until": 60.0,
    "count": 1,
    "seconds": 3.0,
    "bytes_per_second": 10_000_000,
}


async def _send_all(site: rig.Rig) -> list[tuple[str, rig.Answer]]:
    tasks = []
    for number in range(_REQUESTS):
        node = _NODES[number % len(_NODES)]
        kind = "lookup" if number % 4 else "notice"
        name = f"{kind}-{number}"
        task = asyncio.create_task(
            rig.call(
                site.nodes[node],
                "POST",
                f"/{kind}/{number}",
                rig.fields(name),
                b"{}",
                name,
                2.5,
            )
        )
        tasks.append((node, task))
        await asyncio.sleep(1 / _PER_SECOND)
    return [(node, await task) for node, task in tasks]


def _is_broken(site: rig.Rig, answers: list[tuple[str, rig.Answer]]) -> bool:
    """Applies the sentence of CONFIG about requests at their `timeoutMs`."""
    unanswered = [
        (node, answer)
        for node, answer in answers
        if answer.ended - answer.sent > _TIMEOUT_SECONDS
    ]
    late = [
        (node, answer)
        for node, answer in unanswered
        if not answer.complete
        or answer.ended - answer.sent > _TIMEOUT_SECONDS + _LATE_SECONDS
    ]
    site.note(
        "counted",
        requests=len(answers),
        unanswered_at_timeout=len(unanswered),
        unanswered_half_a_second_later=len(late),
        late_by_node={
            name: sum(node == name for node, _ in late) for name in _NODES
        },
    )
    return 2 * len(late) > len(unanswered)


def _play(site: rig.Rig, is_troubled: bool) -> bool:
    site.configure(
        3,
        [
            rig.route("notice", "unsafe", "desk"),
            rig.route("lookup", "safe", "desk", maxAttempts=2),
        ],
    )
    for name in _REPLICAS:
        trouble = _TROUBLE if is_troubled and name == "d1" else {}
        site.add_replica(name, "desk", trouble=trouble)
    for name in _NODES:
        site.add_node(name)
    site.wait_ready()
    answers = asyncio.run(_send_all(site))
    for node, answer in answers:
        site.note("answer", node=node, **answer.to_record())
    for run in site.runs(*_REPLICAS):
        site.note("run", **run)
    for line in site.lines("d1"):
        if "flood" in line:
            site.note("flood", **line)
    for name in _NODES:
        if site.exit_code(name) is not None:
            site.note("node ended", node=name, code=site.exit_code(name))
    return _is_broken(site, answers)


if __name__ == "__main__":
    sys.exit(rig.run_case(_HERE, _play))
