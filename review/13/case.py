"""A grey replica runs a request and answers 503; the node promises "not run".

Exits with 1 if REFUSED was broken, with 0 if it held, with 2 if the case could
not run.
"""

import asyncio
import pathlib
import sys

_HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / "rig-3"))

import rig  # noqa: E402

_NODES = ("n1", "n2", "n3")
_REPLICAS = ("d1", "d2", "d3", "d4", "d5", "d6", "d7")
_REQUESTS = 400
_PER_SECOND = 40
_PROMISES = frozenset({408, 421, 429, 503})
# One of seven replicas fails one in three of its requests for 5 s.
_TROUBLE = {
    "kind": "status",
    "status": 503,
    "every": 3,
    "from": 6.0,
    "until": 11.0,
}


async def _notice(site: rig.Rig, number: int) -> list[rig.Answer]:
    """Sends a request, and once more with a new id after a promise."""
    answers = []
    for attempt in range(2):
        node = _NODES[(number + attempt) % len(_NODES)]
        name = f"notice-{number}-{attempt}"
        answer = await rig.call(
            site.nodes[node],
            "POST",
            f"/notice/{number}",
            rig.fields(name),
            b"{}",
            name,
            2.5,
        )
        answers.append(answer)
        if answer.status not in _PROMISES:
            break
    return answers


async def _send_all(site: rig.Rig) -> list[rig.Answer]:
    tasks = []
    for number in range(_REQUESTS):
        tasks.append(asyncio.create_task(_notice(site, number)))
        await asyncio.sleep(1 / _PER_SECOND)
    return [answer for task in tasks for answer in await task]


def _play(site: rig.Rig, is_troubled: bool) -> bool:
    site.configure(3, [rig.route("notice", "unsafe", "desk")])
    for name in _NODES:
        site.add_node(name)
    for name in _REPLICAS:
        trouble = _TROUBLE if is_troubled and name == "d1" else {}
        site.add_replica(name, "desk", trouble=trouble)
    site.wait_ready()
    answers = asyncio.run(_send_all(site))
    runs = site.runs(*_REPLICAS)
    for answer in answers:
        site.note("answer", **answer.to_record())
    for run in runs:
        site.note("run", **run)
    ran = {run["run"] for run in runs}
    refused = [
        answer
        for answer in answers
        if answer.status in _PROMISES and answer.request in ran
    ]
    site.note(
        "counted",
        requests=len(answers),
        refused_though_run=[answer.request for answer in refused],
    )
    return bool(refused)


if __name__ == "__main__":
    sys.exit(rig.run_case(_HERE, _play))
