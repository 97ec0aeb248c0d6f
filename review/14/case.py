"""A stream with high event numbers is taken up after a node was killed.

Exits with 1 if ORDER was broken, with 0 if it held, with 2 if the case could
not run.
"""

import asyncio
import pathlib
import re
import signal
import sys
import time

_HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / "rig-3"))

import rig  # noqa: E402

_NODES = ("n1", "n2", "n3")
_REPLICAS = ("p1", "p2", "p3")
_STREAMS = 9
_EVENTS = 40
# The replicas number their events on from the Unix millisecond of a start.
_FIRST_EVENT = 1_796_656_244_000
_KILL_AFTER_SECONDS = 2.0
# Nodes that have run for less time refuse streams that are taken up.
_SETTLE_SECONDS = 33.0
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


async def _draft(site: rig.Rig, number: int) -> dict:
    """Reads a stream, and goes on at another node if it breaks off."""
    pieces: list[str] = []
    last = None
    complete = False
    answers = []
    for attempt in range(2):
        node = _NODES[(number + attempt) % len(_NODES)]
        name = f"draft-{number}-{attempt}"
        more = {
            "X_Model": "m",
            "X_Token_Count": "100,240",
            "X_Prompt_Prefix": f"5c1e07a2:60,{number + 1:x}:40",
        }
        if last is not None:
            more["Last_Event_Id"] = last
        answer = await rig.call(
            site.nodes[node],
            "POST",
            f"/draft/{number}",
            rig.fields(name, 12_000, **more),
            b"{}",
            name,
            12.0,
        )
        answers.append({"node": node, "after": last, **answer.to_record()})
        for event in _EVENT.finditer(answer.body):
            last = event[1].decode()
            pieces.append(event[2].decode())
        complete = answer.complete and answer.status == 200
        if complete:
            break
        await asyncio.sleep(0.3)
    return {"pieces": pieces, "complete": complete, "answers": answers}


async def _read_all(site: rig.Rig, is_troubled: bool) -> list[dict]:
    tasks = [
        asyncio.create_task(_draft(site, number)) for number in range(_STREAMS)
    ]
    await asyncio.sleep(_KILL_AFTER_SECONDS)
    if is_troubled:
        site.note("killed", node="n1")
        site.signal("n1", signal.SIGKILL)
    return [await task for task in tasks]


def _play(site: rig.Rig, is_troubled: bool) -> bool:
    site.configure(
        3,
        [
            rig.route(
                "draft",
                "stream",
                "pool",
                engine=True,
                timeoutMs=15_000,
                targetLatencyMs=800,
                gapTargetMs=400,
                maxAttempts=2,
                streamResume=True,
                sessionAffinity=True,
            )
        ],
    )
    for name in _REPLICAS:
        site.add_replica(
            name,
            "pool",
            slots=10,
            events=_EVENTS,
            event_seconds=0.1,
            first_event=_FIRST_EVENT,
        )
    for name in _NODES:
        site.add_node(name)
    site.wait_ready()
    time.sleep(_SETTLE_SECONDS)
    streams = asyncio.run(_read_all(site, is_troubled))
    expected = [f"piece-{number}" for number in range(_EVENTS)]
    wrong = []
    for number, stream in enumerate(streams):
        pieces = stream["pieces"]
        twice = len(pieces) != len(set(pieces))
        lacks = stream["complete"] and set(pieces) != set(expected)
        if twice or lacks:
            wrong.append(number)
        site.note("stream", number=number, twice=twice, lacks=lacks, **stream)
    for run in site.runs(*_REPLICAS):
        site.note("run", **run)
    site.note("counted", streams=len(streams), wrong=wrong)
    return bool(wrong)


if __name__ == "__main__":
    sys.exit(rig.run_case(_HERE, _play))
