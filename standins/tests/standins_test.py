"""Tests of the stand-ins, whose counts other tests rely on."""

import contextlib
import json

import curio

from baobabmux_standins import (
    client,
    engine,
    log,
    plain,
    prompts,
    relay,
    vms,
    weights,
)


@contextlib.asynccontextmanager
async def _started(made):
    await made.start()
    try:
        yield made
    finally:
        await made.close()


def _job(prompt, tokens=8):
    return json.dumps({"prompt": prompt, "max_tokens": tokens}).encode()


async def _post(made, path, body, headers=None):
    address = made.addresses()["address"]
    return await client.request(address, "POST", path, body, headers)


async def _get(made, path, headers=None):
    address = made.addresses()["address"]
    return await client.request(address, "GET", path, b"", headers)


async def _engine_resume():
    async with _started(engine.Engine(decode_tokens_per_second=2000)) as made:
        await made.set_faults({"break_after": 1, "times": 1})
        headers = {"Baobabmux-Attempt": "a1"}
        body = _job("mark-1 text", 200)
        broken = await _post(made, "/v1/completions", body, headers)
        first = client.parse_events(broken.body)
        path = f"/v1/streams/{broken.headers['stream-id']}"
        last = {"Last-Event-ID": first[-1].number}
        rest = await _get(made, path, last)
        events = first + client.parse_events(rest.body)
        return broken, rest, events, made.counts()


def test_broken_stream_resumes_without_second_run():
    """Guards against a resumption that repeats or loses events."""
    broken, rest, events, counts = curio.run(_engine_resume)
    assert not broken.complete and rest.complete
    assert broken.headers["baobabmux-attempt"] == "a1"
    assert [event.number for event in events] == [
        str(number + 1) for number in range(len(events))
    ]
    assert events[-1].data == "[DONE]"
    texts = [json.loads(event.data) for event in events[:-1]]
    text = "".join(value.get("text", "") for value in texts)
    assert text == prompts.answer_text("mark-1 text", 0, 200)
    assert counts["by_marker"] == {"mark-1": 1}
    assert counts["by_attempt"] == {"a1": 1}


async def _engine_crash():
    async with _started(engine.Engine()) as made:
        await made.set_faults({"crash_marker": "bad", "crash_seconds": 0.1})
        other = await curio.spawn(
            _post, made, "/v1/completions", _job("other mark-2", 500)
        )
        while not made.counts()["totals"]:
            await curio.sleep(0.01)
        crashed = await _post(made, "/v1/completions", _job("bad mark-1"))
        neighbour = await other.join()
        again = await _get(made, "/v1/load")
        while again.status != 200:
            await curio.sleep(0.05)
            again = await _get(made, "/v1/load")
        return crashed, neighbour, made.counts()


def test_crash_ends_all_streams_of_the_engine():
    """Guards against a crash that spares the requests beside its cause."""
    crashed, neighbour, counts = curio.run(_engine_crash)
    assert not crashed.complete and not neighbour.complete
    assert counts["totals"] == {"started": 2, "crashed": 2}


async def _engine_state():
    async with _started(engine.Engine(event_lag_seconds=0.0)) as made:
        prompt = "prefix " * 200
        for _ in range(2):
            answer = await _post(made, "/v1/completions", _job(prompt))
        events = (await _get(made, "/v1/cache-events?from=0")).json()
        order = {"kind": "set_role", "name": "prefill", "fence": 7}
        await _post(made, "/v1/orders", json.dumps(order).encode())
        order["fence"] = 6
        old = await _post(made, "/v1/orders", json.dumps(order).encode())
        return answer, events, old, (await _get(made, "/v1/orders")).json()


def test_engine_reports_cache_and_refuses_old_orders():
    """Guards against a stand-in on which fencing tests cannot fail."""
    answer, events, old, orders = curio.run(_engine_state)
    usage = json.loads(client.parse_events(answer.body)[-2].data)["usage"]
    assert usage["cached_tokens"] == 256
    # One event for each digest of the prompt: after 1, 2, 3 and 4 blocks.
    assert events["next"] == len(events["events"]) == 4
    assert old.status == 409
    assert orders["refused"] == 1 and orders["fence"] == 7


async def _lost_append():
    async with _started(log.Log(retention_seconds=3600)) as made:
        path = "/streams/claims-01/records"
        await made.set_faults({"lose_answers": 1})
        lost = await _post(made, path, b'{"attempt": "a1"}')
        kept = await _post(made, path, b'{"attempt": "a2"}')
        read = (await _get(made, f"{path}?from=0&limit=10&wait=1")).json()
        return lost, kept.json(), read


def test_lost_answer_follows_an_append_that_took_effect():
    """Guards against a lost answer that stands for a lost append."""
    lost, kept, read = curio.run(_lost_append)
    assert lost.status == 0 and kept == {"offset": 1}
    assert read["first"] == 0 and read["next"] == 2
    assert [record["data"]["attempt"] for record in read["records"]] == [
        "a1",
        "a2",
    ]


async def _long_poll_and_limit():
    async with _started(log.Log(appends_per_second=3)) as made:
        path = "/streams/config/records"
        poll = await curio.spawn(_get, made, f"{path}?from=0&wait=20")
        while made.counts()["totals"].get("reads", 0) == 0:
            await curio.sleep(0.01)
        statuses = [(await _post(made, path, b"1")).status for _ in range(6)]
        await made.set_faults({"refuse": True})
        down = await _get(made, path)
        await made.set_faults({})
        up = await _get(made, path)
        return (await poll.join()).json(), statuses, down, up


def test_log_polls_limits_and_comes_back():
    """Guards against outages after which the log has another address."""
    polled, statuses, down, up = curio.run(_long_poll_and_limit)
    assert len(polled["records"]) >= 1
    assert 429 in statuses and statuses[0] == 201
    assert down.status == 0 and up.status == 200


async def _expired():
    async with _started(log.Log(retention_seconds=0.0)) as made:
        path = "/streams/config/records"
        await _post(made, path, b"1")
        await curio.sleep(0.01)
        return (await _get(made, path)).json()


def test_expired_records_keep_their_offsets():
    """Guards against an offset that is given to two records."""
    assert curio.run(_expired) == {"first": 1, "next": 1, "records": []}


async def _views():
    async with _started(vms.VmList()) as made:
        entry = {
            "id": "n1",
            "kind": "node",
            "data_centre": "col-a",
            "peer_address": "direct",
            "views": {"col-b": "relayed"},
        }
        await _post(made, "/vms", json.dumps({"set": [entry]}).encode())
        near = (await _get(made, "/vms?viewer=col-a")).json()
        far = (await _get(made, "/vms?viewer=col-b")).json()
        return near["vms"][0], far["vms"][0]


def test_viewer_in_other_data_centre_is_given_the_relay():
    """Guards against partitions that nodes bypass."""
    near, far = curio.run(_views)
    assert near["peer_address"] == "direct"
    assert far["peer_address"] == "relayed"
    assert "views" not in far


async def _relayed():
    async with _started(plain.Plain()) as made:
        target = made.addresses()["address"]
        async with _started(relay.Relay(target)) as link:
            statuses = [(await _post(link, "/scans", b"mark-1")).status]
            await link.set_faults({"cut": True})
            statuses.append((await _post(link, "/scans", b"mark-2")).status)
            await link.set_faults({})
            statuses.append((await _post(link, "/scans", b"mark-3")).status)
            await link.set_faults({"stall": True})
            stalled = await client.request(
                link.addresses()["address"],
                "POST",
                "/scans",
                b"mark-4",
                timeout_seconds=0.2,
            )
            return [*statuses, stalled.status], made.counts()["by_marker"]


def test_cut_and_stalled_links_carry_nothing():
    """Guards against requests that pass a link which is cut or stalled."""
    statuses, markers = curio.run(_relayed)
    assert statuses == [200, 0, 200, 0]
    assert markers == {"mark-1": 1, "mark-3": 1}


async def _plain_faults():
    outcomes = {}
    async with _started(plain.Plain()) as made:
        for fault in (
            {"break_after": 0},
            {"break_after": 1},
            {"garbage": "http"},
            {"garbage": "length"},
            {"fail_status": 503},
            {},
        ):
            await made.set_faults(fault)
            answer = await _post(made, "/numbers", b'{"answer_status": 201}')
            outcomes[json.dumps(fault)] = (answer.status, answer.complete)
        return list(outcomes.values()), made.counts()["totals"]


def test_faulty_answers_still_count_as_runs():
    """Guards against counts that miss a run whose answer was lost."""
    outcomes, totals = curio.run(_plain_faults)
    assert outcomes == [
        (0, False),
        (201, False),
        (0, False),
        (201, False),
        (503, True),
        (201, True),
    ]
    assert totals == {"started": 5, "finished": 5}


async def _weights():
    async with _started(weights.Weights(reads_per_second=1)) as made:
        return [await _get(made, "/weights/kitchen/3") for _ in range(2)]


def test_weight_store_limits_its_rate():
    """Guards against a store that never refuses."""
    served, limited = curio.run(_weights)
    assert served.status == 200 and len(served.body) == 65536
    assert limited.status == 429 and "retry-after" in limited.headers
